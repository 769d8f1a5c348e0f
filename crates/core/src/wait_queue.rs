//! Queue of requests that wait for a free slot at an upstream.
//!
//! Requests that can still be served on time go first, among these the more urgent, then the one due first.
//! Late requests go last: a response that is late anyway loses nothing more by waiting.

use std::collections::BTreeMap;

/// Sort key of a waiting request; the lowest is sent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// Whether `due_ms` had passed when the request was queued.
    pub is_late: bool,
    /// 0 is the most urgent.
    pub urgency: u8,
    /// When the response has to begin to be on time, on the queue's clock.
    pub due_ms: u64,
    /// Order of arrival, which breaks ties.
    pub sequence: u64,
}

/// The queue of one service. `T` wakes the waiting request.
#[derive(Debug)]
pub struct WaitQueue<T> {
    waiting: BTreeMap<QueueKey, T>,
    next_sequence: u64,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new(), next_sequence: 0 }
    }
}

impl<T> WaitQueue<T> {
    /// Adds a request; returns the key for [`WaitQueue::remove`].
    pub fn push(&mut self, urgency: u8, due_ms: u64, now_ms: u64, wake: T) -> QueueKey {
        let key = QueueKey { is_late: now_ms >= due_ms, urgency, due_ms, sequence: self.next_sequence };
        self.next_sequence += 1;
        self.waiting.insert(key, wake);
        key
    }

    /// Removes a request that no longer waits, if it is still queued.
    pub fn remove(&mut self, key: &QueueKey) {
        self.waiting.remove(key);
    }

    /// Removes and returns the first request in order.
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

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
