//! Relays a stream of events to its caller, and goes on at another upstream where the route allows it.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use daisysill_core::routing::CallKind;
use futures::stream::{Stream, unfold};
use tokio::time::{Instant, timeout_at};

use crate::{
    caller_request::{Call, Progress},
    event_stream::EventSplitter,
    exchange::Answer,
    forward::Gateway,
};

/// A stream that may be resumed elsewhere is given up at its upstream after a pause of this many times the longest
/// pause that is on time.
const SILENT_GAPS: u32 = 3;
/// The same for routes that name no such pause.
const DEFAULT_GAP: Duration = Duration::from_millis(500);

/// Why a stream ended before its last event. The connection to the caller is then closed.
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
    call: Rc<Call>,
    answer: Option<Answer>,
    splitter: Option<EventSplitter>,
    progress: Progress,
    events_bytes: u64,
    started: Instant,
    is_done: bool,
}

/// What one read gave.
enum Step {
    Bytes(Bytes),
    End,
    Broken(&'static str),
}

/// Returns the body of the response to the caller.
pub(crate) fn relay(
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    answer: Answer,
    progress: Progress,
) -> impl Stream<Item = Result<Bytes, StreamBroken>> {
    let resumable = matches!(call.route.kind, CallKind::Stream { resumable: true });
    let splitter = resumable.then(|| EventSplitter::after(call.headers.resume_after.clone()));
    let relay = Relay {
        gateway,
        call,
        answer: Some(answer),
        splitter,
        progress,
        events_bytes: 0,
        started: Instant::now(),
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
                Step::Bytes(bytes) => {
                    let Some(bytes) = self.whole_events(bytes) else {
                        return Some(Err(self.fail("event_too_large")));
                    };
                    if !bytes.is_empty() {
                        self.events_bytes += bytes.len() as u64;
                        return Some(Ok(bytes));
                    }
                }
                Step::End => return self.finish(),
                Step::Broken(reason) => {
                    if !self.resume(reason).await {
                        return Some(Err(self.fail(reason)));
                    }
                }
            }
        }
    }

    /// Reads from the upstream, no longer than the caller's deadline and, if another upstream can go on, no
    /// longer than a pause that is far too long.
    async fn read(&mut self) -> Step {
        let may_resume = self.may_resume();
        let Some(answer) = &mut self.answer else { return Step::Broken("no_upstream") };
        let Ok(connection) = answer.lent.get() else { return Step::Broken("no_connection") };
        let gap = self.call.route.event_gap_goal_ms.map_or(DEFAULT_GAP, Duration::from_millis);
        let silence = Instant::now() + gap * SILENT_GAPS;
        let limit = if may_resume { self.call.deadline.min(silence) } else { self.call.deadline };
        match timeout_at(limit, connection.read_body()).await {
            Ok(Ok(Some(bytes))) => {
                answer.in_flight.upstream.heard();
                Step::Bytes(bytes)
            }
            Ok(Ok(None)) => Step::End,
            Ok(Err(_)) => {
                self.gateway.check_for_crash(&self.call, &answer.in_flight.upstream);
                Step::Broken("upstream_broke")
            }
            Err(_) if Instant::now() >= self.call.deadline => Step::Broken("deadline"),
            Err(_) => Step::Broken("silent"),
        }
    }

    fn whole_events(&mut self, bytes: Bytes) -> Option<Bytes> {
        match &mut self.splitter {
            Some(splitter) => splitter.push(&bytes),
            None => Some(bytes),
        }
    }

    fn may_resume(&self) -> bool {
        // The upstream that runs the request now is one of those that it may be sent to.
        let used = self.progress.may_have_run + u32::from(self.answer.is_some());
        self.splitter.is_some()
            && used < self.call.route.max_attempts
            && self.call.time_left() > Duration::ZERO
    }

    /// Goes on after the last whole event at another upstream.
    async fn resume(&mut self, reason: &'static str) -> bool {
        let Some(answer) = self.answer.take() else { return false };
        self.progress.may_have_run += 1;
        answer.in_flight.upstream.failed();
        self.progress.tried.push(answer.in_flight.upstream.entry.id.clone());
        // Closes the connection, so that the upstream stops.
        drop(answer);
        if !self.may_resume() {
            return false;
        }
        let Some(splitter) = &mut self.splitter else { return false };
        splitter.drop_pending();
        let after = splitter.last_id().map(str::to_owned);
        let resumed = self.gateway.send(&self.call, &mut self.progress, after.as_deref()).await;
        tracing::info!(
            event = "stream_resumed",
            request_id = self.call.headers.request_id.as_deref(),
            reason,
            after,
            outcome = resumed.as_ref().map_or_else(|refusal| refusal.code.name(), |_| "resumed"),
        );
        match resumed {
            Ok(answer) if answer.head.status.is_success() => {
                self.answer = Some(answer);
                true
            }
            Ok(_) | Err(_) => false,
        }
    }

    fn finish(&mut self) -> Option<Result<Bytes, StreamBroken>> {
        self.is_done = true;
        let rest = self.splitter.as_mut().map(EventSplitter::finish).filter(|rest| !rest.is_empty());
        if let Some(answer) = self.answer.take() {
            answer.in_flight.upstream.succeeded();
            self.gateway.note_finished(&self.call, self.started.elapsed());
            answer.lent.give_back();
        }
        self.gateway.stream_ended(&self.call, "complete", self.events_bytes);
        rest.map(Ok)
    }

    fn fail(&mut self, reason: &'static str) -> StreamBroken {
        self.is_done = true;
        if let Some(answer) = self.answer.take() {
            answer.in_flight.upstream.failed();
        }
        self.gateway.stream_ended(&self.call, reason, self.events_bytes);
        StreamBroken
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.is_done {
            self.gateway.stream_ended(&self.call, "caller_left", self.events_bytes);
        }
    }
}
