//! Framed messages over TCP between the processes of the system.
//!
//! A connection carries messages in one direction or in both. Delivery is at most once: what is sent while a connection is down is
//! lost, and the state machines on top ask again. Queues are bounded in bytes: a peer that does not read has its connection closed.
//! Large messages travel as fragments, behind all small ones and rate limited, so that they delay neither heartbeats nor requests.
//!
//! - [`socket`]: listening, connecting, options
//! - [`writer`]: the send queue of a connection
//! - [`reader`]: the receive loop of a connection
//! - [`frame_cache`]: the encoded form of a message that goes to many connections

pub mod frame_cache;
pub mod reader;
pub mod socket;
pub mod writer;
