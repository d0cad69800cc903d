//! Time on a world's clock, which is virtual in simulations.

/// A time or a duration, in nanoseconds of the world's clock.
pub type Nanos = u64;

pub(crate) const MS: Nanos = 1_000_000;
pub(crate) const SECOND: Nanos = 1_000 * MS;

pub(crate) fn nanos_from_seconds(seconds: f64) -> Nanos {
    (seconds * 1e9) as Nanos
}

pub(crate) fn nanos_from_ms(milliseconds: f64) -> Nanos {
    (milliseconds * 1e6) as Nanos
}
