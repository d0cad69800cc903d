//! A node of a search: its disk, the writes that have not ended, and what it has collected.

use std::collections::VecDeque;

use ivyhatch_control::Record;
use ivyhatch_control::durable_state::DurableState;
use ivyhatch_control::partition::PartitionReplica;
use ivyhatch_control::state_transfer::StateCollector;
use ivyhatch_protocol::ids::{NodeId, ReplicaId};
use ivyhatch_protocol::peer::{Membership, Voter};

use super::{FIRST_GENERATION, Sent};

/// A write that has not ended, and what is sent once it has.
#[derive(Clone, Debug)]
pub(super) struct Write {
    pub(super) records: Vec<Record>,
    pub(super) then: Option<(NodeId, Sent)>,
}

#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) replica: ReplicaId,
    pub(super) membership: Membership,
    pub(super) joined: Option<u64>,
    pub(super) partition: PartitionReplica,
    pub(super) incarnation: u64,
    pub(super) disk: DurableState,
    pub(super) writes: VecDeque<Write>,
    pub(super) collection: StateCollector,
    pub(super) collected: bool,
}

impl Member {
    pub(super) fn holds_state_of(&self, voter: &Voter) -> bool {
        voter.joined_generation == FIRST_GENERATION || self.joined == Some(voter.joined_generation)
    }

    pub(super) fn votes(&self) -> bool {
        self.membership.voter(self.replica).is_some_and(|voter| self.holds_state_of(voter))
    }

    /// The generation in which it joins, where it is a voter that does not hold its state yet.
    pub(super) fn joining(&self) -> Option<u64> {
        let voter = self.membership.voter(self.replica)?;
        (!self.holds_state_of(voter)).then_some(voter.joined_generation)
    }

    /// Whether it may hand out its state to a new voter of its membership.
    pub(super) fn hands_out(&self) -> bool {
        let voter = self.membership.previous_voter(self.replica);
        voter.is_some_and(|voter| self.holds_state_of(voter)) && self.writes.is_empty()
    }
}
