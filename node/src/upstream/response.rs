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
    /// What it means for the attempt.
    pub result: AttemptResult,
    /// Whether it was read to its end, so that its connection can be reused.
    pub is_connection_reusable: bool,
}

impl ReadResponse {
    /// A response that broke off or can't be used.
    pub fn unusable(outcome: Outcome) -> Self {
        Self { result: AttemptResult::without_response(outcome), is_connection_reusable: false }
    }
}

/// Reads a response to a request.
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

/// With neither a length nor chunks a response ends with its connection, and one that was cut short looks complete (RFC 9112,
/// section 6.3).
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
        // A fault of the request is not the backend's and must not eject it.
        status if status.is_client_error() => Outcome::InvalidResponse,
        // Whatever the status says, the request may have run.
        _ => Outcome::Error,
    }
}

/// The outcome of a request whose connection failed: it ended, or brought what is no HTTP response.
pub fn outcome_of_error(error: &hyper::Error) -> Outcome {
    if error.is_parse() { Outcome::InvalidResponse } else { Outcome::Reset }
}

/// A backend's load report, under either of the names in use.
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

/// Parses a load report. One that can't be parsed reports nothing and is no fault.
pub fn parse_load_report(text: &[u8]) -> LoadReport {
    let fields: LoadReportFields = serde_json::from_slice(text).unwrap_or_default();
    LoadReport { utilisation: fields.util, requests_per_second: fields.qps, in_flight: fields.inflight }
}
