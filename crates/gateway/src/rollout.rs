//! Reads the list of upstreams for all nodes, and brings engines to the weights that were named.
//!
//! Both are done by the leader of the replicated log only; orders also need the lease.

use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use daisysill_cluster::{BootInstant, ClusterHandle, LeaseConfig, LeaseHolder};
use daisysill_core::{
    ids::{InstanceId, WeightVersion},
    weight_loading::{WeightState, next_to_load},
};
use daisysill_wire::peer::UpstreamEntry;
use futures::future::join_all;
use tokio::time::{Instant, sleep};

use crate::{
    discovery::{Discovery, DocumentFormat, LoadOrder, OrderOutcome, OrderSender, StoreClient},
    metrics::GatewayMetrics,
    routing_state::RoutingState,
    store_manager::StoreKeeper,
};

/// Time between two reads of the list.
const LIST_INTERVAL: Duration = Duration::from_millis(900);
/// Time between two steps of a rollout.
const STEP_INTERVAL: Duration = Duration::from_millis(150);
/// Time between two looks at who leads.
const LEADER_CHECK: Duration = Duration::from_millis(100);
/// Entry nodes get this long to stop sending to an upstream before it is ordered to load.
const ANNOUNCE_TIME: Duration = Duration::from_millis(60);
/// Time between two questions to an upstream that loads.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// An upstream that does not have its weights after this time is ordered again.
const LOAD_LIMIT: Duration = Duration::from_secs(4);
/// The lease under which orders are given.
const ORDER_ROLE: &str = "orders";

/// The lease under which the catalog of the stores is kept, and the longest time for which a call to a store under it
/// can take effect.
const STORE_ROLE: &str = "stores";
const STORE_CALL: Duration = Duration::from_millis(700);

/// An upstream at one of its starts.
type Incarnation = (InstanceId, u64);

/// An order whose effect is awaited.
#[derive(Clone, Debug)]
struct Pending {
    version: WeightVersion,
    ordered_at: Instant,
    asked_at: Instant,
}

/// The duties of the leader.
pub struct Leader<D, O, C> {
    /// This node's part of the cluster.
    pub cluster: ClusterHandle,
    /// This node.
    pub name: InstanceId,
    /// The list.
    pub discovery: D,
    /// Gives orders.
    pub orders: O,
    /// Talks to stores.
    pub stores: C,
    /// Reads routing documents.
    pub format: Arc<dyn DocumentFormat>,
    /// Counters.
    pub metrics: GatewayMetrics,
    /// New weights must be in place within this time.
    pub weights_limit: Duration,
    /// Orders of two holders must be this far apart.
    pub order_lease: Duration,
}

/// What a leader knows while it leads.
#[derive(Default)]
struct Knowledge {
    listed: Vec<UpstreamEntry>,
    listed_at: Option<BootInstant>,
    reported: HashMap<Incarnation, BTreeMap<String, WeightVersion>>,
    pending: HashMap<Incarnation, Pending>,
}

impl<D: Discovery, O: OrderSender, C: StoreClient> Leader<D, O, C> {
    /// Runs until it is aborted.
    pub async fn run(self) {
        loop {
            while !self.cluster.is_leader() {
                sleep(LEADER_CHECK).await;
            }
            tracing::info!(event = "leads", node = self.name.as_str());
            let orders = self.lease(ORDER_ROLE, self.order_lease);
            let stores = self.lease(STORE_ROLE, STORE_CALL);
            self.lead(&orders, stores).await;
            tracing::info!(event = "leads_no_more", node = self.name.as_str());
        }
    }

    fn lease(&self, role: &str, order_timeout: Duration) -> LeaseHolder {
        let terms = LeaseConfig { role: role.to_owned(), duration: self.order_lease / 2, order_timeout };
        LeaseHolder::start(self.cluster.clone(), self.name.clone(), terms)
    }

