//! Server-sent events: decoding an upstream's stream and encoding the caller's.

use serde::Serialize;

/// Data of the event that ends an OpenAI-style stream.
pub const DONE: &str = "[DONE]";
/// Largest event accepted from an upstream, which bounds the buffer; the stream fails beyond it.
const MAX_EVENT_BYTES: usize = 1_048_576;

/// The upstream sent an event larger than 1 MiB.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLarge;

/// Splits a byte stream into events and returns their data.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    /// Bytes at the start of `buffer` that are known to hold no end of an event.
    searched_bytes: usize,
}

impl EventSplitter {
    /// Appends bytes and returns the data of every event that they complete.
    ///
    /// ```
    /// use daisysill_node::sse::EventSplitter;
    /// let mut splitter = EventSplitter::default();
    /// assert!(splitter.push(b"data: la")?.is_empty());
    /// assert_eq!(splitter.push(b" la\n\ndata: [DONE]\n\n")?, ["la la", "[DONE]"]);
    /// # Ok::<(), daisysill_node::sse::EventTooLarge>(())
    /// ```
    ///
    /// # Errors
    /// Fails if the incomplete event exceeds the limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<String>, EventTooLarge> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(end) = end_of_event(&self.buffer, self.searched_bytes.max(start)) {
            events.extend(event_data(&self.buffer[start..end]));
            start = end;
        }
        self.buffer.drain(..start);
        // The last byte may begin the end of an event.
        self.searched_bytes = self.buffer.len().saturating_sub(1);
        if self.buffer.len() > MAX_EVENT_BYTES { Err(EventTooLarge) } else { Ok(events) }
    }

    /// Returns the memory that an incomplete event occupies.
    pub fn pending_bytes(&self) -> usize {
        if self.buffer.is_empty() { 0 } else { self.buffer.capacity() }
    }
}

/// Returns the position after the first event that ends at or after `from`.
fn end_of_event(bytes: &[u8], from: usize) -> Option<usize> {
    let end = bytes.get(from..)?.windows(2).position(|pair| pair == b"\n\n")?;
    Some(from + end + 2)
}

/// Returns the data of an event; `None` if it has none.
fn event_data(event: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(event);
    let data = text.lines().filter_map(|line| line.strip_prefix("data:"));
    let data: Vec<&str> = data.map(str::trim_start).collect();
    (!data.is_empty()).then(|| data.join("\n"))
}

/// Returns an event with the value as JSON, or with empty data if it cannot be serialized.
pub fn json_event<T: Serialize>(value: &T) -> String {
    let json = serde_json::to_string(value).unwrap_or_default();
    format!("data: {json}\n\n")
}

/// Returns the `[DONE]` event.
pub fn done_event() -> String {
    format!("data: {DONE}\n\n")
}
