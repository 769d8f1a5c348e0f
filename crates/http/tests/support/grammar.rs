//! The grammar of responses, written down apart from the product: what it takes for a whole response has to match this.

/// The status and the body of a response.
pub(crate) type Parsed = (u16, Vec<u8>);

/// Parses bytes that are one response, informational ones before it included; `None` if the grammar does not allow them.
pub(crate) fn parse(bytes: &[u8]) -> Option<Parsed> {
    let mut rest = bytes;
    loop {
        let (lines, behind) = head(rest)?;
        let (status_line, fields) = lines.split_first()?;
        let (is_http_1_0, status) = status_of(status_line)?;
        let fields: Vec<(String, &[u8])> = fields.iter().map(|line| field(line)).collect::<Option<_>>()?;
        let is_chunked = is_chunked(&fields, is_http_1_0)?;
        let length = length(&fields)?;
        if is_chunked && matches!(length, Length::Stated(_)) {
            return None;
        }
        if status < 200 {
            rest = behind;
            continue;
        }
        let body = match (status, length) {
            (204 | 304, _) => behind.is_empty().then(Vec::new),
            _ if is_chunked => chunked(behind),
            (_, Length::Stated(length)) => (behind.len() == length).then(|| behind.to_vec()),
            (_, Length::Unstated) => Some(behind.to_vec()),
        };
        return Some((status, body?));
    }
}

/// Splits the lines of a head, without their ends, from what follows it.
fn head(bytes: &[u8]) -> Option<(Vec<&[u8]>, &[u8])> {
    let mut lines = Vec::new();
    let mut rest = bytes;
    loop {
        let (line, behind) = line(rest)?;
        if line.is_empty() {
            return Some((lines, behind));
        }
        lines.push(line);
        rest = behind;
    }
}

/// Splits a line, without its end, from what follows it.
fn line(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = bytes.iter().position(|byte| *byte == b'\n')?;
    let line = &bytes[..end];
    Some((line.strip_suffix(b"\r").unwrap_or(line), &bytes[end + 1..]))
}

fn status_of(line: &[u8]) -> Option<(bool, u16)> {
    let is_http_1_0 = line.starts_with(b"HTTP/1.0 ");
    let rest = line.strip_prefix(b"HTTP/1.1 ").or_else(|| line.strip_prefix(b"HTTP/1.0 "))?;
    let [a @ b'1'..=b'5', b @ b'0'..=b'9', c @ b'0'..=b'9', b' ', reason @ ..] = rest else { return None };
    let status = [a, b, c].iter().fold(0, |status, digit| status * 10 + u16::from(**digit - b'0'));
    (status != 101 && is_text(reason) && !holds_status_line(reason)).then_some((is_http_1_0, status))
}

/// Returns the name in lower case and the value of a field.
fn field(line: &[u8]) -> Option<(String, &[u8])> {
    let colon = line.iter().position(|byte| *byte == b':')?;
    let (name, value) = (&line[..colon], &line[colon + 1..]);
    let is_allowed = is_token(name) && is_text(value) && !holds_status_line(value);
    let name = String::from_utf8(name.to_ascii_lowercase()).ok()?;
    is_allowed.then(|| (name, without_blanks(value)))
}

fn values<'a>(fields: &[(String, &'a [u8])], name: &str) -> Vec<&'a [u8]> {
    fields.iter().filter(|(known, _)| known == name).map(|(_, value)| *value).collect()
}

enum Length {
    Unstated,
    Stated(usize),
}

/// Returns the stated length; `None` if it is invalid.
fn length(fields: &[(String, &[u8])]) -> Option<Length> {
    match values(fields, "content-length")[..] {
        [] => Some(Length::Unstated),
        [value] if !value.is_empty() && value.iter().all(u8::is_ascii_digit) => {
            std::str::from_utf8(value).ok()?.parse().ok().map(Length::Stated)
        }
        _ => None,
    }
}

