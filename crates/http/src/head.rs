//! Parses the head of a response.

use daisysill_core::field_value::{decimal, trim};
use httparse::{EMPTY_HEADER, Error, Header, Response, Status};

use crate::fault::ResponseFault;

/// Maximum number of fields of a head.
pub const MAX_HEADERS: usize = 64;
/// Maximum number of informational heads before the one that counts.
pub const MAX_INFORMATIONAL_HEADS: usize = 8;
/// Statuses with a class that RFC 9110 defines.
const STATUSES: std::ops::RangeInclusive<u16> = 100..=599;
const SWITCHING_PROTOCOLS: u16 = 101;
/// Length of the version and the status in a status line, `HTTP/1.1 200`, which a blank follows.
const VERSION_AND_STATUS_BYTES: usize = 12;

/// Space for the fields of a head.
pub type Headers<'b> = [Header<'b>; MAX_HEADERS];

/// Returns space for the fields of a head.
pub const fn headers<'b>() -> Headers<'b> {
    [EMPTY_HEADER; MAX_HEADERS]
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes; 0 for responses that have no body.
    Length(u64),
    /// By the chunked transfer coding.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

impl Framing {
    /// Returns the `framing` label used in logs and metrics.
    ///
    /// ```
    /// assert_eq!(daisysill_http::Framing::UntilClose.name(), "until_close");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::Length(_) => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until_close",
        }
    }
}

/// The head of a response.
#[derive(Clone, Copy, Debug)]
pub struct ResponseHead<'h, 'b> {
    /// From 100 to 599.
    pub status: u16,
    /// All fields, those of the connection included.
    pub headers: &'h [Header<'b>],
    /// How the end of the body that follows is determined.
    pub framing: Framing,
    /// Whether the server keeps the connection open after the response.
    pub keeps_open: bool,
    /// Length of the head with the empty line that ends it.
    pub head_bytes: usize,
}

impl ResponseHead<'_, '_> {
    /// Returns whether another head follows for the same request.
    ///
    /// ```
    /// use daisysill_http::{headers, parse_head};
    /// let mut space = headers();
    /// let head = parse_head(b"HTTP/1.1 103 Early Hints\r\n\r\n", &mut space, false).unwrap().unwrap();
    /// assert!(head.is_informational());
    /// ```
    pub const fn is_informational(&self) -> bool {
        self.status < 200
    }
}

