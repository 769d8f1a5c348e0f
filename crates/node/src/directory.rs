//! Which sealed blocks lie in which store. Soft state: a hint that every reader verifies.

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

/// Time for which a sealed or unlisted block stays in this node's reports to the others.
const REPORT_TIME: Duration = Duration::from_secs(2);
/// New blocks in one report at most; a report goes out several times a second to each peer.
const MAX_REPORTED_BLOCKS: usize = 32;
/// Older own blocks in one report, in turn, so that a node that started later learns of them.
const REPEATED_BLOCKS: usize = 4;
/// Blocks listed for one store at most.
const MAX_LISTED_BLOCKS: usize = 1_000_000;
/// Time between unlisting a block and freeing it. It is longer than any lease, so no reader holds the block
/// then: on this node a lease begins before the unlisting, on another one until that node hears of it.
pub const FREE_DELAY: Duration = Duration::from_secs(30);
/// Longest time for which a reader may hold a block.
pub const MAX_LEASE: Duration = Duration::from_secs(20);
/// Time in which the other nodes hear of an unlisting.
const REPORT_DELAY: Duration = Duration::from_secs(5);
const _: () = assert!(MAX_LEASE.as_secs() + REPORT_DELAY.as_secs() < FREE_DELAY.as_secs());

/// Which sealed blocks lie in which store.
#[derive(Debug, Default)]
pub struct BlockDirectory {
    inner: Mutex<Inner>,
}

/// What changed in the stores, for the view that decisions use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum DirectoryChange {
    /// A store has a block under this name.
    Listed {
        /// The store.
        store: InstanceId,
        /// The block.
        name: BlockName,
    },
    /// A store no longer has a block under this name for readers.
    Unlisted {
        /// The store.
        store: InstanceId,
        /// The block.
        name: BlockName,
    },
    /// Every block of a store is gone.
    StoreDropped {
        /// The store.
        store: InstanceId,
    },
    /// The bytes of running transfers over a store's link changed.
    Booked {
        /// The store.
        store: InstanceId,
        /// All bytes booked now.
        bytes: u64,
    },
}

#[derive(Debug, Default)]
struct Inner {
    /// What changed since the view last took the changes.
    changes: Vec<DirectoryChange>,
    stores: BTreeMap<InstanceId, BTreeMap<BlockName, Listed>>,
    /// Blocks that no new reader gets, and when each may be freed.
    unlisted: Vec<Unlisted>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    sealed: Vec<(Instant, BlockLocation)>,
    freed: Vec<(Instant, BlockLocation)>,
    booked_bytes: BTreeMap<InstanceId, u64>,
    /// The own block that was repeated last.
    last_repeated: Option<(InstanceId, BlockName)>,
}

#[derive(Clone, Debug)]
struct Listed {
    block: BlockDescriptor,
    /// Set on the node that exported the block and will free it.
    own: Option<OwnExport>,
}

#[derive(Clone, Debug)]
struct OwnExport {
    last_used: Instant,
    keep: Duration,
}

#[derive(Debug)]
struct Unlisted {
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
    /// Lists a block that this node had exported; it is unlisted after `keep` without use.
    pub fn list_own(&self, sealed: BlockLocation, keep: Duration) {
        let now = Instant::now();
        let mut inner = self.lock();
        inner.sealed.push((now, sealed.clone()));
        inner.list(sealed, Some(OwnExport { last_used: now, keep }));
    }

    /// Applies another node's report.
    pub fn apply_report(&self, sealed: &[BlockLocation], freed: &[BlockLocation]) {
        let mut inner = self.lock();
        for block in sealed.iter().filter(|sealed| !freed.contains(sealed)) {
            inner.list(block.clone(), None);
        }
        for block in freed {
            inner.remove(block);
        }
    }

    /// Returns which of `names` a store has listed.
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

    /// Announces all blocks and bookings of a store again, since the view did not know the store before.
    pub(crate) fn announce(&self, store: &InstanceId) {
        let mut inner = self.lock();
        let names: Vec<BlockName> =
            inner.stores.get(store).into_iter().flat_map(|b| b.keys().cloned()).collect();
        let listed = names.into_iter().map(|name| DirectoryChange::Listed { store: store.clone(), name });
        inner.changes.extend(listed);
        inner.booked(store, |bytes| bytes);
    }

    /// Returns whether any store has a block listed under this name.
    pub fn holds(&self, name: &BlockName) -> bool {
        self.lock().stores.values().any(|blocks| blocks.contains_key(name))
    }

    /// Returns the bytes of running transfers over the link of a store.
    pub fn booked_bytes(&self, store: &InstanceId) -> u64 {
        self.lock().booked_bytes.get(store).copied().unwrap_or(0)
    }

