//! A node's view of upstreams and stores: state, load and cached pieces.
//!
//! The view is a hint that may be out of date; whoever acts on it verifies it there.

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    backlog::Backlog,
    block::BlockName,
    ids::InstanceId,
    num::{US_PER_MS, US_PER_S},
    piece_index::{Holder, PieceIndex, PieceKey, SHARDS},
    view_row::{FREE_ROW, Row, Rows},
};

pub use crate::{
    backlog::{LoadBasis, LoadReport, PeerLoad},
    view_instance::{StoreView, UpstreamState, UpstreamView},
};

/// Upstreams per chunk, the unit that is copied if one of them changes while a snapshot is in use.
pub(crate) const CHUNK: usize = 64;
/// Indices from this number on belong to stores, those below to upstreams.
const FIRST_STORE_INDEX: u16 = 0xF000;
/// Prefill speed assumed until the first load report of an upstream.
const ASSUMED_PREFILL_TOKENS_PER_S: u64 = 10_000;

/// Number of calls of `ClusterView::sweep` that visit all pieces once.
pub const SWEEP_STEPS: usize = SHARDS;

#[derive(Clone, Debug)]
struct Entry {
    view: UpstreamView,
    backlog: Backlog,
}

#[derive(Clone, Debug, Default)]
struct Chunk {
    rows: Rows,
    entries: Vec<Option<Arc<Entry>>>,
}

/// Indices of upstreams and of names; changes only when upstreams are added or removed.
#[derive(Clone, Debug, Default)]
struct Directory {
    indices: BTreeMap<InstanceId, u16>,
    /// Names of services and zones; a name's position is its index.
    names: Vec<String>,
    /// Indices of removed upstreams.
    free: Vec<u16>,
}

/// A store with the epoch of its contents. Removed stores stay, since a store's position determines its index.
#[derive(Clone, Debug)]
struct StoreEntry {
    view: StoreView,
    epoch: u16,
    removed: bool,
}

/// All upstreams and stores that a routing decision may use.
///
/// Cloning takes constant time, so a node keeps one value under a lock and hands snapshots to its threads.
/// A change copies only the chunks and shards it touches, and only while a snapshot still uses them.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    directory: Arc<Directory>,
    chunks: Arc<Vec<Arc<Chunk>>>,
    stores: Arc<Vec<StoreEntry>>,
    pieces: PieceIndex,
}

impl ClusterView {
    /// Adds an upstream, or updates its identity and state and keeps its load and pieces.
    ///
    /// An upstream beyond the number of available indices is ignored.
    ///
    /// ```
    /// use daisysill_core::{ids::WeightVersion, view::{ClusterView, UpstreamState, UpstreamView}};
    /// let mut view = ClusterView::default();
    /// view.put_upstream(UpstreamView {
    ///     id: "lyric-1".into(),
    ///     service: "lyric-llm".into(),
    ///     zone: "bkk-bangna".into(),
    ///     state: UpstreamState::Live,
    ///     weight_version: WeightVersion(1),
    /// });
    /// assert_eq!(view.upstreams().count(), 1);
    /// ```
    pub fn put_upstream(&mut self, upstream: UpstreamView) {
        let Some(index) = self.index_or_assign(&upstream.id) else { return };
        let service = self.intern_name(upstream.service.as_str());
        let zone = self.intern_name(upstream.zone.as_str());
        let (chunk, at) = self.chunk_mut(index);
        let (state, weight_version) = (upstream.state, upstream.weight_version);
        let row = Row { weight_version, service, zone, state, ..chunk.rows.get(at) };
        chunk.rows.set(at, row);
        match &mut chunk.entries[at] {
            Some(entry) => Arc::make_mut(entry).view = upstream,
            empty => {
                let report = LoadReport {
                    at_ms: 0,
                    queue_tokens: 0,
                    prefill_tokens_per_s: ASSUMED_PREFILL_TOKENS_PER_S,
                };
                *empty = Some(Arc::new(Entry { view: upstream, backlog: Backlog::new(report) }));
            }
        }
        self.with_backlog(index, |_| {});
    }

