//! Bounds the retries of a service in a sliding window, over all nodes together.

use std::collections::VecDeque;

/// Buckets of a window.
const WINDOW_BUCKETS: u64 = 10;

/// Bounds of the retries; the same on all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetPolicy {
    /// Retries allowed for each first send.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window_ms: u64,
    /// Retries allowed in a window beyond the ratio, for all nodes together.
    pub slack: f64,
}

/// What one node has sent for a service in the present window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WindowCounts {
    /// Requests that were sent for the first time.
    pub first_sends: u32,
    /// Retries.
    pub retries: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Time divided by the bucket's length.
    number: u64,
    first_sends: u32,
    retries: u32,
}

/// The budget of one service on one node.
#[derive(Debug)]
pub struct RetryBudget {
    policy: RetryBudgetPolicy,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Starts with nothing sent.
    pub const fn new(policy: RetryBudgetPolicy) -> Self {
        Self { policy, buckets: VecDeque::new() }
    }

    /// Counts a request that is sent for the first time.
    pub fn record_first_send(&mut self, now_ms: u64) {
        self.current_bucket(now_ms).first_sends += 1;
    }

    /// Takes one retry from the budget; `false` if none is left. The slack is divided among `nodes` nodes.
    ///
    /// ```
    /// use daisysill_core::retry_budget::{RetryBudgetPolicy, RetryBudget};
    /// let policy = RetryBudgetPolicy { ratio: 0.2, window_ms: 10_000, slack: 2.0 };
    /// let mut budget = RetryBudget::new(policy);
    /// assert!(budget.try_take(0, 1) && budget.try_take(0, 1) && !budget.try_take(0, 1));
    /// ```
    pub fn try_take(&mut self, now_ms: u64, nodes: u32) -> bool {
        let is_left = self.is_left(now_ms, nodes);
        if is_left {
            self.current_bucket(now_ms).retries += 1;
        }
        is_left
    }

    /// Returns whether [`Self::try_take`] would take a retry now.
    ///
    /// ```
    /// use daisysill_core::retry_budget::{RetryBudgetPolicy, RetryBudget};
    /// let policy = RetryBudgetPolicy { ratio: 0.2, window_ms: 10_000, slack: 1.0 };
    /// let mut budget = RetryBudget::new(policy);
    /// assert!(budget.is_left(0, 1) && budget.try_take(0, 1) && !budget.is_left(0, 1));
    /// ```
    pub fn is_left(&mut self, now_ms: u64, nodes: u32) -> bool {
        let counts = self.counts(now_ms);
        let allowed =
            self.policy.ratio * f64::from(counts.first_sends) + self.policy.slack / f64::from(nodes.max(1));
        f64::from(counts.retries + 1) <= allowed
    }

    /// Returns what was sent in the window that ends now.
    ///
    /// ```
    /// use daisysill_core::retry_budget::{RetryBudgetPolicy, RetryBudget, WindowCounts};
    /// let policy = RetryBudgetPolicy { ratio: 0.2, window_ms: 10_000, slack: 1.0 };
    /// let mut budget = RetryBudget::new(policy);
    /// budget.record_first_send(0);
    /// assert_eq!(budget.counts(0), WindowCounts { first_sends: 1, retries: 0 });
    /// ```
    pub fn counts(&mut self, now_ms: u64) -> WindowCounts {
        let number = self.current_bucket(now_ms).number;
        // The oldest bucket lies partly outside the window: its retries count, its first sends do not.
        let first_sends = self
            .buckets
            .iter()
            .filter(|bucket| bucket.number + WINDOW_BUCKETS > number)
            .map(|bucket| bucket.first_sends)
            .sum();
        let retries = self.buckets.iter().map(|bucket| bucket.retries).sum();
        WindowCounts { first_sends, retries }
    }

    /// Returns the current bucket, and drops those that have left the window.
    fn current_bucket(&mut self, now_ms: u64) -> &mut Bucket {
        let number = now_ms / (self.policy.window_ms / WINDOW_BUCKETS).max(1);
        while self.buckets.front().is_some_and(|bucket| bucket.number + WINDOW_BUCKETS < number) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| bucket.number < number) {
            self.buckets.push_back(Bucket { number, ..Bucket::default() });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}

/// Counts the sends of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendCount {
    sent: u32,
    is_counted: bool,
}

impl SendCount {
    /// Begins a send; returns whether to count it as the request's first one. After a first send that never left
    /// this node, the next one is not counted again.
    ///
    /// ```
    /// use daisysill_core::retry_budget::SendCount;
    /// let mut count = SendCount::default();
    /// assert!(count.begin());
    /// count.mark_unsent();
    /// assert!(!count.is_retry());
    /// assert!(!count.begin());
    /// assert!(count.is_retry());
    /// ```
    pub fn begin(&mut self) -> bool {
        self.sent += 1;
        !std::mem::replace(&mut self.is_counted, true)
    }

    /// Records that the last send begun never left this node.
    pub fn mark_unsent(&mut self) {
        self.sent = self.sent.saturating_sub(1);
    }

    /// Returns whether the next send is a retry.
    pub const fn is_retry(&self) -> bool {
        self.sent > 0
    }

    /// Returns how many sends may have reached an upstream.
    pub const fn sent(&self) -> u32 {
        self.sent
    }
}
