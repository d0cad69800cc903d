//! What goes between the request table and the connections to servers: an attempt to be made, what it reports, and its outcome.

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

/// A service, by its index in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(pub u32);

/// A server of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ServerKey {
    /// The service.
    pub service: ServiceId,
    /// The server, as its service's balancer knows it.
    pub backend: BackendId,
}

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The server that the attempt goes to.
    pub server: ServerKey,
    /// The request.
    pub request: RequestId,
    /// The number of the request's earlier attempts.
    pub number: u32,
}

/// A client's request in the form in which it is forwarded.
pub struct ForwardedRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: Option<PathAndQuery>,
    /// The headers that are the same for all attempts.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// How long a server may be silent before it is probed whether it accepts connections.
#[derive(Clone, Copy, Debug)]
pub struct IdleTimeouts {
    /// Before the response's head.
    pub head: Duration,
    /// Between two chunks of a stream.
    pub chunk: Duration,
}

/// An attempt to be made.
pub struct AttemptSpec {
    /// Which attempt; reported with its outcome.
    pub id: AttemptId,
    /// The client's id of the request.
    pub request_id: Rc<str>,
    /// Where the server listens.
    pub endpoint: SocketAddr,
    /// The index of the server's region.
    pub region: u32,
    /// The instance that must answer.
    pub instance: Rc<str>,
    /// What to send.
    pub request: Rc<ForwardedRequest>,
    /// Whether the response may be a stream.
    pub may_stream: bool,
    /// Whether the request may be retried at another server, and so need not wait for one that is silent.
    pub is_idempotent: bool,
    /// How long the server may be silent.
    pub idle_timeouts: IdleTimeouts,
    /// The event after which the stream is resumed.
    pub last_event_id: Option<u64>,
    /// When the client stops waiting, and so does the attempt.
    pub not_after: Nanos,
    /// Resolves once the attempt is cancelled.
    pub cancelled: oneshot::Receiver<()>,
}

/// How an attempt ended.
pub struct AttemptOutcome {
    /// What happened.
    pub outcome: Outcome,
    /// The load that the server reported.
    pub load: Option<LoadReport>,
    /// A complete response.
    pub response: Option<CompleteResponse>,
}

impl AttemptOutcome {
    /// An outcome without anything received.
    pub fn without_response(outcome: Outcome) -> Self {
        Self { outcome, load: None, response: None }
    }

    /// An outcome by the head of a response alone.
    pub fn with_load(outcome: Outcome, load: Option<LoadReport>) -> Self {
        Self { outcome, load, response: None }
    }
}

/// What an attempt asks of and reports to the request table.
pub trait AttemptObserver: Clone + 'static {
    /// Whether an attempt may still be sent: a connect can outlast its request, or its server's membership.
    fn may_send(&self, attempt: AttemptId) -> bool;

    /// The first event of a stream is there. Returns the client's end; none where the client has disconnected.
    fn response_started(
        &self,
        attempt: AttemptId,
        head: ResponseHead,
        load: Option<LoadReport>,
    ) -> Option<StreamSender>;

    /// Events were forwarded to the client, the last of them with this id.
    fn events_forwarded(&self, attempt: AttemptId, last_event_id: Option<u64>);

    /// The attempt has ended. Called exactly once for each attempt.
    fn attempt_finished(&self, attempt: AttemptId, outcome: AttemptOutcome);
}
