//! A simulation of a fleet in virtual time: any number of nodes, each with the balancer or a reference policy, against
//! model servers and injected faults. This crate does no I/O: the text of a world and a seed go in, a report comes out, and
//! the same text and seed give the same report.
//!
//! | module | concern |
//! | --- | --- |
//! | `world` | the description of a world: read from TOML, and validated |
//! | `arrivals` | the arrival process: which requests clients send, and when |
//! | `random` | one stream of random numbers for each purpose |
//! | `server` | a model server: queue, degradation, cold start, load reports |
//! | `simulation` | the event loop, with a module for each kind of event |
//! | `policy`, `reference` | the policies that a node can run, and those to compare the balancer with |
//! | `invariants` | the invariants, checked from the outside |
//! | `outcomes`, `report` | records the requests' outcomes; the report |

mod arrivals;
mod invariants;
mod outcomes;
mod policy;
mod random;
mod reference;
mod report;
mod server;
mod simulation;
mod time;
mod world;

pub use arrivals::{Arrivals, ClientRequest};
pub use invariants::{
    ANSWER_SLACK, DRAIN_GRACE, Execution, FinalResponse, Invariant, InvariantChecker, InvariantViolation,
    ListedServer, RequestTerms, ResourceUsage,
};
pub use outcomes::{OutcomeCounts, OutcomeRecorder};
pub use policy::{Policy, PolicyConfig, PolicyConfigError};
pub use random::RandomStream;
pub use report::{ClassReport, Report, SERIES_BUCKETS};
pub use server::{
    Admission, COLD_START_CAPACITY, FinishedJob, Job, OVERLOAD_CRASH_MULTIPLE, OVERLOAD_WINDOW,
    SenderKnowledge, Server, ServerState, StartedJob, WARM_UP_PERIOD,
};
pub use simulation::{ProgressCallback, simulate, simulate_with};
pub use time::Nanos;
pub use world::{
    DiscoverySettings, Fault, FaultKind, RECONNECT_DELAY, RequestClass, ServerGroup, Tenant, Workload, World,
    WorldError,
};

/// The world that runs where none is named.
pub const DEFAULT_WORLD: &str = include_str!("../worlds/evening.toml");

/// The built-in worlds: name and TOML text.
pub const BUILT_IN_WORLDS: [(&str, &str); 2] =
    [("evening", DEFAULT_WORLD), ("paper", include_str!("../worlds/paper.toml"))];
