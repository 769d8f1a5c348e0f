//! Engines that are killed before or during a request, and engines that come back.

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

/// Guards against streams that break off, or resume at the wrong token, when their engine is killed.
#[actix_rt::test]
async fn streams_of_a_killed_engine_resume_on_another() {
    let deployment = start(2).await;
    let texts: Vec<String> = (0..8).map(|number| format!("act {number}")).collect();
    let streams =
        futures::future::join_all(texts.iter().map(|text| send_prompt(&deployment, NODE, text, 100)));
    let kill = async {
        actix_rt::time::sleep(Duration::from_millis(400)).await;
        deployment.upstreams.engines["lyric-llm-1"].kill();
    };
    let (outcomes, ()) = futures::future::join(streams, kill).await;
    let runs = deployment.upstreams.engines["lyric-llm-1"].records().runs.len();
    assert!(runs > 0, "no stream ran on the killed engine");
    for (outcome, text) in outcomes.iter().zip(&texts) {
        assert!(outcome.matches_expected(text, 100), "{outcome:?}");
    }
}

/// Guards against a refusal without a result code while the only engine is down, and against an engine that is
/// not used again after its restart.
#[actix_rt::test]
async fn a_restarted_only_engine_is_used_again() {
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

/// Waits until the node reports the first engine in this state.
async fn wait_for_state(deployment: &Deployment, state: &str) {
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        let status = deployment.status(NODE).await.unwrap();
        let engine = status.upstreams.into_iter().find(|upstream| upstream.id == "lyric-llm-1").unwrap();
        if engine.state == state {
            return;
        }
        assert!(Instant::now() < deadline, "the engine is still {}", engine.state);
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a refusal that says `may_have_run` although no connection to an engine could be opened.
#[actix_rt::test]
async fn a_prompt_that_reached_no_engine_is_refused_as_not_run() {
    // Without a proxy between node and engine, which would accept the connection and then reset it: bytes
    // written to an accepted connection rightly count as sent.
    let config = DeploymentConfig { upstream_proxies: false, ..DeploymentConfig::with_engines(1) };
    let deployment = start_with(config).await;
    deployment.upstreams.engines["lyric-llm-1"].kill();
    let refused = send_prompt(&deployment, NODE, "while dead", 5).await;
    assert_eq!(refused.run_state.as_deref(), Some("not_run"), "{refused:?}");
}

/// Guards against a node that expects a restarted engine to have the cache of its earlier incarnation.
#[actix_rt::test]
async fn a_new_incarnation_starts_with_an_empty_cache() {
    let deployment = start(1).await;
    let text = "la ".repeat(8_000);
    assert!(send_prompt(&deployment, NODE, &text, 3).await.matches_expected(&text, 3));
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    let repeated = send_prompt(&deployment, NODE, &text, 3).await;
    assert!(!explanation(&deployment, &repeated.request_id).contains(" 0 tokens cached"));
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
