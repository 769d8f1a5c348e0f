//! Settings of one node, read from an INI file; every error is reported at once.

mod connections;
mod limits;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use daisysill_cluster::{ClusterConfig, PeerAddress};
use daisysill_core::{
    ids::{CustomerId, InstanceId, ServiceName, ZoneName},
    ini_check::{IniError, IniFile},
};

use crate::tls::TlsConfig;

pub use connections::ConnectionConfig;
pub use limits::LimitConfig;

/// Settings of one node.
#[derive(Clone, Debug)]
pub struct Config {
    /// Names, listeners and files of the process.
    pub node: NodeConfig,
    /// Limits on requests.
    pub limits: LimitConfig,
    /// Limits on the connections of callers.
    pub connections: ConnectionConfig,
    /// How this node takes part in the cluster.
    pub cluster: ClusterConfig,
    /// Where the platform lists its instances.
    pub platform: PlatformConfig,
    /// Customers that may send requests.
    pub customers: BTreeMap<CustomerId, CustomerConfig>,
    /// Services that upstreams of the platform's list may belong to.
    pub services: BTreeMap<ServiceName, ServiceConfig>,
}

/// Names, listeners and files of the process (section `[node]`).
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Name of this node, unique in the cluster.
    pub name: InstanceId,
    /// Availability zone that this node runs in.
    pub zone: ZoneName,
    /// Address for callers.
    pub caller_listen: SocketAddr,
    /// Address for operators and the balancer.
    pub admin_listen: SocketAddr,
    /// Certificate of the callers' listener; `None` for plain HTTP.
    pub caller_tls: Option<TlsConfig>,
    /// Certificate of the admin listener; `None` for plain HTTP.
    pub admin_tls: Option<TlsConfig>,
    /// blake3 digest of the operators' bearer token, in hexadecimal; `None` if they need no token.
    pub admin_token_digest: Option<String>,
    /// File to which the bound addresses are written as JSON once the node listens.
    pub ready_file: Option<PathBuf>,
    /// File to which spans are appended as JSON lines.
    pub trace_file: Option<PathBuf>,
    /// Time between failing `/readyz` and closing the listener, in which the balancer stops sending requests.
    pub balancer_notice_ms: u64,
    /// Time that a planned stop waits for requests in progress.
    pub stop_timeout_s: u64,
}

/// Where the platform lists its instances (section `[platform]`).
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// Base URL of the platform.
    pub url: String,
    /// Interval between polls of the list.
    pub poll_ms: u64,
}

/// A customer (section `[customer.NAME]`).
#[derive(Clone, Debug)]
pub struct CustomerConfig {
    /// blake3 digest of the bearer token, in hexadecimal.
    pub token_digest: String,
    /// Services that the customer may use; each has a section of its own.
    pub services: Vec<ServiceName>,
}

/// Kind of upstreams that a service consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceKind {
    /// Engines that run a model.
    Model,
    /// Upstreams that serve plain HTTP requests.
    Plain,
    /// Stores of KV blocks.
    Store,
}

/// A service (section `[service.NAME]`).
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// Kind of its upstreams.
    pub kind: ServiceKind,
    /// Tokens in a KV piece.
    pub piece_tokens: u64,
    /// Size of an exported piece.
    pub piece_bytes: u64,
    /// Bytes of prompt text that count as one token.
    pub bytes_per_token: u64,
    /// Initial limit of this node's requests in flight; the limit then adapts to what the upstreams accept.
    pub slots: u64,
    /// Whether the upstreams refuse orders with an old fencing number.
    pub checks_fencing: bool,
    /// Interval between polls of an engine's load report and cache events.
    pub poll_ms: u64,
    /// Bandwidth of the link to each store of this service.
    pub link_bytes_per_s: u64,
}

const SECTIONS: &[&str] =
    &["node", "limits", "cluster", "platform", "peer.NAME", "customer.NAME", "service.NAME"];

impl Config {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Returns every error found, or a single one if the file cannot be read or is not valid INI.
    pub fn load(path: &Path) -> Result<Self, Vec<IniError>> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| {
            vec![IniError {
                file: name.clone(),
                line: 0,
                section: String::new(),
                key: String::new(),
                value: String::new(),
                allowed: format!("the file cannot be read: {error}"),
            }]
        })?;
        Self::parse(&name, &text)
    }

    /// Checks settings given as text; `name` is the file name that errors show.
    ///
    /// # Errors
    /// Returns every error found, or a single one if the text is not valid INI.
    pub fn parse(name: &str, text: &str) -> Result<Self, Vec<IniError>> {
        let mut ini = IniFile::parse(name, text).map_err(|error| vec![*error])?;
        check_sections(&mut ini);
        let node = parse_node(&mut ini);
        let limits = limits::parse(&mut ini);
        let config = Self {
            connections: connections::parse(&mut ini, &limits),
            limits,
            cluster: parse_cluster(&mut ini, &node),
            platform: parse_platform(&mut ini),
            customers: parse_customers(&mut ini),
            services: parse_services(&mut ini),
            node,
        };
        check_service_names(&mut ini, &config);
        let mut errors = ini.into_errors();
        for error in errors.iter_mut().filter(|error| error.allowed.starts_with("unknown key")) {
            // The value may be a secret whose key is misspelled.
            HIDDEN.clone_into(&mut error.value);
        }
        if errors.is_empty() { Ok(config) } else { Err(errors) }
    }
}

