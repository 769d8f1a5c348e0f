//! The leader's tasks: reads the list of upstreams for all nodes, and rolls out new weights to engines.
//!
//! Only the leader of the replicated log runs them. Orders and calls that change stores also need a lease.

use std::{collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use daisysill_cluster::{BootInstant, ClusterHandle, LeaseConfig, LeaseHolder, PermitChange, PermitLease};
use daisysill_core::{
    ids::{InstanceId, WeightVersion},
    weight_loading::{WeightState, next_to_load},
};
use daisysill_wire::peer::UpstreamEntry;
use futures::future::join_all;
use tokio::time::{Instant, sleep};

use crate::{
    discovery::{
        Discovery, DocumentFormat, ListedUpstream, LoadOrder, OrderOutcome, OrderSender, StoreClient,
    },
    load_orders::LoadOrders,
    metrics::GatewayMetrics,
    routing_state::RoutingState,
    store_manager::StoreManager,
};

/// Time between the beginnings of two reads of the list.
const LIST_INTERVAL: Duration = Duration::from_millis(900);
/// Time between two steps of a rollout.
const STEP_INTERVAL: Duration = Duration::from_millis(150);
/// Time between two checks whether this node leads, and between two rounds of a leader that loads no weights.
const LEADER_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for entry nodes to stop sending requests to an upstream before it is ordered to load.
const ANNOUNCE_TIME: Duration = Duration::from_millis(60);
/// Role of the lease for orders.
const ORDER_ROLE: &str = "orders";

/// Role of the lease for the catalog of the stores.
const STORE_ROLE: &str = "stores";
/// Maximum time for which a call to a store under that lease can take effect.
const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// The tasks that run on a control node while it leads.
pub struct LeaderTasks<D, O, C> {
    /// Tells whether this node leads, and publishes the list to all nodes.
    pub cluster: ClusterHandle,
    /// Identity of this node, used as holder of leases.
    pub name: InstanceId,
    /// Reads the platform's list of upstreams.
    pub discovery: D,
    /// Sends orders to engines.
    pub orders: O,
    /// Calls stores.
    pub stores: C,
    /// Parses routing documents.
    pub format: Arc<dyn DocumentFormat>,
    /// Counts list reads and orders.
    pub metrics: GatewayMetrics,
    /// Time within which engines must serve new weights.
    pub rollout_limit: Duration,
    /// Minimum time between orders of two successive lease holders.
    pub order_lease: Duration,
}

/// State of a leader, lost when it stops leading.
#[derive(Default)]
struct LeaderState {
    /// The list as last read.
    listed: Vec<UpstreamEntry>,
    /// When that read began; `None` before the first success.
    listed_at: Option<BootInstant>,
    orders: LoadOrders,
}

impl<D: Discovery, O: OrderSender, C: StoreClient> LeaderTasks<D, O, C> {
    /// Runs the tasks whenever this node leads, until it is aborted.
    pub async fn run(self) {
        loop {
            while !self.cluster.is_leader() {
                sleep(LEADER_POLL_INTERVAL).await;
            }
            tracing::info!(event = "leads", node = self.name.as_str());
            let orders = self.lease(ORDER_ROLE, self.order_lease);
            let stores = self.lease(STORE_ROLE, STORE_CALL_TIMEOUT);
            self.lead(&orders, stores).await;
            tracing::info!(event = "leads_no_more", node = self.name.as_str());
        }
    }

    /// Starts to acquire and renew a lease. An order under it can take effect for `order_timeout` after it was sent.
    fn lease(&self, role: &str, order_timeout: Duration) -> LeaseHolder {
        let config = LeaseConfig { role: role.to_owned(), duration: self.order_lease / 2, order_timeout };
        LeaseHolder::start(self.cluster.clone(), self.name.clone(), config)
    }

    /// Runs the tasks until this node no longer leads.
    async fn lead(&self, order_lease: &LeaseHolder, store_lease: LeaseHolder) {
        let mut stores = StoreManager::new(self.stores.clone(), self.cluster.clone(), Rc::new(store_lease));
        let routing = RoutingState::new(self.cluster.clone(), Arc::clone(&self.format));
        let follow_task = actix_rt::spawn(routing.clone().follow(|_| ()));
        let mut state = LeaderState::default();
        let mut permit_lease = PermitLease::default();
        let mut list_due = Instant::now();
        while self.cluster.is_leader() {
            let now = Instant::now();
            if now >= list_due {
                self.read_list(&mut state).await;
                list_due = now + LIST_INTERVAL;
            }
            log_permit_changes(&self.cluster.step_permits(&mut permit_lease, &self.name));
            stores.step(routing.table().as_deref(), self.oldest_in_use(&routing));
            let rolling = self.step_rollout(order_lease, &mut state).await;
            let pause = if rolling { STEP_INTERVAL } else { LEADER_POLL_INTERVAL };
            sleep(pause.min(list_due.saturating_duration_since(Instant::now()))).await;
        }
        log_permit_changes(&self.cluster.end_permits(permit_lease));
        follow_task.abort();
    }

    /// Returns by model the oldest weight version whose cached prompts are still in use. Models whose target version
    /// was set less than the rollout limit ago are left out, since engines may still have any older version.
    fn oldest_in_use(&self, routing: &RoutingState) -> HashMap<String, WeightVersion> {
        let models = self.cluster.view().borrow().target_versions.clone();
        let rolled_out = models.into_keys().filter_map(|model| {
            let target = routing.target_version(&model)?;
            let set_at = self.cluster.target_version_set_at(&model, target);
            let is_rolled_out = set_at.is_some_and(|at| at.elapsed() >= self.rollout_limit);
            is_rolled_out.then_some((model, target))
        });
        rolled_out.collect()
    }

    async fn read_list(&self, state: &mut LeaderState) {
        let begun_at = BootInstant::now();
        self.metrics.list_calls.inc();
        match self.discovery.list().await {
            Ok(listed) => {
                self.cluster.record_cold(ListedUpstream::cold_times(&listed), begun_at);
                let (entries, software) = ListedUpstream::split(listed);
                self.cluster.record_software(software);
                if state.listed_at.is_none() {
                    tracing::info!(event = "list_regained", upstreams = entries.len());
                }
                state.listed = entries;
                state.listed_at = Some(begun_at);
                self.publish(state);
            }
            Err(error) => tracing::info!(event = "list_failed", error),
        }
    }

    /// Publishes the list to all nodes, with pending loads and newer reported weight versions added.
    fn publish(&self, state: &LeaderState) {
        let Some(at) = state.listed_at else { return };
        let entries = state.listed.iter().map(|entry| {
            let mut entry = entry.clone();
            state.orders.complete(&mut entry);
            entry
        });
        self.cluster.publish_upstreams(entries.collect(), at);
    }

    /// Runs one step of the rollout of all target versions; returns whether a rollout is in progress.
    async fn step_rollout(&self, order_lease: &LeaseHolder, state: &mut LeaderState) -> bool {
        let targets = self.cluster.view().borrow().target_versions.clone();
        self.poll_loads(state).await;
        let mut rolling = !state.orders.is_idle();
        for (model, version) in &targets {
            let engines: Vec<UpstreamEntry> = state
                .listed
                .iter()
                .filter(|entry| !entry.draining && entry.models.contains_key(model))
                .cloned()
                .collect();
            let states: Vec<WeightState> =
                engines.iter().map(|engine| state.orders.weight_state(engine, model, *version)).collect();
            let next = next_to_load(&states);
            rolling |= !next.is_empty();
            if next.is_empty() || order_lease.fencing().is_none() {
                continue;
            }
            let chosen: Vec<UpstreamEntry> = next.into_iter().map(|index| engines[index].clone()).collect();
            self.load(order_lease, state, model, *version, &chosen).await;
        }
        rolling
    }

    /// Publishes that upstreams are loading, then orders them to.
    async fn load(
        &self,
        order_lease: &LeaseHolder,
        state: &mut LeaderState,
        model: &str,
        version: WeightVersion,
        chosen: &[UpstreamEntry],
    ) {
        for entry in chosen {
            state.orders.begin(entry, model, version);
        }
        self.publish(state);
        tokio::join!(sleep(ANNOUNCE_TIME), self.count_accepted_orders(state, chosen));
        let outdated = chosen.iter().filter(|entry| state.orders.is_pending(entry));
        let outdated: Vec<(&UpstreamEntry, Option<u64>)> =
            outdated.map(|entry| (entry, state.orders.accepted_orders(entry))).collect();
        let sent = outdated.into_iter().map(|(entry, orders_before)| async move {
            // Checked right before each order, since the process may have been suspended.
            let Some(fencing) = order_lease.fencing() else { return (entry, None) };
            let (model, holder) = (model.to_owned(), self.name.clone());
            let order = LoadOrder { model, version, holder, fencing, orders_before };
            let outcome = self.send_order(entry, &order).await;
            (entry, Some((order, outcome)))
        });
        for (entry, sent) in join_all(sent).await {
            match sent {
                Some((order, outcome)) => state.orders.record_outcome(entry, &order, outcome),
                None => state.orders.record_refusal(entry),
            }
        }
        self.publish(state);
    }

    /// Reads the reports of upstreams that are about to be ordered, where it is not known how many orders they have accepted.
    /// Those that do not answer are not ordered now.
    async fn count_accepted_orders(&self, state: &mut LeaderState, chosen: &[UpstreamEntry]) {
        let unknown: Vec<&UpstreamEntry> =
            chosen.iter().filter(|entry| state.orders.accepted_orders(entry).is_none()).collect();
        let reports = join_all(unknown.iter().map(|entry| self.orders.report(entry))).await;
        for (entry, report) in unknown.into_iter().zip(reports) {
            state.orders.record_report(entry, report.as_ref());
            if report.is_none() {
                state.orders.record_refusal(entry);
            }
        }
    }

    async fn send_order(&self, entry: &UpstreamEntry, order: &LoadOrder) -> OrderOutcome {
        self.metrics.orders.inc();
        let outcome = self.orders.load(entry, order).await;
        tracing::info!(
            event = "order",
            upstream = entry.id.as_str(),
            model = order.model,
            version = order.version.0,
            fencing = order.fencing.0,
            orders_before = order.orders_before,
            outcome = ?outcome,
        );
        outcome
    }

    /// Reads the reports of upstreams that are loading or seem to have gone back to older weights, and drops loads that are
    /// done, timed out or no longer listed.
    async fn poll_loads(&self, state: &mut LeaderState) {
        let Some(listed_at) = state.listed_at else { return };
        let due = state.orders.due(&state.listed, listed_at);
        let reports = join_all(due.iter().map(|entry| self.orders.report(entry))).await;
        let mut changed = false;
        for (entry, report) in due.iter().zip(reports) {
            changed |= state.orders.record_report(entry, report.as_ref());
        }
        changed |= state.orders.discard_ended(&state.listed);
        if changed {
            self.publish(state);
        }
    }
}

/// Logs for which upstreams grants have begun or ended.
fn log_permit_changes(changes: &[PermitChange]) {
    for change in changes {
        let phase = if change.begins { "begin" } else { "end" };
        tracing::info!(event = "permits", upstream = change.upstream.as_str(), phase);
    }
}
