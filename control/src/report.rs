//! The state of the cluster for operators, as one node knows it: the voters, the leaders, and which replicas are behind.

use ivyhatch_protocol::ids::{NodeId, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{Heartbeat, ReplicaStatus, Voter};

use crate::consensus::elections;
use crate::consensus::partitions::Partitions;
use crate::membership::cluster_view::ClusterView;

/// The cluster as one node knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The node that reports.
    pub node: NodeId,
    /// Whether it is in contact with a quorum: if not, the rest may be outdated.
    pub has_quorum: bool,
    /// The membership's generation; 0 for none.
    pub generation: u64,
    /// The voters, and after them the other replicas.
    pub replicas: Vec<ReplicaReport>,
    /// The partitions.
    pub partitions: Vec<PartitionReport>,
}

/// One replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaReport {
    /// The replica.
    pub replica: ReplicaId,
    /// The zone of its machine.
    pub zone: String,
    /// Whether it has a seat in the membership.
    pub is_voter: bool,
    /// Its status, as it reports it; `None` where it is unreachable, or its machine has another replica now.
    pub status: Option<ReplicaStatus>,
    /// Whether it is shutting down.
    pub is_draining: bool,
    /// The number of changes, over all partitions, that it has not committed and the reporting node has.
    pub changes_behind: u64,
}

/// One partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartitionReport {
    /// The partition.
    pub partition: PartitionId,
    /// The sequence number of its last committed change.
    pub committed: u64,
    /// The node that leads it, or would start the next election.
    pub leader: Option<NodeId>,
}

/// The report of the node whose view this is.
pub fn report(view: &ClusterView<'_>, partitions: &Partitions) -> Report {
    let voters = view.local.membership().into_iter().flat_map(|membership| &membership.voters);
    let mut replicas: Vec<ReplicaReport> =
        voters.map(|voter| report_voter(view, partitions, voter)).collect();
    replicas.extend(view.peers.nodes().filter_map(|node| report_non_voter(view, partitions, node)));
    let report_partition = |partition| PartitionReport {
        partition,
        committed: partitions.committed_sequence(partition),
        leader: elections::leader(view, partition),
    };
    Report {
        node: view.node,
        has_quorum: view.has_quorum(),
        generation: view.local.generation(),
        replicas,
        partitions: partitions.ids().into_iter().map(report_partition).collect(),
    }
}

fn report_voter(view: &ClusterView<'_>, partitions: &Partitions, voter: &Voter) -> ReplicaReport {
    let Voter { replica, zone, .. } = voter;
    if Some(*replica) == view.local.id() {
        return ReplicaReport {
            replica: *replica,
            zone: zone.clone(),
            is_voter: true,
            status: Some(view.local.status()),
            is_draining: view.is_draining,
            changes_behind: 0,
        };
    }
    let heartbeat = view.peers.reachable_heartbeat(view.now, replica.node);
    let heartbeat = heartbeat.filter(|_| view.peers.replica(replica.node) == Some(*replica));
    let report = ReplicaReport {
        replica: *replica,
        zone: zone.clone(),
        is_voter: true,
        status: None,
        is_draining: false,
        changes_behind: 0,
    };
    match heartbeat {
        Some(heartbeat) => with_heartbeat(report, partitions, heartbeat),
        None => report,
    }
}

fn report_non_voter(view: &ClusterView<'_>, partitions: &Partitions, node: NodeId) -> Option<ReplicaReport> {
    let replica = view.peers.replica(node)?;
    let heartbeat = view.peers.reachable_heartbeat(view.now, node)?;
    if view.local.has_seat(replica) {
        return None;
    }
    let report = ReplicaReport {
        replica,
        zone: heartbeat.zone.clone(),
        is_voter: false,
        status: None,
        is_draining: false,
        changes_behind: 0,
    };
    Some(with_heartbeat(report, partitions, heartbeat))
}

/// Adds what a replica reports itself.
fn with_heartbeat(report: ReplicaReport, partitions: &Partitions, heartbeat: &Heartbeat) -> ReplicaReport {
    let behind =
        |(partition, their_sequence)| partitions.committed_sequence(partition).saturating_sub(their_sequence);
    ReplicaReport {
        status: Some(heartbeat.status),
        is_draining: heartbeat.draining,
        changes_behind: heartbeat.committed_changes().map(behind).sum(),
        ..report
    }
}
