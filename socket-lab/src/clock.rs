//! The world's clock, which advances in real time.

use std::cell::Cell;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ivyhatch_lab::Nanos;
use tokio::time::Instant;

/// The clock's time at the world's start, the same as in virtual time: in lists, 0 means "before the world's start".
pub(crate) const START: Nanos = 1_000_000_000;
pub(crate) const NANOS_PER_MS: Nanos = 1_000_000;
pub(crate) const NANOS_PER_SECOND: f64 = 1e9;

#[derive(Clone, Copy)]
struct WorldStart {
    instant: Instant,
    unix_ms: u64,
}

/// A clock that shows [`START`] until the world starts.
pub(crate) struct Clock {
    created: Instant,
    world_start: Cell<Option<WorldStart>>,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self { created: Instant::now(), world_start: Cell::new(None) }
    }

    /// Starts the world: the clock runs from now on.
    pub(crate) fn start(&self) {
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64);
        self.world_start.set(Some(WorldStart { instant: Instant::now(), unix_ms }));
    }

    /// The current time on the world's clock.
    pub(crate) fn now(&self) -> Nanos {
        START + self.elapsed()
    }

    /// Time since the world's start; 0 before.
    pub(crate) fn elapsed(&self) -> Nanos {
        self.world_start.get().map_or(0, |start| start.instant.elapsed().as_nanos() as Nanos)
    }

    /// The instant at which this time has passed since the world's start.
    pub(crate) fn instant(&self, since_start: Nanos) -> Instant {
        let start = self.world_start.get().map_or(self.created, |start| start.instant);
        start + Duration::from_nanos(since_start)
    }

    /// Converts a time on the world's clock to Unix milliseconds, the unit of endpoint lists; 0 before the world's start.
    pub(crate) fn unix_ms(&self, at: Nanos) -> u64 {
        self.world_start.get().map_or(0, |start| start.unix_ms + (at - START) / NANOS_PER_MS)
    }
}
