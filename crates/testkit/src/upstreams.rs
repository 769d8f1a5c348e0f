//! The upstream stand-ins of a deployment.

use std::collections::BTreeMap;

use daisysill_wire::http_types::InstanceKind;

use crate::{
    deployment::serves_requests,
    deployment_config::{DeploymentConfig, UpstreamPlan},
    engine::{Engine, EngineConfig},
    plain::PlainService,
    store::Store,
    weight_store::WeightStore,
};

/// The upstream stand-ins of a deployment, by instance id.
#[derive(Debug)]
pub struct Upstreams {
    /// Engines by id; all have the same configuration.
    pub engines: BTreeMap<String, Engine>,
    /// Plain services by id.
    pub plain: BTreeMap<String, PlainService>,
    /// Stores by id; all have the same configuration.
    pub stores: BTreeMap<String, Store>,
    /// Weight store of all engines.
    pub weights: WeightStore,
    plans: Vec<UpstreamPlan>,
}

impl Upstreams {
    /// Starts the weight store, then all upstreams of the configuration.
    pub fn start(config: &DeploymentConfig) -> Self {
        let weights = WeightStore::start(config.weight_load_ms, config.weight_loads);
        let engine = EngineConfig { weight_store_url: weights.url(), ..config.engine.clone() };
        let mut upstreams = Self {
            engines: BTreeMap::new(),
            plain: BTreeMap::new(),
            stores: BTreeMap::new(),
            weights,
            plans: config.upstreams.clone(),
        };
        for plan in &config.upstreams {
            let id = plan.id.clone();
            match plan.kind {
                InstanceKind::Engine => drop(upstreams.engines.insert(id, Engine::start(engine.clone()))),
                InstanceKind::Plain => drop(upstreams.plain.insert(id, PlainService::start())),
                InstanceKind::Store => {
                    drop(upstreams.stores.insert(id, Store::start(config.store.clone())));
                }
            }
        }
        upstreams
    }

    /// Returns the availability zone of an upstream; `None` for an unknown id.
    pub fn zone(&self, id: &str) -> Option<&str> {
        self.plans.iter().find(|plan| plan.id == id).map(|plan| plan.zone.as_str())
    }

    /// Returns every upstream with its base URL, in the order of the configuration.
    pub fn listed(&self) -> Vec<(UpstreamPlan, String)> {
        self.plans.iter().map(|plan| (plan.clone(), self.url(plan))).collect()
    }

    /// Returns the number of engines and plain services.
    pub fn serving_upstreams(&self) -> usize {
        self.plans.iter().filter(|plan| serves_requests(plan.kind)).count()
    }

    /// Returns how often all plain services together ran each request, by idempotency key and body.
    pub fn plain_runs(&self) -> BTreeMap<(String, String), u64> {
        let mut runs: BTreeMap<(String, String), u64> = BTreeMap::new();
        for service in self.plain.values() {
            for (request, count) in service.runs_by_key() {
                *runs.entry(request).or_default() += count;
            }
        }
        runs
    }

    fn url(&self, plan: &UpstreamPlan) -> String {
        match plan.kind {
            InstanceKind::Engine => self.engines[&plan.id].url(),
            InstanceKind::Plain => self.plain[&plan.id].url(),
            InstanceKind::Store => self.stores[&plan.id].url(),
        }
    }
}
