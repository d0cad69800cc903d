//! The node's clock: monotonic, and based on Unix time, so that times from other machines can be compared with it.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ivyhatch_balancer::Nanos;

/// A monotonic clock in nanoseconds of Unix time: the system clock is read once, at the start, and later changes of the system
/// clock have no effect. Times reported by other machines can be compared with its times.
#[derive(Clone, Copy)]
pub struct Clock {
    started_at: Instant,
    unix_offset: Nanos,
}

impl Clock {
    /// Starts a clock at the system clock's present time.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started_at: Instant::now(), unix_offset: to_nanos(unix) }
    }

    /// The present time.
    pub fn now(&self) -> Nanos {
        self.unix_offset.saturating_add(to_nanos(self.started_at.elapsed()))
    }

    /// Converts `at`, a time of this clock, to an instant of the runtime.
    pub fn instant(&self, at: Nanos) -> tokio::time::Instant {
        (self.started_at + Duration::from_nanos(at.saturating_sub(self.unix_offset))).into()
    }
}

fn to_nanos(span: Duration) -> Nanos {
    u64::try_from(span.as_nanos()).unwrap_or(Nanos::MAX)
}
