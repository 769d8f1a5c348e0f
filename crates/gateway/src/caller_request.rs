//! A caller's request, the attempts made for it so far, and the head that is forwarded to upstreams.

use std::{sync::Arc, time::Duration};

use actix_web::{HttpRequest, http::header::HeaderMap};
use bytes::{Bytes, BytesMut};
use daisysill_core::{
    ids::{InstanceId, ServiceName, SoftwareVersion},
    result_code::ResultCode,
    retry_budget::SendCount,
    routing::{CallKind, Customer, Route},
};
use tokio::time::Instant;

use crate::{
    header_codec::{HeaderCodec, Prompt, RequestHeaders},
    peer_headers::{PassedOn, is_peer_header},
    refusal::Refusal,
    upstreams::{PrefixKey, stable_hash},
};

/// Route priorities distinguished within one customer priority; the customer's priority takes precedence.
const ROUTE_PRIORITIES: u8 = 3;
/// Priority of a customer whose configuration names none, and of requests without a customer.
const DEFAULT_CUSTOMER_PRIORITY: u8 = 1;
/// The least urgent value; the header field has one digit.
const LEAST_URGENT: u8 = 9;

/// A caller's request, admitted and routed.
#[derive(Debug)]
pub struct CallerRequest {
    /// Decoded headers.
    pub headers: RequestHeaders,
    /// HTTP method.
    pub method: String,
    /// Request line and headers to forward, without the empty line that ends the head.
    pub head: Vec<u8>,
    /// Complete body.
    pub body: Bytes,
    /// Matching route.
    pub route: Arc<Route>,
    /// Service picked among the targets of the route.
    pub service: ServiceName,
    /// The customer; `None` if the route needs no key.
    pub customer: Option<Arc<Customer>>,
    /// Equal for identical requests, also when a caller retries at another node.
    pub fingerprint: u64,
    /// Hashes of the parts of the prompt that other requests may share, each with its model; equal on all nodes.
    pub part_keys: Vec<u64>,
    /// Version of the routing document that admitted it.
    pub config_version: u64,
    /// What another entry node states that passed the request on; `None` if it came from its caller.
    pub passed_on: Option<PassedOn>,
    /// Time of arrival.
    pub arrived: Instant,
    /// The response must be complete by this time.
    pub deadline: Instant,
}

impl CallerRequest {
    /// Returns the time left until the deadline; zero once it has passed.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns whether the request must not run twice.
    pub(crate) fn at_most_once(&self) -> bool {
        matches!(self.route.kind, CallKind::AtMostOnce | CallKind::Stream { resumable: false })
    }

    /// Returns whether the caller takes up a stream that broke off.
    pub(crate) fn takes_up_stream(&self) -> bool {
        matches!(self.route.kind, CallKind::Stream { .. }) && self.headers.resume_after.is_some()
    }

    /// Returns the hash by which all nodes know the stream that a request of this caller began; `None` without an ID.
    pub(crate) fn stream_key(&self, request_id: Option<&str>) -> Option<u64> {
        let customer = self.customer.as_ref().map(|customer| customer.name.as_str());
        request_id.map(|id| stable_hash(&(customer, id)))
    }

    /// Returns the maximum number of tokens that the request occupies at its upstream; 0 without a prompt.
    pub(crate) fn tokens(&self) -> u64 {
        self.headers.prompt.as_ref().map_or(0, |prompt| prompt.prompt_tokens + prompt.max_output_tokens)
    }

    /// Returns the key and the length in tokens of the shared prefix, which is all parts of the prompt but the last;
    /// `None` if there is no prefix.
    pub(crate) fn prefix(&self, scope: &str) -> Option<(PrefixKey, u64)> {
        let parts = &self.headers.prompt.as_ref()?.parts;
        let (_, shared) = parts.split_last()?;
        let ids: Vec<&str> = shared.iter().map(|part| part.id.as_str()).collect();
        let tokens = shared.iter().map(|part| part.tokens).sum();
        (tokens > 0).then(|| (PrefixKey::of(scope, &ids), tokens))
    }
}

/// The upstreams at which a request may run, by the version of their software.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum SoftwareRequirement {
    /// No event has reached the caller yet.
    #[default]
    Any,
    /// Those of the version that brought the stream's first event; `None` if it is unknown.
    Same(Option<SoftwareVersion>),
}

/// The attempts made for a request so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptHistory {
    /// Upstreams that are not tried again.
    pub(crate) tried: Vec<InstanceId>,
    /// Number of upstreams that may have run the request.
    pub(crate) may_have_run: u32,
    /// How many of them were tried by the entry node that passed the request on.
    passed_attempts: u32,
    /// Whether an attempt was begun whose outcome is not recorded yet.
    pub(crate) is_attempt_open: bool,
    /// Counts sends; all but the first are charged to the retry budget.
    pub(crate) sends: SendCount,
    /// Number of upstreams that refused the request.
    pub(crate) refusals: u32,
    /// Number of upstreams that could not be reached or had no connection left for this node.
    pub(crate) unreachable: u32,
    /// The upstreams at which the request may go on.
    pub(crate) software: SoftwareRequirement,
    /// When the stream was last taken up after it broke off, by its caller or within one answer; `None` for a new request.
    pub(crate) resumed_at: Option<Instant>,
    /// Total time spent waiting for capacity at an upstream.
    pub(crate) waited: Duration,
}

