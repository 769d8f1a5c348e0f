//! HTTP client functions that all upstream clients share.

use std::{cell::RefCell, collections::HashMap, io, net::SocketAddr, rc::Rc, time::Duration};

use actix_web::{
    http::{StatusCode, Uri},
    web::Bytes,
};
use daisysill_core::field_value::decimal;
use daisysill_gateway::{
    connection::UpstreamConnection,
    http_client::{CallError, Request, read_body, send},
    http_head::ResponseHead,
};
use futures::{Stream, stream};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::{TcpStream, lookup_host},
    time::timeout,
};

use crate::{
    connection::set_options,
    upstream_api::{AttemptError, AttemptResult, ZONE_EVACUATED},
};

/// Response header that states that the upstream did not execute the request.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// Response header that states that the upstream refuses because it is leaving.
pub const LEAVING_HEADER: &str = "x-leaving";
/// Limit on opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a pooled connection is not reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Limit on a control request, such as reading the load or the instance list.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit on a control request to the end of the response's body, which may be long.
const CONTROL_BODY_TIMEOUT: Duration = Duration::from_secs(4);
/// Port of a URL without one.
const DEFAULT_PORT: u16 = 80;
/// Largest body of a JSON response.
const MAX_CONTROL_BODY_BYTES: usize = 16_777_216;

/// Returns whether a request to a URI may be sent on a connection that has just been opened for it.
pub type SendGate = Rc<dyn Fn(&Uri) -> bool>;

/// Connections that are open and idle, by the address of the upstream.
type IdleConnections = Rc<RefCell<HashMap<SocketAddr, Vec<UpstreamConnection>>>>;

/// A client that keeps connections; clones share them. It cannot be sent to another thread.
///
/// On a kept connection an answer too many may be taken for the answer to a later request. So the client is for polls only, whose
/// answers are replaced by those of the next poll; other requests go through an [`UnpooledClient`].
#[derive(Clone, Default)]
pub struct PollClient {
    idle: IdleConnections,
}

impl PollClient {
    async fn open(&self, address: SocketAddr) -> AttemptResult<UpstreamConnection> {
        match self.take_idle(address) {
            Some(connection) => Ok(connection),
            None => open(address).await,
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<UpstreamConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        connections.retain_mut(|connection| !connection.is_expired(IDLE_TIMEOUT) && connection.is_reusable());
        connections.pop()
    }

    fn keep(&self, address: SocketAddr, mut connection: UpstreamConnection) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|connection| !connection.is_expired(IDLE_TIMEOUT));
        }
        idle.retain(|_, connections| !connections.is_empty());
        if connection.is_reusable() {
            connection.set_idle();
            idle.entry(address).or_default().push(connection);
        }
    }
}

/// Creates a client for polls.
pub fn client() -> PollClient {
    PollClient::default()
}

/// A client that opens a connection for each request and closes it after the answer, which is the first one on it.
#[derive(Clone, Default)]
pub struct UnpooledClient {
    gate: Option<SendGate>,
}

impl UnpooledClient {
    /// Creates a client whose requests `gate` may refuse once their connection is open.
    pub fn with_gate(gate: SendGate) -> Self {
        Self { gate: Some(gate) }
    }

    async fn open(&self, target: &Target) -> AttemptResult<UpstreamConnection> {
        let connection = open(target.address).await?;
        if self.gate.as_ref().is_some_and(|gate| !gate(&target.uri)) {
            return Err(AttemptError::NotSent(ZONE_EVACUATED.to_owned()));
        }
        Ok(connection)
    }
}

/// Where a request goes.
#[derive(Clone, Debug)]
pub struct Target {
    uri: Uri,
    /// The address of the host.
    pub address: SocketAddr,
    /// Host and port, as a request's `host` header names them.
    pub authority: String,
}

impl Target {
    fn path(&self) -> &str {
        self.uri.path_and_query().map_or("/", |path| path.as_str())
    }

    fn request<'a>(&'a self, method: &'a str) -> Request<'a> {
        Request { method, ..Request::get(&self.authority, self.path()) }
    }

    fn post<'a>(&'a self, body: &impl Serialize) -> AttemptResult<Request<'a>> {
        let body = serde_json::to_vec(body).map_err(|error| AttemptError::NotSent(error.to_string()))?;
        Ok(Request::post_json(&self.authority, self.path(), body))
    }
}

async fn open(address: SocketAddr) -> AttemptResult<UpstreamConnection> {
    let connected = connect(address).await;
    connected.map(UpstreamConnection::over).map_err(|error| AttemptError::NotSent(error.to_string()))
}

