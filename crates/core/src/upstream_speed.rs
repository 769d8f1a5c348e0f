//! Speed of one upstream relative to the other upstreams of its service, learned from its own responses.
//!
//! Handles upstreams that are slower than others all the time, or for parts of a second. Only successful responses
//! are samples, so an upstream that answers errors fast does not look fast. Without recent samples the speed returns
//! to 1, so that a slow upstream is tried again.

/// Maximum number of samples kept for an upstream.
const MAX_SAMPLES: usize = 12;
/// Time in which a sample loses half of its weight.
const HALF_LIFE_MS: f64 = 700.0;
/// Weight of the assumption that an upstream is as fast as its service. One sample alone weighs less, so a single
/// outlier changes nothing.
const PRIOR_WEIGHT: f64 = 1.01;
/// Lowest and highest speed that is assumed.
const MIN_SPEED: f64 = 0.2;
const MAX_SPEED: f64 = 2.0;
/// Speed below which an upstream counts as slow in metrics.
pub const SLOW_SPEED: f64 = 0.75;
/// Smallest step of the median of a service, on a logarithmic scale.
const MIN_MEDIAN_STEP: f64 = 0.02;

/// What was timed. Each kind has its own typical deviation from what was expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleKind {
    /// Time to the first token, against that expected for the tokens to prefill.
    FirstToken,
    /// Time between two events of a stream.
    EventGap,
    /// Time of a request to a plain service.
    Request,
}

/// Running medians of measured against expected time over all upstreams of a service. They cancel what is wrong with
/// all expected times alike.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpeedBaseline {
    medians: [RunningMedian; 3],
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct RunningMedian {
    log_ratio: f64,
    samples: u32,
}

impl RunningMedian {
    fn add(&mut self, log_ratio: f64) {
        self.samples = self.samples.saturating_add(1);
        let step = (1.0 / f64::from(self.samples)).max(MIN_MEDIAN_STEP);
        let distance = log_ratio - self.log_ratio;
        // The first sample is taken over: the expected times may all be wrong by any factor.
        self.log_ratio += if self.samples == 1 { distance } else { distance.clamp(-step, step) };
    }
}

impl SpeedBaseline {
    /// Adds a sample and returns by which factor it was slower than typical for the service; `None` if a time is not
    /// positive.
    ///
    /// ```
    /// use daisysill_core::upstream_speed::{SampleKind, SpeedBaseline};
    /// let mut baseline = SpeedBaseline::default();
    /// // All upstreams take twice the expected time, so none is slow.
    /// assert_eq!(baseline.slowness(SampleKind::Request, 20.0, 10.0), Some(1.0));
    /// assert_eq!(baseline.slowness(SampleKind::Request, 0.0, 10.0), None);
    /// ```
    pub fn slowness(&mut self, kind: SampleKind, took_ms: f64, expected_ms: f64) -> Option<f64> {
        let ratio = took_ms / expected_ms;
        if !(ratio.is_finite() && ratio > 0.0) {
            return None;
        }
        let median = &mut self.medians[kind as usize];
        median.add(ratio.ln());
        Some((ratio.ln() - median.log_ratio).exp())
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Sample {
    log_slowness: f64,
    at_ms: u64,
}

/// Recent samples of one upstream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamSpeed {
    samples: [Sample; MAX_SAMPLES],
    len: usize,
    next: usize,
    /// Weighted median of the samples when the last one was added.
    log_slowness: f64,
    updated_ms: u64,
}

impl UpstreamSpeed {
    /// Adds a sample: by which factor a successful response was slower than typical for the service.
    pub fn record(&mut self, slowness: f64, now_ms: u64) {
        if !(slowness.is_finite() && slowness > 0.0) {
            return;
        }
        self.samples[self.next] = Sample { log_slowness: slowness.ln(), at_ms: now_ms };
        self.next = (self.next + 1) % MAX_SAMPLES;
        self.len = (self.len + 1).min(MAX_SAMPLES);
        self.updated_ms = self.updated_ms.max(now_ms);
        self.log_slowness = self.weighted_median();
    }

    /// Returns the speed relative to the service: 0.5 for an upstream that takes twice as long, 1 without samples.
    ///
    /// ```
    /// use daisysill_core::upstream_speed::UpstreamSpeed;
    /// let mut speed = UpstreamSpeed::default();
    /// speed.record(2.0, 0);
    /// assert_eq!(speed.at(0), 1.0); // One sample may be an outlier.
    /// speed.record(2.0, 50);
    /// assert!(speed.at(50) < 0.51);
    /// assert!(speed.at(5_000) > 0.99);
    /// ```
    pub fn at(&self, now_ms: u64) -> f64 {
        if self.log_slowness == 0.0 {
            return 1.0;
        }
        let remaining = remaining_weight(self.updated_ms, now_ms);
        (-self.log_slowness * remaining).exp().clamp(MIN_SPEED, MAX_SPEED)
    }

    /// Returns the age of the last sample; `None` without one.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        (self.len > 0).then(|| now_ms.saturating_sub(self.updated_ms))
    }

    fn weighted_median(&self) -> f64 {
        let mut weighted = [(0.0, PRIOR_WEIGHT); MAX_SAMPLES + 1];
        for (slot, sample) in weighted.iter_mut().zip(&self.samples[..self.len]) {
            *slot = (sample.log_slowness, remaining_weight(sample.at_ms, self.updated_ms));
        }
        let weighted = &mut weighted[..=self.len];
        weighted.sort_unstable_by(|left, right| left.0.total_cmp(&right.0));
        let half = weighted.iter().map(|(_, weight)| weight).sum::<f64>() / 2.0;
        let mut below = 0.0;
        for (log_slowness, weight) in weighted.iter() {
            below += weight;
            if below >= half {
                return *log_slowness;
            }
        }
        0.0
    }
}

/// Returns the part of its weight that a sample has left.
fn remaining_weight(at_ms: u64, now_ms: u64) -> f64 {
    (-(now_ms.saturating_sub(at_ms) as f64) / HALF_LIFE_MS).exp2()
}
