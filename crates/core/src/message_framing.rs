//! Where the messages on an HTTP/1.1 connection end, found from their bytes as these pass.
//!
//! Handles callers that send requests ahead: the bytes of the next request can be held back until the one in progress is
//! answered. The bytes are not kept, and each part of a message that could go on without end has a bound.

mod head;

use head::{Head, TransferEncoding};

/// The most bytes of a head. The config's own bound on headers is far below and has an answer of its own.
pub const MAX_HEAD_BYTES: usize = 64 * 1_024;
/// The most bytes of one line of chunk framing, with its extensions.
pub const MAX_CHUNK_LINE_BYTES: usize = 1_024;
/// The most bytes of all trailers of a message.
pub const MAX_TRAILER_BYTES: usize = 16 * 1_024;
/// The most bytes of chunk framing for one byte of data beyond [`MAX_CHUNK_FRAMING_BYTES`]. A chunk of one byte without
/// extensions takes five.
const MAX_FRAMING_PER_DATA_BYTE: u64 = 16;
/// The most bytes of chunk framing of a message whose chunks are nearly empty.
pub const MAX_CHUNK_FRAMING_BYTES: u64 = 64 * 1_024;
/// Bytes of a header line that are kept to recognize those that frame the body; the longest such line is shorter.
const KEPT_LINE_BYTES: usize = 256;

/// Which messages a [`MessageFraming`] follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Requests of the client.
    Requests,
    /// Responses of the server.
    Responses,
}

/// Why no further message of the connection can be followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FramingError {
    /// The bytes are not HTTP/1.1, or the length of the body is ambiguous.
    Malformed,
    /// The head, the trailers or the chunk framing is larger than its bound.
    TooLarge,
}

impl FramingError {
    /// Returns the `reason` used in logs and metrics.
    ///
    /// ```
    /// use daisysill_core::message_framing::FramingError;
    /// assert_eq!(FramingError::Malformed.name(), "malformed");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::TooLarge => "too_large",
        }
    }
}

/// Follows the framing of the messages in one direction of a connection.
#[derive(Clone, Debug)]
pub struct MessageFraming {
    direction: Direction,
    state: State,
    head: Head,
    /// Start of the line in progress.
    line: Vec<u8>,
    /// Length of the line in progress.
    line_bytes: usize,
    /// Bytes of the head or the trailers so far.
    section_bytes: usize,
    framing_bytes: u64,
    data_bytes: u64,
    /// Whether the response in progress answers a `HEAD` request.
    has_no_body: bool,
    max_head_bytes: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Head,
    Length { left: u64 },
    ChunkSize,
    ChunkData { left: u64 },
    ChunkEnd,
    Trailers,
    UntilClose,
    Complete,
    Failed(FramingError),
}

impl MessageFraming {
    /// Starts before the first message.
    ///
    /// ```
    /// use daisysill_core::message_framing::{Direction, MessageFraming};
    /// let mut framing = MessageFraming::new(Direction::Requests);
    /// let first = b"POST /cue HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
    /// let both = [first.as_slice(), b"GET / HTTP/1.1\r\n\r\n"].concat();
    /// assert_eq!(framing.take(&both), first.len());
    /// assert!(framing.is_complete());
    /// assert_eq!(framing.take(&both[first.len()..]), 0);
    /// framing.begin_next(false);
    /// assert_eq!(framing.take(&both[first.len()..]), 18);
    /// ```
    pub fn new(direction: Direction) -> Self {
        Self {
            direction,
            state: State::Head,
            head: Head::default(),
            line: Vec::new(),
            line_bytes: 0,
            section_bytes: 0,
            framing_bytes: 0,
            data_bytes: 0,
            has_no_body: false,
            max_head_bytes: MAX_HEAD_BYTES,
        }
    }

    /// Sets the longest head of a message, [`MAX_HEAD_BYTES`] otherwise.
    ///
    /// ```
    /// use daisysill_core::message_framing::{Direction, FramingError, MessageFraming};
    /// let mut framing = MessageFraming::new(Direction::Requests).with_max_head_bytes(10);
    /// framing.take(b"GET / HTTP/1.1\r\n\r\n");
    /// assert_eq!(framing.error(), Some(FramingError::TooLarge));
    /// ```
    #[must_use]
    pub fn with_max_head_bytes(mut self, max_head_bytes: usize) -> Self {
        self.max_head_bytes = max_head_bytes;
        self
    }

