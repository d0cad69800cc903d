//! Requests and probes at a model server: an HTTP interface to the simulation's server model.

use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use ivyhatch_lab::{Execution, SenderKnowledge};
use tokio::time::sleep;

use crate::jobs::{submit_probe, submit_request};
use crate::run_state::{Body, PendingRequest, RunState};
use crate::server_path::Path;

/// Header with the id of a client's request.
pub(crate) const REQUEST_ID_HEADER: &str = "X-Call-Id";
const LOAD_REPORT_HEADER: &str = "X-Load-Report";
/// Header that marks a rejection before any work.
const REJECTED_HEADER: &str = "X-Rejected";
const STATS_PATH: &str = "/stats";
const HEALTH_PATH: &str = "/health/live";

/// An attempt of a client's request, as received by a server.
#[derive(Clone, Copy)]
struct Attempt {
    request: PendingRequest,
    number: u32,
}

fn response(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let response = Response::builder().status(status).body(Full::new(body.into()));
    response.expect("a status and a body make a valid response")
}

/// The response to a request that the server rejects before any work.
pub(crate) fn rejected() -> Response<Body> {
    let response = Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .header(REJECTED_HEADER, "1")
        .body(Full::default());
    response.expect("a status and a header make a valid response")
}

/// Never returns if a partition separates the path: nothing arrives, and the connection stays open without a further byte.
async fn hang_if_partitioned(path: &Path) {
    if path.is_partitioned() {
        pending::<()>().await;
    }
}

/// Responds to a request or probe, after the network's latency in each direction.
pub(crate) async fn respond(path: &Path, request: Request<Incoming>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    if body.collect().await.is_err() {
        return response(StatusCode::BAD_REQUEST, "");
    }
    hang_if_partitioned(path).await;
    let id = parts.headers.get(REQUEST_ID_HEADER).and_then(|id| id.to_str().ok());
    let attempt = id.and_then(|id| count_attempt(path, id));
    sleep(path.latency()).await;
    hang_if_partitioned(path).await;
    if path.run.servers[path.server].borrow().hangs {
        pending::<()>().await;
    }
    let response = match (parts.uri.path(), attempt) {
        (STATS_PATH | HEALTH_PATH, _) => respond_to_probe(&path.run, path.server).await,
        (_, Some(attempt)) => execute(path, attempt).await,
        (_, None) if id.is_some() => response(StatusCode::BAD_REQUEST, ""),
        (_, None) => response(StatusCode::NOT_FOUND, ""),
    };
    hang_if_partitioned(path).await;
    sleep(path.latency()).await;
    response
}

/// Counts an attempt of the request with this id, before the network's latency, and so at the time at which the node sent the
/// attempt. `None` if no client's request has this id.
fn count_attempt(path: &Path, id: &str) -> Option<Attempt> {
    let attempt = {
        let mut requests = path.run.pending_requests.borrow_mut();
        let request = requests.get_mut(id)?;
        request.attempts += 1;
        Attempt { request: *request, number: request.attempts - 1 }
    };
    let is_cross_zone = path.run.zone_of(path.node) != path.run.zone_of(path.server);
    let mut attempts = path.run.attempts.get();
    attempts.total += 1;
    attempts.cross_zone += u64::from(is_cross_zone);
    path.run.attempts.set(attempts);
    let now = path.run.clock.now();
    let mut invariants = path.run.invariants.borrow_mut();
    invariants.attempt_sent(path.node, attempt.request.id, path.server as u32, now);
    Some(attempt)
}

fn load_report(run: &RunState, server: usize) -> String {
    let noise = run.random.load_noise.borrow_mut().unit();
    let utilisation = run.servers[server].borrow_mut().reported_utilisation(noise, run.clock.now());
    format!("{{\"util\":{utilisation:.4}}}")
}

async fn respond_to_probe(run: &Rc<RunState>, server: usize) -> Response<Body> {
    run.probes.set(run.probes.get() + 1);
    if run.servers[server].borrow().ignores_probes {
        pending::<()>().await;
    }
    let report = load_report(run, server);
    if let Some(mut job) = submit_probe(run, server) {
        // The error can be ignored: if the process ends, the connection is closed.
        let _ = job.finished().await;
    }
    response(StatusCode::OK, report)
}

async fn execute(path: &Path, attempt: Attempt) -> Response<Body> {
    let Path { run, server, node } = path;
    let (server, node, request) = (*server, *node, attempt.request);
    let started = run.servers[server].borrow().started;
    let is_informed = run.invariants.borrow().knows_start(node, server as u32, started);
    let sender = if is_informed { SenderKnowledge::Informed } else { SenderKnowledge::Uninformed };
    let Some(mut job) = submit_request(run, server, request.work, sender) else {
        let execution = Execution::RuledOut;
        let now = run.clock.now();
        run.invariants.borrow_mut().attempt_ended(node, request.id, attempt.number, execution, now);
        return rejected();
    };
    if job.finished().await.is_err() {
        // The server's process has ended, and its connections are about to be closed.
        pending::<()>().await;
    }
    sleep(Duration::from_nanos(request.downstream_wait)).await;
    let mut response = match draw_error(run, server) {
        true => response(StatusCode::INTERNAL_SERVER_ERROR, "error"),
        false => response(StatusCode::OK, format!("served by {server}")),
    };
    if run.world.reports_on_answers
        && let Ok(report) = load_report(run, server).parse()
    {
        response.headers_mut().insert(LOAD_REPORT_HEADER, report);
    }
    response
}

/// Draws whether a response is an error.
fn draw_error(run: &RunState, server: usize) -> bool {
    let error_ratio = {
        let server = run.servers[server].borrow();
        server.extra_error_ratio + server.group.error_ratio
    };
    error_ratio > 0.0 && run.random.server_errors.borrow_mut().unit() < error_ratio
}
