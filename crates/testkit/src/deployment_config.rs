//! The configuration of a deployment, presets of the size of the two users' deployments, and the settings of a node.

use std::{fmt::Write as _, net::SocketAddr, path::Path};

use daisysill_wire::http_types::InstanceKind;

use crate::{engine::EngineConfig, store::StoreConfig};

/// Poll interval for the platform's list and for engines' reports.
/// At 50 ms, a zone cut in the Bangkok preset left 20,000 file descriptors open in the test process.
pub const PLATFORM_POLL_MS: u64 = 200;
/// Rate of each link to a store: a piece takes 13 ms to transfer and 100 ms to compute.
const STORE_LINK_BYTES_PER_S: u64 = 20_000_000;
/// Number of customers in each preset; the benchmark's load gives the first few most arrivals.
const PRESET_CUSTOMER_COUNT: usize = 10;

/// The configuration of a node.
#[derive(Clone, Debug)]
pub struct NodePlan {
    /// Unique name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Whether the node is a bootstrap voter, with a data folder.
    pub voter: bool,
}

/// The configuration of an upstream instance.
#[derive(Clone, Debug)]
pub struct UpstreamPlan {
    /// Instance id, unique in the deployment.
    pub id: String,
    /// Name of its service.
    pub service: String,
    /// Whether it is an engine, a plain service or a store.
    pub kind: InstanceKind,
    /// Availability zone.
    pub zone: String,
}

/// The configuration of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentConfig {
    /// Nodes; at least one is a voter.
    pub nodes: Vec<NodePlan>,
    /// Upstreams, started and listed as live.
    pub upstreams: Vec<UpstreamPlan>,
    /// Names of the customers; each may use every service.
    pub customers: Vec<String>,
    /// Name of the model service.
    pub model: String,
    /// Name of the plain service.
    pub plain: String,
    /// Configuration of every engine.
    pub engine: EngineConfig,
    /// Configuration of every store.
    pub store: StoreConfig,
    /// Time of a weight load at full speed.
    pub weight_load_ms: u64,
    /// Number of concurrent loads that the weight store serves at full speed.
    pub weight_loads: u64,
    /// Whether each node reaches each upstream and the platform through a proxy of its own.
    pub upstream_proxies: bool,
    /// Another model service in the nodes' settings; its engines are started and listed by the test.
    pub extra_model: Option<String>,
    /// Lines that are added to the section `[node]` of every node; each ends with a newline.
    pub extra_node_settings: String,
}

impl DeploymentConfig {
    /// One zone, one voter, one engine, one plain service, one store and two customers.
    pub fn small() -> Self {
        let mut config = Self::empty("lyric-llm", "booth-app");
        config.add_nodes(&["sathorn-1"], &["bkk-sathorn"], 1);
        config.add_upstreams(InstanceKind::Engine, "lyric-llm", 1, &["bkk-sathorn"]);
        config.add_upstreams(InstanceKind::Plain, "booth-app", 1, &["bkk-sathorn"]);
        config.add_upstreams(InstanceKind::Store, "score-cache", 1, &["bkk-sathorn"]);
        config.customers = vec!["opera-a".to_owned(), "opera-b".to_owned()];
        config
    }

    /// As `small`, with this number of engines.
    pub fn with_engines(engines: usize) -> Self {
        let mut config = Self::small();
        config.upstreams.retain(|plan| plan.kind != InstanceKind::Engine);
        config.add_upstreams(InstanceKind::Engine, "lyric-llm", engines, &["bkk-sathorn"]);
        config
    }

    /// The size of Bangkok: 7 nodes, 20 engines, 3 plain services, two stores, 10 customers.
    pub fn bangkok() -> Self {
        let zones = ["bkk-sathorn", "bkk-bangna", "bkk-lat-phrao"];
        let mut config = Self::empty("lyric-llm", "booth-app");
        let names =
            ["sathorn-1", "bangna-1", "lat-phrao-1", "sathorn-2", "bangna-2", "lat-phrao-2", "sathorn-3"];
        config.add_nodes(&names, &zones, 3);
        config.add_upstreams(InstanceKind::Engine, "lyric-llm", 20, &zones);
        config.add_upstreams(InstanceKind::Plain, "booth-app", 3, &zones);
        config.add_upstreams(InstanceKind::Store, "score-cache", 1, &zones[..1]);
        config.add_upstreams(InstanceKind::Store, "gloss-cache", 1, &zones[1..2]);
        config.customers = customers("opera");
        (config.weight_load_ms, config.weight_loads) = (300, 3);
        config
    }

