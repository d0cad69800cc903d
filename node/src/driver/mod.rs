//! Connects the sans-I/O [`Balancer`](ivyhatch_balancer::Balancer) to the sockets: events go in, actions come out, and what an
//! action asks of the network is left to a [`Transport`]. Nothing is decided here.

mod attempts;
mod backend_directory;
mod clock;
mod dispatch;
mod health_checks;
mod ids;
mod node;
mod request_table;
mod requests;
mod timers;

pub use attempts::{AttemptResult, AttemptStart};
pub use backend_directory::BackendRecord;
pub use clock::Clock;
pub use health_checks::ProbeStart;
pub use node::{BackendView, Node, RequestClass, Transport};
pub use requests::{ClientRequest, ForwardedRequest, Reply};

#[cfg(test)]
mod driver_tests;
