//! Control nodes that answer the polls of the entry nodes in their zone and exchange soft state with the leader.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod nodes;

use std::time::Duration;

use daisysill_cluster::{BootInstant, ClusterHandle};
use daisysill_wire::peer::{StoredPart, UpstreamCrash, UpstreamLoad};
use tokio::time::sleep;

use crate::nodes::{ENTRY_NODES, ENTRY_NODES_PER_ZONE, TestNodes, ZONES, wait, wait_async};

const INDEX_LIMIT: Duration = Duration::from_secs(5);

fn load(requests: u32) -> UpstreamLoad {
    UpstreamLoad { upstream: 9, requests, tokens: 100, pending_prefill_tokens: 10, ..UpstreamLoad::default() }
}

fn stored(part: u64, store: u32) -> StoredPart {
    StoredPart { part, store, tokens: 50 }
}

/// Guards against a leader that every entry node polls. At 295 nodes it stood still for over a second, lost its
/// leadership, and so did its successors.
#[tokio::test]
async fn entry_nodes_poll_the_control_node_of_their_zone() {
    let nodes = TestNodes::start(1).await;
    nodes.settle().await;
    let held = nodes.leader().metrics().followers.get();
    let own = i64::from(ENTRY_NODES_PER_ZONE) + i64::from(ZONES) - 1;
    assert!(held <= own, "{held} polls are held by the leader, at most {own} expected");
}

/// Guards against nodes of different zones that fill the same upstream, since they do not know of each other's load,
/// and against a load that is counted twice on its way through two control nodes.
#[tokio::test]
async fn loads_are_added_up_across_control_nodes() {
    let nodes = TestNodes::start(2).await;
    nodes.settle().await;
    for entry in nodes.all_entries() {
        entry.set_loads(vec![load(1)]);
    }
    let others = ENTRY_NODES - 1;
    let loads_at =
        || -> Vec<u32> { nodes.all_entries().map(|entry| entry.other_nodes_load(9).requests).collect() };
    wait("all other loads on each node", || loads_at().iter().all(|requests| *requests == others)).await;
    for _ in 0..20 {
        sleep(Duration::from_millis(25)).await;
        assert!(loads_at().iter().all(|requests| *requests <= others), "{:?}", loads_at());
    }
    for entry in nodes.all_entries() {
        entry.set_loads(Vec::new());
    }
    wait("the end of all loads", || loads_at().iter().all(|requests| *requests == 0)).await;
}

/// Guards against crashes that are reported to a control node that does not lead, and so never counted.
#[tokio::test]
async fn crashes_reach_the_leader_through_control_nodes() {
    let nodes = TestNodes::start(3).await;
    nodes.settle().await;
    for (number, zone) in nodes.other_zones().into_iter().enumerate() {
        let upstream = format!("i-{number}").as_str().into();
        nodes.entries[zone][0].report_crash(UpstreamCrash { fingerprint: 7, upstream, started_unix_ms: 1 });
    }
    for entry in nodes.all_entries() {
        let published = entry.published_upstreams();
        wait("both crashes", || published.borrow().crash_counts.get(&7) == Some(&2)).await;
    }
}

/// Guards against entry nodes that stay without configuration when their control node ends, and against a wave of all
/// of them to one other control node.
#[tokio::test]
async fn entry_nodes_turn_to_other_control_nodes() {
    let nodes = TestNodes::start(4).await;
    nodes.settle().await;
    let lost = nodes.other_zones()[0];
    nodes.controls[lost].stop().await;
    let mut oldest = Duration::ZERO;
    for _ in 0..150 {
        sleep(Duration::from_millis(20)).await;
        nodes.leader().publish_upstreams(Vec::new(), BootInstant::now());
        let ages = nodes.entries[lost].iter().map(|entry| entry.config_age().unwrap());
        oldest = oldest.max(ages.max().unwrap());
    }
    assert!(
        oldest < Duration::from_millis(2_800),
        "a configuration was {oldest:?} old, so its node not ready"
    );
    let contact = nodes.entries[lost].iter().all(|entry| *entry.control_contact().borrow());
    assert!(contact, "all are in contact with another control node");
}

/// Guards against entry nodes that count at each control node they have polled lately: every node then takes less than its
/// share of what all of them share.
#[tokio::test]
async fn entry_nodes_that_turn_to_another_control_node_count_once() {
    let nodes = TestNodes::start(14).await;
    nodes.settle().await;
    nodes.controls[nodes.other_zones()[0]].stop().await;
    let mut highest = 0;
    for _ in 0..250 {
        sleep(Duration::from_millis(20)).await;
        let leader = nodes.leader();
        leader.publish_upstreams(Vec::new(), BootInstant::now());
        highest = highest.max(leader.published_upstreams().borrow().entry_nodes);
    }
    assert!(highest <= ENTRY_NODES, "{highest} counted of {ENTRY_NODES}");
}

