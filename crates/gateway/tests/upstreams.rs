//! Reports of unreachable upstreams between entry nodes.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use daisysill_gateway::upstreams::{Upstream, Upstreams};
use daisysill_wire::peer::{UpstreamEntry, UpstreamLoad};
use tokio::time::advance;

fn start() -> (Upstreams, Rc<Upstream>) {
    let upstreams = Upstreams::new("bkk-sathorn".into());
    upstreams.replace(&[UpstreamEntry {
        id: "i-1".into(),
        started_unix_ms: 1,
        service: "lyric-llm".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "bkk-bangna".into(),
        slots: 16,
        draining: false,
        loading: false,
        models: BTreeMap::new(),
    }]);
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
