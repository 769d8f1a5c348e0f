//! Counters and latency histograms of a gateway process.

use std::sync::Arc;

use daisysill_cluster::ClusterMetrics;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::{Registry, Unit},
};

use crate::logging;

/// Labels of a finished request.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct ResultLabels {
    /// The name of the result code, or `relayed` for an upstream's own answer.
    pub result: &'static str,
}

/// Labels of an attempt at an upstream.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct AttemptLabels {
    /// How the attempt ended.
    pub outcome: &'static str,
}

/// Counters and histograms; cheap to clone.
#[derive(Clone, Debug)]
pub struct GatewayMetrics {
    /// Requests finished.
    pub requests: Family<ResultLabels, Counter>,
    /// Attempts ended.
    pub attempts: Family<AttemptLabels, Counter>,
    /// Connections opened to upstreams.
    pub connections_opened: Counter,
    /// Requests in progress.
    pub in_flight: Gauge,
    /// Log lines dropped because the queue was full.
    pub dropped_log_lines: Gauge,
    /// Calls to the platform's list of upstreams.
    pub list_calls: Counter,
    /// Orders sent to upstreams.
    pub orders: Counter,
    /// Fetches from stores that came too late.
    pub late_fetches: Counter,
    /// Waits of requests for a place at an upstream.
    pub waits_for_room: Counter,
    /// Time from arrival to the head of the answer.
    pub answer_seconds: Histogram,
    registry: Arc<Registry>,
}

impl GatewayMetrics {
    /// Registers all metrics, those of the cluster among them.
    pub fn new(cluster: &ClusterMetrics) -> Self {
        let requests = Family::<ResultLabels, Counter>::default();
        let attempts = Family::<AttemptLabels, Counter>::default();
        let connections_opened = Counter::default();
        let in_flight = Gauge::default();
        let dropped_log_lines = Gauge::default();
        let list_calls = Counter::default();
        let orders = Counter::default();
        let late_fetches = Counter::default();
        let waits_for_room = Counter::default();
        let answer_seconds = Histogram::new(exponential_buckets(0.002, 2.0, 14));
        let mut registry = Registry::with_prefix("daisysill_gateway");
        registry.register("requests", "Requests finished", requests.clone());
        registry.register("attempts", "Attempts at upstreams", attempts.clone());
        registry.register("upstream_connections", "Connections opened", connections_opened.clone());
        registry.register("in_flight", "Requests in progress", in_flight.clone());
        registry.register("dropped_log_lines", "Log lines dropped", dropped_log_lines.clone());
        registry.register("list_calls", "Calls to the list of upstreams", list_calls.clone());
        registry.register("orders", "Orders sent to upstreams", orders.clone());
        registry.register("late_fetches", "Fetches from stores that came too late", late_fetches.clone());
        registry.register("waits_for_room", "Waits of requests for a place", waits_for_room.clone());
        let time = "Time from arrival to the head of the answer";
        registry.register_with_unit("answer", time, Unit::Seconds, answer_seconds.clone());
        cluster.register(&mut registry);
        Self {
            requests,
            attempts,
            connections_opened,
            in_flight,
            dropped_log_lines,
            list_calls,
            orders,
            late_fetches,
            waits_for_room,
            answer_seconds,
            registry: Arc::new(registry),
        }
    }

    /// Counts a finished request.
    pub fn finished(&self, result: &'static str) {
        self.requests.get_or_create(&ResultLabels { result }).inc();
    }

    /// Counts an attempt that ended.
    pub fn attempted(&self, outcome: &'static str) {
        self.attempts.get_or_create(&AttemptLabels { outcome }).inc();
    }

    /// Returns all metrics in the text format of `OpenMetrics`.
    pub fn render(&self) -> String {
        self.dropped_log_lines.set(i64::try_from(logging::dropped_lines()).unwrap_or(i64::MAX));
        let mut text = String::new();
        if encode(&mut text, &self.registry).is_err() {
            log::warn!("the metrics could not be encoded");
        }
        text
    }
}
