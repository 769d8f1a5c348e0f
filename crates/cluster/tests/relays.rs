//! Control nodes that answer the polls of the entry nodes in their zone and exchange soft state with the leader.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use daisysill_cluster::{BootInstant, Cluster, ClusterConfig, ClusterHandle};
use daisysill_core::ids::InstanceId;
use daisysill_wire::peer::{StoredPart, UpstreamCrash, UpstreamLoad};
use tempfile::TempDir;
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_secs(15);
const ZONES: u8 = 3;
const ENTRY_NODES_PER_ZONE: u8 = 4;
const ENTRY_NODES: u32 = (ZONES * ENTRY_NODES_PER_ZONE) as u32;
/// Time in which a control node passes on what it was told about streams.
const TIME_TO_COPY: Duration = Duration::from_millis(500);
const INDEX_LIMIT: Duration = Duration::from_secs(5);

/// A control node and some entry nodes in each zone.
struct TestNodes {
    controls: Vec<ClusterHandle>,
    /// By zone.
    entries: Vec<Vec<ClusterHandle>>,
    _folders: Vec<TempDir>,
}

impl TestNodes {
    async fn start(net: u8) -> Self {
        let address = |host: u8| SocketAddr::from(([127, 79, net, host], 8_300));
        let seeds: Vec<InstanceId> = (1..=ZONES).map(|host| address(host).to_string().into()).collect();
        let config = |host: u8, zone: u8, folder: Option<&TempDir>| ClusterConfig {
            name: address(host).to_string().into(),
            zone: format!("z{zone}").into(),
            data_dir: folder.map(|folder| folder.path().to_owned()),
            peer_listen: address(host),
            peers: Vec::new(),
            bootstrap_voters: seeds.clone(),
            bootstrap: true,
            trust_disk: true,
            names_are_addresses: true,
            target_voters: Some(3),
            secret: "test".to_owned(),
        };
        let folders: Vec<TempDir> = (0..ZONES).map(|_| TempDir::new().unwrap()).collect();
        let mut controls = Vec::new();
        for (zone, folder) in (1..=ZONES).zip(&folders) {
            controls.push(Cluster::start(config(zone, zone, Some(folder))).await.unwrap().0);
        }
        let mut entries = Vec::new();
        for zone in 1..=ZONES {
            let mut of_zone = Vec::new();
            for number in 0..ENTRY_NODES_PER_ZONE {
                let host = 10 * zone + number;
                of_zone.push(Cluster::start(config(host, zone, None)).await.unwrap().0);
            }
            entries.push(of_zone);
        }
        let nodes = Self { controls, entries, _folders: folders };
        wait("a leader", || nodes.controls.iter().any(ClusterHandle::is_leader)).await;
        nodes
    }

    fn leader_zone(&self) -> usize {
        self.controls.iter().position(ClusterHandle::is_leader).unwrap()
    }

    fn leader(&self) -> &ClusterHandle {
        &self.controls[self.leader_zone()]
    }

    /// Zones whose control node is not the leader.
    fn other_zones(&self) -> Vec<usize> {
        (0..self.controls.len()).filter(|zone| *zone != self.leader_zone()).collect()
    }

    fn all_entries(&self) -> impl Iterator<Item = &ClusterHandle> {
        self.entries.iter().flatten()
    }

    /// Publishes an empty list as the leader does about once a second, and waits until all nodes have settled.
    async fn settle(&self) {
        let settled = || {
            self.leader().publish_upstreams(Vec::new(), BootInstant::now());
            self.all_entries().all(|entry| entry.published_upstreams().borrow().entry_nodes == ENTRY_NODES)
        };
        wait("all entry nodes to be counted once", settled).await;
        let is_own =
            |zone: &usize| self.controls[*zone].metrics().followers.get() == i64::from(ENTRY_NODES_PER_ZONE);
        wait("each zone's entry nodes at its control node", || {
            self.leader().publish_upstreams(Vec::new(), BootInstant::now());
            self.other_zones().iter().all(is_own)
        })
        .await;
    }
}

async fn wait(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < LIMIT, "condition not met within {LIMIT:?}: {what}");
        sleep(Duration::from_millis(20)).await;
    }
}

async fn wait_async(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < LIMIT, "timed out: {what}");
        sleep(Duration::from_millis(50)).await;
    }
}

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

/// Waits until an entry node can tell where a stream began.
async fn wait_for_origin(entry: &ClusterHandle, stream: u64, software: &str) {
    let start = Instant::now();
    while entry.stream_origin(stream, &"lyric".into()).await != Some(software.into()) {
        assert!(start.elapsed() < LIMIT, "stream {stream} does not begin at {software}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against streams whose software version is forgotten when the node that began them and a control node are lost.
#[tokio::test]
async fn origin_of_a_stream_outlives_its_entry_node_and_a_control_node() {
    let nodes = TestNodes::start(9).await;
    nodes.settle().await;
    for (zone, stream) in (0..nodes.entries.len()).zip(100..) {
        nodes.entries[zone][0].record_stream_origin(stream, format!("v{zone}").as_str().into());
    }
    for entry in nodes.all_entries() {
        for (zone, stream) in (0..nodes.entries.len()).zip(100..) {
            wait_for_origin(entry, stream, &format!("v{zone}")).await;
        }
    }
    sleep(TIME_TO_COPY).await;
    let lost = nodes.other_zones()[0];
    nodes.entries[lost][0].stop().await;
    nodes.controls[lost].stop().await;
    for entry in nodes.entries.iter().flat_map(|of_zone| &of_zone[1..]) {
        for (zone, stream) in (0..nodes.entries.len()).zip(100..) {
            wait_for_origin(entry, stream, &format!("v{zone}")).await;
        }
    }
}

/// Guards against a guess where a stream of unknown origin began, by control nodes that have not seen the list for long.
#[tokio::test]
async fn unknown_origin_is_not_guessed() {
    let nodes = TestNodes::start(10).await;
    nodes.settle().await;
    for entry in nodes.all_entries() {
        assert_eq!(entry.stream_origin(7, &"lyric".into()).await, None);
    }
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
