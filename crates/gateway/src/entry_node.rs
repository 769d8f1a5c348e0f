//! An entry node: serves callers, and says whether it is ready to.

use std::{
    cell::{Cell, OnceCell},
    rc::Rc,
    sync::{Arc, OnceLock},
    time::Duration,
};

use actix_web::{
    App, HttpRequest, HttpResponse, HttpServer, body::BodyStream, http::header::HeaderName, web,
};
use bytes::{Bytes, BytesMut};
use daisysill_cluster::{Cluster, ClusterHandle};
use daisysill_core::{result_code::ResultCode, routing::CallKind};
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    call::{Call, Progress, encode_head, fingerprint},
    config::{GatewayConfig, Role},
    dialect::Dialect,
    discovery::{Discovery, DocumentFormat},
    exchange::Answer,
    forward::{Gateway, deadline_refusal},
    metrics::GatewayMetrics,
    refusal::Refusal,
    relay::relay,
    stop::{KILL_MARGIN, LEAVE_TIME, stop_requested},
    upstreams::Upstreams,
};

/// Bytes of an upstream's answer that is read whole before it is passed on.
const MAX_WHOLE_ANSWER_BYTES: usize = 8 * 1_024 * 1_024;
/// Bytes of a request before the first configuration has said otherwise.
const DEFAULT_BODY_BYTES: usize = 1_024 * 1_024;
/// Callers reuse connections that were idle for long; the load balancer's clients name their own limit.
const CALLER_KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Time for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// A board older than this is not waited for any longer; the list is read here.
const BOARD_LIMIT: Duration = Duration::from_millis(1_800);
/// Time between two own reads of the list, and the jitter on top.
const OWN_LIST_INTERVAL_MS: u64 = 1_000;
const OWN_LIST_JITTER_MS: u64 = 400;
/// A configuration older than this means that the node is cut off; callers are better served elsewhere.
const CUT_OFF_AFTER: Duration = Duration::from_millis(2_800);
/// Time between two reports of the work in flight.
const REPORT_INTERVAL: Duration = Duration::from_millis(25);
/// A request that comes later than this after the signal to stop might not be finished in time; it is refused.
const LAST_REQUEST: Duration = Duration::from_millis(2_600);
/// Its caller may come back at once, to another node.
const STOP_RETRY_MS: u64 = 20;
/// Time between two sweeps of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// What the handlers share.
struct EntryState {
    gateway: Rc<Gateway>,
    readiness_port: u16,
    metrics_port: u16,
    stopping: Arc<OnceLock<Instant>>,
    was_ready: Cell<bool>,
}

thread_local! {
    /// The state of the thread that serves callers.
    static STATE: OnceCell<Rc<EntryState>> = const { OnceCell::new() };
}

/// Runs an entry node until it is told to stop.
///
/// # Errors
/// Fails if an address cannot be bound.
pub async fn run<D: Discovery + Send>(
    config: GatewayConfig,
    dialect: Arc<dyn Dialect>,
    format: Arc<dyn DocumentFormat>,
    discovery: D,
) -> eyre::Result<()> {
    let Role::Entry { callers, readiness } = config.role else {
        eyre::bail!("the settings are not those of an entry node");
    };
    let (cluster, peers) = Cluster::start(config.cluster()).await?;
    let metrics = GatewayMetrics::new(cluster.metrics());
    tracing::info!(event = "start", node = config.name, role = "entry", %callers, %peers);
    let stopping = Arc::new(OnceLock::new());
    let stop_limit = config.bounds.stop_limit;
    let metrics_address = config.metrics;
    let server = {
        let (cluster, stopping, config) = (cluster.clone(), Arc::clone(&stopping), config.clone());
        let start = move || {
            let upstreams = Upstreams::new(config.zone.clone());
            let gateway = Rc::new(Gateway::new(
                Arc::clone(&dialect),
                cluster.clone(),
                config.bounds.clone(),
                upstreams,
                metrics.clone(),
            ));
            spawn_tasks(&gateway, Arc::clone(&format), discovery.clone());
            Rc::new(EntryState {
                gateway,
                readiness_port: readiness.port(),
                metrics_port: config.metrics.port(),
                stopping: Arc::clone(&stopping),
                was_ready: Cell::new(false),
            })
        };
        // The factory runs once for each listener, all on the one thread; the state is shared between them.
        let app = move || {
            let state = STATE.with(|state| Rc::clone(state.get_or_init(&start)));
            App::new().app_data(state).default_service(web::to(handle))
        };
        HttpServer::new(app)
            .workers(1)
            .backlog(BACKLOG)
            .h1_allow_half_closed(false)
            .keep_alive(CALLER_KEEP_ALIVE)
            .client_request_timeout(HEAD_TIMEOUT)
            .disable_signals()
            .shutdown_timeout(stop_limit.as_secs().max(1))
            .bind(callers)?
            .bind(readiness)?
            .bind(metrics_address)?
            .run()
    };
    let handle = server.handle();
    let serving = actix_rt::spawn(server);
    watch_contact(cluster.clone());
    stop_requested().await;
    let stop_at = Instant::now() + stop_limit.saturating_sub(KILL_MARGIN);
    tracing::info!(event = "stop", phase = "not_ready");
    let _ = stopping.set(Instant::now());
    sleep(LEAVE_TIME).await;
    let stopped = timeout_at(stop_at, handle.stop(true)).await;
    tracing::info!(event = "stop", phase = "end", all_served = stopped.is_ok());
    serving.abort();
    Ok(())
}

