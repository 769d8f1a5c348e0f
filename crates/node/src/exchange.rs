//! One request to an engine, from its start until its stream ends or another engine has taken the prompt over.

use std::rc::Rc;

use daisysill_core::{block::BlockName, ids::InstanceId};
use daisysill_wire::http_types::{EngineEvent, EngineRequest};
use futures::{
    FutureExt, StreamExt,
    future::{LocalBoxFuture, pending},
};
use prometheus_client::metrics::counter::Counter;
use tokio::time::{Instant, timeout_at};

use crate::{
    assignment::Assignment,
    restore::CancelOnDrop,
    trace::TraceSpan,
    upstream_api::{AttemptError, AttemptResult, Engine, EngineStream},
};

/// Where the upstream's response is.
enum Response {
    /// Its head has not arrived.
    Pending(LocalBoxFuture<'static, AttemptResult<EngineStream>>),
    /// Its events arrive.
    Open(EngineStream),
}

/// One request to an engine; dropping it cancels the work at the engine unless it is complete.
pub(crate) struct Exchange {
    pub(crate) assignment: Assignment,
    pub(crate) request: EngineRequest,
    /// Names of the prompt's complete pieces.
    pub(crate) piece_names: Vec<BlockName>,
    /// Whether it went without progress for a progress timeout before.
    pub(crate) was_silent: bool,
    response: Response,
    /// What was read last, if it has not been returned.
    arrived: Option<AttemptResult<EngineEvent>>,
    /// Counts the events that belong to another attempt or to an earlier token.
    stray_events: Counter,
    span: TraceSpan,
    cancel: Option<CancelOnDrop>,
}

impl Exchange {
    /// Prepares the exchange; the request is sent when the response is first awaited.
    pub(crate) fn new(
        engine: Rc<dyn Engine>,
        assignment: Assignment,
        request: EngineRequest,
        piece_names: Vec<BlockName>,
        span: TraceSpan,
        stray_events: Counter,
    ) -> Self {
        let id = Some(request.attempt_id.clone());
        let cancel = CancelOnDrop { engine: Rc::clone(&engine), url: assignment.url.clone(), id };
        let (url, sent) = (assignment.url.clone(), request.clone());
        let traceparent = span.traceparent().to_owned();
        let head = async move { engine.generate(&url, &sent, &traceparent).await };
        Self {
            assignment,
            request,
            piece_names,
            was_silent: false,
            response: Response::Pending(head.boxed_local()),
            arrived: None,
            stray_events,
            span,
            cancel: Some(cancel),
        }
    }

    /// The upstream that runs the request.
    pub(crate) const fn upstream(&self) -> &InstanceId {
        &self.assignment.decision.upstream
    }

    /// Returns whether the upstream accepted the request, that is, whether the head of its response has arrived.
    pub(crate) const fn is_accepted(&self) -> bool {
        matches!(self.response, Response::Open(_))
    }

    /// Returns whether an error was read that [`Self::next_token`] has not returned yet.
    pub(crate) const fn has_failed(&self) -> bool {
        matches!(self.arrived, Some(Err(_)))
    }

    /// Returns the event with the token at `index`.
    ///
    /// Events of other attempts and of earlier tokens are dropped and do not extend `limit`.
    ///
    /// # Errors
    /// `Silent` if it does not arrive before `limit`; it can still be awaited then.
    pub(crate) async fn next_token(&mut self, index: u64, limit: Instant) -> AttemptResult<EngineEvent> {
        timeout_at(limit, self.arrival(index)).await.map_err(|_| AttemptError::Silent)?;
        self.arrived.take().unwrap_or(Err(AttemptError::Silent))
    }

    /// Waits until the token at `index` has arrived, or the response has failed; [`Self::next_token`] returns either.
    pub(crate) async fn arrival(&mut self, index: u64) {
        if self.arrived.is_none() {
            self.arrived = Some(self.read_token(index).await);
        }
    }

    /// Waits until the token at `index` has arrived; does not end if the response has failed.
    pub(crate) async fn progress(&mut self, index: u64) {
        self.arrival(index).await;
        if self.has_failed() {
            pending::<()>().await;
        }
    }

    async fn read_token(&mut self, index: u64) -> AttemptResult<EngineEvent> {
        loop {
            let event = self.read_event().await?;
            if event.attempt_id != self.request.attempt_id || event.token_index < index {
                self.stray_events.inc();
                continue;
            }
            if event.token_index > index {
                return Err(AttemptError::Failed("the stream skipped a token".to_owned()));
            }
            return Ok(event);
        }
    }

    /// Returns the next event, which may belong to another attempt.
    async fn read_event(&mut self) -> AttemptResult<EngineEvent> {
        loop {
            match &mut self.response {
                Response::Pending(head) => self.response = Response::Open(head.await?),
                Response::Open(events) => {
                    let ended = || Err(AttemptError::Failed("the stream ended early".to_owned()));
                    return events.next().await.unwrap_or_else(ended);
                }
            }
        }
    }

    /// Ends the exchange after the last event.
    pub(crate) fn finish(mut self) {
        if let Some(cancel) = &mut self.cancel {
            cancel.id = None;
        }
        if let Some(run) = self.assignment.run.take() {
            run.finished();
        }
    }

    /// Cancels the work after an error; what did not run needs no cancellation, and leaves the estimate of the queue.
    pub(crate) fn fail(&mut self, error: &AttemptError) {
        self.span.set("error", error.to_string());
        let guard = self.assignment.guard.take();
        let cancel = self.cancel.take();
        if error.is_not_run() {
            if let Some(mut cancel) = cancel {
                cancel.id = None;
            }
            if let Some(guard) = guard {
                guard.retract();
            }
        }
    }
}
