//! The sealed blocks of each store. This is soft state, gossiped between nodes: it may be wrong, so engines
//! verify every block that they import.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use daisysill_core::{
    block::{BlockDescriptor, BlockName},
    ids::InstanceId,
};
use daisysill_wire::peer::BlockLocation;
use tokio::time::Instant;

/// Time for which a newly sealed or unlisted block stays in this node's soft reports.
const REPORT_RETENTION: Duration = Duration::from_secs(2);
/// Limit of newly sealed, and of newly unlisted, blocks in a report; each peer gets several reports a second.
const MAX_REPORTED_BLOCKS: usize = 32;
/// Older own blocks that each report repeats in turn, so that a node that started later learns of them.
const REPEATED_PER_REPORT: usize = 4;
/// Limit of blocks listed for one store.
const MAX_LISTED_BLOCKS: usize = 1_000_000;
/// Time between unlisting a block and freeing it. No lease on the block is left by then: leases of this node
/// began before the unlisting, those of other nodes before [`PROPAGATION_DELAY`] had passed.
pub const FREE_DELAY: Duration = Duration::from_secs(30);
/// Longest time for which a reader may use a block under one lease.
pub const MAX_LEASE: Duration = Duration::from_secs(20);
/// Time within which the other nodes learn that a block is unlisted.
const PROPAGATION_DELAY: Duration = Duration::from_secs(5);
const _: () = assert!(MAX_LEASE.as_secs() + PROPAGATION_DELAY.as_secs() < FREE_DELAY.as_secs());

/// The sealed blocks of each store, the leases on them, and the blocks that this node is to free.
#[derive(Debug, Default)]
pub struct BlockDirectory {
    inner: Mutex<Inner>,
}

/// A change of the directory, to be applied to the view that placement decisions use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum DirectoryChange {
    /// A block can be read from a store.
    Listed { store: InstanceId, name: BlockName },
    /// A block can no longer be read from a store; its bytes may still be there.
    Unlisted { store: InstanceId, name: BlockName },
    /// All blocks of a store are unlisted, since the platform no longer lists the store.
    StoreDropped { store: InstanceId },
    /// The load that leases put on a store's link changed.
    Booked {
        store: InstanceId,
        /// Bytes under lease now.
        bytes: u64,
    },
}

#[derive(Debug, Default)]
struct Inner {
    /// Changes since the last [`BlockDirectory::take_changes`].
    changes: Vec<DirectoryChange>,
    stores: BTreeMap<InstanceId, BTreeMap<BlockName, ListedBlock>>,
    /// Own blocks that get no new leases and wait to be freed.
    unlisted: Vec<UnlistedBlock>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    /// Newly sealed own blocks, for the soft reports.
    newly_sealed: Vec<(Instant, BlockLocation)>,
    /// Newly unlisted own blocks, for the soft reports.
    newly_unlisted: Vec<(Instant, BlockLocation)>,
    /// Bytes under lease, by store.
    booked_bytes: BTreeMap<InstanceId, u64>,
    /// The last own block that a report repeated.
    last_repeated: Option<(InstanceId, BlockName)>,
}

#[derive(Clone, Debug)]
struct ListedBlock {
    block: BlockDescriptor,
    /// Set if this node had the block exported; it then also frees it.
    own: Option<OwnBlock>,
}

#[derive(Clone, Debug)]
struct OwnBlock {
    last_used: Instant,
    retention: Duration,
}

#[derive(Debug)]
struct UnlistedBlock {
    block: BlockLocation,
    free_at: Instant,
}

#[derive(Debug)]
struct Lease {
    store: InstanceId,
    bytes: u64,
    expires: Instant,
}

impl BlockDirectory {
    /// Lists a block that this node had exported; it is unlisted after `retention` without a lease.
    pub fn list_own(&self, block: BlockLocation, retention: Duration) {
        let now = Instant::now();
        let mut inner = self.lock();
        inner.newly_sealed.push((now, block.clone()));
        inner.list(block, Some(OwnBlock { last_used: now, retention }));
    }

    /// Applies the blocks that another node reports as newly sealed and as unlisted. A block in both lists is
    /// unlisted.
    pub fn apply_report(&self, sealed: &[BlockLocation], unlisted: &[BlockLocation]) {
        let mut inner = self.lock();
        for block in sealed.iter().filter(|sealed| !unlisted.contains(sealed)) {
            inner.list(block.clone(), None);
        }
        for block in unlisted {
            inner.remove(block);
        }
    }

    /// Returns those of `names` that are listed for a store.
    pub fn listed<'a, I>(&self, store: &InstanceId, names: I) -> BTreeSet<BlockName>
    where
        I: IntoIterator<Item = &'a BlockName>,
    {
        let inner = self.lock();
        let Some(listed) = inner.stores.get(store) else { return BTreeSet::new() };
        names.into_iter().filter(|name| listed.contains_key(*name)).cloned().collect()
    }

