//! The servers of a service that a request may be sent to, and its expected latency at each: home regions, slow start, back-off from
//! unreachable servers, and the queues and prefix caches of model servers. The load balancer uses this as advice and selects the
//! region and the server.

mod advisor;
mod affinity;
mod backoff;
mod region_reachability;
mod request;
mod server;
mod service_placement;
mod slow_start;

pub use advisor::SharedPlacement;
pub use request::RegionSet;
pub use server::ListedServer;
pub use service_placement::{Placement, ServiceSettings};
pub use slow_start::SlowStartLimit;
