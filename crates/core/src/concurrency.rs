//! A limit on requests in flight that follows what the upstreams can take.

/// Factor by which the limit falls when an upstream refuses as busy.
const BACKOFF: f64 = 0.9;

/// Bounds of a concurrency limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConcurrencyPolicy {
    /// The limit to start with.
    pub initial: u64,
    /// The lowest limit.
    pub min: u64,
    /// The highest limit.
    pub max: u64,
}

/// How a request that was in flight ended, as far as the limit is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was served; the time from its start to its end.
    Served {
        /// Milliseconds in flight.
        service_ms: u64,
    },
    /// An upstream refused it as busy, or it waited past its deadline at one.
    Overloaded,
    /// It ended for a reason that says nothing about load.
    Other,
}

/// Additive increase while the limit is reached, multiplicative decrease on overload.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    policy: ConcurrencyPolicy,
    limit: f64,
    /// Requests that must end before the limit falls again; those in flight at a decrease share its cause.
    settle: u64,
}

impl ConcurrencyLimit {
    /// Starts at the initial limit.
    pub fn new(policy: ConcurrencyPolicy) -> Self {
        Self { policy, limit: policy.initial.clamp(policy.min, policy.max) as f64, settle: 0 }
    }

    /// Returns the number of requests that may be in flight.
    pub fn limit(&self) -> u64 {
        crate::num::whole(self.limit).max(1)
    }

    /// Takes the outcome of a request; `in_flight` counts it.
    pub fn finish(&mut self, outcome: Outcome, in_flight: u64) {
        self.settle = self.settle.saturating_sub(1);
        let (min, max) = (self.policy.min.max(1) as f64, self.policy.max.max(1) as f64);
        match outcome {
            Outcome::Served { .. } if in_flight >= self.limit() => {
                self.limit = (self.limit + 1.0 / self.limit).min(max);
            }
            Outcome::Overloaded if self.settle == 0 => {
                self.limit = (self.limit * BACKOFF).max(min);
                self.settle = in_flight;
            }
            _ => {}
        }
    }
}