    /// The size of Bengal: 7 nodes, 10 engines, 4 plain services, two stores, 10 customers.
    pub fn bengal() -> Self {
        let zones = ["howrah", "salt-lake", "durgapur", "siliguri"];
        let mut config = Self::empty("tanpura", "ledger");
        let names =
            ["howrah-1", "salt-lake-1", "durgapur-1", "siliguri-1", "howrah-2", "salt-lake-2", "durgapur-2"];
        config.add_nodes(&names, &zones, 3);
        config.add_upstreams(InstanceKind::Engine, "tanpura", 10, &zones);
        config.add_upstreams(InstanceKind::Plain, "ledger", 4, &zones);
        config.add_upstreams(InstanceKind::Store, "sill-east", 1, &zones[..1]);
        config.add_upstreams(InstanceKind::Store, "sill-west", 1, &zones[1..2]);
        config.customers = customers("subscriber");
        (config.weight_load_ms, config.weight_loads) = (400, 2);
        config
    }

    /// Returns the bearer token of a customer, given by name.
    pub fn token(customer: &str) -> String {
        format!("{customer}-token")
    }

    fn empty(model: &str, plain: &str) -> Self {
        Self {
            nodes: Vec::new(),
            upstreams: Vec::new(),
            customers: Vec::new(),
            model: model.to_owned(),
            plain: plain.to_owned(),
            engine: EngineConfig { link_bytes_per_s: STORE_LINK_BYTES_PER_S, ..EngineConfig::default() },
            store: StoreConfig { link_bytes_per_s: STORE_LINK_BYTES_PER_S, ..StoreConfig::default() },
            weight_load_ms: 300,
            weight_loads: 3,
            upstream_proxies: true,
            extra_model: None,
            extra_node_settings: String::new(),
        }
    }

    fn add_nodes(&mut self, names: &[&str], zones: &[&str], voters: usize) {
        for (index, name) in names.iter().enumerate() {
            let zone = zones[index % zones.len()].to_owned();
            self.nodes.push(NodePlan { name: (*name).to_owned(), zone, voter: index < voters });
        }
    }

    fn add_upstreams(&mut self, kind: InstanceKind, service: &str, count: usize, zones: &[&str]) {
        for index in 0..count {
            self.upstreams.push(UpstreamPlan {
                id: format!("{service}-{}", index + 1),
                service: service.to_owned(),
                kind,
                zone: zones[index % zones.len()].to_owned(),
            });
        }
    }

    /// Returns the INI settings of a node; `Environment::start_node` replaces `READY_FILE` by a path.
    pub(crate) fn settings(
        &self,
        node: &NodePlan,
        peers: Vec<(&NodePlan, SocketAddr)>,
        platform: &str,
        data_dir: &Path,
    ) -> String {
        let voters = self.nodes.iter().filter(|node| node.voter).map(|node| node.name.as_str());
        let voters = voters.collect::<Vec<_>>().join(", ");
        let data_dir =
            if node.voter { format!("data_dir = {}\n", data_dir.display()) } else { String::new() };
        let mut text = format!(
            "[node]\nname = {}\navailability_zone = {}\ncaller_listen = 127.0.0.1:0\n\
             admin_listen = 127.0.0.1:0\nready_file = READY_FILE\n{}\
             [cluster]\npeer_listen = 127.0.0.1:0\nsecret = test\nbootstrap_voters = {voters}\n{data_dir}\
             [platform]\nurl = {platform}\npoll_ms = {PLATFORM_POLL_MS}\n",
            node.name, node.zone, self.extra_node_settings
        );
        for (peer, address) in peers {
            let (name, zone) = (&peer.name, &peer.zone);
            let _ = write!(text, "[peer.{name}]\navailability_zone = {zone}\naddress = {address}\n");
        }
        text.push_str(&self.service_settings());
        let services = self.services().join(", ");
        for customer in &self.customers {
            let digest = blake3::hash(Self::token(customer).as_bytes()).to_hex();
            let _ = write!(text, "[customer.{customer}]\ntoken_digest = {digest}\nservices = {services}\n");
        }
        text
    }

    fn services(&self) -> Vec<String> {
        let mut services: Vec<String> = self.upstreams.iter().map(|plan| plan.service.clone()).collect();
        services.extend(self.extra_model.clone());
        services.sort();
        services.dedup();
        services
    }

    fn service_settings(&self) -> String {
        let mut text = String::new();
        for service in self.services() {
            let kind = self.upstreams.iter().find(|plan| plan.service == service).map(|plan| plan.kind);
            let kind = match kind {
                Some(InstanceKind::Engine) | None => "model",
                Some(InstanceKind::Store) => "store",
                Some(InstanceKind::Plain) => "plain",
            };
            let _ = write!(
                text,
                "[service.{service}]\nkind = {kind}\npiece_tokens = {}\npiece_bytes = {}\nbytes_per_token = {}\n\
                 checks_fencing = {}\npoll_ms = {PLATFORM_POLL_MS}\nlink_bytes_per_s = {}\n",
                self.engine.piece_tokens,
                self.engine.piece_bytes,
                self.engine.bytes_per_token,
                self.engine.checks_fencing,
                self.store.link_bytes_per_s.max(1),
            );
        }
        text
    }
}

fn customers(prefix: &str) -> Vec<String> {
    (1..=PRESET_CUSTOMER_COUNT).map(|number| format!("{prefix}-{number}")).collect()
}
