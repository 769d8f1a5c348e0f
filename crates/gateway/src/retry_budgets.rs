//! The retry budgets of this node, one for each service, and the permission to send a request once more.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
};

use daisysill_core::{
    ids::ServiceName,
    retry_budget::{RetryBudget, RetryBudgetPolicy, WindowCounts},
};

use crate::process_clock::ProcessClock;

/// The budgets of all services on this node, which begin with its process.
#[derive(Debug)]
pub struct RetryBudgets {
    policy: RetryBudgetPolicy,
    clock: Rc<ProcessClock>,
    is_first_start: Cell<bool>,
    budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
}

impl RetryBudgets {
    /// Starts with nothing counted.
    pub fn new(policy: RetryBudgetPolicy, clock: Rc<ProcessClock>) -> Self {
        Self { policy, clock, is_first_start: Cell::default(), budgets: RefCell::default() }
    }

    /// Records that the whole system starts for the first time: no earlier process of this node has taken retries.
    pub fn record_first_start(&self) {
        self.is_first_start.set(true);
    }

    pub(crate) fn is_first_start(&self) -> bool {
        self.is_first_start.get()
    }

    /// Counts a request of a caller of this node.
    pub fn record_request(&self, service: &ServiceName) {
        self.with(service, RetryBudget::record_request);
    }

    /// Returns whether a retry is left for the service. `nodes` is the number of entry nodes, `None` if it is unknown.
    pub fn is_left(&self, service: &ServiceName, nodes: Option<u32>) -> bool {
        self.with(service, |budget, now_ms| budget.is_left(now_ms, nodes))
    }

    /// Takes a retry; `None` if none is left.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap().block_on(async {
    /// use std::{rc::Rc, time::Duration};
    /// use daisysill_core::retry_budget::RetryBudgetPolicy;
    /// use daisysill_gateway::retry_budgets::RetryBudgets;
    /// let policy = RetryBudgetPolicy { ratio: 0.2, window_ms: 1_000, slack: 4.0 };
    /// let budgets = Rc::new(RetryBudgets::new(policy, Rc::default()));
    /// let service = "lyric-llm".into();
    /// assert!(budgets.try_take(&service, Some(1)).is_none());
    /// tokio::time::advance(Duration::from_millis(500)).await;
    /// let permit = budgets.try_take(&service, Some(1)).unwrap();
    /// assert!(!budgets.is_left(&service, Some(1)));
    /// drop(permit);
    /// assert!(budgets.is_left(&service, Some(1)));
    /// # });
    /// ```
    pub fn try_take(self: &Rc<Self>, service: &ServiceName, nodes: Option<u32>) -> Option<RetryPermit> {
        let taken_ms = self.try_take_at(service, nodes)?;
        Some(RetryPermit(Some(TakenRetry {
            budgets: Rc::clone(self),
            service: service.clone(),
            nodes,
            taken_ms: Cell::new(Some(taken_ms)),
        })))
    }

    /// Returns what was counted for the service in the window that ends now.
    pub fn counts(&self, service: &ServiceName) -> WindowCounts {
        self.with(service, |budget, now_ms| budget.counts(now_ms))
    }

    /// Takes a retry and returns when it was taken.
    fn try_take_at(&self, service: &ServiceName, nodes: Option<u32>) -> Option<u64> {
        self.with(service, |budget, now_ms| budget.try_take(now_ms, nodes).then_some(now_ms))
    }

    /// Calls `act` with the budget of a service and the current time in ms.
    fn with<T>(&self, service: &ServiceName, act: impl FnOnce(&mut RetryBudget, u64) -> T) -> T {
        let now_ms = self.clock.now_ms();
        let mut budgets = self.budgets.borrow_mut();
        let start = if self.is_first_start.get() { RetryBudget::first } else { RetryBudget::new };
        let budget = budgets.entry(service.clone()).or_insert_with(|| start(self.policy, 0));
        if let Some(interrupted_ms) = self.clock.interrupted_ms() {
            budget.restart(interrupted_ms);
        }
        act(budget, now_ms)
    }
}

/// The permission to send a request: free for the first send, a retry of the budget for each further one. A retry that is not
/// used goes back to the budget.
#[derive(Debug, Default)]
pub struct RetryPermit(Option<TakenRetry>);

#[derive(Debug)]
struct TakenRetry {
    budgets: Rc<RetryBudgets>,
    service: ServiceName,
    nodes: Option<u32>,
    /// When it was taken; `None` once it was used.
    taken_ms: Cell<Option<u64>>,
}

impl RetryPermit {
    /// Returns whether the request may be sent now, and uses the permit. One that was taken a while ago, as before the process
    /// was suspended, would count in the wrong window; it is exchanged for a new one.
    pub fn try_use(&self) -> bool {
        let Some(retry) = &self.0 else { return true };
        let Some(taken_ms) = retry.taken_ms.take() else { return false };
        let interval_ms = retry.budgets.policy.interval_ms();
        if retry.budgets.clock.now_ms().saturating_sub(taken_ms) <= interval_ms {
            return true;
        }
        retry.give_back(taken_ms);
        retry.budgets.try_take_at(&retry.service, retry.nodes).is_some()
    }
}

impl TakenRetry {
    fn give_back(&self, taken_ms: u64) {
        self.budgets.with(&self.service, |budget, _| budget.give_back(taken_ms));
    }
}

impl Drop for TakenRetry {
    fn drop(&mut self) {
        if let Some(taken_ms) = self.taken_ms.take() {
            self.give_back(taken_ms);
        }
    }
}
