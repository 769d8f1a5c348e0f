//! TCP connections to upstreams: options that detect dead peers, and a dispatch deadline for the first byte.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::Service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, ConnectorService};
use awc::http::Uri;
use futures::{FutureExt, future::LocalBoxFuture};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::Instant,
};

use crate::upstream_api::AttemptError;

/// Time that sent bytes may stay unacknowledged before the kernel closes the connection.
const USER_TIMEOUT: Duration = Duration::from_secs(5);
/// Idle time before the first keepalive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Unanswered keepalive probes after which the kernel closes the connection.
const KEEPALIVE_PROBES: u32 = 3;

/// The last chunk of a chunked body without trailers.
const LAST_CHUNK: &[u8; 5] = b"0\r\n\r\n";

/// Lets the first byte of a request pass only before a deadline, and records the traffic of its connection.
///
/// The deadline is checked at the write to the socket, so it also holds if the process was suspended while it
/// connected.
#[derive(Debug)]
pub struct SendGate {
    deadline: Instant,
    missed_deadline: Cell<bool>,
    written_bytes: Cell<usize>,
    /// The last bytes received.
    tail: Cell<[u8; LAST_CHUNK.len()]>,
}

impl SendGate {
    /// Creates a gate that fails the first write at `deadline` or later.
    pub fn new(deadline: Instant) -> Rc<Self> {
        Rc::new(Self {
            deadline,
            missed_deadline: Cell::new(false),
            written_bytes: Cell::new(0),
            tail: Cell::default(),
        })
    }

    /// Reclassifies the HTTP client's error by whether bytes were written to the connection.
    pub fn classify(&self, error: AttemptError) -> AttemptError {
        match error {
            _ if self.missed_deadline.get() => AttemptError::TooLate,
            AttemptError::NotSent(message) if self.written_bytes.get() > 0 => AttemptError::Failed(message),
            AttemptError::Failed(message) if self.written_bytes.get() == 0 => AttemptError::NotSent(message),
            other => other,
        }
    }

    /// Returns whether the last bytes received are the end of a chunked body without trailers.
    pub fn ends_chunked_body(&self) -> bool {
        self.tail.get() == *LAST_CHUNK
    }

    fn record_received(&self, bytes: &[u8]) {
        let mut tail = self.tail.get();
        for byte in bytes.iter().rev().take(tail.len()).rev() {
            tail.rotate_left(1);
            tail[LAST_CHUNK.len() - 1] = *byte;
        }
        self.tail.set(tail);
    }

    fn check_deadline(&self) -> io::Result<()> {
        if self.written_bytes.get() == 0 && Instant::now() >= self.deadline {
            self.missed_deadline.set(true);
            return Err(io::Error::new(io::ErrorKind::TimedOut, "the dispatch deadline passed"));
        }
        Ok(())
    }
}

/// Opens connections to upstreams with the socket options that detect dead peers.
#[derive(Clone)]
pub struct UpstreamConnector {
    inner: ConnectorService,
    gate: Option<Rc<SendGate>>,
}

impl UpstreamConnector {
    /// Creates a connector; a gate, if given, covers all connections that it opens.
    pub fn new(gate: Option<Rc<SendGate>>) -> Self {
        Self { inner: ConnectorService::default(), gate }
    }
}

impl Service<ConnectInfo<Uri>> for UpstreamConnector {
    type Response = Connection<Uri, UpstreamStream>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    actix_service::always_ready!();

    fn call(&self, request: ConnectInfo<Uri>) -> Self::Future {
        let connect = self.inner.call(request);
        let gate = self.gate.clone();
        async move {
            let connection = connect.await?;
            set_options(connection.io_ref()).map_err(ConnectError::Io)?;
            let (stream, uri) = connection.into_parts();
            Ok(Connection::new(uri, UpstreamStream { stream, gate }))
        }
        .boxed_local()
    }
}

fn set_options(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive.with_retries(KEEPALIVE_PROBES))?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_tcp_nodelay(true)
}

/// A connection to an upstream whose reads and writes pass through the gate, if there is one.
#[derive(Debug)]
pub struct UpstreamStream {
    stream: TcpStream,
    gate: Option<Rc<SendGate>>,
}

impl AsyncRead for UpstreamStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let (Some(gate), Poll::Ready(Ok(()))) = (&self.gate, &result) {
            gate.record_received(&buffer.filled()[before..]);
        }
        result
    }
}

impl AsyncWrite for UpstreamStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let gate = self.gate.clone();
        if let Some(gate) = &gate {
            gate.check_deadline()?;
        }
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let (Some(gate), Poll::Ready(Ok(count))) = (gate, &result) {
            gate.written_bytes.set(gate.written_bytes.get() + count);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl ActixStream for UpstreamStream {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.stream.poll_read_ready(context).map_ok(|()| Ready::READABLE)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.stream.poll_write_ready(context).map_ok(|()| Ready::WRITABLE)
    }
}
