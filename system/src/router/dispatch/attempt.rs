//! What goes to and fro between the dispatcher and the network: a client's request, an attempt to send it, and how that ended.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method};
use ivyhatch_balancer::{BackendId, Outcome, RequestId};
use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::configuration::Route;
use ivyhatch_routing::load_report::LoadReport;
use ivyhatch_routing::prompt::Prompt;
use tokio::sync::oneshot;

use crate::router::answer::Head;

/// A service's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Service(pub(super) u32);

/// A client's request in the form in which it is passed on.
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: Option<PathAndQuery>,
    /// The headers that go on unchanged.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// A request that has come whole.
pub struct Asked {
    /// Its id.
    pub id: Rc<str>,
    /// When its client gives it up, or its route does.
    pub not_after: Nanos,
    /// Its route.
    pub route: Rc<Route>,
    /// What it says of its prompt.
    pub prompt: Prompt,
    /// The last event that its client has.
    pub last_event: Option<u64>,
    /// What is passed on.
    pub call: Call,
}

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The service.
    pub service: Service,
    /// The server.
    pub backend: BackendId,
    pub(super) request: RequestId,
    pub(super) attempt: u32,
}

/// An attempt to be made.
pub struct Launch {
    /// Which one; goes back with its outcome.
    pub ticket: Ticket,
    /// The request's id.
    pub id: Rc<str>,
    /// Where the server listens.
    pub endpoint: SocketAddr,
    /// Its region's number.
    pub region: u32,
    /// Its incarnation.
    pub instance: Rc<str>,
    /// What to send.
    pub call: Rc<Call>,
    /// Whether its answer may be a stream.
    pub streams: bool,
    /// Whether it may go on at another server, and so need not wait for one that has fallen silent.
    pub movable: bool,
    /// A first byte, and each next one, come within these as a rule.
    pub idle_timeouts: (Duration, Duration),
    /// The event behind which the stream goes on.
    pub last_event: Option<u64>,
    /// When to stop waiting.
    pub give_up: Nanos,
    /// When the client stops waiting.
    pub not_after: Nanos,
    /// Resolves once the attempt has been withdrawn.
    pub withdrawn: oneshot::Receiver<()>,
}

/// How an attempt ended.
pub struct Ending {
    /// What happened.
    pub outcome: Outcome,
    /// What the server said of its load.
    pub load: Option<LoadReport>,
    /// A whole answer.
    pub answer: Option<(Head, Bytes)>,
}

impl Ending {
    /// An end with nothing received.
    pub fn bare(outcome: Outcome) -> Self {
        Self { outcome, load: None, answer: None }
    }
}
