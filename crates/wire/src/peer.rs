//! The tarpc service between daisysill processes and its messages.

use std::collections::BTreeMap;

use daisysill_control::{
    command::{Command, Reply},
    state::ConfigView,
};
use daisysill_core::{
    ids::{ConfigVersion, InstanceId, ZoneName},
    value_types,
};

value_types! {
    /// What a node tells the others about itself, several times a second.
    pub struct Heartbeat {
        /// The node.
        pub from: InstanceId,
        /// Its availability zone.
        pub zone: ZoneName,
        /// Changes when the process restarts.
        pub incarnation: u64,
        /// The configuration version it follows.
        pub config_version: ConfigVersion,
        /// Whether it is shutting down.
        pub leaving: bool,
        /// What it has in flight.
        pub soft: SoftReport,
    }

    /// Soft state that nodes share; a hint, never a promise.
    #[derive(Default)]
    pub struct SoftReport {
        /// Prompt tokens in flight by upstream.
        pub in_flight_tokens: BTreeMap<InstanceId, u64>,
        /// Bytes booked by store link.
        pub booked_bytes: BTreeMap<InstanceId, u64>,
        /// Upstreams that refused work because they are leaving.
        pub leaving_upstreams: Vec<InstanceId>,
        /// Blocks that were sealed in stores lately.
        pub sealed_blocks: Vec<SealedBlock>,
        /// Blocks that were unlisted lately.
        pub freed_blocks: Vec<SealedBlock>,
    }

    /// A block in a store, as nodes tell each other.
    pub struct SealedBlock {
        /// The store.
        pub store: InstanceId,
        /// The block and how to verify it.
        pub block: daisysill_core::block::BlockDescriptor,
    }

    /// What a follower gets when the configuration is newer than its own.
    pub enum ConfigUpdate {
        /// Nothing is newer than what the follower has.
        Unchanged(ConfigVersion),
        /// The whole configuration.
        Snapshot(Box<ConfigView>),
    }

    /// Why a forwarded proposal has no reply.
    pub enum ForwardError {
        /// The asked node is not the leader; perhaps this one is.
        NotLeader(Option<InstanceId>),
        /// Nothing was appended to the log.
        NotAppended,
        /// It was appended; whether it commits is unknown.
        Uncertain,
    }
}

/// Calls between daisysill processes.
#[tarpc::service]
pub trait Peer {
    /// Delivers protocol messages of the replicated log, encoded by their package.
    async fn replicate(from: InstanceId, messages: Vec<Vec<u8>>);
    /// Asks the leader to commit a command.
    async fn propose(command: Command) -> Result<Reply, ForwardError>;
    /// Asks for the configuration once it is newer than `after`; answers `Unchanged` after a while.
    async fn follow(from: InstanceId, after: ConfigVersion) -> ConfigUpdate;
    /// Exchanges heartbeats.
    async fn heartbeat(heartbeat: Heartbeat) -> Heartbeat;
}
