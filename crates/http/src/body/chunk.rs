//! The lines of the chunked transfer coding.

use httparse::{EMPTY_HEADER, Status, parse_headers};

use crate::{fault::ResponseFault, head::holds_status_line};

/// Parses the line before a chunk, without its line end; `None` if it is not a hexadecimal number, followed by extensions if
/// there are any.
pub(super) fn chunk_size(line: &[u8]) -> Option<u64> {
    let (digits, extensions) = split(line, |byte| byte.is_ascii_hexdigit());
    let size = u64::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
    are_extensions(extensions).then_some(size)
}

/// Checks a line of the trailer section, with its line end.
pub(super) fn check_trailer(line: &[u8]) -> Result<(), ResponseFault> {
    let mut headers = [EMPTY_HEADER; 1];
    let section = [line, b"\r\n"].concat();
    match parse_headers(&section, &mut headers) {
        Ok(Status::Complete((_, [trailer]))) if holds_status_line(trailer.value) => {
            Err(ResponseFault::TwoHeads)
        }
        Ok(Status::Complete((_, [_]))) => Ok(()),
        _ => Err(ResponseFault::Trailer),
    }
}

/// Returns whether a text is a list of extensions, `;name`, `;name=token` or `;name="text"`.
fn are_extensions(mut text: &[u8]) -> bool {
    while !text.is_empty() {
        let Some(rest) = strip_separator(b";", text) else { return false };
        let (name, rest) = split(trim_start(rest), is_token_byte);
        if name.is_empty() {
            return false;
        }
        text = match strip_separator(b"=", rest) {
            Some(value) => match after_value(trim_start(value)) {
                Some(rest) => rest,
                None => return false,
            },
            None => rest,
        };
    }
    true
}

/// Returns what follows the value of an extension.
fn after_value(text: &[u8]) -> Option<&[u8]> {
    let Some(quoted) = text.strip_prefix(b"\"") else {
        let (token, rest) = split(text, is_token_byte);
        return (!token.is_empty()).then_some(rest);
    };
    let mut bytes = quoted.iter().enumerate();
    while let Some((at, byte)) = bytes.next() {
        match byte {
            b'"' => return Some(&quoted[at + 1..]),
            b'\\' if bytes.next().is_some_and(|(_, escaped)| is_text_byte(*escaped)) => {}
            b'\\' => return None,
            byte if is_text_byte(*byte) => {}
            _ => return None,
        }
    }
    None
}

/// Splits a text before the first byte that does not belong to its start.
fn split(text: &[u8], belongs: impl Fn(u8) -> bool) -> (&[u8], &[u8]) {
    text.split_at(text.iter().position(|byte| !belongs(*byte)).unwrap_or(text.len()))
}

/// Returns what follows a separator, which whitespace may precede.
fn strip_separator<'a>(separator: &[u8], text: &'a [u8]) -> Option<&'a [u8]> {
    trim_start(text).strip_prefix(separator)
}

fn trim_start(text: &[u8]) -> &[u8] {
    split(text, |byte| matches!(byte, b' ' | b'\t')).1
}

fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

fn is_text_byte(byte: u8) -> bool {
    !byte.is_ascii_control() || byte == b'\t'
}
