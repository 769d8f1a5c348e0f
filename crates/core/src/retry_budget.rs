//! Bounds the retries of a service in every window, over all nodes together and over their restarts.
//!
//! All nodes together may send `ratio` retries for each request that arrived in the window or, if those are more, in the
//! window before, and `slack` retries beyond. Each node keeps to half of the ratio for the requests of both windows, which
//! adds up to no more. A process that starts has no requests of earlier windows, and its part of the slack grows with its
//! age, so that a restart repeats nothing.

/// Intervals of a window.
const WINDOW_INTERVALS: u64 = 40;
/// Intervals of which counts are kept: those of a window and of the one before.
const KEPT_INTERVALS: usize = 80;
/// Part of the ratio that each request earns in its window, and again in the next one.
const EARNED_PART: f64 = 0.5;
/// Requests that arrive within this time after an interruption of the process may have been sent before it ended.
const BACKLOG_TIME_MS: u64 = 1_000;
/// Part of a node's share of the slack that it may use at once; the rest grows over a window.
const BURST_PART: f64 = 0.5;

/// Bounds of the retries; the same on all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetPolicy {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window_ms: u64,
    /// Retries allowed in a window beyond the ratio, for all nodes together.
    pub slack: f64,
}

impl RetryBudgetPolicy {
    /// Returns the length of the intervals in which requests and retries are counted.
    ///
    /// ```
    /// use daisysill_core::retry_budget::RetryBudgetPolicy;
    /// assert_eq!(RetryBudgetPolicy { ratio: 0.2, window_ms: 10_000, slack: 2.0 }.interval_ms(), 250);
    /// ```
    pub const fn interval_ms(&self) -> u64 {
        let interval_ms = self.window_ms / WINDOW_INTERVALS;
        if interval_ms == 0 { 1 } else { interval_ms }
    }
}

/// What one node has counted for a service in the present window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WindowCounts {
    /// Requests that arrived from callers.
    pub requests: u32,
    /// Retries.
    pub retries: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Interval {
    /// Time divided by the interval's length.
    number: u64,
    requests: u32,
    retries: u32,
}

/// The budget of one service on one node, since its process started or was last interrupted.
#[derive(Debug)]
pub struct RetryBudget {
    policy: RetryBudgetPolicy,
    started_ms: u64,
    /// Whether an earlier process of the node may have used its share of the slack before the start.
    has_predecessor: bool,
    /// From when on requests are counted.
    earns_from_ms: u64,
    /// By number modulo the length.
    intervals: Vec<Interval>,
}

impl RetryBudget {
    /// Starts with nothing counted, on a node whose process started at `started_ms`.
    pub fn new(policy: RetryBudgetPolicy, started_ms: u64) -> Self {
        let intervals = vec![Interval::default(); KEPT_INTERVALS];
        Self { policy, started_ms, has_predecessor: true, earns_from_ms: started_ms, intervals }
    }

    /// The same on a node that starts for the first time, so that part of its share is there at once.
    ///
    /// ```
    /// use daisysill_core::retry_budget::{RetryBudgetPolicy, RetryBudget};
    /// let policy = RetryBudgetPolicy { ratio: 0.2, window_ms: 10_000, slack: 2.0 };
    /// assert!(RetryBudget::first(policy, 0).is_left(0, Some(1)) && !RetryBudget::new(policy, 0).is_left(0, Some(1)));
    /// ```
    pub fn first(policy: RetryBudgetPolicy, started_ms: u64) -> Self {
        Self { has_predecessor: false, ..Self::new(policy, started_ms) }
    }

    /// Begins anew if the process was interrupted since the start.
    ///
    /// ```
    /// use daisysill_core::retry_budget::{RetryBudgetPolicy, RetryBudget, WindowCounts};
    /// let mut budget = RetryBudget::new(RetryBudgetPolicy { ratio: 0.2, window_ms: 10_000, slack: 2.0 }, 0);
    /// budget.record_request(500);
    /// budget.restart(4_000);
    /// assert_eq!(budget.counts(4_000), WindowCounts::default());
    /// ```
    pub fn restart(&mut self, interrupted_ms: u64) {
        if interrupted_ms > self.started_ms {
            *self = Self::new(self.policy, interrupted_ms);
            self.earns_from_ms = interrupted_ms + BACKLOG_TIME_MS;
        }
    }

    /// Counts a request that arrived from its caller, unless it may have waited while the process was interrupted.
    pub fn record_request(&mut self, now_ms: u64) {
        if now_ms >= self.earns_from_ms {
            self.current(now_ms).requests += 1;
        }
    }

    /// Takes one retry from the budget; `false` if none is left. The slack is divided among `nodes` nodes, and unused
    /// while their number is unknown.
    ///
    /// ```
    /// use daisysill_core::retry_budget::{RetryBudgetPolicy, RetryBudget};
    /// let policy = RetryBudgetPolicy { ratio: 0.2, window_ms: 10_000, slack: 4.0 };
    /// let mut budget = RetryBudget::new(policy, 0);
    /// assert!(!budget.try_take(100, Some(1)));
    /// assert!(budget.try_take(5_000, Some(1)) && !budget.try_take(5_000, Some(1)));
    /// ```
    pub fn try_take(&mut self, now_ms: u64, nodes: Option<u32>) -> bool {
        let is_left = self.is_left(now_ms, nodes);
        if is_left {
            self.current(now_ms).retries += 1;
        }
        is_left
    }

