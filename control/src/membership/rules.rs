//! The rules of membership: in which order voters lead, and which replica takes which voter's seat.
//!
//! Each generation of the membership is decided by a quorum of the one before and differs from it in one voter, so that quorums of
//! two successive generations always intersect (Raft thesis, section 4.1: single-server changes). `docs/design/control-safety.md` has
//! the argument for ballots in place of a log.

use ivyhatch_protocol::ids::{NodeId, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{Membership, Voter};

/// The generation of the first membership.
pub const FIRST_GENERATION: u64 = 1;

/// The order in which voters lead a partition. Each partition begins with another voter, so that the load is spread.
pub fn election_order(membership: &Membership, partition: PartitionId) -> impl Iterator<Item = NodeId> {
    let count = membership.voters.len();
    let start = usize::from(partition.0) % count.max(1);
    (0..count).map(move |step| membership.voters[(start + step) % count].replica.node)
}

/// The condition of a voter, as the leader of the membership sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoterHealth {
    /// It is reachable, or has been unreachable for a short time only.
    Healthy,
    /// It is reachable, and is shutting down.
    Draining,
    /// Neither the leader nor any voter that the leader can reach has been able to reach it for long.
    Unreachable,
}

/// A replica without a seat that could take one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The replica.
    pub replica: ReplicaId,
    /// The zone of its machine.
    pub zone: String,
}

/// The next membership, where a voter's seat should go to a candidate.
///
/// A machine that comes back with an empty disk takes the seat of its former disk at once. A candidate on another machine takes the
/// seat of a voter of its zone that is draining or unreachable: a platform starts a control node beside a running one only to
/// replace it, and a voter that is merely partitioned has no successor.
pub fn next_membership(
    membership: &Membership,
    candidates: &[Candidate],
    health: impl Fn(&Voter) -> VoterHealth,
) -> Option<Membership> {
    let seat = |candidate: &Candidate| {
        let same_machine = |voter: &&Voter| voter.replica.node == candidate.replica.node;
        let replaceable =
            |voter: &&Voter| voter.zone == candidate.zone && health(voter) != VoterHealth::Healthy;
        let voters = &membership.voters;
        voters.iter().find(same_machine).or_else(|| voters.iter().find(replaceable))
    };
    candidates.iter().find_map(|candidate| {
        let voter = seat(candidate)?;
        Some(membership.with_replacement(voter.replica, candidate.replica, &candidate.zone))
    })
}
