//! Backoff of calls that a peer of an older build may not know. Such a peer ends the connection, which all other calls to it
//! use too, so that it is not to be asked again and again.

/// Pause after the second call in a row that ended the connection; doubled by each further one.
const INITIAL_PAUSE_MS: u64 = 2_000;
/// Longest pause, after which a peer that was upgraded meanwhile is asked.
const MAX_PAUSE_MS: u64 = 60_000;

/// The calls of one kind to one peer.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallBackoff {
    /// Number of calls in a row that ended the connection.
    ended: u32,
    retry_at_ms: u64,
}

impl CallBackoff {
    /// Returns whether the peer may be asked now.
    pub const fn admits(&self, now_ms: u64) -> bool {
        now_ms >= self.retry_at_ms
    }

    /// Records that the peer answered, so that it knows the call.
    pub const fn record_answered(&mut self) {
        *self = Self { ended: 0, retry_at_ms: 0 };
    }

    /// Records that the connection ended before the answer. A single time is no evidence, since the peer may have been restarted. Further calls
    /// that were open on the same connection end during the pause and don't count.
    ///
    /// ```
    /// use daisysill_core::call_backoff::CallBackoff;
    /// let mut backoff = CallBackoff::default();
    /// backoff.record_connection_ended(1_000);
    /// assert!(backoff.admits(1_000));
    /// backoff.record_connection_ended(1_000);
    /// assert!(!backoff.admits(2_999) && backoff.admits(3_000));
    /// (0..20).for_each(|_| backoff.record_connection_ended(1_001));
    /// assert!(backoff.admits(3_000));
    /// ```
    pub fn record_connection_ended(&mut self, now_ms: u64) {
        if !self.admits(now_ms) {
            return;
        }
        let doublings = self.ended.saturating_sub(1).min(10);
        if self.ended > 0 {
            self.retry_at_ms = now_ms + (INITIAL_PAUSE_MS << doublings).min(MAX_PAUSE_MS);
        }
        self.ended = self.ended.saturating_add(1);
    }
}
