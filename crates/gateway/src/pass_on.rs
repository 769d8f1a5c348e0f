//! Passes a request on to another entry node while this one does not reach the upstreams, and its response back.

use std::{rc::Rc, time::Duration};

use actix_web::{HttpRequest, HttpResponse, HttpResponseBuilder, http::header::HeaderName};
use bytes::Bytes;
use daisysill_core::{ids::ZoneName, result_code::ResultCode, upstream_contact::Reach};
use futures::stream::{Stream, unfold};
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    body_buffer::{BodyBuffer, BodyInPieces},
    buffered::MAX_BUFFERED_RESPONSE_BYTES,
    caller_request::{AttemptHistory, CallerRequest},
    entry_node::EntryState,
    forward::Gateway,
    http_head::{Framing, ResponseHead},
    open_streams::{COMPLETE, OpenStream},
    peer_exchange::{PeerOutcome, PeerResponse, Shortage, exchange},
    peer_headers::is_peer_header,
    refusal::Refusal,
    refusal_rules::deadline_refusal,
    relay::StreamBroken,
    request_handler::may_retry,
    stream_body::stream_body,
};

/// Entry nodes that are asked to serve one request.
const MAX_PEERS: usize = 3;
/// Time before its deadline at which a request is refused that waits while all entry nodes have as many as they have places for.
const ROOM_MARGIN: Duration = Duration::from_millis(100);
/// Time after which a request is passed on again that an entry node had no place for.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(20);

impl Gateway {
    /// Returns whether requests may be passed on now: this node does not reach the upstreams, and knows another entry node.
    pub(crate) fn passes_on(&self, request: &CallerRequest) -> bool {
        request.passed_on.is_none()
            && self.contact.reach() != Reach::InTouch
            && self.contact.has_peers()
            && self.peers.any_in(|zone| self.may_pass_to(request, zone))
    }

    /// Returns whether connections to all upstreams that accept a request failed recently.
    fn reaches_none_for(&self, request: &CallerRequest) -> bool {
        let mut accepting = self.upstreams.accepting(&request.service);
        accepting.retain(|upstream| self.may_use_zone(request, &upstream.entry.zone));
        !accepting.is_empty() && accepting.iter().all(|upstream| upstream.is_unreachable())
    }

    /// Returns whether a refused request may be passed on: upstreams could not be reached, and it may still run.
    fn may_pass_on(&self, request: &CallerRequest, history: &AttemptHistory, refusal: &Refusal) -> bool {
        if request.passed_on.is_some() {
            return false;
        }
        let may_run = history.may_have_run == 0
            || (may_retry(request) && history.may_have_run < request.route.max_attempts);
        let only_unreachable = history.refusals == 0 && self.reaches_none_for(request);
        let for_want_of_upstreams = match refusal.code {
            ResultCode::NoUpstream | ResultCode::UpstreamFailed | ResultCode::StreamNotResumable => {
                only_unreachable || self.contact.reach() != Reach::InTouch
            }
            ResultCode::DeadlineUnreachable => self.contact.reach() != Reach::InTouch,
            _ => false,
        };
        may_run && for_want_of_upstreams && request.time_left() > Duration::ZERO
    }
}

impl EntryState {
    /// Passes a refused request on where that may help; otherwise returns the refusal.
    pub(crate) async fn pass_on_refused(
        &self,
        http: &HttpRequest,
        request: &Rc<CallerRequest>,
        history: &mut AttemptHistory,
        refusal: Refusal,
    ) -> Result<HttpResponse, Refusal> {
        if !self.gateway.may_pass_on(request, history, &refusal) {
            return Err(refusal);
        }
        self.pass_on(http, request, history).await.unwrap_or(Err(refusal))
    }

    /// Passes a request on to other entry nodes, one after another; `None` if none of them could serve it and it has not run
    /// at any.
    pub(crate) async fn pass_on(
        &self,
        http: &HttpRequest,
        request: &Rc<CallerRequest>,
        history: &mut AttemptHistory,
    ) -> Option<Result<HttpResponse, Refusal>> {
        let gateway = &self.gateway;
        let mut tried = Vec::new();
        let mut may_have_run = false;
        let room_until = request.deadline.checked_sub(ROOM_MARGIN).unwrap_or(request.deadline);
        let was_in_touch = gateway.contact.reach() == Reach::InTouch;
        // Once this node reaches its upstreams again, they can serve what still waits.
        let may_wait =
            || Instant::now() < room_until && (was_in_touch || gateway.contact.reach() != Reach::InTouch);
        while tried.len() < MAX_PEERS {
            let is_allowed = |zone: Option<&ZoneName>| gateway.may_pass_to(request, zone);
            let Some(peer) = gateway.peers.choose_with_room(&tried, is_allowed, may_wait).await else {
                break;
            };
            let address = peer.address;
            tried.push(address);
            history.is_attempt_open = true;
            let sent = timeout_at(request.deadline, exchange(gateway, http, request, history, peer)).await;
            let Ok(outcome) = sent else {
                gateway.metrics.record_passed_on("timed_out");
                history.may_have_run += 1;
                return Some(Err(deadline_refusal(history)));
            };
            match outcome {
                PeerOutcome::Answered(response) => match self.answer(request, *response).await {
                    Some(answer) => return Some(Ok(answer)),
                    None => gateway.metrics.record_passed_on("broken"),
                },
                PeerOutcome::Unable(sends) => {
                    history.sends.raise_to(sends.unwrap_or(0));
                    history.is_attempt_open = false;
                    gateway.metrics.record_passed_on("unable");
                    gateway.peers.avoid(address);
                    continue;
                }
                PeerOutcome::NoRoom(shortage) => {
                    history.is_attempt_open = false;
                    if shortage == Shortage::Stated {
                        gateway.metrics.record_passed_on("no_room");
                        gateway.peers.record_no_room(address);
                    }
                    if !may_wait() {
                        break;
                    }
                    tried.pop();
                    sleep(NO_ROOM_PAUSE).await;
                    continue;
                }
                PeerOutcome::Broken => {
                    gateway.metrics.record_passed_on("broken");
                    gateway.peers.avoid(address);
                }
            }
            may_have_run = true;
            history.is_attempt_open = false;
            history.may_have_run += 1;
            history.sends.begin();
            if !may_retry(request) || history.may_have_run >= request.route.max_attempts {
                break;
            }
        }
        may_have_run.then(|| {
            let reason = format!("the connection to an entry node broke; asked {tried:?}");
            Err(Refusal::new(ResultCode::UpstreamFailed, reason))
        })
    }

