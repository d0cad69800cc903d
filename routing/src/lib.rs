//! What a router of the system knows and decides beside the design: decides, and does no I/O.
//!
//! The design itself, home under the threshold and the best-scored region beyond it, is `ivyhatch-balancer`'s; here a region is its zone,
//! and a service's servers are its backends. This crate tells it what it can't know by itself.
//!
//! - [`watch_client`]: which control nodes are followed, and what they have told
//! - [`route_table`]: routes by host and prefix
//! - [`placement`]: where a request may go (homes, cold servers), and what it would meet there
//! - [`time_to_first_token`]: the time to the first token at a model server
//! - [`prefix_cache`]: a prompt's parts, and where they are kept
//! - [`event_stream`]: a streamed answer, event by event

pub mod event_stream;
pub mod placement;
pub mod prefix_cache;
pub mod route_table;
pub mod router_share;
pub mod time_to_first_token;
pub mod watch_client;
