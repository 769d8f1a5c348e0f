//! Finds the end of the body of a response in the bytes that follow its head.

mod chunk;

use self::chunk::{check_trailer, chunk_size};
use crate::{fault::ResponseFault, head::Framing};

/// Maximum size of the line before a chunk, with its line end.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Maximum size of all lines after the last chunk.
const MAX_TRAILER_BYTES: usize = 16 * 1_024;
/// Maximum number of fields after the last chunk.
const MAX_TRAILERS: usize = 64;
const LINE_END: &[u8] = b"\r\n";

/// How far a body was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Remaining bytes of a body with a stated length.
    Length(u64),
    /// At the line before a chunk.
    ChunkStart,
    /// Remaining bytes of the chunk.
    ChunkData(u64),
    /// At the line end that follows the data of a chunk.
    ChunkEnd,
    /// After the last chunk and this much of the trailer section.
    Trailers {
        fields: usize,
        bytes: usize,
    },
    /// The body ends with the connection.
    UntilClose,
    Complete,
}

/// What the next bytes of a connection are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyStep {
    /// This number of bytes of the body, at least one.
    Data(usize),
    /// This number of bytes that only frame it.
    Framing(usize),
    /// Unknown until more bytes arrive.
    NeedsMore,
    /// None of the body, which was read to its end.
    Complete,
}

/// Follows the body of one response.
#[derive(Clone, Copy, Debug)]
pub struct BodyReader {
    state: State,
}

impl BodyReader {
    /// Starts right after the head.
    pub const fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Complete,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkStart,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state }
    }

    /// Returns whether the body was read to its end.
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// Determines what the start of `input` is and advances past it; the caller takes these bytes.
    ///
    /// # Errors
    /// Fails if the framing is invalid.
    ///
    /// ```
    /// use daisysill_http::{BodyReader, BodyStep, Framing};
    /// let mut body = BodyReader::new(Framing::Chunked);
    /// assert_eq!(body.step(b"2"), Ok(BodyStep::NeedsMore));
    /// assert_eq!(body.step(b"2\r\nab"), Ok(BodyStep::Framing(3)));
    /// assert_eq!(body.step(b"ab\r\n0\r\n\r\n"), Ok(BodyStep::Data(2)));
    /// ```
    pub fn step(&mut self, input: &[u8]) -> Result<BodyStep, ResponseFault> {
        if self.is_complete() {
            return Ok(BodyStep::Complete);
        }
        if input.is_empty() {
            return Ok(BodyStep::NeedsMore);
        }
        match self.state {
            State::Length(left) => {
                let (count, left) = take(left, input.len());
                self.state = if left == 0 { State::Complete } else { State::Length(left) };
                Ok(BodyStep::Data(count))
            }
            State::ChunkData(left) => {
                let (count, left) = take(left, input.len());
                self.state = if left == 0 { State::ChunkEnd } else { State::ChunkData(left) };
                Ok(BodyStep::Data(count))
            }
            State::UntilClose => Ok(BodyStep::Data(input.len())),
            State::ChunkStart => self.read_chunk_start(input),
            State::ChunkEnd => self.read_chunk_end(input),
            State::Trailers { fields, bytes } => self.read_trailer(input, fields, bytes),
            State::Complete => Ok(BodyStep::Complete),
        }
    }

    /// Takes the end of the connection into account, which completes a body that nothing else delimits.
    ///
    /// # Errors
    /// Fails if the body has not been read to its end.
    pub fn end_connection(&mut self) -> Result<(), ResponseFault> {
        match self.state {
            State::UntilClose | State::Complete => {
                self.state = State::Complete;
                Ok(())
            }
            _ => Err(ResponseFault::EndedEarly),
        }
    }

    fn read_chunk_start(&mut self, input: &[u8]) -> Result<BodyStep, ResponseFault> {
        let Some(line) = line(input, MAX_CHUNK_LINE_BYTES)? else { return Ok(BodyStep::NeedsMore) };
        let text = line.strip_suffix(LINE_END).ok_or(ResponseFault::Chunk)?;
        self.state = match chunk_size(text).ok_or(ResponseFault::Chunk)? {
            0 => State::Trailers { fields: 0, bytes: 0 },
            size => State::ChunkData(size),
        };
        Ok(BodyStep::Framing(line.len()))
    }

    fn read_chunk_end(&mut self, input: &[u8]) -> Result<BodyStep, ResponseFault> {
        let start = &input[..input.len().min(LINE_END.len())];
        if !LINE_END.starts_with(start) {
            return Err(ResponseFault::Chunk);
        }
        if start.len() < LINE_END.len() {
            return Ok(BodyStep::NeedsMore);
        }
        self.state = State::ChunkStart;
        Ok(BodyStep::Framing(LINE_END.len()))
    }

    fn read_trailer(&mut self, input: &[u8], fields: usize, bytes: usize) -> Result<BodyStep, ResponseFault> {
        let Some(line) = line(input, MAX_TRAILER_BYTES - bytes)? else { return Ok(BodyStep::NeedsMore) };
        if matches!(line, b"\r\n" | b"\n") {
            self.state = State::Complete;
        } else if fields == MAX_TRAILERS {
            return Err(ResponseFault::TooLarge);
        } else {
            check_trailer(line)?;
            self.state = State::Trailers { fields: fields + 1, bytes: bytes + line.len() };
        }
        Ok(BodyStep::Framing(line.len()))
    }
}

/// Returns how many of `available` bytes belong to `left` bytes, and how many of these are left after them.
fn take(left: u64, available: usize) -> (usize, u64) {
    let count = usize::try_from(left).unwrap_or(usize::MAX).min(available);
    (count, left - count as u64)
}

/// Returns the line at the start of `input`, with its end; `None` while it is incomplete.
fn line(input: &[u8], max_bytes: usize) -> Result<Option<&[u8]>, ResponseFault> {
    let end = input.iter().take(max_bytes).position(|byte| *byte == b'\n');
    match end {
        Some(end) => Ok(Some(&input[..=end])),
        None if input.len() >= max_bytes => Err(ResponseFault::TooLarge),
        None => Ok(None),
    }
}
