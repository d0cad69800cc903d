//! The HTTP interface of the directory, which lists the routers that a client may use. It only reads the state machine.

use hyper::{Method, StatusCode};
use serde_json::json;

use super::host::Host;
use crate::http_server::{self, HttpRequest, HttpResponse};

/// Upper bound of the time for which clients may cache a response, in seconds. A router that has failed stays in the clients'
/// caches for up to this time.
const MAX_TTL_SECONDS: f64 = 2.0;

/// Responds to `GET /-/resolve` with the addresses of the routers for a zone or region.
pub fn respond(host: &Host, request: &HttpRequest) -> HttpResponse {
    match (&request.method, request.path().as_slice()) {
        (&Method::GET, ["-", "resolve"]) => resolve(host, request),
        _ => http_server::error(StatusCode::NOT_FOUND, "the directory answers GET /-/resolve"),
    }
}

fn resolve(host: &Host, request: &HttpRequest) -> HttpResponse {
    let zone = request.query("zone").unwrap_or("");
    let region = request.query("region").filter(|region| !region.is_empty());
    let region = region.unwrap_or_else(|| host.settings.region_of(zone));
    let addresses = host.query(|control_plane| control_plane.router_addresses(region));
    if addresses.is_empty() {
        return http_server::unavailable("no router is known here yet: ask another control node");
    }
    let ttl_s = MAX_TTL_SECONDS.min(host.settings.bounds.max_directory_ttl_s);
    http_server::json(StatusCode::OK, json!({"addresses": addresses, "ttl_s": ttl_s}).to_string())
}
