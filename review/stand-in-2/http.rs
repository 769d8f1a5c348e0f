//! HTTP/1.1 over blocking sockets: requests and responses with a length or chunks, one at a time on a connection.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Time after which a read or a connection attempt fails.
pub const TIMEOUT: Duration = Duration::from_secs(12);

/// A message: the start line, the headers with lower-case names, and the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        Self::over(stream)
    }

    pub fn over(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        stream.set_write_timeout(Some(TIMEOUT))?;
        Ok(Self { stream, ahead: Vec::new() })
    }

    /// Reads the head of the next message.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let end = loop {
            if let Some(end) = self.ahead.windows(4).position(|four| four == b"\r\n\r\n") {
                break end;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
        self.ahead.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers: Vec<_> =
            headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned())).collect();
        Ok(Message { start, headers, body: Vec::new() })
    }

    /// Reads the next message; fails if the connection ends before its end.
    pub fn read(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        if message.header("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
            message.body = self.read_chunks()?;
        } else {
            let length = message.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
            message.body = self.take(length)?;
        }
        Ok(message)
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let chunk = self.read_chunk()?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }

    /// Reads the next chunk; an empty one is the last.
    pub fn read_chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.line()?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        if size == 0 {
            while !self.line()?.is_empty() {}
            return Ok(Vec::new());
        }
        let chunk = self.take(size)?;
        self.line()?;
        Ok(chunk)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
                self.ahead.drain(..end + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < length {
            self.fill()?;
        }
        Ok(self.ahead.drain(..length).collect())
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 8_192];
        match self.stream.read(&mut bytes)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.ahead.extend_from_slice(&bytes[..count]);
                Ok(())
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends a request and reads its response.
    pub fn call(&mut self, method: &str, path: &str, headers: &str, body: &str) -> io::Result<Message> {
        let length = body.len();
        let request = format!("{method} {path} HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        self.write(request.as_bytes())?;
        self.read()
    }
}

/// Sends one request on a connection of its own.
pub fn call(address: SocketAddr, method: &str, path: &str, headers: &str, body: &str) -> io::Result<Message> {
    let mut connection = Connection::connect(address)?;
    let headers = format!("{headers}Host: {address}\r\nConnection: close\r\n");
    connection.call(method, path, &headers, body)
}
