//! Real nodes and stand-ins that are linked through fault-injecting proxies.

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

/// Time-out of a status request.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which a started deployment must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time in which a node that considers all engines live receives their first load reports.
const FIRST_REPORTS_DELAY: Duration = Duration::from_millis(4 * PLATFORM_POLL_MS);

/// Damage to a file of a node's data folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Damage {
    /// Flips one bit of the byte at this offset.
    FlipBit(usize),
    /// Truncates the file to this many bytes.
    Truncate(u64),
    /// Deletes the file.
    Delete,
}

/// Several real nodes and the stand-ins around them.
#[derive(Debug)]
pub struct Deployment {
    /// Configuration that the deployment was started with.
    pub config: DeploymentConfig,
    /// Folder with settings, data folders and logs.
    pub environment: Environment,
    /// Stand-ins of engines, plain services and stores.
    pub upstreams: Upstreams,
    /// Stand-in of the platform's list, which has all upstreams.
    pub platform: Platform,
    nodes: BTreeMap<String, NodeProcess>,
    /// Proxies between nodes, from the first to the second.
    peer_links: BTreeMap<(String, String), Proxy>,
    /// Proxies from a node to an upstream, or to the platform under the name `platform`.
    upstream_links: BTreeMap<(String, String), Proxy>,
}

impl Deployment {
    /// Starts stand-ins, proxies and nodes.
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

    /// Returns the process of a running node.
    ///
    /// # Panics
    /// Panics if the node is not running.
    pub fn node(&self, name: &str) -> &NodeProcess {
        self.nodes.get(name).unwrap_or_else(|| panic!("node {name} is not running"))
    }

    /// Returns whether a node was started and neither killed nor stopped since; does not notice that it exited.
    pub fn is_running(&self, name: &str) -> bool {
        self.nodes.contains_key(name)
    }

    /// Returns the base URL for callers of a node.
    pub fn caller_url(&self, name: &str) -> String {
        format!("http://{}", self.node(name).addresses.caller)
    }

    /// Returns the proxy from one node to another.
    pub fn peer_link(&self, from: &str, to: &str) -> &Proxy {
        &self.peer_links[&(from.to_owned(), to.to_owned())]
    }

    /// Returns the proxy from a node to an upstream, or to the platform under the name `platform`.
    ///
    /// # Panics
    /// Panics if the deployment was configured without upstream proxies.
    pub fn upstream_link(&self, node: &str, upstream: &str) -> &Proxy {
        &self.upstream_links[&(node.to_owned(), upstream.to_owned())]
    }

    /// Returns the INI settings of a node, with the addresses of its proxies; `READY_FILE` is left in place.
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

    /// Starts a node that is not running, and points the proxies of its peers to its new address.
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

    /// Kills a node with SIGKILL.
    pub fn kill(&mut self, name: &str) {
        self.nodes.remove(name);
    }

    /// Sends SIGTERM to a node, blocks until it exits and returns its exit code.
    ///
    /// # Panics
    /// Panics if it does not exit in time.
    pub fn stop(&mut self, name: &str, timeout: Duration) -> Option<i32> {
        let mut process = self.nodes.remove(name).unwrap();
        process.signal("TERM");
        process.wait(timeout)
    }

