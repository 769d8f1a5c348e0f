//! A control node: holds the replicated log, serves operators, and runs the leader's tasks while it is the leader.

use std::{sync::Arc, time::Duration};

use actix_server::Server;
use actix_web::{App, HttpResponse, web};
use daisysill_cluster::{Cluster, ClusterHandle, ProposeError};
use daisysill_control::{
    command::{Command, PublishDocument, SetDrain, SetTargetVersion},
    state::RoutingDocument,
};
use daisysill_core::{
    connection_table::ConnectionLimits,
    evacuation::zone_mark,
    ids::{ChangeId, WeightVersion, ZoneName},
    memory_budget::MemoryBudget,
    regions::ZoneRegions,
    routing::RoutingTable,
};
use tokio::time::{Instant, sleep};

use crate::{
    callers::{self, CallerConnections, ListenerConfig},
    config::{GatewayConfig, Role},
    discovery::{Discovery, DocumentFormat, OrderSender, StoreClient},
    metrics::GatewayMetrics,
    rollout::LeaderTasks,
    stop::{KILL_MARGIN, ORIGINS_TIMEOUT, PlannedStop, stop_requested},
};

/// Reads are refused if this node last knew longer ago than this that its configuration was the newest.
const MAX_READ_AGE: Duration = Duration::from_millis(1_500);
/// Maximum size of a routing document.
const MAX_DOCUMENT_BYTES: usize = 16 * 1_024 * 1_024;
/// Time between two checks whether the voter has halted because of its disk.
const HALT_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Connections of operators and of scrapes. They are few, and a document may take 16 MiB while it is read.
const MAX_CONNECTIONS: usize = 64;
/// Time for which a connection may be idle.
const KEEP_ALIVE: Duration = Duration::from_secs(5);
/// Time for the head of the first request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for operators' requests in progress to finish when the process stops.
const OPERATOR_STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// The outcome of a change to the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change is durable on a majority, or was already.
    Accepted,
    /// The change is invalid, with the reason for the operator.
    Invalid(String),
    /// The change is of something that does not exist, with the reason for the operator.
    Unknown(String),
    /// No majority is reachable, or the outcome is unknown; the operator may send the change again.
    Unavailable,
}

/// The operations available to operators.
#[derive(Clone)]
pub struct ControlPlane {
    cluster: ClusterHandle,
    format: Arc<dyn DocumentFormat>,
    zones: Arc<ZoneRegions>,
    stop: PlannedStop,
}

impl ControlPlane {
    /// Puts a routing document in force if it is valid. One that is not newer than the document in force is accepted
    /// without effect.
    pub async fn publish(&self, body: &[u8]) -> ChangeOutcome {
        let checked = self.format.decode(body).and_then(|spec| {
            let version = spec.version;
            let checked = self.zones.check(&spec).and_then(|()| RoutingTable::build(spec));
            checked.map(|_| version).map_err(|error| error.to_string())
        });
        let version = match checked {
            Ok(version) => version,
            Err(error) => {
                tracing::info!(event = "document_refused", reason = error, bytes = body.len());
                return ChangeOutcome::Invalid(error);
            }
        };
        let command = Command::PublishDocument(PublishDocument { version, body: body.to_vec() });
        let outcome = self.propose(command).await;
        tracing::info!(event = "document", version, bytes = body.len(), outcome = ?outcome);
        outcome
    }

    /// Sets the weight version that a model is to be served with.
    pub async fn set_model_version(&self, model: &str, version: WeightVersion) -> ChangeOutcome {
        let command = Command::SetTargetVersion(SetTargetVersion { model: model.to_owned(), version });
        let outcome = self.propose(command).await;
        tracing::info!(event = "model_version", model, version = version.0, outcome = ?outcome);
        outcome
    }

    /// Starts the evacuation of a zone, after which no request goes to its upstreams, or ends it. A zone that is not one of the
    /// settings is unknown, unless its evacuation is to end and this node knows the mark.
    pub async fn set_zone_drain(&self, zone: &ZoneName, draining: bool) -> ChangeOutcome {
        let mark = zone_mark(zone);
        let ends_known = || !draining && self.cluster.view().borrow().draining.contains(&mark);
        if !self.zones.contains(zone) && !ends_known() {
            let known: Vec<&str> = self.zones.names().map(ZoneName::as_str).collect();
            let reason = format!("unknown zone {zone}; the zones are {}", known.join(", "));
            tracing::info!(event = "evacuation_refused", zone = zone.as_str(), draining, reason);
            return ChangeOutcome::Unknown(reason);
        }
        // Each call is a change of its own: a start after an end must not count as the start before it.
        let change = ChangeId::from(format!("{mark} {:032x}", rand::random::<u128>()));
        let command = Command::SetDrain(SetDrain { change, upstream: mark, draining });
        let outcome = self.propose(command).await;
        tracing::info!(event = "evacuation", zone = zone.as_str(), draining, outcome = ?outcome);
        outcome
    }

