//! Metrics of a node as a cluster member.

use daisysill_wire::peer::{PeerRequest, PeerResponse};
use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use tarpc::{ClientMessage, Response};

use crate::place_metrics::PlaceMetrics;

/// All variants of `Purpose`.
const PURPOSES: [Purpose; 5] =
    [Purpose::Replicate, Purpose::Propose, Purpose::Follow, Purpose::Heartbeat, Purpose::Connection];

/// The purpose of a frame, as a metric label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Purpose {
    /// Protocol messages of the replicated log.
    Replicate,
    /// Forwarded proposals of commands and voter changes.
    Propose,
    /// Polls of followers and entry nodes, and their requests for places.
    Follow,
    /// Heartbeats and soft reports.
    Heartbeat,
    /// Handshakes, cancelled calls and error responses.
    Connection,
}

/// The label set of the byte counters.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PurposeLabel {
    /// Purpose of the frames counted.
    pub purpose: Purpose,
}

/// Classifies messages for the byte counters.
pub(crate) trait HasPurpose {
    /// Returns the purpose of the message.
    fn purpose(&self) -> Purpose;
}

impl HasPurpose for ClientMessage<PeerRequest> {
    fn purpose(&self) -> Purpose {
        let Self::Request(request) = self else { return Purpose::Connection };
        match request.message {
            PeerRequest::Replicate { .. } | PeerRequest::LeaderStopped { .. } => Purpose::Replicate,
            PeerRequest::Propose { .. } | PeerRequest::ChangeVoters { .. } => Purpose::Propose,
            PeerRequest::Follow { .. }
            | PeerRequest::Observe { .. }
            | PeerRequest::Relay { .. }
            | PeerRequest::ControlNodes { .. }
            | PeerRequest::PromptOutcomes { .. }
            | PeerRequest::SoftwareOf { .. }
            | PeerRequest::StreamOrigins { .. }
            | PeerRequest::StreamOrigin { .. }
            | PeerRequest::TargetAges { .. }
            | PeerRequest::EntryNodes { .. }
            | PeerRequest::ColdUpstreams { .. }
            | PeerRequest::GrantPermits { .. }
            | PeerRequest::AcquirePlace { .. }
            | PeerRequest::ReleasePlaces { .. }
            | PeerRequest::ReportOrigins { .. }
            | PeerRequest::PollConfig { .. }
            | PeerRequest::NameEntryNodes { .. } => Purpose::Follow,
            PeerRequest::Heartbeat { .. } => Purpose::Heartbeat,
        }
    }
}

impl HasPurpose for Response<PeerResponse> {
    fn purpose(&self) -> Purpose {
        match self.message {
            Ok(PeerResponse::Replicate(..) | PeerResponse::LeaderStopped(..)) => Purpose::Replicate,
            Ok(PeerResponse::Propose(..) | PeerResponse::ChangeVoters(..)) => Purpose::Propose,
            Ok(
                PeerResponse::Follow(..)
                | PeerResponse::Observe(..)
                | PeerResponse::Relay(..)
                | PeerResponse::ControlNodes(..)
                | PeerResponse::PromptOutcomes(..)
                | PeerResponse::SoftwareOf(..)
                | PeerResponse::StreamOrigins(..)
                | PeerResponse::StreamOrigin(..)
                | PeerResponse::TargetAges(..)
                | PeerResponse::EntryNodes(..)
                | PeerResponse::ColdUpstreams(..)
                | PeerResponse::GrantPermits(..)
                | PeerResponse::AcquirePlace(..)
                | PeerResponse::ReleasePlaces(..)
                | PeerResponse::ReportOrigins(..)
                | PeerResponse::PollConfig(..)
                | PeerResponse::NameEntryNodes(..),
            ) => Purpose::Follow,
            Ok(PeerResponse::Heartbeat(..)) => Purpose::Heartbeat,
            Err(_) => Purpose::Connection,
        }
    }
}