    /// Returns how many of the next bytes of the connection belong to the message in progress, and takes them. Bytes that
    /// belong to no message that can be followed are not taken.
    ///
    /// ```
    /// use daisysill_core::message_framing::{Direction, FramingError, MessageFraming};
    /// let mut framing = MessageFraming::new(Direction::Requests);
    /// assert_eq!(framing.take(b"GET / HTTP/1.1\r\nContent-Length: x\r\n\r\nGET"), 37);
    /// assert_eq!(framing.error(), Some(FramingError::Malformed));
    /// assert_eq!(framing.take(b"GET"), 0);
    /// ```
    pub fn take(&mut self, bytes: &[u8]) -> usize {
        let mut taken = 0;
        while taken < bytes.len() {
            let rest = &bytes[taken..];
            taken += match self.state {
                State::Complete | State::Failed(_) => break,
                State::UntilClose => rest.len(),
                State::Length { left } => {
                    let count = at_most(left, rest.len());
                    self.state = match left - count as u64 {
                        0 => State::Complete,
                        left => State::Length { left },
                    };
                    count
                }
                State::ChunkData { left } => {
                    let count = at_most(left, rest.len());
                    self.data_bytes += count as u64;
                    self.state = match left - count as u64 {
                        0 => State::ChunkEnd,
                        left => State::ChunkData { left },
                    };
                    count
                }
                State::Head | State::ChunkSize | State::ChunkEnd | State::Trailers => self.take_line(rest),
            };
        }
        taken
    }

    /// Returns how many of the next bytes are empty lines between two messages, which servers skip: they begin no message and
    /// need not be passed on. A carriage return alone counts too, since its line feed may follow later.
    ///
    /// ```
    /// use daisysill_core::message_framing::{Direction, MessageFraming};
    /// let mut framing = MessageFraming::new(Direction::Requests);
    /// assert_eq!(framing.empty_lines(b"\r\nGET"), 2);
    /// framing.take(b"GET");
    /// assert_eq!(framing.empty_lines(b"\r\n"), 0);
    /// ```
    pub fn empty_lines(&self, bytes: &[u8]) -> usize {
        if !self.is_complete() && !self.is_before_message() {
            return 0;
        }
        bytes.iter().position(|byte| !matches!(byte, b'\r' | b'\n')).unwrap_or(bytes.len())
    }

    /// Returns whether the message in progress has been taken to its end.
    ///
    /// ```
    /// use daisysill_core::message_framing::{Direction, MessageFraming};
    /// assert!(!MessageFraming::new(Direction::Requests).is_complete());
    /// ```
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// Returns whether no byte of the next message has been taken.
    ///
    /// ```
    /// use daisysill_core::message_framing::{Direction, MessageFraming};
    /// let mut framing = MessageFraming::new(Direction::Requests);
    /// assert!(framing.is_before_message());
    /// framing.take(b"G");
    /// assert!(!framing.is_before_message());
    /// ```
    pub fn is_before_message(&self) -> bool {
        self.state == State::Head && self.section_bytes == 0
    }

    /// Returns whether a part of a head, but not all of it, has been taken.
    ///
    /// ```
    /// use daisysill_core::message_framing::{Direction, MessageFraming};
    /// let mut framing = MessageFraming::new(Direction::Requests);
    /// framing.take(b"GET / HTTP/1.1\r\n");
    /// assert!(framing.is_inside_head());
    /// framing.take(b"\r\n");
    /// assert!(!framing.is_inside_head());
    /// ```
    pub fn is_inside_head(&self) -> bool {
        self.state == State::Head && self.section_bytes > 0
    }

    /// Returns whether the message in progress is a `HEAD` request, whose response has no body.
    ///
    /// ```
    /// use daisysill_core::message_framing::{Direction, MessageFraming};
    /// let mut framing = MessageFraming::new(Direction::Requests);
    /// framing.take(b"HEAD / HTTP/1.1\r\n\r\n");
    /// assert!(framing.is_head_request());
    /// ```
    pub fn is_head_request(&self) -> bool {
        self.head.is_head_request
    }

    /// Returns why the message in progress cannot be followed; `None` while it can.
    ///
    /// ```
    /// use daisysill_core::message_framing::{Direction, MessageFraming};
    /// assert_eq!(MessageFraming::new(Direction::Responses).error(), None);
    /// ```
    pub fn error(&self) -> Option<FramingError> {
        match self.state {
            State::Failed(error) => Some(error),
            _ => None,
        }
    }

