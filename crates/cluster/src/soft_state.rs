//! Soft state of a node: work in flight, the stored prompt parts that are used, the software of upstreams,
//! which of them are cold, where streams began, and the permits that the leader grants.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use daisysill_core::ids::InstanceId;
use daisysill_wire::peer::{StoredPart, StoredPartsUpdate, UpstreamEntry, UpstreamLoad};

use crate::{
    clock::BootInstant,
    cold::ColdTable,
    load_table::{LOAD_TIMEOUT, LoadTable, subtract},
    origins::OriginStore,
    permits::PermitTable,
    software::SoftwareTable,
    stored_parts::{CatalogPosition, StoredPartChange, StoredParts},
};

/// Maximum number of uses of stored parts queued; further ones are dropped.
const MAX_QUEUED_USES: usize = 2_048;

/// The soft state that a node reports with a poll.
#[derive(Debug)]
pub(crate) struct OwnReport {
    /// Work in flight, by upstream.
    pub(crate) loads: Vec<UpstreamLoad>,
    /// Stored parts used since the last report.
    pub(crate) used_parts: Vec<u64>,
    /// Position of this node's catalog of stored parts.
    pub(crate) stored_after: CatalogPosition,
}

#[derive(Debug, Default)]
struct Inner {
    loads: LoadTable,
    stored: StoredParts,
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
pub(crate) struct SoftState {
    /// Work in flight and stored parts.
    inner: Mutex<Inner>,
    /// The software versions of upstreams.
    pub(crate) software: SoftwareTable,
    /// Which upstreams are cold.
    pub(crate) cold: ColdTable,
    /// Where streams began.
    pub(crate) origins: OriginStore,
    /// Permits granted to other nodes.
    pub(crate) permits: PermitTable,
}

impl SoftState {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records which software versions of each service a reading of the list showed that began at `begun_at` or later. A
    /// reading with an upstream whose version is not known rules no version out.
    pub(crate) fn record_listed(&self, begun_at: BootInstant, listed: &[UpstreamEntry]) {
        let Some(known) = self.software.of_listed(listed) else { return };
        self.origins.record_listed(begun_at, known.iter().map(|(service, software)| (*service, software)));
    }

    /// Records the loads and the used parts that an entry node reports.
    pub(crate) fn record_report(&self, node: &InstanceId, loads: Vec<UpstreamLoad>, used_parts: &[u64]) {
        let mut inner = self.lock();
        inner.loads.record_entry_node(node, loads);
        inner.record_uses(used_parts);
    }

    /// Records what a control node reports for the entry nodes that poll it.
    pub(crate) fn record_relay(&self, node: &InstanceId, loads: Vec<UpstreamLoad>, used_parts: &[u64]) {
        let mut inner = self.lock();
        inner.loads.record_control_node(node, loads);
        inner.record_uses(used_parts);
    }

    /// Returns what this control node reports to the leader: the loads of the entry nodes that poll it, and the parts
    /// that they used since the last call.
    pub(crate) fn relay_report(&self) -> (Vec<UpstreamLoad>, Vec<u64>) {
        let mut inner = self.lock();
        (inner.loads.own_sum(), std::mem::take(&mut inner.reported_uses))
    }

    /// Applies the totals that the leader returned for a report of the loads `reported`.
    pub(crate) fn apply_relay_totals(&self, totals: &[UpstreamLoad], reported: &[UpstreamLoad]) {
        self.lock().loads.set_elsewhere(totals, reported);
    }

    /// Returns the total work in flight of all nodes, by upstream.
    pub(crate) fn totals(&self) -> Vec<UpstreamLoad> {
        self.lock().loads.totals()
    }

    /// Returns the changes of the catalog after a position; `None` if this node has no current catalog.
    pub(crate) fn stored_parts_update(&self, after: &CatalogPosition) -> Option<StoredPartsUpdate> {
        self.lock().stored.changes_since(after)
    }

    /// Starts to maintain the catalog; `source` identifies it.
    pub(crate) fn open_catalog(&self, source: String) {
        self.lock().stored.open(source);
    }

    /// Stops maintaining the catalog.
    pub(crate) fn close_catalog(&self) {
        self.lock().stored.close();
    }

    /// Publishes changes of the catalog. `clock` is a reading of a store's clock in ms and a time not before it.
    pub(crate) fn publish(&self, changes: Vec<StoredPartChange>, clock: Option<(u64, BootInstant)>) {
        self.lock().stored.publish(changes, clock);
    }

    /// Publishes the complete content of one store, identified by its tag.
    pub(crate) fn publish_store(&self, store: u32, content: Vec<StoredPart>) {
        self.lock().stored.publish_store(store, content);
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

    /// Returns this node's next report.
    pub(crate) fn own_report(&self) -> OwnReport {
        let mut inner = self.lock();
        let used_parts = std::mem::take(&mut inner.own_uses);
        OwnReport { loads: inner.own_loads.clone(), used_parts, stored_after: inner.stored.position() }
    }

    /// Applies the response to a poll that was sent at `requested_at` with the loads `reported`.
    pub(crate) fn apply_totals(
        &self,
        reported: &[UpstreamLoad],
        totals: &[UpstreamLoad],
        requested_at: BootInstant,
    ) {
        let by_upstream = |loads: &[UpstreamLoad]| loads.iter().map(|load| (load.upstream, *load)).collect();
        let mut inner = self.lock();
        inner.total_loads = by_upstream(totals);
        inner.reported_loads = by_upstream(reported);
        inner.totals_at = Some(requested_at);
    }

    /// Applies an update of the catalog, the response to a poll that was sent at `requested_at` with the position
    /// `requested_after`.
    pub(crate) fn apply_stored_parts(
        &self,
        update: &StoredPartsUpdate,
        requested_after: &CatalogPosition,
        requested_at: BootInstant,
    ) {
        self.lock().stored.apply(update, requested_after, requested_at);
    }

    /// Returns the work of the other nodes at an upstream; zero if the totals are too old.
    pub(crate) fn other_nodes_load(&self, upstream: u64) -> UpstreamLoad {
        let inner = self.lock();
        if inner.totals_at.is_none_or(|at| at.elapsed() >= LOAD_TIMEOUT) {
            return UpstreamLoad { upstream, ..UpstreamLoad::default() };
        }
        let total = inner.total_loads.get(&upstream).copied().unwrap_or_default();
        let own = inner.reported_loads.get(&upstream).copied().unwrap_or_default();
        UpstreamLoad { upstream, ..subtract(&total, &own) }
    }

    /// Returns a stored part, if the catalog was updated within `limit`.
    pub(crate) fn find(&self, part: u64, limit: Duration) -> Option<StoredPart> {
        self.lock().stored.find(part, limit)
    }

    /// Returns a lower bound of the clock of upstreams and stores, in ms; `None` until it is known.
    pub(crate) fn upstream_clock_ms(&self) -> Option<u64> {
        self.lock().stored.clock_ms()
    }
}

impl Inner {
    fn record_uses(&mut self, used_parts: &[u64]) {
        if self.reported_uses.len() < MAX_QUEUED_USES {
            self.reported_uses.extend_from_slice(used_parts);
        }
    }
}