/// Metrics of a node as a cluster member; clones share their values.
#[derive(Clone, Debug)]
pub struct ClusterMetrics {
    /// Bytes received, by purpose.
    pub bytes_in: Family<PurposeLabel, Counter>,
    /// Bytes sent, by purpose.
    pub bytes_out: Family<PurposeLabel, Counter>,
    /// Number of times this node became candidate.
    pub elections: Counter,
    /// Number of log entries that this node's replica has seen committed.
    pub commits: Counter,
    /// Duration of writing and syncing a batch, in seconds.
    pub sync_seconds: Histogram,
    /// Number of polls of other nodes that this node holds at present.
    pub followers: Gauge,
    /// Number of heartbeat exchanges without a response.
    pub heartbeats_lost: Counter,
    /// Number of connections refused because the handshake failed.
    pub refused_connections: Counter,
    /// Number of protocol messages dropped because a queue to a peer or to the replica was full.
    pub dropped_messages: Counter,
    /// Number of times this voter has halted because its data folder could not be written.
    pub failed_writes: Counter,
    /// Number of times this voter has gone on after its data folder could be written again.
    pub disk_recoveries: Counter,
    /// Places that this node grants as the leader.
    pub places: PlaceMetrics,
    /// Number of permits for upstreams with a rate limit that this node has granted as the leader.
    pub permits_granted: Counter,
    /// Number of permits that nodes asked for and that were not due.
    pub permits_refused: Counter,
}

/// Upper bounds of the buckets of `sync_seconds`, from a fast flash disk to a stalled one.
const SYNC_BUCKETS_S: [f64; 10] = [0.000_1, 0.000_3, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0];

impl Default for ClusterMetrics {
    fn default() -> Self {
        Self {
            bytes_in: Family::default(),
            bytes_out: Family::default(),
            elections: Counter::default(),
            commits: Counter::default(),
            sync_seconds: Histogram::new(SYNC_BUCKETS_S),
            followers: Gauge::default(),
            heartbeats_lost: Counter::default(),
            refused_connections: Counter::default(),
            dropped_messages: Counter::default(),
            failed_writes: Counter::default(),
            disk_recoveries: Counter::default(),
            places: PlaceMetrics::default(),
            permits_granted: Counter::default(),
            permits_refused: Counter::default(),
        }
    }
}

impl ClusterMetrics {
    /// Registers the metrics under the prefix `cluster`.
    ///
    /// ```
    /// let mut registry = prometheus_client::registry::Registry::default();
    /// daisysill_cluster::ClusterMetrics::default().register(&mut registry);
    /// ```
    pub fn register(&self, registry: &mut Registry) {
        let cluster = registry.sub_registry_with_prefix("cluster");
        cluster.register("bytes_in", "Bytes received from peers", self.bytes_in.clone());
        cluster.register("bytes_out", "Bytes sent to peers", self.bytes_out.clone());
        cluster.register("elections", "Times this node became candidate", self.elections.clone());
        cluster.register("commits", "Log entries committed", self.commits.clone());
        cluster.register("sync_seconds", "Time to sync a write batch", self.sync_seconds.clone());
        cluster.register("followers", "Nodes that follow this one", self.followers.clone());
        cluster.register("heartbeats_lost", "Heartbeats without an answer", self.heartbeats_lost.clone());
        let refused = self.refused_connections.clone();
        cluster.register("refused_connections", "Connections with a failed handshake", refused);
        let dropped = self.dropped_messages.clone();
        cluster.register("dropped_messages", "Protocol messages dropped from full queues", dropped);
        let failed = self.failed_writes.clone();
        cluster.register("failed_writes", "Times this voter halted after a failed write", failed);
        let recoveries = self.disk_recoveries.clone();
        cluster.register("disk_recoveries", "Times this voter went on after a failed write", recoveries);
        self.places.register(cluster);
        let granted = self.permits_granted.clone();
        cluster.register("permits_granted", "Permits granted for upstreams with a rate limit", granted);
        let refused = self.permits_refused.clone();
        cluster.register("permits_refused", "Permits asked for that were not due", refused);
    }

    /// Returns the bytes received for all purposes.
    pub fn total_bytes_in(&self) -> u64 {
        total(&self.bytes_in)
    }

    /// Returns the bytes sent for all purposes.
    pub fn total_bytes_out(&self) -> u64 {
        total(&self.bytes_out)
    }

    pub(crate) fn count_in(&self, purpose: Purpose, bytes: usize) {
        self.bytes_in.get_or_create(&PurposeLabel { purpose }).inc_by(bytes as u64);
    }

    pub(crate) fn count_out(&self, purpose: Purpose, bytes: usize) {
        self.bytes_out.get_or_create(&PurposeLabel { purpose }).inc_by(bytes as u64);
    }
}

fn total(family: &Family<PurposeLabel, Counter>) -> u64 {
    PURPOSES.into_iter().map(|purpose| family.get_or_create(&PurposeLabel { purpose }).get()).sum()
}
