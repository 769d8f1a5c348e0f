//! Entry nodes that poll a control node: configuration, published upstreams, loads and stored parts.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use daisysill_cluster::{BootInstant, Cluster, ClusterConfig, ClusterHandle};
use daisysill_control::command::{Command, PublishDocument, Reply, SetTargetVersion};
use daisysill_core::{
    crashing_parts::CRASHES_TO_BLOCK,
    crashing_requests,
    ids::{InstanceId, WeightVersion},
};
use daisysill_wire::peer::{
    StoredPart, UpstreamCrash, UpstreamEntry, UpstreamLoad, UpstreamSoftware, UpstreamStart,
};
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

struct TestNodes {
    control: ClusterHandle,
    entries: Vec<ClusterHandle>,
    _folder: TempDir,
}

/// Starts a control node and entry nodes, each on its own loopback address.
async fn start(net: u8, entries: u8) -> TestNodes {
    let address = |host: u8| SocketAddr::from(([127, 78, net, host], 8_300));
    let folder = TempDir::new().unwrap();
    let (control, _) = Cluster::start(config(address(1), address(1), Some(&folder))).await.unwrap();
    let mut started = Vec::new();
    for host in 2..2 + entries {
        started.push(Cluster::start(config(address(host), address(1), None)).await.unwrap().0);
    }
    TestNodes { control, entries: started, _folder: folder }
}

async fn wait(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < LIMIT, "condition not met within {LIMIT:?}: {what}");
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

/// Guards against an entry node that reports an old configuration as recent, or receives a new one late.
#[tokio::test]
async fn a_configuration_reaches_entry_nodes_with_its_age() {
    let nodes = start(1, 1).await;
    let document = PublishDocument { version: 3, body: b"three".to_vec() };
    let reply = nodes.control.propose(Command::PublishDocument(document)).await.unwrap();
    assert_eq!(reply, Reply::Done);
    let entry = &nodes.entries[0];
    let view = entry.view();
    wait("the document", || view.borrow().document.as_ref().is_some_and(|d| d.version == 3)).await;
    wait("a recently confirmed configuration", || {
        entry.config_age().is_some_and(|age| age < Duration::from_secs(1))
    })
    .await;
    nodes.control.stop().await;
    sleep(Duration::from_millis(1_500)).await;
    assert!(
        entry.config_age().unwrap() >= Duration::from_millis(1_400),
        "the age must grow once no voter confirms the configuration"
    );
    assert!(!*entry.control_contact().borrow());
}

/// Guards against published upstreams that do not reach an entry node, and against crashes that are counted twice or
/// not reported to the other nodes.
#[tokio::test]
async fn published_upstreams_and_crash_counts_reach_every_entry_node() {
    let nodes = start(2, 2).await;
    wait("a leader", || nodes.control.is_leader()).await;
    nodes.control.publish_upstreams(vec![upstream("i-1")], BootInstant::now());
    for entry in &nodes.entries {
        let published = entry.published_upstreams();
        wait("the published upstreams", || published.borrow().upstreams.len() == 1).await;
    }
    for (number, lost) in [(0, "i-1"), (1, "i-2")] {
        let crash = UpstreamCrash { fingerprint: 77, upstream: lost.into(), started_unix_ms: 1 };
        let entry: &ClusterHandle = &nodes.entries[number];
        entry.report_crash(crash.clone());
        entry.report_crash(crash);
    }
    for entry in &nodes.entries {
        let published = entry.published_upstreams();
        wait("both crashes", || published.borrow().crash_counts.get(&77) == Some(&2)).await;
    }
}

/// A partition breaks many connections, each reported as a crash. Guards against the whole list that is sent to every
/// node with each of them (seen on a recorded day: 29 times in three seconds, to each of 81 nodes).
#[tokio::test]
async fn crashes_are_published_together() {
    let nodes = start(8, 20).await;
    wait("a leader", || nodes.control.is_leader()).await;
    nodes.control.publish_upstreams(vec![upstream("i-1")], BootInstant::now());
    let published = nodes.entries[0].published_upstreams();
    for entry in &nodes.entries {
        let published = entry.published_upstreams();
        wait("the published upstreams", || published.borrow().upstreams.len() == 1).await;
    }
    let before = published.borrow().number;
    for (fingerprint, entry) in (0..40).zip(nodes.entries.iter().cycle()) {
        entry.report_crash(UpstreamCrash { fingerprint, upstream: "i-1".into(), started_unix_ms: 1 });
        sleep(Duration::from_millis(25)).await;
    }
    wait("all crashes", || published.borrow().crash_counts.len() == 40).await;
    let changes = published.borrow().number - before;
    assert!(changes <= 8, "{changes} changes were published within about a second");
}

