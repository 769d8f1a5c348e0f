//! Prometheus metrics of a node.

use daisysill_cluster::ClusterMetrics;
use daisysill_gateway::callers::ConnectionMetrics;
use daisysill_http::refused_responses;
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

/// Labels of a finished request.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct ResultLabels {
    /// Name of the service.
    pub service: String,
    /// Name of the result code.
    pub result: String,
}

/// Labels of metrics that are kept for each service.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct ServiceLabels {
    /// Name of the service.
    pub service: String,
}

/// Labels of an evacuated availability zone.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct ZoneLabels {
    /// Its name.
    pub zone: String,
}

/// Metrics of a node; names and help texts are given where they are registered.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Finished requests, by service and result.
    pub requests: Family<ResultLabels, Counter>,
    /// Attempts sent to upstreams.
    pub attempts: Family<ServiceLabels, Counter>,
    /// Attempts that failed after they were sent to an upstream.
    pub failed_attempts: Family<ServiceLabels, Counter>,
    /// Prompt tokens that were in an engine's cache or restored from a store.
    pub reused_tokens: Family<ServiceLabels, Counter>,
    /// Prompt tokens that were computed.
    pub computed_tokens: Family<ServiceLabels, Counter>,
    /// Time from the arrival of a request to its first token, in seconds.
    pub first_token_seconds: Histogram,
    /// Stream events of another attempt than the one the stream was opened for.
    pub stray_events: Counter,
    /// Events that a state chart does not declare for the current state.
    pub undeclared_events: Counter,
    /// Requests in progress on this node.
    pub in_flight: Gauge,
    /// Requests of this node that still run in evacuated zones.
    pub evacuated_in_flight: Family<ZoneLabels, Gauge>,
    /// Bytes restored from stores.
    pub restored_bytes: Counter,
    /// Resent requests that waited for a claimed request in progress on this node.
    pub joined_calls: Counter,
    /// Retries of recording the outcome of a claimed request.
    pub outcome_retries: Counter,
    /// Responses to claimed requests that were too large to be stored.
    pub answers_not_kept: Counter,
    /// Connections to upstreams that made no progress before the deadline.
    pub silent_connections: Counter,
    /// Polls skipped because the former poll of the same instance was still running.
    pub skipped_polls: Counter,
    /// Crashes of upstreams seen while they ran a request of this node.
    pub crashes: Counter,
    /// Restores that imported nothing.
    pub failed_restores: Counter,
    /// Restores that stopped at a missing or unverifiable block.
    pub partial_restores: Counter,
    /// Blocks exported to stores.
    pub exported_blocks: Counter,
    /// Export requests that failed.
    pub failed_exports: Counter,
    /// Blocks freed in stores.
    pub freed_blocks: Counter,
    /// Spans dropped because the queue of the trace writer was full.
    pub dropped_spans: Counter,
    /// Requests that waited in an admission queue.
    pub queued_requests: Counter,
    /// Requests refused by admission control.
    pub admission_refusals: Counter,
    /// Dispatches removed from the queue estimate because they did not reach their upstream.
    pub retracted_dispatches: Counter,
    /// Dispatch counts of other nodes that were newer than this node's load report.
    pub peer_counts: Counter,
    /// Dispatch counts of other nodes that this node's load report already covered.
    pub late_peer_counts: Counter,
    /// Orders sent to engines.
    pub orders: Counter,
    /// Orders that failed or that engines refused.
    pub failed_orders: Counter,
    /// Connections of clients.
    pub connections: ConnectionMetrics,
}

