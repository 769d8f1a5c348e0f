//! The compact row of an upstream that routing decisions scan.

use crate::{
    ids::WeightVersion,
    view::{CHUNK, UpstreamState},
};

/// What a routing decision reads of each upstream.
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

/// The rows of a chunk, column by column, so that the compiler vectorises a scan.
#[derive(Clone, Debug)]
pub(crate) struct Rows {
    /// See `Row::drained_us`.
    pub(crate) drained_us: [f64; CHUNK],
    /// See `Row::us_per_token`.
    pub(crate) us_per_token: [f64; CHUNK],
    /// Service and state in one number.
    pub(crate) kind: [u32; CHUNK],
    /// See `Row::zone`.
    pub(crate) zone: [u32; CHUNK],
    /// See `Row::weight_version`.
    pub(crate) weight_version: [WeightVersion; CHUNK],
    /// See `Row::epoch`.
    pub(crate) epoch: [u16; CHUNK],
    state: [UpstreamState; CHUNK],
}

/// Returns the number that stands for a service and a state.
pub(crate) fn kind(service: u16, state: UpstreamState) -> u32 {
    u32::from(service) << 8 | state as u32
}

impl Default for Rows {
    fn default() -> Self {
        Self {
            drained_us: [FREE.drained_us; CHUNK],
            us_per_token: [FREE.us_per_token; CHUNK],
            kind: [kind(FREE.service, FREE.state); CHUNK],
            zone: [u32::from(FREE.zone); CHUNK],
            weight_version: [FREE.weight_version; CHUNK],
            epoch: [FREE.epoch; CHUNK],
            state: [FREE.state; CHUNK],
        }
    }
}

impl Rows {
    /// Returns one row.
    #[allow(clippy::cast_possible_truncation)]
    pub(crate) fn get(&self, at: usize) -> Row {
        Row {
            drained_us: self.drained_us[at],
            us_per_token: self.us_per_token[at],
            weight_version: self.weight_version[at],
            service: (self.kind[at] >> 8) as u16,
            zone: self.zone[at] as u16,
            epoch: self.epoch[at],
            state: self.state[at],
        }
    }

    /// Replaces one row.
    pub(crate) fn set(&mut self, at: usize, row: Row) {
        self.drained_us[at] = row.drained_us;
        self.us_per_token[at] = row.us_per_token;
        self.weight_version[at] = row.weight_version;
        self.kind[at] = kind(row.service, row.state);
        self.zone[at] = u32::from(row.zone);
        self.epoch[at] = row.epoch;
        self.state[at] = row.state;
    }
}
