//! This node's share of what all entry nodes share: the retry budget, and the connections and request rates that
//! upstreams accept.

use std::time::Duration;

use daisysill_core::{ids::ServiceName, result_code::ResultCode};

use crate::{
    caller_request::{AttemptHistory, CallerRequest},
    forward::Gateway,
    refusal::Refusal,
    refusal_rules::BUSY_RETRY_MS,
    retry_budgets::RetryPermit,
};

/// Time for which the highest number of entry nodes counts; longer than the span in which upstreams count requests against their
/// rate limits.
pub(crate) const NODE_PEAK_RETENTION: Duration = Duration::from_secs(20);
/// The same for the retry budget, longer than cuts of a zone and elections usually last: the nodes that are cut off go on to use
/// their shares.
pub(crate) const RETRY_NODE_PEAK_RETENTION: Duration = Duration::from_mins(10);
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
        self.entry_node_peak.record(self.entry_nodes())
    }

    /// Returns the number of entry nodes that share the slack of the retry budget; `None` while it is unknown.
    fn retry_nodes(&self) -> Option<u32> {
        let is_first_list = self.retries.is_first_start() && self.node_count_known_at.get().is_some();
        let is_known = is_first_list || self.is_node_count_known();
        is_known.then(|| self.retry_node_peak.record(self.entry_nodes()))
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

    /// Takes one retry from the budget of the request's service; `None` if it is exhausted.
    pub(crate) fn try_take_retry(&self, request: &CallerRequest) -> Option<RetryPermit> {
        let (service, nodes) = (&request.service, self.retry_nodes());
        let permit = self.retries.try_take(service, nodes);
        let counts = self.retries.counts(service);
        self.metrics.record_retry(permit.is_some());
        tracing::info!(
            event = "retry",
            request_id = request.headers.request_id.as_deref(),
            service = service.as_str(),
            is_taken = permit.is_some(),
            nodes,
            requests = counts.requests,
            retries = counts.retries,
        );
        permit
    }

    /// Returns whether the service's budget holds a retry.
    pub(crate) fn is_retry_left(&self, service: &ServiceName) -> bool {
        self.retries.is_left(service, self.retry_nodes())
    }
}

/// Returns the refusal of a request that needs a retry when the budget is exhausted.
pub(crate) fn retry_budget_refusal(history: &AttemptHistory) -> Refusal {
    let reason = format!("retry budget exhausted after {} sends", history.sends.sent());
    history.refusal(ResultCode::RetryBudgetExhausted, reason, BUSY_RETRY_MS)
}
