//! The clients' side: reads requests, finds their routes, waits for each one's final answer and writes it.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use ivyhatch_node::client_listener::{DrainPhase, RequestHandler};
use ivyhatch_node::connection_limits::{ClientConnection, ConnectionLimiter, UnreadInput};
use ivyhatch_node::hop_by_hop::without_hop_by_hop_headers;
use ivyhatch_protocol::configuration::Route;
use ivyhatch_protocol::{MILLISECOND, Nanos};
use ivyhatch_routing::prompt::Prompt;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use super::answer::{AnswerBody, Reply, plain};
use super::dispatch::{Asked, Call, Dispatcher};

/// A request's id.
pub const ATTEMPT_ID: &str = "ivyhatch-attempt-id";
/// How long its client waits, in milliseconds.
pub const DEADLINE: &str = "ivyhatch-deadline-ms";
/// The incarnation that it is meant for.
pub const EXPECT_INSTANCE: &str = "ivyhatch-expect-instance";
/// The last event that its client has.
pub const LAST_EVENT: &str = "last-event-id";
/// How urgent it is to a server.
pub const PRIORITY: &str = "priority";
const MODEL: &str = "ivyhatch-model";
const TOKEN_COUNTS: &str = "ivyhatch-token-counts";
const PREFIX: &str = "ivyhatch-prompt-prefix";
/// A client counts its time from its send to the last byte of the answer: the ways there and back come off.
const ON_THE_WAY: Nanos = 10 * MILLISECOND;
/// Clients that say nothing of how long they wait are taken to wait for so long.
const USUAL_WAIT_MS: f64 = 30_000.0;
/// The time told to clients for which a connection is kept is shorter than that for which it is, by so many seconds: a request
/// must not cross its closing.
const KEEP_MARGIN_S: u64 = 2;
/// A router that is new to its work asks clients to come again after this.
const NOT_READY: &str = "0.2";
/// A router that has just started is ready within so long as a rule: a request waits for it as long as a refusal is still early.
const READY_SOON: Duration = Duration::from_millis(150);

/// Answers clients.
pub struct Clients {
    dispatcher: Dispatcher,
    connections: Rc<ConnectionLimiter>,
}

/// What is wrong with a request.
#[derive(Debug, thiserror::Error)]
enum BadRequest {
    #[error("{0} is missing or can't be read")]
    Header(&'static str),
    #[error("the body is too large")]
    TooLarge,
    #[error("the body did not arrive")]
    NoBody,
    #[error("no route leads there")]
    NoRoute,
    #[error("this router does not know its configuration yet")]
    NotReady,
    #[error("an open request has this id")]
    Taken,
}

impl BadRequest {
    fn status(&self) -> StatusCode {
        match self {
            Self::Header(_) => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoBody => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NotReady => StatusCode::SERVICE_UNAVAILABLE,
            Self::Taken => StatusCode::CONFLICT,
        }
    }

    /// Whether there is no telling where the next request begins.
    fn ends_connection(&self) -> bool {
        matches!(self, Self::TooLarge | Self::NoBody | Self::NotReady)
    }
}

type Answer = Response<AnswerBody>;

impl Clients {
    /// Answers by this dispatcher.
    pub fn new(dispatcher: Dispatcher, connections: Rc<ConnectionLimiter>) -> Self {
        Self { dispatcher, connections }
    }

