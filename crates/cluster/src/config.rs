//! Settings of a node as a cluster member.

use std::{net::SocketAddr, path::PathBuf};

use daisysill_core::ids::{InstanceId, ZoneName};

/// Settings of a node as a cluster member.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Name of this node, unique in the cluster.
    pub name: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Folder of the durable state; `None` on a node without a replica, which never votes.
    pub data_dir: Option<PathBuf>,
    /// Listen address for other nodes.
    pub peer_listen: SocketAddr,
    /// The other nodes, each with a known address.
    pub peers: Vec<PeerAddress>,
    /// Voters of a new cluster; used only while all of them have an empty data folder.
    pub bootstrap_voters: Vec<InstanceId>,
    /// Whether a new cluster may be formed; if not, an empty data folder belongs to a replaced node.
    pub bootstrap: bool,
    /// Set by an operator who knows that the data folder is the newest copy of this voter's state: the voter
    /// then votes after a start without confirmation from its peers.
    pub trust_disk: bool,
    /// Whether a node's name is the address of its peer listener, so that nodes outside `peers` can be reached.
    pub names_are_addresses: bool,
    /// Number of voters that the leader maintains automatically; `None` if operators change the voters.
    pub target_voters: Option<usize>,
    /// Secret shared by all nodes; it authenticates their connections.
    pub secret: String,
}

/// Name and address of another node.
#[derive(Clone, Debug)]
pub struct PeerAddress {
    /// Name of the node.
    pub name: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Address of its peer listener.
    pub address: SocketAddr,
}
