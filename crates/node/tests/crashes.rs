//! Requests that take down the upstreams that run them.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::Duration;

use daisysill_control::command::{Command, EndSuspectRun};
use daisysill_node::crash::{BlockedRequests, fingerprint};
use support::{Fault, Node, Step, collect_response};
use tokio::time::sleep;

mod support;

const RULES: &str = "[service]\nname = lyric-llm\n[crashes]\nblock_s = 60\n[retries]\nmax_attempts = 1\n";

fn reports(node: &Node) -> Vec<Vec<String>> {
    let proposed = node.proposer.proposed.lock().unwrap();
    let reports = proposed.iter().filter_map(|command| match command {
        Command::ReportCrash(report) => Some(report.fingerprints.clone()),
        _ => None,
    });
    reports.collect()
}

/// Guards against crashes that go unreported, and against a cut connection that is taken for a crash.
#[actix_rt::test]
async fn only_a_new_incarnation_or_an_unreachable_upstream_is_a_crash() {
    let node = Node::start(RULES).await;
    let cut: &[Step] = &[Step::Token(0, None), Step::Cut];
    node.script(&[cut]);
    assert_eq!(collect_response(node.prompt("opera-a", "la la")).await.1, Some(1401));
    assert!(reports(&node).is_empty());

    // The monitor sees the new incarnation before the attempt fails.
    node.script(&[&[Step::Token(0, None), Step::Silence(Duration::from_millis(200)), Step::Cut]]);
    let receiver = node.prompt("opera-a", "la la");
    sleep(Duration::from_millis(20)).await;
    node.engine.incarnation.set(7);
    assert_eq!(collect_response(receiver).await.1, Some(1401));
    let expected = fingerprint(&"opera-a".into(), &"lyric-llm".into(), "", "la la");
    assert_eq!(reports(&node), [vec![expected.clone()]]);

    // Each crash has a prompt of its own: one that was part of two crashes does not run until they are judged.
    sleep(Duration::from_millis(100)).await;
    node.script(&[cut]);
    node.engine.unreachable.set(true);
    assert_eq!(collect_response(node.prompt("opera-a", "la la la")).await.1, Some(1401));
    assert_eq!(reports(&node).len(), 2);

    node.engine.unreachable.set(false);
    sleep(Duration::from_millis(200)).await;
    node.script(&[&[Step::Token(0, None), Step::Silence(Duration::from_millis(100)), Step::Cut]]);
    let receiver = node.prompt("opera-a", "la la la la");
    sleep(Duration::from_millis(50)).await;
    // An upstream that does not answer in time may be healthy behind a slow link.
    node.engine.load_delay.set(Duration::from_secs(2));
    assert_eq!(collect_response(receiver).await.1, Some(1401));
    assert_eq!(reports(&node).len(), 2);
}

/// Guards against a blocked request that runs again, here or for another customer with the same prompt.
#[actix_rt::test]
async fn a_blocked_fingerprint_is_refused_and_an_innocent_one_is_served() {
    use daisysill_control::command::ReportCrash;
    let node = Node::start(RULES).await;
    let guilty = fingerprint(&"opera-a".into(), &"lyric-llm".into(), "", "la la");
    for upstream in ["lyric-1", "lyric-2"] {
        let report = ReportCrash {
            upstream: upstream.into(),
            incarnation: 1,
            fingerprints: vec![guilty.clone()],
            block_ms: 60_000,
        };
        node.shared.cluster.propose(Command::ReportCrash(report)).await.unwrap();
    }
    node.script(&[&[Step::Finish(0)], &[Step::Finish(0)]]);
    assert_eq!(collect_response(node.prompt("opera-a", "la la")).await, (String::new(), Some(1307)));
    assert!(node.engine.attempts.borrow().is_empty());
    assert_eq!(collect_response(node.prompt("opera-b", "la la")).await.1, None);
    assert_eq!(collect_response(node.prompt("opera-a", "la")).await.1, None);
}

/// Guards against a block that never ends on a node.
#[actix_rt::test]
async fn a_block_ends_after_the_time_of_its_rule() {
    let node = Node::start(RULES).await;
    tokio::time::pause();
    let rules = node.shared.rules_of(&"lyric-llm".into());
    let (blocked, requests) = ([("f".to_owned(), 9)].into(), BlockedRequests::default());
    assert!(requests.contains(&blocked, "f", &rules));
    sleep(Duration::from_secs(59)).await;
    assert!(requests.contains(&blocked, "f", &rules));
    sleep(Duration::from_secs(1)).await;
    assert!(!requests.contains(&blocked, "f", &rules));
    assert!(!requests.contains(&blocked, "g", &rules));
}

/// Guards against a second run of a request that crashed an upstream which the agreed state did not permit, and
/// against a finished one that stays under suspicion.
#[actix_rt::test]
async fn a_request_of_a_crash_asks_before_it_runs_and_reports_its_end() {
    let node = Node::start(RULES).await;
    node.script(&[&[Step::Token(0, None), Step::Silence(Duration::from_millis(200)), Step::Cut]]);
    let receiver = node.prompt("opera-a", "la la");
    sleep(Duration::from_millis(20)).await;
    node.engine.incarnation.set(7);
    assert_eq!(collect_response(receiver).await.1, Some(1401));
    assert_eq!(node.proposer.state.lock().unwrap().config.suspects.len(), 1);

    sleep(Duration::from_millis(100)).await;
    node.proposer.faults.lock().unwrap().push_back(Fault::NotCommitted);
    assert_eq!(collect_response(node.prompt("opera-a", "la la")).await, (String::new(), Some(1304)));

    node.script(&[&[Step::Finish(0)]]);
    assert_eq!(collect_response(node.prompt("opera-a", "la la")).await.1, None);
    sleep(Duration::from_millis(50)).await;
    // A run whose permission may have been committed is given back too.
    let is_end = |command: &Command| matches!(command, Command::EndSuspectRun(_));
    let ends = node.proposer.proposed.lock().unwrap().iter().filter(|c| is_end(c)).count();
    assert_eq!(ends, 2, "the run whose permission was not committed, and the one that finished");
    let is_finish =
        |command: &Command| matches!(command, Command::EndSuspectRun(EndSuspectRun { finished: true, .. }));
    assert_eq!(node.proposer.proposed.lock().unwrap().iter().filter(|c| is_finish(c)).count(), 1);

    let asked = node.proposer.proposed.lock().unwrap().len();
    node.script(&[&[Step::Finish(0)]]);
    assert_eq!(collect_response(node.prompt("opera-a", "la la")).await.1, None);
    assert_eq!(node.proposer.proposed.lock().unwrap().len(), asked, "a cleared request asks no more");
}