/// Guards against a replica that never confirms a configuration that changes more often than the node polls (soak,
/// seed 1: no read was answered for 12 s).
#[tokio::test]
async fn a_replica_confirms_a_constantly_changing_configuration() {
    let nodes = start(6, 0).await;
    let folder = TempDir::new().unwrap();
    let address = |host: u8| SocketAddr::from(([127, 78, 6, host], 8_300));
    let (replica, _) = Cluster::start(config(address(2), address(1), Some(&folder))).await.unwrap();
    let start = Instant::now();
    let mut confirmed = 0;
    for version in 1..40 {
        let document = PublishDocument { version, body: b"x".to_vec() };
        nodes.control.propose(Command::PublishDocument(document)).await.unwrap();
        sleep(Duration::from_millis(100)).await;
        if start.elapsed() > Duration::from_secs(2) {
            assert!(replica.config_age().is_some_and(|age| age < Duration::from_millis(1_500)));
            confirmed += 1;
        }
    }
    assert!(confirmed > 5, "too few checks after the first two seconds");
}

/// A wave of nodes that join after many changes, as after a power loss. Guards against nodes that wait for seconds for
/// their turn: 8 of them a second received the configuration, so the last of 60 after 7 s.
#[tokio::test]
async fn a_wave_of_new_nodes_gets_the_configuration_at_once() {
    const NODES: u8 = 60;
    let nodes = start(7, 0).await;
    for version in 1..=30 {
        let document = PublishDocument { version, body: vec![b'x'; 20_000] };
        nodes.control.propose(Command::PublishDocument(document)).await.unwrap();
    }
    let address = |host: u8| SocketAddr::from(([127, 78, 7, host], 8_300));
    let mut joined = Vec::new();
    for host in 2..2 + NODES {
        joined.push(Cluster::start(config(address(host), address(1), None)).await.unwrap().0);
    }
    let start = Instant::now();
    let has_document = |node: &ClusterHandle| node.view().borrow().document.is_some();
    wait("the document on all nodes", || joined.iter().all(has_document)).await;
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
}

/// Simultaneous load on several nodes. Guards against a node that does not know the load of the others, or counts its
/// own in it.
#[tokio::test]
async fn each_node_knows_the_load_of_the_others() {
    let nodes = start(3, 2).await;
    let load = |requests| UpstreamLoad {
        upstream: 9,
        requests,
        tokens: 100,
        pending_prefill_tokens: 10,
        ..UpstreamLoad::default()
    };
    nodes.entries[0].set_loads(vec![load(3)]);
    nodes.entries[1].set_loads(vec![load(5)]);
    wait("the load of the second", || nodes.entries[0].other_nodes_load(9).requests == 5).await;
    wait("the load of the first", || nodes.entries[1].other_nodes_load(9).requests == 3).await;
    nodes.entries[1].set_loads(Vec::new());
    wait("the end of the second's load", || nodes.entries[0].other_nodes_load(9).requests == 0).await;
    nodes.entries[1].set_loads(vec![load(5)]);
    wait("a load again", || nodes.entries[0].other_nodes_load(9).requests == 5).await;
    // A load that is no longer reported must expire: in an earlier fault, upstreams stayed full during a partition.
    nodes.control.stop().await;
    wait("an old load to expire", || nodes.entries[0].other_nodes_load(9).requests == 0).await;
}

