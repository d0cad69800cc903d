//! Makes attempts: sends a request to a server over a pooled connection, and forwards the response.
//!
//! Each attempt runs in a task of its own, which owns its connection until the response is complete. Retries are not decided here: an
//! attempt sends its request once, and reports one outcome. A cancelled attempt drops its connection.

mod pool;
mod response;
mod stream;

use std::cell::Cell;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response, Uri};
use ivyhatch_balancer::Outcome;
use ivyhatch_node::hop_by_hop::without_hop_by_hop_headers;
use ivyhatch_protocol::{MILLISECOND, Nanos};
use ivyhatch_routing::load_report::LoadReport;
use tokio::sync::oneshot;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep_until, timeout};

use super::attempt::{AttemptObserver, AttemptOutcome, AttemptSpec, ServerKey};
use super::client_response::{CompleteResponse, ResponseHead};
use super::headers::{DEADLINE, EXPECT_INSTANCE, LAST_EVENT_ID, REQUEST_ID};
use crate::clock::Clock;
use pool::{Connection, ConnectionPool, DEFAULT_KEEP_ALIVE};
use response::{ResponseContext, ResponseKind, failure_outcome};

/// The longest body of a complete response; a longer one is invalid. Streams have no limit.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// How long the body of a rejection is awaited so that its connection can be reused.
const REJECTION_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// Makes attempts over pooled connections.
pub struct Upstream {
    pool: ConnectionPool,
    clock: Clock,
}

/// The result of sending a request and reading its response on one connection.
struct Exchange {
    outcome: AttemptOutcome,
    /// How long the server keeps the idle connection open; `None` if the connection can't be reused.
    keep_alive: Option<Nanos>,
}

impl Exchange {
    /// An exchange after which the connection can't be reused.
    fn failed(outcome: Outcome) -> Self {
        Self { outcome: AttemptOutcome::without_response(outcome), keep_alive: None }
    }
}

/// The result of sending a request.
enum SendResult {
    /// The head of a response.
    Response(Response<Incoming>),
    /// The connection was closed before a byte was written.
    NotWritten,
    /// Sending or receiving failed after bytes were written; the request may have been executed.
    Failed(Outcome),
}

impl Upstream {
    /// Creates an upstream whose pool holds `max_open` connections at most.
    pub fn new(clock: Clock, max_open: usize) -> Self {
        Self { pool: ConnectionPool::new(clock, max_open), clock }
    }

    /// Closes idle connections that may no longer be reused; never returns.
    pub async fn sweep(self: Rc<Self>) {
        self.pool.sweep().await;
    }

    /// Whether the pool has a reusable idle connection to `server`.
    pub fn has_idle_connection(&self, server: ServerKey) -> bool {
        self.pool.has_idle(server)
    }

    /// Drops the idle connections to a server that takes no more requests.
    pub fn drop_idle_connections(&self, server: ServerKey) {
        self.pool.drop_idle(server);
    }

    /// Starts an attempt in a task of its own. Its outcome is reported to `observer` exactly once.
    pub fn start_attempt(self: &Rc<Self>, observer: &impl AttemptObserver, spec: AttemptSpec) {
        let (upstream, observer) = (self.clone(), observer.clone());
        spawn_local(async move { upstream.run_attempt(observer, spec).await });
    }

    async fn run_attempt(&self, observer: impl AttemptObserver, mut spec: AttemptSpec) {
        let is_written = Cell::new(false);
        let cancelled = std::mem::replace(&mut spec.cancelled, oneshot::channel().1);
        // A request that was never written was not executed, so the client may still get a rejection.
        let outcome_or_not_sent = |outcome| {
            let outcome = if is_written.get() { outcome } else { Outcome::NotSent };
            AttemptOutcome::without_response(outcome)
        };
        let outcome = tokio::select! {
            biased;
            _ = cancelled => outcome_or_not_sent(Outcome::Cancelled),
            outcome = self.attempt(&observer, &spec, &is_written) => outcome,
            () = sleep_until(self.clock.instant(spec.not_after)) => outcome_or_not_sent(Outcome::TimedOut),
        };
        observer.attempt_finished(spec.id, outcome);
    }

