//! Requests of the process itself, such as polls, orders and reads of lists, whose responses are held in memory.

use std::{
    fmt, io,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use actix_web::http::StatusCode;
use bytes::{Bytes, BytesMut};
use daisysill_http::ResponseFault;
use tokio::{net::lookup_host, time::timeout};

use crate::{
    connection::{ReadError, UpstreamConnection},
    http_head::ResponseHead,
};

/// The number of the next request of this process: a connection carries each request ID once.
static NEXT_REQUEST: AtomicU64 = AtomicU64::new(0);

/// A request with its whole body.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host and port.
    pub authority: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Further headers.
    pub headers: Vec<(&'a str, String)>,
    /// Its length is stated unless the method is `GET`.
    pub body: Bytes,
}

impl<'a> Request<'a> {
    /// Returns a GET request.
    pub const fn get(authority: &'a str, path: &'a str) -> Self {
        Self { method: "GET", authority, path, headers: Vec::new(), body: Bytes::new() }
    }

    /// Returns a POST request with a JSON body.
    pub fn post_json(authority: &'a str, path: &'a str, body: Vec<u8>) -> Self {
        let headers = vec![("content-type", "application/json".to_owned())];
        Self { method: "POST", authority, path, headers, body: body.into() }
    }

    /// Adds a header.
    ///
    /// ```
    /// use daisysill_gateway::http_client::Request;
    /// let request = Request::get("10.0.0.1:8080", "/report").with_header("wait-ms", 250);
    /// assert_eq!(request.headers, [("wait-ms", "250".to_owned())]);
    /// ```
    #[must_use]
    pub fn with_header(mut self, name: &'a str, value: impl fmt::Display) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Returns whether no text of the head could end its line: parts of the path come from other processes.
    fn is_valid(&self) -> bool {
        let is_value = |value: &str| value.bytes().all(|byte| byte == b' ' || byte.is_ascii_graphic());
        self.path.bytes().all(|byte| byte.is_ascii_graphic())
            && is_value(self.authority)
            && self.headers.iter().all(|(_, value)| is_value(value))
    }

    fn encode_head(&self) -> Vec<u8> {
        let Self { method, authority, path, headers, body } = self;
        let mut head = format!("{method} {path} HTTP/1.1\r\nhost: {authority}\r\n");
        for (name, value) in headers {
            head.extend([name, ": ", value, "\r\n"]);
        }
        if *method != "GET" {
            head.extend(["content-length: ", &body.len().to_string(), "\r\n"]);
        }
        head.push_str("\r\n");
        head.into_bytes()
    }
}

/// A whole response.
#[derive(Clone, Debug)]
pub struct Response {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

/// Why a request got no whole response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No byte of the request was sent.
    NotSent(io::ErrorKind),
    /// The connection broke after that.
    Broken(io::ErrorKind),
    /// The response is malformed.
    Malformed(ResponseFault),
    /// The body is larger than the caller accepts.
    TooLarge,
    /// The response did not arrive in time.
    TimedOut,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(error) => write!(f, "not sent: {error}"),
            Self::Broken(error) => write!(f, "the connection broke without a whole response: {error}"),
            Self::Malformed(fault) => fault.fmt(f),
            Self::TooLarge => f.write_str("the response is too large"),
            Self::TimedOut => f.write_str("no whole response in time"),
        }
    }
}

impl std::error::Error for CallError {}

impl From<ReadError> for CallError {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::Broken(error) => Self::Broken(error),
            ReadError::Malformed(fault) => Self::Malformed(fault),
        }
    }
}

/// Opens a connection to a host and port.
///
/// # Errors
/// Fails if the host has no address or refuses the connection, or does not accept it in time.
pub async fn connect(authority: &str, connect_timeout: Duration) -> Result<UpstreamConnection, CallError> {
    let not_sent = |error: io::Error| CallError::NotSent(error.kind());
    let mut addresses = lookup_host(authority).await.map_err(not_sent)?;
    let address = addresses.next().ok_or(CallError::NotSent(io::ErrorKind::NotFound))?;
    UpstreamConnection::connect(address, connect_timeout).await.map_err(not_sent)
}

/// Sends a request and reads the head of the response.
///
/// # Errors
/// Fails if the request is invalid, the connection breaks or the head is malformed.
pub async fn send(
    connection: &mut UpstreamConnection,
    request: &Request<'_>,
) -> Result<ResponseHead, CallError> {
    if !request.is_valid() {
        return Err(CallError::NotSent(io::ErrorKind::InvalidInput));
    }
    let id = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed).to_string();
    let written = connection.write_request(Some(&id), &request.encode_head(), &request.body).await;
    written.map_err(|(sent_bytes, error)| match sent_bytes {
        0 => CallError::NotSent(error),
        _ => CallError::Broken(error),
    })?;
    let (head, ()) = connection.read_head(request.method, |_| ()).await?;
    Ok(head)
}

/// Reads the whole body of a response.
///
/// # Errors
/// Fails if the body does not arrive to its end, is malformed or has more than `max_bytes`.
pub async fn read_body(connection: &mut UpstreamConnection, max_bytes: usize) -> Result<Bytes, CallError> {
    let mut body = BytesMut::new();
    while let Some(bytes) = connection.read_body().await? {
        if body.len() + bytes.len() > max_bytes {
            return Err(CallError::TooLarge);
        }
        body.extend_from_slice(&bytes);
    }
    Ok(body.freeze())
}

/// Sends a request on an open connection and reads the whole response.
///
/// # Errors
/// Fails as [`send`] and [`read_body`] do.
pub async fn exchange(
    connection: &mut UpstreamConnection,
    request: &Request<'_>,
    max_body_bytes: usize,
) -> Result<Response, CallError> {
    let head = send(connection, request).await?;
    let body = read_body(connection, max_body_bytes).await?;
    Ok(Response { status: head.status, body })
}

/// Sends a request on a connection of its own and reads the whole response, within a time.
///
/// # Errors
/// Fails if there is no whole and sound response in time.
///
/// ```
/// use std::{io, net::TcpListener, time::Duration};
///
/// use daisysill_gateway::http_client::{CallError, Request, call};
///
/// # actix_rt::System::new().block_on(async {
/// let closed = TcpListener::bind("127.0.0.1:0")?.local_addr()?.to_string();
/// let request = Request::get(&closed, "/instances");
/// let error = call(&request, Duration::from_secs(1), 1_024).await.unwrap_err();
/// assert_eq!(error, CallError::NotSent(io::ErrorKind::ConnectionRefused));
/// # io::Result::Ok(())
/// # })?;
/// # io::Result::Ok(())
/// ```
pub async fn call(
    request: &Request<'_>,
    time_limit: Duration,
    max_body_bytes: usize,
) -> Result<Response, CallError> {
    let exchange = async {
        let mut connection = connect(request.authority, time_limit).await?;
        exchange(&mut connection, request, max_body_bytes).await
    };
    timeout(time_limit, exchange).await.unwrap_or(Err(CallError::TimedOut))
}
