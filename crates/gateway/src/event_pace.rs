//! Pace at which an upstream sends the events of a stream.

use std::time::Duration;

use tokio::time::Instant;

/// Number of events over which the gap between them is averaged.
const EVENTS_PER_SAMPLE: u32 = 8;
/// If the caller takes the bytes later than this, the upstream's pace can't be told from the caller's.
const MAX_CALLER_DELAY: Duration = Duration::from_millis(20);

/// Counts the events of a stream, and times them while its caller keeps up.
#[derive(Debug, Default)]
pub(crate) struct EventPace {
    events: u64,
    last_byte: u8,
    /// When the sample in progress began, with its number of events so far.
    sample: Option<(Instant, u32)>,
    arrived_at: Option<Instant>,
    /// Tag of the upstream that sends the stream.
    upstream: u64,
}

impl EventPace {
    /// Returns the number of events that have arrived.
    pub(crate) const fn events(&self) -> u64 {
        self.events
    }

    /// Records that the caller is ready for the next bytes.
    pub(crate) fn record_read(&mut self, now: Instant) {
        if self.arrived_at.is_some_and(|arrived_at| now.duration_since(arrived_at) > MAX_CALLER_DELAY) {
            self.sample = None;
        }
    }

    /// Records bytes of an upstream. Returns the mean gap between events if enough of them have arrived since the last
    /// sample.
    pub(crate) fn record_bytes(&mut self, upstream: u64, bytes: &[u8], now: Instant) -> Option<Duration> {
        if self.upstream != upstream {
            self.upstream = upstream;
            self.sample = None;
        }
        self.arrived_at = Some(now);
        let events = self.count_events(bytes);
        let Some((began, counted)) = self.sample else {
            self.sample = (events > 0).then_some((now, 0));
            return None;
        };
        let counted = counted + events;
        if counted < EVENTS_PER_SAMPLE {
            self.sample = Some((began, counted));
            return None;
        }
        self.sample = Some((now, 0));
        Some(now.duration_since(began) / counted)
    }

    /// Counts the empty lines that end in these bytes.
    fn count_events(&mut self, bytes: &[u8]) -> u32 {
        let mut events = 0;
        for byte in bytes.iter().copied().filter(|byte| *byte != b'\r') {
            events += u32::from(byte == b'\n' && self.last_byte == b'\n');
            self.last_byte = byte;
        }
        self.events += u64::from(events);
        events
    }
}
