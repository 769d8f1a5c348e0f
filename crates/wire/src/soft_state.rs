//! Messages about soft state: what the leader publishes of upstreams, and what nodes report of loads, stored parts, streams
//! and crashes.

use std::{collections::BTreeMap, net::SocketAddr};

use daisysill_core::{
    ids::{InstanceId, ServiceName, SoftwareVersion, WeightVersion, ZoneName},
    value_types,
};

value_types! {
    /// An entry of the platform's list of upstreams.
    pub struct UpstreamEntry {
        /// The upstream; each start of it may have another id.
        pub id: InstanceId,
        /// When it started, in Unix milliseconds; tells two starts under one id apart.
        pub started_unix_ms: u64,
        /// The service it belongs to.
        pub service: ServiceName,
        /// Address of its HTTP interface.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: ZoneName,
        /// Maximum number of concurrent requests.
        pub slots: u32,
        /// Whether it will stop and must receive no new requests.
        pub draining: bool,
        /// Whether it was ordered to load weights; it refuses new requests until they are loaded.
        pub loading: bool,
        /// Loaded weight version of each model.
        pub models: BTreeMap<String, WeightVersion>,
    }

    /// One start of an upstream.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct UpstreamStart {
        /// The upstream.
        pub id: InstanceId,
        /// When it started, in Unix milliseconds.
        pub started_unix_ms: u64,
    }

    /// How long an upstream stays cold after a reading of the list.
    pub struct ColdUpstream {
        /// The start of the upstream.
        pub start: UpstreamStart,
        /// The time from the reading; 0 if the upstream was warm.
        pub left_ms: u64,
    }

    /// The cold upstreams by the newest reading of the list that a node knows of.
    pub struct ColdReply {
        /// Time since the list was read; `None` if the node knows of no reading.
        pub age_ms: Option<u64>,
        /// All upstreams that were cold.
        pub cold: Vec<ColdUpstream>,
        /// Those upstreams of the question that no reading showed.
        pub unread: Vec<UpstreamStart>,
    }

    /// The software version that an upstream runs.
    pub struct UpstreamSoftware {
        /// The start of the upstream; a later one may run another version.
        pub start: UpstreamStart,
        /// The version; empty if the platform lists none.
        pub software: SoftwareVersion,
    }

    /// The software version that brought the first event of a stream.
    pub struct StreamOrigin {
        /// Hash of the customer and of the ID of the request that began the stream.
        pub stream: u64,
        /// The version.
        pub software: SoftwareVersion,
    }

    /// An origin as one node reports it to another, which may have started after the stream.
    pub struct ReportedOrigin {
        /// The origin.
        pub origin: StreamOrigin,
        /// Time since the stream began.
        pub age_ms: u32,
    }

    /// Whether the receiver of origins or of a question for one turns to the other control nodes.
    #[derive(Copy)]
    pub enum Spread {
        /// It does: the sender is an entry node.
        ToControlNodes,
        /// It does not: the sender is a control node, and turns to them itself.
        None,
    }

    /// Soft state that the leader publishes to all nodes.
    #[derive(Default)]
    pub struct PublishedUpstreams {
        /// Name of the publishing node and a number drawn at its start; empty before the first publication.
        pub source: String,
        /// Incremented by the source with each change.
        pub number: u64,
        /// The platform's list as the leader last read it.
        pub upstreams: Vec<UpstreamEntry>,
        /// Number of entry nodes that recently polled the source.
        pub entry_nodes: u32,
        /// Crashes of upstreams, by the fingerprint of a request that was running there or by the hash of a part of its
        /// prompt. Only of a part that is blocked there are as many as block it.
        pub crash_counts: BTreeMap<u64, u32>,
    }

    /// Work in flight at one upstream, or fetches in progress from one store.
    #[derive(Copy, Default)]
    pub struct UpstreamLoad {
        /// Hash of the upstream's id, or of the store's address.
        pub upstream: u64,
        /// Requests in flight; 0 for a store.
        pub requests: u32,
        /// Upper bound of the prompt and output tokens of these requests; for a store, tokens that are being fetched.
        pub tokens: u64,
        /// Prompt tokens that are not prefilled yet.
        pub pending_prefill_tokens: u64,
        /// Bit set, by hash, of the availability zones from which it was recently unreachable. In a node's report:
        /// the node's own zone. In the total: the zones in which two nodes could not reach it.
        pub unreachable_from: u32,
    }

    /// A part of a prompt that is completely stored.
    #[derive(Copy)]
    pub struct StoredPart {
        /// Hash of its cache scope and id.
        pub part: u64,
        /// Hash of the store's address.
        pub store: u32,
        /// Length of the part.
        pub tokens: u64,
    }

    /// Changes of the catalog of stored parts.
    #[derive(Default)]
    pub struct StoredPartsUpdate {
        /// Name of the node that maintains the catalog and a number drawn when it opened the catalog.
        pub source: String,
        /// Number of the last change included; the follower's next request continues after it.
        pub number: u64,
        /// Whether `added` is the complete catalog.
        pub is_full: bool,
        /// Parts that may now be fetched.
        pub added: Vec<StoredPart>,
        /// Parts that must no longer be fetched.
        pub removed: Vec<u64>,
        /// Lower bound of the clock of upstreams and stores when the response was built.
        pub clock_ms: u64,
    }

    /// The target weight version of a model, and the time since it was set when this was encoded.
    pub struct TargetAge {
        /// The model.
        pub model: String,
        /// Its target version.
        pub version: WeightVersion,
        /// Time since the version was set; never more than it is.
        pub age_ms: u64,
    }

    /// An entry node's question for other entry nodes that could serve its callers.
    pub struct EntryNodesQuestion {
        /// The node that asks.
        pub node: InstanceId,
        /// Whether it reaches no upstream, so that the others must not turn to it.
        pub is_cut_off: bool,
        /// Whether the receiver asks the other control nodes too.
        pub spread: Spread,
    }

    /// A request that was running at an upstream when the upstream crashed.
    pub struct UpstreamCrash {
        /// Fingerprint of the request.
        pub fingerprint: u64,
        /// The upstream that crashed.
        pub upstream: InstanceId,
        /// Start of the crashed process, in Unix milliseconds.
        pub started_unix_ms: u64,
    }

    /// What the run of a request showed about the shared parts of its prompt.
    pub struct PromptOutcome {
        /// Hashes of the parts, each with its model; of a completed request also its fingerprint.
        pub parts: Vec<u64>,
        /// The run that a crash broke; `None` if the request completed.
        pub broken: Option<BrokenPrompt>,
    }

    /// A run that broke when its upstream crashed.
    pub struct BrokenPrompt {
        /// The crash, and the request under it.
        pub crash: UpstreamCrash,
        /// Time since the request was sent, at the latest, when this was encoded.
        pub sent_ms_ago: u64,
        /// Time since the connection broke when this was encoded.
        pub broke_ms_ago: u64,
    }

    /// A node's requests for permits to send to upstreams with a rate limit.
    pub struct PermitRequests {
        /// Identifies the request; used once by its node.
        pub number: u64,
        /// The requests, each for another upstream.
        pub upstreams: Vec<PermitRequest>,
    }

    /// A request for permits for one upstream.
    pub struct PermitRequest {
        /// The start of the upstream.
        pub start: UpstreamStart,
        /// Permits per 1,000 s that may be granted to all nodes together, as this node knows the limit.
        pub granted_per_1000_s: u64,
        /// Number of permits that the node needs now.
        pub wanted: u32,
    }

    /// The leader's answer to [`PermitRequests`].
    pub struct PermitGrants {
        /// The number of the request.
        pub number: u64,
        /// The grants in the order of the requests; empty if the receiver does not grant.
        pub upstreams: Vec<PermitGrant>,
    }

    /// The permits that are granted for one upstream. They expire a fixed time after the node asked.
    pub struct PermitGrant {
        /// Number of permits.
        pub permits: u32,
        /// Time after which a further permit becomes due.
        pub retry_ms: u64,
    }
}
