//! An entry node: serves callers, readiness checks and metrics.

use std::{
    cell::{Cell, OnceCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use actix_server::Server;
use actix_web::{App, HttpRequest, HttpResponse, web};
use daisysill_cluster::Cluster;
use daisysill_core::{connection_table::ConnectionLimits, memory_budget::MemoryBudget};
use tokio::time::{Instant, sleep};

use crate::{
    callers::{self, CallerConnections, ListenerConfig, UnreadStatement},
    config::{GatewayConfig, Role},
    discovery::{Discovery, DocumentFormat},
    entry_tasks::{spawn_contact_log, spawn_tasks},
    forward::Gateway,
    header_codec::HeaderCodec,
    metrics::GatewayMetrics,
    peer_headers::UNREAD_RESPONSE,
    peer_zones,
    regions::Regions,
    request_handler::Origin,
    routing_state::RoutingState,
    stop::{BALANCER_NOTICE, KILL_MARGIN, ORIGINS_TIMEOUT, PlannedStop, stop_requested},
    upstreams::Upstreams,
};

/// Long, since callers reuse connections after long gaps; the load balancer's clients have their own limit.
const CALLER_KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Time for a caller to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Connections of other entry nodes that may be in the course of being closed for want of a place, as a multiple of the places:
/// several nodes that lose their upstreams at once open more than there are places.
const CLOSING_FACTOR: usize = 2;
/// Connections of readiness checks and scrapes.
const MONITOR_CONNECTIONS: usize = 64;
/// Length of the queue of connections to be accepted.
const BACKLOG: u32 = 1_024;
/// A node whose configuration is older than this is not ready: it has lost contact with the control nodes, and other
/// nodes serve callers better.
const MAX_READY_AGE: Duration = Duration::from_millis(2_800);

/// State shared by the handlers of one thread.
pub(crate) struct EntryState {
    pub(crate) gateway: Rc<Gateway>,
    /// Connections of callers.
    callers: CallerConnections,
    /// Connections of other entry nodes.
    entry_nodes: CallerConnections,
    /// Connections of readiness checks and scrapes.
    monitors: CallerConnections,
    /// Begins when the signal to stop arrives.
    pub(crate) stop: PlannedStop,
    /// Result of the last readiness check.
    pub(crate) was_ready: Cell<bool>,
}

/// The listeners of an entry node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listener {
    Callers,
    Readiness,
    Metrics,
    PassedOn,
}

thread_local! {
    /// State of the thread that serves callers.
    static STATE: OnceCell<Rc<EntryState>> = const { OnceCell::new() };
}

/// Runs an entry node until SIGTERM, then stops reporting ready and finishes the requests in progress.
///
/// # Errors
/// Fails if the role is another one, or an address cannot be bound.
pub async fn run<D: Discovery + Send>(
    config: GatewayConfig,
    header_codec: Arc<dyn HeaderCodec>,
    format: Arc<dyn DocumentFormat>,
    discovery: D,
) -> eyre::Result<()> {
    let Role::Entry { callers, readiness, passed_on } = config.role else {
        eyre::bail!("the settings are not those of an entry node");
    };
    let (cluster, peers) = Cluster::start(config.cluster()).await?;
    let metrics = GatewayMetrics::new(cluster.metrics());
    tracing::info!(event = "start", node = config.name, role = "entry", %callers, %peers);
    let stop = PlannedStop::default();
    let shutdown_timeout = config.bounds.shutdown_timeout;
    let metrics_address = config.metrics;
    let server = {
        let (cluster, stop, config) = (cluster.clone(), stop.clone(), config.clone());
        let start = move || {
            let upstreams = Upstreams::new(config.zone.clone());
            let regions = Regions { zones: config.zones.clone(), own_zone: config.zone.clone() };
            let gateway = Rc::new(Gateway::new(
                Arc::clone(&header_codec),
                RoutingState::new(cluster.clone(), Arc::clone(&format)),
                config.bounds.clone(),
                upstreams,
                regions,
                passed_on.map(|address| address.port()),
                metrics.clone(),
            ));
            if config.bootstrap {
                gateway.retries.record_first_start();
            }
            spawn_tasks(&gateway, discovery.clone());
            let streams = Rc::clone(&gateway);
            actix_rt::spawn(stop.clone().record_cut_streams(move || streams.end_open_streams()));
            Rc::new(EntryState::new(gateway, stop.clone()))
        };
        // Called once for each listener, always on the one worker thread, so that all listeners share the state.
        let app = move |listener: Listener| {
            let state = STATE.with(|state| Rc::clone(state.get_or_init(&start)));
            let config = state.listener_config(listener);
            (App::new().app_data(state).app_data(listener).default_service(web::to(handle)), config)
        };
        let mut server = Server::build()
            .workers(1)
            .backlog(BACKLOG)
            .disable_signals()
            .shutdown_timeout(shutdown_timeout.as_secs().max(1));
        let listeners = [
            (Listener::Callers, Some(callers)),
            (Listener::Readiness, Some(readiness)),
            (Listener::Metrics, Some(metrics_address)),
            (Listener::PassedOn, passed_on),
        ];
        for (listener, address) in listeners {
            let Some(address) = address else { continue };
            let app = app.clone();
            server = callers::bind(server, listener.name(), address, move || app(listener))?;
        }
        server.run()
    };
    let handle = server.handle();
    let serving = actix_rt::spawn(server);
    spawn_contact_log(cluster.clone());
    stop_requested().await;
    let stop_at = Instant::now() + shutdown_timeout.saturating_sub(KILL_MARGIN);
    tracing::info!(event = "stop", phase = "not_ready");
    stop.begin();
    sleep(BALANCER_NOTICE).await;
    let all_served = stop.finish(&handle, stop_at).await;
    cluster.hand_over_origins(ORIGINS_TIMEOUT).await;
    tracing::info!(event = "stop", phase = "end", all_served);
    serving.abort();
    Ok(())
}

impl Listener {
    /// Returns the name used in logs.
    const fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Readiness => "readiness",
            Self::Metrics => "metrics",
            Self::PassedOn => "passed_on",
        }
    }
}

