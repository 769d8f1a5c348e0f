//! Callers get complete responses although upstreams send events late, twice, to the wrong request or only in part.

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

fn assert_complete(outcome: &PromptOutcome, text: &str) {
    assert!(outcome.matches_expected(text, TOKENS), "{outcome:?}");
}

/// Guards against tokens that are delivered twice, out of order or to the wrong caller.
#[actix_rt::test]
async fn late_duplicate_and_foreign_events_do_not_change_a_response() {
    let deployment = start(1).await;
    let faults = StreamFaults { duplicate: true, late: true, foreign: true, ..StreamFaults::default() };
    set_faults(&deployment, faults);
    let texts: Vec<String> = (0..20).map(|number| format!("scene {number}")).collect();
    let prompts = texts.iter().map(|text| send_prompt(&deployment, NODE, text, TOKENS));
    let outcomes = futures::future::join_all(prompts).await;
    for (outcome, text) in outcomes.iter().zip(&texts) {
        assert_complete(outcome, text);
    }
}

/// Guards against a broken stream that is repeated from its start, resumed at the wrong token or left incomplete.
#[actix_rt::test]
async fn a_stream_broken_midway_resumes_on_another_engine() {
    let deployment = start(2).await;
    let faulty = deployment.upstreams.engines.values().next().unwrap();
    faulty.set_stream_faults(StreamFaults {
        cut_after_tokens: Some(7),
        broken_streams: 1_000,
        ..StreamFaults::default()
    });
    for number in 0..6 {
        let text = format!("cut {number}");
        assert_complete(&send_prompt(&deployment, NODE, &text, TOKENS).await, &text);
    }
    let runs = deployment.upstreams.engines.values().flat_map(|engine| engine.records().runs);
    assert!(runs.into_iter().any(|run| run.resume_from_token == 7));
}

/// Guards against a truncated plain response that reaches its caller as if it were complete.
#[actix_rt::test]
async fn a_truncated_plain_response_is_not_relayed_as_complete() {
    let deployment = start(1).await;
    deployment.upstreams.plain.values().next().unwrap().set_fault(PlainFault::TruncateResponse);
    let url = format!("{}/services/booth-app/running-order/1", deployment.caller_url(NODE));
    let request = awc::Client::default().get(url).bearer_auth(DeploymentConfig::token("opera-a"));
    let response = request.send().await.unwrap();
    assert_ne!(response.status().as_u16(), 200);
}

/// Guards against a refusal that states that a request has not run, although an earlier attempt ran it and only the last
/// upstream refused it.
#[actix_rt::test]
async fn refusal_after_a_lost_answer_does_not_state_that_the_request_has_not_run() {
    let mut config = DeploymentConfig::small();
    let mut second = config.upstreams.iter().find(|plan| plan.service == "booth-app").unwrap().clone();
    second.id = "booth-app-2".to_owned();
    config.upstreams.push(second);
    let deployment = Deployment::start(config);
    deployment.wait_until_live().await;
    let (ran, refused) =
        (&deployment.upstreams.plain["booth-app-1"], &deployment.upstreams.plain["booth-app-2"]);
    ran.set_fault(PlainFault::TruncateResponse);
    refused.set_fault(PlainFault::RefuseNotRun);
    for number in 0..12 {
        let url = format!("{}/services/booth-app/running-order/{number}", deployment.caller_url(NODE));
        let request = awc::Client::default().post(url).bearer_auth(DeploymentConfig::token("opera-a"));
        let body = format!("order {number}");
        let mut response = request.send_body(body.clone()).await.unwrap();
        let answer: serde_json::Value = response.json().await.unwrap();
        assert_eq!(ran.runs(&body), 1, "{answer}");
        assert_eq!(answer["error"]["run_state"], "may_have_run", "{answer}");
    }
}
