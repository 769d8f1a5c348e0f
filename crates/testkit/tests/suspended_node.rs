//! A node process that is suspended and resumed (SIGSTOP, SIGCONT) while it serves a stream.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::Duration;

use daisysill_testkit::{
    caller::send_prompt,
    deployment::Deployment,
    deployment_config::{DeploymentConfig, NodePlan},
};

/// Guards against a suspended node that blocks the others, or that loses its own streams once it is resumed.
#[actix_rt::test]
async fn other_nodes_serve_and_its_streams_continue_after_resume() {
    let mut config = DeploymentConfig::small();
    let second_node = NodePlan { name: "sathorn-2".to_owned(), zone: "bkk-sathorn".to_owned(), voter: false };
    config.nodes.push(second_node);
    config.engine.token_ms = 10;
    let deployment = Deployment::start(config);
    deployment.wait_until_ready().await;
    let suspend = async {
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        deployment.suspend("sathorn-1");
        let other = send_prompt(&deployment, "sathorn-2", "other", 20).await;
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        deployment.resume("sathorn-1");
        other
    };
    let (suspended, other) =
        futures::future::join(send_prompt(&deployment, "sathorn-1", "frozen", 200), suspend).await;
    assert!(other.matches_expected("other", 20), "{other:?}");
    assert!(suspended.matches_expected("frozen", 200), "{suspended:?}");
    assert!(send_prompt(&deployment, "sathorn-1", "again", 5).await.matches_expected("again", 5));
}
