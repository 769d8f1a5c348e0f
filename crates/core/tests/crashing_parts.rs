//! Which part of their prompts is held responsible for the requests that crash upstreams.

#![allow(clippy::unwrap_used)]

use daisysill_core::crashing_parts::{BrokenRun, CRASHES_TO_BLOCK, CrashedProcess, CrashingParts};
use proptest::prelude::*;

/// Shared by all requests of a customer.
const HOT: u64 = 1;
/// Crashes each upstream that answers on it.
const BAD: u64 = 2;
/// Sound, and seldom in a request.
const RARE: u64 = 3;

fn run(upstream: u64, fingerprint: u64, sent_ms: u64, broke_ms: u64) -> BrokenRun {
    let process =
        CrashedProcess { upstream: format!("i-{upstream}").as_str().into(), started_unix_ms: upstream };
    BrokenRun { process, fingerprint, sent_ms, broke_ms }
}

fn blocked(parts: &mut CrashingParts, now_ms: u64) -> Vec<u64> {
    parts.expire(now_ms);
    let counts = parts.counts();
    counts.into_iter().filter(|(_, count)| *count >= CRASHES_TO_BLOCK).map(|(part, _)| part).collect()
}

/// Pattern: the whole service collapses within two seconds, so that no sound request completes in time to clear the part
/// that it shares with those that crash. Guards against blocking all requests of the customer.
#[test]
fn part_that_explains_all_crashes_is_blocked_alone() {
    let mut parts = CrashingParts::default();
    for crash in 0..18 {
        let (sent_ms, broke_ms) = (crash * 100, crash * 100 + 90);
        parts.record_crash(&[HOT, BAD], &run(crash, crash, sent_ms, broke_ms));
        // Sound requests at the same upstream, each with one of twenty other parts.
        for sound in 0..4 {
            parts.record_crash(
                &[HOT, 100 + (crash * 4 + sound) % 20],
                &run(crash, 1_000 + crash * 4 + sound, sent_ms, broke_ms),
            );
        }
    }
    assert_eq!(blocked(&mut parts, 2_000), [BAD]);
}

/// Pattern: a third of the upstreams, or all, end at the same moment for a reason of their own. Guards against blocking the
/// parts that were in use there.
#[test]
fn upstreams_that_end_together_block_nothing() {
    let mut parts = CrashingParts::default();
    for crash in 0..12 {
        // Connections break over half a second, and some requests were sent meanwhile to upstreams that were down.
        for request in 0..5 {
            parts.record_crash(
                &[HOT, RARE],
                &run(crash, crash * 5 + request, 900 + request, 1_000 + crash * 40),
            );
        }
    }
    assert_eq!(blocked(&mut parts, 2_000), [0_u64; 0]);
}

/// Pattern: upstreams end in waves, and requests are served in between. Guards against counting all waves against what was
/// in use in each.
#[test]
fn completed_requests_clear_their_parts() {
    let mut parts = CrashingParts::default();
    for wave in 0..6 {
        parts.record_crash(&[HOT, RARE], &run(wave, wave, wave * 3_000, wave * 3_000 + 100));
        parts.record_completion(&[HOT]);
        if wave % 2 == 1 {
            parts.record_completion(&[RARE]);
        }
    }
    assert_eq!(blocked(&mut parts, 20_000), [0_u64; 0]);
}

/// Pattern: each request with the part crashes one upstream while it is answered, and another one right after its answer,
/// under a sound request that was sent there meanwhile. Guards against blocking the part that both share, which reaches
/// the count first.
#[test]
fn part_of_fewer_requests_is_waited_for_before_the_shared_one_is_blocked() {
    let mut parts = CrashingParts::default();
    for round in 0..3 {
        let (bad, sound, start_ms) = (round, 100 + round, round * 700);
        parts.record_crash(&[HOT, BAD], &run(2 * round, bad, start_ms, start_ms + 40));
        parts.record_crash(&[HOT, BAD], &run(2 * round + 1, bad, start_ms, start_ms + 240));
        parts.record_crash(&[HOT, RARE], &run(2 * round + 1, sound, start_ms + 100, start_ms + 120));
        let expected: &[u64] = if round < 2 { &[] } else { &[BAD] };
        assert_eq!(blocked(&mut parts, start_ms + 600), expected, "round {round}");
    }
}

