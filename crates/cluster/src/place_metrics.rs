//! Metrics of the places that a node grants as the leader.

use prometheus_client::{
    metrics::{counter::Counter, gauge::Gauge, histogram::Histogram},
    registry::{Registry, Unit},
};

/// Upper bounds of the buckets of the waits, up to the goal of a slow request.
const WAIT_BUCKETS_S: [f64; 8] = [0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0];

/// Metrics of places; clones share their values.
#[derive(Clone, Debug)]
pub struct PlaceMetrics {
    /// Places granted.
    pub granted: Counter,
    /// Requests for places that were refused, since they would have been late.
    pub refused: Counter,
    /// Places that were not released before the deadline of their request.
    pub expired: Counter,
    /// Requests for places that were not queued, since the leader got too many.
    pub overloaded: Counter,
    /// Requests that wait for a place.
    pub waiting: Gauge,
    /// Time for which granted requests waited.
    pub wait_seconds: Histogram,
}

impl Default for PlaceMetrics {
    fn default() -> Self {
        Self {
            granted: Counter::default(),
            refused: Counter::default(),
            expired: Counter::default(),
            overloaded: Counter::default(),
            waiting: Gauge::default(),
            wait_seconds: Histogram::new(WAIT_BUCKETS_S),
        }
    }
}

impl PlaceMetrics {
    /// Registers the metrics under the prefix `places`.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let places = registry.sub_registry_with_prefix("places");
        places.register("granted", "Places granted", self.granted.clone());
        places.register("refused", "Requests for places refused", self.refused.clone());
        places.register("expired", "Places that expired without a release", self.expired.clone());
        places.register("overloaded", "Requests for places beyond the limit", self.overloaded.clone());
        places.register("waiting", "Requests that wait for a place", self.waiting.clone());
        let waits = self.wait_seconds.clone();
        places.register_with_unit("wait", "Time for which granted requests waited", Unit::Seconds, waits);
    }
}
