//! Handles client requests: reads each request, finds its route, submits it to the request table, and writes the response.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use ivyhatch_node::client_listener::{DrainPhase, RequestHandler};
use ivyhatch_node::connection_limits::{ClientConnection, ConnectionLimiter, UnreadInput};
use ivyhatch_node::hop_by_hop::without_hop_by_hop_headers;
use ivyhatch_protocol::configuration::Route;
use ivyhatch_protocol::{MILLISECOND, Nanos};
use ivyhatch_routing::prompt::Prompt;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use super::attempt::ForwardedRequest;
use super::client_response::ClientResponse;
use super::dispatch::{Dispatcher, IncomingRequest};
use super::headers::{
    DEADLINE, EXPECT_INSTANCE, KEEP_ALIVE, LAST_EVENT_ID, MODEL, PRIORITY, PROMPT_PREFIX, REQUEST_ID,
    TOKEN_COUNTS, single,
};
use super::rejection::Rejection;
use super::response_body::{self, ResponseBody};

/// Subtracted from each client's deadline: the deadline runs from the client's send to the last byte of the response, and so includes
/// the network time between client and router.
const NETWORK_ALLOWANCE: Nanos = 10 * MILLISECOND;
/// The deadline of requests without a deadline header, in milliseconds.
const DEFAULT_DEADLINE_MS: f64 = 30_000.0;
/// The advertised keep-alive is shorter than the real idle timeout by this margin, so that the router does not close a connection while
/// a request is in flight on it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(2);
/// How long a request waits until a router that has just started is ready. Usually long enough; a rejection after this time still comes
/// early in the request's deadline.
const READY_TIMEOUT: Duration = Duration::from_millis(150);
/// The largest value of the priority header, and the least urgent priority.
const MAX_PRIORITY: u32 = 9;

/// The [`RequestHandler`] of the router's client listener.
pub struct ClientHandler {
    dispatcher: Dispatcher,
    connections: Rc<ConnectionLimiter>,
}

impl ClientHandler {
    /// Creates a handler that submits requests to `dispatcher` and applies the timeouts of `connections`.
    pub fn new(dispatcher: Dispatcher, connections: Rc<ConnectionLimiter>) -> Self {
        Self { dispatcher, connections }
    }

    /// Forwards one request, and waits for its response. Dropping the future cancels the request.
    async fn forward(
        &self,
        connection: &Rc<ClientConnection>,
        request: Request<Incoming>,
        read_by: Instant,
    ) -> Result<Response<ResponseBody>, Rejection> {
        let incoming = self.receive(connection, request, read_by).await?;
        let (guard, response) = self.dispatcher.submit(incoming).ok_or(Rejection::DuplicateRequestId)?;
        connection.request_accepted();
        // The sender is dropped without a response only if the request was removed from the request table without an outcome. It is
        // unknown then whether the request was executed.
        match response.await.unwrap_or(ClientResponse::Rejected(Rejection::Dropped)) {
            ClientResponse::Stream(head, chunks) => {
                Ok(response_body::streaming(head, chunks, connection.clone(), guard))
            }
            ClientResponse::Complete(response) => Ok(response_body::complete(response)),
            ClientResponse::Rejected(rejection) => Err(rejection),
        }
    }

    /// Validates a request and reads its body; the body must be complete by `read_by`.
    async fn receive(
        &self,
        connection: &ClientConnection,
        request: Request<Incoming>,
        read_by: Instant,
    ) -> Result<IncomingRequest, Rejection> {
        let received_at = self.dispatcher.now();
        let (head, body) = request.into_parts();
        if connection.has_duplicate_content_length() {
            return Err(Rejection::InvalidHeader("content-length"));
        }
        let id = single(&head.headers, REQUEST_ID).ok_or(Rejection::InvalidHeader(REQUEST_ID))?;
        let id = Rc::from(id);
        let host = single(&head.headers, "host")
            .or_else(|| head.uri.host())
            .ok_or(Rejection::InvalidHeader("host"))?;
        if !self.dispatcher.wait_until_ready(READY_TIMEOUT).await {
            return Err(Rejection::NotReady);
        }
        let route = self.dispatcher.route(host, head.uri.path()).ok_or(Rejection::NoRoute)?;
        let deadline_ms = deadline_ms(&head.headers)?.min(route.timeout_ms);
        let max_body_bytes = self.dispatcher.limits().max_body_bytes as usize;
        let body = read_body(body, max_body_bytes, read_by).await?;
        let timeout = (deadline_ms * MILLISECOND as f64) as Nanos;
        let not_after = received_at + timeout.saturating_sub(NETWORK_ALLOWANCE);
        Ok(incoming_request(id, head, body, route, not_after))
    }

