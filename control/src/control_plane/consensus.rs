//! Joins the partitions with elections, the disk and the network: messages of the consensus, and what its effects cause.

use ivyhatch_protocol::ids::{NodeId, PartitionId};
use ivyhatch_protocol::peer::{AcceptedValue, ConsensusMessage, PeerMessage};

use super::ControlPlane;
use crate::consensus::elections;
use crate::consensus::partition::Effect;
use crate::consensus::partition_state::PartitionState;
use crate::log_event::LogEvent;
use crate::outbox::Envelope;
use crate::storage::record::Record;

/// Whether a message speaks only of what is committed. Such a message counts under any membership.
fn is_learner_message(message: &ConsensusMessage) -> bool {
    matches!(
        message,
        ConsensusMessage::Commit { .. } | ConsensusMessage::Fetch { .. } | ConsensusMessage::Committed(_)
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
        let (now, is_voter) = (self.now, self.replica.is_voter());
        let Some(replica) = self.partitions.replica_mut(partition) else { return };
        let mut effects = Vec::new();
        replica.handle(now, from, message, is_voter, &mut effects);
        self.apply_effects(partition, effects);
        if partition == PartitionId::MEMBERSHIP {
            self.replace_voters();
        }
        self.decide_requests(partition);
    }

    /// Carries out what a partition wants done, in order.
    pub(super) fn apply_effects(&mut self, partition: PartitionId, effects: Vec<Effect>) {
        let generation = self.replica.generation();
        let envelope =
            |to, message| Envelope { to, message: PeerMessage::Consensus { generation, partition, message } };
        for effect in effects {
            match effect {
                Effect::Send(to, message) => self.outbox.send(envelope(to, message)),
                Effect::Promise(ballot, to, message) => {
                    let record = Record::Promised(partition, ballot);
                    self.outbox.store_then_send(vec![record], [envelope(to, message)]);
                }
                Effect::Accept(value, to, message) => {
                    let record = Record::Accepted(partition, value);
                    self.outbox.store_then_send(vec![record], [envelope(to, message)]);
                }
                Effect::Committed(value) if partition == PartitionId::MEMBERSHIP => {
                    self.on_membership_committed(&value);
                }
                Effect::Committed(value) => self.on_committed(partition, value),
                Effect::QuorumConfirmed(number) => self.on_quorum_confirmed(partition, number),
                Effect::SteppedDown => self.on_stepped_down(partition),
            }
        }
    }

    /// Starts elections for the partitions that this node should lead, and steps down from the others.
    pub(super) fn run_elections(&mut self) {
        for partition in PartitionId::all() {
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
        self.requests.stepped_down(partition);
        let order_index = elections::order_index(&self.view(), partition);
        self.election_backoff.stepped_down(self.now, partition, order_index);
    }

    /// A value is committed: it is published to watchers, recorded as committed, and, by the leader, sent to the other nodes.
    fn on_committed(&mut self, partition: PartitionId, value: AcceptedValue) {
        let (ballot, sequence) = (value.ballot, value.sequence);
        let Some(state) = PartitionState::decode(partition, &value.value) else {
            self.outbox.log(LogEvent::StateUndecodable { partition });
            return;
        };
        if let PartitionState::Configuration(configuration) = &state {
            let revision = configuration.document.revision;
            self.outbox.log(LogEvent::Configuration { revision, sequence, ballot });
        }
        self.feed.committed(partition, sequence, &state);
        self.partitions.set_state(partition, state);
        if self.partitions.has_accepted(partition, ballot, sequence) {
            self.outbox.store(vec![Record::Committed(partition, ballot, sequence)]);
        }
        if self.partitions.leader_ballot(partition) != Some(ballot) {
            return;
        }
        let generation = self.replica.generation();
        let message = ConsensusMessage::Commit { ballot, sequence };
        self.broadcast(&PeerMessage::Consensus { generation, partition, message });
        for ready in self.requests.proposal_committed(partition) {
            self.respond(ready);
        }
        self.decide_requests(partition);
    }
}