    async fn call(
        &self,
        connection: &Rc<ClientConnection>,
        request: Request<Incoming>,
        whole_by: Instant,
    ) -> Result<Answer, BadRequest> {
        let came = self.dispatcher.now();
        let (head, body) = request.into_parts();
        if connection.has_duplicate_content_length() {
            return Err(BadRequest::Header("content-length"));
        }
        let id = single(&head.headers, ATTEMPT_ID).ok_or(BadRequest::Header(ATTEMPT_ID))?.to_owned();
        let host =
            single(&head.headers, "host").or_else(|| head.uri.host()).ok_or(BadRequest::Header("host"))?;
        if !self.dispatcher.readied(READY_SOON).await {
            return Err(BadRequest::NotReady);
        }
        let route = self.dispatcher.route(host, head.uri.path()).ok_or(BadRequest::NoRoute)?;
        let wait_ms = match single(&head.headers, DEADLINE) {
            Some(text) => {
                text.parse::<f64>().ok().filter(|ms| *ms >= 0.0).ok_or(BadRequest::Header(DEADLINE))?
            }
            None => USUAL_WAIT_MS,
        };
        let most = self.dispatcher.limits().max_body_bytes as usize;
        if body.size_hint().lower() > most as u64 {
            return Err(BadRequest::TooLarge);
        }
        let body = read(body, most, whole_by).await?;
        let text = |name| single(&head.headers, name);
        let prompt = Prompt::from_headers(text(MODEL).unwrap_or(""), text(PREFIX), text(TOKEN_COUNTS));
        let last_event = text(LAST_EVENT).and_then(|text| text.parse().ok());
        let wait = (wait_ms.min(route.timeout_ms) * MILLISECOND as f64) as Nanos;
        let call = Call {
            method: head.method,
            target: head.uri.path_and_query().cloned(),
            headers: outgoing(head.headers, &route),
            body,
        };
        let asked = Asked {
            id: id.into(),
            not_after: came + wait.saturating_sub(ON_THE_WAY),
            route,
            prompt,
            last_event,
            call,
        };
        let (waiting, answer) = self.dispatcher.submit(asked).ok_or(BadRequest::Taken)?;
        connection.request_accepted();
        // The sender is dropped unused only if the request has vanished, which promises nothing.
        let reply = answer.await.unwrap_or(Reply::Failed(StatusCode::BAD_GATEWAY, "failed"));
        Ok(match reply {
            Reply::Stream(head, pieces) => {
                let mut response = Response::new(AnswerBody::stream(pieces, connection.clone(), waiting));
                (*response.status_mut(), *response.headers_mut()) = (head.status, head.headers);
                return Ok(response);
            }
            Reply::Whole(head, body) => {
                let mut response = Response::new(AnswerBody::whole(body));
                (*response.status_mut(), *response.headers_mut()) = (head.status, head.headers);
                response
            }
            Reply::Refused(pause) => {
                let mut response =
                    plain(StatusCode::SERVICE_UNAVAILABLE, "refused; trying again does no harm");
                // Never sooner than was decided: decimals are cut, so round up.
                let text = format!("{:.3}", pause.div_ceil(MILLISECOND) as f64 / 1000.0);
                if let Ok(value) = HeaderValue::from_str(&text) {
                    response.headers_mut().insert(header::RETRY_AFTER, value);
                }
                response
            }
            Reply::Failed(status, text) => plain(status, text),
        })
    }
}

impl RequestHandler for Clients {
    type Body = AnswerBody;

    async fn answer(
        &self,
        connection: Rc<ClientConnection>,
        request: Request<Incoming>,
        phase: watch::Receiver<DrainPhase>,
    ) -> Answer {
        let whole_by = connection.request_arriving();
        let (mut response, ends) = match self.call(&connection, request, whole_by).await {
            Ok(response) => (response, false),
            Err(bad) => {
                let mut response = plain(bad.status(), &bad.to_string());
                if matches!(bad, BadRequest::NotReady) {
                    response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from_static(NOT_READY));
                }
                (response, bad.ends_connection())
            }
        };
        let ends = ends || *phase.borrow() != DrainPhase::Serving || connection.exceeds_idle_limit();
        let headers = response.headers_mut();
        if ends {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        } else {
            let kept = self
                .connections
                .timeouts()
                .idle
                .saturating_sub(Duration::from_secs(KEEP_MARGIN_S))
                .as_secs()
                .max(1);
            if let Ok(value) = HeaderValue::from_str(&format!("timeout={kept}")) {
                headers.insert(HeaderName::from_static("keep-alive"), value);
            }
        }
        if !matches!(response.body(), AnswerBody::Stream(_)) {
            let rejected = ends && response.status() != StatusCode::OK;
            connection.response_started(if rejected { UnreadInput::Possible } else { UnreadInput::None });
        }
        response
    }
}

/// A header that may stand once at most.
fn single<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().filter(|_| values.next().is_none())?;
    value.to_str().ok().map(str::trim)
}

async fn read(body: Incoming, most: usize, whole_by: Instant) -> Result<Bytes, BadRequest> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    match timeout_at(whole_by, Limited::new(body, most).collect()).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BadRequest::TooLarge),
        Ok(Err(_)) | Err(_) => Err(BadRequest::NoBody),
    }
}

/// The headers that go on to a server. What each attempt sets itself comes off.
fn outgoing(headers: HeaderMap, route: &Route) -> HeaderMap {
    let mut headers = without_hop_by_hop_headers(headers, &[ATTEMPT_ID]);
    for name in [DEADLINE, EXPECT_INSTANCE, PRIORITY] {
        headers.remove(name);
    }
    if route.sticky {
        headers.insert(HeaderName::from_static(PRIORITY), HeaderValue::from(route.priority.min(9)));
    }
    headers
}
