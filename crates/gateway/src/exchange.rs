//! One attempt of a request at one upstream.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use daisysill_core::ids::WeightVersion;
use tokio::{
    sync::Notify,
    time::{Instant, timeout},
};

use crate::{
    connection::ReadError,
    header_codec::{AttemptTerms, Dialect},
    http_head::AnswerHead,
    pool::{Lent, NoConnection, Pool},
    upstreams::{InFlight, Upstream},
};

/// Answers to other requests that are skipped on one connection at most.
const MAX_FOREIGN_ANSWERS: usize = 2;

/// Why an attempt has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// No byte of the request was written.
    NotSent,
    /// The upstream has no connection left for this node.
    NoConnectionLeft,
    /// The upstream says that it has not run the request.
    Refused,
    /// Another upstream, or one with other weights, answers there; it has not run the request.
    Misdirected,
    /// The connection broke, or what came is no answer; the request may have run.
    Broken,
    /// No answer came in the time for this attempt; the request may have run.
    TimedOut,
}

impl AttemptError {
    /// Returns the name used in logs and metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::NoConnectionLeft => "no_connection_left",
            Self::Refused => "refused",
            Self::Misdirected => "misdirected",
            Self::Broken => "broken",
            Self::TimedOut => "timed_out",
        }
    }

    /// Returns whether the request has certainly not run.
    pub(crate) const fn has_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::NoConnectionLeft | Self::Refused | Self::Misdirected)
    }

    /// Returns whether bytes of the request may have arrived at the upstream.
    pub(crate) const fn was_sent(self) -> bool {
        !matches!(self, Self::NotSent | Self::NoConnectionLeft)
    }
}

/// An answer whose body is still to be read.
#[derive(Debug)]
pub(crate) struct Answer {
    /// The head.
    pub(crate) head: AnswerHead,
    /// The weight version that the answer names.
    pub(crate) weight_version: Option<WeightVersion>,
    /// Whether it carries the upstream's proof of origin.
    pub(crate) sealed: bool,
    /// The connection.
    pub(crate) lent: Lent,
    /// Counts the request at its upstream.
    pub(crate) in_flight: InFlight,
}

/// What is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outgoing<'a> {
    /// The method.
    pub(crate) method: &'a str,
    /// The identifier that the answer must repeat.
    pub(crate) request_id: Option<&'a str>,
    /// The request line and the headers that do not depend on the attempt.
    pub(crate) head: &'a [u8],
    /// The body.
    pub(crate) body: &'a Bytes,
    /// Whether the request runs at most once.
    pub(crate) runs_once: bool,
    /// Prompt tokens that the upstream has yet to read.
    pub(crate) pending_prefill_tokens: u64,
    /// Tokens that the request takes at the upstream at most.
    pub(crate) tokens: u64,
    /// Connections that this node may have open to the upstream.
    pub(crate) max_connections: usize,
    /// Time for the head of the answer.
    pub(crate) limit: Duration,
}

/// Sends a request and waits for the head of its answer.
pub(crate) async fn attempt(
    pool: &Pool,
    dialect: &dyn Dialect,
    upstream: &Rc<Upstream>,
    terms: &AttemptTerms<'_>,
    outgoing: &Outgoing<'_>,
    released: &Rc<Notify>,
) -> Result<Answer, AttemptError> {
    let started = Instant::now();
    let limit = outgoing.limit;
    let upstream = Rc::clone(upstream);
    let address = upstream.entry.address;
    let in_flight =
        InFlight::new(upstream, outgoing.pending_prefill_tokens, outgoing.tokens, Rc::clone(released));
    let lent = timeout(limit, pool.checkout(address, outgoing.max_connections, outgoing.runs_once)).await;
    let lent = match lent {
        Ok(Ok(lent)) => lent,
        Ok(Err(NoConnection::Full)) => return Err(AttemptError::NoConnectionLeft),
        Ok(Err(NoConnection::Failed)) | Err(_) => return Err(AttemptError::NotSent),
    };
    let mut head = Vec::with_capacity(outgoing.head.len() + 256);
    head.extend_from_slice(outgoing.head);
    dialect.encode_attempt(terms, &mut head);
    head.extend_from_slice(b"\r\n");
    let remaining = limit.saturating_sub(started.elapsed());
    timeout(remaining, send_and_read(dialect, lent, in_flight, &head, outgoing))
        .await
        .unwrap_or(Err(AttemptError::TimedOut))
}

async fn send_and_read(
    dialect: &dyn Dialect,
    mut lent: Lent,
    in_flight: InFlight,
    head: &[u8],
    outgoing: &Outgoing<'_>,
) -> Result<Answer, AttemptError> {
    let connection = lent.get().map_err(|_| AttemptError::NotSent)?;
    if let Err((sent, _)) = connection.exchange(head, outgoing.body).await {
        return Err(if sent == 0 { AttemptError::NotSent } else { AttemptError::Broken });
    }
    for _ in 0..=MAX_FOREIGN_ANSWERS {
        let read = connection.read_head(outgoing.method, |headers| {
            let decoded = dialect.decode_answer(headers);
            let is_ours = decoded.request_id == outgoing.request_id;
            (is_ours, decoded.not_executed, decoded.sealed, decoded.weight_version)
        });
        let (head, (is_ours, not_executed, sealed, weight_version)) =
            read.await.map_err(|_| AttemptError::Broken)?;
        in_flight.upstream.heard();
        let code = head.status.as_u16();
        if code == 421 || (not_executed && !head.status.is_success()) {
            let misdirected = code == 421;
            if drain(connection).await.is_ok() {
                lent.give_back();
            }
            return Err(if misdirected { AttemptError::Misdirected } else { AttemptError::Refused });
        }
        if is_ours {
            return Ok(Answer { head, weight_version, sealed, lent, in_flight });
        }
        // A late second answer to an earlier request; ours follows.
        drain(connection).await.map_err(|_| AttemptError::Broken)?;
    }
    Err(AttemptError::Broken)
}

async fn drain(connection: &mut crate::connection::UpstreamConnection) -> Result<(), ReadError> {
    while connection.read_body().await?.is_some() {}
    Ok(())
}
