//! Decides which servers to probe for a load report, and when. Sans-I/O: in go candidates, arrivals and the
//! ends of probes, each with the time; out come the servers to probe. It has no sockets, no clock and no
//! threads.
//!
//! The budget is firm and does not grow with the number of servers: a probe is paid for with what arrivals
//! have earned, so `probes <= arrivals * probes_per_request + max_saved_probes` holds at any time. Within
//! it the order goes by [`Priority`], what a fresh report would change, and by how long a report is
//! overdue. Where the budget cannot keep all servers' reports fresh, the scheduler tracks a part of the
//! servers ([`ReportAges`] says how large).
//!
//! | module | concern |
//! | --- | --- |
//! | `limits` | the bounds of a scheduler, and their validation |
//! | `budget` | what arrivals earn and probes spend |
//! | `tracking` | which of the candidates are tracked |
//! | `target` | one tracked server: its last report, its failures, its next probe |
//! | `scheduler` | the order of the probes |

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod budget;
mod limits;
mod scheduler;
mod target;
mod tracking;

pub use limits::{Limits, LimitsError};
pub use scheduler::{ReportAges, Scheduler};
pub use target::{Priority, ProbeOutcome};
pub use tracking::Candidate;

/// A moment or a span in nanoseconds; moments are on the embedder's clock.
pub type Nanos = u64;
/// A server, numbered by the embedder.
pub type Id = u32;

const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1000 * MILLISECOND;
