#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
//! Crashes in the agreed state: who is blocked, for how long, and how much is kept.

use std::collections::BTreeMap;

use daisysill_control::{
    command::{Command, ReportCrash},
    crashes::SETTLE_MS,
    state::AgreedState,
};

const BLOCK_MS: u64 = 60_000;

fn report(state: &mut AgreedState, now_ms: u64, upstream: &str, fingerprint: &str) {
    let report = ReportCrash {
        upstream: upstream.into(),
        incarnation: 1,
        fingerprints: vec![fingerprint.into()],
        block_ms: BLOCK_MS,
    };
    state.apply(state.applied_index + 1, now_ms, &Command::ReportCrash(report));
}

fn pass_time(state: &mut AgreedState, now_ms: u64) -> BTreeMap<String, u64> {
    state.apply(state.applied_index + 1, now_ms, &Command::Noop);
    state.config.blocked.clone()
}

/// Guards against a third upstream lost while reports of the second crash arrive, and a block without an end.
#[test]
fn a_request_of_two_crashes_is_blocked_for_its_time() {
    let mut state = AgreedState::default();
    report(&mut state, 0, "u1", "bad");
    report(&mut state, 0, "u1", "bystander");
    assert!(state.config.blocked.is_empty());
    report(&mut state, 100, "u2", "bad");
    assert_eq!(state.config.blocked, [("bad".to_owned(), 100 + SETTLE_MS)].into());
    assert_eq!((state.config.version.0, state.config.log_time_ms), (3, 100));
    assert_eq!(pass_time(&mut state, 100 + SETTLE_MS), [("bad".to_owned(), 100 + BLOCK_MS)].into());
    assert_eq!(state.config.log_time_ms, 100 + SETTLE_MS);
    assert_eq!(pass_time(&mut state, 99 + BLOCK_MS).len(), 1);
    assert!(pass_time(&mut state, 100 + BLOCK_MS).is_empty());
    assert_eq!((state.config.version.0, state.config.log_time_ms), (6, 100 + BLOCK_MS));
}

/// Guards against a block that falls on whoever was reported first, when the evidence cannot tell two apart.
#[test]
fn the_order_of_reports_does_not_decide_who_is_blocked() {
    let mut state = AgreedState::default();
    for (now_ms, upstream) in [(0, "u1"), (SETTLE_MS, "u2")] {
        report(&mut state, now_ms, upstream, "bystander");
        report(&mut state, now_ms, upstream, "bad");
    }
    assert_eq!(state.config.blocked.len(), 2, "both are held until the second crash is judged");
    assert!(pass_time(&mut state, 2 * SETTLE_MS).is_empty());
    report(&mut state, 3 * SETTLE_MS, "u3", "bad");
    assert_eq!(pass_time(&mut state, 4 * SETTLE_MS).into_keys().collect::<Vec<_>>(), ["bad"]);
}

/// Guards against reports that fill the memory of the voters.
#[test]
fn crashes_take_bounded_room() {
    let mut state = AgreedState::default();
    // 256 fingerprints of 130 bytes take 32.5 KiB, in the crash that waits and in the one that was judged.
    let assert_small = |state: &AgreedState, limit_kib: usize| {
        let bytes = postcard::to_stdvec(state).unwrap().len();
        assert!(bytes < limit_kib * 1_024, "{bytes} bytes");
    };
    for round in 0..2 {
        for number in 0..1_000 {
            report(&mut state, round * SETTLE_MS, "u", &format!("{round}{number:0127}"));
        }
        assert_small(&state, 70);
    }
    pass_time(&mut state, 2 * SETTLE_MS);
    assert_small(&state, 40);
    for number in 0..400 {
        report(&mut state, 2 * SETTLE_MS, &format!("u{number}"), &"x".repeat(1_000));
    }
    assert_small(&state, 40);
}
