//! The interface between the request table and the connections to servers: the specification of an attempt, the events that it
//! reports, and its outcome.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method};
use ivyhatch_balancer::{BackendId, Outcome, RequestId};
use ivyhatch_protocol::Nanos;
use ivyhatch_routing::load_report::LoadReport;
use tokio::sync::oneshot;

use super::client_response::{CompleteResponse, ResponseHead, StreamSender};

/// Identifies a service by its index, which is valid within this process only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(pub u32);

/// Identifies a server of a service within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ServerKey {
    /// The service that the server belongs to.
    pub service: ServiceId,
    /// The ID that the service's balancer uses for the server.
    pub backend: BackendId,
}

/// Identifies one attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The server that the attempt goes to.
    pub server: ServerKey,
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// How many attempts of this request were made before; 0 for the first attempt.
    pub number: u32,
}

/// A client's request in the form in which it is forwarded to servers.
pub struct ForwardedRequest {
    /// The HTTP method of the client's request.
    pub method: Method,
    /// Path and query; `None` is forwarded as `/`.
    pub target: Option<PathAndQuery>,
    /// The headers that are the same for all attempts. Each attempt adds its own, such as the deadline.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// How long a server may send nothing before it is probed with a new connection.
#[derive(Clone, Copy, Debug)]
pub struct IdleTimeouts {
    /// From the request to the head of the response.
    pub head: Duration,
    /// Between two chunks of a stream.
    pub chunk: Duration,
}

/// Everything that is needed to make an attempt.
pub struct AttemptSpec {
    /// Identifies the attempt in all reports to the [`AttemptObserver`].
    pub id: AttemptId,
    /// The request ID that the client sent.
    pub request_id: Rc<str>,
    /// The address at which the server listens.
    pub endpoint: SocketAddr,
    /// The index of the server's region.
    pub region: u32,
    /// The ID of the instance that must answer; another instance at the same address rejects the request.
    pub instance: Rc<str>,
    /// The request to send, shared by all its attempts.
    pub request: Rc<ForwardedRequest>,
    /// Whether the response may be a stream.
    pub may_stream: bool,
    /// Whether the request may be retried at another server. If so, the attempt is ended when its server is silent and unreachable.
    pub is_idempotent: bool,
    /// How long the server may send nothing before it is probed.
    pub idle_timeouts: IdleTimeouts,
    /// The ID of the event after which a stream is resumed; `None` if the client has received no event with an ID.
    pub last_event_id: Option<u64>,
    /// The client's deadline, in nanoseconds of [`crate::clock::Clock`]; the attempt times out then.
    pub not_after: Nanos,
    /// Resolves once the attempt is cancelled.
    pub cancelled: oneshot::Receiver<()>,
}

/// How an attempt ended.
pub struct AttemptOutcome {
    /// The outcome as reported to the balancer.
    pub outcome: Outcome,
    /// The load that the server reported in its response, if any.
    pub load: Option<LoadReport>,
    /// The complete response; `None` for streams and for attempts without a response that may be forwarded.
    pub response: Option<CompleteResponse>,
}

impl AttemptOutcome {
    /// The outcome of an attempt that received nothing to report or forward.
    pub fn without_response(outcome: Outcome) -> Self {
        Self { outcome, load: None, response: None }
    }

    /// The outcome of an attempt of which only the head of the response is used.
    pub fn with_load(outcome: Outcome, load: Option<LoadReport>) -> Self {
        Self { outcome, load, response: None }
    }
}

/// The request table as seen by an attempt: answers whether it may be sent, and receives its events.
pub trait AttemptObserver: Clone + 'static {
    /// Whether an attempt may still be sent. While its connection is opened, the request may end or the server leave the server list.
    fn may_send(&self, attempt: AttemptId) -> bool;

    /// Called when the first event of a stream has been received. Returns the sender of the client's stream; `None` if the client has
    /// disconnected.
    fn response_started(
        &self,
        attempt: AttemptId,
        head: ResponseHead,
        load: Option<LoadReport>,
    ) -> Option<StreamSender>;

    /// Called when events have been forwarded to the client. `last_event_id` is the ID of the last of these events that has an ID; `None`
    /// if no event has one.
    fn events_forwarded(&self, attempt: AttemptId, last_event_id: Option<u64>);

    /// Called exactly once for each attempt, when it has ended.
    fn attempt_finished(&self, attempt: AttemptId, outcome: AttemptOutcome);
}
