//! Responses that the grammar of HTTP/1.1 does not allow, and sound ones, for the tests of all clients.
//!
//! A client that reads a malformed response by looser rules takes it for a whole one, mostly with the first part of its body only.

/// The body of a response, in two parts of the same length.
#[derive(Clone, Debug)]
pub struct Body {
    first: String,
    second: String,
}

impl Body {
    /// Returns two events.
    pub fn events() -> Self {
        Self { first: "id: 1\ndata: a\n\n".to_owned(), second: "id: 2\ndata: b\n\n".to_owned() }
    }

    /// Returns a JSON text, which is whole without the blanks of the second part.
    pub fn json(text: &str) -> Self {
        Self { first: text.to_owned(), second: " ".repeat(text.len()) }
    }

    /// Returns two texts, the shorter one with blanks before it.
    pub fn of_parts(first: &str, second: &str) -> Self {
        let part_bytes = first.len().max(second.len());
        Self { first: format!("{first:>part_bytes$}"), second: format!("{second:>part_bytes$}") }
    }

    /// Returns the whole body.
    pub fn text(&self) -> String {
        format!("{}{}", self.first, self.second)
    }
}

/// A response with the reason for which it is refused.
#[derive(Clone, Debug)]
pub struct MalformedResponse {
    /// What is wrong with it.
    pub name: &'static str,
    /// The name of the fault.
    pub reason: &'static str,
    template: Vec<u8>,
}

impl MalformedResponse {
    /// Returns the bytes with these fields, each of which ends with a line end, in the head.
    pub fn bytes(&self, fields: &str, body: &Body) -> Vec<u8> {
        filled(&self.template, fields, body)
    }
}

/// A response that is allowed.
#[derive(Clone, Debug)]
pub struct SoundResponse {
    /// What is special about it.
    pub name: &'static str,
    /// Whether its body ends with the connection.
    pub closes: bool,
    template: Vec<u8>,
}

impl SoundResponse {
    /// Returns the bytes with these fields, each of which ends with a line end, in the head.
    pub fn bytes(&self, fields: &str, body: &Body) -> Vec<u8> {
        filled(&self.template, fields, body)
    }
}

/// Replaces the names in angle brackets: the fields that a server sends in each response, the parts of the body, the lengths of the
/// first part and of the whole, and those lengths as chunk sizes.
fn filled(template: &[u8], fields: &str, body: &Body) -> Vec<u8> {
    let (part_bytes, whole_bytes) = (body.first.len(), body.first.len() + body.second.len());
    let values = [
        ("<fields>", fields.to_owned()),
        ("<first>", body.first.clone()),
        ("<second>", body.second.clone()),
        ("<length>", part_bytes.to_string()),
        ("<whole>", whole_bytes.to_string()),
        ("<hex>", format!("{part_bytes:x}")),
        ("<HEX>", format!("{part_bytes:X}")),
        ("<whole-hex>", format!("{whole_bytes:x}")),
    ];
    let mut filled = Vec::new();
    let mut rest = template;
    while let Some(byte) = rest.first() {
        if let Some((name, value)) = values.iter().find(|(name, _)| rest.starts_with(name.as_bytes())) {
            filled.extend_from_slice(value.as_bytes());
            rest = &rest[name.len()..];
        } else {
            filled.push(*byte);
            rest = &rest[1..];
        }
    }
    filled
}