    /// Sends the request and reads the response. If an idle connection turns out to be closed before the request is written, another
    /// connection is used.
    async fn attempt(
        &self,
        observer: &impl AttemptObserver,
        spec: &AttemptSpec,
        is_written: &Cell<bool>,
    ) -> AttemptOutcome {
        let server = spec.id.server;
        loop {
            let Some(mut connection) = self.connection(spec).await else {
                return AttemptOutcome::without_response(Outcome::ConnectFailed);
            };
            if connection.was_idle {
                // Yields so that hyper first notices a close or stray bytes that the kernel has already received.
                yield_now().await;
            }
            if connection.sender.ready().await.is_err() {
                if connection.was_idle {
                    continue;
                }
                return AttemptOutcome::without_response(Outcome::ConnectFailed);
            }
            // While the connection was opened, the request may have ended or the server have left the server list.
            if !observer.may_send(spec.id) {
                self.pool.keep(server, connection, DEFAULT_KEEP_ALIVE);
                return AttemptOutcome::without_response(Outcome::NotSent);
            }
            let Some(request) = self.request(spec) else {
                return AttemptOutcome::without_response(Outcome::NotSent);
            };
            is_written.set(true);
            let response = match self.send(spec, &mut connection.sender, request).await {
                SendResult::Response(response) => response,
                SendResult::Failed(outcome) => return AttemptOutcome::without_response(outcome),
                SendResult::NotWritten => {
                    is_written.set(false);
                    if connection.was_idle {
                        continue;
                    }
                    return AttemptOutcome::without_response(Outcome::ConnectFailed);
                }
            };
            let is_first = connection.last_request.is_none();
            let exchange = self.read_response(observer, spec, response, is_first).await;
            if let Some(keep_alive) = exchange.keep_alive {
                let last_request = Some(spec.request_id.clone());
                self.pool.keep(server, Connection { last_request, ..connection }, keep_alive);
            }
            return exchange.outcome;
        }
    }

    /// Returns an idle connection to the attempt's server, or opens a new one; `None` if that fails.
    async fn connection(&self, spec: &AttemptSpec) -> Option<Connection> {
        match self.pool.take(spec.id.server, &spec.request_id) {
            Some(connection) => Some(connection),
            None => self.pool.connect(spec).await,
        }
    }

    /// Builds the request with the headers of this attempt. Returns `None` if a header value is invalid.
    fn request(&self, spec: &AttemptSpec) -> Option<Request<Full<Bytes>>> {
        let forwarded = &spec.request;
        let deadline_ms = spec.not_after.saturating_sub(self.clock.now()) / MILLISECOND;
        let mut request = Request::new(Full::new(forwarded.body.clone()));
        *request.method_mut() = forwarded.method.clone();
        *request.uri_mut() = forwarded.target.clone().map_or_else(|| Uri::from_static("/"), Uri::from);
        *request.headers_mut() = forwarded.headers.clone();
        let headers = request.headers_mut();
        headers.insert(DEADLINE, HeaderValue::from(deadline_ms));
        headers.insert(EXPECT_INSTANCE, HeaderValue::from_str(&spec.instance).ok()?);
        if let Some(id) = spec.last_event_id {
            headers.insert(LAST_EVENT_ID, HeaderValue::from(id));
        }
        if !headers.contains_key(HOST) {
            headers.insert(HOST, HeaderValue::from_str(&spec.endpoint.to_string()).ok()?);
        }
        Some(request)
    }

    async fn send(
        &self,
        spec: &AttemptSpec,
        sender: &mut SendRequest<Full<Bytes>>,
        request: Request<Full<Bytes>>,
    ) -> SendResult {
        let mut response = pin!(sender.try_send_request(request));
        match self.await_unless_unreachable(spec, spec.idle_timeouts.head, &mut response).await {
            None => SendResult::Failed(Outcome::Reset),
            Some(Ok(response)) => SendResult::Response(response),
            Some(Err(mut error)) => match error.take_message() {
                Some(_) => SendResult::NotWritten,
                None => SendResult::Failed(failure_outcome(error.error())),
            },
        }
    }

