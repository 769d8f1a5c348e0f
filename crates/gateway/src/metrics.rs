//! Metrics of a gateway process, with the prefix `daisysill_gateway`.

use std::sync::Arc;

use daisysill_cluster::ClusterMetrics;
use daisysill_http::refused_responses;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::{Metric, Registry, Unit},
};

use crate::{
    attempt_trace::DiscardedAnswer, body_buffer::BufferError, callers::ConnectionMetrics, http_head::Framing,
    logging, pool::PoolMetrics,
};

/// Labels of a finished request.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct ResultLabels {
    /// Name of the result code, `relayed` for an upstream's own response, `passed_on` for that of another entry node,
    /// `stream_broken`, `caller_left` if the caller disconnected before the answer, or `panicked`.
    pub result: &'static str,
}

/// Labels of an attempt at an upstream.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct AttemptLabels {
    /// `answered`, `unsealed` in addition if the proof of origin is missing, or the name of the error.
    pub outcome: &'static str,
}

/// Labels of an answer that belongs to no request in progress.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct DiscardedAnswerLabels {
    /// `not_run` if it states that its request has not run, `success` or `failure`.
    pub kind: &'static str,
}

/// Labels of a connection that only shows whether an upstream can be reached.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct ProbeLabels {
    /// `connected` or `failed`.
    pub outcome: &'static str,
}

/// Labels of a request that was passed on to another entry node.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct PassedOnLabels {
    /// `answered`, `unable` for each node that could not serve it either, `no_room` for each that did not read it, `broken`,
    /// `timed_out` or `caller_left`.
    pub outcome: &'static str,
}

/// Labels of a further attempt of a request.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct RetryLabels {
    /// `taken` from the retry budget of its service, or `exhausted` if none was left.
    pub outcome: &'static str,
}

/// Labels of a request for a place.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct PlaceLabels {
    /// `granted`, `refused` or `unanswered`.
    pub outcome: &'static str,
}

/// Labels of the body of a stream.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct StreamBodyLabels {
    /// `length`, `chunked` or `until_close`.
    pub framing: &'static str,
    /// `event_boundary` or `inside_event`.
    pub ended_at: &'static str,
}

/// Labels of a body, or an event of a stream, that was not kept in memory.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct DroppedBodyLabels {
    /// `too_large` or `no_memory`.
    pub reason: &'static str,
}

/// Labels of the end of a stream.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct StreamEndLabels {
    /// `complete`, or the outcome that `stream_ended` logs.
    pub outcome: &'static str,
}

/// Labels of an evacuated availability zone.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct ZoneLabels {
    /// Its name.
    pub zone: String,
}

/// Metrics with their registry; clones share the values.
#[derive(Clone, Debug)]
pub struct GatewayMetrics {
    /// Requests that were refused or relayed to their end, or whose callers disconnected.
    pub requests: Family<ResultLabels, Counter>,
    /// Attempts that got a response head or failed.
    pub attempts: Family<AttemptLabels, Counter>,
    /// Further attempts of requests.
    pub retries: Family<RetryLabels, Counter>,
    /// Age of the configuration by which requests were admitted.
    pub admitted_config_age_seconds: Histogram,
    /// Answers on connections to upstreams that belong to no request in progress.
    pub discarded_answers: Family<DiscardedAnswerLabels, Counter>,
    /// Idle connections, to upstreams and other entry nodes, that were not used for a request since they had carried it before.
    pub repeats_avoided: Counter,
    /// Bodies of streams that ended as their framing says, by where they ended.
    pub stream_bodies: Family<StreamBodyLabels, Counter>,
    /// Streams that ended at their callers.
    pub stream_ends: Family<StreamEndLabels, Counter>,
    /// Bodies of requests and responses, and events of streams, that were not kept in memory.
    pub dropped_bodies: Family<DroppedBodyLabels, Counter>,
    /// Connections to upstreams that were begun, also if they failed.
    pub connections_opened: Counter,
    /// Requests of callers in progress.
    pub in_flight: Gauge,
    /// Log lines dropped because the queue was full; updated on each scrape.
    pub dropped_log_lines: Gauge,
    /// Reads of the platform's list of upstreams, each of one or more pages.
    pub list_calls: Counter,
    /// Orders sent to upstreams.
    pub orders: Counter,
    /// Fetches from stores that were too late and count against their store.
    pub late_fetches: Counter,
    /// Waits of requests for capacity at an upstream; one request may wait several times.
    pub waits_for_room: Counter,
    /// Waits of requests for a fresh configuration.
    pub waits_for_config: Counter,
    /// Upstreams that name a rate limit, as this node knows them.
    pub rate_limited_upstreams: Gauge,
    /// Upstreams of services that name a limit on rejections, as this node knows them.
    pub rejection_limited_upstreams: Gauge,
    /// Listed upstreams that are cold or may be, as this node knows them.
    pub cold_upstreams: Gauge,
    /// Choices that found no place for a request while this node's share of a cold upstream was used up.
    pub cold_share_exhausted: Counter,
    /// Permits granted to this node that expired before a request was sent under them.
    pub permits_expired: Counter,
    /// Listed upstreams that have stated that they leave, as this node knows them.
    pub leaving_upstreams: Gauge,
    /// Upstreams that asked this node for a pause which lasts.
    pub paused_upstreams: Gauge,
    /// Requests of this node that still run in evacuated zones.
    pub evacuated_in_flight: Family<ZoneLabels, Gauge>,
    /// 1 while new connections to upstreams fail in all zones, 0 otherwise.
    pub lost_upstream_contact: Gauge,
    /// Connections that only showed whether an upstream can be reached.
    pub contact_probes: Family<ProbeLabels, Counter>,
    /// Requests that were passed on to other entry nodes.
    pub passed_on: Family<PassedOnLabels, Counter>,
    /// Requests that other entry nodes passed on to this one.
    pub taken_over: Counter,
    /// Connections to other entry nodes that were begun, also if they failed.
    pub peer_connections: Counter,
    /// Requests of this node to the leader for places at plain services.
    pub place_requests: Family<PlaceLabels, Counter>,
    /// Upstreams that are slow relative to their service, as this node has learned.
    pub slow_upstreams: Gauge,
    /// Measured time of a request's work, or to its first token, as a multiple of the expected time.
    pub measured_to_expected_ratio: Histogram,
    /// Time from the arrival of a request to the head of the response.
    pub answer_seconds: Histogram,
    /// Connections of clients.
    pub connections: ConnectionMetrics,
    registry: Arc<Registry>,
}