/// A name and the bytes of a response.
type Named = (&'static str, Vec<u8>);

/// Returns all malformed responses.
pub fn malformed_responses() -> Vec<MalformedResponse> {
    let groups: [(&'static str, Vec<Named>); 8] = [
        ("length", lengths()),
        ("trailer", trailers()),
        ("status", statuses()),
        ("two_heads", joined_heads()),
        ("transfer_coding", transfer_codings()),
        ("chunk", chunks()),
        ("status_line", status_lines()),
        ("field", fields()),
    ];
    let of_group = |(reason, responses): (&'static str, Vec<Named>)| {
        responses.into_iter().map(move |(name, template)| MalformedResponse { name, reason, template })
    };
    groups.into_iter().flat_map(of_group).collect()
}

const OK: &str = "HTTP/1.1 200 OK";
const BODY: &str = "<first><second>";
const CHUNKED: &[u8] = b"Transfer-Encoding: chunked\r\n";

/// Returns a response with a status line, further lines of the head, each with its line end, and what follows the head.
fn response(status_line: &str, lines: &[u8], rest: &str) -> Vec<u8> {
    [status_line.as_bytes(), b"\r\n<fields>", lines, b"\r\n", rest.as_bytes()].concat()
}

/// Returns a response with the length of its body and this status line.
fn with_status_line(status_line: &str) -> Vec<u8> {
    response(status_line, b"Content-Length: <whole>\r\n", BODY)
}

/// Returns a success whose head has these further lines, each with its line end.
fn with_lines(lines: &[u8]) -> Vec<u8> {
    response(OK, lines, BODY)
}

/// Returns a success in chunks, one for each part, with this line before the first one.
fn with_chunk_line(line: &[u8]) -> Vec<u8> {
    let rest = b"<first>\r\n<hex>\r\n<second>\r\n0\r\n\r\n";
    [&response(OK, CHUNKED, ""), line, rest].concat()
}

/// Returns a success in chunks whose first part seems to be all, with these lines and the second part as trailers.
fn with_trailers(lines: &[u8]) -> Vec<u8> {
    let start = response(OK, CHUNKED, "<hex>\r\n<first>\r\n0\r\n");
    [&start, lines, b"<second>\r\n0\r\n\r\n"].concat()
}

/// Returns a response in one chunk with this status line and these further lines of the head.
fn with_coding(status_line: &str, lines: &[u8]) -> Vec<u8> {
    response(status_line, lines, "<whole-hex>\r\n<first><second>\r\n0\r\n\r\n")
}

/// Lengths that are not one decimal number.
fn lengths() -> Vec<Named> {
    vec![
        ("signed length", with_lines(b"Content-Length: +<length>\r\n")),
        ("negative length", with_lines(b"Content-Length: -<length>\r\n")),
        ("length behind a no-break space", with_lines(b"Content-Length: \xc2\xa0<length>\r\n")),
        ("length before a no-break space", with_lines(b"Content-Length: <length>\xc2\xa0\r\n")),
        ("length behind a blank of Unicode", with_lines("Content-Length: \u{2003}<length>\r\n".as_bytes())),
        ("length behind a line separator", with_lines("Content-Length: \u{2028}<length>\r\n".as_bytes())),
        ("length behind a byte of Latin-1", with_lines(b"Content-Length: \xa0<length>\r\n")),
        ("digits of another script", with_lines("Content-Length: \u{661}\u{665}\r\n".as_bytes())),
        ("two lengths in two lines", with_lines(b"Content-Length: <length>\r\nContent-Length: <whole>\r\n")),
        ("a length in two lines", with_lines(b"Content-Length: <length>\r\ncontent-length: <length>\r\n")),
        ("two lengths in a line", with_lines(b"Content-Length: <length>, <whole>\r\n")),
        ("a length twice in a line", with_lines(b"Content-Length: <length>, <length>\r\n")),
        ("length with a unit", with_lines(b"Content-Length: <length> bytes\r\n")),
        ("length with a separator", with_lines(b"Content-Length: 1_5\r\n")),
        ("length with a fraction", with_lines(b"Content-Length: <length>.0\r\n")),
        ("length with an exponent", with_lines(b"Content-Length: <length>e0\r\n")),
        ("hexadecimal length", with_lines(b"Content-Length: 0x<hex>\r\n")),
        ("quoted length", with_lines(b"Content-Length: \"<length>\"\r\n")),
        ("empty length", with_lines(b"Content-Length:\r\n")),
        ("length beyond 64 bits", with_lines(b"Content-Length: 18446744073709551631\r\n")),
    ]
}

/// Lines after the last chunk that are neither fields nor empty.
fn trailers() -> Vec<Named> {
    vec![
        ("trailer without a colon", with_trailers(b"<hex>\r\n")),
        ("trailer without a name", with_trailers(b": <hex>\r\n")),
        ("trailer with a blank in its name", with_trailers(b"X Sum: <hex>\r\n")),
        ("trailer with a blank behind its name", with_trailers(b"X-Sum : <hex>\r\n")),
        ("trailer with a control byte in its name", with_trailers(b"X-\x01Sum: <hex>\r\n")),
        ("trailer with a control byte in its value", with_trailers(b"X-Sum: \x01<hex>\r\n")),
        ("trailer with a carriage return in its value", with_trailers(b"X-Sum: \r<hex>\r\n")),
        ("folded trailer", with_trailers(b"X-Sum: 1\r\n <hex>\r\n")),
        ("trailer of blanks", with_trailers(b"  \r\n")),
        ("status line as a trailer", with_trailers(b"HTTP/1.1 200 OK\r\n")),
    ]
}

/// Statuses that are not from 100 to 599, or switch the protocol.
fn statuses() -> Vec<Named> {
    vec![
        ("status 600", with_status_line("HTTP/1.1 600 Odd")),
        ("status 999", with_status_line("HTTP/1.1 999 Odd")),
        ("status 000", with_status_line("HTTP/1.1 000 Odd")),
        ("status 099", with_status_line("HTTP/1.1 099 Odd")),
        (
            "switch to another protocol",
            [b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n".as_slice(), &with_status_line(OK)]
                .concat(),
        ),
    ]
}

/// Heads that break off where that of another response begins.
fn joined_heads() -> Vec<Named> {
    let second = "0\r\nX-Sum: HTTP/1.1 200 OK\r\nContent-Length: <length>\r\n\r\n<first><second>";
    vec![
        ("status line in a reason phrase", with_status_line("HTTP/1.1 500 InternaHTTP/1.1 200 OK")),
        ("status line as a reason phrase", with_status_line("HTTP/1.1 500 HTTP/1.1 200 OK")),
        ("success behind a reason phrase", with_status_line("HTTP/1.1 200 OKHTTP/1.0 200 OK")),
        ("status line as a value", with_lines(b"X-Sum: HTTP/1.1 200 OK\r\nContent-Length: <length>\r\n")),
        (
            "status line in a value",
            with_lines(b"X-Sum: abcHTTP/1.0 404 None\r\nContent-Length: <length>\r\n"),
        ),
        ("status line as the value of a trailer", response(OK, CHUNKED, second)),
    ]
}

/// Transfer codings other than the chunked one, or where it is not allowed.
fn transfer_codings() -> Vec<Named> {
    vec![
        ("coding of HTTP/1.0", with_coding("HTTP/1.0 200 OK", CHUNKED)),
        ("coding in two lines", with_coding(OK, &[CHUNKED, CHUNKED].concat())),
        ("coding twice in a line", with_coding(OK, b"Transfer-Encoding: chunked, chunked\r\n")),
        ("coding behind a no-break space", with_coding(OK, b"Transfer-Encoding: \xc2\xa0chunked\r\n")),
        ("coding before a no-break space", with_coding(OK, b"Transfer-Encoding: chunked\xc2\xa0\r\n")),
        (
            "coding with a length",
            with_coding(OK, b"Content-Length: <length>\r\nTransfer-Encoding: chunked\r\n"),
        ),
        (
            "length with a coding",
            with_coding(OK, b"Transfer-Encoding: chunked\r\nContent-Length: <length>\r\n"),
        ),
        ("further coding", with_coding(OK, b"Transfer-Encoding: gzip, chunked\r\n")),
        ("unknown coding", with_coding(OK, b"Transfer-Encoding: chunke\r\n")),
        ("identity coding", with_lines(b"Transfer-Encoding: identity\r\n")),
        ("empty coding", with_lines(b"Transfer-Encoding:\r\n")),
    ]
}

/// Invalid framing of chunks.
fn chunks() -> Vec<Named> {
    let two_chunks =
        |end: &str| response(OK, CHUNKED, &format!("<hex>\r\n<first>{end}<hex>\r\n<second>{end}0\r\n\r\n"));
    vec![
        ("signed chunk size", with_chunk_line(b"+<hex>\r\n")),
        ("blank before a chunk size", with_chunk_line(b" <hex>\r\n")),
        ("blank behind a chunk size", with_chunk_line(b"<hex> \r\n")),
        ("no-break space behind a chunk size", with_chunk_line(b"<hex>\xc2\xa0\r\n")),
        ("control byte behind a chunk size", with_chunk_line(b"<hex>\x0b\r\n")),
        ("carriage return behind a chunk size", with_chunk_line(b"<hex>\r\r\n")),
        ("chunk size with a prefix", with_chunk_line(b"0x<hex>\r\n")),
        ("chunk size that is no number", with_chunk_line(b"fifteen\r\n")),
        ("chunk size beyond 64 bits", with_chunk_line(b"1000000000000000f\r\n")),
        ("no chunk size", with_chunk_line(b"\r\n")),
        ("no chunk size before an extension", with_chunk_line(b";a=b\r\n")),
        ("extension without a name", with_chunk_line(b"<hex>;=b\r\n")),
        ("extension without a value", with_chunk_line(b"<hex>;a=\r\n")),
        ("extension that is no token", with_chunk_line(b"<hex>;a=b/c\r\n")),
        ("extension with an open quote", with_chunk_line(b"<hex>;a=\"b\r\n")),
        ("status line in an extension", with_chunk_line(b"<hex>;a=HTTP/1.1 200 OK\r\n")),
        ("chunk size that ends with a line feed", with_chunk_line(b"<hex>\n")),
        ("chunk that ends with a line feed", two_chunks("\n")),
        ("chunk that is longer than its size", two_chunks("\n\r\n")),
        ("chunk without an end", two_chunks("")),
    ]
}

/// Status lines that the grammar does not allow.
fn status_lines() -> Vec<Named> {
    vec![
        ("status without a blank behind it", with_status_line("HTTP/1.1 200")),
        ("empty line before the status line", with_status_line("\r\nHTTP/1.1 200 OK")),
        ("line feed before the status line", with_status_line("\nHTTP/1.1 200 OK")),
        ("status of two digits", with_status_line("HTTP/1.1 20 OK")),
        ("status of four digits", with_status_line("HTTP/1.1 2000 OK")),
        ("status with a letter", with_status_line("HTTP/1.1 2x0 OK")),
        ("signed status", with_status_line("HTTP/1.1 +20 OK")),
        ("two blanks before the status", with_status_line("HTTP/1.1  200 OK")),
        ("tab before the status", with_status_line("HTTP/1.1\t200 OK")),
        ("blank before the version", with_status_line(" HTTP/1.1 200 OK")),
        ("version in lower case", with_status_line("http/1.1 200 OK")),
        ("version 2.0", with_status_line("HTTP/2.0 200 OK")),
        ("version of one digit", with_status_line("HTTP/1 200 OK")),
        ("version of three digits", with_status_line("HTTP/1.10 200 OK")),
        ("no version", with_status_line("200 OK")),
    ]
}

/// Lines of a head that are no fields.
fn fields() -> Vec<Named> {
    vec![
        ("line without a colon", with_lines(b"Content-Length <length>\r\n")),
        ("line of one word", with_lines(b"garbage\r\nContent-Length: <length>\r\n")),
        ("blank behind a name", with_lines(b"Content-Length : <length>\r\n")),
        ("tab behind a name", with_lines(b"Content-Length\t: <length>\r\n")),
        ("blank in a name", with_lines(b"X Sum: 1\r\nContent-Length: <length>\r\n")),
        ("control byte in a name", with_lines(b"X-\x01Sum: 1\r\nContent-Length: <length>\r\n")),
        ("delete byte in a name", with_lines(b"X-\x7fSum: 1\r\nContent-Length: <length>\r\n")),
        ("null byte in a name", with_lines(b"X-\0Sum: 1\r\nContent-Length: <length>\r\n")),
        ("separator in a name", with_lines(b"X(Sum): 1\r\nContent-Length: <length>\r\n")),
        (
            "letter of another script in a name",
            with_lines("X-S\u{fc}m: 1\r\nContent-Length: <length>\r\n".as_bytes()),
        ),
        ("no name", with_lines(b": 1\r\nContent-Length: <length>\r\n")),
        ("folded line", with_lines(b"X-Sum: 1\r\n Content-Length: <length>\r\n")),
        ("line folded by a tab", with_lines(b"X-Sum: 1\r\n\tContent-Length: <length>\r\n")),
        ("control byte in a value", with_lines(b"X-Sum: 1\x012\r\nContent-Length: <length>\r\n")),
        ("delete byte in a value", with_lines(b"X-Sum: 1\x7f2\r\nContent-Length: <length>\r\n")),
        ("null byte in a value", with_lines(b"X-Sum: 1\x002\r\nContent-Length: <length>\r\n")),
        ("carriage return in a value", with_lines(b"X-Sum: 1\rContent-Length: <length>\r\n")),
        ("carriage return before a line end", with_lines(b"Content-Length: <length>\r\r\n")),
    ]
}

/// Returns sound responses in each framing, some in spellings that are rare.
pub fn sound_responses() -> Vec<SoundResponse> {
    let in_chunks = |first_line: &str, second_line: &str, end: &str| {
        let rest = format!("{first_line}\r\n<first>\r\n{second_line}\r\n<second>\r\n{end}\r\n");
        response(OK, CHUNKED, &rest)
    };
    let kept = [
        ("length", with_lines(b"Content-Length: <whole>\r\n")),
        ("length without blanks", with_lines(b"content-length:<whole>\r\n")),
        ("length between blanks and tabs", with_lines(b"CONTENT-LENGTH: \t <whole> \t\r\n")),
        ("length with zeros before it", with_lines(b"Content-Length: 00<whole>\r\n")),
        ("no reason phrase", with_status_line("HTTP/1.1 200 ")),
        ("long reason phrase", with_status_line("HTTP/1.1 200 All is well, \tHTTP/1.1 it is")),
        ("reason phrase in Latin-1", response_of_bytes(b"HTTP/1.1 200 d\xe9j\xe0 vu")),
        ("lines that end with line feeds", bare_line_feeds()),
        (
            "names of all token characters",
            with_lines(b"!#$%&'*+-.^_`|~09aZ: 1\r\nContent-Length: <whole>\r\n"),
        ),
        ("empty value", with_lines(b"X-Sum:\r\nContent-Length: <whole>\r\n")),
        (
            "value in UTF-8",
            with_lines("X-Sum: \u{a0}d\u{e9}j\u{e0}\tvu\r\nContent-Length: <whole>\r\n".as_bytes()),
        ),
        (
            "value that names the protocol",
            with_lines(b"Via: HTTP/1.1 proxy, 1.1 b\r\nContent-Length: <whole>\r\n"),
        ),
        ("informational heads", informational()),
        ("chunks", in_chunks("<hex>", "<HEX>", "0\r\n")),
        ("chunk sizes with zeros before them", in_chunks("000<hex>", "000000000000<hex>", "000\r\n")),
        ("coding in upper case", with_coding(OK, b"Transfer-Encoding: \tCHUNKED \r\n")),
        ("extensions", in_chunks("<hex>;a;b=c", "<hex> ; a = \"b;\\\"\tc\" ;d", "0;e=f\r\n")),
        (
            "trailers",
            in_chunks("<hex>", "<hex>", "0\r\nX-Sum: 1\r\nX-Empty:\r\nX-Text: \td\u{e9}j\u{e0} vu \r\n"),
        ),
    ];
    let closed =
        [("no length", with_lines(b"")), ("no length, HTTP/1.0", response("HTTP/1.0 200 OK", b"", BODY))];
    let of = |closes| move |(name, template): Named| SoundResponse { name, closes, template };
    kept.into_iter().map(of(false)).chain(closed.into_iter().map(of(true))).collect()
}

fn response_of_bytes(status_line: &[u8]) -> Vec<u8> {
    let rest = b"\r\n<fields>Content-Length: <whole>\r\n\r\n<first><second>";
    [status_line, rest].concat()
}

fn bare_line_feeds() -> Vec<u8> {
    b"HTTP/1.1 200 OK\n<fields>Content-Length: <whole>\n\n<first><second>".to_vec()
}

fn informational() -> Vec<u8> {
    let hints = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n";
    [hints.as_slice(), &with_status_line(OK)].concat()
}
