//! HTTP client for plain services.

use std::time::Duration;

use actix_web::{http::Method, web::Bytes};
use daisysill_core::memory_budget::MemoryBudget;
use daisysill_gateway::{
    body_buffer::{BodyBuffer, BufferError},
    connection::UpstreamConnection,
    http_head::ResponseHead,
};
use futures::{FutureExt, future::LocalBoxFuture};
use tokio::time::Instant;

use crate::{
    http,
    refusal::RESULT_CODE_HEADER,
    upstream_api::{
        AttemptError, AttemptResult, PlainRequest, PlainResponse, PlainService, SendChecks, ZONE_EVACUATED,
    },
};

/// Error of an answer whose head did not arrive.
const NO_ANSWER: &str = "the upstream closed the connection without an answer";
/// Error of an answer whose body did not arrive to its end.
const ENDED_EARLY: &str = "the answer ended early";
/// Headers that are not forwarded: hop-by-hop headers, and those that the client or the node sets itself.
const UNFORWARDED_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    // Bodies are sent at once.
    "expect",
    "host",
    "content-length",
    "authorization",
    "traceparent",
];
/// Largest response body.
const MAX_RESPONSE_BYTES: usize = 16_777_216;

/// Returns whether a header is forwarded between caller and upstream.
pub fn is_end_to_end(name: &str) -> bool {
    !UNFORWARDED_HEADERS.contains(&name.to_ascii_lowercase().as_str())
}

/// Returns whether a header of an upstream's answer is passed on to the caller. A result code is not: it is the statement of a node
/// about the request that it answers, and an upstream may repeat the one of a request that it made itself.
fn is_relayed_header(name: &str) -> bool {
    is_end_to_end(name) && !name.eq_ignore_ascii_case(RESULT_CODE_HEADER)
}

/// Limit on the time from the start of an idempotent request to its first byte.
const IDEMPOTENT_SEND_TIMEOUT: Duration = Duration::from_mins(1);

/// HTTP client for plain services.
#[derive(Clone, Debug, Default)]
pub struct HttpPlainService {
    memory: MemoryBudget,
}

impl HttpPlainService {
    /// Reserves the memory of answers in `memory`; an answer that finds no room fails.
    pub const fn new(memory: MemoryBudget) -> Self {
        Self { memory }
    }

    /// Sends a request on a new connection: a pooled one may have gone silent, or been closed while idle.
    async fn exchange(
        &self,
        url: &str,
        request: &PlainRequest,
        traceparent: &str,
        send_deadline: Instant,
        may_send: &dyn Fn() -> bool,
    ) -> AttemptResult<PlainResponse> {
        let target = http::resolve(url).await?;
        let connected = http::connect(target.address).await;
        let connected = connected.map_err(|error| AttemptError::NotSent(error.to_string()))?;
        let mut connection = UpstreamConnection::over(connected).with_memory(self.memory.reservation());
        let head = request_head(&target.authority, request, traceparent)?;
        // Checked right before the first byte, since the process may have been suspended while it connected.
        if Instant::now() >= send_deadline {
            return Err(AttemptError::TooLate);
        }
        if !may_send() {
            return Err(AttemptError::NotSent(ZONE_EVACUATED.to_owned()));
        }
        connection.write_request(None, &head, &request.body).await.map_err(|(sent_bytes, error)| {
            let error = error.to_string();
            if sent_bytes == 0 { AttemptError::NotSent(error) } else { AttemptError::Failed(error) }
        })?;
        let head = connection.read_head(&request.method, |_| ()).await;
        let (head, ()) = head.map_err(|_| AttemptError::Failed(NO_ANSWER.to_owned()))?;
        let header = |name: &str| {
            let value = head.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name.as_bytes()));
            value.and_then(|(_, value)| std::str::from_utf8(value).ok())
        };
        if header(http::NOT_RUN_HEADER).is_some() {
            return Err(http::classify_error(head.status.as_u16(), header));
        }
        let body = read_body(&mut connection, &head, &self.memory).await?;
        let headers = head.headers.iter().filter_map(|(name, value)| {
            let (name, value) = (std::str::from_utf8(name).ok()?, std::str::from_utf8(value).ok()?);
            is_relayed_header(name).then(|| (name.to_owned(), value.to_owned()))
        });
        Ok(PlainResponse { status: head.status.as_u16(), headers: headers.collect(), body })
    }
}

