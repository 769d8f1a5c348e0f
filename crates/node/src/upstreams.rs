//! The table of upstreams and stores that this node knows, and their states.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
};

use daisysill_cluster::BootInstant;
use daisysill_core::{
    chart::Chart,
    ids::{InstanceId, ServiceName, WeightVersion, ZoneName},
    view::{ClusterView, StoreView},
};
use daisysill_wire::{
    http_types::{InstanceKind, StoreUsage, UpstreamStatus},
    peer::DispatchCount,
};
use tokio::time::Instant;

use crate::{
    directory::BlockDirectory,
    evacuations::Evacuations,
    live_view::LiveView,
    metrics::Metrics,
    rollout::EngineVersion,
    upstream_entry::{Entry, LeavingSource},
};

/// Link bandwidth assumed until a store reports its own.
const DEFAULT_LINK_BYTES_PER_S: u64 = 10_000_000;

/// All upstreams and stores that this node knows, from the platform's list and from reports.
#[derive(Debug)]
pub struct UpstreamTable {
    chart: Chart,
    pub(crate) metrics: Arc<Metrics>,
    directory: Arc<BlockDirectory>,
    node_count: AtomicUsize,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) entries: BTreeMap<InstanceId, Entry>,
    pub(crate) evacuations: Evacuations,
    /// When the platform's list was last read; `None` before the first time.
    pub(crate) listed_at: Option<BootInstant>,
    pub(crate) live: LiveView,
}

impl UpstreamTable {
    /// Creates an empty table.
    pub fn new(chart: Chart, metrics: Arc<Metrics>, directory: Arc<BlockDirectory>) -> Self {
        let inner = Inner {
            entries: BTreeMap::new(),
            evacuations: Evacuations::default(),
            listed_at: None,
            live: LiveView::new(),
        };
        Self { chart, metrics, directory, node_count: AtomicUsize::new(1), inner: Mutex::new(inner) }
    }

    /// Returns the upstreams and stores as placement decisions see them, and the time in milliseconds on the
    /// clock of this view.
    pub fn view(&self) -> (ClusterView, u64) {
        let mut inner = self.lock();
        self.apply_directory_changes(&mut inner.live);
        (inner.live.snapshot(), inner.live.clock_ms(Instant::now()))
    }

    /// Returns what the estimate of an upstream's queue is based on, as a line for `daisysill explain`.
    pub fn load_basis(&self, id: &InstanceId) -> Option<String> {
        let inner = self.lock();
        inner.live.load_basis(id).map(|basis| basis.reason(inner.live.clock_ms(Instant::now())))
    }

    /// Returns the base URL of an upstream or store; `None` if it is unknown.
    pub fn url(&self, id: &InstanceId) -> Option<String> {
        self.lock().entries.get(id).map(|entry| entry.listed.url.clone())
    }

    /// Counts a dispatch of `tokens` prompt tokens as in flight until the returned guard is dropped.
    pub fn dispatch(self: &Arc<Self>, id: &InstanceId, tokens: u64) -> DispatchGuard {
        let mut inner = self.lock();
        if let Some(entry) = inner.entries.get_mut(id) {
            entry.in_flight += 1;
        }
        let at_ms = inner.live.record_dispatch(id, tokens);
        DispatchGuard { table: Arc::clone(self), id: id.clone(), tokens, at_ms, reached_upstream: true }
    }

    /// Applies a state chart event to one upstream; `refused` means that it refused a request because it is
    /// leaving.
    pub fn event(&self, id: &InstanceId, event: &str) {
        self.change(id, |entry| {
            if event == "refused" {
                entry.set_leaving(LeavingSource::OwnRefusal, true);
            }
            let is_plain = entry.listed.kind == InstanceKind::Plain;
            if is_plain && event == "ping_failed" && entry.set_leaving(LeavingSource::OwnRefusal, false) {
                // Plain upstreams report no incarnation: once the process that refused cannot be reached, the
                // next one that answers is a new process.
                self.end_leaving(entry);
            }
            self.apply_event(entry, event);
        });
    }

    /// Returns the incarnation of an upstream as last reported; 0 before the first report.
    pub fn incarnation(&self, id: &InstanceId) -> u64 {
        self.lock().entries.get(id).and_then(|entry| entry.load.as_ref()).map_or(0, |load| load.incarnation)
    }

