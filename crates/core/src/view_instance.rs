//! The upstreams and stores of a node's view: their identity and state.

use crate::ids::{InstanceId, ServiceName, WeightVersion, ZoneName};

/// Whether an upstream may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// Accepts new work.
    Live,
    /// Missed a ping; gets new work only if no live upstream is eligible.
    Suspect,
    /// Gets no new work; its streams run to their end.
    Leaving,
    /// Unreachable; gets no new work.
    Down,
}

/// Identity and state of one upstream: a model engine or an instance of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamView {
    /// Its instance id, the key in the view.
    pub id: InstanceId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// The availability zone it runs in.
    pub zone: ZoneName,
    /// Whether it may get new work.
    pub state: UpstreamState,
    /// The version of the model weights it runs.
    pub weight_version: WeightVersion,
}

/// One store and its link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreView {
    /// Its instance id, the key in the view.
    pub id: InstanceId,
    /// The availability zone it runs in.
    pub zone: ZoneName,
    /// Whether it answers; pieces are restored only from reachable stores.
    pub reachable: bool,
    /// Share of the link's bandwidth that this node may use, in bytes per second.
    pub link_bytes_per_s: u64,
    /// Bytes of transfers booked on the link ahead of a new one.
    pub booked_bytes: u64,
}
