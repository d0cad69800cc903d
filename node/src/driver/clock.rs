//! The node's clock: monotonic, and comparable with the clocks of other machines.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ivyhatch_balancer::Nanos;

/// Nanoseconds that never step back, counted from the Unix time at the start, so that times reported by other machines
/// compare with them.
#[derive(Clone, Copy)]
pub struct Clock {
    started_at: Instant,
    unix_offset: Nanos,
}

impl Clock {
    /// A clock that starts at the present time.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started_at: Instant::now(), unix_offset: to_nanos(unix) }
    }

    /// The present.
    pub fn now(&self) -> Nanos {
        self.unix_offset.saturating_add(to_nanos(self.started_at.elapsed()))
    }

    /// The runtime's instant for `at`, a time of this clock.
    pub fn instant(&self, at: Nanos) -> tokio::time::Instant {
        (self.started_at + Duration::from_nanos(at.saturating_sub(self.unix_offset))).into()
    }
}

fn to_nanos(span: Duration) -> Nanos {
    u64::try_from(span.as_nanos()).unwrap_or(Nanos::MAX)
}
