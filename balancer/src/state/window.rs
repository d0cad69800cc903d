//! The concurrency window of a zone.

use crate::api::Nanos;
use crate::estimators::Ewma;

/// The limit of this node's requests in flight in a zone whose backends the node shares with many other
/// nodes, whose traffic it does not see.
#[derive(Clone, Copy, Default)]
pub(crate) struct ConcurrencyWindow {
    /// Number of requests; a size below 1 means one request per 1 / size response times.
    pub(crate) size: f64,
    /// The size that an unused window decays to.
    pub(crate) idle_size: f64,
    /// Mean latency as a fraction of its target since the last decrease, over `samples` responses.
    pub(crate) latency_fraction: Ewma,
    pub(crate) samples: u32,
    /// Time of the last decrease. Responses to requests sent earlier do not indicate the state after it.
    pub(crate) decreased_at: Nanos,
    /// The first congestion has occurred.
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

    /// Raises the size to `size` before anything has been measured.
    pub(crate) fn raise_initial_size(&mut self, size: f64) {
        if self.samples == 0 && !self.slow_start_done {
            self.size = self.size.max(size);
            self.idle_size = self.size;
        }
    }
}
