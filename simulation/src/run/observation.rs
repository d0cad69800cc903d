//! Reports the state of a control node and the generations of its votes to the oracle.

use ivyhatch_control::ControlPlane;
use ivyhatch_control::consensus::partition_state::PartitionState;
use ivyhatch_protocol::hash::{fnv1a_hash, hash_mix};
use ivyhatch_protocol::ids::{Ballot, PartitionId};
use ivyhatch_protocol::peer::PeerMessage;
use ivyhatch_protocol::watch::ServerListPosition;
use speedy::Writable;

use super::outputs::is_vote;
use super::{Simulation, address};
use crate::oracle::{ProcessId, ServerListVersion};
use crate::workload::document_digest;

impl Simulation<'_> {
    /// Reports a message to the oracle if the message is a vote.
    pub(super) fn observe_vote(&mut self, machine: usize, message: &PeerMessage) {
        let PeerMessage::Consensus { generation, .. } = message else { return };
        let replica = self.machines[machine].node.as_ref().and_then(ControlPlane::replica);
        if let Some(replica) = replica.filter(|_| is_vote(message)) {
            self.oracle.observe_vote(*generation, replica);
        }
    }

    /// Reports the parts of a node's state that have changed since the last report to the oracle.
    pub(super) fn observe_node(&mut self, machine: usize) {
        self.observe_membership(machine);
        for partition in PartitionId::control() {
            self.observe_partition(machine, partition);
        }
        self.observe_server_list(machine);
    }

    fn observe_membership(&mut self, machine: usize) {
        let this = &mut self.machines[machine];
        let Some(membership) = this.node.as_ref().and_then(ControlPlane::membership) else { return };
        if membership.generation != this.observed.generation {
            this.observed.generation = membership.generation;
            self.oracle.observe_membership(membership);
        }
    }

    fn observe_partition(&mut self, machine: usize, partition: PartitionId) {
        let this = &mut self.machines[machine];
        let Some(node) = &this.node else { return };
        let process = ProcessId { node: address(machine).0, incarnation: this.incarnation };
        let (sequence, state) = node.committed_state(partition);
        let observed = &mut this.observed.sequences[usize::from(partition.0)];
        if sequence == *observed {
            return;
        }
        *observed = sequence;
        match state {
            Some(PartitionState::Configuration(configured)) => {
                let digest = document_digest(&configured.document);
                self.oracle.observe_value(process, partition, sequence, digest);
                self.oracle.observe_configuration(sequence, configured.document.revision, digest);
            }
            Some(PartitionState::Evacuations(evacuated)) => {
                let bytes = evacuated.write_to_vec().unwrap_or_default();
                self.oracle.observe_value(process, partition, sequence, fnv1a_hash(&bytes));
            }
            None => {}
        }
    }

    fn observe_server_list(&mut self, machine: usize) {
        let this = &mut self.machines[machine];
        let Some(node) = &this.node else { return };
        let position = node.server_list().position();
        if position == this.observed.server_list {
            return;
        }
        this.observed.server_list = position;
        let ServerListPosition { ballot, number } = position;
        if ballot == Ballot::default() {
            return;
        }
        let digest = node.server_list().servers(self.now).fold(0, |sum, server| {
            hash_mix(sum ^ fnv1a_hash(server.id.as_bytes()) ^ u64::from(server.draining))
        });
        let reader = hash_mix(ballot.incarnation ^ hash_mix(u64::from(ballot.node.0)));
        let version = ServerListVersion { ballot_counter: ballot.counter, reader, number };
        self.oracle.observe_server_list(version, digest);
    }
}
