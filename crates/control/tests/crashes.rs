#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
//! Crashes in the agreed state: blocked requests, runs of suspect requests and limits.

use std::collections::BTreeMap;

use daisysill_control::{
    command::{
        Command, EndSuspectRun, PromptCrash, Reply, ReportCrash, ReportPromptRun, RunRefusal, StartSuspectRun,
    },
    crashes::{REPORT_WINDOW_MS, suspect_digest},
    prompt_runs::part_name,
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

/// Guards against a third upstream lost while the second crash is pending, and against a block that does not expire.
#[test]
fn a_request_of_two_crashes_is_blocked_for_the_given_time() {
    let mut state = AgreedState::default();
    report(&mut state, 0, "u1", "bad");
    report(&mut state, 0, "u1", "bystander");
    assert!(state.config.blocked.is_empty());
    report(&mut state, 100, "u2", "bad");
    assert_eq!(state.config.blocked, [("bad".to_owned(), 100 + REPORT_WINDOW_MS)].into());
    assert_eq!((state.config.version.0, state.config.log_time_ms), (3, 100));
    assert_eq!(pass_time(&mut state, 100 + REPORT_WINDOW_MS), [("bad".to_owned(), 100 + BLOCK_MS)].into());
    assert_eq!(state.config.log_time_ms, 100 + REPORT_WINDOW_MS);
    assert_eq!(pass_time(&mut state, 99 + BLOCK_MS).len(), 1);
    assert!(pass_time(&mut state, 100 + BLOCK_MS).is_empty());
    assert_eq!((state.config.version.0, state.config.log_time_ms), (6, 100 + BLOCK_MS));
}

/// Guards against a block of the request reported first, when two are equally suspect.
#[test]
fn the_order_of_reports_does_not_decide_who_is_blocked() {
    let mut state = AgreedState::default();
    for (now_ms, upstream) in [(0, "u1"), (REPORT_WINDOW_MS, "u2")] {
        report(&mut state, now_ms, upstream, "bystander");
        report(&mut state, now_ms, upstream, "bad");
    }
    assert_eq!(state.config.blocked.len(), 2, "both are blocked until the second crash is evaluated");
    assert!(pass_time(&mut state, 2 * REPORT_WINDOW_MS).is_empty());
    report(&mut state, 3 * REPORT_WINDOW_MS, "u3", "bad");
    assert_eq!(pass_time(&mut state, 4 * REPORT_WINDOW_MS).into_keys().collect::<Vec<_>>(), ["bad"]);
}

/// Guards against reports that exhaust the memory of the voters.
#[test]
fn crashes_use_bounded_memory() {
    let mut state = AgreedState::default();
    // 256 fingerprints of 130 bytes take 32.5 KiB, in the pending crash and in the evaluated one.
    let assert_small = |state: &AgreedState, limit_kib: usize| {
        let bytes = postcard::to_stdvec(state).unwrap().len();
        assert!(bytes < limit_kib * 1_024, "{bytes} bytes");
    };
    for round in 0..2 {
        for number in 0..1_000 {
            report(&mut state, round * REPORT_WINDOW_MS, "u", &format!("{round}{number:0127}"));
        }
        assert_small(&state, 70);
    }
    pass_time(&mut state, 2 * REPORT_WINDOW_MS);
    assert_small(&state, 40);
    for number in 0..400 {
        report(&mut state, 2 * REPORT_WINDOW_MS, &format!("u{number}"), &"x".repeat(1_000));
    }
    assert_small(&state, 40);
}

fn start(state: &mut AgreedState, now_ms: u64, attempt: &str, fingerprint: &str, upstream: &str) -> Reply {
    let start = StartSuspectRun {
        attempt: attempt.into(),
        fingerprint: fingerprint.into(),
        upstream: upstream.into(),
        limit_ms: 10_000,
    };
    state.apply(state.applied_index + 1, now_ms, &Command::StartSuspectRun(start))
}

fn end(state: &mut AgreedState, now_ms: u64, attempt: &str, finished: bool) {
    let end = EndSuspectRun { attempt: attempt.into(), finished, block_ms: BLOCK_MS };
    state.apply(state.applied_index + 1, now_ms, &Command::EndSuspectRun(end));
}

/// Guards against two runs of a suspect request at once, and against streams of a crashed engine that cannot continue
/// because another of them runs at the only upstream left (seen as result code 1401 in a whole CI run under load).
#[test]
fn a_suspect_request_has_one_run_at_a_time_beside_others_of_its_crash() {
    let mut state = AgreedState::default();
    report(&mut state, 0, "u1", "bad");
    report(&mut state, 0, "u1", "bystander");
    assert_eq!(state.config.suspects.len(), 2);
    assert_eq!(start(&mut state, 10, "a1", "bad", "u2"), Reply::RunPermitted);
    assert_eq!(
        start(&mut state, 11, "a1", "bad", "u2"),
        Reply::RunPermitted,
        "a resent request for permission"
    );
    assert_eq!(start(&mut state, 12, "a2", "bad", "u3"), Reply::RunRefused(RunRefusal::Wait));
    assert_eq!(start(&mut state, 14, "a3", "bystander", "u2"), Reply::RunPermitted);
    end(&mut state, 20, "a3", true);
    assert_eq!(state.config.suspects, [suspect_digest("bad")].into(), "a completed request is cleared");
    report(&mut state, 30, "u2", "bad");
    end(&mut state, 31, "a1", false);
    assert_eq!(start(&mut state, 40, "a4", "bad", "u3"), Reply::RunRefused(RunRefusal::Wait));
    let blocked = pass_time(&mut state, 30 + REPORT_WINDOW_MS);
    assert_eq!(
        blocked.into_keys().collect::<Vec<_>>(),
        ["bad"],
        "the only possible cause left of two crashes"
    );
    let reply = start(&mut state, 50 + REPORT_WINDOW_MS, "a5", "bad", "u3");
    assert_eq!(reply, Reply::RunRefused(RunRefusal::Blocked));
}

/// Guards against a fourth crash by one request, whatever runs beside it.
#[test]
fn a_request_that_always_runs_beside_others_crashes_at_most_three_upstreams() {
    let mut state = AgreedState::default();
    let mut lost = 0;
    for round in 0..20 {
        let now_ms = round * 400;
        let (attempt, upstream) = (format!("a{round}"), format!("u{round}"));
        let is_listed =
            state.config.suspects.contains(&suspect_digest("bad")) || !state.config.blocked.is_empty();
        if is_listed && start(&mut state, now_ms, &attempt, "bad", &upstream) != Reply::RunPermitted {
            continue;
        }
        lost += 1;
        for fingerprint in ["bystander", "other", "bad"] {
            report(&mut state, now_ms + 100, &upstream, fingerprint);
        }
        end(&mut state, now_ms + 110, &attempt, false);
    }
    assert_eq!(lost, 3);
}

/// Guards against a request that waits forever for a run whose node failed.
#[test]
fn a_run_ends_by_its_time_limit() {
    let mut state = AgreedState::default();
    report(&mut state, 0, "u1", "bad");
    assert_eq!(start(&mut state, 10, "a1", "bad", "u2"), Reply::RunPermitted);
    assert_eq!(start(&mut state, 10_009, "a2", "bad", "u2"), Reply::RunRefused(RunRefusal::Wait));
    assert_eq!(start(&mut state, 10_010, "a2", "bad", "u2"), Reply::RunPermitted);
}

/// Guards against suspects of two crashes at one upstream: a third crash would not tell them apart.
#[test]
fn suspects_of_two_crashes_run_apart() {
    let mut state = AgreedState::default();
    for (now_ms, upstream) in [(0, "u1"), (REPORT_WINDOW_MS, "u2")] {
        report(&mut state, now_ms, upstream, "bystander");
        report(&mut state, now_ms, upstream, "bad");
    }
    pass_time(&mut state, 2 * REPORT_WINDOW_MS);
    let now_ms = 2 * REPORT_WINDOW_MS + 1;
    assert_eq!(start(&mut state, now_ms, "a1", "bad", "u3"), Reply::RunPermitted);
    let taken = Reply::RunRefused(RunRefusal::UpstreamTaken);
    assert_eq!(start(&mut state, now_ms, "a2", "bystander", "u3"), taken);
    assert_eq!(start(&mut state, now_ms, "a2", "bystander", "u4"), Reply::RunPermitted);
}

fn prompt_run(state: &mut AgreedState, now_ms: u64, parts: &[u64], crash: Option<u64>) {
    let crash = crash.map(|number| PromptCrash {
        upstream: format!("lyric-{number}").as_str().into(),
        incarnation: 1,
        fingerprint: number,
        sent_ms_ago: 50,
        broke_ms_ago: 10,
    });
    let report = ReportPromptRun { parts: parts.to_vec(), crash };
    let index = state.applied_index + 1;
    state.apply(index, now_ms, &Command::ReportPromptRun(report));
}

/// Guards against prompts that crash one upstream after the other because of a shared part, and against a block of a part
/// with which requests complete.
#[test]
fn a_part_is_blocked_until_its_evidence_expires() {
    const SOUND: u64 = 1;
    const BAD: u64 = 2;
    const EVIDENCE_MS: u64 = 600_000;
    let mut state = AgreedState::default();
    for crash in 0..3 {
        assert!(state.config.blocked.is_empty());
        let now_ms = 1_000 + crash * 100;
        prompt_run(&mut state, now_ms, &[SOUND, BAD], Some(crash));
        assert!(state.config.suspects.contains(&suspect_digest(&part_name(BAD))));
        prompt_run(&mut state, now_ms + 50, &[SOUND], None);
        assert!(!state.config.suspects.contains(&suspect_digest(&part_name(SOUND))));
    }
    let until_ms = 1_200 - 10 + EVIDENCE_MS;
    assert_eq!(state.config.blocked, [(part_name(BAD), until_ms)].into());
    assert!(!pass_time(&mut state, until_ms - 1).is_empty());
    assert!(pass_time(&mut state, until_ms).is_empty());
    assert!(state.config.suspects.is_empty());
}

/// Guards against a state that grows with each crash although a completed request has cleared its parts.
#[test]
fn cleared_crashes_are_forgotten() {
    const LATER_MS: u64 = 700_000;
    let (mut state, mut fresh) = (AgreedState::default(), AgreedState::default());
    for crash in 0..50 {
        prompt_run(&mut state, 1_000 + crash, &[1], Some(crash));
        prompt_run(&mut state, 1_000 + crash, &[1], None);
    }
    prompt_run(&mut state, LATER_MS, &[2], Some(60));
    prompt_run(&mut fresh, LATER_MS, &[2], Some(60));
    assert_eq!(state.crashing_parts, fresh.crashing_parts);
}
