//! The transport of a connection after its handshake: typed messages in authenticated frames.

use std::{
    io,
    marker::PhantomData,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

use futures::{Sink, Stream};
use serde::{Serialize, de::DeserializeOwned};
use tarpc::tokio_util::bytes::{Bytes, BytesMut};

use crate::{
    handshake::{RawFrames, Session},
    metrics::{ClusterMetrics, HasPurpose, Purpose},
};

/// Maximum bytes of a frame: the largest publish request of the admin API (16 MiB) and its envelope.
pub(crate) const MAX_FRAME_BYTES: usize = 18 * 1_024 * 1_024;
/// Bytes of a frame's authentication tag, which precedes the message.
const TAG_BYTES: usize = 16;
/// Bytes of a frame's length field, counted in the metrics.
const LENGTH_BYTES: usize = 4;

/// A tarpc transport that authenticates each frame by a keyed digest over its number and content. Frames are not
/// encrypted.
pub(crate) struct AuthenticatedTransport<In, Out> {
    frames: RawFrames,
    send_key: [u8; 32],
    receive_key: [u8; 32],
    sent: u64,
    received: u64,
    frames_in: Arc<AtomicU64>,
    metrics: ClusterMetrics,
    types: PhantomData<fn(Out) -> In>,
}

impl<In, Out> AuthenticatedTransport<In, Out> {
    /// Creates a transport on a connection that completed its handshake.
    pub(crate) fn new(session: Session, metrics: ClusterMetrics) -> Self {
        metrics.count_in(Purpose::Connection, session.bytes_in);
        metrics.count_out(Purpose::Connection, session.bytes_out);
        let Session { mut frames, send_key, receive_key, .. } = session;
        frames.codec_mut().set_max_frame_length(MAX_FRAME_BYTES + TAG_BYTES);
        Self {
            frames,
            send_key,
            receive_key,
            sent: 0,
            received: 0,
            frames_in: Arc::default(),
            metrics,
            types: PhantomData,
        }
    }

    /// Returns the counter of received frames, which shows whether the connection makes progress.
    pub(crate) fn frames_in(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.frames_in)
    }

    fn verify(&mut self, frame: &[u8]) -> io::Result<In>
    where
        In: DeserializeOwned + HasPurpose,
    {
        let invalid = |text: &str| io::Error::new(io::ErrorKind::InvalidData, text.to_owned());
        let (tag, body) = frame
            .split_at_checked(TAG_BYTES)
            .ok_or_else(|| invalid("frame is shorter than its authentication tag"))?;
        let expected = frame_tag(&self.receive_key, self.received, body);
        if !constant_time_equal(tag, &expected) {
            return Err(invalid("authentication tag of the frame does not match"));
        }
        self.received += 1;
        self.frames_in.fetch_add(1, Ordering::Relaxed);
        let message: In = postcard::from_bytes(body).map_err(io::Error::other)?;
        self.metrics.count_in(message.purpose(), frame.len() + LENGTH_BYTES);
        Ok(message)
    }
}

/// Returns the tag of a frame. It covers the frame's number, so that a replayed, dropped or reordered frame is
/// detected.
fn frame_tag(key: &[u8; 32], number: u64, body: &[u8]) -> [u8; TAG_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&number.to_le_bytes()).update(body);
    let mut tag = [0; TAG_BYTES];
    hasher.finalize_xof().fill(&mut tag);
    tag
}

fn constant_time_equal(left: &[u8], right: &[u8]) -> bool {
    left.len() == right.len() && left.iter().zip(right).fold(0, |sum, (l, r)| sum | (l ^ r)) == 0
}

impl<In: DeserializeOwned + HasPurpose, Out> Stream for AuthenticatedTransport<In, Out> {
    type Item = io::Result<In>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let Some(frame) = ready!(Pin::new(&mut self.frames).poll_next(cx)) else { return Poll::Ready(None) };
        Poll::Ready(Some(frame.and_then(|frame: BytesMut| self.verify(&frame))))
    }
}

impl<In, Out: Serialize + HasPurpose> Sink<Out> for AuthenticatedTransport<In, Out> {
    type Error = io::Error;

    fn poll_ready(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Sink::<Bytes>::poll_ready(Pin::new(&mut self.frames), cx)
    }

    fn start_send(mut self: Pin<&mut Self>, message: Out) -> io::Result<()> {
        let bytes = postcard::to_extend(&message, vec![0; TAG_BYTES]).map_err(io::Error::other)?;
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                "message exceeds the maximum frame size",
            ));
        }
        let mut bytes = bytes;
        let tag = frame_tag(&self.send_key, self.sent, &bytes[TAG_BYTES..]);
        bytes[..TAG_BYTES].copy_from_slice(&tag);
        self.sent += 1;
        self.metrics.count_out(message.purpose(), bytes.len() + LENGTH_BYTES);
        Pin::new(&mut self.frames).start_send(Bytes::from(bytes))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Sink::<Bytes>::poll_flush(Pin::new(&mut self.frames), cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Sink::<Bytes>::poll_close(Pin::new(&mut self.frames), cx)
    }
}