/// Pattern: a repeated request that shares the other part breaks in each crash that one part causes. Guards against
/// holding back the block of the part because of it.
#[test]
fn repeated_request_does_not_hold_back_a_block() {
    let mut parts = CrashingParts::default();
    for crash in 0..3 {
        let (sent_ms, broke_ms) = (crash * 100, crash * 100 + 90);
        parts.record_crash(&[HOT, RARE], &run(crash, 1_000, sent_ms, broke_ms));
        parts.record_crash(&[HOT, BAD], &run(crash, crash, sent_ms, broke_ms));
        parts.record_completion(&[HOT]);
    }
    assert_eq!(blocked(&mut parts, 400), [BAD]);
}

/// Pattern: one request crashes its upstreams and is repeated. Guards against blocking its parts, which sound requests share;
/// the request itself is blocked elsewhere.
#[test]
fn repeated_request_does_not_block_its_parts() {
    let mut parts = CrashingParts::default();
    for crash in 0..6 {
        parts.record_crash(&[HOT, RARE], &run(crash, 7, crash * 200, crash * 200 + 100));
    }
    assert_eq!(blocked(&mut parts, 2_000), [0_u64; 0]);
}

/// Guards against a second culprit that the first one hides, and against a block that never ends.
#[test]
fn each_culprit_is_blocked_until_its_evidence_expires() {
    let mut parts = CrashingParts::default();
    for crash in 0..8 {
        let culprit = if crash % 2 == 0 { BAD } else { RARE };
        parts.record_crash(&[HOT, culprit], &run(crash, crash, crash * 200, crash * 200 + 100));
        parts.record_completion(&[HOT]);
    }
    assert_eq!(blocked(&mut parts, 2_000), [BAD, RARE]);
    assert_eq!(blocked(&mut parts, 2_000 + 3_600_000), [0_u64; 0]);
}

proptest! {
    /// Guards against a culprit that escapes, or a part that completes and stays blocked, in whatever order reports come.
    #[test]
    fn culprit_is_found_among_sound_parts(
        broken in proptest::collection::vec((10_u64..14, 14_u64..20), 5..30),
        completed in proptest::collection::vec(10_u64..20, 0..20),
    ) {
        let mut parts = CrashingParts::default();
        for (number, (first, second)) in (0..).zip(&broken) {
            let culprit = run(number, number, number * 100, number * 100 + 90);
            parts.record_crash(&[*first, BAD, *second], &culprit);
            let sound = run(number, 1_000 + number, number * 100, number * 100 + 90);
            parts.record_crash(&[*second, *first], &sound);
        }
        parts.record_completion(&completed);
        let blocked = blocked(&mut parts, 10_000);
        prop_assert!(blocked.contains(&BAD));
        prop_assert!(blocked.iter().all(|part| !completed.contains(part)));
    }
}

/// Pattern: few upstreams, which come back within a second under the same id, and are listed with their old start for a
/// while. Guards against crashes of a restarted process that are taken for the one already known.
#[test]
fn crashes_of_restarted_upstreams_count_again() {
    let mut parts = CrashingParts::default();
    for crash in 0..3 {
        let (sent_ms, broke_ms) = (crash * 700, crash * 700 + 90);
        // A sound request is reported before the one that crashed, and was sent long before it.
        parts.record_crash(&[HOT, BAD], &run(1, 50 + crash, sent_ms.saturating_sub(1), broke_ms));
        parts.record_crash(&[HOT, BAD], &run(1, crash, sent_ms, broke_ms));
        parts.record_completion(&[HOT]);
    }
    assert_eq!(blocked(&mut parts, 2_000), [BAD]);
}

/// Pattern: prompts share a long prefix, known by the names of ever longer ones, and all of them crash their
/// upstreams. Guards against blocking a shorter prefix, which sound prompts share.
#[test]
fn the_longest_prefix_that_explains_the_crashes_is_blocked() {
    let mut parts = CrashingParts::default();
    for crash in 0..3 {
        parts.record_crash(&[9, 7, 8, 100 + crash], &run(crash, crash, crash * 100, crash * 100 + 90));
    }
    assert_eq!(blocked(&mut parts, 400), [8]);
    parts.record_completion(&[9, 7]);
    assert_eq!(blocked(&mut parts, 400), [8], "a sound prompt that shares less clears less");
}