    /// Removes an upstream and the records of its pieces.
    pub fn remove_upstream(&mut self, id: &InstanceId) {
        let Some(index) = self.upstream_index(id) else { return };
        let (chunk, at) = self.chunk_mut(index);
        // The epoch outlives the upstream, so that its pieces never count for the next one with the index.
        let epoch = chunk.rows.get(at).epoch.wrapping_add(1);
        chunk.rows.set(at, Row { epoch, ..FREE_ROW });
        chunk.entries[at] = None;
        let directory = Arc::make_mut(&mut self.directory);
        directory.indices.remove(id);
        directory.free.push(index);
    }

    /// Sets whether an upstream may get new work; unknown upstreams are ignored.
    pub fn set_state(&mut self, id: &InstanceId, state: UpstreamState) {
        let Some(index) = self.upstream_index(id) else { return };
        let (chunk, at) = self.chunk_mut(index);
        chunk.rows.set(at, Row { state, ..chunk.rows.get(at) });
        if let Some(entry) = &mut chunk.entries[at] {
            Arc::make_mut(entry).view.state = state;
        }
    }

    /// Records a load report; one older than the last is ignored.
    pub fn record_report(&mut self, id: &InstanceId, report: LoadReport) {
        self.change_backlog(id, |backlog| backlog.record_report(report));
    }

    /// Adds a dispatch of this node to the estimated queue until a load report covers it.
    pub fn record_dispatch(&mut self, id: &InstanceId, at_ms: u64, tokens: u64) {
        self.change_backlog(id, |backlog| backlog.record_dispatch(at_ms, tokens));
    }

    /// Removes a dispatch that was cancelled before it ran; `at_ms` and `tokens` must match it.
    pub fn retract_dispatch(&mut self, id: &InstanceId, at_ms: u64, tokens: u64) {
        self.change_backlog(id, |backlog| backlog.retract_dispatch(at_ms, tokens));
    }

    /// Records what another node reports to have dispatched to an upstream.
    pub fn record_peer_load(&mut self, id: &InstanceId, load: PeerLoad) {
        self.change_backlog(id, |backlog| backlog.set_peer_load(load));
    }

    /// Adds a store, or updates its link and keeps its pieces.
    ///
    /// A store beyond the number of available indices is ignored.
    pub fn put_store(&mut self, store: StoreView) {
        let stores = Arc::make_mut(&mut self.stores);
        if let Some(entry) = stores.iter_mut().find(|entry| entry.view.id == store.id) {
            entry.view = store;
            entry.removed = false;
            return;
        }
        if stores.len() < usize::from(u16::MAX - FIRST_STORE_INDEX) {
            stores.push(StoreEntry { view: store, epoch: 0, removed: false });
        }
    }

    /// Removes a store and the records of its pieces.
    pub fn remove_store(&mut self, id: &InstanceId) {
        self.clear_pieces(id);
        let stores = Arc::make_mut(&mut self.stores);
        if let Some(entry) = stores.iter_mut().find(|entry| entry.view.id == *id) {
            entry.removed = true;
        }
    }

    /// Records that an upstream or a store holds a piece.
    pub fn record_piece(&mut self, id: &InstanceId, name: &BlockName) {
        if let Some(holder) = self.holder(id) {
            self.pieces.insert(PieceKey::of(name), holder);
        }
    }

    /// Records that an upstream or a store no longer holds a piece.
    pub fn remove_piece(&mut self, id: &InstanceId, name: &BlockName) {
        if let Some(holder) = self.holder(id) {
            self.pieces.remove(PieceKey::of(name), holder.index);
        }
    }

    /// Invalidates the records of all pieces of an instance, for instance after its restart, in constant time.
    pub fn clear_pieces(&mut self, id: &InstanceId) {
        if let Some(index) = self.upstream_index(id) {
            let (chunk, at) = self.chunk_mut(index);
            let row = chunk.rows.get(at);
            chunk.rows.set(at, Row { epoch: row.epoch.wrapping_add(1), ..row });
            return;
        }
        let stores = Arc::make_mut(&mut self.stores);
        if let Some(entry) = stores.iter_mut().find(|entry| entry.view.id == *id) {
            entry.epoch = entry.epoch.wrapping_add(1);
        }
    }

