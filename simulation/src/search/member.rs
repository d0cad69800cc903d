//! A node of a search: its replica, its durable state, its pending writes and its state transfer.

use std::collections::VecDeque;

use ivyhatch_control::Record;
use ivyhatch_control::consensus::acceptor::Acceptor;
use ivyhatch_control::consensus::partition::PartitionReplica;
use ivyhatch_control::membership::state_transfer::StateCollector;
use ivyhatch_control::storage::durable_state::DurableState;
use ivyhatch_protocol::ids::{NodeId, ReplicaId};
use ivyhatch_protocol::peer::{Membership, Voter};

use super::{Envelope, FIRST_GENERATION, PARTITION, node_id, replica_id};

/// The incarnation of a node's first process.
const FIRST_INCARNATION: u64 = 1;

/// A pending write, and the message that is sent once the write is durable.
#[derive(Clone, Debug)]
pub(super) struct PendingWrite {
    pub(super) records: Vec<Record>,
    pub(super) then_send: Option<(NodeId, Envelope)>,
}

#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) replica: ReplicaId,
    /// The membership that the node has adopted.
    pub(super) membership: Membership,
    /// The generation for which the node's state transfer is complete and durable.
    pub(super) joined_generation: Option<u64>,
    pub(super) partition: PartitionReplica,
    pub(super) incarnation: u64,
    pub(super) disk: DurableState,
    pub(super) writes: VecDeque<PendingWrite>,
    pub(super) collector: StateCollector,
    /// The state of a quorum was collected; its write may still be pending.
    pub(super) has_collected: bool,
}

impl Member {
    /// A node on its first start.
    pub(super) fn new(number: usize, membership: &Membership) -> Self {
        let mut member = Self {
            replica: replica_id(number, 1),
            membership: membership.clone(),
            joined_generation: None,
            partition: PartitionReplica::new(node_id(number), FIRST_INCARNATION, Acceptor::default()),
            incarnation: FIRST_INCARNATION,
            disk: DurableState { membership: Some(membership.clone()), ..DurableState::default() },
            writes: VecDeque::new(),
            collector: StateCollector::default(),
            has_collected: false,
        };
        member.set_partition_voters();
        member
    }

    /// Starts a new process from the durable state. The pending writes of the previous process are lost.
    pub(super) fn restart(&mut self) {
        self.incarnation += 1;
        self.writes.clear();
        self.joined_generation = self.disk.joined;
        let state = self.disk.partitions.get(&PARTITION).cloned().unwrap_or_default();
        self.partition = PartitionReplica::new(self.replica.node, self.incarnation, state);
        self.set_membership(self.disk.membership.clone().unwrap_or_default());
    }

    /// Adopts another membership. A state transfer in progress restarts.
    pub(super) fn set_membership(&mut self, membership: Membership) {
        self.membership = membership;
        self.collector = StateCollector::default();
        self.has_collected = false;
        self.set_partition_voters();
    }

    fn set_partition_voters(&mut self) {
        let voters: Vec<NodeId> = self.membership.nodes().collect();
        self.partition.set_voters(&voters, &mut Vec::new());
    }

    /// Whether the replica has the state that it needs to vote as `voter`.
    fn has_state_of(&self, voter: &Voter) -> bool {
        voter.joined_generation == FIRST_GENERATION || self.joined_generation == Some(voter.joined_generation)
    }

    /// Whether the node votes: its replica is a voter of the adopted membership and has its state.
    pub(super) fn votes(&self) -> bool {
        self.membership.voter(self.replica).is_some_and(|voter| self.has_state_of(voter))
    }

    /// The generation in which the replica joins; `None` if the replica is not a voter or already has its state.
    pub(super) fn joining_generation(&self) -> Option<u64> {
        let voter = self.membership.voter(self.replica)?;
        (!self.has_state_of(voter)).then_some(voter.joined_generation)
    }

    /// Whether the node may transfer its state to a new voter of its membership: the node was a voter of the previous generation with
    /// its state, and all of its state is durable.
    pub(super) fn can_transfer_state(&self) -> bool {
        let voter = self.membership.previous_voter(self.replica);
        voter.is_some_and(|voter| self.has_state_of(voter)) && self.writes.is_empty()
    }
}
