//! Zones that are out of reach.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use daisysill_core::{ids::ZoneName, zone_reachability::ZoneReachability};

/// Pattern: a zone is cut off (seen: requests that waited 250 ms for each of its upstreams in turn until they went
/// stale). After three upstreams, requests go elsewhere and one probe at a time looks whether the cut has healed.
#[test]
fn a_zone_that_is_cut_off_costs_few_timeouts() {
    let (mut reach, zone) = (ZoneReachability::default(), ZoneName::from("east"));
    let mut tries = 0;
    for now_ms in (0..6_000_u64).step_by(10) {
        if reach.admits(&zone, now_ms) {
            tries += 1;
            reach.record_failure(&zone, &format!("worker-{}", tries % 6).into(), now_ms);
        }
    }
    assert!(tries <= 3 + 6_000 / 400, "{tries} of 600 requests were sent into the cut");
}

/// Guards against a zone that is avoided because of one dead upstream that is tried over and over.
#[test]
fn one_dead_upstream_does_not_condemn_its_zone() {
    let (mut reach, zone) = (ZoneReachability::default(), ZoneName::from("east"));
    for now_ms in 0..50 {
        reach.record_failure(&zone, &"worker-1".into(), now_ms);
    }
    assert!(reach.admits(&zone, 60));
    assert!(reach.admits(&ZoneName::from("west"), 60));
}

/// Guards against failures long ago that add up.
#[test]
fn failures_far_apart_do_not_add_up() {
    let (mut reach, zone) = (ZoneReachability::default(), ZoneName::from("east"));
    for (turn, upstream) in ["a", "b", "c", "d"].into_iter().enumerate() {
        reach.record_failure(&zone, &upstream.into(), turn as u64 * 4_000);
    }
    assert!(reach.admits(&zone, 12_010));
}
