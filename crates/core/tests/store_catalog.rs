//! Tests of the catalog of a managed store, with random sequences of events.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::collections::{BTreeMap, BTreeSet, HashMap};

use daisysill_core::store_catalog::{CatalogChange, PartName, StoreCatalog};
use proptest::prelude::*;

const RETIREMENT_MS: u64 = 5_000;

fn name(number: u8) -> PartName {
    PartName { scope: format!("m/{}", number % 3), id: number.to_string() }
}

#[derive(Clone, Debug)]
enum Step {
    Stored(u8),
    Removed(u8),
    Used(u8),
    Wait(u64),
    Retire { oldest: u8 },
    Restart,
    Free,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => any::<u8>().prop_map(Step::Stored),
        1 => any::<u8>().prop_map(Step::Removed),
        2 => any::<u8>().prop_map(Step::Used),
        3 => (0_u64..4_000).prop_map(Step::Wait),
        2 => (0_u8..3).prop_map(|oldest| Step::Retire { oldest }),
        1 => Just(Step::Restart),
        2 => Just(Step::Free),
    ];
    prop::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: prop::test_runner::RngSeed::Fixed(17), ..ProptestConfig::default() })]

    /// Guards against freeing a part while a fetch that started before its retirement may still run.
    #[test]
    fn nothing_is_freed_until_its_retirement_time_has_passed(steps in steps()) {
        let mut catalog = StoreCatalog::new(2_000, RETIREMENT_MS);
        let mut now_ms = 0;
        // The parts that entry nodes may fetch, and when each of the other parts was withdrawn.
        let mut published: BTreeMap<PartName, u64> = BTreeMap::new();
        let mut withdrawn_ms: BTreeMap<PartName, u64> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Stored(number) => catalog.record_stored(name(number), 90, now_ms),
                Step::Removed(number) => catalog.record_removed(&name(number)),
                Step::Used(number) => catalog.record_used(|part| *part == name(number), now_ms),
                Step::Wait(wait_ms) => now_ms += wait_ms,
                Step::Retire { oldest } => catalog.retire(|scope| scope != format!("m/{oldest}"), now_ms),
                Step::Restart => catalog.replace(HashMap::new(), now_ms),
                Step::Free => {
                    for part in catalog.freeable(now_ms) {
                        prop_assert!(!published.contains_key(&part));
                        let since = withdrawn_ms.get(&part).copied().unwrap();
                        prop_assert!(now_ms - since >= RETIREMENT_MS);
                        catalog.record_removed(&part);
                    }
                }
            }
            for change in catalog.take_changes() {
                match change {
                    CatalogChange::Stored(part, tokens) => drop(published.insert(part, tokens)),
                    CatalogChange::Retired(part) => {
                        prop_assert!(published.remove(&part).is_some());
                        withdrawn_ms.insert(part, now_ms);
                    }
                }
            }
            let fetchable: BTreeSet<&PartName> = catalog.fetchable().map(|(part, _)| part).collect();
            prop_assert_eq!(fetchable, published.keys().collect::<BTreeSet<_>>());
        }
    }
}

/// Pattern: a store fills up with new prompts. Recently used parts are kept, others are retired.
#[test]
fn a_full_store_keeps_recently_used_parts() {
    let mut catalog = StoreCatalog::new(1_000, RETIREMENT_MS);
    for number in 0..10 {
        catalog.record_stored(name(number), 100, u64::from(number));
    }
    catalog.record_used(|part| part.id == "0", 20_000);
    catalog.retire(|_| true, 20_000);
    let kept: BTreeSet<String> = catalog.fetchable().map(|(part, _)| part.id.clone()).collect();
    assert!(kept.contains("0") && !kept.contains("1"), "{kept:?}");
    assert_eq!(catalog.freeable(25_000).len(), 2);
    assert_eq!(
        catalog.used_tokens(),
        1_000,
        "space counts as used until the store reports the part as removed"
    );
}
