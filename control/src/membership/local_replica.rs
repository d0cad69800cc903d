//! This node's replica and its status in the newest membership that the node knows.

use ivyhatch_protocol::ids::{NodeId, ReplicaId};
use ivyhatch_protocol::peer::{Membership, ReplicaStatus, Voter};

use crate::membership::rules::FIRST_GENERATION;

/// What the disk holds about the replica when the process starts.
#[derive(Clone, Debug, Default)]
pub struct StoredReplica {
    /// The replica that the disk was formatted as; `None` without a disk.
    pub replica: Option<ReplicaId>,
    /// Whether the disk was formatted on the first start of the whole system.
    pub may_bootstrap: bool,
    /// The newest membership; `None` before the first one.
    pub membership: Option<Membership>,
    /// The generation in which the replica became a voter, set once it holds the state that it needs to vote.
    pub joined: Option<u64>,
}

/// The replica of this node.
#[derive(Clone, Debug)]
pub struct LocalReplica {
    replica: Option<ReplicaId>,
    may_bootstrap: bool,
    membership: Option<Membership>,
    joined: Option<u64>,
    status: ReplicaStatus,
}

impl LocalReplica {
    /// The replica as restored from disk.
    pub fn new(stored: StoredReplica) -> Self {
        let StoredReplica { replica, may_bootstrap, membership, joined } = stored;
        let status = ReplicaStatus::Uninitialized;
        let mut local = Self { replica, may_bootstrap, membership, joined, status };
        local.status = local.status_in_membership();
        local
    }

    /// The replica's identity; `None` without a disk.
    pub fn id(&self) -> Option<ReplicaId> {
        self.replica
    }

    /// Whether the replica may create the first membership.
    pub fn may_bootstrap(&self) -> bool {
        self.may_bootstrap
    }

    /// The replica's status, as of the last [`LocalReplica::update_status`].
    pub fn status(&self) -> ReplicaStatus {
        self.status
    }

    /// Whether the replica votes.
    pub fn is_voter(&self) -> bool {
        self.status == ReplicaStatus::Voter
    }

    /// The newest membership that is known here.
    pub fn membership(&self) -> Option<&Membership> {
        self.membership.as_ref()
    }

    /// The generation of the newest membership that is known here; 0 for none.
    pub fn generation(&self) -> u64 {
        self.membership.as_ref().map_or(0, |membership| membership.generation)
    }

    /// The nodes of the voters.
    pub fn voter_nodes(&self) -> impl Iterator<Item = NodeId> {
        self.membership.iter().flat_map(Membership::nodes)
    }

    /// Whether a replica has a seat in the newest known membership, that is, is one of its voters.
    pub fn has_seat(&self, replica: ReplicaId) -> bool {
        self.membership.as_ref().is_some_and(|membership| membership.voter(replica).is_some())
    }

    /// Replaces the membership by a newer one. The caller stores the new membership, and then calls [`LocalReplica::update_status`].
    pub fn set_membership(&mut self, membership: Membership) {
        self.membership = Some(membership);
    }

    /// Records that the state that the replica needs to vote is durable. `generation` is the one in which the replica joined as a voter.
    pub fn set_joined(&mut self, generation: u64) {
        self.joined = Some(generation);
    }

    /// Updates the status. Returns the new status if it has changed.
    pub fn update_status(&mut self) -> Option<ReplicaStatus> {
        let status = self.status_in_membership();
        (std::mem::replace(&mut self.status, status) != status).then_some(status)
    }

    /// The generation in which the replica joins; `None` unless it has a seat and lacks the state that it needs to vote.
    pub fn joining_generation(&self) -> Option<u64> {
        let voter = self.membership.as_ref()?.voter(self.replica?)?;
        (!self.can_vote_as(voter)).then_some(voter.joined_generation)
    }

    /// Whether the replica may transfer its state to a new voter of `generation`: it was a voter in the previous generation.
    pub fn may_transfer_state(&self, generation: u64) -> bool {
        let (Some(membership), Some(replica)) = (&self.membership, self.replica) else { return false };
        let previous = membership.previous_voter(replica);
        generation == membership.generation && previous.is_some_and(|voter| self.can_vote_as(voter))
    }

    /// Whether the replica holds the state that it needs to vote as `voter`. Voters of the first generation need none, as nothing was
    /// decided before.
    fn can_vote_as(&self, voter: &Voter) -> bool {
        voter.joined_generation == FIRST_GENERATION || self.joined == Some(voter.joined_generation)
    }

    fn status_in_membership(&self) -> ReplicaStatus {
        let Some(membership) = &self.membership else { return ReplicaStatus::Uninitialized };
        let Some(replica) = self.replica else { return ReplicaStatus::Learner };
        if let Some(voter) = membership.voter(replica) {
            return if self.can_vote_as(voter) { ReplicaStatus::Voter } else { ReplicaStatus::Learner };
        }
        let was_voter = membership.previous_voter(replica).is_some_and(|voter| self.can_vote_as(voter));
        if was_voter { ReplicaStatus::Removed } else { ReplicaStatus::Learner }
    }
}