/// Guards against a new leader that sends the whole catalog of stored parts to every node, and against parts that are
/// not fetched meanwhile.
#[tokio::test]
async fn a_new_leader_continues_the_catalog() {
    const PARTS: u64 = 2_000;
    let nodes = TestNodes::start(5).await;
    nodes.settle().await;
    let old_leader = nodes.leader_zone();
    let content: Vec<StoredPart> = (0..PARTS).map(|part| stored(part, 1)).collect();
    nodes.leader().open_catalog();
    nodes.leader().publish_stored_parts(Vec::new(), Some((1_000, BootInstant::now())));
    nodes.leader().publish_store(1, content.clone());
    let knows = |entry: &ClusterHandle, part| entry.stored_part(part, INDEX_LIMIT).is_some();
    let publish_clock = || {
        nodes.leader().publish_upstreams(Vec::new(), BootInstant::now());
        nodes.leader().publish_stored_parts(Vec::new(), None);
    };
    wait("the parts on each entry node", || {
        publish_clock();
        nodes.all_entries().all(|entry| knows(entry, PARTS - 1))
    })
    .await;
    nodes.controls[old_leader].stop().await;
    let is_new = |zone: &usize| *zone != old_leader && nodes.controls[*zone].is_leader();
    wait("a new leader", || (0..nodes.controls.len()).any(|zone| is_new(&zone))).await;
    let new_leader = (0..nodes.controls.len()).find(is_new).unwrap();
    let leader = &nodes.controls[new_leader];
    let sent = || -> u64 { nodes.controls.iter().map(|control| control.metrics().total_bytes_out()).sum() };
    let sent_before = sent();
    leader.open_catalog();
    // The store has lost one part and gained another.
    let mut content = content;
    content[5] = stored(PARTS, 1);
    leader.publish_store(1, content);
    let others =
        (0..nodes.entries.len()).filter(|zone| *zone != old_leader).flat_map(|zone| &nodes.entries[zone]);
    let others: Vec<&ClusterHandle> = others.collect();
    wait("the changes on each entry node", || {
        leader.publish_upstreams(Vec::new(), BootInstant::now());
        leader.publish_stored_parts(Vec::new(), None);
        assert!(others.iter().all(|entry| knows(entry, 1)), "parts stay known over the change of leader");
        others.iter().all(|entry| knows(entry, PARTS) && !knows(entry, 5))
    })
    .await;
    let catalog_bytes = PARTS * 12;
    let sent = sent() - sent_before;
    assert!(sent < catalog_bytes * 4, "{sent} bytes sent, a complete catalog has over {catalog_bytes}");
}

/// Guards against fetches of freed parts: a leader that was suspended must not hand out its old catalog.
#[tokio::test]
async fn a_catalog_that_is_no_longer_published_is_not_handed_out() {
    let nodes = TestNodes::start(6).await;
    nodes.settle().await;
    nodes.leader().open_catalog();
    nodes.leader().publish_stored_parts(vec![(1, Some(stored(1, 1)))], Some((1_000, BootInstant::now())));
    let entry = &nodes.entries[nodes.leader_zone()][0];
    wait("the part", || entry.stored_part(1, INDEX_LIMIT).is_some()).await;
    sleep(Duration::from_secs(3)).await;
    assert!(entry.stored_part(1, Duration::from_millis(1_500)).is_none(), "the copy must be getting older");
}

/// Guards against a new leader that forgets which requests and parts of prompts are blocked: each would take down three
/// more upstreams after every change of leader.
#[tokio::test]
async fn a_new_leader_keeps_what_is_blocked() {
    const REQUEST: u64 = 7;
    let nodes = TestNodes::start(7).await;
    nodes.settle().await;
    let crash = |fingerprint: u64, number: u32| UpstreamCrash {
        fingerprint,
        upstream: format!("i-{number}").as_str().into(),
        started_unix_ms: 1,
    };
    let count = |entry: &ClusterHandle, key: u64| {
        entry.published_upstreams().borrow().crash_counts.get(&key).copied()
    };
    for number in 0..3 {
        nodes.entries[0][0].report_crash(crash(REQUEST, number));
    }
    for entry in nodes.all_entries() {
        wait("the block", || count(entry, REQUEST) == Some(3)).await;
    }
    let old_leader = nodes.leader_zone();
    nodes.controls[old_leader].stop().await;
    let is_new = |zone: &usize| *zone != old_leader && nodes.controls[*zone].is_leader();
    wait("a new leader", || (0..nodes.controls.len()).any(|zone| is_new(&zone))).await;
    let new_leader = (0..nodes.controls.len()).find(is_new).unwrap();
    nodes.controls[new_leader].publish_upstreams(Vec::new(), BootInstant::now());
    let entry = &nodes.entries[new_leader][0];
    entry.report_crash(crash(8, 9));
    wait("the new leader's count", || count(entry, 8) == Some(1)).await;
    assert_eq!(count(entry, REQUEST), Some(3));
}

/// Guards against an entry node that is cut off from the upstreams and does not learn which others its callers could be
/// served by, also in other zones, or that turns to one which is cut off too.
#[tokio::test]
async fn entry_nodes_learn_of_others_that_reach_the_upstreams() {
    let nodes = TestNodes::start(11).await;
    nodes.settle().await;
    let (asking, cut_off) = (&nodes.entries[0][0], &nodes.entries[1][1]);
    let expected = |without: usize| (ENTRY_NODES as usize) - without;
    wait_async("all other entry nodes", async || asking.entry_nodes(true).await.len() == expected(1)).await;
    let seen_by_cut_off = cut_off.entry_nodes(true).await;
    assert_eq!(
        seen_by_cut_off.len(),
        expected(2),
        "neither itself nor the one that is cut off: {seen_by_cut_off:?}"
    );
    assert_eq!(asking.entry_nodes(false).await.len(), expected(2), "all know which one is cut off");
    assert_eq!(cut_off.entry_nodes(false).await.len(), expected(1), "the first one is in touch again");
}
