//! What an entry node tells the others of upstreams that it cannot reach.

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
    let upstream = upstreams.of(&"lyric-llm".into()).remove(0);
    (upstreams, upstream)
}

/// Guards against an upstream that stays out of reach for all nodes since one node told so long ago.
#[tokio::test(start_paused = true)]
async fn an_upstream_out_of_reach_is_told_until_it_is_heard_or_for_a_while() {
    let (upstreams, upstream) = start();
    assert!(upstreams.loads().is_empty());
    upstream.unreachable();
    let told: Vec<UpstreamLoad> = upstreams.loads();
    assert_eq!((told.len(), told[0].requests), (1, 0));
    assert!(upstreams.is_told_unreachable(&told[0]));
    upstream.heard();
    assert!(upstreams.loads().is_empty());
    upstream.unreachable();
    advance(Duration::from_millis(1_100)).await;
    assert_eq!(upstreams.loads().len(), 1);
    advance(Duration::from_millis(200)).await;
    assert!(upstreams.loads().is_empty());
}

/// Guards against news of others that outweigh what this node saw itself.
#[tokio::test(start_paused = true)]
async fn own_evidence_goes_before_that_of_others() {
    let (_, upstream) = start();
    assert!(upstream.is_unheard());
    upstream.heard();
    assert!(!upstream.is_unheard());
    advance(Duration::from_millis(600)).await;
    assert!(upstream.is_unheard());
    upstream.unreachable();
    assert!(!upstream.is_unheard() && upstream.is_unreachable());
    // When its pause is over, this node tries for itself.
    advance(Duration::from_millis(300)).await;
    assert!(!upstream.is_unheard() && !upstream.is_unreachable());
}
