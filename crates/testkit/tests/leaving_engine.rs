//! An engine that refuses requests because it is leaving; `promises/stops.rs` covers the other leaving sources.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::{Duration, Instant};

use daisysill_testkit::{caller::send_prompt, deployment::Deployment, deployment_config::DeploymentConfig};

const NODE: &str = "sathorn-1";
/// Time after which a leaving engine gets no new work (P7).
const NOTICE: Duration = Duration::from_secs(3);

async fn start() -> Deployment {
    let deployment = Deployment::start(DeploymentConfig::with_engines(2));
    deployment.wait_until_ready().await;
    deployment
}

/// Sends prompts until a second after the notice time; returns how many attempts reached the first engine after it.
async fn late_attempts(deployment: &Deployment, left_at: Instant) -> usize {
    let mut number = 0;
    while left_at.elapsed() < NOTICE + Duration::from_secs(1) {
        let text = format!("question {number}");
        let outcome = send_prompt(deployment, NODE, &text, 3).await;
        assert!(outcome.matches_expected(&text, 3), "{outcome:?}");
        number += 1;
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    let runs = deployment.upstreams.engines["lyric-llm-1"].records().runs;
    runs.iter().filter(|run| run.started_at > left_at + NOTICE).count()
}

/// Guards against passing the refusal of a leaving engine on to the caller, and against repeated attempts at it.
#[actix_rt::test]
async fn an_engine_that_refuses_as_leaving_gets_no_late_attempts() {
    let deployment = start().await;
    let engine = &deployment.upstreams.engines["lyric-llm-1"];
    engine.leave();
    assert_eq!(late_attempts(&deployment, Instant::now()).await, 0);
    let refused = engine.records().refusals.get("leaving").copied().unwrap_or_default();
    assert!(refused <= 2, "{refused} attempts at a leaving engine");
}
