//! Tests of the detection of unreachable zones.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use daisysill_core::{ids::ZoneName, zone_reachability::ZoneReachability};

/// Pattern: a zone is cut off. Without detection, requests waited 250 ms for each of its upstreams in turn until they
/// were too late. After three failed upstreams, only one request per interval probes the zone.
#[test]
fn a_zone_that_is_cut_off_costs_few_timeouts() {
    let (mut reachability, zone) = (ZoneReachability::default(), ZoneName::from("east"));
    let mut tries = 0;
    for now_ms in (0..6_000_u64).step_by(10) {
        if reachability.admits(&zone, now_ms) {
            tries += 1;
            reachability.record_failure(&zone, &format!("worker-{}", tries % 6).into(), now_ms);
        }
    }
    assert!(tries <= 3 + 6_000 / 400, "{tries} of 600 requests went to the unreachable zone");
}

/// Guards against avoiding a zone because of repeated failures of one upstream.
#[test]
fn one_failed_upstream_does_not_make_its_zone_unreachable() {
    let (mut reachability, zone) = (ZoneReachability::default(), ZoneName::from("east"));
    for now_ms in 0..50 {
        reachability.record_failure(&zone, &"worker-1".into(), now_ms);
    }
    assert!(reachability.admits(&zone, 60));
    assert!(reachability.admits(&ZoneName::from("west"), 60));
}

/// Guards against adding up failures that are far apart.
#[test]
fn failures_far_apart_do_not_add_up() {
    let (mut reachability, zone) = (ZoneReachability::default(), ZoneName::from("east"));
    for (turn, upstream) in ["a", "b", "c", "d"].into_iter().enumerate() {
        reachability.record_failure(&zone, &upstream.into(), turn as u64 * 4_000);
    }
    assert!(reachability.admits(&zone, 12_010));
}