    /// Gives back a retry that was taken at `taken_ms` and never sent.
    ///
    /// ```
    /// use daisysill_core::retry_budget::{RetryBudgetPolicy, RetryBudget};
    /// let policy = RetryBudgetPolicy { ratio: 0.2, window_ms: 10_000, slack: 4.0 };
    /// let mut budget = RetryBudget::new(policy, 0);
    /// assert!(budget.try_take(5_000, Some(1)));
    /// budget.give_back(5_000);
    /// assert!(budget.is_left(5_000, Some(1)));
    /// ```
    pub fn give_back(&mut self, taken_ms: u64) {
        let number = taken_ms / self.policy.interval_ms();
        let interval = &mut self.intervals[index(number)];
        if interval.number == number {
            interval.retries = interval.retries.saturating_sub(1);
        }
    }

    /// Returns whether [`Self::try_take`] would take a retry now: whether each window that ends now, also a shorter one, has
    /// room for it.
    ///
    /// ```
    /// use daisysill_core::retry_budget::{RetryBudgetPolicy, RetryBudget};
    /// let policy = RetryBudgetPolicy { ratio: 0.2, window_ms: 10_000, slack: 0.0 };
    /// let mut budget = RetryBudget::new(policy, 0);
    /// assert!(!budget.is_left(800, None));
    /// (0..10).for_each(|_| budget.record_request(500));
    /// assert!(budget.is_left(800, None));
    /// ```
    pub fn is_left(&self, now_ms: u64, nodes: Option<u32>) -> bool {
        let present = self.number(now_ms);
        let share = nodes.map_or(0.0, |nodes| self.policy.slack / f64::from(nodes.max(1)));
        let mut retries = 1;
        // A window begins within an interval, so only a part of the oldest one belongs to the window before it.
        let mut requests: u32 = (0..WINDOW_INTERVALS).map(|age| self.aged(present, age).requests).sum();
        for age in 0..=WINDOW_INTERVALS {
            let Some(first) = present.checked_sub(age) else { break };
            if first < self.number(self.started_ms) {
                break;
            }
            retries += self.aged(present, age).retries;
            let earned = self.policy.ratio * EARNED_PART * f64::from(requests);
            if f64::from(retries) > earned + share * self.share_part(first, now_ms) {
                return false;
            }
            requests += self.aged(present, age + WINDOW_INTERVALS).requests;
        }
        true
    }

    /// Returns the part of the node's share of the slack that may be used in a window from within the interval `first` until
    /// now. Windows in which the process started hold retries of its predecessor.
    fn share_part(&self, first: u64, now_ms: u64) -> f64 {
        let has_started = first > self.number(self.started_ms);
        let begun_ms = if has_started { (first + 1) * self.policy.interval_ms() } else { self.started_ms };
        let age = now_ms.saturating_sub(begun_ms) as f64 / self.policy.window_ms.max(1) as f64;
        let grown = (1.0 - BURST_PART) * age.min(1.0);
        if has_started || !self.has_predecessor { BURST_PART + grown } else { grown }
    }

    /// Returns what was counted in the window that ends now.
    ///
    /// ```
    /// use daisysill_core::retry_budget::{RetryBudgetPolicy, RetryBudget, WindowCounts};
    /// let policy = RetryBudgetPolicy { ratio: 0.2, window_ms: 10_000, slack: 1.0 };
    /// let mut budget = RetryBudget::new(policy, 0);
    /// budget.record_request(0);
    /// assert_eq!(budget.counts(0), WindowCounts { requests: 1, retries: 0 });
    /// ```
    pub fn counts(&self, now_ms: u64) -> WindowCounts {
        let present = self.number(now_ms);
        let window = (0..WINDOW_INTERVALS).map(|age| self.aged(present, age));
        window.fold(WindowCounts::default(), |counts, interval| WindowCounts {
            requests: counts.requests + interval.requests,
            retries: counts.retries + interval.retries,
        })
    }

    const fn number(&self, at_ms: u64) -> u64 {
        at_ms / self.policy.interval_ms()
    }

    /// Returns the interval that is `age` intervals older than `present`; an empty one if nothing was counted in it.
    fn aged(&self, present: u64, age: u64) -> Interval {
        let Some(number) = present.checked_sub(age) else { return Interval::default() };
        let interval = self.intervals[index(number)];
        if interval.number == number { interval } else { Interval::default() }
    }

    /// Returns the current interval, in place of the oldest one kept.
    fn current(&mut self, now_ms: u64) -> &mut Interval {
        let number = self.number(now_ms);
        let interval = &mut self.intervals[index(number)];
        if interval.number != number {
            *interval = Interval { number, ..Interval::default() };
        }
        interval
    }
}

/// Returns where the interval of a number is kept.
#[allow(clippy::cast_possible_truncation)]
const fn index(number: u64) -> usize {
    (number % KEPT_INTERVALS as u64) as usize
}

/// Counts the sends of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendCount(u32);

impl SendCount {
    /// Continues after `sent` sends of another node.
    pub const fn after(sent: u32) -> Self {
        Self(sent)
    }

    /// Begins a send.
    ///
    /// ```
    /// use daisysill_core::retry_budget::SendCount;
    /// let mut count = SendCount::default();
    /// count.begin();
    /// count.mark_unsent();
    /// assert!(!count.is_retry());
    /// count.begin();
    /// assert!(count.is_retry());
    /// ```
    pub fn begin(&mut self) {
        self.0 = self.0.saturating_add(1);
    }

    /// Records that the last send begun never left this node.
    pub fn mark_unsent(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// Records that there were `sent` sends in all, as another node states.
    pub fn raise_to(&mut self, sent: u32) {
        self.0 = self.0.max(sent);
    }

    /// Returns whether the next send is a retry.
    pub const fn is_retry(&self) -> bool {
        self.0 > 0
    }

    /// Returns how many sends may have reached an upstream.
    pub const fn sent(&self) -> u32 {
        self.0
    }
}
