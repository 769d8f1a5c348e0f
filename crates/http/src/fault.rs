//! Why a response is refused.

use std::fmt;

/// Why the bytes of a connection are not a response that can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ResponseFault {
    /// The status line is not one of HTTP/1.0 or HTTP/1.1.
    StatusLine,
    /// The status is not a number from 100 to 599, or it switches to a protocol that was not asked for.
    Status,
    /// A line of the head is not a field.
    Field,
    /// The head breaks off, and that of another response follows.
    TwoHeads,
    /// The length of the body is not one decimal number.
    Length,
    /// The transfer coding is unsupported, or not allowed beside the version or the length.
    TransferCoding,
    /// The framing of a chunk is invalid.
    Chunk,
    /// A line after the last chunk is neither a field nor empty.
    Trailer,
    /// A part of the response exceeds its limit.
    TooLarge,
    /// The connection ended inside the response.
    EndedEarly,
}

impl ResponseFault {
    /// Returns the `reason` used in logs and metrics.
    ///
    /// ```
    /// use daisysill_http::ResponseFault;
    /// assert_eq!(ResponseFault::TwoHeads.name(), "two_heads");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::StatusLine => "status_line",
            Self::Status => "status",
            Self::Field => "field",
            Self::TwoHeads => "two_heads",
            Self::Length => "length",
            Self::TransferCoding => "transfer_coding",
            Self::Chunk => "chunk",
            Self::Trailer => "trailer",
            Self::TooLarge => "too_large",
            Self::EndedEarly => "ended_early",
        }
    }
}

impl fmt::Display for ResponseFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the response is malformed: {}", self.name())
    }
}

impl std::error::Error for ResponseFault {}
