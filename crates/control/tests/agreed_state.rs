#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
//! The agreed state: resent changes, conflicting changes, claims, leases and their limits.

use daisysill_control::{
    claims::{ENDED_ATTEMPT_MS, MAX_DROPPED_CLAIMS, MAX_RESPONSE_BYTES},
    command::{
        AcquireLease, Claim, ClaimKey, ClaimOutcome, ClaimState, Command, FinishClaim, PublishRules, Reply,
        SetDrain, SetWeights, StoredResponse,
    },
    state::AgreedState,
};
use daisysill_core::ids::{ConfigVersion, FencingNumber, WeightVersion};

struct TestLog {
    state: AgreedState,
    index: u64,
}

impl TestLog {
    fn new() -> Self {
        Self { state: AgreedState::default(), index: 0 }
    }

    fn apply(&mut self, now_ms: u64, command: &Command) -> Reply {
        self.index += 1;
        self.state.apply(self.index, now_ms, command)
    }
}

fn key(name: &str) -> ClaimKey {
    ClaimKey { customer: "c".into(), service: "s".into(), key: name.into() }
}

fn claim(name: &str, attempt: &str, digest: &str) -> Command {
    Command::Claim(Claim {
        key: key(name),
        body_digest: digest.into(),
        attempt: attempt.into(),
        holder: "n".into(),
        outcome_timeout_ms: 50,
        retention_ms: 100,
    })
}

fn finish(name: &str, attempt: &str, outcome: ClaimOutcome) -> Command {
    Command::FinishClaim(FinishClaim { key: key(name), attempt: attempt.into(), outcome })
}

fn response(bytes: usize) -> StoredResponse {
    StoredResponse { status: 200, content_type: String::new(), body: vec![0; bytes] }
}

fn weights(change: &str, base: u64, version: u64) -> Command {
    Command::SetWeights(SetWeights {
        change: change.into(),
        base: WeightVersion(base),
        service: "s".into(),
        version: WeightVersion(version),
    })
}

/// Guards against a resent change that takes effect again, also after other changes, and against a change id accepted
/// with other content.
#[test]
fn a_resent_change_takes_effect_once() {
    let mut log = TestLog::new();
    let drain = |draining| Command::SetDrain(SetDrain { change: "1".into(), upstream: "u".into(), draining });
    let first = log.apply(0, &drain(true));
    assert_eq!(first, Reply::Accepted(ConfigVersion(1)));
    log.apply(0, &weights("2", 0, 5));
    let config = log.state.config.clone();
    assert_eq!(log.apply(0, &drain(true)), first);
    assert_eq!(log.apply(0, &drain(false)), Reply::ChangeIdReused);
    assert_eq!(log.apply(0, &weights("2", 0, 5)), Reply::Accepted(ConfigVersion(2)));
    assert_eq!(log.state.config, config);
}

/// Guards against two different changes accepted on one base version.
#[test]
fn of_two_changes_on_one_base_one_is_accepted() {
    let mut log = TestLog::new();
    assert_eq!(log.apply(0, &weights("1", 0, 5)), Reply::Accepted(ConfigVersion(1)));
    assert!(matches!(log.apply(0, &weights("2", 0, 6)), Reply::Conflict(_)));
    let publish = |change: &str| {
        Command::PublishRules(PublishRules {
            change: change.into(),
            base: ConfigVersion(0),
            files: Vec::new(),
        })
    };
    assert!(matches!(log.apply(0, &publish("3")), Reply::Accepted(_)));
    assert!(matches!(log.apply(0, &publish("4")), Reply::Conflict(_)));
}

/// Guards against a request that two attempts may send, or that may be sent after its outcome is known.
#[test]
fn a_claim_belongs_to_one_attempt() {
    let mut log = TestLog::new();
    assert_eq!(log.apply(0, &claim("k", "1", "d")), Reply::Claimed);
    assert_eq!(log.apply(1, &claim("k", "1", "d")), Reply::Claimed);
    assert_eq!(log.apply(2, &claim("k", "2", "d")), Reply::ClaimExists(ClaimState::InProgress));
    assert_eq!(log.apply(2, &claim("k", "2", "e")), Reply::KeyReused);
    log.apply(3, &finish("k", "2", ClaimOutcome::NotRun));
    assert_eq!(log.apply(4, &claim("k", "3", "d")), Reply::ClaimExists(ClaimState::InProgress));
    log.apply(5, &finish("k", "1", ClaimOutcome::Answered(response(3))));
    log.apply(5, &finish("k", "1", ClaimOutcome::NotRun));
    assert_eq!(log.apply(6, &claim("k", "1", "d")), Reply::ClaimExists(ClaimState::Answered(response(3))));
    log.apply(7, &claim("l", "1", "d"));
    log.apply(8, &finish("l", "1", ClaimOutcome::NotRun));
    assert_eq!(log.apply(9, &claim("l", "2", "d")), Reply::Claimed);
}

