//! An index from pieces to the upstreams and stores that are believed to hold them.

use std::{
    collections::HashMap,
    hash::{BuildHasherDefault, Hasher},
    sync::Arc,
};

use crate::block::BlockName;

/// Shards of the index; an update copies one shard if a snapshot still uses it.
const SHARDS: usize = 1024;

/// The first 64 bits of a block name. A collision costs a wrong estimate; engines and stores compare names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PieceKey(u64);

impl PieceKey {
    /// Derives the key from a block name; names that are not hexadecimal are hashed.
    pub(crate) fn of(name: &BlockName) -> Self {
        let text = name.as_str();
        let digits = text.get(..16).and_then(|head| u64::from_str_radix(head, 16).ok());
        Self(digits.unwrap_or_else(|| fnv(text.as_bytes())))
    }
}

fn fnv(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

/// One holder: the slot of an instance and the epoch of its cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Holder {
    /// The instance's slot in the view.
    pub(crate) slot: u16,
    /// Changes whenever the instance's cache is known to be empty.
    pub(crate) epoch: u16,
}

/// The holders of one piece, sorted by slot. One holder is the usual case and needs no allocation.
#[derive(Clone, Debug)]
enum Holders {
    One(Holder),
    // The box keeps an index entry at 24 bytes; millions of pieces have one holder.
    #[allow(clippy::box_collection)]
    Many(Box<Vec<Holder>>),
}

impl Holders {
    fn as_slice(&self) -> &[Holder] {
        match self {
            Self::One(holder) => std::slice::from_ref(holder),
            Self::Many(holders) => holders,
        }
    }

    fn insert(&mut self, holder: Holder) {
        let mut holders = self.as_slice().to_vec();
        match holders.binary_search_by_key(&holder.slot, |h| h.slot) {
            Ok(at) => holders[at] = holder,
            Err(at) => holders.insert(at, holder),
        }
        *self = Self::from_vec(holders);
    }

    fn from_vec(holders: Vec<Holder>) -> Self {
        match holders.as_slice() {
            [only] => Self::One(*only),
            _ => Self::Many(Box::new(holders)),
        }
    }
}

/// Keys are digests already, so they are used as hash values unchanged.
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
        // The shard takes the low bits, so the table gets the value rotated.
        self.0 = value.rotate_left(32);
    }
}

type Shard = HashMap<PieceKey, Holders, BuildHasherDefault<DigestHasher>>;

/// An index that is cloned in constant time; a change copies only the shard it touches.
#[derive(Clone, Debug)]
pub(crate) struct PieceIndex {
    shards: Arc<Vec<Arc<Shard>>>,
}

impl Default for PieceIndex {
    fn default() -> Self {
        Self { shards: Arc::new((0..SHARDS).map(|_| Arc::default()).collect()) }
    }
}

impl PieceIndex {
    /// Returns the recorded holders of a piece, sorted by slot; the caller compares epochs.
    pub(crate) fn holders(&self, key: PieceKey) -> &[Holder] {
        self.shards[shard_of(key)].get(&key).map_or(&[], Holders::as_slice)
    }

    /// Records a holder.
    pub(crate) fn insert(&mut self, key: PieceKey, holder: Holder) {
        let shard = self.shard_mut(key);
        match shard.get_mut(&key) {
            Some(holders) => holders.insert(holder),
            None => {
                shard.insert(key, Holders::One(holder));
            }
        }
    }

    /// Removes the holder in `slot`.
    pub(crate) fn remove(&mut self, key: PieceKey, slot: u16) {
        if self.holders(key).binary_search_by_key(&slot, |h| h.slot).is_err() {
            return;
        }
        let shard = self.shard_mut(key);
        let left: Vec<Holder> = shard.get(&key).map_or(vec![], |h| h.as_slice().to_vec());
        let left: Vec<Holder> = left.into_iter().filter(|h| h.slot != slot).collect();
        if left.is_empty() {
            shard.remove(&key);
        } else {
            shard.insert(key, Holders::from_vec(left));
        }
    }

    /// Drops the holders of one shard for which `keep` is false, and returns the number of pieces left in it.
    pub(crate) fn sweep(&mut self, shard: usize, keep: impl Fn(Holder) -> bool) -> usize {
        let shards = Arc::make_mut(&mut self.shards);
        let shard = Arc::make_mut(&mut shards[shard % SHARDS]);
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

    fn shard_mut(&mut self, key: PieceKey) -> &mut Shard {
        let shards = Arc::make_mut(&mut self.shards);
        Arc::make_mut(&mut shards[shard_of(key)])
    }
}

#[allow(clippy::cast_possible_truncation)]
fn shard_of(key: PieceKey) -> usize {
    key.0 as usize % SHARDS
}
