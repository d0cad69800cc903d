//! The steady clock of a process. The time of day jumps on some machines; it decides nothing.

use std::time::{Duration, Instant};

use ivyhatch_protocol::Nanos;

/// Counts from the process's start.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

/// The clock starts an hour in: what compares with times before the start never meets 0.
const BEFORE: Duration = Duration::from_secs(3600);

impl Clock {
    /// Starts now.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// The present.
    pub fn now(&self) -> Nanos {
        (self.0.elapsed() + BEFORE).as_nanos() as Nanos
    }

    /// The runtime's time for one of this clock's.
    pub fn instant(&self, at: Nanos) -> tokio::time::Instant {
        (self.0 + Duration::from_nanos(at).saturating_sub(BEFORE)).into()
    }
}