/// A quarter of the engines disappears without closing connections. Guards against nodes that must each detect this by
/// a connection timeout, and against one lost packet that excludes an engine on all nodes.
#[tokio::test]
async fn an_upstream_unreachable_from_two_nodes_is_reported() {
    const ZONE: u32 = 1 << 7;
    let nodes = start(5, 2).await;
    let report = |unreachable_from| UpstreamLoad { upstream: 9, unreachable_from, ..UpstreamLoad::default() };
    let entry = &nodes.entries[0];
    entry.set_loads(vec![report(ZONE)]);
    nodes.entries[1].set_loads(vec![UpstreamLoad { requests: 1, ..report(ZONE << 1) }]);
    wait("the report of the other zone", || entry.other_nodes_load(9).requests == 1).await;
    assert_eq!(entry.other_nodes_load(9).unreachable_from, 0, "only one node of each zone reported it");
    nodes.entries[1].set_loads(vec![report(ZONE | ZONE << 1)]);
    wait("the second report", || entry.other_nodes_load(9).unreachable_from == ZONE).await;
    entry.set_loads(Vec::new());
    wait("the upstream to be reachable again", || entry.other_nodes_load(9).unreachable_from == 0).await;
}

/// Guards against fetches of withdrawn parts, and against fetches from an outdated catalog.
#[tokio::test]
async fn catalog_changes_reach_entry_nodes() {
    let nodes = start(4, 1).await;
    let entry = &nodes.entries[0];
    let limit = Duration::from_secs(5);
    let part = |part| (part, Some(StoredPart { part, store: 1, tokens: 50 }));
    nodes.control.open_catalog();
    nodes.control.publish_stored_parts(vec![part(1), part(2)], Some((1_000, BootInstant::now())));
    wait("both parts", || entry.stored_part(1, limit).is_some() && entry.stored_part(2, limit).is_some())
        .await;
    assert!(entry.upstream_clock_ms().unwrap() >= 1_000);
    nodes.control.publish_stored_parts(vec![(1, None), part(3)], None);
    wait("the third part", || entry.stored_part(3, limit).is_some()).await;
    assert!(entry.stored_part(1, limit).is_none() && entry.stored_part(2, limit).is_some());
    assert!(entry.stored_part(2, Duration::ZERO).is_none(), "an outdated catalog must not be used");
    // A new catalog replaces the previous one completely.
    nodes.control.open_catalog();
    nodes.control.publish_stored_parts(vec![part(4)], Some((2_000, BootInstant::now())));
    wait("the new catalog", || entry.stored_part(4, limit).is_some()).await;
    assert!(entry.stored_part(2, limit).is_none());
}

/// Guards against a part of a prompt that crashes upstreams and is not blocked at every node, because what different nodes
/// saw is not put together, and against a sound part that stays suspected after a request with it has completed.
#[tokio::test]
async fn part_that_crashes_upstreams_is_blocked_at_every_entry_node() {
    const SOUND: u64 = 5;
    const BAD: u64 = 6;
    let nodes = start(9, 3).await;
    wait("a leader", || nodes.control.is_leader()).await;
    nodes.control.publish_upstreams(vec![upstream("i-1")], BootInstant::now());
    let count = |entry: &ClusterHandle, part: u64| {
        entry.published_upstreams().borrow().crash_counts.get(&part).copied()
    };
    for (fingerprint, entry) in (100..).zip(&nodes.entries) {
        let sent_at = BootInstant::now();
        sleep(Duration::from_millis(50)).await;
        let crash = UpstreamCrash {
            fingerprint,
            upstream: format!("i-{fingerprint}").as_str().into(),
            started_unix_ms: 1,
        };
        entry.report_broken_prompt(vec![SOUND, BAD], crash, sent_at, BootInstant::now());
        let last = &nodes.entries[2];
        wait("the sound part is suspected", || count(last, SOUND).is_some()).await;
        last.report_completion(vec![SOUND]);
        wait("the sound part is cleared", || count(last, SOUND).is_none()).await;
    }
    for entry in &nodes.entries {
        wait("the block", || count(entry, BAD) == Some(CRASHES_TO_BLOCK)).await;
    }
}

