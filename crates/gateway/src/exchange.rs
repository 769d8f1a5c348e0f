//! One attempt of a request at one upstream, up to the head of the response.

use std::{cell::RefCell, rc::Rc, time::Duration};

use actix_web::http::StatusCode;
use bytes::Bytes;
use daisysill_cluster::HeldPlace;
use daisysill_core::ids::WeightVersion;
use daisysill_http::ResponseFault;
use tokio::{
    sync::Notify,
    time::{Instant, timeout, timeout_at},
};

use crate::{
    attempt_trace::{AttemptTrace, ConnectionUse, DiscardedAnswer},
    connection::{ReadError, UpstreamConnection},
    expected_work::AttemptExpectation,
    forward::Gateway,
    header_codec::{AttemptHeaders, ResponseHeaders, ResponseHints},
    http_head::ResponseHead,
    permits::SendPermit,
    pool::{CheckoutError, PooledConnection, RequestIdentity},
    retry_budgets::RetryPermit,
    upstreams::{InFlight, Upstream},
};

/// Responses to other requests that are skipped on one connection.
pub(crate) const MAX_FOREIGN_RESPONSES: usize = 2;
/// Maximum size of a body that is read only to keep its connection; a larger one costs more than a new connection.
const MAX_DISCARDED_BYTES: usize = 64 * 1_024;
/// Time for such a body to arrive. Short, since the next attempt waits for it.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(50);

/// Why an attempt got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// No byte of the request was written.
    NotSent,
    /// This node has used its share of the upstream's connections.
    NoConnectionLeft,
    /// The upstream stated that it takes no more requests while a connection was opened, or a permit of this node expired;
    /// nothing was written.
    Withdrawn,
    /// The upstream states that it did not run the request.
    Refused,
    /// The upstream at the address is another one or has other weights than expected; it did not run the request.
    Misdirected,
    /// The connection broke, or the response was invalid; the request may have run.
    Broken,
    /// No response head arrived in time; the request may have run.
    TimedOut,
}

impl AttemptError {
    /// Returns the `outcome` label used in logs and metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::NoConnectionLeft => "no_connection_left",
            Self::Withdrawn => "withdrawn",
            Self::Refused => "refused",
            Self::Misdirected => "misdirected",
            Self::Broken => "broken",
            Self::TimedOut => "timed_out",
        }
    }

    /// Returns whether it is certain that the request has not run.
    pub(crate) const fn has_not_run(self) -> bool {
        matches!(
            self,
            Self::NotSent | Self::NoConnectionLeft | Self::Withdrawn | Self::Refused | Self::Misdirected
        )
    }

    /// Returns whether the upstream may have received bytes of the request.
    pub(crate) const fn was_sent(self) -> bool {
        !matches!(self, Self::NotSent | Self::NoConnectionLeft | Self::Withdrawn)
    }
}

/// A response whose body is yet to be read from its connection.
#[derive(Debug)]
pub(crate) struct UpstreamResponse {
    /// Head with the headers to forward.
    pub(crate) head: ResponseHead,
    /// The weight version that the upstream reports; `None` if it reports none.
    pub(crate) weight_version: Option<WeightVersion>,
    /// Whether the response carries the upstream's proof of origin.
    pub(crate) sealed: bool,
    /// The connection; to be released after the body was read.
    pub(crate) pooled: PooledConnection,
    /// Counts the request as in flight at its upstream until it is dropped.
    pub(crate) in_flight: InFlight,
}

impl UpstreamResponse {
    /// Drops the response; its connection is kept if the rest of the body arrives at once.
    pub(crate) async fn discard(mut self) {
        let Ok(connection) = self.pooled.get() else { return };
        if discard_body(connection).await {
            self.pooled.release();
        }
    }
}

/// A request with the limits of one attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutgoingRequest<'a> {
    /// HTTP method, which decides whether the response has a body.
    pub(crate) method: &'a str,
    /// The ID that the response must repeat.
    pub(crate) request_id: Option<&'a str>,
    /// The request line and the headers that are the same for every attempt.
    pub(crate) head: &'a [u8],
    /// Complete body.
    pub(crate) body: &'a Bytes,
    /// Whether the request must not run twice.
    pub(crate) at_most_once: bool,
    /// Prompt tokens that the upstream has yet to prefill.
    pub(crate) pending_prefill_tokens: u64,
    /// Maximum number of tokens that the request occupies at the upstream.
    pub(crate) tokens: u64,
    /// What the attempt is expected to take.
    pub(crate) expected_work: AttemptExpectation,
    /// Number of connections that this node may have open to the upstream.
    pub(crate) max_connections: usize,
    /// Time until the head of the response must have arrived.
    pub(crate) head_timeout: Duration,
    /// Entry nodes that share the upstream.
    pub(crate) entry_nodes: u32,
    /// The permission to send to the upstream, should it be cold or name a limit.
    pub(crate) send_permit: &'a SendPermit,
    /// The permission to send the request once more, should it be a retry.
    pub(crate) retry_permit: &'a RetryPermit,
    /// The place at the upstream, if the leader granted one.
    pub(crate) held_place: &'a RefCell<Option<HeldPlace>>,
}

