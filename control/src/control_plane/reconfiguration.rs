//! Connects the decisions on the membership with the partitions, the disk and the network: bootstrap, replacement of voters, state
//! transfer to a new voter, and graceful shutdown.

use ivyhatch_protocol::ids::{NodeId, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{Membership, PeerMessage, TransferredState};
use ivyhatch_protocol::registers::RegisterKey;
use speedy::{Readable, Writable};

use super::ControlPlane;
use crate::consensus::whole_values;
use crate::interface::Output;
use crate::log_event::LogEvent;
use crate::membership::reconfiguration;
use crate::outbox::Envelope;
use crate::storage::record::Record;

impl ControlPlane {
    /// Creates the first membership, on the first start of the whole system, after [`reconfiguration::BOOTSTRAP_DELAY`].
    pub(super) fn bootstrap(&mut self) {
        if self.now < self.started_at + reconfiguration::BOOTSTRAP_DELAY {
            return;
        }
        let first = reconfiguration::first_membership(&self.view(), &self.config.zone, &self.config.seeds);
        if let Some(membership) = first {
            self.adopt_membership(membership);
        }
    }

    /// Adopts a membership that has been decided, if its generation is newer. Messages sent under an older membership are ignored from
    /// then on, except those that concern committed changes only.
    pub(super) fn adopt_membership(&mut self, membership: Membership) {
        let generation = membership.generation;
        if generation <= self.replica.generation() {
            return;
        }
        let voters = membership.voters.iter().map(|voter| voter.replica).collect();
        self.outbox.log(LogEvent::Membership { generation, voters });
        self.replica.set_membership(membership.clone());
        let write = self.outbox.store(vec![Record::Membership(membership)]);
        self.membership_sender.write_begun(write, generation);
        self.state_transfer.reset();
        self.partitions.reset_membership();
        let voter_nodes: Vec<NodeId> = self.replica.voter_nodes().collect();
        for (partition, effects) in self.partitions.set_voters(&voter_nodes) {
            self.apply_effects(partition, effects);
        }
        self.update_replica_status();
        self.send_heartbeat();
        self.request_state_transfer();
    }

    fn update_replica_status(&mut self) {
        if let Some(status) = self.replica.update_status() {
            let generation = self.replica.generation();
            self.outbox.log(LogEvent::ReplicaStatus { status, generation });
        }
    }

    /// Sends the membership to a node that has an older membership.
    pub(super) fn send_membership(&mut self, to: NodeId) {
        let Some(membership) = self.replica.membership() else { return };
        if !self.membership_sender.may_send() {
            return;
        }
        // A message that this node sent to itself may be handled under a newer membership.
        if to == self.config.node {
            return;
        }
        self.peers.add(to);
        if self.membership_sender.begin_send(self.now, to) {
            self.outbox.send_to_peer(to, PeerMessage::Membership(membership.clone()));
        }
    }

    /// As the leader of the membership partition, proposes the next membership where a voter's seat should go to another replica.
    pub(super) fn replace_voters(&mut self) {
        let is_leader = self.is_leader(PartitionId::MEMBERSHIP);
        let next = if is_leader { reconfiguration::next_membership(&self.view()) } else { None };
        let partition = self.partitions.membership_mut();
        let mut effects = Vec::new();
        match next {
            None => partition.step_down(&mut effects),
            Some(_) if !partition.is_contending() => partition.start_election(self.now, &mut effects),
            Some(next) if partition.ready_ballot().is_some() => {
                // Writing to memory can't fail.
                let value = next.write_to_vec().unwrap_or_default();
                let change = (RegisterKey::Membership, Some(value.into()));
                partition.propose(self.now, vec![change], &mut effects);
            }
            Some(_) => partition.tick(self.now, &mut effects),
        }
        self.apply_effects(PartitionId::MEMBERSHIP, effects);
    }

    /// Called when the next membership is committed under this node's leadership, or is learned from another node.
    pub(super) fn on_membership_committed(&mut self) {
        let registers = self.partitions.membership_mut().acceptor().registers();
        let Some(value) = registers.value(&RegisterKey::Membership) else { return };
        match Membership::read_from_buffer(value) {
            Ok(membership) => {
                self.adopt_membership(membership.clone());
                self.broadcast(&PeerMessage::Membership(membership));
            }
            Err(error) => {
                let error = error.to_string();
                self.outbox.log(LogEvent::MembershipUndecodable { error });
            }
        }
    }

    /// As a new voter, requests the state of the voters of the previous generation.
    pub(super) fn request_state_transfer(&mut self) {
        if self.replica.joining_generation().is_none() || !self.state_transfer.begin_request(self.now) {
            return;
        }
        let (incarnation, generation) = (self.config.incarnation, self.replica.generation());
        let committed = match self.state_transfer.needs_complete_state() {
            true => Vec::new(),
            false => self.partitions.committed_sequences().collect(),
        };
        let previous = self.replica.membership().into_iter().flat_map(|membership| &membership.previous);
        for node in previous.map(|voter| voter.replica.node).filter(|node| *node != self.config.node) {
            let committed = committed.clone();
            // A node's answer counts as its complete state, but the request for releases before registers does not ask for the coordination
            // partitions: nothing is requested from a node before its release is known.
            if self.config.has_coordination && self.register_support(node).is_none() {
                continue;
            }
            let request = match self.supports_registers(node) {
                true => PeerMessage::RegisterTransferRequest { incarnation, generation, committed },
                false => PeerMessage::StateTransferRequest { incarnation, generation },
            };
            self.outbox.send_to_peer(node, request);
        }
    }

    /// Answers a new voter with the promised and accepted state of this replica, once that state and the membership are durable.
    pub(super) fn on_register_transfer_request(
        &mut self,
        from: NodeId,
        incarnation: u64,
        generation: u64,
        committed: &[u64],
    ) {
        let Some(disk) = self.transferable_disk(generation) else { return };
        // The answer counts as this replica's complete state: it must include every partition that the requester has. Either the request
        // lists all partitions, or the requester's heartbeat shows which ones the requester has; without either the request is not
        // answered.
        let lists_all_partitions = committed.len() == PartitionId::all().count();
        if !lists_all_partitions && self.peers.heartbeat(from).is_none() {
            return;
        }
        let mut partitions = self.partitions.transferred_states(committed);
        partitions.retain(|(partition, _)| lists_all_partitions || self.has_partition(from, *partition));
        let message = PeerMessage::RegisterTransfer { incarnation, generation, disk, partitions };
        self.outbox.store_then_send(Vec::new(), [Envelope { to: from, message }]);
    }

    /// The id of this replica's disk; `None` where this replica may not transfer its state to a new voter of this generation.
    fn transferable_disk(&self, generation: u64) -> Option<u64> {
        let replica = self.replica.id().filter(|_| self.replica.may_transfer_state(generation))?;
        Some(replica.disk)
    }

    /// Answers a new voter of a release before registers with this replica's state as whole values, once that state is durable.
    pub(super) fn on_state_transfer_request(&mut self, from: NodeId, incarnation: u64, generation: u64) {
        if self.peers.supports_coordination(from) {
            return;
        }
        let Some(disk) = self.transferable_disk(generation) else { return };
        let whole_state =
            |(partition, acceptor)| (partition, whole_values::to_whole_state(partition, acceptor));
        let control = |(partition, _): &(PartitionId, _)| !partition.is_coordination();
        let partitions = self.partitions.acceptors().filter(control).map(whole_state).collect();
        let message = PeerMessage::StateTransfer { incarnation, generation, disk, partitions };
        self.outbox.store_then_send(Vec::new(), [Envelope { to: from, message }]);
    }

    pub(super) fn on_state_transfer(
        &mut self,
        source: ReplicaId,
        generation: u64,
        partitions: Vec<(PartitionId, TransferredState)>,
    ) {
        let Some(joined_generation) = self.replica.joining_generation() else { return };
        if generation != self.replica.generation() || self.state_transfer.is_writing() {
            return;
        }
        if !self.partitions.can_merge(&partitions) {
            return self.state_transfer.request_complete_state();
        }
        let Some(membership) = self.replica.membership() else { return };
        let Some(collected) = self.state_transfer.receive(membership, source, partitions) else { return };
        let mut records = self.partitions.merge(collected);
        records.push(Record::Joined(joined_generation));
        let write = self.outbox.store(records);
        self.state_transfer.write_begun(write, joined_generation);
    }

    /// Called when the collected state is durable: this replica votes from now on, unless it has lost its seat meanwhile.
    pub(super) fn on_collected_state_durable(&mut self, joined_generation: u64) {
        self.replica.set_joined(joined_generation);
        self.update_replica_status();
        self.send_heartbeat();
    }

    /// Begins a graceful shutdown: other nodes take over the partitions that this node leads, and this node waits until its state is
    /// no longer needed or the drain timeout ends.
    pub(super) fn on_drain(&mut self) {
        if self.drain.begin(self.now) {
            self.send_heartbeat();
        }
    }

    pub(super) fn complete_drain(&mut self) {
        let is_needed = || reconfiguration::is_replica_needed(&self.view());
        if self.drain.is_complete(self.now, is_needed) {
            self.outbox.push(Output::Drained);
        }
    }
}
