//! Catalog of the parts in a managed store, which decides what is evicted.
//!
//! Eviction has two steps, so that no part is freed during a fetch. A part is first retired, after which no fetch of
//! it may start. It is freed only after `retirement_ms`, when every fetch that had started has ended or timed out.

use std::collections::{BTreeMap, HashMap, HashSet};

/// Fraction of the store's capacity from which parts are retired for space.
const HIGH_WATERMARK: f64 = 0.90;
/// Fraction of the store's capacity down to which parts are retired.
const LOW_WATERMARK: f64 = 0.80;
/// A part used within this time is not retired for space.
const RECENT_USE_MS: u64 = 4_000;

/// Name of a part, unique in a store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartName {
    /// The scope in which its KV cache is shared.
    pub scope: String,
    /// Its id within the scope.
    pub id: String,
}

#[derive(Clone, Copy, Debug)]
struct Part {
    tokens: u64,
    used_ms: u64,
    retired_ms: Option<u64>,
}

/// A change in the set of parts that may be fetched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatalogChange {
    /// The part, with its length in tokens, is completely stored and may be fetched.
    Stored(PartName, u64),
    /// No fetch of the part may start any more.
    Retired(PartName),
}

/// The parts of one store, with their last use and retirement.
#[derive(Debug)]
pub struct StoreCatalog {
    capacity_tokens: u64,
    /// Time after the retirement of a part by which no fetch of it can be in progress.
    retirement_ms: u64,
    parts: BTreeMap<PartName, Part>,
    used_tokens: u64,
    changes: Vec<CatalogChange>,
}

impl StoreCatalog {
    /// Creates the catalog of an empty store; `retirement_ms` is the time from retiring a part to freeing it.
    pub fn new(capacity_tokens: u64, retirement_ms: u64) -> Self {
        Self { capacity_tokens, retirement_ms, parts: BTreeMap::new(), used_tokens: 0, changes: Vec::new() }
    }

    /// Records a completely stored part; a known part stays as it is.
    pub fn record_stored(&mut self, name: PartName, tokens: u64, now_ms: u64) {
        if self.parts.contains_key(&name) {
            return;
        }
        self.used_tokens += tokens;
        self.changes.push(CatalogChange::Stored(name.clone(), tokens));
        self.parts.insert(name, Part { tokens, used_ms: now_ms, retired_ms: None });
    }

    /// Records that a part is no longer in the store.
    pub fn record_removed(&mut self, name: &PartName) {
        let Some(part) = self.parts.remove(name) else { return };
        self.used_tokens -= part.tokens;
        if part.retired_ms.is_none() {
            self.changes.push(CatalogChange::Retired(name.clone()));
        }
    }

    /// Removes all parts, after the store restarted empty.
    pub fn clear(&mut self) {
        let names: Vec<PartName> = self.parts.keys().cloned().collect();
        for name in &names {
            self.record_removed(name);
        }
    }

    /// Records that the parts for which `is_used` returns true were fetched or otherwise used by a request.
    pub fn record_used(&mut self, is_used: impl Fn(&PartName) -> bool, now_ms: u64) {
        for (name, part) in &mut self.parts {
            if is_used(name) {
                part.used_ms = now_ms;
            }
        }
    }

    /// Retires the parts of scopes that are not current and, above the high watermark, the least recently used
    /// others.
    pub fn retire(&mut self, is_current: impl Fn(&str) -> bool, now_ms: u64) {
        let outdated = self.parts.iter().filter(|(name, _)| !is_current(&name.scope));
        let outdated: Vec<PartName> = outdated.map(|(name, _)| name.clone()).collect();
        for name in &outdated {
            self.retire_part(name, now_ms);
        }
        let tokens_at = |fraction: f64| fraction * self.capacity_tokens as f64;
        if (self.used_tokens as f64) < tokens_at(HIGH_WATERMARK) {
            return;
        }
        let (low_water, mut left) = (tokens_at(LOW_WATERMARK), self.kept_tokens() as f64);
        let idle = self.parts.iter().filter(|(_, part)| {
            part.retired_ms.is_none() && now_ms.saturating_sub(part.used_ms) >= RECENT_USE_MS
        });
        let mut idle: Vec<(u64, PartName, u64)> =
            idle.map(|(name, part)| (part.used_ms, name.clone(), part.tokens)).collect();
        idle.sort();
        for (_, name, tokens) in idle {
            if left <= low_water {
                return;
            }
            self.retire_part(&name, now_ms);
            left -= tokens as f64;
        }
    }

    /// Returns the parts that can be freed now. They stay in the catalog until `record_removed` is called.
    ///
    /// ```
    /// use daisysill_core::store_catalog::{PartName, StoreCatalog};
    /// let mut catalog = StoreCatalog::new(1_000, 4_000);
    /// let name = PartName { scope: "m/1".to_owned(), id: "a".to_owned() };
    /// catalog.record_stored(name.clone(), 100, 0);
    /// catalog.retire(|scope| scope != "m/1", 1_000);
    /// assert!(catalog.freeable(4_999).is_empty());
    /// assert_eq!(catalog.freeable(5_000), [name]);
    /// ```
    pub fn freeable(&self, now_ms: u64) -> Vec<PartName> {
        let due = self.parts.iter().filter(|(_, part)| {
            part.retired_ms.is_some_and(|retired_ms| now_ms >= retired_ms + self.retirement_ms)
        });
        due.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the changes since the last call, oldest first.
    pub fn take_changes(&mut self) -> Vec<CatalogChange> {
        std::mem::take(&mut self.changes)
    }

    /// Iterates over the parts that may be fetched, with their lengths in tokens.
    pub fn fetchable(&self) -> impl Iterator<Item = (&PartName, u64)> {
        let kept = self.parts.iter().filter(|(_, part)| part.retired_ms.is_none());
        kept.map(|(name, part)| (name, part.tokens))
    }

    /// Returns the tokens of all parts in the store, retired ones included.
    pub const fn used_tokens(&self) -> u64 {
        self.used_tokens
    }

    /// Replaces the contents by a complete list from the store; listed parts that are known keep their state.
    pub fn replace(&mut self, listed: HashMap<PartName, u64>, now_ms: u64) {
        let known: HashSet<PartName> = self.parts.keys().cloned().collect();
        for name in known.iter().filter(|name| !listed.contains_key(name)) {
            self.record_removed(name);
        }
        for (name, tokens) in listed {
            self.record_stored(name, tokens, now_ms);
        }
    }

    fn kept_tokens(&self) -> u64 {
        self.parts.values().filter(|part| part.retired_ms.is_none()).map(|part| part.tokens).sum()
    }

    fn retire_part(&mut self, name: &PartName, now_ms: u64) {
        let Some(part) = self.parts.get_mut(name).filter(|part| part.retired_ms.is_none()) else { return };
        part.retired_ms = Some(now_ms);
        self.changes.push(CatalogChange::Retired(name.clone()));
    }
}
