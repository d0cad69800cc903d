//! The HTTP server for clients: routes requests, submits them to the driver and responds with the final reply.

mod rejection;
mod request;
mod response;

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::client_listener::{self, DrainPhase, RequestHandler};
use crate::connection_limits::{ClientConnection, ConnectionLimiter, ConnectionTimeouts, UnreadInput};
use crate::driver::Node;
use rejection::RequestError;
use request::{CALL_ID, read_request};
use response::{FullResponse, plain_response, reply_response};

const MAX_REQUEST_HEAD_BYTES: usize = 32 * 1024;

/// Serves clients until the phase is [`DrainPhase::Closed`] and all connections have closed. At most `max_connections` are open at
/// a time.
pub async fn serve(
    listener: TcpListener,
    node: Node,
    max_connections: usize,
    phase: watch::Receiver<DrainPhase>,
) {
    let connections = ConnectionLimiter::new(max_connections, ConnectionTimeouts::default());
    client_listener::serve(listener, connections, phase, MAX_REQUEST_HEAD_BYTES, node).await;
}

impl RequestHandler for Node {
    type Body = Full<Bytes>;

    async fn handle(
        &self,
        connection: Rc<ClientConnection>,
        request: Request<Incoming>,
        phase: watch::Receiver<DrainPhase>,
    ) -> FullResponse {
        let complete_by = connection.request_arriving();
        let is_serving = || *phase.borrow() == DrainPhase::Serving;
        let Routed { mut response, unread_input } = match request.uri().path() {
            "/api" => forward(self, &connection, request, complete_by).await,
            "/health/ready" => readiness(request.method(), is_serving()),
            _ => Routed::rejected(plain_response(StatusCode::NOT_FOUND, "no such path")),
        };
        // After a rejected request the start of the next one is unknown, as the rejected one was not read to its end.
        let is_rejected = unread_input == UnreadInput::Possible;
        if is_rejected || !is_serving() || connection.exceeds_idle_limit() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        connection.response_started(unread_input);
        response
    }
}

/// A response, and whether its request was read to its end.
struct Routed {
    response: FullResponse,
    unread_input: UnreadInput,
}

impl Routed {
    fn accepted(response: FullResponse) -> Self {
        Self { response, unread_input: UnreadInput::None }
    }

    fn rejected(response: FullResponse) -> Self {
        Self { response, unread_input: UnreadInput::Possible }
    }
}

fn readiness(method: &Method, is_serving: bool) -> Routed {
    if method != Method::GET {
        return Routed::rejected(plain_response(StatusCode::METHOD_NOT_ALLOWED, "GET only"));
    }
    Routed::accepted(match is_serving {
        true => plain_response(StatusCode::OK, "ready"),
        false => plain_response(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
    })
}

async fn forward(
    node: &Node,
    connection: &ClientConnection,
    request: Request<Incoming>,
    complete_by: Instant,
) -> Routed {
    match submit(node, connection, request, complete_by).await {
        Ok(response) => Routed::accepted(response),
        Err(error) => Routed::rejected(plain_response(error.status(), &error.to_string())),
    }
}

async fn submit(
    node: &Node,
    connection: &ClientConnection,
    request: Request<Incoming>,
    complete_by: Instant,
) -> Result<FullResponse, RequestError> {
    let request = read_request(node, connection, request, complete_by).await?;
    let pending = node.submit(request).ok_or(RequestError::IdInUse(CALL_ID))?;
    connection.request_accepted();
    Ok(reply_response(pending.reply().await))
}

#[cfg(test)]
#[path = "server_tests.rs"]
mod tests;
