//! The readiness endpoint, by which the platform learns whether clients may be sent to this router.

use hyper::{Method, StatusCode};
use ivyhatch_node::client_listener::DrainPhase;
use tokio::sync::watch;

use super::dispatch::Dispatcher;
use crate::http_server::{self, HttpRequest, HttpResponse};

/// Responds to `GET /-/readyz`: 200 from when a configuration and a server list are known until the router drains, else 503.
pub fn respond(
    request: &HttpRequest,
    dispatcher: &Dispatcher,
    phase: &watch::Receiver<DrainPhase>,
) -> HttpResponse {
    let is_readiness_request = request.method == Method::GET && request.path() == ["-", "readyz"];
    if !is_readiness_request {
        return http_server::error(StatusCode::NOT_FOUND, "this address answers GET /-/readyz");
    }
    if *phase.borrow() != DrainPhase::Serving {
        return http_server::unavailable("this router ends");
    }
    if !dispatcher.is_ready() {
        return http_server::unavailable("no configuration or no list of servers is known here yet");
    }
    http_server::json(StatusCode::OK, "{}".to_owned())
}
