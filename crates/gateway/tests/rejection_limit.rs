//! The limit on rejections that the upstreams of a service name.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::Duration;

use daisysill_gateway::{rate_limit::LimitChange, rejection_limit::RejectionLimit};
use tokio::time::{Instant, advance};

/// Guards against a limit that is lifted by a response which was overtaken, and against one that never ends.
#[tokio::test(start_paused = true)]
async fn limit_ends_with_a_response_to_a_later_request() {
    let limit = RejectionLimit::default();
    let before = Instant::now();
    assert_eq!(limit.record(None, before), None);
    assert_eq!(limit.record(Some(4.0), before), Some(LimitChange::Named { per_s: 4.0 }));
    assert_eq!(limit.record(Some(4.0), before), None);
    advance(Duration::from_secs(2)).await;
    assert_eq!(limit.record(None, before), None, "its request was sent before the limit was named");
    assert_eq!(limit.max_per_s(), Some(4.0));
    assert_eq!(limit.record(None, Instant::now()), Some(LimitChange::Lifted));
    assert_eq!(limit.max_per_s(), None);
}

/// Guards against a limit that follows the last response where the upstreams of a service name different ones.
#[tokio::test(start_paused = true)]
async fn lowest_limit_of_a_service_counts() {
    let limit = RejectionLimit::default();
    let sent_at = Instant::now();
    limit.record(Some(4.0), sent_at);
    assert_eq!(limit.record(Some(2.0), sent_at), Some(LimitChange::Named { per_s: 2.0 }));
    assert_eq!(limit.record(Some(4.0), sent_at), None);
    assert_eq!(limit.max_per_s(), Some(2.0));
}
