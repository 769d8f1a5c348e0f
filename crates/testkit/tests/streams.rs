//! Callers get whole answers although upstreams send events late, twice, crossed or only in part.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use daisysill_testkit::{
    caller::{PromptOutcome, send_prompt},
    deployment::Deployment,
    deployment_config::DeploymentConfig,
    engine::StreamFaults,
    plain::PlainFault,
};

const NODE: &str = "sathorn-1";
const TOKENS: u32 = 20;

async fn start(engines: usize) -> Deployment {
    let deployment = Deployment::start(DeploymentConfig::with_engines(engines));
    deployment.wait_until_ready().await;
    deployment
}

fn set_faults(deployment: &Deployment, faults: StreamFaults) {
    for engine in deployment.upstreams.engines.values() {
        engine.set_stream_faults(faults);
    }
}

fn assert_answer(outcome: &PromptOutcome, text: &str) {
    assert!(outcome.matches_expected(text, TOKENS), "{outcome:?}");
}

/// Guards against tokens that are delivered twice, out of order or to the wrong caller.
#[actix_rt::test]
async fn late_doubled_and_crossed_events_do_not_change_an_answer() {
    let deployment = start(1).await;
    let faults = StreamFaults { duplicate: true, late: true, foreign: true, ..StreamFaults::default() };
    set_faults(&deployment, faults);
    let texts: Vec<String> = (0..20).map(|number| format!("scene {number}")).collect();
    let asked = texts.iter().map(|text| send_prompt(&deployment, NODE, text, TOKENS));
    let outcomes = futures::future::join_all(asked).await;
    for (outcome, text) in outcomes.iter().zip(&texts) {
        assert_answer(outcome, text);
    }
}

/// Guards against a cut stream that is repeated from its start, spliced wrongly or left unfinished.
#[actix_rt::test]
async fn a_stream_cut_midway_goes_on_at_another_engine() {
    let deployment = start(2).await;
    let one = deployment.upstreams.engines.values().next().unwrap();
    one.set_stream_faults(StreamFaults {
        cut_after_tokens: Some(7),
        broken_streams: 1_000,
        ..StreamFaults::default()
    });
    for number in 0..6 {
        let text = format!("cut {number}");
        assert_answer(&send_prompt(&deployment, NODE, &text, TOKENS).await, &text);
    }
    let resumed = deployment.upstreams.engines.values().flat_map(|engine| engine.records().runs);
    assert!(resumed.into_iter().any(|run| run.resume_from_token == 7));
}

/// Guards against a plain answer that breaks off and reaches its caller as if it were whole.
#[actix_rt::test]
async fn a_plain_answer_cut_midway_is_not_passed_on_as_whole() {
    let deployment = start(1).await;
    deployment.upstreams.plain.values().next().unwrap().set_fault(PlainFault::TruncateResponse);
    let url = format!("{}/services/booth-app/running-order/1", deployment.caller_url(NODE));
    let request = awc::Client::default().get(url).bearer_auth(DeploymentConfig::token("opera-a"));
    let answer = request.send().await.unwrap();
    assert_ne!(answer.status().as_u16(), 200);
}
