//! Engines that fall silent during a stream and go on, when no other engine can take the request.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::Duration;

use daisysill_control::command::{Command, ReportCrash};
use daisysill_node::crash::fingerprint;
use daisysill_wire::http_types::InstanceKind;
use support::{Fault, Node, Step, collect_response};
use tokio::time::{Instant, sleep};

mod support;

const RULES: &str =
    "[service]\nname = lyric-llm\n[deadlines]\nprogress_ms = 1000\n[retries]\nmax_attempts = 3\n";
/// Longer than the limit on the response to a probe.
const PROBE_DELAY: Duration = Duration::from_millis(600);
/// Longer than the progress timeout and two probes together.
const PAUSE: Duration = Duration::from_millis(2_600);
/// Time from the arrival of a prompt of `Node::prompt` to its deadline.
const DEADLINE: Duration = Duration::from_secs(30);

/// A stream that pauses after its first token.
const PAUSED: &[Step] = &[Step::Token(0, None), Step::Silence(PAUSE), Step::Finish(1)];
/// A stream that stays silent after its first token.
const STALLED: &[Step] = &[Step::Token(0, None), Step::Silence(Duration::from_mins(10))];

/// Starts a node with one engine, which does not respond to probes, on a paused clock.
async fn start_with_one_engine(rules: &str) -> Node {
    let node = Node::start(rules).await;
    node.platform.instances.borrow_mut().retain(|instance| instance.id != "lyric-2");
    sleep(Duration::from_millis(200)).await;
    tokio::time::pause();
    node.engine.load_delay.set(PROBE_DELAY);
    node
}

async fn assert_complete(node: &Node) {
    assert_eq!(collect_response(node.prompt("opera-a", "la la")).await, ("t0 t1 ".to_owned(), None));
}

/// Guards against ending a response because its only engine was silent for longer than the progress timeout.
#[actix_rt::test]
async fn a_stream_goes_on_when_its_only_engine_does() {
    let node = start_with_one_engine(RULES).await;
    node.script(&[PAUSED]);
    assert_complete(&node).await;
    assert_eq!(node.engine.attempts.borrow().len(), 1);

    // Silent before its first event, and twice in one stream.
    node.script(&[&[Step::Silence(PAUSE), Step::Token(0, None), Step::Silence(PAUSE), Step::Finish(1)]]);
    assert_complete(&node).await;
    assert_eq!(node.engine.attempts.borrow().len(), 2);

    // Silent before the head of its response.
    node.engine.start_delay.set(PAUSE);
    node.script(&[&[Step::Token(0, None), Step::Finish(1)]]);
    assert_complete(&node).await;
    assert_eq!(node.engine.attempts.borrow().len(), 3);
}

/// Guards against ending a response because its engine fell silent during the last permitted attempt.
#[actix_rt::test]
async fn a_silent_last_attempt_goes_on() {
    let node = Node::start(&RULES.replace("max_attempts = 3", "max_attempts = 1")).await;
    tokio::time::pause();
    node.script(&[PAUSED]);
    assert_complete(&node).await;
    assert_eq!(node.engine.attempts.borrow().len(), 1);
}

/// Guards against giving up a silent engine before another one has accepted the request: both of the others may be full.
#[actix_rt::test]
async fn a_stream_goes_on_when_all_others_refuse_it() {
    let node = Node::start(RULES).await;
    tokio::time::pause();
    node.script(&[PAUSED, &[Step::Refuse], &[Step::Refuse], &[Step::Refuse], &[Step::Refuse]]);
    assert_complete(&node).await;
    let attempts = node.engine.attempts.borrow();
    assert!(attempts.len() > 1, "no other engine was asked");
    assert!(!node.engine.cancelled.borrow().contains(&attempts[0].1.attempt_id));
}

/// Guards against waiting for a silent engine although another one that was full has room again.
#[actix_rt::test]
async fn an_engine_that_was_full_takes_over_later() {
    let node = Node::start(RULES).await;
    tokio::time::pause();
    node.script(&[STALLED, &[Step::Refuse], &[Step::Refuse], &[Step::Finish(1)]]);
    let start = Instant::now();
    assert_complete(&node).await;
    assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
}

