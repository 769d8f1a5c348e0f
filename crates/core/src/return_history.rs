//! Histogram of how long context was idle before it was used again.

use serde::{Deserialize, Serialize};

/// Buckets by powers of two of seconds; the last one begins at 12 days.
const BUCKETS: usize = 21;
/// Total weight of the uniform prior over the buckets, and that of the prior for context that never returns.
const PRIOR_WEIGHT: f64 = 0.25;

/// Counts of returns by idle time, and of contexts that never returned.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReturnHistory {
    returned: [u32; BUCKETS],
    lost: u32,
}

impl ReturnHistory {
    /// Counts a return after `idle_s` seconds without use.
    ///
    /// ```
    /// use daisysill_core::retention::ReturnHistory;
    /// let mut history = ReturnHistory::default();
    /// (0..50).for_each(|_| history.record_return(3_600));
    /// assert!(history.return_probability(3_000, 3_000) > 0.9);
    /// assert!(history.return_probability(60, 60) < 0.1);
    /// ```
    pub fn record_return(&mut self, idle_s: u64) {
        let count = &mut self.returned[bucket(idle_s)];
        *count = count.saturating_add(1);
    }

    /// Counts a context that was deleted without having been used again.
    pub fn record_deletion(&mut self) {
        self.lost = self.lost.saturating_add(1);
    }

    /// Returns the probability that a context that has been idle for `idle_s` is used within `horizon_s`.
    pub fn return_probability(&self, idle_s: u64, horizon_s: u64) -> f64 {
        let until_s = idle_s.saturating_add(horizon_s);
        let (mut within, mut later) = (0.0, f64::from(self.lost) + PRIOR_WEIGHT);
        for (at, count) in self.returned.iter().enumerate() {
            let (from_s, to_s) = bucket_bounds(at);
            let weight = f64::from(*count) + PRIOR_WEIGHT / BUCKETS as f64;
            let length = to_s.saturating_sub(from_s).max(1) as f64;
            let inside = overlap(from_s, to_s, idle_s, until_s) as f64 / length;
            let after = overlap(from_s, to_s, until_s, u64::MAX) as f64 / length;
            within += weight * inside;
            later += weight * after;
        }
        within / (within + later)
    }
}

fn bucket(idle_s: u64) -> usize {
    (idle_s.max(1).ilog2() as usize).min(BUCKETS - 1)
}

fn bucket_bounds(bucket: usize) -> (u64, u64) {
    let from_s = if bucket == 0 { 0 } else { 1 << bucket };
    (from_s, 1 << (bucket + 1))
}

fn overlap(from_a: u64, to_a: u64, from_b: u64, to_b: u64) -> u64 {
    to_a.min(to_b).saturating_sub(from_a.max(from_b))
}
