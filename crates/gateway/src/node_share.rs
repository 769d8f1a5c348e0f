//! This node's share of what all entry nodes share: the retry budget, and the connections and request rates that
//! upstreams accept.

use std::time::Duration;

use daisysill_core::{ids::ServiceName, result_code::ResultCode, retry_budget::RetryBudget};
use tokio::time::Instant;

use crate::{
    caller_request::{AttemptHistory, CallerRequest},
    forward::Gateway,
    refusal::Refusal,
    refusal_rules::BUSY_RETRY_MS,
};

/// Time for which the highest number of entry nodes counts; longer than the window of the retry budget and than the span
/// in which upstreams count requests against their rate limits.
const NODE_PEAK_WINDOW: Duration = Duration::from_secs(20);
/// Share of the configured connections that the entry nodes use; the rest is left to other clients.
const CONNECTION_SHARE: f64 = 0.9;

impl Gateway {
    /// Returns the number of entry nodes that the leader published; at least 1.
    pub(crate) fn entry_nodes(&self) -> u32 {
        self.cluster.published_upstreams().borrow().entry_nodes.max(1)
    }

    /// Returns the highest recent number of entry nodes. A new leader knows only few at first, and with its number each
    /// entry node would take more than its share.
    pub(crate) fn peak_entry_nodes(&self) -> u32 {
        let (known, at) = self.entry_node_peak.get();
        let present = self.entry_nodes();
        if present >= known || at.elapsed() >= NODE_PEAK_WINDOW {
            self.entry_node_peak.set((present, Instant::now()));
            return present;
        }
        known
    }

    /// Returns this node's share of the connections that an upstream of the service accepts; at least 2.
    pub(crate) fn max_connections(&self, service: &ServiceName) -> usize {
        let table = self.routing.table();
        let accepted =
            table.as_ref().and_then(|table| table.service(service)).map_or(1, |s| s.max_connections);
        let share = f64::from(accepted) * CONNECTION_SHARE / f64::from(self.entry_nodes());
        // Rounded down to whole connections.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let share = share as usize;
        share.max(2)
    }

    /// Takes one retry from the budget of the request's service; `false` if it is exhausted.
    pub(crate) fn try_take_retry(&self, request: &CallerRequest) -> bool {
        let (service, nodes) = (&request.service, self.peak_entry_nodes());
        let (is_taken, counts) = self
            .with_budget(service, |budget, now_ms| (budget.try_take(now_ms, nodes), budget.counts(now_ms)));
        self.metrics.record_retry(is_taken);
        tracing::info!(
            event = "retry",
            request_id = request.headers.request_id.as_deref(),
            service = service.as_str(),
            is_taken,
            nodes,
            first_sends = counts.first_sends,
            retries = counts.retries,
        );
        is_taken
    }

    /// Returns whether the service's budget holds a retry.
    pub(crate) fn is_retry_left(&self, service: &ServiceName) -> bool {
        let nodes = self.peak_entry_nodes();
        self.with_budget(service, |budget, now_ms| budget.is_left(now_ms, nodes))
    }

    /// Calls `act` with the retry budget of a service and the current time in ms.
    pub(crate) fn with_budget<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut RetryBudget, u64) -> T,
    ) -> T {
        let now_ms = self.now_ms();
        let mut budgets = self.budgets.borrow_mut();
        let policy = self.bounds.retry_budget;
        act(budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(policy)), now_ms)
    }
}

/// Returns the refusal of a request that needs a retry when the budget is exhausted.
pub(crate) fn retry_budget_refusal(history: &AttemptHistory) -> Refusal {
    let reason = format!("retry budget exhausted after {} sends", history.sends.sent());
    history.refusal(ResultCode::RetryBudgetExhausted, reason, BUSY_RETRY_MS)
}
