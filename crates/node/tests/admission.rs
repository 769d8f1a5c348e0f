//! Admission of prompts and of requests to plain services.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::Duration;

use actix_web::{App, test, web::Data};
use daisysill_core::rules::RuleSet;
use daisysill_node::{
    admission_control::{AdmissionRequest, AdmissionSlot},
    caller_api,
    refusal::Refusal,
};
use support::{Node, Step, TOKEN, collect_response};
use tokio::time::{Instant, sleep};

mod support;

const RULES: &str = "[service]\nname = booth-app\n[deadlines]\nrequest_ms = 300\n";
const SLOTS: u64 = 64;

async fn admit(node: &Node, customer: &str, service: &str, left_ms: u64) -> Result<AdmissionSlot, Refusal> {
    let (customer, service) = (customer.into(), service.into());
    let rules = RuleSet::default().of(&service);
    let request = AdmissionRequest {
        customer: &customer,
        service: &service,
        shares: &rules.shares,
        slots: SLOTS,
        deadline: Instant::now() + Duration::from_millis(left_ms),
    };
    node.shared.admission.admit(&request).await
}

async fn occupy_all_slots(node: &Node, service: &str) -> Vec<AdmissionSlot> {
    let mut slots = Vec::new();
    for _ in 0..SLOTS {
        slots.push(admit(node, "opera-b", service, 30_000).await.unwrap());
    }
    slots
}

/// Guards against a prompt that starts beyond the concurrency limit, never starts although a slot is free, or
/// stays in the queue after its caller disconnected.
#[actix_rt::test]
async fn a_prompt_waits_for_a_slot_and_leaves_the_queue_with_its_caller() {
    let node = Node::start(RULES).await;
    let mut slots = occupy_all_slots(&node, "lyric-llm").await;
    node.script(&[&[Step::Finish(0)], &[Step::Finish(0)]]);
    let disconnected = node.prompt("opera-a", "la");
    let receiver = node.prompt("opera-a", "la");
    sleep(Duration::from_millis(50)).await;
    assert!(node.engine.attempts.borrow().is_empty());
    drop(disconnected);
    sleep(Duration::from_millis(20)).await;
    slots.pop();
    assert_eq!(collect_response(receiver).await.1, None);
    assert_eq!(node.engine.attempts.borrow().len(), 1, "the disconnected caller got no slot");
    let explained = node.shared.explain.find(None, 2);
    assert!(explained[0].decisions[0].starts_with("queued: 1 of this customer ahead"), "{explained:?}");
    assert!(explained[0].decisions[0].contains("started after"), "{explained:?}");
    assert_eq!(explained[1].states.last().unwrap(), "abandoned");
    assert_eq!(node.shared.metrics.queued_requests.get(), 2);
    drop(slots);
    let all = occupy_all_slots(&node, "lyric-llm").await;
    assert!(all.iter().all(|slot| slot.reason.starts_with("admitted")));
}

/// Guards against a request that waits although it cannot start in time, a refusal without a retry delay, and a
/// customer whose flood of requests fills the queue of the others.
#[actix_rt::test]
async fn requests_that_cannot_start_in_time_are_refused_at_once() {
    let node = Node::start(RULES).await;
    let slots = occupy_all_slots(&node, "booth-app").await;
    let app = test::init_service(
        App::new()
            .app_data(Data::from(node.shared.clone()))
            .app_data(Data::new(node.clients.clone()))
            .configure(caller_api::routes),
    )
    .await;
    let get = || {
        let request = test::TestRequest::get().uri("/services/booth-app/order");
        request.insert_header(("authorization", format!("Bearer {TOKEN}"))).to_request()
    };
    let start = Instant::now();
    let response = test::call_service(&app, get()).await;
    assert!(start.elapsed() < Duration::from_millis(100));
    assert_eq!((response.status().as_u16(), node.plain.started.get()), (503, 0));
    assert!(response.headers().contains_key("retry-after"));
    let body = String::from_utf8(test::read_body(response).await.to_vec()).unwrap();
    assert!(body.contains("\"code\":1302") && body.contains("\"run_state\":\"not_run\""), "{body}");
    drop(slots);
    assert_eq!(test::call_service(&app, get()).await.status().as_u16(), 200);

    // Another customer can still queue a request after the flood has filled its customer's queue.
    let slots = occupy_all_slots(&node, "lyric-llm").await;
    let flood: Vec<_> = (0..65).map(|_| node.prompt("opera-b", "la")).collect();
    sleep(Duration::from_millis(50)).await;
    let mut refused = flood;
    assert_eq!(collect_response(refused.pop().unwrap()).await.1, Some(1301));
    node.script(&[&[Step::Finish(0)]]);
    let receiver = node.prompt("opera-a", "la");
    sleep(Duration::from_millis(50)).await;
    drop(refused);
    sleep(Duration::from_millis(50)).await;
    drop(slots);
    assert_eq!(collect_response(receiver).await.1, None);
    assert_eq!(node.shared.metrics.admission_refusals.get(), 2);
}
