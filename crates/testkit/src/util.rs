//! A byte rate shared by concurrent transfers, and locks that survive a panicking test.

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// Bytes of a transfer that pass a rate limit at once, so that concurrent transfers share it evenly.
pub const CHUNK_BYTES: usize = 65_536;

/// A limit in bytes per second, shared by all transfers that pass through it.
#[derive(Debug)]
pub struct Rate {
    bytes_per_s: AtomicU64,
    passed_bytes: AtomicU64,
    free_at: Mutex<Instant>,
}

impl Rate {
    /// Creates a limit; 0 means none.
    pub fn new(bytes_per_s: u64) -> Self {
        Self {
            bytes_per_s: AtomicU64::new(bytes_per_s),
            passed_bytes: AtomicU64::new(0),
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Changes the limit; 0 means none.
    pub fn set(&self, bytes_per_s: u64) {
        self.bytes_per_s.store(bytes_per_s, Ordering::Relaxed);
    }

    /// Returns the limit; 0 means none.
    pub fn bytes_per_s(&self) -> u64 {
        self.bytes_per_s.load(Ordering::Relaxed)
    }

    /// Returns the bytes that have passed.
    pub fn passed_bytes(&self) -> u64 {
        self.passed_bytes.load(Ordering::Relaxed)
    }

    /// Waits until the bytes have passed.
    pub async fn pass(&self, bytes: usize) {
        let wait = self.reserve(bytes as u64);
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    fn reserve(&self, bytes: u64) -> Duration {
        self.passed_bytes.fetch_add(bytes, Ordering::Relaxed);
        let rate = self.bytes_per_s();
        if rate == 0 {
            return Duration::ZERO;
        }
        let now = Instant::now();
        let mut free_at = lock(&self.free_at);
        *free_at = (*free_at).max(now) + Duration::from_nanos(bytes.saturating_mul(1_000_000_000) / rate);
        free_at.duration_since(now)
    }
}

/// Locks a mutex whatever became of its last holder.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