    /// Waits until a node that got SIGTERM exits, without blocking the thread; returns its exit code.
    ///
    /// # Panics
    /// Panics if it does not exit in time.
    pub async fn wait_for_end(&mut self, name: &str, timeout: Duration) -> Option<i32> {
        let end = Instant::now() + timeout;
        while !self.nodes.get_mut(name).unwrap().has_ended() {
            assert!(Instant::now() < end, "{name} does not exit within {timeout:?}");
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        self.nodes.remove(name).unwrap().wait(Duration::ZERO)
    }

    /// Kills a node and starts it with the same data folder.
    pub fn restart(&mut self, name: &str) {
        self.kill(name);
        self.start_node(name);
    }

    /// Kills a node and starts it with an empty data folder.
    pub fn restart_empty(&mut self, name: &str) {
        self.kill(name);
        let _ = fs::remove_dir_all(self.data_dir(name));
        self.start_node(name);
    }

    /// Suspends a node with SIGSTOP; it sends nothing more when this returns.
    pub fn suspend(&self, name: &str) {
        self.node(name).suspend();
    }

    /// Resumes a suspended node with SIGCONT.
    pub fn resume(&self, name: &str) {
        self.node(name).signal("CONT");
    }

    /// Sets whether the disk of a running node refuses all writes.
    pub fn set_disk_full(&self, name: &str, full: bool) {
        self.node(name).set_disk_full(full);
    }

    /// Returns whether a node that was started has exited by itself.
    ///
    /// # Panics
    /// Panics if the node was not started, or was killed or stopped since.
    pub fn has_ended(&mut self, name: &str) -> bool {
        self.nodes.get_mut(name).unwrap().has_ended()
    }

    /// Returns the path of a node's data folder; only voters have one.
    pub fn data_dir(&self, name: &str) -> PathBuf {
        self.environment.path().join(format!("{name}.data"))
    }

    /// Damages a file of the data folder of a node that is not running.
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

    /// Silences or restores all links between a zone's nodes and everything outside it, and those of other nodes to the
    /// zone's upstreams.
    pub fn set_zone_cut(&self, zone: &str, cut: bool) {
        for ((from, to), link) in &self.peer_links {
            if (self.plan(from).zone == zone) != (self.plan(to).zone == zone) {
                link.set_silent(cut);
            }
        }
        for ((node, upstream), link) in &self.upstream_links {
            // The platform is in no zone, so it is unreachable for a zone that is cut off.
            let upstream_zone = self.upstreams.zone(upstream).unwrap_or_default();
            if (self.plan(node).zone == zone) != (upstream_zone == zone) {
                link.set_silent(cut);
            }
        }
    }

    /// Writes rule files and publishes them through a node with `daisysill publish --wait`; returns whether all live
    /// nodes have them.
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

    /// Reads the status of a node; `None` if it does not run or does not answer within 2 s.
    pub async fn status(&self, name: &str) -> Option<NodeStatus> {
        let url = format!("http://{}/admin/v1/status", self.nodes.get(name)?.addresses.admin);
        let client = Client::builder().timeout(STATUS_TIMEOUT).finish();
        client.get(url).send().await.ok()?.json().limit(16_777_216).await.ok()
    }

    /// Reads the status of all running nodes; `None` for those that do not answer.
    pub async fn statuses(&self) -> BTreeMap<String, Option<NodeStatus>> {
        let mut statuses = BTreeMap::new();
        for name in self.nodes.keys() {
            statuses.insert(name.clone(), self.status(name).await);
        }
        statuses
    }

    /// As `wait_until_live`, and then until the first load reports have arrived.
    ///
    /// # Panics
    /// Panics if a node is not ready within 30 s.
    pub async fn wait_until_ready(&self) {
        self.wait_until_live().await;
        actix_rt::time::sleep(FIRST_REPORTS_DELAY).await;
    }

    /// Returns the logs of all running nodes, without the lines on single calls between them.
    pub fn logs(&self) -> String {
        let mut text = String::new();
        for name in self.nodes.keys() {
            text.extend(["log of ", name, ":\n"]);
            let log = self.environment.log(name);
            text.extend(log.lines().filter(|line| !line.contains("tarpc")).flat_map(|line| [line, "\n"]));
        }
        text
    }

    /// Waits until every running node is ready and considers every engine and plain service live.
    ///
    /// # Panics
    /// Panics if a node is not ready within 30 s.
    pub async fn wait_until_live(&self) {
        let expected = self.upstreams.serving_upstreams();
        let end = Instant::now() + READY_TIMEOUT;
        for name in self.nodes.keys() {
            loop {
                let status = self.status(name).await;
                let live = status.as_ref().map_or(0, |status| {
                    status.upstreams.iter().filter(|upstream| upstream.state == "live").count()
                });
                if live >= expected && status.is_some_and(|status| status.life_cycle == "ready") {
                    break;
                }
                assert!(
                    Instant::now() < end,
                    "{name} is not ready within {READY_TIMEOUT:?}, {live} of {expected} upstreams live\n{}",
                    self.logs()
                );
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

/// Returns whether an instance runs requests, unlike a store.
pub(crate) fn serves_requests(kind: InstanceKind) -> bool {
    kind != InstanceKind::Store
}
