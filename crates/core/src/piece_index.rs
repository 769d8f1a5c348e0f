//! An index from pieces to the upstreams and stores that are believed to hold them.

use std::{
    collections::HashMap,
    hash::{BuildHasherDefault, Hasher},
    sync::Arc,
};

use crate::block::BlockName;

/// Number of shard groups. If a snapshot is in use, an update copies the list of groups, one group's list of
/// shards and one shard.
const GROUPS: usize = 64;
/// Number of shards in a group.
const SHARDS_PER_GROUP: usize = 64;
/// Number of shards in the index.
pub(crate) const SHARDS: usize = GROUPS * SHARDS_PER_GROUP;

/// The first 64 bits of a block name. A collision only makes an estimate wrong; engines and stores compare whole
/// names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PieceKey(u64);

impl PieceKey {
    /// Derives the key from a block name; a name that is not hexadecimal is hashed.
    pub(crate) fn of(name: &BlockName) -> Self {
        let text = name.as_str();
        let digits = text.get(..16).and_then(|head| u64::from_str_radix(head, 16).ok());
        Self(digits.unwrap_or_else(|| fnv(text.as_bytes())))
    }
}

/// FNV-1a hash.
fn fnv(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

/// An instance that holds a piece, as recorded at one epoch of its cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Holder {
    /// The instance's index in the view; see `FIRST_STORE_INDEX`.
    pub(crate) index: u16,
    /// The epoch of the instance's cache, which changes whenever the cache is known to be empty.
    pub(crate) epoch: u16,
}

/// Holders stored inline in an index entry, which saves two memory accesses in most lookups.
const INLINE_HOLDERS: usize = 3;

/// The holders of one piece, sorted by instance.
#[derive(Clone, Debug)]
enum Holders {
    Few {
        count: u8,
        holders: [Holder; INLINE_HOLDERS],
    },
    // The box limits an index entry to 24 bytes; a node may know millions of pieces.
    #[allow(clippy::box_collection)]
    Many(Box<Vec<Holder>>),
}

impl Holders {
    fn as_slice(&self) -> &[Holder] {
        match self {
            Self::Few { count, holders } => &holders[..usize::from(*count)],
            Self::Many(holders) => holders,
        }
    }

    fn insert(&mut self, holder: Holder) {
        let position = self.as_slice().binary_search_by_key(&holder.index, |h| h.index);
        match (self, position) {
            (Self::Few { holders, .. }, Ok(at)) => holders[at] = holder,
            (Self::Many(holders), Ok(at)) => holders[at] = holder,
            (Self::Many(holders), Err(at)) => holders.insert(at, holder),
            (few, Err(at)) => {
                let mut holders = few.as_slice().to_vec();
                holders.insert(at, holder);
                *few = Self::from_vec(holders);
            }
        }
    }

    fn from_vec(holders: Vec<Holder>) -> Self {
        let mut inline = [Holder { index: 0, epoch: 0 }; INLINE_HOLDERS];
        match (inline.get_mut(..holders.len()), u8::try_from(holders.len())) {
            (Some(part), Ok(count)) => {
                part.copy_from_slice(&holders);
                Self::Few { count, holders: inline }
            }
            _ => Self::Many(Box::new(holders)),
        }
    }
}

/// Uses keys, which are digests, as hash values without hashing them again.
#[derive(Clone, Debug, Default)]
struct DigestHasher(u64);

impl Hasher for DigestHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        self.0 = fnv(bytes);
    }

    fn write_u64(&mut self, value: u64) {
        // The low bits select the shard and are equal for all keys of its table, so the value is rotated.
        self.0 = value.rotate_left(32);
    }
}

/// Returns whether `holder` is recorded with the same epoch; `holders` must be sorted by instance.
pub(crate) fn holds(holders: &[Holder], holder: Holder) -> bool {
    match holders {
        [only] => *only == holder,
        _ => holders.binary_search(&holder).is_ok(),
    }
}

type Shard = HashMap<PieceKey, Holders, BuildHasherDefault<DigestHasher>>;
type Group = Vec<Arc<Shard>>;

/// A copy-on-write index that is cloned in constant time.
#[derive(Clone, Debug)]
pub(crate) struct PieceIndex {
    groups: Arc<Vec<Arc<Group>>>,
}

impl Default for PieceIndex {
    fn default() -> Self {
        let group: Arc<Group> = Arc::new(vec![Arc::default(); SHARDS_PER_GROUP]);
        Self { groups: Arc::new(vec![group; GROUPS]) }
    }
}

impl PieceIndex {
    /// Returns the recorded holders of a piece, sorted by instance; the caller must compare their epochs.
    pub(crate) fn holders(&self, key: PieceKey) -> &[Holder] {
        let shard = shard_of(key);
        self.groups[shard / SHARDS_PER_GROUP][shard % SHARDS_PER_GROUP]
            .get(&key)
            .map_or(&[], Holders::as_slice)
    }

    /// Records a holder, replacing a record of the same instance.
    pub(crate) fn insert(&mut self, key: PieceKey, holder: Holder) {
        let shard = self.shard_mut(shard_of(key));
        match shard.get_mut(&key) {
            Some(holders) => holders.insert(holder),
            None => {
                shard.insert(key, Holders::from_vec(vec![holder]));
            }
        }
    }

    /// Removes the record of the instance with this index, if there is one.
    pub(crate) fn remove(&mut self, key: PieceKey, index: u16) {
        if self.holders(key).binary_search_by_key(&index, |h| h.index).is_err() {
            return;
        }
        let shard = self.shard_mut(shard_of(key));
        let left: Vec<Holder> = shard.get(&key).map_or(vec![], |h| h.as_slice().to_vec());
        let left: Vec<Holder> = left.into_iter().filter(|h| h.index != index).collect();
        if left.is_empty() {
            shard.remove(&key);
        } else {
            shard.insert(key, Holders::from_vec(left));
        }
    }

    /// Removes the holders of one shard for which `keep` returns false; returns the number of pieces left in it.
    pub(crate) fn sweep(&mut self, shard: usize, keep: impl Fn(Holder) -> bool) -> usize {
        let shard = self.shard_mut(shard % SHARDS);
        shard.retain(|_, holders| {
            let kept: Vec<Holder> = holders.as_slice().iter().copied().filter(|h| keep(*h)).collect();
            let any = !kept.is_empty();
            if any && kept.len() < holders.as_slice().len() {
                *holders = Holders::from_vec(kept);
            }
            any
        });
        shard.len()
    }

    fn shard_mut(&mut self, shard: usize) -> &mut Shard {
        let groups = Arc::make_mut(&mut self.groups);
        let group = Arc::make_mut(&mut groups[shard / SHARDS_PER_GROUP]);
        Arc::make_mut(&mut group[shard % SHARDS_PER_GROUP])
    }
}

#[allow(clippy::cast_possible_truncation)]
fn shard_of(key: PieceKey) -> usize {
    key.0 as usize % SHARDS
}
