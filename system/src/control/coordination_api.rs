//! The HTTP interface for applications to locks, numbers, cells and watches: translates requests to calls of the state machine, and the
//! outcomes of the calls to responses.
//!
//! | request | responses besides 400, 429, 503 and 504 |
//! | --- | --- |
//! | `POST /-/locks/ID` `{"holder", "hold_ms"}` | 200 `{"fence"}`, 409 |
//! | `PUT /-/locks/ID` `{"holder", "fence", "hold_ms"}` | 200, 409 |
//! | `DELETE /-/locks/ID` `{"holder", "fence"}` | 200 |
//! | `POST /-/numbers/ID` `{}` | 200 `{"value"}` |
//! | `PUT /-/cells/ID` `{"value", "enabled"}` | 200 `{"rev"}`, 412 `{"rev"}` |
//! | `GET /-/cells/ID` | 200 `{"value", "rev"}`, 404 |
//! | `GET /-/watch/GROUP?after=N&wait_ms=N` | 200 `{"events", "rev"}`, 410 |
//!
//! After 400, 412, 429 and 503 the call was not executed and never will be. After 504 it is unknown whether the call was executed.

use std::rc::Rc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use ivyhatch_control::{ControlPlane, Input, RequestId};
use ivyhatch_coordination::limits::{MAX_HOLD_MS, MAX_NAME_BYTES, MAX_VALUE_BYTES, MAX_WAIT_MS};
use ivyhatch_protocol::coordination::{Call, CallOutcome, CellEvent, NotStarted, Refusal, Reply, group_of};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::task::yield_now;
use tokio::time::timeout;

use super::host::Host;
use crate::http_server::{self, HttpRequest, HttpResponse};

/// A call times out here this long after its wait time. The state machine normally ends each call one second after its wait time; this
/// longer timeout takes effect only if the process is too slow for that.
const CALL_MARGIN: Duration = Duration::from_secs(2);

/// Why a request is not a valid call. The text is the error in the response.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
enum InvalidCall {
    #[error("no such call: see docs/operators/coordination.md")]
    UnknownCall,
    #[error(
        "locks, numbers and cells are not enabled: have the settings' contracts name coord, or name none"
    )]
    NotEnabled,
    #[error(
        "{0:?} is no name: use 1 to {MAX_NAME_BYTES} letters, digits and the characters . _ - : without a space"
    )]
    Name(String),
    #[error("{0:?} is no group: name all of a cell's name up to its first dot, with the dot")]
    Group(String),
    #[error("the body is not what this call takes: {0}")]
    Body(String),
    #[error("holder: use 1 to {MAX_NAME_BYTES} letters, digits and the characters . _ - : without a space")]
    Holder,
    #[error(
        "hold_ms is {0}: it has to lie between 1 and {MAX_HOLD_MS}; hold a lock for longer by renewing it"
    )]
    Hold(u64),
    #[error("value has {0} bytes: it may have {MAX_VALUE_BYTES}; keep more elsewhere, and its place here")]
    Value(usize),
    #[error("{0}: give it in the query as a whole number, wait_ms of at most {MAX_WAIT_MS}")]
    Query(&'static str),
}

