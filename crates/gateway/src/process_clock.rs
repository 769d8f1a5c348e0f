//! The clock of this process, by which it notices that it did not run for a while.

use std::cell::Cell;

use daisysill_cluster::BootInstant;
use daisysill_core::cold_start::ClockGaps;

use crate::duration::millis;

/// A clock that includes suspended time and notices interruptions of the process.
#[derive(Debug)]
pub struct ProcessClock {
    origin: BootInstant,
    gaps: Cell<ClockGaps>,
}

impl Default for ProcessClock {
    fn default() -> Self {
        Self { origin: BootInstant::now(), gaps: Cell::default() }
    }
}

impl ProcessClock {
    /// Returns the time since the start.
    pub fn now_ms(&self) -> u64 {
        let now_ms = millis(self.origin.elapsed());
        let mut gaps = self.gaps.get();
        gaps.record(now_ms);
        self.gaps.set(gaps);
        now_ms
    }

    /// Returns when the process was last interrupted, if it was.
    pub fn interrupted_ms(&self) -> Option<u64> {
        self.gaps.get().interrupted_ms()
    }

    /// Returns the time of `at`; 0 if it was before the start.
    pub fn at_ms(&self, at: BootInstant) -> u64 {
        millis(at.since(self.origin))
    }
}
