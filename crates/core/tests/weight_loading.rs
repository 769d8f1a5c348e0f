//! Tests of weight rollouts: the upstreams that load next.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use daisysill_core::weight_loading::{WeightState, next_to_load};

/// Guards against a rollout that loads at too many upstreams at once, and against one that never completes.
#[test]
fn a_rollout_keeps_three_quarters_in_service_and_reaches_all() {
    for count in [1_usize, 2, 3, 9, 18, 90] {
        let max_loading = (count / 4).max(2);
        let mut states = vec![WeightState::Outdated { in_flight: 1 }; count];
        let mut rounds = 0;
        while states.iter().any(|state| *state != WeightState::UpToDate) {
            for index in next_to_load(&states) {
                states[index] = WeightState::Loading;
            }
            let loading = states.iter().filter(|state| **state == WeightState::Loading).count();
            assert!((1..=max_loading).contains(&loading), "{count}: {loading} load at once");
            // One upstream completes.
            let done = states.iter().position(|state| *state == WeightState::Loading).unwrap();
            states[done] = WeightState::UpToDate;
            rounds += 1;
        }
        assert_eq!(rounds, count);
    }
}

/// Pattern: a rollout under load. The least busy upstreams load first.
#[test]
fn the_least_busy_load_first() {
    let busy = WeightState::Outdated { in_flight: 9 };
    let idle = WeightState::Outdated { in_flight: 0 };
    assert_eq!(next_to_load(&[busy, idle, busy, idle]), [1, 3]);
}
