//! Client connection limits: bounds how many connections are open, evicts idle ones to make room and closes overdue ones. A
//! connection with a request in progress is never evicted.

mod connection;
mod request_head;
mod timeouts;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

pub use connection::{ClientConnection, UnreadInput};
pub use request_head::RequestHeadObserver;
pub use timeouts::{ConnectionTimeouts, REQUEST_READ_TIMEOUT, RESPONSE_WRITE_TIMEOUT};

use crate::read_ahead::ReadAheadStream;
use crate::stream_observer::ObservedStream;
use connection::IdleCount;

/// With one in so many of the allowed connections idle, a connection is closed with its response. Clients that keep a
/// connection and send no more requests would hold all that the system before the node has for it, and leave none to others.
const IDLE_LIMIT_DIVISOR: usize = 2;
/// How often connections are checked for overdue ones.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// The wait for room where no connection can be evicted yet.
const EVICTION_RETRY_INTERVAL: Duration = Duration::from_millis(10);
const LINGER_BUFFER_BYTES: usize = 16 * 1024;

/// Bounds the number of open client connections.
pub struct ConnectionLimiter {
    connections: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    idle_count: Rc<IdleCount>,
    next_number: Cell<u64>,
    max_connections: usize,
    timeouts: Rc<Cell<ConnectionTimeouts>>,
    /// The listener has closed.
    shutting_down: Cell<bool>,
    released: Notify,
}

impl ConnectionLimiter {
    /// A limiter for at most `max_connections` open at a time.
    pub fn new(max_connections: usize, timeouts: ConnectionTimeouts) -> Rc<Self> {
        let limit = max_connections / IDLE_LIMIT_DIVISOR;
        Rc::new(Self {
            connections: RefCell::default(),
            idle_count: Rc::new(IdleCount { current: Cell::new(0), limit }),
            next_number: Cell::new(0),
            max_connections,
            timeouts: Rc::new(Cell::new(timeouts)),
            shutting_down: Cell::new(false),
            released: Notify::new(),
        })
    }

    /// Replaces the timeouts, also of connections that are open.
    pub fn set_timeouts(&self, timeouts: ConnectionTimeouts) {
        self.timeouts.set(timeouts);
    }

    /// The timeouts in force.
    pub fn timeouts(&self) -> ConnectionTimeouts {
        self.timeouts.get()
    }

    /// Admits a new connection once there is room, evicting others for it.
    pub async fn admit(self: &Rc<Self>) -> ConnectionPermit {
        while self.connections.borrow().len() >= self.max_connections {
            self.evict_one();
            // A connection may end meanwhile, or become old enough to be evicted.
            let _ = timeout(EVICTION_RETRY_INTERVAL, self.released.notified()).await;
        }
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let connection = Rc::new(ClientConnection::new(self.idle_count.clone(), self.timeouts.clone()));
        self.connections.borrow_mut().insert(number, connection.clone());
        ConnectionPermit { limiter: self.clone(), number, connection }
    }

    fn evict_one(&self) {
        let now = Instant::now();
        let connections = self.connections.borrow();
        let ranked = connections
            .values()
            .filter_map(|connection| connection.eviction_rank(now).map(|rank| (rank, connection)));
        if let Some((_, connection)) = ranked.min_by_key(|(rank, _)| *rank) {
            connection.request_close();
        }
    }

    /// Closes connections that have been in one state for too long; never returns.
    pub async fn close_overdue_connections(self: Rc<Self>) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            let now = Instant::now();
            self.connections
                .borrow()
                .values()
                .filter(|connection| connection.is_overdue(now, self.shutting_down.get()))
                .for_each(|connection| connection.request_close());
        }
    }

    /// Waits until all connections have closed. Call once the listener has closed: from then on connections that never sent
    /// a byte are closed early.
    pub async fn wait_until_all_closed(&self) {
        self.shutting_down.set(true);
        while !self.connections.borrow().is_empty() {
            self.released.notified().await;
        }
    }
}

/// Permission for one open connection; dropping it makes room for another.
pub struct ConnectionPermit {
    limiter: Rc<ConnectionLimiter>,
    number: u64,
    connection: Rc<ClientConnection>,
}

impl ConnectionPermit {
    /// The connection's state.
    pub fn connection(&self) -> &Rc<ClientConnection> {
        &self.connection
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.limiter.connections.borrow_mut().remove(&self.number);
        self.limiter.released.notify_one();
    }
}

/// Closes after the last response: shuts the sending side down and drops further input until the client closes or the
/// connection is overdue. A socket that is closed with unread input resets its connection, and the client may lose the
/// response (RFC 9112, section 9.6).
pub(crate) async fn linger_and_close(mut socket: ObservedStream<RequestHeadObserver, ReadAheadStream>) {
    socket.observer.connection().start_lingering();
    // The socket may have been shut down already, or be broken: then the read below ends at once.
    let _ = socket.stream.shutdown().await;
    let mut dropped = vec![0; LINGER_BUFFER_BYTES];
    while socket.stream.read(&mut dropped).await.is_ok_and(|length| length > 0) {}
}
