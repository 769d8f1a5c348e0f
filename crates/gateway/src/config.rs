//! Settings of an entry node or a control node, in the product's own terms.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use daisysill_cluster::ClusterConfig;
use daisysill_core::{
    ids::{InstanceId, ZoneName},
    retry_budget::RetryBudgetPolicy,
};

/// What a process does.
#[derive(Clone, Debug)]
pub enum Role {
    /// Serves callers.
    Entry {
        /// Where callers connect.
        callers: SocketAddr,
        /// Where the load balancer asks whether this node is ready.
        readiness: SocketAddr,
    },
    /// Serves operators and holds the replicated log.
    Control {
        /// Where operators connect.
        operators: SocketAddr,
        /// Folder of the durable state.
        data_dir: PathBuf,
    },
}

/// The bounds that the deployment sets.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// A configuration older than this no longer proves that a key is still valid.
    pub key_freshness: Duration,
    /// Repeats that all entry nodes together may send.
    pub repeats: RetryBudgetPolicy,
    /// Time from the request to stop until the process is killed.
    pub stop_limit: Duration,
    /// Orders of two holders must be this far apart.
    pub order_lease: Duration,
    /// Time within which new weights must be in place.
    pub weights_limit: Duration,
}

/// Settings of a process.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// The name of the instance, for logs.
    pub name: String,
    /// Its availability zone.
    pub zone: ZoneName,
    /// What the process does.
    pub role: Role,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Where other nodes connect.
    pub peers: SocketAddr,
    /// Peer addresses of control nodes that were known when the settings were written.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// Voters of the replicated log.
    pub target_voters: usize,
    /// The bounds.
    pub bounds: Bounds,
}

/// Authenticates nothing by itself: the deployment gives its processes no secret. It keeps other programs from
/// being taken for a node by accident.
const SHARED_SECRET: &str = "daisysill gateway";

impl GatewayConfig {
    /// Returns the name of this node among the nodes: the address of its peer listener.
    pub fn node_id(&self) -> InstanceId {
        InstanceId::from(self.peers.to_string())
    }

    /// Returns the settings of this node's part of the cluster.
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
            // A disk holds everything that was synced to it; it comes back so or empty, never older.
            trust_disk: true,
            names_are_addresses: true,
            target_voters: Some(self.target_voters),
            secret: SHARED_SECRET.to_owned(),
        }
    }
}
