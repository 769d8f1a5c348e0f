//! Traits through which a node reaches upstreams and the platform; deployments may bring their own.

use std::fmt;

use actix_web::web::Bytes;
use daisysill_wire::http_types::{
    CacheEvents, EngineEvent, EngineLoad, EngineOrder, EngineRequest, ExportReply, ExportRequest,
    ImportReply, ImportRequest, PlatformList, StoreUsage,
};
use futures::{future::LocalBoxFuture, stream::LocalBoxStream};
use tokio::time::Instant;

/// Why an attempt has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptError {
    /// No byte was sent.
    NotSent(String),
    /// The upstream refused before it executed anything.
    Refused {
        /// What the upstream said.
        message: String,
        /// Whether it refused because it is leaving.
        leaving: bool,
        /// When the upstream asks to come back.
        retry_after_ms: Option<u64>,
    },
    /// The call was sent and failed; it may have been executed.
    Failed(String),
    /// Nothing arrived for the progress deadline.
    Silent,
    /// No byte was sent, since the dispatch deadline had passed.
    TooLate,
}

impl AttemptError {
    /// Returns whether the call certainly was not executed.
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

/// The result of a call to an upstream.
pub type AttemptResult<T> = Result<T, AttemptError>;

/// The events of one attempt.
pub type EngineStream = LocalBoxStream<'static, AttemptResult<EngineEvent>>;

/// A model engine.
pub trait Engine {
    /// Starts an attempt; `traceparent` names the span it belongs to.
    fn generate<'a>(
        &'a self,
        url: &'a str,
        request: &'a EngineRequest,
        traceparent: &'a str,
    ) -> LocalBoxFuture<'a, AttemptResult<EngineStream>>;
    /// Cancels an attempt or a transfer.
    fn cancel<'a>(&'a self, url: &'a str, id: &'a str) -> LocalBoxFuture<'a, AttemptResult<()>>;
    /// Reads the load report.
    fn load<'a>(&'a self, url: &'a str) -> LocalBoxFuture<'a, AttemptResult<EngineLoad>>;
    /// Reads cache events from `after` on.
    fn cache_events<'a>(&'a self, url: &'a str, after: u64)
    -> LocalBoxFuture<'a, AttemptResult<CacheEvents>>;
    /// Writes pieces to a store and seals them.
    fn export<'a>(
        &'a self,
        url: &'a str,
        request: &'a ExportRequest,
    ) -> LocalBoxFuture<'a, AttemptResult<ExportReply>>;
    /// Reads and verifies blocks from a store.
    fn import<'a>(
        &'a self,
        url: &'a str,
        request: &'a ImportRequest,
    ) -> LocalBoxFuture<'a, AttemptResult<ImportReply>>;
    /// Gives an order.
    fn order<'a>(&'a self, url: &'a str, order: &'a EngineOrder) -> LocalBoxFuture<'a, AttemptResult<()>>;
}

/// A store of KV blocks.
pub trait Store {
    /// Reads how full the store is.
    fn usage<'a>(&'a self, url: &'a str) -> LocalBoxFuture<'a, AttemptResult<StoreUsage>>;
    /// Frees a block.
    fn free<'a>(
        &'a self,
        url: &'a str,
        name: &'a str,
        generation: u64,
    ) -> LocalBoxFuture<'a, AttemptResult<()>>;
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct PlainRequest {
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// End-to-end headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

/// The answer of a plain service.
#[derive(Clone, Debug)]
pub struct PlainResponse {
    /// The HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

/// A plain service.
pub trait PlainService {
    /// Sends a call and reads the whole answer.
    fn send<'a>(
        &'a self,
        url: &'a str,
        request: &'a PlainRequest,
        traceparent: &'a str,
    ) -> LocalBoxFuture<'a, AttemptResult<PlainResponse>>;

    /// Checks that the upstream takes connections.
    fn ping<'a>(&'a self, url: &'a str) -> LocalBoxFuture<'a, AttemptResult<()>>;

    /// Sends a call on a new connection, with its first byte before `dispatch_deadline` or not at all.
    ///
    /// The errors `NotSent` and `TooLate` state that not a single byte reached the connection.
    fn send_before<'a>(
        &'a self,
        url: &'a str,
        request: &'a PlainRequest,
        traceparent: &'a str,
        dispatch_deadline: Instant,
    ) -> LocalBoxFuture<'a, AttemptResult<PlainResponse>>;
}

/// The platform's list of instances.
pub trait Platform {
    /// Reads the list.
    fn instances<'a>(&'a self, url: &'a str) -> LocalBoxFuture<'a, AttemptResult<PlatformList>>;
}
