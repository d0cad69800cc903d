//! Planted faults in what a control node sends: a message is altered, answered on the spot or left out.

use ivyhatch_control::{ControlPlane, Input};
use ivyhatch_protocol::ids::{NodeId, Part};
use ivyhatch_protocol::peer::{ConsensusMessage, Peer};

use super::{World, place};
use crate::planted::Planted;

impl World<'_> {
    /// A message as it is sent with a known fault put in; none where it is not sent.
    pub(super) fn altered(
        &mut self,
        machine: usize,
        to: NodeId,
        message: Peer,
        events: &mut Vec<Input>,
    ) -> Option<Peer> {
        let Some(planted) = self.planted else { return Some(message) };
        match (planted, message) {
            (
                Planted::SkipsConfirmation,
                Peer::Consensus { generation, part, message: ConsensusMessage::Confirm { epoch, number } },
            ) => {
                let message = ConsensusMessage::Confirmed { epoch, number };
                events.push(Input::Peer(to, Peer::Consensus { generation, part, message }));
                None
            }
            (
                Planted::AcceptsLowerEpoch,
                Peer::Consensus { generation, part, message: ConsensusMessage::Reject { promised } },
            ) => {
                let lower = self.machines[machine].lower.take().filter(|(epoch, _)| epoch.node == to);
                let message = lower.map_or(ConsensusMessage::Reject { promised }, |(epoch, sequence)| {
                    ConsensusMessage::Accepted { epoch, sequence }
                });
                Some(Peer::Consensus { generation, part, message })
            }
            (
                Planted::LeadsWithoutElection,
                Peer::Consensus { generation, part, message: ConsensusMessage::Prepare { epoch } },
            ) if part != Part::MEMBERSHIP => {
                let message = ConsensusMessage::Promise { epoch, accepted: None };
                events.push(Input::Peer(to, Peer::Consensus { generation, part, message }));
                None
            }
            (
                Planted::ChangesMembershipAlone,
                Peer::Consensus { generation, part: part @ Part::MEMBERSHIP, message },
            ) => {
                let message = match message {
                    ConsensusMessage::Prepare { epoch } => {
                        ConsensusMessage::Promise { epoch, accepted: None }
                    }
                    ConsensusMessage::Accept(value) => {
                        ConsensusMessage::Accepted { epoch: value.epoch, sequence: value.sequence }
                    }
                    message => return Some(Peer::Consensus { generation, part, message }),
                };
                events.push(Input::Peer(to, Peer::Consensus { generation, part, message }));
                None
            }
            (Planted::CountsBeforeState, Peer::StateTransferRequest { incarnation, generation }) => {
                let node = self.machines[place(to)].node.as_ref();
                let disk = node.and_then(ControlPlane::replica)?.disk;
                let partitions = Vec::new();
                let empty = Peer::StateTransfer { incarnation, generation, disk, partitions };
                events.push(Input::Peer(to, empty));
                None
            }
            (Planted::OldGenerationCounts, Peer::Consensus { part, message, generation }) => {
                let receiver = self.machines.get(place(to)).and_then(|machine| machine.node.as_ref());
                let newer = receiver.and_then(ControlPlane::membership).map(|known| known.generation);
                let generation = newer.unwrap_or(generation);
                Some(Peer::Consensus { generation, part, message })
            }
            (_, message) => Some(message),
        }
    }
}
