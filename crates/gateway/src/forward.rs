//! Admits and forwards requests: chooses an upstream, sends the request, and decides after a failure whether to retry.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use daisysill_cluster::ClusterHandle;
use daisysill_core::{
    fetch_backoff::FetchBackoff,
    ids::ServiceName,
    link_booking::LinkBookings,
    result_code::ResultCode,
    retry_budget::RetryBudget,
    routing::{Customer, Route, RoutingTable},
    slot_share::SlotShare,
    upstream_contact::Reach,
    wait_queue::WaitQueue,
    zone_reachability::ZoneReachability,
};
use tokio::{
    sync::{Notify, oneshot},
    time::Instant,
};

use crate::{
    caller_request::{AttemptHistory, CallerRequest, urgency},
    config::Bounds,
    contact::Contact,
    duration::millis,
    entry_peers::EntryPeers,
    exchange::{AttemptError, AttemptTarget, OutgoingRequest, UpstreamResponse, attempt},
    header_codec::{AttemptHeaders, HeaderCodec},
    metrics::GatewayMetrics,
    node_share::retry_budget_refusal,
    placement::{ChosenUpstream, Placement},
    pool::Pool,
    refusal::Refusal,
    refusal_rules::STALE_RETRY_MS,
    routing_state::RoutingState,
    silence::NextPlace,
    upstreams::Upstreams,
    waiting::rate_limit_refusal,
};

/// Silence limit of a retryable request without a prompt: the longer of this share of its goal and this multiple of the
/// service's mean request time.
const SILENCE_GOAL_SHARE: f64 = 0.6;
const SILENCE_MEAN_FACTOR: f64 = 5.0;
/// Silence limit of prompts, in goals. Longer, since another engine would repeat the prefill from the start.
const PROMPT_SILENCE_GOALS: f64 = 3.0;

/// An attempt that got no response.
pub(crate) struct FailedAttempt {
    pub(crate) error: AttemptError,
    /// Where the next attempt is made, if that was found before this one ended.
    pub(crate) next_place: Option<Box<ChosenUpstream>>,
}

/// State shared by all requests on this node.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) header_codec: SharedCodec,
    /// Access to the agreed configuration and to the state that nodes exchange.
    pub cluster: ClusterHandle,
    /// Limits that the deployment sets.
    pub bounds: Bounds,
    /// Routing table and target versions in force.
    pub routing: RoutingState,
    /// The upstreams that are listed at present.
    pub upstreams: Upstreams,
    /// Connections to the upstreams.
    pub pool: Pool,
    /// Counters and histograms.
    pub metrics: GatewayMetrics,
    pub(crate) budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    /// Requests that wait for capacity at an upstream, by service.
    pub(crate) waiting: RefCell<HashMap<ServiceName, WaitQueue<oneshot::Sender<()>>>>,
    /// Availability zones that are unreachable from this node.
    pub(crate) zone_reachability: RefCell<ZoneReachability>,
    /// How this node reaches the upstreams.
    pub(crate) contact: Rc<Contact>,
    /// The other entry nodes.
    pub(crate) peers: EntryPeers,
    /// Notified whenever a request is no longer in flight at its upstream.
    pub(crate) request_ended: Rc<Notify>,
    /// Parts whose saving this node requested recently, and when.
    pub(crate) recent_saves: RefCell<HashMap<u64, Instant>>,
    /// Fetches to skip per store, since earlier ones were late.
    pub(crate) fetch_backoff: RefCell<FetchBackoff>,
    /// This node's fetches in progress.
    pub(crate) link_bookings: RefCell<LinkBookings>,
    /// This node's share of the free slots while they are scarce, by service.
    pub(crate) slot_shares: RefCell<HashMap<ServiceName, SlotShare>>,
    /// The highest recent number of entry nodes, and when it was seen.
    pub(crate) entry_node_peak: Cell<(u32, Instant)>,
    started: Instant,
}

