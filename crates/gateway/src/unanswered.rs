//! The outcome of requests whose caller leaves before the answer, or whose handler panics.

use std::{future::Future, panic::AssertUnwindSafe, rc::Rc, thread};

use daisysill_core::result_code::ResultCode;
use futures::FutureExt;
use tokio::time::Instant;

use crate::{duration::millis, forward::Gateway, refusal::Refusal};

/// Returns the outcome of a request or stream that is dropped now, before its end.
///
/// ```
/// assert_eq!(daisysill_gateway::unanswered::outcome_of_drop(), "caller_left");
/// ```
pub fn outcome_of_drop() -> &'static str {
    if thread::panicking() { "panicked" } else { "caller_left" }
}

/// Awaits an answer; a panic on the way becomes a refusal, since the caller's connection would end without one.
///
/// # Errors
/// Fails as the answer does, and with [`ResultCode::Internal`] if it panics.
pub async fn refuse_on_panic<T>(answer: impl Future<Output = Result<T, Refusal>>) -> Result<T, Refusal> {
    let answered = AssertUnwindSafe(answer).catch_unwind().await;
    answered.unwrap_or_else(|_| Err(Refusal::new(ResultCode::Internal, "the handler panicked")))
}

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
        let outcome = outcome_of_drop();
        self.gateway.metrics.in_flight.dec();
        self.gateway.metrics.record_result(outcome);
        tracing::info!(
            event = outcome,
            request_id = self.request_id,
            after_ms = millis(self.arrived.elapsed()),
        );
    }
}
