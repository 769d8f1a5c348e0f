//! An entry node that follows a control node: configuration, board, loads and stored parts.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use daisysill_cluster::{BootInstant, Cluster, ClusterConfig, ClusterHandle};
use daisysill_control::command::{Command, PublishDocument, Reply};
use daisysill_core::ids::InstanceId;
use daisysill_wire::peer::{StoredPart, UpstreamCrash, UpstreamEntry, UpstreamLoad};
use tempfile::TempDir;
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_secs(10);

fn config(own: SocketAddr, control: SocketAddr, folder: Option<&TempDir>) -> ClusterConfig {
    ClusterConfig {
        name: InstanceId::from(own.to_string()),
        zone: "z1".into(),
        data_dir: folder.map(|folder| folder.path().to_owned()),
        peer_listen: own,
        peers: Vec::new(),
        bootstrap_voters: vec![InstanceId::from(control.to_string())],
        bootstrap: true,
        trust_disk: true,
        names_are_addresses: true,
        target_voters: Some(1),
        secret: "test".to_owned(),
    }
}

struct Pair {
    control: ClusterHandle,
    entries: Vec<ClusterHandle>,
    _folder: TempDir,
}

/// Starts a control node and entry nodes on loopback addresses of their own.
async fn start(net: u8, entries: u8) -> Pair {
    let address = |host: u8| SocketAddr::from(([127, 78, net, host], 8_300));
    let folder = TempDir::new().unwrap();
    let (control, _) = Cluster::start(config(address(1), address(1), Some(&folder))).await.unwrap();
    let mut started = Vec::new();
    for host in 2..2 + entries {
        started.push(Cluster::start(config(address(host), address(1), None)).await.unwrap().0);
    }
    Pair { control, entries: started, _folder: folder }
}

async fn wait(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < LIMIT, "in vain: {what}");
        sleep(Duration::from_millis(10)).await;
    }
}

fn upstream(id: &str) -> UpstreamEntry {
    UpstreamEntry {
        id: id.into(),
        started_unix_ms: 1,
        service: "plain".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "z1".into(),
        slots: 4,
        draining: false,
        loading: false,
        models: [].into(),
    }
}

/// Guards against an entry node that takes an old configuration for current, or a new one late.
#[tokio::test]
async fn a_configuration_reaches_entry_nodes_with_its_age() {
    let pair = start(1, 1).await;
    let document = PublishDocument { version: 3, body: b"three".to_vec() };
    let reply = pair.control.propose(Command::PublishDocument(document)).await.unwrap();
    assert_eq!(reply, Reply::Done);
    let entry = &pair.entries[0];
    let view = entry.view();
    wait("the document", || view.borrow().document.as_ref().is_some_and(|d| d.version == 3)).await;
    wait("a young configuration", || entry.config_age().is_some_and(|age| age < Duration::from_secs(1)))
        .await;
    pair.control.stop().await;
    sleep(Duration::from_millis(1_500)).await;
    assert!(entry.config_age().unwrap() >= Duration::from_millis(1_400), "nobody confirms it any more");
    assert!(!*entry.in_touch().borrow());
}

/// Guards against boards that are lost on their way, and against crashes that only one node knows of.
#[tokio::test]
async fn the_board_and_crash_counts_reach_every_entry_node() {
    let pair = start(2, 2).await;
    wait("a leader", || pair.control.is_leader()).await;
    pair.control.publish_upstreams(vec![upstream("i-1")], BootInstant::now());
    for entry in &pair.entries {
        let published_upstreams = entry.published_upstreams();
        wait("the board", || published_upstreams.borrow().upstreams.len() == 1).await;
    }
    for (number, lost) in [(0, "i-1"), (1, "i-2")] {
        let sighting = UpstreamCrash { fingerprint: 77, upstream: lost.into(), started_unix_ms: 1 };
        let entry: &ClusterHandle = &pair.entries[number];
        entry.report_crash(sighting.clone());
        entry.report_crash(sighting);
    }
    for entry in &pair.entries {
        let published_upstreams = entry.published_upstreams();
        wait("both crashes", || published_upstreams.borrow().crash_counts.get(&77) == Some(&2)).await;
    }
}

