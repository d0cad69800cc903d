//! Injected bugs in the messages that a control node sends: a message is altered, dropped, or replaced by a forged response.

use ivyhatch_control::{ControlPlane, Input};
use ivyhatch_protocol::ids::{Ballot, NodeId, PartitionId};
use ivyhatch_protocol::peer::{ConsensusMessage, PeerMessage};
use ivyhatch_protocol::registers::Version;

use super::{Simulation, index_of};
use crate::injected_bugs::InjectedBug;

/// A consensus message, with the partition and the membership generation under which it is sent.
struct Consensus {
    generation: u64,
    partition: PartitionId,
    message: ConsensusMessage,
}

impl Consensus {
    /// Another message with the same partition and generation.
    fn with(&self, message: ConsensusMessage) -> PeerMessage {
        PeerMessage::Consensus { generation: self.generation, partition: self.partition, message }
    }
}

impl Simulation<'_> {
    /// Applies the injected bug to a message. Returns the message to send, or `None` if nothing is sent; a forged response to the
    /// dropped message is added to `inputs`, the inputs of the sending node.
    pub(super) fn corrupt(
        &mut self,
        machine: usize,
        to: NodeId,
        message: PeerMessage,
        inputs: &mut Vec<Input>,
    ) -> Option<PeerMessage> {
        let Some(injected_bug) = self.injected_bug else { return Some(message) };
        match message {
            PeerMessage::Consensus { generation, partition, message } => {
                let consensus = Consensus { generation, partition, message };
                self.corrupt_consensus(injected_bug, machine, to, consensus, inputs)
            }
            PeerMessage::StateTransferRequest { incarnation, generation }
            | PeerMessage::RegisterTransferRequest { incarnation, generation, .. }
                if injected_bug == InjectedBug::VotesBeforeStateTransfer =>
            {
                inputs.push(Input::Peer(to, self.empty_state_transfer(to, incarnation, generation)?));
                None
            }
            message => Some(message),
        }
    }

    fn corrupt_consensus(
        &mut self,
        injected_bug: InjectedBug,
        machine: usize,
        to: NodeId,
        consensus: Consensus,
        inputs: &mut Vec<Input>,
    ) -> Option<PeerMessage> {
        let is_membership = consensus.partition == PartitionId::MEMBERSHIP;
        let response = match (injected_bug, &consensus.message) {
            (InjectedBug::SkipsConfirmation, ConsensusMessage::Confirm { ballot, request_id }) => {
                ConsensusMessage::Confirmed { ballot: *ballot, request_id: *request_id }
            }
            (InjectedBug::LeadsWithoutElection, ConsensusMessage::Prepare { ballot, committed, .. })
                if !is_membership =>
            {
                empty_promise(*ballot, *committed)
            }
            (
                InjectedBug::ChangesMembershipWithoutQuorum,
                ConsensusMessage::Prepare { ballot, committed, .. },
            ) if is_membership => empty_promise(*ballot, *committed),
            (InjectedBug::ChangesMembershipWithoutQuorum, ConsensusMessage::Accept(update))
                if is_membership =>
            {
                let Version { ballot, sequence } = update.version;
                ConsensusMessage::Accepted { ballot, sequence }
            }
            _ => return Some(self.altered_consensus(injected_bug, machine, to, consensus)),
        };
        inputs.push(Input::Peer(to, consensus.with(response)));
        None
    }

    /// Returns the consensus message to send, altered if the injected bug concerns it.
    fn altered_consensus(
        &mut self,
        injected_bug: InjectedBug,
        machine: usize,
        to: NodeId,
        mut consensus: Consensus,
    ) -> PeerMessage {
        match (injected_bug, &consensus.message) {
            (InjectedBug::AcceptsLowerBallot, ConsensusMessage::Reject { .. }) => {
                let rejected = self.machines[machine].last_accept.take();
                if let Some((ballot, sequence)) = rejected.filter(|(ballot, _)| ballot.node == to) {
                    consensus.message = ConsensusMessage::Accepted { ballot, sequence };
                }
            }
            (InjectedBug::CountsOldGeneration, _) => {
                if let Some(generation) = self.generation_of(to) {
                    consensus.generation = generation;
                }
            }
            _ => {}
        }
        let Consensus { generation, partition, message } = consensus;
        PeerMessage::Consensus { generation, partition, message }
    }

    /// The membership generation that a node knows; `None` if it is down or has no membership.
    fn generation_of(&self, node: NodeId) -> Option<u64> {
        let receiver = self.machines.get(index_of(node))?;
        receiver.node.as_ref()?.membership().map(|membership| membership.generation)
    }

    /// A forged state transfer from a node, without any state; `None` if the node is down or has no replica.
    fn empty_state_transfer(&self, from: NodeId, incarnation: u64, generation: u64) -> Option<PeerMessage> {
        let node = self.machines[index_of(from)].node.as_ref();
        let disk = node.and_then(ControlPlane::replica)?.disk;
        Some(PeerMessage::RegisterTransfer { incarnation, generation, disk, partitions: Vec::new() })
    }
}

/// A forged promise of a voter that has accepted nothing newer than the candidate.
fn empty_promise(ballot: Ballot, committed: Option<u64>) -> ConsensusMessage {
    ConsensusMessage::Promise { ballot, accepted: None, committed: committed.unwrap_or_default() }
}
