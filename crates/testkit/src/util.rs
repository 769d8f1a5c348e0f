//! A rate limiter shared by concurrent transfers, and a lock that ignores poisoning.

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// Largest part of a transfer that takes from a rate limiter at once, so that concurrent transfers share it evenly.
pub const CHUNK_BYTES: usize = 65_536;

/// Limits the total rate of all transfers that share it. Counts their bytes also when there is no limit.
#[derive(Debug)]
pub struct RateLimiter {
    bytes_per_s: AtomicU64,
    passed_bytes: AtomicU64,
    free_at: Mutex<Instant>,
}

impl RateLimiter {
    /// Creates a limiter; 0 means no limit.
    pub fn new(bytes_per_s: u64) -> Self {
        Self {
            bytes_per_s: AtomicU64::new(bytes_per_s),
            passed_bytes: AtomicU64::new(0),
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Changes the limit; 0 means no limit. Transfers that wait already keep their time.
    pub fn set(&self, bytes_per_s: u64) {
        self.bytes_per_s.store(bytes_per_s, Ordering::Relaxed);
    }

    /// Returns the limit; 0 means no limit.
    pub fn bytes_per_s(&self) -> u64 {
        self.bytes_per_s.load(Ordering::Relaxed)
    }

    /// Returns the bytes of all transfers so far, with those that still wait.
    pub fn passed_bytes(&self) -> u64 {
        self.passed_bytes.load(Ordering::Relaxed)
    }

    /// Waits until these bytes have passed at the limited rate.
    pub async fn throttle(&self, bytes: usize) {
        let wait = self.reserve(bytes as u64);
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    /// Queues these bytes behind earlier ones and returns the time until they have passed.
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

/// Locks a mutex even if a thread panicked while it held it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
