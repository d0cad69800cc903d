//! Classifies a server's response by its head: whether the response belongs to the request, whether the request was executed, and how
//! the body is read.

use hyper::StatusCode;
use hyper::header::{AsHeaderName, CONTENT_ENCODING, CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use ivyhatch_balancer::Outcome;
use ivyhatch_protocol::{Nanos, SECOND};
use ivyhatch_routing::load_report::LoadReport;

use super::pool::DEFAULT_KEEP_ALIVE;
use crate::router::attempt::AttemptSpec;
use crate::router::headers::{KEEP_ALIVE, NOT_EXECUTED, REQUEST_ID, SERVER_LOAD, SERVER_STAMP};

/// Statuses from which a client concludes that its request was not executed and never will be.
const NOT_EXECUTED_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// The kind of a response according to its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The response belongs to another request, or must not be forwarded.
    Invalid,
    /// The server states that it did not execute the request.
    NotExecuted,
    /// Another instance has the address now, and did not execute the request.
    Misdirected,
    /// A status from which clients conclude that the request was not executed, although the server does not state this.
    UnprovenRejection,
    /// A response that is forwarded once it has been received completely.
    Complete,
    /// A stream, which is forwarded event by event.
    Stream,
}

/// Properties of a response that its head does not show.
#[derive(Clone, Copy, Debug)]
pub struct ResponseContext {
    /// Whether this is the first response on its connection, and so can't be a duplicate of an earlier one.
    pub is_first_on_connection: bool,
    /// Whether the length of the body is known before it is read.
    pub has_length: bool,
}

/// Classifies the response to an attempt by its head.
pub fn classify(head: &Parts, spec: &AttemptSpec, context: ResponseContext) -> ResponseKind {
    let headers = &head.headers;
    let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    let is_rejection = is_misdirected || headers.contains_key(NOT_EXECUTED);
    let may_lack_id = is_rejection && context.is_first_on_connection;
    if !belongs_to(headers, &spec.request_id, may_lack_id) {
        return ResponseKind::Invalid;
    }
    if is_misdirected {
        return ResponseKind::Misdirected;
    }
    if is_rejection {
        return ResponseKind::NotExecuted;
    }
    if !spec.is_idempotent && NOT_EXECUTED_STATUSES.contains(&head.status) {
        return ResponseKind::UnprovenRejection;
    }
    let is_success = head.status.is_success();
    let is_framed = context.has_length || headers.contains_key(TRANSFER_ENCODING);
    let is_encoded = headers.get(CONTENT_ENCODING).is_some_and(|coding| coding != "identity");
    let is_stamped = !is_success || headers.contains_key(SERVER_STAMP);
    if !is_framed || is_encoded || !is_stamped || head.status.is_informational() {
        return ResponseKind::Invalid;
    }
    if spec.may_stream && is_success && !headers.contains_key(CONTENT_LENGTH) {
        return ResponseKind::Stream;
    }
    ResponseKind::Complete
}

/// Whether a response with these headers belongs to the request with this ID. A late duplicate of another response has the other
/// request's ID. A response without an ID certainly belongs to the request only if it is the first response on its connection.
fn belongs_to(headers: &HeaderMap, request_id: &str, may_lack_id: bool) -> bool {
    // If a server restarted its response in the middle of a header line, these headers occur twice, and the first ones are damaged.
    if is_repeated(headers, REQUEST_ID) || is_repeated(headers, &SERVER_STAMP) {
        return false;
    }
    match headers.get(REQUEST_ID).and_then(|id| id.to_str().ok()) {
        Some(id) => id == request_id,
        None => may_lack_id,
    }
}

/// Whether a header occurs more than once.
fn is_repeated(headers: &HeaderMap, name: impl AsHeaderName) -> bool {
    headers.get_all(name).iter().nth(1).is_some()
}

/// The server's load report; `None` if it is missing or malformed.
pub fn load(headers: &HeaderMap) -> Option<LoadReport> {
    headers.get(SERVER_LOAD).and_then(|text| text.to_str().ok()).and_then(LoadReport::from_header)
}

/// How long the server keeps the idle connection open: `timeout` of its `Keep-Alive` header, or [`DEFAULT_KEEP_ALIVE`].
pub fn keep_alive(headers: &HeaderMap) -> Nanos {
    let text = headers.get(KEEP_ALIVE).and_then(|text| text.to_str().ok()).unwrap_or("");
    let seconds =
        text.split(',').find_map(|parameter| parameter.trim().strip_prefix("timeout=")?.parse::<u64>().ok());
    seconds.map_or(DEFAULT_KEEP_ALIVE, |seconds| seconds.saturating_mul(SECOND))
}

/// The outcome of an attempt whose response could not be read: malformed HTTP is an invalid response, all else a reset connection.
pub fn failure_outcome(error: &hyper::Error) -> Outcome {
    if error.is_parse() { Outcome::InvalidResponse } else { Outcome::Reset }
}
