//! Tests of weight rollouts: the upstreams that load next.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use daisysill_core::weight_loading::{WeightState, next_to_load};

/// Guards against a rollout that loads at too many upstreams at once, and against one that never completes.
#[test]
fn a_rollout_keeps_three_quarters_in_service_and_reaches_all() {
    for count in [1_usize, 2, 3, 9, 18, 90] {
        let max_loading = (count / 4).max(2);
        let mut states = vec![WeightState::Outdated { failed_orders: 1 }; count];
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

/// Guards against a rollout that orders the same upstreams again and again though they do not load, while others wait.
#[test]
fn those_whose_orders_failed_load_last() {
    let failed = WeightState::Outdated { failed_orders: 9 };
    let fresh = WeightState::Outdated { failed_orders: 0 };
    assert_eq!(next_to_load(&[failed, fresh, failed, fresh]), [1, 3]);
    assert_eq!(next_to_load(&[failed, WeightState::Loading, failed, fresh]), [3]);
}

/// Guards against a rollout that stands still while upstreams that were ordered do not answer any more.
#[test]
fn others_load_in_the_place_of_those_that_do_not_answer() {
    let fresh = WeightState::Outdated { failed_orders: 0 };
    assert_eq!(next_to_load(&[WeightState::Unavailable, WeightState::Unavailable, fresh, fresh]), [2, 3]);
}
