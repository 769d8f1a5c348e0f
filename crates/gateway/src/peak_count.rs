//! The highest recent value of a count that may be too low for a while.

use std::{cell::Cell, time::Duration};

use tokio::time::Instant;

/// Keeps the highest value for a time after it was last reached.
#[derive(Debug)]
pub struct PeakCount {
    retention: Duration,
    highest: Cell<(u32, Instant)>,
}

impl PeakCount {
    /// Starts at 0; a value is kept for `retention`.
    pub fn new(retention: Duration) -> Self {
        Self { retention, highest: Cell::new((0, Instant::now())) }
    }

    /// Records the present value and returns the highest recent one.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap().block_on(async {
    /// use std::time::Duration;
    /// use daisysill_gateway::peak_count::PeakCount;
    /// let count = PeakCount::new(Duration::from_secs(20));
    /// assert_eq!((count.record(67), count.record(3)), (67, 67));
    /// tokio::time::advance(Duration::from_secs(20)).await;
    /// assert_eq!(count.record(3), 3);
    /// # });
    /// ```
    pub fn record(&self, present: u32) -> u32 {
        let (highest, reached_at) = self.highest.get();
        if present < highest && reached_at.elapsed() < self.retention {
            return highest;
        }
        self.highest.set((present, Instant::now()));
        present
    }
}
