//! The voting replicas, and the transition from one generation of voters to the next.

use speedy::{Readable, Writable};

use crate::ids::{NodeId, ReplicaId};

/// A voting replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Readable, Writable)]
pub struct Voter {
    /// The replica.
    pub replica: ReplicaId,
    /// The zone of the replica's machine.
    pub zone: String,
    /// The generation that added the voter. A voter that was added after the first generation must not vote
    /// before it has received the state of a quorum of the previous generation: see
    /// [`crate::peer::PeerMessage::StateTransferRequest`].
    pub joined_generation: u64,
}

/// The set of replicas that vote, with its generation number.
///
/// Each generation is chosen by a quorum of the previous one in [`crate::ids::PartitionId::MEMBERSHIP`] and
/// replaces one voter. Votes count only within one generation: see [`crate::peer::PeerMessage::Consensus`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Readable, Writable)]
pub struct Membership {
    /// The generation number; 1 for the first membership, 0 for none.
    pub generation: u64,
    /// The voters, ordered by replica.
    pub voters: Vec<Voter>,
    /// The voters of the previous generation, from which a new voter fetches its state; empty in the first
    /// generation.
    pub previous: Vec<Voter>,
}

impl Membership {
    /// The size of a quorum of the voters.
    pub fn quorum_size(&self) -> usize {
        majority(self.voters.len())
    }

    /// The size of a quorum of the previous generation.
    pub fn previous_quorum_size(&self) -> usize {
        majority(self.previous.len())
    }

    /// The nodes of the voters.
    pub fn nodes(&self) -> impl Iterator<Item = NodeId> {
        self.voters.iter().map(|voter| voter.replica.node)
    }

    /// The replica's entry among the voters.
    pub fn voter(&self, replica: ReplicaId) -> Option<&Voter> {
        self.voters.iter().find(|voter| voter.replica == replica)
    }

    /// The replica's entry among the voters of the previous generation.
    pub fn previous_voter(&self, replica: ReplicaId) -> Option<&Voter> {
        self.previous.iter().find(|voter| voter.replica == replica)
    }

    /// The next generation, in which `successor` votes in place of `replaced`.
    #[must_use]
    pub fn with_replacement(&self, replaced: ReplicaId, successor: ReplicaId, zone: &str) -> Self {
        let generation = self.generation + 1;
        let next_voter = |voter: &Voter| match voter.replica == replaced {
            true => Voter { replica: successor, zone: zone.to_owned(), joined_generation: generation },
            false => voter.clone(),
        };
        let mut voters: Vec<Voter> = self.voters.iter().map(next_voter).collect();
        voters.sort_unstable_by_key(|voter| voter.replica);
        Self { generation, voters, previous: self.voters.clone() }
    }
}

/// The smallest number that is more than half of `count`.
pub fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// A replica's role in the membership, as reported in the replica's heartbeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub enum ReplicaStatus {
    /// The replica knows of no membership.
    #[default]
    Uninitialized,
    /// The replica receives committed values and does not vote: it is not a voter, or it is a voter whose state
    /// transfer is not complete.
    Learner,
    /// The replica votes.
    Voter,
    /// The replica was a voter of an earlier generation. It still answers state transfer requests.
    Removed,
}
