//! Which node should lead a partition, and how long a node that stepped down waits before its next election.

use std::collections::BTreeMap;

use ivyhatch_protocol::ids::{NodeId, PartitionId};
use ivyhatch_protocol::peer::{Heartbeat, ReplicaStatus};
use ivyhatch_protocol::{MILLISECOND, Nanos};

use crate::membership::cluster_view::ClusterView;
use crate::membership::rules::election_order;
use crate::server_list::role::reader_partition;

/// Backoff after a higher ballot made a node step down, for each voter before that node in the election order.
const ELECTION_BACKOFF: Nanos = 300 * MILLISECOND;

/// Reasons against a voter as the leader, the strongest first, as fields are compared in order. The voter with the least penalty leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LeaderPenalty {
    cannot_read_server_list: bool,
    is_draining: bool,
}

/// The node that should lead a partition: the first voter in the election order that is active and in contact with a quorum; `None`
/// without such a voter. A voter that is draining, or that can't read the platform's list of servers although the partition's leader has
/// to, leads only if no other voter can.
pub fn leader(view: &ClusterView<'_>, partition: PartitionId) -> Option<NodeId> {
    let membership = view.local.membership()?;
    let reads_server_list = partition == reader_partition();
    let penalty = |can_read: bool, is_draining: bool| LeaderPenalty {
        cannot_read_server_list: reads_server_list && !can_read,
        is_draining,
    };
    let eligible = |node: NodeId| {
        if node == view.node {
            let is_eligible = view.local.is_voter() && view.has_quorum();
            return is_eligible.then(|| penalty(view.can_read_server_list, view.is_draining));
        }
        let has_partition =
            |heartbeat: &Heartbeat| !partition.is_coordination() || heartbeat.supports_coordination();
        let can_lead = |heartbeat: &&Heartbeat| {
            heartbeat.status == ReplicaStatus::Voter && heartbeat.has_quorum && has_partition(heartbeat)
        };
        let heartbeat = view.current_heartbeat(node).filter(can_lead)?;
        Some(penalty(heartbeat.can_read_server_list, heartbeat.draining))
    };
    let candidates = election_order(membership, partition)
        .filter_map(|node| eligible(node).map(|penalty| (penalty, node)));
    candidates.min_by_key(|(penalty, _)| *penalty).map(|(_, node)| node)
}

/// The index of this node in the election order of a partition; 0 where this node is not a voter.
pub fn order_index(view: &ClusterView<'_>, partition: PartitionId) -> usize {
    let order = view.local.membership().map(|membership| election_order(membership, partition));
    let index = order.and_then(|mut order| order.position(|node| node == view.node));
    index.unwrap_or(0)
}

/// The time until which this node starts no election, for each partition in which a higher ballot made the node step down.
///
/// Where a network path is cut in one direction only, two nodes may both contend, and make each other step down without end. The node
/// that is later in the election order backs off. The first node never does, as no other node leads while the first is active.
#[derive(Debug, Default)]
pub struct ElectionBackoff {
    until: BTreeMap<PartitionId, Nanos>,
}

impl ElectionBackoff {
    /// Whether the backoff of this node in a partition has not elapsed.
    pub fn is_waiting(&self, now: Nanos, partition: PartitionId) -> bool {
        self.until.get(&partition).is_some_and(|until| now < *until)
    }

    /// Starts the backoff after this node has stepped down. The backoff is proportional to `order_index`, the node's index in the
    /// partition's election order: the first node has none.
    pub fn stepped_down(&mut self, now: Nanos, partition: PartitionId, order_index: usize) {
        self.until.insert(partition, now + ELECTION_BACKOFF * order_index as u64);
    }

    /// Ends the backoff, as another node leads the partition: the next election of this node competes with no other candidate.
    pub fn clear(&mut self, partition: PartitionId) {
        self.until.remove(&partition);
    }
}
