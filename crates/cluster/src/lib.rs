//! Runs this node's part of the cluster: the replicated log, followers, heartbeats.

pub mod config;
pub mod handle;

pub use config::{ClusterConfig, PeerAddress};
pub use handle::{Cluster, ClusterHandle, ClusterStatus, MemberState, ProposeError, Role};
