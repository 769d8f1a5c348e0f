//! Forwards a request: chooses an upstream, sends, and decides what a failure allows.

use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use actix_web::http::header::HeaderMap;
use bytes::{Bytes, BytesMut};
use daisysill_cluster::ClusterHandle;
use daisysill_core::{
    ids::{InstanceId, ServiceName, WeightVersion},
    placement::{Candidate, Choice, Need, choose},
    repeat_budget::RepeatBudget,
    result_code::ResultCode,
    routing::{CallKind, Customer, EngineSpec, Route, RoutingTable, ServiceSpec},
    wait_queue::WaitQueue,
};
use daisysill_wire::peer::CrashSighting;
use tokio::{
    sync::{Notify, oneshot},
    time::{Instant, sleep, timeout_at},
};

use crate::{
    config::Bounds,
    connection::UpstreamConnection,
    dialect::{AttemptTerms, CallHeaders, Dialect, Transfers},
    exchange::{Answer, AttemptError, Outgoing, attempt},
    metrics::GatewayMetrics,
    pool::Pool,
    refusal::Refusal,
    routing_state::{RoutingState, StoreRef},
    store_keeper::{FETCH_LIMIT, INDEX_LIMIT, part_hash},
    upstreams::{SessionKey, Upstream, Upstreams, stable_hash},
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
const BUSY_RETRY_MS: u64 = 250;
/// Time after which a caller may come back to a node that has lost touch with the control nodes.
const STALE_RETRY_MS: u64 = 600;
/// Time until a broken connection is checked for a crash of its upstream, and for the check itself.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(150);
const CRASH_CHECK_LIMIT: Duration = Duration::from_millis(300);
/// A share of the configured connections that is left to other callers.
const CONNECTION_SHARE: f64 = 0.9;
/// An attempt at an idempotent request is given up after this share of its goal, or this many times what
/// requests take, whichever is longer.
const ATTEMPT_GOAL_SHARE: f64 = 0.6;
const ATTEMPT_TIMES_MEAN: f64 = 5.0;
/// The same for prompts, in goals. What an engine has read by then would be read again elsewhere.
const PROMPT_ATTEMPT_GOALS: f64 = 3.0;
/// Until this long after new weights were named, upstreams with older ones are as good as others.
const OLD_WEIGHTS_GRACE: Duration = Duration::from_millis(1_000);
/// Added to the estimate of an upstream with old weights after that.
const OLD_WEIGHTS_PENALTY: f64 = 3.0;
/// Upstreams with old weights get no new request from this long before the limit on.
const OLD_WEIGHTS_MARGIN: Duration = Duration::from_millis(1_500);
/// Samples of the reading speed are taken from prompts of this size on.
const SPEED_SAMPLE_TOKENS: u64 = 1_500;
/// A request waits for room until this share of its goal has passed; later its answer would be late.
const WAIT_GOAL_SHARE: f64 = 0.5;
/// Requests at one engine may take this share of its memory; beyond it the engine puts requests back and reads
/// them again.
const MEMORY_SHARE: f64 = 0.9;
/// A fetch is given up after this time, so many times what it takes on an idle link, and so many times the estimate of
/// the wait at the engine: its time runs while the request waits, and a prompt whose fetch was given up is read and
/// adds load where there is too much.
const FETCH_BASE_MS: f64 = 80.0;
const FETCH_TIMES: f64 = 3.0;
const FETCH_WAITS: f64 = 2.0;
/// No fetch is worth more than this many goals.
const FETCH_GOALS: f64 = 2.5;
/// A part that is being saved is not saved again for this time.
const SAVE_TIME: Duration = Duration::from_secs(4);
/// Parts being saved that are remembered before the old ones are dropped.
const MAX_SAVING: usize = 4_096;
/// Ranks of routes that are told apart within one rank of customers, whose rank goes first.
const ROUTE_RANKS: u8 = 3;
/// The rank of a customer that has none.
const USUAL_CUSTOMER_RANK: u8 = 1;
/// Urgency of the least urgent routes; the field has one digit.
const LEAST_URGENT: u8 = 9;

/// A request as it arrived.
#[derive(Debug)]
pub struct Call {
    /// What its headers say.
    pub headers: CallHeaders,
    /// The method.
    pub method: String,
    /// Request line and headers to pass on, without the empty line.
    pub head: Vec<u8>,
    /// The body.
    pub body: Bytes,
    /// The route.
    pub route: Arc<Route>,
    /// The service chosen for it.
    pub service: ServiceName,
    /// The customer, where the route needs a key.
    pub customer: Option<Arc<Customer>>,
    /// Identifies equal requests across callers' tries and nodes.
    pub fingerprint: u64,
    /// When it arrived.
    pub arrived: Instant,
    /// When its final answer is due.
    pub deadline: Instant,
}

impl Call {
    /// Returns the time left.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn runs_once(&self) -> bool {
        matches!(self.route.kind, CallKind::AtMostOnce | CallKind::Stream { resumable: false })
    }

    /// Returns the tokens that the request takes at its upstream at most; 0 for a plain call.
    fn tokens(&self) -> u64 {
        self.headers.prompt.as_ref().map_or(0, |prompt| prompt.prompt_tokens + prompt.max_output_tokens)
    }

    fn session(&self, scope: &str) -> Option<(SessionKey, u64)> {
        let parts = &self.headers.prompt.as_ref()?.parts;
        let (_, shared) = parts.split_last()?;
        let ids: Vec<&str> = shared.iter().map(|part| part.id.as_str()).collect();
        let tokens = shared.iter().map(|part| part.tokens).sum();
        (tokens > 0).then(|| (SessionKey::of(scope, &ids), tokens))
    }
}

