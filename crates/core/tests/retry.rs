//! Retry budgets and the decision after a failed attempt.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use daisysill_core::{
    result_code::{ResultCode, RunState},
    retry::{CustomerRetryBudgets, Failure, NextStep, RequestProgress, after_failure, attempt_timeout_ms},
    rules::RetryRules,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

const RULES: RetryRules = RetryRules { budget_percent: 10, max_attempts: 3 };
const FAILURES: &[Failure] = &[
    Failure::NotSent,
    Failure::RefusedBusy,
    Failure::RefusedLeaving,
    Failure::RefusedInvalid,
    Failure::Silent,
    Failure::Broken,
    Failure::Crashed,
    Failure::BadAnswer,
];

/// Guards against retries that multiply the load when every attempt fails.
#[test]
fn extra_attempts_stay_within_the_budget() {
    let (mut budgets, customer, service) =
        (CustomerRetryBudgets::default(), "opera-a".into(), "lyric-llm".into());
    let mut extra = 0;
    for _ in 0..1_000 {
        budgets.record_first_attempt(&customer, &service, &RULES);
        extra += u64::from(budgets.try_extra_attempt(&customer, &service, &RULES));
    }
    assert!((100..=103).contains(&extra), "{extra} extra attempts for 1000");
    let none = RetryRules { budget_percent: 0, ..RULES };
    assert!(!budgets.try_extra_attempt(&"opera-b".into(), &service, &none));
}

proptest! {
    #![proptest_config(Config { cases: 2_000, rng_seed: RngSeed::Fixed(4), ..Config::default() })]

    /// Guards against a second run of a request that is not idempotent, against a refusal that falsely says
    /// `not_run`, and against a stream that is restarted or resumed at the wrong token.
    #[test]
    fn no_step_repeats_or_misreports_a_run(
        failure in proptest::sample::select(FAILURES),
        idempotent: bool,
        ran_before: bool,
        resumable: bool,
        delivered in prop_oneof![Just(0), 1..100_u64],
        attempts in 1..5_u64,
        remaining_ms in 0..2_000_u64,
        budget: bool,
    ) {
        let progress = RequestProgress {
            idempotent, may_have_run: ran_before, delivered_tokens: delivered, resumable, attempts, remaining_ms,
            expected_ms: 100,
        };
        let ran = ran_before || !failure.is_not_run();
        let decision = after_failure(failure, &progress, &RULES, || budget);
        match decision.step {
            NextStep::GiveUp(code) if ran => {
                prop_assert!(code.run_state() != RunState::NotRun, "{}", decision.reason);
            }
            NextStep::GiveUp(_) => {}
            NextStep::Retry => {
                prop_assert!(delivered == 0);
                prop_assert!(idempotent || !ran);
            }
            NextStep::Resume { from_token } => {
                prop_assert!(resumable && from_token == delivered);
                prop_assert!(idempotent || !ran);
            }
        }
        if !matches!(decision.step, NextStep::GiveUp(_)) {
            prop_assert!(budget && attempts < RULES.max_attempts && remaining_ms >= 100);
        }
    }

    /// Guards against an attempt that outlives its caller's deadline.
    #[test]
    fn an_attempt_ends_within_the_deadline(remaining_ms: u64, left in 0..9_u64, expected_ms: u64) {
        prop_assert!(attempt_timeout_ms(remaining_ms, left, expected_ms) <= remaining_ms);
    }
}

/// Guards against a slow upstream that uses up the whole deadline, and against a long prefill that is cut off.
#[test]
fn attempts_share_the_deadline_but_allow_for_the_estimate() {
    assert_eq!(attempt_timeout_ms(9_000, 3, 100), 3_000);
    assert_eq!(attempt_timeout_ms(9_000, 3, 4_000), 8_000);
}

/// Guards against `not_run` for a request whose first attempt may have run and whose second one was refused as invalid.
#[test]
fn a_refusal_after_an_uncertain_attempt_is_not_reported_as_not_run() {
    let progress = RequestProgress {
        idempotent: true,
        may_have_run: true,
        delivered_tokens: 0,
        resumable: false,
        attempts: 2,
        remaining_ms: 500,
        expected_ms: 10,
    };
    let decision = after_failure(Failure::RefusedInvalid, &progress, &RULES, || true);
    assert_eq!(decision.step, NextStep::GiveUp(ResultCode::UpstreamFailed));
}