    /// Returns the routing document in force, which may be none; the outer `None` if this node cannot be sure that its
    /// configuration is the newest.
    pub fn document(&self) -> Option<Option<Arc<RoutingDocument>>> {
        let fresh = self.cluster.config_age().is_some_and(|age| age < MAX_READ_AGE);
        fresh.then(|| self.cluster.view().borrow().document.clone())
    }

    async fn propose(&self, command: Command) -> ChangeOutcome {
        let proposed = tokio::select! {
            biased;
            proposed = self.cluster.propose(command) => proposed,
            // The change may still be committed.
            () = self.stop.near_end() => Err(ProposeError::Uncertain),
        };
        match proposed {
            Ok(_) => ChangeOutcome::Accepted,
            Err(ProposeError::NotCommitted | ProposeError::Uncertain) => ChangeOutcome::Unavailable,
        }
    }
}

/// Serves [`ControlPlane`] over HTTP in the deployment's format.
pub trait OperatorApi: Clone + Send + 'static {
    /// Adds the HTTP routes, which call `plane`.
    fn configure(&self, plane: ControlPlane, service: &mut web::ServiceConfig);
}

/// Runs a control node until SIGTERM, then leaves the cluster.
///
/// # Errors
/// Fails if the role is another one, an address cannot be bound, or the data folder cannot be opened.
pub async fn run<D, O, C, A>(
    config: GatewayConfig,
    format: Arc<dyn DocumentFormat>,
    discovery: D,
    orders: O,
    stores: C,
    api: A,
) -> eyre::Result<()>
where
    D: Discovery,
    O: OrderSender,
    C: StoreClient,
    A: OperatorApi,
{
    let Role::Control { operators, .. } = config.role.clone() else {
        eyre::bail!("the settings are not those of a control node");
    };
    let (cluster, peers) = Cluster::start(config.cluster()).await?;
    let metrics = GatewayMetrics::new(cluster.metrics());
    tracing::info!(event = "start", node = config.name, role = "control", %operators, %peers);
    let leader_tasks = LeaderTasks {
        cluster: cluster.clone(),
        name: config.node_id(),
        discovery,
        orders,
        stores,
        format: Arc::clone(&format),
        metrics: metrics.clone(),
        rollout_limit: config.bounds.rollout_limit,
        order_lease: config.bounds.order_lease,
    };
    actix_rt::spawn(leader_tasks.run());
    actix_rt::spawn(log_halts(cluster.clone()));
    let stop = PlannedStop::default();
    let zones = Arc::new(config.zones);
    let plane = ControlPlane { cluster: cluster.clone(), format, zones, stop: stop.clone() };
    let limits = ConnectionLimits { total: MAX_CONNECTIONS, by_address: MAX_CONNECTIONS };
    let listener_config = ListenerConfig {
        connections: CallerConnections::new(
            "operators",
            limits,
            config.bounds.stream_limits,
            MemoryBudget::unlimited(),
            metrics.connections.clone(),
        )
        .with_half_closed(),
        keep_alive: KEEP_ALIVE,
        head_timeout: HEAD_TIMEOUT,
    };
    let app = move || {
        let (api, plane, metrics) = (api.clone(), plane.clone(), metrics.clone());
        let app = App::new()
            .app_data(web::PayloadConfig::new(MAX_DOCUMENT_BYTES))
            .configure(move |service| api.configure(plane, service))
            .route(
                "/metrics",
                web::get().to(move || {
                    let text = metrics.render();
                    async move { HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(text) }
                }),
            );
        (app, listener_config.clone())
    };
    let server =
        Server::build().workers(1).disable_signals().shutdown_timeout(OPERATOR_STOP_TIMEOUT.as_secs());
    let server = callers::bind(server, "operators", operators, app.clone())?;
    let server = callers::bind(server, "metrics", config.metrics, app)?.run();
    let handle = server.handle();
    let serving = actix_rt::spawn(server);
    stop_requested().await;
    tracing::info!(event = "stop", phase = "begin");
    let stop_at = Instant::now() + config.bounds.shutdown_timeout.saturating_sub(KILL_MARGIN);
    stop.begin();
    cluster.leave(Some(stop_at)).await;
    let all_served = stop.finish(&handle, stop_at.min(Instant::now() + OPERATOR_STOP_TIMEOUT)).await;
    cluster.hand_over_origins(ORIGINS_TIMEOUT).await;
    tracing::info!(event = "stop", phase = "end", all_served);
    serving.abort();
    Ok(())
}

/// Logs each time the voter halts because its data folder cannot be written, and when it resumes.
async fn log_halts(cluster: ClusterHandle) {
    let mut was_halted = false;
    loop {
        sleep(HALT_POLL_INTERVAL).await;
        let is_halted = cluster.has_halted();
        if is_halted && !was_halted {
            tracing::error!(event = "halted", reason = "the data folder cannot be written");
        } else if was_halted && !is_halted {
            tracing::info!(event = "disk_regained");
        }
        was_halted = is_halted;
    }
}