    /// Returns this node's equal share of the bandwidth of a store's link.
    pub fn link_bytes_per_s(&self, store: &InstanceId) -> u64 {
        let usage = self.lock().entries.get(store).and_then(|entry| entry.usage.clone());
        self.node_link_share(usage.as_ref())
    }

    /// Sets the number of live nodes, which share each link equally.
    pub fn set_node_count(&self, nodes: usize) {
        self.node_count.store(nodes.max(1), Ordering::Relaxed);
    }

    /// Returns all stores, in any state.
    pub fn store_ids(&self) -> Vec<InstanceId> {
        let entries = &self.lock().entries;
        let stores = entries.iter().filter(|(_, entry)| entry.listed.kind == InstanceKind::Store);
        stores.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the store for exports of an engine, with its URL: the live store with the most free disk
    /// space, if possible in the engine's zone. `None` if no store has space, or the engine's zone is
    /// evacuated.
    pub fn store_for(&self, engine: &InstanceId) -> Option<(InstanceId, String)> {
        let entries = &self.lock().entries;
        let engine = entries.get(engine).filter(|engine| !engine.evacuated)?;
        let zone = engine.listed.availability_zone.clone();
        let stores = entries.iter().filter(|(_, entry)| entry.is_reachable_store());
        let space = |entry: &Entry| {
            let usage = entry.usage.as_ref();
            usage.map_or(0, |u| u.disk_limit_bytes.saturating_sub(u.disk_bytes))
        };
        let stores = stores.filter(|(_, entry)| space(entry) > 0);
        let best = stores.max_by_key(|(_, e)| (e.listed.availability_zone == zone, space(e)))?;
        Some((best.0.clone(), best.1.listed.url.clone()))
    }

    /// Returns the engines of a service as a rollout needs them; `loading` is left to the rollout.
    pub fn engine_versions(&self, service: &ServiceName) -> Vec<EngineVersion> {
        let entries = &self.lock().entries;
        let engines = entries.iter().filter(|(_, entry)| {
            entry.listed.kind == InstanceKind::Engine && entry.listed.service == service.as_str()
        });
        let version = |(id, entry): (&InstanceId, &Entry)| EngineVersion {
            id: id.clone(),
            in_service: entry.is_usable() && entry.state == "live",
            version: WeightVersion(entry.load.as_ref().map_or(0, |load| load.weight_version)),
            loading: false,
        };
        engines.map(version).collect()
    }

    /// Returns the tokens that this node dispatched to each upstream since its last load report.
    pub fn dispatch_counts(&self) -> BTreeMap<InstanceId, DispatchCount> {
        let inner = self.lock();
        let counts = inner.entries.keys().filter_map(|id| Some((id.clone(), inner.live.dispatch_count(id)?)));
        counts.collect()
    }

    /// Returns the upstreams that refused a request of this node because they are leaving.
    pub fn refused_here(&self) -> Vec<InstanceId> {
        let entries = &self.lock().entries;
        entries.iter().filter(|(_, entry)| entry.refused_here()).map(|(id, _)| id.clone()).collect()
    }

    /// Returns the upstreams and stores for the status of the admin API.
    pub fn status(&self) -> Vec<UpstreamStatus> {
        let entries = &self.lock().entries;
        let status = entries.iter().map(|(id, entry)| UpstreamStatus {
            id: id.to_string(),
            service: entry.listed.service.clone(),
            availability_zone: entry.listed.availability_zone.clone(),
            state: entry.state.clone(),
            in_flight: entry.in_flight,
        });
        status.collect()
    }

    /// Returns the upstreams of a service with their zones, and why they get no requests; `None` if they may.
    pub(crate) fn exclusions(&self, service: &ServiceName) -> Vec<(InstanceId, String, Option<String>)> {
        let entries = &self.lock().entries;
        let of_service = entries.iter().filter(|(_, entry)| entry.listed.service == service.as_str());
        let exclusion = |(id, entry): (&InstanceId, &Entry)| {
            (id.clone(), entry.listed.availability_zone.clone(), entry.exclusion())
        };
        of_service.map(exclusion).collect()
    }

    /// Returns the age of the platform's list; `None` before it was read.
    pub(crate) fn list_age_ms(&self) -> Option<u64> {
        let listed_at = self.lock().listed_at?;
        u64::try_from(listed_at.elapsed().as_millis()).ok()
    }

    /// Returns the id, the base URL and the sequence number of the next cache event of each instance of a
    /// kind.
    pub fn poll_targets(&self, kind: InstanceKind) -> Vec<(InstanceId, String, u64)> {
        let entries = &self.lock().entries;
        let wanted = entries.iter().filter(|(_, entry)| entry.listed.kind == kind);
        wanted.map(|(id, entry)| (id.clone(), entry.listed.url.clone(), entry.next_event)).collect()
    }

    fn node_link_share(&self, usage: Option<&StoreUsage>) -> u64 {
        let link = usage.map_or(DEFAULT_LINK_BYTES_PER_S, |usage| usage.link_bytes_per_s);
        link / self.node_count.load(Ordering::Relaxed).max(1) as u64
    }

    fn store_view(&self, id: &InstanceId, entry: &Entry) -> StoreView {
        StoreView {
            id: id.clone(),
            zone: ZoneName::from(entry.listed.availability_zone.as_str()),
            reachable: entry.is_reachable_store(),
            link_bytes_per_s: self.node_link_share(entry.usage.as_ref()),
            booked_bytes: self.directory.booked_bytes(id),
        }
    }

    /// Updates the view with the block directory's changes since the last call.
    pub(crate) fn apply_directory_changes(&self, live: &mut LiveView) {
        for change in self.directory.take_changes() {
            live.apply_directory_change(&change);
        }
    }

    /// Changes an entry, if it exists, and updates the view.
    pub(crate) fn change(&self, id: &InstanceId, change: impl FnOnce(&mut Entry)) {
        let mut inner = self.lock();
        let Inner { entries, live, .. } = &mut *inner;
        if let Some(entry) = entries.get_mut(id) {
            change(entry);
            self.update_view(live, id, entry);
        }
    }

    /// Changes every entry and updates the view.
    pub(crate) fn change_all(&self, change: impl Fn(&InstanceId, &mut Entry)) {
        let mut inner = self.lock();
        let Inner { entries, live, .. } = &mut *inner;
        for (id, entry) in entries.iter_mut() {
            change(id, entry);
            self.update_view(live, id, entry);
        }
    }

    pub(crate) fn update_view(&self, live: &mut LiveView, id: &InstanceId, entry: &mut Entry) {
        if entry.listed.kind != InstanceKind::Store {
            live.put_upstream(id, entry);
        } else if live.put_store(self.store_view(id, entry)) {
            self.directory.requeue_store(id);
        }
    }

    /// Returns an upstream to service if no source reports it as leaving any more.
    pub(crate) fn end_leaving(&self, entry: &mut Entry) {
        if entry.leaving.is_empty() && entry.state == "leaving" {
            self.apply_event(entry, "drain_cleared");
        }
    }

    /// Moves an entry to the next state of the chart; events that its state does not declare are only
    /// counted.
    pub(crate) fn apply_event(&self, entry: &mut Entry, event: &str) {
        match self.chart.next(&entry.state, event) {
            Ok(next) if next == entry.state => {}
            Ok(next) => {
                log::info!("upstream {}: {} -> {next} on {event}", entry.listed.id, entry.state);
                entry.state = next.to_owned();
            }
            Err(_) => {
                self.metrics.undeclared_events.inc();
            }
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A dispatch in flight; it ends when the guard is dropped.
#[derive(Debug)]
pub struct DispatchGuard {
    table: Arc<UpstreamTable>,
    id: InstanceId,
    tokens: u64,
    at_ms: u64,
    /// False after [`Self::retract`].
    reached_upstream: bool,
}

impl DispatchGuard {
    /// Removes the dispatch from the queue estimate, since it did not reach the upstream.
    pub fn retract(mut self) {
        self.reached_upstream = false;
    }
}

impl Drop for DispatchGuard {
    fn drop(&mut self) {
        let mut inner = self.table.lock();
        if let Some(entry) = inner.entries.get_mut(&self.id) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
        if !self.reached_upstream && self.tokens > 0 {
            inner.live.retract_dispatch(&self.id, self.at_ms, self.tokens);
            self.table.metrics.retracted_dispatches.inc();
        }
    }
}
