//! Likely cost of a request before it runs, learned from requests of the same kind.
//!
//! Handles services whose requests differ widely in cost. A kind is known by its route, customer and size. What
//! callers claim is at most an upper bound: costs are learned from responses.

use std::collections::HashMap;

/// Maximum number of kinds that are remembered for a service.
pub const MAX_KINDS: usize = 256;
/// Time in which earlier samples lose half of their weight.
const HALF_LIFE_MS: f64 = 60_000.0;
/// Maximum weight of earlier samples, so that new ones take effect.
const MAX_WEIGHT: f64 = 50.0;
/// Weight of the next wider kind in the estimate of a kind.
const PRIOR_WEIGHT: f64 = 3.0;

/// Least cost in the geometric mean.
const MIN_COST: f64 = 0.01;

/// The kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestKind {
    /// Identifies the route.
    pub route: u64,
    /// Identifies the customer; 0 without one.
    pub customer: u64,
    /// See [`size_bucket`].
    pub size_bucket: u8,
}

/// Returns the bucket of a size in bytes or tokens; each is four times as large as the one before.
///
/// ```
/// use daisysill_core::request_cost::size_bucket;
/// assert_eq!(size_bucket(0), 0);
/// assert_eq!(size_bucket(1_000), size_bucket(600));
/// assert_ne!(size_bucket(1_000), size_bucket(16_000));
/// ```
pub const fn size_bucket(size: u64) -> u8 {
    // At most 32.
    #[allow(clippy::cast_possible_truncation)]
    let bucket = (u64::BITS - size.leading_zeros()).div_ceil(2) as u8;
    bucket
}

/// Mean of samples that lose weight with age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct AgeingMean {
    mean: f64,
    weight: f64,
    updated_ms: u64,
}

impl AgeingMean {
    fn weight_at(&self, now_ms: u64) -> f64 {
        self.weight * (-(now_ms.saturating_sub(self.updated_ms) as f64) / HALF_LIFE_MS).exp2()
    }

    fn add(&mut self, sample: f64, now_ms: u64) {
        let old_weight = self.weight_at(now_ms).min(MAX_WEIGHT);
        self.weight = old_weight + 1.0;
        self.mean += (sample - self.mean) / self.weight;
        self.updated_ms = self.updated_ms.max(now_ms);
    }

    /// Returns the mean of the samples and of a prior value.
    fn estimate(&self, prior: f64, now_ms: u64) -> f64 {
        let weight = self.weight_at(now_ms);
        (self.mean * weight + prior * PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT)
    }
}

/// Costs of the requests of one service, in a unit that the caller chooses (milliseconds of work, tokens).
#[derive(Clone, Debug, Default)]
pub struct RequestCosts {
    service: AgeingMean,
    /// Of the logarithms of all costs.
    service_log: AgeingMean,
    kinds: HashMap<RequestKind, AgeingMean>,
}

impl RequestCosts {
    /// Adds the cost of a request that was answered.
    pub fn record(&mut self, kind: RequestKind, cost: f64, now_ms: u64) {
        if !(cost.is_finite() && cost >= 0.0) {
            return;
        }
        self.service.add(cost, now_ms);
        self.service_log.add(cost.max(MIN_COST).ln(), now_ms);
        for kind in kind.widest_first() {
            if !self.kinds.contains_key(&kind) && self.kinds.len() >= MAX_KINDS {
                self.forget_oldest();
            }
            self.kinds.entry(kind).or_default().add(cost, now_ms);
        }
    }

    /// Returns the likely cost of a request. `prior` is assumed while little is known of the service; what is known
    /// of the service, and of the route and size for all customers, while little is known of the kind.
    ///
    /// ```
    /// use daisysill_core::request_cost::{RequestCosts, RequestKind, size_bucket};
    /// let kind = RequestKind { route: 1, customer: 2, size_bucket: size_bucket(900) };
    /// let mut costs = RequestCosts::default();
    /// assert_eq!(costs.estimate(kind, 60.0, 0), 60.0);
    /// for at_ms in 0..100 {
    ///     costs.record(kind, 10.0, at_ms);
    /// }
    /// assert!((costs.estimate(kind, 60.0, 100) - 10.0).abs() < 1.0);
    /// ```
    pub fn estimate(&self, kind: RequestKind, prior: f64, now_ms: u64) -> f64 {
        let mut estimate = self.service.estimate(prior, now_ms);
        for kind in kind.widest_first() {
            if let Some(mean) = self.kinds.get(&kind) {
                estimate = mean.estimate(estimate, now_ms);
            }
        }
        estimate
    }

    /// Returns the cost of a typical request of the service, of which nothing else is known: the geometric mean, since a
    /// few expensive requests would raise the arithmetic one above almost all costs.
    pub fn typical(&self, prior: f64, now_ms: u64) -> f64 {
        self.service_log.estimate(prior.max(MIN_COST).ln(), now_ms).exp()
    }

    /// Returns the number of kinds that are remembered.
    pub fn kinds(&self) -> usize {
        self.kinds.len()
    }

    fn forget_oldest(&mut self) {
        let oldest = self.kinds.iter().min_by_key(|(_, mean)| mean.updated_ms).map(|(kind, _)| *kind);
        if let Some(kind) = oldest {
            self.kinds.remove(&kind);
        }
    }
}

impl RequestKind {
    /// Returns the kind for all customers, and then this one if it has a customer.
    fn widest_first(self) -> impl Iterator<Item = Self> {
        let of_customer = (self.customer != 0).then_some(self);
        std::iter::once(Self { customer: 0, ..self }).chain(of_customer)
    }
}
