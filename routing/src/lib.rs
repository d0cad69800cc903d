//! The state and the decisions of a router, except for load balancing. The crate does no I/O: its state machines take times and
//! events as input and return outputs and decisions.
//!
//! Load balancing is the task of `ivyhatch-balancer`, which prefers the home zone below a load threshold and the best-scored zone
//! above it. A region of the deployment is a zone of the balancer, and the servers of a service are its backends. This crate gives
//! the balancer the placement advice that depends on regions, prompts and other routers, which are unknown to the balancer.
//!
//! - [`watch_client`]: the router's watch on the control plane
//! - [`router_share`]: the number of routers and this router's index, which determine its share of limits common to all routers
//! - [`route_table`]: routes by host and path prefix
//! - [`placement`]: the servers that a request may be sent to (home regions, slow start, back-off), and its expected latency there
//! - [`time_to_first_token`], [`load_report`]: the latency and the reported load of a model server
//! - [`prompt`], [`prefix_cache`]: a prompt's shared segments, and the segments that each server has cached
//! - [`event_stream`]: framing of a streamed response into events

pub mod event_stream;
pub mod load_report;
pub mod placement;
pub mod prefix_cache;
pub mod prompt;
pub mod route_table;
pub mod router_share;
pub mod time_to_first_token;
pub mod watch_client;
