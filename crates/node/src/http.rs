//! HTTP client functions that all upstream clients share.

use std::{io, net::SocketAddr, time::Duration};

use actix_web::web::Bytes;
use awc::{
    Client, ClientRequest, ClientResponse,
    error::{ConnectError, PayloadError, SendRequestError},
    http::{StatusCode, Uri},
};
use futures::Stream;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::{TcpStream, lookup_host},
    time::timeout,
};

use crate::{
    connection::{SendGate, UpstreamConnector, set_options},
    upstream_api::{AttemptError, AttemptResult},
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

/// Creates a client with a connection pool; it cannot be sent to another thread.
///
/// On a kept connection an answer too many may be taken for the answer to a later request. So the client is for polls only, whose
/// answers are replaced by those of the next poll; other requests go through an [`UnpooledClient`].
pub fn client() -> Client {
    client_with(UpstreamConnector::default())
}

/// A client that opens a connection for each request and closes it after the answer, which is the first one on it.
#[derive(Clone)]
pub struct UnpooledClient(Client);

impl UnpooledClient {
    /// Creates a client; it cannot be sent to another thread.
    pub fn new() -> Self {
        Self(client())
    }

    /// Creates a client whose requests `gate` may refuse once their connection is open.
    pub fn with_gate(gate: SendGate) -> Self {
        Self(client_with(UpstreamConnector::with_gate(gate)))
    }

    /// Starts a GET request.
    pub fn get(&self, url: &str) -> ClientRequest {
        self.0.get(url).force_close()
    }

    /// Starts a POST request.
    pub fn post(&self, url: &str) -> ClientRequest {
        self.0.post(url).force_close()
    }

    /// Starts a DELETE request.
    pub fn delete(&self, url: &str) -> ClientRequest {
        self.0.delete(url).force_close()
    }
}

impl Default for UnpooledClient {
    fn default() -> Self {
        Self::new()
    }
}

fn client_with(connector: UpstreamConnector) -> Client {
    let connector = awc::Connector::new().connector(connector);
    let connector = connector.timeout(CONNECT_TIMEOUT).limit(0).conn_keep_alive(IDLE_TIMEOUT);
    Client::builder().connector(connector).disable_timeout().disable_redirects().finish()
}

/// Classifies a send error by whether the upstream may have received the request.
pub fn classify_send_error(error: &SendRequestError) -> AttemptError {
    match error {
        // The client also reports `Disconnected` when the upstream closes after the request was sent.
        SendRequestError::Connect(ConnectError::Disconnected | ConnectError::H2(_)) => {
            AttemptError::Failed("the upstream closed the connection without an answer".to_owned())
        }
        SendRequestError::Url(_) | SendRequestError::Connect(_) => AttemptError::NotSent(error.to_string()),
        _ => AttemptError::Failed(error.to_string()),
    }
}

/// Classifies an error response: a refusal if it has [`NOT_RUN_HEADER`], else a failure.
pub fn classify_error_status<S>(response: &ClientResponse<S>) -> AttemptError {
    classify_error(response.status().as_u16(), |name| response.headers().get(name)?.to_str().ok())
}

/// Classifies an error response by its status and its headers.
pub fn classify_error<'a>(status: u16, header: impl Fn(&str) -> Option<&'a str>) -> AttemptError {
    let message = format!("status {status}");
    if header(NOT_RUN_HEADER).is_none() {
        return AttemptError::Failed(message);
    }
    let retry_after_s = header("retry-after").and_then(|value| value.parse::<u64>().ok());
    AttemptError::Refused {
        message,
        leaving: header(LEAVING_HEADER).is_some(),
        retry_after_ms: retry_after_s.map(|s| s.saturating_mul(1_000)),
    }
}

