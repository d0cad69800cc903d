//! Schedules probes for load reports: which server to probe next, and when. It makes decisions only: the
//! inputs are calls with the time, and the outputs are ids of servers to probe. There are no sockets, no
//! clock and no threads.
//!
//! The budget is a hard limit that does not grow with the number of servers: each request adds a fraction of
//! a probe, so that `probes <= requests * probes_per_request + max_saved_probes` holds at any time. Within
//! the budget, servers are probed by [`Priority`], and by how overdue their probe is relative to their
//! interval. If the budget can't keep the reports of all servers fresh, the scheduler probes a stable subset
//! of them.
//!
//! - [`Scheduler`]: the schedule
//! - `budget`: the token bucket that requests fill and probes drain
//! - `limits`: the limits of a scheduler
//! - `subset`: the choice of a subset of servers if there are too many
//! - `target`: the schedule of one server

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod budget;
mod limits;
mod scheduler;
mod subset;
mod target;

pub use limits::{Limits, LimitsError, SubsetSize};
pub use scheduler::{Scheduler, SchedulerStats};
pub use subset::Candidate;
pub use target::{Priority, ProbeOutcome};

/// A point in time or a duration in nanoseconds; points in time are on the embedder's monotonic clock.
pub type Nanos = u64;
/// A server: a number that the embedder assigns.
pub type ServerId = u32;

/// One millisecond.
const MILLISECOND: Nanos = 1_000_000;
/// One second.
const SECOND: Nanos = 1000 * MILLISECOND;
