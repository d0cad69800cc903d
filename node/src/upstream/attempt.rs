//! Carries out one attempt over the connection pool. The request is written at most once; retries are the balancer's decision.

use std::cell::Cell;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{HOST, HeaderValue};
use ivyhatch_balancer::{Nanos, Outcome};
use tokio::sync::oneshot;
use tokio::task::yield_now;
use tokio::time::{sleep_until, timeout};

use super::connection::{BackendAddress, BackendConnection};
use super::pool::{ConnectionPool, ReusedConnection};
use super::response::{outcome_of_error, read_response};
use crate::driver::{AttemptResult, AttemptStart, Node};

/// A response that is not complete this long after its first byte is invalid: backends send a response in one go, and the
/// remaining time is better used for another attempt.
const MAX_RESPONSE_DURATION: Duration = Duration::from_millis(100);
/// How long a response may arrive after its client's deadline so that its connection can be reused: otherwise each request with a
/// short deadline would cost a handshake.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
const BUDGET: &str = "x-budget-ms";
const NANOS_PER_MILLISECOND: Nanos = 1_000_000;

/// Carries out an attempt and reports its result to `node`, exactly once.
pub async fn run_attempt(pool: &ConnectionPool, node: Node, mut start: AttemptStart) {
    let written = Cell::new(false);
    let cancelled = std::mem::replace(&mut start.cancelled, oneshot::channel().1);
    // A request that was never written has not run, so the balancer may still reject it.
    let unless_unwritten = |outcome| if written.get() { outcome } else { Outcome::NotSent };
    let mut attempt = pin!(send_over_pool(pool, &node, &start, &written));
    let result = tokio::select! {
        biased;
        _ = cancelled => AttemptResult::without_response(unless_unwritten(Outcome::Cancelled)),
        result = &mut attempt => result,
        () = sleep_until(pool.clock().instant(start.timeout_at)) => {
            AttemptResult::without_response(unless_unwritten(Outcome::TimedOut))
        }
    };
    // After the client's deadline there are no more attempts. The late response is read only to keep the connection reusable.
    let may_finish_late = result.outcome == Outcome::TimedOut && start.timeout_at >= start.not_after;
    node.attempt_ended(start.key, result);
    if may_finish_late && pool.has_spare_connections() {
        let _ = timeout(LATE_RESPONSE_TIMEOUT, attempt).await;
    }
}

/// The result of sending an attempt on one connection.
enum Sent {
    /// The attempt has ended.
    Ended(AttemptResult),
    /// The connection was found dead before anything was written to it.
    DeadConnection,
}

async fn send_over_pool(
    pool: &ConnectionPool,
    node: &Node,
    start: &AttemptStart,
    written: &Cell<bool>,
) -> AttemptResult {
    let address = backend_address(start);
    // If a pooled connection is found dead before anything was written to it, the next one is tried.
    while let Some(ReusedConnection { connection, idle_time }) = pool.take(address) {
        // Lets the connection's task process a close or unsolicited bytes that the operating system has already received.
        yield_now().await;
        if let Sent::Ended(result) = send_on(pool, node, start, connection, Some(idle_time), written).await {
            return result;
        }
    }
    let connect_failed = AttemptResult::without_response(Outcome::ConnectFailed);
    let Some(connection) = pool.connect(start.endpoint).await else { return connect_failed };
    match send_on(pool, node, start, connection, None, written).await {
        Sent::Ended(result) => result,
        Sent::DeadConnection => connect_failed,
    }
}

/// Sends the request on one connection. `idle_time` is how long a reused connection had been idle; `None` for a new one.
async fn send_on(
    pool: &ConnectionPool,
    node: &Node,
    start: &AttemptStart,
    mut connection: BackendConnection,
    idle_time: Option<Nanos>,
    written: &Cell<bool>,
) -> Sent {
    if connection.sender.ready().await.is_err() {
        return Sent::DeadConnection;
    }
    // The request may have ended during the connect, or the backend may have been drained or removed from the list.
    if !node.may_write(start.key) {
        pool.put_back(node, backend_address(start), connection);
        return Sent::Ended(AttemptResult::without_response(Outcome::NotSent));
    }
    let Some(mut request) = forwarded_request(pool, start) else {
        return Sent::Ended(AttemptResult::without_response(Outcome::NotSent));
    };
    let observer = connection.observer.clone();
    observer.expect_response_to(&mut request);
    written.set(true);
    let sent = tokio::select! {
        biased;
        sent = exchange(pool, node, backend_address(start), connection, request) => sent,
        () = observer.stalled(MAX_RESPONSE_DURATION) => {
            return Sent::Ended(AttemptResult::without_response(Outcome::InvalidResponse));
        }
    };
    match &sent {
        Sent::Ended(result) => {
            let was_reset = result.outcome == Outcome::Reset && !observer.has_received_bytes();
            if let Some(idle_time) = idle_time {
                pool.idle_resets().record(idle_time, was_reset);
            }
        }
        Sent::DeadConnection => written.set(false),
    }
    sent
}

/// Sends a request and reads its response. Returns the connection to the pool if it can be reused.
async fn exchange(
    pool: &ConnectionPool,
    node: &Node,
    address: BackendAddress,
    mut connection: BackendConnection,
    request: Request<Full<Bytes>>,
) -> Sent {
    match connection.sender.try_send_request(request).await {
        Ok(response) => {
            let response = read_response(response).await;
            if response.is_connection_reusable {
                pool.put_back(node, address, connection);
            }
            Sent::Ended(response.result)
        }
        // The HTTP library returns the request if no byte of it was written.
        Err(mut error) => match error.take_message() {
            Some(_) => Sent::DeadConnection,
            None => Sent::Ended(AttemptResult::without_response(outcome_of_error(error.error()))),
        },
    }
}

/// The request that is sent to the backend, with the remaining budget. `None` if the endpoint is no valid `host` header.
fn forwarded_request(pool: &ConnectionPool, start: &AttemptStart) -> Option<Request<Full<Bytes>>> {
    let forwarded = &start.forwarded;
    let ends_at = start.timeout_at.min(start.not_after);
    let budget_ms = ends_at.saturating_sub(pool.clock().now()) / NANOS_PER_MILLISECOND;
    let mut request = Request::new(Full::new(forwarded.body.clone()));
    *request.method_mut() = forwarded.method.clone();
    *request.uri_mut() = forwarded.target.clone();
    *request.headers_mut() = forwarded.headers.clone();
    let headers = request.headers_mut();
    headers.insert(BUDGET, HeaderValue::from(budget_ms));
    if !headers.contains_key(HOST) {
        headers.insert(HOST, HeaderValue::from_str(&start.endpoint.to_string()).ok()?);
    }
    Some(request)
}

fn backend_address(start: &AttemptStart) -> BackendAddress {
    BackendAddress { backend: start.backend, endpoint: start.endpoint }
}
