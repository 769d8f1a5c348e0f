//! Retry budgets and the steps after a failure.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use daisysill_core::{
    result_code::{ResultCode, RunState},
    retry::{AttemptFacts, Failure, NextStep, RetryBudgets, after_failure, attempt_timeout_ms},
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
    let (mut budgets, customer, service) = (RetryBudgets::default(), "opera-a".into(), "lyric-llm".into());
    let mut extra = 0;
    for _ in 0..1_000 {
        budgets.first_attempt(&customer, &service, &RULES);
        extra += u64::from(budgets.try_extra_attempt(&customer, &service, &RULES));
    }
    assert!((100..=103).contains(&extra), "{extra} extra attempts for 1000");
    let none = RetryRules { budget_percent: 0, ..RULES };
    assert!(!budgets.try_extra_attempt(&"opera-b".into(), &service, &none));
}

proptest! {
    #![proptest_config(Config { cases: 2_000, rng_seed: RngSeed::Fixed(4), ..Config::default() })]

    /// Guards against a second run of a call that may not be repeated, against a refusal that says
    /// not_run falsely, and against a stream that is begun again or resumed at another token.
    #[test]
    fn a_step_never_breaks_a_promise(
        failure in proptest::sample::select(FAILURES),
        repeatable: bool,
        ran_before: bool,
        resumable: bool,
        delivered in prop_oneof![Just(0), 1..100_u64],
        attempts in 1..5_u64,
        remaining_ms in 0..2_000_u64,
        budget: bool,
    ) {
        let facts = AttemptFacts {
            repeatable, may_have_run: ran_before, delivered_tokens: delivered, resumable, attempts, remaining_ms,
            expected_ms: 100,
        };
        let ran = ran_before || !failure.is_not_run();
        let decision = after_failure(failure, &facts, &RULES, || budget);
        match decision.step {
            NextStep::GiveUp(code) if ran => {
                prop_assert!(code.run_state() != RunState::NotRun, "{}", decision.reason);
            }
            NextStep::GiveUp(_) => {}
            NextStep::Retry => {
                prop_assert!(delivered == 0);
                prop_assert!(repeatable || !ran);
            }
            NextStep::Resume { from_token } => {
                prop_assert!(resumable && from_token == delivered);
                prop_assert!(repeatable || !ran);
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

/// Guards against a busy upstream using up the whole deadline, and against cutting a long prefill short.
#[test]
fn attempts_share_the_deadline_but_allow_for_the_estimate() {
    assert_eq!(attempt_timeout_ms(9_000, 3, 100), 3_000);
    assert_eq!(attempt_timeout_ms(9_000, 3, 4_000), 8_000);
}

/// Guards against a caller that is told its call never ran after an invalid answer to the second attempt.
#[test]
fn a_refusal_after_an_uncertain_attempt_is_not_reported_as_not_run() {
    let facts = AttemptFacts {
        repeatable: true,
        may_have_run: true,
        delivered_tokens: 0,
        resumable: false,
        attempts: 2,
        remaining_ms: 500,
        expected_ms: 10,
    };
    let decision = after_failure(Failure::RefusedInvalid, &facts, &RULES, || true);
    assert_eq!(decision.step, NextStep::GiveUp(ResultCode::UpstreamFailed));
}
