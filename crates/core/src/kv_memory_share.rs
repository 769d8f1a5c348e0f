//! Limit on the KV memory that one entry node fills at the engines of a service while free memory is scarce.
//!
//! Answers this load: long prompts beyond what the engines hold. Nodes learn of each other's requests with a delay, so that all see
//! the same memory as free and would fill it several times over; the excess waits inside the engines or is preempted.
//! Each node therefore takes only its share of the free memory within that delay.

use std::collections::VecDeque;

use crate::slot_share::PROPAGATION_DELAY_MS;

/// Number of propagation delays for which a request is remembered; the longest time for which a node saves up its share.
const RETENTION_DELAYS: u64 = 16;
/// Memory is scarce if less than this fraction of it is free.
const SCARCE_FRACTION: f64 = 0.5;

/// The KV memory of the engines of a service as one node knows it, in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KvMemoryCounts {
    /// Free memory of the engines that may get the request.
    pub free_tokens: u64,
    /// Free memory plus that expected to become free within the propagation delay.
    pub expected_free_tokens: f64,
    /// Memory of all engines, in use or free.
    pub total_tokens: u64,
    /// Entry nodes that share the memory.
    pub entry_nodes: u32,
}

/// The memory that this node's recent requests to one service occupy.
#[derive(Debug, Default)]
pub struct KvMemoryShare {
    /// Times of the requests, and the tokens that each one occupies.
    sent: VecDeque<(u64, u64)>,
}

impl KvMemoryShare {
    /// Takes room for a request of `tokens`; returns `false` if memory is scarce and this node has used up its share.
    ///
    /// ```
    /// use daisysill_core::kv_memory_share::{KvMemoryCounts, KvMemoryShare};
    /// let mut share = KvMemoryShare::default();
    /// let room = KvMemoryCounts {
    ///     free_tokens: 20_000,
    ///     expected_free_tokens: 40_000.0,
    ///     total_tokens: 1_000_000,
    ///     entry_nodes: 4,
    /// };
    /// assert!(share.try_take(0, 6_000, &room) && share.try_take(1, 4_000, &room));
    /// assert!(!share.try_take(2, 1_000, &room));
    /// assert!(share.try_take(131, 6_000, &room));
    /// ```
    pub fn try_take(&mut self, now_ms: u64, tokens: u64, room: &KvMemoryCounts) -> bool {
        let oldest_ms = now_ms.saturating_sub(PROPAGATION_DELAY_MS * RETENTION_DELAYS);
        while self.sent.front().is_some_and(|(sent_ms, _)| *sent_ms < oldest_ms) {
            self.sent.pop_front();
        }
        let is_scarce = (room.free_tokens as f64) < SCARCE_FRACTION * room.total_tokens as f64;
        if is_scarce && self.is_used_up(now_ms, tokens, room) {
            return false;
        }
        self.sent.push_back((now_ms, tokens));
        true
    }

    /// Returns whether the request does not fit into this node's share. Earlier requests count until the known memory
    /// reflects them; a request that is larger than the share takes the share of a proportionally longer time.
    fn is_used_up(&self, now_ms: u64, tokens: u64, room: &KvMemoryCounts) -> bool {
        let share = room.expected_free_tokens / f64::from(room.entry_nodes.max(1));
        let needed = tokens.max(1) as f64;
        let delays = (needed / share.max(f64::MIN_POSITIVE)).clamp(1.0, RETENTION_DELAYS as f64);
        let window_ms = PROPAGATION_DELAY_MS as f64 * delays;
        let is_recent = |(sent_ms, _): &&(u64, u64)| (now_ms.saturating_sub(*sent_ms) as f64) < window_ms;
        let recent: u64 = self.sent.iter().rev().take_while(is_recent).map(|(_, tokens)| tokens).sum();
        recent as f64 + needed > (share * delays).max(needed)
    }
}
