//! Connects the server list reader's role with elections and the network.

use ivyhatch_protocol::ids::{Ballot, NodeId};
use ivyhatch_protocol::peer::PeerMessage;
use ivyhatch_protocol::watch::{Server, ServerListChange, ServerListPosition};

use super::ControlPlane;
use crate::interface::Output;
use crate::server_list::reader::{ReadId, ReaderRole};
use crate::server_list::role::{RoleOutput, UpdateOutcome, reader_partition};

impl ControlPlane {
    pub(super) fn tick_server_list_role(&mut self) {
        let role = self.reader_role();
        let outputs = self.server_list.tick(self.now, role);
        self.apply_role_outputs(outputs);
    }

    pub(super) fn on_server_list_read(&mut self, read: ReadId, servers: Vec<Server>) {
        let role = self.reader_role();
        let outputs = self.server_list.read_succeeded(self.now, read, role, servers);
        self.apply_role_outputs(outputs);
    }

    pub(super) fn on_server_list_read_failed(&mut self, read: ReadId) {
        let outputs = self.server_list.read_failed(self.now, read);
        self.apply_role_outputs(outputs);
    }

    fn reader_role(&self) -> ReaderRole {
        let reported = self.peers.heartbeats().map(|heartbeat| heartbeat.server_list);
        let highest_ballot = self.server_list.highest_ballot(reported);
        let highest_node = highest_ballot.node;
        let leader_ballot = self.leader_ballot(reader_partition());
        ReaderRole {
            ballot: leader_ballot.filter(|_| self.has_quorum()),
            highest_ballot,
            highest_is_reachable: highest_node == self.config.node
                || self.peers.is_bidirectional(self.now, highest_node),
            has_list: self.server_list.has_list(),
        }
    }

    fn apply_role_outputs(&mut self, outputs: Vec<RoleOutput>) {
        for output in outputs {
            match output {
                RoleOutput::Log(event) => self.outbox.log(event),
                RoleOutput::Read(read) => self.outbox.push(Output::ReadServerList(read)),
                RoleOutput::Broadcast(change) => self.broadcast_server_list(change),
                RoleOutput::RenewBallot(superseded_by) => self.renew_reader_ballot(superseded_by),
                RoleOutput::AnnounceYield => self.send_heartbeat(),
            }
        }
    }

    /// Steps down from the role's partition, which another node has led meanwhile. This node starts an election at its next tick.
    fn renew_reader_ballot(&mut self, superseded_by: Ballot) {
        let partition = reader_partition();
        let Some(replica) = self.partitions.replica_mut(partition) else { return };
        let mut effects = Vec::new();
        replica.observe_ballot(superseded_by, &mut effects);
        self.apply_effects(partition, effects);
    }

    /// Sends a change of the server list to all other control nodes, to nodes of earlier releases in the form that these understand.
    fn broadcast_server_list(&mut self, change: ServerListChange) {
        let (peers, legacy_peers) = self.peers_by_release();
        if !legacy_peers.is_empty() {
            let update = change.to_update().or_else(|| self.server_list.whole_update(self.now));
            let messages = update.into_iter().map(PeerMessage::ServerList);
            messages.for_each(|message| self.outbox.send_to_peers(legacy_peers.clone(), message));
        }
        self.outbox.send_to_peers(peers, PeerMessage::ServerListChange(change));
    }

    pub(super) fn on_server_list_change(&mut self, from: NodeId, change: ServerListChange) {
        match self.server_list.apply_change(self.now, change) {
            UpdateOutcome::Applied(event) => self.outbox.log(event),
            UpdateOutcome::NotNewer => {}
            UpdateOutcome::Gap => self.request_server_list(from),
        }
    }

    /// Requests from another node the changes of the server list that this node lacks.
    pub(super) fn request_server_list(&mut self, from: NodeId) {
        let request = match self.supports_registers(from) {
            true => PeerMessage::ServerListFetch(self.server_list.list().position()),
            false => PeerMessage::ServerListRequest,
        };
        self.outbox.send_to_peer(from, request);
    }

    pub(super) fn on_server_list_request(&mut self, from: NodeId) {
        if let Some(update) = self.server_list.whole_update(self.now) {
            self.outbox.send_to_peer(from, PeerMessage::ServerList(update));
        }
    }

    pub(super) fn on_server_list_fetch(&mut self, from: NodeId, position: ServerListPosition) {
        if let Some(change) = self.server_list.changes_since(self.now, position) {
            let change = change.into_inner();
            self.outbox.send_to_peer(from, PeerMessage::ServerListChange(change));
        }
    }
}
