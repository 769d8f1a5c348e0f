//! A node that is suspended for a while.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::Duration;

use daisysill_testkit::{
    caller::send_prompt,
    deployment::Deployment,
    deployment_config::{DeploymentConfig, NodePlan},
};

/// Guards against a suspended node that stops the others, or loses its own streams when it goes on.
#[actix_rt::test]
async fn others_serve_and_its_streams_go_on_afterwards() {
    let mut config = DeploymentConfig::small();
    let second = NodePlan { name: "sathorn-2".to_owned(), zone: "bkk-sathorn".to_owned(), voter: false };
    config.nodes.push(second);
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
    let (frozen, other) =
        futures::future::join(send_prompt(&deployment, "sathorn-1", "frozen", 200), suspend).await;
    assert!(other.matches_expected("other", 20), "{other:?}");
    assert!(frozen.matches_expected("frozen", 200), "{frozen:?}");
    assert!(send_prompt(&deployment, "sathorn-1", "again", 5).await.matches_expected("again", 5));
}
