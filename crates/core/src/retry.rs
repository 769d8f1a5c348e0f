//! Retry budgets, and which step may follow a failed attempt.

use std::collections::BTreeMap;

use crate::{
    ids::{CustomerId, ServiceName},
    result_code::ResultCode,
    rules::RetryRules,
};

/// Budget units of one extra attempt; a first attempt earns `budget_percent` of them.
const UNITS_PER_ATTEMPT: u64 = 100;
/// Extra attempts that may be saved up, so that a single failure after a quiet time can be retried.
const BURST_ATTEMPTS: u64 = 3;
/// Budgets kept; the one used least recently is dropped and starts again with the burst.
const MAX_BUDGETS: usize = 65_536;
/// Shortest time worth an attempt.
const MIN_ATTEMPT_MS: u64 = 20;

#[derive(Clone, Copy, Debug)]
struct Budget {
    units: u64,
    used: u64,
}

/// Budgets for extra attempts, by customer and service.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgets {
    budgets: BTreeMap<(CustomerId, ServiceName), Budget>,
    uses: u64,
}

impl RetryBudgets {
    /// Counts a first attempt, which earns a part of an extra one.
    pub fn first_attempt(&mut self, customer: &CustomerId, service: &ServiceName, rules: &RetryRules) {
        let budget = self.budget(customer, service, rules);
        budget.units = (budget.units + rules.budget_percent).min(BURST_ATTEMPTS * UNITS_PER_ATTEMPT);
    }

    /// Takes one extra attempt out of the budget, if it has one.
    ///
    /// ```
    /// use daisysill_core::{retry::RetryBudgets, rules::RetryRules};
    /// let mut budgets = RetryBudgets::default();
    /// let rules = RetryRules { budget_percent: 10, max_attempts: 3 };
    /// let (customer, service) = ("opera-a".into(), "lyric-llm".into());
    /// assert!((0..3).all(|_| budgets.try_extra_attempt(&customer, &service, &rules)));
    /// assert!(!budgets.try_extra_attempt(&customer, &service, &rules));
    /// ```
    pub fn try_extra_attempt(
        &mut self,
        customer: &CustomerId,
        service: &ServiceName,
        rules: &RetryRules,
    ) -> bool {
        let budget = self.budget(customer, service, rules);
        let enough = budget.units >= UNITS_PER_ATTEMPT;
        if enough {
            budget.units -= UNITS_PER_ATTEMPT;
        }
        enough
    }

    fn budget(&mut self, customer: &CustomerId, service: &ServiceName, rules: &RetryRules) -> &mut Budget {
        self.uses += 1;
        let key = (customer.clone(), service.clone());
        if self.budgets.len() >= MAX_BUDGETS && !self.budgets.contains_key(&key) {
            self.drop_least_recent();
        }
        // A budget of 0 percent allows no extra attempt at all, not even the burst.
        let burst = if rules.budget_percent == 0 { 0 } else { BURST_ATTEMPTS * UNITS_PER_ATTEMPT };
        let budget = self.budgets.entry(key).or_insert(Budget { units: burst, used: 0 });
        budget.used = self.uses;
        budget
    }

    fn drop_least_recent(&mut self) {
        let oldest = self.budgets.iter().min_by_key(|(_, budget)| budget.used).map(|(key, _)| key.clone());
        if let Some(key) = oldest {
            self.budgets.remove(&key);
        }
    }
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the call was sent.
    NotSent,
    /// The upstream refused before running it because it is busy.
    RefusedBusy,
    /// The upstream refused before running it because it is leaving.
    RefusedLeaving,
    /// The upstream refused the call itself; another one would too.
    RefusedInvalid,
    /// The connection made no progress.
    Silent,
    /// The connection broke.
    Broken,
    /// The upstream crashed while it ran the call.
    Crashed,
    /// The answer broke the protocol.
    BadAnswer,
}

impl Failure {
    /// Returns whether the upstream certainly did not run the call.
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::RefusedBusy | Self::RefusedLeaving | Self::RefusedInvalid)
    }
}