/// Guards against a key that stays in progress after its holder failed, and against a late outcome that is lost.
#[test]
fn a_claim_without_an_outcome_becomes_unknown() {
    let mut log = TestLog::new();
    log.apply(0, &claim("k", "1", "d"));
    assert_eq!(log.apply(49, &claim("k", "2", "d")), Reply::ClaimExists(ClaimState::InProgress));
    assert_eq!(log.apply(50, &claim("k", "2", "d")), Reply::ClaimExists(ClaimState::Unknown));
    assert_eq!(log.apply(50, &claim("k", "1", "d")), Reply::ClaimExists(ClaimState::Unknown));
    log.apply(60, &finish("k", "1", ClaimOutcome::Answered(response(3))));
    assert_eq!(log.apply(61, &claim("k", "2", "d")), Reply::ClaimExists(ClaimState::Answered(response(3))));
}

/// Guards against a claim dropped while its request may still be sent: a resend would run too.
#[test]
fn a_claim_is_retained_until_its_outcome_is_due() {
    let mut log = TestLog::new();
    let short = |attempt: &str| {
        let Command::Claim(claim) = claim("k", attempt, "d") else { unreachable!() };
        Command::Claim(Claim { retention_ms: 1, ..claim })
    };
    log.apply(0, &short("1"));
    assert_eq!(log.apply(49, &short("2")), Reply::ClaimExists(ClaimState::InProgress));
    assert_eq!(log.apply(50, &short("2")), Reply::Claimed);
}

/// Guards against a key held by an ended attempt: a copy of its claim arrives after its outcome.
#[test]
fn a_late_copy_of_a_claim_does_not_hold_the_key() {
    let mut log = TestLog::new();
    log.apply(0, &claim("k", "1", "d"));
    log.apply(1, &finish("k", "1", ClaimOutcome::NotRun));
    log.apply(1, &finish("l", "2", ClaimOutcome::NotRun));
    assert_eq!(log.apply(2, &claim("k", "1", "d")), Reply::AttemptEnded);
    assert_eq!(log.apply(2, &claim("l", "2", "d")), Reply::AttemptEnded);
    assert_eq!(log.apply(3, &claim("k", "3", "d")), Reply::Claimed);
    log.apply(1 + ENDED_ATTEMPT_MS, &Command::Noop);
    assert!(log.state.ended_attempts.is_empty() && log.state.ended_attempt_order.is_empty());
}

/// Guards against claims that are never dropped or dropped early, and against an entry that drops many at once.
#[test]
fn expired_claims_are_dropped_a_few_at_a_time() {
    let mut log = TestLog::new();
    for number in 0..50 {
        log.apply(number, &claim(&number.to_string(), "1", "d"));
    }
    log.apply(99, &Command::Noop);
    assert_eq!(log.state.claims.len(), 50);
    let mut left = 50;
    while left > 0 {
        log.apply(1_000, &Command::Noop);
        let now_left = log.state.claims.len();
        assert!(now_left < left && left - now_left <= MAX_DROPPED_CLAIMS, "{left} to {now_left}");
        left = now_left;
    }
    assert!(log.state.claim_expiries.is_empty());
    assert_eq!(log.state.stored_response_bytes, 0);
}

/// Guards against stored responses that exhaust the memory of a replica.
#[test]
fn stored_responses_are_bounded() {
    let mut log = TestLog::new();
    let large = usize::try_from(MAX_RESPONSE_BYTES).unwrap() / 2;
    for name in ["a", "b", "c"] {
        assert_eq!(log.apply(0, &claim(name, "1", "d")), Reply::Claimed);
    }
    assert_eq!(log.apply(0, &finish("a", "1", ClaimOutcome::Answered(response(large)))), Reply::Done);
    assert_eq!(log.apply(0, &finish("b", "1", ClaimOutcome::Answered(response(large)))), Reply::ClaimsFull);
    assert_eq!(log.apply(0, &claim("b", "2", "d")), Reply::ClaimExists(ClaimState::Unknown));
    let rest = large - 2 * 64;
    assert_eq!(log.apply(0, &finish("c", "1", ClaimOutcome::Answered(response(rest)))), Reply::Done);
    assert_eq!(log.state.stored_response_bytes, MAX_RESPONSE_BYTES);
    assert_eq!(log.apply(0, &claim("e", "1", "d")), Reply::ClaimsFull);
    log.apply(100, &Command::Noop);
    assert_eq!(log.apply(100, &claim("e", "1", "d")), Reply::Claimed);
    assert_eq!(log.state.stored_response_bytes, 0);
}

/// Guards against two holders of a lease at a time, and against a fencing number used twice.
#[test]
fn leases_have_one_holder_and_increasing_fencing_numbers() {
    let mut log = TestLog::new();
    let acquire = |holder: &str| {
        Command::AcquireLease(AcquireLease { role: "r".into(), holder: holder.into(), duration_ms: 10 })
    };
    assert_eq!(log.apply(0, &acquire("a")), Reply::LeaseGranted(FencingNumber(1)));
    assert_eq!(log.apply(5, &acquire("a")), Reply::LeaseGranted(FencingNumber(1)));
    assert_eq!(log.apply(14, &acquire("b")), Reply::LeaseHeld("a".into()));
    assert_eq!(log.apply(15, &acquire("b")), Reply::LeaseGranted(FencingNumber(2)));
    assert_eq!(log.apply(3, &acquire("a")), Reply::LeaseHeld("b".into()), "log time went back");
    assert_eq!(log.apply(25, &acquire("b")), Reply::LeaseGranted(FencingNumber(3)));
}
