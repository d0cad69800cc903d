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
    /// Whether that node is in contact with a quorum; if not, the other fields may be outdated.
    pub has_quorum: bool,
    /// The membership's generation; 0 for none.
    pub generation: u64,
    /// The voters, and after them the other replicas.
    pub replicas: Vec<ReplicaReport>,
    /// The partitions that the reporting node holds, without the membership's.
    pub partitions: Vec<PartitionReport>,
}

/// One replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaReport {
    /// The replica's node and disk.
    pub replica: ReplicaId,
    /// The zone of its machine.
    pub zone: String,
    /// Whether the replica has a seat in the membership.
    pub is_voter: bool,
    /// The status that the replica reports; `None` where the replica is unreachable, or its machine has another replica now.
    pub status: Option<ReplicaStatus>,
    /// Whether the replica is shutting down.
    pub is_draining: bool,
    /// The number of changes, over all partitions, that the reporting node has committed and this replica has not.
    pub changes_behind: u64,
}

/// One partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartitionReport {
    /// The partition's ID.
    pub partition: PartitionId,
    /// The sequence number of the partition's last committed change; 0 for none.
    pub committed: u64,
    /// The node that leads the partition, or would start the next election; `None` where no voter can lead.
    pub leader: Option<NodeId>,
}

/// Builds the report of the node that `view` belongs to.
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

/// Adds the status that a replica reports in its heartbeat.
fn with_heartbeat(report: ReplicaReport, partitions: &Partitions, heartbeat: &Heartbeat) -> ReplicaReport {
    let behind = |(partition, replica_sequence)| {
        partitions.committed_sequence(partition).saturating_sub(replica_sequence)
    };
    ReplicaReport {
        status: Some(heartbeat.status),
        is_draining: heartbeat.draining,
        changes_behind: heartbeat.committed_changes().map(behind).sum(),
        ..report
    }
}
