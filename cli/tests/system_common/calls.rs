//! HTTP clients: calls of operators, and connections whose responses a test reads part by part.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::{Value, json};

use super::WAIT_TIMEOUT;

/// Makes one call on a new connection, with `base` as its `If-Match` header. Returns the status and the body, which is null if it is not
/// JSON; `None` without a complete response.
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

/// A route whose paths begin with its name. `fields` are added to the default fields and take precedence over them.
pub fn route(name: &str, fields: &Value) -> Value {
    let mut route = json!({"name": name, "host": "h.example", "path_prefix": format!("/{name}/"), "route_kind": "safe",
        "timeout_ms": 8000, "target_ms": 2000, "priority": 0, "service": "s", "max_tries": 2, "sticky": false,
        "resumable": false, "gap_aim_ms": 1000, "home_regions": []});
    for (field, value) in fields.as_object().expect("the fields of a route are a JSON object") {
        route[field] = value.clone();
    }
    route
}

/// The bytes of a request with this id, and with a `Content-Length` if the body is not empty. `headers` are complete lines.
pub fn request(id: &str, method: &str, path: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nIvyhatch-Attempt-Id: {id}\r\nIvyhatch-Deadline-Ms: 6000\r\n{headers}{length}\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// The bytes of a `GET` request without a body.
pub fn get_request(id: &str, path: &str) -> Vec<u8> {
    request(id, "GET", path, "", b"")
}

/// Status and headers of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    pub status: u16,
    pub headers: Vec<(String, String)>,
}

impl ResponseHead {
    /// Value of the first header with this name, ignoring case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut named = self.headers.iter().filter(|(field, _)| field.eq_ignore_ascii_case(name));
        named.next().map(|(_, value)| value.as_str())
    }
}

/// The received part of a response body whose connection ended too early.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TruncatedBody(pub Vec<u8>);

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    pub head: ResponseHead,
    pub body: Vec<u8>,
}

/// A client's connection to a router or a control node.
pub struct Client(BufReader<TcpStream>);

impl Client {
    /// Connects within 2 seconds; `None` if that fails.
    pub fn try_connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
        Some(Self(BufReader::new(stream)))
    }

    /// Connects; fails the test if that is not possible.
    pub fn connect(address: SocketAddr) -> Self {
        Self::try_connect(address).expect("the connection is accepted")
    }

    /// Sets the longest wait for bytes of a response; after it the response counts as missing.
    pub fn set_read_timeout(&self, timeout: Duration) {
        let _ = self.0.get_ref().set_read_timeout(Some(timeout));
    }

    /// Writes bytes; `None` if the connection is closed.
    pub fn try_write(&mut self, bytes: &[u8]) -> Option<()> {
        self.0.get_mut().write_all(bytes).ok()
    }

    /// Writes bytes; fails the test if the connection is closed.
    pub fn write(&mut self, bytes: &[u8]) {
        self.try_write(bytes).expect("the connection takes the bytes");
    }

    fn read_line(&mut self) -> Option<String> {
        let mut text = String::new();
        let read = self.0.read_line(&mut text).ok()?;
        (read > 0).then(|| text.trim_end().to_owned())
    }

    /// Reads the head of the next response; `None` if the connection ends before it.
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

    /// Reads the head of the next response; fails the test if the connection ends before it.
    pub fn read_head(&mut self) -> ResponseHead {
        self.try_read_head().expect("the head of a response")
    }

    /// Reads the next chunk of a chunked body: empty at the end of the body, `None` if the connection ends before it.
    pub fn read_chunk(&mut self) -> Option<Vec<u8>> {
        let length = usize::from_str_radix(&self.read_line()?, 16).ok()?;
        let mut bytes = vec![0; length + 2];
        self.0.read_exact(&mut bytes).ok()?;
        bytes.truncate(length);
        Some(bytes)
    }

    /// Reads the body that follows this head.
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

    /// Writes a request and reads its complete response.
    pub fn send_request(&mut self, request: &[u8]) -> Response {
        self.write(request);
        let head = self.read_head();
        let body = self.read_body(&head).expect("the complete body of a response");
        Response { head, body }
    }

    /// Reads and discards `count` bytes, or fewer if the connection ends before.
    pub fn skip_bytes(&mut self, count: usize) {
        let _ = self.0.by_ref().take(count as u64).read_to_end(&mut Vec::new());
    }

    /// Closes the sending direction of the connection; responses can still be read.
    pub fn half_close(&mut self) {
        let _ = self.0.get_mut().shutdown(std::net::Shutdown::Write);
    }

    /// Closes the connection with a TCP reset.
    pub fn reset(self) {
        ivyhatch_socket_lab::scripted::Client::from_stream(self.0.into_inner()).reset();
    }

    /// Whether the connection ends, or stays silent for [`WAIT_TIMEOUT`], without another byte.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.0.read(&mut [0]), Ok(0) | Err(_))
    }
}

/// Sends a request on a new connection and reads its complete response.
pub fn send_request(address: SocketAddr, request: &[u8]) -> Response {
    Client::connect(address).send_request(request)
}
