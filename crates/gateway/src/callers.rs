//! Connections of callers: served one request at a time, bounded in number, memory and time.
//!
//! The HTTP server parses all requests that it finds in its buffer, whose size then is many times that of their bytes. So a
//! wrapper between socket and server hands it one request at a time, and leaves the rest in the socket.

mod connections;
mod drain;
mod ended_log;
mod listener;
mod progress_timer;
mod stream;
mod unread_statement;

pub use connections::{
    CallerConnections, ConnectionMetrics, EndReason, EndedConnections, Place, StreamLimits,
};
pub use listener::{AcceptedStream, ListenerConfig, bind, http_service, plain};
pub use stream::{CallerStream, HeldRequests};
pub use unread_statement::UnreadStatement;
