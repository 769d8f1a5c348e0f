//! A request as it arrived, and what has been tried for it.

use std::{sync::Arc, time::Duration};

use actix_web::http::header::HeaderMap;
use bytes::{Bytes, BytesMut};
use daisysill_core::{
    ids::{InstanceId, ServiceName},
    retry_budget::SendCount,
    routing::{CallKind, Customer, Route},
};
use tokio::time::Instant;

use crate::{
    header_codec::{CallHeaders, Dialect},
    upstreams::{SessionKey, stable_hash},
};

/// Ranks of routes that are told apart within one rank of customers, whose rank goes first.
const ROUTE_RANKS: u8 = 3;
/// The rank of a customer that has none.
const USUAL_CUSTOMER_RANK: u8 = 1;
/// Urgency of the least urgent routes; the field has one digit.
const LEAST_URGENT: u8 = 9;

/// A request as it arrived.
#[derive(Debug)]
pub struct Call {
    /// What its headers say.
    pub headers: CallHeaders,
    /// The method.
    pub method: String,
    /// Request line and headers to pass on, without the empty line.
    pub head: Vec<u8>,
    /// The body.
    pub body: Bytes,
    /// The route.
    pub route: Arc<Route>,
    /// The service chosen for it.
    pub service: ServiceName,
    /// The customer, where the route needs a key.
    pub customer: Option<Arc<Customer>>,
    /// Identifies equal requests across callers' tries and nodes.
    pub fingerprint: u64,
    /// When it arrived.
    pub arrived: Instant,
    /// When its final answer is due.
    pub deadline: Instant,
}

impl Call {
    /// Returns the time left.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    pub(crate) fn runs_once(&self) -> bool {
        matches!(self.route.kind, CallKind::AtMostOnce | CallKind::Stream { resumable: false })
    }

    /// Returns the tokens that the request takes at its upstream at most; 0 for a plain call.
    pub(crate) fn tokens(&self) -> u64 {
        self.headers.prompt.as_ref().map_or(0, |prompt| prompt.prompt_tokens + prompt.max_output_tokens)
    }

    pub(crate) fn session(&self, scope: &str) -> Option<(SessionKey, u64)> {
        let parts = &self.headers.prompt.as_ref()?.parts;
        let (_, shared) = parts.split_last()?;
        let ids: Vec<&str> = shared.iter().map(|part| part.id.as_str()).collect();
        let tokens = shared.iter().map(|part| part.tokens).sum();
        (tokens > 0).then(|| (SessionKey::of(scope, &ids), tokens))
    }
}

/// What has been tried for a call.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Upstreams that are not tried again.
    pub(crate) tried: Vec<InstanceId>,
    /// Upstreams that may have run the request.
    pub(crate) may_have_run: u32,
    /// Its sends.
    pub(crate) sends: SendCount,
    /// Upstreams that refused it.
    pub(crate) refusals: u32,
    /// Upstreams that could not be reached.
    pub(crate) unreachable: u32,
    /// Time that it waited for a place at an upstream.
    pub(crate) waited: Duration,
}

pub(crate) fn urgency(call: &Call) -> u8 {
    let customer = call.customer.as_ref().and_then(|customer| customer.priority);
    let customer = customer.unwrap_or(USUAL_CUSTOMER_RANK).saturating_mul(ROUTE_RANKS);
    customer.saturating_add(call.route.priority.min(ROUTE_RANKS - 1)).min(LEAST_URGENT)
}

/// Writes the request line and the headers that every attempt has.
pub fn encode_head(
    dialect: &dyn Dialect,
    method: &str,
    target: &str,
    headers: &HeaderMap,
    body: &Bytes,
) -> Vec<u8> {
    let mut head = BytesMut::with_capacity(512);
    for part in [method.as_bytes(), b" ", target.as_bytes(), b" HTTP/1.1\r\n"] {
        head.extend_from_slice(part);
    }
    let named: Vec<String> = connection_tokens(headers);
    for (name, value) in headers {
        let name = name.as_str();
        if is_hop_by_hop(name) || named.iter().any(|token| token == name) || !dialect.forwards(name) {
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

/// Returns the fingerprint of a request.
pub fn fingerprint(path: &str, customer: Option<&Customer>, body: &Bytes) -> u64 {
    stable_hash(&(path, customer.map(|customer| customer.name.as_str()), body.as_ref()))
}