/// Returns whether the body is in chunks; `None` if the coding is invalid.
fn is_chunked(fields: &[(String, &[u8])], is_http_1_0: bool) -> Option<bool> {
    match values(fields, "transfer-encoding")[..] {
        [] => Some(false),
        [value] if value.eq_ignore_ascii_case(b"chunked") && !is_http_1_0 => Some(true),
        _ => None,
    }
}

/// Parses a body in chunks, to the end of its trailer section.
fn chunked(mut rest: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let end = rest.windows(2).position(|two| two == b"\r\n")?;
        let (start, behind) = (&rest[..end], &rest[end + 2..]);
        let digits = start.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
        let size = usize::from_str_radix(std::str::from_utf8(&start[..digits]).ok()?, 16).ok()?;
        if !are_extensions(&start[digits..]) {
            return None;
        }
        if size == 0 {
            let (trailers, behind) = head(behind)?;
            let are_fields = trailers.iter().all(|line| field(line).is_some());
            return (are_fields && behind.is_empty()).then_some(body);
        }
        body.extend_from_slice(behind.get(..size)?);
        rest = behind[size..].strip_prefix(b"\r\n")?;
    }
}

/// Splits extensions at the semicolons outside of quotes.
fn are_extensions(text: &[u8]) -> bool {
    let mut parts = vec![Vec::new()];
    let (mut is_quoted, mut is_escaped) = (false, false);
    for byte in text {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if is_quoted => is_escaped = true,
            b'"' => is_quoted = !is_quoted,
            b';' if !is_quoted => {
                parts.push(Vec::new());
                continue;
            }
            _ => {}
        }
        if let Some(part) = parts.last_mut() {
            part.push(*byte);
        }
    }
    let is_open = is_quoted || is_escaped;
    // Blanks may precede a semicolon, but do not end the line.
    let ends_with_blank = matches!(text.last(), Some(b' ' | b'\t'));
    let starts_well = without_blanks(&parts[0]).is_empty();
    !is_open && !ends_with_blank && starts_well && parts[1..].iter().all(|part| is_extension(part))
}

fn is_extension(part: &[u8]) -> bool {
    let Some(equals) = part.iter().position(|byte| *byte == b'=') else {
        return is_token(without_blanks(part));
    };
    let (name, value) = (without_blanks(&part[..equals]), without_blanks(&part[equals + 1..]));
    is_token(name) && (is_token(value) || is_quoted(value))
}

fn is_quoted(value: &[u8]) -> bool {
    let Some(text) = value.strip_prefix(b"\"").and_then(|text| text.strip_suffix(b"\"")) else {
        return false;
    };
    let mut is_escaped = false;
    for byte in text {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' => is_escaped = true,
            b'"' => return false,
            _ => {}
        }
    }
    !is_escaped && is_text(text)
}

fn is_token(text: &[u8]) -> bool {
    const DELIMITERS: &[u8] = b"\"(),/:;<=>?@[\\]{}";
    !text.is_empty() && text.iter().all(|byte| byte.is_ascii_graphic() && !DELIMITERS.contains(byte))
}

fn is_text(text: &[u8]) -> bool {
    text.iter().all(|byte| *byte == b'\t' || (*byte >= b' ' && *byte != 0x7f))
}

fn without_blanks(mut text: &[u8]) -> &[u8] {
    while let [b' ' | b'\t', rest @ ..] | [rest @ .., b' ' | b'\t'] = text {
        text = rest;
    }
    text
}

/// Returns whether a text names a version and a status, as no field of a sound response does.
fn holds_status_line(text: &[u8]) -> bool {
    text.windows(12).any(|window| match window {
        [start @ .., b' ', a, b, c] => {
            (start == b"HTTP/1.0" || start == b"HTTP/1.1")
                && [a, b, c].iter().all(|digit| digit.is_ascii_digit())
        }
        _ => false,
    })
}
