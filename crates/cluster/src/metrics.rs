//! Counters of this node's part of the cluster.

use daisysill_wire::peer::{PeerRequest, PeerResponse};
use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use tarpc::{ClientMessage, Response};

/// Every purpose.
const PURPOSES: [Purpose; 5] =
    [Purpose::Replicate, Purpose::Propose, Purpose::Follow, Purpose::Heartbeat, Purpose::Connection];

/// What the bytes of a frame are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Purpose {
    /// Protocol messages of the replicated log.
    Replicate,
    /// Forwarded proposals.
    Propose,
    /// Configuration for nodes that follow.
    Follow,
    /// Heartbeats and soft state.
    Heartbeat,
    /// Handshakes, cancellations and refusals.
    Connection,
}

/// The purpose as a label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PurposeLabel {
    /// What the bytes were for.
    pub purpose: Purpose,
}

/// Tells what a message is for.
pub(crate) trait HasPurpose {
    /// Returns what the message is for.
    fn purpose(&self) -> Purpose;
}

impl HasPurpose for ClientMessage<PeerRequest> {
    fn purpose(&self) -> Purpose {
        let Self::Request(request) = self else { return Purpose::Connection };
        match request.message {
            PeerRequest::Replicate { .. } | PeerRequest::LeaderStopped { .. } => Purpose::Replicate,
            PeerRequest::Propose { .. } | PeerRequest::ChangeVoters { .. } => Purpose::Propose,
            PeerRequest::Follow { .. } | PeerRequest::Observe { .. } => Purpose::Follow,
            PeerRequest::Heartbeat { .. } => Purpose::Heartbeat,
        }
    }
}

impl HasPurpose for Response<PeerResponse> {
    fn purpose(&self) -> Purpose {
        match self.message {
            Ok(PeerResponse::Replicate(..) | PeerResponse::LeaderStopped(..)) => Purpose::Replicate,
            Ok(PeerResponse::Propose(..) | PeerResponse::ChangeVoters(..)) => Purpose::Propose,
            Ok(PeerResponse::Follow(..) | PeerResponse::Observe(..)) => Purpose::Follow,
            Ok(PeerResponse::Heartbeat(..)) => Purpose::Heartbeat,
            Err(_) => Purpose::Connection,
        }
    }
}

/// Counters of this node's part of the cluster; cheap to clone.
#[derive(Clone, Debug)]
pub struct ClusterMetrics {
    /// Bytes received, by purpose.
    pub bytes_in: Family<PurposeLabel, Counter>,
    /// Bytes sent, by purpose.
    pub bytes_out: Family<PurposeLabel, Counter>,
    /// Times that this node became candidate.
    pub elections: Counter,
    /// Log entries committed, as seen by this node.
    pub commits: Counter,
    /// Seconds that a write batch took to be synced.
    pub sync_seconds: Histogram,
    /// Nodes that follow this one.
    pub followers: Gauge,
    /// Heartbeats without an answer.
    pub heartbeats_lost: Counter,
    /// Connections refused because the handshake failed.
    pub refused_connections: Counter,
    /// Protocol messages dropped because the queue to a peer was full.
    pub dropped_messages: Counter,
}

/// Upper bounds of the sync time buckets, from a fast flash disk to a stalled one.
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
        }
    }
}

impl ClusterMetrics {
    /// Adds the counters to a registry.
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
