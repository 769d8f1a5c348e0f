//! A node's view of upstreams and stores: state, load and cached pieces.
//!
//! The view is a hint that may be out of date; whoever acts on it verifies it there.

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    backlog::Backlog,
    block::BlockName,
    ids::{InstanceId, ServiceName, WeightVersion, ZoneName},
    num::{US_PER_MS, US_PER_S},
    piece_index::{Holder, PieceIndex, PieceKey, SHARDS},
    view_row::{FREE_ROW, Row, Rows},
};

pub use crate::backlog::{LoadBasis, LoadReport, PeerLoad};

/// Upstreams per chunk, the unit that is copied if one of them changes while a snapshot is in use.
pub(crate) const CHUNK: usize = 64;
/// Slots from this number on belong to stores, those below to upstreams.
const FIRST_STORE_SLOT: u16 = 0xF000;
/// Prefill speed assumed until the first load report of an upstream.
const ASSUMED_PREFILL_TOKENS_PER_S: u64 = 10_000;

/// Number of calls of `ClusterView::sweep` that visit all pieces once.
pub const SWEEP_STEPS: usize = SHARDS;

/// Whether an upstream may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// Accepts new work.
    Live,
    /// Missed a ping; gets new work only if no live upstream is eligible.
    Suspect,
    /// Gets no new work; its streams run to their end.
    Leaving,
    /// Unreachable; gets no new work.
    Down,
}

/// Identity and state of one upstream: a model engine or an instance of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamView {
    /// Its instance id, the key in the view.
    pub id: InstanceId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// The availability zone it runs in.
    pub zone: ZoneName,
    /// Whether it may get new work.
    pub state: UpstreamState,
    /// The version of the model weights it runs.
    pub weight_version: WeightVersion,
}

/// One store and its link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreView {
    /// Its instance id, the key in the view.
    pub id: InstanceId,
    /// The availability zone it runs in.
    pub zone: ZoneName,
    /// Whether it answers; pieces are restored only from reachable stores.
    pub reachable: bool,
    /// Share of the link's bandwidth that this node may use, in bytes per second.
    pub link_bytes_per_s: u64,
    /// Bytes of transfers booked on the link ahead of a new one.
    pub booked_bytes: u64,
}

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

/// Slots of upstreams and indices of names; changes only when upstreams are added or removed.
#[derive(Clone, Debug, Default)]
struct Directory {
    slots: BTreeMap<InstanceId, u16>,
    /// Names of services and zones; a name's position is its index.
    names: Vec<String>,
    /// Slots of removed upstreams.
    free: Vec<u16>,
}

