//! Test of bookings: many nodes together request more from a store than its link carries.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::collections::VecDeque;

use daisysill_core::link_booking::{BookingId, LinkBookings, may_wait};

const NODES: usize = 60;
const STORE: u32 = 1;
const PART_TOKENS: u64 = 5_000;
/// Time for which a part occupies the link.
const PART_MS: u64 = 30;
/// Interval between two prompts of one node; together they request one and a half times what the link carries.
const REQUEST_INTERVAL_MS: u64 = 1_200;
const GOAL_MS: u64 = 600;
/// A fetch times out after this time plus a multiple of its estimated duration.
const TIMEOUT_BASE_MS: u64 = 80;
const TIMEOUT_FACTOR: u64 = 3;
/// Time until the other nodes know of a booking.
const DELAY_MS: usize = 100;
const END_MS: u64 = 60_000;

#[derive(Debug, Default)]
struct Outcome {
    in_time: u64,
    late: u64,
    longest_ms: u64,
}

/// A fetch on the link.
struct Fetch {
    node: usize,
    id: BookingId,
    ends_ms: u64,
}

/// Simulates the link as a queue; `with_bookings` decides whether nodes know of each other's fetches.
fn simulate(with_bookings: bool) -> Outcome {
    let mut nodes: Vec<LinkBookings> = (0..NODES).map(|_| LinkBookings::default()).collect();
    let mut known: VecDeque<Vec<u64>> = VecDeque::new();
    let mut fetches: Vec<Fetch> = Vec::new();
    let mut link_free_ms = 0;
    let mut outcome = Outcome::default();
    for now_ms in 0..END_MS {
        let (ended, left) = fetches.into_iter().partition(|fetch: &Fetch| fetch.ends_ms <= now_ms);
        fetches = left;
        for fetch in ended {
            nodes[fetch.node].release(fetch.id);
        }
        known.push_back(nodes.iter().map(|node| node.tokens(STORE, now_ms)).collect());
        let reported = if known.len() > DELAY_MS { known.pop_front().unwrap() } else { vec![0; nodes.len()] };
        for (node, phase_ms) in (0..nodes.len()).zip((0..).step_by(17)) {
            if !(now_ms + phase_ms).is_multiple_of(REQUEST_INTERVAL_MS) {
                continue;
            }
            let others = reported.iter().sum::<u64>() - reported[node];
            let booked = others + nodes[node].tokens(STORE, now_ms);
            let wait_ms = if with_bookings { booked * PART_MS / PART_TOKENS } else { 0 };
            if !may_wait(wait_ms as f64, GOAL_MS) {
                continue;
            }
            link_free_ms = link_free_ms.max(now_ms) + PART_MS;
            outcome.longest_ms = outcome.longest_ms.max(link_free_ms - now_ms);
            let timeout_ms = now_ms + TIMEOUT_BASE_MS + TIMEOUT_FACTOR * (wait_ms + PART_MS);
            let id = nodes[node].book(STORE, PART_TOKENS, timeout_ms);
            fetches.push(Fetch { node, id, ends_ms: link_free_ms.min(timeout_ms) });
            if link_free_ms <= timeout_ms {
                outcome.in_time += 1;
            } else {
                outcome.late += 1;
            }
        }
    }
    outcome
}

/// Guards against a congested link on which nearly every fetch is late, although it carries two thirds of them.
#[test]
fn booked_fetches_arrive_in_time_on_a_congested_link() {
    let (unbooked, booked) = (simulate(false), simulate(true));
    let capacity = END_MS / PART_MS;
    assert!(unbooked.late > unbooked.in_time * 5, "the load must congest the link: {unbooked:?}");
    assert!(booked.late * 10 < booked.in_time, "{booked:?}");
    assert!(booked.in_time * 10 > capacity * 8, "{booked:?} of {capacity}");
    assert!(booked.longest_ms < GOAL_MS, "{booked:?}");
}
