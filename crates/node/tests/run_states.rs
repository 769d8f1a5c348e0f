//! Which refusals state that a request has not run, after earlier attempts and at a stop.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::Duration;

use actix_web::{App, test, web::Data};
use daisysill_control::command::ClaimState;
use daisysill_core::result_code::RunState;
use daisysill_node::{caller_api, dispatch::ResponseEvent, refusal::Refusal, upstream_api::AttemptError};
use support::{Fault, Node, Step, TOKEN};
use tokio::{sync::mpsc::Receiver, time::sleep};

mod support;

const PROMPT_RULES: &str =
    "[service]\nname = lyric-llm\n[deadlines]\nprogress_ms = 1000\n[retries]\nmax_attempts = 3\n";
const CALL_RULES: &str = "[service]\nname = booth-app\n[never_twice]\ncalls = POST /cues/*/fire\n";
const RUNS_ONCE: &str = "/services/booth-app/cues/7/fire";
const IDEMPOTENT: &str = "/services/booth-app/cues/7";
/// Time in which a request has reached its upstream.
const SENT: Duration = Duration::from_millis(200);

/// Waits for the refusal that ends the response to a prompt.
async fn refusal_of(mut events: Receiver<ResponseEvent>) -> Refusal {
    while let Some(event) = events.recv().await {
        if let ResponseEvent::Refused(refusal) = event {
            return refusal;
        }
    }
    panic!("the prompt was not refused");
}

/// Sends a call to the plain service; returns the result code and the run state of its refusal.
async fn call(node: &Node, path: &str, key: &str) -> (u64, String) {
    let app = App::new().app_data(Data::from(node.shared.clone())).app_data(Data::new(node.clients.clone()));
    let app = test::init_service(app.configure(caller_api::routes)).await;
    let request = test::TestRequest::post()
        .uri(path)
        .insert_header(("authorization", format!("Bearer {TOKEN}")))
        .insert_header(("idempotency-key", key));
    let body = test::call_and_read_body(&app, request.to_request()).await;
    let body: serde_json::Value = serde_json::from_slice(&body).unwrap();
    let error = &body["error"];
    (error["code"].as_u64().unwrap(), error["run_state"].as_str().unwrap().to_owned())
}

fn busy() -> AttemptError {
    AttemptError::Refused { message: "busy".to_owned(), leaving: false, retry_after_ms: None }
}

fn failed() -> AttemptError {
    AttemptError::Failed("cut".to_owned())
}

/// Guards against a prompt whose last engine refuses it, and that is called not run although an earlier one may have run it.
#[actix_rt::test]
async fn a_prompt_refused_after_a_broken_attempt_may_have_run() {
    let broken: &[Step] = &[Step::Cut];
    let silent: &[Step] = &[Step::Silence(Duration::from_mins(10))];
    let refusing: &[Step] = &[Step::Refuse];
    for (scripts, expected) in [
        ([refusing, refusing], RunState::NotRun),
        ([broken, refusing], RunState::MayHaveRun),
        ([refusing, broken], RunState::MayHaveRun),
        ([silent, refusing], RunState::MayHaveRun),
    ] {
        let node = Node::start(PROMPT_RULES).await;
        tokio::time::pause();
        let mut all = scripts.to_vec();
        all.resize(200, refusing);
        node.script(&all);
        let refusal = refusal_of(node.prompt("opera-a", "la la")).await;
        assert_eq!(refusal.run_state, expected, "{scripts:?}: {refusal:?}");
        tokio::time::resume();
    }
}

/// Guards against the same for an idempotent call to a plain service.
#[actix_rt::test]
async fn a_call_refused_after_a_broken_attempt_may_have_run() {
    for (errors, expected) in [
        ([busy(), busy()], (1309, "not_run")),
        ([failed(), busy()], (1309, "may_have_run")),
        ([busy(), failed()], (1401, "may_have_run")),
        ([failed(), AttemptError::NotSent("refused".to_owned())], (1303, "may_have_run")),
    ] {
        let node = Node::start(CALL_RULES).await;
        node.plain.errors.borrow_mut().extend(errors.clone());
        let (code, run_state) = call(&node, IDEMPOTENT, "k").await;
        assert_eq!((code, run_state.as_str()), expected, "{errors:?}");
    }
}

/// Guards against a stop that calls a request not run while an upstream has it, or that gives the key of such a request back.
#[actix_rt::test]
async fn a_request_cut_short_by_a_stop_may_have_run_once_it_was_sent() {
    for path in [RUNS_ONCE, IDEMPOTENT] {
        let node = Node::start(CALL_RULES).await;
        node.plain.delay.set(Duration::from_mins(1));
        let stop = async {
            sleep(SENT).await;
            node.shared.planned_stop.announce_end();
        };
        let ((code, run_state), ()) = futures::future::join(call(&node, path, "k"), stop).await;
        assert_eq!(node.plain.started.get(), 1);
        assert_eq!(run_state, "may_have_run", "{path}: {code}");
        let state = node.proposer.state.lock().unwrap();
        let claims: Vec<&ClaimState> = state.claims.values().map(|claim| &claim.state).collect();
        let expected = if path == RUNS_ONCE { vec![&ClaimState::Unknown] } else { Vec::new() };
        assert_eq!(claims, expected, "{path}");
    }
    let node = Node::start(PROMPT_RULES).await;
    node.script(&[&[Step::Silence(Duration::from_mins(10))]]);
    let events = node.prompt("opera-a", "la la");
    sleep(SENT).await;
    node.shared.planned_stop.announce_end();
    assert_eq!(refusal_of(events).await.run_state, RunState::MayHaveRun);
}

/// Guards against a request that is sent after a stop has refused it as not run while its claim was proposed.
#[actix_rt::test]
async fn a_request_that_a_stop_refuses_before_its_claim_is_granted_is_not_sent() {
    let node = Node::start(CALL_RULES).await;
    node.proposer.faults.lock().unwrap().push_back(Fault::NoReply);
    let stop = async {
        sleep(SENT).await;
        node.shared.planned_stop.announce_end();
    };
    let (refused, ()) = futures::future::join(call(&node, RUNS_ONCE, "k"), stop).await;
    assert_eq!(refused, (1306, "not_run".to_owned()));
    // The key is given back, although the claim was committed.
    sleep(Duration::from_secs(1)).await;
    assert!(node.proposer.state.lock().unwrap().claims.is_empty());
    assert_eq!(node.plain.started.get(), 0);
}
