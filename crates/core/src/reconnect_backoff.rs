//! Delays between attempts to connect to another node.
//!
//! After a power loss nodes start within seconds of each other, and a node that waited long between attempts would
//! delay the first election and the first requests. So delays are short at first; a node that stays down is tried
//! less often, so that hundreds of nodes do not flood its zone with attempts.

/// Time after the first failure during which delays stay short.
const FAST_PHASE_MS: u64 = 10_000;
/// Longest delay in the fast phase: a node with 300 peers that starts again gets at most 3,000 attempts per second.
const FAST_MAX_DELAY_MS: u64 = 200;
/// Longest delay after the fast phase.
const MAX_DELAY_MS: u64 = 800;
/// Longest delay after the first failure; doubled by each further one.
const FIRST_MAX_DELAY_MS: u64 = 100;

/// Failed attempts to connect to one node since the last success.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReconnectBackoff {
    failures: u32,
    first_failure_ms: u64,
    retry_at_ms: u64,
}

impl ReconnectBackoff {
    /// Returns whether an attempt may begin now.
    pub const fn admits(&self, now_ms: u64) -> bool {
        now_ms >= self.retry_at_ms
    }

    /// Records a failed attempt. The delay is between half and all of the longest one, by `draw` in 0 to 1.
    ///
    /// ```
    /// use daisysill_core::reconnect_backoff::ReconnectBackoff;
    /// let mut backoff = ReconnectBackoff::default();
    /// backoff.record_failure(1_000, 1.0);
    /// assert!(!backoff.admits(1_099) && backoff.admits(1_100));
    /// ```
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn record_failure(&mut self, now_ms: u64, draw: f64) {
        if self.failures == 0 {
            self.first_failure_ms = now_ms;
        }
        let is_fast = now_ms < self.first_failure_ms + FAST_PHASE_MS;
        let limit_ms = if is_fast { FAST_MAX_DELAY_MS } else { MAX_DELAY_MS };
        let longest_ms = (FIRST_MAX_DELAY_MS << self.failures.min(10)).min(limit_ms);
        let random_ms = (longest_ms as f64 / 2.0 * draw.clamp(0.0, 1.0)) as u64;
        self.retry_at_ms = now_ms + longest_ms / 2 + random_ms;
        self.failures = self.failures.saturating_add(1);
    }

    /// Records that the node has connected to this one, so that an attempt is likely to succeed now. The phase goes on: a
    /// node that can be reached in one direction only is still tried rarely.
    ///
    /// ```
    /// use daisysill_core::reconnect_backoff::ReconnectBackoff;
    /// let mut backoff = ReconnectBackoff::default();
    /// backoff.record_failure(1_000, 1.0);
    /// backoff.record_contact();
    /// assert!(backoff.admits(1_000));
    /// ```
    pub const fn record_contact(&mut self) {
        self.retry_at_ms = 0;
    }
}