    /// Takes a lease on the longest run of `names` that a store has listed; `None` if that run is empty.
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
        inner.booked(store, |booked| booked + bytes);
        Some(BlockLease { directory: Arc::clone(self), id, blocks })
    }

    /// Takes a block off the list, so that no new reader gets it; it is freed later if it is this node's.
    pub fn unlist(&self, store: &InstanceId, name: &BlockName, generation: u64) {
        self.lock().unlist(store, name, generation);
    }

    /// Takes every block of a store off the list, since the store is gone.
    pub fn drop_store(&self, store: &InstanceId) {
        let mut inner = self.lock();
        inner.stores.remove(store);
        inner.changes.push(DirectoryChange::StoreDropped { store: store.clone() });
        inner.unlisted.retain(|unlisted| unlisted.block.store != *store);
    }

    /// Unlists own blocks that rested beyond their time, and returns the unlisted blocks that no reader can
    /// still hold. Each is returned once.
    pub fn expire(&self) -> Vec<BlockLocation> {
        let now = Instant::now();
        let mut inner = self.lock();
        for (store, name, generation) in inner.rested(now) {
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

    /// Keeps a block whose store did not free it, to be returned again later.
    pub fn free_again(&self, block: BlockLocation) {
        let free_at = Instant::now() + FREE_DELAY;
        self.lock().unlisted.push(Unlisted { block, free_at });
    }

    /// Returns the blocks sealed and unlisted lately, for the report to the other nodes.
    pub fn report(&self) -> (Vec<BlockLocation>, Vec<BlockLocation>) {
        let now = Instant::now();
        let mut inner = self.lock();
        inner.sealed.retain(|(at, _)| now - *at < REPORT_TIME);
        inner.freed.retain(|(at, _)| now - *at < REPORT_TIME);
        let latest = |list: &[(Instant, BlockLocation)]| {
            list.iter().rev().take(MAX_REPORTED_BLOCKS).map(|(_, block)| block.clone()).collect()
        };
        let (mut sealed, freed): (Vec<BlockLocation>, _) = (latest(&inner.sealed), latest(&inner.freed));
        sealed.extend(inner.repeated());
        (sealed, freed)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn list(&mut self, sealed: BlockLocation, own: Option<OwnExport>) {
        let blocks = self.stores.entry(sealed.store.clone()).or_default();
        let known = blocks.get(&sealed.block.name);
        if known.is_some_and(|known| known.block.generation >= sealed.block.generation) {
            return;
        }
        if known.is_none() && blocks.len() >= MAX_LISTED_BLOCKS {
            return;
        }
        let (store, name) = (sealed.store.clone(), sealed.block.name.clone());
        let replaced = blocks.insert(sealed.block.name.clone(), Listed { block: sealed.block, own });
        self.changes.push(DirectoryChange::Listed { store, name });
        // An own block under the same name would otherwise never be freed.
        if let Some(Listed { block, own: Some(_) }) = replaced {
            self.free_later(BlockLocation { store: sealed.store, block });
        }
    }

    fn remove(&mut self, sealed: &BlockLocation) -> Option<Listed> {
        let blocks = self.stores.get_mut(&sealed.store)?;
        let listed = blocks.get(&sealed.block.name)?;
        // A later write under the same name stays.
        if listed.block.generation != sealed.block.generation {
            return None;
        }
        let removed = blocks.remove(&sealed.block.name);
        let (store, name) = (sealed.store.clone(), sealed.block.name.clone());
        self.changes.push(DirectoryChange::Unlisted { store, name });
        removed
    }

    fn booked(&mut self, store: &InstanceId, change: impl FnOnce(u64) -> u64) {
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
        let sealed = BlockLocation { store: store.clone(), block };
        if self.remove(&sealed).is_some_and(|listed| listed.own.is_some()) {
            self.free_later(sealed);
        }
    }

    fn free_later(&mut self, block: BlockLocation) {
        let now = Instant::now();
        self.freed.push((now, block.clone()));
        self.unlisted.push(Unlisted { block, free_at: now + FREE_DELAY });
    }

    /// Returns the next own blocks after those repeated last, from the start again after the last one.
    fn repeated(&mut self) -> Vec<BlockLocation> {
        let mut repeated = Vec::new();
        for (store, blocks) in &self.stores {
            for (name, listed) in blocks.iter().filter(|(_, listed)| listed.own.is_some()) {
                let is_next = self.last_repeated.as_ref().is_none_or(|(s, n)| (s, n) < (store, name));
                if is_next && repeated.len() < REPEATED_BLOCKS {
                    repeated.push(BlockLocation { store: store.clone(), block: listed.block.clone() });
                }
            }
        }
        self.last_repeated = repeated.last().map(|last| (last.store.clone(), last.block.name.clone()));
        repeated
    }

    fn rested(&self, now: Instant) -> Vec<(InstanceId, BlockName, u64)> {
        let mut rested = Vec::new();
        for (store, blocks) in &self.stores {
            for listed in blocks.values() {
                if listed.own.as_ref().is_some_and(|own| now - own.last_used >= own.keep) {
                    rested.push((store.clone(), listed.block.name.clone(), listed.block.generation));
                }
            }
        }
        rested
    }

    fn end_lease(&mut self, id: u64) {
        let Some(lease) = self.leases.remove(&id) else { return };
        self.booked(&lease.store, |booked| booked.saturating_sub(lease.bytes));
    }
}

/// The right to read blocks until it expires; given back when dropped.
#[derive(Debug)]
pub struct BlockLease {
    directory: Arc<BlockDirectory>,
    id: u64,
    /// The blocks, first to last.
    pub blocks: Vec<BlockDescriptor>,
}

impl Drop for BlockLease {
    fn drop(&mut self) {
        self.directory.lock().end_lease(self.id);
    }
}