/// Classifies a failed call by whether the upstream may have received the request.
fn classify_call_error(error: CallError) -> AttemptError {
    match error {
        CallError::NotSent(error) => AttemptError::NotSent(error.to_string()),
        CallError::TimedOut => AttemptError::Silent,
        CallError::Broken(_) | CallError::Malformed(_) | CallError::TooLarge => {
            AttemptError::Failed(error.to_string())
        }
    }
}

/// Sends a request that closes its connection after the response.
async fn send_last(connection: &mut UpstreamConnection, request: Request<'_>) -> AttemptResult<ResponseHead> {
    send(connection, &request.with_header("connection", "close")).await.map_err(classify_call_error)
}

/// Classifies an error response: a refusal if it has [`NOT_RUN_HEADER`], else a failure.
fn classify_error_head(head: &ResponseHead) -> AttemptError {
    classify_error(head.status.as_u16(), |name| std::str::from_utf8(head.header(name.as_bytes())?).ok())
}

/// Classifies an error response by its status and its headers.
pub fn classify_error<'a>(status: u16, header: impl Fn(&str) -> Option<&'a str>) -> AttemptError {
    let message = format!("status {status}");
    if header(NOT_RUN_HEADER).is_none() {
        return AttemptError::Failed(message);
    }
    let retry_after_s = header("retry-after").and_then(|value| decimal(value.as_bytes()));
    AttemptError::Refused {
        message,
        leaving: header(LEAVING_HEADER).is_some(),
        retry_after_ms: retry_after_s.map(|s| s.saturating_mul(1_000)),
    }
}

/// Parses a URL and resolves its host.
///
/// # Errors
/// Fails if the URL is not a valid one of the scheme `http`, or its host has no address.
///
/// ```
/// # actix_rt::System::new().block_on(async {
/// let target = daisysill_node::http::resolve("http://[::1]:8080/v1/load").await?;
/// assert_eq!((target.address.port(), target.authority.as_str()), (8080, "[::1]:8080"));
/// # Ok::<(), daisysill_node::upstream_api::AttemptError>(())
/// # }).unwrap();
/// ```
pub async fn resolve(url: &str) -> AttemptResult<Target> {
    let uri = url.parse::<Uri>().map_err(|error| AttemptError::NotSent(error.to_string()))?;
    if uri.scheme_str() != Some("http") {
        return Err(AttemptError::NotSent(format!("{url} is not an http URL")));
    }
    // An IPv6 address stands in brackets.
    let host = uri.host().unwrap_or_default().trim_matches(['[', ']']);
    let address = address_of(host, uri.port_u16().unwrap_or(DEFAULT_PORT)).await?;
    let authority = uri.authority().map_or_else(String::new, ToString::to_string);
    Ok(Target { uri, address, authority })
}

async fn address_of(host: &str, port: u16) -> AttemptResult<SocketAddr> {
    let found = lookup_host((host, port)).await;
    let mut addresses = found.map_err(|error| AttemptError::NotSent(error.to_string()))?;
    addresses.next().ok_or_else(|| AttemptError::NotSent(format!("no address of {host}")))
}

/// Opens a TCP connection with the options that detect dead peers.
///
/// # Errors
/// Fails if the connection is refused or not open in time.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    set_options(&stream)?;
    Ok(stream)
}

/// Opens a TCP connection to the host and port of a URL and closes it.
///
/// # Errors
/// Fails if the URL is not valid, or the connection is refused or not open in time.
pub async fn ping(url: &str) -> AttemptResult<()> {
    let target = resolve(url).await?;
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(target.address)).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(error)) => Err(AttemptError::NotSent(error.to_string())),
        Err(_) => Err(AttemptError::Silent),
    }
}

/// Sends a poll and parses the JSON response.
///
/// # Errors
/// Classifies failures by whether the upstream may have executed the request.
pub async fn poll_json<T: DeserializeOwned>(client: &PollClient, url: &str) -> AttemptResult<T> {
    parse_json(&poll(client, url).await?)
}

/// Sends a poll and returns the body of the response.
///
/// # Errors
/// Classifies failures by whether the upstream may have executed the request.
pub async fn poll(client: &PollClient, url: &str) -> AttemptResult<Bytes> {
    let exchange = async {
        let target = resolve(url).await?;
        let mut connection = client.open(target.address).await?;
        let request = target.request("GET");
        let head = within_control_timeout(send(&mut connection, &request)).await?;
        let body = read_success(&mut connection, &head).await?;
        client.keep(target.address, connection);
        Ok(body)
    };
    within(CONTROL_BODY_TIMEOUT, exchange).await
}

