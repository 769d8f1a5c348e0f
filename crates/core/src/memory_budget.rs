//! A bound on the memory that the requests of a process occupy together.
//!
//! Each request reserves what it holds. A reservation may become as large as what is left of the budget beside it, so that the
//! large ones are refused first, and there is always room for small ones. The sum never exceeds the budget.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// The memory for the bytes of all requests and responses; clones share it.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    limit_bytes: usize,
    used_bytes: Arc<AtomicUsize>,
}

impl MemoryBudget {
    /// Creates a budget of this size, of which nothing is used.
    ///
    /// ```
    /// use daisysill_core::memory_budget::MemoryBudget;
    /// let budget = MemoryBudget::new(100);
    /// let (mut large, mut small) = (budget.reservation(), budget.reservation());
    /// assert!(large.try_resize(50) && !large.try_resize(51));
    /// assert!(small.try_resize(25) && !small.try_resize(26));
    /// drop(large);
    /// assert!(small.try_resize(50));
    /// assert_eq!(budget.used_bytes(), 50);
    /// ```
    pub fn new(limit_bytes: usize) -> Self {
        Self { limit_bytes, used_bytes: Arc::default() }
    }

    /// Creates a budget that grants everything.
    pub fn unlimited() -> Self {
        Self::new(usize::MAX)
    }

    /// Starts a reservation of no bytes.
    pub fn reservation(&self) -> MemoryReservation {
        MemoryReservation { budget: self.clone(), bytes: 0 }
    }

    /// Returns the number of bytes that are reserved.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }
}

/// Memory that one request holds; given back when it is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl Default for MemoryBudget {
    fn default() -> Self {
        Self::unlimited()
    }
}

impl MemoryReservation {
    /// Changes the size to `bytes`. Returns `false`, and changes nothing, if it would grow to more than what is left of the
    /// budget beside it.
    #[must_use]
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        let (before, limit_bytes) = (self.bytes, self.budget.limit_bytes);
        let resized = self.budget.used_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
            let others = used - before;
            let is_granted =
                bytes <= before || bytes <= limit_bytes.saturating_sub(others).saturating_sub(bytes);
            is_granted.then_some(others + bytes)
        });
        if resized.is_ok() {
            self.bytes = bytes;
        }
        resized.is_ok()
    }

    /// Gives all bytes back.
    pub fn release(&mut self) {
        self.budget.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = 0;
    }

    /// Returns the size.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.release();
    }
}
