//! An engine that dies, before and while it answers, and comes back.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::{Duration, Instant};

use daisysill_testkit::{caller::send_prompt, deployment::Deployment, deployment_config::DeploymentConfig};

const NODE: &str = "sathorn-1";

async fn start(engines: usize) -> Deployment {
    start_with(DeploymentConfig::with_engines(engines)).await
}

async fn start_with(mut config: DeploymentConfig) -> Deployment {
    config.engine.token_ms = 10;
    let deployment = Deployment::start(config);
    deployment.wait_until_ready().await;
    deployment
}

/// Guards against answers that break off, or are spliced wrongly, when their engine dies.
#[actix_rt::test]
async fn streams_of_a_dead_engine_go_on_at_another() {
    let deployment = start(2).await;
    let texts: Vec<String> = (0..8).map(|number| format!("act {number}")).collect();
    let asked = futures::future::join_all(texts.iter().map(|text| send_prompt(&deployment, NODE, text, 100)));
    let kill = async {
        actix_rt::time::sleep(Duration::from_millis(400)).await;
        deployment.upstreams.engines["lyric-llm-1"].kill();
    };
    let (outcomes, ()) = futures::future::join(asked, kill).await;
    let lost = deployment.upstreams.engines["lyric-llm-1"].records().runs.len();
    assert!(lost > 0, "no stream ran on the engine that died");
    for (outcome, text) in outcomes.iter().zip(&texts) {
        assert!(outcome.matches_expected(text, 100), "{outcome:?}");
    }
}

/// Guards against a refusal without a way to come back, and an engine that is never used again.
#[actix_rt::test]
async fn an_only_engine_that_dies_is_used_again_once_it_is_back() {
    let deployment = start(1).await;
    let engine = &deployment.upstreams.engines["lyric-llm-1"];
    assert!(send_prompt(&deployment, NODE, "before", 5).await.matches_expected("before", 5));
    engine.kill();
    let refused = send_prompt(&deployment, NODE, "while dead", 5).await;
    assert!(refused.status >= 500 && refused.result_code.is_some(), "{refused:?}");
    wait_for_state(&deployment, "down").await;
    engine.restart();
    wait_for_state(&deployment, "live").await;
    let after = send_prompt(&deployment, NODE, "after", 5).await;
    assert!(after.matches_expected("after", 5), "{after:?}");
}

/// Waits until the node says that the first engine is in a state.
async fn wait_for_state(deployment: &Deployment, state: &str) {
    let end = Instant::now() + Duration::from_secs(10);
    loop {
        let status = deployment.status(NODE).await.unwrap();
        let engine = status.upstreams.into_iter().find(|upstream| upstream.id == "lyric-llm-1").unwrap();
        if engine.state == state {
            return;
        }
        assert!(Instant::now() < end, "the engine is {}", engine.state);
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a refusal that says `may_have_run` although no connection to an engine could be opened.
#[actix_rt::test]
async fn a_prompt_that_reached_no_engine_is_refused_as_not_run() {
    // Without a proxy between node and engine, which would accept the connection and then reset it: bytes
    // that went into an accepted connection rightly count as sent.
    let config = DeploymentConfig { upstream_proxies: false, ..DeploymentConfig::with_engines(1) };
    let deployment = start_with(config).await;
    deployment.upstreams.engines["lyric-llm-1"].kill();
    let refused = send_prompt(&deployment, NODE, "while dead", 5).await;
    assert_eq!(refused.run_state.as_deref(), Some("not_run"), "{refused:?}");
}

/// Guards against a node that counts on the cache of an engine's earlier life.
#[actix_rt::test]
async fn pieces_of_an_earlier_incarnation_are_forgotten() {
    let deployment = start(1).await;
    let text = "la ".repeat(8_000);
    assert!(send_prompt(&deployment, NODE, &text, 3).await.matches_expected(&text, 3));
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    let again = send_prompt(&deployment, NODE, &text, 3).await;
    assert!(!explanation(&deployment, &again.request_id).contains(" 0 tokens cached"));
    let engine = &deployment.upstreams.engines["lyric-llm-1"];
    engine.kill();
    engine.restart();
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    let outcome = send_prompt(&deployment, NODE, &text, 3).await;
    assert!(outcome.matches_expected(&text, 3), "{outcome:?}");
    let explained = explanation(&deployment, &outcome.request_id);
    assert!(explained.contains(" 0 tokens cached"), "{explained}");
}

fn explanation(deployment: &Deployment, request_id: &str) -> String {
    let output = deployment.environment.cli(deployment.node(NODE), &["explain", request_id]);
    String::from_utf8(output.stdout).unwrap()
}
