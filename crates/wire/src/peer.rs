//! The tarpc service between daisysill nodes and its messages.
//!
//! Messages are encoded with postcard, by position: fields and variants must keep their order.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use daisysill_control::{
    VoterChange,
    command::{Command, Reply},
    state::{ConfigView, RoutingDocument},
};
use daisysill_core::{
    ids::{ConfigVersion, InstanceId, ServiceName, SoftwareVersion, WeightVersion, ZoneName},
    origin_log::ProcessId,
    rules::RuleFile,
    value_types,
};

pub use crate::places::{PlaceAnswer, PlaceRelease, PlaceRequest};
pub use crate::soft_state::{
    BrokenPrompt, ColdReply, ColdUpstream, EntryNodesQuestion, PermitGrant, PermitGrants, PermitRequest,
    PermitRequests, PromptOutcome, PublishedUpstreams, ReportedOrigin, Spread, StoredPart, StoredPartsUpdate,
    StreamOrigin, TargetAge, UpstreamCrash, UpstreamEntry, UpstreamLoad, UpstreamSoftware, UpstreamStart,
};

value_types! {
    /// A gossip message: entries about the sender and other nodes, within a byte budget.
    pub struct Heartbeat {
        /// The sender; the message is ignored unless it is the authenticated peer.
        pub from: InstanceId,
        /// Changes when an exchange with the receiver failed or the process restarted; the receiver then
        /// assumes that the sender has none of the entries sent to it.
        pub session: u64,
        /// Entries that the receiver is not known to have, the sender's own first.
        pub entries: Vec<HeartbeatEntry>,
        /// Soft reports that the receiver is not known to have.
        pub reports: Vec<ReportEntry>,
    }

    /// The heartbeat of one node; other nodes forward it.
    pub struct HeartbeatEntry {
        /// The node whose heartbeat this is.
        pub name: InstanceId,
        /// Start time of its process in Unix milliseconds; tells restarts apart.
        pub incarnation: u64,
        /// Incremented with each heartbeat of the incarnation.
        pub sequence: u64,
        /// Version of the configuration in force on the node.
        pub config_version: ConfigVersion,
        /// Whether it is shutting down.
        pub leaving: bool,
        /// Whether it holds a replica of the log.
        pub replica: bool,
        /// Version of its newest soft report, incremented with each change.
        pub report_version: u64,
        /// Version of its soft report that the sender of this message has and need not be sent; 0 if none.
        pub held_report_version: u64,
    }

    /// The soft report of one node; other nodes forward it.
    pub struct ReportEntry {
        /// The node that made the report.
        pub name: InstanceId,
        /// Its incarnation when it made the report.
        pub incarnation: u64,
        /// Orders the reports of one incarnation.
        pub version: u64,
        /// Content of the report.
        pub soft_report: SoftReport,
    }

    /// Soft state of one node. Other nodes use it as a hint only: it may be stale or incomplete.
    #[derive(Default)]
    pub struct SoftReport {
        /// Work dispatched to each upstream since the last load report that the node received from it.
        pub dispatched: BTreeMap<InstanceId, DispatchCount>,
        /// Bytes booked on the link of each store.
        pub booked_bytes: BTreeMap<InstanceId, u64>,
        /// Upstreams that refused a request of this node because they are leaving.
        pub leaving_upstreams: Vec<InstanceId>,
        /// Blocks that were recently sealed in stores.
        pub sealed_blocks: Vec<BlockLocation>,
        /// Blocks that were recently unlisted.
        pub unlisted_blocks: Vec<BlockLocation>,
    }

    /// Prompt tokens that one node dispatched to one upstream.
    pub struct DispatchCount {
        /// Tokens dispatched within the window.
        pub tokens: u64,
        /// Time from the upstream's load report to the soft report.
        pub window_ms: u64,
    }

    /// A block and the store that holds it.
    pub struct BlockLocation {
        /// Id of the store.
        pub store: InstanceId,
        /// Name, generation, length and checksum of the block.
        pub block: daisysill_core::block::BlockDescriptor,
    }

    /// The response to a node that follows the configuration.
    pub struct FollowReply {
        /// Changes since the follower's configuration.
        pub update: ConfigUpdate,
        /// Time since the source's configuration was known to be the newest that a majority agreed on;
        /// `None` if it never was.
        pub age_ms: Option<u64>,
        /// The leader, if the source knows it.
        pub leader: Option<InstanceId>,
    }

    /// A [`FollowReply`] with the time that it took to answer.
    pub struct HeldReply {
        /// The response.
        pub reply: FollowReply,
        /// Time for which the source held the poll, suspended time included; the response was made no earlier than this after
        /// the poll was sent.
        pub held_ms: u64,
    }

    /// The configuration relative to the version that a follower has.
    pub enum ConfigUpdate {
        /// The follower has the source's version, given here, or a newer one.
        Unchanged(ConfigVersion),
        /// The changes since the follower's version.
        Delta(Box<ConfigDelta>),
        /// The whole configuration.
        Snapshot(Box<ConfigView>),
        /// A newer version exists, but the source has reached its limit on snapshots; to be polled again.
        Deferred(ConfigVersion),
    }

    /// The difference between two configurations.
    pub struct ConfigDelta {
        /// The version that the delta applies to.
        pub base: ConfigVersion,
        /// Version of the resulting configuration.
        pub version: ConfigVersion,
        /// Version of the resulting rule files.
        pub rules_version: ConfigVersion,
        /// Names of all resulting rule files, in order.
        pub rule_names: Vec<String>,
        /// Rule files that are new or changed.
        pub rules: Vec<RuleFile>,
        /// All upstreams marked as draining; `None` if unchanged.
        pub draining: Option<BTreeSet<InstanceId>>,
        /// All weight versions by service; `None` if unchanged.
        pub weights: Option<BTreeMap<ServiceName, WeightVersion>>,
        /// The routing document; `None` if unchanged.
        pub document: Option<Arc<RoutingDocument>>,
        /// All target weight versions by model; `None` if unchanged.
        pub target_versions: Option<BTreeMap<String, WeightVersion>>,
        /// Fingerprints of requests whose block is new or changed, with its end in log time, in ms.
        pub blocked: BTreeMap<String, u64>,
        /// Fingerprints of requests that are no longer blocked.
        pub unblocked: Vec<String>,
        /// Digests of new suspects.
        pub suspected: Vec<u32>,
        /// Digests of suspects that were cleared.
        pub cleared: Vec<u32>,
        /// Log time of the resulting version.
        pub log_time_ms: u64,
    }

    /// A long poll of an entry node, with its soft state.
    pub struct ObserveRequest {
        /// The polling node.
        pub node: InstanceId,
        /// The configuration version that it has.
        pub config_after: ConfigVersion,
        /// Source and number of the published upstreams that it has.
        pub published_after: (String, u64),
        /// Source and number of the catalog of stored parts that it has.
        pub stored_after: (String, u64),
        /// Its work in flight, by upstream.
        pub loads: Vec<UpstreamLoad>,
        /// Stored parts that it used since its last poll.
        pub used_parts: Vec<u64>,
        /// Crashes that it detected since its last poll.
        pub crashes: Vec<UpstreamCrash>,
    }

    /// The response to the poll of an entry node.
    pub struct ObserveReply {
        /// Changes since the node's configuration.
        pub update: ConfigUpdate,
        /// Time since the source's configuration was known to be the newest that a majority agreed on;
        /// `None` if it never was.
        pub age_ms: Option<u64>,
        /// The leader, if the source knows it.
        pub leader: Option<InstanceId>,
        /// The voters; empty if the source does not know them.
        pub voters: Vec<InstanceId>,
        /// The published upstreams; `None` if the node has them.
        pub published_upstreams: Option<Arc<PublishedUpstreams>>,
        /// Time since the source's published upstreams were known to be current; `None` if it has none.
        pub published_age_ms: Option<u64>,
        /// Total work in flight of all entry nodes, by upstream.
        pub loads: Vec<UpstreamLoad>,
        /// Changes of the catalog of stored parts; `None` if the source does not maintain it.
        pub stored: Option<StoredPartsUpdate>,
    }

    /// What a control node that answers polls for the leader reports to it.
    pub struct RelayReport {
        /// Availability zone of the control node.
        pub zone: ZoneName,
        /// Number of entry nodes that recently polled it.
        pub entry_nodes: u32,
        /// Total work in flight of these entry nodes, by upstream.
        pub loads: Vec<UpstreamLoad>,
        /// Stored parts that they used since the last report.
        pub used_parts: Vec<u64>,
    }

    /// The leader's response to a [`RelayReport`].
    pub struct RelayReply {
        /// Whether the receiver leads; it ignores the report otherwise.
        pub is_leader: bool,
        /// Total work in flight of all entry nodes, by upstream.
        pub loads: Vec<UpstreamLoad>,
        /// The control nodes that entry nodes may poll.
        pub control_nodes: Vec<ControlNode>,
    }

    /// A control node in contact with the leader, or the leader itself.
    pub struct ControlNode {
        /// Its name.
        pub name: InstanceId,
        /// Its availability zone.
        pub zone: ZoneName,
    }

    /// Why a forwarded proposal failed.
    pub enum ForwardError {
        /// The receiver is not the leader; the node given, if any, may be.
        NotLeader(Option<InstanceId>),
        /// The proposal was not appended to the log and will not take effect.
        NotAppended,
        /// The proposal may have been appended; whether it commits is unknown.
        Uncertain,
    }

}

