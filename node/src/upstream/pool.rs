//! A bounded pool of connections to the backends.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use ivyhatch_balancer::{BackendId, Nanos};
use ivyhatch_node_settings::ConnectionSettings;

use super::connection::{
    BackendAddress, BackendConnection, IdleConnection, OpenConnections, is_within_idle_timeout,
};
use super::idle_resets::IdleResetRates;
use crate::driver::{Clock, Node};

/// A connection is not reused before it has been idle for this long. Extra bytes behind a response could be taken for the next
/// response; if they arrive while the connection is idle, they are detected as unsolicited and the connection is dropped. A close
/// by the backend is detected in the same way.
const MIN_IDLE_TIME: Nanos = 10_000_000;
/// Connections that have been dropped and are not closed yet may exceed the limit by the limit over this divisor, and at least by
/// [`MIN_CLOSING_ALLOWANCE`].
const CLOSING_ALLOWANCE_DIVISOR: usize = 8;
const MIN_CLOSING_ALLOWANCE: usize = 2;

/// An idle connection that was taken from the pool.
pub struct ReusedConnection {
    /// The connection.
    pub connection: BackendConnection,
    /// How long the connection had been idle.
    pub idle_time: Nanos,
}

/// The connections for requests to all backends.
pub struct ConnectionPool {
    idle: RefCell<HashMap<BackendAddress, Vec<IdleConnection>>>,
    open: OpenConnections,
    max_open: usize,
    settings: ConnectionSettings,
    clock: Clock,
    idle_resets: IdleResetRates,
}

impl ConnectionPool {
    /// An empty pool for at most `max_open` connections.
    pub fn new(settings: ConnectionSettings, clock: Clock, max_open: usize) -> Self {
        let (idle, open) = (RefCell::default(), OpenConnections::default());
        Self { idle, open, max_open, settings, clock, idle_resets: IdleResetRates::default() }
    }

    /// The clock that measures idle times.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// The shares of reused connections that were reset, by idle time.
    pub fn idle_resets(&self) -> &IdleResetRates {
        &self.idle_resets
    }

    /// Whether more than a quarter of the allowed connections are not open.
    pub fn has_spare_connections(&self) -> bool {
        self.open.count() < self.max_open / 4 * 3
    }

    /// Takes the idle connection that was used last, so that surplus connections reach the idle timeout. `None` if there is no
    /// idle connection or it should not be reused.
    pub fn take(&self, address: BackendAddress) -> Option<ReusedConnection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        connections.retain(|idle| !idle.connection.sender.is_closed());
        let youngest = connections.iter().rposition(|idle| idle.age(now) >= MIN_IDLE_TIME)?;
        let taken = connections.remove(youngest);
        let idle_time = taken.age(now);
        let is_usable = is_within_idle_timeout(idle_time, self.settings.idle_timeout)
            && self.idle_resets.is_reuse_safe(idle_time);
        is_usable.then_some(ReusedConnection { connection: taken.connection, idle_time })
    }

    /// Keeps a connection for the next attempt, unless its backend drains, has left or has moved.
    pub fn put_back(&self, node: &Node, address: BackendAddress, connection: BackendConnection) {
        if !connection.sender.is_closed() && node.serves_at(address.backend, address.endpoint) {
            let idle = IdleConnection { connection, idle_since: self.clock.now() };
            self.idle.borrow_mut().entry(address).or_default().push(idle);
        }
    }

    /// Opens a connection; if the pool is full, drops the one that has been idle for longest. `None` if there is no room or the
    /// connect fails.
    pub async fn connect(&self, endpoint: SocketAddr) -> Option<BackendConnection> {
        if self.open.count() >= self.max_open {
            self.drop_oldest();
        }
        // A dropped connection is closed a moment later by its own task; until then it still holds its descriptor.
        let closing_allowance = (self.max_open / CLOSING_ALLOWANCE_DIVISOR).max(MIN_CLOSING_ALLOWANCE);
        if self.open.count() >= self.max_open + closing_allowance {
            return None;
        }
        let connect_timeout = Duration::from_nanos(self.settings.connect_timeout);
        BackendConnection::open(endpoint, connect_timeout, self.open.add()).await
    }

    /// Drops the idle connections to a backend.
    pub fn close_idle(&self, backend: BackendId) {
        self.idle.borrow_mut().retain(|address, _| address.backend != backend);
    }

    /// Drops connections that are closed or have been idle for too long.
    pub fn drop_stale(&self) {
        let now = self.clock.now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| idle.is_usable(now, self.settings.idle_timeout));
            !connections.is_empty()
        });
    }

    fn drop_oldest(&self) {
        let mut idle = self.idle.borrow_mut();
        let non_empty = idle.values_mut().filter(|connections| !connections.is_empty());
        if let Some(connections) = non_empty.min_by_key(|connections| connections[0].idle_since) {
            connections.remove(0);
        }
    }
}
