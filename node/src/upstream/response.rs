//! Reads a backend's response and classifies it as an [`Outcome`].

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use ivyhatch_balancer::{LoadReport, Outcome};
use serde::Deserialize;

use crate::driver::AttemptResult;
use crate::limits::MAX_BODY_BYTES;

const REJECTED: &str = "x-rejected";
const LOAD_REPORT: &str = "x-load-report";

/// A response that has been read.
pub struct ReadResponse {
    /// The result of the attempt or probe.
    pub result: AttemptResult,
    /// Whether the response was read to its end, so that its connection can be reused.
    pub is_connection_reusable: bool,
}

impl ReadResponse {
    /// A response that was truncated or is invalid.
    pub fn unusable(outcome: Outcome) -> Self {
        Self { result: AttemptResult::without_response(outcome), is_connection_reusable: false }
    }
}

/// Reads the response to a request and classifies it.
pub async fn read_response(response: Response<Incoming>) -> ReadResponse {
    let (head, body) = response.into_parts();
    if !is_framing_acceptable(&head, &body) {
        return ReadResponse::unusable(Outcome::InvalidResponse);
    }
    let body = match read_body(body).await {
        Ok(body) => body,
        Err(outcome) => return ReadResponse::unusable(outcome),
    };
    let outcome = classify(&head);
    let result = AttemptResult { outcome, report: load_report(&head.headers), body };
    ReadResponse { result, is_connection_reusable: true }
}

/// Whether a response's framing and size are acceptable. A response with neither a length nor chunks ends with its connection, so
/// a truncated one would look complete (RFC 9112, section 6.3).
fn is_framing_acceptable(head: &Parts, body: &Incoming) -> bool {
    let is_delimited = body.size_hint().exact().is_some() || head.headers.contains_key(TRANSFER_ENCODING);
    is_delimited && body.size_hint().lower() <= MAX_BODY_BYTES as u64 && !head.status.is_informational()
}

async fn read_body(body: Incoming) -> Result<Bytes, Outcome> {
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(complete) => Ok(complete.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Outcome::InvalidResponse),
        Err(error) => Err(error.downcast_ref::<hyper::Error>().map_or(Outcome::Reset, outcome_of_error)),
    }
}

fn classify(head: &Parts) -> Outcome {
    let is_rejected = head.headers.get(REJECTED).is_some_and(|value| value == "1");
    match head.status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_rejected => Outcome::Rejected,
        StatusCode::OK => Outcome::Served,
        // A client error is a fault of the request and must not eject the backend.
        status if status.is_client_error() => Outcome::InvalidResponse,
        // With any other status the request may have run.
        _ => Outcome::Error,
    }
}

/// The outcome of a request whose connection failed: the connection ended, or the backend sent no valid HTTP response.
pub fn outcome_of_error(error: &hyper::Error) -> Outcome {
    if error.is_parse() { Outcome::InvalidResponse } else { Outcome::Reset }
}

/// A backend's load report. Each field has two names on the wire.
#[derive(Default, Deserialize)]
struct LoadReportFields {
    #[serde(alias = "load_share")]
    util: Option<f64>,
    #[serde(alias = "tps")]
    qps: Option<f64>,
    #[serde(alias = "concurrent")]
    inflight: Option<f64>,
}

fn load_report(headers: &HeaderMap) -> LoadReport {
    parse_load_report(headers.get(LOAD_REPORT).map(HeaderValue::as_bytes).unwrap_or_default())
}

/// Parses a load report. A report that can't be parsed is treated as empty, not as a fault of the backend.
pub fn parse_load_report(text: &[u8]) -> LoadReport {
    let fields: LoadReportFields = serde_json::from_slice(text).unwrap_or_default();
    LoadReport { utilisation: fields.util, requests_per_second: fields.qps, in_flight: fields.inflight }
}
