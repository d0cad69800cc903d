//! One attempt of a client: a request to a node, and the node's response.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::RETRY_AFTER;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use ivyhatch_lab::{ANSWER_SLACK, ClientRequest, FinalResponse, Nanos, RequestClass, RequestTerms};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{error::Elapsed, sleep, timeout};

use crate::clock::{NANOS_PER_MS, NANOS_PER_SECOND};
use crate::node_config::tenant_name;
use crate::run_state::{Body, PendingRequest, RunState};
use crate::server_requests::REQUEST_ID_HEADER;

/// Additional time for which a client waits after the slack, so that a late response is observed as late.
const LATE_RESPONSE_WAIT: Duration = Duration::from_millis(200);

/// The result of a client's attempt.
pub(super) enum ExchangeResult {
    Served,
    Rejected {
        retry_after: Nanos,
    },
    Failed,
    /// The connection failed, or no node was running.
    ConnectionLost,
    /// The client disconnected before the response.
    Disconnected,
}

/// Whether an attempt is the client's first one or a retry.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum RetryMark {
    First,
    Retry,
}

/// An attempt of a client.
pub(super) struct Exchange<'a> {
    pub(super) run: &'a Rc<RunState>,
    pub(super) request: &'a ClientRequest,
    /// The time on the world's clock at which the client times out.
    pub(super) not_after: Nanos,
    pub(super) mark: RetryMark,
}

type ReceivedResponse = Result<Result<Response<Bytes>, hyper::Error>, Elapsed>;

impl Exchange<'_> {
    fn class(&self) -> &RequestClass {
        &self.run.world.clients.classes[self.request.class]
    }

    /// Sends the request and waits for the response.
    pub(super) async fn perform(&self) -> ExchangeResult {
        let run = self.run;
        let Some(node) = select_node(run, self.request.zone) else { return ExchangeResult::ConnectionLost };
        let Some(address) = run.nodes[node].borrow().address else { return ExchangeResult::ConnectionLost };
        let id = run.next_id();
        let header_id = format!("{id:016x}");
        run.pending_requests.borrow_mut().insert(header_id.clone(), PendingRequest::new(self.request, id));
        let Some(mut connection) = connect(run, node).await else { return ExchangeResult::ConnectionLost };
        let now = run.clock.now();
        let request = self.http_request(address, &header_id, now);
        let terms = RequestTerms { non_idempotent: self.class().non_idempotent, not_after: self.not_after };
        run.invariants.borrow_mut().request_accepted(node, id, terms, now);
        run.nodes[node].borrow_mut().open_requests.push(id);
        let response = timeout(self.response_wait(now), receive(&mut connection, request)).await;
        let was_in_flight = take_open_request(run, node, id);
        let result = self.classify(node, id, &response, was_in_flight);
        if matches!(response, Ok(Ok(_))) {
            run.nodes[node].borrow_mut().idle_connections.push(connection);
        }
        run.invariants.borrow_mut().request_closed(node, id, run.clock.now());
        self.forget_later(header_id);
        result
    }

    fn http_request(&self, node: SocketAddr, header_id: &str, now: Nanos) -> Request<Body> {
        let class = self.class();
        let budget_ms = self.not_after.saturating_sub(now) / NANOS_PER_MS;
        let method = if class.non_idempotent { Method::POST } else { Method::GET };
        let mut builder = Request::builder()
            .method(method)
            .uri("/api")
            .header("Host", node.to_string())
            .header(REQUEST_ID_HEADER, header_id)
            .header("X-Call-Class", &class.name)
            .header("X-Budget-Ms", budget_ms.to_string());
        if self.mark == RetryMark::Retry {
            builder = builder.header("X-Again", "1");
        }
        if let Some(tenant) = self.request.tenant {
            builder = builder.header("X-Caller", tenant_name(tenant as usize));
        }
        let body = if class.non_idempotent { Full::new(Bytes::from_static(b"{}")) } else { Full::default() };
        builder.body(body).expect("names of classes and tenants are valid header values")
    }

    /// How long the client waits for the response.
    fn response_wait(&self, now: Nanos) -> Duration {
        match self.request.disconnect_fraction {
            Some(fraction) => Duration::from_nanos(((self.not_after - now) as f64 * fraction) as Nanos),
            None => {
                let in_time = self.not_after.saturating_sub(now) + ANSWER_SLACK;
                Duration::from_nanos(in_time) + LATE_RESPONSE_WAIT
            }
        }
    }

    /// Determines the result, and records the corresponding event for the invariants. `was_in_flight` is false if the node was
    /// killed while the request was in flight.
    fn classify(
        &self,
        node: usize,
        id: u64,
        response: &ReceivedResponse,
        was_in_flight: bool,
    ) -> ExchangeResult {
        let now = self.run.clock.now();
        let mut invariants = self.run.invariants.borrow_mut();
        match response {
            Err(_) if self.request.disconnect_fraction.is_some() => {
                invariants.client_disconnected(node, id, now);
                ExchangeResult::Disconnected
            }
            Err(_) => ExchangeResult::Failed,
            Ok(Err(_)) => {
                if !was_in_flight {
                    invariants.request_lost(node, id);
                }
                ExchangeResult::ConnectionLost
            }
            Ok(Ok(response)) => {
                let result = result_of(response);
                let seen = match result {
                    ExchangeResult::Rejected { .. } => FinalResponse::Rejected,
                    _ => FinalResponse::Other,
                };
                invariants.response_sent(node, id, seen, now);
                result
            }
        }
    }

    /// Removes the request's id after the class's deadline, when none of the request's attempts can be in flight any more.
    fn forget_later(&self, header_id: String) {
        let (run, deadline_ms) = (self.run.clone(), self.class().deadline_ms);
        spawn_local(async move {
            sleep(Duration::from_millis(deadline_ms)).await;
            run.pending_requests.borrow_mut().remove(&header_id);
        });
    }
}

