//! Whether a request waits for a fresh configuration at an entry node that cannot prove that its own is recent enough.
//!
//! After a power loss of the control nodes, or the start of this node, the next confirmation is usually a second away. A node
//! that has been cut off for longer refuses at once, so that callers go to other nodes.

/// Longest wait of a request, from its arrival.
pub const MAX_WAIT_MS: u64 = 1_000;
/// Time after the configuration went stale, or after the start of the node, from which requests are refused at once.
pub const MAX_OUTAGE_MS: u64 = 5_000;
/// Maximum number of requests that wait at a time; each holds its body in memory.
pub const MAX_WAITING: usize = 256;

/// What decides whether a request waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigWait {
    /// Time since the configuration was last confirmed; `None` before the first time.
    pub config_age_ms: Option<u64>,
    /// Age from which the configuration is stale.
    pub max_config_age_ms: u64,
    /// Time since the start of the node.
    pub uptime_ms: u64,
    /// Number of requests that wait already.
    pub waiting: usize,
    /// Time from the arrival of the request to its deadline.
    pub deadline_ms: u64,
}

impl ConfigWait {
    /// Returns how long after its arrival the request waits at most; `None` if it is refused at once. Half of the time
    /// to the deadline is left for the request itself.
    ///
    /// ```
    /// use daisysill_core::config_wait::ConfigWait;
    /// let stale = ConfigWait {
    ///     config_age_ms: Some(4_500),
    ///     max_config_age_ms: 4_000,
    ///     uptime_ms: 60_000,
    ///     waiting: 0,
    ///     deadline_ms: 30_000,
    /// };
    /// assert_eq!(stale.limit_ms(), Some(1_000));
    /// ```
    pub fn limit_ms(&self) -> Option<u64> {
        let outage_ms = match self.config_age_ms {
            Some(age_ms) => age_ms.saturating_sub(self.max_config_age_ms),
            None => self.uptime_ms,
        };
        let limit_ms = MAX_WAIT_MS.min(self.deadline_ms / 2);
        (outage_ms < MAX_OUTAGE_MS && self.waiting < MAX_WAITING && limit_ms > 0).then_some(limit_ms)
    }
}
