//! A control node with automatic membership whose disk refuses writes.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod nodes;

use std::{net::SocketAddr, time::Duration};

use daisysill_cluster::{Cluster, ClusterConfig, ClusterHandle};
use daisysill_control::command::{Command, PublishDocument};
use daisysill_core::ids::InstanceId;
use daisysill_wire::peer::UpstreamLoad;
use tempfile::TempDir;

use crate::nodes::{TestNodes, wait};

/// Maximum age of a configuration that operators read.
const MAX_READ_AGE: Duration = Duration::from_millis(1_500);

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([127, 81, 1, host], 8_300))
}

fn config(host: u8, folder: &TempDir) -> ClusterConfig {
    ClusterConfig {
        name: address(host).to_string().into(),
        zone: format!("z{host}").into(),
        data_dir: Some(folder.path().to_owned()),
        peer_listen: address(host),
        peers: Vec::new(),
        bootstrap_voters: (1..=3).map(|host| InstanceId::from(address(host).to_string())).collect(),
        bootstrap: true,
        trust_disk: true,
        names_are_addresses: true,
        target_voters: Some(3),
        secret: "test".to_owned(),
    }
}

/// Guards against a halted control node that keeps the configuration of the time at which its disk failed: it refuses operators'
/// reads, and the entry nodes of its zone have to look elsewhere, although it reaches the leader.
#[tokio::test]
async fn a_halted_control_node_follows_the_configuration() {
    let folders: Vec<TempDir> = (0..3).map(|_| TempDir::new().unwrap()).collect();
    let mut nodes = Vec::new();
    for (host, folder) in (1..=3).zip(&folders) {
        nodes.push(Cluster::start(config(host, folder)).await.unwrap().0);
    }
    wait("a leader", || nodes.iter().any(ClusterHandle::is_leader)).await;
    let halting = nodes.iter().position(|node| !node.is_leader()).unwrap();
    nodes[halting].stop().await;
    // Folders in place of the files that are written first, also by a voter that starts.
    for name in ["disk-check", "hard-state.new"] {
        std::fs::create_dir(folders[halting].path().join(name)).unwrap();
    }
    let host = u8::try_from(halting + 1).unwrap();
    nodes[halting] = Cluster::start(config(host, &folders[halting])).await.unwrap().0;
    let halted = &nodes[halting];
    wait("the voter has halted", || halted.has_halted()).await;
    wait("a leader", || nodes.iter().any(ClusterHandle::is_leader)).await;
    let document = PublishDocument { version: 3, body: b"three".to_vec() };
    halted.propose(Command::PublishDocument(document)).await.unwrap();
    let view = halted.view();
    wait("the document at the halted node", || {
        assert!(halted.has_halted());
        let is_fresh = halted.config_age().is_some_and(|age| age < MAX_READ_AGE);
        is_fresh && view.borrow().document.as_ref().is_some_and(|document| document.version == 3)
    })
    .await;
}

/// Guards against entry nodes whose work the others do not know of, since their control node has halted and reports nothing to
/// the leader.
#[tokio::test]
async fn loads_pass_a_halted_control_node() {
    let mut nodes = TestNodes::start(12).await;
    nodes.settle().await;
    let zone = nodes.other_zones()[0];
    nodes.restart_with_full_disk(zone).await;
    nodes.settle().await;
    let load = UpstreamLoad { upstream: 9, requests: 1, tokens: 100, ..UpstreamLoad::default() };
    nodes.entries[zone][0].set_loads(vec![load]);
    let other = &nodes.entries[nodes.leader_zone()][0];
    wait("the load in another zone", || other.other_nodes_load(9).requests == 1).await;
    assert!(nodes.controls[zone].has_halted());
}
