//! HTTP/1.1 as far as the stand-ins need it.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// A request, or a response whose status is in `start`.
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    /// The path of a request, with its query.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with the bytes that were read but not used yet.
pub struct Connection {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Connection {
    pub fn over(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, unread: Vec::new() }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self::over(stream))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.unread.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads a message; `None` if the connection ended before its first byte.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.unread.windows(4).position(|window| window == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                let is_empty = self.unread.is_empty();
                return if is_empty { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        };
        let head = String::from_utf8_lossy(&self.unread[..end]).into_owned();
        self.unread.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let mut message = Message { start, headers, body: Vec::new() };
        message.body = self.read_body(&message)?;
        Ok(Some(message))
    }

    fn read_body(&mut self, message: &Message) -> io::Result<Vec<u8>> {
        let is_chunked = message.header("transfer-encoding").is_some_and(|value| value == "chunked");
        if is_chunked {
            let mut body = Vec::new();
            loop {
                let line = self.take_line()?;
                let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
                body.extend(self.take(size)?);
                self.take_line()?;
                if size == 0 {
                    return Ok(body);
                }
            }
        }
        let length = message.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        self.take(length)
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.unread.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.unread.drain(..=at).collect();
                return Ok(String::from_utf8_lossy(&line).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.unread.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.unread.drain(..count).collect())
    }

    /// Writes a message with a length.
    pub fn write(&mut self, start: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut bytes = format!("{start}\r\n").into_bytes();
        for (name, value) in headers {
            bytes.extend(format!("{name}: {value}\r\n").into_bytes());
        }
        bytes.extend(format!("content-length: {}\r\n\r\n", body.len()).into_bytes());
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

/// Serves connections, each on a thread of its own, until the process ends.
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(&Message, &mut Connection) -> io::Result<()> + Send + Sync + 'static,
) {
    let listener = TcpListener::bind(address).expect("an address is in use");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let mut connection = Connection::over(stream);
                while let Ok(Some(request)) = connection.read() {
                    if handle(&request, &mut connection).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends one request on a new connection; `None` without a complete response within `timeout`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<Message> {
    let end = Instant::now() + timeout;
    let mut connection = Connection::open(address, timeout).ok()?;
    let host = address.to_string();
    let mut all = vec![("host", host.as_str()), ("connection", "close")];
    all.retain(|(name, _)| !headers.iter().any(|(given, _)| given == name));
    all.extend_from_slice(headers);
    connection.write(&format!("{method} {path} HTTP/1.1"), &all, body.as_bytes()).ok()?;
    connection
        .stream
        .set_read_timeout(Some(end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1))))
        .ok()?;
    connection.read().ok()?
}

/// Returns the value of a string or number field of a JSON object without nested fields of that name.
pub fn json_field(text: &str, name: &str) -> Option<String> {
    let at = text.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = text[at..].trim_start();
    if let Some(rest) = rest.strip_prefix('"') {
        return rest.split('"').next().map(str::to_owned);
    }
    let end = rest.find(|c: char| matches!(c, ',' | '}' | ']')).unwrap_or(rest.len());
    Some(rest[..end].trim().to_owned())
}
