//! Speeds of the upstreams of a service, learned from their responses.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use daisysill_core::{request_cost::RequestCosts, upstream_speed::SpeedBaseline};

/// Weight of a new sample in an exponential moving average.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Speeds of a service, as moving averages over its responses.
#[derive(Debug)]
pub struct ServiceSpeeds {
    /// Prefill speed of one upstream.
    pub tokens_per_ms: Cell<f64>,
    /// Time of a request, or of relaying its stream.
    pub request_ms: Cell<f64>,
    /// Time between two events of a stream; `None` before the first sample.
    pub event_gap_ms: Cell<Option<f64>>,
    /// Cost of requests by kind: milliseconds of a plain service's work, or events of an engine's stream.
    pub costs: RefCell<RequestCosts>,
    /// How measured times compare with expected ones over all upstreams.
    pub baseline: RefCell<SpeedBaseline>,
}

impl Default for ServiceSpeeds {
    /// Starts with speeds of common hardware, until there are samples.
    fn default() -> Self {
        Self {
            tokens_per_ms: Cell::new(60.0),
            request_ms: Cell::new(60.0),
            event_gap_ms: Cell::default(),
            costs: RefCell::default(),
            baseline: RefCell::default(),
        }
    }
}

impl ServiceSpeeds {
    /// Adds a sample of the time of a request.
    pub fn record_request(&self, took: Duration) {
        update_mean(&self.request_ms, took.as_secs_f64() * 1_000.0);
    }

    /// Adds a sample of the time between two events of a stream.
    pub fn record_event_gap(&self, gap_ms: f64) {
        let mean_ms = self.event_gap_ms.get().unwrap_or(gap_ms);
        self.event_gap_ms.set(Some(moving_mean(mean_ms, gap_ms)));
    }

    /// Adds a sample of the prefill speed: the time that an upstream took for `tokens`.
    pub fn record_prefill(&self, tokens: u64, took: Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        if took_ms > 0.0 {
            update_mean(&self.tokens_per_ms, tokens as f64 / took_ms);
        }
    }
}

/// Adds a sample to an exponential moving average.
fn update_mean(mean: &Cell<f64>, sample: f64) {
    mean.set(moving_mean(mean.get(), sample));
}

fn moving_mean(mean: f64, sample: f64) -> f64 {
    mean * (1.0 - SAMPLE_WEIGHT) + sample * SAMPLE_WEIGHT
}
