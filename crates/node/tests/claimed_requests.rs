//! Non-idempotent requests under lost replies, suspension, retries and callers that disconnect.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::Duration;

use actix_web::{
    App,
    dev::{Service, ServiceResponse},
    test,
    web::Data,
};
use daisysill_control::command::ClaimState;
use daisysill_node::{caller_api, upstream_api::AttemptError};
use futures::future::join;
use support::{Fault, Node, TOKEN};

mod support;

const RULES: &str = "[service]\nname = booth-app\n[never_twice]\ncalls = POST /cues/*/fire\n";

macro_rules! app {
    ($node:expr) => {
        test::init_service(
            App::new()
                .app_data(Data::from($node.shared.clone()))
                .app_data(Data::new($node.clients.clone()))
                .configure(caller_api::routes),
        )
        .await
    };
}

async fn fire<S>(app: &S, path: &str, key: &str, body: &'static str) -> (u16, String, Option<String>)
where
    S: Service<actix_http::Request, Response = ServiceResponse, Error = actix_web::Error>,
{
    let request = test::TestRequest::post()
        .uri(path)
        .insert_header(("authorization", format!("Bearer {TOKEN}")))
        .insert_header(("idempotency-key", key))
        .set_payload(body);
    let response = app.call(request.to_request()).await.unwrap();
    let status = response.status().as_u16();
    let code = response.headers().get("x-daisysill-result-code").map(|v| v.to_str().unwrap().to_owned());
    let body = test::read_body(response).await;
    (status, String::from_utf8(body.to_vec()).unwrap(), code)
}

const FIRE: &str = "/services/booth-app/cues/7/fire";

/// Guards against refusing a retry of a request in progress on the same node, and against running it twice.
#[actix_rt::test]
async fn a_retry_of_a_request_in_progress_gets_its_response() {
    let node = Node::start(RULES).await;
    let app = app!(node);
    node.plain.delay.set(Duration::from_millis(100));
    let (first, second) = join(fire(&app, FIRE, "k", "go"), fire(&app, FIRE, "k", "go")).await;
    assert_eq!((first.0, &first.1), (200, &"run 1".to_owned()));
    assert_eq!(first, second);
    assert_eq!(node.plain.started.get(), 1);
    assert_eq!(node.shared.claimed_requests.count(), 0);
}

/// Guards against a request that is interrupted, or a claim without an outcome, because the caller disconnected.
#[actix_rt::test]
async fn a_request_whose_caller_disconnects_completes_and_is_recorded() {
    let node = Node::start(RULES).await;
    let app = app!(node);
    node.plain.delay.set(Duration::from_millis(200));
    let disconnected = tokio::time::timeout(Duration::from_millis(50), fire(&app, FIRE, "k", "go")).await;
    assert!(disconnected.is_err());
    while node.shared.claimed_requests.count() > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let again = fire(&app, FIRE, "k", "go").await;
    assert_eq!((again.0, again.1.as_str()), (200, "run 1"));
    assert_eq!((node.plain.started.get(), node.plain.finished.get()), (1, 1));
}

/// Guards against a request sent after its dispatch deadline by a process that was suspended during its claim.
#[actix_rt::test]
async fn a_suspended_process_does_not_send_after_the_deadline() {
    let node = Node::start(RULES).await;
    let app = app!(node);
    tokio::time::pause();
    node.proposer.faults.lock().unwrap().push_back(Fault::Suspended(Duration::from_secs(3)));
    let refused = fire(&app, FIRE, "k", "go").await;
    assert_eq!(refused.2.as_deref(), Some("1405"), "{}", refused.1);
    assert!(refused.1.contains("\"not_run\""), "{}", refused.1);
    assert_eq!(node.plain.started.get(), 0);
    let again = fire(&app, FIRE, "k", "go").await;
    assert_eq!((again.0, node.plain.started.get()), (200, 1));
}

/// Guards against losing an outcome because no majority was reachable when the request ended: other nodes would
/// refuse retries as in progress for as long as the claim is kept.
#[actix_rt::test]
async fn an_outcome_is_recorded_once_a_majority_is_reachable() {
    let node = Node::start(RULES).await;
    let app = app!(node);
    tokio::time::pause();
    let faults = [Fault::None, Fault::NotCommitted, Fault::NotCommitted, Fault::NotCommitted];
    node.proposer.faults.lock().unwrap().extend(faults);
    assert_eq!(fire(&app, FIRE, "k", "go").await.0, 200);
    assert_eq!(fire(&app, FIRE, "k", "go").await.1, "run 1");
    tokio::time::sleep(Duration::from_secs(10)).await;
    let state = node.proposer.state.lock().unwrap();
    let claim = state.claims.values().next().unwrap();
    assert!(matches!(claim.state, ClaimState::Answered(_)), "{:?}", claim.state);
}

/// Guards against an idempotency key that stays unusable because the reply to its claim was lost.
#[actix_rt::test]
async fn a_request_with_a_lost_claim_reply_is_not_sent_and_can_be_retried() {
    let node = Node::start(RULES).await;
    let app = app!(node);
    tokio::time::pause();
    node.proposer.faults.lock().unwrap().push_back(Fault::ReplyLost);
    let refused = fire(&app, FIRE, "k", "go").await;
    assert_eq!(refused.2.as_deref(), Some("1304"), "{}", refused.1);
    assert_eq!(node.plain.started.get(), 0);
    tokio::time::sleep(Duration::from_secs(20)).await;
    assert_eq!(fire(&app, FIRE, "k", "go").await.0, 200);
    assert_eq!(node.plain.started.get(), 1);
}

/// Guards against a second send after a failure that leaves open whether the request was executed.
#[actix_rt::test]
async fn a_request_that_may_have_run_is_never_sent_again() {
    let node = Node::start(RULES).await;
    let app = app!(node);
    node.plain.errors.borrow_mut().push_back(AttemptError::Failed("cut".to_owned()));
    let failed = fire(&app, FIRE, "k", "go").await;
    assert_eq!(failed.2.as_deref(), Some("1401"), "{}", failed.1);
    let again = fire(&app, FIRE, "k", "go").await;
    assert_eq!(again.2.as_deref(), Some("1403"), "{}", again.1);
    assert_eq!(node.plain.started.get(), 0);
}

/// Guards against a non-idempotent request without a claim because another spelling of its path does not match
/// the rule.
#[actix_rt::test]
async fn other_spellings_of_a_path_need_a_claim_too() {
    let node = Node::start(RULES).await;
    let app = app!(node);
    for path in ["//cues/7/fire", "/cues/7/fire/", "/cues/./7/fire", "/cues%2F7/fire", "/%63ues/7/fire"] {
        let request = test::TestRequest::post()
            .uri(&format!("/services/booth-app{path}"))
            .insert_header(("authorization", format!("Bearer {TOKEN}")));
        let response = app.call(request.to_request()).await.unwrap();
        let code = response.headers().get("x-daisysill-result-code").unwrap();
        assert_eq!(code, "1206", "{path}");
    }
    assert_eq!(node.plain.started.get(), 0);
}

/// Guards against responses of unlimited size in the replicated log.
#[actix_rt::test]
async fn a_large_response_is_delivered_but_not_stored() {
    let node = Node::start(RULES).await;
    let app = app!(node);
    node.plain.response_bytes.set(100_000);
    assert_eq!(fire(&app, FIRE, "k", "go").await.0, 200);
    let again = fire(&app, FIRE, "k", "go").await;
    assert_eq!(again.2.as_deref(), Some("1403"), "{}", again.1);
    assert_eq!(node.plain.started.get(), 1);
}
