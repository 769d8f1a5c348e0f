//! How many requests one entry node places while free places are scarce.
//!
//! Nodes learn of each other's placements a little late. When few places are free, all nodes see the same ones and
//! would fill them several times over. Each node therefore takes its part of them in the time that news needs.

use std::collections::VecDeque;

/// Time after which the other nodes know of a placement: it waits for this node's next question to the leader, and
/// then for theirs.
pub const NEWS_DELAY_MS: u64 = 130;
/// Placements are remembered for this many times the delay of news.
const MAX_DELAYS: u64 = 16;
/// Places are scarce below this share of all.
const SCARCE_SHARE: f64 = 0.5;

/// The places of a service as one node knows them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotCounts {
    /// Free places.
    pub free: u32,
    /// Free places, and those that become free before news of new placements arrives.
    pub expected_free: f64,
    /// All places.
    pub total: u32,
    /// Entry nodes that place requests.
    pub entry_nodes: u32,
}

/// The requests of one service that this node placed lately.
#[derive(Debug, Default)]
pub struct SlotShare {
    placed_ms: VecDeque<u64>,
}

impl SlotShare {
    /// Takes a place; `false` if this node has had its part of the free ones.
    ///
    /// ```
    /// use daisysill_core::slot_share::{SlotShare, SlotCounts};
    /// let mut share = SlotShare::default();
    /// let places = SlotCounts { free: 20, expected_free: 20.0, total: 1_000, entry_nodes: 10 };
    /// assert!(share.take(0, &places) && share.take(1, &places));
    /// assert!(!share.take(2, &places));
    /// assert!(share.take(130, &places));
    /// ```
    pub fn try_take(&mut self, now_ms: u64, places: &SlotCounts) -> bool {
        let oldest_ms = now_ms.saturating_sub(NEWS_DELAY_MS * MAX_DELAYS);
        while self.placed_ms.front().is_some_and(|placed_ms| *placed_ms < oldest_ms) {
            self.placed_ms.pop_front();
        }
        let is_scarce = f64::from(places.free) < SCARCE_SHARE * f64::from(places.total);
        if is_scarce && self.is_used_up(now_ms, places.expected_free / f64::from(places.entry_nodes.max(1))) {
            return false;
        }
        self.placed_ms.push_back(now_ms);
        true
    }

    /// Placements that the known places do not show yet count against the part. A part of less than one place is one
    /// place in a longer time.
    fn is_used_up(&self, now_ms: u64, part: f64) -> bool {
        let delays = (1.0 / part.max(f64::MIN_POSITIVE)).clamp(1.0, MAX_DELAYS as f64);
        let time_ms = NEWS_DELAY_MS as f64 * delays;
        let is_recent = |placed_ms: &&u64| (now_ms.saturating_sub(**placed_ms) as f64) < time_ms;
        let placed = self.placed_ms.iter().rev().take_while(is_recent).count();
        placed as f64 + 1.0 > part.max(1.0)
    }
}