    /// Returns the changes since the last call, in order.
    pub(crate) fn take_changes(&self) -> Vec<DirectoryChange> {
        std::mem::take(&mut self.lock().changes)
    }

    /// Queues the current blocks and booked bytes of a store as changes. The view ignored the earlier ones if
    /// it did not know the store then.
    pub(crate) fn requeue_store(&self, store: &InstanceId) {
        let mut inner = self.lock();
        let names: Vec<BlockName> =
            inner.stores.get(store).into_iter().flat_map(|b| b.keys().cloned()).collect();
        let listed = names.into_iter().map(|name| DirectoryChange::Listed { store: store.clone(), name });
        inner.changes.extend(listed);
        inner.update_booked(store, |bytes| bytes);
    }

    /// Returns whether a block is listed for any store.
    pub fn holds(&self, name: &BlockName) -> bool {
        self.lock().stores.values().any(|blocks| blocks.contains_key(name))
    }

    /// Returns the bytes that leases of this node may be transferring over a store's link.
    pub fn booked_bytes(&self, store: &InstanceId) -> u64 {
        self.lock().booked_bytes.get(store).copied().unwrap_or(0)
    }

    /// Takes a lease on the longest prefix of `names` that is listed for a store, for `time` but at most
    /// [`MAX_LEASE`]; `None` if that prefix is empty. Own blocks count as used now.
    pub fn lease(
        self: &Arc<Self>,
        store: &InstanceId,
        names: &[BlockName],
        time: Duration,
    ) -> Option<BlockLease> {
        let now = Instant::now();
        let mut inner = self.lock();
        let listed = inner.stores.get_mut(store)?;
        let mut blocks = Vec::new();
        for name in names {
            let Some(entry) = listed.get_mut(name) else { break };
            if let Some(own) = &mut entry.own {
                own.last_used = now;
            }
            blocks.push(entry.block.clone());
        }
        if blocks.is_empty() {
            return None;
        }
        let bytes = blocks.iter().map(|block| block.length_bytes).sum();
        let id = inner.next_lease;
        inner.next_lease += 1;
        let lease = Lease { store: store.clone(), bytes, expires: now + time.min(MAX_LEASE) };
        inner.leases.insert(id, lease);
        inner.update_booked(store, |booked| booked + bytes);
        Some(BlockLease { directory: Arc::clone(self), id, blocks })
    }

    /// Unlists a block, so that it gets no new leases; an own block is freed after [`FREE_DELAY`]. Does
    /// nothing if another generation is listed.
    pub fn unlist(&self, store: &InstanceId, name: &BlockName, generation: u64) {
        self.lock().unlist(store, name, generation);
    }

    /// Unlists all blocks of a store that the platform no longer lists; none of them is to be freed.
    pub fn drop_store(&self, store: &InstanceId) {
        let mut inner = self.lock();
        inner.stores.remove(store);
        inner.changes.push(DirectoryChange::StoreDropped { store: store.clone() });
        inner.unlisted.retain(|unlisted| unlisted.block.store != *store);
    }

    /// Unlists own blocks whose retention has passed, ends expired leases, and returns the unlisted blocks
    /// whose [`FREE_DELAY`] has passed, each only once.
    pub fn expire(&self) -> Vec<BlockLocation> {
        let now = Instant::now();
        let mut inner = self.lock();
        for (store, name, generation) in inner.idle_blocks(now) {
            inner.unlist(&store, &name, generation);
        }
        let expired = inner.leases.iter().filter(|(_, lease)| lease.expires <= now);
        for id in expired.map(|(id, _)| *id).collect::<Vec<_>>() {
            inner.end_lease(id);
        }
        let unlisted = std::mem::take(&mut inner.unlisted);
        let (due, waiting): (Vec<_>, Vec<_>) =
            unlisted.into_iter().partition(|unlisted| unlisted.free_at <= now);
        inner.unlisted = waiting;
        due.into_iter().map(|unlisted| unlisted.block).collect()
    }

    /// Queues a block that its store failed to free; [`Self::expire`] returns it again after [`FREE_DELAY`].
    pub fn retry_free(&self, block: BlockLocation) {
        let free_at = Instant::now() + FREE_DELAY;
        self.lock().unlisted.push(UnlistedBlock { block, free_at });
    }

