//! Limits of client connections: bounds how many connections are open, evicts idle ones to make room, and closes those that have
//! exceeded a timeout. A connection with a request in progress is never evicted.

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

/// Once the idle connections reach the maximum number of connections over this divisor, each response closes its connection.
/// Otherwise clients that keep a connection open without sending requests could use up all the connections that the system in
/// front of the node opens to it, and leave none to other clients.
const IDLE_LIMIT_DIVISOR: usize = 2;
/// How often the connections are checked against their timeouts.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// The longest wait between two attempts to evict a connection for a new one.
const EVICTION_RETRY_INTERVAL: Duration = Duration::from_millis(10);
const LINGER_BUFFER_BYTES: usize = 16 * 1024;

/// Bounds the number of open client connections.
pub struct ConnectionLimiter {
    connections: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    idle_count: Rc<IdleCount>,
    next_number: Cell<u64>,
    max_connections: usize,
    timeouts: Rc<Cell<ConnectionTimeouts>>,
    /// Whether the listener has closed.
    shutting_down: Cell<bool>,
    released: Notify,
}

impl ConnectionLimiter {
    /// A limiter that allows at most `max_connections` open connections.
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

    /// Replaces the timeouts, including those of open connections.
    pub fn set_timeouts(&self, timeouts: ConnectionTimeouts) {
        self.timeouts.set(timeouts);
    }

    /// The timeouts that apply now.
    pub fn timeouts(&self) -> ConnectionTimeouts {
        self.timeouts.get()
    }

    /// Waits until there is room for a new connection, evicting others if needed, and admits the new one.
    pub async fn admit(self: &Rc<Self>) -> ConnectionPermit {
        while self.connections.borrow().len() >= self.max_connections {
            self.evict_one();
            // Meanwhile a connection may close, or become old enough to be evicted.
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

    /// Periodically closes connections that have been in one state for longer than allowed; never returns.
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

    /// Waits until all connections have closed. To be called after the listener has closed: from then on a shorter timeout
    /// applies to connections on which no byte has arrived.
    pub async fn wait_until_all_closed(&self) {
        self.shutting_down.set(true);
        while !self.connections.borrow().is_empty() {
            self.released.notified().await;
        }
    }
}

/// Permission for one open connection; dropping the permit makes room for another connection.
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

/// Closes a connection after its last response: shuts the sending side down and discards further input until the client closes
/// the connection or the linger timeout ends. Closing a socket with unread input resets the connection, and the client may lose
/// the response (RFC 9112, section 9.6).
pub(crate) async fn linger_and_close(mut socket: ObservedStream<RequestHeadObserver, ReadAheadStream>) {
    socket.observer.connection().start_lingering();
    // If the socket has been shut down already or has failed, the read below ends at once.
    let _ = socket.stream.shutdown().await;
    let mut dropped = vec![0; LINGER_BUFFER_BYTES];
    while socket.stream.read(&mut dropped).await.is_ok_and(|length| length > 0) {}
}
