//! Decisions on who votes, without I/O: the order in which voters lead, which replica takes which voter's seat, and when a new
//! voter holds the state with which it may vote.
//!
//! Why this is safe is set out in `docs/design/control-safety.md`.

use ivyhatch_protocol::ids::{NodeId, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{Membership, Voter};

/// The order in which voters lead a partition: each partition begins with another voter, so that their work is spread.
pub fn election_order(membership: &Membership, part: PartitionId) -> impl Iterator<Item = NodeId> {
    let count = membership.voters.len();
    let start = usize::from(part.0) % count.max(1);
    (0..count).map(move |step| membership.voters[(start + step) % count].replica.node)
}

/// What the leader of the membership knows of a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoterHealth {
    /// It is there, or has been silent for a short time only.
    Present,
    /// It is there, and has been told to end.
    Leaving,
    /// Neither the leader nor any voter that the leader hears has heard it for long.
    Silent,
}

/// A replica that is no voter, follows what is decided, and could become one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The replica.
    pub replica: ReplicaId,
    /// The zone of its machine.
    pub zone: String,
}

/// The next membership, if a voter's seat should go to a candidate.
///
/// A machine that comes back with an empty disk takes the seat of its former disk at once. A candidate on another machine takes the
/// seat of a voter of its zone that is leaving or silent: a platform starts a control node beside a living one only to replace it,
/// and a voter that is merely cut off has no successor.
pub fn next_membership(
    membership: &Membership,
    candidates: &[Candidate],
    health: impl Fn(&Voter) -> VoterHealth,
) -> Option<Membership> {
    let seat = |candidate: &Candidate| {
        let same_machine = |voter: &&Voter| voter.replica.node == candidate.replica.node;
        let replaceable =
            |voter: &&Voter| voter.zone == candidate.zone && health(voter) != VoterHealth::Present;
        let voters = &membership.voters;
        voters.iter().find(same_machine).or_else(|| voters.iter().find(replaceable))
    };
    candidates.iter().find_map(|candidate| {
        let voter = seat(candidate)?;
        Some(membership.with_replacement(voter.replica, candidate.replica, &candidate.zone))
    })
}
