//! JSON from other writers whose list items are decoded one by one, since one that is invalid must not hide the others.

use serde::{Deserialize, de::DeserializeOwned};
use serde_json::value::RawValue;

/// Stands for bytes that are no text, as in `String::from_utf8_lossy`.
const UNREADABLE: char = '\u{fffd}';

/// An item that is valid JSON, but not decoded yet. Its depth and its numbers are not limited.
///
/// ```
/// use daisysill_wire::list_items::{ListItem, parse};
/// let items: Vec<ListItem> = parse(b"[1, 1e999, 3]")?;
/// let numbers: Vec<u32> = items.iter().filter_map(|item| item.decode().ok()).collect();
/// assert_eq!(numbers, [1, 3]);
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Debug, Deserialize)]
pub struct ListItem(Box<RawValue>);

impl ListItem {
    /// Decodes the item.
    ///
    /// # Errors
    /// Fails if the item is of another form or holds bytes that [`parse`] could not read.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, String> {
        if self.0.get().contains(UNREADABLE) {
            return Err("the item holds bytes that are no JSON text".to_owned());
        }
        serde_json::from_str(self.0.get()).map_err(|error| error.to_string())
    }
}

/// Parses a document. Bytes within a string that JSON does not allow there make only the item that holds them invalid.
///
/// # Errors
/// Fails if the rest is not valid JSON, or not of the form of `T`.
pub fn parse<T: DeserializeOwned>(document: &[u8]) -> serde_json::Result<T> {
    serde_json::from_str(&mark_unreadable(document))
}

/// Replaces bytes that are not UTF-8, and within strings control characters and the backslashes of invalid escapes.
fn mark_unreadable(document: &[u8]) -> String {
    let text = String::from_utf8_lossy(document);
    let mut marked = String::with_capacity(text.len());
    let mut in_string = false;
    let mut characters = text.char_indices();
    while let Some((index, character)) = characters.next() {
        match character {
            '"' => {
                in_string = !in_string;
                marked.push(character);
            }
            '\\' if in_string && is_escape(&text[index + 1..]) => {
                marked.push(character);
                marked.extend(characters.next().map(|(_, escaped)| escaped));
            }
            '\\' | '\0'..' ' if in_string => marked.push(UNREADABLE),
            _ => marked.push(character),
        }
    }
    marked
}

/// Returns whether text that follows a backslash completes a valid escape.
fn is_escape(rest: &str) -> bool {
    match rest.as_bytes() {
        [b'"' | b'\\' | b'/' | b'b' | b'f' | b'n' | b'r' | b't', ..] => true,
        [b'u', digits @ ..] => digits.len() >= 4 && digits[..4].iter().all(u8::is_ascii_hexdigit),
        _ => false,
    }
}
