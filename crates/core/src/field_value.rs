//! The values of HTTP fields.

/// Removes the optional whitespace around a value: blanks and horizontal tabs, and nothing else.
///
/// ```
/// assert_eq!(daisysill_core::field_value::trim(b" \t5 "), b"5");
/// assert_eq!(daisysill_core::field_value::trim(b"\xc2\xa05"), b"\xc2\xa05");
/// ```
pub fn trim(value: &[u8]) -> &[u8] {
    let is_text = |byte: &u8| !matches!(byte, b' ' | b'\t');
    let Some(start) = value.iter().position(is_text) else { return &[] };
    let end = value.iter().rposition(is_text).map_or(start, |last| last + 1);
    &value[start..end]
}

/// Parses a number of decimal digits and nothing else.
///
/// ```
/// use daisysill_core::field_value::decimal;
/// assert_eq!(decimal(b"150"), Some(150));
/// assert_eq!([&b"+150"[..], b"", b" 1", b"18446744073709551616"].map(decimal), [None; 4]);
/// ```
pub fn decimal(text: &[u8]) -> Option<u64> {
    let is_digits = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    is_digits.then(|| std::str::from_utf8(text).ok()?.parse().ok()).flatten()
}
