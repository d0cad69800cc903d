//! HTTP/1.1 messages, read from a socket without interpretation.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// A header field as received, without the white space around its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Field name in the sender's case.
    pub name: String,
    /// Field value without leading and trailing white space.
    pub value: String,
}

/// A request or response (RFC 9112, section 2.1).
#[derive(Clone, Debug)]
pub struct Message {
    /// The request line or status line.
    pub start_line: String,
    /// All header fields in the order of the message.
    pub headers: Vec<Header>,
    /// The body, with the length that `Content-Length` declares; empty without that header.
    pub body: Vec<u8>,
}

impl Message {
    /// All values of a header, in the order of the message. Names are case-insensitive (RFC 9110, section 5.1).
    pub fn values(&self, name: &str) -> Vec<&str> {
        let matching = self.headers.iter().filter(|header| header.name.eq_ignore_ascii_case(name));
        matching.map(|header| header.value.as_str()).collect()
    }

    /// The first value of a header; `None` if the message does not have the header.
    pub fn value(&self, name: &str) -> Option<&str> {
        self.values(name).first().copied()
    }

    /// The status code; 0 if the start line has no status code.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message. `None` if the connection ends before the message does.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut read_line = || {
        let mut text = String::new();
        let length = reader.read_line(&mut text).ok()?;
        (length > 0).then(|| text.trim_end().to_owned())
    };
    let start_line = read_line()?;
    let mut headers = Vec::new();
    loop {
        let line = read_line()?;
        let Some((name, value)) = line.split_once(':') else { break };
        headers.push(Header { name: name.to_owned(), value: value.trim().to_owned() });
    }
    let mut message = Message { start_line, headers, body: Vec::new() };
    let content_length = message.value("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    message.body = vec![0; content_length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}
