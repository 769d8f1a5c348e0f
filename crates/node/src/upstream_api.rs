//! Client traits for upstreams and the platform; a deployment may supply its own implementations.

use std::fmt;

use actix_web::web::Bytes;
use daisysill_wire::http_types::{
    CacheEvents, EngineEvent, EngineLoad, EngineOrder, EngineRequest, ExportReply, ExportRequest,
    ImportReply, ImportRequest, PlatformList, StoreUsage,
};
use futures::{
    FutureExt,
    future::{LocalBoxFuture, ready},
    stream::LocalBoxStream,
};
use tokio::time::Instant;

/// Why nothing is sent to an upstream whose zone is evacuated.
pub const ZONE_EVACUATED: &str = "the upstream's zone is evacuated";

/// Why an attempt failed; the `Display` texts are visible to callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptError {
    /// No byte of the request was sent.
    NotSent(String),
    /// The upstream refused before it executed anything.
    Refused {
        /// Describes the response, such as its status; visible to callers.
        message: String,
        /// Whether it refused because it is leaving, in which case it gets no more requests.
        leaving: bool,
        /// When the upstream allows a retry, if it says so.
        retry_after_ms: Option<u64>,
    },
    /// The request was sent and failed; it may have been executed.
    Failed(String),
    /// Nothing arrived within the time limit; the request may have been executed.
    Silent,
    /// The dispatch deadline passed before the first byte was sent.
    TooLate,
}

impl AttemptError {
    /// Returns whether the upstream certainly did not execute the request.
    pub const fn is_not_run(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Refused { .. } | Self::TooLate)
    }
}

impl fmt::Display for AttemptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(message) => write!(f, "not sent: {message}"),
            Self::Refused { message, .. } => write!(f, "refused by the upstream: {message}"),
            Self::Failed(message) => write!(f, "failed after sending: {message}"),
            Self::TooLate => f.write_str("not sent: the dispatch deadline passed"),
            Self::Silent => f.write_str("no progress before the deadline"),
        }
    }
}

impl std::error::Error for AttemptError {}

/// The result of a request to an upstream.
pub type AttemptResult<T> = Result<T, AttemptError>;

/// The events of one attempt; ends after the event with the finish reason, or with an error.
pub type EngineStream = LocalBoxStream<'static, AttemptResult<EngineEvent>>;

/// A client for model engines.
pub trait Engine {
    /// Starts an attempt; `traceparent` identifies its parent span and may be empty.
    fn generate<'a>(
        &'a self,
        url: &'a str,
        request: &'a EngineRequest,
        traceparent: &'a str,
    ) -> LocalBoxFuture<'a, AttemptResult<EngineStream>>;
    /// Cancels the attempt or the transfer with this id.
    fn cancel<'a>(&'a self, url: &'a str, id: &'a str) -> LocalBoxFuture<'a, AttemptResult<()>>;
    /// Reads the load report, which also names the incarnation and the weight version.
    fn load<'a>(&'a self, url: &'a str) -> LocalBoxFuture<'a, AttemptResult<EngineLoad>>;
    /// Reads the cache events that follow sequence number `after`.
    fn cache_events<'a>(&'a self, url: &'a str, after: u64)
    -> LocalBoxFuture<'a, AttemptResult<CacheEvents>>;
    /// Makes the engine write pieces to a store, where they become sealed blocks.
    fn export<'a>(
        &'a self,
        url: &'a str,
        request: &'a ExportRequest,
    ) -> LocalBoxFuture<'a, AttemptResult<ExportReply>>;
    /// Makes the engine read blocks from a store and verify them.
    fn import<'a>(
        &'a self,
        url: &'a str,
        request: &'a ImportRequest,
    ) -> LocalBoxFuture<'a, AttemptResult<ImportReply>>;
    /// Sends an order, for instance to load weights; ends when the engine has accepted it.
    fn order<'a>(&'a self, url: &'a str, order: &'a EngineOrder) -> LocalBoxFuture<'a, AttemptResult<()>>;
}

/// A client for stores of KV cache blocks.
pub trait Store {
    /// Reads the store's capacity, its use and the speed of its link.
    fn usage<'a>(&'a self, url: &'a str) -> LocalBoxFuture<'a, AttemptResult<StoreUsage>>;
    /// Deletes one generation of a block.
    fn free<'a>(
        &'a self,
        url: &'a str,
        name: &'a str,
        generation: u64,
    ) -> LocalBoxFuture<'a, AttemptResult<()>>;
}

/// A request to a plain service.
#[derive(Clone, Debug)]
pub struct PlainRequest {
    /// HTTP method, as the caller sent it.
    pub method: String,
    /// Path and query, starting with `/`.
    pub path: String,
    /// Headers to forward.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Bytes,
}

/// The complete response of a plain service.
#[derive(Clone, Debug)]
pub struct PlainResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers to forward.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Bytes,
}

/// A client for plain services.
pub trait PlainService {
    /// Sends a request and reads the complete response.
    fn send<'a>(
        &'a self,
        url: &'a str,
        request: &'a PlainRequest,
        traceparent: &'a str,
    ) -> LocalBoxFuture<'a, AttemptResult<PlainResponse>>;

    /// Checks that the upstream accepts TCP connections.
    fn ping<'a>(&'a self, url: &'a str) -> LocalBoxFuture<'a, AttemptResult<()>>;

    /// Sends a request on a new connection, with its first byte before `dispatch_deadline` or not at all.
    ///
    /// The errors `NotSent` and `TooLate` guarantee that no byte was written to the connection.
    fn send_before<'a>(
        &'a self,
        url: &'a str,
        request: &'a PlainRequest,
        traceparent: &'a str,
        dispatch_deadline: Instant,
    ) -> LocalBoxFuture<'a, AttemptResult<PlainResponse>>;

    /// As `send` or `send_before`, if the checks hold. The HTTP client evaluates them on the open connection.
    fn send_checked<'a>(
        &'a self,
        url: &'a str,
        request: &'a PlainRequest,
        traceparent: &'a str,
        checks: SendChecks<'a>,
    ) -> LocalBoxFuture<'a, AttemptResult<PlainResponse>> {
        if !(checks.may_send)() {
            return ready(Err(AttemptError::NotSent(ZONE_EVACUATED.to_owned()))).boxed_local();
        }
        match checks.deadline {
            Some(deadline) => self.send_before(url, request, traceparent, deadline),
            None => self.send(url, request, traceparent),
        }
    }
}

/// What must hold when the first byte of a request is written.
#[derive(Clone, Copy)]
pub struct SendChecks<'a> {
    /// The dispatch deadline, if the request has one.
    pub deadline: Option<Instant>,
    /// Returns whether the upstream may still get the request.
    pub may_send: &'a dyn Fn() -> bool,
}

/// A client for the platform's list of instances.
pub trait Platform {
    /// Reads the complete list, which the node treats as the set of its upstreams.
    fn instances<'a>(&'a self, url: &'a str) -> LocalBoxFuture<'a, AttemptResult<PlatformList>>;
}
