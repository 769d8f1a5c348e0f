//! Requests that crash upstreams, known by their fingerprints.

#![allow(clippy::unwrap_used)]

use daisysill_core::{
    crashing_parts::{CrashedProcess, EVIDENCE_TIMEOUT},
    crashing_requests::{CRASHES_TO_BLOCK, CrashingRequests},
};

const REQUEST: u64 = 7;

fn process(started_unix_ms: u64) -> CrashedProcess {
    CrashedProcess { upstream: "i-1".into(), started_unix_ms }
}

fn count(requests: &CrashingRequests) -> Option<u32> {
    requests.counts().find(|(fingerprint, _)| *fingerprint == REQUEST).map(|(_, count)| count)
}

/// Guards against crashes that count more than once because several nodes report them, and against a block that a completed
/// request does not lift.
#[test]
fn crashes_since_the_last_completion_count_once_each() {
    let mut requests = CrashingRequests::default();
    for start in 0..u64::from(CRASHES_TO_BLOCK) {
        requests.record_crash(REQUEST, process(start), start);
        requests.record_crash(REQUEST, process(start), start + 1);
    }
    assert_eq!(count(&requests), Some(CRASHES_TO_BLOCK));
    requests.record_completion(REQUEST);
    assert_eq!(count(&requests), None);
    requests.record_crash(REQUEST, process(9), 9);
    assert_eq!(count(&requests), Some(1));
}

/// Guards against a request that crashes upstreams and is not blocked, because requests that broke once, and never came again,
/// took all the memory for evidence.
#[test]
fn many_requests_with_one_crash_do_not_keep_out_one_with_more() {
    let mut requests = CrashingRequests::default();
    for fingerprint in 100..10_000 {
        requests.record_crash(fingerprint, process(0), fingerprint);
    }
    for start in 1..=u64::from(CRASHES_TO_BLOCK) {
        requests.record_crash(REQUEST, process(start), 10_000 + start);
        requests.record_crash(20_000 + start, process(start), 10_000 + start);
    }
    assert_eq!(count(&requests), Some(CRASHES_TO_BLOCK));
    assert!(requests.counts().count() < 5_000);
}

/// Guards against a request that is blocked for good, and against memory that grows with each request that ran beside a crash.
#[test]
fn evidence_expires_after_the_last_crash() {
    let timeout_ms = u64::try_from(EVIDENCE_TIMEOUT.as_millis()).unwrap();
    let mut requests = CrashingRequests::default();
    requests.record_crash(REQUEST, process(0), 0);
    requests.record_crash(REQUEST, process(1), 100);
    // A late report of a known crash does not prolong the block.
    requests.record_crash(REQUEST, process(1), 500);
    requests.expire(timeout_ms + 99);
    assert_eq!(count(&requests), Some(2));
    requests.expire(timeout_ms + 100);
    assert_eq!(count(&requests), None);
}