/// RPCs between daisysill nodes.
#[tarpc::service]
pub trait Peer {
    /// Delivers encoded messages of the replicated log's protocol.
    async fn replicate(messages: Vec<Vec<u8>>);
    /// Proposes a command to the leader; returns once it is committed or has failed.
    async fn propose(command: Command) -> Result<Reply, ForwardError>;
    /// Proposes a change of the voters to the leader.
    async fn change_voters(change: VoterChange) -> Result<Reply, ForwardError>;
    /// Polls for a configuration newer than `after`, as builds without `poll_config` do; returns `Unchanged` after `wait_ms`.
    async fn follow(after: ConfigVersion, wait_ms: u64) -> FollowReply;
    /// Polls for a new configuration or newly published upstreams; returns after `wait_ms` at the latest.
    async fn observe(request: ObserveRequest, wait_ms: u64) -> ObserveReply;
    /// Sent by the leader of `term` when it has stopped, so that voters need not wait for an election timeout.
    /// Only the voter notified last is asked to campaign.
    async fn leader_stopped(term: u64, campaign: bool);
    /// Exchanges heartbeats.
    async fn heartbeat(heartbeat: Heartbeat) -> Heartbeat;
    /// Reports the soft state of the entry nodes that poll the caller, and returns that of all.
    async fn relay(report: RelayReport) -> RelayReply;
    /// Returns the control nodes that entry nodes may poll; empty if unknown.
    async fn control_nodes() -> Vec<ControlNode>;
    /// Reports what runs of requests showed about the parts of their prompts; a control node passes them on to the leader.
    async fn prompt_outcomes(outcomes: Vec<PromptOutcome>);
    /// Returns the software versions of those upstreams that the receiver knows.
    async fn software_of(upstreams: Vec<UpstreamStart>) -> Vec<UpstreamSoftware>;
    /// Reports where streams began, as builds without `report_origins` do.
    async fn stream_origins(origins: Vec<StreamOrigin>, spread: Spread);
    /// Returns the software version at which a stream of a service began; `None` if the receiver cannot tell.
    async fn stream_origin(stream: u64, service: ServiceName, spread: Spread) -> Option<SoftwareVersion>;
    /// Returns the target weight versions that the receiver knows, with their ages.
    async fn target_ages() -> Vec<TargetAge>;
    /// Returns some live entry nodes that have not said that they reach no upstream, without the one that asks.
    async fn entry_nodes(question: EntryNodesQuestion) -> Vec<InstanceId>;
    /// Returns which upstreams are cold; says of the given ones, new to the caller, which the receiver does not know either.
    async fn cold_upstreams(upstreams: Vec<UpstreamStart>) -> ColdReply;
    /// Asks the leader for permits to send to upstreams with a rate limit.
    async fn grant_permits(requests: PermitRequests) -> PermitGrants;
    /// Asks the leader for a place (slot) of a plain service; the call stays open while the request waits.
    async fn acquire_place(request: PlaceRequest) -> PlaceAnswer;
    /// Releases places that the receiver granted as the leader.
    async fn release_places(releases: Vec<PlaceRelease>);
    /// Reports where streams began, possibly none; returns the process that recorded it.
    async fn report_origins(origins: Vec<ReportedOrigin>, spread: Spread) -> ProcessId;
    /// Polls for a configuration newer than `after`; returns `Unchanged` after `wait_ms`.
    async fn poll_config(after: ConfigVersion, wait_ms: u64) -> HeldReply;
    /// Names the entry nodes that poll the caller to the leader.
    async fn name_entry_nodes(nodes: Vec<InstanceId>);
}