/// Guards against a request that stays blocked at every node although equal ones complete: nothing but the end of the leader's
/// process took it off.
#[tokio::test]
async fn request_that_completes_is_not_blocked_for_crashes_beside_it() {
    const REQUEST: u64 = 7;
    let nodes = start(13, 2).await;
    wait("a leader", || nodes.control.is_leader()).await;
    nodes.control.publish_upstreams(vec![upstream("i-1")], BootInstant::now());
    let entry = &nodes.entries[0];
    let count = || entry.published_upstreams().borrow().crash_counts.get(&REQUEST).copied();
    let report_crash = |started_unix_ms| {
        let crash = UpstreamCrash { fingerprint: REQUEST, upstream: "i-1".into(), started_unix_ms };
        nodes.entries[1].report_crash(crash);
    };
    for start in 0..u64::from(crashing_requests::CRASHES_TO_BLOCK) {
        report_crash(start);
        wait("the crash", || count() == Some(1)).await;
        entry.report_completion(vec![REQUEST]);
        wait("the completion", || count().is_none()).await;
    }
    for start in 10..10 + crashing_requests::CRASHES_TO_BLOCK {
        report_crash(start.into());
    }
    wait("the block", || count() == Some(crashing_requests::CRASHES_TO_BLOCK)).await;
}

/// Guards against upstreams that an entry node uses before it knows which software they run, and against the software of
/// an earlier start under the same id.
#[tokio::test]
async fn software_versions_are_known_with_the_upstreams() {
    let nodes = start(10, 1).await;
    wait("a leader", || nodes.control.is_leader()).await;
    let entry = &nodes.entries[0];
    let published = entry.published_upstreams();
    for (started_unix_ms, version) in [(1, "v1"), (2, "v2")] {
        let listed = UpstreamEntry { started_unix_ms, ..upstream("i-1") };
        let start = UpstreamStart { id: "i-1".into(), started_unix_ms };
        nodes.control.record_software(vec![UpstreamSoftware { start, software: version.into() }]);
        nodes.control.publish_upstreams(vec![listed.clone()], BootInstant::now());
        wait("the published upstream", || published.borrow().upstreams.contains(&listed)).await;
        assert_eq!(entry.software_of(&listed), Some(version.into()));
    }
}

/// Guards against an upstream whose software version stays unknown until the list changes, because the first question failed.
#[tokio::test]
async fn software_version_that_is_missing_is_asked_for_again() {
    let nodes = start(12, 1).await;
    wait("a leader", || nodes.control.is_leader()).await;
    let (entry, listed) = (&nodes.entries[0], upstream("i-1"));
    nodes.control.publish_upstreams(vec![listed.clone()], BootInstant::now());
    let published = entry.published_upstreams();
    wait("the published upstream", || published.borrow().upstreams.contains(&listed)).await;
    let start = UpstreamStart { id: "i-1".into(), started_unix_ms: 1 };
    nodes.control.record_software(vec![UpstreamSoftware { start, software: "v1".into() }]);
    wait("its software version", || {
        nodes.control.publish_upstreams(vec![listed.clone()], BootInstant::now());
        entry.software_of(&listed) == Some("v1".into())
    })
    .await;
}

/// Guards against a node that takes a target version for new because it has just started: an entry node has no log, and a
/// control node reads what was committed before its start.
#[tokio::test]
async fn a_node_started_later_knows_the_age_of_a_target_version() {
    const TOLERANCE: Duration = Duration::from_millis(100);
    let nodes = start(11, 0).await;
    let address = |host: u8| SocketAddr::from(([127, 78, 11, host], 8_300));
    let version = WeightVersion(2);
    let target = SetTargetVersion { model: "m".to_owned(), version };
    nodes.control.propose(Command::SetTargetVersion(target)).await.unwrap();
    let set_by = BootInstant::now();
    sleep(TOLERANCE * 5).await;
    let folder = TempDir::new().unwrap();
    let (entry, _) = Cluster::start(config(address(2), address(1), None)).await.unwrap();
    let (replica, _) = Cluster::start(config(address(3), address(1), Some(&folder))).await.unwrap();
    for node in [&entry, &replica] {
        wait("the target version", || node.view().borrow().target_versions.get("m") == Some(&version)).await;
        // A replica learns the time since the last entry of its log from the next one.
        nodes.control.propose(Command::Noop).await.unwrap();
        let set_at = || node.target_version_set_at("m", version);
        wait("its age", || set_at().is_some_and(|at| at <= set_by + TOLERANCE)).await;
    }
}
