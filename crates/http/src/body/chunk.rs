//! The lines of the chunked transfer coding.

/// Parses the line before a chunk, with its line end, and ignores extensions; `None` if it is not a hexadecimal number.
pub(super) fn chunk_size(line: &[u8]) -> Option<u64> {
    let digits = std::str::from_utf8(line).ok()?.split(';').next()?.trim();
    let is_digits = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_digits.then(|| u64::from_str_radix(digits, 16).ok()).flatten()
}
