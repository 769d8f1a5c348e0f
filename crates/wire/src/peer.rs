//! The tarpc service between daisysill processes and its messages.

use std::collections::{BTreeMap, BTreeSet};

use daisysill_control::{
    command::{Command, Reply},
    state::ConfigView,
};
use daisysill_core::{
    ids::{ConfigVersion, InstanceId, ServiceName, WeightVersion},
    rules::RuleFile,
    value_types,
};

value_types! {
    /// What nodes tell each other about themselves and about others, within a byte budget.
    pub struct Heartbeat {
        /// The node that sends.
        pub from: InstanceId,
        /// Changes when an exchange with the receiver failed or the process restarted; the receiver then
        /// forgets what it has sent to it.
        pub session: u64,
        /// Newer heartbeats than those of the last exchange, the sender's own first.
        pub beats: Vec<Beat>,
        /// Newer soft reports than those that the receiver is known to have.
        pub reports: Vec<ReportOf>,
    }

    /// A heartbeat of one node, as passed on by others.
    pub struct Beat {
        /// The node.
        pub name: InstanceId,
        /// Grows when its process restarts.
        pub incarnation: u64,
        /// Counts its heartbeats.
        pub beat: u64,
        /// The configuration version it follows.
        pub config_version: ConfigVersion,
        /// Whether it is shutting down.
        pub leaving: bool,
        /// Whether it holds a replica of the log.
        pub replica: bool,
        /// The version of its soft report.
        pub report_version: u64,
        /// The version of its soft report that the sender of this message has, so that it is not sent again.
        pub held_version: u64,
    }

    /// The soft report of one node, as passed on by others.
    pub struct ReportOf {
        /// The node.
        pub name: InstanceId,
        /// The incarnation that made the report.
        pub incarnation: u64,
        /// The version of the report.
        pub version: u64,
        /// What the node has in flight.
        pub soft: SoftReport,
    }

    /// Soft state that nodes share; a hint, never a promise.
    #[derive(Default)]
    pub struct SoftReport {
        /// What was dispatched to each upstream since the last load report that the node knows.
        pub dispatched: BTreeMap<InstanceId, DispatchCount>,
        /// Bytes booked by store link.
        pub booked_bytes: BTreeMap<InstanceId, u64>,
        /// Upstreams that refused work because they are leaving.
        pub leaving_upstreams: Vec<InstanceId>,
        /// Blocks that were sealed in stores lately.
        pub sealed_blocks: Vec<SealedBlock>,
        /// Blocks that were unlisted lately.
        pub freed_blocks: Vec<SealedBlock>,
    }

    /// Prompt tokens dispatched to one upstream.
    pub struct DispatchCount {
        /// The tokens.
        pub tokens: u64,
        /// Time from the load report to the soft report.
        pub counted_ms: u64,
    }

    /// A block in a store, as nodes tell each other.
    pub struct SealedBlock {
        /// The store.
        pub store: InstanceId,
        /// The block and how to verify it.
        pub block: daisysill_core::block::BlockDescriptor,
    }

    /// The answer to a node that follows.
    pub struct FollowReply {
        /// What is newer than the follower's configuration.
        pub update: ConfigUpdate,
        /// Time since the source's configuration was known to be the newest that a majority agreed on;
        /// `None` if it never was.
        pub age_ms: Option<u64>,
        /// The leader, if the source knows it.
        pub leader: Option<InstanceId>,
    }

    /// What a follower gets when the configuration is newer than its own.
    pub enum ConfigUpdate {
        /// Nothing is newer than what the follower has; the source's version.
        Unchanged(ConfigVersion),
        /// What changed since the version that the follower has.
        Delta(Box<ConfigDelta>),
        /// The whole configuration.
        Snapshot(Box<ConfigView>),
        /// A newer configuration exists; the source sends too many snapshots at the moment.
        Later(ConfigVersion),
    }

    /// The difference between two configurations.
    pub struct ConfigDelta {
        /// The version that the difference starts from.
        pub base: ConfigVersion,
        /// The version that it leads to.
        pub version: ConfigVersion,
        /// The version of the rule files after it.
        pub rules_version: ConfigVersion,
        /// The names of all rule files after it, in order.
        pub rule_names: Vec<String>,
        /// Rule files that are new or changed.
        pub rules: Vec<RuleFile>,
        /// All drain marks after it; `None` if unchanged.
        pub draining: Option<BTreeSet<InstanceId>>,
        /// All weight versions after it; `None` if unchanged.
        pub weights: Option<BTreeMap<ServiceName, WeightVersion>>,
        /// Block marks that are new or changed.
        pub blocked: BTreeMap<String, u64>,
        /// Block marks that are gone.
        pub unblocked: Vec<String>,
        /// Log time of the last change.
        pub log_time_ms: u64,
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
    async fn replicate(messages: Vec<Vec<u8>>);
    /// Asks the leader to commit a command.
    async fn propose(command: Command) -> Result<Reply, ForwardError>;
    /// Asks for the configuration once it is newer than `after`; answers `Unchanged` after `wait_ms`.
    async fn follow(after: ConfigVersion, wait_ms: u64) -> FollowReply;
    /// Tells a voter that the leader of `term`, which calls, has stopped: it need not wait until it misses heartbeats.
    /// One voter is told to campaign, after the others.
    async fn take_over(term: u64, campaign: bool);
    /// Exchanges heartbeats.
    async fn heartbeat(heartbeat: Heartbeat) -> Heartbeat;
}
