//! One exchange with another entry node to which a request is passed on, up to the head of the response.

use actix_web::{HttpRequest, http::StatusCode};
use bytes::Bytes;
use tokio::time::{Instant, timeout_at};

use crate::{
    attempt_trace::DiscardedAnswer,
    caller_request::{AttemptHistory, CallerRequest, encode_peer_head},
    connection::UpstreamConnection,
    entry_peers::ChosenPeer,
    exchange::{MAX_FOREIGN_RESPONSES, discard_body},
    forward::{Gateway, SharedCodec},
    http_head::ResponseHead,
    peer_headers::{PassedOn, SENDS, UNABLE, UNREAD, ZONE},
    peer_zones,
    pool::{CheckoutError, PooledConnection, RequestIdentity},
};

/// What became of a request at another entry node.
pub(crate) enum PeerOutcome {
    /// The response, whose body is yet to be read.
    Answered(Box<PeerResponse>),
    /// The node could not be reached, or could not serve the request either; nothing has run there. With the number of sends
    /// so far that may have reached an upstream, if the node states it.
    Unable(Option<u32>),
    /// There was no place for a connection; the node has not read the request.
    NoRoom(Shortage),
    /// The connection broke; the request may have run.
    Broken,
}

/// A response of another entry node.
pub(crate) struct PeerResponse {
    pub(crate) head: ResponseHead,
    /// The connection; to be released after the body was read.
    pub(crate) pooled: PooledConnection,
    pub(crate) peer: ChosenPeer,
}

impl PeerResponse {
    /// Reads the next bytes of the body, the inner `None` at its end; the outer one if it broke or the deadline passed.
    pub(crate) async fn read_body(&mut self, deadline: Instant) -> Option<Option<Bytes>> {
        let connection = self.pooled.get().ok()?;
        timeout_at(deadline, connection.read_body()).await.ok()?.ok()
    }
}

/// Where a place for a connection was lacking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shortage {
    /// At the other node, which stated so.
    Stated,
    /// Within the limit that this node keeps to.
    OwnLimit,
}

/// Sends a request to another entry node and reads the head of the response.
pub(crate) async fn exchange(
    gateway: &Gateway,
    http: &HttpRequest,
    request: &CallerRequest,
    history: &AttemptHistory,
    peer: ChosenPeer,
) -> PeerOutcome {
    let pool = gateway.peers.pool();
    let request_id = request.headers.request_id.as_deref();
    let identity = RequestIdentity { id: request_id, at_most_once: request.at_most_once() };
    let max_connections = gateway.peers.max_connections(peer.address);
    let mut pooled = match pool.checkout(peer.address, max_connections, identity).await {
        Ok(pooled) => pooled,
        Err(CheckoutError::LimitReached) => return PeerOutcome::NoRoom(Shortage::OwnLimit),
        Err(CheckoutError::ConnectFailed) => return PeerOutcome::Unable(None),
    };
    let Ok(connection) = pooled.get() else { return PeerOutcome::Unable(None) };
    if !peer_zones::admits(gateway, request, peer.address, connection).await {
        return PeerOutcome::Unable(None);
    }
    // Computed after the request for the zone, which takes some of the time that is left.
    let passed_on = PassedOn {
        deadline_ms: u64::try_from(request.time_left().as_millis()).unwrap_or(u64::MAX),
        attempts: history.may_have_run,
        sends: history.sends.sent(),
        config_version: request.config_version,
    };
    let head = encode_peer_head(http, &request.body, passed_on);
    if let Err((sent, _)) = connection.write_request(request_id, &head, &request.body).await {
        return if sent == 0 { PeerOutcome::Unable(None) } else { PeerOutcome::Broken };
    }
    match read_answer(gateway, request, connection).await {
        Some((_, PeerAnswer::Unread)) => PeerOutcome::NoRoom(Shortage::Stated),
        Some((_, PeerAnswer::Unable(sends))) => PeerOutcome::Unable(sends),
        Some((head, PeerAnswer::Served)) => {
            PeerOutcome::Answered(Box::new(PeerResponse { head, pooled, peer }))
        }
        None => PeerOutcome::Broken,
    }
}

/// What another entry node states about a request that was passed on to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerAnswer {
    /// It has closed the connection without reading the request.
    Unread,
    /// It could not serve the request; with the number of sends that may have reached an upstream.
    Unable(Option<u32>),
    /// Neither: the answer is for the caller.
    Served,
}

/// Reads the head of the answer to a request that was passed on, and what it states.
/// `None` if the connection broke or brought too many answers to other requests.
async fn read_answer(
    gateway: &Gateway,
    request: &CallerRequest,
    connection: &mut UpstreamConnection,
) -> Option<(ResponseHead, PeerAnswer)> {
    for discarded in 0..=MAX_FOREIGN_RESPONSES {
        let headers =
            |headers: &[httparse::Header<'_>]| PeerAnswerHeaders::new(&gateway.header_codec, headers);
        let (head, answer) = connection.read_head(&request.method, headers).await.ok()?;
        // The connection carries one request at a time, so the one in progress is the one that was not read, unless an answer
        // to it was discarded.
        if answer.is_unread {
            return (discarded == 0).then_some((head, PeerAnswer::Unread));
        }
        if !answer.is_zone && connection.carried().is_answer(answer.request_id.as_deref()) {
            let stated = if answer.is_unable { PeerAnswer::Unable(answer.sends) } else { PeerAnswer::Served };
            return Some((head, stated));
        }
        let is_refusal = answer.is_unable || head.status == StatusCode::SERVICE_UNAVAILABLE;
        let discarded = DiscardedAnswer::new(head.status, is_refusal);
        gateway.metrics.record_discarded_answer(discarded);
        tracing::info!(
            event = "answer_discarded",
            request_id = request.headers.request_id.as_deref(),
            connection = connection.number(),
            kind = discarded.name(),
            status = head.status.as_u16(),
            answered_id = answer.request_id,
        );
        if !discard_body(connection).await {
            return None;
        }
    }
    None
}

/// What the headers of another entry node's answer state about it.
struct PeerAnswerHeaders {
    /// The ID of the request that it answers.
    request_id: Option<String>,
    is_unable: bool,
    sends: Option<u32>,
    /// Whether it states that nothing was read that followed the last answer.
    is_unread: bool,
    /// Whether it answers a request for the zone. Like answers to requests without an ID, it has none.
    is_zone: bool,
}

impl PeerAnswerHeaders {
    fn new(codec: &SharedCodec, headers: &[httparse::Header<'_>]) -> Self {
        let has = |name: &str| headers.iter().any(|header| header.name.eq_ignore_ascii_case(name));
        let number = |name: &str| {
            let header = headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
            std::str::from_utf8(header.value).ok()?.parse().ok()
        };
        Self {
            request_id: codec.0.decode_response(headers).request_id.map(str::to_owned),
            is_unable: has(UNABLE),
            sends: number(SENDS),
            is_unread: has(UNREAD),
            is_zone: has(ZONE),
        }
    }
}
