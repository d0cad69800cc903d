//! Calls of operators, and clients that read an answer piece by piece.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::{Value, json};

use super::WAIT_TIMEOUT;

/// One call on a connection of its own; none without an answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    base: Option<u64>,
    body: &str,
) -> Option<(u16, Value)> {
    let base = base.map(|base| format!("If-Match: {base}\r\n")).unwrap_or_default();
    let length = body.len();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n{base}Content-Length: {length}\r\n\r\n{body}"
    );
    let mut client = Client::try_connect(address)?;
    client.try_write(text.as_bytes())?;
    let head = client.try_read_head()?;
    let body = client.read_body(&head).ok()?;
    Some((head.status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
}

/// A route whose paths begin with its name; `more` goes over the usual fields.
pub fn route(name: &str, fields: &Value) -> Value {
    let mut route = json!({"name": name, "host": "h.example", "path_prefix": format!("/{name}/"), "route_kind": "safe",
        "timeout_ms": 8000, "target_ms": 2000, "priority": 0, "service": "s", "max_tries": 2, "sticky": false,
        "resumable": false, "gap_aim_ms": 1000, "home_regions": []});
    for (field, value) in fields.as_object().expect("fields") {
        route[field] = value.clone();
    }
    route
}

/// A request's bytes, with a body of known length.
pub fn request(id: &str, method: &str, path: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nIvyhatch-Attempt-Id: {id}\r\nIvyhatch-Deadline-Ms: 6000\r\n{headers}{length}\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// A request without a body.
pub fn get_request(id: &str, path: &str) -> Vec<u8> {
    request(id, "GET", path, "", b"")
}

/// The head of an answer.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    pub status: u16,
    pub headers: Vec<(String, String)>,
}

impl ResponseHead {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut named = self.headers.iter().filter(|(field, _)| field.eq_ignore_ascii_case(name));
        named.next().map(|(_, value)| value.as_str())
    }
}

/// An answer whose connection ended first; what had come of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TruncatedBody(pub Vec<u8>);

/// A whole answer as text, for what is text.
#[derive(Clone, Debug)]
pub struct Response {
    pub head: ResponseHead,
    pub body: Vec<u8>,
}

/// A client's connection.
pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn try_connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
        Some(Self(BufReader::new(stream)))
    }

    pub fn connect(address: SocketAddr) -> Self {
        Self::try_connect(address).expect("it listens")
    }

    /// An answer that takes longer counts as none.
    pub fn set_read_timeout(&self, timeout: Duration) {
        let _ = self.0.get_ref().set_read_timeout(Some(timeout));
    }

    pub fn try_write(&mut self, bytes: &[u8]) -> Option<()> {
        self.0.get_mut().write_all(bytes).ok()
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.try_write(bytes).expect("it reads");
    }

    fn read_line(&mut self) -> Option<String> {
        let mut text = String::new();
        let read = self.0.read_line(&mut text).ok()?;
        (read > 0).then(|| text.trim_end().to_owned())
    }

    /// The head of the next answer; none where the connection ends first.
    pub fn try_read_head(&mut self) -> Option<ResponseHead> {
        let first = self.read_line()?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        let mut headers = Vec::new();
        loop {
            let line = self.read_line()?;
            let Some((k, v)) = line.split_once(':') else { return Some(ResponseHead { status, headers }) };
            headers.push((k.to_owned(), v.trim().to_owned()));
        }
    }

    pub fn read_head(&mut self) -> ResponseHead {
        self.try_read_head().expect("an answer")
    }

    /// The next piece of a body in chunks; empty at its end, none where the connection ends first.
    pub fn read_chunk(&mut self) -> Option<Vec<u8>> {
        let length = usize::from_str_radix(&self.read_line()?, 16).ok()?;
        let mut bytes = vec![0; length + 2];
        self.0.read_exact(&mut bytes).ok()?;
        bytes.truncate(length);
        Some(bytes)
    }

    /// The rest of an answer.
    pub fn read_body(&mut self, head: &ResponseHead) -> Result<Vec<u8>, TruncatedBody> {
        let mut body = Vec::new();
        if let Some(length) = head.header("content-length").and_then(|text| text.parse::<usize>().ok()) {
            let mut rest = self.0.by_ref().take(length as u64);
            let _ = rest.read_to_end(&mut body);
            return if body.len() == length { Ok(body) } else { Err(TruncatedBody(body)) };
        }
        if head.header("transfer-encoding") == Some("chunked") {
            loop {
                match self.read_chunk() {
                    Some(piece) if piece.is_empty() => return Ok(body),
                    Some(piece) => body.extend(piece),
                    None => return Err(TruncatedBody(body)),
                }
            }
        }
        Ok(body)
    }

    /// Writes a request and reads its answer.
    pub fn send_request(&mut self, request: &[u8]) -> Response {
        self.write(request);
        let head = self.read_head();
        let body = self.read_body(&head).expect("a whole answer");
        Response { head, body }
    }

    /// Reads so many bytes, or what there is of them.
    pub fn skip_bytes(&mut self, count: usize) {
        let _ = self.0.by_ref().take(count as u64).read_to_end(&mut Vec::new());
    }

    /// Says that it writes no more.
    pub fn half_close(&mut self) {
        let _ = self.0.get_mut().shutdown(std::net::Shutdown::Write);
    }

    /// Leaves with a reset.
    pub fn reset(self) {
        ivyhatch_socket_lab::scripted::Client::from_stream(self.0.into_inner()).reset();
    }

    /// Whether the connection has ended, with nothing more on it.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.0.read(&mut [0]), Ok(0) | Err(_))
    }
}

/// Asks on a connection of its own.
pub fn send_request(address: SocketAddr, request: &[u8]) -> Response {
    Client::connect(address).send_request(request)
}