/// Upper bound of the first bucket of the time to first token.
const FIRST_BUCKET_S: f64 = 0.001;
/// Number of buckets; each upper bound is twice the one before.
const BUCKETS: u16 = 16;

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("daisysill"),
            requests: Family::default(),
            attempts: Family::default(),
            failed_attempts: Family::default(),
            reused_tokens: Family::default(),
            computed_tokens: Family::default(),
            first_token_seconds: Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS)),
            stray_events: Counter::default(),
            undeclared_events: Counter::default(),
            in_flight: Gauge::default(),
            evacuated_in_flight: Family::default(),
            restored_bytes: Counter::default(),
            joined_calls: Counter::default(),
            outcome_retries: Counter::default(),
            answers_not_kept: Counter::default(),
            silent_connections: Counter::default(),
            skipped_polls: Counter::default(),
            crashes: Counter::default(),
            failed_restores: Counter::default(),
            partial_restores: Counter::default(),
            exported_blocks: Counter::default(),
            failed_exports: Counter::default(),
            freed_blocks: Counter::default(),
            dropped_spans: Counter::default(),
            queued_requests: Counter::default(),
            admission_refusals: Counter::default(),
            retracted_dispatches: Counter::default(),
            peer_counts: Counter::default(),
            late_peer_counts: Counter::default(),
            failed_orders: Counter::default(),
            orders: Counter::default(),
            connections: ConnectionMetrics::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    /// Creates the metrics of a node and registers those of its part of the cluster.
    pub fn with_cluster(cluster: &ClusterMetrics) -> Self {
        let mut metrics = Self::default();
        cluster.register(&mut metrics.registry);
        metrics
    }

    /// Returns all metrics in the `OpenMetrics` text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests finished", self.requests.clone());
        registry.register("refused_responses", "Responses refused as malformed", refused_responses());
        registry.register("attempts", "Attempts sent to upstreams", self.attempts.clone());
        registry.register(
            "failed_attempts",
            "Attempts that failed after sending",
            self.failed_attempts.clone(),
        );
        registry.register("reused_tokens", "Prompt tokens not computed again", self.reused_tokens.clone());
        registry.register("computed_tokens", "Prompt tokens computed", self.computed_tokens.clone());
        registry.register_with_unit(
            "first_token",
            "Time from arrival to the first token",
            Unit::Seconds,
            self.first_token_seconds.clone(),
        );
        registry.register("stray_events", "Stream events of another attempt", self.stray_events.clone());
        registry.register(
            "undeclared_events",
            "Events a state does not declare",
            self.undeclared_events.clone(),
        );
        registry.register("in_flight_requests", "Requests in progress", self.in_flight.clone());
        registry.register(
            "evacuated_in_flight",
            "Requests of this node that still run in evacuated zones",
            self.evacuated_in_flight.clone(),
        );
        registry.register_with_unit(
            "restored",
            "Bytes restored from stores",
            Unit::Bytes,
            self.restored_bytes.clone(),
        );
        registry.register(
            "joined_calls",
            "Callers that joined a call in progress",
            self.joined_calls.clone(),
        );
        registry.register(
            "outcome_retries",
            "Repeated tries to record an outcome",
            self.outcome_retries.clone(),
        );
        registry.register(
            "answers_not_kept",
            "Answers too large to be kept for resends",
            self.answers_not_kept.clone(),
        );
        self.register_counters();
    }

    fn register_counters(&mut self) {
        self.connections.register(&mut self.registry);
        let counters = [
            ("silent_connections", "Connections that went silent", &self.silent_connections),
            ("skipped_polls", "Polls skipped because the one before was running", &self.skipped_polls),
            ("crashes", "Crashes of upstreams seen under a request", &self.crashes),
            ("failed_restores", "Restores that brought nothing", &self.failed_restores),
            ("partial_restores", "Restores that stopped at a missing block", &self.partial_restores),
            ("exported_blocks", "Blocks exported to stores", &self.exported_blocks),
            ("failed_exports", "Exports that failed", &self.failed_exports),
            ("freed_blocks", "Blocks freed in stores", &self.freed_blocks),
            ("queued_requests", "Requests that waited in a queue", &self.queued_requests),
            ("admission_refusals", "Requests refused by admission", &self.admission_refusals),
            (
                "retracted_dispatches",
                "Dispatches that did not reach their upstream",
                &self.retracted_dispatches,
            ),
            ("peer_counts", "Counts of other nodes newer than the own load report", &self.peer_counts),
            (
                "late_peer_counts",
                "Counts of other nodes covered by the own load report",
                &self.late_peer_counts,
            ),
            ("orders", "Orders given to engines", &self.orders),
            ("failed_orders", "Orders that engines did not take", &self.failed_orders),
            ("dropped_spans", "Spans dropped because the queue was full", &self.dropped_spans),
        ];
        for (name, help, counter) in counters {
            self.registry.register(name, help, counter.clone());
        }
    }
}
