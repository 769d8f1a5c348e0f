//! A planned stop (SIGTERM) of a node with open streams.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::{Duration, Instant};

use daisysill_testkit::{caller::send_prompt, deployment::Deployment, deployment_config::DeploymentConfig};

const NODE: &str = "sathorn-1";

/// Guards against a stop that cuts open streams, leaves the node ready, or ends with an error.
#[actix_rt::test]
async fn open_streams_end_before_the_process_exits() {
    let mut config = DeploymentConfig::small();
    config.engine.token_ms = 20;
    let mut deployment = Deployment::start(config);
    deployment.wait_until_ready().await;
    let texts: Vec<String> = (0..8).map(|number| format!("act {number}")).collect();
    let url = format!("http://{}/readyz", deployment.node(NODE).addresses.admin);
    let streams =
        futures::future::join_all(texts.iter().map(|text| send_prompt(&deployment, NODE, text, 100)));
    let stop = async {
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        deployment.node(NODE).signal("TERM");
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        awc::Client::default().get(url).send().await.unwrap().status().as_u16()
    };
    let (outcomes, ready_status) = futures::future::join(streams, stop).await;
    for (outcome, text) in outcomes.iter().zip(&texts) {
        assert!(outcome.matches_expected(text, 100), "{outcome:?}");
    }
    assert_eq!(ready_status, 503);
    let streams_ended = Instant::now();
    assert_eq!(deployment.wait_for_end(NODE, Duration::from_secs(10)).await, Some(0));
    assert!(streams_ended.elapsed() < Duration::from_secs(5), "{:?}", streams_ended.elapsed());
}
