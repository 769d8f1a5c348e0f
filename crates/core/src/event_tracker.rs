//! Tells whether a stream of server-sent events is inside an event.

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
///
/// ```
/// use daisysill_core::event_tracker::EventTracker;
/// let mut tracker = EventTracker::default();
/// assert_eq!(tracker.push(b"id: 1\ndata: la\n\nid: 2\nda"), Some(16));
/// assert!(tracker.is_inside_event());
/// assert_eq!(tracker.push(b"ta: la\r\n\r\n"), Some(10));
/// assert!(!tracker.is_inside_event());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct EventTracker {
    line: Line,
    /// Whether the event has a field.
    in_event: bool,
    after_cr: bool,
}

impl EventTracker {
    /// Follows the next bytes; returns the offset after the last empty line that ends in them.
    pub fn push(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        for (at, byte) in bytes.iter().enumerate() {
            let completes_crlf = *byte == b'\n' && self.after_cr;
            self.after_cr = *byte == b'\r';
            match (*byte, self.line) {
                (b'\n', Line::Empty) if completes_crlf => {
                    // Belongs to the CR before it, which may have ended an event.
                    if !self.in_event {
                        end = Some(at + 1);
                    }
                }
                (b'\n' | b'\r', Line::Empty) => {
                    self.in_event = false;
                    end = Some(at + 1);
                }
                (b'\n' | b'\r', _) => self.line = Line::Empty,
                (b':', Line::Empty) => self.line = Line::Comment,
                (_, Line::Empty) => {
                    self.line = Line::Field;
                    self.in_event = true;
                }
                (_, Line::Comment | Line::Field) => {}
            }
        }
        end
    }

    /// Returns whether a stream that ends here breaks off in the middle of an event or a line.
    pub fn is_inside_event(self) -> bool {
        self.in_event || self.line != Line::Empty
    }
}
