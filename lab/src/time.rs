//! Time on a world's clock.

/// A time or a span in nanoseconds of the world's clock.
pub type Nanos = u64;

/// One millisecond.
pub(crate) const MS: Nanos = 1_000_000;
/// One second.
pub(crate) const SECOND: Nanos = 1_000 * MS;

pub(crate) fn nanos_from_seconds(seconds: f64) -> Nanos {
    (seconds * 1e9) as Nanos
}

pub(crate) fn nanos_from_ms(milliseconds: f64) -> Nanos {
    (milliseconds * 1e6) as Nanos
}
