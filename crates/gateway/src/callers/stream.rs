//! The transport between a client's socket and the HTTP server: hands over one request at a time.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, Waker, ready},
    time::Duration,
};

use bytes::{Buf, BytesMut};
use daisysill_core::message_framing::{Direction, FramingError, MessageFraming};
use futures::FutureExt;
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::TcpStream,
    runtime::Handle,
};

use super::{
    connections::{EndReason, Place},
    drain::{DRAIN_BYTES, DRAIN_TIME, drain},
    progress_timer::ProgressTimer,
};

/// Whether the client has sent more than the request in progress; shared with the handler of the request.
#[derive(Clone, Debug, Default)]
pub struct HeldRequests(Arc<AtomicBool>);

impl HeldRequests {
    /// Returns whether bytes behind the request in progress have been read.
    pub fn are_held(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Bytes that are read from the socket at once, which bounds those of later requests that are held.
const READ_BYTES: usize = 8 * 1_024;

/// Interval at which a connection that is not read is checked for a client that has closed it. A request that waits for a place
/// at an upstream does so for some 100 ms, and the requests of clients that are gone have to end within that time.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A client's connection.
#[derive(Debug)]
pub struct CallerStream<T: AsyncRead + AsyncWrite + Unpin + Send + 'static> {
    /// The socket, or TLS over it, with the place of the connection; `None` once they are given up.
    open: Option<(T, Place)>,
    /// Returns the socket of the transport.
    socket: fn(&T) -> &TcpStream,
    requests: MessageFraming,
    responses: MessageFraming,
    /// Bytes behind the request in progress.
    ahead: BytesMut,
    held: HeldRequests,
    /// Waits for the end of the response in progress.
    waiting: Option<Waker>,
    reading: ProgressTimer,
    writing: ProgressTimer,
    /// Runs until the next check whether the client has closed the connection.
    checking: ProgressTimer,
    /// Bytes of the request that were handed over after its answer.
    late_bytes: usize,
    /// Whether the client has closed its side, or the node has ended the connection.
    has_ended: bool,
}

impl<T: AsyncRead + AsyncWrite + Unpin + Send + 'static> CallerStream<T> {
    /// Wraps a connection before its first byte is read; `socket` returns the socket of the transport.
    pub fn new(transport: T, place: Place, socket: fn(&T) -> &TcpStream) -> Self {
        let max_head_bytes = place.limits().head_bytes;
        Self {
            open: Some((transport, place)),
            socket,
            requests: MessageFraming::new(Direction::Requests).with_max_head_bytes(max_head_bytes),
            responses: MessageFraming::new(Direction::Responses),
            ahead: BytesMut::new(),
            held: HeldRequests::default(),
            waiting: None,
            reading: ProgressTimer::default(),
            writing: ProgressTimer::default(),
            checking: ProgressTimer::default(),
            late_bytes: 0,
            has_ended: false,
        }
    }

    /// Returns what the handlers of the connection's requests see of it.
    pub fn held_requests(&self) -> HeldRequests {
        self.held.clone()
    }

    /// Returns whether the server has answered a request that has not arrived whole.
    fn is_answered_early(&self) -> bool {
        self.responses.is_complete() && !self.requests.is_complete()
    }

    /// Hands over the request in progress and leaves out empty lines around it; returns whether there were bytes to hand over,
    /// and where the bytes begin that are held.
    fn hand_over_request(&mut self, bytes: &[u8], buffer: &mut ReadBuf<'_>) -> io::Result<(bool, usize)> {
        let start = self.requests.empty_lines(bytes);
        if start == bytes.len() {
            return Ok((false, start));
        }
        let taken = self.hand_over(&bytes[start..], buffer)?;
        let end = start + taken;
        Ok((taken > 0, end + self.requests.empty_lines(&bytes[end..])))
    }

    /// Hands over the part of `bytes` that belongs to the request in progress; returns its length.
    fn hand_over(&mut self, bytes: &[u8], buffer: &mut ReadBuf<'_>) -> io::Result<usize> {
        let offered = &bytes[..bytes.len().min(buffer.remaining())];
        if self.requests.is_before_message()
            && let Some((_, place)) = &mut self.open
        {
            place.begin_request().map_err(|reason| self.end_unread(reason))?;
        }
        let taken = self.requests.take(offered);
        buffer.put_slice(&offered[..taken]);
        if self.is_answered_early() {
            self.late_bytes += taken;
            if self.late_bytes > DRAIN_BYTES {
                return Err(self.end(EndReason::UnreadBody));
            }
        } else if !self.requests.is_inside_head() {
            self.reading.reset();
        }
        if self.requests.error() == Some(FramingError::TooLarge) {
            return Err(self.end(EndReason::Framing(FramingError::TooLarge)));
        }
        if taken > 0 {
            self.begin_next();
        }
        Ok(taken)
    }

