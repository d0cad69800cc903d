//! A simulation of a fleet in virtual time: any number of nodes, each running the balancer or a reference policy, with
//! model servers and injected faults. This crate does no I/O: the inputs are the text of a world and a seed, the output is a
//! report, and the same text and seed give the same report.
//!
//! | module | concern |
//! | --- | --- |
//! | `world` | the description of a world: read from TOML, and validated |
//! | `arrivals` | the arrival process: which requests clients send, and when |
//! | `random` | one stream of random numbers for each purpose |
//! | `server` | a model server: queue, degradation, cold start, load reports |
//! | `simulation` | the event loop, with a module for each kind of event |
//! | `policy`, `reference` | the configuration of policies, and the reference policies that the balancer is compared with |
//! | `invariants` | the invariants, checked on the messages between nodes, clients and servers |
//! | `outcomes`, `report` | the recorder of the requests' outcomes, and the report |

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

/// TOML text of the world that is simulated when the user names none.
pub const DEFAULT_WORLD: &str = include_str!("../worlds/evening.toml");

/// The built-in worlds: name and TOML text.
pub const BUILT_IN_WORLDS: [(&str, &str); 2] =
    [("evening", DEFAULT_WORLD), ("paper", include_str!("../worlds/paper.toml"))];
