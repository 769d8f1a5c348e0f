//! What a node believes about upstreams and stores. Always a hint, checked where it is used.

use std::collections::BTreeSet;

use crate::{
    block::BlockName,
    ids::{InstanceId, ServiceName, WeightVersion, ZoneName},
};

/// Whether an upstream may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// Takes new work.
    Live,
    /// Missed a ping; takes new work only if nothing better is left.
    Suspect,
    /// Takes no new work; its streams run to their end.
    Leaving,
    /// Unreachable.
    Down,
}

/// One model engine or plain service instance.
#[derive(Clone, Debug)]
pub struct UpstreamView {
    /// The upstream.
    pub id: InstanceId,
    /// The service it offers.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it may get new work.
    pub state: UpstreamState,
    /// The weight version it runs.
    pub weight_version: WeightVersion,
    /// Tokens queued for prefill at the time of the last report.
    pub reported_queue_tokens: u64,
    /// Tokens this node dispatched since the time of the last report.
    pub dispatched_tokens: u64,
    /// Prefill speed in tokens per second.
    pub prefill_tokens_per_s: u64,
    /// Pieces that its cache is believed to hold.
    pub pieces: BTreeSet<BlockName>,
}

/// One store and the link to it.
#[derive(Clone, Debug)]
pub struct StoreView {
    /// The store.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it answers.
    pub reachable: bool,
    /// Bytes per second of its link that this node may use.
    pub link_bytes_per_s: u64,
    /// Bytes already booked on the link by this node.
    pub booked_bytes: u64,
    /// Pieces it is believed to hold, sealed.
    pub pieces: BTreeSet<BlockName>,
}

/// All upstreams and stores that a decision may use.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// Engines and plain service instances.
    pub upstreams: Vec<UpstreamView>,
    /// Stores.
    pub stores: Vec<StoreView>,
}
