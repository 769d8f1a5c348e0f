//! The prefix cache of a stand-in engine, and the cache events that it publishes.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use daisysill_wire::http_types::{CacheEvent, CacheEventKind, CacheEvents};

use crate::engine::EngineConfig;

#[derive(Clone, Debug)]
pub(crate) struct CachedPiece {
    pub(crate) weight_version: u64,
    /// Value of `Cache::uses` at the last use.
    pub(crate) last_use: u64,
    /// Size of the import, until the piece is first used; 0 for a computed piece.
    pub(crate) unused_import_bytes: u64,
}

/// An LRU cache of KV pieces, keyed by salt and piece name.
#[derive(Debug)]
pub(crate) struct Cache {
    /// Capacity in pieces.
    limit: usize,
    pieces: BTreeMap<(String, String), CachedPiece>,
    /// Counter that orders uses.
    uses: u64,
    /// All events with their times.
    events: Vec<(Instant, CacheEvent)>,
    delay: Duration,
    burst: Duration,
    gap_every: u64,
    started: Instant,
    /// Bytes of imported pieces that were evicted before use.
    wasted_bytes: u64,
}

/// The result of looking up a prompt's pieces.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Lookup {
    /// Length of the longest cached prefix.
    pub(crate) cached_pieces: usize,
    /// Whether a piece is cached under another salt.
    pub(crate) foreign_salt: bool,
    /// Whether the prefix ended at a piece of another weight version.
    pub(crate) foreign_version: bool,
}

impl Cache {
    pub(crate) fn new(config: &EngineConfig) -> Self {
        Self {
            limit: config.cache_pieces,
            pieces: BTreeMap::new(),
            uses: 0,
            events: Vec::new(),
            delay: Duration::from_millis(config.event_delay_ms),
            burst: Duration::from_millis(config.event_burst_ms),
            gap_every: config.event_gap_every,
            started: Instant::now(),
            wasted_bytes: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.pieces.len()
    }

    /// Finds the longest prefix that is cached for a salt and weight version, and marks its pieces as used.
    pub(crate) fn look_up(&mut self, salt: &str, names: &[String], weight_version: u64) -> Lookup {
        let mut lookup = Lookup {
            foreign_salt: names.iter().any(|name| self.is_cached_for_another(salt, name)),
            ..Lookup::default()
        };
        for name in names {
            self.uses += 1;
            let Some(piece) = self.pieces.get_mut(&(salt.to_owned(), name.clone())) else { break };
            if piece.weight_version != weight_version {
                lookup.foreign_version = true;
                break;
            }
            piece.last_use = self.uses;
            piece.unused_import_bytes = 0;
            lookup.cached_pieces += 1;
        }
        lookup
    }

    fn is_cached_for_another(&self, salt: &str, name: &str) -> bool {
        self.pieces.keys().any(|(cached_salt, cached)| cached == name && cached_salt != salt)
    }

    /// Caches a piece, publishes it if it is new, and evicts the least recently used pieces above the limit.
    pub(crate) fn insert(&mut self, salt: &str, name: &str, weight_version: u64, import_bytes: u64) {
        self.uses += 1;
        let piece = CachedPiece { weight_version, last_use: self.uses, unused_import_bytes: import_bytes };
        if self.pieces.insert((salt.to_owned(), name.to_owned()), piece).is_none() {
            self.publish(CacheEventKind::Stored, name.to_owned());
        }
        while self.pieces.len() > self.limit {
            let oldest = self.pieces.iter().min_by_key(|(_, piece)| piece.last_use);
            let Some(key) = oldest.map(|(key, _)| key.clone()) else { return };
            self.evict(&key);
        }
    }

    /// Returns salt and weight version of a cached piece by its name alone.
    pub(crate) fn find(&self, name: &str) -> Option<(String, u64)> {
        let mut found = self.pieces.iter().filter(|((_, cached), _)| cached == name);
        found.next().map(|((salt, _), piece)| (salt.clone(), piece.weight_version))
    }

    pub(crate) fn evict_all(&mut self) {
        let keys: Vec<_> = self.pieces.keys().cloned().collect();
        for key in keys {
            self.evict(&key);
        }
    }

    /// Returns the wasted bytes since the last call.
    pub(crate) fn take_wasted_bytes(&mut self) -> u64 {
        std::mem::take(&mut self.wasted_bytes)
    }

    fn evict(&mut self, key: &(String, String)) {
        if let Some(piece) = self.pieces.remove(key) {
            self.wasted_bytes += piece.unused_import_bytes;
            self.publish(CacheEventKind::Evicted, key.1.clone());
        }
    }

    fn publish(&mut self, kind: CacheEventKind, piece: String) {
        let seq = self.events.len() as u64 + 1;
        self.events.push((Instant::now(), CacheEvent { seq, kind, piece }));
    }

    /// Returns the readable events after a sequence number, without those lost to `gap_every`. `next_seq` counts lost
    /// events too, so that a reader can notice the gap.
    pub(crate) fn events_after(&self, after: u64, incarnation: u64) -> CacheEvents {
        let now = Instant::now();
        let readable_until = if self.burst.is_zero() {
            now
        } else {
            let bursts = now.duration_since(self.started).as_nanos() / self.burst.as_nanos();
            self.started + self.burst * u32::try_from(bursts).unwrap_or(u32::MAX)
        };
        let readable = self.events.iter().take_while(|(at, _)| *at + self.delay <= readable_until);
        let next_seq = readable.clone().last().map_or(0, |(_, event)| event.seq);
        let is_delivered = |event: &&CacheEvent| {
            event.seq > after && (self.gap_every == 0 || !event.seq.is_multiple_of(self.gap_every))
        };
        let events = readable.map(|(_, event)| event).filter(is_delivered).cloned().collect();
        CacheEvents { events, next_seq, incarnation }
    }
}