/// Dispatches a request by the listener that it arrived on.
async fn handle(request: HttpRequest, payload: web::Payload) -> HttpResponse {
    let Some(state) = request.app_data::<Rc<EntryState>>().cloned() else {
        return HttpResponse::InternalServerError().finish();
    };
    match request.app_data::<Listener>() {
        Some(Listener::Readiness) => state.readiness(),
        Some(Listener::Metrics) => {
            HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(state.gateway.metrics.render())
        }
        Some(Listener::PassedOn) => match peer_zones::answer(&state.gateway, &request) {
            Some(response) => response,
            None => state.serve(&request, payload, Origin::EntryNode).await,
        },
        Some(Listener::Callers) | None => state.serve(&request, payload, Origin::Caller).await,
    }
}

impl EntryState {
    fn new(gateway: Rc<Gateway>, stop: PlannedStop) -> Self {
        let bounds = &gateway.bounds;
        let connections = |listener: &'static str, limits: ConnectionLimits, memory: MemoryBudget| {
            let metrics = gateway.metrics.connections.clone();
            CallerConnections::new(listener, limits, bounds.stream_limits, memory, metrics)
        };
        let entry_nodes = bounds.entry_node_connections();
        let unread = UnreadStatement::new(UNREAD_RESPONSE, entry_nodes.total * CLOSING_FACTOR);
        Self {
            callers: connections(
                "callers",
                ConnectionLimits::new(bounds.max_connections),
                gateway.memory.clone(),
            ),
            entry_nodes: connections("passed_on", entry_nodes, gateway.memory.clone())
                .with_unread_statement(unread),
            // They are few, and a node that has no memory for requests still answers them.
            monitors: connections(
                "monitors",
                ConnectionLimits::new(MONITOR_CONNECTIONS),
                MemoryBudget::unlimited(),
            ),
            gateway,
            stop,
            was_ready: Cell::new(false),
        }
    }

    /// Returns how the connections of a listener are served.
    fn listener_config(&self, listener: Listener) -> ListenerConfig {
        let connections = match listener {
            Listener::Callers => &self.callers,
            Listener::PassedOn => &self.entry_nodes,
            Listener::Readiness | Listener::Metrics => &self.monitors,
        };
        ListenerConfig {
            connections: connections.clone(),
            keep_alive: CALLER_KEEP_ALIVE,
            head_timeout: HEAD_TIMEOUT,
        }
    }

    /// Answers a readiness check, and logs each change of the result.
    fn readiness(&self) -> HttpResponse {
        let age = self.gateway.cluster.config_age();
        let cut_off = age.is_none_or(|age| age > MAX_READY_AGE);
        let can_serve = self.gateway.routing.table().is_some() && !self.gateway.upstreams.is_empty();
        let stopping = self.stop.has_begun();
        let ready = can_serve && !stopping && !cut_off;
        if self.was_ready.replace(ready) != ready {
            let age_ms = age.map(|age| age.as_millis());
            tracing::info!(event = "readiness", ready, stopping, can_serve, config_age_ms = age_ms);
        }
        if ready { HttpResponse::Ok().finish() } else { HttpResponse::ServiceUnavailable().finish() }
    }
}
