//! Forwards a request: chooses an upstream, sends, and decides what a failure allows.

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
    result_code::ResultCode,
    retry_budget::RetryBudget,
    routing::{Customer, Route, RoutingTable},
    slot_share::SlotShare,
    wait_queue::WaitQueue,
    zone_reachability::ZoneReachability,
};
use tokio::{
    sync::{Notify, oneshot},
    time::Instant,
};

use crate::{
    caller_request::{Call, Progress, urgency},
    config::Bounds,
    duration::millis,
    exchange::{Answer, AttemptError, Outgoing, attempt},
    header_codec::{AttemptTerms, Dialect},
    metrics::GatewayMetrics,
    node_share::out_of_budget,
    placement::{Chosen, Placement},
    pool::Pool,
    refusal::Refusal,
    routing_state::RoutingState,
    upstreams::Upstreams,
};

/// Upstreams that may refuse one request before it is refused.
const MAX_REFUSALS: u32 = 2;
/// Upstreams that may be unreachable for one request before it is refused.
const MAX_UNREACHABLE: u32 = 4;
/// Crashes after which a request is not sent any more.
const CRASHES_TO_BLOCK: u32 = 3;
/// Time after which a caller may come back where no upstream takes work.
const NO_UPSTREAM_RETRY_MS: u64 = 400;
/// Time after which a caller may come back where all upstreams refused.
pub(crate) const BUSY_RETRY_MS: u64 = 250;
/// Time after which a caller may come back to a node that has lost touch with the control nodes.
const STALE_RETRY_MS: u64 = 600;
/// An attempt at an idempotent request is given up after this share of its goal, or this many times what
/// requests take, whichever is longer.
const ATTEMPT_GOAL_SHARE: f64 = 0.6;
const ATTEMPT_TIMES_MEAN: f64 = 5.0;
/// The same for prompts, in goals. What an engine has read by then would be read again elsewhere.
const PROMPT_ATTEMPT_GOALS: f64 = 3.0;

/// Everything that requests on this node share.
#[derive(Debug)]
pub struct Gateway {
    /// Translates headers.
    pub(crate) dialect: DialectRef,
    /// This node's part of the cluster.
    pub cluster: ClusterHandle,
    /// The bounds of the deployment.
    pub bounds: Bounds,
    /// The routing table in force.
    pub routing: RoutingState,
    /// The upstreams.
    pub upstreams: Upstreams,
    /// Connections.
    pub pool: Pool,
    /// Counters.
    pub metrics: GatewayMetrics,
    pub(crate) budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    pub(crate) waiting: RefCell<HashMap<ServiceName, WaitQueue<oneshot::Sender<()>>>>,
    /// Zones out of reach.
    pub(crate) zones: RefCell<ZoneReachability>,
    /// Told when a request has ended at its upstream.
    pub(crate) released: Rc<Notify>,
    /// Parts that this node had saved lately, and when.
    pub(crate) saving: RefCell<HashMap<u64, Instant>>,
    /// Fetches that are left out.
    pub(crate) fetch_backoff: RefCell<FetchBackoff>,
    /// This node's part of scarce places, by service.
    pub(crate) slot_shares: RefCell<HashMap<ServiceName, SlotShare>>,
    /// The most entry nodes that were known lately, and when.
    pub(crate) node_peak: Cell<(u32, Instant)>,
    started: Instant,
}

/// A shared dialect.
pub(crate) struct DialectRef(pub(crate) Arc<dyn Dialect>);

impl std::fmt::Debug for DialectRef {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Dialect")
    }
}

impl Gateway {
    /// Starts without upstreams and configuration.
    pub fn new(
        dialect: Arc<dyn Dialect>,
        cluster: ClusterHandle,
        bounds: Bounds,
        upstreams: Upstreams,
        metrics: GatewayMetrics,
    ) -> Self {
        Self {
            dialect: DialectRef(dialect),
            cluster,
            bounds,
            routing: RoutingState::default(),
            upstreams,
            pool: Pool::new(metrics.clone()),
            metrics,
            budgets: RefCell::default(),
            waiting: RefCell::default(),
            zones: RefCell::default(),
            released: Rc::default(),
            saving: RefCell::default(),
            fetch_backoff: RefCell::default(),
            slot_shares: RefCell::default(),
            node_peak: Cell::new((0, Instant::now())),
            started: Instant::now(),
        }
    }