/// Guards against waiting for a silent engine although a new one has been listed.
#[actix_rt::test]
async fn an_engine_that_is_listed_later_takes_over() {
    let node = start_with_one_engine(RULES).await;
    node.script(&[STALLED, &[Step::Finish(1)]]);
    let start = Instant::now();
    let receiver = node.prompt("opera-a", "la la");
    sleep(Duration::from_secs(5)).await;
    assert_eq!(node.engine.attempts.borrow().len(), 1);
    node.platform.add(InstanceKind::Engine, "lyric-llm", "lyric-3");
    assert_eq!(collect_response(receiver).await, ("t0 t1 ".to_owned(), None));
    assert!(start.elapsed() < Duration::from_secs(9), "{:?}", start.elapsed());
    assert!(node.engine.attempts.borrow()[1].0.contains("lyric-3"));
    sleep(Duration::from_millis(50)).await;
    let silent = node.engine.attempts.borrow()[0].1.attempt_id.clone();
    assert!(node.engine.cancelled.borrow().contains(&silent), "the silent engine still works");
}

/// Guards against a response that never ends: a stalled stream, and one with stray events only, end at the deadline.
#[actix_rt::test]
async fn a_stream_without_progress_ends_at_its_deadline() {
    let node = start_with_one_engine(RULES).await;
    let mut strays = vec![Step::Token(0, None)];
    for _ in 0..1_000 {
        strays.push(Step::Silence(Duration::from_millis(400)));
        strays.push(Step::Token(0, None));
    }
    for script in [STALLED, &strays[..]] {
        node.script(&[script]);
        let start = Instant::now();
        assert_eq!(collect_response(node.prompt("opera-a", "la la")).await, ("t0 ".to_owned(), Some(1402)));
        let elapsed = start.elapsed();
        assert!(elapsed >= DEADLINE && elapsed < DEADLINE + Duration::from_secs(2), "{elapsed:?}");
    }
}

/// Guards against waiting until the deadline for an engine that crashed while its connection was silent.
#[actix_rt::test]
async fn a_request_of_a_silent_engine_that_crashed_is_refused() {
    let node = start_with_one_engine(RULES).await;
    node.script(&[STALLED]);
    let start = Instant::now();
    let receiver = node.prompt("opera-a", "la la");
    sleep(Duration::from_secs(4)).await;
    node.engine.load_delay.set(Duration::ZERO);
    node.engine.incarnation.set(7);
    assert_eq!(collect_response(receiver).await, ("t0 ".to_owned(), Some(1401)));
    assert!(start.elapsed() < Duration::from_secs(7), "{:?}", start.elapsed());
}

/// Makes the cluster know a crash that the prompt `la la` was part of.
async fn crash_elsewhere(node: &Node) {
    let report = ReportCrash {
        upstream: "lyric-9".into(),
        incarnation: 1,
        fingerprints: vec![fingerprint(&"opera-a".into(), &"lyric-llm".into(), "", "la la")],
        block_ms: 60_000,
    };
    node.shared.cluster.propose(Command::ReportCrash(report)).await.unwrap();
}

/// Guards against ending the response of a suspect request, which may not run at another engine meanwhile.
#[actix_rt::test]
async fn a_suspect_request_goes_on_at_its_silent_engine() {
    let node = Node::start(RULES).await;
    crash_elsewhere(&node).await;
    tokio::time::pause();
    node.script(&[PAUSED]);
    assert_complete(&node).await;
    assert_eq!(node.engine.attempts.borrow().len(), 1);
    let proposed = node.proposer.proposed.lock().unwrap();
    assert_eq!(proposed.iter().filter(|command| matches!(command, Command::StartSuspectRun(_))).count(), 1);
}

/// Guards against ending a response because no majority permits another run of a request that has become suspect.
#[actix_rt::test]
async fn a_request_goes_on_at_its_silent_engine_while_no_other_is_permitted() {
    let node = Node::start(RULES).await;
    node.script(&[PAUSED]);
    let receiver = node.prompt("opera-a", "la la");
    sleep(Duration::from_millis(50)).await;
    crash_elsewhere(&node).await;
    node.proposer.faults.lock().unwrap().extend([Fault::NotCommitted; 100]);
    assert_eq!(collect_response(receiver).await, ("t0 t1 ".to_owned(), None));
    assert_eq!(node.engine.attempts.borrow().len(), 1);
    assert!(!node.proposer.proposed.lock().unwrap().is_empty(), "no other run was asked for");
}
