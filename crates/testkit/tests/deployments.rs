//! The test deployment: real nodes whose zones can be isolated, and that can be killed and restarted.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{fs, time::Duration};

use daisysill_testkit::{
    caller::send_prompt,
    deployment::{Damage, Deployment},
    deployment_config::DeploymentConfig,
};

/// Guards against an isolated zone that keeps links to other zones or loses those to its own upstreams.
#[actix_rt::test]
async fn an_isolated_zone_serves_with_its_own_upstreams() {
    let deployment = Deployment::start(DeploymentConfig::bangkok());
    deployment.wait_until_ready().await;
    deployment.set_zone_cut("bkk-bangna", true);
    actix_rt::time::sleep(Duration::from_secs(6)).await;
    let inside = send_prompt(&deployment, "bangna-1", "inside", 3).await;
    assert!(inside.matches_expected("inside", 3), "{inside:?}\n{}", explain(&deployment, "bangna-1"));
    let outside = send_prompt(&deployment, "sathorn-1", "outside", 3).await;
    assert!(outside.matches_expected("outside", 3), "{outside:?}\n{}", explain(&deployment, "sathorn-1"));
    let zones = |text: &str| {
        let digest = blake3::hash(text.as_bytes()).to_hex().to_string();
        let engines = deployment.upstreams.engines.iter();
        let runners =
            engines.filter(|(_, engine)| engine.records().runs.iter().any(|run| run.prompt_digest == digest));
        runners.filter_map(|(id, _)| deployment.upstreams.zone(id)).map(str::to_owned).collect::<Vec<_>>()
    };
    assert_eq!(zones("inside"), ["bkk-bangna"]);
    assert!(zones("outside").iter().all(|zone| zone != "bkk-bangna"), "{:?}", zones("outside"));
}

/// Returns the output of `daisysill explain` of a node.
fn explain(deployment: &Deployment, node: &str) -> String {
    let output = deployment.environment.cli(deployment.node(node), &["explain"]);
    String::from_utf8(output.stdout).unwrap()
}

/// Guards against a restarted node that callers or other nodes cannot reach, and data that survives an empty restart.
#[actix_rt::test]
async fn a_node_is_killed_and_restarted_with_and_without_its_data() {
    let mut deployment = Deployment::start(DeploymentConfig::small());
    deployment.wait_until_ready().await;
    let folder = deployment.data_dir("sathorn-1");
    fs::create_dir_all(&folder).unwrap();
    fs::write(folder.join("test.bin"), [0, 0, 0]).unwrap();
    deployment.kill("sathorn-1");
    assert!(deployment.status("sathorn-1").await.is_none());
    deployment.damage("sathorn-1", "test.bin", Damage::FlipBit(1));
    deployment.damage("sathorn-1", "test.bin", Damage::Truncate(2));
    assert_eq!(fs::read(folder.join("test.bin")).unwrap(), [0, 1]);
    deployment.start_node("sathorn-1");
    deployment.wait_until_ready().await;
    let restarted = send_prompt(&deployment, "sathorn-1", "again", 3).await;
    assert!(restarted.matches_expected("again", 3), "{restarted:?}\n{}", explain(&deployment, "sathorn-1"));
    deployment.restart_empty("sathorn-1");
    assert!(!folder.join("test.bin").exists());
    deployment.wait_until_ready().await;
    let empty = send_prompt(&deployment, "sathorn-1", "empty", 3).await;
    assert!(empty.matches_expected("empty", 3), "{empty:?}\n{}", explain(&deployment, "sathorn-1"));
}
