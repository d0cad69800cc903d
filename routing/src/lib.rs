//! What a router of the system knows and decides beside the design: decides, and does no I/O.
//!
//! The design itself, home under the threshold and the best-scored region beyond it, is `ivyhatch-balancer`'s; here a region is its zone,
//! and a service's servers are its backends. This crate tells it what it can't know by itself.
//!
//! - [`watch_client`]: which control nodes are followed, and what they have told
//! - [`table`]: routes by host and prefix
//! - [`placement`]: where a request may go (homes, cold servers), and what it would meet there
//! - [`engine`]: the time to the first token at a model server
//! - [`prompt`]: a prompt's parts, and where they are kept
//! - [`events`]: a streamed answer, event by event

pub mod engine;
pub mod events;
pub mod placement;
pub mod prompt;
pub mod table;
pub mod watch_client;
