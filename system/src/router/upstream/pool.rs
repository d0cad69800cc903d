//! The pool of connections to servers. Connects have a timeout, the number of open connections is limited, and each connection carries
//! one request at a time.
//!
//! A connection is owned by the pool while it is idle, and by an attempt while it is in use. A task for each connection drives its I/O,
//! counts it as open until it is closed, and ends when the connection's sender is dropped.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};
use tokio::net::TcpStream;
use tokio::sync::OnceCell;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::clock::Clock;
use crate::router::attempt::{AttemptSpec, ServerKey};
use crate::transport::socket::set_options;

/// The longest head of a response that is read.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Upper bound of the connect timeout, and the connect timeout for a region whose round trip time is unknown.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Once the shortest round trip to a region is known, connects to the region time out after [`CONNECT_ROUND_TRIPS`] times this round
/// trip plus this margin.
const CONNECT_MARGIN: Duration = Duration::from_millis(120);
/// Round trips in the connect timeout for a region whose shortest round trip is known.
const CONNECT_ROUND_TRIPS: u32 = 4;
/// A connection is not reused within this time after a response, so that a close, or stray bytes after the response, are noticed first.
const MIN_IDLE_TIME: Nanos = 2 * MILLISECOND;
/// How long an idle connection is assumed to stay open if the server sent no `Keep-Alive` header.
pub const DEFAULT_KEEP_ALIVE: Nanos = 4 * SECOND;
/// A connection is not reused within this time before its server is due to close it.
const KEEP_ALIVE_MARGIN: Nanos = 1200 * MILLISECOND;
/// Minimum time between two probes of a server; attempts within it share the result.
const PROBE_INTERVAL: Nanos = 300 * MILLISECOND;
/// Pause between two sweeps of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// A probe of a silent server by a new connection. The cell is filled when the connect has succeeded or failed.
struct Probe {
    started_at: Nanos,
    is_unreachable: Rc<OnceCell<bool>>,
}

/// A connection on which a request can be sent.
pub struct Connection {
    /// hyper's handle for sending requests on this connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// The request ID of the last request on this connection; `None` on a new connection.
    pub last_request: Option<Rc<str>>,
    /// Whether the connection comes from the pool, so that its server may have closed it.
    pub was_idle: bool,
}

struct IdleConnection {
    connection: Connection,
    since: Nanos,
    reusable_until: Nanos,
}

impl IdleConnection {
    fn is_usable(&self, now: Nanos) -> bool {
        !self.connection.sender.is_closed() && now < self.reusable_until
    }
}

/// Holds idle connections to servers, and counts all open ones.
pub struct ConnectionPool {
    idle: RefCell<HashMap<ServerKey, Vec<IdleConnection>>>,
    /// Recent probes of silent servers.
    probes: RefCell<HashMap<ServerKey, Probe>>,
    /// The shortest time that a connect to each region has taken, by the region's index.
    round_trips: RefCell<HashMap<u32, Duration>>,
    open: Rc<Cell<usize>>,
    max_open: usize,
    clock: Clock,
}

/// Counts a connection as open until it is dropped.
struct OpenCount(Rc<Cell<usize>>);

impl OpenCount {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(open.clone())
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

impl ConnectionPool {
    /// Creates a pool of at most `max_open` connections. Up to an eighth more may be open while dropped connections are closing.
    pub fn new(clock: Clock, max_open: usize) -> Self {
        Self {
            idle: RefCell::default(),
            probes: RefCell::default(),
            round_trips: RefCell::default(),
            open: Rc::default(),
            max_open,
            clock,
        }
    }

