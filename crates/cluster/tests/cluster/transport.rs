//! Connections between nodes: the handshake and its limits, corrupted frames, unresponsive connections, byte counters.

use std::{net::SocketAddr, time::Duration};

use daisysill_cluster::{Cluster, ClusterConfig, ProposeError, metrics::Purpose, metrics::PurposeLabel};
use daisysill_core::ids::ConfigVersion;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

use crate::{
    common::{SOON, TestCluster},
    forwarder::Fault,
};

const THREE: &[&str] = &["a/z1", "b/z2", "c/z3"];

/// Guards against a node with another secret that publishes, reads the configuration or is seen as alive.
#[tokio::test]
async fn a_node_with_another_secret_is_refused() {
    let mut cluster = TestCluster::new(THREE, &["stranger/z1"]);
    cluster.config("stranger").secret = "another secret".to_owned();
    for name in ["a", "b", "c", "stranger"] {
        cluster.start(name);
    }
    let version = cluster.drain("a", "worker-1").await;
    cluster.wait_version(&["a", "b", "c"], version).await;
    assert_eq!(cluster.try_drain("stranger", "worker-2").await, Err(ProposeError::NotCommitted));
    sleep(Duration::from_secs(2)).await;
    assert_eq!(cluster.version("stranger"), ConfigVersion(0));
    assert!(!cluster.node("stranger").status().current);
    assert!(cluster.node("stranger").status().members.iter().all(|member| !member.alive));
    let seen = cluster.node("a").status().members;
    assert!(seen.iter().all(|member| member.alive != (member.name.as_str() == "stranger")), "{seen:?}");
    assert!(cluster.node("a").metrics().refused_connections.get() > 0);
    assert!(!cluster.node("b").view().borrow().draining.contains(&"worker-2".into()));
}

/// Guards against a voter with another secret whose votes count.
#[tokio::test]
async fn a_voter_with_another_secret_does_not_form_a_cluster() {
    let mut cluster = TestCluster::new(&["a/z1", "b/z2"], &[]);
    cluster.config("b").secret = "another secret".to_owned();
    cluster.start("a");
    cluster.start("b");
    sleep(Duration::from_secs(3)).await;
    assert_eq!(cluster.leader(), None);
}

async fn single_node() -> (daisysill_cluster::ClusterHandle, SocketAddr) {
    let config = ClusterConfig {
        name: "a".into(),
        zone: "z1".into(),
        data_dir: None,
        peer_listen: "127.0.0.1:0".parse().unwrap(),
        peers: Vec::new(),
        bootstrap_voters: vec!["a".into()],
        trust_disk: false,
        bootstrap: true,
        names_are_addresses: false,
        target_voters: None,
        secret: "a shared secret".to_owned(),
    };
    Cluster::start(config).await.unwrap()
}

/// Guards against unauthenticated clients that make a node allocate or wait: the node must close the connection on an
/// oversized or garbled first frame and on a handshake that does not end.
#[tokio::test]
async fn unauthenticated_clients_cannot_hold_a_connection() {
    let (handle, address) = single_node().await;
    let oversized = [&u32::MAX.to_be_bytes()[..], &[0; 64]].concat();
    let garbled = [&8_u32.to_be_bytes()[..], &[0xff; 8]].concat();
    for first_bytes in [oversized, garbled, Vec::new()] {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(&first_bytes).await.unwrap();
        let mut response = Vec::new();
        let _ = timeout(SOON, stream.read_to_end(&mut response)).await.expect("the connection stays open");
        assert!(response.is_empty(), "{response:?}");
    }
    assert_eq!(handle.metrics().refused_connections.get(), 3);
}

/// Guards against frames that are accepted although they were altered or repeated in transit.
#[tokio::test]
async fn altered_and_repeated_frames_close_the_connection() {
    let mut cluster = TestCluster::started(THREE, &["o1/z1"]).await;
    let connections = |cluster: &TestCluster| cluster.connections("o1", "a");
    let version = cluster.drain("o1", "worker-1").await;
    for fault in [Fault::Flip, Fault::Repeat] {
        let before = connections(&cluster);
        cluster.inject("o1", "a", fault);
        cluster.wait("a new connection is opened", |cluster| connections(cluster) > before).await;
    }
    cluster.stop("b");
    let later = cluster.drain("o1", "worker-2").await;
    assert!(later > version);
}

/// Guards against unresponsive connections that stay in use although new ones would work.
#[tokio::test]
async fn unresponsive_connections_are_replaced() {
    let cluster = TestCluster::started(THREE, &["o1/z1"]).await;
    cluster.drain("o1", "before").await;
    for name in ["a", "b", "c", "o1"] {
        cluster.stall_present_connections(name);
    }
    let start = Instant::now();
    let version = cluster.drain("o1", "after").await;
    cluster.wait_version(&["a", "b", "c", "o1"], version).await;
    assert!(start.elapsed() < SOON, "{:?}", start.elapsed());
}

/// Guards against byte counters that miss the traffic of a purpose.
#[tokio::test]
async fn bytes_are_counted_by_purpose() {
    let cluster = TestCluster::started(THREE, &["o1/z1"]).await;
    let version = cluster.drain("o1", "worker-1").await;
    cluster.wait_version(&["o1"], version).await;
    let leader = cluster.leader().unwrap();
    let counted = |cluster: &TestCluster, name: &str, purpose: Purpose| {
        let metrics = cluster.node(name).metrics();
        let label = PurposeLabel { purpose };
        metrics.bytes_in.get_or_create(&label).get() > 0 && metrics.bytes_out.get_or_create(&label).get() > 0
    };
    for purpose in [Purpose::Follow, Purpose::Heartbeat, Purpose::Propose, Purpose::Connection] {
        cluster.wait(&format!("{purpose:?} on o1"), |cluster| counted(cluster, "o1", purpose)).await;
    }
    cluster.wait("replicate", |cluster| counted(cluster, &leader, Purpose::Replicate)).await;
    assert!(cluster.node(&leader).metrics().commits.get() > 0);
}

/// Guards against heartbeats that wait for the responses to earlier messages, so that voters in contact with their leader
/// start elections.
#[tokio::test]
async fn heartbeats_do_not_wait_for_responses() {
    let cluster = TestCluster::started(THREE, &[]).await;
    let elections = || ["a", "b", "c"].map(|name| cluster.node(name).metrics().elections.get());
    let before = elections();
    // Longer than the shortest election timeout, shorter than the timeout of a call.
    cluster.delay_responses(Duration::from_millis(700));
    sleep(Duration::from_secs(5)).await;
    assert_eq!(elections(), before);
}
