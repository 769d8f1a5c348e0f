//! Several real nodes with stand-ins around them; each link between them leads through a proxy.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, Instant},
};

use awc::Client;
use daisysill_wire::http_types::{InstanceKind, NodeStatus};

use crate::{
    deployment_config::{DeploymentConfig, NodePlan, PLATFORM_POLL_MS},
    environment::{Environment, NodeProcess},
    platform::Platform,
    proxy::Proxy,
    upstreams::Upstreams,
};

/// Time in which a node answers an administrative question.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which a started deployment must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time in which a node reads the first load report of every engine that it takes for live.
const FIRST_REPORTS: Duration = Duration::from_millis(4 * PLATFORM_POLL_MS);

/// What happens to a file of a node's data folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Damage {
    /// One bit flips at this offset, counted from the start.
    FlipBit(usize),
    /// The file ends after this many bytes.
    Truncate(u64),
    /// The file is gone.
    Delete,
}

/// Several real nodes and the stand-ins around them.
#[derive(Debug)]
pub struct Deployment {
    /// What was asked for.
    pub config: DeploymentConfig,
    /// Settings, data folders and logs.
    pub environment: Environment,
    /// Upstreams.
    pub upstreams: Upstreams,
    /// The platform's list.
    pub platform: Platform,
    nodes: BTreeMap<String, NodeProcess>,
    /// Links between nodes: from the first to the second.
    peer_links: BTreeMap<(String, String), Proxy>,
    /// Links from a node to an upstream or to the platform (under the name `platform`).
    upstream_links: BTreeMap<(String, String), Proxy>,
}

impl Deployment {
    /// Starts stand-ins, links and nodes.
    ///
    /// # Panics
    /// Panics if a node does not listen in time.
    pub fn start(config: DeploymentConfig) -> Self {
        let upstreams = Upstreams::start(&config);
        let mut deployment = Self {
            platform: Platform::start(),
            environment: Environment::new(),
            nodes: BTreeMap::new(),
            peer_links: BTreeMap::new(),
            upstream_links: BTreeMap::new(),
            upstreams,
            config,
        };
        deployment.list_upstreams();
        deployment.create_links();
        for name in deployment.node_names() {
            deployment.start_node(&name);
        }
        deployment
    }

    /// Returns the names of all nodes, running or not.
    pub fn node_names(&self) -> Vec<String> {
        self.config.nodes.iter().map(|node| node.name.clone()).collect()
    }

    /// Returns a running node.
    ///
    /// # Panics
    /// Panics if it does not run.
    pub fn node(&self, name: &str) -> &NodeProcess {
        self.nodes.get(name).unwrap_or_else(|| panic!("node {name} does not run"))
    }

    /// Returns whether a node was started and not killed or stopped.
    pub fn is_running(&self, name: &str) -> bool {
        self.nodes.contains_key(name)
    }

    /// Returns the base URL for callers of a node.
    pub fn caller_url(&self, name: &str) -> String {
        format!("http://{}", self.node(name).addresses.caller)
    }

    /// Returns the link from one node to another.
    pub fn peer_link(&self, from: &str, to: &str) -> &Proxy {
        &self.peer_links[&(from.to_owned(), to.to_owned())]
    }

    /// Returns the link from a node to an upstream, or to the platform under the name `platform`.
    pub fn upstream_link(&self, node: &str, upstream: &str) -> &Proxy {
        &self.upstream_links[&(node.to_owned(), upstream.to_owned())]
    }

    /// Returns the settings of a node.
    pub fn settings(&self, name: &str) -> String {
        let peers = self.config.nodes.iter().filter(|peer| peer.name != name);
        let peers = peers.map(|peer| (peer, self.peer_link(name, &peer.name).address()));
        let platform = match self.upstream_links.get(&(name.to_owned(), "platform".to_owned())) {
            Some(link) => format!("{}/for/{name}", link.url()),
            None => self.platform.url(),
        };
        let data_dir = self.data_dir(name);
        self.config.settings(self.plan(name), peers.collect(), &platform, &data_dir)
    }

    /// Starts a node that does not run, and leads all links to it.
    ///
    /// # Panics
    /// Panics if it does not listen in time.
    pub fn start_node(&mut self, name: &str) {
        let process = self.environment.start_node(name, &self.settings(name));
        for ((_, to), link) in &self.peer_links {
            if to == name {
                link.set_target(process.addresses.peer);
            }
        }
        self.nodes.insert(name.to_owned(), process);
    }

    /// Kills a node.
    pub fn kill(&mut self, name: &str) {
        self.nodes.remove(name);
    }

    /// Asks a node to stop and returns its exit code.
    ///
    /// # Panics
    /// Panics if it does not end in time.
    pub fn stop(&mut self, name: &str, timeout: Duration) -> Option<i32> {
        let mut process = self.nodes.remove(name).unwrap();
        process.signal("TERM");
        process.wait(timeout)
    }