fn watch_contact(cluster: ClusterHandle) {
    let mut in_touch = cluster.in_touch();
    actix_rt::spawn(async move {
        while in_touch.changed().await.is_ok() {
            let current = *in_touch.borrow_and_update();
            let age_ms = cluster.config_age().map(|age| age.as_millis());
            tracing::info!(event = "control_contact", in_touch = current, config_age_ms = age_ms);
        }
    });
}

fn spawn_tasks<D: Discovery>(gateway: &Rc<Gateway>, format: Arc<dyn DocumentFormat>, discovery: D) {
    actix_rt::spawn(gateway.routing.clone().follow(gateway.cluster.clone(), format));
    actix_rt::spawn(follow_board(Rc::clone(gateway)));
    actix_rt::spawn(read_list_if_cut_off(Rc::clone(gateway), discovery));
    actix_rt::spawn(share_room(Rc::clone(gateway)));
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        loop {
            sleep(SWEEP_INTERVAL).await;
            let listed = gateway.upstreams.addresses();
            gateway.pool.sweep(|address| listed.contains(address));
        }
    });
}

/// Tells the other nodes of this one's work in flight, and wakes requests that wait for room.
async fn share_room(gateway: Rc<Gateway>) {
    let mut report_due = Instant::now();
    loop {
        let released = timeout_at(report_due, gateway.released.notified()).await.is_ok();
        gateway.wake_waiting();
        if !released {
            gateway.cluster.set_loads(gateway.upstreams.loads());
            report_due = Instant::now() + REPORT_INTERVAL;
        }
    }
}

async fn follow_board(gateway: Rc<Gateway>) {
    let mut boards = gateway.cluster.board();
    loop {
        let board = Arc::clone(&boards.borrow_and_update());
        if !board.source.is_empty() {
            gateway.upstreams.replace(&board.upstreams);
            tracing::info!(
                event = "board",
                source = board.source,
                number = board.number,
                upstreams = board.upstreams.len(),
                draining = board.upstreams.iter().filter(|entry| entry.draining).count(),
                loading = board.upstreams.iter().filter(|entry| entry.loading).count(),
                entry_nodes = board.entry_nodes,
            );
        }
        if boards.changed().await.is_err() {
            return;
        }
    }
}

/// Reads the list here while no control node passes it on.
async fn read_list_if_cut_off<D: Discovery>(gateway: Rc<Gateway>, discovery: D) {
    loop {
        let pause_ms = OWN_LIST_INTERVAL_MS + rand::random_range(0..OWN_LIST_JITTER_MS);
        sleep(Duration::from_millis(pause_ms)).await;
        if gateway.cluster.board_age().is_some_and(|age| age < BOARD_LIMIT) {
            continue;
        }
        gateway.metrics.list_calls.inc();
        match discovery.list().await {
            Ok(entries) => {
                tracing::info!(event = "own_list", upstreams = entries.len());
                gateway.upstreams.replace(&entries);
            }
            Err(error) => tracing::info!(event = "own_list", error),
        }
    }
}

async fn handle(request: HttpRequest, payload: web::Payload) -> HttpResponse {
    let Some(state) = request.app_data::<Rc<EntryState>>().cloned() else {
        return HttpResponse::InternalServerError().finish();
    };
    let port = request.app_config().local_addr().port();
    if port == state.readiness_port {
        return state.readiness();
    }
    if port == state.metrics_port {
        return HttpResponse::Ok()
            .content_type("text/plain; version=0.0.4")
            .body(state.gateway.metrics.render());
    }
    state.serve(&request, payload).await
}

