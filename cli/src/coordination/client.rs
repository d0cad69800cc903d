//! A client of the control nodes: sends a call unchanged to one node after another until an answer is clear.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// A node that does not answer within this is left, beside what a watch waits for.
const NODE_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause once all nodes were asked in vain, at first and at most.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Where the paths of watches begin.
const WATCH_PREFIX: &str = "/-/watch/";

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// It was decided against.
    #[error("{text}")]
    Rejected {
        /// The status of the answer.
        status: StatusCode,
        /// What the control node says.
        text: String,
    },
    /// It is not valid.
    #[error("{text}")]
    Invalid {
        /// What the control node says.
        text: String,
    },
    /// No control node has begun it.
    #[error("no control node takes the call: see to --control, and whether most control nodes are up")]
    NotStarted,
    /// It may have been carried out.
    #[error("no clear answer: what was asked for may have been done; run the same command again")]
    Unknown,
}

/// One try of a call.
enum AttemptOutcome {
    Responded(StatusCode, Value),
    /// Nothing was done.
    NotStarted,
    /// Something may have been done.
    Unknown,
}

/// A client of some control nodes.
pub struct ControlClient {
    nodes: Vec<SocketAddr>,
    next_node: usize,
}

impl ControlClient {
    /// A client of the control nodes at these addresses.
    pub fn new(nodes: Vec<SocketAddr>) -> Self {
        Self { nodes, next_node: 0 }
    }

    /// Sends a call until an answer is clear, for `limit`. Every call may be carried out twice: a lock is given to its holder again, a
    /// put is recognised by its value, a number leaves a gap.
    ///
    /// # Errors
    /// Where the answer is no success, or none is clear in time.
    pub async fn call_with_retries(
        &mut self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        time_limit: Duration,
    ) -> Result<Value, CallError> {
        let deadline = Instant::now() + time_limit;
        let Ok(uri) = format!("/-/{path}").parse::<Uri>() else {
            let text = format!("{path:?}: a name has letters, digits and the characters . _ - :");
            return Err(CallError::Invalid { text });
        };
        let (mut backoff, mut may_have_executed) = (INITIAL_BACKOFF, false);
        loop {
            for _ in 0..self.nodes.len() {
                match self.try_node(&method, &uri, body, time_limit).await {
                    AttemptOutcome::Responded(StatusCode::OK, response) => return Ok(response),
                    AttemptOutcome::Responded(StatusCode::BAD_REQUEST, response) => {
                        return Err(CallError::Invalid { text: error_text(&response) });
                    }
                    AttemptOutcome::Responded(status, response) => {
                        return Err(CallError::Rejected { status, text: error_text(&response) });
                    }
                    AttemptOutcome::NotStarted => {}
                    AttemptOutcome::Unknown => may_have_executed = true,
                }
                self.next_node = (self.next_node + 1) % self.nodes.len();
                if Instant::now() >= deadline {
                    return Err(if may_have_executed { CallError::Unknown } else { CallError::NotStarted });
                }
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    async fn try_node(
        &self,
        method: &Method,
        uri: &Uri,
        body: Option<&Value>,
        time_limit: Duration,
    ) -> AttemptOutcome {
        let address = self.nodes[self.next_node];
        let Ok(Ok(stream)) = timeout(NODE_TIMEOUT, TcpStream::connect(address)).await else {
            return AttemptOutcome::NotStarted;
        };
        // A watch is answered after its wait; everything else within a second.
        let response_timeout = if uri.path().starts_with(WATCH_PREFIX) { time_limit } else { NODE_TIMEOUT };
        match timeout(response_timeout, exchange(stream, address, method, uri, body)).await {
            Ok(Ok((StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, _))) => {
                AttemptOutcome::NotStarted
            }
            Ok(Ok((status, response))) if !status.is_server_error() => {
                AttemptOutcome::Responded(status, response)
            }
            _ => AttemptOutcome::Unknown,
        }
    }
}

async fn exchange(
    stream: TcpStream,
    address: SocketAddr,
    method: &Method,
    uri: &Uri,
    body: Option<&Value>,
) -> Result<(StatusCode, Value), hyper::Error> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let body = body.map(Value::to_string).unwrap_or_default();
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = method.clone();
    *request.uri_mut() = uri.clone();
    let headers = request.headers_mut();
    if let Ok(host) = address.to_string().parse() {
        headers.insert(HOST, host);
    }
    headers.insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("application/json"));
    let response = sender.send_request(request).await?;
    let status = response.status();
    let bytes = response.into_body().collect().await?.to_bytes();
    Ok((status, serde_json::from_slice(&bytes).unwrap_or(Value::Null)))
}

fn error_text(response: &Value) -> String {
    response["error"].as_str().unwrap_or("the control node gives no reason").to_owned()
}