    /// Waits for a node that was asked to stop, without blocking the thread; returns its exit code.
    ///
    /// # Panics
    /// Panics if it does not end in time.
    pub async fn wait_for_end(&mut self, name: &str, timeout: Duration) -> Option<i32> {
        let end = Instant::now() + timeout;
        while !self.nodes.get_mut(name).unwrap().has_ended() {
            assert!(Instant::now() < end, "{name} does not end");
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        self.nodes.remove(name).unwrap().wait(Duration::ZERO)
    }

    /// Kills a node and starts it again with its data folder.
    pub fn restart(&mut self, name: &str) {
        self.kill(name);
        self.start_node(name);
    }

    /// Kills a node and starts it again with an empty data folder.
    pub fn restart_empty(&mut self, name: &str) {
        self.kill(name);
        let _ = fs::remove_dir_all(self.data_dir(name));
        self.start_node(name);
    }

    /// Suspends a node.
    pub fn suspend(&self, name: &str) {
        self.node(name).signal("STOP");
    }

    /// Lets a suspended node go on.
    pub fn resume(&self, name: &str) {
        self.node(name).signal("CONT");
    }

    /// Returns the data folder of a node.
    pub fn data_dir(&self, name: &str) -> PathBuf {
        self.environment.path().join(format!("{name}.data"))
    }

    /// Damages a file of a node's data folder; the node should not run.
    ///
    /// # Panics
    /// Panics if the file does not exist or is too short.
    pub fn damage(&self, node: &str, file: &str, damage: Damage) {
        let path = self.data_dir(node).join(file);
        match damage {
            Damage::Delete => fs::remove_file(path).unwrap(),
            Damage::Truncate(length) => {
                let file = fs::File::options().write(true).open(path).unwrap();
                file.set_len(length).unwrap();
            }
            Damage::FlipBit(offset) => {
                let mut bytes = fs::read(&path).unwrap();
                bytes[offset] ^= 1;
                fs::write(path, bytes).unwrap();
            }
        }
    }

    /// Separates a zone's nodes from all other nodes, and from upstreams of other zones, or rejoins them.
    pub fn set_zone_cut(&self, zone: &str, cut: bool) {
        for ((from, to), link) in &self.peer_links {
            if (self.plan(from).zone == zone) != (self.plan(to).zone == zone) {
                link.set_silent(cut);
            }
        }
        for ((node, upstream), link) in &self.upstream_links {
            // The platform has no zone; a zone that is cut off does not reach it.
            let upstream_zone = self.upstreams.zone(upstream).unwrap_or_default();
            if (self.plan(node).zone == zone) != (upstream_zone == zone) {
                link.set_silent(cut);
            }
        }
    }

    /// Writes rule files and publishes them through one node; returns whether all live nodes have them.
    ///
    /// # Panics
    /// Panics if the command cannot be run.
    pub async fn publish<T: AsRef<str>>(&self, node: &str, files: &[(&str, T)]) -> bool {
        for (name, text) in files {
            self.environment.write(&format!("rules/{name}"), text.as_ref());
        }
        let folder = self.environment.path().join("rules").display().to_string();
        let mut command = self.environment.cli_command(self.node(node), &["publish", "--wait", &folder]);
        let output = tokio::task::spawn_blocking(move || command.output());
        output.await.unwrap().unwrap().status.success()
    }

    /// Reads the status of one node; `None` if it does not answer.
    pub async fn status(&self, name: &str) -> Option<NodeStatus> {
        let url = format!("http://{}/admin/v1/status", self.nodes.get(name)?.addresses.admin);
        let client = Client::builder().timeout(STATUS_TIMEOUT).finish();
        client.get(url).send().await.ok()?.json().limit(16_777_216).await.ok()
    }

    /// Reads the status of all nodes that run.
    pub async fn statuses(&self) -> BTreeMap<String, Option<NodeStatus>> {
        let mut statuses = BTreeMap::new();
        for name in self.nodes.keys() {
            statuses.insert(name.clone(), self.status(name).await);
        }
        statuses
    }

    /// Waits until every node is ready and takes every engine and plain service for live.
    ///
    /// # Panics
    /// Panics if that does not happen in time.
    pub async fn wait_until_ready(&self) {
        self.wait_until_live().await;
        actix_rt::time::sleep(FIRST_REPORTS).await;
    }

    /// As `wait_until_ready`, without the time in which the first load reports arrive.
    ///
    /// # Panics
    /// Panics if that does not happen in time.
    pub async fn wait_until_live(&self) {
        let wanted = self.upstreams.workers();
        let end = Instant::now() + READY_TIMEOUT;
        for name in self.nodes.keys() {
            loop {
                let status = self.status(name).await;
                let live = status.as_ref().map_or(0, |status| {
                    status.upstreams.iter().filter(|upstream| upstream.state == "live").count()
                });
                if live >= wanted && status.is_some_and(|status| status.life_cycle == "ready") {
                    break;
                }
                assert!(Instant::now() < end, "{name} is not ready\n{}", self.environment.log(name));
                actix_rt::time::sleep(Duration::from_millis(PLATFORM_POLL_MS)).await;
            }
        }
    }

    fn plan(&self, name: &str) -> &NodePlan {
        self.config.nodes.iter().find(|node| node.name == name).unwrap()
    }

    fn list_upstreams(&self) {
        for (plan, url) in self.upstreams.listed() {
            self.platform.add(plan.kind, &plan.service, &plan.id, &plan.zone, &url);
        }
    }

    fn create_links(&mut self) {
        let names = self.node_names();
        for from in &names {
            for to in names.iter().filter(|to| *to != from) {
                self.peer_links.insert((from.clone(), to.clone()), Proxy::start(None));
            }
            if self.config.upstream_proxies {
                self.create_upstream_links(from);
            }
        }
    }

    fn create_upstream_links(&mut self, node: &str) {
        for (plan, url) in self.upstreams.listed() {
            let link = Proxy::start(Some(address_of(&url)));
            self.platform.set_url_for(node, &plan.id, &link.url());
            self.upstream_links.insert((node.to_owned(), plan.id.clone()), link);
        }
        let platform = Proxy::start(Some(address_of(&self.platform.url())));
        self.upstream_links.insert((node.to_owned(), "platform".to_owned()), platform);
    }
}

fn address_of(url: &str) -> SocketAddr {
    url.trim_start_matches("http://").parse().unwrap()
}

/// Returns whether an instance does work of its own, unlike a store.
pub(crate) fn is_worker(kind: InstanceKind) -> bool {
    kind != InstanceKind::Store
}
