//! What this node believes about upstreams and stores, kept up to date by polling.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use actix::{Actor, AsyncContext, Context, WrapFuture};
use daisysill_core::{
    block::BlockName,
    chart::Chart,
    ids::{InstanceId, ServiceName, WeightVersion, ZoneName},
    view::{ClusterView, LoadReport, StoreView, UpstreamState, UpstreamView},
};
use daisysill_wire::border::{
    CacheEventKind, CacheEvents, EngineLoad, InstanceKind, InstanceState, PlatformInstance, UpstreamStatus,
};

use crate::{
    metrics::Metrics,
    shared::Shared,
    upstream_edge::{Engine, Platform},
};

/// Prefill speed assumed until an engine reports its own.
const ASSUMED_PREFILL_TOKENS_PER_S: u64 = 10_000;

/// One upstream as this node sees it.
#[derive(Clone, Debug)]
struct Entry {
    listed: PlatformInstance,
    /// State of the upstream chart.
    state: String,
    load: Option<EngineLoad>,
    pieces: BTreeSet<BlockName>,
    next_event: u64,
    incarnation: u64,
    dispatched_tokens: u64,
    in_flight: u64,
}

/// All upstreams and stores that this node knows.
#[derive(Debug)]
pub struct UpstreamTable {
    chart: Chart,
    metrics: Arc<Metrics>,
    entries: Mutex<BTreeMap<InstanceId, Entry>>,
}

impl UpstreamTable {
    /// Creates an empty table.
    pub fn new(chart: Chart, metrics: Arc<Metrics>) -> Self {
        Self { chart, metrics, entries: Mutex::default() }
    }

    /// Returns the engines and stores as the decisions see them.
    pub fn view(&self) -> ClusterView {
        let entries = self.lock();
        let mut view = ClusterView::default();
        for (id, entry) in entries.iter() {
            match entry.listed.kind {
                InstanceKind::Engine | InstanceKind::Plain => put_upstream(&mut view, id, entry),
                InstanceKind::Store => view.put_store(store_view(id, entry)),
            }
            entry.pieces.iter().for_each(|piece| view.piece_stored(id, piece));
        }
        view
    }

    /// Returns the base URL of an upstream.
    pub fn url(&self, id: &InstanceId) -> Option<String> {
        self.lock().get(id).map(|entry| entry.listed.url.clone())
    }

    /// Counts a dispatch until the returned guard is dropped.
    pub fn dispatch(self: &Arc<Self>, id: &InstanceId, tokens: u64) -> DispatchGuard {
        if let Some(entry) = self.lock().get_mut(id) {
            entry.in_flight += 1;
            entry.dispatched_tokens += tokens;
        }
        DispatchGuard { table: Arc::clone(self), id: id.clone() }
    }

    /// Feeds an event to the life cycle of one upstream.
    pub fn event(&self, id: &InstanceId, event: &str) {
        if let Some(entry) = self.lock().get_mut(id) {
            self.advance(entry, event);
        }
    }

    /// Returns the upstreams for the status report.
    pub fn status(&self) -> Vec<UpstreamStatus> {
        let entries = self.lock();
        let status = entries.iter().map(|(id, entry)| UpstreamStatus {
            id: id.to_string(),
            service: entry.listed.service.clone(),
            availability_zone: entry.listed.availability_zone.clone(),
            state: entry.state.clone(),
            in_flight: entry.in_flight,
        });
        status.collect()
    }

    fn apply_list(&self, instances: Vec<PlatformInstance>) {
        let mut entries = self.lock();
        let listed: BTreeSet<InstanceId> =
            instances.iter().map(|i| InstanceId::from(i.id.as_str())).collect();
        for (id, entry) in entries.iter_mut() {
            if !listed.contains(id) {
                self.advance(entry, "removed");
            }
        }
        entries.retain(|_, entry| entry.state != "gone" || entry.in_flight > 0);
        for instance in instances {
            let id = InstanceId::from(instance.id.as_str());
            let event = match instance.state {
                InstanceState::Live => "listed",
                InstanceState::Leaving => "listed_leaving",
            };
            let entry = entries.entry(id).or_insert_with(|| Entry::new(instance.clone()));
            entry.listed = instance;
            self.advance(entry, event);
        }
    }

    fn apply_drains(&self, draining: &BTreeSet<InstanceId>) {
        for (id, entry) in self.lock().iter_mut() {
            if draining.contains(id) {
                self.advance(entry, "drain_marked");
            }
        }
    }

    fn apply_load(&self, id: &InstanceId, load: EngineLoad) {
        let mut entries = self.lock();
        let Some(entry) = entries.get_mut(id) else { return };
        // The report covers what was dispatched before it; only later dispatches are still to be added.
        entry.dispatched_tokens = 0;
        entry.load = Some(load);
        self.advance(entry, "ping_ok");
    }

