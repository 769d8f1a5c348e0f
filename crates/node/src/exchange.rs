//! One request to an engine, from its start until its stream ends or another engine has taken the prompt over.

use std::rc::Rc;

use daisysill_core::{block::BlockName, ids::InstanceId};
use daisysill_wire::http_types::{EngineEvent, EngineRequest};
use futures::{FutureExt, StreamExt, future::LocalBoxFuture};
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
    ) -> Self {
        let id = Some(request.attempt_id.clone());
        let cancel = CancelOnDrop { engine: Rc::clone(&engine), url: assignment.url.clone(), id };
        let (url, sent) = (assignment.url.clone(), request.clone());
        let traceparent = span.traceparent().to_owned();
        let pending = async move { engine.generate(&url, &sent, &traceparent).await };
        Self {
            assignment,
            request,
            piece_names,
            was_silent: false,
            response: Response::Pending(pending.boxed_local()),
            span,
            cancel: Some(cancel),
        }
    }

    /// The upstream that runs the request.
    pub(crate) const fn upstream(&self) -> &InstanceId {
        &self.assignment.decision.upstream
    }

    /// Waits for the head of the response, and returns the events.
    ///
    /// # Errors
    /// `Silent` if the head does not arrive before `limit`; it can still be awaited then.
    pub(crate) async fn events(&mut self, limit: Instant) -> AttemptResult<&mut EngineStream> {
        if let Response::Pending(pending) = &mut self.response {
            let opened = timeout_at(limit, pending).await.map_err(|_| AttemptError::Silent)?;
            self.response = Response::Open(opened?);
        }
        match &mut self.response {
            Response::Open(events) => Ok(events),
            Response::Pending(_) => Err(AttemptError::Silent),
        }
    }

    /// Returns the next event, which may belong to another attempt.
    ///
    /// # Errors
    /// `Silent` if none arrives before `limit`; it can still be awaited then.
    pub(crate) async fn next_event(&mut self, limit: Instant) -> AttemptResult<EngineEvent> {
        let events = self.events(limit).await?;
        let event = timeout_at(limit, events.next()).await.map_err(|_| AttemptError::Silent)?;
        event.unwrap_or_else(|| Err(AttemptError::Failed("the stream ended early".to_owned())))
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