/// The upstream of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptTarget<'a> {
    pub(crate) upstream: &'a Rc<Upstream>,
    /// Notified when the request is no longer in flight there.
    pub(crate) ended: &'a Rc<Notify>,
}

/// Signals between an attempt in progress and its request.
#[derive(Debug, Default)]
pub(crate) struct AttemptSignals {
    /// Notified when a connection is open, so that the upstream may be silent from now on.
    pub(crate) connected: Notify,
    /// Notified when the request leaves the upstream, which ends the attempt as timed out.
    pub(crate) left: Notify,
    pub(crate) trace: AttemptTrace,
}

/// Sends a request to an upstream and reads the head of the response, unless the request leaves the upstream before.
pub(crate) async fn attempt(
    gateway: &Gateway,
    target: AttemptTarget<'_>,
    headers: &AttemptHeaders<'_>,
    outgoing: &OutgoingRequest<'_>,
    signals: &AttemptSignals,
) -> Result<UpstreamResponse, AttemptError> {
    tokio::select! {
        biased;
        result = connect_and_send(gateway, target, headers, outgoing, signals) => result,
        () = signals.left.notified() => Err(AttemptError::TimedOut),
    }
}

async fn connect_and_send(
    gateway: &Gateway,
    target: AttemptTarget<'_>,
    headers: &AttemptHeaders<'_>,
    outgoing: &OutgoingRequest<'_>,
    signals: &AttemptSignals,
) -> Result<UpstreamResponse, AttemptError> {
    let end = Instant::now() + outgoing.head_timeout;
    let address = target.upstream.entry.address;
    let in_flight = InFlight::new(
        Rc::clone(target.upstream),
        outgoing.pending_prefill_tokens,
        outgoing.tokens,
        Rc::clone(target.ended),
    )
    .with_work(outgoing.expected_work)
    .with_place(outgoing.held_place.take());
    let request = RequestIdentity { id: outgoing.request_id, at_most_once: outgoing.at_most_once };
    let checkout = gateway.pool.checkout(address, outgoing.max_connections, request);
    let pooled = match timeout_at(end, checkout).await {
        Ok(Ok(pooled)) => pooled,
        Ok(Err(CheckoutError::LimitReached)) => return Err(AttemptError::NoConnectionLeft),
        Ok(Err(CheckoutError::ConnectFailed)) | Err(_) => return Err(AttemptError::NotSent),
    };
    signals.connected.notify_one();
    let mut head = Vec::with_capacity(outgoing.head.len() + 256);
    head.extend_from_slice(outgoing.head);
    gateway.header_codec.0.encode_attempt(headers, &mut head);
    head.extend_from_slice(b"\r\n");
    let exchange = send_and_read(gateway, pooled, in_flight, &head, outgoing, &signals.trace);
    timeout_at(end, exchange).await.unwrap_or(Err(AttemptError::TimedOut))
}

/// What the headers of a response state about it, without borrowing from them.
struct AnswerHeaders {
    /// The ID of the request that it answers.
    request_id: Option<String>,
    not_executed: bool,
    sealed: bool,
    weight_version: Option<WeightVersion>,
    hints: ResponseHints,
}

impl AnswerHeaders {
    fn new(headers: &ResponseHeaders<'_>) -> Self {
        Self {
            request_id: headers.request_id.map(str::to_owned),
            not_executed: headers.not_executed,
            sealed: headers.sealed,
            weight_version: headers.weight_version,
            hints: headers.hints,
        }
    }
}

