//! The outcome of requests whose caller leaves before the answer.

use std::rc::Rc;

use tokio::time::Instant;

use crate::{duration::millis, forward::Gateway};

/// A request in progress whose answer has not begun. The server drops it when its caller disconnects; the request is
/// then counted and logged.
pub(crate) struct UnansweredRequest<'a> {
    gateway: Rc<Gateway>,
    request_id: Option<&'a str>,
    arrived: Instant,
    is_answered: bool,
}

impl<'a> UnansweredRequest<'a> {
    /// Counts the request as in progress.
    pub(crate) fn new(gateway: &Rc<Gateway>, request_id: Option<&'a str>, arrived: Instant) -> Self {
        gateway.metrics.in_flight.inc();
        Self { gateway: Rc::clone(gateway), request_id, arrived, is_answered: false }
    }

    /// Leaves it to the answer to count the outcome, and the end of the request.
    pub(crate) fn answered(mut self) {
        self.is_answered = true;
    }
}

impl Drop for UnansweredRequest<'_> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        self.gateway.metrics.in_flight.dec();
        self.gateway.metrics.record_result("caller_left");
        tracing::info!(
            event = "caller_left",
            request_id = self.request_id,
            after_ms = millis(self.arrived.elapsed()),
        );
    }
}
