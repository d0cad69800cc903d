//! What the head of a server's answer says: whether it belongs to the request, whether the request ran, and how its body goes on.

use hyper::StatusCode;
use hyper::header::{
    AsHeaderName, CONTENT_ENCODING, CONTENT_LENGTH, HeaderMap, HeaderName, TRANSFER_ENCODING,
};
use hyper::http::response::Parts;
use ivyhatch_balancer::Outcome;
use ivyhatch_protocol::{Nanos, SECOND};
use ivyhatch_routing::load_report::LoadReport;

use super::pool::DEFAULT_KEEP_ALIVE;
use crate::router::clients::ATTEMPT_ID;
use crate::router::dispatch::Launch;

/// Statuses by which a client knows that its request did not run and never will.
const PROMISES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

const STAMP: HeaderName = HeaderName::from_static("ivyhatch-server-stamp");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("ivyhatch-not-executed");
const LOAD: HeaderName = HeaderName::from_static("ivyhatch-server-load");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// What an answer is, by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No answer to this request, or none that may be passed on.
    Spoilt,
    /// The server says that it did not run the request.
    NotExecuted,
    /// Another server has the address, and did not run the request.
    Misdirected,
    /// A status that clients take for a promise, from a server that does not say that it did not run the request.
    FalsePromise,
    /// An answer to be passed on whole.
    Whole,
    /// An answer to be passed on event by event.
    Stream,
}

/// Judges the head of the answer to an attempt, the `first` answer of its connection or a later one. `has_length` tells whether
/// the length of the body is known.
pub fn judge(head: &Parts, launch: &Launch, first: bool, has_length: bool) -> Verdict {
    let headers = &head.headers;
    let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    let refused = misdirected || headers.contains_key(NOT_EXECUTED);
    if !belongs_to(headers, &launch.id, refused && first) {
        return Verdict::Spoilt;
    }
    if misdirected {
        return Verdict::Misdirected;
    }
    if refused {
        return Verdict::NotExecuted;
    }
    if !launch.movable && PROMISES.contains(&head.status) {
        return Verdict::FalsePromise;
    }
    let success = head.status.is_success();
    let framed = has_length || headers.contains_key(TRANSFER_ENCODING);
    let encoded = headers.get(CONTENT_ENCODING).is_some_and(|coding| coding != "identity");
    let stamped = !success || headers.contains_key(STAMP);
    if !framed || encoded || !stamped || head.status.is_informational() {
        return Verdict::Spoilt;
    }
    if launch.streams && success && !headers.contains_key(CONTENT_LENGTH) {
        return Verdict::Stream;
    }
    Verdict::Whole
}

/// Whether an answer with these headers belongs to the request with this id. A late copy of another answer bears that one's id; one
/// without an id belongs to its request for sure only where nothing else can have been answered on the connection.
fn belongs_to(headers: &HeaderMap, request: &str, may_lack_id: bool) -> bool {
    // Where a server began its answer anew in the middle of a line, there are two, and the first is damaged.
    if is_repeated(headers, ATTEMPT_ID) || is_repeated(headers, &STAMP) {
        return false;
    }
    match headers.get(ATTEMPT_ID).and_then(|id| id.to_str().ok()) {
        Some(id) => id == request,
        None => may_lack_id,
    }
}

/// Whether a header that may stand once stands more often.
fn is_repeated(headers: &HeaderMap, name: impl AsHeaderName) -> bool {
    headers.get_all(name).iter().nth(1).is_some()
}

/// The server's word on its load.
pub fn load(headers: &HeaderMap) -> Option<LoadReport> {
    headers.get(LOAD).and_then(|text| text.to_str().ok()).and_then(LoadReport::from_header)
}

/// How long a server keeps an idle connection, by its own word.
pub fn keep_alive(headers: &HeaderMap) -> Nanos {
    let text = headers.get(KEEP_ALIVE).and_then(|text| text.to_str().ok()).unwrap_or("");
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.parse::<u64>().ok());
    seconds.map_or(DEFAULT_KEEP_ALIVE, |seconds| seconds.saturating_mul(SECOND))
}

/// What a broken answer was: a connection that ended, or one that brought what is no answer.
pub fn broken(error: &hyper::Error) -> Outcome {
    if error.is_parse() { Outcome::InvalidResponse } else { Outcome::Reset }
}