    async fn lead(&self, keeper: &LeaseHolder, store_lease: LeaseHolder) {
        let mut stores = StoreKeeper::new(self.stores.clone(), self.cluster.clone(), Rc::new(store_lease));
        let routing = RoutingState::default();
        let following = routing.clone().follow(self.cluster.clone(), Arc::clone(&self.format));
        let following = actix_rt::spawn(following);
        let mut knowledge = Knowledge::default();
        let mut list_due = Instant::now();
        while self.cluster.is_leader() {
            if Instant::now() >= list_due {
                self.read_list(&mut knowledge).await;
                list_due = Instant::now() + LIST_INTERVAL;
            }
            stores.step(routing.table().as_deref(), self.oldest_in_use(&routing));
            let rolling = self.step_rollout(keeper, &mut knowledge).await;
            let pause = if rolling { STEP_INTERVAL } else { LEADER_CHECK };
            sleep(pause.min(list_due.saturating_duration_since(Instant::now()))).await;
        }
        following.abort();
    }

    /// Versions whose cached prompts are of use, by model: older ones go once the new weights are in place.
    fn oldest_in_use(&self, routing: &RoutingState) -> HashMap<String, WeightVersion> {
        let models = self.cluster.view().borrow().target_versions.clone();
        let settled = models.into_keys().filter_map(|model| {
            let named = routing.named_version(&model)?;
            (named.since.elapsed() >= self.weights_limit).then_some((model, named.version))
        });
        settled.collect()
    }

    async fn read_list(&self, knowledge: &mut Knowledge) {
        let asked_at = BootInstant::now();
        self.metrics.list_calls.inc();
        match self.discovery.list().await {
            Ok(entries) => {
                if knowledge.listed_at.is_none() {
                    tracing::info!(event = "list_regained", upstreams = entries.len());
                }
                knowledge.listed = entries;
                knowledge.listed_at = Some(asked_at);
                self.publish(knowledge);
            }
            Err(error) => tracing::info!(event = "list_failed", error),
        }
    }

    /// Shares the list, with what is known better than the list tells.
    fn publish(&self, knowledge: &Knowledge) {
        let Some(at) = knowledge.listed_at else { return };
        let entries = knowledge.listed.iter().map(|entry| {
            let mut entry = entry.clone();
            let incarnation = incarnation(&entry);
            entry.loading = knowledge.pending.contains_key(&incarnation);
            for (model, version) in knowledge.reported.get(&incarnation).into_iter().flatten() {
                let listed = entry.models.entry(model.clone()).or_default();
                *listed = (*listed).max(*version);
            }
            entry
        });
        self.cluster.publish_upstreams(entries.collect(), at);
    }

    /// Does what is due for the weights that were named; returns whether anything is.
    async fn step_rollout(&self, keeper: &LeaseHolder, knowledge: &mut Knowledge) -> bool {
        let named = self.cluster.view().borrow().target_versions.clone();
        self.settle(&named, knowledge).await;
        let mut rolling = !knowledge.pending.is_empty();
        for (model, version) in &named {
            let engines: Vec<UpstreamEntry> = knowledge
                .listed
                .iter()
                .filter(|entry| !entry.draining && entry.models.contains_key(model))
                .cloned()
                .collect();
            let states: Vec<WeightState> =
                engines.iter().map(|engine| knowledge.load_state(engine, model, *version)).collect();
            let next = next_to_load(&states);
            rolling |= !next.is_empty();
            if next.is_empty() || keeper.fencing().is_none() {
                continue;
            }
            let chosen: Vec<UpstreamEntry> = next.into_iter().map(|index| engines[index].clone()).collect();
            self.load(keeper, knowledge, model, *version, &chosen).await;
        }
        rolling
    }

