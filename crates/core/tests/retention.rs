//! Context that has gone quiet.

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

fn context(tier: CacheTier, idle_s: u64) -> IdlePrefix {
    IdlePrefix {
        tier,
        idle_s,
        tokens: 20_000,
        bytes: 50_000_000,
        history: ReturnHistory::default(),
        announced_in_s: None,
    }
}

/// Guards against context that is evicted before it was exported, or kept beyond its rule.
#[test]
fn each_rule_limit_has_its_action() {
    let action = |tier, idle_s| decide(&context(tier, idle_s), &rules(), &COSTS).action;
    assert_eq!(action(CacheTier::Accelerator, 10), RetentionAction::Keep);
    assert_eq!(action(CacheTier::Accelerator, 200), RetentionAction::Export);
    assert_eq!(action(CacheTier::StoreMemory, 3_599), RetentionAction::Keep);
    assert_eq!(action(CacheTier::StoreMemory, 3_600), RetentionAction::MoveToDisk);
    assert_eq!(action(CacheTier::StoreDisk, 86_399), RetentionAction::Keep);
    for tier in [CacheTier::Accelerator, CacheTier::StoreMemory, CacheTier::StoreDisk] {
        assert_eq!(action(tier, 86_400), RetentionAction::Delete);
    }
}

/// Guards against link time spent on context that is cheaper to compute again.
#[test]
fn context_that_is_cheaper_to_compute_is_not_exported() {
    let slow = RestoreCosts { link_bytes_per_s: 1_000_000, ..COSTS };
    let cheap = IdlePrefix { tokens: 100, ..context(CacheTier::Accelerator, 300) };
    assert_eq!(decide(&cheap, &rules(), &slow).action, RetentionAction::Keep);
    assert!(export_order(&[cheap], &slow).is_empty());
}

/// Guards against an announced return that finds its context still in the store.
#[test]
fn an_announced_return_is_restored_in_time_and_not_long_before() {
    let with = |in_s| IdlePrefix { announced_in_s: Some(in_s), ..context(CacheTier::StoreDisk, 5_000) };
    assert_eq!(decide(&with(600), &rules(), &COSTS).action, RetentionAction::Keep);
    assert_eq!(decide(&with(3), &rules(), &COSTS).action, RetentionAction::BringBack);
    let slow = RestoreCosts { link_bytes_per_s: 1_000_000, ..COSTS };
    assert_eq!(
        decide(&with(45), &rules(), &slow).action,
        RetentionAction::BringBack,
        "a slow link needs 50 s"
    );
}

/// Guards against a customer that brings context back although the rule file does not name it.
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
fn a_likely_return_is_brought_back_and_an_unlikely_one_is_not() {
    let mut punctual = ReturnHistory::default();
    (0..50).for_each(|_| punctual.record_return(1_100));
    let due = IdlePrefix { history: punctual.clone(), ..context(CacheTier::StoreMemory, 1_500) };
    assert_eq!(decide_early_restore(&due, &COSTS).action, RetentionAction::BringBack);
    (0..200).for_each(|_| punctual.record_deletion());
    let lost = IdlePrefix { history: punctual, ..due };
    assert_eq!(decide_early_restore(&lost, &COSTS).action, RetentionAction::Keep);
}

/// Guards against exporting in order of age alone, which loses what is dear to compute and likely to return.
#[test]
fn what_is_likely_and_dear_is_exported_first() {
    let mut likely = ReturnHistory::default();
    (0..50).for_each(|_| likely.record_return(400));
    let old = context(CacheTier::Accelerator, 590);
    let dear = IdlePrefix { history: likely, ..context(CacheTier::Accelerator, 160) };
    assert_eq!(export_order(&[old, dear], &COSTS), [1, 0]);
}

proptest! {
    #![proptest_config(Config { cases: 1_000, rng_seed: RngSeed::Fixed(7), ..Config::default() })]

    /// Guards against likelihoods outside 0 to 1 for any history and age.
    #[test]
    fn likelihood_is_a_probability(
        rests in proptest::collection::vec(prop_oneof![any::<u64>(), 0..100_000_u64], 0..30),
        lost in 0..9_u32,
        idle_s in prop_oneof![any::<u64>(), 0..100_000_u64],
        horizon_s in prop_oneof![any::<u64>(), 0..100_000_u64],
    ) {
        let mut history = ReturnHistory::default();
        for rest_s in &rests {
 history.record_return(*rest_s);
}
        (0..lost).for_each(|_| history.record_deletion());
        let likelihood = history.return_probability(idle_s, horizon_s);
        prop_assert!((0.0..=1.0).contains(&likelihood), "{likelihood}");
        prop_assert!(history.return_probability(idle_s, horizon_s / 2) <= likelihood + 1e-9);
    }
}
