//! The nodes of a cluster in one process.

use std::{
    net::{SocketAddr, TcpListener},
    path::Path,
    sync::mpsc,
    thread::JoinHandle,
    time::{Duration, Instant},
};

use daisysill_cluster::{Cluster, ClusterConfig, ClusterHandle, PeerAddress, Role};
use eyre::{WrapErr, eyre};
use tokio::{runtime::Builder, sync::oneshot, time::sleep};

/// Timeout for a cluster to form or a change to arrive.
pub(crate) const TIMEOUT: Duration = Duration::from_mins(1);

/// A node on a thread of its own.
pub(crate) struct Node {
    config: ClusterConfig,
    /// Handle, signal to stop, and thread of the running node.
    running: Option<(ClusterHandle, oneshot::Sender<()>, JoinHandle<eyre::Result<()>>)>,
}

impl Node {
    /// Starts the node and waits until its tasks run.
    pub(crate) fn start(&mut self) -> eyre::Result<()> {
        let config = self.config.clone();
        let (ready, started) = mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build()?;
            runtime.block_on(async move {
                let (handle, _) = Cluster::start(config).await?;
                ready.send(handle.clone())?;
                let _ = stopped.await;
                handle.stop().await;
                Ok(())
            })
        });
        let handle = started.recv().wrap_err("a node did not start")?;
        self.running = Some((handle, stop, thread));
        Ok(())
    }

    /// Stops the node; does nothing if it is not running.
    pub(crate) fn stop(&mut self) -> eyre::Result<()> {
        let Some((_, stop, thread)) = self.running.take() else { return Ok(()) };
        let _ = stop.send(());
        thread.join().map_err(|_| eyre!("a node ended with a panic"))?
    }

    /// Returns the handle of the running node.
    pub(crate) fn handle(&self) -> eyre::Result<&ClusterHandle> {
        self.running.as_ref().map(|(handle, ..)| handle).ok_or_else(|| eyre!("the node is not running"))
    }
}

/// Prepares three voters and `count - 3` nodes without a replica, in three zones.
fn nodes(folder: &Path, count: usize) -> eyre::Result<Vec<Node>> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<Result<_, _>>()?;
    let addresses: Vec<SocketAddr> =
        listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
    let name = |index: usize| format!("node-{index:02}");
    let zone = |index: usize| format!("zone-{}", index % 3);
    let peers = addresses.iter().enumerate().map(|(index, address)| PeerAddress {
        name: name(index).into(),
        zone: zone(index).into(),
        address: *address,
    });
    let peers: Vec<PeerAddress> = peers.collect();
    let config = |index: usize| ClusterConfig {
        name: name(index).into(),
        zone: zone(index).into(),
        data_dir: (index < 3).then(|| folder.join(format!("{count}-{index}"))),
        peer_listen: addresses[index],
        peers: peers.clone(),
        bootstrap_voters: (0..3).map(|voter| name(voter).into()).collect(),
        trust_disk: false,
        bootstrap: true,
        names_are_addresses: false,
        target_voters: None,
        secret: "a shared secret".to_owned(),
    };
    Ok((0..count).map(|index| Node { config: config(index), running: None }).collect())
}

/// Starts a cluster of `count` nodes and waits until all are current.
pub(crate) async fn started(folder: &Path, count: usize) -> eyre::Result<Vec<Node>> {
    let mut nodes = nodes(folder, count)?;
    nodes.iter_mut().try_for_each(Node::start)?;
    let start = Instant::now();
    while !nodes.iter().all(|node| node.handle().is_ok_and(|handle| handle.status().current)) {
        eyre::ensure!(start.elapsed() < TIMEOUT, "{count} nodes did not form a cluster");
        sleep(Duration::from_millis(20)).await;
    }
    Ok(nodes)
}

/// Returns the index of the leader, if there is one.
pub(crate) fn leader(nodes: &[Node]) -> Option<usize> {
    let leads = |node: &Node| node.handle().is_ok_and(|handle| handle.status().role == Role::Leader);
    nodes.iter().position(leads)
}
