//! HTTP client of the control nodes. Sends the same call to one node after another until a node gives a definite response.

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

/// Timeout for connecting to a node, and for its response to every call but a watch; the next node is tried afterwards.
const NODE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after the first round in which no node gave a definite response. It doubles after each further round, up to
/// [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum delay between two rounds.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Prefix of the paths of watches.
const WATCH_PREFIX: &str = "/-/watch/";

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// A control node rejected the call, for example because another holder has the lock.
    #[error("{reason}")]
    Rejected {
        /// The status of the response.
        status: StatusCode,
        /// The reason that the control node gave.
        reason: String,
    },
    /// The call is not valid: a control node responded with 400, or the path is not a valid URI.
    #[error("{reason}")]
    Invalid {
        /// The reason, in most cases as the control node gave it.
        reason: String,
    },
    /// No control node has executed the call.
    #[error(
        "no control node accepted the call: check --control, and whether a majority of the control nodes runs"
    )]
    NotStarted,
    /// The call may have been executed.
    #[error("no definite response: the call may have been executed; run the same command again")]
    Unknown,
}

/// Outcome of one attempt to send a call to a node.
enum AttemptOutcome {
    /// The node gave a definite response; its body is `Value::Null` if it is not JSON.
    Responded(StatusCode, Value),
    /// The node has not executed the call: connecting failed, or the node responded with 429 or 503.
    NotStarted,
    /// The node may have executed the call: there was no complete response in time, or the node responded with another 5xx status.
    Unknown,
}

/// A client of a group of control nodes.
pub struct ControlClient {
    nodes: Vec<SocketAddr>,
    /// Index in `nodes` of the node to which the next attempt is sent.
    next_node: usize,
}

impl ControlClient {
    /// A client of the control nodes at these addresses.
    pub fn new(nodes: Vec<SocketAddr>) -> Self {
        Self { nodes, next_node: 0 }
    }

    /// Sends a call to the nodes in turn until one of them gives a definite response or `time_limit` has passed. The time limit is checked
    /// after each attempt. A call may be executed more than once, which is safe: a lock is granted to its holder again, a repeated put is
    /// recognised by its value, and a repeated call for a number only leaves a gap in the sequence.
    ///
    /// # Errors
    /// [`CallError`] if the response is not 200, or if there is no definite response within the time limit.
    pub async fn call_with_retries(
        &mut self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        time_limit: Duration,
    ) -> Result<Value, CallError> {
        let deadline = Instant::now() + time_limit;
        let Ok(uri) = format!("/-/{path}").parse::<Uri>() else {
            let reason = format!(
                "{path:?} is not a valid path of a call: a name consists of letters, digits and the characters . _ - :"
            );
            return Err(CallError::Invalid { reason });
        };
        let (mut backoff, mut may_have_executed) = (INITIAL_BACKOFF, false);
        loop {
            for _ in 0..self.nodes.len() {
                match self.try_node(&method, &uri, body, time_limit).await {
                    AttemptOutcome::Responded(StatusCode::OK, response) => return Ok(response),
                    AttemptOutcome::Responded(StatusCode::BAD_REQUEST, response) => {
                        return Err(CallError::Invalid { reason: error_text(&response) });
                    }
                    AttemptOutcome::Responded(status, response) => {
                        return Err(CallError::Rejected { status, reason: error_text(&response) });
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
        // A control node may respond to a watch only after its wait time; it responds to every other call within a second.
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

/// Sends one request on a new connection. Returns the status and the JSON body of the response.
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

/// The reason in a control node's error response.
fn error_text(response: &Value) -> String {
    response["error"].as_str().unwrap_or("the control node gave no reason").to_owned()
}