    /// Returns the newly sealed blocks with some older ones, and the newly unlisted blocks, for the soft
    /// report.
    pub fn report(&self) -> (Vec<BlockLocation>, Vec<BlockLocation>) {
        let now = Instant::now();
        let mut inner = self.lock();
        inner.newly_sealed.retain(|(at, _)| now - *at < REPORT_RETENTION);
        inner.newly_unlisted.retain(|(at, _)| now - *at < REPORT_RETENTION);
        let latest = |list: &[(Instant, BlockLocation)]| {
            list.iter().rev().take(MAX_REPORTED_BLOCKS).map(|(_, block)| block.clone()).collect()
        };
        let (mut sealed, unlisted): (Vec<BlockLocation>, _) =
            (latest(&inner.newly_sealed), latest(&inner.newly_unlisted));
        sealed.extend(inner.next_repeated());
        (sealed, unlisted)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn list(&mut self, location: BlockLocation, own: Option<OwnBlock>) {
        let blocks = self.stores.entry(location.store.clone()).or_default();
        let known = blocks.get(&location.block.name);
        if known.is_some_and(|known| known.block.generation >= location.block.generation) {
            return;
        }
        if known.is_none() && blocks.len() >= MAX_LISTED_BLOCKS {
            return;
        }
        let (store, name) = (location.store.clone(), location.block.name.clone());
        let replaced = blocks.insert(location.block.name.clone(), ListedBlock { block: location.block, own });
        self.changes.push(DirectoryChange::Listed { store, name });
        // Otherwise the replaced block would never be freed.
        if let Some(ListedBlock { block, own: Some(_) }) = replaced {
            self.free_later(BlockLocation { store: location.store, block });
        }
    }

    fn remove(&mut self, location: &BlockLocation) -> Option<ListedBlock> {
        let blocks = self.stores.get_mut(&location.store)?;
        let listed = blocks.get(&location.block.name)?;
        // A later write under the same name stays listed.
        if listed.block.generation != location.block.generation {
            return None;
        }
        let removed = blocks.remove(&location.block.name);
        let (store, name) = (location.store.clone(), location.block.name.clone());
        self.changes.push(DirectoryChange::Unlisted { store, name });
        removed
    }

    fn update_booked(&mut self, store: &InstanceId, change: impl FnOnce(u64) -> u64) {
        let booked = self.booked_bytes.entry(store.clone()).or_default();
        *booked = change(*booked);
        let bytes = *booked;
        self.changes.push(DirectoryChange::Booked { store: store.clone(), bytes });
    }

    fn unlist(&mut self, store: &InstanceId, name: &BlockName, generation: u64) {
        let listed = self.stores.get(store).and_then(|blocks| blocks.get(name));
        let Some(block) = listed.map(|listed| listed.block.clone()) else { return };
        if block.generation != generation {
            return;
        }
        let location = BlockLocation { store: store.clone(), block };
        if self.remove(&location).is_some_and(|listed| listed.own.is_some()) {
            self.free_later(location);
        }
    }

    fn free_later(&mut self, block: BlockLocation) {
        let now = Instant::now();
        self.newly_unlisted.push((now, block.clone()));
        self.unlisted.push(UnlistedBlock { block, free_at: now + FREE_DELAY });
    }

    /// Returns the own blocks that follow those repeated last; none once after the last block, then from the
    /// start.
    fn next_repeated(&mut self) -> Vec<BlockLocation> {
        let mut repeated = Vec::new();
        for (store, blocks) in &self.stores {
            for (name, listed) in blocks.iter().filter(|(_, listed)| listed.own.is_some()) {
                let is_next = self.last_repeated.as_ref().is_none_or(|(s, n)| (s, n) < (store, name));
                if is_next && repeated.len() < REPEATED_PER_REPORT {
                    repeated.push(BlockLocation { store: store.clone(), block: listed.block.clone() });
                }
            }
        }
        self.last_repeated = repeated.last().map(|last| (last.store.clone(), last.block.name.clone()));
        repeated
    }

    /// Returns the own blocks whose retention has passed since their last use.
    fn idle_blocks(&self, now: Instant) -> Vec<(InstanceId, BlockName, u64)> {
        let mut idle = Vec::new();
        for (store, blocks) in &self.stores {
            for listed in blocks.values() {
                if listed.own.as_ref().is_some_and(|own| now - own.last_used >= own.retention) {
                    idle.push((store.clone(), listed.block.name.clone(), listed.block.generation));
                }
            }
        }
        idle
    }

    fn end_lease(&mut self, id: u64) {
        let Some(lease) = self.leases.remove(&id) else { return };
        self.update_booked(&lease.store, |booked| booked.saturating_sub(lease.bytes));
    }
}

/// Permission to read blocks of a store until it expires or is dropped.
#[derive(Debug)]
pub struct BlockLease {
    directory: Arc<BlockDirectory>,
    id: u64,
    /// The leased blocks, in the order of the requested names.
    pub blocks: Vec<BlockDescriptor>,
}

impl Drop for BlockLease {
    fn drop(&mut self) {
        self.directory.lock().end_lease(self.id);
    }
}
