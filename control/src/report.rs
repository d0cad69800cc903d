//! What an operator may ask a control node for: who votes, who leads, and who is behind, as this node knows it.

use ivyhatch_protocol::ids::{NodeId, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{Heartbeat, Membership, ReplicaStatus, Voter};

use crate::control_plane::ControlPlane;

/// The control plane as one node knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The node that reports.
    pub node: NodeId,
    /// Whether it is in contact with a quorum: if not, the rest may be old.
    pub has_quorum: bool,
    /// The membership's number; 0 for none.
    pub generation: u64,
    /// The voters, and the replicas that are none.
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
    /// Its status, as it says; none where it is not heard, or its machine has another replica now.
    pub status: Option<ReplicaStatus>,
    /// Whether it has been told to end.
    pub is_draining: bool,
    /// How many changes, over all partitions, it has not heard of that this node has.
    pub changes_behind: u64,
}

/// One partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartitionReport {
    /// The partition.
    pub partition: PartitionId,
    /// The number of its last committed change.
    pub committed: u64,
    /// The node that leads it, or would start the next election.
    pub leader: Option<NodeId>,
}

impl ControlPlane {
    /// Who votes, who leads, and who is behind.
    pub fn report(&self) -> Report {
        let voters = self.membership.iter().flat_map(|membership| &membership.voters);
        let mut replicas: Vec<ReplicaReport> = voters.map(|voter| self.report_voter(voter)).collect();
        replicas.extend(self.peers.keys().filter_map(|node| self.report_other(*node)));
        Report {
            node: self.identity.node,
            has_quorum: self.has_quorum(),
            generation: self.generation(),
            replicas,
            partitions: PartitionId::all().map(|part| self.report_partition(part)).collect(),
        }
    }

    fn report_partition(&self, part: PartitionId) -> PartitionReport {
        PartitionReport {
            partition: part,
            committed: self.committed_state(part).0,
            leader: self.leader(part),
        }
    }

    fn report_voter(&self, voter: &Voter) -> ReplicaReport {
        let Voter { replica, zone, .. } = voter;
        if Some(*replica) == self.replica {
            return ReplicaReport {
                replica: *replica,
                zone: zone.clone(),
                is_voter: true,
                status: Some(self.status),
                is_draining: self.leaving_since.is_some(),
                changes_behind: 0,
            };
        }
        let heartbeat = self.current_heartbeat(replica.node);
        let heartbeat = heartbeat.filter(|_| self.replica_of(replica.node) == Some(*replica));
        self.report_heard(*replica, zone, true, heartbeat)
    }

    /// A replica without a seat.
    fn report_other(&self, node: NodeId) -> Option<ReplicaReport> {
        let (replica, heartbeat) = (self.replica_of(node)?, self.current_heartbeat(node)?);
        let has_seat =
            self.membership.as_ref().is_some_and(|known: &Membership| known.voter(replica).is_some());
        (!has_seat).then(|| self.report_heard(replica, &heartbeat.zone, false, Some(heartbeat)))
    }

    fn current_heartbeat(&self, node: NodeId) -> Option<&Heartbeat> {
        let peer = self.peers.get(&node).filter(|peer| peer.is_reachable(self.now))?;
        peer.heartbeat.as_ref()
    }

    fn report_heard(
        &self,
        replica: ReplicaId,
        zone: &str,
        is_voter: bool,
        heartbeat: Option<&Heartbeat>,
    ) -> ReplicaReport {
        let behind = |heartbeat: &Heartbeat| -> u64 {
            let own = self.partitions.values().map(|partition| partition.committed_sequence());
            own.zip(&heartbeat.committed).map(|(own, its)| own.saturating_sub(*its)).sum()
        };
        ReplicaReport {
            replica,
            zone: zone.to_owned(),
            is_voter,
            status: heartbeat.map(|heartbeat| heartbeat.status),
            is_draining: heartbeat.is_some_and(|heartbeat| heartbeat.draining),
            changes_behind: heartbeat.map_or(0, behind),
        }
    }
}