impl GatewayMetrics {
    /// Registers all metrics, including those of `cluster`.
    pub fn new(cluster: &ClusterMetrics) -> Self {
        let mut registry = Registry::with_prefix("daisysill_gateway");
        let measured_to_expected_ratio = Histogram::new(exponential_buckets(0.125, 2.0, 8));
        let error = "Measured time as a multiple of the expected time";
        registry.register("measured_to_expected_ratio", error, measured_to_expected_ratio.clone());
        let answer_seconds = Histogram::new(exponential_buckets(0.002, 2.0, 14));
        let time = "Time from arrival to the head of the answer";
        registry.register_with_unit("answer", time, Unit::Seconds, answer_seconds.clone());
        let admitted_config_age_seconds = Histogram::new(exponential_buckets(0.0625, 2.0, 8));
        let age = "Age of the configuration by which requests were admitted";
        registry.register_with_unit(
            "admitted_config_age",
            age,
            Unit::Seconds,
            admitted_config_age_seconds.clone(),
        );
        let connections = ConnectionMetrics::default();
        connections.register(&mut registry);
        cluster.register(&mut registry);
        registry.register("refused_responses", "Responses refused as malformed", refused_responses());
        let all = &mut registry;
        Self {
            requests: registered(all, "requests", "Requests finished"),
            attempts: registered(all, "attempts", "Attempts at upstreams"),
            retries: registered(all, "retries", "Further attempts of requests"),
            admitted_config_age_seconds,
            discarded_answers: registered(all, "discarded_answers", "Answers of upstreams too many"),
            repeats_avoided: registered(
                all,
                "repeats_avoided",
                "Connections not used since they had carried the request",
            ),
            stream_bodies: registered(all, "stream_bodies", "Stream bodies read to their end"),
            stream_ends: registered(all, "stream_ends", "Streams ended"),
            dropped_bodies: registered(all, "dropped_bodies", "Bodies not kept in memory"),
            connections_opened: registered(all, "upstream_connections", "Connections opened"),
            in_flight: registered(all, "in_flight", "Requests in progress"),
            dropped_log_lines: registered(all, "dropped_log_lines", "Log lines dropped"),
            list_calls: registered(all, "list_calls", "Calls to the list of upstreams"),
            orders: registered(all, "orders", "Orders sent to upstreams"),
            late_fetches: registered(all, "late_fetches", "Fetches from stores that came too late"),
            waits_for_room: registered(all, "waits_for_room", "Waits of requests for a place"),
            waits_for_config: registered(
                all,
                "waits_for_config",
                "Waits of requests for a fresh configuration",
            ),
            rate_limited_upstreams: registered(
                all,
                "rate_limited_upstreams",
                "Upstreams that name a rate limit",
            ),
            rejection_limited_upstreams: registered(
                all,
                "rejection_limited_upstreams",
                "Upstreams of services that name a limit on rejections",
            ),
            cold_upstreams: registered(all, "cold_upstreams", "Listed upstreams that are cold or may be"),
            cold_share_exhausted: registered(
                all,
                "cold_share_exhausted",
                "Choices without a place while the share of a cold upstream was used up",
            ),
            permits_expired: registered(all, "permits_expired", "Granted permits that expired unused"),
            leaving_upstreams: registered(
                all,
                "leaving_upstreams",
                "Listed upstreams that have stated that they leave",
            ),
            paused_upstreams: registered(
                all,
                "paused_upstreams",
                "Upstreams that asked this node for a pause which lasts",
            ),
            evacuated_in_flight: registered(
                all,
                "evacuated_in_flight",
                "Requests of this node that still run in evacuated zones",
            ),
            lost_upstream_contact: registered(
                all,
                "lost_upstream_contact",
                "Whether new connections to upstreams fail in all zones",
            ),
            contact_probes: registered(all, "contact_probes", "Probes whether upstreams can be reached"),
            passed_on: registered(all, "passed_on", "Requests passed on to other entry nodes"),
            taken_over: registered(all, "taken_over", "Requests of other entry nodes"),
            peer_connections: registered(all, "peer_connections", "Connections to other entry nodes"),
            place_requests: registered(all, "place_requests", "Requests to the leader for places"),
            slow_upstreams: registered(
                all,
                "slow_upstreams",
                "Upstreams that are slow relative to their service",
            ),
            measured_to_expected_ratio,
            answer_seconds,
            connections,
            registry: Arc::new(registry),
        }
    }

