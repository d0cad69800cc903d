//! Reads and validates a client's request.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap};
use hyper::{Method, Request};
use ivyhatch_balancer::{Idempotency, Nanos};
use tokio::time::{Instant, timeout_at};

use super::rejection::RequestError;
use crate::connection_limits::ClientConnection;
use crate::driver::{ClientRequest, ForwardedRequest, Node, RequestClass};
use crate::hop_by_hop::without_hop_by_hop_headers;
use crate::limits::MAX_BODY_BYTES;

/// The header with the client's id of the request.
pub const CALL_ID: &str = "x-call-id";
const CALL_CLASS: &str = "x-call-class";
const CALLER: &str = "x-caller";
const BUDGET: &str = "x-budget-ms";
const IS_RETRY: &str = "x-again";
const EXPECTED_WORK: &str = "x-call-cost";
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The longest accepted id of a request; ids are retained for some time after their requests, so their length is bounded.
const MAX_ID_BYTES: usize = 256;
/// Deducted from a client's budget for the time on the network: the client measures from its send to the last byte of the
/// response, so a response sent at the end of the budget would arrive after the client has timed out.
const NETWORK_ALLOWANCE: Nanos = 4_000_000;
const NANOS_PER_MILLISECOND: Nanos = 1_000_000;
const NANOS_PER_MICROSECOND: Nanos = 1_000;

/// Reads and validates a request, whose body must be complete by `complete_by`.
///
/// # Errors
/// [`RequestError`] if the request is malformed, not allowed by its class, too large or incomplete in time.
pub async fn read_request(
    node: &Node,
    connection: &ClientConnection,
    request: Request<Incoming>,
    complete_by: Instant,
) -> Result<ClientRequest, RequestError> {
    let arrived_at = node.clock().now();
    let (head, body) = request.into_parts();
    let headers = &head.headers;
    check_framing(headers, &body, connection)?;
    let id = read_id(headers)?;
    let class = read_class(node, headers)?;
    check_form(&head.method, headers, class.idempotency)?;
    let tenant = node.tenant(single(headers, CALLER)?).map_err(|_| RequestError::UnknownName(CALLER))?;
    let budget_ms = parse_integer(BUDGET, required(headers, BUDGET)?)?;
    let expected_work = read_expected_work(headers, class.deadline)?;
    let is_retry = single(headers, IS_RETRY)? == Some("1");
    let body = read_body(body, complete_by).await?;
    if class.idempotency == Idempotency::Idempotent && !body.is_empty() {
        return Err(RequestError::NotAllowedForClass("a body"));
    }
    let elapsed = node.clock().now().saturating_sub(arrived_at);
    let forwarded = ForwardedRequest {
        method: head.method,
        target: head.uri,
        headers: without_hop_by_hop_headers(head.headers, &[CALL_ID, IDEMPOTENCY_KEY]),
        body,
    };
    let budget = remaining_budget(budget_ms, class.deadline, elapsed);
    Ok(ClientRequest { id, class: class.number, tenant, expected_work, is_retry, budget, forwarded })
}

/// Checks the framing of a request. Transfer codings are rejected altogether: if a request has a `content-length` as well, in
/// either order, the HTTP parser drops the length without an error, and what one peer reads as a body is a separate request to the
/// other (RFC 9112, section 11.2).
fn check_framing(
    headers: &HeaderMap,
    body: &Incoming,
    connection: &ClientConnection,
) -> Result<(), RequestError> {
    if connection.has_duplicate_content_length() {
        return Err(RequestError::MalformedHeader("content-length"));
    }
    if headers.contains_key(header::TRANSFER_ENCODING) {
        return Err(RequestError::TransferCoding);
    }
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(RequestError::BodyTooLarge);
    }
    Ok(())
}

fn read_id(headers: &HeaderMap) -> Result<Box<str>, RequestError> {
    let id = required(headers, CALL_ID)?;
    if !(1..=MAX_ID_BYTES).contains(&id.len()) {
        return Err(RequestError::MalformedHeader(CALL_ID));
    }
    Ok(id.into())
}

fn read_class(node: &Node, headers: &HeaderMap) -> Result<RequestClass, RequestError> {
    let name = required(headers, CALL_CLASS)?;
    node.class(name).ok_or(RequestError::UnknownName(CALL_CLASS))
}

/// Checks that the method, and the presence of an idempotency key, are those that the class requires.
fn check_form(method: &Method, headers: &HeaderMap, idempotency: Idempotency) -> Result<(), RequestError> {
    let expected = if idempotency == Idempotency::Idempotent { Method::GET } else { Method::POST };
    if *method != expected {
        return Err(RequestError::MethodNotAllowed(expected));
    }
    match (idempotency, single(headers, IDEMPOTENCY_KEY)?) {
        (Idempotency::Keyed { .. }, None | Some("")) => Err(RequestError::MissingHeader(IDEMPOTENCY_KEY)),
        (Idempotency::Keyed { .. }, Some(_)) | (_, None) => Ok(()),
        (_, Some(_)) => Err(RequestError::NotAllowedForClass(IDEMPOTENCY_KEY)),
    }
}

/// Reads the client's estimate of the work. An estimate above the class's deadline is not plausible and is ignored.
fn read_expected_work(headers: &HeaderMap, deadline: Nanos) -> Result<Option<Nanos>, RequestError> {
    let Some(text) = single(headers, EXPECTED_WORK)? else { return Ok(None) };
    let expected_work = parse_integer(EXPECTED_WORK, text)?.saturating_mul(NANOS_PER_MICROSECOND);
    Ok((expected_work <= deadline).then_some(expected_work))
}

async fn read_body(body: Incoming, complete_by: Instant) -> Result<Bytes, RequestError> {
    match timeout_at(complete_by, Limited::new(body, MAX_BODY_BYTES).collect()).await {
        Ok(Ok(complete)) => Ok(complete.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(RequestError::BodyTooLarge),
        Ok(Err(_)) | Err(_) => Err(RequestError::BodyTimedOut),
    }
}

/// The remaining time for a request, in nanoseconds: the client's budget in milliseconds, capped at the class's deadline, less the
/// time elapsed here and the allowance for the network.
pub(super) fn remaining_budget(budget_ms: u64, deadline: Nanos, elapsed: Nanos) -> Nanos {
    let budget = budget_ms.saturating_mul(NANOS_PER_MILLISECOND).min(deadline);
    budget.saturating_sub(elapsed.saturating_add(NETWORK_ALLOWANCE))
}

/// The value of a header that may occur at most once; `None` if the header is missing.
fn single<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, RequestError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(RequestError::MalformedHeader(name));
    }
    value.to_str().map(|text| Some(text.trim())).map_err(|_| RequestError::MalformedHeader(name))
}

fn required<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, RequestError> {
    single(headers, name)?.ok_or(RequestError::MissingHeader(name))
}

fn parse_integer(name: &'static str, text: &str) -> Result<u64, RequestError> {
    text.parse().map_err(|_| RequestError::MalformedHeader(name))
}
