//! Soft state of entry nodes: their work in flight, which the leader adds up, and the catalog of stored prompt parts.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use daisysill_core::ids::InstanceId;
use daisysill_wire::peer::{StoredPart, StoredPartsUpdate, UpstreamLoad};

use crate::clock::BootInstant;

/// The loads of a node that has not reported for this time are discarded, and so are totals of this age.
const LOAD_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of catalog changes retained for incremental updates.
const MAX_RECENT_CHANGES: usize = 4_096;
/// Maximum number of uses of stored parts queued; further ones are dropped.
const MAX_QUEUED_USES: usize = 2_048;

/// Work in flight by entry node, as collected by the leader.
#[derive(Debug, Default)]
pub(crate) struct LoadTable {
    by_node: BTreeMap<InstanceId, (BootInstant, Vec<UpstreamLoad>)>,
}

impl LoadTable {
    fn report(&mut self, node: &InstanceId, loads: Vec<UpstreamLoad>) {
        self.by_node.insert(node.clone(), (BootInstant::now(), loads));
    }

    fn totals(&mut self) -> Vec<UpstreamLoad> {
        self.by_node.retain(|_, (at, _)| at.elapsed() < LOAD_TIMEOUT);
        let mut totals: HashMap<u64, UpstreamLoad> = HashMap::new();
        let mut unreachable: HashMap<u64, u32> = HashMap::new();
        for load in self.by_node.values().flat_map(|(_, loads)| loads) {
            let total = totals.entry(load.upstream).or_default();
            if load.unreachable_from != 0 {
                // A single node may have lost a packet, so two nodes of a zone must report it.
                let reported_once = unreachable.entry(load.upstream).or_default();
                total.unreachable_from |= *reported_once & load.unreachable_from;
                *reported_once |= load.unreachable_from;
            }
            total.upstream = load.upstream;
            total.requests = total.requests.saturating_add(load.requests);
            total.tokens = total.tokens.saturating_add(load.tokens);
            total.pending_prefill_tokens =
                total.pending_prefill_tokens.saturating_add(load.pending_prefill_tokens);
        }
        totals.into_values().collect()
    }
}

/// A change of the catalog: the hash of a part, and `None` if it must no longer be fetched.
type StoredPartChange = (u64, Option<StoredPart>);

/// The catalog of stored parts on the node that maintains it, with its recent changes.
#[derive(Debug, Default)]
struct StoredPartsCatalog {
    /// Empty while this node does not maintain the catalog.
    source: String,
    number: u64,
    parts: HashMap<u64, StoredPart>,
    recent: VecDeque<StoredPartChange>,
    /// A reading of a store's clock in ms, and a time not before it.
    clock: Option<(u64, BootInstant)>,
}

impl StoredPartsCatalog {
    fn apply(&mut self, change: StoredPartChange) {
        match change {
            (part, Some(stored)) => drop(self.parts.insert(part, stored)),
            (part, None) => drop(self.parts.remove(&part)),
        }
        self.number += 1;
        self.recent.push_back(change);
        if self.recent.len() > MAX_RECENT_CHANGES {
            self.recent.pop_front();
        }
    }

    fn changes_since(&self, source: &str, number: u64) -> Option<StoredPartsUpdate> {
        let clock_ms = clock_now(self.clock?);
        let missed = self.number.checked_sub(number).and_then(|missed| usize::try_from(missed).ok());
        let mut update = StoredPartsUpdate {
            source: self.source.clone(),
            number: self.number,
            clock_ms,
            ..StoredPartsUpdate::default()
        };
        let missed = missed.filter(|missed| source == self.source && *missed <= self.recent.len());
        let Some(missed) = missed else {
            update.is_full = true;
            update.added = self.parts.values().copied().collect();
            return Some(update);
        };
        for (part, stored) in self.recent.range(self.recent.len() - missed..) {
            match stored {
                Some(stored) => update.added.push(*stored),
                None => update.removed.push(*part),
            }
        }
        // Only the last change of a part is sent.
        update.added.retain(|added| self.parts.get(&added.part) == Some(added));
        update.removed.retain(|part| !self.parts.contains_key(part));
        Some(update)
    }
}

/// The catalog of stored parts as an entry node has it.
#[derive(Debug, Default)]
struct StoredPartsIndex {
    source: String,
    number: u64,
    parts: HashMap<u64, StoredPart>,
    updated_at: Option<BootInstant>,
    /// The clock of the last update in ms, and when the update arrived.
    clock: Option<(u64, BootInstant)>,
}

#[derive(Debug, Default)]
struct Inner {
    loads: LoadTable,
    catalog: StoredPartsCatalog,
    index: StoredPartsIndex,
    reported_uses: Vec<u64>,
    own_loads: Vec<UpstreamLoad>,
    own_uses: Vec<u64>,
    /// The totals of all nodes, and this node's own share of them.
    total_loads: HashMap<u64, UpstreamLoad>,
    reported_loads: HashMap<u64, UpstreamLoad>,
    totals_at: Option<BootInstant>,
}

/// The soft state of one node.
#[derive(Debug, Default)]
pub(crate) struct SoftState(Mutex<Inner>);

impl SoftState {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the loads and the used parts that a node reports.
    pub(crate) fn record_report(&self, node: &InstanceId, loads: Vec<UpstreamLoad>, used_parts: &[u64]) {
        let mut inner = self.lock();
        inner.loads.report(node, loads);
        if inner.reported_uses.len() < MAX_QUEUED_USES {
            inner.reported_uses.extend_from_slice(used_parts);
        }
    }

