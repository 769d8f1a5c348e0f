//! The clock that includes suspended time, on a runtime without suspension.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::Duration;

use daisysill_cluster::BootInstant;
use tokio::time::advance;

/// Guards against a clock that does not advance with a paused runtime clock, which tests use to age leases and
/// configurations, or that is behind it.
#[tokio::test(start_paused = true)]
async fn boot_clock_follows_the_runtime_clock() {
    let start = BootInstant::now();
    advance(Duration::from_millis(4_700)).await;
    assert!(start.elapsed() >= Duration::from_millis(4_700));
    assert!(start.elapsed() < Duration::from_millis(4_800));
    let earlier = start.checked_sub(Duration::from_secs(1)).unwrap();
    assert_eq!(start.since(earlier), Duration::from_secs(1));
    assert_eq!(earlier.since(start), Duration::ZERO);
}
