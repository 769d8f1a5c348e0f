//! The upstreams and stores as placement decisions see them, updated with every event.

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

/// The view's clock when it starts, so that reports made before the start have a time above 0.
const CLOCK_OFFSET: Duration = Duration::from_mins(10);
/// Greatest difference between the times that two nodes compute for the same load report.
const SAME_REPORT_MS: u64 = 5;

/// The view that is updated in place, and the clock of its times.
#[derive(Debug)]
pub(crate) struct LiveView {
    view: ClusterView,
    started: Instant,
    next_sweep: usize,
}

impl LiveView {
    /// Creates an empty view; its clock starts now, at [`CLOCK_OFFSET`].
    pub(crate) fn new() -> Self {
        Self { view: ClusterView::default(), started: Instant::now(), next_sweep: 0 }
    }

    /// Returns a copy of the view for one decision.
    pub(crate) fn snapshot(&self) -> ClusterView {
        self.view.clone()
    }

    /// Returns an instant as milliseconds on the view's clock; instants before its start count as the start.
    pub(crate) fn clock_ms(&self, at: Instant) -> u64 {
        let since_start = at.saturating_duration_since(self.started) + CLOCK_OFFSET;
        u64::try_from(since_start.as_millis()).unwrap_or(u64::MAX)
    }

    /// Updates an engine or a plain upstream; returns whether anything changed.
    pub(crate) fn put_upstream(&mut self, id: &InstanceId, entry: &mut Entry) -> bool {
        let view = entry.view(id);
        if entry.last_view.as_ref() == Some(&view) {
            return false;
        }
        self.view.put_upstream(view.clone());
        entry.last_view = Some(view);
        true
    }

    /// Updates a store and its link; returns whether the store is new.
    pub(crate) fn put_store(&mut self, store: StoreView) -> bool {
        let known = self.view.stores().find(|known| known.id == store.id);
        let is_new = known.is_none();
        if known != Some(&store) {
            self.view.put_store(store);
        }
        is_new
    }

    /// Removes an upstream or a store.
    pub(crate) fn remove(&mut self, id: &InstanceId) {
        self.view.remove_upstream(id);
        self.view.remove_store(id);
    }

    /// Records the response to a load poll that was sent at `polled_at`.
    pub(crate) fn record_load(&mut self, id: &InstanceId, load: &EngineLoad, polled_at: Instant) {
        let report = LoadReport {
            // The engine made the report at this time or later, so no dispatch that it misses is left out.
            at_ms: self.clock_ms(polled_at).saturating_sub(load.report_age_ms),
            queue_tokens: load.queue_tokens,
            prefill_tokens_per_s: load.prefill_tokens_per_s,
        };
        self.view.record_report(id, report);
    }

    /// Records a dispatch of this node and returns its time on the view's clock; the view ignores 0 tokens.
    pub(crate) fn record_dispatch(&mut self, id: &InstanceId, tokens: u64) -> u64 {
        let now_ms = self.clock_ms(Instant::now());
        if tokens > 0 {
            self.view.record_dispatch(id, now_ms, tokens);
        }
        now_ms
    }

    /// Removes a dispatch made at `at_ms` that did not reach its upstream.
    pub(crate) fn retract_dispatch(&mut self, id: &InstanceId, at_ms: u64, tokens: u64) {
        self.view.retract_dispatch(id, at_ms, tokens);
    }

    /// Returns the numbers from which an upstream's queue is estimated; `None` if the upstream is unknown.
    pub(crate) fn load_basis(&self, id: &InstanceId) -> Option<LoadBasis> {
        self.view.load_basis(id)
    }

    /// Returns the tokens that this node dispatched to an upstream since its last load report; `None` if
    /// none.
    pub(crate) fn dispatch_count(&self, id: &InstanceId) -> Option<DispatchCount> {
        let basis = self.view.load_basis(id).filter(|basis| basis.own_tokens > 0)?;
        let window_ms = self.clock_ms(Instant::now()).saturating_sub(basis.report_at_ms);
        Some(DispatchCount { tokens: basis.own_tokens, window_ms })
    }

    /// Records another node's dispatch count, made `age` ago; returns whether it is newer than the last load
    /// report. Older counts are ignored, since the load report covers them.
    pub(crate) fn record_peer_count(
        &mut self,
        peer: &InstanceId,
        upstream: &InstanceId,
        count: &DispatchCount,
        age: Duration,
    ) -> bool {
        let at_ms = self.clock_ms(Instant::now()).saturating_sub(u64::try_from(age.as_millis()).unwrap_or(0));
        let Some(basis) = self.view.load_basis(upstream).filter(|basis| basis.report_at_ms < at_ms) else {
            return false;
        };
        // The other node counts from the load report that this node has, too.
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

    /// Applies cache events of an engine; `is_new_process` first removes the pieces of the former process.
    pub(crate) fn apply_cache_events(&mut self, id: &InstanceId, events: &CacheEvents, is_new_process: bool) {
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

    /// Applies a change of the block directory.
    pub(crate) fn apply_directory_change(&mut self, change: &DirectoryChange) {
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

    /// Frees the memory of removed pieces, one step of [`SWEEP_STEPS`] at a time.
    pub(crate) fn sweep(&mut self) {
        self.view.sweep(self.next_sweep);
        self.next_sweep = (self.next_sweep + 1) % SWEEP_STEPS;
    }
}
