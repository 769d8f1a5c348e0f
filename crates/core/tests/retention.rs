//! Retention of idle prefixes.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use daisysill_core::{
    retention::{
        CacheTier, IdlePrefix, RestoreCosts, RetentionAction, ReturnHistory, decide, decide_early_restore,
        export_order, may_announce_return,
    },
    rules::RestRules,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

const COSTS: RestoreCosts =
    RestoreCosts { link_bytes_per_s: 100_000_000, prefill_tokens_per_s: 10_000, recompute_weight_us: 50 };

fn rules() -> RestRules {
    RestRules { accelerator_s: 600, memory_s: 3_600, disk_s: 86_400, wake_customers: vec![] }
}

fn prefix(tier: CacheTier, idle_s: u64) -> IdlePrefix {
    IdlePrefix {
        tier,
        idle_s,
        tokens: 20_000,
        bytes: 50_000_000,
        history: ReturnHistory::default(),
        announced_in_s: None,
    }
}

/// Guards against prefixes that are not exported before their eviction, or that are kept beyond the rule's limits.
#[test]
fn each_time_limit_has_its_action() {
    let action = |tier, idle_s| decide(&prefix(tier, idle_s), &rules(), &COSTS).action;
    assert_eq!(action(CacheTier::Accelerator, 10), RetentionAction::Keep);
    assert_eq!(action(CacheTier::Accelerator, 200), RetentionAction::Export);
    assert_eq!(action(CacheTier::StoreMemory, 3_599), RetentionAction::Keep);
    assert_eq!(action(CacheTier::StoreMemory, 3_600), RetentionAction::MoveToDisk);
    assert_eq!(action(CacheTier::StoreDisk, 86_399), RetentionAction::Keep);
    for tier in [CacheTier::Accelerator, CacheTier::StoreMemory, CacheTier::StoreDisk] {
        assert_eq!(action(tier, 86_400), RetentionAction::Delete);
    }
}

/// Guards against link time spent on a prefix that is cheaper to recompute.
#[test]
fn a_prefix_that_is_cheaper_to_recompute_is_not_exported() {
    let slow = RestoreCosts { link_bytes_per_s: 1_000_000, ..COSTS };
    let cheap = IdlePrefix { tokens: 100, ..prefix(CacheTier::Accelerator, 300) };
    assert_eq!(decide(&cheap, &rules(), &slow).action, RetentionAction::Keep);
    assert!(export_order(&[cheap], &slow).is_empty());
}

/// Guards against an announced return that finds its prefix still in the store.
#[test]
fn a_prefix_is_restored_shortly_before_its_announced_return() {
    let with = |in_s| IdlePrefix { announced_in_s: Some(in_s), ..prefix(CacheTier::StoreDisk, 5_000) };
    assert_eq!(decide(&with(600), &rules(), &COSTS).action, RetentionAction::Keep);
    assert_eq!(decide(&with(3), &rules(), &COSTS).action, RetentionAction::BringBack);
    let slow = RestoreCosts { link_bytes_per_s: 1_000_000, ..COSTS };
    assert_eq!(
        decide(&with(45), &rules(), &slow).action,
        RetentionAction::BringBack,
        "a slow link needs 50 s"
    );
}

/// Guards against restores for a customer that the rule file does not allow to announce returns.
#[test]
fn only_named_customers_announce_a_return() {
    let named = RestRules { wake_customers: vec!["opera-a".into()], ..rules() };
    assert!(
        may_announce_return(&named, &"opera-a".into()) && !may_announce_return(&named, &"opera-b".into())
    );
    assert!(may_announce_return(&rules(), &"opera-b".into()));
}

/// Guards against early restores that mostly go unused.
#[test]
fn only_a_likely_return_causes_an_early_restore() {
    let mut punctual = ReturnHistory::default();
    (0..50).for_each(|_| punctual.record_return(1_100));
    let due = IdlePrefix { history: punctual.clone(), ..prefix(CacheTier::StoreMemory, 1_500) };
    assert_eq!(decide_early_restore(&due, &COSTS).action, RetentionAction::BringBack);
    (0..200).for_each(|_| punctual.record_deletion());
    let lost = IdlePrefix { history: punctual, ..due };
    assert_eq!(decide_early_restore(&lost, &COSTS).action, RetentionAction::Keep);
}

/// Guards against exports in order of age alone, which lose prefixes that are costly to recompute and likely to return.
#[test]
fn the_prefix_with_the_highest_expected_gain_is_exported_first() {
    let mut likely = ReturnHistory::default();
    (0..50).for_each(|_| likely.record_return(400));
    let old = prefix(CacheTier::Accelerator, 590);
    let valuable = IdlePrefix { history: likely, ..prefix(CacheTier::Accelerator, 160) };
    assert_eq!(export_order(&[old, valuable], &COSTS), [1, 0]);
}

proptest! {
    #![proptest_config(Config { cases: 1_000, rng_seed: RngSeed::Fixed(7), ..Config::default() })]

    /// Guards against probabilities outside 0 to 1, or that fall with a longer horizon, for any history and age.
    #[test]
    fn return_probability_is_in_range_and_monotonic(
        returns_s in proptest::collection::vec(prop_oneof![any::<u64>(), 0..100_000_u64], 0..30),
        lost in 0..9_u32,
        idle_s in prop_oneof![any::<u64>(), 0..100_000_u64],
        horizon_s in prop_oneof![any::<u64>(), 0..100_000_u64],
    ) {
        let mut history = ReturnHistory::default();
        for return_s in &returns_s {
            history.record_return(*return_s);
        }
        (0..lost).for_each(|_| history.record_deletion());
        let probability = history.return_probability(idle_s, horizon_s);
        prop_assert!((0.0..=1.0).contains(&probability), "{probability}");
        prop_assert!(history.return_probability(idle_s, horizon_s / 2) <= probability + 1e-9);
    }
}
