//! The view for placement decisions: dispatches since the last load report, and pieces of engines and stores.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{collections::BTreeMap, time::Duration};

use daisysill_core::{block::BlockDescriptor, ids::InstanceId};
use daisysill_wire::{
    http_types::{CacheEvent, CacheEventKind, CacheEvents, EngineLoad},
    peer::{BlockLocation, DispatchCount},
};
use support::Node;
use tokio::time::{Instant, sleep};

mod support;

const RULES: &str = "[service]\nname = lyric-llm\n";

fn wait_ms(node: &Node, id: &str) -> f64 {
    let (view, now_ms) = node.shared.upstreams.view();
    view.wait_us(&id.into(), now_ms).unwrap() / 1_000.0
}

fn load(report_age_ms: u64) -> EngineLoad {
    EngineLoad {
        incarnation: 1,
        prefill_tokens_per_s: 10_000,
        queue_tokens: 0,
        report_age_ms,
        running: 0,
        weight_version: 1,
    }
}

/// Guards against dispatches that count twice or not at all because a load report arrives late, a count of another
/// node is repeated, or an attempt does not reach its upstream.
#[actix_rt::test]
async fn dispatches_count_from_the_time_of_the_load_report() {
    let node = Node::start(RULES).await;
    node.engine.load_delay.set(Duration::from_mins(10));
    sleep(Duration::from_millis(100)).await;
    let (table, first): (_, InstanceId) = (&node.shared.upstreams, "lyric-1".into());

    let guard = table.dispatch(&first, 100_000);
    assert!(wait_ms(&node, "lyric-1") > 9_000.0);
    sleep(Duration::from_millis(5)).await;
    table.apply_load(&first, load(5_000), Instant::now());
    assert!(wait_ms(&node, "lyric-1") > 9_000.0, "the report is older than the dispatch");
    guard.retract();
    assert!(wait_ms(&node, "lyric-1") < 1.0);
    assert_eq!(node.shared.metrics.retracted_dispatches.get(), 1);

    drop(table.dispatch(&first, 100_000));
    assert_eq!(table.dispatch_counts()[&first].tokens, 100_000);
    assert!(wait_ms(&node, "lyric-1") > 9_000.0, "the load report does not cover what ran");
    sleep(Duration::from_millis(5)).await;
    table.apply_load(&first, load(0), Instant::now());
    assert!(wait_ms(&node, "lyric-1") < 1.0);
    assert!(table.dispatch_counts().is_empty());

    let counts = |tokens| BTreeMap::from([("lyric-2".into(), DispatchCount { tokens, window_ms: 20 })]);
    sleep(Duration::from_millis(50)).await;
    for _ in 0..2 {
        table.apply_peer_counts(&"sathorn-2".into(), &counts(100_000), Duration::ZERO);
    }
    assert!((9_000.0..11_000.0).contains(&wait_ms(&node, "lyric-2")), "a repeated count counts once");
    table.apply_peer_counts(&"sathorn-3".into(), &counts(100_000), Duration::from_secs(5));
    assert!(wait_ms(&node, "lyric-2") < 11_000.0, "the load report covers an older count");
    assert_eq!((node.shared.metrics.peer_counts.get(), node.shared.metrics.late_peer_counts.get()), (2, 1));
    let basis = table.load_basis(&"lyric-2".into()).unwrap();
    assert!(basis.ends_with("0 tokens dispatched since by this node, 100000 by others"), "{basis}");
}

/// Guards against a view that keeps pieces after an eviction, a restart or an unlisting, or lacks those that were
/// listed before their store was known.
#[actix_rt::test]
async fn pieces_follow_cache_events_and_the_directory() {
    let node = Node::start(RULES).await;
    let (table, engine): (_, InstanceId) = (&node.shared.upstreams, "lyric-1".into());
    let holds = |id: &str, name: &str| table.view().0.holds(&id.into(), &name.into());
    let apply = |incarnation, events: &[(CacheEventKind, &str)]| {
        let event = |(kind, piece): &(CacheEventKind, &str)| CacheEvent {
            kind: *kind,
            piece: (*piece).to_owned(),
            seq: 0,
        };
        let events = events.iter().map(event).collect();
        table.apply_cache_events(&engine, &CacheEvents { incarnation, events, next_seq: 0 })
    };
    apply(1, &[(CacheEventKind::Stored, "a"), (CacheEventKind::Stored, "b")]);
    let evicted = apply(1, &[(CacheEventKind::Evicted, "a")]);
    assert_eq!((evicted, holds("lyric-1", "a"), holds("lyric-1", "b")), (vec!["a".into()], false, true));
    apply(2, &[(CacheEventKind::Stored, "c")]);
    assert_eq!((holds("lyric-1", "b"), holds("lyric-1", "c")), (false, true));

    let block = |generation| BlockDescriptor { name: "d".into(), length_bytes: 10, checksum: 1, generation };
    for store in ["score-1", "score-9"] {
        let sealed = BlockLocation { store: store.into(), block: block(5) };
        node.shared.directory.apply_report(&[sealed], &[]);
    }
    assert_eq!((holds("score-1", "d"), holds("score-9", "d")), (true, false));
    node.platform.add(daisysill_wire::http_types::InstanceKind::Store, "score-cache", "score-9");
    sleep(Duration::from_millis(200)).await;
    assert!(holds("score-9", "d"));
    node.shared.directory.unlist(&"score-1".into(), &"d".into(), 5);
    assert!(!holds("score-1", "d"));
    node.shared.directory.drop_store(&"score-9".into());
    assert!(!holds("score-9", "d"));
}