    /// Announces that upstreams load, then orders them to.
    async fn load(
        &self,
        keeper: &LeaseHolder,
        knowledge: &mut Knowledge,
        model: &str,
        version: WeightVersion,
        chosen: &[UpstreamEntry],
    ) {
        let now = Instant::now();
        for entry in chosen {
            let pending = Pending { version, ordered_at: now, asked_at: now };
            knowledge.pending.insert(incarnation(entry), pending);
        }
        self.publish(knowledge);
        sleep(ANNOUNCE_TIME).await;
        let sent = chosen.iter().map(|entry| async move {
            // Asked right before the order: the process may have been suspended.
            let fencing = keeper.fencing()?;
            let order = LoadOrder { model: model.to_owned(), version, holder: self.name.clone(), fencing };
            self.metrics.orders.inc();
            let outcome = self.orders.load(entry, &order).await;
            tracing::info!(
                event = "order",
                upstream = entry.id.as_str(),
                model,
                version = version.0,
                fencing = fencing.0,
                outcome = ?outcome,
            );
            Some(outcome)
        });
        let outcomes = join_all(sent).await;
        for (entry, outcome) in chosen.iter().zip(outcomes) {
            match outcome {
                Some(OrderOutcome::Accepted | OrderOutcome::Unknown) => {}
                Some(OrderOutcome::InPlace) => knowledge.has_version(entry, model, version),
                Some(OrderOutcome::Busy | OrderOutcome::Refused) | None => {
                    knowledge.pending.remove(&incarnation(entry));
                }
            }
        }
        self.publish(knowledge);
    }

    /// Asks upstreams that load whether they have their weights, and gives up on those that take too long.
    async fn settle(&self, named: &BTreeMap<String, WeightVersion>, knowledge: &mut Knowledge) {
        let now = Instant::now();
        let due: Vec<UpstreamEntry> = knowledge
            .listed
            .iter()
            .filter(|entry| {
                let pending = knowledge.pending.get(&incarnation(entry));
                pending.is_some_and(|pending| now.duration_since(pending.asked_at) >= REPORT_INTERVAL)
            })
            .cloned()
            .collect();
        let answers = join_all(due.iter().map(|entry| self.orders.versions(entry))).await;
        let mut changed = false;
        for (entry, versions) in due.iter().zip(answers) {
            if let Some(pending) = knowledge.pending.get_mut(&incarnation(entry)) {
                pending.asked_at = Instant::now();
            }
            for (model, version) in versions.into_iter().flatten() {
                let reached = named.get(&model).is_some_and(|named| version >= *named);
                if reached {
                    knowledge.has_version(entry, &model, version);
                    changed = true;
                }
            }
        }
        let listed: Vec<Incarnation> = knowledge.listed.iter().map(incarnation).collect();
        let before = knowledge.pending.len();
        knowledge.pending.retain(|incarnation, pending| {
            let in_time = pending.ordered_at.elapsed() < LOAD_LIMIT;
            if !in_time {
                let (upstream, version) = (incarnation.0.as_str(), pending.version.0);
                tracing::info!(event = "load_timeout", upstream, version);
            }
            in_time && listed.contains(incarnation)
        });
        knowledge.reported.retain(|incarnation, _| listed.contains(incarnation));
        if changed || before != knowledge.pending.len() {
            self.publish(knowledge);
        }
    }
}

impl Knowledge {
    fn load_state(&self, engine: &UpstreamEntry, model: &str, version: WeightVersion) -> WeightState {
        let incarnation = incarnation(engine);
        let listed = engine.models.get(model).copied();
        let reported = self.reported.get(&incarnation).and_then(|versions| versions.get(model)).copied();
        if listed.max(reported).is_some_and(|held| held >= version) {
            return WeightState::UpToDate;
        }
        if self.pending.contains_key(&incarnation) {
            return WeightState::Loading;
        }
        WeightState::Outdated { in_flight: 0 }
    }

    fn has_version(&mut self, entry: &UpstreamEntry, model: &str, version: WeightVersion) {
        let incarnation = incarnation(entry);
        self.pending.remove(&incarnation);
        self.reported.entry(incarnation).or_default().insert(model.to_owned(), version);
    }
}

fn incarnation(entry: &UpstreamEntry) -> Incarnation {
    (entry.id.clone(), entry.started_unix_ms)
}
