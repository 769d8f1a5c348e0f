//! The order in which upstreams load new weights.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use daisysill_core::{
    ids::WeightVersion,
    rollout::{RolloutUpstream, next_order},
    rules::WeightRules,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

fn upstream(at: usize, live: bool, running: u64) -> RolloutUpstream {
    let id = format!("lyric-{at}").into();
    RolloutUpstream { id, weight_version: WeightVersion(1), live, loading: false, running }
}

proptest! {
    #![proptest_config(Config { cases: 1_000, rng_seed: RngSeed::Fixed(10), ..Config::default() })]

    /// Guards against more concurrent loads than the rule allows, capacity below the floor, a busy upstream chosen
    /// before an idle one, and a rollout that never ends.
    #[test]
    fn a_rollout_keeps_its_limits_and_ends(
        drawn in proptest::collection::vec((any::<bool>(), 0..20_u64), 1..30),
        max_loading in 1..6_u64,
        floor_percent in 0..=100_u64,
    ) {
        let rules = WeightRules { max_loading, floor_percent };
        let mut upstreams: Vec<RolloutUpstream> =
            drawn.iter().enumerate().map(|(at, (live, running))| upstream(at, *live, *running)).collect();
        let floor = (upstreams.len() as u64 * floor_percent).div_ceil(100);
        for _ in 0..200 {
            let decision = next_order(&upstreams, WeightVersion(2), &rules);
            let Some(id) = decision.order else {
                if let Some(done) = upstreams.iter_mut().find(|u| u.loading) {
                    *done = RolloutUpstream { loading: false, weight_version: WeightVersion(2), ..done.clone() };
                    continue;
                }
                let serving = upstreams.iter().filter(|u| u.live).count() as u64;
                prop_assert!(decision.complete || serving <= floor, "{}", decision.reason);
                return Ok(());
            };
            let old = upstreams.iter().filter(|u| u.live && !u.loading && u.weight_version == WeightVersion(1));
            let least = old.map(|u| u.running).min().unwrap();
            let chosen = upstreams.iter_mut().find(|u| u.id == id).unwrap();
            prop_assert_eq!(chosen.running, least);
            chosen.loading = true;
            let loading = upstreams.iter().filter(|u| u.loading).count() as u64;
            let serving = upstreams.iter().filter(|u| u.live && !u.loading).count() as u64;
            prop_assert!(loading <= max_loading && serving >= floor);
        }
        prop_assert!(false, "the rollout does not end");
    }
}
