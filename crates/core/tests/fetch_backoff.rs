//! Tests of fetch backoff: a store's link becomes slow while many nodes fetch from it.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use daisysill_core::fetch_backoff::FetchBackoff;

const NODES: u64 = 67;
const STORE: u32 = 1;
/// Transfer time of one fetch on the slow link.
const FETCH_MS: u64 = 20;
/// Interval between two prompts of one node that need a fetch.
const REQUEST_INTERVAL_MS: u64 = 900;
const FETCH_TIMEOUT_MS: u64 = 150;
const END_MS: u64 = 60_000;

/// Simulates nodes that request one and a half times what the link can carry. Returns the number of fetches started
/// and of those that arrived in time.
fn simulate(with_backoff: bool) -> (u64, u64) {
    let mut backoff: Vec<FetchBackoff> = (0..NODES).map(|_| FetchBackoff::default()).collect();
    let mut link_free_ms = 0;
    let (mut started, mut in_time) = (0, 0);
    let mut late: Vec<(u64, usize)> = Vec::new();
    for now_ms in 0..END_MS {
        late.retain(|(at_ms, node)| {
            if *at_ms <= now_ms {
                backoff[*node].record_late(STORE);
            }
            *at_ms > now_ms
        });
        for (node, backoff) in backoff.iter_mut().enumerate() {
            if !(now_ms + node as u64 * 13).is_multiple_of(REQUEST_INTERVAL_MS) {
                continue;
            }
            if with_backoff && !backoff.admits(STORE) {
                backoff.record_skipped(STORE);
                continue;
            }
            started += 1;
            let (starts_ms, timeout_at_ms) = (link_free_ms.max(now_ms), now_ms + FETCH_TIMEOUT_MS);
            if starts_ms + FETCH_MS <= timeout_at_ms {
                in_time += 1;
                link_free_ms = starts_ms + FETCH_MS;
                continue;
            }
            // A late fetch uses the link until its timeout, unless it has not started by then.
            link_free_ms = link_free_ms.max(timeout_at_ms.min(starts_ms + FETCH_MS));
            late.push((timeout_at_ms, node));
        }
    }
    (started, in_time)
}

/// Pattern: a store's link becomes slow. With backoff, at least twice as many fetches arrive in time, and at most half
/// as many prompts wait for a late one.
#[test]
fn backoff_reduces_late_fetches_from_a_slow_store() {
    let (all, all_in_time) = simulate(false);
    let (started, in_time) = simulate(true);
    assert!(in_time >= 2 * all_in_time, "{in_time} in time with backoff, {all_in_time} without");
    assert!(
        2 * (started - in_time) <= all - all_in_time,
        "{started} started and {in_time} in time with backoff, {all} started without"
    );
}

/// Pattern: the link has recovered. Each node skips at most two more fetches.
#[test]
fn a_recovered_store_is_used_again_soon() {
    let mut backoff = FetchBackoff::default();
    (0..20).for_each(|_| backoff.record_late(STORE));
    let skipped = (0..20).filter(|_| {
        let is_skipped = !backoff.admits(STORE);
        backoff.record_skipped(STORE);
        is_skipped
    });
    assert_eq!(skipped.count(), 2);
}
