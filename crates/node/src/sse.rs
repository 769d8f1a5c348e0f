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
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let text = String::from_utf8_lossy(&event);
            let data = text.lines().filter_map(|line| line.strip_prefix("data:"));
            let data: Vec<&str> = data.map(str::trim_start).collect();
            if !data.is_empty() {
                events.push(data.join("\n"));
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES { Err(EventTooLarge) } else { Ok(events) }
    }
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
