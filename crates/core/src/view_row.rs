//! The compact row of an upstream that routing decisions scan.

use crate::{ids::WeightVersion, view::UpstreamState};

/// What a routing decision reads of each upstream; kept small because a decision reads every row.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Row {
    /// When the queue will be empty if nothing is added, in microseconds on the clock of the load reports.
    pub(crate) drained_us: f64,
    /// Microseconds of prefill per token.
    pub(crate) us_per_token: f64,
    /// The weight version it runs.
    pub(crate) weight_version: WeightVersion,
    /// Index of the service's name, `u16::MAX` for a free slot.
    pub(crate) service: u16,
    /// Index of the zone's name.
    pub(crate) zone: u16,
    /// Epoch of its cache.
    pub(crate) epoch: u16,
    /// Whether it may get new work.
    pub(crate) state: UpstreamState,
}

impl Row {
    /// Returns the prefill time queued ahead of a new request.
    pub(crate) fn wait_us(&self, now_us: f64) -> f64 {
        (self.drained_us - now_us).max(0.0)
    }
}

/// The row of a slot without an upstream.
pub(crate) const FREE: Row = Row {
    drained_us: 0.0,
    us_per_token: 0.0,
    weight_version: WeightVersion(0),
    service: u16::MAX,
    zone: 0,
    epoch: 0,
    state: UpstreamState::Down,
};
