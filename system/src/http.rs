//! A small HTTP server for the system's own interfaces: calls in, JSON answers out.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// No body is longer: the longest configuration with room to spare.
const LONGEST_BODY: usize = 16 << 20;
/// A body is whole within this.
const BODY: Duration = Duration::from_secs(5);
/// A connection on which nothing is asked for so long is closed.
const IDLE: Duration = Duration::from_secs(20);
/// Wait after a failed accept: out of descriptors, the next would fail at once.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// A call, whole.
pub struct Call {
    /// Its method.
    pub method: Method,
    /// The segments of its path, decoded.
    pub segments: Vec<String>,
    /// The pairs of its query, decoded.
    pub query: Vec<(String, String)>,
    /// Its headers.
    pub headers: hyper::HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl Call {
    /// A value of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(of, _)| of == name).map(|(_, value)| value.as_str())
    }
}

/// An answer.
pub type Answer = Response<Full<Bytes>>;

/// An answer with a JSON body.
pub fn json(status: StatusCode, body: String) -> Answer {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// An answer that tells what is wrong and what to do.
pub fn problem(status: StatusCode, text: &str) -> Answer {
    json(status, serde_json::json!({ "error": text }).to_string())
}

/// An answer that asks to come again in a moment.
pub fn again(text: &str) -> Answer {
    let mut answer = problem(StatusCode::SERVICE_UNAVAILABLE, text);
    answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("0.2"));
    answer
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::with_capacity(bytes.len()), 0);
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match (bytes[at], hex.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Answers calls for as long as it is polled. Never ends.
pub async fn serve<F: Future<Output = Answer> + 'static>(
    listener: TcpListener,
    answer: impl Fn(Call) -> F + 'static,
) {
    let answer = Rc::new(answer);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let answer = answer.clone();
                spawn_local(async move {
                    if let Err(error) = converse(stream, answer).await {
                        log::debug!("event=call_broken error={:?}", error.to_string());
                    }
                });
            }
            Err(error) => {
                log::warn!("event=accept_failed error={:?}", error.to_string());
                sleep(ACCEPT_AGAIN).await;
            }
        }
    }
}

async fn converse<F: Future<Output = Answer>>(
    stream: TcpStream,
    answer: Rc<impl Fn(Call) -> F>,
) -> Result<(), hyper::Error> {
    crate::link::tune(&stream);
    let service = service_fn(|request: Request<Incoming>| {
        let answer = answer.clone();
        async move {
            let answered = match whole(request).await {
                Ok(call) => answer(call).await,
                Err(status) => problem(status, "the body did not come whole: send it again"),
            };
            Ok::<_, Infallible>(answered)
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(IDLE);
    builder.serve_connection(TokioIo::new(stream), service).await
}

async fn whole(request: Request<Incoming>) -> Result<Call, StatusCode> {
    let (head, body) = request.into_parts();
    let body = match timeout(BODY, Limited::new(body, LONGEST_BODY).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        _ => return Err(StatusCode::REQUEST_TIMEOUT),
    };
    let pair = |pair: &str| {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        (decoded(name), decoded(value))
    };
    Ok(Call {
        method: head.method,
        segments: head.uri.path().split('/').skip(1).map(decoded).collect(),
        query: head.uri.query().unwrap_or("").split('&').map(pair).collect(),
        headers: head.headers,
        body,
    })
}

/// A header's value as text.
pub fn header<'a>(headers: &'a hyper::HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
}
