#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! Whom to probe for a load report, and when. This crate *decides*: in go members, arrivals and the ends of probes,
//! each with the time; out come ids to be probed. It has no sockets, no clock and no threads.
//!
//! The budget is firm and does not grow with the number of servers: a probe is paid for with what arrivals have
//! earned, so `probes <= arrivals x per_request + saved` holds at any time. Within it the order goes by
//! [`Interest`], what a fresh figure would change, and by how long a figure is overdue. Where the budget can't
//! keep all servers' figures fresh, the scheduler keeps to a part of them ([`Ages`] tells how large).
//!
//! | file | concern |
//! | --- | --- |
//! | `budget` | what arrivals earn and probes spend |
//! | `members` | one server's probing: its last figure, its failures, its next turn |
//! | `keep` | the part of the servers that a node keeps to |
//! | `scheduler` | the turns |

mod budget;
mod keep;
mod members;
mod scheduler;

pub use keep::Candidate;
pub use members::{End, Interest};
pub use scheduler::{Ages, Limits, LimitsError, Scheduler};

/// A time or a span, in nanoseconds on the embedder's clock.
pub type Nanos = u64;
/// A server, numbered by the embedder.
pub type Id = u32;
