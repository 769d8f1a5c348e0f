//! Splits a stream of server-sent events so that only complete events are relayed.

use bytes::{Bytes, BytesMut};
use daisysill_core::event_tracker::EventTracker;

/// Maximum size of an incomplete event.
const MAX_EVENT_BYTES: usize = 256 * 1_024;

/// Buffers an incomplete event until its end arrives.
///
/// ```
/// use daisysill_gateway::event_stream::EventSplitter;
/// let mut splitter = EventSplitter::after(None);
/// let events = splitter.push(&"id: 1\ndata: la\n\nid: 2\nda".into());
/// assert_eq!(events.as_deref(), Some(b"id: 1\ndata: la\n\n".as_slice()));
/// assert_eq!((splitter.last_id(), splitter.is_inside_event()), (Some("1"), true));
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    tracker: EventTracker,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Starts after the event with this ID, the last one that the caller received; `None` at the start of the stream.
    pub fn after(last_id: Option<String>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Adds bytes and returns the events that they complete, which may be none; `None` if an event is too large.
    pub fn push(&mut self, bytes: &Bytes) -> Option<Bytes> {
        let end = self.tracker.push(bytes).map_or(0, |end| self.pending.len() + end);
        self.pending.extend_from_slice(bytes);
        if self.pending.len() - end > MAX_EVENT_BYTES {
            return None;
        }
        let complete = self.pending.split_to(end).freeze();
        if let Some(id) = last_id_in(&complete) {
            self.last_id = Some(id);
        }
        Some(complete)
    }

    /// Returns the memory that an incomplete event occupies.
    pub fn pending_bytes(&self) -> usize {
        if self.pending.is_empty() { 0 } else { self.pending.capacity() }
    }

    /// Discards an incomplete event; the upstream that resumes the stream sends it again.
    pub fn drop_pending(&mut self) {
        self.pending.clear();
        self.tracker = EventTracker::default();
    }

    /// Returns whether a stream that ends here breaks off in the middle of an event.
    pub fn is_inside_event(&self) -> bool {
        self.tracker.is_inside_event()
    }

    /// Returns the remaining bytes at the regular end of a stream.
    pub fn finish(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// Returns the ID of the last complete event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

fn last_id_in(events: &[u8]) -> Option<String> {
    let mut lines = events.rsplit(|byte| matches!(byte, b'\n' | b'\r'));
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    Some(String::from_utf8_lossy(id).trim().to_owned())
}
