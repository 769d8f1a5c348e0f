//! A monotonic clock that includes the time during which the machine was suspended.
//!
//! The runtime's clock stops while a machine is suspended. Leases must expire and data must age meanwhile, so this
//! clock adds the suspended time. Tests that advance a paused runtime clock advance this clock too.

use std::{sync::OnceLock, time::Duration};

use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// A point in time on the clock that includes suspended time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Instant);

impl BootInstant {
    /// Returns the present time.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
    /// use daisysill_cluster::BootInstant;
    /// let start = BootInstant::now();
    /// assert!(BootInstant::now() >= start);
    /// # });
    /// ```
    pub fn now() -> Self {
        Self(Instant::now() + suspended())
    }

    /// Returns the time since this point, suspended time included.
    pub fn elapsed(self) -> Duration {
        Self::now().0.saturating_duration_since(self.0)
    }

    /// Returns the time from `earlier` to this point; zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_duration_since(earlier.0)
    }

    /// Returns the point `duration` before this one; `None` if it cannot be represented.
    #[must_use]
    pub fn checked_sub(self, duration: Duration) -> Option<Self> {
        self.0.checked_sub(duration).map(Self)
    }
}

impl std::ops::Add<Duration> for BootInstant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0 + duration)
    }
}

/// Returns how long the machine has been suspended since the first call.
fn suspended() -> Duration {
    static AT_FIRST_CALL: OnceLock<Duration> = OnceLock::new();
    let total = clock_time(ClockId::Boottime).saturating_sub(clock_time(ClockId::Monotonic));
    total.saturating_sub(*AT_FIRST_CALL.get_or_init(|| total))
}

fn clock_time(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or(0))
}