fn check_sections(ini: &mut IniFile<'_>) {
    for section in ini.sections() {
        let pattern = section.split_once('.').map(|(prefix, _)| format!("{prefix}.NAME"));
        let pattern = pattern.as_deref().unwrap_or(&section);
        if !SECTIONS.contains(&pattern) {
            ini.unknown_section(&section, SECTIONS);
        }
    }
}

fn parse_node(ini: &mut IniFile<'_>) -> NodeConfig {
    const KEYS: &[&str] = &[
        "name",
        "availability_zone",
        "caller_listen",
        "admin_listen",
        "caller_certificate",
        "caller_key",
        "admin_certificate",
        "admin_key",
        "admin_token_digest",
        "ready_file",
        "trace_file",
        "balancer_notice_ms",
        "stop_timeout_s",
    ];
    ini.check_keys("node", KEYS);
    NodeConfig {
        name: InstanceId::from(ini.required("node", "name", "the name of this node")),
        zone: ZoneName::from(ini.required("node", "availability_zone", "the zone of this node")),
        caller_listen: parse_address(ini, "node", "caller_listen"),
        admin_listen: parse_address(ini, "node", "admin_listen"),
        caller_tls: parse_tls(ini, "caller_certificate", "caller_key"),
        admin_tls: parse_tls(ini, "admin_certificate", "admin_key"),
        admin_token_digest: parse_admin_digest(ini),
        ready_file: ini.raw("node", "ready_file").map(PathBuf::from),
        trace_file: ini.raw("node", "trace_file").map(PathBuf::from),
        balancer_notice_ms: ini.number("node", "balancer_notice_ms", 2_000, 0, 600_000),
        stop_timeout_s: ini.number("node", "stop_timeout_s", 120, 1, 86_400),
    }
}

/// Reads the paths of a certificate and its key; an error if only one of them is set.
fn parse_tls(ini: &mut IniFile<'_>, certificate: &str, key: &str) -> Option<TlsConfig> {
    let path = |ini: &IniFile<'_>, name: &str| ini.raw("node", name).map(PathBuf::from);
    match (path(ini, certificate), path(ini, key)) {
        (Some(certificate), Some(key)) => Some(TlsConfig { certificate, key }),
        (None, None) => None,
        (Some(_), None) => {
            ini.report("node", key, "", "the file of the private key, as a certificate is set");
            None
        }
        (None, Some(_)) => {
            ini.report("node", certificate, "", "the file of the certificate, as a private key is set");
            None
        }
    }
}

fn parse_admin_digest(ini: &mut IniFile<'_>) -> Option<String> {
    let digest = ini.raw("node", "admin_token_digest")?.to_ascii_lowercase();
    check_digest(ini, "node", "admin_token_digest", &digest);
    Some(digest)
}

fn check_digest(ini: &mut IniFile<'_>, section: &str, key: &str, digest: &str) {
    if digest.len() != DIGEST_HEX_DIGITS || !digest.bytes().all(|b| b.is_ascii_hexdigit()) {
        // The value is hidden, since it may be a token pasted by mistake.
        ini.report(section, key, HIDDEN, DIGEST_ALLOWED);
    }
}

fn parse_cluster(ini: &mut IniFile<'_>, node: &NodeConfig) -> ClusterConfig {
    ini.check_keys("cluster", &["peer_listen", "data_dir", "secret", "bootstrap_voters", "trust_disk"]);
    let voters = split_list(ini.raw("cluster", "bootstrap_voters"));
    ClusterConfig {
        name: node.name.clone(),
        zone: node.zone.clone(),
        data_dir: ini.raw("cluster", "data_dir").map(PathBuf::from),
        peer_listen: parse_address(ini, "cluster", "peer_listen"),
        peers: parse_peers(ini),
        bootstrap_voters: voters.into_iter().map(InstanceId::from).collect(),
        trust_disk: ini.value("cluster", "trust_disk", false, "true or false"),
        bootstrap: true,
        names_are_addresses: false,
        target_voters: None,
        secret: ini.required("cluster", "secret", "a secret that all nodes share"),
    }
}

fn parse_peers(ini: &mut IniFile<'_>) -> Vec<PeerAddress> {
    let mut peers = Vec::new();
    for (section, name) in named_sections(ini, "peer") {
        ini.check_keys(&section, &["availability_zone", "address"]);
        peers.push(PeerAddress {
            name: InstanceId::from(name),
            zone: ZoneName::from(ini.required(&section, "availability_zone", "the zone of the node")),
            address: parse_address(ini, &section, "address"),
        });
    }
    peers
}

