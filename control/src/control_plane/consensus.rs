//! Connects the partitions with elections, the disk and the network: handles consensus messages and carries out their effects.

use ivyhatch_protocol::ids::{NodeId, PartitionId};
use ivyhatch_protocol::peer::{ConsensusMessage, PeerMessage};

use super::ControlPlane;
use crate::consensus::elections;
use crate::consensus::partition::{CommitRecord, Effect};
use crate::consensus::partition_state::PartitionState;
use crate::consensus::whole_values;
use crate::log_event::LogEvent;
use crate::outbox::Envelope;
use crate::storage::record::Record;

/// Whether a message concerns committed changes only. Such a message is valid under any membership.
fn is_learner_message(message: &ConsensusMessage) -> bool {
    matches!(
        message,
        ConsensusMessage::Commit { .. }
            | ConsensusMessage::Fetch { .. }
            | ConsensusMessage::Committed(_)
            | ConsensusMessage::LegacyFetch { .. }
            | ConsensusMessage::LegacyCommitted(_)
    )
}

impl ControlPlane {
    pub(super) fn on_consensus_message(
        &mut self,
        from: NodeId,
        generation: u64,
        partition: PartitionId,
        message: ConsensusMessage,
    ) {
        let own_generation = self.replica.generation();
        if generation != own_generation && !is_learner_message(&message) {
            if generation < own_generation {
                self.send_membership(from);
            }
            return;
        }
        if let Some(supports_registers) = whole_values::sender_supports_registers(&message)
            && from != self.config.node
        {
            self.peers.record_support(from, supports_registers);
        }
        let (now, is_voter) = (self.now, self.replica.is_voter());
        let Some(replica) = self.partitions.replica_mut(partition) else { return };
        let message = whole_values::to_register_message(partition, message);
        let mut effects = Vec::new();
        replica.handle(now, from, message, is_voter, &mut effects);
        self.apply_effects(partition, effects);
        if partition == PartitionId::MEMBERSHIP {
            self.replace_voters();
        }
        self.decide_next(partition);
    }

    /// Decides the queued calls or requests of a partition, if this node leads the partition and may propose more changes now.
    fn decide_next(&mut self, partition: PartitionId) {
        if partition.is_coordination() {
            self.decide_calls(partition);
        } else {
            self.decide_requests(partition);
        }
    }

