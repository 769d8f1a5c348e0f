//! Limit on the requests that one entry node sends to a service while free slots are scarce.
//!
//! Nodes learn of each other's requests with a delay. When few slots are free, all nodes see the same ones and
//! would fill them several times over. Each node therefore takes only its share of them within that delay.

use std::collections::VecDeque;

/// Time until the other nodes know of a request: it waits for this node's next poll of the leader, and then for
/// theirs.
pub const PROPAGATION_DELAY_MS: u64 = 130;
/// Number of propagation delays for which a request is remembered.
const RETENTION_DELAYS: u64 = 16;
/// Slots are scarce if less than this fraction of them is free.
const SCARCE_FRACTION: f64 = 0.5;

/// The slots of a service as one node knows them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotCounts {
    /// Free slots of the upstreams that may get the request.
    pub free: u32,
    /// Free slots plus those expected to become free within the propagation delay.
    pub expected_free: f64,
    /// Slots of all upstreams, in use or free.
    pub total: u32,
    /// Entry nodes that share the slots.
    pub entry_nodes: u32,
}

/// The requests that this node recently sent to one service.
#[derive(Debug, Default)]
pub struct SlotShare {
    sent_ms: VecDeque<u64>,
}

impl SlotShare {
    /// Takes a slot for a request; returns `false` if slots are scarce and this node has used up its share.
    ///
    /// ```
    /// use daisysill_core::slot_share::{SlotCounts, SlotShare};
    /// let mut share = SlotShare::default();
    /// let slots = SlotCounts { free: 20, expected_free: 20.0, total: 1_000, entry_nodes: 10 };
    /// assert!(share.try_take(0, &slots) && share.try_take(1, &slots));
    /// assert!(!share.try_take(2, &slots));
    /// assert!(share.try_take(130, &slots));
    /// ```
    pub fn try_take(&mut self, now_ms: u64, slots: &SlotCounts) -> bool {
        let oldest_ms = now_ms.saturating_sub(PROPAGATION_DELAY_MS * RETENTION_DELAYS);
        while self.sent_ms.front().is_some_and(|sent_ms| *sent_ms < oldest_ms) {
            self.sent_ms.pop_front();
        }
        let is_scarce = f64::from(slots.free) < SCARCE_FRACTION * f64::from(slots.total);
        if is_scarce && self.is_used_up(now_ms, slots.expected_free / f64::from(slots.entry_nodes.max(1))) {
            return false;
        }
        self.sent_ms.push_back(now_ms);
        true
    }

    /// Returns whether this node has used up `share`. Requests count until the known slots reflect them; a share of
    /// less than one slot is one slot within a proportionally longer time.
    fn is_used_up(&self, now_ms: u64, share: f64) -> bool {
        let delays = (1.0 / share.max(f64::MIN_POSITIVE)).clamp(1.0, RETENTION_DELAYS as f64);
        let window_ms = PROPAGATION_DELAY_MS as f64 * delays;
        let is_recent = |sent_ms: &&u64| (now_ms.saturating_sub(**sent_ms) as f64) < window_ms;
        let recent = self.sent_ms.iter().rev().take_while(is_recent).count();
        recent as f64 + 1.0 > share.max(1.0)
    }
}
