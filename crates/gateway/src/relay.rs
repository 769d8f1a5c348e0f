//! Relays a stream of events to its caller. If the stream breaks, resumes it at another upstream where the route allows
//! it.

mod resume;

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use daisysill_core::memory_budget::MemoryReservation;
use futures::stream::{Stream, unfold};
use tokio::time::{Instant, timeout_at};

use crate::{
    body_buffer::BufferError,
    caller_request::{AttemptHistory, CallerRequest},
    duration::millis,
    event_pace::EventPace,
    exchange::UpstreamResponse,
    forward::Gateway,
    http_head::{Framing, ResponseHead},
    open_streams::{COMPLETE, OpenStream},
    passing::Passing,
    silence::PLACE_CHECK_INTERVAL,
};

/// A resumable stream leaves its upstream, if another one can go on with it, after a time without an event of this many
/// times the route's goal for the gap between events.
const SILENCE_GAPS: u32 = 3;
/// The least such time; a sound upstream may be silent for about a second.
const MIN_SILENCE: Duration = Duration::from_millis(1_500);
/// Goal for the gap between events on routes that set none.
const DEFAULT_GAP_GOAL: Duration = Duration::from_millis(500);

/// Reason logged for an upstream that sent no event for too long.
const SILENT: &str = "silent";
/// Reason logged for a body that ended inside an event.
const INSIDE_EVENT: &str = "inside_event";
/// Reason logged for a body that is missing.
const NO_BODY: &str = "no_body";
/// Reason logged for a resumed body without an event, of a stream that broke off inside one.
const NO_EVENT: &str = "no_event";

/// Error of a stream that ended before its last event; it closes the connection to the caller.
#[derive(Debug)]
pub(crate) struct StreamBroken;

impl std::fmt::Display for StreamBroken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stream broke before its end")
    }
}

impl std::error::Error for StreamBroken {}

struct Relay {
    gateway: Rc<Gateway>,
    request: Rc<CallerRequest>,
    response: Option<UpstreamResponse>,
    /// The head that the caller got, which is that of the first response.
    first_head: ResponseHead,
    passing: Passing,
    pace: EventPace,
    /// The memory of bytes that may not be relayed yet.
    memory: MemoryReservation,
    /// Whether the last run broke off inside an event, so that the next one must bring an event.
    is_event_due: bool,
    history: AttemptHistory,
    /// Whether the present response has brought a byte of its body.
    has_body: bool,
    record: OpenStream,
    started: Instant,
    /// When bytes were last relayed. Of a resumable stream these are complete events, so that an upstream that sends a
    /// byte now and then does not count as active.
    progressed_at: Instant,
    /// When a place at another upstream was last looked for since then; `None` if the upstream was not silent for long.
    checked_at: Option<Instant>,
    is_done: bool,
}

/// Result of one read from the upstream.
enum ReadOutcome {
    Bytes(Bytes),
    End,
    /// No event has come for so long that the stream leaves the upstream if it can.
    Silent,
    /// With the reason, as logged in `stream_resumed` and `stream_ended`.
    Broken(&'static str),
}

/// Returns the body of the response to the caller. `history` holds the attempts made so far.
pub(crate) fn relay(
    gateway: Rc<Gateway>,
    request: Rc<CallerRequest>,
    response: UpstreamResponse,
    history: AttemptHistory,
) -> impl Stream<Item = Result<Bytes, StreamBroken>> {
    let relay = Relay {
        passing: Passing::new(&request, &response.head),
        pace: EventPace::default(),
        memory: gateway.memory.reservation(),
        first_head: response.head.clone(),
        is_event_due: false,
        record: OpenStream::new(&gateway, &request, "relayed"),
        gateway,
        request,
        response: Some(response),
        history,
        has_body: false,
        started: Instant::now(),
        progressed_at: Instant::now(),
        checked_at: None,
        is_done: false,
    };
    unfold(relay, |mut relay| async move {
        let item = relay.next().await?;
        Some((item, relay))
    })
}

impl Relay {
    async fn next(&mut self) -> Option<Result<Bytes, StreamBroken>> {
        if self.is_done {
            return None;
        }
        loop {
            match self.read().await {
                ReadOutcome::Bytes(bytes) => {
                    self.has_body = true;
                    let had_event_id = self.passing.has_event_id();
                    let Some(bytes) = self.passing.push(bytes) else {
                        return Some(Err(self.fail_unkept(BufferError::TooLarge)));
                    };
                    if !self.memory.try_resize(self.passing.pending_bytes()) {
                        return Some(Err(self.fail_unkept(BufferError::NoMemory)));
                    }
                    if !bytes.is_empty() {
                        if !had_event_id && self.passing.has_event_id() {
                            self.record_origin();
                        }
                        self.is_event_due = false;
                        self.record_progress();
                        self.record.record_bytes(bytes.len());
                        return Some(Ok(bytes));
                    }
                }
                ReadOutcome::Silent => {
                    if let Some(place) = self.take_next_upstream()
                        && !self.move_to(place).await
                    {
                        return Some(Err(self.fail(SILENT)));
                    }
                }
                ReadOutcome::End if self.ended_inside_event() => {
                    if !self.resume(INSIDE_EVENT).await {
                        return Some(Err(self.fail(INSIDE_EVENT)));
                    }
                }
                ReadOutcome::End if self.lacks_body() => {
                    if !self.resume(NO_BODY).await {
                        return Some(Err(self.fail(NO_BODY)));
                    }
                }
                ReadOutcome::End if self.is_event_due => return Some(Err(self.fail(NO_EVENT))),
                ReadOutcome::End => return self.finish(),
                ReadOutcome::Broken(reason) => {
                    if !self.resume(reason).await {
                        return Some(Err(self.fail(reason)));
                    }
                }
            }
        }
    }

