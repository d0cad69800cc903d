//! Connects the failure detector, heartbeats and catch-up: connections, contact with a quorum, and the handling of heartbeats.

use std::collections::BTreeSet;

use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::peer::{ConsensusMessage, Heartbeat, PeerMessage, ReplicaStatus};

use super::ControlPlane;
use crate::interface::Output;
use crate::log_event::LogEvent;

impl ControlPlane {
    pub(super) fn on_connected(&mut self, node: NodeId) {
        self.peers.add(node);
        self.send_heartbeat();
        self.send_all_routers(node);
    }

    /// Splits the other nodes into those that support registers and those of earlier releases.
    pub(super) fn peers_by_release(&self) -> (Vec<NodeId>, Vec<NodeId>) {
        self.peers.nodes().partition(|node| self.supports_registers(*node))
    }

    pub(super) fn update_connections(&mut self) {
        let seeds = self.config.seeds.iter().copied();
        let permanent: BTreeSet<NodeId> = self.replica.voter_nodes().chain(seeds).collect();
        if let Some(nodes) = self.peers.update_connections(self.now, &permanent) {
            self.outbox.push(Output::ConnectTo(nodes));
        }
    }

    pub(super) fn update_quorum_contact(&mut self) {
        let in_contact = self.has_quorum();
        if self.quorum_contact.update(self.now, in_contact) {
            self.outbox.log(LogEvent::QuorumContact { in_contact });
            self.heartbeats.expedite();
        }
    }

    pub(super) fn send_heartbeat_if_due(&mut self) {
        if self.heartbeats.is_due(self.now) {
            self.send_heartbeat();
        }
    }

    pub(super) fn send_heartbeat(&mut self) {
        let heartbeat = Heartbeat {
            incarnation: self.config.incarnation,
            sequence: self.heartbeats.record_sent(self.now),
            disk: self.replica.id().map(|replica| replica.disk),
            zone: self.config.zone.clone(),
            status: self.replica.status(),
            generation: self.replica.generation(),
            draining: self.drain.is_active(),
            reachable: self.peers.reachable_nodes(self.now),
            has_quorum: self.has_quorum(),
            can_read_server_list: self.server_list.can_read(self.now),
            committed: Heartbeat::encode_committed(self.config.has_coordination, |partition| {
                self.partitions.committed_sequence(partition)
            }),
            server_list: self.server_list.list().position(),
        };
        self.broadcast(&PeerMessage::Heartbeat(heartbeat));
    }

    pub(super) fn on_heartbeat(&mut self, from: NodeId, heartbeat: Heartbeat) {
        self.routers.keep_report_alive(self.now, from);
        self.peers.discover(self.now, &heartbeat.reachable);
        self.fetch_missing(from, &heartbeat);
        if heartbeat.generation < self.replica.generation() {
            self.send_membership(from);
        }
        let could_take_seat = heartbeat.status != ReplicaStatus::Voter;
        self.peers.record_heartbeat(from, heartbeat);
        if could_take_seat {
            self.replace_voters();
        }
    }

    /// Requests the committed changes and the server list that the sender of a heartbeat has and this node lacks.
    fn fetch_missing(&mut self, from: NodeId, heartbeat: &Heartbeat) {
        for (partition, sequence) in heartbeat.committed_changes() {
            let after = self.partitions.committed_sequence(partition);
            if after < sequence && self.catch_up.begin_request(self.now, partition) {
                let message = ConsensusMessage::Fetch { committed: Some(after) };
                self.send_consensus_message(from, partition, message);
            }
        }
        if self.server_list.begin_request(self.now, heartbeat.server_list) {
            self.request_server_list(from);
        }
    }
}
