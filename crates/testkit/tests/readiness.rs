//! A node that reports ready serves requests.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use daisysill_testkit::{caller::send_prompt, deployment::Deployment, deployment_config::DeploymentConfig};

/// Guards against a node that reports ready and live engines but refuses prompts for lack of a live engine.
#[actix_rt::test]
async fn a_ready_node_with_a_live_engine_serves_at_once() {
    let deployment = Deployment::start(DeploymentConfig::small());
    deployment.wait_until_live().await;
    let outcome = send_prompt(&deployment, "sathorn-1", "first", 3).await;
    assert!(outcome.matches_expected("first", 3), "{outcome:?}");
}
