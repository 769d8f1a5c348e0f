//! Settings of one node, read from an INI file and checked as a whole.

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

/// Settings of one node.
#[derive(Clone, Debug)]
pub struct Config {
    /// Listeners and names.
    pub node: NodeConfig,
    /// Limits on requests.
    pub limits: LimitConfig,
    /// This node's part of the cluster.
    pub cluster: ClusterConfig,
    /// The platform's list of instances.
    pub platform: PlatformConfig,
    /// Customers.
    pub customers: BTreeMap<CustomerId, CustomerConfig>,
    /// Services.
    pub services: BTreeMap<ServiceName, ServiceConfig>,
}

/// Listeners and names.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// This node.
    pub name: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Address for callers.
    pub caller_listen: SocketAddr,
    /// Address for operators and the balancer.
    pub admin_listen: SocketAddr,
    /// Certificate of the callers' listener; without one it is plain HTTP.
    pub caller_tls: Option<TlsConfig>,
    /// Certificate of the admin listener; without one it is plain HTTP.
    pub admin_tls: Option<TlsConfig>,
    /// blake3 digest of the bearer token that operators need; without one they need none.
    pub admin_token_digest: Option<String>,
    /// File to which the bound addresses are written once the node listens.
    pub ready_file: Option<PathBuf>,
    /// File to which spans are appended as JSON lines.
    pub trace_file: Option<PathBuf>,
    /// Milliseconds between failing `/readyz` and closing the listener, in which the balancer takes notice.
    pub balancer_notice_ms: u64,
    /// Seconds that a planned stop waits for requests in progress.
    pub stop_timeout_s: u64,
}

/// Limits on requests.
#[derive(Clone, Debug)]
pub struct LimitConfig {
    /// Bytes of a request body.
    pub body_bytes: usize,
    /// Milliseconds in which a request's headers must arrive.
    pub header_timeout_ms: u64,
    /// Milliseconds without a further byte of a body after which the request is given up.
    pub body_timeout_ms: u64,
    /// Requests in progress on this node.
    pub in_flight_requests: usize,
}

/// The platform's list of instances.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// Base URL of the platform.
    pub url: String,
    /// Milliseconds between two reads of the list.
    pub poll_ms: u64,
}

/// A customer.
#[derive(Clone, Debug)]
pub struct CustomerConfig {
    /// blake3 digest of the bearer token, in hexadecimal.
    pub token_digest: String,
    /// Services that the customer may use.
    pub services: Vec<ServiceName>,
}

/// What a service runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceKind {
    /// Model engines.
    Model,
    /// Plain HTTP service.
    Plain,
    /// KV stores.
    Store,
}

/// A service.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// What it runs.
    pub kind: ServiceKind,
    /// Tokens in a KV piece.
    pub piece_tokens: u64,
    /// Bytes of an exported piece.
    pub piece_bytes: u64,
    /// Bytes of prompt text that count as one token.
    pub bytes_per_token: u64,
    /// Requests that a node has in flight at the start; the number follows what the upstreams take.
    pub slots: u64,
    /// Whether the upstreams refuse orders with an old fencing number.
    pub checks_fencing: bool,
    /// Milliseconds between two reads of an engine's load and cache events.
    pub poll_ms: u64,
    /// Bytes per second of the link to each store of this service.
    pub link_bytes_per_s: u64,
}

/// The HTTP server counts from a clock that it reads every 500 ms; with 300 ms it answered some requests with
/// status 408 as soon as their connection was open.
const MIN_HEADER_TIMEOUT_MS: u64 = 1_000;

const SECTIONS: &[&str] =
    &["node", "limits", "cluster", "platform", "peer.NAME", "customer.NAME", "service.NAME"];

impl Config {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Returns every error found, or a single one if the file cannot be read.
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

    /// Checks settings given as text.
    ///
    /// # Errors
    /// Returns every error found.
    pub fn parse(name: &str, text: &str) -> Result<Self, Vec<IniError>> {
        let mut ini = IniFile::parse(name, text).map_err(|error| vec![*error])?;
        check_sections(&mut ini);
        let node = parse_node(&mut ini);
        let config = Self {
            limits: parse_limits(&mut ini),
            cluster: parse_cluster(&mut ini, &node),
            platform: parse_platform(&mut ini),
            customers: parse_customers(&mut ini),
            services: parse_services(&mut ini),
            node,
        };
        check_service_names(&mut ini, &config);
        let mut errors = ini.into_errors();
        for error in errors.iter_mut().filter(|error| error.allowed.starts_with("unknown key")) {
            // It may be the value of a secret whose key is misspelled.
            HIDDEN.clone_into(&mut error.value);
        }
        if errors.is_empty() { Ok(config) } else { Err(errors) }
    }
}

