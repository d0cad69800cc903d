//! How long a client connection may stay in each of its states.

use std::time::Duration;

/// A request must be complete this long after its first byte; the first request of a connection this long after the connect.
/// Clients must get a response or a close within 3 s. Further bytes of the request don't extend the timeout.
pub const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2300);
/// A connection is closed this long after [`ConnectionTimeouts::request_read`] has passed, so that the response that reports the
/// timeout can be sent before.
pub(super) const REJECTION_GRACE: Duration = Duration::from_millis(200);
/// A connection whose client has not read the response within this time is closed, and the response is lost.
pub const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// A connection that has been idle between requests for this long may be evicted to make room.
pub(super) const IDLE_EVICTABLE_AFTER: Duration = Duration::from_secs(2);
/// An idle connection is kept for this long between requests if there is room: active clients send the next request sooner, and
/// connections of clients that send no more requests must not accumulate over a day.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// A connection on which no byte has arrived may be evicted after this time to make room: an active client sends its first
/// request at once after the connect.
pub(super) const SILENT_EVICTABLE_AFTER: Duration = Duration::from_millis(20);
/// Once a node that shuts down accepts no more connections, a connection on which no byte has arrived is closed after this time.
/// A request arrives some milliseconds after its connect; the timeout leaves a slow machine many times as long.
pub(super) const SILENT_TIMEOUT_AT_SHUTDOWN: Duration = Duration::from_millis(200);
/// After a rejection further input is read and discarded for this long: closing a socket with unread input resets the
/// connection, and the client would lose the response.
pub(super) const LINGER_TIMEOUT: Duration = Duration::from_millis(1500);

/// The configurable timeouts of client connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionTimeouts {
    /// A request must be complete this long after its first byte; the first request of a connection this long after the connect.
    pub request_read: Duration,
    /// An idle connection is kept for this long between requests if there is room.
    pub idle: Duration,
}

impl Default for ConnectionTimeouts {
    fn default() -> Self {
        Self { request_read: REQUEST_READ_TIMEOUT, idle: IDLE_TIMEOUT }
    }
}
