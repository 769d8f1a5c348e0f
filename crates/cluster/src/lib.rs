//! A node as a cluster member: replicated log, configuration of followers, gossip, soft state and leases.

pub mod clock;
pub mod config;
mod delta;
mod driver;
mod follow;
mod framing;
mod gossip;
pub mod handle;
mod handshake;
pub mod lease;
mod leave;
mod link;
mod load_table;
mod members;
mod membership;
pub mod metrics;
mod observer;
mod outbox;
mod outcome_queue;
mod propose;
mod published_upstreams;
mod relays;
mod server;
mod soft_state;
mod soft_state_handle;
mod software;
pub mod status;
mod storage_thread;
mod stored_parts;
mod view_store;

pub use clock::BootInstant;
pub use config::{ClusterConfig, PeerAddress};
pub use handle::{Cluster, ClusterHandle};
pub use lease::{LeaseConfig, LeaseHolder};
pub use metrics::ClusterMetrics;
pub use status::{ClusterStatus, MemberState, PeerReport, ProposeError, Role};
