//! This node's part of what all entry nodes share: the budget of repeats and the connections of upstreams.

use std::time::Duration;

use daisysill_core::{ids::ServiceName, result_code::ResultCode, retry_budget::RetryBudget};
use tokio::time::Instant;

use crate::{
    caller_request::Progress,
    forward::{BUSY_RETRY_MS, Gateway},
    refusal::Refusal,
};

/// The most entry nodes known are remembered for this time; longer than a window of the budget.
const NODE_PEAK_MEMORY: Duration = Duration::from_secs(20);
/// A share of the configured connections that is left to other callers.
const CONNECTION_SHARE: f64 = 0.9;

impl Gateway {
    /// Returns how many entry nodes there are, as far as known.
    pub(crate) fn entry_nodes(&self) -> u32 {
        self.cluster.published_upstreams().borrow().entry_nodes.max(1)
    }

    /// Returns the most entry nodes that were known lately. A new leader has heard of few at first, and each would
    /// take more than its share of the budget.
    fn most_entry_nodes(&self) -> u32 {
        let (known, at) = self.node_peak.get();
        let present = self.entry_nodes();
        if present >= known || at.elapsed() >= NODE_PEAK_MEMORY {
            self.node_peak.set((present, Instant::now()));
            return present;
        }
        known
    }

    /// Returns this node's share of the connections that an upstream accepts.
    pub(crate) fn max_connections(&self, service: &ServiceName) -> usize {
        let table = self.routing.table();
        let accepted =
            table.as_ref().and_then(|table| table.service(service)).map_or(1, |s| s.max_connections);
        let share = f64::from(accepted) * CONNECTION_SHARE / f64::from(self.entry_nodes());
        // Truncated on purpose: a fraction of a connection is none.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let share = share as usize;
        share.max(2)
    }

    /// Takes one repeat from the budget; `false` if it is used up.
    pub(crate) fn take_repeat(&self, service: &ServiceName) -> bool {
        let nodes = self.most_entry_nodes();
        self.with_budget(service, |budget, now_ms| budget.try_take(now_ms, nodes))
    }

    /// Acts on the budget of a service.
    pub(crate) fn with_budget<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut RetryBudget, u64) -> T,
    ) -> T {
        let now_ms = self.now_ms();
        let mut budgets = self.budgets.borrow_mut();
        let terms = self.bounds.repeats;
        act(budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(terms)), now_ms)
    }
}

/// Returns the refusal of a request that has no repeat left.
pub(crate) fn out_of_budget(progress: &Progress) -> Refusal {
    let reason = format!("no repeats left after {} sends", progress.sends.sent());
    if progress.may_have_run > 0 {
        return Refusal::new(ResultCode::RetryBudgetExhausted, reason);
    }
    Refusal::not_run(ResultCode::RetryBudgetExhausted, reason, BUSY_RETRY_MS)
}
