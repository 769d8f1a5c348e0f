//! Backoff of fetches from stores that are overloaded.
//!
//! When the link of a store becomes slow, nodes request more than it can carry, and then nearly every fetch is late:
//! its prompt has waited for nothing and is prefilled after all. For each late fetch a node therefore skips one later
//! fetch from the same store, so that the remaining ones arrive in time.

use std::collections::BTreeMap;

/// Maximum number of pending skips per store, so that a store's recovery is noticed soon.
const MAX_SKIPS: u32 = 2;

/// Returns whether a fetch must have been abandoned, judged by when the response began: `past_timeout_ms` after the
/// fetch timed out. After a fetch that arrived, the engine prefills only what was not fetched, in `rest_ms`; after one
/// that was abandoned also the fetched part, in `fetched_ms` more.
///
/// ```
/// use daisysill_core::fetch_backoff::is_late;
/// assert!(!is_late(40.0, 30.0, 100.0), "the prefill of the rest explains the time");
/// assert!(is_late(90.0, 30.0, 100.0));
/// ```
pub fn is_late(past_timeout_ms: f64, rest_ms: f64, fetched_ms: f64) -> bool {
    past_timeout_ms > rest_ms + fetched_ms / 2.0
}

/// The fetches that one node has yet to skip, by the store's tag.
#[derive(Debug, Default)]
pub struct FetchBackoff {
    skips: BTreeMap<u32, u32>,
}

impl FetchBackoff {
    /// Returns whether the next fetch from a store may start; the caller records one that may not as skipped.
    ///
    /// ```
    /// use daisysill_core::fetch_backoff::FetchBackoff;
    /// let mut backoff = FetchBackoff::default();
    /// backoff.record_late(7);
    /// assert!(!backoff.admits(7) && backoff.admits(8));
    /// backoff.record_skipped(7);
    /// assert!(backoff.admits(7));
    /// ```
    pub fn admits(&self, store: u32) -> bool {
        !self.skips.contains_key(&store)
    }

    /// Records that a fetch did not arrive in time.
    pub fn record_late(&mut self, store: u32) {
        let skips = self.skips.entry(store).or_default();
        *skips = (*skips + 1).min(MAX_SKIPS);
    }

    /// Records that a fetch was skipped.
    pub fn record_skipped(&mut self, store: u32) {
        let Some(skips) = self.skips.get_mut(&store) else { return };
        *skips -= 1;
        if *skips == 0 {
            self.skips.remove(&store);
        }
    }
}
