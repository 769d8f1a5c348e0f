//! Loads new weights into engines, a few at a time, from the one node that holds the lease for it.

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

/// Time between two looks at the versions in service.
const ROLLOUT_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which an engine that was ordered to load and does not report the version is ordered again.
const LOADING_TIMEOUT: Duration = Duration::from_mins(1);
/// The control role whose holder gives orders.
const LEASE_ROLE: &str = "weights";
/// How long the lease lasts without renewal.
const LEASE_DURATION: Duration = Duration::from_secs(5);
/// The order that makes an engine load a version.
const LOAD_WEIGHTS: &str = "load_weights";

/// The lease under which orders are given.
pub trait OrderLease {
    /// Returns the number that an order sent now must carry; `None` if no order may be sent.
    fn fencing(&self) -> Option<FencingNumber>;
}

impl OrderLease for LeaseHolder {
    fn fencing(&self) -> Option<FencingNumber> {
        // The inherent method, not this one.
        Self::fencing(self)
    }
}

/// Returns what this node must hold to give orders.
pub fn lease_config() -> LeaseConfig {
    LeaseConfig { role: LEASE_ROLE.to_owned(), duration: LEASE_DURATION, order_timeout: ORDER_TIMEOUT }
}

/// An engine as the rollout sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineVersion {
    /// The engine.
    pub id: InstanceId,
    /// Whether it takes new work.
    pub in_service: bool,
    /// The version it runs.
    pub version: WeightVersion,
    /// Whether it was ordered to load and has not finished.
    pub loading: bool,
}

/// Returns the engines to order now, so that at most `max_loading` load at once and the floor of engines
/// stays in service. The floor leaves room for one engine, since weights could never change otherwise: 70 percent
/// of 3 engines is all of them.
pub fn plan_orders(engines: &[EngineVersion], target: WeightVersion, rules: &WeightRules) -> Vec<InstanceId> {
    let total = engines.len() as u64;
    let floor = (total * rules.floor_percent).div_ceil(100).min(total.saturating_sub(1));
    let loading = engines.iter().filter(|engine| engine.loading).count() as u64;
    let serving = engines.iter().filter(|engine| engine.in_service && !engine.loading).count() as u64;
    let room = rules.max_loading.saturating_sub(loading).min(serving.saturating_sub(floor));
    let waiting = engines.iter().filter(|e| e.in_service && !e.loading && e.version != target);
    waiting.take(usize::try_from(room).unwrap_or(usize::MAX)).map(|engine| engine.id.clone()).collect()
}

/// Orders engines to load the weights set for their service.
pub struct Rollout {
    shared: Arc<Shared>,
    engine: Rc<dyn Engine>,
    lease: Rc<dyn OrderLease>,
    loading: Arc<Mutex<Loading>>,
}

#[derive(Debug, Default)]
struct Loading {
    /// The number under which the orders were given.
    fencing: Option<FencingNumber>,
    orders: BTreeMap<InstanceId, (WeightVersion, Instant)>,
}

impl Rollout {
    /// Creates the actor; `start` runs it.
    pub fn new(shared: Arc<Shared>, engine: Rc<dyn Engine>, lease: Rc<dyn OrderLease>) -> Self {
        Self { shared, engine, lease, loading: Arc::default() }
    }

    fn tick(&mut self, context: &mut Context<Self>) {
        let Some(fencing) = self.lease.fencing() else { return };
        let targets = self.shared.cluster.view().borrow().weights.clone();
        for (service, target) in targets {
            let engines = self.engines(&service, fencing);
            for id in plan_orders(&engines, target, &self.shared.rules_of(&service).weights) {
                self.order(id, target, context);
            }
        }
    }

    fn engines(&self, service: &ServiceName, fencing: FencingNumber) -> Vec<EngineVersion> {
        let mut loading = lock(&self.loading);
        if loading.fencing != Some(fencing) {
            *loading = Loading { fencing: Some(fencing), orders: BTreeMap::new() };
        }
        let mut engines = self.shared.upstreams.engine_versions(service);
        for engine in &mut engines {
            let order = loading.orders.get(&engine.id).copied();
            let done = order.is_none_or(|(v, at)| engine.version == v || at.elapsed() >= LOADING_TIMEOUT);
            if done {
                loading.orders.remove(&engine.id);
            }
            engine.loading = !done;
        }
        engines
    }

    fn order(&self, id: InstanceId, target: WeightVersion, context: &mut Context<Self>) {
        let Some(url) = self.shared.upstreams.url(&id) else { return };
        let (shared, engine, lease) =
            (Arc::clone(&self.shared), Rc::clone(&self.engine), Rc::clone(&self.lease));
        let loading = Arc::clone(&self.loading);
        lock(&loading).orders.insert(id.clone(), (target, Instant::now()));
        let order = async move {
            // Asked immediately before sending: the process may have been suspended since the plan.
            let Some(fencing) = lease.fencing() else {
                lock(&loading).orders.remove(&id);
                return;
            };
            let order =
                EngineOrder { fencing: fencing.0, kind: LOAD_WEIGHTS.to_owned(), weight_version: target.0 };
            shared.metrics.orders.inc();
            if let Err(error) = engine.order(&url, &order).await {
                shared.metrics.failed_orders.inc();
                log::warn!("engine {id} did not take the order to load version {}: {error}", target.0);
                lock(&loading).orders.remove(&id);
            }
        };
        context.spawn(order.into_actor(self));
    }
}

impl Actor for Rollout {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        context.run_interval(ROLLOUT_INTERVAL, Self::tick);
    }
}

fn lock(loading: &Mutex<Loading>) -> MutexGuard<'_, Loading> {
    loading.lock().unwrap_or_else(PoisonError::into_inner)
}