/// What has been tried for a call.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Upstreams that are not tried again.
    pub(crate) tried: Vec<InstanceId>,
    /// Upstreams that may have run the request.
    pub(crate) may_have_run: u32,
    sent: u32,
    refusals: u32,
    unreachable: u32,
}

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
    budgets: RefCell<HashMap<ServiceName, RepeatBudget>>,
    waiting: RefCell<HashMap<ServiceName, WaitQueue<oneshot::Sender<()>>>>,
    /// Told when a request has ended at its upstream.
    pub(crate) released: Rc<Notify>,
    /// Parts that this node had saved lately, and when.
    saving: RefCell<HashMap<u64, Instant>>,
    started: Instant,
}

/// A shared dialect.
pub(crate) struct DialectRef(pub(crate) Arc<dyn Dialect>);

impl std::fmt::Debug for DialectRef {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Dialect")
    }
}

/// An upstream chosen for an attempt.
struct Chosen {
    upstream: Rc<Upstream>,
    version: Option<WeightVersion>,
    scope: Option<String>,
    session: Option<(SessionKey, u64)>,
    unread_tokens: u64,
    estimate_ms: f64,
    candidates: usize,
    transfers: Option<Transfers>,
    cached_tokens: u64,
    fetch_ms: f64,
}

/// Where a shared part of a prompt lies, or is to be saved.
struct PartPlace {
    hash: u64,
    tokens: u64,
    store: Option<StoreRef>,
    is_stored: bool,
}

/// The shared parts of a prompt.
#[derive(Default)]
struct StoredParts {
    places: Vec<PartPlace>,
}

impl StoredParts {
    fn fetched(&self) -> impl Iterator<Item = &PartPlace> {
        self.places.iter().filter(|place| place.is_stored)
    }

    fn tokens(&self) -> u64 {
        self.fetched().map(|place| place.tokens).sum()
    }

    /// Returns whether the store of the largest part is in the upstream's availability zone.
    fn is_near(&self, upstream: &Upstream) -> bool {
        let largest = self.places.iter().max_by_key(|place| place.tokens);
        let store = largest.and_then(|place| place.store.as_ref());
        store.is_some_and(|store| store.zone == upstream.entry.zone)
    }

    /// Estimates how long the upstream takes to fetch the stored parts, one after another.
    fn fetch_ms(&self, upstream: &Upstream, engine: Option<&EngineSpec>) -> f64 {
        /// Transfers between availability zones take this many times as long.
        const BETWEEN_ZONES: f64 = 2.0;
        let Some(engine) = engine else { return 0.0 };
        let part_ms = |place: &PartPlace| {
            let Some(store) = &place.store else { return 0.0 };
            let link = store.link_mbit_per_s.min(engine.link_mbit_per_s).max(1) as f64;
            let bits = place.tokens as f64 * engine.token_bytes as f64 * 8.0;
            let factor = if store.zone == upstream.entry.zone { 1.0 } else { BETWEEN_ZONES };
            factor * bits / (link * 1_000.0)
        };
        self.fetched().map(part_ms).sum()
    }
}

