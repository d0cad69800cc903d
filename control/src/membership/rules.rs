//! The rules of membership: the election order of voters, and which replica replaces which voter. A seat is a voter's place in the
//! membership.
//!
//! Each generation of the membership is decided by a quorum of the previous one and differs from it in one voter, so that quorums of
//! two successive generations always intersect (Raft thesis, section 4.1: single-server changes). `docs/design/control-safety.md` has
//! the argument for ballots in place of a log.

use ivyhatch_protocol::ids::{NodeId, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{Membership, Voter};

/// The generation of the first membership.
pub const FIRST_GENERATION: u64 = 1;

/// The order in which voters are preferred as the leader of a partition. It starts at another voter for each partition, which spreads
/// the load.
pub fn election_order(membership: &Membership, partition: PartitionId) -> impl Iterator<Item = NodeId> {
    let count = membership.voters.len();
    let start = usize::from(partition.0) % count.max(1);
    (0..count).map(move |step| membership.voters[(start + step) % count].replica.node)
}

/// The condition of a voter, as seen by the leader of the membership's partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoterHealth {
    /// The voter is reachable, or has been unreachable for a short time only.
    Healthy,
    /// The voter is reachable, and is shutting down.
    Draining,
    /// Neither the leader nor any voter that the leader can reach has been able to reach this voter for some time: a candidate in its
    /// zone takes its seat.
    Unreachable,
    /// The voter has been unreachable for so long that a candidate in another zone takes its seat.
    Lost,
}

/// A replica without a seat that could take one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The replica that would become a voter.
    pub replica: ReplicaId,
    /// The zone of its machine.
    pub zone: String,
}

/// The next membership, with one seat given to a candidate; `None` where no rule applies. The rules, in order of precedence:
///
/// 1. A machine that returns with an empty disk takes the seat of its former disk at once.
/// 2. A candidate on another machine takes the seat of a voter of its zone that is draining or unreachable: a platform starts a control
///    node beside a running one only to replace it, and a voter that is merely partitioned has no successor in its zone.
/// 3. A candidate in a zone without a voter takes a seat of a zone that has several, so that the loss of a zone costs few seats.
/// 4. A candidate takes the seat of a lost voter of another zone, where that zone has no candidate. The seat returns to the zone by
///    rule 3 when the zone has a control node again.
pub fn next_membership(
    membership: &Membership,
    candidates: &[Candidate],
    health: impl Fn(&Voter) -> VoterHealth,
) -> Option<Membership> {
    let replaced_by = |candidate: &Candidate| {
        let voters = &membership.voters;
        let same_machine = |voter: &&Voter| voter.replica.node == candidate.replica.node;
        let replaceable =
            |voter: &&Voter| voter.zone == candidate.zone && health(voter) != VoterHealth::Healthy;
        voters.iter().find(same_machine).or_else(|| voters.iter().find(replaceable))
    };
    let lost_elsewhere = || {
        let has_candidate = |zone: &str| candidates.iter().any(|candidate| candidate.zone == zone);
        let mut voters = membership.voters.iter();
        voters.find(|voter| health(voter) == VoterHealth::Lost && !has_candidate(&voter.zone))
    };
    let by_machine_or_zone =
        candidates.iter().find_map(|candidate| Some((candidate, replaced_by(candidate)?)));
    let by_balance = || {
        candidates
            .iter()
            .find_map(|candidate| Some((candidate, surplus_voter(membership, candidate, &health)?)))
    };
    let by_loss = || Some((candidates.first()?, lost_elsewhere()?));
    let (candidate, voter) = by_machine_or_zone.or_else(by_balance).or_else(by_loss)?;
    Some(membership.with_replacement(voter.replica, candidate.replica, &candidate.zone))
}

/// The voter whose seat a candidate from a zone without voters takes: a voter of a zone that has several, an unhealthy one if there is one.
/// `None` if the candidate's zone has a voter, or if no zone has several.
fn surplus_voter<'a>(
    membership: &'a Membership,
    candidate: &Candidate,
    health: impl Fn(&Voter) -> VoterHealth,
) -> Option<&'a Voter> {
    let voters_in = |zone: &str| membership.voters.iter().filter(|voter| voter.zone == zone).count();
    if voters_in(&candidate.zone) > 0 {
        return None;
    }
    let surplus = membership.voters.iter().filter(|voter| voters_in(&voter.zone) > 1);
    surplus.min_by_key(|voter| health(voter) == VoterHealth::Healthy)
}