/// Wraps the header codec for `Debug`.
pub(crate) struct SharedCodec(pub(crate) Arc<dyn HeaderCodec>);

impl std::fmt::Debug for SharedCodec {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SharedCodec")
    }
}

impl Gateway {
    /// Starts without a configuration; `upstreams` is normally still empty. On `peer_port` entry nodes take requests of
    /// each other.
    pub fn new(
        header_codec: Arc<dyn HeaderCodec>,
        cluster: ClusterHandle,
        bounds: Bounds,
        upstreams: Upstreams,
        peer_port: Option<u16>,
        metrics: GatewayMetrics,
    ) -> Self {
        let contact = Rc::new(Contact::default());
        Self {
            header_codec: SharedCodec(header_codec),
            cluster,
            bounds,
            routing: RoutingState::default(),
            upstreams,
            pool: Pool::new(metrics.connections_opened.clone(), Some(Rc::clone(&contact))),
            peers: EntryPeers::new(peer_port, &metrics, contact.peers_flag()),
            contact,
            metrics,
            budgets: RefCell::default(),
            waiting: RefCell::default(),
            zone_reachability: RefCell::default(),
            request_ended: Rc::default(),
            recent_saves: RefCell::default(),
            fetch_backoff: RefCell::default(),
            link_bookings: RefCell::default(),
            slot_shares: RefCell::default(),
            entry_node_peak: Cell::new((0, Instant::now())),
            started: Instant::now(),
        }
    }