    /// Frees the memory of invalid records in one of `SWEEP_STEPS` shards and returns the pieces left in it.
    ///
    /// The caller goes through all shards in turn.
    pub fn sweep(&mut self, shard: usize) -> usize {
        let Self { chunks, stores, pieces, .. } = self;
        pieces.sweep(shard, |holder| is_current(chunks, stores, holder))
    }

    /// Iterates over the upstreams in the order of their indices.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamView> {
        self.chunks.iter().flat_map(|chunk| chunk.entries.iter().flatten().map(|entry| &entry.view))
    }

    /// Iterates over the stores, unreachable ones included.
    pub fn stores(&self) -> impl Iterator<Item = &StoreView> {
        self.stores.iter().filter(|entry| !entry.removed).map(|entry| &entry.view)
    }

    /// Returns the estimated prefill time queued at an upstream, `None` if it is unknown.
    pub fn wait_us(&self, id: &InstanceId, now_ms: u64) -> Option<f64> {
        self.upstream_index(id).map(|index| self.row(index).wait_us(now_ms as f64 * US_PER_MS))
    }

    /// Returns the reports behind the estimate of an upstream's queue, `None` if it is unknown.
    pub fn load_basis(&self, id: &InstanceId) -> Option<LoadBasis> {
        let index = usize::from(self.upstream_index(id)?);
        let entry = self.chunks.get(index / CHUNK)?.entries.get(index % CHUNK)?.as_ref()?;
        Some(entry.backlog.basis())
    }

    /// Returns whether an upstream or a store is believed to hold a piece.
    pub fn holds(&self, id: &InstanceId, name: &BlockName) -> bool {
        self.holder(id).is_some_and(|holder| self.pieces.holders(PieceKey::of(name)).contains(&holder))
    }

    /// Iterates over all rows, free ones included, in the order of their indices, chunk by chunk.
    pub(crate) fn row_chunks(&self) -> impl ExactSizeIterator<Item = &Rows> {
        self.chunks.iter().map(|chunk| &chunk.rows)
    }

    /// Returns the row at an index, which must exist.
    pub(crate) fn row(&self, index: u16) -> Row {
        let index = usize::from(index);
        self.chunks[index / CHUNK].rows.get(index % CHUNK)
    }

    /// Returns the cache epoch at an index, which must exist.
    pub(crate) fn epoch(&self, index: u16) -> u16 {
        let index = usize::from(index);
        self.chunks[index / CHUNK].rows.epoch[index % CHUNK]
    }

    /// Returns the index of the zone's name for the row at `index`, which must exist.
    pub(crate) fn zone(&self, index: usize) -> Option<u16> {
        u16::try_from(self.chunks[index / CHUNK].rows.zone[index % CHUNK]).ok()
    }

    /// Returns the upstream at an index; `None` if the index is free or does not exist.
    pub(crate) fn upstream_at(&self, index: u16) -> Option<&UpstreamView> {
        let index = usize::from(index);
        let chunk = self.chunks.get(index / CHUNK)?;
        chunk.entries.get(index % CHUNK)?.as_ref().map(|entry| &entry.view)
    }

    /// Returns the index of an upstream, `None` if it is unknown.
    pub(crate) fn upstream_index(&self, id: &InstanceId) -> Option<u16> {
        self.directory.indices.get(id).copied()
    }

    /// Returns the index of a service or zone name, `None` if no upstream has used it.
    pub(crate) fn name_index(&self, name: &str) -> Option<u16> {
        let at = self.directory.names.iter().position(|known| known == name)?;
        u16::try_from(at).ok()
    }

    /// Returns the recorded holders of a piece, sorted by instance, invalid records included.
    pub(crate) fn holders(&self, key: PieceKey) -> &[Holder] {
        self.pieces.holders(key)
    }

    /// Iterates over the reachable stores, each with its key in the piece index.
    pub(crate) fn reachable_stores(&self) -> impl Iterator<Item = (&StoreView, Holder)> {
        let stores =
            self.stores.iter().enumerate().filter(|(_, entry)| entry.view.reachable && !entry.removed);
        stores.filter_map(|(at, entry)| {
            let index = FIRST_STORE_INDEX + u16::try_from(at).ok()?;
            Some((&entry.view, Holder { index, epoch: entry.epoch }))
        })
    }

    fn holder(&self, id: &InstanceId) -> Option<Holder> {
        if let Some(index) = self.upstream_index(id) {
            return Some(Holder { index, epoch: self.row(index).epoch });
        }
        let at = self.stores.iter().position(|entry| entry.view.id == *id && !entry.removed)?;
        let index = FIRST_STORE_INDEX + u16::try_from(at).ok()?;
        Some(Holder { index, epoch: self.stores[at].epoch })
    }

    fn change_backlog(&mut self, id: &InstanceId, change: impl FnOnce(&mut Backlog)) {
        if let Some(index) = self.upstream_index(id) {
            self.with_backlog(index, change);
        }
    }

    /// Applies `change` to an upstream's backlog and updates its row.
    fn with_backlog(&mut self, index: u16, change: impl FnOnce(&mut Backlog)) {
        let (chunk, at) = self.chunk_mut(index);
        let Some(entry) = &mut chunk.entries[at] else { return };
        let entry = Arc::make_mut(entry);
        change(&mut entry.backlog);
        let (tokens, as_of_ms) = entry.backlog.queued_tokens();
        let us_per_token = US_PER_S / entry.backlog.prefill_tokens_per_s() as f64;
        let drained_at_us = as_of_ms as f64 * US_PER_MS + tokens * us_per_token;
        chunk.rows.set(at, Row { drained_at_us, us_per_token, ..chunk.rows.get(at) });
    }

    fn chunk_mut(&mut self, index: u16) -> (&mut Chunk, usize) {
        let index = usize::from(index);
        let chunks = Arc::make_mut(&mut self.chunks);
        (Arc::make_mut(&mut chunks[index / CHUNK]), index % CHUNK)
    }

    /// Returns an upstream's index, assigning one to a new upstream; `None` if all indices are taken.
    fn index_or_assign(&mut self, id: &InstanceId) -> Option<u16> {
        if let Some(index) = self.upstream_index(id) {
            return Some(index);
        }
        let directory = Arc::make_mut(&mut self.directory);
        let next = u16::try_from(directory.indices.len()).ok().filter(|index| *index < FIRST_STORE_INDEX)?;
        let index = directory.free.pop().unwrap_or(next);
        directory.indices.insert(id.clone(), index);
        let chunks = Arc::make_mut(&mut self.chunks);
        if usize::from(index) >= chunks.len() * CHUNK {
            let empty = Chunk { rows: Rows::default(), entries: vec![None; CHUNK] };
            chunks.push(Arc::new(empty));
        }
        Some(index)
    }

    /// Returns the index of a name, which is added if it is new.
    fn intern_name(&mut self, name: &str) -> u16 {
        if let Some(index) = self.name_index(name) {
            return index;
        }
        let names = &mut Arc::make_mut(&mut self.directory).names;
        names.push(name.to_owned());
        u16::try_from(names.len() - 1).unwrap_or(u16::MAX - 1)
    }
}

/// Returns whether a record of a held piece is still valid.
fn is_current(chunks: &[Arc<Chunk>], stores: &[StoreEntry], holder: Holder) -> bool {
    if holder.index >= FIRST_STORE_INDEX {
        let entry = stores.get(usize::from(holder.index - FIRST_STORE_INDEX));
        return entry.is_some_and(|entry| entry.epoch == holder.epoch);
    }
    let index = usize::from(holder.index);
    let row = chunks.get(index / CHUNK).map(|chunk| chunk.rows.get(index % CHUNK));
    row.is_some_and(|row| row.epoch == holder.epoch)
}
