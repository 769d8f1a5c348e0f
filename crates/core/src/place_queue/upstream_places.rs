//! The places of one upstream: those granted, those that requests without a place occupy, and how long places are held.

use std::collections::VecDeque;

/// Weight of a new sample in the mean time for which places are held.
const SAMPLE_WEIGHT: f64 = 0.1;
/// An upstream without a release for this time is used again like the others, since it gets no request while it counts as too slow.
const HOLD_RETENTION_MS: u64 = 2_000;
/// Reports of loads are up to about this old, since nodes report every 40 ms and control nodes every 20 ms. Granted places
/// within this time, or up to twice as long ago, may be part of a reported load.
const REPORT_WINDOW_MS: u64 = 200;

/// The highest number of places granted within a window and the one before it.
#[derive(Debug, Default)]
pub(super) struct RecentPeak {
    window: u64,
    present: u32,
    previous: u32,
}

impl RecentPeak {
    pub(super) fn record(&mut self, now_ms: u64, granted: u32) {
        let window = now_ms / REPORT_WINDOW_MS;
        if window != self.window {
            self.previous = if window == self.window + 1 { self.present } else { granted };
            (self.window, self.present) = (window, granted);
        }
        self.present = self.present.max(granted);
    }

    fn get(&self) -> u32 {
        self.present.max(self.previous)
    }
}

/// What the queue knows of one upstream.
#[derive(Debug, Default)]
pub(super) struct UpstreamPlaces {
    pub(super) slots: u32,
    /// When a request last named it.
    pub(super) named_ms: u64,
    pub(super) granted: u32,
    pub(super) recent_peak: RecentPeak,
    /// Requests in flight by the load reports of all nodes.
    pub(super) reported: u32,
    /// Ends of the times for which rejections count as places in use.
    pub(super) rejected_until_ms: VecDeque<u64>,
    /// Mean time for which places were held, `None` before the first release, and when the last one was released.
    hold_ms: Option<f64>,
    held_until_ms: u64,
}

impl UpstreamPlaces {
    /// Records for how long a place was held that was released now.
    pub(super) fn record_hold(&mut self, now_ms: u64, held_ms: f64) {
        self.hold_ms = self.hold_ms(now_ms);
        record_sample(&mut self.hold_ms, held_ms);
        self.held_until_ms = now_ms;
    }

    /// Returns the mean time for which places are held; `None` if it is unknown or no longer certain.
    pub(super) fn hold_ms(&self, now_ms: u64) -> Option<f64> {
        self.hold_ms.filter(|_| now_ms < self.held_until_ms.saturating_add(HOLD_RETENTION_MS))
    }

    /// Returns the slots in use. Reported requests beyond the granted places were sent without one.
    pub(super) fn in_use(&mut self, now_ms: u64) -> u32 {
        self.recent_peak.record(now_ms, self.granted);
        while self.rejected_until_ms.front().is_some_and(|until_ms| *until_ms <= now_ms) {
            self.rejected_until_ms.pop_front();
        }
        let unplaced = self.reported.saturating_sub(self.recent_peak.get());
        let rejected = u32::try_from(self.rejected_until_ms.len()).unwrap_or(u32::MAX);
        self.granted.saturating_add(unplaced.max(rejected))
    }
}

/// Includes a sample in a mean time.
pub(super) fn record_sample(mean_ms: &mut Option<f64>, sample_ms: f64) {
    let mean = mean_ms.unwrap_or(sample_ms);
    *mean_ms = Some(mean + SAMPLE_WEIGHT * (sample_ms - mean));
}