    /// Classifies a response by its head, and forwards its body or reads it completely.
    async fn read_response(
        &self,
        observer: &impl AttemptObserver,
        spec: &AttemptSpec,
        response: Response<Incoming>,
        is_first_on_connection: bool,
    ) -> Exchange {
        let (head, body) = response.into_parts();
        let context =
            ResponseContext { is_first_on_connection, has_length: body.size_hint().exact().is_some() };
        let kind = response::classify(&head, spec, context);
        let load = response::load(&head.headers);
        let keep_alive = response::keep_alive(&head.headers);
        let status = head.status;
        let head = ResponseHead { status, headers: without_hop_by_hop_headers(head.headers, &[REQUEST_ID]) };
        match kind {
            ResponseKind::Invalid => Exchange::failed(Outcome::InvalidResponse),
            // The request may have been executed, but the client would conclude from the status that it was not.
            ResponseKind::UnprovenRejection => Exchange::failed(Outcome::Error),
            // The instance that the attempt was addressed to no longer has this address.
            ResponseKind::Misdirected => {
                let outcome = AttemptOutcome::with_load(Outcome::Misdirected, load);
                Exchange { outcome, keep_alive: None }
            }
            ResponseKind::NotExecuted => {
                let outcome = AttemptOutcome::with_load(Outcome::Rejected, load);
                let is_complete = rejection_is_complete(body).await;
                Exchange { outcome, keep_alive: is_complete.then_some(keep_alive) }
            }
            ResponseKind::Stream => match self.forward_stream(observer, spec, head, body, load).await {
                Outcome::Served => {
                    let outcome = AttemptOutcome::with_load(Outcome::Served, load);
                    Exchange { outcome, keep_alive: Some(keep_alive) }
                }
                failure => Exchange::failed(failure),
            },
            ResponseKind::Complete => read_complete(head, body, load, keep_alive).await,
        }
    }

    /// Awaits a future that resolves when the server sends something. If the request may be retried at another server, the server is
    /// probed with a new connection after `idle_timeout` of silence; the time until the next probe doubles after each probe. Returns
    /// `None` if a probe fails.
    async fn await_unless_unreachable<F: Future>(
        &self,
        spec: &AttemptSpec,
        idle_timeout: Duration,
        awaited: &mut Pin<&mut F>,
    ) -> Option<F::Output> {
        if !spec.is_idempotent {
            return Some(awaited.await);
        }
        let mut probe_after = idle_timeout;
        loop {
            match timeout(probe_after, awaited.as_mut()).await {
                Ok(output) => return Some(output),
                Err(_) if self.pool.is_unreachable(spec).await => return None,
                Err(_) => probe_after *= 2,
            }
        }
    }
}

/// Reads the body of a response that is not a stream, and is forwarded once it is complete.
async fn read_complete(
    head: ResponseHead,
    body: Incoming,
    load: Option<LoadReport>,
    keep_alive: Nanos,
) -> Exchange {
    let body = match Limited::new(body, MAX_RESPONSE_BYTES).collect().await {
        Ok(complete) => complete.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => return Exchange::failed(Outcome::InvalidResponse),
        Err(error) => {
            let outcome = error.downcast_ref::<hyper::Error>().map_or(Outcome::Reset, failure_outcome);
            return Exchange::failed(outcome);
        }
    };
    // A 4xx status counts as served, as the client has caused it. After a 5xx status the request may have been executed.
    let outcome = if head.status.is_server_error() { Outcome::Error } else { Outcome::Served };
    let response = Some(CompleteResponse { head, body });
    Exchange { outcome: AttemptOutcome { outcome, load, response }, keep_alive: Some(keep_alive) }
}

/// Whether the body of a rejection is received within [`REJECTION_BODY_TIMEOUT`], so that its connection may be reused. The outcome is
/// known from the head alone: a server that stops in the middle of a rejection delays the request by no more than this timeout.
async fn rejection_is_complete(body: Incoming) -> bool {
    let body = Limited::new(body, MAX_RESPONSE_BYTES).collect();
    timeout(REJECTION_BODY_TIMEOUT, body).await.is_ok_and(|body| body.is_ok())
}
