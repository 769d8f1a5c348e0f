//! The tarpc service between daisysill processes and its messages.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use daisysill_control::{
    VoterChange,
    command::{Command, Reply},
    state::{ConfigView, RoutingDocument},
};
use daisysill_core::{
    ids::{ConfigVersion, InstanceId, ServiceName, WeightVersion, ZoneName},
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
        pub entries: Vec<HeartbeatEntry>,
        /// Newer soft reports than those that the receiver is known to have.
        pub reports: Vec<ReportEntry>,
    }

    /// A heartbeat of one node, as passed on by others.
    pub struct HeartbeatEntry {
        /// The node.
        pub name: InstanceId,
        /// Grows when its process restarts.
        pub incarnation: u64,
        /// Counts its heartbeats.
        pub sequence: u64,
        /// The configuration version it follows.
        pub config_version: ConfigVersion,
        /// Whether it is shutting down.
        pub leaving: bool,
        /// Whether it holds a replica of the log.
        pub replica: bool,
        /// The version of its soft report.
        pub report_version: u64,
        /// The version of its soft report that the sender of this message has, so that it is not sent again.
        pub held_report_version: u64,
    }

    /// The soft report of one node, as passed on by others.
    pub struct ReportEntry {
        /// The node.
        pub name: InstanceId,
        /// The incarnation that made the report.
        pub incarnation: u64,
        /// The version of the report.
        pub version: u64,
        /// What the node has in flight.
        pub soft_report: SoftReport,
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
        pub sealed_blocks: Vec<BlockLocation>,
        /// Blocks that were unlisted lately.
        pub freed_blocks: Vec<BlockLocation>,
    }

    /// Prompt tokens dispatched to one upstream.
    pub struct DispatchCount {
        /// The tokens.
        pub tokens: u64,
        /// Time from the load report to the soft report.
        pub window_ms: u64,
    }

    /// A block in a store, as nodes tell each other.
    pub struct BlockLocation {
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
        Deferred(ConfigVersion),
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
        /// The routing document after it; `None` if unchanged.
        pub document: Option<Arc<RoutingDocument>>,
        /// All model versions after it; `None` if unchanged.
        pub target_versions: Option<BTreeMap<String, WeightVersion>>,
        /// Block marks that are new or changed.
        pub blocked: BTreeMap<String, u64>,
        /// Block marks that are gone.
        pub unblocked: Vec<String>,
        /// Suspects that are new.
        pub suspected: Vec<u32>,
        /// Suspects that are cleared.
        pub cleared: Vec<u32>,
        /// Log time of the last change.
        pub log_time_ms: u64,
    }

    /// An upstream as the platform's list shows it.
    pub struct UpstreamEntry {
        /// The upstream; each start of it may have another id.
        pub id: InstanceId,
        /// When it started, in Unix milliseconds; tells two starts under one id apart.
        pub started_unix_ms: u64,
        /// The service it belongs to.
        pub service: ServiceName,
        /// Where it serves.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: ZoneName,
        /// Requests that it runs at the same time.
        pub slots: u32,
        /// Whether it is about to stop and must get no new work.
        pub draining: bool,
        /// Whether it was told to load weights; it refuses new work until it has them.
        pub loading: bool,
        /// Weight versions by model.
        pub models: BTreeMap<String, WeightVersion>,
    }

    /// Soft state that the leader shares with all nodes.
    #[derive(Default)]
    pub struct PublishedUpstreams {
        /// The node that made it, and its incarnation; empty if there is none yet.
        pub source: String,
        /// Counts the changes made by its source.
        pub number: u64,
        /// The upstreams.
        pub upstreams: Vec<UpstreamEntry>,
        /// Entry nodes that have asked the source lately.
        pub entry_nodes: u32,
        /// Fingerprints of requests that have crashed upstreams, with the number of crashes.
        pub crash_counts: BTreeMap<u64, u32>,
    }

    /// Work in flight at one upstream.
    #[derive(Copy, Default)]
    pub struct UpstreamLoad {
        /// Hash of the upstream's id.
        pub upstream: u64,
        /// Requests.
        pub requests: u32,
        /// Tokens of prompts and of output that the requests take at most.
        pub tokens: u64,
        /// Prompt tokens that are not read yet.
        pub pending_prefill_tokens: u64,
        /// Availability zones from which it could not be reached lately, as a set of bits by hash. In a node's report
        /// the zone of the node; in the sum the zones of which two nodes could not reach it.
        pub unreachable_from: u32,
    }

    /// A part of a prompt that lies whole in a store.
    #[derive(Copy)]
    pub struct StoredPart {
        /// Hash of its cache scope and id.
        pub part: u64,
        /// Names the store: a hash of its address.
        pub store: u32,
        /// Its length.
        pub tokens: u64,
    }

    /// What changed of the parts in stores.
    #[derive(Default)]
    pub struct StoredPartsUpdate {
        /// The node that keeps the catalog, and its incarnation.
        pub source: String,
        /// Counts the changes; the follower's next question starts from here.
        pub number: u64,
        /// Whether `added` is everything there is.
        pub is_full: bool,
        /// Parts that may be fetched.
        pub added: Vec<StoredPart>,
        /// Parts that must not be fetched any more.
        pub removed: Vec<u64>,
        /// The clock of upstreams and stores at the time of the answer, in ms; it is not behind this.
        pub clock_ms: u64,
    }

    /// What an entry node tells when it asks for news.
    pub struct ObserveRequest {
        /// The node that asks.
        pub node: InstanceId,
        /// The configuration version it has.
        pub config_after: ConfigVersion,
        /// The source and number of the board that it has.
        pub published_after: (String, u64),
        /// The source and number of the stored parts that it knows.
        pub stored_after: (String, u64),
        /// Its work in flight.
        pub loads: Vec<UpstreamLoad>,
        /// Stored parts that it has used since it last asked.
        pub used_parts: Vec<u64>,
        /// Crashes that it has seen since it last asked.
        pub crashes: Vec<UpstreamCrash>,
    }

    /// A request that was running at an upstream when the upstream crashed.
    pub struct UpstreamCrash {
        /// Fingerprint of the request.
        pub fingerprint: u64,
        /// The upstream that crashed.
        pub upstream: InstanceId,
        /// When the upstream had started, in Unix milliseconds.
        pub started_unix_ms: u64,
    }

    /// The news for an entry node.
    pub struct ObserveReply {
        /// What is newer than the node's configuration.
        pub update: ConfigUpdate,
        /// Time since the source's configuration was known to be the newest that a majority agreed on.
        pub age_ms: Option<u64>,
        /// The leader, if the source knows it.
        pub leader: Option<InstanceId>,
        /// The voters, if the source knows them.
        pub voters: Vec<InstanceId>,
        /// The board if it differs from the one that the node has.
        pub published_upstreams: Option<Arc<PublishedUpstreams>>,
        /// Time since the source's board was known to be current; `None` if it has none.
        pub published_age_ms: Option<u64>,
        /// Work in flight of all entry nodes together.
        pub loads: Vec<UpstreamLoad>,
        /// What changed of the parts in stores; `None` if the source does not keep the catalog.
        pub stored: Option<StoredPartsUpdate>,
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
    /// Asks the leader to change the voters.
    async fn change_voters(change: VoterChange) -> Result<Reply, ForwardError>;
    /// Asks for the configuration once it is newer than `after`; answers `Unchanged` after `wait_ms`.
    async fn follow(after: ConfigVersion, wait_ms: u64) -> FollowReply;
    /// Asks for news; answers after `wait_ms` if there are none.
    async fn observe(request: ObserveRequest, wait_ms: u64) -> ObserveReply;
    /// Tells a voter that the leader of `term`, which calls, has stopped: it need not wait until it misses heartbeats.
    /// One voter is told to campaign, after the others.
    async fn leader_stopped(term: u64, campaign: bool);
    /// Exchanges heartbeats.
    async fn heartbeat(heartbeat: Heartbeat) -> Heartbeat;
}
