//! Settings of an entry node or a control node, independent of the platform's settings format.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use daisysill_cluster::ClusterConfig;
use daisysill_core::{
    cold_start::ColdBounds,
    connection_table::ConnectionLimits,
    ids::{InstanceId, ZoneName},
    regions::ZoneRegions,
    retry_budget::RetryBudgetPolicy,
};

use crate::callers::StreamLimits;

/// The role of a process, with the addresses that only this role listens on.
#[derive(Clone, Debug)]
pub enum Role {
    /// Forwards callers' requests to upstreams.
    Entry {
        /// Listens for callers.
        callers: SocketAddr,
        /// Listens for the load balancer's readiness checks.
        readiness: SocketAddr,
        /// Listens for requests that other entry nodes pass on, on the same port at all of them; `None` where no port
        /// is free for that.
        passed_on: Option<SocketAddr>,
    },
    /// Serves operators and holds the replicated log.
    Control {
        /// Listens for operators.
        operators: SocketAddr,
        /// Folder of the replicated log.
        data_dir: PathBuf,
    },
}

/// Limits that the deployment sets.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Maximum age of the configuration for accepting a key: an older one may miss that the key was revoked.
    pub max_config_age: Duration,
    /// Budget for retries, shared by all entry nodes.
    pub retry_budget: RetryBudgetPolicy,
    /// Time from the signal to stop until the platform kills the process.
    pub shutdown_timeout: Duration,
    /// Minimum time between orders of two successive lease holders.
    pub order_lease: Duration,
    /// Time within which engines must serve new weights.
    pub rollout_limit: Duration,
    /// Bound on the requests that a cold upstream gets.
    pub cold: ColdBounds,
    /// Memory of the process; the platform kills one that uses more.
    pub memory_bytes: usize,
    /// Connections of clients that the process has open at most.
    pub max_connections: usize,
    /// Times after which a client's connection without progress is ended.
    pub stream_limits: StreamLimits,
}

/// One part in this many of the connections of callers is allowed to other entry nodes in addition.
const PASSED_ON_FRACTION: usize = 4;

impl Bounds {
    /// Returns the limits on the connections of other entry nodes, of which each of them uses its part only.
    pub(crate) fn entry_node_connections(&self) -> ConnectionLimits {
        ConnectionLimits::new((self.max_connections / PASSED_ON_FRACTION).max(1))
    }
}

/// Settings of a process.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// Name of this instance, used in logs only.
    pub name: String,
    /// Availability zone.
    pub zone: ZoneName,
    /// The zones of the deployment, among them the own one, with their regions.
    pub zones: ZoneRegions,
    /// Role, fixed while the process runs.
    pub role: Role,
    /// Listens for scrapes of the metrics.
    pub metrics: SocketAddr,
    /// Listens for other nodes; also the identity of this node, see [`Self::node_id`].
    pub peers: SocketAddr,
    /// Peer addresses of the control nodes known when the settings were written.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the whole system.
    pub bootstrap: bool,
    /// Number of voters of the replicated log.
    pub target_voters: usize,
    /// Limits that the deployment sets.
    pub bounds: Bounds,
}

/// Not a secret: the deployment gives its processes none. It only keeps other programs that connect by accident from
/// being taken for a node.
const SHARED_SECRET: &str = "daisysill gateway";

impl GatewayConfig {
    /// Returns the identity of this node within the cluster: its peer address.
    pub fn node_id(&self) -> InstanceId {
        InstanceId::from(self.peers.to_string())
    }

    /// Returns the settings of the cluster transport; only control nodes have a data folder.
    pub fn cluster(&self) -> ClusterConfig {
        let data_dir = match &self.role {
            Role::Entry { .. } => None,
            Role::Control { data_dir, .. } => Some(data_dir.clone()),
        };
        ClusterConfig {
            name: self.node_id(),
            zone: self.zone.clone(),
            data_dir,
            peer_listen: self.peers,
            peers: Vec::new(),
            bootstrap_voters: self.seeds.iter().map(|seed| InstanceId::from(seed.to_string())).collect(),
            bootstrap: self.bootstrap,
            // The platform's disks keep all synced data or come back empty, never with older data.
            trust_disk: true,
            names_are_addresses: true,
            target_voters: Some(self.target_voters),
            secret: SHARED_SECRET.to_owned(),
        }
    }
}
