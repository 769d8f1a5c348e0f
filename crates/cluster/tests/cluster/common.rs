//! Test clusters: each node runs on its own thread, behind forwarders that inject network faults.

use std::{
    collections::BTreeMap,
    path::PathBuf,
    sync::{Arc, atomic::Ordering, mpsc as blocking},
    thread::JoinHandle,
    time::Duration,
};

use daisysill_cluster::{Cluster, ClusterConfig, ClusterHandle, PeerAddress, ProposeError, Role};
use daisysill_control::command::{Command, Reply, SetDrain};
use daisysill_core::ids::{ConfigVersion, InstanceId};
use tokio::{
    net::TcpListener,
    runtime::Builder,
    sync::mpsc,
    time::{Instant, sleep},
};

use crate::forwarder::{CUT, Fault, Forwarder, OPEN, SILENT};

/// Timeout for steps that normally take a second or two; generous because the machine may be busy.
pub const SOON: Duration = Duration::from_secs(15);

enum ThreadCommand {
    Suspend(Duration),
    Stop,
}

struct RunningNode {
    handle: ClusterHandle,
    commands: mpsc::UnboundedSender<ThreadCommand>,
    thread: JoinHandle<()>,
}

/// A cluster whose nodes run in this process.
pub struct TestCluster {
    configs: BTreeMap<String, ClusterConfig>,
    forwarders: BTreeMap<(String, String), Arc<Forwarder>>,
    running: BTreeMap<String, RunningNode>,
    folder: tempfile::TempDir,
}

