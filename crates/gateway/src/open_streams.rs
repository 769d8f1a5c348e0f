//! Streams on their way to callers, and how each of them ended.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
};

use crate::{caller_request::CallerRequest, duration::millis, forward::Gateway, unanswered::outcome_of_drop};

/// Lines logged for streams that are cut by the end of the process; further ones are counted in one line, since the queue of the
/// log holds only so many.
const MAX_CUT_LINES: usize = 500;
/// Outcome of a stream that arrived whole.
pub(crate) const COMPLETE: &str = "complete";
/// Outcome of a stream that is cut by the end of the process.
const PROCESS_ENDS: &str = "process_ends";

/// The streams of a node that have begun and not ended.
#[derive(Debug, Default)]
pub(crate) struct OpenStreams {
    streams: RefCell<HashMap<u64, Rc<StreamState>>>,
    begun: Cell<u64>,
}

#[derive(Debug)]
struct StreamState {
    request: Rc<CallerRequest>,
    relayed_bytes: Cell<u64>,
    /// Result that is counted once it is complete.
    result: &'static str,
}

/// A stream that has begun. Dropped before its end, it counts as left by its caller.
pub(crate) struct OpenStream {
    gateway: Rc<Gateway>,
    number: u64,
    state: Rc<StreamState>,
}

impl OpenStream {
    /// Records that a stream has begun; `result` is counted once it is complete.
    pub(crate) fn new(gateway: &Rc<Gateway>, request: &Rc<CallerRequest>, result: &'static str) -> Self {
        let streams = &gateway.open_streams;
        let number = streams.begun.get();
        streams.begun.set(number + 1);
        let state =
            Rc::new(StreamState { request: Rc::clone(request), relayed_bytes: Cell::default(), result });
        streams.streams.borrow_mut().insert(number, Rc::clone(&state));
        Self { gateway: Rc::clone(gateway), number, state }
    }

    /// Records bytes that were sent to the caller.
    pub(crate) fn record_bytes(&self, count: usize) {
        self.state.relayed_bytes.set(self.relayed_bytes() + count as u64);
    }

    /// Returns the number of bytes that were sent to the caller.
    pub(crate) fn relayed_bytes(&self) -> u64 {
        self.state.relayed_bytes.get()
    }

    /// Records the end of the stream, unless that was done before.
    pub(crate) fn end(&self, outcome: &'static str) {
        let ended = self.gateway.open_streams.streams.borrow_mut().remove(&self.number);
        if let Some(state) = ended {
            self.gateway.count_stream_end(&state, outcome);
            if outcome != COMPLETE {
                state.log_end(outcome);
            }
        }
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.end(outcome_of_drop());
    }
}

impl StreamState {
    fn log_end(&self, outcome: &'static str) {
        tracing::info!(
            event = "stream_ended",
            request_id = self.request.headers.request_id.as_deref(),
            outcome,
            bytes = self.relayed_bytes.get(),
            after_ms = millis(self.request.arrived.elapsed()),
        );
    }
}

impl Gateway {
    fn count_stream_end(&self, state: &StreamState, outcome: &'static str) {
        self.metrics.in_flight.dec();
        self.metrics.record_result(if outcome == COMPLETE { state.result } else { "stream_broken" });
        self.metrics.record_stream_end(outcome);
    }

    /// Records the end of all streams in progress, right before the process exits.
    pub(crate) fn end_open_streams(&self) {
        let open = self.open_streams.streams.take();
        for state in open.values() {
            self.count_stream_end(state, PROCESS_ENDS);
        }
        for state in open.values().take(MAX_CUT_LINES) {
            state.log_end(PROCESS_ENDS);
        }
        if open.len() > MAX_CUT_LINES {
            tracing::info!(
                event = "streams_ended",
                outcome = PROCESS_ENDS,
                further = open.len() - MAX_CUT_LINES
            );
        }
    }
}
