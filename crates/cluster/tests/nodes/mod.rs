//! Control nodes and entry nodes in three zones.

#![allow(dead_code, missing_docs, unreachable_pub, reason = "each test file uses a part of it")]

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use daisysill_cluster::{BootInstant, Cluster, ClusterConfig, ClusterHandle};
use tempfile::TempDir;
use tokio::time::sleep;

pub const LIMIT: Duration = Duration::from_secs(15);
pub const ZONES: u8 = 3;
pub const ENTRY_NODES_PER_ZONE: u8 = 4;
pub const ENTRY_NODES: u32 = (ZONES * ENTRY_NODES_PER_ZONE) as u32;

/// A control node and some entry nodes in each zone.
pub struct TestNodes {
    pub controls: Vec<ClusterHandle>,
    /// By zone.
    pub entries: Vec<Vec<ClusterHandle>>,
    folders: Vec<TempDir>,
    net: u8,
}

fn config(net: u8, host: u8, zone: u8, folder: Option<&TempDir>) -> ClusterConfig {
    let address = |host: u8| SocketAddr::from(([127, 79, net, host], 8_300));
    ClusterConfig {
        name: address(host).to_string().into(),
        zone: format!("z{zone}").into(),
        data_dir: folder.map(|folder| folder.path().to_owned()),
        peer_listen: address(host),
        peers: Vec::new(),
        bootstrap_voters: (1..=ZONES).map(|host| address(host).to_string().into()).collect(),
        bootstrap: true,
        trust_disk: true,
        names_are_addresses: true,
        target_voters: Some(3),
        secret: "test".to_owned(),
    }
}

impl TestNodes {
    pub async fn start(net: u8) -> Self {
        Self::start_with(net, ENTRY_NODES_PER_ZONE).await
    }

    /// Starts a control node and this many entry nodes in each zone.
    pub async fn start_with(net: u8, entry_nodes_per_zone: u8) -> Self {
        let folders: Vec<TempDir> = (0..ZONES).map(|_| TempDir::new().unwrap()).collect();
        let mut controls = Vec::new();
        for (zone, folder) in (1..=ZONES).zip(&folders) {
            controls.push(Cluster::start(config(net, zone, zone, Some(folder))).await.unwrap().0);
        }
        let mut entries = Vec::new();
        for zone in 1..=ZONES {
            let mut of_zone = Vec::new();
            for number in 0..entry_nodes_per_zone {
                let host = 10 * zone + number;
                of_zone.push(Cluster::start(config(net, host, zone, None)).await.unwrap().0);
            }
            entries.push(of_zone);
        }
        let nodes = Self { controls, entries, folders, net };
        wait("a leader", || nodes.controls.iter().any(ClusterHandle::is_leader)).await;
        nodes
    }

    /// Restarts the control node of a zone with a disk that refuses writes, so that its voter halts.
    pub async fn restart_with_full_disk(&mut self, zone: usize) {
        self.controls[zone].stop().await;
        // Folders in place of the files that are written first.
        for name in ["disk-check", "hard-state.new"] {
            std::fs::create_dir(self.folders[zone].path().join(name)).unwrap();
        }
        let number = u8::try_from(zone + 1).unwrap();
        let config = config(self.net, number, number, Some(&self.folders[zone]));
        self.controls[zone] = Cluster::start(config).await.unwrap().0;
        wait("the voter has halted", || self.controls[zone].has_halted()).await;
    }

    pub fn leader_zone(&self) -> usize {
        self.controls.iter().position(ClusterHandle::is_leader).unwrap()
    }

    pub fn leader(&self) -> &ClusterHandle {
        &self.controls[self.leader_zone()]
    }

    /// Zones whose control node is not the leader.
    pub fn other_zones(&self) -> Vec<usize> {
        (0..self.controls.len()).filter(|zone| *zone != self.leader_zone()).collect()
    }

    pub fn all_entries(&self) -> impl Iterator<Item = &ClusterHandle> {
        self.entries.iter().flatten()
    }

    /// Publishes an empty list, as the leader does about once a second; nothing while there is no leader.
    fn publish_empty_list(&self) {
        for leader in self.controls.iter().filter(|control| control.is_leader()) {
            leader.publish_upstreams(Vec::new(), BootInstant::now());
        }
    }

    /// Publishes empty lists, and waits until all nodes have settled.
    pub async fn settle(&self) {
        let settled = || {
            self.publish_empty_list();
            let count = u32::try_from(self.all_entries().count()).unwrap();
            self.all_entries().all(|entry| entry.published_upstreams().borrow().entry_nodes == count)
        };
        wait("all entry nodes to be counted once", settled).await;
        let is_own = |zone: &usize| {
            let own = i64::try_from(self.entries[*zone].len()).unwrap();
            self.controls[*zone].metrics().followers.get() == own
        };
        wait("each zone's entry nodes at its control node", || {
            self.publish_empty_list();
            self.controls.iter().any(ClusterHandle::is_leader) && self.other_zones().iter().all(is_own)
        })
        .await;
    }
}

pub async fn wait(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < LIMIT, "condition not met within {LIMIT:?}: {what}");
        sleep(Duration::from_millis(20)).await;
    }
}

pub async fn wait_async(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < LIMIT, "timed out: {what}");
        sleep(Duration::from_millis(50)).await;
    }
}