    /// The idle timeout that clients get in the `Keep-Alive` header of responses.
    fn advertised_keep_alive(&self) -> Duration {
        self.connections.timeouts().idle.saturating_sub(KEEP_ALIVE_MARGIN)
    }
}

impl RequestHandler for ClientHandler {
    type Body = ResponseBody;

    async fn handle(
        &self,
        connection: Rc<ClientConnection>,
        request: Request<Incoming>,
        phase: watch::Receiver<DrainPhase>,
    ) -> Response<ResponseBody> {
        let read_by = connection.request_arriving();
        let (mut response, closes) = match self.forward(&connection, request, read_by).await {
            Ok(response) => (response, false),
            Err(rejection) => (response_body::rejected(rejection), rejection.closes_connection()),
        };
        let closes = closes || *phase.borrow() != DrainPhase::Serving || connection.exceeds_idle_limit();
        let headers = response.headers_mut();
        if closes {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        } else {
            let seconds = self.advertised_keep_alive().as_secs().max(1);
            if let Ok(value) = HeaderValue::from_str(&format!("timeout={seconds}")) {
                headers.insert(KEEP_ALIVE, value);
            }
        }
        if !matches!(response.body(), ResponseBody::Stream(_)) {
            let may_have_unread_input = closes && response.status() != StatusCode::OK;
            connection.response_started(if may_have_unread_input {
                UnreadInput::Possible
            } else {
                UnreadInput::None
            });
        }
        response
    }
}

/// The value of the deadline header in milliseconds, or the default if the header is missing.
fn deadline_ms(headers: &HeaderMap) -> Result<f64, Rejection> {
    let Some(text) = single(headers, DEADLINE) else { return Ok(DEFAULT_DEADLINE_MS) };
    let milliseconds = text.parse::<f64>().ok().filter(|milliseconds| *milliseconds >= 0.0);
    milliseconds.ok_or(Rejection::InvalidHeader(DEADLINE))
}

/// Reads a body of at most `max_bytes` bytes, which must be complete by `read_by`.
async fn read_body(body: Incoming, max_bytes: usize, read_by: Instant) -> Result<Bytes, Rejection> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(Rejection::BodyTooLarge);
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    match timeout_at(read_by, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(complete)) => Ok(complete.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Rejection::BodyTooLarge),
        Ok(Err(_)) | Err(_) => Err(Rejection::BodyIncomplete),
    }
}

/// Builds the request that is submitted to the dispatcher.
fn incoming_request(
    id: Rc<str>,
    head: Parts,
    body: Bytes,
    route: Rc<Route>,
    not_after: Nanos,
) -> IncomingRequest {
    let text = |name| single(&head.headers, name);
    let prompt = Prompt::from_headers(text(MODEL).unwrap_or(""), text(PROMPT_PREFIX), text(TOKEN_COUNTS));
    let last_event_id = text(LAST_EVENT_ID).and_then(|text| text.parse().ok());
    let forwarded = ForwardedRequest {
        method: head.method,
        target: head.uri.path_and_query().cloned(),
        headers: forwarded_headers(head.headers, &route),
        body,
    };
    IncomingRequest { id, not_after, route, prompt, last_event_id, forwarded }
}

/// The headers that are forwarded to servers: without hop-by-hop headers and those that each attempt sets itself. The client's priority
/// is removed; on a sticky route, the route's priority is sent instead.
fn forwarded_headers(headers: HeaderMap, route: &Route) -> HeaderMap {
    let mut headers = without_hop_by_hop_headers(headers, &[REQUEST_ID]);
    for name in [DEADLINE, EXPECT_INSTANCE, PRIORITY] {
        headers.remove(name);
    }
    if route.sticky {
        let priority = HeaderValue::from(route.priority.min(MAX_PRIORITY));
        headers.insert(HeaderName::from_static(PRIORITY), priority);
    }
    headers
}
