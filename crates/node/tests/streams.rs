//! Streams under cut and silent connections, mixed-up events, slow callers and callers that disconnect.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::Duration;

use support::{Node, Step, collect_response};
use tokio::time::{Instant, sleep};

mod support;

const RULES: &str =
    "[service]\nname = lyric-llm\n[deadlines]\nprogress_ms = 1000\n[retries]\nmax_attempts = 3\n";

/// Guards against a resumed stream that repeats or loses tokens, or that goes on under other weights.
#[actix_rt::test]
async fn a_cut_stream_resumes_from_the_tokens_delivered() {
    let node = Node::start(RULES).await;
    let (first, second) =
        ([Step::Token(0, None), Step::Token(1, None), Step::Cut], [Step::Token(2, None), Step::Finish(3)]);
    node.script(&[&first, &second]);
    assert_eq!(collect_response(node.prompt("opera-a", "la la")).await, ("t0 t1 t2 t3 ".to_owned(), None));
    let attempts = node.engine.attempts.borrow();
    assert_ne!(attempts[0].0, attempts[1].0);
    assert_eq!(attempts[1].1.resume_from_token, 2);
    assert_eq!(attempts[1].1.resume_text.as_deref(), Some("t0 t1 "));
    assert_eq!(attempts[1].1.weight_version, attempts[0].1.weight_version);
}

/// Guards against events of another attempt, or the same token twice, in an answer.
#[actix_rt::test]
async fn late_doubled_and_crossed_events_are_not_delivered() {
    let node = Node::start(RULES).await;
    let script = [
        Step::Token(0, Some("att-other")),
        Step::Token(0, None),
        Step::Token(0, None),
        Step::Token(1, Some("att-other")),
        Step::Token(1, None),
        Step::Token(0, None),
        Step::Finish(2),
    ];
    node.script(&[&script]);
    assert_eq!(collect_response(node.prompt("opera-a", "la la")).await, ("t0 t1 t2 ".to_owned(), None));
    assert_eq!(node.shared.metrics.stray_events.get(), 4);
}

/// Guards against stray events that keep an attempt without progress alive for ever.
#[actix_rt::test]
async fn stray_events_are_no_progress() {
    let node = Node::start(RULES).await;
    tokio::time::pause();
    let mut strays = vec![Step::Token(0, None)];
    for _ in 0..100 {
        strays.push(Step::Silence(Duration::from_millis(400)));
        strays.push(Step::Token(0, None));
    }
    node.script(&[&strays, &[Step::Finish(1)]]);
    let start = Instant::now();
    assert_eq!(collect_response(node.prompt("opera-a", "la la")).await, ("t0 t1 ".to_owned(), None));
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
}

/// Guards against one silent connection that costs a healthy upstream its place, and against an upstream
/// that stays in use although its new connections are silent too.
#[actix_rt::test]
async fn silence_counts_only_when_a_new_connection_is_silent_too() {
    let node = Node::start(RULES).await;
    node.platform.instances.borrow_mut().retain(|instance| instance.id != "lyric-2");
    sleep(Duration::from_millis(200)).await;
    tokio::time::pause();
    let silent = [Step::Token(0, None), Step::Silence(Duration::from_mins(10))];
    node.script(&[&silent, &[Step::Finish(1)]]);
    assert_eq!(collect_response(node.prompt("opera-a", "la la")).await, ("t0 t1 ".to_owned(), None));
    assert_eq!(node.state("lyric-1"), "live");
    let silent = [Step::Silence(Duration::from_mins(10))];
    node.script(&[&silent, &silent]);
    assert_eq!(collect_response(node.prompt("opera-a", "la la")).await.1, Some(1401));
    assert_eq!(node.engine.attempts.borrow().len(), 4);
}

/// Guards against a caller that reads slowly while its whole answer piles up in memory.
#[actix_rt::test]
async fn a_slow_caller_holds_its_upstream_back() {
    let node = Node::start(RULES).await;
    let script: Vec<Step> = (0..10_000).map(|index| Step::Token(index, None)).collect();
    node.script(&[&script]);
    let mut receiver = node.prompt("opera-a", "la la");
    receiver.recv().await.unwrap();
    sleep(Duration::from_millis(100)).await;
    let pulled = node.engine.pulled.get();
    assert!(pulled < 80, "{pulled} events were read for a caller that took one");
}

/// Guards against work that goes on for a caller who has gone, in each phase of an attempt.
#[actix_rt::test]
async fn a_caller_that_disconnects_has_its_work_cancelled() {
    let node = Node::start(RULES).await;
    let hour = Duration::from_hours(1);
    let waiting = [Step::Silence(hour)];
    let relaying = [Step::Token(0, None), Step::Silence(hour)];
    for (start_delay, script) in
        [(hour, &waiting[..]), (Duration::ZERO, &waiting), (Duration::ZERO, &relaying)]
    {
        node.engine.start_delay.set(start_delay);
        node.script(&[script]);
        let receiver = node.prompt("opera-a", "la la");
        sleep(Duration::from_millis(50)).await;
        drop(receiver);
        sleep(Duration::from_millis(50)).await;
        let attempt = node.engine.attempts.borrow().last().unwrap().1.attempt_id.clone();
        assert!(node.engine.cancelled.borrow().contains(&attempt));
        assert_eq!(node.shared.metrics.in_flight.get(), 0);
    }
}