    fn apply_cache_events(&self, id: &InstanceId, events: CacheEvents) {
        let mut entries = self.lock();
        let Some(entry) = entries.get_mut(id) else { return };
        if entry.incarnation != events.incarnation {
            entry.incarnation = events.incarnation;
            entry.pieces.clear();
        }
        entry.next_event = events.next_seq;
        for event in events.events {
            let name = BlockName::from(event.piece.as_str());
            match event.kind {
                CacheEventKind::Stored => entry.pieces.insert(name),
                CacheEventKind::Evicted => entry.pieces.remove(&name),
            };
        }
    }

    fn engines(&self) -> Vec<(InstanceId, String, u64)> {
        let entries = self.lock();
        let engines = entries.iter().filter(|(_, entry)| entry.listed.kind == InstanceKind::Engine);
        engines.map(|(id, entry)| (id.clone(), entry.listed.url.clone(), entry.next_event)).collect()
    }

    fn advance(&self, entry: &mut Entry, event: &str) {
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

    fn lock(&self) -> MutexGuard<'_, BTreeMap<InstanceId, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Entry {
    fn new(listed: PlatformInstance) -> Self {
        Self {
            listed,
            state: "unknown".to_owned(),
            load: None,
            pieces: BTreeSet::new(),
            next_event: 0,
            incarnation: 0,
            dispatched_tokens: 0,
            in_flight: 0,
        }
    }
}

/// Ends the count of a dispatch when dropped.
#[derive(Debug)]
pub struct DispatchGuard {
    table: Arc<UpstreamTable>,
    id: InstanceId,
}

impl Drop for DispatchGuard {
    fn drop(&mut self) {
        if let Some(entry) = self.table.lock().get_mut(&self.id) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }
}

fn put_upstream(view: &mut ClusterView, id: &InstanceId, entry: &Entry) {
    let load = entry.load.as_ref();
    view.put_upstream(UpstreamView {
        id: id.clone(),
        service: ServiceName::from(entry.listed.service.as_str()),
        zone: ZoneName::from(entry.listed.availability_zone.as_str()),
        state: match entry.state.as_str() {
            "live" => UpstreamState::Live,
            "suspect" => UpstreamState::Suspect,
            "leaving" => UpstreamState::Leaving,
            _ => UpstreamState::Down,
        },
        weight_version: WeightVersion(load.map_or(0, |l| l.weight_version)),
    });
    let prefill_tokens_per_s = load.map_or(ASSUMED_PREFILL_TOKENS_PER_S, |l| l.prefill_tokens_per_s);
    let queue_tokens = load.map_or(0, |l| l.queue_tokens);
    view.report(id, LoadReport { at_ms: 0, queue_tokens, prefill_tokens_per_s });
    view.dispatched(id, 0, entry.dispatched_tokens);
}

fn store_view(id: &InstanceId, entry: &Entry) -> StoreView {
    StoreView {
        id: id.clone(),
        zone: ZoneName::from(entry.listed.availability_zone.as_str()),
        reachable: entry.state == "live",
        link_bytes_per_s: 1,
        booked_bytes: 0,
    }
}

/// Polls the platform's list, and each engine's load and cache events.
pub struct UpstreamMonitor {
    shared: Arc<Shared>,
    engine: Rc<dyn Engine>,
    platform: Rc<dyn Platform>,
}

impl UpstreamMonitor {
    /// Creates the actor; `start` runs it.
    pub fn new(shared: Arc<Shared>, engine: Rc<dyn Engine>, platform: Rc<dyn Platform>) -> Self {
        Self { shared, engine, platform }
    }

    fn poll_list(&self, context: &mut Context<Self>) {
        let (shared, platform) = (Arc::clone(&self.shared), Rc::clone(&self.platform));
        let poll = async move {
            if let Ok(list) = platform.instances(&shared.config.platform.url).await {
                shared.upstreams.apply_list(list.instances);
            }
            shared.upstreams.apply_drains(&shared.cluster.view().borrow().draining);
        };
        context.spawn(poll.into_actor(self));
    }

    fn poll_engines(&self, context: &mut Context<Self>) {
        for (id, url, after) in self.shared.upstreams.engines() {
            let (shared, engine) = (Arc::clone(&self.shared), Rc::clone(&self.engine));
            let poll = async move {
                match engine.load(&url).await {
                    Ok(load) => shared.upstreams.apply_load(&id, load),
                    Err(_) => shared.upstreams.event(&id, "ping_failed"),
                }
                if let Ok(events) = engine.cache_events(&url, after).await {
                    shared.upstreams.apply_cache_events(&id, events);
                }
            };
            context.spawn(poll.into_actor(self));
        }
    }
}

impl Actor for UpstreamMonitor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        let services = self.shared.config.services.values();
        let engine_poll_ms = services.map(|service| service.poll_ms).min().unwrap_or(500);
        self.poll_list(context);
        context
            .run_interval(Duration::from_millis(self.shared.config.platform.poll_ms), Self::poll_list_tick);
        context.run_interval(Duration::from_millis(engine_poll_ms), Self::poll_engines_tick);
    }
}

impl UpstreamMonitor {
    fn poll_list_tick(&mut self, context: &mut Context<Self>) {
        self.poll_list(context);
    }

    fn poll_engines_tick(&mut self, context: &mut Context<Self>) {
        self.poll_engines(context);
    }
}