    /// Finds the route and the customer of a request.
    ///
    /// # Errors
    /// Refuses requests that the configuration does not allow, and those that this node cannot judge.
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
            let reason = format!("configuration of age {age_ms:?} ms does not prove the key");
            Refusal::not_run(ResultCode::NoQuorum, reason, STALE_RETRY_MS)
        };
        let Some(route) = table.route(host, path) else {
            // A newer configuration that this node has not seen may have the route.
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

    /// Returns whether this node's configuration is young enough to prove that a key is valid.
    pub fn is_fresh(&self) -> bool {
        self.cluster.config_age().is_some_and(|age| age < self.bounds.key_freshness)
    }

    /// Sends a request until it has an answer or nothing more may be tried.
    pub(crate) async fn send(
        self: &Rc<Self>,
        call: &Rc<Call>,
        progress: &mut Progress,
        resume_after: Option<&str>,
    ) -> Result<Answer, Refusal> {
        if self.crashes_of(call.fingerprint) >= CRASHES_TO_BLOCK {
            let reason = format!("crashed {} upstreams", self.crashes_of(call.fingerprint));
            return Err(Refusal::not_run(ResultCode::RequestBlocked, reason, NO_UPSTREAM_RETRY_MS));
        }
        let mut last_error = None;
        loop {
            let chosen = match self.place(call, progress) {
                Placement::At(chosen) => chosen,
                Placement::NoRoom if self.wait_for_room(call, progress).await => continue,
                Placement::NoRoom => return Err(self.no_room(call, progress)),
                Placement::Nowhere => return Err(self.out_of_upstreams(progress, last_error)),
            };
            if progress.sends.is_retry() && !self.take_repeat(&call.service) {
                return Err(out_of_budget(progress));
            }
            // Asked again right before each send: the process may have been suspended since it was admitted.
            if call.customer.is_some() && !self.is_fresh() && progress.may_have_run == 0 {
                let reason = "configuration went stale before the request was sent";
                return Err(Refusal::not_run(ResultCode::NoQuorum, reason, STALE_RETRY_MS));
            }
            let error = match self.try_once(call, progress, &chosen, resume_after).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            self.note_error(call, progress, &chosen, error);
            last_error = Some(error);
            if let Some(refusal) = self.stop_reason(call, progress, error) {
                return Err(refusal);
            }
        }
    }

    async fn try_once(
        self: &Rc<Self>,
        call: &Rc<Call>,
        progress: &mut Progress,
        chosen: &Chosen,
        resume_after: Option<&str>,
    ) -> Result<Answer, AttemptError> {
        if progress.sends.begin() {
            self.with_budget(&call.service, RetryBudget::record_first_send);
        }
        let left = call.time_left();
        let limit = self.attempt_limit(call, progress, left);
        let terms = AttemptTerms {
            deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            upstream: &chosen.upstream.entry.id,
            customer: call.customer.as_ref().map(|customer| &customer.name),
            cache_scope: chosen.scope.as_deref(),
            weight_version: chosen.version,
            urgency: chosen.scope.as_ref().map(|_| urgency(call)),
            resume_after,
            transfers: chosen.transfers.as_ref(),
        };
        let outgoing = Outgoing {
            method: &call.method,
            request_id: call.headers.request_id.as_deref(),
            head: &call.head,
            body: &call.body,
            runs_once: call.runs_once(),
            pending_prefill_tokens: chosen.pending_prefill_tokens,
            tokens: call.tokens(),
            max_connections: self.max_connections(&call.service),
            limit,
        };
        let started = Instant::now();
        let dialect = self.dialect.0.as_ref();
        let result = attempt(&self.pool, dialect, &chosen.upstream, &terms, &outgoing, &self.released).await;
        let outcome = result.as_ref().map_or_else(|error| error.name(), |_| "answered");
        self.metrics.attempted(outcome);
        if result.is_err() {
            tracing::info!(
                event = "attempt_failed",
                request_id = call.headers.request_id.as_deref(),
                upstream = chosen.upstream.entry.id.as_str(),
                outcome,
                after_ms = millis(started.elapsed()),
                estimate_ms = chosen.estimate_ms,
                candidates = chosen.candidates,
                in_flight = chosen.upstream.in_flight(),
                board_age_ms = self.cluster.published_upstreams_age().map(|age| age.as_millis()),
            );
        }
        let mut answer = result?;
        if let Some(transfers) = &chosen.transfers {
            self.note_fetch(transfers, chosen.estimate_ms - chosen.fetch_ms);
            tracing::info!(
                event = "prompt",
                request_id = call.headers.request_id.as_deref(),
                shared_tokens = chosen.session.map(|(_, tokens)| tokens),
                cached_tokens = chosen.cached_tokens,
                fetched_tokens = transfers.fetched_tokens(),
                saved_parts = transfers.save.iter().flatten().count(),
                left_out_parts = transfers.left_out_parts,
                fetch_ms = chosen.fetch_ms,
                took_ms = millis(started.elapsed()),
                index = self.cluster.upstream_clock_ms().is_some(),
            );
        }
        self.note_answer(call, chosen, &answer, started.elapsed());
        answer.in_flight.prompt_was_read();
        if answer.head.status.is_success() && !answer.sealed {
            self.metrics.attempted("unsealed");
            return Err(AttemptError::Broken);
        }
        Ok(answer)
    }

    /// Returns how long one attempt may take. Only a request that may be repeated is given up early.
    fn attempt_limit(&self, call: &Call, progress: &Progress, left: Duration) -> Duration {
        let may_repeat = !call.runs_once() && progress.may_have_run + 1 < call.route.max_attempts;
        if !may_repeat {
            return left;
        }
        let goal_ms = call.route.goal_ms as f64;
        let limit_ms = if call.headers.prompt.is_some() {
            goal_ms * PROMPT_ATTEMPT_GOALS
        } else {
            let mean_ms = self.upstreams.speeds(&call.service).request_ms.get();
            (goal_ms * ATTEMPT_GOAL_SHARE).max(mean_ms * ATTEMPT_TIMES_MEAN)
        };
        left.min(Duration::from_secs_f64(limit_ms / 1_000.0))
    }

    /// Returns why nothing more is tried, if so.
    fn stop_reason(&self, call: &Call, progress: &Progress, error: AttemptError) -> Option<Refusal> {
        if call.time_left() == Duration::ZERO {
            return Some(deadline_refusal(progress));
        }
        if !error.has_not_run() {
            let exhausted = progress.may_have_run >= call.route.max_attempts;
            if call.runs_once() || exhausted {
                return Some(Refusal::new(ResultCode::UpstreamFailed, error.name()));
            }
        }
        let refused = progress.refusals > MAX_REFUSALS || progress.unreachable > MAX_UNREACHABLE;
        refused.then(|| self.out_of_upstreams(progress, Some(error)))
    }

    fn out_of_upstreams(&self, progress: &Progress, last_error: Option<AttemptError>) -> Refusal {
        if progress.may_have_run > 0 {
            return Refusal::new(ResultCode::UpstreamFailed, "no other upstream is left");
        }
        let age_ms = self.cluster.published_upstreams_age().map(|age| age.as_millis());
        let last = last_error.map_or("none", AttemptError::name);
        let reason = format!("no upstream takes work; list of age {age_ms:?} ms; last error {last}");
        if progress.refusals > 0 {
            return Refusal::not_run(ResultCode::UpstreamRefused, reason, BUSY_RETRY_MS);
        }
        Refusal::not_run(ResultCode::NoUpstream, reason, NO_UPSTREAM_RETRY_MS)
    }

    pub(crate) fn now_ms(&self) -> u64 {
        millis(self.started.elapsed())
    }

    fn crashes_of(&self, fingerprint: u64) -> u32 {
        self.cluster.published_upstreams().borrow().crash_counts.get(&fingerprint).copied().unwrap_or(0)
    }

    /// Logs the end of a stream.
    pub(crate) fn stream_ended(&self, call: &Call, outcome: &'static str, bytes: u64) {
        self.metrics.in_flight.dec();
        self.metrics.finished(if outcome == "complete" { "relayed" } else { "stream_broken" });
        if outcome == "complete" {
            return;
        }
        tracing::info!(
            event = "stream_ended",
            request_id = call.headers.request_id.as_deref(),
            outcome,
            bytes,
            after_ms = millis(call.arrived.elapsed()),
        );
    }
}

/// Returns the refusal of a request whose time is over.
pub(crate) fn deadline_refusal(progress: &Progress) -> Refusal {
    if progress.may_have_run > 0 {
        return Refusal::new(ResultCode::DeadlineExceeded, "the time of the request is over");
    }
    Refusal::not_run(ResultCode::DeadlineUnreachable, "the time ended before a send", BUSY_RETRY_MS)
}
