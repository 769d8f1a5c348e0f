//! Reads the body of a response as its framing says.

use bytes::Bytes;

use super::{ReadError, UpstreamConnection};
use crate::http_head::Framing;

/// Maximum size of a chunk-size line, of the line after a chunk and of a trailer line.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Maximum number of trailer lines after a chunked body.
const MAX_TRAILER_LINES: usize = 64;

/// How far the body of a response was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyState {
    /// No head of a response was read yet.
    Idle,
    /// Remaining bytes of a body with `content-length`.
    Length(u64),
    /// At a chunk-size line.
    ChunkStart,
    /// Remaining bytes of the chunk.
    ChunkData(u64),
    /// At the line end that follows the data of a chunk.
    ChunkEnd,
    /// After the last chunk and this number of trailer lines, at another one or the final empty line.
    Trailers(usize),
    /// The body ends when the upstream closes the connection.
    UntilClose,
    /// The body was read to its end.
    Complete,
}

impl BodyState {
    /// Returns the state right after the head of a response.
    pub(super) const fn at_start(framing: Framing) -> Self {
        match framing {
            Framing::Length(0) => Self::Complete,
            Framing::Length(length) => Self::Length(length),
            Framing::Chunked => Self::ChunkStart,
            Framing::UntilClose => Self::UntilClose,
        }
    }
}

impl UpstreamConnection {
    /// Reads the next bytes of the body; `None` once it is complete.
    ///
    /// # Errors
    /// Fails if the connection ends before the body is complete, or its chunks are malformed.
    pub async fn read_body(&mut self) -> Result<Option<Bytes>, ReadError> {
        loop {
            match self.body {
                BodyState::Complete | BodyState::Idle => return Ok(None),
                BodyState::Length(left) => {
                    if let Some(bytes) = self.take(left) {
                        let left = left - bytes.len() as u64;
                        self.body = if left == 0 { BodyState::Complete } else { BodyState::Length(left) };
                        return Ok(Some(bytes));
                    }
                    self.fill().await?;
                }
                BodyState::ChunkData(left) => {
                    if let Some(bytes) = self.take(left) {
                        let left = left - bytes.len() as u64;
                        self.body = if left == 0 { BodyState::ChunkEnd } else { BodyState::ChunkData(left) };
                        return Ok(Some(bytes));
                    }
                    self.fill().await?;
                }
                BodyState::UntilClose => {
                    if let Some(bytes) = self.take(u64::MAX) {
                        return Ok(Some(bytes));
                    }
                    if self.read_more().await? == 0 {
                        self.body = BodyState::Complete;
                    }
                }
                BodyState::ChunkStart => {
                    let line = self.read_line().await?;
                    let size = chunk_size(&line).ok_or(ReadError::Malformed)?;
                    self.body = if size == 0 { BodyState::Trailers(0) } else { BodyState::ChunkData(size) };
                }
                BodyState::ChunkEnd => {
                    if !self.read_line().await?.is_empty() {
                        return Err(ReadError::Malformed);
                    }
                    self.body = BodyState::ChunkStart;
                }
                BodyState::Trailers(lines) => {
                    if self.read_line().await?.is_empty() {
                        self.body = BodyState::Complete;
                    } else if lines >= MAX_TRAILER_LINES {
                        return Err(ReadError::Malformed);
                    } else {
                        self.body = BodyState::Trailers(lines + 1);
                    }
                }
            }
        }
    }

    /// Returns whether the body was read to its end.
    pub(crate) fn is_complete(&self) -> bool {
        self.body == BodyState::Complete
    }

    /// Takes up to `max_bytes` received bytes; `None` if there are none.
    fn take(&mut self, max_bytes: u64) -> Option<Bytes> {
        if self.input.is_empty() {
            return None;
        }
        let count = usize::try_from(max_bytes).unwrap_or(usize::MAX).min(self.input.len());
        Some(self.input.split_to(count).freeze())
    }

    /// Reads a line of the chunked framing, without its line end.
    async fn read_line(&mut self) -> Result<Bytes, ReadError> {
        loop {
            if let Some(end) = self.input.iter().position(|byte| *byte == b'\n') {
                let mut line = self.input.split_to(end + 1);
                line.truncate(end);
                if line.last() == Some(&b'\r') {
                    line.truncate(end - 1);
                }
                return Ok(line.freeze());
            }
            if self.input.len() > MAX_CHUNK_LINE_BYTES {
                return Err(ReadError::Malformed);
            }
            self.fill().await?;
        }
    }
}

/// Parses a chunk-size line, ignoring extensions; `None` unless it has 1 to 8 hexadecimal digits.
fn chunk_size(line: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(line).ok()?;
    let digits = text.split(';').next()?.trim();
    if digits.is_empty() || digits.len() > 8 || !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    u64::from_str_radix(digits, 16).ok()
}
