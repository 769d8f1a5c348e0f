//! The lines of the chunked transfer coding.

use httparse::{EMPTY_HEADER, Status, parse_headers};

use crate::{fault::ResponseFault, head::holds_status_line};

/// Parses the line before a chunk, with its line end, and ignores extensions; `None` if it is not a hexadecimal number.
pub(super) fn chunk_size(line: &[u8]) -> Option<u64> {
    let digits = std::str::from_utf8(line).ok()?.split(';').next()?.trim();
    let is_digits = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_digits.then(|| u64::from_str_radix(digits, 16).ok()).flatten()
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