    /// Remembers where the stream began, right before its first event is relayed.
    fn record_origin(&self) {
        if let Some(response) = &self.response
            && self.request.headers.resume_after.is_none()
        {
            self.gateway.record_stream_origin(&self.request, response);
        }
    }

    /// Returns whether the body ended inside an event: the upstream broke off, whatever the framing says. Logs such a
    /// body, and one that only the end of its connection delimits.
    fn ended_inside_event(&self) -> bool {
        let Some(response) = &self.response else { return false };
        let (framing, upstream) = (response.head.framing, &response.in_flight.upstream);
        let is_inside_event = self.passing.is_inside_event();
        self.gateway.metrics.record_stream_body(framing, is_inside_event);
        if is_inside_event || framing == Framing::UntilClose {
            tracing::info!(
                event = "stream_body_ended",
                request_id = self.request.headers.request_id.as_deref(),
                upstream = upstream.entry.id.as_str(),
                framing = framing.name(),
                is_inside_event,
                bytes = self.record.relayed_bytes(),
            );
        }
        if is_inside_event {
            self.gateway.check_for_crash(&self.request, upstream);
        }
        is_inside_event
    }

    /// Returns whether the body ended without a byte, though only the end of its connection delimits it: the upstream stopped
    /// right after the head.
    fn lacks_body(&self) -> bool {
        let Some(response) = &self.response else { return false };
        let lacks_body = !self.has_body && response.head.promises_body();
        if lacks_body {
            self.gateway.check_for_crash(&self.request, &response.in_flight.upstream);
        }
        lacks_body
    }

    /// Records that events were relayed, or that another upstream goes on with the stream.
    fn record_progress(&mut self) {
        if self.checked_at.take().is_some() {
            tracing::info!(
                event = "silence_ended",
                request_id = self.request.headers.request_id.as_deref(),
                silent_ms = millis(self.progressed_at.elapsed()),
            );
        }
        self.progressed_at = Instant::now();
    }

    /// Reads from the upstream until the request's deadline or, if the stream may be resumed elsewhere, until no event
    /// has come for too long.
    async fn read(&mut self) -> ReadOutcome {
        let may_resume = self.may_resume();
        self.pace.record_read(Instant::now());
        let Some(response) = &mut self.response else { return ReadOutcome::Broken("no_upstream") };
        let Ok(connection) = response.pooled.get() else { return ReadOutcome::Broken("no_connection") };
        let gap = self.request.route.event_gap_goal_ms.map_or(DEFAULT_GAP_GOAL, Duration::from_millis);
        let check_at = match self.checked_at {
            Some(checked_at) => checked_at + PLACE_CHECK_INTERVAL,
            None => self.progressed_at + MIN_SILENCE.max(gap * SILENCE_GAPS),
        };
        let limit = if may_resume { self.request.deadline.min(check_at) } else { self.request.deadline };
        match timeout_at(limit, connection.read_body()).await {
            Ok(Ok(Some(bytes))) => {
                let upstream = &response.in_flight.upstream;
                upstream.record_activity();
                if let Some(gap) = self.pace.record_bytes(upstream.tag, &bytes, Instant::now()) {
                    self.gateway.record_event_gap(&self.request, upstream, gap);
                }
                ReadOutcome::Bytes(bytes)
            }
            Ok(Ok(None)) => ReadOutcome::End,
            Ok(Err(_)) => {
                self.gateway.check_for_crash(&self.request, &response.in_flight.upstream);
                ReadOutcome::Broken("upstream_broke")
            }
            Err(_) if Instant::now() >= self.request.deadline => ReadOutcome::Broken("deadline"),
            Err(_) => ReadOutcome::Silent,
        }
    }

    fn finish(&mut self) -> Option<Result<Bytes, StreamBroken>> {
        self.is_done = true;
        let rest = self.passing.finish();
        if let Some(response) = self.response.take() {
            response.in_flight.upstream.record_success();
            self.gateway.record_completion(&self.request, &self.history);
            let upstream = &response.in_flight.upstream;
            self.gateway.check_for_crash_after_answer(&self.request, &self.history, upstream);
            self.gateway.record_duration(&self.request, self.started.elapsed());
            self.gateway.record_output(&self.request, self.pace.events());
            response.pooled.release();
        }
        self.record.end(COMPLETE);
        (!rest.is_empty()).then_some(Ok(rest))
    }

    /// Ends the stream since an event of it is not kept.
    fn fail_unkept(&mut self, error: BufferError) -> StreamBroken {
        self.gateway.metrics.record_dropped_body(error);
        self.fail(match error {
            BufferError::TooLarge => "event_too_large",
            BufferError::NoMemory => "no_memory",
        })
    }

    fn fail(&mut self, reason: &'static str) -> StreamBroken {
        self.is_done = true;
        if let Some(response) = self.response.take() {
            response.in_flight.upstream.record_failure();
        }
        self.record.end(reason);
        StreamBroken
    }
}
