//! The world's clock in real time.

use std::cell::Cell;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ivyhatch_lab::Nanos;
use tokio::time::Instant;

/// The clock at the world's start, as in virtual time: 0 means "before the world's start" in lists.
pub(crate) const START: Nanos = 1_000_000_000;
pub(crate) const NANOS_PER_MS: Nanos = 1_000_000;
pub(crate) const NANOS_PER_SECOND: f64 = 1e9;

#[derive(Clone, Copy)]
struct WorldStart {
    instant: Instant,
    unix_ms: u64,
}

/// A clock that stands at [`START`] until the world starts.
pub(crate) struct Clock {
    created: Instant,
    world_start: Cell<Option<WorldStart>>,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self { created: Instant::now(), world_start: Cell::new(None) }
    }

    /// Starts the world: from now on clients arrive.
    pub(crate) fn start(&self) {
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64);
        self.world_start.set(Some(WorldStart { instant: Instant::now(), unix_ms }));
    }

    /// The time on the world's clock.
    pub(crate) fn now(&self) -> Nanos {
        START + self.elapsed()
    }

    /// Time since the world's start.
    pub(crate) fn elapsed(&self) -> Nanos {
        self.world_start.get().map_or(0, |start| start.instant.elapsed().as_nanos() as Nanos)
    }

    /// The instant of a time since the world's start.
    pub(crate) fn instant(&self, since_start: Nanos) -> Instant {
        let start = self.world_start.get().map_or(self.created, |start| start.instant);
        start + Duration::from_nanos(since_start)
    }

    /// A time on the world's clock in Unix milliseconds, as membership lists have it.
    pub(crate) fn unix_ms(&self, at: Nanos) -> u64 {
        self.world_start.get().map_or(0, |start| start.unix_ms + (at - START) / NANOS_PER_MS)
    }
}
