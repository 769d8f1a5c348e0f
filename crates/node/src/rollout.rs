//! Weight rollout: orders the engines of a service to load a new weight version, a few at a time. Only the
//! node that holds the lease of the rollout role gives orders.

use std::{
    collections::BTreeMap,
    rc::Rc,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use actix::{Actor, AsyncContext, Context, WrapFuture};
use daisysill_cluster::{LeaseConfig, LeaseHolder};
use daisysill_core::{
    ids::{FencingNumber, InstanceId, ServiceName, WeightVersion},
    rules::WeightRules,
};
use daisysill_wire::http_types::EngineOrder;
use tokio::time::Instant;

use crate::{engine_client::ORDER_TIMEOUT, shared::Shared, upstream_api::Engine};

/// Interval between comparisons of the engines' versions with the target.
const ROLLOUT_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which an engine that does not report the ordered version is ordered again.
const LOADING_TIMEOUT: Duration = Duration::from_mins(1);
/// Control role whose lease holder gives orders.
const LEASE_ROLE: &str = "weights";
/// Time until a lease that is not renewed expires.
const LEASE_DURATION: Duration = Duration::from_secs(5);
/// Kind of the order to load a weight version.
const LOAD_WEIGHTS: &str = "load_weights";

/// The lease that a node needs to give orders.
pub trait OrderLease {
    /// Returns the fencing number for an order sent now; `None` if this node may send none.
    fn fencing(&self) -> Option<FencingNumber>;
}

impl OrderLease for LeaseHolder {
    fn fencing(&self) -> Option<FencingNumber> {
        // Calls the inherent method, which takes precedence over the trait's.
        Self::fencing(self)
    }
}

/// Returns the lease that this node must hold to give orders.
pub fn lease_config() -> LeaseConfig {
    LeaseConfig { role: LEASE_ROLE.to_owned(), duration: LEASE_DURATION, order_timeout: ORDER_TIMEOUT }
}

/// What a rollout needs to know about an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineVersion {
    /// Id of the engine.
    pub id: InstanceId,
    /// Whether it is live and reports its version.
    pub in_service: bool,
    /// The version that it last reported; 0 before the first report.
    pub version: WeightVersion,
    /// Whether it has been ordered to load a version that it does not report yet.
    pub loading: bool,
}

/// Returns the engines to order now, so that at most `max_loading` engines load at once and at least
/// `floor_percent` of all stay in service. The floor always lets one engine load, since weights could never
/// change otherwise: 70 percent of 3 engines, rounded up, is all of them.
pub fn plan_orders(engines: &[EngineVersion], target: WeightVersion, rules: &WeightRules) -> Vec<InstanceId> {
    let total = engines.len() as u64;
    let floor = (total * rules.floor_percent).div_ceil(100).min(total.saturating_sub(1));
    let loading = engines.iter().filter(|engine| engine.loading).count() as u64;
    let serving = engines.iter().filter(|engine| engine.in_service && !engine.loading).count() as u64;
    let max_orders = rules.max_loading.saturating_sub(loading).min(serving.saturating_sub(floor));
    let outdated = engines.iter().filter(|e| e.in_service && !e.loading && e.version != target);
    outdated.take(usize::try_from(max_orders).unwrap_or(usize::MAX)).map(|engine| engine.id.clone()).collect()
}

/// The actor that orders engines to load the weight version set for their service.
pub struct Rollout {
    shared: Arc<Shared>,
    engine: Rc<dyn Engine>,
    lease: Rc<dyn OrderLease>,
    pending: Arc<Mutex<PendingOrders>>,
}

/// Orders whose version the engines do not report yet.
#[derive(Debug, Default)]
struct PendingOrders {
    /// Fencing number of the lease under which the orders were given; those of a former lease are forgotten.
    fencing: Option<FencingNumber>,
    /// The version ordered, and when.
    by_engine: BTreeMap<InstanceId, (WeightVersion, Instant)>,
}

impl Rollout {
    /// Creates the actor; `start` runs it.
    pub fn new(shared: Arc<Shared>, engine: Rc<dyn Engine>, lease: Rc<dyn OrderLease>) -> Self {
        Self { shared, engine, lease, pending: Arc::default() }
    }

    fn start_round(&mut self, context: &mut Context<Self>) {
        let Some(fencing) = self.lease.fencing() else { return };
        let targets = self.shared.cluster.view().borrow().weights.clone();
        for (service, target) in targets {
            let engines = self.engines(&service, fencing);
            for id in plan_orders(&engines, target, &self.shared.rules_of(&service).weights) {
                self.order(id, target, context);
            }
        }
    }

    /// Returns the engines of a service; `loading` is set from the pending orders. Finished and timed out
    /// orders are removed.
    fn engines(&self, service: &ServiceName, fencing: FencingNumber) -> Vec<EngineVersion> {
        let mut pending = lock(&self.pending);
        if pending.fencing != Some(fencing) {
            *pending = PendingOrders { fencing: Some(fencing), by_engine: BTreeMap::new() };
        }
        let mut engines = self.shared.upstreams.engine_versions(service);
        for engine in &mut engines {
            let order = pending.by_engine.get(&engine.id).copied();
            let done = order.is_none_or(|(v, at)| engine.version == v || at.elapsed() >= LOADING_TIMEOUT);
            if done {
                pending.by_engine.remove(&engine.id);
            }
            engine.loading = !done;
        }
        engines
    }

    fn order(&self, id: InstanceId, target: WeightVersion, context: &mut Context<Self>) {
        let Some(url) = self.shared.upstreams.url(&id) else { return };
        let (shared, engine, lease) =
            (Arc::clone(&self.shared), Rc::clone(&self.engine), Rc::clone(&self.lease));
        let pending = Arc::clone(&self.pending);
        lock(&pending).by_engine.insert(id.clone(), (target, Instant::now()));
        let order = async move {
            // Checked again right before sending: the process may have been suspended in the meantime.
            let Some(fencing) = lease.fencing() else {
                lock(&pending).by_engine.remove(&id);
                return;
            };
            let order =
                EngineOrder { fencing: fencing.0, kind: LOAD_WEIGHTS.to_owned(), weight_version: target.0 };
            shared.metrics.orders.inc();
            if let Err(error) = engine.order(&url, &order).await {
                shared.metrics.failed_orders.inc();
                log::warn!(
                    "engine {id} did not accept the order to load weight version {}: {error}",
                    target.0
                );
                lock(&pending).by_engine.remove(&id);
            }
        };
        context.spawn(order.into_actor(self));
    }
}

impl Actor for Rollout {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        context.run_interval(ROLLOUT_INTERVAL, Self::start_round);
    }
}

fn lock(pending: &Mutex<PendingOrders>) -> MutexGuard<'_, PendingOrders> {
    pending.lock().unwrap_or_else(PoisonError::into_inner)
}
