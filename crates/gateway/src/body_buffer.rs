//! Bodies that are kept in memory until they are whole, within the budget of the node.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use actix_web::body::{BodySize, MessageBody};
use bytes::{Bytes, BytesMut};
use daisysill_core::memory_budget::{MemoryBudget, MemoryReservation};

/// Size of the pieces in which a body is handed to its connection.
const PIECE_BYTES: usize = 32 * 1_024;
/// The least memory that is reserved for a body.
const MIN_CAPACITY_BYTES: usize = 1_024;

/// Why a body is not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferError {
    /// It is larger than a single body may be.
    TooLarge,
    /// The bodies of all requests together have used up the node's memory for them.
    NoMemory,
}

impl BufferError {
    /// Returns the `reason` used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::TooLarge => "too_large",
            Self::NoMemory => "no_memory",
        }
    }
}

/// The part of a body that has arrived.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: BytesMut,
    max_bytes: usize,
    memory: MemoryReservation,
}

impl BodyBuffer {
    /// Starts with no bytes; the body may have at most `max_bytes`.
    ///
    /// ```
    /// use daisysill_core::memory_budget::MemoryBudget;
    /// use daisysill_gateway::body_buffer::{BodyBuffer, BufferError};
    /// let budget = MemoryBudget::new(16_384);
    /// let mut body = BodyBuffer::new(&budget, 100);
    /// assert_eq!(body.push(b"cue"), Ok(()));
    /// assert_eq!(body.push(&[0; 98]), Err(BufferError::TooLarge));
    /// assert_eq!(BodyBuffer::new(&budget, usize::MAX).push(&[0; 9_000]), Err(BufferError::NoMemory));
    /// let bytes = body.finish();
    /// assert_eq!((bytes.as_ref(), budget.used_bytes()), (b"cue".as_slice(), 1_024));
    /// drop(bytes);
    /// assert_eq!(budget.used_bytes(), 0);
    /// ```
    pub fn new(budget: &MemoryBudget, max_bytes: usize) -> Self {
        Self { bytes: BytesMut::new(), max_bytes, memory: budget.reservation() }
    }

    /// Adds bytes.
    ///
    /// # Errors
    /// Fails, and adds nothing, if the body would be too large or there is no memory for it.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), BufferError> {
        let length = self.bytes.len() + bytes.len();
        if length > self.max_bytes {
            return Err(BufferError::TooLarge);
        }
        if length > self.memory.bytes() {
            let capacity = length.next_power_of_two().max(MIN_CAPACITY_BYTES);
            if !self.memory.try_resize(capacity) {
                return Err(BufferError::NoMemory);
            }
            self.bytes.reserve(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the body once it is whole. Its memory stays reserved for as long as the returned bytes or a part of them are kept.
    pub fn finish(self) -> Bytes {
        Bytes::from_owner(ReservedBytes { bytes: self.bytes.freeze(), _memory: self.memory })
    }
}

/// Bytes that own the reservation of their memory.
struct ReservedBytes {
    bytes: Bytes,
    _memory: MemoryReservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The body of a response that is handed over in pieces. The server takes the next one only once it has sent most of those before,
/// so that a caller who reads slowly holds the memory of the body, and not that of a copy.
#[derive(Debug)]
pub struct BodyInPieces(Bytes);

impl BodyInPieces {
    /// Starts at the beginning of a body.
    pub const fn new(body: Bytes) -> Self {
        Self(body)
    }
}

impl MessageBody for BodyInPieces {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.0.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let count = self.0.len().min(PIECE_BYTES);
        let piece = self.0.split_to(count);
        Poll::Ready((!piece.is_empty()).then_some(Ok(piece)))
    }
}
