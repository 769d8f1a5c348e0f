//! An HTTP/1.1 connection to an upstream that carries one request at a time.

mod body;

use std::{
    io::{self, IoSlice},
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use bytes::{Buf, Bytes, BytesMut};
use daisysill_core::{carried_requests::CarriedRequests, memory_budget::MemoryReservation};
use daisysill_http::{
    BodyReader, Framing, MAX_INFORMATIONAL_HEADS, ResponseFault, headers, parse_head, record_refusal,
};
use socket2::SockRef;
use tokio::{
    io::AsyncReadExt,
    net::TcpStream,
    time::{Instant, timeout},
};

use crate::http_head::ResponseHead;

/// Maximum size of the head of a response.
const MAX_HEAD_BYTES: usize = 32 * 1_024;
/// Space reserved for each read.
const READ_BYTES: usize = 8 * 1_024;
/// `TCP_USER_TIMEOUT`: the kernel closes the connection when sent bytes stay unacknowledged for this time.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// The number of the next connection of this process.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Why a response could not be read.
#[derive(Debug)]
pub enum ReadError {
    /// The connection failed, or ended before the response was complete.
    Broken(io::ErrorKind),
    /// The bytes are not a valid HTTP/1.1 response, or exceed a limit.
    Malformed(ResponseFault),
}

impl From<io::Error> for ReadError {
    fn from(error: io::Error) -> Self {
        Self::Broken(error.kind())
    }
}

impl From<ResponseFault> for ReadError {
    fn from(fault: ResponseFault) -> Self {
        Self::Malformed(fault)
    }
}

/// A connection to an upstream, reusable after a complete exchange.
#[derive(Debug)]
pub struct UpstreamConnection {
    stream: TcpStream,
    /// Its number in the logs of this process.
    number: u64,
    carried: CarriedRequests,
    /// Bytes received but not parsed yet.
    input: BytesMut,
    /// The memory that `input` occupies; `None` if only its own limits bound it.
    memory: Option<MemoryReservation>,
    /// `None` while no head of a response was read.
    body: Option<BodyReader>,
    /// Number of bytes of the present request that were written.
    sent_bytes: usize,
    /// Whether the whole request was written.
    request_written: bool,
    /// Whether the upstream keeps the connection open after the response.
    keeps_open: bool,
    /// The idle timeout that the upstream announced.
    idle_timeout: Option<Duration>,
    idle_since: Instant,
}

impl UpstreamConnection {
    /// Opens a TCP connection.
    ///
    /// # Errors
    /// Fails if the upstream does not accept the connection within `connect_timeout`.
    pub async fn connect(address: SocketAddr, connect_timeout: Duration) -> io::Result<Self> {
        let stream = timeout(connect_timeout, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        Ok(Self::over(stream))
    }

    /// Uses a connection that is open, with the socket options that it has.
    pub fn over(stream: TcpStream) -> Self {
        Self {
            stream,
            number: NEXT_NUMBER.fetch_add(1, Ordering::Relaxed),
            carried: CarriedRequests::default(),
            input: BytesMut::new(),
            memory: None,
            body: None,
            sent_bytes: 0,
            request_written: true,
            keeps_open: true,
            idle_timeout: None,
            idle_since: Instant::now(),
        }
    }

    /// Reserves the memory of received bytes from now on. If there is none, reads fail with
    /// [`io::ErrorKind::OutOfMemory`].
    #[must_use]
    pub fn with_memory(self, reservation: MemoryReservation) -> Self {
        Self { memory: Some(reservation), ..self }
    }

    /// Returns its number in the logs of this process.
    pub const fn number(&self) -> u64 {
        self.number
    }

    /// Returns the requests that it has carried.
    pub const fn carried(&self) -> &CarriedRequests {
        &self.carried
    }

    /// Returns whether the connection can carry another request: the last response was read to its end, no bytes
    /// followed it, the upstream has not closed the connection, and it has not carried too many. [`Self::carried`]
    /// decides which requests it may carry.
    pub fn is_reusable(&mut self) -> bool {
        let exchange_complete = self.request_written
            && self.keeps_open
            && !self.carried.is_full()
            && self.body.is_none_or(|body| body.is_complete());
        if !exchange_complete || !self.input.is_empty() {
            return false;
        }
        let mut byte = [0; 1];
        matches!(self.stream.try_read(&mut byte), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Starts the idle time and frees the input buffer.
    pub fn set_idle(&mut self) {
        self.idle_since = Instant::now();
        self.input = BytesMut::new();
        if let Some(memory) = &mut self.memory {
            memory.release();
        }
    }

    /// Returns whether the connection has been idle for so long that the upstream may be about to close it.
    /// `default_timeout` applies if the upstream announced no idle timeout.
    pub fn is_expired(&self, default_timeout: Duration) -> bool {
        /// Time for a request to reach the upstream before it closes the connection.
        const MARGIN: Duration = Duration::from_millis(700);
        let idle_timeout = self.idle_timeout.unwrap_or(default_timeout);
        self.idle_since.elapsed() + MARGIN >= idle_timeout.max(MARGIN * 2)
    }

    /// Returns the time since [`Self::set_idle`].
    pub fn idle_for(&self) -> Duration {
        self.idle_since.elapsed()
    }

    /// Writes a request with this ID. Stops early if response bytes arrive before the whole request is written; the connection is
    /// then not reused unless [`Self::write_rest`] writes the rest.
    ///
    /// # Errors
    /// Fails with the number of bytes written; with 0, the request has certainly not run. Nothing is written if the connection
    /// has carried a request with this ID before.
    pub async fn write_request(
        &mut self,
        request_id: Option<&str>,
        head: &[u8],
        body: &Bytes,
    ) -> Result<(), (usize, io::ErrorKind)> {
        self.carried.begin(request_id).map_err(|_| (0, io::ErrorKind::AlreadyExists))?;
        self.sent_bytes = 0;
        self.request_written = false;
        self.body = None;
        self.write_rest(head, body).await
    }

    /// Writes what is left of the present request, of which `head` and `body` are the whole. To be called after an answer to an
    /// earlier request was read, which may have stopped the write. Stops early in the same way.
    ///
    /// # Errors
    /// Fails with the number of bytes of the request that were written in total.
    pub async fn write_rest(&mut self, head: &[u8], body: &Bytes) -> Result<(), (usize, io::ErrorKind)> {
        let mut request = Buf::chain(head, body.clone());
        request.advance(self.sent_bytes);
        while request.has_remaining() {
            if !self.input.is_empty() {
                return Ok(());
            }
            let mut slices = [IoSlice::new(&[]); 2];
            let count = request.chunks_vectored(&mut slices);
            match self.stream.try_write_vectored(&slices[..count]) {
                Ok(0) => return Err((self.sent_bytes, io::ErrorKind::WriteZero)),
                Ok(written) => {
                    self.sent_bytes += written;
                    request.advance(written);
                    continue;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err((self.sent_bytes, error.kind())),
            }
            let sent = self.sent_bytes;
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
        self.request_written = true;
        Ok(())
    }

    /// Reads the head of the next response, skipping informational ones; also returns what `inspect` makes of all its
    /// headers, hop-by-hop headers included. A response that is malformed is counted and logged.
    ///
    /// # Errors
    /// Fails if the connection ends before the head is complete, or the head is malformed.
    pub async fn read_head<T>(
        &mut self,
        method: &str,
        inspect: impl FnMut(&[httparse::Header<'_>]) -> T,
    ) -> Result<(ResponseHead, T), ReadError> {
        let read = self.read_final_head(method, inspect).await;
        read.inspect_err(|error| self.record_malformed(error))
    }

    async fn read_final_head<T>(
        &mut self,
        method: &str,
        mut inspect: impl FnMut(&[httparse::Header<'_>]) -> T,
    ) -> Result<(ResponseHead, T), ReadError> {
        let mut informational_heads = 0;
        loop {
            if let Some((head, inspected)) = self.parse_head(method, &mut inspect)? {
                if head.status.is_informational() {
                    informational_heads += 1;
                    if informational_heads > MAX_INFORMATIONAL_HEADS {
                        return Err(ResponseFault::TooLarge.into());
                    }
                    continue;
                }
                self.keeps_open = head.keeps_open && head.framing != Framing::UntilClose;
                self.idle_timeout = head.idle_timeout;
                self.body = Some(BodyReader::new(head.framing));
                return Ok((head, inspected));
            }
            if self.input.len() > MAX_HEAD_BYTES {
                return Err(ResponseFault::TooLarge.into());
            }
            self.fill().await?;
        }
    }

    fn parse_head<T>(
        &mut self,
        method: &str,
        inspect: &mut impl FnMut(&[httparse::Header<'_>]) -> T,
    ) -> Result<Option<(ResponseHead, T)>, ResponseFault> {
        let mut space = headers();
        let Some(parsed) = parse_head(&self.input, &mut space, method == "HEAD")? else { return Ok(None) };
        let head = ResponseHead::new(&parsed)?;
        let inspected = inspect(parsed.headers);
        let head_bytes = parsed.head_bytes;
        self.input.advance(head_bytes);
        Ok(Some((head, inspected)))
    }

    /// Counts and logs a response that is malformed.
    fn record_malformed(&self, error: &ReadError) {
        if let ReadError::Malformed(fault) = error {
            let peer = self.stream.peer_addr().map_or_else(|_| "-".to_owned(), |address| address.to_string());
            record_refusal(*fault, peer, self.carried.in_progress());
        }
    }

    /// Receives more bytes; the end of the connection is an error.
    async fn fill(&mut self) -> Result<(), ReadError> {
        if self.read_more().await? == 0 {
            return Err(ReadError::Broken(io::ErrorKind::UnexpectedEof));
        }
        Ok(())
    }

    /// Receives more bytes; returns 0 at the end of the connection.
    async fn read_more(&mut self) -> io::Result<usize> {
        self.input.reserve(READ_BYTES);
        if let Some(memory) = &mut self.memory
            && !memory.try_resize(self.input.capacity())
        {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        self.stream.read_buf(&mut self.input).await
    }
}
