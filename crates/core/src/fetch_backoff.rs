//! Fetches that are left out because a store cannot keep up with what is fetched from it.
//!
//! When the link of a store turns slow, more is asked of it than it carries, and then nearly every fetch comes too
//! late: its prompt waits in vain and is read after all. For each late fetch a node leaves out one later fetch from
//! the same store, so that the fetches that remain arrive in time.

use std::collections::BTreeMap;

/// Fetches from one store that are left out in a row at most, so that a store that has recovered is found out.
const MAX_SKIPS: u32 = 2;

/// The fetches that one node leaves out, by the store's tag.
#[derive(Debug, Default)]
pub struct FetchBackoff {
    skips: BTreeMap<u32, u32>,
}

impl FetchBackoff {
    /// Returns whether the next fetch from a store is made.
    ///
    /// ```
    /// use daisysill_core::fetch_backoff::FetchBackoff;
    /// let mut backoff = FetchBackoff::default();
    /// backoff.too_late(7);
    /// assert!(!backoff.admits(7) && backoff.admits(8));
    /// backoff.left_out(7);
    /// assert!(backoff.admits(7));
    /// ```
    pub fn admits(&self, store: u32) -> bool {
        !self.skips.contains_key(&store)
    }

    /// Notes that a fetch came too late.
    pub fn record_late(&mut self, store: u32) {
        let skips = self.skips.entry(store).or_default();
        *skips = (*skips + 1).min(MAX_SKIPS);
    }

    /// Notes that a fetch was left out.
    pub fn record_skipped(&mut self, store: u32) {
        let Some(skips) = self.skips.get_mut(&store) else { return };
        *skips -= 1;
        if *skips == 0 {
            self.skips.remove(&store);
        }
    }
}