impl AttemptHistory {
    /// Returns the history of a request that may have been tried before it was passed on to this node.
    pub(crate) fn after_passing(passed_on: Option<PassedOn>) -> Self {
        let passed_attempts = passed_on.map_or(0, |passed_on| passed_on.attempts);
        let sends = SendCount::after(passed_on.map_or(0, |passed_on| passed_on.sends));
        Self { may_have_run: passed_attempts, passed_attempts, sends, ..Self::default() }
    }

    /// Returns the history once the request has left an upstream that may have run it.
    pub(crate) fn after_leaving(&self, upstream: &InstanceId) -> Self {
        let mut history = self.clone();
        history.is_attempt_open = false;
        history.may_have_run += 1;
        history.tried.push(upstream.clone());
        history
    }

    /// Takes back that the request has left an upstream: it stays there, since another one did not take it.
    pub(crate) fn return_to(&mut self, upstream: &InstanceId) {
        self.may_have_run = self.may_have_run.saturating_sub(1);
        self.tried.retain(|tried| tried != upstream);
    }

    /// Returns whether an attempt of this node may have run the request.
    pub(crate) fn may_have_run_here(&self) -> bool {
        self.is_attempt_open || self.may_have_run > self.passed_attempts
    }

    /// Returns the refusal that ends the request now. It states that the request has not run only if that is certain.
    pub(crate) fn refusal(
        &self,
        code: ResultCode,
        reason: impl Into<String>,
        retry_after_ms: u64,
    ) -> Refusal {
        Refusal::after_attempts(self.may_have_run > 0, code, reason, retry_after_ms)
    }
}

/// Returns the urgency of a request from 0, the most urgent, to 9. A stream that goes on is as urgent as the most urgent route
/// of its customer: its caller has a part of it already.
pub(crate) fn urgency(request: &CallerRequest, history: &AttemptHistory) -> u8 {
    let customer = request.customer.as_ref().and_then(|customer| customer.priority);
    let customer = customer.unwrap_or(DEFAULT_CUSTOMER_PRIORITY).saturating_mul(ROUTE_PRIORITIES);
    let route = if history.resumed_at.is_some() { 0 } else { request.route.priority };
    customer.saturating_add(route.min(ROUTE_PRIORITIES - 1)).min(LEAST_URGENT)
}

/// Encodes the request line and the headers that are the same for every attempt. Hop-by-hop headers, those named in
/// `connection` and those that the codec does not forward are left out; `content-length` is set from `body`.
pub fn encode_head(
    header_codec: &dyn HeaderCodec,
    method: &str,
    target: &str,
    headers: &HeaderMap,
    body: &Bytes,
) -> Vec<u8> {
    encode(method, target, headers, body, |name| header_codec.forwards(name))
}

/// Encodes the head with which a request is passed on to another entry node, with all headers of its caller but the
/// hop-by-hop ones.
pub(crate) fn encode_peer_head(http: &HttpRequest, body: &Bytes, passed_on: PassedOn) -> Vec<u8> {
    let target = http.uri().path_and_query().map_or(http.uri().path(), |target| target.as_str());
    let mut head = encode(http.method().as_str(), target, http.headers(), body, |_| true);
    passed_on.encode(&mut head);
    head.extend_from_slice(b"\r\n");
    head
}

fn encode(
    method: &str,
    target: &str,
    headers: &HeaderMap,
    body: &Bytes,
    forwards: impl Fn(&str) -> bool,
) -> Vec<u8> {
    let mut head = BytesMut::with_capacity(512);
    for part in [method.as_bytes(), b" ", target.as_bytes(), b" HTTP/1.1\r\n"] {
        head.extend_from_slice(part);
    }
    let connection_headers: Vec<String> = connection_tokens(headers);
    for (name, value) in headers {
        let name = name.as_str();
        if is_hop_by_hop(name)
            || connection_headers.iter().any(|token| token == name)
            || is_peer_header(name)
            || !forwards(name)
        {
            continue;
        }
        for part in [name.as_bytes(), b": ", value.as_bytes(), b"\r\n"] {
            head.extend_from_slice(part);
        }
    }
    if !body.is_empty() || matches!(method, "POST" | "PUT" | "PATCH") {
        head.extend_from_slice(format!("content-length: {}\r\n", body.len()).as_bytes());
    }
    head.to_vec()
}

fn connection_tokens(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all("connection").filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).map(|token| token.trim().to_ascii_lowercase()).collect()
}

fn is_hop_by_hop(name: &str) -> bool {
    matches!(
        name,
        "connection"
            | "keep-alive"
            | "proxy-connection"
            | "proxy-authorization"
            | "proxy-authenticate"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "content-length"
            | "expect"
    )
}

/// Returns the hashes of the shared parts of a prompt, which are all but the last, each with its model; equal on all nodes
/// of one build.
pub fn part_keys(prompt: Option<&Prompt>) -> Vec<u64> {
    let Some(prompt) = prompt else { return Vec::new() };
    let shared = prompt.parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| stable_hash(&(prompt.model.as_str(), part.id.as_str()))).collect()
}

/// Returns a hash of a request's path, customer and body, equal on all nodes of one build.
pub fn fingerprint(path: &str, customer: Option<&Customer>, body: &Bytes) -> u64 {
    stable_hash(&(path, customer.map(|customer| customer.name.as_str()), body.as_ref()))
}
