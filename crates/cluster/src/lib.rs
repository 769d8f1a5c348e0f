//! Runs this node's part of the cluster: the replicated log, followers, heartbeats, leases.

pub mod clock;
pub mod config;
mod delta;
mod departure;
mod driver;
mod follow;
mod framing;
mod gossip;
pub mod handle;
mod handshake;
pub mod lease;
mod link;
mod members;
mod membership;
pub mod metrics;
mod observer;
mod outbox;
mod propose;
mod published_upstreams;
mod server;
mod shared_handle;
mod shared_soft;
pub mod status;
mod storage_thread;
mod view_store;

pub use clock::BootInstant;
pub use config::{ClusterConfig, PeerAddress};
pub use handle::{Cluster, ClusterHandle};
pub use lease::{LeaseConfig, LeaseHolder};
pub use metrics::ClusterMetrics;
pub use status::{ClusterStatus, MemberState, PeerReport, ProposeError, Role};
