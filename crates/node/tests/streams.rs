//! Token streams under broken and silent connections, stray events, slow callers and callers that disconnect.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::Duration;

use support::{Node, Step, collect_response};
use tokio::time::{Instant, sleep};

mod support;

const RULES: &str =
    "[service]\nname = lyric-llm\n[deadlines]\nprogress_ms = 1000\n[retries]\nmax_attempts = 3\n";

/// Guards against a resumed stream that repeats or loses tokens, or that continues with another weight version.
#[actix_rt::test]
async fn a_broken_stream_resumes_after_the_delivered_tokens() {
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

/// Guards against events of another attempt, or the same token twice, in a response.
#[actix_rt::test]
async fn events_that_are_late_duplicate_or_of_another_attempt_are_dropped() {
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

/// Guards against stray events that extend the progress timeout of an attempt without progress.
#[actix_rt::test]
async fn stray_events_do_not_count_as_progress() {
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

/// Guards against excluding a healthy upstream because one connection went silent, and against further use of
/// an upstream whose new connections are silent too, which is awaited until the deadline.
#[actix_rt::test]
async fn an_upstream_is_excluded_only_if_a_new_connection_is_silent_too() {
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
    let start = Instant::now();
    assert_eq!(collect_response(node.prompt("opera-a", "la la")).await.1, Some(1402));
    let deadline = Duration::from_secs(30);
    assert!(
        (deadline..deadline + Duration::from_secs(1)).contains(&start.elapsed()),
        "{:?}",
        start.elapsed()
    );
    assert_eq!(node.engine.attempts.borrow().len(), 4);
}

/// Guards against buffering the whole response in memory for a caller that reads slowly.
#[actix_rt::test]
async fn a_slow_caller_limits_reading_from_its_upstream() {
    let node = Node::start(RULES).await;
    let script: Vec<Step> = (0..10_000).map(|index| Step::Token(index, None)).collect();
    node.script(&[&script]);
    let mut receiver = node.prompt("opera-a", "la la");
    receiver.recv().await.unwrap();
    sleep(Duration::from_millis(100)).await;
    let pulled = node.engine.pulled.get();
    assert!(pulled < 80, "{pulled} events read for a caller that received one");
}

/// Guards against work that continues after the caller disconnected, in each phase of an attempt.
#[actix_rt::test]
async fn an_attempt_is_cancelled_when_its_caller_disconnects() {
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
