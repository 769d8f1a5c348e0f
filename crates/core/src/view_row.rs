//! Compact rows of upstreams that routing decisions scan.

use crate::{
    ids::WeightVersion,
    view::{CHUNK, UpstreamState},
};

/// The data of one upstream that a routing decision reads.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Row {
    /// Estimated time at which the present queue is empty, in microseconds on the clock of the load reports.
    pub(crate) drained_at_us: f64,
    /// Prefill time of one token.
    pub(crate) us_per_token: f64,
    /// The version of the model weights it runs.
    pub(crate) weight_version: WeightVersion,
    /// Index of the service's name in the view, `u16::MAX` in a free row.
    pub(crate) service: u16,
    /// Index of the zone's name in the view.
    pub(crate) zone: u16,
    /// Epoch of its cache; a change invalidates the recorded pieces.
    pub(crate) epoch: u16,
    /// Whether it may get new work.
    pub(crate) state: UpstreamState,
}

impl Row {
    /// Returns the prefill time queued ahead of a new request.
    pub(crate) fn wait_us(&self, now_us: f64) -> f64 {
        (self.drained_at_us - now_us).max(0.0)
    }
}

/// A row without an upstream, which no request matches.
pub(crate) const FREE_ROW: Row = Row {
    drained_at_us: 0.0,
    us_per_token: 0.0,
    weight_version: WeightVersion(0),
    service: u16::MAX,
    zone: 0,
    epoch: 0,
    state: UpstreamState::Down,
};

/// The rows of a chunk, stored as columns so that the compiler vectorises a scan.
#[derive(Clone, Debug)]
pub(crate) struct Rows {
    /// See `Row::drained_at_us`.
    pub(crate) drained_at_us: [f64; CHUNK],
    /// See `Row::us_per_token`.
    pub(crate) us_per_token: [f64; CHUNK],
    /// Service and state, encoded by `kind`.
    pub(crate) kind: [u32; CHUNK],
    /// See `Row::zone`.
    pub(crate) zone: [u32; CHUNK],
    /// See `Row::weight_version`.
    pub(crate) weight_version: [WeightVersion; CHUNK],
    /// See `Row::epoch`.
    pub(crate) epoch: [u16; CHUNK],
    state: [UpstreamState; CHUNK],
}

/// Encodes a service and a state in one number, so that a scan matches both in one comparison.
pub(crate) fn kind(service: u16, state: UpstreamState) -> u32 {
    u32::from(service) << 8 | state as u32
}

impl Default for Rows {
    fn default() -> Self {
        Self {
            drained_at_us: [FREE_ROW.drained_at_us; CHUNK],
            us_per_token: [FREE_ROW.us_per_token; CHUNK],
            kind: [kind(FREE_ROW.service, FREE_ROW.state); CHUNK],
            zone: [u32::from(FREE_ROW.zone); CHUNK],
            weight_version: [FREE_ROW.weight_version; CHUNK],
            epoch: [FREE_ROW.epoch; CHUNK],
            state: [FREE_ROW.state; CHUNK],
        }
    }
}

impl Rows {
    /// Returns the row at index `at`.
    #[allow(clippy::cast_possible_truncation)]
    pub(crate) fn get(&self, at: usize) -> Row {
        Row {
            drained_at_us: self.drained_at_us[at],
            us_per_token: self.us_per_token[at],
            weight_version: self.weight_version[at],
            service: (self.kind[at] >> 8) as u16,
            zone: self.zone[at] as u16,
            epoch: self.epoch[at],
            state: self.state[at],
        }
    }

    /// Replaces the row at index `at`.
    pub(crate) fn set(&mut self, at: usize, row: Row) {
        self.drained_at_us[at] = row.drained_at_us;
        self.us_per_token[at] = row.us_per_token;
        self.weight_version[at] = row.weight_version;
        self.kind[at] = kind(row.service, row.state);
        self.zone[at] = u32::from(row.zone);
        self.epoch[at] = row.epoch;
        self.state[at] = row.state;
    }
}
