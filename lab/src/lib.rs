//! The lab: a model of the fleet, played in virtual time. This crate *decides* nothing and does no I/O: a world's text
//! goes in, a report comes out, and the same text and seed give the same report.
//!
//! | file | concern |
//! | --- | --- |
//! | `world` | what a world is made of, read from TOML and checked |
//! | `arrivals` | who asks, and when, whatever becomes of them |
//! | `random` | randomness split by purpose, so that one more draw does not move all others |
//! | `server` | a server: cores, queue, choking, warming up and falling over, connections, load reports that lag |
//! | `play` | one world and any number of nodes, event by event: `clients`, `links`, `servers`, `troubles` |
//! | `reference` | policies to compare the decision module with |
//! | `oracle` | the four rules, checked from the outside |
//! | `report` | what came out |

mod arrivals;
mod oracle;
mod play;
mod random;
mod reference;
mod report;
mod server;
mod world;

pub use arrivals::{Arrivals, ClientRequest};
pub use oracle::{ANSWER_SLACK, DRAIN_GRACE, Invariant, InvariantChecker, InvariantViolation};
pub use play::{PolicyConfig, Progress, simulate, simulate_with};
pub use random::RandomStream;
pub use reference::Policy;
pub use report::{ClassReport, OutcomeCounts, OutcomeRecorder, Report, SERIES_BUCKETS};
pub use server::{
    Admission, COLD_START_CAPACITY, Job, OVERLOAD_CRASH_MULTIPLE, OVERLOAD_WINDOW, Server, ServerState,
    WARM_UP_PERIOD,
};
pub use world::{
    DiscoverySettings, Fault, FaultKind, RECONNECT_DELAY, RequestClass, ServerGroup, Tenant, Workload, World,
    WorldError,
};

/// A time or a span in nanoseconds of the world's clock.
pub type Nanos = u64;

/// The world that is played where none is named.
pub const DEFAULT_WORLD: &str = include_str!("../worlds/evening.toml");

/// The worlds that are built in, by name.
pub const BUILT_IN_WORLDS: [(&str, &str); 2] =
    [("evening", DEFAULT_WORLD), ("paper", include_str!("../worlds/paper.toml"))];
