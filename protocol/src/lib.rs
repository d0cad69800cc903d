//! The wire formats of the system: messages between its processes, their framing, the settings file and the
//! operator's configuration. The crate encodes, decodes and validates; it opens no sockets and reads no clock.
//!
//! - [`ids`]: nodes, replicas, ballots and partitions
//! - [`peer`]: messages between control nodes
//! - [`watch`]: messages between control nodes and routers
//! - [`coordination`]: applications' calls for locks, numbers, cells and watches
//! - [`registers`]: the registers of a partition of the control state, and updates of these registers
//! - [`server_list`]: the versioned list of servers, and its updates
//! - [`load_exchange`]: datagrams by which routers share the load that each of them has put on servers
//! - [`configuration`]: the operator's configuration: parsing, validation, changes
//! - [`settings`]: the settings file of a process
//! - [`frame`]: the framing of messages in a byte stream
//! - [`compression`]: LZ77 compression of large messages
//! - [`hash`]: hash functions that are the same in every process and release
//!
//! Messages and stored values are encoded with `speedy` in little-endian order, which encodes the fields of a
//! struct and the variants of an enum by position: a field or variant may be renamed, but moving or removing one
//! changes the format and needs a new [`frame::PROTOCOL_VERSION`]. A variant may be added at the end if it is
//! sent only to nodes that are known to support it.

pub mod compression;
pub mod configuration;
pub mod coordination;
pub mod frame;
pub mod hash;
pub mod ids;
pub mod load_exchange;
pub mod peer;
pub mod registers;
pub mod server_list;
pub mod settings;
mod shared;
pub mod watch;

/// A point in time or a duration on a monotonic clock, in nanoseconds. Each process has its own clock, so points in
/// time of two processes can't be compared.
pub type Nanos = u64;
/// Nanoseconds in a millisecond.
pub const MILLISECOND: Nanos = 1_000_000;
/// Nanoseconds in a second.
pub const SECOND: Nanos = 1_000_000_000;
