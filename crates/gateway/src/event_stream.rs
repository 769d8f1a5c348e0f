//! Splits a stream of server-sent events so that only whole events are passed on.

use bytes::{Bytes, BytesMut};

/// Bytes of an event that is not complete at most.
const MAX_EVENT_BYTES: usize = 256 * 1_024;

/// Collects bytes and releases whole events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    pending: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Starts after the event with this id, if the caller has one.
    pub(crate) fn after(last_id: Option<String>) -> Self {
        Self { pending: BytesMut::new(), last_id }
    }

    /// Adds bytes; returns all events that are complete now, or `None` if an event is too large.
    pub(crate) fn push(&mut self, bytes: &Bytes) -> Option<Bytes> {
        self.pending.extend_from_slice(bytes);
        let end = last_event_end(&self.pending);
        if self.pending.len() - end > MAX_EVENT_BYTES {
            return None;
        }
        let whole = self.pending.split_to(end).freeze();
        if let Some(id) = last_id_in(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
    }

    /// Forgets an event that is not complete; the next upstream sends it again.
    pub(crate) fn drop_pending(&mut self) {
        self.pending.clear();
    }

    /// Returns what is left at the end of a stream.
    pub(crate) fn finish(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// Returns the id of the last whole event.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Returns where the last whole event ends.
fn last_event_end(bytes: &[u8]) -> usize {
    let by_newlines = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let by_crlf = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    by_newlines.max(by_crlf).unwrap_or(0)
}

fn last_id_in(events: &[u8]) -> Option<String> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    Some(String::from_utf8_lossy(id).trim().to_owned())
}
