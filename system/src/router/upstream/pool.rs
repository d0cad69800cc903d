//! Connections to servers: opened within a bounded time and number, kept while idle, and used for one request at a time.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use ivyhatch_balancer::BackendId;
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};
use tokio::net::TcpStream;
use tokio::sync::OnceCell;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::clock::Clock;
use crate::router::dispatch::{Launch, Service};
use crate::transport::socket::set_options;

/// The longest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// A connection that is not up by then counts as failed, as long as the round trip to its region is not known ...
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// ... and after that where it takes this much longer than so many times the shortest one there.
const CONNECT_MARGIN: Duration = Duration::from_millis(120);
const CONNECT_ROUND_TRIPS: u32 = 4;
/// A connection rests this long after an answer: what comes behind one shows as not asked for, and so does a close.
const REST: Nanos = 2 * MILLISECOND;
/// Servers that say nothing of it are taken to keep an idle connection for so long.
pub const DEFAULT_KEEP_ALIVE: Nanos = 4 * SECOND;
/// A connection is used up to this long before its server closes it.
const KEEP_ALIVE_MARGIN: Nanos = 1200 * MILLISECOND;
/// Whether a server takes a connection is probed no more often than this.
const PROBE_INTERVAL: Nanos = 300 * MILLISECOND;
/// Pause between two searches for connections that have been idle for too long.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// A server of a service.
pub type Place = (Service, BackendId);

/// A probe of a server's listener, and when it began.
type Probe = (Nanos, Rc<OnceCell<bool>>);

/// A connection that is free for a request.
pub struct Connection {
    /// Its requests are sent by this.
    pub sender: SendRequest<Full<Bytes>>,
    /// The id of the request that it carried last; none where it has not carried any.
    pub last_request: Option<Rc<str>>,
    /// Whether it was idle before, so that its server may have closed it.
    pub was_idle: bool,
}

struct Idle {
    connection: Connection,
    since: Nanos,
    until: Nanos,
}

impl Idle {
    fn is_usable(&self, now: Nanos) -> bool {
        !self.connection.sender.is_closed() && now < self.until
    }
}

/// All connections to servers.
pub struct ConnectionPool {
    idle: RefCell<HashMap<Place, Vec<Idle>>>,
    /// Probes of servers that have fallen silent.
    probes: RefCell<HashMap<Place, Probe>>,
    /// The shortest connect to each region.
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
    /// At most `max_open` connections are open together.
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

    /// Closes what has been idle for too long; never ends.
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

    /// Drops the idle connections to a server that has left.
    pub fn retire(&self, place: Place) {
        self.idle.borrow_mut().remove(&place);
    }

    /// An idle connection that has rested; the one used last, so that those in excess grow old. Never one that carried the same
    /// request last: a late copy of the answer then would bear the id of the one that is awaited.
    pub fn take(&self, place: Place, request: &str) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let idle = idle.get_mut(&place)?;
        idle.retain(|idle| idle.is_usable(now));
        let fits = |idle: &Idle| {
            let carried = idle.connection.last_request.as_deref();
            now >= idle.since + REST && carried != Some(request)
        };
        let rested = idle.iter().rposition(fits)?;
        Some(idle.remove(rested).connection)
    }

    /// Keeps a connection for the next request, for as long as its server does.
    pub fn keep(&self, place: Place, connection: Connection, keep_alive: Nanos) {
        if connection.sender.is_closed() {
            return;
        }
        let now = self.clock.now();
        let connection = Connection { was_idle: true, ..connection };
        let until = now + keep_alive.saturating_sub(KEEP_ALIVE_MARGIN);
        self.idle.borrow_mut().entry(place).or_default().push(Idle { connection, since: now, until });
    }

    /// Opens a connection to the server of an attempt.
    pub async fn connect(&self, launch: &Launch) -> Option<Connection> {
        let (endpoint, region) = (launch.endpoint, launch.region);
        if self.open.get() >= self.max_open {
            self.drop_oldest();
        }
        // One that was dropped is closed a moment later, by its own task.
        if self.open.get() >= self.max_open + (self.max_open / 8).max(2) {
            return None;
        }
        let counted = OpenCount::new(&self.open);
        let began = self.clock.now();
        let stream = timeout(self.connect_timeout(region), TcpStream::connect(endpoint)).await.ok()?.ok()?;
        self.note_round_trip(region, Duration::from_nanos(self.clock.now() - began));
        set_options(&stream);
        let mut builder = Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let (sender, driver) = builder.handshake(TokioIo::new(stream)).await.ok()?;
        spawn_local(async move {
            let _counted = counted;
            if let Err(error) = driver.await {
                log::debug!("event=connection_broken server={endpoint} error={:?}", error.to_string());
            }
        });
        Some(Connection { sender, last_request: None, was_idle: false })
    }

    fn connect_timeout(&self, region: u32) -> Duration {
        let known = self.round_trips.borrow().get(&region).copied();
        known.map_or(CONNECT_TIMEOUT, |round_trip| {
            (round_trip * CONNECT_ROUND_TRIPS + CONNECT_MARGIN).min(CONNECT_TIMEOUT)
        })
    }

    fn note_round_trip(&self, region: u32, round_trip: Duration) {
        let mut round_trips = self.round_trips.borrow_mut();
        let shortest = round_trips.entry(region).or_insert(round_trip);
        *shortest = round_trip.min(*shortest);
    }

    /// Whether the server of an attempt takes no connection. Attempts that ask at the same time share one probe.
    pub async fn is_unreachable(&self, launch: &Launch) -> bool {
        let place = (launch.ticket.service, launch.ticket.backend);
        let now = self.clock.now();
        let probe = {
            let mut probes = self.probes.borrow_mut();
            probes.retain(|_, (since, _)| now < *since + PROBE_INTERVAL);
            probes.entry(place).or_insert_with(|| (now, Rc::default())).1.clone()
        };
        let unreachable = probe.get_or_init(|| async {
            let Some(connection) = self.connect(launch).await else { return true };
            // It serves the next request there.
            self.keep(place, connection, DEFAULT_KEEP_ALIVE);
            false
        });
        *unreachable.await
    }

    fn drop_oldest(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|kept| !kept.is_empty()).min_by_key(|kept| kept[0].since);
        if let Some(kept) = oldest {
            kept.remove(0);
        }
    }
}
