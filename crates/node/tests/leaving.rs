//! Upstreams that leave or cannot be reached: drain marks, the platform's list, refusals, and polls.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{collections::BTreeSet, time::Duration};

use daisysill_core::ids::InstanceId;
use daisysill_node::upstream_api::AttemptError;
use daisysill_wire::http_types::InstanceState;
use support::{Node, Step, collect_response};
use tokio::time::{Instant, sleep};

mod support;

const RULES: &str = "[service]\nname = lyric-llm\n";
/// Time within which every node stops sending new requests to a leaving upstream.
const LEAVING_TIME: Duration = Duration::from_secs(3);

async fn wait_for(node: &Node, id: &str, state: &str) {
    let end = Instant::now() + LEAVING_TIME;
    while node.state(id) != state {
        assert!(Instant::now() < end, "{id} is {}", node.state(id));
        sleep(Duration::from_millis(5)).await;
    }
}

async fn drain(node: &Node, change: &str, draining: bool) {
    use daisysill_control::command::{Command, SetDrain};
    let drain = SetDrain { change: change.into(), upstream: "lyric-1".into(), draining };
    node.shared.cluster.propose(Command::SetDrain(drain)).await.unwrap();
}

/// Guards against requests for a drained upstream, against a mark that has an effect after it was cleared, and
/// against a cleared mark that returns an upstream to service although the platform lists it as leaving.
#[actix_rt::test]
async fn a_cleared_drain_mark_returns_an_upstream_to_service_unless_it_is_leaving_otherwise() {
    let node = Node::start(RULES).await;
    drain(&node, "d1", true).await;
    wait_for(&node, "lyric-1", "leaving").await;
    for _ in 0..10 {
        node.script(&[&[Step::Finish(0)]]);
        collect_response(node.prompt("opera-a", "la la")).await;
    }
    assert!(node.engine.attempts.borrow().iter().all(|(url, _)| url == "http://lyric-2"));
    drain(&node, "d2", false).await;
    wait_for(&node, "lyric-1", "live").await;

    drain(&node, "d3", true).await;
    wait_for(&node, "lyric-1", "leaving").await;
    node.platform.instances.borrow_mut()[0].state = InstanceState::Leaving;
    sleep(Duration::from_millis(200)).await;
    node.shared.upstreams.apply_drains(&BTreeSet::new());
    assert_eq!(node.state("lyric-1"), "leaving");
}

/// Guards against requests for an upstream that refused one of this or another node because it is leaving, and
/// against a restarted process that is still considered leaving.
#[actix_rt::test]
async fn a_refusal_counts_on_every_node_until_the_process_restarts() {
    let node = Node::start(RULES).await;
    node.shared.upstreams.event(&"lyric-1".into(), "refused");
    assert_eq!(node.state("lyric-1"), "leaving");
    assert_eq!(node.shared.upstreams.refused_here(), ["lyric-1".into()]);
    node.engine.incarnation.set(2);
    wait_for(&node, "lyric-1", "live").await;

    let reported: BTreeSet<InstanceId> = ["lyric-2".into()].into();
    node.shared.upstreams.apply_reported_leaving(&reported);
    assert_eq!(node.state("lyric-2"), "leaving");
    assert!(node.shared.upstreams.refused_here().is_empty());
    node.shared.upstreams.apply_reported_leaving(&BTreeSet::new());
    assert_eq!(node.state("lyric-2"), "live");
}

/// Guards against polls that pile up while an upstream is slow.
#[actix_rt::test]
async fn polls_of_a_slow_upstream_do_not_overlap() {
    let node = Node::start(RULES).await;
    node.engine.load_delay.set(Duration::from_secs(1));
    sleep(Duration::from_millis(600)).await;
    // Two engines, one poll each; the interval is 50 ms.
    assert_eq!(node.engine.max_concurrent_loads.get(), 2);
    assert!(node.shared.metrics.skipped_polls.get() > 0);
}

/// Guards against requests for an upstream that no longer answers polls.
#[actix_rt::test]
async fn an_unreachable_upstream_is_down_within_the_target() {
    let node = Node::start(RULES).await;
    node.engine.unreachable.set(true);
    wait_for(&node, "lyric-1", "down").await;
    wait_for(&node, "lyric-2", "down").await;
    let refused = collect_response(node.prompt("opera-a", "la la")).await;
    assert_eq!(refused, (String::new(), Some(1303)));
    node.plain.unreachable.set(true);
    wait_for(&node, "booth-1", "down").await;
    node.plain.unreachable.set(false);
    wait_for(&node, "booth-1", "live").await;
}

/// Guards against requests for a plain upstream that refused one, and against a restarted process that is
/// considered leaving forever.
#[actix_rt::test]
async fn a_plain_upstream_that_refused_returns_to_service_after_a_restart() {
    let node = Node::start(RULES).await;
    node.shared.upstreams.event(&"booth-1".into(), "refused");
    sleep(Duration::from_millis(200)).await;
    assert_eq!(node.state("booth-1"), "leaving");
    node.plain.unreachable.set(true);
    wait_for(&node, "booth-1", "down").await;
    node.plain.unreachable.set(false);
    wait_for(&node, "booth-1", "live").await;
}

/// Guards against reporting a request as not run although it was sent, and against the reverse.
#[actix_rt::test]
async fn an_attempt_error_tells_whether_the_request_ran() {
    let refused =
        AttemptError::Refused { message: "leaving".to_owned(), leaving: true, retry_after_ms: None };
    assert!(refused.is_not_run());
    assert!(AttemptError::TooLate.is_not_run());
    assert!(!AttemptError::Silent.is_not_run());
}
