//! The catalog of a managed store: which parts lie there, when they were used, and which are to be freed.
//!
//! A part is freed in two steps: first nobody may start to fetch it, and only when every fetch that may have been
//! started has ended or been given up is it freed.

use std::collections::{BTreeMap, HashMap, HashSet};

/// Parts are retired above this share of the store's memory.
const HIGH_WATER: f64 = 0.90;
/// Down to this share.
const LOW_WATER: f64 = 0.80;
/// A part used this lately is not retired for space.
const RECENT_USE_MS: u64 = 4_000;

/// Names a part: the scope that its cache is shared in, and its id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartName {
    /// The cache scope.
    pub scope: String,
    /// The id.
    pub id: String,
}

#[derive(Clone, Copy, Debug)]
struct Part {
    tokens: u64,
    used_ms: u64,
    retired_ms: Option<u64>,
}

/// A change of what may be fetched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatalogChange {
    /// The part lies in the store whole.
    Stored(PartName, u64),
    /// The part must not be fetched any more.
    Retired(PartName),
}

/// The catalog of one store.
#[derive(Debug)]
pub struct StoreCatalog {
    capacity_tokens: u64,
    /// Time from the retirement of a part until no fetch of it can be in progress.
    retirement_ms: u64,
    parts: BTreeMap<PartName, Part>,
    used_tokens: u64,
    changes: Vec<CatalogChange>,
}

impl StoreCatalog {
    /// Starts with an empty store.
    pub fn new(capacity_tokens: u64, retirement_ms: u64) -> Self {
        Self { capacity_tokens, retirement_ms, parts: BTreeMap::new(), used_tokens: 0, changes: Vec::new() }
    }

    /// Notes that a part lies in the store whole.
    pub fn record_stored(&mut self, name: PartName, tokens: u64, now_ms: u64) {
        if self.parts.contains_key(&name) {
            return;
        }
        self.used_tokens += tokens;
        self.changes.push(CatalogChange::Stored(name.clone(), tokens));
        self.parts.insert(name, Part { tokens, used_ms: now_ms, retired_ms: None });
    }

    /// Notes that a part is gone from the store.
    pub fn record_removed(&mut self, name: &PartName) {
        let Some(part) = self.parts.remove(name) else { return };
        self.used_tokens -= part.tokens;
        if part.retired_ms.is_none() {
            self.changes.push(CatalogChange::Retired(name.clone()));
        }
    }

    /// Forgets everything: the store has started empty.
    pub fn clear(&mut self) {
        let names: Vec<PartName> = self.parts.keys().cloned().collect();
        for name in &names {
            self.record_removed(name);
        }
    }

    /// Notes that parts were fetched or read.
    pub fn record_used(&mut self, is_used: impl Fn(&PartName) -> bool, now_ms: u64) {
        for (name, part) in &mut self.parts {
            if is_used(name) {
                part.used_ms = now_ms;
            }
        }
    }

    /// Retires parts of scopes that are no longer in use, and the least recently used ones if space is short.
    pub fn retire(&mut self, is_current: impl Fn(&str) -> bool, now_ms: u64) {
        let outdated = self.parts.iter().filter(|(name, _)| !is_current(&name.scope));
        let outdated: Vec<PartName> = outdated.map(|(name, _)| name.clone()).collect();
        for name in &outdated {
            self.retire_part(name, now_ms);
        }
        let share = |share: f64| share * self.capacity_tokens as f64;
        if (self.used_tokens as f64) < share(HIGH_WATER) {
            return;
        }
        let (low_water, mut left) = (share(LOW_WATER), self.kept_tokens() as f64);
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

    /// Returns the parts that can be freed now. They stay in the catalog until the store tells that they are gone.
    ///
    /// ```
    /// use daisysill_core::store_catalog::{PartName, StoreCatalog};
    /// let mut catalog = StoreCatalog::new(1_000, 4_000);
    /// let name = PartName { scope: "m/1".to_owned(), id: "a".to_owned() };
    /// catalog.stored(name.clone(), 100, 0);
    /// catalog.retire(|scope| scope != "m/1", 1_000);
    /// assert!(catalog.freeable(4_999).is_empty());
    /// assert_eq!(catalog.to_free(5_000), [name]);
    /// ```
    pub fn freeable(&self, now_ms: u64) -> Vec<PartName> {
        let due = self.parts.iter().filter(|(_, part)| {
            part.retired_ms.is_some_and(|retired_ms| now_ms >= retired_ms + self.retirement_ms)
        });
        due.map(|(name, _)| name.clone()).collect()
    }

    /// Returns what has changed since the last call.
    pub fn take_changes(&mut self) -> Vec<CatalogChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns every part that may be fetched, with its length.
    pub fn fetchable(&self) -> impl Iterator<Item = (&PartName, u64)> {
        let kept = self.parts.iter().filter(|(_, part)| part.retired_ms.is_none());
        kept.map(|(name, part)| (name, part.tokens))
    }

    /// Returns the tokens that lie in the store.
    pub const fn used_tokens(&self) -> u64 {
        self.used_tokens
    }

    /// Takes over a whole list of the store.
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
