//! Soft state besides the board: work in flight of all entry nodes, and the parts of prompts in stores.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use daisysill_core::ids::InstanceId;
use daisysill_wire::peer::{StoredPart, StoredPartsUpdate, UpstreamLoad};

use crate::clock::BootInstant;

/// The loads of a node that has not reported for this time are forgotten.
const LOAD_LIFETIME: Duration = Duration::from_millis(1_500);
/// Changes of stored parts that are kept to send differences from.
const KEPT_CHANGES: usize = 4_096;
/// Used parts that wait to be told at most.
const MAX_USED_PARTS: usize = 2_048;

/// Work in flight, as collected by the leader.
#[derive(Debug, Default)]
pub(crate) struct LoadTable {
    by_node: BTreeMap<InstanceId, (BootInstant, Vec<UpstreamLoad>)>,
}

impl LoadTable {
    fn report(&mut self, node: &InstanceId, loads: Vec<UpstreamLoad>) {
        self.by_node.insert(node.clone(), (BootInstant::now(), loads));
    }

    fn totals(&mut self) -> Vec<UpstreamLoad> {
        self.by_node.retain(|_, (at, _)| at.elapsed() < LOAD_LIFETIME);
        let mut totals: HashMap<u64, UpstreamLoad> = HashMap::new();
        let mut unreachable: HashMap<u64, u32> = HashMap::new();
        for load in self.by_node.values().flat_map(|(_, loads)| loads) {
            let total = totals.entry(load.upstream).or_default();
            if load.unreachable_from != 0 {
                // One node may have lost a packet; what two nodes of a zone say counts.
                let once = unreachable.entry(load.upstream).or_default();
                total.unreachable_from |= *once & load.unreachable_from;
                *once |= load.unreachable_from;
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

/// A change of the stored parts; `None` means that the part must not be fetched any more.
type StoredChange = (u64, Option<StoredPart>);

/// The stored parts, as published by the node that keeps the catalog.
#[derive(Debug, Default)]
struct StoredLog {
    /// Empty while this node does not keep the catalog.
    source: String,
    number: u64,
    parts: HashMap<u64, StoredPart>,
    recent: VecDeque<StoredChange>,
    clock: Option<(u64, BootInstant)>,
}

impl StoredLog {
    fn apply(&mut self, change: StoredChange) {
        match change {
            (part, Some(stored)) => drop(self.parts.insert(part, stored)),
            (part, None) => drop(self.parts.remove(&part)),
        }
        self.number += 1;
        self.recent.push_back(change);
        if self.recent.len() > KEPT_CHANGES {
            self.recent.pop_front();
        }
    }

    fn news_since(&self, source: &str, number: u64) -> Option<StoredPartsUpdate> {
        let clock_ms = clock_now(self.clock?);
        let behind = self.number.checked_sub(number).and_then(|behind| usize::try_from(behind).ok());
        let mut news = StoredPartsUpdate {
            source: self.source.clone(),
            number: self.number,
            clock_ms,
            ..StoredPartsUpdate::default()
        };
        let kept = behind.filter(|behind| source == self.source && *behind <= self.recent.len());
        let Some(behind) = kept else {
            news.is_full = true;
            news.added = self.parts.values().copied().collect();
            return Some(news);
        };
        for (part, stored) in self.recent.range(self.recent.len() - behind..) {
            match stored {
                Some(stored) => news.added.push(*stored),
                None => news.removed.push(*part),
            }
        }
        // Only the last change of a part counts.
        news.added.retain(|added| self.parts.get(&added.part) == Some(added));
        news.removed.retain(|part| !self.parts.contains_key(part));
        Some(news)
    }
}

/// The stored parts as an entry node knows them.
#[derive(Debug, Default)]
struct StoredIndex {
    source: String,
    number: u64,
    parts: HashMap<u64, StoredPart>,
    known_at: Option<BootInstant>,
    clock: Option<(u64, BootInstant)>,
}

#[derive(Debug, Default)]
struct Inner {
    loads: LoadTable,
    log: StoredLog,
    index: StoredIndex,
    used_by_all: Vec<u64>,
    own_loads: Vec<UpstreamLoad>,
    own_used: Vec<u64>,
    /// The totals of all nodes, and what this node had reported in them.
    total_loads: HashMap<u64, UpstreamLoad>,
    reported_loads: HashMap<u64, UpstreamLoad>,
    totals_at: Option<BootInstant>,
}

/// The soft state of one process.
#[derive(Debug, Default)]
pub(crate) struct SharedSoft(Mutex<Inner>);

impl SharedSoft {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes what a node reports.
    pub(crate) fn exchange_loads(&self, node: &InstanceId, loads: Vec<UpstreamLoad>, used_parts: &[u64]) {
        let mut inner = self.lock();
        inner.loads.report(node, loads);
        if inner.used_by_all.len() < MAX_USED_PARTS {
            inner.used_by_all.extend_from_slice(used_parts);
        }
    }

    /// Returns the work in flight of all nodes.
    pub(crate) fn totals(&self) -> Vec<UpstreamLoad> {
        self.lock().loads.totals()
    }

    /// Returns what changed of the stored parts; `None` if this node does not keep the catalog.
    pub(crate) fn stored_news(&self, after: &(String, u64)) -> Option<StoredPartsUpdate> {
        let inner = self.lock();
        if inner.log.source.is_empty() {
            return None;
        }
        inner.log.news_since(&after.0, after.1)
    }

    /// Starts to keep the catalog under a new name.
    pub(crate) fn open_catalog(&self, source: String) {
        self.lock().log = StoredLog { source, ..StoredLog::default() };
    }

    /// Stops to keep the catalog.
    pub(crate) fn close_catalog(&self) {
        self.lock().log = StoredLog::default();
    }

    /// Publishes changes. `clock_ms` was the clock of a store at `at` or later.
    pub(crate) fn publish(&self, changes: Vec<StoredChange>, clock: Option<(u64, BootInstant)>) {
        let mut inner = self.lock();
        for change in changes {
            inner.log.apply(change);
        }
        inner.log.clock = clock.or(inner.log.clock);
    }

    /// Returns the parts that nodes have used since the last call.
    pub(crate) fn take_used_by_all(&self) -> Vec<u64> {
        std::mem::take(&mut self.lock().used_by_all)
    }

    /// Replaces this node's own work in flight.
    pub(crate) fn set_own_loads(&self, loads: Vec<UpstreamLoad>) {
        self.lock().own_loads = loads;
    }

    /// Notes that this node has used a stored part.
    pub(crate) fn note_used(&self, part: u64) {
        let mut inner = self.lock();
        if inner.own_used.len() < MAX_USED_PARTS {
            inner.own_used.push(part);
        }
    }

    /// Returns what this node reports next.
    pub(crate) fn own_report(&self) -> (Vec<UpstreamLoad>, Vec<u64>, (String, u64)) {
        let mut inner = self.lock();
        let used = std::mem::take(&mut inner.own_used);
        (inner.own_loads.clone(), used, (inner.index.source.clone(), inner.index.number))
    }

    /// Takes an answer to a report of `reported` that was sent at `asked_at`.
    pub(crate) fn take_reply(
        &self,
        reported: &[UpstreamLoad],
        totals: &[UpstreamLoad],
        stored: Option<&StoredPartsUpdate>,
        asked_at: BootInstant,
    ) {
        let by_upstream = |loads: &[UpstreamLoad]| loads.iter().map(|load| (load.upstream, *load)).collect();
        let mut inner = self.lock();
        inner.total_loads = by_upstream(totals);
        inner.reported_loads = by_upstream(reported);
        inner.totals_at = Some(asked_at);
        if let Some(news) = stored {
            inner.index.take(news, asked_at);
        }
    }

    /// Returns the work of the other nodes at an upstream; none if what is known of it is too old.
    pub(crate) fn other_nodes_load(&self, upstream: u64) -> UpstreamLoad {
        let inner = self.lock();
        if inner.totals_at.is_none_or(|at| at.elapsed() >= LOAD_LIFETIME) {
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

    /// Returns a stored part if the index is younger than `limit`.
    pub(crate) fn find(&self, part: u64, limit: Duration) -> Option<StoredPart> {
        let inner = self.lock();
        inner.index.known_at.filter(|at| at.elapsed() < limit)?;
        inner.index.parts.get(&part).copied()
    }

    /// Returns the clock of upstreams and stores; it is not ahead of theirs.
    pub(crate) fn stores_clock_ms(&self) -> Option<u64> {
        self.lock().index.clock.map(clock_now)
    }
}

impl StoredIndex {
    fn take(&mut self, news: &StoredPartsUpdate, asked_at: BootInstant) {
        if news.is_full {
            self.parts.clear();
        } else if news.source != self.source {
            return;
        }
        self.parts.extend(news.added.iter().map(|stored| (stored.part, *stored)));
        for part in &news.removed {
            self.parts.remove(part);
        }
        self.source.clone_from(&news.source);
        self.number = news.number;
        self.known_at = Some(asked_at);
        self.clock = Some((news.clock_ms, BootInstant::now()));
    }
}

fn clock_now((clock_ms, at): (u64, BootInstant)) -> u64 {
    clock_ms.saturating_add(u64::try_from(at.elapsed().as_millis()).unwrap_or(0))
}