    /// Returns the total work in flight of all nodes, by upstream.
    pub(crate) fn totals(&self) -> Vec<UpstreamLoad> {
        self.lock().loads.totals()
    }

    /// Returns the changes of the catalog after a source and number; `None` if this node does not maintain it.
    pub(crate) fn stored_parts_update(&self, after: &(String, u64)) -> Option<StoredPartsUpdate> {
        let inner = self.lock();
        if inner.catalog.source.is_empty() {
            return None;
        }
        inner.catalog.changes_since(&after.0, after.1)
    }

    /// Starts an empty catalog; `source` identifies it.
    pub(crate) fn open_catalog(&self, source: String) {
        self.lock().catalog = StoredPartsCatalog { source, ..StoredPartsCatalog::default() };
    }

    /// Discards the catalog.
    pub(crate) fn close_catalog(&self) {
        self.lock().catalog = StoredPartsCatalog::default();
    }

    /// Publishes changes of the catalog. `clock` is a reading of a store's clock in ms and a time not before it.
    pub(crate) fn publish(&self, changes: Vec<StoredPartChange>, clock: Option<(u64, BootInstant)>) {
        let mut inner = self.lock();
        for change in changes {
            inner.catalog.apply(change);
        }
        inner.catalog.clock = clock.or(inner.catalog.clock);
    }

    /// Returns the uses of stored parts that nodes have reported since the previous call.
    pub(crate) fn take_reported_uses(&self) -> Vec<u64> {
        std::mem::take(&mut self.lock().reported_uses)
    }

    /// Replaces this node's work in flight, by upstream.
    pub(crate) fn set_own_loads(&self, loads: Vec<UpstreamLoad>) {
        self.lock().own_loads = loads;
    }

    /// Records that this node has used a stored part.
    pub(crate) fn record_use(&self, part: u64) {
        let mut inner = self.lock();
        if inner.own_uses.len() < MAX_QUEUED_USES {
            inner.own_uses.push(part);
        }
    }

    /// Returns this node's next report: its loads, the parts it has used, and the source and number of its catalog.
    pub(crate) fn own_report(&self) -> (Vec<UpstreamLoad>, Vec<u64>, (String, u64)) {
        let mut inner = self.lock();
        let used = std::mem::take(&mut inner.own_uses);
        (inner.own_loads.clone(), used, (inner.index.source.clone(), inner.index.number))
    }

    /// Applies the response to a report of the loads `reported` that was sent at `requested_at`.
    pub(crate) fn apply_reply(
        &self,
        reported: &[UpstreamLoad],
        totals: &[UpstreamLoad],
        stored: Option<&StoredPartsUpdate>,
        requested_at: BootInstant,
    ) {
        let by_upstream = |loads: &[UpstreamLoad]| loads.iter().map(|load| (load.upstream, *load)).collect();
        let mut inner = self.lock();
        inner.total_loads = by_upstream(totals);
        inner.reported_loads = by_upstream(reported);
        inner.totals_at = Some(requested_at);
        if let Some(update) = stored {
            inner.index.apply(update, requested_at);
        }
    }

    /// Returns the work of the other nodes at an upstream; zero if the totals are too old.
    pub(crate) fn other_nodes_load(&self, upstream: u64) -> UpstreamLoad {
        let inner = self.lock();
        if inner.totals_at.is_none_or(|at| at.elapsed() >= LOAD_TIMEOUT) {
            return UpstreamLoad { upstream, ..UpstreamLoad::default() };
        }
        let total = inner.total_loads.get(&upstream).copied().unwrap_or_default();
        let own = inner.reported_loads.get(&upstream).copied().unwrap_or_default();
        UpstreamLoad {
            upstream,
            requests: total.requests.saturating_sub(own.requests),
            tokens: total.tokens.saturating_sub(own.tokens),
            pending_prefill_tokens: total.pending_prefill_tokens.saturating_sub(own.pending_prefill_tokens),
            unreachable_from: total.unreachable_from,
        }
    }

    /// Returns a stored part, if the index was updated within `limit`.
    pub(crate) fn find(&self, part: u64, limit: Duration) -> Option<StoredPart> {
        let inner = self.lock();
        inner.index.updated_at.filter(|at| at.elapsed() < limit)?;
        inner.index.parts.get(&part).copied()
    }

    /// Returns a lower bound of the clock of upstreams and stores, in ms; `None` until it is known.
    pub(crate) fn upstream_clock_ms(&self) -> Option<u64> {
        self.lock().index.clock.map(clock_now)
    }
}

impl StoredPartsIndex {
    fn apply(&mut self, update: &StoredPartsUpdate, requested_at: BootInstant) {
        if update.is_full {
            self.parts.clear();
        } else if update.source != self.source {
            return;
        }
        self.parts.extend(update.added.iter().map(|stored| (stored.part, *stored)));
        for part in &update.removed {
            self.parts.remove(part);
        }
        self.source.clone_from(&update.source);
        self.number = update.number;
        self.updated_at = Some(requested_at);
        self.clock = Some((update.clock_ms, BootInstant::now()));
    }
}

fn clock_now((clock_ms, at): (u64, BootInstant)) -> u64 {
    clock_ms.saturating_add(u64::try_from(at.elapsed().as_millis()).unwrap_or(0))
}