    /// Begins the next message; `answers_head_request` says for a response whether it answers a `HEAD` request. Nothing
    /// changes once the framing has failed.
    ///
    /// ```
    /// use daisysill_core::message_framing::{Direction, MessageFraming};
    /// let mut framing = MessageFraming::new(Direction::Responses);
    /// framing.begin_next(true);
    /// framing.take(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
    /// assert!(framing.is_complete());
    /// ```
    pub fn begin_next(&mut self, answers_head_request: bool) {
        if self.error().is_none() {
            let next = Self::new(self.direction).with_max_head_bytes(self.max_head_bytes);
            *self = Self { has_no_body: answers_head_request, ..next };
        }
    }

    /// Takes bytes up to the end of the line in progress.
    fn take_line(&mut self, bytes: &[u8]) -> usize {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let count = end.map_or(bytes.len(), |end| end + 1);
        let kept = KEPT_LINE_BYTES.saturating_sub(self.line.len()).min(count);
        self.line.extend_from_slice(&bytes[..kept]);
        self.line_bytes += count;
        self.section_bytes += count;
        self.framing_bytes += count as u64;
        if self.is_too_large() {
            self.state = State::Failed(FramingError::TooLarge);
        } else if end.is_some() {
            let is_cut = self.line_bytes > self.line.len();
            let line = std::mem::take(&mut self.line);
            self.line_bytes = 0;
            self.state = self.after_line(line.trim_ascii_end(), is_cut);
        }
        count
    }

    fn is_too_large(&self) -> bool {
        match self.state {
            State::Head => self.section_bytes > self.max_head_bytes,
            State::Trailers => self.section_bytes > MAX_TRAILER_BYTES,
            _ => {
                let allowed = MAX_CHUNK_FRAMING_BYTES + MAX_FRAMING_PER_DATA_BYTE * self.data_bytes;
                self.line_bytes > MAX_CHUNK_LINE_BYTES
                    || self.framing_bytes > allowed + self.max_head_bytes as u64
            }
        }
    }

    /// Returns the state after a line, which is given without its end; `is_cut` says that only its start is given.
    fn after_line(&mut self, line: &[u8], is_cut: bool) -> State {
        match self.state {
            // Servers skip empty lines before a start line.
            State::Head if line.is_empty() && !self.head.has_start_line => State::Head,
            State::Head if line.is_empty() => self.after_head(),
            State::Head => {
                if self.head.read_line(line, is_cut, self.direction).is_err() {
                    // The server gets the rest of the head, so that it can answer.
                    self.head.encoding = TransferEncoding::Unknown;
                }
                State::Head
            }
            State::ChunkSize => match chunk_size(line) {
                Some(0) => {
                    self.section_bytes = 0;
                    State::Trailers
                }
                Some(left) => State::ChunkData { left },
                None => State::Failed(FramingError::Malformed),
            },
            State::ChunkEnd if line.is_empty() => State::ChunkSize,
            State::ChunkEnd => State::Failed(FramingError::Malformed),
            State::Trailers if line.is_empty() => State::Complete,
            state => state,
        }
    }

    fn after_head(&mut self) -> State {
        let head = &self.head;
        match self.direction {
            // Interim responses come before the one that counts.
            Direction::Responses if matches!(head.status, 100..=199) && head.status != 101 => {
                self.begin_next(self.has_no_body);
                State::Head
            }
            Direction::Responses if head.status == 101 => State::UntilClose,
            Direction::Responses if self.has_no_body || matches!(head.status, 204 | 304) => State::Complete,
            _ if head.is_malformed() => State::Failed(FramingError::Malformed),
            _ if head.encoding == TransferEncoding::Chunked => State::ChunkSize,
            Direction::Responses if head.length.is_none() => State::UntilClose,
            _ => match head.length {
                None | Some(0) => State::Complete,
                Some(left) => State::Length { left },
            },
        }
    }
}

/// Returns the smaller of a number of bytes that are left and a length.
fn at_most(left: u64, length: usize) -> usize {
    usize::try_from(left).unwrap_or(usize::MAX).min(length)
}

/// Parses the line before the data of a chunk, without its extensions.
fn chunk_size(line: &[u8]) -> Option<u64> {
    let digits = line.split(|byte| *byte == b';').next()?.trim_ascii();
    let is_digits = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    is_digits.then(|| u64::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()).flatten()
}
