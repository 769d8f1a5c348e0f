//! The head of an upstream's answer and the framing of its body.

use std::time::Duration;

use actix_web::http::StatusCode;
use bytes::Bytes;

/// How the end of a body is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// A number of bytes.
    Length(u64),
    /// Chunks.
    Chunked,
    /// It ends with the connection.
    UntilClose,
}

/// The head of an answer.
#[derive(Clone, Debug)]
pub(crate) struct AnswerHead {
    /// The status.
    pub(crate) status: StatusCode,
    /// The headers to pass on.
    pub(crate) headers: Vec<(Bytes, Bytes)>,
    /// The framing of the body.
    pub(crate) framing: Framing,
    /// Whether the upstream keeps the connection.
    pub(crate) keeps_connection: bool,
    /// How long the upstream keeps the connection while it is idle, if it says so.
    pub(crate) idle_limit: Option<Duration>,
}

/// Why a head cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadError {
    /// It is no HTTP answer.
    Malformed,
    /// The framing of the body is missing or contradictory.
    BadFraming,
}

/// Reads the parsed head of an answer to a request with the method `method`.
pub(crate) fn read_head(
    method: &str,
    code: u16,
    minor_version: u8,
    headers: &[httparse::Header<'_>],
) -> Result<AnswerHead, HeadError> {
    let status = StatusCode::from_u16(code).map_err(|_| HeadError::Malformed)?;
    let mut length = None;
    let mut chunked = false;
    let mut keeps_connection = minor_version >= 1;
    let mut idle_limit = None;
    let mut kept = Vec::with_capacity(headers.len());
    for header in headers {
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
                keeps_connection &= !value.split(',').any(|token| token.trim().eq_ignore_ascii_case("close"));
            }
            "keep-alive" => idle_limit = read_idle_limit(value),
            "proxy-connection" | "trailer" | "upgrade" | "te" => {}
            name => {
                kept.push((Bytes::copy_from_slice(name.as_bytes()), Bytes::copy_from_slice(header.value)));
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
    Ok(AnswerHead { status, headers: kept, framing, keeps_connection, idle_limit })
}

fn read_idle_limit(value: &str) -> Option<Duration> {
    let mut parts = value.split(',').filter_map(|part| part.trim().strip_prefix("timeout="));
    parts.next()?.trim().parse().ok().map(Duration::from_secs)
}