/// Encodes the head of a request, with the empty line that ends it.
fn request_head(authority: &str, request: &PlainRequest, traceparent: &str) -> AttemptResult<Vec<u8>> {
    let PlainRequest { method, path, headers, body } = request;
    if Method::from_bytes(method.as_bytes()).is_err() {
        return Err(AttemptError::NotSent(format!("method {method:?} is not valid")));
    }
    let mut head = format!("{method} {path} HTTP/1.1\r\nhost: {authority}\r\nconnection: close\r\n");
    let traceparent = (!traceparent.is_empty()).then_some(("traceparent", traceparent));
    let forwarded = headers.iter().map(|(name, value)| (name.as_str(), value.as_str()));
    for (name, value) in forwarded.chain(traceparent) {
        head.extend([name, ": ", value, "\r\n"]);
    }
    if !body.is_empty() || matches!(method.as_str(), "POST" | "PUT" | "PATCH") {
        head.extend(["content-length: ", &body.len().to_string(), "\r\n"]);
    }
    head.push_str("\r\n");
    Ok(head.into_bytes())
}

/// Reads the body to its end; it is an error if it ends early.
async fn read_body(
    connection: &mut UpstreamConnection,
    head: &ResponseHead,
    memory: &MemoryBudget,
) -> AttemptResult<Bytes> {
    let mut body = BodyBuffer::new(memory, MAX_RESPONSE_BYTES);
    loop {
        match connection.read_body().await {
            Ok(Some(bytes)) => body.push(&bytes).map_err(|error| {
                AttemptError::Failed(match error {
                    BufferError::TooLarge => "the answer exceeds the limit".to_owned(),
                    BufferError::NoMemory => "the node has no memory for the answer".to_owned(),
                })
            })?,
            Ok(None) => break,
            Err(_) => return Err(AttemptError::Failed(ENDED_EARLY.to_owned())),
        }
    }
    let body = body.finish();
    if head.ends_early(&body) {
        return Err(AttemptError::Failed(ENDED_EARLY.to_owned()));
    }
    Ok(body)
}

impl PlainService for HttpPlainService {
    fn send<'a>(
        &'a self,
        url: &'a str,
        request: &'a PlainRequest,
        traceparent: &'a str,
    ) -> LocalBoxFuture<'a, AttemptResult<PlainResponse>> {
        self.send_before(url, request, traceparent, Instant::now() + IDEMPOTENT_SEND_TIMEOUT)
    }

    fn ping<'a>(&'a self, url: &'a str) -> LocalBoxFuture<'a, AttemptResult<()>> {
        http::ping(url).boxed_local()
    }

    fn send_before<'a>(
        &'a self,
        url: &'a str,
        request: &'a PlainRequest,
        traceparent: &'a str,
        dispatch_deadline: Instant,
    ) -> LocalBoxFuture<'a, AttemptResult<PlainResponse>> {
        self.exchange(url, request, traceparent, dispatch_deadline, &|| true).boxed_local()
    }

    fn send_checked<'a>(
        &'a self,
        url: &'a str,
        request: &'a PlainRequest,
        traceparent: &'a str,
        checks: SendChecks<'a>,
    ) -> LocalBoxFuture<'a, AttemptResult<PlainResponse>> {
        let deadline = checks.deadline.unwrap_or_else(|| Instant::now() + IDEMPOTENT_SEND_TIMEOUT);
        self.exchange(url, request, traceparent, deadline, checks.may_send).boxed_local()
    }
}