/// Whether an upstream can take a request now.
enum Placement {
    At(Box<Chosen>),
    /// Upstreams take work, but none has room.
    NoRoom,
    /// No upstream takes work.
    Nowhere,
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
            released: Rc::default(),
            saving: RefCell::default(),
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
                Placement::NoRoom if self.wait_for_room(call).await => continue,
                Placement::NoRoom => return Err(self.no_room(call, progress)),
                Placement::Nowhere => return Err(self.out_of_upstreams(progress, last_error)),
            };
            if progress.sent > 0 && !self.take_repeat(&call.service) {
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
        if progress.sent == 0 {
            self.with_budget(&call.service, RepeatBudget::first_sent);
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
            unread_tokens: chosen.unread_tokens,
            tokens: call.tokens(),
        };
        let started = Instant::now();
        progress.sent += 1;
        let most = self.max_connections(&call.service);
        let dialect = self.dialect.0.as_ref();
        let result =
            attempt(&self.pool, dialect, &chosen.upstream, most, &terms, &outgoing, limit, &self.released)
                .await;
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
                board_age_ms = self.cluster.board_age().map(|age| age.as_millis()),
            );
        }
        let mut answer = result?;
        if let Some(transfers) = &chosen.transfers {
            tracing::info!(
                event = "prompt",
                request_id = call.headers.request_id.as_deref(),
                shared_tokens = chosen.session.map(|(_, tokens)| tokens),
                cached_tokens = chosen.cached_tokens,
                fetched_tokens = transfers.fetched_tokens(),
                saved_parts = transfers.save.iter().flatten().count(),
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

    fn note_answer(&self, call: &Call, chosen: &Chosen, answer: &Answer, took: Duration) {
        let upstream = &chosen.upstream;
        let model = call.headers.prompt.as_ref().map(|prompt| prompt.model.as_str());
        if let (Some(model), Some(version)) = (model, answer.weight_version) {
            upstream.learn_version(model, version);
        }
        if !answer.head.status.is_success() {
            upstream.failed();
            return;
        }
        if chosen.unread_tokens >= SPEED_SAMPLE_TOKENS && upstream.in_flight() <= 2 {
            self.upstreams.speeds(&call.service).read(chosen.unread_tokens, took);
        }
        if let Some((session, tokens)) = chosen.session {
            let memory_tokens = self.engine(&call.service).map_or(0, |engine| engine.memory_tokens);
            upstream.remember_session(session, tokens, memory_tokens);
        }
    }

    fn note_error(&self, call: &Rc<Call>, progress: &mut Progress, chosen: &Chosen, error: AttemptError) {
        let upstream = &chosen.upstream;
        // What never left this node is no repeat at the service.
        progress.sent -= u32::from(!error.was_sent());
        match error {
            AttemptError::NotSent => {
                progress.unreachable += 1;
                upstream.unreachable();
            }
            AttemptError::NoConnectionLeft => progress.unreachable += 1,
            AttemptError::Refused => {
                progress.refusals += 1;
                upstream.failed();
            }
            AttemptError::Misdirected => {
                progress.refusals += 1;
                self.note_misdirected(call, chosen);
            }
            AttemptError::Broken => {
                progress.may_have_run += 1;
                upstream.failed();
                self.check_for_crash(call, upstream);
            }
            AttemptError::TimedOut => {
                progress.may_have_run += 1;
                upstream.failed();
            }
        }
        progress.tried.push(upstream.entry.id.clone());
    }

    /// Another upstream answers there, or the upstream has the weights that were named last.
    fn note_misdirected(&self, call: &Call, chosen: &Chosen) {
        let model = call.headers.prompt.as_ref().map(|prompt| prompt.model.as_str());
        let named = model.and_then(|model| self.routing.named_version(model));
        match (model, named, chosen.version) {
            (Some(model), Some(named), Some(sent)) if sent < named.version => {
                chosen.upstream.learn_version(model, named.version);
            }
            _ => chosen.upstream.set_gone(),
        }
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
        let age_ms = self.cluster.board_age().map(|age| age.as_millis());
        let last = last_error.map_or("none", AttemptError::name);
        let reason = format!("no upstream takes work; list of age {age_ms:?} ms; last error {last}");
        if progress.refusals > 0 {
            return Refusal::not_run(ResultCode::UpstreamRefused, reason, BUSY_RETRY_MS);
        }
        Refusal::not_run(ResultCode::NoUpstream, reason, NO_UPSTREAM_RETRY_MS)
    }

    /// Waits until a request ends at an upstream of the service; `false` if the wait would make the answer late.
    async fn wait_for_room(&self, call: &Call) -> bool {
        let goal = Duration::from_millis(call.route.goal_ms);
        let latest = call.arrived + goal.mul_f64(WAIT_GOAL_SHARE);
        if Instant::now() >= latest || call.time_left() == Duration::ZERO {
            return false;
        }
        let (wake, woken) = oneshot::channel();
        let now_ms = self.now_ms();
        let due_ms = now_ms + millis(latest.saturating_duration_since(Instant::now()));
        let queued = |act: &mut dyn FnMut(&mut WaitQueue<oneshot::Sender<()>>)| {
            act(self.waiting.borrow_mut().entry(call.service.clone()).or_default());
        };
        let mut turn = None;
        let mut wake = Some(wake);
        queued(&mut |queue| {
            turn = wake.take().map(|wake| queue.push(urgency(call), due_ms, now_ms, wake));
        });
        let woken = timeout_at(latest, woken).await.is_ok();
        if let Some(turn) = turn {
            queued(&mut |queue| queue.remove(&turn));
        }
        woken
    }

    /// Wakes requests that wait: the first of each service, since one place is free.
    pub(crate) fn wake_waiting(&self) {
        for queue in self.waiting.borrow_mut().values_mut() {
            while let Some(wake) = queue.pop() {
                if wake.send(()).is_ok() {
                    break;
                }
            }
        }
    }

    fn no_room(&self, call: &Call, progress: &Progress) -> Refusal {
        if progress.may_have_run > 0 {
            return Refusal::new(ResultCode::UpstreamFailed, "no other upstream has room");
        }
        let waiting = self.waiting.borrow().get(&call.service).map_or(0, WaitQueue::len);
        let reason = format!("no upstream has room; {waiting} requests wait");
        // The callers that are refused together come back spread over the next goals.
        let retry_ms = BUSY_RETRY_MS + rand::random_range(0..=call.route.goal_ms.max(1));
        Refusal::not_run(ResultCode::DeadlineUnreachable, reason, retry_ms)
    }

    /// Chooses an upstream that was not tried yet.
    fn place(&self, call: &Call, progress: &Progress) -> Placement {
        let all = self.upstreams.of(&call.service);
        let untried = all.iter().filter(|upstream| !progress.tried.contains(&upstream.entry.id));
        let reachable: Vec<&Rc<Upstream>> =
            untried.clone().filter(|upstream| !upstream.is_unreachable()).collect();
        // Where none is left, one that could not be reached is better than none.
        let untried = if reachable.is_empty() { untried.collect() } else { reachable };
        let speeds = self.upstreams.speeds(&call.service);
        let prompt = call.headers.prompt.as_ref();
        let named = prompt.and_then(|prompt| self.routing.named_version(&prompt.model));
        let engine = self.engine(&call.service);
        let memory_tokens = engine.as_ref().map_or(0, |engine| engine.memory_tokens);
        let mut options = Vec::new();
        let mut any = false;
        for upstream in untried {
            let version = prompt.and_then(|prompt| upstream.version_of(&prompt.model));
            let age =
                named.filter(|named| version.is_some_and(|v| v < named.version)).map(|n| n.since.elapsed());
            if age.is_some_and(|age| age + OLD_WEIGHTS_MARGIN >= self.bounds.weights_limit) {
                continue;
            }
            any = true;
            let others = self.cluster.others_load(upstream.tag);
            let in_flight = upstream.in_flight() + others.requests;
            let tokens = upstream.tokens() + others.tokens + call.tokens();
            if !has_room(upstream.entry.slots, memory_tokens, in_flight, tokens) {
                continue;
            }
            let scope = prompt.map(|prompt| cache_scope(&prompt.model, version, call.customer.as_deref()));
            let session = scope.as_deref().and_then(|scope| call.session(scope));
            let plan = scope.as_deref().map(|scope| self.stored_parts(call, scope));
            let local_tokens = session.map_or(0, |(key, _)| upstream.cached_tokens(key));
            let (fetched_tokens, fetch_ms) = match &plan {
                Some(plan) if local_tokens == 0 => (plan.tokens(), plan.fetch_ms(upstream, engine.as_ref())),
                _ => (0, 0.0),
            };
            let is_old = age.is_some_and(|age| age > OLD_WEIGHTS_GRACE);
            let candidate = Candidate {
                in_flight,
                slots: upstream.entry.slots,
                unread_tokens: upstream.unread_tokens() + others.unread_tokens,
                ms_per_request: speeds.request_ms.get() / f64::from(upstream.entry.slots.max(1)),
                cached_tokens: local_tokens.max(fetched_tokens),
                fetch_ms,
                near_store: plan.as_ref().is_some_and(|plan| plan.is_near(upstream)),
                recent_failures: upstream.recent_failures() + if is_old { OLD_WEIGHTS_PENALTY } else { 0.0 },
                silent_ms: upstream.silent_for().as_secs_f64() * 1_000.0,
                own_zone: self.upstreams.is_near(upstream),
                session_rank: session.map_or(0, |(key, _)| upstream.session_rank(key)),
            };
            options.push((candidate, Rc::clone(upstream), version, scope, session, plan));
        }
        let prompt_tokens = prompt.map_or(0, |prompt| prompt.prompt_tokens);
        let shared_tokens = options.first().and_then(|option| option.4).map_or(0, |(_, tokens)| tokens);
        let need = Need { prompt_tokens, shared_tokens, tokens_per_ms: speeds.tokens_per_ms.get() };
        let candidates: Vec<Candidate> = options.iter().map(|option| option.0).collect();
        let Some(choice) = choose(&candidates, &need, rand::random()) else {
            return if any { Placement::NoRoom } else { Placement::Nowhere };
        };
        let (candidate, upstream, version, scope, session, plan) = options.swap_remove(choice.index);
        let is_newest = named.is_none_or(|named| version.is_some_and(|version| version >= named.version));
        let transfers = plan.map(|plan| self.transfers(call, &plan, is_newest, choice, candidate.fetch_ms));
        Placement::At(Box::new(Chosen {
            upstream,
            version,
            scope,
            session,
            unread_tokens: prompt_tokens.saturating_sub(candidate.cached_tokens),
            estimate_ms: choice.estimate_ms,
            candidates: candidates.len(),
            transfers,
            cached_tokens: candidate.cached_tokens,
            fetch_ms: candidate.fetch_ms,
        }))
    }

    /// Finds for each shared part of a prompt where it lies, or where it is to be saved.
    fn stored_parts(&self, call: &Call, scope: &str) -> StoredParts {
        let Some(prompt) = &call.headers.prompt else { return StoredParts::default() };
        let stores = self.routing.stores();
        let clock_known = self.cluster.upstream_clock_ms().is_some();
        // The last part is the request's own.
        let shared = prompt.parts.len().saturating_sub(1);
        let places = prompt.parts.iter().take(shared).map(|part| {
            let hash = part_hash(scope, &part.id);
            let stored = self.cluster.stored_part(hash, INDEX_LIMIT).filter(|_| clock_known);
            let holder = stored.and_then(|stored| stores.iter().find(|store| store.tag == stored.store));
            let is_stored = stored.is_some();
            let store = holder.or_else(|| home_store(&stores, hash)).cloned();
            let tokens = stored.map_or(part.tokens, |stored| stored.tokens.min(part.tokens));
            PartPlace { hash, tokens, store, is_stored }
        });
        StoredParts { places: places.collect() }
    }

    /// Decides for each shared part of a prompt whether it is fetched from a store or saved to one.
    fn transfers(
        &self,
        call: &Call,
        parts: &StoredParts,
        may_save: bool,
        choice: Choice,
        fetch_ms: f64,
    ) -> Transfers {
        let mut transfers = Transfers::default();
        for place in &parts.places {
            let address = place.store.as_ref().map(|store| store.address.clone());
            let fetch = address.clone().filter(|_| place.is_stored).map(|address| (address, place.tokens));
            if fetch.is_some() {
                self.cluster.note_used_part(place.hash);
            }
            let saves = may_save && !place.is_stored && self.may_save(place.hash);
            transfers.fetch.push(fetch);
            transfers.save.push(address.filter(|_| saves));
        }
        // The request's own part.
        transfers.fetch.push(None);
        transfers.save.push(None);
        let goals_ms = call.route.goal_ms as f64 * FETCH_GOALS;
        let limit_ms = FETCH_BASE_MS + FETCH_TIMES * fetch_ms + FETCH_WAITS * (choice.estimate_ms - fetch_ms);
        let limit_ms = limit_ms.min(goals_ms);
        let limit = Duration::from_secs_f64(limit_ms / 1_000.0).min(FETCH_LIMIT);
        transfers.fetch_until_ms = self.cluster.upstream_clock_ms().unwrap_or(0) + millis(limit);
        transfers
    }

    /// Returns whether a part is not being saved already, and notes that it is from now on.
    fn may_save(&self, part: u64) -> bool {
        let mut saving = self.saving.borrow_mut();
        if saving.len() > MAX_SAVING {
            saving.retain(|_, at| at.elapsed() < SAVE_TIME);
        }
        let now = Instant::now();
        let is_free = saving.get(&part).is_none_or(|at| at.elapsed() >= SAVE_TIME);
        if is_free {
            saving.insert(part, now);
        }
        is_free
    }

    fn now_ms(&self) -> u64 {
        millis(self.started.elapsed())
    }

    fn entry_nodes(&self) -> u32 {
        self.cluster.board().borrow().entry_nodes.max(1)
    }

    fn crashes_of(&self, fingerprint: u64) -> u32 {
        self.cluster.board().borrow().crash_counts.get(&fingerprint).copied().unwrap_or(0)
    }

    fn engine(&self, service: &ServiceName) -> Option<EngineSpec> {
        let table = self.routing.table()?;
        match &table.service(service)?.spec {
            ServiceSpec::Engine(engine) => Some(engine.clone()),
            ServiceSpec::Plain | ServiceSpec::Store(_) => None,
        }
    }

    /// Returns this node's share of the connections that an upstream accepts.
    fn max_connections(&self, service: &ServiceName) -> usize {
        let table = self.routing.table();
        let accepted =
            table.as_ref().and_then(|table| table.service(service)).map_or(1, |s| s.max_connections);
        let share = f64::from(accepted) * CONNECTION_SHARE / f64::from(self.entry_nodes());
        // Truncated on purpose: a fraction of a connection is none.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let share = share as usize;
        share.max(2)
    }

    fn take_repeat(&self, service: &ServiceName) -> bool {
        let nodes = self.entry_nodes();
        self.with_budget(service, |budget, now_ms| budget.take(now_ms, nodes))
    }

    fn with_budget<T>(&self, service: &ServiceName, act: impl FnOnce(&mut RepeatBudget, u64) -> T) -> T {
        let now_ms = self.now_ms();
        let mut budgets = self.budgets.borrow_mut();
        let terms = self.bounds.repeats;
        act(budgets.entry(service.clone()).or_insert_with(|| RepeatBudget::new(terms)), now_ms)
    }

    /// Reports the request if the upstream whose connection broke does not accept connections any more.
    pub(crate) fn check_for_crash(&self, call: &Call, upstream: &Upstream) {
        let cluster = self.cluster.clone();
        let address = upstream.entry.address;
        let sighting = CrashSighting {
            fingerprint: call.fingerprint,
            upstream: upstream.entry.id.clone(),
            started_unix_ms: upstream.entry.started_unix_ms,
        };
        actix_rt::spawn(async move {
            sleep(CRASH_CHECK_DELAY).await;
            if UpstreamConnection::connect(address, CRASH_CHECK_LIMIT).await.is_err() {
                tracing::info!(
                    event = "crash_seen",
                    upstream = sighting.upstream.as_str(),
                    fingerprint = sighting.fingerprint
                );
                cluster.report_crash(sighting);
            }
        });
    }

    /// Notes how long a request took.
    pub(crate) fn note_finished(&self, call: &Call, took: Duration) {
        self.upstreams.speeds(&call.service).finished(took);
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

/// Returns whether an upstream with `in_flight` requests can take one more, after which they take `tokens`. Plain
/// services have no memory to share and may queue one request for each place.
fn has_room(slots: u32, memory_tokens: u64, in_flight: u32, tokens: u64) -> bool {
    if memory_tokens == 0 {
        return in_flight < slots.saturating_mul(2);
    }
    in_flight < slots && (in_flight == 0 || tokens as f64 <= memory_tokens as f64 * MEMORY_SHARE)
}

/// The store that a part is saved to, the same on all nodes; larger stores get more parts.
fn home_store(stores: &[StoreRef], part: u64) -> Option<&StoreRef> {
    let score = |store: &&StoreRef| {
        let draw = stable_hash(&(part, store.tag)) as f64 / u64::MAX as f64;
        draw.max(f64::MIN_POSITIVE).ln() / store.memory_tokens.max(1) as f64
    };
    stores.iter().max_by(|left, right| score(left).total_cmp(&score(right)))
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn out_of_budget(progress: &Progress) -> Refusal {
    let reason = format!("no repeats left after {} sends", progress.sent);
    if progress.may_have_run > 0 {
        return Refusal::new(ResultCode::RetryBudgetExhausted, reason);
    }
    Refusal::not_run(ResultCode::RetryBudgetExhausted, reason, BUSY_RETRY_MS)
}

/// Returns the refusal of a request whose time is over.
pub(crate) fn deadline_refusal(progress: &Progress) -> Refusal {
    if progress.may_have_run > 0 {
        return Refusal::new(ResultCode::DeadlineExceeded, "the time of the request is over");
    }
    Refusal::not_run(ResultCode::DeadlineUnreachable, "the time ended before a send", BUSY_RETRY_MS)
}

/// Separates cached prompts of different models, weight versions and isolated customers.
fn cache_scope(model: &str, version: Option<WeightVersion>, customer: Option<&Customer>) -> String {
    let version = version.unwrap_or_default();
    match customer.filter(|customer| customer.isolated) {
        Some(customer) => format!("{model}/{version}/{}", customer.name),
        None => format!("{model}/{version}"),
    }
}

fn urgency(call: &Call) -> u8 {
    let customer = call.customer.as_ref().and_then(|customer| customer.priority);
    let customer = customer.unwrap_or(USUAL_CUSTOMER_RANK).saturating_mul(ROUTE_RANKS);
    customer.saturating_add(call.route.priority.min(ROUTE_RANKS - 1)).min(LEAST_URGENT)
}

/// Writes the request line and the headers that every attempt has.
pub fn encode_head(
    dialect: &dyn Dialect,
    method: &str,
    target: &str,
    headers: &HeaderMap,
    body: &Bytes,
) -> Vec<u8> {
    let mut head = BytesMut::with_capacity(512);
    for part in [method.as_bytes(), b" ", target.as_bytes(), b" HTTP/1.1\r\n"] {
        head.extend_from_slice(part);
    }
    let named: Vec<String> = connection_tokens(headers);
    for (name, value) in headers {
        let name = name.as_str();
        if is_hop_by_hop(name) || named.iter().any(|token| token == name) || !dialect.forwards(name) {
            continue;
        }
        for part in [name.as_bytes(), b": ", value.as_bytes(), b"\r\n"] {
            head.extend_from_slice(part);
        }
    }
    if !body.is_empty() || matches!(method, "POST" | "PUT" | "PATCH") {
        head.extend_from_slice(format!("content-length: {}\r\n", body.len()).as_bytes());
    }
    head.to_vec()
}

fn connection_tokens(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all("connection").filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).map(|token| token.trim().to_ascii_lowercase()).collect()
}

fn is_hop_by_hop(name: &str) -> bool {
    matches!(
        name,
        "connection"
            | "keep-alive"
            | "proxy-connection"
            | "proxy-authorization"
            | "proxy-authenticate"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "content-length"
            | "expect"
    )
}

/// Returns the fingerprint of a request.
pub fn fingerprint(path: &str, customer: Option<&Customer>, body: &Bytes) -> u64 {
    stable_hash(&(path, customer.map(|customer| customer.name.as_str()), body.as_ref()))
}
