//! Reports of unreachable upstreams between entry nodes.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use daisysill_core::ids::WeightVersion;
use daisysill_gateway::{
    header_codec::ResponseHints,
    process_clock::ProcessClock,
    upstreams::{Upstream, Upstreams},
};
use daisysill_wire::peer::{UpstreamEntry, UpstreamLoad};
use tokio::time::{Instant, advance};

fn entry(started_unix_ms: u64) -> UpstreamEntry {
    UpstreamEntry {
        id: "i-1".into(),
        started_unix_ms,
        service: "lyric-llm".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "bkk-bangna".into(),
        slots: 16,
        draining: false,
        loading: false,
        models: BTreeMap::new(),
    }
}

fn start() -> (Upstreams, Rc<Upstream>) {
    let upstreams = Upstreams::new("bkk-sathorn".into());
    upstreams.replace(&[entry(1)]);
    let upstream = upstreams.accepting(&"lyric-llm".into()).remove(0);
    (upstreams, upstream)
}

/// Guards against an upstream that all nodes consider unreachable because of one node's outdated report.
#[tokio::test(start_paused = true)]
async fn unreachable_report_ends_on_activity_or_after_a_time() {
    let (upstreams, upstream) = start();
    assert!(upstreams.loads().is_empty());
    upstream.record_unreachable();
    let reports: Vec<UpstreamLoad> = upstreams.loads();
    assert_eq!((reports.len(), reports[0].requests), (1, 0));
    assert!(upstreams.is_reported_unreachable(&reports[0]));
    upstream.record_activity();
    assert!(upstreams.loads().is_empty());
    upstream.record_unreachable();
    advance(Duration::from_millis(1_100)).await;
    assert_eq!(upstreams.loads().len(), 1);
    advance(Duration::from_millis(200)).await;
    assert!(upstreams.loads().is_empty());
}

/// Guards against reports of other nodes that override this node's own observations.
#[tokio::test(start_paused = true)]
async fn own_evidence_takes_precedence_over_reports() {
    let (_, upstream) = start();
    assert!(upstream.reachability_unknown());
    upstream.record_activity();
    assert!(!upstream.reachability_unknown());
    advance(Duration::from_millis(600)).await;
    assert!(upstream.reachability_unknown());
    upstream.record_unreachable();
    assert!(!upstream.reachability_unknown() && upstream.is_unreachable());
    // After the backoff, this node tries again itself.
    advance(Duration::from_millis(300)).await;
    assert!(!upstream.reachability_unknown() && !upstream.is_unreachable());
}

/// Guards against an upstream that gets requests again, although it stated that it leaves, since a list in between lacked it.
#[tokio::test(start_paused = true)]
async fn upstream_that_leaves_stays_known_while_it_is_not_listed() {
    let (upstreams, upstream) = start();
    let leaving = ResponseHints { is_leaving: true, ..ResponseHints::default() };
    upstream.hints().record("i-1", &leaving, Instant::now());
    upstreams.replace(&[]);
    upstreams.replace(&[entry(1)]);
    assert!(upstreams.accepting(&"lyric-llm".into()).is_empty());
    upstreams.replace(&[entry(2)]);
    assert_eq!(upstreams.accepting(&"lyric-llm".into()).len(), 1, "a new start takes requests");
}

/// Guards against an upstream that gets requests in the pause that it asked for, since a list in between lacked it.
#[tokio::test(start_paused = true)]
async fn pause_stays_known_while_the_upstream_is_not_listed() {
    let (upstreams, upstream) = start();
    upstream.hints().record_unavailable("i-1", Some(Duration::from_secs(5)));
    upstreams.replace(&[]);
    upstreams.replace(&[entry(1)]);
    let listed = upstreams.accepting(&"lyric-llm".into()).remove(0);
    assert_eq!(listed.hints().wait(1), Duration::from_secs(5));
    advance(Duration::from_secs(6)).await;
    assert_eq!(listed.hints().wait(1), Duration::ZERO);
}

/// Guards against a cold upstream that counts as warm, since a list in between lacked it and the next one was read before it
/// became cold.
#[test]
fn doubt_stays_known_while_the_upstream_is_not_listed() {
    let (upstreams, _) = start();
    let is_doubted = || upstreams.accepting(&"lyric-llm".into())[0].hints().restrict_requests();
    assert!(!is_doubted());
    upstreams.mark_zone_unknown(&"bkk-bangna".into(), &ProcessClock::default());
    upstreams.replace(&[]);
    upstreams.replace(&[entry(1)]);
    assert!(is_doubted());
    upstreams.replace(&[entry(2)]);
    assert!(!is_doubted(), "a new start is judged by the list");
}

/// Guards against an engine that gets no request any more, since requests for weights that it no longer has, and then for
/// weights that it does not have yet, were refused as misdirected.
#[tokio::test]
async fn an_upstream_is_used_again_once_the_list_shows_other_weights() {
    let (upstreams, upstream) = start();
    let accepting = || upstreams.accepting(&"lyric-llm".into()).len();
    upstream.mark_replaced();
    upstreams.replace(&[UpstreamEntry { slots: 17, ..entry(1) }]);
    assert_eq!(accepting(), 0);
    let models = BTreeMap::from([("m".to_owned(), WeightVersion(3))]);
    upstreams.replace(&[UpstreamEntry { models, ..entry(1) }]);
    assert_eq!(accepting(), 1);
}

/// Guards against an upstream that is never used again since it once answered with other weights than expected.
#[tokio::test(start_paused = true)]
async fn upstream_with_other_weights_than_expected_is_tried_again() {
    let (upstreams, upstream) = start();
    upstream.mark_replaced();
    assert!(upstreams.accepting(&"lyric-llm".into()).is_empty());
    advance(Duration::from_secs(5)).await;
    assert_eq!(upstreams.accepting(&"lyric-llm".into()).len(), 1);
}

/// Guards against weights that an upstream had once and that are expected of it for good: the list shows that it went back.
#[tokio::test(start_paused = true)]
async fn list_with_older_weights_replaces_what_was_learned() {
    let with_version = |version| UpstreamEntry {
        models: BTreeMap::from([("m".to_owned(), WeightVersion(version))]),
        ..entry(1)
    };
    let version_of = |upstreams: &Upstreams| upstreams.accepting(&"lyric-llm".into())[0].version_of("m");
    let (upstreams, _) = start();
    upstreams.replace(&[with_version(2)]);
    upstreams.accepting(&"lyric-llm".into())[0].record_version("m", WeightVersion(3));
    upstreams.replace(&[with_version(2)]);
    assert_eq!(
        version_of(&upstreams),
        Some(WeightVersion(3)),
        "an older list says nothing of what was learned since"
    );
    upstreams.replace(&[with_version(3)]);
    upstreams.replace(&[with_version(1)]);
    assert_eq!(version_of(&upstreams), Some(WeightVersion(1)));
}

/// Guards against a speed that each change of the list forgets, and one that outlives a restart of the upstream.
#[test]
fn learned_speed_is_kept_until_the_upstream_restarts() {
    let (upstreams, upstream) = start();
    (0..4).for_each(|at_ms| upstream.learned().record_slowness(2.0, at_ms));
    let listed = || upstreams.accepting(&"lyric-llm".into()).remove(0);
    upstreams.replace(&[UpstreamEntry { slots: 8, ..entry(1) }]);
    assert!(listed().learned().speed(3) < 0.6);
    upstreams.replace(&[entry(2)]);
    assert!((listed().learned().speed(3) - 1.0).abs() < f64::EPSILON);
}