impl InvalidCall {
    fn response(&self) -> HttpResponse {
        let status = match self {
            Self::UnknownCall | Self::NotEnabled => StatusCode::NOT_FOUND,
            _ => StatusCode::BAD_REQUEST,
        };
        http_server::error(status, &self.to_string())
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AcquireBody {
    holder: String,
    hold_ms: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RenewBody {
    holder: String,
    fence: u64,
    hold_ms: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ReleaseBody {
    holder: String,
    fence: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NumberBody {}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PutBody {
    value: String,
    #[serde(rename = "enabled")] // wire name
    expected_revision: Option<u64>,
}

/// Cancels a call when dropped, unless the state machine has answered the call. Dropped early if the caller's connection ends or the
/// call times out.
struct CancelOnDrop {
    host: Rc<Host>,
    call: RequestId,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        self.host.cancel_call(self.call);
    }
}

/// Responds to an application's request. Dropping the future cancels the call.
pub async fn respond(host: Rc<Host>, request: HttpRequest) -> HttpResponse {
    if !host.query(ControlPlane::has_coordination) {
        return InvalidCall::NotEnabled.response();
    }
    match parse(&request) {
        Ok(call) => execute_call(host, call).await,
        Err(invalid) => invalid.response(),
    }
}

async fn execute_call(host: Rc<Host>, call: Call) -> HttpResponse {
    // If this process was stalled, the caller may have disconnected. Yielding lets the connection's task detect this before the call
    // begins.
    yield_now().await;
    yield_now().await;
    let is_read = call.is_read();
    let limit = Duration::from_millis(call.wait_ms()) + CALL_MARGIN;
    let (id, outcome) = host.register_call();
    let _cancel = CancelOnDrop { host: host.clone(), call: id };
    host.handle_input(Input::Call(id, call));
    match timeout(limit, outcome).await {
        Ok(Ok(outcome)) => to_http(outcome),
        _ if is_read => to_http(CallOutcome::NotStarted(NotStarted::NoQuorum)),
        _ => to_http(CallOutcome::Unknown),
    }
}

fn parse(request: &HttpRequest) -> Result<Call, InvalidCall> {
    match (&request.method, request.path().as_slice()) {
        (&Method::POST, ["-", "locks", name]) => {
            let AcquireBody { holder, hold_ms } = body(request)?;
            let (name, holder) = (valid_name(name)?, valid_holder(holder)?);
            Ok(Call::AcquireLock { name, holder, hold_ms: valid_hold(hold_ms)? })
        }
        (&Method::PUT, ["-", "locks", name]) => {
            let RenewBody { holder, fence, hold_ms } = body(request)?;
            let (name, holder) = (valid_name(name)?, valid_holder(holder)?);
            Ok(Call::RenewLock { name, holder, fence, hold_ms: valid_hold(hold_ms)? })
        }
        (&Method::DELETE, ["-", "locks", name]) => {
            let ReleaseBody { holder, fence } = body(request)?;
            Ok(Call::ReleaseLock { name: valid_name(name)?, holder: valid_holder(holder)?, fence })
        }
        (&Method::POST, ["-", "numbers", name]) => {
            if !request.body.is_empty() {
                let NumberBody {} = body(request)?;
            }
            Ok(Call::NextNumber { name: valid_name(name)? })
        }
        (&Method::PUT, ["-", "cells", name]) => {
            let PutBody { value, expected_revision } = body(request)?;
            if value.len() > MAX_VALUE_BYTES {
                return Err(InvalidCall::Value(value.len()));
            }
            Ok(Call::PutCell { name: valid_name(name)?, value, expected_revision })
        }
        (&Method::GET, ["-", "cells", name]) => Ok(Call::ReadCell { name: valid_name(name)? }),
        (&Method::GET, ["-", "watch", group]) => watch(request, group),
        _ => Err(InvalidCall::UnknownCall),
    }
}

fn watch(request: &HttpRequest, group: &str) -> Result<Call, InvalidCall> {
    let group = valid_name(group)?;
    if group_of(&group) != group {
        return Err(InvalidCall::Group(group));
    }
    let number = |name: &'static str| {
        let text = request.query(name).unwrap_or("0");
        text.parse::<u64>().map_err(|_| InvalidCall::Query(name))
    };
    let (after, wait_ms) = (number("after")?, number("wait_ms")?);
    if wait_ms > MAX_WAIT_MS {
        return Err(InvalidCall::Query("wait_ms"));
    }
    Ok(Call::WatchGroup { group, after, wait_ms })
}

fn body<T: DeserializeOwned>(request: &HttpRequest) -> Result<T, InvalidCall> {
    serde_json::from_slice(&request.body).map_err(|error| InvalidCall::Body(error.to_string()))
}

fn is_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-:".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(is_allowed)
}

fn valid_name(name: &str) -> Result<String, InvalidCall> {
    if is_name(name) { Ok(name.to_owned()) } else { Err(InvalidCall::Name(name.to_owned())) }
}

fn valid_holder(holder: String) -> Result<String, InvalidCall> {
    if is_name(&holder) { Ok(holder) } else { Err(InvalidCall::Holder) }
}

fn valid_hold(hold_ms: u64) -> Result<u64, InvalidCall> {
    if (1..=MAX_HOLD_MS).contains(&hold_ms) { Ok(hold_ms) } else { Err(InvalidCall::Hold(hold_ms)) }
}

fn to_http(outcome: CallOutcome) -> HttpResponse {
    match outcome {
        CallOutcome::Applied(reply) => http_server::json(StatusCode::OK, reply_json(reply).to_string()),
        CallOutcome::Refused(refusal) => refused(refusal),
        CallOutcome::NotStarted(NotStarted::Overloaded) => {
            http_server::too_many_requests(&NotStarted::Overloaded.to_string())
        }
        CallOutcome::NotStarted(reason) => http_server::unavailable(&reason.to_string()),
        CallOutcome::Unknown => http_server::error(
            StatusCode::GATEWAY_TIMEOUT,
            "whether this was done is not known: send it again unchanged, to any control node",
        ),
    }
}

fn reply_json(reply: Reply) -> Value {
    match reply {
        Reply::LockAcquired { fence } => json!({ "fence": fence }),
        Reply::LockRenewed | Reply::LockReleased => json!({}),
        Reply::Number { value } => json!({ "value": value }),
        Reply::CellPut { revision } => json!({ "rev": revision }),
        Reply::Cell { value, revision } => json!({ "value": value, "rev": revision }),
        Reply::Events { events, revision } => {
            let event =
                |event: CellEvent| json!({ "name": event.name, "value": event.value, "rev": event.revision });
            json!({ "events": events.into_iter().map(event).collect::<Vec<_>>(), "rev": revision })
        }
    }
}

fn refused(refusal: Refusal) -> HttpResponse {
    match refusal {
        Refusal::LockHeld => {
            http_server::error(StatusCode::CONFLICT, "another holder has the lock: ask again later")
        }
        Refusal::LockLost => {
            http_server::error(StatusCode::CONFLICT, "this holder does not have the lock: stop, and take it anew")
        }
        Refusal::RevisionConflict { revision } => http_server::json(
            StatusCode::PRECONDITION_FAILED,
            json!({ "rev": revision, "error": "the cell has another revision: read it, and build on that" })
                .to_string(),
        ),
        Refusal::NoSuchCell => http_server::error(StatusCode::NOT_FOUND, "no such cell: put it first"),
        Refusal::HistoryExpired { revision } => http_server::json(
            StatusCode::GONE,
            json!({ "rev": revision, "error": "the history does not reach back so far: read the cells, and watch from rev" })
                .to_string(),
        ),
        Refusal::RevisionAhead { revision } => {
            let text = format!("after is beyond the group's revision {revision}: watch from one that was given out");
            http_server::error(StatusCode::BAD_REQUEST, &text)
        }
    }
}