fn parse_platform(ini: &mut IniFile<'_>) -> PlatformConfig {
    ini.check_keys("platform", &["url", "poll_ms"]);
    PlatformConfig {
        url: ini.required("platform", "url", "http://ADDRESS:PORT of the platform's list"),
        poll_ms: ini.number("platform", "poll_ms", 500, 10, 60_000),
    }
}

fn parse_customers(ini: &mut IniFile<'_>) -> BTreeMap<CustomerId, CustomerConfig> {
    let mut customers = BTreeMap::new();
    for (section, name) in named_sections(ini, "customer") {
        ini.check_keys(&section, &["token_digest", "services"]);
        let token_digest = ini.required(&section, "token_digest", DIGEST_ALLOWED).to_ascii_lowercase();
        check_digest(ini, &section, "token_digest", &token_digest);
        let services = split_list(ini.raw(&section, "services"));
        let services = services.into_iter().map(ServiceName::from).collect();
        customers.insert(CustomerId::from(name), CustomerConfig { token_digest, services });
    }
    customers
}

/// Placeholder that an error shows for a value that may be secret.
const HIDDEN: &str = "(hidden)";
const DIGEST_HEX_DIGITS: usize = 64;
const DIGEST_ALLOWED: &str = "64 hexadecimal digits: the blake3 digest of the bearer token";

fn parse_services(ini: &mut IniFile<'_>) -> BTreeMap<ServiceName, ServiceConfig> {
    const KEYS: &[&str] = &[
        "kind",
        "piece_tokens",
        "piece_bytes",
        "bytes_per_token",
        "slots",
        "checks_fencing",
        "poll_ms",
        "link_bytes_per_s",
    ];
    let mut services = BTreeMap::new();
    for (section, name) in named_sections(ini, "service") {
        ini.check_keys(&section, KEYS);
        let service = ServiceConfig {
            kind: parse_kind(ini, &section),
            piece_tokens: ini.number(&section, "piece_tokens", 2_000, 1, 1_000_000),
            piece_bytes: ini.number(&section, "piece_bytes", 4_000_000, 1, 1_000_000_000_000),
            bytes_per_token: ini.number(&section, "bytes_per_token", 4, 1, 1_000),
            slots: ini.number(&section, "slots", 1_024, 1, 100_000),
            checks_fencing: ini.value(&section, "checks_fencing", false, "true or false"),
            poll_ms: ini.number(&section, "poll_ms", 500, 10, 60_000),
            link_bytes_per_s: ini.number(&section, "link_bytes_per_s", 100_000_000, 1, 1_000_000_000_000),
        };
        services.insert(ServiceName::from(name), service);
    }
    services
}

fn parse_kind(ini: &mut IniFile<'_>, section: &str) -> ServiceKind {
    let allowed = "model, plain or store";
    match ini.required(section, "kind", allowed).as_str() {
        "model" => ServiceKind::Model,
        "plain" | "" => ServiceKind::Plain,
        "store" => ServiceKind::Store,
        other => {
            ini.report(section, "kind", other, allowed);
            ServiceKind::Plain
        }
    }
}

fn check_service_names(ini: &mut IniFile<'_>, config: &Config) {
    let known: Vec<&str> = config.services.keys().map(ServiceName::as_str).collect();
    for (customer, customer_config) in &config.customers {
        for service in &customer_config.services {
            if !config.services.contains_key(service) {
                let section = format!("customer.{customer}");
                let allowed = format!("services with a section: {}", known.join(", "));
                ini.report(&section, "services", service.as_str(), &allowed);
            }
        }
    }
}

fn parse_address(ini: &mut IniFile<'_>, section: &str, key: &str) -> SocketAddr {
    const ALLOWED: &str = "IP:PORT, for example 127.0.0.1:8080; port 0 picks a free one";
    let unspecified = SocketAddr::from(([127, 0, 0, 1], 0));
    let text = ini.required(section, key, ALLOWED);
    if text.is_empty() {
        return unspecified;
    }
    text.parse().unwrap_or_else(|_| {
        ini.report(section, key, &text, ALLOWED);
        unspecified
    })
}

/// Returns the sections `[PREFIX.NAME]`, each with its name.
fn named_sections(ini: &IniFile<'_>, prefix: &str) -> Vec<(String, String)> {
    let sections = ini.sections();
    let named = sections.into_iter().filter_map(|section| {
        let name = section.strip_prefix(prefix)?.strip_prefix('.')?.to_owned();
        Some((section, name))
    });
    named.collect()
}

fn split_list(value: Option<&str>) -> Vec<String> {
    let items = value.unwrap_or("").split(',').map(str::trim).filter(|item| !item.is_empty());
    items.map(str::to_owned).collect()
}