impl EntryState {
    fn readiness(&self) -> HttpResponse {
        let age = self.gateway.cluster.config_age();
        let cut_off = age.is_none_or(|age| age > CUT_OFF_AFTER);
        let can_serve = self.gateway.routing.table().is_some() && !self.gateway.upstreams.is_empty();
        let stopping = self.stopping.get().is_some();
        let ready = can_serve && !stopping && !cut_off;
        if self.was_ready.replace(ready) != ready {
            let age_ms = age.map(|age| age.as_millis());
            tracing::info!(event = "readiness", ready, stopping, can_serve, config_age_ms = age_ms);
        }
        if ready { HttpResponse::Ok().finish() } else { HttpResponse::ServiceUnavailable().finish() }
    }

    /// Whether callers are told to open a new connection, which may lead to another node.
    fn sheds_connections(&self) -> bool {
        self.stopping.get().is_some() || !self.was_ready.get()
    }

    async fn serve(&self, request: &HttpRequest, payload: web::Payload) -> HttpResponse {
        let arrived = Instant::now();
        self.gateway.metrics.in_flight.inc();
        let request_id = request.headers().get("x-request-id").and_then(|id| id.to_str().ok());
        let result = match self.read_call(request, payload, arrived).await {
            Ok(call) => self.answer(Rc::new(call)).await,
            Err(refusal) => Err(refusal),
        };
        match result {
            Ok(response) => response,
            Err(refusal) => {
                self.gateway.metrics.in_flight.dec();
                self.gateway.metrics.finished(refusal.code.name());
                tracing::info!(
                    event = "refused",
                    request_id,
                    code = refusal.code.number(),
                    status = refusal.status().as_u16(),
                    retry_after_ms = refusal.retry_after_ms,
                    reason = refusal.reason,
                    after_ms = arrived.elapsed().as_millis(),
                );
                refusal.response(request_id, self.sheds_connections())
            }
        }
    }

