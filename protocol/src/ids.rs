//! Identifiers of nodes, replicas, ballots and partitions.

use std::fmt;
use std::net::Ipv4Addr;

use speedy::{Readable, Writable};

use crate::hash::fnv1a_hash;

/// A control node or a router, identified by the IPv4 address of its machine. The id survives a restart of
/// the process; [`Ballot::incarnation`] and [`crate::peer::Heartbeat::incarnation`] distinguish its processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct NodeId(pub u32);

impl NodeId {
    /// The address of the node's machine.
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

/// A replica of the control state: one formatted disk on one machine.
///
/// Quorums count replicas, not nodes. A machine that restarts with an empty disk has lost the promises of its
/// replica, so it is a new replica and must not vote in place of the old one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct ReplicaId {
    /// The machine that has the disk.
    pub node: NodeId,
    /// Random number drawn when the disk was formatted.
    pub disk: u64,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:08x}", self.node, self.disk >> 32)
    }
}

/// A proposal number (Lamport, "Paxos Made Simple", section 2.2), ordered by counter, node, incarnation.
///
/// A ballot identifies one term of leadership of a partition. An acceptor that has promised a ballot rejects
/// all lower ballots, so a ballot also serves as a fencing token. No two terms share a ballot, because the
/// incarnation is drawn at random at each start of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Ballot {
    /// Greater than the counter of every ballot that the candidate knew of.
    pub counter: u64,
    /// The candidate's node.
    pub node: NodeId,
    /// The incarnation of the candidate's process.
    pub incarnation: u64,
}

impl fmt::Display for Ballot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.counter, self.node)
    }
}

/// The number of partitions over which the keys of the control state are hashed. The configuration is in a
/// separate partition.
pub const HASHED_PARTITIONS: u8 = 8;

/// The number of partitions over which applications' names are hashed. These partitions are separate from those of
/// the control state, so that load from applications does not delay changes of the control state, and nodes of
/// releases without these partitions never receive registers of applications.
pub const COORDINATION_PARTITIONS: u8 = 8;
/// The index of the first coordination partition; the index before it is that of [`PartitionId::MEMBERSHIP`].
const FIRST_COORDINATION_PARTITION: u8 = HASHED_PARTITIONS + 2;

/// A partition of the control state. Each one is replicated by its own consensus instance and has its own
/// leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct PartitionId(pub u8);

impl PartitionId {
    /// The partition of the operator's configuration.
    pub const CONFIGURATION: Self = Self(0);
    /// The partition in which the next membership is chosen. Its state is replaced with each membership, so
    /// [`PartitionId::all`] does not include this partition.
    pub const MEMBERSHIP: Self = Self(HASHED_PARTITIONS + 1);

    /// The partitions with durable state in ascending order: [`PartitionId::control`], then
    /// [`PartitionId::coordination`].
    pub fn all() -> impl Iterator<Item = Self> {
        Self::control().chain(Self::coordination())
    }

    /// The partitions of the control state in ascending order: that of the configuration, then the hashed
    /// partitions.
    pub fn control() -> impl Iterator<Item = Self> {
        (0..=HASHED_PARTITIONS).map(Self)
    }

    /// The partitions of applications' locks, numbers and cells, in ascending order.
    pub fn coordination() -> impl Iterator<Item = Self> {
        (FIRST_COORDINATION_PARTITION..FIRST_COORDINATION_PARTITION + COORDINATION_PARTITIONS).map(Self)
    }

    /// Whether [`PartitionId::coordination`] includes this partition.
    pub fn is_coordination(self) -> bool {
        self.0 >= FIRST_COORDINATION_PARTITION
    }

    /// The partition of the lock, the number or the group of cells that an application has under this name.
    pub fn for_coordination(name: &str) -> Self {
        let index = fnv1a_hash(name.as_bytes()) % u64::from(COORDINATION_PARTITIONS);
        Self(FIRST_COORDINATION_PARTITION + index as u8)
    }

    /// The partition that holds a key: the name of a service, of a zone or of a singleton role.
    pub fn for_key(key: &str) -> Self {
        Self(1 + (fnv1a_hash(key.as_bytes()) % u64::from(HASHED_PARTITIONS)) as u8)
    }
}
