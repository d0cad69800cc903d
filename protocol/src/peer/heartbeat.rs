//! The heartbeat of a control node.

use speedy::{Readable, Writable};

use super::membership::ReplicaStatus;
use crate::ids::{NodeId, PartitionId};
use crate::watch::ServerListPosition;

/// A control node's periodic report to all other control nodes.
///
/// A receiver keeps the sender's latest heartbeat: within one incarnation the one with the highest sequence. A
/// heartbeat of another incarnation replaces it. The receiver fetches all state of which the sender has a newer
/// version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Heartbeat {
    /// Random number drawn when the sender's process started.
    pub incarnation: u64,
    /// The number of the heartbeat; it increases by one with each heartbeat of the incarnation.
    pub sequence: u64,
    /// The id of the sender's disk, see [`crate::ids::ReplicaId`]; `None` for a node without a disk, which can't
    /// become a voter.
    pub disk: Option<u64>,
    /// The zone of the sender's machine.
    pub zone: String,
    /// The sender's role in the membership.
    pub status: ReplicaStatus,
    /// The generation of the newest membership that the sender knows; 0 for none. A receiver with a newer
    /// membership sends it to the sender.
    pub generation: u64,
    /// Whether the sender is shutting down. Its leadership and singleton roles move to other nodes.
    pub draining: bool,
    /// The nodes from which the sender has received a message within its failure timeout. If the receiver is one of
    /// these nodes, messages between the two arrive in both directions.
    pub reachable: Vec<NodeId>,
    /// Whether the sender has connections in both directions with a quorum of the voters, including the sender.
    pub has_quorum: bool,
    /// Whether the sender can read the server list from the platform, which makes it eligible for the singleton role
    /// of the reader.
    pub can_read_server_list: bool,
    /// The number of the last committed change of each partition of the control state, in the order of
    /// [`PartitionId::control`]; then one element that marks a sender that supports registers; then the same numbers for
    /// [`PartitionId::coordination`], if the sender has these partitions. Each release ignores the elements after those
    /// that it knows. See [`Heartbeat::committed_changes`].
    pub committed: Vec<u64>,
    /// The position of the sender's server list. A receiver with an older list requests the sender's.
    pub server_list: ServerListPosition,
}

/// The value of the element of [`Heartbeat::committed`] after those of the control state.
const REGISTERS_SUPPORTED: u64 = 1;

impl Heartbeat {
    /// The value of [`Heartbeat::committed`] for a sender that supports registers. `committed` returns the number of the
    /// last committed change of a partition. The partitions of applications are included if `has_coordination` is set.
    pub fn encode_committed(has_coordination: bool, committed: impl Fn(PartitionId) -> u64) -> Vec<u64> {
        let control = PartitionId::control().map(&committed);
        let coordination = PartitionId::coordination().filter(|_| has_coordination).map(&committed);
        control.chain([REGISTERS_SUPPORTED]).chain(coordination).collect()
    }

    /// The number of the last committed change of each partition that the sender has.
    pub fn committed_changes(&self) -> impl Iterator<Item = (PartitionId, u64)> {
        let control = PartitionId::control().zip(self.committed.iter().copied());
        let after_mark = self.committed.iter().skip(PartitionId::control().count() + 1).copied();
        control.chain(PartitionId::coordination().zip(after_mark))
    }

    /// Whether the sender supports consensus messages that carry registers.
    pub fn supports_registers(&self) -> bool {
        self.committed.get(PartitionId::control().count()) == Some(&REGISTERS_SUPPORTED)
    }

    /// Whether the sender has the partitions of [`PartitionId::coordination`].
    pub fn supports_coordination(&self) -> bool {
        self.supports_registers() && self.committed.len() > PartitionId::control().count() + 1
    }
}
