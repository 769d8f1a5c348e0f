//! Responses that are buffered before they are relayed.

use std::{pin::pin, rc::Rc};

use bytes::{Bytes, BytesMut};
use tokio::time::{Instant, timeout_at};

use crate::{
    attempt::Attempt,
    caller_request::{AttemptHistory, CallerRequest},
    exchange::UpstreamResponse,
    forward::Gateway,
    silence::{Asked, PLACE_CHECK_INTERVAL},
};

/// Maximum size of a response that is buffered before it is relayed.
pub(crate) const MAX_BUFFERED_RESPONSE_BYTES: usize = 8 * 1_024 * 1_024;

/// Why a response has no whole body.
pub(crate) enum NoBody<'a> {
    /// It did not arrive to its end, or not in time.
    Failed,
    /// Another upstream has taken the request in the attempt.
    Moved(Attempt<'a>),
}

impl Gateway {
    /// Reads the whole body of a response. While its upstream is silent, others are asked to take the request. On failure the
    /// history is that of the request once it has left the upstream.
    pub(crate) async fn buffer_body<'a>(
        self: &'a Rc<Self>,
        request: &'a Rc<CallerRequest>,
        response: &mut UpstreamResponse,
        history: &mut AttemptHistory,
    ) -> Result<Bytes, NoBody<'a>> {
        let upstream = Rc::clone(&response.in_flight.upstream);
        // A body without end must not use up the time for another attempt.
        let silence_limit = self.silence_limit(request, history);
        let mut check_at = silence_limit.map_or(request.deadline, |limit| Instant::now() + limit);
        let mut body = pin!(read_whole_body(response));
        let failed = loop {
            match timeout_at(check_at.min(request.deadline), &mut body).await {
                Ok(Some(whole)) => return Ok(whole),
                Ok(None) => break NoBody::Failed,
                Err(_) if Instant::now() >= request.deadline => break NoBody::Failed,
                Err(_) => {}
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

async fn read_whole_body(response: &mut UpstreamResponse) -> Option<Bytes> {
    let connection = response.pooled.get().ok()?;
    let mut whole = BytesMut::new();
    while let Some(bytes) = connection.read_body().await.ok()? {
        whole.extend_from_slice(&bytes);
        if whole.len() > MAX_BUFFERED_RESPONSE_BYTES {
            return None;
        }
    }
    let is_whole = connection.is_complete() && !response.head.ends_early(&whole);
    is_whole.then(|| whole.freeze())
}
