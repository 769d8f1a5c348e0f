//! Follows streams of server-sent events: tells whether a stream is inside an event, and splits it so that only complete
//! events are relayed.

use bytes::{Bytes, BytesMut};

/// Maximum size of an incomplete event.
const MAX_EVENT_BYTES: usize = 256 * 1_024;

/// The line of a stream that is being received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    /// Nothing of the line has arrived.
    #[default]
    Empty,
    /// Starts with a colon and belongs to no event.
    Comment,
    /// A field of an event.
    Field,
}

/// Knows at each byte of a stream whether it is inside an event. A line ends with LF, CR LF or CR, an event with an empty
/// line.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EventTracker {
    line: Line,
    /// Whether the event has a field.
    in_event: bool,
    after_cr: bool,
}

impl EventTracker {
    /// Follows the next bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            let completes_crlf = *byte == b'\n' && self.after_cr;
            self.after_cr = *byte == b'\r';
            match (*byte, self.line) {
                (b'\n', _) if completes_crlf => {}
                (b'\n' | b'\r', Line::Empty) => self.in_event = false,
                (b'\n' | b'\r', _) => self.line = Line::Empty,
                (b':', Line::Empty) => self.line = Line::Comment,
                (_, Line::Empty) => {
                    self.line = Line::Field;
                    self.in_event = true;
                }
                (_, Line::Comment | Line::Field) => {}
            }
        }
    }

    /// Returns whether a stream that ends here breaks off in the middle of an event or a line.
    pub(crate) fn is_inside_event(self) -> bool {
        self.in_event || self.line != Line::Empty
    }
}

/// Buffers an incomplete event until its end arrives.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    pending: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Starts after the event with this ID, the last one that the caller received; `None` at the start of the stream.
    pub(crate) fn after(last_id: Option<String>) -> Self {
        Self { pending: BytesMut::new(), last_id }
    }

    /// Adds bytes and returns the events that they complete, which may be none; `None` if an event is too large.
    pub(crate) fn push(&mut self, bytes: &Bytes) -> Option<Bytes> {
        self.pending.extend_from_slice(bytes);
        let end = last_event_end(&self.pending);
        if self.pending.len() - end > MAX_EVENT_BYTES {
            return None;
        }
        let complete = self.pending.split_to(end).freeze();
        if let Some(id) = last_id_in(&complete) {
            self.last_id = Some(id);
        }
        Some(complete)
    }

    /// Discards an incomplete event; the upstream that resumes the stream sends it again.
    pub(crate) fn drop_pending(&mut self) {
        self.pending.clear();
    }

    /// Returns the remaining bytes at the regular end of a stream.
    pub(crate) fn finish(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// Returns the ID of the last complete event that has one.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Returns the offset at which the last complete event ends; 0 if there is none.
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
