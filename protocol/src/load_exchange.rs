//! Datagrams by which routers share the load that each of them has put on model servers.
//!
//! A router reports its load on each server to one control node. The control node answers with the load of all other
//! routers on the servers of the control node's region, and less often with their load on servers of other regions.
//! Control nodes send each other the sums over the routers that report to them. A node of another region receives the
//! sums for the servers of its own region and, less often, the sums for the servers of the sender's region. A datagram
//! replaces the previous one of the same kind from the same sender; if a datagram is lost, the receiver's data are
//! stale until the next one arrives.

use speedy::{Readable, Writable};

/// The format version, the first byte of each datagram. Receivers ignore datagrams of a version that they don't know.
const FORMAT: u8 = 1;
/// Tokens per unit of [`ServerLoad::queued_units`].
const TOKENS_PER_UNIT: u64 = 64;
/// The maximum number of servers in a datagram, so that the datagram fits in one Ethernet frame.
pub const MAX_SERVERS: usize = 160;

/// The load that one or several routers have put on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ServerLoad {
    /// The server's key; see [`server_key`].
    pub server: u32,
    /// Prompt tokens of requests that have no response yet, in units of 64 tokens.
    pub queued_units: u16,
    /// The number of requests in flight: those that have not ended.
    pub in_flight: u16,
}

impl ServerLoad {
    /// Creates the load from a number of queued prompt tokens, rounded up to whole units, and a number of requests in
    /// flight. Units and requests are capped at [`u16::MAX`].
    pub fn new(server: u32, queued_tokens: u64, in_flight: u32) -> Self {
        let queued_units = queued_tokens.div_ceil(TOKENS_PER_UNIT).min(u64::from(u16::MAX)) as u16;
        Self { server, queued_units, in_flight: in_flight.min(u32::from(u16::MAX)) as u16 }
    }

    /// Prompt tokens of requests that have no response yet, as a multiple of 64.
    pub fn queued_tokens(&self) -> u64 {
        u64::from(self.queued_units) * TOKENS_PER_UNIT
    }
}

/// The key of a server in a datagram: the upper 32 bits of the hash of the server's id by
/// [`crate::hash::fnv1a_hash`]. The loads of two servers with the same key are not distinguished, which is harmless: each
/// of the two looks busier than it is.
pub fn server_key(id_hash: u64) -> u32 {
    (id_hash >> u32::BITS) as u32
}

/// A datagram of the load exchange.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum LoadDatagram {
    /// From a router to a control node: the router's load on servers.
    Report(Vec<ServerLoad>),
    /// From a control node to a router, in answer to [`LoadDatagram::Report`]: the load of all other routers on the
    /// servers of the control node's region.
    Summary(Vec<ServerLoad>),
    /// From a control node to another one: the load of the routers that report to the sender. For a receiver in another
    /// region, only the load on the servers of that region.
    Exchange(Vec<ServerLoad>),
    /// From a control node to a router: the load of all other routers on the servers of other regions.
    RemoteSummary(Vec<ServerLoad>),
    /// From a control node to one in another region: the load of the routers that report to the sender, on the servers
    /// of the sender's region.
    RemoteExchange(Vec<ServerLoad>),
}

impl LoadDatagram {
    /// Encodes the datagram. If it has more than [`MAX_SERVERS`] servers, those with the fewest queued tokens are left
    /// out.
    pub fn encode(mut self) -> Vec<u8> {
        let (Self::Report(loads)
        | Self::Summary(loads)
        | Self::Exchange(loads)
        | Self::RemoteSummary(loads)
        | Self::RemoteExchange(loads)) = &mut self;
        if loads.len() > MAX_SERVERS {
            loads.sort_unstable_by_key(|load| std::cmp::Reverse((load.queued_units, load.in_flight)));
            loads.truncate(MAX_SERVERS);
        }
        let mut bytes = vec![FORMAT];
        // Encoding to memory can't fail for these types.
        bytes.extend(self.write_to_vec().unwrap_or_default());
        bytes
    }

    /// Decodes a datagram; `None` if the bytes have another format version or are corrupted.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (format, rest) = bytes.split_first()?;
        if *format == FORMAT { Self::read_from_buffer(rest).ok() } else { None }
    }
}
