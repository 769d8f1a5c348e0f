//! Reads and writes HTTP/1.1 messages.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request as a worker or the platform receives it.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads a request with a body of stated length; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let length =
        headers.iter().find(|(name, _)| name == "content-length").and_then(|(_, value)| value.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(Request { method, target, headers })
}

/// An answer as a client receives it.
#[derive(Debug, Default)]
pub struct Answer {
    /// 0 if the connection ended without a head.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    /// Empty if it didn't come whole.
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

/// Sends one request on a new connection and reads the answer, whose length is stated.
pub fn call(address: SocketAddr, head: &str, body: &str, limit: Duration) -> Answer {
    let mut answer = Answer::default();
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else { return answer };
    let _ = stream.set_read_timeout(Some(limit));
    let _ = stream.set_nodelay(true);
    let text = format!("{head}Connection: close\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    if stream.write_all(text.as_bytes()).is_err() {
        return answer;
    }
    let mut reader = BufReader::new(stream);
    let Some((first, headers)) = read_head(&mut reader) else { return answer };
    answer.status = first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    answer.headers = headers;
    let length: Option<usize> = answer.header("content-length").and_then(|value| value.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    if reader.read_exact(&mut body).is_ok() {
        answer.body = body;
    }
    answer
}