    /// Counts a finished request.
    pub fn record_result(&self, result: &'static str) {
        self.requests.get_or_create(&ResultLabels { result }).inc();
    }

    /// Counts an attempt that got a response head or failed.
    pub fn record_attempt(&self, outcome: &'static str) {
        self.attempts.get_or_create(&AttemptLabels { outcome }).inc();
    }

    /// Counts a further attempt, which took a retry from the budget or found none left.
    pub(crate) fn record_retry(&self, is_taken: bool) {
        let outcome = if is_taken { "taken" } else { "exhausted" };
        self.retries.get_or_create(&RetryLabels { outcome }).inc();
    }

    /// Returns the counts of a pool whose new connections `opened` counts.
    pub(crate) fn of_pool(&self, opened: &Counter) -> PoolMetrics {
        PoolMetrics { opened: opened.clone(), repeats_avoided: self.repeats_avoided.clone() }
    }

    /// Counts an answer that belongs to no request in progress.
    pub(crate) fn record_discarded_answer(&self, answer: DiscardedAnswer) {
        self.discarded_answers.get_or_create(&DiscardedAnswerLabels { kind: answer.name() }).inc();
    }

    /// Counts a connection that only showed whether an upstream can be reached.
    pub(crate) fn record_probe(&self, outcome: &'static str) {
        self.contact_probes.get_or_create(&ProbeLabels { outcome }).inc();
    }

    /// Counts a request that was passed on to another entry node.
    pub(crate) fn record_passed_on(&self, outcome: &'static str) {
        self.passed_on.get_or_create(&PassedOnLabels { outcome }).inc();
    }

    /// Counts a request to the leader for a place.
    pub(crate) fn record_place_request(&self, outcome: &'static str) {
        self.place_requests.get_or_create(&PlaceLabels { outcome }).inc();
    }

    /// Counts the body of a stream that ended as its framing says.
    pub(crate) fn record_stream_body(&self, framing: Framing, is_inside_event: bool) {
        let ended_at = if is_inside_event { "inside_event" } else { "event_boundary" };
        self.stream_bodies.get_or_create(&StreamBodyLabels { framing: framing.name(), ended_at }).inc();
    }

    /// Counts a body or an event that was not kept in memory.
    pub(crate) fn record_dropped_body(&self, error: BufferError) {
        self.dropped_bodies.get_or_create(&DroppedBodyLabels { reason: error.name() }).inc();
    }

    /// Counts a stream that ended at its caller.
    pub(crate) fn record_stream_end(&self, outcome: &'static str) {
        self.stream_ends.get_or_create(&StreamEndLabels { outcome }).inc();
    }

    /// Returns all metrics in the `OpenMetrics` text format.
    pub fn render(&self) -> String {
        self.dropped_log_lines.set(i64::try_from(logging::dropped_lines()).unwrap_or(i64::MAX));
        let mut text = String::new();
        if encode(&mut text, &self.registry).is_err() {
            log::warn!("metrics could not be encoded; the scrape is incomplete");
        }
        text
    }
}

/// Creates a metric and registers it.
fn registered<M: Metric + Clone + Default>(registry: &mut Registry, name: &str, help: &str) -> M {
    let metric = M::default();
    registry.register(name, help, metric.clone());
    metric
}
