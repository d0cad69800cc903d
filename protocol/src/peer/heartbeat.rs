//! The heartbeat of a control node.

use speedy::{Readable, Writable};

use super::membership::ReplicaStatus;
use crate::ids::{NodeId, PartitionId};
use crate::watch::ServerListPosition;

/// A control node's periodic report to all other control nodes.
///
/// Within one incarnation a receiver keeps the heartbeat with the highest sequence; one of another
/// incarnation replaces it. It fetches whatever the sender has a newer version of.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Heartbeat {
    /// Random number drawn when the sender's process started.
    pub incarnation: u64,
    /// Rises by one with each heartbeat of the incarnation.
    pub sequence: u64,
    /// The id of the sender's disk; see [`crate::ids::ReplicaId`]. A node without a disk can't become a
    /// voter.
    pub disk: Option<u64>,
    /// The zone of the sender's machine.
    pub zone: String,
    /// The sender's part in the membership.
    pub status: ReplicaStatus,
    /// The generation of the newest membership that the sender knows; 0 for none. A receiver with a newer one
    /// sends it.
    pub generation: u64,
    /// Whether the sender is shutting down. Leadership and singleton roles move to other nodes meanwhile.
    pub draining: bool,
    /// The nodes that the sender has received a message from within its failure timeout. The receiver has a
    /// connection in both directions if it is one of them.
    pub reachable: Vec<NodeId>,
    /// Whether the sender has connections in both directions with a quorum of the voters, itself included.
    pub has_quorum: bool,
    /// Whether the sender can read the server list from the platform, which makes it eligible for that
    /// singleton role.
    pub can_read_server_list: bool,
    /// The number of the last committed change of each partition, in the order of
    /// [`crate::ids::PartitionId::all`]. The receiver fetches changes that are newer than its own. One more
    /// element, which releases before registers ignore, marks a sender that supports registers.
    pub committed: Vec<u64>,
    /// The position of the sender's server list. A receiver with an older one requests the list.
    pub server_list: ServerListPosition,
}

/// The element of [`Heartbeat::committed`] behind those of the partitions.
const REGISTERS_SUPPORTED: u64 = 1;

impl Heartbeat {
    /// The content of [`Heartbeat::committed`] of a sender that supports registers.
    pub fn committed_with_registers(committed: impl IntoIterator<Item = u64>) -> Vec<u64> {
        committed.into_iter().chain([REGISTERS_SUPPORTED]).collect()
    }

    /// Whether the sender understands consensus messages that carry registers.
    pub fn supports_registers(&self) -> bool {
        self.committed.get(PartitionId::all().count()) == Some(&REGISTERS_SUPPORTED)
    }
}