    /// Waits with bytes that belong to the next request, or to none.
    fn poll_withheld(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Some(error) = self.requests.error() {
            if self.responses.is_complete() {
                let _ = self.end(EndReason::Framing(error));
                return Poll::Ready(Ok(()));
            }
            ready!(self.poll_stalled(context))?;
        }
        if self.poll_client_closed(context) {
            // The server drops the request in progress, as at the end of a connection that it reads itself.
            self.has_ended = true;
            return Poll::Ready(Ok(()));
        }
        self.waiting = Some(context.waker().clone());
        Poll::Pending
    }

    /// Returns whether the client has closed the connection. The end of the connection cannot be read before the bytes that
    /// precede it, but the socket reports it once the client has sent it, which a client cannot do while the socket has no room
    /// for the bytes before it.
    fn is_client_closed(&self) -> bool {
        let Some((transport, place)) = &self.open else { return true };
        if place.allows_half_closed() {
            return false;
        }
        let ready = (self.socket)(transport).ready(Interest::READABLE).now_or_never();
        matches!(ready, Some(Ok(state)) if state.is_read_closed())
    }

    /// Same as [`Self::is_client_closed`]; wakes the task for the next check.
    fn poll_client_closed(&mut self, context: &mut Context<'_>) -> bool {
        if self.is_client_closed() {
            return true;
        }
        if self.checking.poll_expired(context, CLOSE_CHECK_INTERVAL) {
            self.checking.reset();
            // Begins the next interval.
            let _ = self.checking.poll_expired(context, CLOSE_CHECK_INTERVAL);
        }
        false
    }

    /// Waits for bytes of the request in progress, for a limited time. It is not limited between requests, where the server's
    /// own limit on idle connections applies.
    fn poll_stalled(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some((_, place)) = &self.open else { return Poll::Pending };
        let limits = place.limits();
        let (limit, reason) = if self.is_answered_early() {
            (DRAIN_TIME, EndReason::UnreadBody)
        } else if self.requests.is_inside_head() {
            (limits.head, EndReason::SlowHead)
        } else if self.requests.is_before_message() || self.requests.is_complete() {
            return Poll::Pending;
        } else {
            (limits.body, EndReason::SlowBody)
        };
        if self.reading.poll_expired(context, limit) {
            return Poll::Ready(Err(self.end(reason)));
        }
        Poll::Pending
    }

    /// Follows the bytes that the client's socket has taken.
    fn follow_response(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            if self.responses.is_before_message() {
                self.responses.begin_next(self.requests.is_head_request());
            }
            let taken = self.responses.take(bytes);
            if taken == 0 {
                return;
            }
            bytes = &bytes[taken..];
            if self.is_answered_early() {
                self.reading.reset();
                self.reading.begin();
            }
            self.begin_next();
        }
    }

    /// Begins the next request once the one in progress has arrived and is answered, both to the end.
    fn begin_next(&mut self) {
        if self.responses.is_complete() && self.requests.error().is_some() {
            self.wake();
        }
        if !self.responses.is_complete() || !self.requests.is_complete() {
            return;
        }
        self.requests.begin_next(false);
        self.responses.begin_next(false);
        self.reading.reset();
        self.late_bytes = 0;
        if self.ahead.is_empty()
            && let Some((_, place)) = &mut self.open
        {
            place.end_request();
        }
        self.wake();
    }

    fn wake(&mut self) {
        if let Some(waiting) = self.waiting.take() {
            waiting.wake();
        }
    }

    /// Same as [`Self::end`], while the server has received nothing since the last response. Sends the unread statement if the
    /// listener has one.
    fn end_unread(&mut self, reason: EndReason) -> io::Error {
        let error = self.end(reason);
        let statement = self.open.as_ref().and_then(|(_, place)| place.unread_statement());
        if let Some(statement) = statement
            && let Some((transport, place)) = self.open.take()
        {
            statement.send(transport, Some(place));
        }
        error
    }

    /// Ends the connection; returns the error for the server.
    fn end(&mut self, reason: EndReason) -> io::Error {
        self.has_ended = true;
        match &self.open {
            Some((_, place)) => place.end(reason),
            None => io::ErrorKind::NotConnected.into(),
        }
    }
}

