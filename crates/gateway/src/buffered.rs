//! Responses that are buffered before they are relayed.

use std::{cell::Cell, pin::pin, rc::Rc, time::Duration};

use bytes::Bytes;
use tokio::time::{Instant, timeout_at};

use crate::{
    attempt::Attempt,
    body_buffer::{BodyBuffer, BufferError},
    caller_request::{AttemptHistory, CallerRequest},
    exchange::UpstreamResponse,
    forward::Gateway,
    http_head::Framing,
    silence::{Asked, PLACE_CHECK_INTERVAL},
};

/// Maximum size of a response that is buffered before it is relayed.
pub(crate) const MAX_BUFFERED_RESPONSE_BYTES: usize = 8 * 1_024 * 1_024;

/// Share of the time until the deadline in which a body of unknown length must arrive, or be left for another upstream: one without
/// end must not use up the time for another attempt.
const UNKNOWN_LENGTH_SHARE: f64 = 0.5;

/// Why a response has no whole body.
pub(crate) enum NoBody<'a> {
    /// It did not arrive to its end, or not in time.
    Failed,
    /// Another upstream has taken the request in the attempt.
    Moved(Attempt<'a>),
}

impl Gateway {
    /// Reads the whole body of a response. While its upstream is silent, or too slow for the deadline, others are asked to take the
    /// request. On failure the history is that of the request once it has left the upstream.
    pub(crate) async fn buffer_body<'a>(
        self: &'a Rc<Self>,
        request: &'a Rc<CallerRequest>,
        response: &mut UpstreamResponse,
        history: &mut AttemptHistory,
    ) -> Result<Bytes, NoBody<'a>> {
        let upstream = Rc::clone(&response.in_flight.upstream);
        let progress = BodyProgress::new(response.head.framing, request.deadline);
        let silence_limit = self.silence_limit(request, history);
        let mut check_at = silence_limit.map_or(request.deadline, |limit| progress.may_go_on_until(limit));
        let mut body = pin!(self.read_whole_body(request, response, &progress));
        let failed = loop {
            match timeout_at(check_at.min(request.deadline), &mut body).await {
                Ok(Some(whole)) => return Ok(whole),
                Ok(None) => break NoBody::Failed,
                Err(_) if Instant::now() >= request.deadline => break NoBody::Failed,
                Err(_) => {}
            }
            if let Some(limit) = silence_limit
                && progress.may_go_on_until(limit) > Instant::now()
            {
                check_at = progress.may_go_on_until(limit);
                continue;
            }
            match self.ask_another(request, history, &upstream, body.as_mut(), Option::is_some, None).await {
                Asked::Stays => check_at = Instant::now() + PLACE_CHECK_INTERVAL,
                Asked::WentOn(Some(whole)) => return Ok(whole),
                Asked::Moves(other, _) => return Err(NoBody::Moved(other)),
                Asked::WentOn(None) | Asked::PassesOn => break NoBody::Failed,
            }
        };
        *history = history.after_leaving(&upstream.entry.id);
        Err(failed)
    }
}

impl Gateway {
    /// Reads the body to its end; `None` if it ends early, is too large, or finds no memory.
    async fn read_whole_body(
        &self,
        request: &CallerRequest,
        response: &mut UpstreamResponse,
        progress: &BodyProgress,
    ) -> Option<Bytes> {
        let mut buffer = BodyBuffer::new(&self.memory, MAX_BUFFERED_RESPONSE_BYTES);
        let announced = progress.length.unwrap_or_default();
        let mut error = (announced > MAX_BUFFERED_RESPONSE_BYTES as u64).then_some(BufferError::TooLarge);
        let connection = response.pooled.get().ok()?;
        while error.is_none()
            && let Some(bytes) = connection.read_body().await.ok()?
        {
            progress.record(&bytes);
            error = buffer.push(&bytes).err();
        }
        if let Some(error) = error {
            let upstream = response.in_flight.upstream.entry.id.as_str();
            self.record_dropped_body(request, upstream, error);
            return None;
        }
        let whole = buffer.finish();
        (connection.is_complete() && !response.head.ends_early(&whole)).then_some(whole)
    }

    /// Counts and logs a body from `source` that is not kept.
    pub(crate) fn record_dropped_body(&self, request: &CallerRequest, source: &str, error: BufferError) {
        self.metrics.record_dropped_body(error);
        tracing::info!(
            event = "body_dropped",
            request_id = request.headers.request_id.as_deref(),
            source,
            reason = error.name(),
            reserved_bytes = self.memory.used_bytes(),
        );
    }
}

/// How much of a body has arrived, and when.
struct BodyProgress {
    began: Instant,
    deadline: Instant,
    /// Its length in bytes, if the head states it.
    length: Option<u64>,
    received: Cell<u64>,
    /// When bytes last arrived.
    progressed_at: Cell<Instant>,
}

impl BodyProgress {
    fn new(framing: Framing, deadline: Instant) -> Self {
        let length = match framing {
            Framing::Length(length) => Some(length),
            Framing::Chunked | Framing::UntilClose => None,
        };
        let began = Instant::now();
        Self { began, deadline, length, received: Cell::default(), progressed_at: Cell::new(began) }
    }

    fn record(&self, bytes: &Bytes) {
        self.received.set(self.received.get() + bytes.len() as u64);
        self.progressed_at.set(Instant::now());
    }

    /// Returns until when the upstream may go on before another one is looked for. Bytes that arrive extend that time unless, at
    /// their pace, the body would not be complete by the deadline.
    fn may_go_on_until(&self, silence_limit: Duration) -> Instant {
        let silent_at = self.progressed_at.get() + silence_limit;
        match self.length {
            Some(length) if self.is_on_pace(length) => silent_at,
            Some(_) => self.began + silence_limit,
            None => silent_at.min(self.began + self.time_for_body().mul_f64(UNKNOWN_LENGTH_SHARE)),
        }
    }

    fn is_on_pace(&self, length: u64) -> bool {
        let due = self.time_for_body().as_secs_f64() * self.received.get() as f64;
        self.began.elapsed().as_secs_f64() * length as f64 <= due
    }

    fn time_for_body(&self) -> Duration {
        self.deadline.saturating_duration_since(self.began)
    }
}
