//! The unit of time.

/// A point in time or a duration in nanoseconds; points in time are on the embedder's monotonic clock.
pub type Nanos = u64;

/// One millisecond.
pub(crate) const MILLISECOND: Nanos = 1_000_000;
/// One second.
pub(crate) const SECOND: Nanos = 1000 * MILLISECOND;