    /// Carries out the effects of a partition's replica, in order.
    pub(super) fn apply_effects(&mut self, partition: PartitionId, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(to, message) => self.send_consensus_message(to, partition, message),
                Effect::Broadcast(voters, message) => self.send_to_voters(voters, partition, &message),
                Effect::Promise(ballot, to, message) => {
                    let envelope = self.envelope(to, partition, message);
                    self.outbox.store_then_send(vec![Record::Promised(partition, ballot)], envelope);
                }
                Effect::Accept(update, to, message) => {
                    let envelope = self.envelope(to, partition, message);
                    self.outbox.store_then_send(vec![Record::AcceptedUpdate(partition, update)], envelope);
                }
                Effect::SendWhenDurable(to, message) => {
                    let envelope = self.envelope(to, partition, message);
                    self.outbox.store_then_send(Vec::new(), envelope);
                }
                Effect::Committed(_) if partition == PartitionId::MEMBERSHIP => {
                    self.on_membership_committed()
                }
                Effect::Committed(record) => self.on_committed(partition, record),
                Effect::Diverged => self.outbox.log(LogEvent::ContentsDiverged { partition }),
                Effect::QuorumConfirmed(number) => self.on_quorum_confirmed(partition, number),
                Effect::SteppedDown => self.on_stepped_down(partition),
            }
        }
    }

    /// Whether a node understands messages that carry registers; `None` before a message from that node has shown it.
    pub(super) fn register_support(&self, node: NodeId) -> Option<bool> {
        if node == self.config.node { Some(true) } else { self.peers.supports_registers(node) }
    }

    /// Whether a node is known to have a partition. Releases before coordination can't decode the contents of the coordination partitions.
    pub(super) fn has_partition(&self, node: NodeId, partition: PartitionId) -> bool {
        let is_own = node == self.config.node && self.config.has_coordination;
        !partition.is_coordination() || is_own || self.peers.supports_coordination(node)
    }

    /// Whether a node is known to understand messages that carry registers.
    pub(super) fn supports_registers(&self, node: NodeId) -> bool {
        self.register_support(node) == Some(true)
    }

    /// The envelope of a consensus message, in the form that its receiver understands; `None` where there is no such form. The form is
    /// not known before the receiver's first message: until then the message is dropped, and is retried as if it were lost.
    fn envelope(&self, to: NodeId, partition: PartitionId, message: ConsensusMessage) -> Option<Envelope> {
        if !self.has_partition(to, partition) {
            return None;
        }
        let message = match self.register_support(to)? {
            true => message,
            false => {
                let acceptor = self.partitions.replica(partition)?.acceptor();
                whole_values::to_whole_value_message(partition, &message, acceptor)?
            }
        };
        let generation = self.replica.generation();
        Some(Envelope { to, message: PeerMessage::Consensus { generation, partition, message } })
    }

    pub(super) fn send_consensus_message(
        &mut self,
        to: NodeId,
        partition: PartitionId,
        message: ConsensusMessage,
    ) {
        if let Some(envelope) = self.envelope(to, partition, message) {
            self.outbox.send(envelope);
        }
    }

    /// Sends a message to other voters, to each in the form that it understands.
    fn send_to_voters(
        &mut self,
        mut voters: Vec<NodeId>,
        partition: PartitionId,
        message: &ConsensusMessage,
    ) {
        voters.retain(|voter| self.has_partition(*voter, partition));
        let (voters, legacy_voters): (Vec<NodeId>, Vec<NodeId>) =
            voters.into_iter().partition(|voter| self.supports_registers(*voter));
        let generation = self.replica.generation();
        let with_registers = PeerMessage::Consensus { generation, partition, message: message.clone() };
        self.outbox.send_to_peers(voters, with_registers);
        for voter in legacy_voters {
            self.send_consensus_message(voter, partition, message.clone());
        }
    }

    /// Starts elections for the partitions that this node should lead, and steps down from the others.
    pub(super) fn run_elections(&mut self) {
        for partition in self.partitions.ids() {
            let should_lead = self.is_leader(partition);
            let is_waiting = self.election_backoff.is_waiting(self.now, partition);
            let Some(replica) = self.partitions.replica_mut(partition) else { continue };
            let mut effects = Vec::new();
            match (should_lead, replica.is_contending()) {
                (true, false) if is_waiting => {}
                (true, false) => replica.start_election(self.now, &mut effects),
                (false, true) => replica.step_down(&mut effects),
                _ => replica.tick(self.now, &mut effects),
            }
            self.apply_effects(partition, effects);
            if !should_lead {
                self.election_backoff.clear(partition);
            }
        }
    }

    fn on_stepped_down(&mut self, partition: PartitionId) {
        self.outbox.log(LogEvent::SteppedDown { partition });
        if partition.is_coordination() {
            self.on_calls_stepped_down(partition);
        } else {
            self.partitions.clear_proposed_state(partition);
            self.requests.stepped_down(partition);
        }
        let order_index = elections::order_index(&self.view(), partition);
        self.election_backoff.stepped_down(self.now, partition, order_index);
    }

    /// Called when further changes of a partition are committed: records the commit, publishes the state to watchers and, as the leader,
    /// announces the commit to the other nodes.
    fn on_committed(&mut self, partition: PartitionId, record: CommitRecord) {
        let record = match record {
            CommitRecord::Accepted(version) => Record::Committed(partition, version.ballot, version.sequence),
            CommitRecord::Learned(update) => Record::Learned(partition, update),
        };
        // A node without a disk follows the committed changes and stores nothing.
        if self.replica.id().is_some() {
            self.store_commit(partition, record);
        }
        if !partition.is_coordination() {
            self.publish_committed(partition);
        }
        let Some(committed) =
            self.partitions.replica(partition).map(|replica| replica.acceptor().committed())
        else {
            return;
        };
        if self.partitions.leader_ballot(partition) != Some(committed.ballot) {
            return;
        }
        let message = ConsensusMessage::Commit { ballot: committed.ballot, sequence: committed.sequence };
        let generation = self.replica.generation();
        self.broadcast(&PeerMessage::Consensus { generation, partition, message });
        if partition.is_coordination() {
            return self.on_calls_committed(partition, committed.sequence);
        }
        if self.partitions.accepted_sequence(partition) == committed.sequence {
            self.partitions.clear_proposed_state(partition);
        }
        let committed = self.requests.changes_committed(partition, committed.sequence);
        for ready in committed.ready {
            self.respond(ready);
        }
        for unconfirmed in committed.unconfirmed {
            self.respond_when_confirmed(partition, unconfirmed);
        }
        self.decide_requests(partition);
    }

    /// Stores the record of a commit. No message depends on the commit record of an application's change, so that record is deferred to
    /// the next write: a sync for each commit would double the cost of each call.
    fn store_commit(&mut self, partition: PartitionId, record: Record) {
        if partition.is_coordination() && matches!(record, Record::Committed(..)) {
            self.outbox.store_deferred(record);
        } else {
            self.outbox.store(vec![record]);
        }
    }

    /// Decodes the committed registers of a partition, and adds the resulting state to the change feed for watchers.
    pub(super) fn publish_committed(&mut self, partition: PartitionId) {
        let Some(version) = self.partitions.replica(partition).map(|replica| replica.acceptor().committed())
        else {
            return;
        };
        let Some(state) = self.partitions.read_committed_state(partition) else {
            self.outbox.log(LogEvent::StateUndecodable { partition });
            return;
        };
        if let PartitionState::Configuration(configuration) = state {
            let revision = configuration.document.revision;
            let (sequence, ballot) = (version.sequence, version.ballot);
            self.outbox.log(LogEvent::Configuration { revision, sequence, ballot });
        }
        self.feed.committed(partition, version.sequence, state);
    }
}
