//! What a router knows and decides beside its load balancer. The crate decides and does no I/O: time and events go in, outputs and
//! answers come out.
//!
//! The load balancer itself, which prefers the home zone below a threshold and the best-scored zone beyond it, is
//! `ivyhatch-balancer`; a region is one of its zones, and a service's servers are its backends. This crate gives it the advice that
//! it can't work out by itself.
//!
//! - [`watch_client`]: the router's watch on the control plane
//! - [`router_share`]: its index among all routers, by which common limits are divided
//! - [`route_table`]: routes by host and path prefix
//! - [`placement`]: which servers a request may be sent to (home regions, slow start, back-off), and its latency there
//! - [`time_to_first_token`], [`load_report`]: the latency of a model server
//! - [`prompt`], [`prefix_cache`]: a prompt's shared segments, and the servers that have them cached
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
