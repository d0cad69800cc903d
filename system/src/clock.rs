//! The monotonic clock of a process. No decision depends on the time of day, which may jump.

use std::time::Duration;

use ivyhatch_protocol::Nanos;
use tokio::time::Instant;

/// Measures the time in nanoseconds since an hour before the start of the clock. Copies of a clock share its epoch.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
}

/// The reading of a clock at its start. Far from 0, so that a state machine may subtract a timeout from the current time without
/// underflow.
const READING_AT_START: Duration = Duration::from_secs(3600);

impl Clock {
    /// Starts a clock. Its first reading is one hour.
    pub fn start() -> Self {
        Self { started_at: Instant::now() }
    }

    /// The current time, in nanoseconds of this clock.
    pub fn now(&self) -> Nanos {
        (self.started_at.elapsed() + READING_AT_START).as_nanos() as Nanos
    }

    /// Converts a reading of this clock to the runtime's instant, for use in timers.
    pub fn instant(&self, at: Nanos) -> Instant {
        self.started_at + Duration::from_nanos(at).saturating_sub(READING_AT_START)
    }
}
