//! Decisions from a node's view of the cluster: the first membership, the next membership, and whether a draining replica is still
//! needed.

use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::peer::{Heartbeat, Membership, ReplicaStatus, Voter};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

use crate::membership::cluster_view::ClusterView;
use crate::membership::rules::{self, Candidate, FIRST_GENERATION, VoterHealth};

/// The first membership is created no earlier than this after the process started, so that all nodes that start together are voters.
pub const BOOTSTRAP_DELAY: Nanos = 1500 * MILLISECOND;
/// A voter that no other voter could reach for this long is replaced by a candidate in its zone, if there is one.
const REPLACEMENT_TIMEOUT: Nanos = 2 * SECOND;
/// A voter that no other voter could reach for this long is replaced by a candidate in any zone, if there is one. Longer than any
/// network partition that ends by itself.
const LOSS_TIMEOUT: Nanos = 90 * SECOND;

/// The first membership, on the very first start of the whole system: the seed with the lowest address creates it, once that node can
/// reach all seeds. The voters are the seed and all nodes that the seed can reach, as far as they have a disk.
pub fn first_membership(view: &ClusterView<'_>, zone: &str, seeds: &[NodeId]) -> Option<Membership> {
    let is_bootstrap_node = view.local.may_bootstrap() && seeds.iter().min() == Some(&view.node);
    if view.local.membership().is_some() || !is_bootstrap_node {
        return None;
    }
    let is_present = |seed: &NodeId| *seed == view.node || view.current_heartbeat(*seed).is_some();
    if !seeds.iter().all(is_present) {
        return None;
    }
    let voter = |node: NodeId| {
        let heartbeat = view.current_heartbeat(node)?;
        let replica = view.peers.replica(node)?;
        Some(Voter { replica, zone: heartbeat.zone.clone(), joined_generation: FIRST_GENERATION })
    };
    let mut voters: Vec<Voter> = view.peers.nodes().filter_map(voter).collect();
    let own_voter = |replica| Voter { replica, zone: zone.to_owned(), joined_generation: FIRST_GENERATION };
    voters.extend(view.local.id().map(own_voter));
    voters.sort_unstable_by_key(|voter| voter.replica);
    Some(Membership { generation: FIRST_GENERATION, voters, previous: Vec::new() })
}

/// The next membership, with one voter replaced; `None` where no voter should be replaced now.
pub fn next_membership(view: &ClusterView<'_>) -> Option<Membership> {
    let membership = view.local.membership()?;
    rules::next_membership(membership, &candidates(view), |voter| voter_health(view, voter))
}

/// Replicas without a seat that follow the committed state and are not draining.
fn candidates(view: &ClusterView<'_>) -> Vec<Candidate> {
    let candidate = |node: NodeId| {
        let heartbeat = view.current_heartbeat(node)?;
        let replica = view.peers.replica(node)?;
        let is_follower = matches!(heartbeat.status, ReplicaStatus::Learner | ReplicaStatus::Removed);
        let is_candidate = is_follower && !heartbeat.draining && !view.local.has_seat(replica);
        is_candidate.then(|| Candidate { replica, zone: heartbeat.zone.clone() })
    };
    view.peers.nodes().filter_map(candidate).collect()
}

fn voter_health(view: &ClusterView<'_>, voter: &Voter) -> VoterHealth {
    let node = voter.replica.node;
    let health_of_reachable =
        |is_draining: bool| if is_draining { VoterHealth::Draining } else { VoterHealth::Healthy };
    if node == view.node {
        return health_of_reachable(view.is_draining);
    }
    if view.peers.is_reachable(view.now, node) {
        let is_draining = |heartbeat: &Heartbeat| heartbeat.draining;
        return health_of_reachable(view.peers.heartbeat(node).is_some_and(is_draining));
    }
    let is_reachable_from_other = view
        .local
        .voter_nodes()
        .filter_map(|other| view.current_heartbeat(other))
        .any(|heartbeat| heartbeat.reachable.contains(&node));
    let silence = view.now.saturating_sub(view.peers.silent_since(node));
    match silence {
        _ if is_reachable_from_other || silence < REPLACEMENT_TIMEOUT => VoterHealth::Healthy,
        LOSS_TIMEOUT.. => VoterHealth::Lost,
        _ => VoterHealth::Unreachable,
    }
}

/// Whether the cluster still needs a draining replica: the other voters have no quorum without it, a candidate could take its seat, or
/// a new voter has not yet collected the state that it needs to vote.
pub fn is_replica_needed(view: &ClusterView<'_>) -> bool {
    let (Some(membership), Some(replica)) = (view.local.membership(), view.local.id()) else { return false };
    let others = membership.voters.iter().filter(|voter| voter.replica != replica);
    let active_others = others.filter(|voter| view.is_active_voter(voter.replica)).count();
    match view.local.status() {
        ReplicaStatus::Voter => {
            let own = membership.voter(replica);
            let could_replace = |candidate: &Candidate| own.is_some_and(|own| own.zone == candidate.zone);
            let is_only_voter = membership.voters.len() == 1;
            is_only_voter
                || active_others < membership.quorum_size()
                || candidates(view).iter().any(could_replace)
        }
        ReplicaStatus::Removed => active_others < membership.voters.len(),
        ReplicaStatus::Uninitialized | ReplicaStatus::Learner => false,
    }
}
