//! Server-sent events: splitting an upstream's stream and writing the caller's.

use serde::Serialize;

/// The data of the event that ends an OpenAI-style stream.
pub const DONE: &str = "[DONE]";
/// Bytes of an event at most; an upstream that sends more is cut off.
const MAX_EVENT_BYTES: usize = 1_048_576;

/// An event exceeds the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLarge;

/// Splits a byte stream into the data of its events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
}

impl EventSplitter {
    /// Adds bytes and returns the data of every event that is now complete.
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
    /// Fails when an event exceeds the limit.
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

/// Returns one event that carries a value as JSON.
pub fn json_event<T: Serialize>(value: &T) -> String {
    let json = serde_json::to_string(value).unwrap_or_default();
    format!("data: {json}\n\n")
}

/// Returns the event that ends a stream.
pub fn done_event() -> String {
    format!("data: {DONE}\n\n")
}