    /// Finds the route and the customer of a request; routes that need no key have no customer.
    ///
    /// # Errors
    /// Refuses requests that the configuration does not allow, and those for which it is too old to decide.
    pub fn admit(
        &self,
        table: &RoutingTable,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(Arc<Route>, Option<Arc<Customer>>), Refusal> {
        let fresh = self.is_fresh();
        let stale = || {
            let age_ms = self.cluster.config_age().map(|age| age.as_millis());
            let reason = format!("configuration of age {age_ms:?} ms is too old to decide");
            Refusal::not_run(ResultCode::NoQuorum, reason, STALE_RETRY_MS)
        };
        let Some(route) = table.route(host, path) else {
            // A newer configuration may contain the route.
            let unknown = Refusal::new(ResultCode::RouteUnknown, format!("version {}", table.version()));
            return Err(if fresh { unknown } else { stale() });
        };
        if route.public || !table.needs_keys() {
            return Ok((Arc::clone(route), None));
        }
        if !fresh {
            return Err(stale());
        }
        let Some(key) = key else { return Err(Refusal::new(ResultCode::TokenMissing, "no key")) };
        let Some(customer) = table.customer(key) else {
            return Err(Refusal::new(ResultCode::TokenUnknown, format!("version {}", table.version())));
        };
        Ok((Arc::clone(route), Some(Arc::clone(customer))))
    }

    /// Returns whether this node's configuration is recent enough to accept a key.
    pub fn is_fresh(&self) -> bool {
        self.cluster.config_age().is_some_and(|age| age < self.bounds.max_config_age)
    }

    /// Sends a request until an upstream responds or no further attempt is allowed; first to `place`, if that was taken
    /// for it. A stream resumes after the event `resume_after`.
    pub(crate) async fn send(
        self: &Rc<Self>,
        request: &Rc<CallerRequest>,
        history: &mut AttemptHistory,
        place: Option<Box<ChosenUpstream>>,
        resume_after: Option<&str>,
    ) -> Result<UpstreamResponse, Refusal> {
        let mut next_place = place;
        let mut last_error = None;
        loop {
            let chosen = match next_place.take() {
                Some(chosen) => chosen,
                None => self.wait_for_place(request, history, last_error).await?,
            };
            let failed = match self.try_once(request, history, &chosen, resume_after).await {
                Ok(response) => return Ok(response),
                Err(failed) => failed,
            };
            self.record_failure(request, history, &chosen, failed.error);
            last_error = Some(failed.error);
            next_place = failed.next_place;
            if let Some(refusal) = self.final_refusal(request, history, failed.error) {
                return Err(refusal);
            }
        }
    }

    /// Chooses an upstream for the next attempt; waits for capacity if that helps.
    async fn wait_for_place(
        &self,
        request: &CallerRequest,
        history: &mut AttemptHistory,
        last_error: Option<AttemptError>,
    ) -> Result<Box<ChosenUpstream>, Refusal> {
        loop {
            if let Some(refusal) = self.block_refusal(request, history) {
                return Err(refusal);
            }
            if self.passes_on(request) && self.contact.reach() == Reach::CutOff {
                return Err(self.no_upstream_refusal(history, last_error));
            }
            let chosen = match self.place(request, history) {
                Placement::At(chosen) => chosen,
                Placement::NoCapacity if self.passes_on(request) => {
                    return Err(self.no_capacity_refusal(request, history));
                }
                Placement::NoCapacity if self.wait_for_capacity(request, history).await => continue,
                Placement::NoCapacity => return Err(self.no_capacity_refusal(request, history)),
                Placement::RateLimited(wait) if self.wait_for_rate_limit(request, history, wait).await => {
                    continue;
                }
                Placement::RateLimited(wait) => return Err(rate_limit_refusal(request, history, wait)),
                Placement::NoneAccepting if self.wait_for_first_list(request).await => continue,
                Placement::NoneAccepting => return Err(self.no_upstream_refusal(history, last_error)),
            };
            if history.sends.is_retry() && !self.try_take_retry(&request.service) {
                return Err(retry_budget_refusal(history));
            }
            // Checked again right before each send, since the process may have been suspended after admission.
            if request.customer.is_some() && !self.is_fresh() {
                let reason = "configuration went stale before the request was sent";
                return Err(history.refusal(ResultCode::NoQuorum, reason, STALE_RETRY_MS));
            }
            return Ok(chosen);
        }
    }

    /// Makes one attempt. A successful response without the proof of origin counts as broken. An attempt whose upstream is
    /// silent for too long ends only once a place at another one was taken.
    pub(crate) async fn try_once(
        self: &Rc<Self>,
        request: &Rc<CallerRequest>,
        history: &mut AttemptHistory,
        chosen: &ChosenUpstream,
        resume_after: Option<&str>,
    ) -> Result<UpstreamResponse, FailedAttempt> {
        history.is_attempt_open = true;
        if history.sends.begin() {
            self.with_budget(&request.service, RetryBudget::record_first_send);
        }
        let left = request.time_left();
        let headers = AttemptHeaders {
            deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            upstream: &chosen.upstream.entry.id,
            customer: request.customer.as_ref().map(|customer| &customer.name),
            cache_scope: chosen.scope.as_deref(),
            weight_version: chosen.version,
            urgency: chosen.scope.as_ref().map(|_| urgency(request, history)),
            resume_after,
            transfers: chosen.transfers.as_ref(),
        };
        let outgoing = OutgoingRequest {
            method: &request.method,
            request_id: request.headers.request_id.as_deref(),
            head: &request.head,
            body: &request.body,
            at_most_once: request.at_most_once(),
            pending_prefill_tokens: chosen.pending_prefill_tokens,
            tokens: request.tokens(),
            max_connections: self.max_connections(&request.service),
            silence_limit: self.silence_limit(request, history, left),
            head_timeout: left.min(self.time_on_weights(chosen)),
            entry_nodes: self.peak_entry_nodes(),
        };
        let started = Instant::now();
        let header_codec = self.header_codec.0.as_ref();
        let mut next_place = None;
        let mut leave = || {
            next_place = self.next_place(request, &history.after_leaving(&chosen.upstream.entry.id));
            next_place.is_some()
        };
        let upstream = AttemptTarget { upstream: &chosen.upstream, ended: &self.request_ended };
        let result = attempt(&self.pool, header_codec, upstream, &headers, &outgoing, &mut leave).await;
        if let Some(transfers) = &chosen.transfers {
            self.release_links(transfers);
        }
        let is_forged = |response: &UpstreamResponse| response.head.status.is_success() && !response.sealed;
        let outcome = match &result {
            Ok(response) if is_forged(response) => "unsealed",
            Ok(_) => "answered",
            Err(error) => error.name(),
        };
        self.metrics.record_attempt(outcome);
        if result.is_err() {
            tracing::info!(
                event = "attempt_failed",
                request_id = request.headers.request_id.as_deref(),
                upstream = chosen.upstream.entry.id.as_str(),
                outcome,
                after_ms = millis(started.elapsed()),
                estimate_ms = chosen.estimate_ms,
                candidates = chosen.candidates,
                in_flight = chosen.upstream.in_flight(),
                board_age_ms = self.cluster.published_upstreams_age().map(|age| age.as_millis()),
            );
        }
        let next_place = next_place.and_then(NextPlace::upstream);
        let mut response = result.map_err(|error| FailedAttempt { error, next_place })?;
        if let Some(transfers) = &chosen.transfers {
            self.record_fetch(request, chosen, transfers);
            tracing::info!(
                event = "prompt",
                request_id = request.headers.request_id.as_deref(),
                version = chosen.version.map(|version| version.0),
                target_version = chosen.target.map(|target| target.0),
                outdated_ms = chosen.outdated.and_then(|outdated| outdated.age).map(millis),
                shared_tokens = chosen.prefix.map(|(_, tokens)| tokens),
                cached_tokens = chosen.cached_tokens,
                fetched_tokens = transfers.fetched_tokens(),
                saved_parts = transfers.save.iter().flatten().count(),
                left_out_parts = transfers.skipped_parts,
                fetch_ms = chosen.fetch_ms,
                took_ms = millis(started.elapsed()),
                index = self.cluster.upstream_clock_ms().is_some(),
            );
        }
        self.record_response(request, chosen, &response, started.elapsed());
        response.in_flight.finish_prefill();
        if is_forged(&response) {
            return Err(FailedAttempt { error: AttemptError::Broken, next_place: None });
        }
        Ok(response)
    }

    /// Returns the time after which a request leaves an upstream that has not sent the head of its response, and then the
    /// time for a body that is buffered, if another one can take it. Only an attempt that may be retried has one that ends
    /// before the request's deadline.
    pub(crate) fn silence_limit(
        &self,
        request: &CallerRequest,
        history: &AttemptHistory,
        left: Duration,
    ) -> Duration {
        let may_retry = !request.at_most_once() && history.may_have_run + 1 < request.route.max_attempts;
        if !may_retry {
            return left;
        }
        let goal_ms = request.route.goal_ms as f64;
        let limit_ms = if request.headers.prompt.is_some() {
            goal_ms * PROMPT_SILENCE_GOALS
        } else {
            let mean_ms = self.upstreams.speeds(&request.service).request_ms.get();
            (goal_ms * SILENCE_GOAL_SHARE).max(mean_ms * SILENCE_MEAN_FACTOR)
        };
        left.min(Duration::from_secs_f64(limit_ms / 1_000.0))
    }

    /// Returns the milliseconds since this node started.
    pub(crate) fn now_ms(&self) -> u64 {
        millis(self.started.elapsed())
    }

    /// Counts a stream that ended, and logs it unless it is complete.
    pub(crate) fn record_stream_end(&self, request: &CallerRequest, outcome: &'static str, bytes: u64) {
        self.metrics.in_flight.dec();
        self.metrics.record_result(if outcome == "complete" { "relayed" } else { "stream_broken" });
        self.metrics.record_stream_end(outcome);
        if outcome == "complete" {
            return;
        }
        tracing::info!(
            event = "stream_ended",
            request_id = request.headers.request_id.as_deref(),
            outcome,
            bytes,
            after_ms = millis(request.arrived.elapsed()),
        );
    }
}
