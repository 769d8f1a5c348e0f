//! Decides whether a failed attempt is retried, resumed or reported, and keeps the budgets for retries.

use std::collections::BTreeMap;

use crate::{
    ids::{CustomerId, ServiceName},
    result_code::ResultCode,
    rules::RetryRules,
};

/// Budget units of one extra attempt; a first attempt earns `budget_percent` of them.
const UNITS_PER_ATTEMPT: u64 = 100;
/// Most extra attempts a budget holds, so that a failure after an idle period can be retried.
const BURST_ATTEMPTS: u64 = 3;
/// Budgets kept; the least recently used one is evicted and starts again with the burst.
const MAX_BUDGETS: usize = 65_536;
/// Time left below which no further attempt is made.
const MIN_ATTEMPT_MS: u64 = 20;

#[derive(Clone, Copy, Debug)]
struct Budget {
    units: u64,
    /// Value of `CustomerRetryBudgets::uses` at the last use.
    last_use: u64,
}

/// Token buckets for extra attempts, by customer and service.
#[derive(Clone, Debug, Default)]
pub struct CustomerRetryBudgets {
    budgets: BTreeMap<(CustomerId, ServiceName), Budget>,
    uses: u64,
}

impl CustomerRetryBudgets {
    /// Counts a first attempt, which earns `budget_percent` of an extra one.
    pub fn record_first_attempt(&mut self, customer: &CustomerId, service: &ServiceName, rules: &RetryRules) {
        let budget = self.budget(customer, service, rules);
        budget.units = (budget.units + rules.budget_percent).min(BURST_ATTEMPTS * UNITS_PER_ATTEMPT);
    }

    /// Takes one extra attempt from the budget; `false` if none is left.
    ///
    /// ```
    /// use daisysill_core::{retry::CustomerRetryBudgets, rules::RetryRules};
    /// let mut budgets = CustomerRetryBudgets::default();
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
            self.evict_least_recent();
        }
        // A budget of 0 percent allows no extra attempt at all, not even the burst.
        let burst = if rules.budget_percent == 0 { 0 } else { BURST_ATTEMPTS * UNITS_PER_ATTEMPT };
        let budget = self.budgets.entry(key).or_insert(Budget { units: burst, last_use: 0 });
        budget.last_use = self.uses;
        budget
    }

    fn evict_least_recent(&mut self) {
        let oldest =
            self.budgets.iter().min_by_key(|(_, budget)| budget.last_use).map(|(key, _)| key.clone());
        if let Some(key) = oldest {
            self.budgets.remove(&key);
        }
    }
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request was sent.
    NotSent,
    /// The upstream refused the request before running it because it is busy.
    RefusedBusy,
    /// The upstream refused the request before running it because it is leaving.
    RefusedLeaving,
    /// The upstream refused the request as invalid; any other would too.
    RefusedInvalid,
    /// The connection made no progress.
    Silent,
    /// The connection broke.
    Broken,
    /// The upstream crashed while it ran the request.
    Crashed,
    /// The response violated the protocol.
    BadAnswer,
}

impl Failure {
    /// Returns whether it is certain that the upstream did not run the request.
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::RefusedBusy | Self::RefusedLeaving | Self::RefusedInvalid)
    }
}

/// The state of a request after a failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct RequestProgress {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether any attempt that may have run sent a byte of the request.
    pub may_have_run: bool,
    /// Tokens already delivered to the caller.
    pub delivered_tokens: u64,
    /// Whether the service can continue a stream after the tokens delivered.
    pub resumable: bool,
    /// Attempts made, the failed one included.
    pub attempts: u64,
    /// Time left until the caller's deadline.
    pub remaining_ms: u64,
    /// Time that another attempt is expected to need at least.
    pub expected_ms: u64,
}

/// The step after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the whole request to another upstream.
    Retry,
    /// Continue the stream at another upstream after the tokens delivered.
    Resume {
        /// The first token that the caller does not have.
        from_token: u64,
    },
    /// Answer the caller with this code.
    GiveUp(ResultCode),
}

/// The decision after a failed attempt, with its reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryDecision {
    /// What to do next.
    pub step: NextStep,
    /// One line for `daisysill explain`.
    pub reason: String,
}

/// Decides what follows a failed attempt. `try_budget` takes an extra attempt from a budget; it is called only if
/// everything else allows another attempt.
pub fn after_failure(
    failure: Failure,
    progress: &RequestProgress,
    rules: &RetryRules,
    try_budget: impl FnOnce() -> bool,
) -> RetryDecision {
    let may_have_run = progress.may_have_run || !failure.is_not_run();
    let (code, reason) = if failure == Failure::RefusedInvalid {
        (exhausted_code(failure, may_have_run), "the upstream refused the call itself".to_owned())
    } else if may_have_run && !progress.idempotent {
        (ResultCode::OutcomeUnknown, "a byte was sent and the call may not be repeated".to_owned())
    } else if progress.delivered_tokens > 0 && !progress.resumable {
        (ResultCode::UpstreamFailed, "part of the answer is delivered and it cannot be resumed".to_owned())
    } else if progress.attempts >= rules.max_attempts {
        (exhausted_code(failure, may_have_run), format!("{} attempts are made", progress.attempts))
    } else if progress.remaining_ms < progress.expected_ms.max(MIN_ATTEMPT_MS) {
        (deadline_code(may_have_run), format!("{} ms left of the deadline", progress.remaining_ms))
    } else if !try_budget() {
        (budget_code(may_have_run), "the retry budget is used up".to_owned())
    } else {
        return next_attempt(failure, progress);
    };
    RetryDecision { step: NextStep::GiveUp(code), reason: format!("{failure:?}: {reason}") }
}

fn next_attempt(failure: Failure, progress: &RequestProgress) -> RetryDecision {
    let step = match progress.delivered_tokens {
        0 => NextStep::Retry,
        from_token => NextStep::Resume { from_token },
    };
    let reason = format!("{failure:?} after {} attempts: {step:?} elsewhere", progress.attempts);
    RetryDecision { step, reason }
}

fn exhausted_code(failure: Failure, may_have_run: bool) -> ResultCode {
    match (may_have_run, failure) {
        (true, _) => ResultCode::UpstreamFailed,
        (false, Failure::NotSent) => ResultCode::NoUpstream,
        (false, _) => ResultCode::UpstreamRefused,
    }
}

fn deadline_code(may_have_run: bool) -> ResultCode {
    if may_have_run { ResultCode::DeadlineExceeded } else { ResultCode::DeadlineUnreachable }
}

/// Prefers a code with the run state `not_run` where that is true, since the caller may then resend safely.
fn budget_code(may_have_run: bool) -> ResultCode {
    if may_have_run { ResultCode::RetryBudgetExhausted } else { ResultCode::UpstreamRefused }
}

/// Returns the time limit of the next attempt up to its first byte.
///
/// The attempts left share the remaining time evenly, but an attempt gets at least twice its estimate, so that a
/// long prefill is not cut off and restarted.
pub fn attempt_timeout_ms(remaining_ms: u64, attempts_left: u64, expected_ms: u64) -> u64 {
    let part_ms = remaining_ms / attempts_left.max(1);
    part_ms.max(expected_ms.saturating_mul(2)).min(remaining_ms)
}