    /// Closes idle connections that may no longer be reused, every [`SWEEP_INTERVAL`]; never returns.
    pub async fn sweep(&self) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            let now = self.clock.now();
            self.idle.borrow_mut().retain(|_, idle| {
                idle.retain(|idle| idle.is_usable(now));
                !idle.is_empty()
            });
        }
    }

    /// Whether there is a reusable idle connection to `server`.
    pub fn has_idle(&self, server: ServerKey) -> bool {
        let now = self.clock.now();
        let idle = self.idle.borrow();
        idle.get(&server).is_some_and(|idle| idle.iter().any(|idle| idle.is_usable(now)))
    }

    /// Drops the idle connections to a server that takes no more requests.
    pub fn drop_idle(&self, server: ServerKey) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Takes the most recently used idle connection, so that surplus connections expire. A connection whose last request has the same ID
    /// is never taken: a late duplicate of that request's response would be mistaken for the response to this attempt.
    pub fn take(&self, server: ServerKey, request: &str) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let idle = idle.get_mut(&server)?;
        idle.retain(|idle| idle.is_usable(now));
        let is_eligible = |idle: &IdleConnection| {
            let last_request = idle.connection.last_request.as_deref();
            now >= idle.since + MIN_IDLE_TIME && last_request != Some(request)
        };
        let index = idle.iter().rposition(is_eligible)?;
        Some(idle.remove(index).connection)
    }

    /// Returns a connection to the pool. It may be reused until [`KEEP_ALIVE_MARGIN`] before the end of `keep_alive`.
    pub fn keep(&self, server: ServerKey, connection: Connection, keep_alive: Nanos) {
        if connection.sender.is_closed() {
            return;
        }
        let now = self.clock.now();
        let connection = Connection { was_idle: true, ..connection };
        let reusable_until = now + keep_alive.saturating_sub(KEEP_ALIVE_MARGIN);
        self.idle.borrow_mut().entry(server).or_default().push(IdleConnection {
            connection,
            since: now,
            reusable_until,
        });
    }

    /// Opens a connection to the server of an attempt. If the pool is full, the longest idle connection is closed. Returns `None` if the
    /// connect fails or too many connections are in use.
    pub async fn connect(&self, spec: &AttemptSpec) -> Option<Connection> {
        let (endpoint, region) = (spec.endpoint, spec.region);
        if self.open.get() >= self.max_open {
            self.drop_oldest();
        }
        // A dropped connection is closed a moment later by its own task, and counts as open until then.
        if self.open.get() >= self.max_open + (self.max_open / 8).max(2) {
            return None;
        }
        let open_count = OpenCount::new(&self.open);
        let started_at = self.clock.now();
        let stream = timeout(self.connect_timeout(region), TcpStream::connect(endpoint)).await.ok()?.ok()?;
        self.record_round_trip(region, Duration::from_nanos(self.clock.now() - started_at));
        set_options(&stream);
        let mut builder = Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let (sender, driver) = builder.handshake(TokioIo::new(stream)).await.ok()?;
        spawn_local(async move {
            let _open_count = open_count;
            if let Err(error) = driver.await {
                log::debug!(
                    "event=upstream_connection_failed server={endpoint} error={:?}",
                    error.to_string()
                );
            }
        });
        Some(Connection { sender, last_request: None, was_idle: false })
    }

    fn connect_timeout(&self, region: u32) -> Duration {
        let shortest = self.round_trips.borrow().get(&region).copied();
        shortest.map_or(CONNECT_TIMEOUT, |round_trip| {
            (round_trip * CONNECT_ROUND_TRIPS + CONNECT_MARGIN).min(CONNECT_TIMEOUT)
        })
    }

    fn record_round_trip(&self, region: u32, round_trip: Duration) {
        let mut round_trips = self.round_trips.borrow_mut();
        let shortest = round_trips.entry(region).or_insert(round_trip);
        *shortest = round_trip.min(*shortest);
    }

    /// Whether a new connection to the server of an attempt can't be opened. Concurrent attempts share one probe.
    pub async fn is_unreachable(&self, spec: &AttemptSpec) -> bool {
        let server = spec.id.server;
        let now = self.clock.now();
        let probe = {
            let mut probes = self.probes.borrow_mut();
            probes.retain(|_, probe| now < probe.started_at + PROBE_INTERVAL);
            let probe = probes
                .entry(server)
                .or_insert_with(|| Probe { started_at: now, is_unreachable: Rc::default() });
            probe.is_unreachable.clone()
        };
        let is_unreachable = probe.get_or_init(|| async {
            let Some(connection) = self.connect(spec).await else { return true };
            // The connection is kept for the next request to this server.
            self.keep(server, connection, DEFAULT_KEEP_ALIVE);
            false
        });
        *is_unreachable.await
    }

    fn drop_oldest(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .values_mut()
            .filter(|connections| !connections.is_empty())
            .min_by_key(|connections| connections[0].since);
        if let Some(connections) = oldest {
            connections.remove(0);
        }
    }
}