/// Resolves the host and port of a URL; returns the address, and both as a request's `host` header names them.
///
/// # Errors
/// Fails if the URL is not valid or its host has no address.
pub async fn resolve(url: &str) -> AttemptResult<(SocketAddr, String)> {
    let uri = url.parse::<Uri>().map_err(|error| AttemptError::NotSent(error.to_string()))?;
    let host = uri.host().unwrap_or_default();
    let authority = uri.authority().map_or_else(String::new, ToString::to_string);
    let mut addresses = lookup_host((host, uri.port_u16().unwrap_or(DEFAULT_PORT)))
        .await
        .map_err(|error| AttemptError::NotSent(error.to_string()))?;
    let address = addresses.next().ok_or_else(|| AttemptError::NotSent(format!("no address of {host}")))?;
    Ok((address, authority))
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
    let (address, _) = resolve(url).await?;
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(error)) => Err(AttemptError::NotSent(error.to_string())),
        Err(_) => Err(AttemptError::Silent),
    }
}

/// Sends a GET request and parses the JSON response.
///
/// # Errors
/// Classifies failures by whether the upstream may have executed the request.
pub async fn get_json<T: DeserializeOwned>(request: ClientRequest) -> AttemptResult<T> {
    let exchange = async {
        let response = request.timeout(CONTROL_TIMEOUT).send().await;
        read_json(response.map_err(|e| classify_send_error(&e))?).await
    };
    within(CONTROL_BODY_TIMEOUT, exchange).await
}

/// Limits the time of an exchange to the end of its body, which the client's own limit does not.
async fn within<T>(limit: Duration, exchange: impl Future<Output = AttemptResult<T>>) -> AttemptResult<T> {
    timeout(limit, exchange).await.unwrap_or(Err(AttemptError::Silent))
}

/// Sends GET and returns the body of the response.
///
/// # Errors
/// Classifies failures by whether the upstream may have executed the request.
pub async fn get_body(client: &Client, url: &str) -> AttemptResult<Bytes> {
    let exchange = async {
        let response = client.get(url).timeout(CONTROL_TIMEOUT).send().await;
        let mut response = response.map_err(|e| classify_send_error(&e))?;
        if !response.status().is_success() {
            return Err(classify_error_status(&response));
        }
        let body = response.body().limit(MAX_CONTROL_BODY_BYTES);
        body.await.map_err(|error| AttemptError::Failed(error.to_string()))
    };
    within(CONTROL_BODY_TIMEOUT, exchange).await
}

/// Sends a POST request with a JSON body and parses the JSON response.
///
/// # Errors
/// Classifies failures by whether the upstream may have executed the request.
pub async fn post_json<B: Serialize, T: DeserializeOwned>(
    request: ClientRequest,
    body: &B,
    timeout: Duration,
) -> AttemptResult<T> {
    let exchange = async {
        let response = request.timeout(timeout).send_json(body).await;
        read_json(response.map_err(|e| classify_send_error(&e))?).await
    };
    within(timeout, exchange).await
}

/// Sends a DELETE request and ignores the body of the response; status 404 counts as success.
///
/// # Errors
/// Classifies failures by whether the upstream may have executed the request.
pub async fn delete(request: ClientRequest) -> AttemptResult<()> {
    let response = request.timeout(CONTROL_TIMEOUT).send().await;
    let response = response.map_err(|e| classify_send_error(&e))?;
    // The object may already be gone, for instance after the upstream restarted.
    let done = response.status().is_success() || response.status() == StatusCode::NOT_FOUND;
    if done { Ok(()) } else { Err(classify_error_status(&response)) }
}

async fn read_json<T, S>(mut response: ClientResponse<S>) -> AttemptResult<T>
where
    T: DeserializeOwned,
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    if response.status() == StatusCode::NO_CONTENT || !response.status().is_success() {
        return Err(classify_error_status(&response));
    }
    let body = response.json::<T>().limit(MAX_CONTROL_BODY_BYTES);
    body.await.map_err(|error| AttemptError::Failed(format!("answer is not the expected JSON: {error}")))
}
