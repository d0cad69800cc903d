//! What the head of a server's response says: whether it belongs to the request, whether the request was executed, and how its body
//! is to be read.

use hyper::StatusCode;
use hyper::header::{AsHeaderName, CONTENT_ENCODING, CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use ivyhatch_balancer::Outcome;
use ivyhatch_protocol::{Nanos, SECOND};
use ivyhatch_routing::load_report::LoadReport;

use super::pool::DEFAULT_KEEP_ALIVE;
use crate::router::attempt::AttemptSpec;
use crate::router::headers::{ATTEMPT_ID, KEEP_ALIVE, NOT_EXECUTED, SERVER_LOAD, SERVER_STAMP};

/// Statuses by which a client knows that its request was not executed and never will be.
const NOT_EXECUTED_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// What a response is, by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// No response to this request, or none that may be forwarded.
    Invalid,
    /// The server states that it did not execute the request.
    NotExecuted,
    /// Another instance has the address, and did not execute the request.
    Misdirected,
    /// A status that clients take for a proof that the request was not executed, from a server that does not state it.
    UnprovenRejection,
    /// A response to be forwarded as a whole.
    Complete,
    /// A response to be forwarded event by event.
    Stream,
}

/// What is known of a response beside its head.
#[derive(Clone, Copy, Debug)]
pub struct ResponseContext {
    /// Whether nothing else can have been answered on the connection.
    pub is_first_on_connection: bool,
    /// Whether the length of the body is known.
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

/// Whether a response with these headers belongs to the request with this id. A late duplicate of another response bears that one's
/// id; a response without an id belongs to its request for sure only where nothing else can have been answered on the connection.
fn belongs_to(headers: &HeaderMap, request_id: &str, may_lack_id: bool) -> bool {
    // Where a server began its response anew in the middle of a line, these headers occur twice, and the first is damaged.
    if is_repeated(headers, ATTEMPT_ID) || is_repeated(headers, &SERVER_STAMP) {
        return false;
    }
    match headers.get(ATTEMPT_ID).and_then(|id| id.to_str().ok()) {
        Some(id) => id == request_id,
        None => may_lack_id,
    }
}

/// Whether a header that may occur once occurs more often.
fn is_repeated(headers: &HeaderMap, name: impl AsHeaderName) -> bool {
    headers.get_all(name).iter().nth(1).is_some()
}

/// The load that the server reports.
pub fn load(headers: &HeaderMap) -> Option<LoadReport> {
    headers.get(SERVER_LOAD).and_then(|text| text.to_str().ok()).and_then(LoadReport::from_header)
}

/// How long the server keeps an idle connection, by the `timeout` of its `Keep-Alive` header.
pub fn keep_alive(headers: &HeaderMap) -> Nanos {
    let text = headers.get(KEEP_ALIVE).and_then(|text| text.to_str().ok()).unwrap_or("");
    let seconds =
        text.split(',').find_map(|parameter| parameter.trim().strip_prefix("timeout=")?.parse::<u64>().ok());
    seconds.map_or(DEFAULT_KEEP_ALIVE, |seconds| seconds.saturating_mul(SECOND))
}

/// The outcome of an attempt whose response broke: the connection ended, or what it brought is no response.
pub fn failure_outcome(error: &hyper::Error) -> Outcome {
    if error.is_parse() { Outcome::InvalidResponse } else { Outcome::Reset }
}
