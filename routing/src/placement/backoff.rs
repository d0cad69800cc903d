//! Exponential back-off for connection attempts to a server.

use ivyhatch_protocol::{MILLISECOND, Nanos};

/// The back-off after the first failure; it doubles with each consecutive failure.
const INITIAL_BACKOFF: Nanos = 250 * MILLISECOND;
/// The maximum number of times that the back-off doubles.
const MAX_DOUBLINGS: u32 = 4;

/// The back-off state of one server.
#[derive(Debug, Default)]
pub(super) struct ConnectBackoff {
    consecutive_failures: u32,
    until: Nanos,
}

impl ConnectBackoff {
    pub(super) fn is_waiting(&self, now: Nanos) -> bool {
        now < self.until
    }

    /// Whether a connection attempt has failed since the last response from the server, or the server was replaced.
    pub(super) fn has_failed(&self) -> bool {
        self.consecutive_failures > 0
    }

    pub(super) fn record_failure(&mut self, now: Nanos) {
        self.until = now + (INITIAL_BACKOFF << self.consecutive_failures.min(MAX_DOUBLINGS));
        self.consecutive_failures += 1;
    }

    /// Records that the server was replaced by another instance: requests are never sent to it again.
    pub(super) fn record_replaced(&mut self) {
        self.until = Nanos::MAX;
        self.consecutive_failures += 1;
    }

    pub(super) fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records that a request is sent. After a failure, at most one request per [`INITIAL_BACKOFF`] is sent to the server until the
    /// server has responded.
    pub(super) fn record_send(&mut self, now: Nanos) {
        if self.has_failed() {
            self.until = self.until.max(now + INITIAL_BACKOFF);
        }
    }
}