fn check_sections(ini: &mut IniFile<'_>) {
    for section in ini.sections() {
        let family = section.split_once('.').map(|(family, _)| format!("{family}.NAME"));
        let known = family.as_deref().unwrap_or(&section);
        if !SECTIONS.contains(&known) {
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
        caller_listen: address(ini, "node", "caller_listen"),
        admin_listen: address(ini, "node", "admin_listen"),
        caller_tls: tls(ini, "caller_certificate", "caller_key"),
        admin_tls: tls(ini, "admin_certificate", "admin_key"),
        admin_token_digest: admin_token_digest(ini),
        ready_file: ini.raw("node", "ready_file").map(PathBuf::from),
        trace_file: ini.raw("node", "trace_file").map(PathBuf::from),
        balancer_notice_ms: ini.number("node", "balancer_notice_ms", 2_000, 0, 600_000),
        stop_timeout_s: ini.number("node", "stop_timeout_s", 120, 1, 86_400),
    }
}

/// Reads a certificate and a key; either needs the other.
fn tls(ini: &mut IniFile<'_>, certificate: &str, key: &str) -> Option<TlsConfig> {
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

fn admin_token_digest(ini: &mut IniFile<'_>) -> Option<String> {
    let digest = ini.raw("node", "admin_token_digest")?.to_ascii_lowercase();
    check_digest(ini, "node", "admin_token_digest", &digest);
    Some(digest)
}

fn check_digest(ini: &mut IniFile<'_>, section: &str, key: &str, digest: &str) {
    if digest.len() != DIGEST_HEX_DIGITS || !digest.bytes().all(|b| b.is_ascii_hexdigit()) {
        // The value is left out of the message, since it may be a token pasted by mistake.
        ini.report(section, key, HIDDEN, DIGEST_ALLOWED);
    }
}

fn parse_limits(ini: &mut IniFile<'_>) -> LimitConfig {
    ini.check_keys("limits", &["body_bytes", "header_timeout_ms", "body_timeout_ms", "in_flight_requests"]);
    let body_bytes = ini.number("limits", "body_bytes", 8_388_608, 1_024, 1_073_741_824);
    let in_flight = ini.number("limits", "in_flight_requests", 4_096, 1, 1_000_000);
    LimitConfig {
        body_bytes: usize::try_from(body_bytes).unwrap_or(usize::MAX),
        header_timeout_ms: ini.number("limits", "header_timeout_ms", 5_000, MIN_HEADER_TIMEOUT_MS, 600_000),
        body_timeout_ms: ini.number("limits", "body_timeout_ms", 10_000, 100, 600_000),
        in_flight_requests: usize::try_from(in_flight).unwrap_or(usize::MAX),
    }
}

fn parse_cluster(ini: &mut IniFile<'_>, node: &NodeConfig) -> ClusterConfig {
    ini.check_keys("cluster", &["peer_listen", "data_dir", "secret", "bootstrap_voters", "trust_disk"]);
    let voters = names(ini.raw("cluster", "bootstrap_voters"));
    ClusterConfig {
        name: node.name.clone(),
        zone: node.zone.clone(),
        data_dir: ini.raw("cluster", "data_dir").map(PathBuf::from),
        peer_listen: address(ini, "cluster", "peer_listen"),
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
    for (section, name) in family(ini, "peer") {
        ini.check_keys(&section, &["availability_zone", "address"]);
        peers.push(PeerAddress {
            name: InstanceId::from(name),
            zone: ZoneName::from(ini.required(&section, "availability_zone", "the zone of the node")),
            address: address(ini, &section, "address"),
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
    for (section, name) in family(ini, "customer") {
        ini.check_keys(&section, &["token_digest", "services"]);
        let token_digest = ini.required(&section, "token_digest", DIGEST_ALLOWED).to_ascii_lowercase();
        check_digest(ini, &section, "token_digest", &token_digest);
        let services = names(ini.raw(&section, "services"));
        let services = services.into_iter().map(ServiceName::from).collect();
        customers.insert(CustomerId::from(name), CustomerConfig { token_digest, services });
    }
    customers
}

/// What an error shows in place of a value that may be secret.
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
    for (section, name) in family(ini, "service") {
        ini.check_keys(&section, KEYS);
        let service = ServiceConfig {
            kind: service_kind(ini, &section),
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

fn service_kind(ini: &mut IniFile<'_>, section: &str) -> ServiceKind {
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

fn address(ini: &mut IniFile<'_>, section: &str, key: &str) -> SocketAddr {
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

fn family(ini: &IniFile<'_>, prefix: &str) -> Vec<(String, String)> {
    let sections = ini.sections();
    let members = sections.into_iter().filter_map(|section| {
        let name = section.strip_prefix(prefix)?.strip_prefix('.')?.to_owned();
        Some((section, name))
    });
    members.collect()
}

fn names(value: Option<&str>) -> Vec<String> {
    let items = value.unwrap_or("").split(',').map(str::trim).filter(|item| !item.is_empty());
    items.map(str::to_owned).collect()
}
