//! Exponential back-off from a server that could not be connected to.

use ivyhatch_protocol::{MILLISECOND, Nanos};

/// The back-off after the first failure; it doubles with each further one.
const INITIAL_BACKOFF: Nanos = 250 * MILLISECOND;
/// How often it doubles at most.
const MAX_DOUBLINGS: u32 = 4;

/// The back-off from one server.
#[derive(Debug, Default)]
pub(super) struct ConnectBackoff {
    consecutive_failures: u32,
    until: Nanos,
}

impl ConnectBackoff {
    pub(super) fn is_waiting(&self, now: Nanos) -> bool {
        now < self.until
    }

    /// Whether the last attempt to connect has failed.
    pub(super) fn has_failed(&self) -> bool {
        self.consecutive_failures > 0
    }

    pub(super) fn record_failure(&mut self, now: Nanos) {
        self.until = now + (INITIAL_BACKOFF << self.consecutive_failures.min(MAX_DOUBLINGS));
        self.consecutive_failures += 1;
    }

    /// Notes that the server is gone for good.
    pub(super) fn record_replaced(&mut self) {
        self.until = Nanos::MAX;
        self.consecutive_failures += 1;
    }

    pub(super) fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Notes that a request is sent. After a failure one request at a time tries the server.
    pub(super) fn record_send(&mut self, now: Nanos) {
        if self.has_failed() {
            self.until = self.until.max(now + INITIAL_BACKOFF);
        }
    }
}
