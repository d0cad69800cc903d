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
    /// The number of the last committed change of each partition of the control state, in the order of
    /// [`PartitionId::control`]; one element that marks a sender that supports registers; and the same numbers of
    /// [`PartitionId::coordination`], by a sender that has these partitions. Each release ignores the elements behind those that it
    /// knows. See [`Heartbeat::committed_changes`].
    pub committed: Vec<u64>,
    /// The position of the sender's server list. A receiver with an older one requests the list.
    pub server_list: ServerListPosition,
}

/// The element of [`Heartbeat::committed`] behind those of the control state.
const REGISTERS_SUPPORTED: u64 = 1;

impl Heartbeat {
    /// The content of [`Heartbeat::committed`]: the numbers of the last committed changes of the partitions of the control state, and of
    /// those of applications, where the sender has them.
    pub fn encode_committed(has_coordination: bool, committed: impl Fn(PartitionId) -> u64) -> Vec<u64> {
        let control = PartitionId::control().map(&committed);
        let coordination = PartitionId::coordination().filter(|_| has_coordination).map(&committed);
        control.chain([REGISTERS_SUPPORTED]).chain(coordination).collect()
    }

    /// The number of the last committed change of each partition that the sender knows.
    pub fn committed_changes(&self) -> impl Iterator<Item = (PartitionId, u64)> {
        let control = PartitionId::control().zip(self.committed.iter().copied());
        let behind_mark = self.committed.iter().skip(PartitionId::control().count() + 1).copied();
        control.chain(PartitionId::coordination().zip(behind_mark))
    }

    /// Whether the sender understands consensus messages that carry registers.
    pub fn supports_registers(&self) -> bool {
        self.committed.get(PartitionId::control().count()) == Some(&REGISTERS_SUPPORTED)
    }

    /// Whether the sender has the partitions of [`PartitionId::coordination`].
    pub fn supports_coordination(&self) -> bool {
        self.supports_registers() && self.committed.len() > PartitionId::control().count() + 1
    }
}