/// What is known of a request after a failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFacts {
    /// Whether the call may be run again after it may have run.
    pub repeatable: bool,
    /// Whether a byte of the call was sent in any attempt that may have run.
    pub may_have_run: bool,
    /// Tokens the caller already has.
    pub delivered_tokens: u64,
    /// Whether the service can continue a stream from given tokens.
    pub resumable: bool,
    /// Attempts made.
    pub attempts: u64,
    /// Time left until the caller's deadline.
    pub remaining_ms: u64,
    /// Least time another attempt is expected to need.
    pub expected_ms: u64,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Attempt the whole call at another upstream.
    Retry,
    /// Continue the stream at another upstream after the tokens delivered.
    Resume {
        /// The first token that the caller does not have.
        from_token: u64,
    },
    /// Tell the caller.
    GiveUp(ResultCode),
}

/// A step with its reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryDecision {
    /// The step.
    pub step: NextStep,
    /// One line for `daisysill explain`.
    pub reason: String,
}

/// Decides what follows a failed attempt; `try_budget` is asked only if everything else allows another one.
pub fn after_failure(
    failure: Failure,
    facts: &AttemptFacts,
    rules: &RetryRules,
    try_budget: impl FnOnce() -> bool,
) -> RetryDecision {
    let may_have_run = facts.may_have_run || !failure.is_not_run();
    let (code, reason) = if failure == Failure::RefusedInvalid {
        (exhausted(failure, may_have_run), "the upstream refused the call itself".to_owned())
    } else if may_have_run && !facts.repeatable {
        (ResultCode::OutcomeUnknown, "a byte was sent and the call may not be repeated".to_owned())
    } else if facts.delivered_tokens > 0 && !facts.resumable {
        (ResultCode::UpstreamFailed, "part of the answer is delivered and it cannot be resumed".to_owned())
    } else if facts.attempts >= rules.max_attempts {
        (exhausted(failure, may_have_run), format!("{} attempts are made", facts.attempts))
    } else if facts.remaining_ms < facts.expected_ms.max(MIN_ATTEMPT_MS) {
        (deadline_code(may_have_run), format!("{} ms left of the deadline", facts.remaining_ms))
    } else if !try_budget() {
        (budget_code(may_have_run), "the retry budget is used up".to_owned())
    } else {
        return continued(failure, facts);
    };
    RetryDecision { step: NextStep::GiveUp(code), reason: format!("{failure:?}: {reason}") }
}

fn continued(failure: Failure, facts: &AttemptFacts) -> RetryDecision {
    let step = match facts.delivered_tokens {
        0 => NextStep::Retry,
        from_token => NextStep::Resume { from_token },
    };
    let reason = format!("{failure:?} after {} attempts: {step:?} elsewhere", facts.attempts);
    RetryDecision { step, reason }
}

fn exhausted(failure: Failure, may_have_run: bool) -> ResultCode {
    match (may_have_run, failure) {
        (true, _) => ResultCode::UpstreamFailed,
        (false, Failure::NotSent) => ResultCode::NoUpstream,
        (false, _) => ResultCode::UpstreamRefused,
    }
}

fn deadline_code(may_have_run: bool) -> ResultCode {
    if may_have_run { ResultCode::DeadlineExceeded } else { ResultCode::DeadlineUnreachable }
}

/// A code that says `not_run` where that is true, as the caller may then resend safely.
fn budget_code(may_have_run: bool) -> ResultCode {
    if may_have_run { ResultCode::RetryBudgetExhausted } else { ResultCode::UpstreamRefused }
}

/// Returns the time limit of the next attempt up to its first byte.
///
/// Attempts to come keep an equal part of what is left, but an attempt gets at least twice its estimate, so
/// that a long prefill is not cut off and begun again.
pub fn attempt_timeout_ms(remaining_ms: u64, attempts_left: u64, expected_ms: u64) -> u64 {
    let part_ms = remaining_ms / attempts_left.max(1);
    part_ms.max(expected_ms.saturating_mul(2)).min(remaining_ms)
}
