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
    let report = Command::ReportCrash(report);
    node.shared.cluster.propose(report.clone()).await.unwrap();
    let mut state = node.proposer.state.lock().unwrap();
    let index = state.applied_index + 1;
    state.apply(index, 0, &report);
}

/// Guards against a second run of a request that became suspect while its first engine was silent: at another engine, or by
/// a caller that sent it again.
#[actix_rt::test]
async fn a_request_that_becomes_suspect_runs_at_its_silent_engine_only() {
    let node = Node::start(RULES).await;
    node.script(&[PAUSED, &[Step::Finish(1)], &[Step::Finish(1)]]);
    let receiver = node.prompt("opera-a", "la la");
    sleep(Duration::from_millis(50)).await;
    crash_elsewhere(&node).await;
    sleep(Duration::from_millis(1_500)).await;
    let resent = collect_response(node.prompt("opera-a", "la la")).await;
    assert_eq!(collect_response(receiver).await, ("t0 t1 ".to_owned(), None));
    assert_eq!(node.engine.attempts.borrow().len(), 1);
    assert_eq!(resent, (String::new(), Some(1307)));
}

/// Guards against a crash that is not reported, because another engine was asked when it showed and took over.
#[actix_rt::test]
async fn a_crash_of_a_silent_engine_is_reported_though_another_one_takes_over() {
    let node = Node::start(RULES).await;
    node.script(&[
        &[Step::Token(0, None), Step::Silence(Duration::from_millis(1_500)), Step::Cut],
        &[Step::Silence(Duration::from_millis(900)), Step::Finish(1)],
    ]);
    let receiver = node.prompt("opera-a", "la la");
    sleep(Duration::from_millis(1_300)).await;
    assert_eq!(node.engine.attempts.borrow().len(), 2);
    node.engine.incarnation.set(7);
    assert_eq!(collect_response(receiver).await, ("t0 t1 ".to_owned(), None));
    let proposed = node.proposer.proposed.lock().unwrap();
    assert_eq!(proposed.iter().filter(|command| matches!(command, Command::ReportCrash(_))).count(), 1);
}

/// Guards against clearing a request of a crash by a run that began before it.
#[actix_rt::test]
async fn a_run_that_began_before_a_crash_clears_its_request_of_none() {
    let node = Node::start(RULES).await;
    node.script(&[PAUSED]);
    let receiver = node.prompt("opera-a", "la la");
    sleep(Duration::from_millis(50)).await;
    crash_elsewhere(&node).await;
    assert_eq!(collect_response(receiver).await, ("t0 t1 ".to_owned(), None));
    sleep(Duration::from_millis(50)).await;
    let proposed = node.proposer.proposed.lock().unwrap();
    let ends = proposed.iter().filter_map(|command| match command {
        Command::EndSuspectRun(end) => Some(end.finished),
        _ => None,
    });
    assert_eq!(ends.collect::<Vec<_>>(), [false]);
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

/// Rules by which little of the deadline is left when silence shows.
const LATE_RULES: &str =
    "[service]\nname = lyric-llm\n[deadlines]\nprogress_ms = 20000\n[retries]\nmax_attempts = 3\n";
/// A stream that goes on after its silence has shown, before its deadline.
const LATE: &[Step] = &[
    Step::Token(0, None),
    Step::Silence(Duration::from_secs(22)),
    Step::Token(1, None),
    Step::Silence(Duration::from_secs(1)),
    Step::Finish(2),
];

/// Dispatches a prompt whose first engine plays `LATE`, and checks that its tokens arrive though another engine is asked
/// meanwhile, which sends its head after `start_delay`.
async fn assert_late_engine_is_read(second: &[Step], start_delay: Duration) {
    let node = Node::start(LATE_RULES).await;
    tokio::time::pause();
    node.script(&[LATE, second]);
    let receiver = node.prompt("opera-a", "la la");
    sleep(Duration::from_millis(50)).await;
    node.engine.start_delay.set(start_delay);
    assert_eq!(collect_response(receiver).await, ("t0 t1 t2 ".to_owned(), None));
    sleep(Duration::from_millis(50)).await;
    let attempts = node.engine.attempts.borrow();
    assert_eq!(attempts.len(), 2, "no other engine was asked, or more than one");
    assert_eq!(*node.engine.cancelled.borrow(), [attempts[1].1.attempt_id.clone()]);
}

/// Guards against a complete answer that is not read, because another engine was asked and sends no head until the deadline.
#[actix_rt::test]
async fn an_engine_that_goes_on_while_another_one_is_asked_is_read() {
    assert_late_engine_is_read(&[], Duration::from_mins(10)).await;
}

/// Guards against giving up a silent engine for one that accepts the request and then sends nothing.
#[actix_rt::test]
async fn an_engine_that_goes_on_while_another_one_sends_no_token_is_read() {
    assert_late_engine_is_read(STALLED_HEAD, Duration::ZERO).await;
}

/// A stream that stays silent after its head.
const STALLED_HEAD: &[Step] = &[Step::Silence(Duration::from_mins(10)), Step::Token(1, None)];

/// Guards against a stream of two engines' tokens, and against tokens that are sent twice: once another engine has gone on
/// with the stream, the silent one is not read any more.
#[actix_rt::test]
async fn a_stream_that_another_engine_goes_on_with_has_no_token_of_the_silent_one() {
    let node = Node::start(LATE_RULES).await;
    tokio::time::pause();
    let pause = Duration::from_millis(1_500);
    node.script(&[
        LATE,
        &[
            Step::Token(1, None),
            Step::Silence(pause),
            Step::Token(2, None),
            Step::Silence(pause),
            Step::Finish(3),
        ],
    ]);
    let response = collect_response(node.prompt("opera-a", "la la")).await;
    assert_eq!(response, ("t0 t1 t2 t3 ".to_owned(), None));
    sleep(Duration::from_millis(50)).await;
    let attempts = node.engine.attempts.borrow();
    assert_eq!(*node.engine.cancelled.borrow(), [attempts[0].1.attempt_id.clone()]);
}

/// Guards against a stream that goes on after its deadline, for as long as its engine sends tokens between probes.
#[actix_rt::test]
async fn a_stream_with_slow_tokens_ends_at_its_deadline() {
    let node = start_with_one_engine(RULES).await;
    let mut steps = Vec::new();
    for index in 0..1_000 {
        steps.extend([Step::Token(index, None), Step::Silence(Duration::from_millis(400))]);
    }
    node.script(&[&steps]);
    let start = Instant::now();
    assert_eq!(collect_response(node.prompt("opera-a", "la la")).await.1, Some(1402));
    let elapsed = start.elapsed();
    assert!(elapsed >= DEADLINE && elapsed < DEADLINE + Duration::from_secs(2), "{elapsed:?}");
}

/// Guards against refusing a request whose engine went on while the node probed it, shortly before the deadline.
#[actix_rt::test]
async fn an_answer_that_arrives_during_a_probe_at_the_deadline_is_read() {
    let node = start_with_one_engine(&LATE_RULES.replace("20000", "29300")).await;
    node.script(&[&[Step::Silence(Duration::from_millis(29_600)), Step::Token(0, None), Step::Finish(1)]]);
    assert_complete(&node).await;
}