/// Parses the head at the start of `input`; `None` while it is incomplete. `answers_head_request` says whether it answers a
/// `HEAD` request, so that no body follows.
///
/// # Errors
/// Fails if the bytes are not the head of an HTTP/1.0 or HTTP/1.1 response, or leave the end of the body uncertain.
///
/// ```
/// use daisysill_http::{Framing, ResponseFault, headers, parse_head};
/// let mut space = headers();
/// let head = parse_head(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncue7", &mut space, false);
/// assert_eq!(head.unwrap().unwrap().framing, Framing::Length(4));
/// let signed = parse_head(b"HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\ncue7", &mut space, false);
/// assert_eq!(signed.unwrap_err(), ResponseFault::Length);
/// ```
pub fn parse_head<'h, 'b>(
    input: &'b [u8],
    headers: &'h mut Headers<'b>,
    answers_head_request: bool,
) -> Result<Option<ResponseHead<'h, 'b>>, ResponseFault> {
    // Only servers may skip empty lines before a message.
    if matches!(input.first(), Some(b'\r' | b'\n')) {
        return Err(ResponseFault::StatusLine);
    }
    let mut response = Response::new(headers);
    let head_bytes = match response.parse(input) {
        Ok(Status::Complete(head_bytes)) => head_bytes,
        Ok(Status::Partial) => return Ok(None),
        Err(error) => return Err(fault_of(error)),
    };
    check_status_line(input)?;
    let (Some(status), Some(minor_version)) = (response.code, response.version) else {
        return Err(ResponseFault::StatusLine);
    };
    if !STATUSES.contains(&status) || status == SWITCHING_PROTOCOLS {
        return Err(ResponseFault::Status);
    }
    let headers: &[Header<'_>] = response.headers;
    let fields = ConnectionFields::read(headers, minor_version)?;
    let has_no_body = answers_head_request || matches!(status, 100..=199 | 204 | 304);
    let framing = if has_no_body { Framing::Length(0) } else { fields.framing() };
    let keeps_open = minor_version >= 1 && !fields.closes;
    Ok(Some(ResponseHead { status, headers, framing, keeps_open, head_bytes }))
}

const fn fault_of(error: Error) -> ResponseFault {
    match error {
        Error::HeaderName | Error::HeaderValue | Error::NewLine => ResponseFault::Field,
        Error::Status | Error::Token | Error::Version => ResponseFault::StatusLine,
        Error::TooManyHeaders => ResponseFault::TooLarge,
    }
}

/// Checks what the parser lets pass: a status without a blank behind it, and a reason phrase that breaks off where the head of
/// another response begins.
fn check_status_line(input: &[u8]) -> Result<(), ResponseFault> {
    let line = input.split(|byte| *byte == b'\n').next().unwrap_or_default();
    match line.get(VERSION_AND_STATUS_BYTES..) {
        Some([b' ', reason @ ..]) if holds_status_line(reason) => Err(ResponseFault::TwoHeads),
        Some([b' ', ..]) => Ok(()),
        _ => Err(ResponseFault::StatusLine),
    }
}

/// What the fields of a head state about its connection and the framing of its body.
#[derive(Clone, Copy, Debug, Default)]
struct ConnectionFields {
    length: Option<u64>,
    is_chunked: bool,
    /// Whether the server closes the connection after the response.
    closes: bool,
}

impl ConnectionFields {
    fn read(headers: &[Header<'_>], minor_version: u8) -> Result<Self, ResponseFault> {
        let mut fields = Self::default();
        for header in headers {
            let value = trim(header.value);
            if holds_status_line(value) {
                return Err(ResponseFault::TwoHeads);
            }
            if header.name.eq_ignore_ascii_case("content-length") {
                fields.read_length(value)?;
            } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
                fields.read_transfer_coding(value, minor_version)?;
            } else if header.name.eq_ignore_ascii_case("connection") {
                fields.closes |= value.split(|byte| *byte == b',').any(is_close);
            }
        }
        if fields.is_chunked && fields.length.is_some() {
            return Err(ResponseFault::TransferCoding);
        }
        Ok(fields)
    }

    /// A length that is stated twice may be that of two responses.
    fn read_length(&mut self, value: &[u8]) -> Result<(), ResponseFault> {
        let length = decimal(value).ok_or(ResponseFault::Length)?;
        if self.length.replace(length).is_some() {
            return Err(ResponseFault::Length);
        }
        Ok(())
    }

    /// HTTP/1.0 has no transfer codings, and no sender applies the chunked one twice.
    fn read_transfer_coding(&mut self, value: &[u8], minor_version: u8) -> Result<(), ResponseFault> {
        if self.is_chunked || minor_version == 0 || !value.eq_ignore_ascii_case(b"chunked") {
            return Err(ResponseFault::TransferCoding);
        }
        self.is_chunked = true;
        Ok(())
    }

    const fn framing(&self) -> Framing {
        match (self.is_chunked, self.length) {
            (true, _) => Framing::Chunked,
            (false, Some(length)) => Framing::Length(length),
            (false, None) => Framing::UntilClose,
        }
    }
}

fn is_close(option: &[u8]) -> bool {
    trim(option).eq_ignore_ascii_case(b"close")
}

/// Returns whether a text holds a status line, `HTTP/1.1 200 OK`. What the response states would be that of two.
pub(crate) fn holds_status_line(text: &[u8]) -> bool {
    const VERSION: &[u8] = b"HTTP/1.";
    let starts = text.windows(VERSION.len()).enumerate().filter(|(_, window)| *window == VERSION);
    starts.map(|(at, _)| &text[at + VERSION.len()..]).any(|rest| {
        matches!(rest, [b'0' | b'1', b' ', status @ ..]
            if status.len() >= 3 && status[..3].iter().all(u8::is_ascii_digit))
    })
}
