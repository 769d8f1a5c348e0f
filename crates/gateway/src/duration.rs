//! Conversion of durations.

use std::time::Duration;

/// Returns whole milliseconds; the largest number if there are more.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
