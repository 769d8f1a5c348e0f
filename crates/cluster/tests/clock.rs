//! The clock that counts suspended time.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::Duration;

use daisysill_cluster::BootInstant;
use tokio::time::advance;

/// Guards against freshness and leases that tests cannot age, and against a clock that is behind the runtime's.
#[tokio::test(start_paused = true)]
async fn it_follows_the_clock_of_the_runtime() {
    let start = BootInstant::now();
    advance(Duration::from_millis(4_700)).await;
    assert!(start.elapsed() >= Duration::from_millis(4_700));
    assert!(start.elapsed() < Duration::from_millis(4_800));
    let earlier = start.checked_sub(Duration::from_secs(1)).unwrap();
    assert_eq!(start.since(earlier), Duration::from_secs(1));
    assert_eq!(earlier.since(start), Duration::ZERO);
}