    async fn read_call(
        &self,
        request: &HttpRequest,
        payload: web::Payload,
        arrived: Instant,
    ) -> Result<Call, Refusal> {
        let gateway = &self.gateway;
        let table = gateway.routing.table();
        let limit = table.as_ref().map_or(DEFAULT_BODY_BYTES, |table| table.limits().body_bytes);
        let body = match payload.to_bytes_limited(limit).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => return Err(Refusal::new(ResultCode::BodyIncomplete, error.to_string())),
            Err(_) => return Err(Refusal::new(ResultCode::BodyTooLarge, format!("over {limit} bytes"))),
        };
        if self.stopping.get().is_some_and(|since| since.elapsed() >= LAST_REQUEST) {
            return Err(Refusal::not_run(
                ResultCode::ShuttingDown,
                "the node is about to end",
                STOP_RETRY_MS,
            ));
        }
        let Some(table) = table else {
            return Err(Refusal::not_run(ResultCode::NoQuorum, "no configuration yet", 500));
        };
        let headers = gateway
            .dialect
            .0
            .decode_call(request.headers())
            .map_err(|error| Refusal::new(ResultCode::BodyMalformed, error))?;
        let host = request.headers().get("host").and_then(|host| host.to_str().ok()).unwrap_or("");
        let host = host.split(':').next().unwrap_or("");
        let path = request.uri().path();
        let (route, customer) = gateway.admit(&table, host, path, headers.key.as_deref())?;
        let Some(service) = route.pick_service(rand::random()).cloned() else {
            return Err(Refusal::new(ResultCode::RouteUnknown, "the route has no target"));
        };
        let method = request.method().as_str().to_owned();
        let target = request.uri().path_and_query().map_or(path, |target| target.as_str());
        let head = encode_head(gateway.dialect.0.as_ref(), &method, target, request.headers(), &body);
        let wait_ms = headers.deadline_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
        Ok(Call {
            fingerprint: fingerprint(path, customer.as_deref(), &body),
            deadline: arrived + Duration::from_millis(wait_ms),
            headers,
            method,
            head,
            body,
            route,
            service,
            customer,
            arrived,
        })
    }

    async fn answer(&self, call: Rc<Call>) -> Result<HttpResponse, Refusal> {
        let gateway = &self.gateway;
        let mut progress = Progress::default();
        loop {
            let resume_after = call.headers.resume_after.as_deref();
            let sending = gateway.send(&call, &mut progress, resume_after);
            let Ok(sent) = timeout_at(call.deadline, sending).await else {
                // Dropped while it was being sent; it may have run.
                progress.may_have_run += 1;
                return Err(deadline_refusal(&progress));
            };
            let answer = sent?;
            if answer.head.status.is_server_error() && Self::tries_elsewhere(&call, &mut progress, &answer) {
                continue;
            }
            gateway.metrics.answer_seconds.observe(call.arrived.elapsed().as_secs_f64());
            Self::log_answer(&call, &answer);
            let streams =
                matches!(call.route.kind, CallKind::Stream { .. }) && answer.head.status.is_success();
            if streams {
                return Ok(self.stream(Rc::clone(&call), answer, progress));
            }
            match self.whole(&call, answer, &mut progress).await {
                Some(response) => return Ok(response),
                None if progress.may_have_run >= call.route.max_attempts || !may_repeat(&call) => {
                    return Err(Refusal::new(ResultCode::UpstreamFailed, "the answer broke off"));
                }
                None => {}
            }
        }
    }

    /// Whether a request that an upstream has failed is sent to another one.
    fn tries_elsewhere(call: &Call, progress: &mut Progress, answer: &Answer) -> bool {
        let upstream = &answer.in_flight.upstream;
        if !may_repeat(call) || progress.may_have_run + 1 >= call.route.max_attempts {
            return false;
        }
        progress.may_have_run += 1;
        progress.tried.push(upstream.entry.id.clone());
        tracing::info!(
            event = "failed_answer",
            request_id = call.headers.request_id.as_deref(),
            upstream = upstream.entry.id.as_str(),
            status = answer.head.status.as_u16(),
        );
        true
    }

    fn log_answer(call: &Call, answer: &Answer) {
        let upstream = &answer.in_flight.upstream;
        tracing::info!(
            event = "answered",
            request_id = call.headers.request_id.as_deref(),
            route = call.route.name,
            customer = call.customer.as_ref().map(|customer| customer.name.as_str()),
            upstream = upstream.entry.id.as_str(),
            status = answer.head.status.as_u16(),
            version = answer.weight_version.map(|version| version.0),
            in_flight = upstream.in_flight(),
            after_ms = call.arrived.elapsed().as_millis(),
        );
    }

    fn stream(&self, call: Rc<Call>, answer: Answer, progress: Progress) -> HttpResponse {
        let mut builder = self.response_head(&answer);
        let body = relay(Rc::clone(&self.gateway), call, answer, progress);
        builder.body(BodyStream::new(Box::pin(body)))
    }

    /// Reads an answer whole and passes it on; `None` if it broke off.
    async fn whole(
        &self,
        call: &Rc<Call>,
        mut answer: Answer,
        progress: &mut Progress,
    ) -> Option<HttpResponse> {
        let body = timeout_at(call.deadline, read_whole(&mut answer)).await.ok().flatten();
        let upstream = Rc::clone(&answer.in_flight.upstream);
        let Some(body) = body else {
            progress.may_have_run += 1;
            progress.tried.push(upstream.entry.id.clone());
            upstream.failed();
            self.gateway.check_for_crash(call, &upstream);
            return None;
        };
        if answer.head.status.is_success() {
            upstream.succeeded();
        }
        self.gateway.note_finished(call, call.arrived.elapsed());
        let response = self.response_head(&answer).body(body);
        answer.lent.give_back();
        self.gateway.metrics.in_flight.dec();
        self.gateway.metrics.finished("relayed");
        Some(response)
    }

    fn response_head(&self, answer: &Answer) -> actix_web::HttpResponseBuilder {
        let mut builder = HttpResponse::build(answer.head.status);
        for (name, value) in &answer.head.headers {
            if let Ok(name) = HeaderName::from_bytes(name) {
                builder.append_header((name, value.as_ref()));
            }
        }
        if self.sheds_connections() {
            builder.force_close();
        }
        builder
    }
}

fn may_repeat(call: &Call) -> bool {
    matches!(call.route.kind, CallKind::Repeatable | CallKind::Stream { resumable: true })
}

async fn read_whole(answer: &mut Answer) -> Option<Bytes> {
    let connection = answer.lent.get().ok()?;
    let mut whole = BytesMut::new();
    while let Some(bytes) = connection.read_body().await.ok()? {
        whole.extend_from_slice(&bytes);
        if whole.len() > MAX_WHOLE_ANSWER_BYTES {
            return None;
        }
    }
    connection.is_complete().then(|| whole.freeze())
}