impl TestCluster {
    /// Prepares `voters` and `observers`, each given as `name/zone`, without starting them.
    pub fn new(voters: &[&str], observers: &[&str]) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let split = |text: &&str| {
            let (node, its_zone) = text.split_once('/').unwrap();
            (node.to_owned(), its_zone.to_owned())
        };
        let voters: Vec<(String, String)> = voters.iter().map(split).collect();
        let all: Vec<_> = voters.iter().cloned().chain(observers.iter().map(split)).collect();
        let mut forwarders = BTreeMap::new();
        let mut configs = BTreeMap::new();
        for (name, zone) in &all {
            let mut peers = Vec::new();
            for (other, other_zone) in all.iter().filter(|(other, _)| other != name) {
                let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
                listener.set_nonblocking(true).unwrap();
                let listener = TcpListener::from_std(listener).unwrap();
                let address = listener.local_addr().unwrap();
                let forwarder = Arc::new(Forwarder::default());
                tokio::spawn(Arc::clone(&forwarder).run(listener));
                forwarders.insert((name.clone(), other.clone()), forwarder);
                let zone = other_zone.as_str().into();
                peers.push(PeerAddress { name: other.as_str().into(), zone, address });
            }
            let has_disk = voters.iter().any(|(voter, _)| voter == name);
            let config = ClusterConfig {
                name: name.as_str().into(),
                zone: zone.as_str().into(),
                data_dir: has_disk.then(|| folder.path().join(name)),
                peer_listen: "127.0.0.1:0".parse().unwrap(),
                peers,
                bootstrap_voters: voters.iter().map(|(voter, _)| voter.as_str().into()).collect(),
                trust_disk: false,
                bootstrap: true,
                names_are_addresses: false,
                target_voters: None,
                secret: "a shared secret".to_owned(),
            };
            configs.insert(name.clone(), config);
        }
        Self { configs, forwarders, running: BTreeMap::new(), folder }
    }

    /// Prepares and starts all nodes, and waits until the configuration of each is current.
    pub async fn started(voters: &[&str], observers: &[&str]) -> Self {
        let mut cluster = Self::new(voters, observers);
        let names: Vec<String> = cluster.configs.keys().cloned().collect();
        for name in &names {
            cluster.start(name);
        }
        let all_current = |cluster: &Self| cluster.running.values().all(|n| n.handle.status().current);
        cluster.wait("all nodes current", all_current).await;
        cluster
    }

    /// Returns the settings of a node; changes take effect at its next start.
    pub fn config(&mut self, name: &str) -> &mut ClusterConfig {
        self.configs.get_mut(name).unwrap()
    }

    /// Returns the data folder of a voter.
    pub fn data_dir(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Starts a node on its own thread.
    pub fn start(&mut self, name: &str) {
        let config = self.configs[name].clone();
        let (ready, started) = blocking::channel();
        let (commands, mut inbox) = mpsc::unbounded_channel();
        let thread = std::thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async move {
                let (handle, address) = Cluster::start(config).await.unwrap();
                ready.send((handle.clone(), address)).unwrap();
                while let Some(ThreadCommand::Suspend(time)) = inbox.recv().await {
                    // Blocks the only thread of the node, so that none of its tasks is polled.
                    std::thread::sleep(time);
                }
                handle.stop().await;
            });
        });
        let (handle, address) = started.recv().unwrap();
        self.running.insert(name.to_owned(), RunningNode { handle, commands, thread });
        for ((_, to), forwarder) in &self.forwarders {
            if to == name {
                *forwarder.target.lock().unwrap() = Some(address);
            }
        }
    }

    /// Stops a node without notice.
    pub fn stop(&mut self, name: &str) {
        let node = self.running.remove(name).unwrap();
        let _ = node.commands.send(ThreadCommand::Stop);
        node.thread.join().unwrap();
    }

    /// Blocks all tasks of a node for `time`, like a suspended process.
    pub fn suspend(&self, name: &str, time: Duration) {
        self.running[name].commands.send(ThreadCommand::Suspend(time)).unwrap();
    }

    /// Returns the handle of a running node.
    pub fn node(&self, name: &str) -> &ClusterHandle {
        &self.running[name].handle
    }

    fn set_mode(&self, name: &str, others: &[&str], mode: u8) {
        for ((from, to), forwarder) in &self.forwarders {
            let between = (from == name && others.contains(&to.as_str()))
                || (to == name && others.contains(&from.as_str()));
            if between {
                forwarder.mode.store(mode, Ordering::SeqCst);
            }
        }
    }

    /// Returns the names of all nodes but one.
    pub fn others(&self, name: &str) -> Vec<&str> {
        self.configs.keys().map(String::as_str).filter(|other| *other != name).collect()
    }

    /// Closes the connections between a node and others, and any new ones.
    pub fn cut(&self, name: &str, others: &[&str]) {
        self.set_mode(name, others, CUT);
    }

    /// Closes the connections that one node opened to another, and any new ones.
    pub fn cut_direction(&self, from: &str, to: &str) {
        self.forwarders[&(from.to_owned(), to.to_owned())].mode.store(CUT, Ordering::SeqCst);
    }

    /// Drops all bytes between a node and others, on present and new connections, without closing them.
    pub fn silence(&self, name: &str, others: &[&str]) {
        self.set_mode(name, others, SILENT);
    }

    /// Undoes `cut` and `silence`.
    pub fn restore(&self, name: &str, others: &[&str]) {
        self.set_mode(name, others, OPEN);
    }

    /// Drops all further bytes on the present connections of a node; new connections work.
    pub fn stall_present_connections(&self, name: &str) {
        for ((from, to), forwarder) in &self.forwarders {
            if from == name || to == name {
                let next = forwarder.next_connection.load(Ordering::SeqCst);
                forwarder.stalled_before.store(next, Ordering::SeqCst);
            }
        }
    }

    /// Delays the responses to all calls between nodes, but no call.
    pub fn delay_responses(&self, delay: Duration) {
        let delay_ms = u64::try_from(delay.as_millis()).unwrap();
        for forwarder in self.forwarders.values() {
            forwarder.response_delay_ms.store(delay_ms, Ordering::SeqCst);
        }
    }

    /// Injects a fault into the next chunk that one node sends on a connection that it opened to another.
    pub fn inject(&self, from: &str, to: &str, fault: Fault) {
        *self.forwarders[&(from.to_owned(), to.to_owned())].fault.lock().unwrap() = Some(fault);
    }

    /// Returns how many connections one node has opened to another.
    pub fn connections(&self, from: &str, to: &str) -> u64 {
        self.forwarders[&(from.to_owned(), to.to_owned())].next_connection.load(Ordering::SeqCst)
    }

    /// Returns the running leader of the highest term, which is the one that a majority accepts.
    pub fn leader(&self) -> Option<String> {
        let leaders = self.running.iter().filter(|(_, n)| n.handle.status().role == Role::Leader);
        leaders.max_by_key(|(_, node)| node.handle.status().term).map(|(name, _)| name.clone())
    }

    /// Waits until `condition` holds; fails after `SOON`.
    pub async fn wait(&self, what: &str, condition: impl Fn(&Self) -> bool) {
        self.wait_up_to(SOON, what, condition).await;
    }

    /// Waits until `condition` holds; fails after `limit`.
    pub async fn wait_up_to(&self, limit: Duration, what: &str, condition: impl Fn(&Self) -> bool) {
        let start = Instant::now();
        while !condition(self) {
            assert!(
                start.elapsed() < limit,
                "condition not met within {limit:?}: {what}; {:#?}",
                self.summary()
            );
            sleep(Duration::from_millis(20)).await;
        }
    }

    fn summary(&self) -> Vec<String> {
        let line = |(name, node): (&String, &RunningNode)| {
            let status = node.handle.status();
            let version = self.version(name);
            let alive = status.members.iter().filter(|m| m.alive).count();
            format!(
                "{name}: {} term {} leader {:?} applied {} version {version} current {} alive {alive}",
                status.role.name(),
                status.term,
                status.leader.map(|l| l.to_string()),
                status.applied_index,
                status.current,
            )
        };
        self.running.iter().map(line).collect()
    }

    /// Returns the configuration version of a node.
    pub fn version(&self, name: &str) -> ConfigVersion {
        self.node(name).view().borrow().version
    }

    /// Marks an upstream as draining through a node; retries until the change is accepted.
    pub async fn drain(&self, through: &str, upstream: &str) -> ConfigVersion {
        let start = Instant::now();
        loop {
            match self.try_drain(through, upstream).await {
                Ok(Reply::Accepted(version)) => return version,
                other => assert!(start.elapsed() < SOON, "{other:?}; {:#?}", self.summary()),
            }
        }
    }

    /// Marks an upstream as draining through a node, without retries.
    pub async fn try_drain(&self, through: &str, upstream: &str) -> Result<Reply, ProposeError> {
        self.node(through).propose(drain_command(upstream)).await
    }

    /// Waits until the nodes have a configuration version or a newer one.
    pub async fn wait_version(&self, names: &[&str], version: ConfigVersion) {
        let reached = |cluster: &Self| names.iter().all(|name| cluster.version(name) >= version);
        self.wait(&format!("version {version} on {names:?}"), reached).await;
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        let names: Vec<String> = self.running.keys().cloned().collect();
        for name in names {
            let node = self.running.remove(&name).unwrap();
            let _ = node.commands.send(ThreadCommand::Stop);
            let _ = node.thread.join();
        }
    }
}

/// Returns the command that marks an upstream as draining; its change id is derived from the name.
pub fn drain_command(upstream: &str) -> Command {
    let upstream = InstanceId::from(upstream);
    Command::SetDrain(SetDrain { change: format!("drain {upstream}").into(), upstream, draining: true })
}