async fn send_and_read(
    gateway: &Gateway,
    mut pooled: PooledConnection,
    mut in_flight: InFlight,
    request_head: &[u8],
    outgoing: &OutgoingRequest<'_>,
    trace: &AttemptTrace,
) -> Result<UpstreamResponse, AttemptError> {
    // The zone of the upstream may have been evacuated, and the configuration that says so not be in force on this thread yet.
    gateway.update_config();
    if !in_flight.upstream.accepts_requests() || in_flight.upstream.hints().pause.is_on() {
        pooled.release();
        return Err(AttemptError::Withdrawn);
    }
    // Checked again right before the first byte: the process may have been suspended since the choice.
    if !outgoing.send_permit.try_use() || !outgoing.retry_permit.try_use() {
        pooled.release();
        return Err(AttemptError::Withdrawn);
    }
    let connection = pooled.get().map_err(|_| AttemptError::NotSent)?;
    let sent_at = Instant::now();
    trace.connection_use.set(Some(ConnectionUse::before_sending(connection)));
    if let Err((sent, _)) = connection.write_request(outgoing.request_id, request_head, outgoing.body).await {
        return Err(if sent == 0 { AttemptError::NotSent } else { AttemptError::Broken });
    }
    let (head, answer) =
        read_answer(gateway, connection, &in_flight.upstream, request_head, outgoing).await?;
    let upstream = Rc::clone(&in_flight.upstream);
    let (hints, id) = (upstream.hints(), upstream.entry.id.as_str());
    let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    let is_forged = head.status.is_success() && !answer.sealed;
    if !misdirected && !is_forged {
        hints.record(id, &answer.hints, sent_at);
    }
    if head.status == StatusCode::SERVICE_UNAVAILABLE {
        hints.record_unavailable(id, answer.hints.retry_after);
    }
    let refused = answer.not_executed && !head.status.is_success();
    if refused && !misdirected {
        hints.rejections.record_rejection(outgoing.entry_nodes);
        in_flight.mark_rejected();
    }
    if misdirected || refused {
        if discard_body(connection).await {
            pooled.release();
        }
        return Err(if misdirected { AttemptError::Misdirected } else { AttemptError::Refused });
    }
    in_flight.mark_run();
    // A failed request may be faster or slower than the others.
    if !head.status.is_server_error() {
        in_flight.mark_served();
    }
    let AnswerHeaders { weight_version, sealed, .. } = answer;
    Ok(UpstreamResponse { head, weight_version, sealed, pooled, in_flight })
}

/// Reads the head of the answer to the request in progress. Answers to earlier requests that arrive before it are discarded, whatever
/// they state.
async fn read_answer(
    gateway: &Gateway,
    connection: &mut UpstreamConnection,
    upstream: &Upstream,
    request_head: &[u8],
    outgoing: &OutgoingRequest<'_>,
) -> Result<(ResponseHead, AnswerHeaders), AttemptError> {
    for _ in 0..=MAX_FOREIGN_RESPONSES {
        let read = connection.read_head(outgoing.method, |headers| {
            AnswerHeaders::new(&gateway.header_codec.0.decode_response(headers))
        });
        let (head, answer) = read.await.map_err(|_| AttemptError::Broken)?;
        upstream.record_activity();
        if connection.carried().is_answer(answer.request_id.as_deref()) {
            return Ok((head, answer));
        }
        let discarded = DiscardedAnswer::new(head.status, answer.not_executed);
        gateway.metrics.record_discarded_answer(discarded);
        tracing::info!(
            event = "answer_discarded",
            request_id = outgoing.request_id,
            upstream = upstream.entry.id.as_str(),
            connection = connection.number(),
            kind = discarded.name(),
            status = head.status.as_u16(),
            answered_id = answer.request_id,
        );
        if !discard_body(connection).await {
            return Err(AttemptError::Broken);
        }
        // Its arrival may have stopped the write; the answer may come only after the whole request.
        let rest = connection.write_rest(request_head, outgoing.body).await;
        rest.map_err(|_| AttemptError::Broken)?;
    }
    Err(AttemptError::Broken)
}

/// Reads a body that nobody needs; returns whether it was read to its end, so that its connection can be used again.
pub(crate) async fn discard_body(connection: &mut UpstreamConnection) -> bool {
    let read_to_end = async {
        let mut discarded_bytes = 0;
        while let Some(bytes) = connection.read_body().await? {
            discarded_bytes += bytes.len();
            if discarded_bytes > MAX_DISCARDED_BYTES {
                return Err(ReadError::from(ResponseFault::TooLarge));
            }
        }
        Ok(())
    };
    matches!(timeout(DISCARD_TIMEOUT, read_to_end).await, Ok(Ok(())))
}
