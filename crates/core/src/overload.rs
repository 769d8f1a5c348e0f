//! How long an overload of a service lasts, from which follows when refused callers should come back.
//!
//! Answers a burst of some seconds beyond the capacity. Callers that return while it lasts are refused once more, and
//! most have only one more try. An overload that has lasted for a time is expected to last about as long again.

/// An overload has ended once no request was refused for this time.
const OVERLOAD_END_MS: u64 = 1_000;
/// Part of a caller's remaining time after which it should be back; callers give up on a longer pause.
const MAX_PAUSE_SHARE: f64 = 0.3;

/// The overload of one service as one node sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Overload {
    began_ms: u64,
    /// When a request was last refused for lack of capacity; `None` before the first.
    last_refused_ms: Option<u64>,
}

impl Overload {
    /// Records that a request was refused for lack of capacity.
    pub fn record_refusal(&mut self, now_ms: u64) {
        let lasts =
            self.last_refused_ms.is_some_and(|last_ms| now_ms.saturating_sub(last_ms) < OVERLOAD_END_MS);
        if !lasts {
            self.began_ms = now_ms;
        }
        self.last_refused_ms = Some(now_ms);
    }

    /// Returns the time after which a refused caller with `left_ms` until its deadline should come back, at least
    /// `min_ms`. `draw`, from 0 up to 1, should be random: it spreads the callers.
    ///
    /// ```
    /// use daisysill_core::overload::Overload;
    /// let mut overload = Overload::default();
    /// overload.record_refusal(1_000);
    /// assert_eq!(overload.retry_after_ms(1_000, 12_000, 250, 0.25), 250);
    /// overload.record_refusal(1_900);
    /// overload.record_refusal(2_800);
    /// // It has lasted for 1.8 s.
    /// assert_eq!(overload.retry_after_ms(2_800, 12_000, 250, 0.25), 1_800);
    /// assert_eq!(overload.retry_after_ms(2_800, 3_000, 250, 0.5), 900);
    /// ```
    pub fn retry_after_ms(&self, now_ms: u64, left_ms: u64, min_ms: u64, draw: f64) -> u64 {
        let lasted_ms = now_ms.saturating_sub(self.began_ms).max(min_ms) as f64;
        let longest_ms = (left_ms as f64 * MAX_PAUSE_SHARE).max(min_ms as f64);
        // At most 0.3 of the time to a deadline, or the minimum.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let retry_after_ms = (lasted_ms * (0.75 + draw)).min(longest_ms) as u64;
        retry_after_ms.max(min_ms)
    }
}
