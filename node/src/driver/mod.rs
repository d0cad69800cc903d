//! Connects the sans-I/O [`Balancer`](ivyhatch_balancer::Balancer) to the sockets: passes events to the balancer, and carries out
//! the balancer's actions, those on the network by a [`Transport`]. Routing decisions are made in the balancer only.

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
