//! Interprets the head of an upstream's response: the headers to forward, the framing of the body and keep-alive.

use std::time::Duration;

use actix_web::http::StatusCode;
use bytes::Bytes;
use daisysill_core::event_tracker::EventTracker;

/// The content type of server-sent events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes; 0 for responses that have no body.
    Length(u64),
    /// By the chunked transfer encoding.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

impl Framing {
    /// Returns the `framing` label used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Length(_) => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until_close",
        }
    }
}

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

    fn header(&self, name: &[u8]) -> Option<&[u8]> {
        let header = self.headers.iter().find(|(known, _)| known.as_ref() == name);
        header.map(|(_, value)| value.as_ref())
    }
}

fn is_event_stream(content_type: &[u8]) -> bool {
    content_type.get(..EVENT_STREAM.len()).is_some_and(|start| start.eq_ignore_ascii_case(EVENT_STREAM))
}

/// Why a head cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// The status is out of range.
    Malformed,
    /// The framing of the body is invalid, contradictory or unsupported.
    BadFraming,
    /// A header breaks off, and the head of another response follows in its value.
    TwoHeads,
}

/// Interprets the parsed head of a response to a request with the method `method`.
pub(crate) fn read_head(
    method: &str,
    code: u16,
    minor_version: u8,
    headers: &[httparse::Header<'_>],
) -> Result<ResponseHead, HeadError> {
    let status = StatusCode::from_u16(code).map_err(|_| HeadError::Malformed)?;
    let mut length = None;
    let mut chunked = false;
    let mut keeps_open = minor_version >= 1;
    let mut idle_timeout = None;
    let mut forwarded = Vec::with_capacity(headers.len());
    for header in headers {
        if holds_status_line(header.value) {
            return Err(HeadError::TwoHeads);
        }
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        match header.name.to_ascii_lowercase().as_str() {
            "content-length" => {
                let parsed: u64 = value.parse().map_err(|_| HeadError::BadFraming)?;
                if length.is_some_and(|known| known != parsed) {
                    return Err(HeadError::BadFraming);
                }
                length = Some(parsed);
            }
            "transfer-encoding" if value.eq_ignore_ascii_case("chunked") => chunked = true,
            "transfer-encoding" => return Err(HeadError::BadFraming),
            "connection" => {
                keeps_open &= !value.split(',').any(|token| token.trim().eq_ignore_ascii_case("close"));
            }
            "keep-alive" => idle_timeout = parse_idle_timeout(value),
            "proxy-connection" | "trailer" | "upgrade" | "te" => {}
            name => {
                forwarded
                    .push((Bytes::copy_from_slice(name.as_bytes()), Bytes::copy_from_slice(header.value)));
            }
        }
    }
    let without_body = method == "HEAD" || code == 204 || code == 304;
    let framing = match (without_body, chunked, length) {
        (true, ..) => Framing::Length(0),
        (false, true, None) => Framing::Chunked,
        (false, true, Some(_)) => return Err(HeadError::BadFraming),
        (false, false, Some(length)) => Framing::Length(length),
        (false, false, None) => Framing::UntilClose,
    };
    Ok(ResponseHead { status, headers: forwarded, framing, keeps_open, idle_timeout })
}

/// Returns whether a value ends with a status line, `HTTP/1.1 200 OK`. What the response states would be that of two.
fn holds_status_line(value: &[u8]) -> bool {
    const VERSION: &[u8] = b"HTTP/1.";
    let starts = value.windows(VERSION.len()).enumerate().filter(|(_, window)| *window == VERSION);
    starts.map(|(at, _)| &value[at + VERSION.len()..]).any(|rest| {
        matches!(rest, [b'0' | b'1', b' ', status @ ..]
            if status.len() >= 3 && status[..3].iter().all(u8::is_ascii_digit))
    })
}

fn parse_idle_timeout(value: &str) -> Option<Duration> {
    let mut parts = value.split(',').filter_map(|part| part.trim().strip_prefix("timeout="));
    parts.next()?.trim().parse().ok().map(Duration::from_secs)
}
