//! Executes the outputs of control nodes, and reports the votes among them to the oracle.

use ivyhatch_control::{Input, Output};
use ivyhatch_protocol::MILLISECOND;
use ivyhatch_protocol::peer::{ConsensusMessage, PeerMessage};

use super::describe::peer_message;
use super::event::{Event, LinkMessage};
use super::{Simulation, address, index_of};
use crate::injected_bugs::InjectedBug;
use crate::oracle::Invariant;

/// Whether a message is a vote: a promise, an acceptance or a confirmation.
pub(super) fn is_vote(message: &PeerMessage) -> bool {
    matches!(
        message,
        PeerMessage::Consensus {
            message: ConsensusMessage::Promise { .. }
                | ConsensusMessage::Accepted { .. }
                | ConsensusMessage::Confirmed { .. },
            ..
        }
    )
}

impl Simulation<'_> {
    /// Passes an input to a node and executes the resulting outputs. Inputs that injected bugs add are handled in the same call.
    pub(super) fn input_to_node(&mut self, machine: usize, input: Input) {
        let now = self.clock_of(machine);
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let Some(node) = &mut self.machines[machine].node else { return };
            let mut outputs = Vec::new();
            node.handle(now, input, &mut outputs);
            for output in outputs {
                self.carry_out(machine, output, &mut inputs);
            }
        }
        self.observe_node(machine);
    }

    fn carry_out(&mut self, machine: usize, output: Output, inputs: &mut Vec<Input>) {
        match output {
            Output::Send(to, message) => {
                if let Some(message) = self.corrupt(machine, to, message, inputs) {
                    self.send_to_peer(machine, index_of(to), message);
                }
            }
            Output::SendToAll(nodes, message) => {
                for to in nodes {
                    self.carry_out(machine, Output::Send(to, message.clone()), inputs);
                }
            }
            Output::ConnectTo(peers) => {
                let this = &mut self.machines[machine];
                this.connected_peers.retain(|peer| peers.contains(&address(*peer)));
                this.wanted_peers = peers;
            }
            Output::Store(token, records) => {
                self.record(|| format!("node {machine} stores {token}: {} records", records.len()));
                self.machines[machine].disk.enqueue(token, records);
                if self.injected_bug == Some(InjectedBug::AcknowledgesBeforeSync) {
                    inputs.insert(0, Input::Stored(token));
                }
                self.start_write(machine);
            }
            Output::Respond(id, response) => {
                self.record(|| format!("node {machine} answers {id}: {response:?}"));
                if self.draws_lost_response() {
                    return self.response_lost(id, &response);
                }
                let delay = (3 + self.random_below(10)) * MILLISECOND;
                self.schedule_after(delay, Event::ResponseArrives { id, response });
            }
            Output::EndCall(id, outcome) => self.send_outcome(machine, id, outcome),
            Output::Watch(session, message) => self.send_to_router(machine, session, message),
            Output::CloseSession(session) => self.close_session(machine, session),
            Output::Drained => self.shutdown_complete(machine),
            Output::ReadServerList(read) => {
                let incarnation = self.machines[machine].incarnation;
                let delay = (3 + self.random_below(30)) * MILLISECOND;
                self.schedule_after(delay, Event::ServerListRead { machine, incarnation, read });
            }
            Output::Log(event) => {
                self.record(|| format!("node {machine} event={} {event}", event.name()));
            }
        }
    }

    /// Sends a message to another control node. The message is lost if there is no connection.
    fn send_to_peer(&mut self, machine: usize, to: usize, message: PeerMessage) {
        self.check_disk_loss(machine, &message);
        self.observe_vote(machine, &message);
        if to < self.machines.len() && self.machines[machine].connected_peers.contains(&to) {
            let incarnation = self.machines[to].incarnation;
            self.send(machine, to, incarnation, LinkMessage::Peer(message));
        }
    }

    /// Checks [`Invariant::NoVoteAfterDiskLoss`], invariants 1, 3 and 4 of `docs/design/control-safety.md`: a machine without its state
    /// neither votes nor transfers state.
    fn check_disk_loss(&mut self, machine: usize, message: &PeerMessage) {
        let uses_state = is_vote(message)
            || matches!(message, PeerMessage::StateTransfer { .. } | PeerMessage::RegisterTransfer { .. });
        if uses_state && self.machines[machine].state_sources.is_some() {
            let text = format!("node {machine} has lost its disk and sends {}", peer_message(message));
            self.oracle.report(Invariant::NoVoteAfterDiskLoss, text);
        }
    }
}
