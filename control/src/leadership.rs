//! Who leads which partition.

use ivyhatch_protocol::ids::{NodeId, PartitionId};
use ivyhatch_protocol::peer::{AcceptedValue, ConsensusMessage, Heartbeat, PeerMessage, ReplicaStatus};
use ivyhatch_protocol::{MILLISECOND, Nanos};

use crate::Record;
use crate::admin::PartitionQueue;
use crate::control_plane::ControlPlane;
use crate::interface::Output;
use crate::log_event::LogEvent;
use crate::membership;
use crate::partition_state::PartitionState;
use crate::server_list_duty;

/// A leader that a higher ballot has made step down waits for so long before its next election, times its place in the order.
const ELECTION_BACKOFF: Nanos = 300 * MILLISECOND;

impl ControlPlane {
    /// The leader of a partition: the first voter in the agreed order that is there and in contact with a quorum. Voters that are
    /// leaving, or that can't read the list of servers where that is their duty, lead only where there is no other.
    pub(crate) fn leader(&self, part: PartitionId) -> Option<NodeId> {
        let membership = self.membership.as_ref()?;
        let reads_list = part == server_list_duty::partition();
        let rank = |reads: bool, leaving: bool| (reads_list && !reads, leaving);
        let eligible = |node: NodeId| {
            if node == self.identity.node {
                let eligible = self.votes() && self.has_quorum();
                return eligible.then(|| rank(self.can_read_server_list(), self.leaving_since.is_some()));
            }
            let can_lead =
                |heartbeat: &&Heartbeat| heartbeat.status == ReplicaStatus::Voter && heartbeat.has_quorum;
            let heartbeat = self.heartbeat_of(node).filter(can_lead)?;
            Some(rank(heartbeat.can_read_server_list, heartbeat.draining))
        };
        let ranked = membership::election_order(membership, part)
            .filter_map(|node| eligible(node).map(|rank| (rank, node)));
        ranked.min_by_key(|(rank, _)| *rank).map(|(_, node)| node)
    }

    /// Starts elections for the partitions that this node should lead, and gives up the others.
    pub(crate) fn contend(&mut self, out: &mut Vec<Output>) {
        for part in PartitionId::all() {
            let leads = self.leader(part) == Some(self.identity.node);
            let backs_off = self.backoff_until.get(&part).is_some_and(|until| self.now < *until);
            let Some(partition) = self.partitions.get_mut(&part) else { continue };
            let mut effects = Vec::new();
            match (leads, partition.is_contending()) {
                (true, false) if backs_off => {}
                (true, false) => partition.start_election(self.now, &mut effects),
                (false, true) => partition.step_down(&mut effects),
                _ => partition.tick(self.now, &mut effects),
            }
            self.carry_out(part, effects, out);
            // A leader that steps down of itself was in nobody's way.
            if !leads {
                self.backoff_until.remove(&part);
            }
        }
    }

    /// A partition's leadership has ended. Requests that came to this node go to the new leader; those of others are forwarded
    /// anew by them.
    pub(crate) fn stepped_down(&mut self, part: PartitionId, out: &mut Vec<Output>) {
        out.push(Output::Log(LogEvent::SteppedDown { partition: part }));
        if let Some(queue) = self.queues.get_mut(&part) {
            *queue = PartitionQueue::default();
        }
        // Where a link is cut one way two nodes may both contend, and make each other step down without end: the one further back in
        // the order waits. The first never does, as nobody else leads while it is there.
        let order = self.membership.as_ref().map(|membership| membership::election_order(membership, part));
        let place = order.and_then(|mut order| order.position(|node| node == self.identity.node));
        self.backoff_until.insert(part, self.now + ELECTION_BACKOFF * place.unwrap_or(0) as u64);
        for pending in self.pending.values_mut().filter(|pending| pending.request.partition() == part) {
            pending.queued = false;
        }
    }

    /// A value of a partition is committed: it is stored as such, sent on, and handed out.
    pub(crate) fn committed(&mut self, part: PartitionId, value: AcceptedValue, out: &mut Vec<Output>) {
        let (ballot, sequence) = (value.ballot, value.sequence);
        let Some(state) = PartitionState::decode(part, &value.value) else {
            out.push(Output::Log(LogEvent::StateUndecodable { partition: part }));
            return;
        };
        if let PartitionState::Configuration(configured) = &state {
            let revision = configured.document.revision;
            out.push(Output::Log(LogEvent::Configuration { revision, sequence, ballot }));
        }
        self.feed.committed(part, sequence, &state);
        self.states.insert(part, state);
        let partition = self.partitions.get(&part);
        let accepted = partition.and_then(|partition| partition.state().accepted.as_ref());
        if accepted.is_some_and(|accepted| (accepted.ballot, accepted.sequence) == (ballot, sequence)) {
            self.store(vec![Record::Committed(part, ballot, sequence)], Vec::new(), out);
        }
        if self.leader_ballot(part) != Some(ballot) {
            return;
        }
        let (generation, message) = (self.generation(), ConsensusMessage::Commit { ballot, sequence });
        self.send_to_all(&PeerMessage::Consensus { generation, partition: part, message }, out);
        self.answer_proposal(part, out);
        self.drive(part, out);
    }
}
