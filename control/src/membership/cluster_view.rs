//! One node's view of the cluster at one moment: which voters are active, and whether they form a quorum.

use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::ids::{NodeId, ReplicaId};
use ivyhatch_protocol::peer::{Heartbeat, ReplicaStatus};

use crate::liveness::failure_detector::FailureDetector;
use crate::membership::local_replica::LocalReplica;

/// One node's read-only view of the cluster, from which leaders and memberships are decided.
#[derive(Clone, Copy, Debug)]
pub struct ClusterView<'a> {
    /// The time of the view.
    pub now: Nanos,
    /// The node whose view it is.
    pub node: NodeId,
    /// The node's own replica, with its membership.
    pub local: &'a LocalReplica,
    /// The other nodes, with their last heartbeats.
    pub peers: &'a FailureDetector,
    /// Whether the node itself is draining.
    pub is_draining: bool,
    /// Whether the node itself may read the platform's list of servers.
    pub can_read_server_list: bool,
}

impl<'a> ClusterView<'a> {
    /// The last heartbeat of another node; `None` unless the two nodes reach each other and know the same membership.
    pub fn current_heartbeat(&self, node: NodeId) -> Option<&'a Heartbeat> {
        let heartbeat = self.peers.heartbeat(node)?;
        let same_membership = heartbeat.generation == self.local.generation();
        (same_membership && self.peers.is_bidirectional(self.now, node)).then_some(heartbeat)
    }

    /// Whether a replica votes now, as far as this node knows. A replica of another node counts if that node is in contact, runs this
    /// replica, and reports it as a voter.
    pub fn is_active_voter(&self, replica: ReplicaId) -> bool {
        if Some(replica) == self.local.id() {
            return self.local.is_voter();
        }
        let is_voter = |heartbeat: &Heartbeat| heartbeat.status == ReplicaStatus::Voter;
        let is_same_replica = self.peers.replica(replica.node) == Some(replica);
        is_same_replica && self.current_heartbeat(replica.node).is_some_and(is_voter)
    }

    /// Whether this node is in contact with a quorum of the voters.
    pub fn has_quorum(&self) -> bool {
        let Some(membership) = self.local.membership() else { return false };
        let active = membership.voters.iter().filter(|voter| self.is_active_voter(voter.replica));
        active.count() >= membership.quorum_size()
    }
}
