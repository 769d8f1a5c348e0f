//! SIGHUP, which a service manager or a terminal that closes may send to a node.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::Duration;

use daisysill_testkit::{caller::send_prompt, deployment::Deployment, deployment_config::DeploymentConfig};

const NODE: &str = "sathorn-1";

/// Guards against a node that SIGHUP ends at once, with all its requests.
#[actix_rt::test]
async fn a_node_serves_on_after_a_hangup() {
    let mut config = DeploymentConfig::small();
    config.engine.token_ms = 20;
    let deployment = Deployment::start(config);
    deployment.wait_until_ready().await;
    let hangup = async {
        for _ in 0..3 {
            actix_rt::time::sleep(Duration::from_millis(300)).await;
            deployment.node(NODE).signal("HUP");
        }
    };
    let (outcome, ()) = futures::future::join(send_prompt(&deployment, NODE, "act 1", 100), hangup).await;
    assert!(outcome.matches_expected("act 1", 100), "{outcome:?}");
    let later = send_prompt(&deployment, NODE, "act 2", 5).await;
    assert!(later.matches_expected("act 2", 5), "{later:?}");
}
