//! One connection to an upstream, which carries one request at a time.

use std::{
    io::{self, IoSlice},
    net::SocketAddr,
    time::Duration,
};

use bytes::{Buf, Bytes, BytesMut};
use socket2::SockRef;
use tokio::{
    io::AsyncReadExt,
    net::TcpStream,
    time::{Instant, timeout},
};

use crate::http_head::{AnswerHead, Framing, HeadError, read_head};

/// Bytes of the head of an answer at most.
const MAX_HEAD_BYTES: usize = 32 * 1_024;
/// Headers of an answer at most.
const MAX_HEADERS: usize = 64;
/// Bytes of the line that begins a chunk at most.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Bytes read at a time.
const READ_BYTES: usize = 8 * 1_024;
/// Time that sent bytes may stay unacknowledged before the kernel gives the connection up.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(3);

/// Why an answer could not be read.
#[derive(Debug)]
pub enum ReadError {
    /// The connection broke or ended too early.
    Broken(io::ErrorKind),
    /// The bytes are no answer.
    Malformed,
}

impl From<io::Error> for ReadError {
    fn from(error: io::Error) -> Self {
        Self::Broken(error.kind())
    }
}

impl From<HeadError> for ReadError {
    fn from(_: HeadError) -> Self {
        Self::Malformed
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyState {
    /// No answer is being read.
    Idle,
    /// Bytes that are left of the body.
    Length(u64),
    /// Before the line that begins a chunk.
    ChunkStart,
    /// Bytes that are left of the chunk.
    ChunkData(u64),
    /// Before the end of the line after a chunk.
    ChunkEnd,
    /// After the last chunk.
    Trailers,
    /// Until the connection ends.
    UntilClose,
    /// The body is complete.
    Complete,
}

/// A connection to an upstream.
#[derive(Debug)]
pub struct UpstreamConnection {
    stream: TcpStream,
    input: BytesMut,
    body: BodyState,
    /// Whether all bytes of the request were written.
    written: bool,
    keeps: bool,
    idle_limit: Option<Duration>,
    idle_since: Instant,
}

impl UpstreamConnection {
    /// Connects.
    ///
    /// # Errors
    /// Fails if the upstream does not accept the connection within `limit`.
    pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = timeout(limit, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
        Ok(Self {
            stream,
            input: BytesMut::new(),
            body: BodyState::Idle,
            written: true,
            keeps: true,
            idle_limit: None,
            idle_since: Instant::now(),
        })
    }

    /// Returns whether the connection can carry another request: its last answer was read whole, nothing
    /// followed it, and the upstream has not closed it.
    pub fn is_reusable(&mut self) -> bool {
        let settled =
            self.written && self.keeps && matches!(self.body, BodyState::Idle | BodyState::Complete);
        if !settled || !self.input.is_empty() {
            return false;
        }
        let mut byte = [0; 1];
        matches!(self.stream.try_read(&mut byte), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Marks the connection as idle from now on.
    pub fn set_idle(&mut self) {
        self.idle_since = Instant::now();
        self.input = BytesMut::new();
    }

    /// Returns whether the connection has been idle for so long that the upstream may be about to close it.
    /// `default_limit` holds where the upstream has named no limit.
    pub fn is_expired(&self, default_limit: Duration) -> bool {
        /// Left for a request that is on its way while the upstream closes.
        const MARGIN: Duration = Duration::from_millis(700);
        let limit = self.idle_limit.unwrap_or(default_limit);
        self.idle_since.elapsed() + MARGIN >= limit.max(MARGIN * 2)
    }

    /// Returns the time since the connection became idle.
    pub fn idle_for(&self) -> Duration {
        self.idle_since.elapsed()
    }

    /// Sends a request and reads the head of the answer. The answer may come before the request is written;
    /// then the rest is not written and the connection is not used again.
    ///
    /// # Errors
    /// Fails with how many bytes of the request were written, which tells whether it may have run.
    pub(crate) async fn exchange(&mut self, head: &[u8], body: &Bytes) -> Result<(), (usize, io::ErrorKind)> {
        self.written = false;
        self.body = BodyState::Idle;
        let mut request = Buf::chain(head, body.clone());
        let mut sent = 0;
        while request.has_remaining() {
            let mut slices = [IoSlice::new(&[]); 2];
            let count = request.chunks_vectored(&mut slices);
            match self.stream.try_write_vectored(&slices[..count]) {
                Ok(0) => return Err((sent, io::ErrorKind::WriteZero)),
                Ok(written) => {
                    sent += written;
                    request.advance(written);
                    continue;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err((sent, error.kind())),
            }
            tokio::select! {
                biased;
                ready = self.stream.writable() => ready.map_err(|error| (sent, error.kind()))?,
                ready = self.stream.readable(), if sent > 0 => {
                    match ready.and_then(|()| self.stream.try_read_buf(&mut self.input)) {
                        Ok(0) => return Err((sent, io::ErrorKind::UnexpectedEof)),
                        Ok(_) => return Ok(()),
                        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                        Err(error) => return Err((sent, error.kind())),
                    }
                }
            }
        }
        self.written = true;
        Ok(())
    }

    /// Reads the head of an answer and hands its parsed headers to `inspect`.
    pub(crate) async fn read_head<T>(
        &mut self,
        method: &str,
        mut inspect: impl FnMut(&[httparse::Header<'_>]) -> T,
    ) -> Result<(AnswerHead, T), ReadError> {
        loop {
            if let Some((head, extra)) = self.parse_head(method, &mut inspect)? {
                if head.status.is_informational() {
                    continue;
                }
                self.keeps = head.keeps_connection && head.framing != Framing::UntilClose;
                self.idle_limit = head.idle_limit;
                self.body = match head.framing {
                    Framing::Length(0) => BodyState::Complete,
                    Framing::Length(length) => BodyState::Length(length),
                    Framing::Chunked => BodyState::ChunkStart,
                    Framing::UntilClose => BodyState::UntilClose,
                };
                return Ok((head, extra));
            }
            if self.input.len() > MAX_HEAD_BYTES {
                return Err(ReadError::Malformed);
            }
            self.fill().await?;
        }
    }

    fn parse_head<T>(
        &mut self,
        method: &str,
        inspect: &mut impl FnMut(&[httparse::Header<'_>]) -> T,
    ) -> Result<Option<(AnswerHead, T)>, ReadError> {
        if self.input.is_empty() {
            return Ok(None);
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut answer = httparse::Response::new(&mut headers);
        let consumed = match answer.parse(&self.input) {
            Ok(httparse::Status::Complete(consumed)) => consumed,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(ReadError::Malformed),
        };
        let (Some(code), Some(minor)) = (answer.code, answer.version) else {
            return Err(ReadError::Malformed);
        };
        let head = read_head(method, code, minor, answer.headers)?;
        let extra = inspect(answer.headers);
        self.input.advance(consumed);
        Ok(Some((head, extra)))
    }

    /// Reads the next bytes of the body; `None` once it is complete.
    ///
    /// # Errors
    /// Fails if the connection ends before the body is complete.
    pub(crate) async fn read_body(&mut self) -> Result<Option<Bytes>, ReadError> {
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
                    let line = self.line().await?;
                    let size = chunk_size(&line).ok_or(ReadError::Malformed)?;
                    self.body = if size == 0 { BodyState::Trailers } else { BodyState::ChunkData(size) };
                }
                BodyState::ChunkEnd => {
                    if !self.line().await?.is_empty() {
                        return Err(ReadError::Malformed);
                    }
                    self.body = BodyState::ChunkStart;
                }
                BodyState::Trailers => {
                    if self.line().await?.is_empty() {
                        self.body = BodyState::Complete;
                    }
                }
            }
        }
    }

    /// Returns whether the body was read whole.
    pub(crate) fn is_complete(&self) -> bool {
        self.body == BodyState::Complete
    }

    fn take(&mut self, most: u64) -> Option<Bytes> {
        if self.input.is_empty() {
            return None;
        }
        let count = usize::try_from(most).unwrap_or(usize::MAX).min(self.input.len());
        Some(self.input.split_to(count).freeze())
    }

    async fn line(&mut self) -> Result<Bytes, ReadError> {
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

    async fn fill(&mut self) -> Result<(), ReadError> {
        if self.read_more().await? == 0 {
            return Err(ReadError::Broken(io::ErrorKind::UnexpectedEof));
        }
        Ok(())
    }

    async fn read_more(&mut self) -> io::Result<usize> {
        self.input.reserve(READ_BYTES);
        self.stream.read_buf(&mut self.input).await
    }
}

/// Reads the size that begins a chunk; extensions are ignored.
fn chunk_size(line: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(line).ok()?;
    let digits = text.split(';').next()?.trim();
    if digits.is_empty() || digits.len() > 8 || !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    u64::from_str_radix(digits, 16).ok()
}
