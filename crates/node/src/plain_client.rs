//! HTTP client for plain services.

use std::{rc::Rc, time::Duration};

use actix_web::web::Bytes;
use awc::{
    Client, ClientResponse,
    http::{Method, StatusCode, header},
};
use futures::{FutureExt, future::LocalBoxFuture};
use tokio::time::Instant;

use crate::{
    connection::SendGate,
    http,
    upstream_api::{AttemptError, AttemptResult, PlainRequest, PlainResponse, PlainService},
};

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
    // The HTTP client handles it, and reports a request without a body that carries it as a connect error.
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

/// Limit on the time from the start of an idempotent request to its first byte.
const IDEMPOTENT_SEND_TIMEOUT: Duration = Duration::from_mins(1);

/// HTTP client for plain services.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpPlainService;

impl HttpPlainService {
    /// Sends a request on a new connection: a pooled one may have gone silent, or been closed while idle.
    async fn send_gated(
        url: &str,
        request: &PlainRequest,
        traceparent: &str,
        send_deadline: Instant,
    ) -> AttemptResult<PlainResponse> {
        let gate = SendGate::new(send_deadline);
        let client = http::gated_client(Some(Rc::clone(&gate)));
        let result = Self::exchange(&client, &gate, url, request, traceparent).await;
        result.map_err(|error| gate.classify(error))
    }

    async fn exchange(
        client: &Client,
        gate: &SendGate,
        url: &str,
        request: &PlainRequest,
        traceparent: &str,
    ) -> AttemptResult<PlainResponse> {
        let method = Method::from_bytes(request.method.as_bytes())
            .map_err(|_| AttemptError::NotSent(format!("method {:?} is not valid", request.method)))?;
        let mut out = client.request(method, format!("{url}{}", request.path)).no_decompress();
        out = out.force_close();
        for (name, value) in &request.headers {
            out = out.insert_header((name.as_str(), value.as_str()));
        }
        if !traceparent.is_empty() {
            out = out.insert_header(("traceparent", traceparent));
        }
        let mut response =
            out.send_body(request.body.clone()).await.map_err(|e| http::classify_send_error(&e))?;
        if response.headers().contains_key(http::NOT_RUN_HEADER) {
            return Err(http::classify_error_status(&response));
        }
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| AttemptError::Failed(error.to_string()))?;
        if !is_complete(request, &response, &body, gate) {
            return Err(AttemptError::Failed("the answer ended early".to_owned()));
        }
        let headers = response.headers().iter();
        let headers = headers.filter(|(name, _)| is_end_to_end(name.as_str()));
        let headers = headers.filter_map(|(n, v)| Some((n.as_str().to_owned(), v.to_str().ok()?.to_owned())));
        Ok(PlainResponse { status: response.status().as_u16(), headers: headers.collect(), body })
    }
}

/// Returns whether the body is complete. The HTTP client treats an early close of the connection as the end of
/// the body.
fn is_complete<S>(
    request: &PlainRequest,
    response: &ClientResponse<S>,
    body: &Bytes,
    gate: &SendGate,
) -> bool {
    let headers = response.headers();
    let no_body = matches!(response.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if no_body || request.method == "HEAD" {
        return true;
    }
    if headers.contains_key(header::TRANSFER_ENCODING) {
        return gate.ends_chunked_body();
    }
    let content_length = headers.get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    content_length.is_none_or(|length| length.parse() == Ok(body.len()))
}

impl PlainService for HttpPlainService {
    fn send<'a>(
        &'a self,
        url: &'a str,
        request: &'a PlainRequest,
        traceparent: &'a str,
    ) -> LocalBoxFuture<'a, AttemptResult<PlainResponse>> {
        Self::send_gated(url, request, traceparent, Instant::now() + IDEMPOTENT_SEND_TIMEOUT).boxed_local()
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
        Self::send_gated(url, request, traceparent, dispatch_deadline).boxed_local()
    }
}
