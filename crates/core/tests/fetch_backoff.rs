//! The load pattern of a store whose link turns slow while many nodes fetch from it.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use daisysill_core::fetch_backoff::FetchBackoff;

const NODES: u64 = 67;
const STORE: u32 = 1;
/// The time that one fetch takes on the slow link, the time between two wishes of one node, and the time after which a
/// fetch is given up.
const FETCH_MS: u64 = 20;
const WISH_MS: u64 = 900;
const GIVE_UP_MS: u64 = 150;
const END_MS: u64 = 60_000;

/// Plays nodes that want half as much again as the link carries. Returns how many fetches were made and how many came in time.
fn play(with_backoff: bool) -> (u64, u64) {
    let mut backoff: Vec<FetchBackoff> = (0..NODES).map(|_| FetchBackoff::default()).collect();
    let mut link_free_ms = 0;
    let (mut made, mut in_time) = (0, 0);
    let mut late: Vec<(u64, usize)> = Vec::new();
    for now_ms in 0..END_MS {
        late.retain(|(at_ms, node)| {
            if *at_ms <= now_ms {
                backoff[*node].record_late(STORE);
            }
            *at_ms > now_ms
        });
        for (node, backoff) in backoff.iter_mut().enumerate() {
            if !(now_ms + node as u64 * 13).is_multiple_of(WISH_MS) {
                continue;
            }
            if with_backoff && !backoff.admits(STORE) {
                backoff.record_skipped(STORE);
                continue;
            }
            made += 1;
            let (starts_ms, given_up_ms) = (link_free_ms.max(now_ms), now_ms + GIVE_UP_MS);
            if starts_ms + FETCH_MS <= given_up_ms {
                in_time += 1;
                link_free_ms = starts_ms + FETCH_MS;
                continue;
            }
            // The link carries a fetch until it is given up; one that has not begun by then takes nothing.
            link_free_ms = link_free_ms.max(given_up_ms.min(starts_ms + FETCH_MS));
            late.push((given_up_ms, node));
        }
    }
    (made, in_time)
}

/// Pattern: the links of some stores turn slow. At least twice as many fetches must come in time, and half as many
/// prompts wait for one that does not.
#[test]
fn fewer_prompts_wait_for_a_slow_store_in_vain() {
    let (all, all_in_time) = play(false);
    let (made, in_time) = play(true);
    assert!(in_time >= 2 * all_in_time, "{in_time} in time, {all_in_time} when all are made");
    assert!(
        2 * (made - in_time) <= all - all_in_time,
        "{made} made, {in_time} in time, {all} when all are made"
    );
}

/// Pattern: the link is fast again. Each node finds out with its next fetches.
#[test]
fn a_store_that_has_recovered_is_used_again_soon() {
    let mut backoff = FetchBackoff::default();
    (0..20).for_each(|_| backoff.record_late(STORE));
    let record_skipped = (0..20).filter(|_| {
        let is_left_out = !backoff.admits(STORE);
        backoff.record_skipped(STORE);
        is_left_out
    });
    assert_eq!(record_skipped.count(), 2);
}
