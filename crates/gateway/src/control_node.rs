//! A control node: holds the replicated log, serves operators, and leads the upstreams if it is the leader.

use std::{fs, path::Path, sync::Arc, time::Duration};

use actix_web::{App, HttpResponse, HttpServer, web};
use daisysill_cluster::{Cluster, ClusterHandle, ProposeError};
use daisysill_control::{
    command::{Command, PublishDocument, SetTargetVersion},
    state::RoutingDocument,
};
use daisysill_core::{ids::WeightVersion, routing::RoutingTable};
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    config::{GatewayConfig, Role},
    discovery::{Discovery, DocumentFormat, OrderSender, StoreClient},
    metrics::GatewayMetrics,
    rollout::Leader,
    stop::{KILL_MARGIN, stop_requested},
};

/// A read is answered only if the configuration was known to be the newest this lately.
const READ_FRESHNESS: Duration = Duration::from_millis(1_500);
/// Bytes of a routing document at most.
const MAX_DOCUMENT_BYTES: usize = 16 * 1_024 * 1_024;
/// Time between two looks whether the disk still takes writes.
const HALT_CHECK: Duration = Duration::from_millis(200);
/// Time between two tries to write to a disk that has refused a write.
const DISK_CHECK: Duration = Duration::from_millis(400);
/// Bytes of such a try; more than the slack of a block.
const DISK_CHECK_BYTES: usize = 64 * 1_024;
/// Time for operators' calls in progress when the process stops.
const OPERATOR_STOP: Duration = Duration::from_secs(2);

/// How a change was taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// It is durable on a majority, or was before.
    Accepted,
    /// It is invalid, for this reason.
    Invalid(String),
    /// No majority is in reach, or the outcome is unknown; to be sent again.
    Unavailable,
}

/// What operators may do.
#[derive(Clone)]
pub struct ControlPlane {
    cluster: ClusterHandle,
    format: Arc<dyn DocumentFormat>,
}

impl ControlPlane {
    /// Puts a routing document in force if it is valid and newer than the one in force.
    pub async fn publish(&self, body: &[u8]) -> ChangeOutcome {
        let checked = self.format.decode(body).and_then(|spec| {
            let version = spec.version;
            RoutingTable::build(spec).map(|_| version).map_err(|error| error.to_string())
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

    /// Names the weight version that a model is to be served with.
    pub async fn name_version(&self, model: &str, version: WeightVersion) -> ChangeOutcome {
        let command = Command::SetTargetVersion(SetTargetVersion { model: model.to_owned(), version });
        let outcome = self.propose(command).await;
        tracing::info!(event = "model_version", model, version = version.0, outcome = ?outcome);
        outcome
    }

    /// Returns the routing document in force; `None` if this node cannot be sure which is the newest.
    pub fn document(&self) -> Option<Option<Arc<RoutingDocument>>> {
        let fresh = self.cluster.config_age().is_some_and(|age| age < READ_FRESHNESS);
        fresh.then(|| self.cluster.view().borrow().document.clone())
    }

    async fn propose(&self, command: Command) -> ChangeOutcome {
        match self.cluster.propose(command).await {
            Ok(_) => ChangeOutcome::Accepted,
            Err(ProposeError::NotCommitted | ProposeError::Uncertain) => ChangeOutcome::Unavailable,
        }
    }
}

/// The operators' interface in the deployment's terms.
pub trait OperatorApi: Clone + Send + 'static {
    /// Adds its routes, which act on `plane`.
    fn configure(&self, plane: ControlPlane, service: &mut web::ServiceConfig);
}

/// Runs a control node until it is told to stop.
///
/// # Errors
/// Fails if an address cannot be bound, or if the data folder cannot be used any more.
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
    let Role::Control { operators, data_dir } = config.role.clone() else {
        eyre::bail!("the settings are not those of a control node");
    };
    let (cluster, peers) = Cluster::start(config.cluster()).await?;
    let metrics = GatewayMetrics::new(cluster.metrics());
    tracing::info!(event = "start", node = config.name, role = "control", %operators, %peers);
    let leader = Leader {
        cluster: cluster.clone(),
        name: config.node_id(),
        discovery,
        orders,
        stores,
        format: Arc::clone(&format),
        metrics: metrics.clone(),
        weights_limit: config.bounds.weights_limit,
        order_lease: config.bounds.order_lease,
    };
    actix_rt::spawn(leader.run());
    let plane = ControlPlane { cluster: cluster.clone(), format };
    let server = HttpServer::new(move || {
        let (api, plane, metrics) = (api.clone(), plane.clone(), metrics.clone());
        App::new()
            .app_data(web::PayloadConfig::new(MAX_DOCUMENT_BYTES))
            .configure(move |service| api.configure(plane, service))
            .route(
                "/metrics",
                web::get().to(move || {
                    let text = metrics.render();
                    async move { HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(text) }
                }),
            )
    })
    .workers(1)
    .disable_signals()
    .shutdown_timeout(OPERATOR_STOP.as_secs())
    .bind(operators)?
    .bind(config.metrics)?
    .run();
    let handle = server.handle();
    let serving = actix_rt::spawn(server);
    tokio::select! {
        () = stop_requested() => {}
        () = halted(&cluster) => {
            tracing::error!(event = "halted", reason = "the data folder cannot be written");
            wait_for_disk(&data_dir).await;
            eyre::bail!("the data folder cannot be written");
        }
    }
    tracing::info!(event = "stop", phase = "begin");
    let stop_at = Instant::now() + config.bounds.stop_limit.saturating_sub(KILL_MARGIN);
    cluster.leave().await;
    let stopped = timeout_at(stop_at, handle.stop(true)).await;
    tracing::info!(event = "stop", phase = "end", all_served = stopped.is_ok());
    serving.abort();
    Ok(())
}

/// Waits until the disk takes writes again. The process then ends and is started afresh from what is durable.
async fn wait_for_disk(data_dir: &Path) {
    let probe = data_dir.join("disk-check");
    loop {
        sleep(DISK_CHECK).await;
        let written = fs::write(&probe, vec![0; DISK_CHECK_BYTES]);
        let removed = fs::remove_file(&probe);
        if written.is_ok() && removed.is_ok() {
            tracing::info!(event = "disk_regained");
            return;
        }
    }
}

async fn halted(cluster: &ClusterHandle) {
    while !cluster.has_halted() {
        sleep(HALT_CHECK).await;
    }
}
