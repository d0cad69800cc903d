//! Graceful shutdown of a control node.

use ivyhatch_protocol::Nanos;

use crate::liveness::heartbeat_schedule::HEARTBEAT_INTERVAL;

/// A draining node keeps running at least this long, so that other nodes take over the leadership of its partitions first.
const MIN_DRAIN_TIME: Nanos = 2 * HEARTBEAT_INTERVAL;

/// Whether this node is shutting down, and since when.
#[derive(Debug)]
pub struct Drain {
    timeout: Nanos,
    since: Option<Nanos>,
}

impl Drain {
    /// A node that is not draining. Once it drains, it waits no longer than `timeout` for a successor.
    pub fn new(timeout: Nanos) -> Self {
        Self { timeout, since: None }
    }

    /// Begins the shutdown. Returns false if the shutdown had already begun.
    pub fn begin(&mut self, now: Nanos) -> bool {
        let is_new = self.since.is_none();
        self.since.get_or_insert(now);
        is_new
    }

    /// Whether the shutdown has begun.
    pub fn is_active(&self) -> bool {
        self.since.is_some()
    }

    /// Whether the shutdown is complete. `is_needed` returns whether the cluster still needs this replica.
    pub fn is_complete(&self, now: Nanos, is_needed: impl FnOnce() -> bool) -> bool {
        let Some(since) = self.since else { return false };
        now >= since + self.timeout || (now >= since + MIN_DRAIN_TIME && !is_needed())
    }
}