impl<T: AsyncRead + AsyncWrite + Unpin + Send + 'static> AsyncRead for CallerStream<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let Some((_, place)) = &this.open else { return Poll::Ready(Ok(())) };
        if this.has_ended {
            return Poll::Ready(Ok(()));
        }
        if place.is_lost(context.waker()) {
            let _ = this.end_unread(EndReason::Replaced);
            return Poll::Ready(Ok(()));
        }
        if !this.ahead.is_empty() {
            let mut ahead = std::mem::take(&mut this.ahead);
            let (is_handed_over, end) = this.hand_over_request(&ahead, buffer)?;
            ahead.advance(end);
            if !ahead.is_empty() {
                this.ahead = ahead;
            }
            this.held.0.store(!this.ahead.is_empty(), Ordering::Relaxed);
            return if is_handed_over { Poll::Ready(Ok(())) } else { this.poll_withheld(context) };
        }
        loop {
            let Some((transport, _)) = &mut this.open else { return Poll::Ready(Ok(())) };
            let mut bytes = [0; READ_BYTES];
            let mut part = ReadBuf::new(&mut bytes);
            match Pin::new(transport).poll_read(context, &mut part) {
                Poll::Pending => return this.poll_stalled(context),
                Poll::Ready(Ok(())) if !part.filled().is_empty() => {}
                Poll::Ready(end) => {
                    this.has_ended = true;
                    return Poll::Ready(end);
                }
            }
            // A node that was suspended or busy reads requests whose clients have left; their handlers would send them at once.
            if this.requests.is_before_message() && this.is_client_closed() {
                this.has_ended = true;
                return Poll::Ready(Ok(()));
            }
            let (is_handed_over, end) = this.hand_over_request(part.filled(), buffer)?;
            this.ahead.extend_from_slice(&part.filled()[end..]);
            this.held.0.store(!this.ahead.is_empty(), Ordering::Relaxed);
            if is_handed_over {
                return Poll::Ready(Ok(()));
            }
            if !this.ahead.is_empty() {
                return this.poll_withheld(context);
            }
        }
    }
}

impl<T: AsyncRead + AsyncWrite + Unpin + Send + 'static> AsyncWrite for CallerStream<T> {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let Some((transport, place)) = &mut this.open else {
            return Poll::Ready(Err(io::ErrorKind::NotConnected.into()));
        };
        let limit = place.limits().write;
        match Pin::new(transport).poll_write(context, bytes) {
            Poll::Pending if this.writing.poll_expired(context, limit) => {
                Poll::Ready(Err(this.end(EndReason::Unread)))
            }
            Poll::Ready(Ok(count)) => {
                this.writing.reset();
                this.follow_response(&bytes[..count]);
                Poll::Ready(Ok(count))
            }
            other => other,
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let Some((transport, place)) = &mut this.open else { return Poll::Ready(Ok(())) };
        let limit = place.limits().write;
        match Pin::new(transport).poll_flush(context) {
            // A TLS session takes bytes before the socket does.
            Poll::Pending if this.writing.poll_expired(context, limit) => {
                Poll::Ready(Err(this.end(EndReason::Unread)))
            }
            Poll::Ready(Ok(())) => {
                this.writing.reset();
                Poll::Ready(Ok(()))
            }
            other => other,
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.get_mut().open {
            Some((transport, _)) => Pin::new(transport).poll_shutdown(context),
            None => Poll::Ready(Ok(())),
        }
    }
}

impl<T: AsyncRead + AsyncWrite + Unpin + Send + 'static> Drop for CallerStream<T> {
    /// Reads what the client still sends for a while, so that it can read the response.
    fn drop(&mut self) {
        let is_between_requests = self.requests.is_before_message() && self.ahead.is_empty();
        if self.has_ended || is_between_requests || self.responses.is_before_message() {
            return;
        }
        if let (Some((transport, place)), Ok(runtime)) = (self.open.take(), Handle::try_current()) {
            let max_bytes = DRAIN_BYTES.saturating_sub(self.late_bytes);
            runtime.spawn(async move {
                let _place = place;
                drain(transport, max_bytes).await;
            });
        }
    }
}
