//! The cluster as the decisions see it, kept up to date by event.

use std::time::Duration;

use daisysill_core::{
    ids::InstanceId,
    view::{ClusterView, LoadBasis, LoadReport, PeerLoad, SWEEP_STEPS, StoreView},
};
use daisysill_wire::{
    http_types::{CacheEventKind, CacheEvents, EngineLoad},
    peer::DispatchCount,
};
use tokio::time::Instant;

use crate::{directory::DirectoryChange, upstream_entry::Entry};

/// The view's clock at its start, so that a report from before the start has a time above 0.
const CLOCK_START: Duration = Duration::from_mins(10);
/// Counts of one node that are this close together come from the same soft report.
const SAME_REPORT_MS: u64 = 5;

/// One persistent view and its clock.
#[derive(Debug)]
pub(crate) struct LiveView {
    view: ClusterView,
    started: Instant,
    next_sweep: usize,
}

impl LiveView {
    /// Creates an empty view; its clock starts now.
    pub(crate) fn new() -> Self {
        Self { view: ClusterView::default(), started: Instant::now(), next_sweep: 0 }
    }

    /// Returns the view for one decision.
    pub(crate) fn snapshot(&self) -> ClusterView {
        self.view.clone()
    }

    /// Returns the time of an instant on the view's clock.
    pub(crate) fn ms_of(&self, at: Instant) -> u64 {
        let since_start = at.saturating_duration_since(self.started) + CLOCK_START;
        u64::try_from(since_start.as_millis()).unwrap_or(u64::MAX)
    }

    /// Takes over what changed about an engine or a plain service; returns whether anything did.
    pub(crate) fn put_upstream(&mut self, id: &InstanceId, entry: &mut Entry) -> bool {
        let view = entry.view(id);
        if entry.shown.as_ref() == Some(&view) {
            return false;
        }
        self.view.put_upstream(view.clone());
        entry.shown = Some(view);
        true
    }

    /// Takes over a store and its link; returns whether the store is new.
    pub(crate) fn put_store(&mut self, store: StoreView) -> bool {
        let known = self.view.stores().find(|known| known.id == store.id);
        let is_new = known.is_none();
        if known != Some(&store) {
            self.view.put_store(store);
        }
        is_new
    }

    /// Forgets an instance.
    pub(crate) fn remove(&mut self, id: &InstanceId) {
        self.view.remove_upstream(id);
        self.view.remove_store(id);
    }

    /// Takes a load report that was asked for at `asked`.
    pub(crate) fn report(&mut self, id: &InstanceId, load: &EngineLoad, asked: Instant) {
        let report = LoadReport {
            // The engine took the report at this time or later, so no dispatch is left out.
            at_ms: self.ms_of(asked).saturating_sub(load.report_age_ms),
            queue_tokens: load.queue_tokens,
            prefill_tokens_per_s: load.prefill_tokens_per_s,
        };
        self.view.record_report(id, report);
    }

    /// Adds a dispatch of this node and returns its time.
    pub(crate) fn dispatched(&mut self, id: &InstanceId, tokens: u64) -> u64 {
        let now_ms = self.ms_of(Instant::now());
        if tokens > 0 {
            self.view.record_dispatch(id, now_ms, tokens);
        }
        now_ms
    }

    /// Takes back a dispatch that did not run.
    pub(crate) fn retracted(&mut self, id: &InstanceId, at_ms: u64, tokens: u64) {
        self.view.retract_dispatch(id, at_ms, tokens);
    }

    /// Returns what the estimate of an upstream's queue rests on.
    pub(crate) fn basis(&self, id: &InstanceId) -> Option<LoadBasis> {
        self.view.load_basis(id)
    }

    /// Returns what this node dispatched to an upstream since the load report it knows.
    pub(crate) fn dispatch_count(&self, id: &InstanceId) -> Option<DispatchCount> {
        let basis = self.view.load_basis(id).filter(|basis| basis.own_tokens > 0)?;
        let window_ms = self.ms_of(Instant::now()).saturating_sub(basis.report_at_ms);
        Some(DispatchCount { tokens: basis.own_tokens, window_ms })
    }

    /// Takes another node's count made `age` ago; returns whether it is newer than the own load report.
    pub(crate) fn peer_count(
        &mut self,
        peer: &InstanceId,
        upstream: &InstanceId,
        count: &DispatchCount,
        age: Duration,
    ) -> bool {
        let at_ms = self.ms_of(Instant::now()).saturating_sub(u64::try_from(age.as_millis()).unwrap_or(0));
        let Some(basis) = self.view.load_basis(upstream).filter(|basis| basis.report_at_ms < at_ms) else {
            return false;
        };
        // A count that starts with a report of the same time covers the same work as the own report.
        let since_ms = at_ms.saturating_sub(count.window_ms);
        let since_ms = if since_ms.abs_diff(basis.report_at_ms) <= SAME_REPORT_MS {
            basis.report_at_ms
        } else {
            since_ms
        };
        let load = PeerLoad { peer: peer.clone(), since_ms, at_ms, tokens: count.tokens };
        self.view.record_peer_load(upstream, load);
        true
    }

    /// Takes cache events of an engine; those of a new process replace what the former one held.
    pub(crate) fn cache_events(&mut self, id: &InstanceId, events: &CacheEvents, is_new_process: bool) {
        if is_new_process {
            self.view.clear_pieces(id);
        }
        for event in &events.events {
            let name = event.piece.as_str().into();
            match event.kind {
                CacheEventKind::Stored => self.view.record_piece(id, &name),
                CacheEventKind::Evicted => self.view.remove_piece(id, &name),
            }
        }
    }

    /// Takes a change of what lies in the stores.
    pub(crate) fn directory_change(&mut self, change: &DirectoryChange) {
        match change {
            DirectoryChange::Listed { store, name } => self.view.record_piece(store, name),
            DirectoryChange::Unlisted { store, name } => self.view.remove_piece(store, name),
            DirectoryChange::StoreDropped { store } => self.view.clear_pieces(store),
            DirectoryChange::Booked { store, bytes } => {
                let known = self.view.stores().find(|known| known.id == *store).cloned();
                if let Some(known) = known {
                    self.view.put_store(StoreView { booked_bytes: *bytes, ..known });
                }
            }
        }
    }

    /// Frees the memory of forgotten pieces step by step.
    pub(crate) fn sweep(&mut self) {
        self.view.sweep(self.next_sweep);
        self.next_sweep = (self.next_sweep + 1) % SWEEP_STEPS;
    }
}
