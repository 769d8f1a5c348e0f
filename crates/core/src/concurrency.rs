//! Limit on requests in flight, adapted to the load that the upstreams accept.

/// Factor applied to the limit on overload.
const DECREASE_FACTOR: f64 = 0.9;

/// Bounds of a concurrency limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConcurrencyPolicy {
    /// The limit at the start, clamped to `min..=max`.
    pub initial: u64,
    /// Lower bound; 0 counts as 1.
    pub min: u64,
    /// Upper bound; 0 counts as 1.
    pub max: u64,
}

/// How a request that was in flight ended, as far as the limit is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An upstream served it.
    Served {
        /// Time from its start to its end.
        service_ms: u64,
    },
    /// An upstream refused it as busy, or its deadline passed while it waited at one.
    Overloaded,
    /// It ended for a reason that says nothing about load.
    Other,
}

/// Increases additively while the limit is reached and decreases multiplicatively on overload.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    policy: ConcurrencyPolicy,
    limit: f64,
    /// Requests that must end before the limit may fall again, since those in flight at a decrease share its cause.
    cooldown: u64,
}

impl ConcurrencyLimit {
    /// Starts at the initial limit.
    pub fn new(policy: ConcurrencyPolicy) -> Self {
        Self { policy, limit: policy.initial.clamp(policy.min, policy.max) as f64, cooldown: 0 }
    }

    /// Returns the number of requests that may be in flight.
    pub fn limit(&self) -> u64 {
        crate::num::whole(self.limit).max(1)
    }

    /// Adjusts the limit by the outcome of a request; `in_flight` includes the request.
    pub fn record(&mut self, outcome: Outcome, in_flight: u64) {
        self.cooldown = self.cooldown.saturating_sub(1);
        let (min, max) = (self.policy.min.max(1) as f64, self.policy.max.max(1) as f64);
        match outcome {
            Outcome::Served { .. } if in_flight >= self.limit() => {
                self.limit = (self.limit + 1.0 / self.limit).min(max);
            }
            Outcome::Overloaded if self.cooldown == 0 => {
                self.limit = (self.limit * DECREASE_FACTOR).max(min);
                self.cooldown = in_flight;
            }
            _ => {}
        }
    }
}
