//! Probes for load reports: `GET` on the report's path, over separate connections, so that no request waits for a probe, even if
//! the probe hangs. The balancer decides which backends to probe and when.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response, StatusCode, Uri};
use ivyhatch_balancer::{BackendId, LoadReport, Outcome};
use ivyhatch_node_settings::ConnectionSettings;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::connection::{BackendAddress, BackendConnection, IdleConnection, OpenConnections};
use super::response::{ReadResponse, outcome_of_error, parse_load_report};
use crate::driver::{AttemptResult, Clock, Node, ProbeStart};

/// The path of the load report.
const LOAD_REPORT_PATH: &str = "/stats";
/// A report that arrives later than this is outdated, and a backend that takes longer to send a few bytes counts as
/// unreachable.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// The largest load report that is accepted; a report has a few numbers.
const MAX_REPORT_BYTES: usize = 4 * 1024;

/// Makes probes, and keeps one idle connection to each backend that responded to a probe.
pub struct Prober {
    idle: RefCell<HashMap<BackendAddress, IdleConnection>>,
    open: OpenConnections,
    max_open: usize,
    settings: ConnectionSettings,
    clock: Clock,
}

impl Prober {
    /// A prober that has at most `max_open` connections open at a time, or one if `max_open` is 0. Connections for requests are
    /// not included.
    pub fn new(settings: ConnectionSettings, clock: Clock, max_open: usize) -> Self {
        let (idle, open) = (RefCell::default(), OpenConnections::default());
        Self { idle, open, max_open: max_open.max(1), settings, clock }
    }

    /// Starts a probe, and reports its result by [`Node::probe_ended`], exactly once.
    pub fn start(self: &Rc<Self>, node: &Node, mut start: ProbeStart) {
        let (prober, node) = (self.clone(), node.clone());
        spawn_local(async move {
            let cancelled = std::mem::replace(&mut start.cancelled, oneshot::channel().1);
            let address = BackendAddress { backend: start.key.backend(), endpoint: start.endpoint };
            // A probe that is cancelled or times out is dropped here together with its connection.
            let result = tokio::select! {
                biased;
                _ = cancelled => AttemptResult::without_response(Outcome::Cancelled),
                result = prober.probe(address, &node) => result,
                () = sleep(PROBE_TIMEOUT) => AttemptResult::without_response(Outcome::TimedOut),
            };
            node.probe_ended(start.key, result);
        });
    }

    /// Drops the idle connection to a backend that has left, moved or restarted.
    pub fn close_idle(&self, backend: BackendId) {
        self.idle.borrow_mut().retain(|address, _| address.backend != backend);
    }

    /// Drops connections that are closed or have been idle for too long.
    pub fn drop_stale(&self) {
        let now = self.clock.now();
        self.idle.borrow_mut().retain(|_, idle| idle.is_usable(now, self.settings.idle_timeout));
    }

    fn take_idle(&self, address: BackendAddress) -> Option<BackendConnection> {
        let idle = self.idle.borrow_mut().remove(&address)?;
        idle.is_usable(self.clock.now(), self.settings.idle_timeout).then_some(idle.connection)
    }

    async fn probe(&self, address: BackendAddress, node: &Node) -> AttemptResult {
        if let Some(connection) = self.take_idle(address) {
            match self.exchange(address, connection, node).await {
                // The backend closed the idle connection while the probe was written, which is no sign of a fault. The
                // backend may have counted the probe, so it is not made again.
                Some(result) if result.outcome == Outcome::Reset => {
                    return AttemptResult::without_response(Outcome::NotSent);
                }
                Some(result) => return result,
                None => {}
            }
        }
        if !self.make_room() {
            // A lack of room for another connection is this node's fault, not the backend's.
            return AttemptResult::without_response(Outcome::NotSent);
        }
        let connect_failed = AttemptResult::without_response(Outcome::ConnectFailed);
        let connect_timeout = Duration::from_nanos(self.settings.connect_timeout).min(PROBE_TIMEOUT);
        let connecting = BackendConnection::open(address.endpoint, connect_timeout, self.open.add());
        let Some(connection) = connecting.await else { return connect_failed };
        self.exchange(address, connection, node).await.unwrap_or(connect_failed)
    }

    /// Sends a probe and reads its response. `None` if no byte of the probe was written.
    async fn exchange(
        &self,
        address: BackendAddress,
        mut connection: BackendConnection,
        node: &Node,
    ) -> Option<AttemptResult> {
        connection.sender.ready().await.ok()?;
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = Uri::from_static(LOAD_REPORT_PATH);
        let host = HeaderValue::from_str(&address.endpoint.to_string()).ok()?;
        request.headers_mut().insert(HOST, host);
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                let response = read_report(response).await;
                if response.is_connection_reusable {
                    self.keep(address, connection, node);
                }
                Some(response.result)
            }
            Err(mut error) => match error.take_message() {
                Some(_) => None,
                None => Some(AttemptResult::without_response(outcome_of_error(error.error()))),
            },
        }
    }

    fn keep(&self, address: BackendAddress, connection: BackendConnection, node: &Node) {
        if !connection.sender.is_closed() && node.serves_at(address.backend, address.endpoint) {
            let idle = IdleConnection { connection, idle_since: self.clock.now() };
            self.idle.borrow_mut().insert(address, idle);
        }
    }

    /// Whether another connection may be opened. If all allowed ones are open, drops the one that has been idle for longest.
    fn make_room(&self) -> bool {
        if self.open.count() < self.max_open {
            return true;
        }
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.iter().min_by_key(|(_, idle)| idle.idle_since).map(|(address, _)| *address);
        // The task of the dropped connection ends and releases its descriptor a moment later.
        oldest.is_some_and(|address| idle.remove(&address).is_some())
    }
}

/// Reads the response to a probe.
async fn read_report(response: Response<Incoming>) -> ReadResponse {
    let (head, body) = response.into_parts();
    let Ok(body) = Limited::new(body, MAX_REPORT_BYTES).collect().await else {
        return ReadResponse::unusable(Outcome::InvalidResponse);
    };
    let outcome = match head.status {
        StatusCode::OK => Outcome::Served,
        StatusCode::SERVICE_UNAVAILABLE => Outcome::Rejected,
        _ => Outcome::Error,
    };
    let report = match outcome {
        Outcome::Served => parse_load_report(&body.to_bytes()),
        _ => LoadReport::default(),
    };
    let result = AttemptResult { outcome, report, body: Bytes::new() };
    ReadResponse { result, is_connection_reusable: true }
}
