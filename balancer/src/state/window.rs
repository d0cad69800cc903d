//! The concurrency window of a zone.

use crate::api::Nanos;
use crate::estimators::Ewma;

/// How many of this node's requests may be in flight in a zone whose backends it shares with many nodes
/// that it cannot see.
#[derive(Clone, Copy, Default)]
pub(crate) struct ConcurrencyWindow {
    /// In requests; below 1 it stands for one request every so many response times.
    pub(crate) size: f64,
    /// What the size decays to while it is not used.
    pub(crate) idle_size: f64,
    /// Mean latency as a fraction of its target since the last decrease, over `samples` responses.
    pub(crate) latency_fraction: Ewma,
    pub(crate) samples: u32,
    /// Requests sent before the last decrease say nothing of the time after it.
    pub(crate) decreased_at: Nanos,
    /// The first congestion has been met.
    pub(crate) slow_start_done: bool,
    pub(crate) last_sent_at: Nanos,
}

impl ConcurrencyWindow {
    /// A window that grows quickly until the first congestion.
    pub(crate) fn in_slow_start(size: f64) -> Self {
        Self { size, idle_size: size, ..Self::default() }
    }

    /// A window that grows slowly from the start.
    pub(crate) fn past_slow_start(size: f64) -> Self {
        Self { slow_start_done: true, ..Self::in_slow_start(size) }
    }

    /// Raises the size to `size` as long as nothing has been measured.
    pub(crate) fn raise_initial_size(&mut self, size: f64) {
        if self.samples == 0 && !self.slow_start_done {
            self.size = self.size.max(size);
            self.idle_size = self.size;
        }
    }
}
