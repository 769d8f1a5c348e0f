//! Limits how many requests are sent to an upstream beyond the first time, over all nodes together.

use std::collections::VecDeque;

/// Steps in which a window slides.
const STEPS: u64 = 10;

/// The terms that all nodes share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetPolicy {
    /// Repeats for each first send.
    pub ratio: f64,
    /// Length of the window.
    pub window_ms: u64,
    /// Repeats allowed in a window on top, for all nodes together.
    pub slack: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Step {
    number: u64,
    first: u32,
    repeats: u32,
}

/// The budget of one service on one node.
#[derive(Debug)]
pub struct RetryBudget {
    terms: RetryBudgetPolicy,
    steps: VecDeque<Step>,
}

impl RetryBudget {
    /// Starts with nothing sent.
    pub const fn new(terms: RetryBudgetPolicy) -> Self {
        Self { terms, steps: VecDeque::new() }
    }

    /// Counts a request that is sent for the first time.
    pub fn record_first_send(&mut self, now_ms: u64) {
        self.step(now_ms).first += 1;
    }

    /// Takes one repeat from the budget; `false` if nothing is left. `nodes` nodes share the slack.
    ///
    /// ```
    /// use daisysill_core::retry_budget::{RetryBudgetPolicy, RetryBudget};
    /// let terms = RetryBudgetPolicy { ratio: 0.2, window_ms: 10_000, slack: 2.0 };
    /// let mut budget = RetryBudget::new(terms);
    /// assert!(budget.try_take(0, 1) && budget.try_take(0, 1) && !budget.try_take(0, 1));
    /// ```
    pub fn try_take(&mut self, now_ms: u64, nodes: u32) -> bool {
        let number = self.step(now_ms).number;
        // The oldest step lies partly outside the window: its repeats count, its first sends do not.
        let first: u32 =
            self.steps.iter().filter(|step| step.number + STEPS > number).map(|step| step.first).sum();
        let repeats: u32 = self.steps.iter().map(|step| step.repeats).sum();
        let allowed = self.terms.ratio * f64::from(first) + self.terms.slack / f64::from(nodes.max(1));
        if f64::from(repeats + 1) > allowed {
            return false;
        }
        self.step(now_ms).repeats += 1;
        true
    }

    /// Returns the present step; forgets those that have left the window.
    fn step(&mut self, now_ms: u64) -> &mut Step {
        let number = now_ms / (self.terms.window_ms / STEPS).max(1);
        while self.steps.front().is_some_and(|step| step.number + STEPS < number) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.number < number) {
            self.steps.push_back(Step { number, ..Step::default() });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}

/// Counts the sends of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendCount {
    sent: u32,
    is_counted: bool,
}

impl SendCount {
    /// Begins a send; returns whether it is to be counted as the request's first one. A first send that never left
    /// is not counted again.
    ///
    /// ```
    /// use daisysill_core::retry_budget::SendCount;
    /// let mut count = SendCount::default();
    /// assert!(count.begin());
    /// count.never_left();
    /// assert!(!count.is_retry());
    /// assert!(!count.begin());
    /// assert!(count.is_retry());
    /// ```
    pub fn begin(&mut self) -> bool {
        self.sent += 1;
        !std::mem::replace(&mut self.is_counted, true)
    }

    /// Notes that the send that was begun last never left this node.
    pub fn mark_unsent(&mut self) {
        self.sent = self.sent.saturating_sub(1);
    }

    /// Returns whether the next send is a repeat.
    pub const fn is_retry(&self) -> bool {
        self.sent > 0
    }

    /// Returns how many sends may have arrived.
    pub const fn sent(&self) -> u32 {
        self.sent
    }
}
