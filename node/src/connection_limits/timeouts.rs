//! How long a client connection may stay in each of its states.

use std::time::Duration;

/// A request is complete this long after its first byte, the first one of a connection this long after the connect: clients
/// are owed a response or a close within 3 s. Bytes that trickle in do not prolong it.
pub const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2300);
/// A connection is closed this long after the body's own timeout: the response that reports that timeout goes first.
pub(super) const REJECTION_GRACE: Duration = Duration::from_millis(200);
/// A response that its client has not read by then is abandoned with its connection.
pub const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Between requests a connection may be evicted after this, to make room.
pub(super) const IDLE_EVICTABLE_AFTER: Duration = Duration::from_secs(2);
/// Between requests a connection is kept for this long where there is room: clients in service send the next request sooner,
/// and those that sent one and stay must not accumulate over a long day.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// A connection that never sent a byte may be evicted after this, to make room: the first request of a client in service
/// follows its connect at once.
pub(super) const SILENT_EVICTABLE_AFTER: Duration = Duration::from_millis(20);
/// Once a node that shuts down accepts no more connections, one that never sent a byte is closed after this: a request
/// arrives some milliseconds after its connect, and a slow machine gets many times that.
pub(super) const SILENT_TIMEOUT_AT_SHUTDOWN: Duration = Duration::from_millis(200);
/// After a rejection further input is read and dropped for this long: closing with unread input resets the connection, and
/// the client would lose the response.
pub(super) const LINGER_TIMEOUT: Duration = Duration::from_millis(1500);

/// The configurable timeouts of client connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionTimeouts {
    /// A request is complete this long after its first byte, the first one of a connection this long after the connect.
    pub request_read: Duration,
    /// Between requests a connection is kept for this long where there is room.
    pub idle: Duration,
}

impl Default for ConnectionTimeouts {
    fn default() -> Self {
        Self { request_read: REQUEST_READ_TIMEOUT, idle: IDLE_TIMEOUT }
    }
}