/// Guards against a node with a disk that can never be sure of the configuration while it changes more often than the
/// node asks (seen in the soak, seed 1: no read was answered for 12 s).
#[tokio::test]
async fn a_replica_is_sure_of_a_configuration_that_changes_all_the_time() {
    let pair = start(6, 0).await;
    let folder = TempDir::new().unwrap();
    let address = |host: u8| SocketAddr::from(([127, 78, 6, host], 8_300));
    let (replica, _) = Cluster::start(config(address(2), address(1), Some(&folder))).await.unwrap();
    let start = Instant::now();
    let mut sure = 0;
    for version in 1..40 {
        let document = PublishDocument { version, body: b"x".to_vec() };
        pair.control.propose(Command::PublishDocument(document)).await.unwrap();
        sleep(Duration::from_millis(100)).await;
        if start.elapsed() > Duration::from_secs(2) {
            assert!(replica.config_age().is_some_and(|age| age < Duration::from_millis(1_500)));
            sure += 1;
        }
    }
    assert!(sure > 5, "the test ended early");
}

/// Pattern: nodes that burst at the same time. Each must know the load of the others, without its own in it.
#[tokio::test]
async fn each_node_knows_the_load_of_the_others() {
    let pair = start(3, 2).await;
    let load = |requests| UpstreamLoad {
        upstream: 9,
        requests,
        tokens: 100,
        pending_prefill_tokens: 10,
        ..UpstreamLoad::default()
    };
    pair.entries[0].set_loads(vec![load(3)]);
    pair.entries[1].set_loads(vec![load(5)]);
    wait("the load of the second", || pair.entries[0].other_nodes_load(9).requests == 5).await;
    wait("the load of the first", || pair.entries[1].other_nodes_load(9).requests == 3).await;
    pair.entries[1].set_loads(Vec::new());
    wait("the end of the second's load", || pair.entries[0].other_nodes_load(9).requests == 0).await;
    pair.entries[1].set_loads(vec![load(5)]);
    wait("a load again", || pair.entries[0].other_nodes_load(9).requests == 5).await;
    // A load that nobody confirms must not keep requests away for ever (seen: no room during a cut).
    pair.control.stop().await;
    wait("an old load to be forgotten", || pair.entries[0].other_nodes_load(9).requests == 0).await;
}

/// Pattern: a quarter of the engines is gone without a word. Nodes must not all find out by a connection that times
/// out, and one lost packet must not take an engine from all nodes.
#[tokio::test]
async fn two_nodes_that_cannot_reach_an_upstream_are_believed() {
    const ZONE: u32 = 1 << 7;
    let pair = start(5, 2).await;
    let told = |unreachable_from| UpstreamLoad { upstream: 9, unreachable_from, ..UpstreamLoad::default() };
    let entry = &pair.entries[0];
    entry.set_loads(vec![told(ZONE)]);
    pair.entries[1].set_loads(vec![UpstreamLoad { requests: 1, ..told(ZONE << 1) }]);
    wait("the report of the other zone", || entry.other_nodes_load(9).requests == 1).await;
    assert_eq!(entry.other_nodes_load(9).unreachable_from, 0, "one node of each zone");
    pair.entries[1].set_loads(vec![told(ZONE | ZONE << 1)]);
    wait("the second report", || entry.other_nodes_load(9).unreachable_from == ZONE).await;
    entry.set_loads(Vec::new());
    wait("the upstream to be in reach again", || entry.other_nodes_load(9).unreachable_from == 0).await;
}

/// Guards against parts that are fetched after they were withdrawn, or on news that are too old.
#[tokio::test]
async fn stored_parts_are_followed_and_withdrawn() {
    let pair = start(4, 1).await;
    let entry = &pair.entries[0];
    let limit = Duration::from_secs(5);
    let part = |part| (part, Some(StoredPart { part, store: 1, tokens: 50 }));
    pair.control.open_catalog();
    pair.control.publish_stored_parts(vec![part(1), part(2)], Some((1_000, BootInstant::now())));
    wait("both parts", || entry.stored_part(1, limit).is_some() && entry.stored_part(2, limit).is_some())
        .await;
    assert!(entry.upstream_clock_ms().unwrap() >= 1_000);
    pair.control.publish_stored_parts(vec![(1, None), part(3)], None);
    wait("the third part", || entry.stored_part(3, limit).is_some()).await;
    assert!(entry.stored_part(1, limit).is_none() && entry.stored_part(2, limit).is_some());
    assert!(entry.stored_part(2, Duration::ZERO).is_none(), "news that are too old are not used");
    // Another catalog starts from nothing.
    pair.control.open_catalog();
    pair.control.publish_stored_parts(vec![part(4)], Some((2_000, BootInstant::now())));
    wait("the new catalog", || entry.stored_part(4, limit).is_some()).await;
    assert!(entry.stored_part(2, limit).is_none());
}
