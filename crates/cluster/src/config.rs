//! Settings of this node's part of the cluster.

use std::{net::SocketAddr, path::PathBuf};

use daisysill_core::ids::{InstanceId, ZoneName};

/// Settings of this node's part of the cluster.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// This node.
    pub name: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Folder of the durable state; `None` if this node never votes.
    pub data_dir: Option<PathBuf>,
    /// Address on which other nodes are served.
    pub peer_listen: SocketAddr,
    /// The other nodes.
    pub peers: Vec<PeerAddress>,
    /// Voters of a new cluster; used only while every one of them has an empty folder.
    pub bootstrap_voters: Vec<InstanceId>,
    /// Whether a new cluster may be formed; if not, an empty folder is that of a replaced node.
    pub bootstrap: bool,
    /// The operator states that the data folder is the newest copy of this voter's disk; it then votes without
    /// asking its peers when it starts.
    pub trust_disk: bool,
    /// Whether the name of a node is the address of its peer listener, so that a node outside `peers` is
    /// reached too.
    pub names_are_addresses: bool,
    /// How many voters the leader keeps without an operator; `None` if operators change the voters.
    pub target_voters: Option<usize>,
    /// Secret that all nodes share.
    pub secret: String,
}

/// Where another node is reached.
#[derive(Clone, Debug)]
pub struct PeerAddress {
    /// The node.
    pub name: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its peer listener.
    pub address: SocketAddr,
}
