//! The head of an upstream's response as it is kept: the headers to forward, the framing of the body and keep-alive.

use std::time::Duration;

use actix_web::http::StatusCode;
use bytes::Bytes;
use daisysill_core::{
    event_tracker::EventTracker,
    field_value::{decimal, trim},
};
use daisysill_http::ResponseFault;

pub use daisysill_http::Framing;

const KEEP_ALIVE: &str = "keep-alive";
/// Fields that concern the connection only and are not forwarded.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "content-length",
    KEEP_ALIVE,
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
/// The content type of server-sent events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// The head of a response, without hop-by-hop headers.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status, also if it is informational.
    pub status: StatusCode,
    /// Headers to forward, with lower-case names.
    pub headers: Vec<(Bytes, Bytes)>,
    /// Framing of the body that follows.
    pub framing: Framing,
    /// Whether the upstream keeps the connection open after the response.
    pub keeps_open: bool,
    /// Idle timeout of the connection, if the upstream announces one in `keep-alive`.
    pub idle_timeout: Option<Duration>,
}

impl ResponseHead {
    /// Returns whether a body that is read to the end of its framing ended early: it is missing, or it is declared to hold
    /// events and stops inside one.
    pub fn ends_early(&self, body: &[u8]) -> bool {
        let mut tracker = EventTracker::default();
        tracker.push(body);
        let cuts_event = self.content_type().is_some_and(is_event_stream) && tracker.is_inside_event();
        cuts_event || (body.is_empty() && self.promises_body())
    }

    /// Returns whether a body without a byte is missing: the upstream closed the connection right after the head of a success
    /// that states no length. An empty body has one.
    pub fn promises_body(&self) -> bool {
        self.framing == Framing::UntilClose && self.status.is_success()
    }

    /// Returns whether the body may be a stream of server-sent events: it is declared as one, or as nothing.
    pub fn may_hold_events(&self) -> bool {
        self.content_type().is_none_or(is_event_stream)
    }

    /// Returns whether the body of this response may go on where a body with the head `first` broke off: the caller has
    /// that head, and reads all bytes as it says.
    pub fn continues(&self, first: &Self) -> bool {
        self.status == first.status
            && self.content_type().map(is_event_stream) == first.content_type().map(is_event_stream)
            && self.header(b"content-encoding") == first.header(b"content-encoding")
    }

    fn content_type(&self) -> Option<&[u8]> {
        self.header(b"content-type")
    }

    /// Returns the value of a header to forward, given its name in lower case.
    pub fn header(&self, name: &[u8]) -> Option<&[u8]> {
        let header = self.headers.iter().find(|(known, _)| known.as_ref() == name);
        header.map(|(_, value)| value.as_ref())
    }
}

fn is_event_stream(content_type: &[u8]) -> bool {
    content_type.get(..EVENT_STREAM.len()).is_some_and(|start| start.eq_ignore_ascii_case(EVENT_STREAM))
}

impl ResponseHead {
    /// Keeps what a parsed head states for the connection and for the caller.
    pub(crate) fn new(parsed: &daisysill_http::ResponseHead<'_, '_>) -> Result<Self, ResponseFault> {
        let status = StatusCode::from_u16(parsed.status).map_err(|_| ResponseFault::Status)?;
        let forwarded = parsed.headers.iter().filter(|header| !is_hop_by_hop(header.name));
        let keep_alive = parsed.headers.iter().rfind(|header| header.name.eq_ignore_ascii_case(KEEP_ALIVE));
        Ok(Self {
            status,
            headers: forwarded.map(owned).collect(),
            framing: parsed.framing,
            keeps_open: parsed.keeps_open,
            idle_timeout: keep_alive.and_then(|header| parse_idle_timeout(header.value)),
        })
    }
}

fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.iter().any(|known| name.eq_ignore_ascii_case(known))
}

fn owned(header: &httparse::Header<'_>) -> (Bytes, Bytes) {
    (Bytes::from(header.name.to_ascii_lowercase()), Bytes::copy_from_slice(header.value))
}

/// Parses the value of `keep-alive`, such as `timeout=5, max=100`.
fn parse_idle_timeout(value: &[u8]) -> Option<Duration> {
    let mut parameters = value.split(|byte| *byte == b',').map(trim);
    let seconds = parameters.find_map(|parameter| parameter.strip_prefix(b"timeout="))?;
    decimal(trim(seconds)).map(Duration::from_secs)
}
