//! The responses that are sent to clients.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use ivyhatch_balancer::Nanos;

use crate::driver::Reply;

/// A response with a complete body.
pub type FullResponse = Response<Full<Bytes>>;

const NANOS_PER_MILLISECOND: Nanos = 1_000_000;

/// The response for the final reply to a request.
pub fn reply_response(reply: Reply) -> FullResponse {
    match reply {
        Reply::Served(body) => Response::new(Full::new(body)),
        Reply::Rejected(retry_after) => rejection(retry_after),
        Reply::Failed => plain_response(StatusCode::BAD_GATEWAY, "failed"),
    }
}

fn rejection(retry_after: Nanos) -> FullResponse {
    let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, "refused; trying again does no harm");
    if retry_after > 0 {
        // Rounded up, so that no client retries before the time that the balancer has set.
        let seconds = format!("{:.3}", retry_after.div_ceil(NANOS_PER_MILLISECOND) as f64 / 1000.0);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// A response that the node itself generates, with a line of text as its body.
pub fn plain_response(status: StatusCode, text: &str) -> FullResponse {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}
