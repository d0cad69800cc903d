//! A small HTTP server for the interfaces of the control role and the router's readiness endpoint: receives complete requests and sends
//! JSON or plain-text responses.
//!
//! One task accepts connections, and one task serves each connection. The number of connections is limited only by the process's
//! descriptors, as the callers are operators, applications and the directory's clients. The task of a connection ends with the
//! connection, which drops the handler's future.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::transport::socket;

/// The longest request body: more than the longest configuration needs.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Timeout of a request's body, measured from the end of its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// A connection on which no complete request head is received within this time is closed.
const HEAD_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause after a failed accept: if the process is out of descriptors, another accept would fail immediately.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// The `Retry-After` header of 429 and 503 responses, in seconds.
const RETRY_AFTER_SECONDS: &str = "0.2";

/// A request that has been received completely.
pub struct HttpRequest {
    /// The HTTP method.
    pub method: Method,
    /// The segments of the path, percent-decoded.
    pub segments: Vec<String>,
    /// The name-value pairs of the query, percent-decoded.
    pub query: Vec<(String, String)>,
    /// All headers of the request.
    pub headers: HeaderMap,
    /// The complete body, of up to [`MAX_BODY_BYTES`].
    pub body: Bytes,
}

impl HttpRequest {
    /// The first value of a query parameter; `None` if the parameter is missing.
    pub fn query(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(parameter, _)| parameter == name).map(|(_, value)| value.as_str())
    }

    /// The trimmed value of a header; `None` if the header is missing or is not ASCII text.
    pub fn header(&self, name: &HeaderName) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
    }

    /// The segments of the path as slices, for pattern matching.
    pub fn path(&self) -> Vec<&str> {
        self.segments.iter().map(String::as_str).collect()
    }
}

/// A response with a complete body.
pub type HttpResponse = Response<Full<Bytes>>;

/// Creates a response with a JSON body.
pub fn json(status: StatusCode, body: String) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Creates a 200 response with plain text.
pub fn text(body: String) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    response
}

/// Creates a JSON response `{"error": text}`. The text should say what is wrong and what to do.
pub fn error(status: StatusCode, text: &str) -> HttpResponse {
    json(status, serde_json::json!({ "error": text }).to_string())
}

/// Creates a 503 response with a `Retry-After` header.
pub fn unavailable(text: &str) -> HttpResponse {
    retry_later(StatusCode::SERVICE_UNAVAILABLE, text)
}

/// Creates a 429 response with a `Retry-After` header.
pub fn too_many_requests(text: &str) -> HttpResponse {
    retry_later(StatusCode::TOO_MANY_REQUESTS, text)
}

fn retry_later(status: StatusCode, text: &str) -> HttpResponse {
    let mut response = error(status, text);
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_SECONDS));
    response
}

/// Accepts connections and serves their requests; never returns.
pub async fn serve<F: Future<Output = HttpResponse> + 'static>(
    listener: TcpListener,
    handler: impl Fn(HttpRequest) -> F + 'static,
) {
    let handler = Rc::new(handler);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let handler = handler.clone();
                spawn_local(async move {
                    if let Err(error) = serve_connection(stream, handler).await {
                        log::debug!("event=http_connection_failed error={:?}", error.to_string());
                    }
                });
            }
            Err(error) => {
                log::warn!("event=accept_failed error={:?}", error.to_string());
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

async fn serve_connection<F: Future<Output = HttpResponse>>(
    stream: TcpStream,
    handler: Rc<impl Fn(HttpRequest) -> F>,
) -> Result<(), hyper::Error> {
    socket::set_options(&stream);
    let service = service_fn(|request: Request<Incoming>| {
        let handler = handler.clone();
        async move {
            let response = match read_request(request).await {
                Ok(request) => handler(request).await,
                Err(status) => error(status, "the body did not come whole: send it again"),
            };
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
    builder.serve_connection(TokioIo::new(stream), service).await
}

/// Receives the body of a request. The error is the status with which the request is rejected.
async fn read_request(request: Request<Incoming>) -> Result<HttpRequest, StatusCode> {
    let (head, body) = request.into_parts();
    let body = match timeout(BODY_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(StatusCode::PAYLOAD_TOO_LARGE),
        _ => return Err(StatusCode::REQUEST_TIMEOUT),
    };
    let parameter = |text: &str| {
        let (name, value) = text.split_once('=').unwrap_or((text, ""));
        (percent_decode(name), percent_decode(value))
    };
    Ok(HttpRequest {
        method: head.method,
        segments: head.uri.path().split('/').skip(1).map(percent_decode).collect(),
        query: head.uri.query().unwrap_or("").split('&').map(parameter).collect(),
        headers: head.headers,
        body,
    })
}

/// Decodes `%XX` sequences (RFC 3986, section 2.1). Incomplete or invalid sequences are left unchanged.
fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let digits = bytes.get(index + 1..index + 3).and_then(|digits| std::str::from_utf8(digits).ok());
        match (bytes[index], digits.and_then(|digits| u8::from_str_radix(digits, 16).ok())) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                index += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
