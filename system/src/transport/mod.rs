//! Framed messages over TCP between the processes of the system.
//!
//! A connection carries messages in one direction or in both. Delivery is at most once: messages sent while a connection is down are
//! lost, and the state machines retry. Send queues are bounded in bytes: the connection of a peer that does not read is closed. Large
//! messages are sent as fragments, after all small messages and at a limited rate, so that they delay neither heartbeats nor requests.
//!
//! - [`socket`]: listening sockets, connects, and socket options
//! - [`writer`]: the send queue of a connection
//! - [`reader`]: the receive loop of a connection
//! - [`frame_cache`]: encoded messages that are sent on many connections

pub mod frame_cache;
pub mod reader;
pub mod socket;
pub mod writer;
