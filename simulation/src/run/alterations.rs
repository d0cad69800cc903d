//! Planted faults in what a control node sends: a message is altered, answered on the spot or left out.

use ivyhatch_control::{ControlPlane, Input};
use ivyhatch_protocol::ids::{NodeId, PartitionId};
use ivyhatch_protocol::peer::{ConsensusMessage, PeerMessage};

use super::{World, place};
use crate::injected_bugs::InjectedBug;

impl World<'_> {
    /// A message as it is sent with a known fault put in; none where it is not sent.
    pub(super) fn altered(
        &mut self,
        machine: usize,
        to: NodeId,
        message: PeerMessage,
        events: &mut Vec<Input>,
    ) -> Option<PeerMessage> {
        let Some(injected_bug) = self.injected_bug else { return Some(message) };
        match (injected_bug, message) {
            (
                InjectedBug::SkipsConfirmation,
                PeerMessage::Consensus {
                    generation,
                    partition: part,
                    message: ConsensusMessage::Confirm { ballot, request_id: number },
                },
            ) => {
                let message = ConsensusMessage::Confirmed { ballot, request_id: number };
                events.push(Input::Peer(to, PeerMessage::Consensus { generation, partition: part, message }));
                None
            }
            (
                InjectedBug::AcceptsLowerEpoch,
                PeerMessage::Consensus {
                    generation,
                    partition: part,
                    message: ConsensusMessage::Reject { promised },
                },
            ) => {
                let lower = self.machines[machine].lower.take().filter(|(ballot, _)| ballot.node == to);
                let message = lower.map_or(ConsensusMessage::Reject { promised }, |(ballot, sequence)| {
                    ConsensusMessage::Accepted { ballot, sequence }
                });
                Some(PeerMessage::Consensus { generation, partition: part, message })
            }
            (
                InjectedBug::LeadsWithoutElection,
                PeerMessage::Consensus {
                    generation,
                    partition: part,
                    message: ConsensusMessage::Prepare { ballot },
                },
            ) if part != PartitionId::MEMBERSHIP => {
                let message = ConsensusMessage::Promise { ballot, accepted: None };
                events.push(Input::Peer(to, PeerMessage::Consensus { generation, partition: part, message }));
                None
            }
            (
                InjectedBug::ChangesMembershipAlone,
                PeerMessage::Consensus { generation, partition: part @ PartitionId::MEMBERSHIP, message },
            ) => {
                let message = match message {
                    ConsensusMessage::Prepare { ballot } => {
                        ConsensusMessage::Promise { ballot, accepted: None }
                    }
                    ConsensusMessage::Accept(value) => {
                        ConsensusMessage::Accepted { ballot: value.ballot, sequence: value.sequence }
                    }
                    message => return Some(PeerMessage::Consensus { generation, partition: part, message }),
                };
                events.push(Input::Peer(to, PeerMessage::Consensus { generation, partition: part, message }));
                None
            }
            (
                InjectedBug::CountsBeforeState,
                PeerMessage::StateTransferRequest { incarnation, generation },
            ) => {
                let node = self.machines[place(to)].node.as_ref();
                let disk = node.and_then(ControlPlane::replica)?.disk;
                let partitions = Vec::new();
                let empty = PeerMessage::StateTransfer { incarnation, generation, disk, partitions };
                events.push(Input::Peer(to, empty));
                None
            }
            (
                InjectedBug::OldGenerationCounts,
                PeerMessage::Consensus { partition: part, message, generation },
            ) => {
                let receiver = self.machines.get(place(to)).and_then(|machine| machine.node.as_ref());
                let newer = receiver.and_then(ControlPlane::membership).map(|known| known.generation);
                let generation = newer.unwrap_or(generation);
                Some(PeerMessage::Consensus { generation, partition: part, message })
            }
            (_, message) => Some(message),
        }
    }
}
