//! Keeps the rejections by an upstream that tolerates only few of them below its limit, for all entry nodes together.
//!
//! Nodes learn of each other's requests with a delay, so a node sends only into slots that are very likely free: one that
//! its own request just freed, which the others still count as taken, or its part of the known free slots, drawn once in
//! each propagation delay. After a rejection it sends nothing until its part of the tolerated rejections allows another.

use std::collections::VecDeque;

use crate::slot_share::PROPAGATION_DELAY_MS;

/// Time for which a slot that an own request freed still counts as taken at all other nodes.
const REUSE_MS: u64 = 40;
/// Part of the slots that is left to requests of other nodes that are not known yet; at least one slot.
const RESERVED_FRACTION: f64 = 0.1;
/// Part of the known free slots that all nodes together take within one propagation delay.
const GROWTH_FRACTION: f64 = 0.5;
/// Part of the tolerated rejections that the nodes use up.
const REJECTION_FRACTION: f64 = 0.5;
/// The lowest limit that is reckoned with. With none, a node would never try again.
const MIN_REJECTIONS_PER_S: f64 = 0.25;
const MIN_HOLD_MS: f64 = 500.0;
const MAX_HOLD_MS: f64 = 300_000.0;
/// Rejections in a row up to which the hold time doubles.
const MAX_DOUBLINGS: u32 = 4;
/// Factor by which a rejection lowers the number of slots that are used.
const DECREASE_FACTOR: f64 = 0.8;
/// Share of the slots that is used again after each second without a rejection.
const INCREASE_PER_S: f64 = 0.05;

/// The slots of an upstream as one node knows them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotUse {
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Requests of this node in flight there.
    pub own: u32,
    /// Requests of the other nodes in flight there, as far as known.
    pub others: u32,
    /// Entry nodes that share the slots.
    pub entry_nodes: u32,
}

/// The limit that an upstream sets, and the nodes that share it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RejectionShare {
    /// Rejections per second that the upstream tolerates from all nodes together.
    pub max_rejections_per_s: f64,
    /// Entry nodes that share them.
    pub entry_nodes: u32,
}

/// What one node remembers of one upstream to avoid rejections.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RejectionGuard {
    /// Number of the present propagation delay, and the random number that was drawn for it.
    round: Option<u64>,
    draw: f64,
    /// Free slots that were taken in this round.
    taken: u32,
    /// When own requests freed slots that were not used again.
    freed_ms: VecDeque<u64>,
    /// How far rejections have lowered the share of the slots that is used, when last updated.
    withheld: f64,
    withheld_at_ms: u64,
    held_until_ms: u64,
    rejections_in_row: u32,
}

impl RejectionGuard {
    /// Returns whether this node may send a request. `draw`, from 0 up to 1, should be random; the first one of each round
    /// counts.
    ///
    /// ```
    /// use daisysill_core::rejection_guard::{RejectionGuard, SlotUse};
    /// let mut guard = RejectionGuard::default();
    /// let busy = SlotUse { slots: 8, own: 2, others: 5, entry_nodes: 4 };
    /// // One of the eight slots is reserved.
    /// assert!(!guard.admits(0, &busy, 0.99));
    /// // A slot that an own request freed may be used again at once.
    /// guard.record_freed(0);
    /// assert!(guard.admits(1, &busy, 0.99));
    /// guard.take(1);
    /// assert!(!guard.admits(1, &busy, 0.99));
    /// ```
    pub fn admits(&mut self, now_ms: u64, slots: &SlotUse, draw: f64) -> bool {
        if now_ms < self.held_until_ms {
            return false;
        }
        self.start_round(now_ms, draw);
        self.forget_freed(now_ms);
        let usable = (f64::from(slots.slots) * (1.0 - self.withheld(now_ms))).max(1.0);
        let in_flight = f64::from(slots.own) + f64::from(slots.others);
        if in_flight + 1.0 > usable {
            return false;
        }
        if slots.entry_nodes <= 1 || !self.freed_ms.is_empty() {
            return true;
        }
        let reserved = (usable * RESERVED_FRACTION).ceil().min(usable - 1.0);
        let free = usable - reserved - in_flight;
        if free < 1.0 {
            return false;
        }
        let share = GROWTH_FRACTION * (free + f64::from(self.taken)) / f64::from(slots.entry_nodes);
        f64::from(self.taken) + 1.0 <= share + self.draw
    }

    /// Counts a request that was admitted and is sent now.
    pub fn take(&mut self, now_ms: u64) {
        self.forget_freed(now_ms);
        if self.freed_ms.pop_front().is_none() {
            self.taken += 1;
        }
    }

    /// Records that a request of this node that was running has ended.
    pub fn record_freed(&mut self, now_ms: u64) {
        self.forget_freed(now_ms);
        self.freed_ms.push_back(now_ms);
    }

    /// Records a rejection of a request of this node, after which it holds back. `draw`, from 0 up to 1, should be random: it
    /// spreads the nodes.
    ///
    /// ```
    /// use daisysill_core::rejection_guard::{RejectionGuard, RejectionShare, SlotUse};
    /// let mut guard = RejectionGuard::default();
    /// let idle = SlotUse { slots: 8, own: 0, others: 0, entry_nodes: 6 };
    /// guard.record_rejection(0, &RejectionShare { max_rejections_per_s: 4.0, entry_nodes: 6 }, 0.0);
    /// // Six nodes that are each rejected every 3 s cause half of the four rejections per second.
    /// assert!(!guard.admits(2_999, &idle, 0.99));
    /// assert!(guard.admits(3_000, &idle, 0.99));
    /// ```
    pub fn record_rejection(&mut self, now_ms: u64, share: &RejectionShare, draw: f64) {
        let tolerated_per_s = share.max_rejections_per_s.max(MIN_REJECTIONS_PER_S) * REJECTION_FRACTION;
        let base_ms = (1_000.0 * f64::from(share.entry_nodes.max(1)) / tolerated_per_s).max(MIN_HOLD_MS);
        let was_calm = self.held_until_ms == 0 || now_ms as f64 > self.held_until_ms as f64 + base_ms;
        self.rejections_in_row = if was_calm { 0 } else { self.rejections_in_row + 1 };
        let factor = f64::from(2_u32.pow(self.rejections_in_row.min(MAX_DOUBLINGS)));
        let hold_ms = (base_ms * factor * (1.0 + draw / 2.0)).min(MAX_HOLD_MS);
        // At most some minutes.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let hold_ms = hold_ms as u64;
        self.held_until_ms = self.held_until_ms.max(now_ms + hold_ms);
        self.withheld = 1.0 - (1.0 - self.withheld(now_ms)) * DECREASE_FACTOR;
        self.withheld_at_ms = now_ms;
        self.freed_ms.clear();
    }

    /// Returns the share of the slots that is not used, since requests were rejected.
    fn withheld(&self, now_ms: u64) -> f64 {
        let calm_s = now_ms.saturating_sub(self.withheld_at_ms) as f64 / 1_000.0;
        (self.withheld - calm_s * INCREASE_PER_S).max(0.0)
    }

    fn start_round(&mut self, now_ms: u64, draw: f64) {
        let round = Some(now_ms / PROPAGATION_DELAY_MS);
        if self.round != round {
            (self.round, self.draw, self.taken) = (round, draw, 0);
        }
    }

    fn forget_freed(&mut self, now_ms: u64) {
        while self.freed_ms.front().is_some_and(|at_ms| now_ms.saturating_sub(*at_ms) > REUSE_MS) {
            self.freed_ms.pop_front();
        }
    }
}
