//! The names of nodes, ballots and parts.

use std::fmt;
use std::net::Ipv4Addr;

use speedy::{Readable, Writable};

/// A process that serves control, or a router: the address of its machine, at which it also comes back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct NodeId(pub u32);

impl NodeId {
    /// The address.
    pub fn ip(self) -> Ipv4Addr {
        Ipv4Addr::from_bits(self.0)
    }
}

impl From<Ipv4Addr> for NodeId {
    fn from(ip: Ipv4Addr) -> Self {
        Self(ip.to_bits())
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.ip().fmt(f)
    }
}

/// A replica of the control state: a disk that was formatted on a machine. What is counted in an agreement is counted by replica,
/// so that a machine that has lost its disk can't be taken for the one that voted before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct ReplicaId {
    /// The machine.
    pub node: NodeId,
    /// Drawn by chance when the disk was formatted.
    pub disk: u64,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:08x}", self.node, self.disk >> 32)
    }
}

/// The time of one owner of a part. Who has promised one refuses all that are lower. No two owners, and no two lives of one
/// owner, ever share one: the life's number is drawn by chance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Ballot {
    /// Rises with each owner.
    pub counter: u64,
    /// Whose it is.
    pub node: NodeId,
    /// The number of that node's life.
    pub incarnation: u64,
}

impl fmt::Display for Ballot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.counter, self.node)
    }
}

/// Parts that keys fall into by their hash, beside the one for the configuration.
pub const HASHED_PARTITIONS: u8 = 8;

/// A part of the control state: decided on, stored and owned by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct PartitionId(pub u8);

impl PartitionId {
    /// Holds the configuration.
    pub const CONFIGURATION: Self = Self(0);
    /// Decides on the next membership. It holds no state beyond that, and is none of [`PartitionId::all`].
    pub const MEMBERSHIP: Self = Self(HASHED_PARTITIONS + 1);

    /// All parts that hold state.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..=HASHED_PARTITIONS).map(Self)
    }

    /// The part of a key: of a service, a zone, or a duty.
    pub fn for_key(key: &str) -> Self {
        Self(1 + (fnv1a_hash(key.as_bytes()) % u64::from(HASHED_PARTITIONS)) as u8)
    }
}

/// A hash that is the same in every process and in every version (FNV-1a with a final mix, so that all bits count).
pub fn fnv1a_hash(bytes: &[u8]) -> u64 {
    let folded = bytes.iter().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    });
    hash_mix(folded)
}

/// Spreads the bits of a number.
pub fn hash_mix(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
