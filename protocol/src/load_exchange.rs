//! Datagrams by which routers share the load that they have put on model servers.
//!
//! A router reports to one control node what it has at each server, and is answered with what all other routers have at the servers of the
//! control node's region, and from time to time with what they have elsewhere. Control nodes send each other the sums over their
//! routers, to other regions for the receiver's servers, and from time to time for their own. A datagram replaces the one before of its
//! kind from the same sender; a lost one costs nothing but the age of what the next one brings.

use speedy::{Readable, Writable};

/// The first byte of each datagram. Another format gets another one, and is ignored by those who do not know it.
const FORMAT: u8 = 1;
/// The tokens that one unit of [`ServerLoad::queued_units`] stands for.
const TOKENS_PER_UNIT: u64 = 64;
/// The most servers in a datagram, so that it fits into one Ethernet frame.
pub const MAX_SERVERS: usize = 160;

/// What one router, or several, have at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ServerLoad {
    /// The server, by [`server_key`].
    pub server: u32,
    /// Prompt tokens of requests that have no response yet, in units of 64.
    pub queued_units: u16,
    /// Requests that have not ended.
    pub in_flight: u16,
}

impl ServerLoad {
    /// The load of so many queued prompt tokens and requests, rounded up to whole units.
    pub fn new(server: u32, queued_tokens: u64, in_flight: u32) -> Self {
        let queued_units = queued_tokens.div_ceil(TOKENS_PER_UNIT).min(u64::from(u16::MAX)) as u16;
        Self { server, queued_units, in_flight: in_flight.min(u32::from(u16::MAX)) as u16 }
    }

    /// Prompt tokens of requests that have no response yet.
    pub fn queued_tokens(&self) -> u64 {
        u64::from(self.queued_units) * TOKENS_PER_UNIT
    }
}

/// A server in a datagram: 32 bits of the hash of its id, by [`crate::hash::fnv1a_hash`]. Two servers that share them are taken for one, which is harmless: each
/// looks busier than it is.
pub fn server_key(id_hash: u64) -> u32 {
    (id_hash >> u32::BITS) as u32
}

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum LoadDatagram {
    /// From a router to a control node: what the router has at servers.
    Report(Vec<ServerLoad>),
    /// From a control node to a router, in answer: what all other routers have at the servers of the control node's region.
    Summary(Vec<ServerLoad>),
    /// From a control node to another: what the routers that report to the sender have; for one in another region, at the servers of
    /// that region.
    Exchange(Vec<ServerLoad>),
    /// From a control node to a router: what all other routers have at the servers of other regions.
    RemoteSummary(Vec<ServerLoad>),
    /// From a control node to one in another region: what the routers that report to the sender have at the servers of the sender's
    /// region.
    RemoteExchange(Vec<ServerLoad>),
}

impl LoadDatagram {
    /// The bytes of the datagram. Of more than [`MAX_SERVERS`] servers those with the least queued are left out.
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
        // Writing to a vector fails for no value of these types.
        bytes.extend(self.write_to_vec().unwrap_or_default());
        bytes
    }

    /// The datagram of these bytes. None where they are of another format, or damaged.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (format, rest) = bytes.split_first()?;
        if *format == FORMAT { Self::read_from_buffer(rest).ok() } else { None }
    }
}