fn result_of(response: &Response<Bytes>) -> ExchangeResult {
    match response.status() {
        StatusCode::OK => ExchangeResult::Served,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            let retry_after = response.headers().get(RETRY_AFTER);
            let seconds = retry_after.and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
            let nanos = seconds.unwrap_or(0.0).max(0.0) * NANOS_PER_SECOND;
            ExchangeResult::Rejected { retry_after: nanos as Nanos }
        }
        _ => ExchangeResult::Failed,
    }
}

/// Removes a request from those in flight at a node. `false` if the node was killed after the request was sent.
fn take_open_request(run: &RunState, node: usize, id: u64) -> bool {
    let mut node = run.nodes[node].borrow_mut();
    let index = node.open_requests.iter().position(|open| *open == id);
    index.map(|index| node.open_requests.swap_remove(index)).is_some()
}

/// Selects a random running node of the client's zone, or of any zone if none runs there. `None` if no node runs.
fn select_node(run: &RunState, zone: u32) -> Option<usize> {
    let draw = run.random.node_choices.borrow_mut().unit();
    let is_running = |node: &usize| run.nodes[*node].borrow().address.is_some();
    let running: Vec<usize> = (0..run.nodes.len()).filter(is_running).collect();
    let of_zone: Vec<usize> =
        running.iter().copied().filter(|node| run.zone_of(*node) == zone as usize).collect();
    let nodes = if of_zone.is_empty() { running } else { of_zone };
    nodes.get((draw * nodes.len() as f64) as usize).copied()
}

async fn receive(
    connection: &mut SendRequest<Body>,
    request: Request<Body>,
) -> Result<Response<Bytes>, hyper::Error> {
    let (parts, body) = connection.send_request(request).await?.into_parts();
    Ok(Response::from_parts(parts, body.collect().await?.to_bytes()))
}

/// Takes an idle connection that is still open, or opens a new one. `None` if the node does not accept a connection.
async fn connect(run: &RunState, node: usize) -> Option<SendRequest<Body>> {
    loop {
        let Some(mut idle) = run.nodes[node].borrow_mut().idle_connections.pop() else { break };
        if idle.ready().await.is_ok() {
            return Some(idle);
        }
    }
    let address = run.nodes[node].borrow().address?;
    let stream = TcpStream::connect(address).await.ok()?;
    // A failure is harmless: it only adds latency.
    let _ = stream.set_nodelay(true);
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(async move {
        // The error is dropped here, since `sender` reports the connection's errors.
        let _ = connection.await;
    });
    Some(sender)
}