/// A store with the epoch of its contents. Removed stores stay, since a store's position determines its slot.
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
    /// An upstream beyond the number of available slots is ignored.
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
        let Some(slot) = self.slot_or_assign(&upstream.id) else { return };
        let service = self.intern_name(upstream.service.as_str());
        let zone = self.intern_name(upstream.zone.as_str());
        let (chunk, at) = self.chunk_mut(slot);
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
        self.with_backlog(slot, |_| {});
    }

    /// Removes an upstream and the records of its pieces.
    pub fn remove_upstream(&mut self, id: &InstanceId) {
        let Some(slot) = self.upstream_slot(id) else { return };
        let (chunk, at) = self.chunk_mut(slot);
        // The epoch outlives the upstream, so that its pieces never count for the next upstream in the slot.
        let epoch = chunk.rows.get(at).epoch.wrapping_add(1);
        chunk.rows.set(at, Row { epoch, ..FREE_ROW });
        chunk.entries[at] = None;
        let directory = Arc::make_mut(&mut self.directory);
        directory.slots.remove(id);
        directory.free.push(slot);
    }

    /// Sets whether an upstream may get new work; unknown upstreams are ignored.
    pub fn set_state(&mut self, id: &InstanceId, state: UpstreamState) {
        let Some(slot) = self.upstream_slot(id) else { return };
        let (chunk, at) = self.chunk_mut(slot);
        chunk.rows.set(at, Row { state, ..chunk.rows.get(at) });
        if let Some(entry) = &mut chunk.entries[at] {
            Arc::make_mut(entry).view.state = state;
        }
    }

    /// Records a load report; one older than the last is ignored.
    pub fn record_report(&mut self, id: &InstanceId, report: LoadReport) {
        self.change_backlog(id, |backlog| backlog.report(report));
    }

    /// Adds a dispatch of this node to the estimated queue until a load report covers it.
    pub fn record_dispatch(&mut self, id: &InstanceId, at_ms: u64, tokens: u64) {
        self.change_backlog(id, |backlog| backlog.dispatched(at_ms, tokens));
    }

    /// Removes a dispatch that was cancelled before it ran; `at_ms` and `tokens` must match it.
    pub fn retract_dispatch(&mut self, id: &InstanceId, at_ms: u64, tokens: u64) {
        self.change_backlog(id, |backlog| backlog.retracted(at_ms, tokens));
    }

    /// Records what another node reports to have dispatched to an upstream.
    pub fn record_peer_load(&mut self, id: &InstanceId, load: PeerLoad) {
        self.change_backlog(id, |backlog| backlog.set_peer_load(load));
    }

    /// Adds a store, or updates its link and keeps its pieces.
    ///
    /// A store beyond the number of available slots is ignored.
    pub fn put_store(&mut self, store: StoreView) {
        let stores = Arc::make_mut(&mut self.stores);
        if let Some(entry) = stores.iter_mut().find(|entry| entry.view.id == store.id) {
            entry.view = store;
            entry.removed = false;
            return;
        }
        if stores.len() < usize::from(u16::MAX - FIRST_STORE_SLOT) {
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
            self.pieces.remove(PieceKey::of(name), holder.slot);
        }
    }

    /// Invalidates the records of all pieces of an instance, for instance after its restart, in constant time.
    pub fn clear_pieces(&mut self, id: &InstanceId) {
        if let Some(slot) = self.upstream_slot(id) {
            let (chunk, at) = self.chunk_mut(slot);
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

    /// Iterates over the upstreams in slot order.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamView> {
        self.chunks.iter().flat_map(|chunk| chunk.entries.iter().flatten().map(|entry| &entry.view))
    }

    /// Iterates over the stores, unreachable ones included.
    pub fn stores(&self) -> impl Iterator<Item = &StoreView> {
        self.stores.iter().filter(|entry| !entry.removed).map(|entry| &entry.view)
    }

    /// Returns the estimated prefill time queued at an upstream, `None` if it is unknown.
    pub fn wait_us(&self, id: &InstanceId, now_ms: u64) -> Option<f64> {
        self.upstream_slot(id).map(|slot| self.row(slot).wait_us(now_ms as f64 * US_PER_MS))
    }

    /// Returns the reports behind the estimate of an upstream's queue, `None` if it is unknown.
    pub fn load_basis(&self, id: &InstanceId) -> Option<LoadBasis> {
        let slot = usize::from(self.upstream_slot(id)?);
        let entry = self.chunks.get(slot / CHUNK)?.entries.get(slot % CHUNK)?.as_ref()?;
        Some(entry.backlog.basis())
    }

    /// Returns whether an upstream or a store is believed to hold a piece.
    pub fn holds(&self, id: &InstanceId, name: &BlockName) -> bool {
        self.holder(id).is_some_and(|holder| self.pieces.holders(PieceKey::of(name)).contains(&holder))
    }

    /// Iterates over the rows of all slots in slot order, chunk by chunk.
    pub(crate) fn row_chunks(&self) -> impl ExactSizeIterator<Item = &Rows> {
        self.chunks.iter().map(|chunk| &chunk.rows)
    }

    /// Returns the row of a slot, which must exist.
    pub(crate) fn row(&self, slot: u16) -> Row {
        let slot = usize::from(slot);
        self.chunks[slot / CHUNK].rows.get(slot % CHUNK)
    }

    /// Returns the cache epoch of a slot, which must exist.
    pub(crate) fn epoch(&self, slot: u16) -> u16 {
        let slot = usize::from(slot);
        self.chunks[slot / CHUNK].rows.epoch[slot % CHUNK]
    }

    /// Returns the zone index of a slot, which must exist.
    pub(crate) fn zone(&self, slot: usize) -> Option<u16> {
        u16::try_from(self.chunks[slot / CHUNK].rows.zone[slot % CHUNK]).ok()
    }

    /// Returns the upstream in a slot; `None` for a free or nonexistent slot.
    pub(crate) fn upstream_at(&self, slot: u16) -> Option<&UpstreamView> {
        let slot = usize::from(slot);
        let chunk = self.chunks.get(slot / CHUNK)?;
        chunk.entries.get(slot % CHUNK)?.as_ref().map(|entry| &entry.view)
    }

    /// Returns the slot of an upstream, `None` if it is unknown.
    pub(crate) fn upstream_slot(&self, id: &InstanceId) -> Option<u16> {
        self.directory.slots.get(id).copied()
    }

    /// Returns the index of a service or zone name, `None` if no upstream has used it.
    pub(crate) fn name_index(&self, name: &str) -> Option<u16> {
        let at = self.directory.names.iter().position(|known| known == name)?;
        u16::try_from(at).ok()
    }

    /// Returns the recorded holders of a piece, sorted by slot, invalid records included.
    pub(crate) fn holders(&self, key: PieceKey) -> &[Holder] {
        self.pieces.holders(key)
    }

    /// Iterates over the reachable stores, each with its key in the piece index.
    pub(crate) fn reachable_stores(&self) -> impl Iterator<Item = (&StoreView, Holder)> {
        let stores =
            self.stores.iter().enumerate().filter(|(_, entry)| entry.view.reachable && !entry.removed);
        stores.filter_map(|(at, entry)| {
            let slot = FIRST_STORE_SLOT + u16::try_from(at).ok()?;
            Some((&entry.view, Holder { slot, epoch: entry.epoch }))
        })
    }

    fn holder(&self, id: &InstanceId) -> Option<Holder> {
        if let Some(slot) = self.upstream_slot(id) {
            return Some(Holder { slot, epoch: self.row(slot).epoch });
        }
        let at = self.stores.iter().position(|entry| entry.view.id == *id && !entry.removed)?;
        let slot = FIRST_STORE_SLOT + u16::try_from(at).ok()?;
        Some(Holder { slot, epoch: self.stores[at].epoch })
    }

    fn change_backlog(&mut self, id: &InstanceId, change: impl FnOnce(&mut Backlog)) {
        if let Some(slot) = self.upstream_slot(id) {
            self.with_backlog(slot, change);
        }
    }

    /// Applies `change` to an upstream's backlog and updates its row.
    fn with_backlog(&mut self, slot: u16, change: impl FnOnce(&mut Backlog)) {
        let (chunk, at) = self.chunk_mut(slot);
        let Some(entry) = &mut chunk.entries[at] else { return };
        let entry = Arc::make_mut(entry);
        change(&mut entry.backlog);
        let (tokens, as_of_ms) = entry.backlog.queued_tokens();
        let us_per_token = US_PER_S / entry.backlog.prefill_tokens_per_s() as f64;
        let drained_at_us = as_of_ms as f64 * US_PER_MS + tokens * us_per_token;
        chunk.rows.set(at, Row { drained_at_us, us_per_token, ..chunk.rows.get(at) });
    }

    fn chunk_mut(&mut self, slot: u16) -> (&mut Chunk, usize) {
        let slot = usize::from(slot);
        let chunks = Arc::make_mut(&mut self.chunks);
        (Arc::make_mut(&mut chunks[slot / CHUNK]), slot % CHUNK)
    }

    /// Returns an upstream's slot, assigning one to a new upstream; `None` if all slots are taken.
    fn slot_or_assign(&mut self, id: &InstanceId) -> Option<u16> {
        if let Some(slot) = self.upstream_slot(id) {
            return Some(slot);
        }
        let directory = Arc::make_mut(&mut self.directory);
        let next = u16::try_from(directory.slots.len()).ok().filter(|slot| *slot < FIRST_STORE_SLOT)?;
        let slot = directory.free.pop().unwrap_or(next);
        directory.slots.insert(id.clone(), slot);
        let chunks = Arc::make_mut(&mut self.chunks);
        if usize::from(slot) >= chunks.len() * CHUNK {
            let empty = Chunk { rows: Rows::default(), entries: vec![None; CHUNK] };
            chunks.push(Arc::new(empty));
        }
        Some(slot)
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
    if holder.slot >= FIRST_STORE_SLOT {
        let entry = stores.get(usize::from(holder.slot - FIRST_STORE_SLOT));
        return entry.is_some_and(|entry| entry.epoch == holder.epoch);
    }
    let slot = usize::from(holder.slot);
    let row = chunks.get(slot / CHUNK).map(|chunk| chunk.rows.get(slot % CHUNK));
    row.is_some_and(|row| row.epoch == holder.epoch)
}
