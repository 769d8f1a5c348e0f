//! Requests that wait for room at an upstream, in the order in which they get it.
//!
//! The more urgent request goes first; among equals the one whose answer can still be on time, and among those the
//! one that has the least time left. A request whose time to be on time has passed goes after the others, since an
//! answer that is late anyway loses nothing more by waiting.

use std::collections::BTreeMap;

/// Where a request stands in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Turn {
    /// Whether its answer cannot be on time any more.
    pub is_late: bool,
    /// Urgency; 0 is first.
    pub urgency: u8,
    /// When its answer has to begin to be on time.
    pub due_ms: u64,
    /// Sets requests apart that are equal otherwise.
    pub number: u64,
}

/// The queue of one service. `T` is what wakes a request.
#[derive(Debug)]
pub struct WaitQueue<T> {
    waiting: BTreeMap<Turn, T>,
    next_number: u64,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new(), next_number: 0 }
    }
}

impl<T> WaitQueue<T> {
    /// Adds a request; returns its turn, by which it is removed.
    pub fn push(&mut self, urgency: u8, due_ms: u64, now_ms: u64, wake: T) -> Turn {
        let turn = Turn { is_late: now_ms >= due_ms, urgency, due_ms, number: self.next_number };
        self.next_number += 1;
        self.waiting.insert(turn, wake);
        turn
    }

    /// Removes a request that has stopped to wait.
    pub fn remove(&mut self, turn: &Turn) {
        self.waiting.remove(turn);
    }

    /// Takes the request whose turn it is.
    ///
    /// ```
    /// use daisysill_core::wait_queue::WaitQueue;
    /// let mut queue = WaitQueue::default();
    /// queue.push(2, 900, 0, "bulk");
    /// queue.push(0, 1_000, 0, "live");
    /// assert_eq!(queue.pop(), Some("live"));
    /// ```
    pub fn pop(&mut self) -> Option<T> {
        self.waiting.pop_first().map(|(_, wake)| wake)
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
