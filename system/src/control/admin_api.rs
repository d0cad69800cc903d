//! The HTTP interface for operators: translates HTTP requests to inputs of the state machine, and its responses to HTTP responses.

use std::rc::Rc;
use std::time::Duration;

use hyper::header::IF_MATCH;
use hyper::{Method, StatusCode};
use ivyhatch_control::{ControlPlane, Input, RequestId};
use ivyhatch_protocol::peer::{AdminRequest, AdminResponse};
use serde_json::json;
use tokio::task::yield_now;
use tokio::time::timeout;

use super::call_statistics::CallKind;
use super::coordination_api;
use super::host::Host;
use super::status;
use crate::http_server::{self, HttpRequest, HttpResponse};

/// A request that the state machine has not answered within this time gets a 503.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Cancels a request when dropped, unless the state machine has answered the request. Dropped early if the operator's connection ends or
/// the request times out.
struct CancelOnDrop {
    host: Rc<Host>,
    request: RequestId,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        self.host.cancel_admin_request(self.request);
    }
}

/// A valid request of an operator.
enum Call {
    /// `GET /-/status`, answered from this node's local state, which may be stale.
    Status,
    /// `GET /-/metrics`: how many calls were answered.
    Metrics,
    /// A request that the state machine answers.
    StateMachine(AdminRequest),
}

/// Why an operator's request is rejected before it reaches the state machine. The text is the error in the response.
#[derive(Debug, thiserror::Error)]
enum InvalidCall {
    #[error("no such call: see docs/operators/system.md")]
    UnknownCall,
    #[error("no such zone: name one of the settings' zones")]
    UnknownZone,
    #[error("If-Match is missing or no number: name the version that this builds on, 0 for the first")]
    BaseRevision,
}

impl InvalidCall {
    fn status(&self) -> StatusCode {
        match self {
            Self::UnknownCall | Self::UnknownZone => StatusCode::NOT_FOUND,
            Self::BaseRevision => StatusCode::BAD_REQUEST,
        }
    }
}

/// Responds to an operator's or application's call, and counts the response. Dropping the future cancels the call.
pub async fn respond(host: Rc<Host>, request: HttpRequest) -> HttpResponse {
    let (kind, method) = (CallKind::of_path(&request.path()), request.method.clone());
    let response = if kind.is_coordination() {
        coordination_api::respond(host.clone(), request).await
    } else {
        dispatch(&host, request).await
    };
    host.call_statistics.borrow_mut().record(kind, &method, response.status());
    response
}

async fn dispatch(host: &Rc<Host>, request: HttpRequest) -> HttpResponse {
    match route(host, &request) {
        Ok(Call::Status) => {
            let report = host.query(ControlPlane::report);
            http_server::json(StatusCode::OK, status::to_json(&report))
        }
        Ok(Call::Metrics) => http_server::text(host.call_statistics.borrow().to_string()),
        Ok(Call::StateMachine(request)) => submit_admin_request(host.clone(), request).await,
        Err(invalid) => http_server::error(invalid.status(), &invalid.to_string()),
    }
}

/// Submits a request to the state machine and waits for the response, for [`ADMIN_TIMEOUT`] at most.
async fn submit_admin_request(host: Rc<Host>, request: AdminRequest) -> HttpResponse {
    // If this process was stalled, the operator may have disconnected. Yielding lets the connection's task detect this before the request
    // begins.
    yield_now().await;
    yield_now().await;
    let (id, response) = host.register_admin_request();
    let _cancel = CancelOnDrop { host: host.clone(), request: id };
    host.handle_input(Input::Admin(id, request));
    match timeout(ADMIN_TIMEOUT, response).await {
        Ok(Ok(response)) => to_http(response),
        _ => http_server::unavailable("the control node did not decide in time: send it again unchanged"),
    }
}

fn route(host: &Host, request: &HttpRequest) -> Result<Call, InvalidCall> {
    match (&request.method, request.path().as_slice()) {
        (&Method::GET, ["-", "status"]) => Ok(Call::Status),
        (&Method::GET, ["-", "metrics"]) => Ok(Call::Metrics),
        (&Method::GET, ["-", "config"]) => Ok(Call::StateMachine(AdminRequest::Read)),
        (&Method::PUT | &Method::PATCH, ["-", "config"]) => write_request(request).map(Call::StateMachine),
        (&Method::POST | &Method::DELETE, ["-", "evacuations", zone]) => {
            evacuation_request(host, request, zone).map(Call::StateMachine)
        }
        _ => Err(InvalidCall::UnknownCall),
    }
}

/// Parses `PUT` and `PATCH /-/config`. The header `If-Match` has the revision that the change is based on.
fn write_request(request: &HttpRequest) -> Result<AdminRequest, InvalidCall> {
    let revision = request.header(&IF_MATCH).ok_or(InvalidCall::BaseRevision)?;
    let base = revision.trim_matches('"').parse().map_err(|_| InvalidCall::BaseRevision)?;
    let body = request.body.to_vec();
    if request.method == Method::PUT {
        Ok(AdminRequest::Put { base, body })
    } else {
        Ok(AdminRequest::Patch { base, body })
    }
}

/// Parses `POST` and `DELETE /-/evacuations/ZONE`, which begin and end the evacuation of a zone.
fn evacuation_request(host: &Host, request: &HttpRequest, zone: &str) -> Result<AdminRequest, InvalidCall> {
    if !host.query(|control_plane| control_plane.has_zone(zone)) {
        return Err(InvalidCall::UnknownZone);
    }
    let active = request.method == Method::POST;
    Ok(AdminRequest::Evacuate { zone: zone.to_owned(), active, change_count: 0 })
}

fn to_http(response: AdminResponse) -> HttpResponse {
    match response {
        AdminResponse::Applied { revision } => {
            http_server::json(StatusCode::OK, json!({ "revision": revision }).to_string())
        }
        AdminResponse::Document(text) => http_server::json(StatusCode::OK, text),
        AdminResponse::NotConfigured => {
            http_server::unavailable("nothing has been configured yet: PUT /-/config with If-Match: 0")
        }
        AdminResponse::Conflict { revision } => {
            let text = format!("version {revision} is current: read it, and build on that");
            http_server::error(StatusCode::PRECONDITION_FAILED, &text)
        }
        AdminResponse::Invalid(text) => http_server::error(StatusCode::BAD_REQUEST, &text),
        AdminResponse::Unavailable(text) => http_server::unavailable(&text),
    }
}
