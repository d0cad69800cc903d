//! What the processes of the system say to each other, what each is told at its start, and the operator's configuration.
//! Decides what is well formed and nothing else: no sockets, no clock. Bytes go in, messages come out, and back.
//!
//! - [`ids`]: the names of nodes, ballots and parts
//! - [`peer`]: between control nodes
//! - [`watch`]: between a control node and those who follow it
//! - [`frame`]: how messages stand in a stream of bytes
//! - [`compression`]: how large messages are made small
//! - [`server_list`]: the platform's list, as its reader makes it up and all others follow it
//! - [`settings`]: the settings file of a process
//! - [`configuration`]: the operator's configuration, how it is checked, changed and compared

pub mod compression;
pub mod configuration;
pub mod frame;
pub mod ids;
pub mod peer;
pub mod server_list;
pub mod settings;
pub mod watch;

/// A time or a span on the steady clock, in nanoseconds. No wall clock decides anything in the system.
pub type Nanos = u64;
/// A millisecond.
pub const MILLISECOND: Nanos = 1_000_000;
/// A second.
pub const SECOND: Nanos = 1_000_000_000;
