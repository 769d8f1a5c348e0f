//! Requests that crash upstreams.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::collections::{BTreeMap, BTreeSet};

use daisysill_core::suspect::{CrashReport, Fingerprint, Permission, SuspectTable};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const BLOCK_MS: u64 = 60_000;

fn report(upstream: &str, incarnation: u64, running: &[&str]) -> CrashReport {
    let running = running.iter().map(|name| Fingerprint::from(*name)).collect();
    CrashReport { upstream: upstream.into(), incarnation, running }
}

fn blocked(table: &SuspectTable) -> Vec<&str> {
    table.blocked_requests().map(|(fingerprint, _)| fingerprint.as_str()).collect()
}

/// Guards against a block of a harmless request that shared an upstream with the one that crashed it.
#[test]
fn a_request_that_finished_elsewhere_is_cleared() {
    let mut table = SuspectTable::default();
    table.record_crash(&report("lyric-1", 1, &["bad", "good"]), 0, BLOCK_MS);
    assert!(table.record_finish(&"good".into(), 50, BLOCK_MS).is_empty());
    assert_eq!(table.cause_permille(&"good".into()), 0);
    assert_eq!(table.permission(&"good".into(), 60, 3).permission, Permission::Run);
    assert_eq!(table.permission(&"bad".into(), 60, 0).permission, Permission::RunAlone);
    assert_eq!(table.record_crash(&report("lyric-2", 1, &["bad"]), 100, BLOCK_MS), ["bad".into()]);
    assert_eq!(blocked(&table), ["bad"]);
    assert_eq!(table.permission(&"good".into(), 100, 0).permission, Permission::Run);
}

/// Guards against a third crash although the only other suspect has run to its end.
#[test]
fn the_last_suspect_left_is_blocked_without_another_crash() {
    let mut table = SuspectTable::default();
    table.record_crash(&report("lyric-1", 1, &["bad", "good"]), 0, BLOCK_MS);
    table.record_crash(&report("lyric-2", 1, &["bad", "good"]), 1, BLOCK_MS);
    assert_eq!(table.record_finish(&"good".into(), 2, BLOCK_MS), ["bad".into()]);
}

/// Guards against a block of both requests that were running at the same two crashes.
#[test]
fn suspects_that_crashes_cannot_tell_apart_run_alone_first() {
    let mut table = SuspectTable::default();
    for (at, upstream) in ["lyric-1", "lyric-2"].into_iter().enumerate() {
        let blocked = table.record_crash(&report(upstream, 1, &["bad", "good"]), at as u64, BLOCK_MS);
        assert!(blocked.is_empty());
    }
    for name in ["bad", "good"] {
        assert_eq!(table.permission(&name.into(), 10, 0).permission, Permission::RunAlone);
        assert_eq!(table.permission(&name.into(), 10, 1).permission, Permission::Wait);
    }
    table.record_crash(&report("lyric-3", 1, &["bad"]), 20, BLOCK_MS);
    assert_eq!(blocked(&table), ["bad"]);
    assert_eq!(table.permission(&"good".into(), 20, 0).permission, Permission::Run);
}

/// Guards against a crash that counts more than once because several nodes report it.
#[test]
fn a_crash_reported_twice_counts_once() {
    let mut table = SuspectTable::default();
    (0..3).for_each(|at| {
        table.record_crash(&report("lyric-1", 1, &["bad"]), at, BLOCK_MS);
    });
    assert!(blocked(&table).is_empty());
    table.record_crash(&report("lyric-1", 2, &["bad"]), 5, BLOCK_MS);
    assert_eq!(blocked(&table), ["bad"]);
    table.expire(5 + BLOCK_MS);
    assert_eq!(table.permission(&"bad".into(), 5 + BLOCK_MS, 0).permission, Permission::Run);
}

/// Guards against replicas that differ after a snapshot, and against a table that JSON cannot represent.
#[test]
fn the_table_survives_serialization() {
    let mut table = SuspectTable::default();
    table.record_crash(&report("lyric-1", 1, &["a", "b"]), 0, BLOCK_MS);
    table.record_crash(&report("lyric-2", 1, &["a"]), 1, BLOCK_MS);
    table.record_finish(&"b".into(), 2, BLOCK_MS);
    let text = serde_json::to_string(&table).unwrap();
    let read: SuspectTable = serde_json::from_str(&text).unwrap();
    assert_eq!(read, table);
    assert_eq!(serde_json::to_string(&read).unwrap(), text);
}

proptest! {
    #![proptest_config(Config { cases: 300, rng_seed: RngSeed::Fixed(6), ..Config::default() })]

    /// Guards against more than three crashes and blocks of harmless requests while callers resend: one request
    /// always crashes its upstream, the others never do, and all obey the permissions.
    #[test]
    fn one_bad_request_crashes_at_most_three_upstreams(seed: u64, others in 1..6_usize) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut table = SuspectTable::default();
        let names: Vec<Fingerprint> =
            (0..=others).map(|at| Fingerprint::from(format!("request-{at}"))).collect();
        let mut running: BTreeMap<u64, BTreeSet<usize>> = BTreeMap::new();
        let (mut crashes, mut next_upstream) = (0, 0);
        for now_ms in 0..200 {
            let request = rng.random_range(0..names.len());
            let runs = running.values().filter(|on| on.contains(&request)).count();
            let alone = match table.permission(&names[request], now_ms, runs).permission {
                Permission::Run => Some(false),
                Permission::RunApart { .. } | Permission::RunAlone => Some(true),
                Permission::Wait | Permission::Blocked { .. } => None,
            };
            // Every caller sends again once its last send has ended.
            if let Some(alone) = alone.filter(|_| runs == 0) {
                let shared = running.keys().next_back().copied().filter(|_| !alone && rng.random_range(0..3) > 0);
                let upstream = shared.unwrap_or_else(|| { next_upstream += 1; next_upstream });
                running.entry(upstream).or_default().insert(request);
            }
            if rng.random_range(0..3) == 0 && let Some((upstream, on)) = running.pop_first() {
                if on.contains(&0) {
                    crashes += 1;
                    let running = on.iter().map(|at| names[*at].clone()).collect();
                    let report =
                        CrashReport { upstream: format!("u{upstream}").into(), incarnation: 1, running };
                    table.record_crash(&report, now_ms, 1_000_000);
                } else {
                    for at in &on {
                        table.record_finish(&names[*at], now_ms, 1_000_000);
                    }
                }
            }
        }
        prop_assert!(crashes <= 3, "{crashes} crashes");
        for (fingerprint, block) in table.blocked_requests() {
            prop_assert!(*fingerprint == names[0], "{fingerprint} {}", block.reason);
        }
    }
}