    /// Returns the response to the caller; `None` if it ended early and nothing of it was sent.
    async fn answer(&self, request: &Rc<CallerRequest>, response: PeerResponse) -> Option<HttpResponse> {
        let metrics = &self.gateway.metrics;
        tracing::info!(
            event = "passed_on",
            request_id = request.headers.request_id.as_deref(),
            to = %response.peer.address,
            reach = self.gateway.contact.reach().name(),
            status = response.head.status.as_u16(),
            framing = response.head.framing.name(),
            after_ms = request.arrived.elapsed().as_millis(),
        );
        let mut builder = Self::forwarded_head(&response.head);
        match response.head.framing {
            Framing::Chunked => {
                let body = PeerBody::new(&self.gateway, request, response);
                Some(builder.body(stream_body(body.into_stream())))
            }
            Framing::Length(_) => {
                let body = self.read_whole(request, response).await?;
                metrics.in_flight.dec();
                metrics.record_result("passed_on");
                metrics.record_passed_on("answered");
                Some(builder.body(BodyInPieces::new(body)))
            }
            // An entry node never sends such a body, whose end could not be told from a broken connection.
            Framing::UntilClose => None,
        }
    }

    /// Reads the whole body; `None` if it ends early or too late, is too large, or finds no memory.
    async fn read_whole(&self, request: &CallerRequest, mut response: PeerResponse) -> Option<Bytes> {
        let mut buffer = BodyBuffer::new(&self.gateway.memory, MAX_BUFFERED_RESPONSE_BYTES);
        while let Some(bytes) = response.read_body(request.deadline).await? {
            if let Err(error) = buffer.push(&bytes) {
                self.gateway.record_dropped_body(request, &response.peer.address.to_string(), error);
                return None;
            }
        }
        response.pooled.release();
        Some(buffer.finish())
    }

    /// Starts a response with the status and the headers of an upstream or another entry node.
    pub(crate) fn forwarded_head(head: &ResponseHead) -> HttpResponseBuilder {
        let mut builder = HttpResponse::build(head.status);
        let named = head
            .headers
            .iter()
            .filter_map(|(name, value)| Some((HeaderName::from_bytes(name).ok()?, value.as_ref())));
        for (name, value) in named.filter(|(name, _)| !is_peer_header(name.as_str())) {
            builder.append_header((name, value));
        }
        builder
    }
}

/// The body of another entry node's response, which is sent to the caller as it arrives.
struct PeerBody {
    gateway: Rc<Gateway>,
    deadline: Instant,
    response: Option<PeerResponse>,
    record: OpenStream,
    outcome: &'static str,
}

impl PeerBody {
    fn new(gateway: &Rc<Gateway>, request: &Rc<CallerRequest>, response: PeerResponse) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            deadline: request.deadline,
            response: Some(response),
            record: OpenStream::new(gateway, request, "passed_on"),
            outcome: "caller_left",
        }
    }

    fn into_stream(self) -> impl Stream<Item = Result<Bytes, StreamBroken>> {
        unfold(self, |mut body| async move {
            let item = body.next().await?;
            Some((item, body))
        })
    }

    async fn next(&mut self) -> Option<Result<Bytes, StreamBroken>> {
        let response = self.response.as_mut()?;
        match response.read_body(self.deadline).await {
            Some(Some(bytes)) => {
                self.record.record_bytes(bytes.len());
                Some(Ok(bytes))
            }
            Some(None) => {
                self.outcome = "answered";
                self.record.end(COMPLETE);
                if let Some(response) = self.response.take() {
                    response.pooled.release();
                }
                None
            }
            None => {
                self.outcome = "broken";
                self.record.end("entry_node_broke");
                // Closes the connection, so that the other node cancels the request.
                self.response = None;
                Some(Err(StreamBroken))
            }
        }
    }
}

impl Drop for PeerBody {
    fn drop(&mut self) {
        self.gateway.metrics.record_passed_on(self.outcome);
    }
}