/// Sends a GET request on a connection of its own and parses the JSON response.
///
/// # Errors
/// Classifies failures by whether the upstream may have executed the request.
pub async fn get_json<T: DeserializeOwned>(client: &UnpooledClient, url: &str) -> AttemptResult<T> {
    let exchange = async {
        let target = resolve(url).await?;
        let mut connection = client.open(&target).await?;
        let request = target.request("GET").with_header("connection", "close");
        let head = within_control_timeout(send(&mut connection, &request)).await?;
        parse_json(&read_success(&mut connection, &head).await?)
    };
    within(CONTROL_BODY_TIMEOUT, exchange).await
}

/// Sends a POST request with a JSON body and parses the JSON response.
///
/// # Errors
/// Classifies failures by whether the upstream may have executed the request.
pub async fn post_json<B: Serialize, T: DeserializeOwned>(
    client: &UnpooledClient,
    url: &str,
    body: &B,
    limit: Duration,
) -> AttemptResult<T> {
    let exchange = async {
        let target = resolve(url).await?;
        let mut connection = client.open(&target).await?;
        let head = send_last(&mut connection, target.post(body)?).await?;
        parse_json(&read_success(&mut connection, &head).await?)
    };
    within(limit, exchange).await
}

/// Sends a POST request with a JSON body and returns the body of the response as it arrives. The time is not limited.
///
/// # Errors
/// Classifies failures by whether the upstream may have executed the request.
pub async fn post_for_stream<B: Serialize>(
    client: &UnpooledClient,
    url: &str,
    body: &B,
    traceparent: &str,
) -> AttemptResult<impl Stream<Item = AttemptResult<Bytes>> + use<B>> {
    let target = resolve(url).await?;
    let mut connection = client.open(&target).await?;
    let mut request = target.post(body)?;
    if !traceparent.is_empty() {
        request = request.with_header("traceparent", traceparent);
    }
    let head = send_last(&mut connection, request).await?;
    if !head.status.is_success() {
        return Err(classify_error_head(&head));
    }
    Ok(stream::unfold(Some(connection), |connection| async {
        let mut connection = connection?;
        match connection.read_body().await {
            Ok(Some(bytes)) => Some((Ok(bytes), Some(connection))),
            Ok(None) => None,
            Err(error) => Some((Err(classify_call_error(error.into())), None)),
        }
    }))
}

/// Sends a DELETE request; status 404 counts as success.
///
/// # Errors
/// Classifies failures by whether the upstream may have executed the request.
pub async fn delete(client: &UnpooledClient, url: &str) -> AttemptResult<()> {
    let exchange = async {
        let target = resolve(url).await?;
        let mut connection = client.open(&target).await?;
        let head = send_last(&mut connection, target.request("DELETE")).await?;
        // The object may already be gone, for instance after the upstream restarted.
        let is_done = head.status.is_success() || head.status == StatusCode::NOT_FOUND;
        if !is_done {
            return Err(classify_error_head(&head));
        }
        let body = read_body(&mut connection, MAX_CONTROL_BODY_BYTES).await;
        body.map(drop).map_err(classify_call_error)
    };
    within(CONTROL_TIMEOUT, exchange).await
}

/// Limits the time of an exchange.
async fn within<T>(limit: Duration, exchange: impl Future<Output = AttemptResult<T>>) -> AttemptResult<T> {
    timeout(limit, exchange).await.unwrap_or(Err(AttemptError::Silent))
}

/// Limits the time until the head of the response to a control request.
async fn within_control_timeout(
    sent: impl Future<Output = Result<ResponseHead, CallError>>,
) -> AttemptResult<ResponseHead> {
    within(CONTROL_TIMEOUT, async { sent.await.map_err(classify_call_error) }).await
}

/// Reads the body of a success; any other response is an error.
async fn read_success(connection: &mut UpstreamConnection, head: &ResponseHead) -> AttemptResult<Bytes> {
    if head.status == StatusCode::NO_CONTENT || !head.status.is_success() {
        return Err(classify_error_head(head));
    }
    read_body(connection, MAX_CONTROL_BODY_BYTES).await.map_err(classify_call_error)
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> AttemptResult<T> {
    serde_json::from_slice(body)
        .map_err(|error| AttemptError::Failed(format!("answer is not the expected JSON: {error}")))
}
