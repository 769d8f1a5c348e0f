//! Requests that crash the upstreams that run them.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::Duration;

use daisysill_control::command::{Command, EndSuspectRun, PromptCrash, ReportPromptRun};
use daisysill_core::{block::BlockScope, ids::WeightVersion};
use daisysill_node::{
    crash::{BlockedRequests, fingerprint},
    prompt_runs::part_keys,
};
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

/// Guards against crashes that are not reported, and against a broken connection that is reported as a crash.
#[actix_rt::test]
async fn only_a_new_incarnation_or_an_unreachable_upstream_is_a_crash() {
    let node = Node::start(RULES).await;
    let broken_stream: &[Step] = &[Step::Token(0, None), Step::Cut];
    node.script(&[broken_stream]);
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

    // Each crash gets a prompt of its own: one that was part of two crashes does not run until they are evaluated.
    sleep(Duration::from_millis(100)).await;
    node.script(&[broken_stream]);
    node.engine.unreachable.set(true);
    assert_eq!(collect_response(node.prompt("opera-a", "la la la")).await.1, Some(1401));
    assert_eq!(reports(&node).len(), 2);

    node.engine.unreachable.set(false);
    sleep(Duration::from_millis(200)).await;
    node.script(&[&[Step::Token(0, None), Step::Silence(Duration::from_millis(100)), Step::Cut]]);
    let receiver = node.prompt("opera-a", "la la la la");
    sleep(Duration::from_millis(50)).await;
    // An upstream that does not respond in time may be healthy behind a slow link.
    node.engine.load_delay.set(Duration::from_secs(2));
    assert_eq!(collect_response(receiver).await.1, Some(1401));
    assert_eq!(reports(&node).len(), 2);
}

/// Guards against running a blocked request again, and against refusing other requests, such as the same prompt of
/// another customer.
#[actix_rt::test]
async fn only_a_blocked_fingerprint_is_refused() {
    use daisysill_control::command::ReportCrash;
    let node = Node::start(RULES).await;
    let blocked = fingerprint(&"opera-a".into(), &"lyric-llm".into(), "", "la la");
    for upstream in ["lyric-1", "lyric-2"] {
        let report = ReportCrash {
            upstream: upstream.into(),
            incarnation: 1,
            fingerprints: vec![blocked.clone()],
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

/// Guards against a block that does not end on a node after `block_s` of the rules.
#[actix_rt::test]
async fn a_block_ends_after_the_time_in_the_rules() {
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

/// Guards against running a suspect request again without permission from the agreed state, and against a request
/// that stays suspect after it finished.
#[actix_rt::test]
async fn a_suspect_request_needs_permission_and_reports_its_end() {
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
    // A run whose permission may have been committed is ended too.
    let is_end = |command: &Command| matches!(command, Command::EndSuspectRun(_));
    let ends = node.proposer.proposed.lock().unwrap().iter().filter(|c| is_end(c)).count();
    assert_eq!(ends, 2, "the run whose permission was not committed, and the one that finished");
    let is_finish =
        |command: &Command| matches!(command, Command::EndSuspectRun(EndSuspectRun { finished: true, .. }));
    assert_eq!(node.proposer.proposed.lock().unwrap().iter().filter(|c| is_finish(c)).count(), 1);

    let proposed = node.proposer.proposed.lock().unwrap().len();
    node.script(&[&[Step::Finish(0)]]);
    assert_eq!(collect_response(node.prompt("opera-a", "la la")).await.1, None);
    assert_eq!(
        node.proposer.proposed.lock().unwrap().len(),
        proposed,
        "a cleared request needs no permission"
    );
}

/// Longer than a piece of the test service, of ten bytes.
const PREFIX: &str = "la la la la ";

/// Returns the keys of the prefix for a customer.
fn prefix(customer: &str) -> Vec<u64> {
    let (customer, service) = (customer.into(), "lyric-llm".into());
    let scope = BlockScope {
        customer: &customer,
        service: &service,
        adapter: "",
        weight_version: WeightVersion::default(),
    };
    part_keys(&scope, PREFIX, 10)
}

/// Makes the cluster know `crashes` crashes in succession under the prefix of customer `opera-a`.
async fn crash_under_prefix(node: &Node, crashes: u64) {
    for number in 0..crashes {
        let crash = PromptCrash {
            upstream: format!("lyric-{number}").as_str().into(),
            incarnation: 1,
            fingerprint: number,
            sent_ms_ago: 0,
            broke_ms_ago: 0,
        };
        let report = ReportPromptRun { parts: prefix("opera-a"), crash: Some(crash) };
        node.shared.cluster.propose(Command::ReportPromptRun(report)).await.unwrap();
    }
}

fn prompt_reports(node: &Node) -> Vec<ReportPromptRun> {
    let proposed = node.proposer.proposed.lock().unwrap();
    let reports = proposed.iter().filter_map(|command| match command {
        Command::ReportPromptRun(report) => Some(report.clone()),
        _ => None,
    });
    reports.collect()
}

/// Guards against prompts that crash one upstream after the other because they begin alike, and against refusing prompts of
/// another customer or with another prefix.
#[actix_rt::test]
async fn prompts_with_a_blocked_prefix_are_refused() {
    let node = Node::start(RULES).await;
    crash_under_prefix(&node, 3).await;
    node.script(&[&[Step::Finish(0)], &[Step::Finish(0)]]);
    let again = format!("{PREFIX}again");
    assert_eq!(collect_response(node.prompt("opera-a", &again)).await, (String::new(), Some(1307)));
    assert!(node.engine.attempts.borrow().is_empty());
    assert_eq!(collect_response(node.prompt("opera-b", &again)).await.1, None);
    assert_eq!(collect_response(node.prompt("opera-a", "la la le la la")).await.1, None);
}

/// Guards against crashes that are not reported with the prefixes of their prompts.
#[actix_rt::test]
async fn a_crash_is_reported_with_the_prefixes_of_its_prompt() {
    let node = Node::start(RULES).await;
    node.script(&[&[Step::Token(0, None), Step::Silence(Duration::from_millis(200)), Step::Cut]]);
    let receiver = node.prompt("opera-a", &format!("{PREFIX}0"));
    sleep(Duration::from_millis(20)).await;
    node.engine.incarnation.set(7);
    assert_eq!(collect_response(receiver).await.1, Some(1401));
    let reports = prompt_reports(&node);
    assert_eq!(reports.len(), 1);
    assert_eq!(reports[0].parts, prefix("opera-a"));
    let crash = reports[0].crash.as_ref().unwrap();
    assert!(crash.sent_ms_ago >= 180 && crash.sent_ms_ago > crash.broke_ms_ago, "{crash:?}");
}

/// Guards against a prefix that stays suspect although a prompt with it completed, so that three unrelated crashes would
/// block it, and against a report of each completed prompt.
#[actix_rt::test]
async fn a_completed_prompt_is_reported_if_its_prefix_is_suspect() {
    let node = Node::start(RULES).await;
    node.script(&[&[Step::Finish(0)], &[Step::Finish(0)]]);
    let prompt = format!("{PREFIX}0");
    assert_eq!(collect_response(node.prompt("opera-a", &prompt)).await.1, None);
    crash_under_prefix(&node, 1).await;
    assert_eq!(collect_response(node.prompt("opera-a", &prompt)).await.1, None);
    sleep(Duration::from_millis(50)).await;
    assert_eq!(prompt_reports(&node), [ReportPromptRun { parts: prefix("opera-a"), crash: None }]);
}
