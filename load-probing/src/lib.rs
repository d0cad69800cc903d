//! Schedules probes for load reports: which server to probe next, and when. Decides only: calls come in with
//! the time, ids of servers to probe come out; there are no sockets, no clock and no threads.
//!
//! The budget is firm and does not grow with the number of servers: each request adds a fraction of a probe,
//! so that `probes <= requests * probes_per_request + max_saved_probes` holds at any time. Within the budget,
//! servers are probed by [`Priority`], and by how overdue their probe is relative to their interval. If the
//! budget can't keep the reports of all servers fresh, the scheduler probes a stable subset of them.
//!
//! - [`Scheduler`]: the schedule
//! - `budget`: the token bucket that requests fill and probes drain
//! - `limits`: the limits of a scheduler
//! - `subset`: which servers to probe if they are too many
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

/// A moment or a span of the embedder's monotonic clock, in nanoseconds.
pub type Nanos = u64;
/// A server, as the embedder numbers it.
pub type ServerId = u32;

/// One millisecond.
const MILLISECOND: Nanos = 1_000_000;
/// One second.
const SECOND: Nanos = 1000 * MILLISECOND;
