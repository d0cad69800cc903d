//! Heartbeats between control nodes: who is reachable, whether there is contact with a quorum, and whom to keep links to.

use std::collections::BTreeSet;

use ivyhatch_protocol::ids::{NodeId, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{ConsensusMessage, Heartbeat, PeerMessage, ReplicaStatus};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

use crate::admin::FORWARD_MAX_AGE;
use crate::control_plane::ControlPlane;
use crate::interface::Output;
use crate::log_event::LogEvent;
use crate::partition::PartitionReplica;

/// Pause between two heartbeats.
pub const HEARTBEAT_INTERVAL: Nanos = 200 * MILLISECOND;
/// A node that was not heard for so long counts as unreachable: four heartbeats, as links between regions hold one up now and then.
const FAILURE_TIMEOUT: Nanos = 850 * MILLISECOND;
/// What was asked for is not asked for again before this.
pub(crate) const ASK_AGAIN: Nanos = 250 * MILLISECOND;
/// Control nodes that are neither voters nor seeds are forgotten when they have been silent for so long.
const FORGET_AFTER: Nanos = 60 * SECOND;
/// A control node that is known only from others is forgotten unless it is heard within this.
const HEARSAY_KEPT: Nanos = 5 * SECOND;

/// Another control node.
#[derive(Debug, Default)]
pub(crate) struct PeerState {
    pub(crate) heard: Option<Nanos>,
    pub(crate) heartbeat: Option<Heartbeat>,
    pub(crate) membership_sent: Option<Nanos>,
}

impl PeerState {
    pub(crate) fn is_reachable(&self, now: Nanos) -> bool {
        self.heard.is_some_and(|at| now < at + FAILURE_TIMEOUT)
    }
}

impl ControlPlane {
    /// Whether another node is heard, and hears this one.
    pub(crate) fn is_bidirectional(&self, node: NodeId) -> bool {
        let Some(peer) = self.peers.get(&node) else { return false };
        let hears_this_one = |heartbeat: &Heartbeat| heartbeat.reachable.contains(&self.identity.node);
        peer.is_reachable(self.now) && peer.heartbeat.as_ref().is_some_and(hears_this_one)
    }

    /// The heartbeat of a node that is heard, hears this one, and has the same membership.
    pub(crate) fn heartbeat_of(&self, node: NodeId) -> Option<&Heartbeat> {
        let heartbeat = self.peers.get(&node)?.heartbeat.as_ref()?;
        let same_membership = heartbeat.generation == self.generation();
        (same_membership && self.is_bidirectional(node)).then_some(heartbeat)
    }

    /// The replica on another node, as that node says.
    pub(crate) fn replica_of(&self, node: NodeId) -> Option<ReplicaId> {
        let disk = self.peers.get(&node)?.heartbeat.as_ref()?.disk?;
        Some(ReplicaId { node, disk })
    }

    /// Whether a voter can vote now, as far as this node can tell.
    pub(crate) fn is_active_voter(&self, replica: ReplicaId) -> bool {
        if Some(replica) == self.replica {
            return self.votes();
        }
        let votes = |heartbeat: &Heartbeat| heartbeat.status == ReplicaStatus::Voter;
        self.replica_of(replica.node) == Some(replica) && self.heartbeat_of(replica.node).is_some_and(votes)
    }

    /// Whether this node is in contact with a quorum of the voters.
    pub fn has_quorum(&self) -> bool {
        let Some(membership) = &self.membership else { return false };
        let active = membership.voters.iter().filter(|voter| self.is_active_voter(voter.replica));
        active.count() >= membership.quorum_size()
    }

    pub(crate) fn note_quorum(&mut self, out: &mut Vec<Output>) {
        let has_quorum = self.has_quorum();
        if has_quorum != self.quorum_since.is_some() {
            self.quorum_since = has_quorum.then_some(self.now);
            out.push(Output::Log(LogEvent::QuorumContact { in_contact: has_quorum }));
            self.heartbeat_at = 0;
        }
    }

    /// Whom to keep links to: all control nodes that are known.
    pub(crate) fn choose_links(&mut self, out: &mut Vec<Output>) {
        let voters = self.membership.iter().flat_map(|membership| membership.nodes());
        let permanent: BTreeSet<NodeId> = voters.chain(self.identity.seeds.iter().copied()).collect();
        let (now, started) = (self.now, self.started);
        self.peers.retain(|node, peer| {
            permanent.contains(node) || now < peer.heard.unwrap_or(started).saturating_add(FORGET_AFTER)
        });
        for node in permanent {
            if node != self.identity.node {
                self.peers.entry(node).or_default();
            }
        }
        let links: Vec<NodeId> = self.peers.keys().copied().collect();
        if links != self.links {
            self.links.clone_from(&links);
            out.push(Output::ConnectTo(links));
        }
    }

    pub(crate) fn connected(&mut self, node: NodeId, out: &mut Vec<Output>) {
        self.peers.entry(node).or_default();
        self.heartbeat(out);
        out.push(Output::Send(node, PeerMessage::RouterSessions(self.routers.local_routers())));
    }

    pub(crate) fn note_heard(&mut self, from: NodeId, out: &mut Vec<Output>) {
        if from == self.identity.node {
            return;
        }
        let is_new = !self.peers.contains_key(&from);
        self.peers.entry(from).or_default().heard = Some(self.now);
        if is_new {
            self.choose_links(out);
        }
    }

    pub(crate) fn heartbeat_if_due(&mut self, out: &mut Vec<Output>) {
        if self.now >= self.heartbeat_at + HEARTBEAT_INTERVAL {
            self.heartbeat(out);
        }
    }

    pub(crate) fn heartbeat(&mut self, out: &mut Vec<Output>) {
        self.heartbeat_at = self.now;
        let number = self.heartbeats.back().map_or(1, |(number, _)| number + 1);
        self.heartbeats.push_back((number, self.now));
        while self.heartbeats.front().is_some_and(|(_, at)| self.now > at + 2 * FORWARD_MAX_AGE) {
            self.heartbeats.pop_front();
        }
        let reachable = self.peers.iter().filter(|(_, peer)| peer.is_reachable(self.now));
        let heartbeat = Heartbeat {
            incarnation: self.identity.incarnation,
            sequence: number,
            disk: self.replica.map(|replica| replica.disk),
            zone: self.identity.zone.clone(),
            status: self.status,
            generation: self.generation(),
            draining: self.leaving_since.is_some(),
            reachable: reachable.map(|(node, _)| *node).collect(),
            has_quorum: self.has_quorum(),
            can_read_server_list: self.can_read_server_list(),
            committed: self.partitions.values().map(PartitionReplica::committed_sequence).collect(),
            server_list: self.list.position(),
        };
        self.send_to_all(&PeerMessage::Heartbeat(heartbeat), out);
    }

    pub(crate) fn on_heartbeat(&mut self, from: NodeId, heartbeat: Heartbeat, out: &mut Vec<Output>) {
        self.routers.keep_report_alive(self.now, from);
        self.learn_nodes(&heartbeat.reachable);
        self.fetch_missing(from, &heartbeat, out);
        if heartbeat.generation < self.generation() {
            self.send_membership(from, out);
        }
        // What an earlier process has sent last must not take the place of what the present one sends.
        let peer = self.peers.entry(from).or_default();
        let newer = |known: &Heartbeat| {
            known.incarnation != heartbeat.incarnation || known.sequence < heartbeat.sequence
        };
        let wants_seat = heartbeat.status != ReplicaStatus::Voter;
        if peer.heartbeat.as_ref().is_none_or(newer) {
            peer.heartbeat = Some(heartbeat);
        }
        if wants_seat {
            self.replace_voters(out);
        }
    }

    /// Nodes that others hear are called; they stay known if they answer.
    fn learn_nodes(&mut self, nodes: &[NodeId]) {
        for node in nodes {
            if *node != self.identity.node && !self.peers.contains_key(node) {
                let heard = Some(self.now.saturating_sub(FORGET_AFTER - HEARSAY_KEPT));
                self.peers.insert(*node, PeerState { heard, ..PeerState::default() });
            }
        }
    }

    /// Asks for what another node has committed and this one has not heard of.
    fn fetch_missing(&mut self, from: NodeId, heartbeat: &Heartbeat, out: &mut Vec<Output>) {
        for (part, sequence) in PartitionId::all().zip(&heartbeat.committed) {
            let after = self.partitions.get(&part).map_or(0, PartitionReplica::committed_sequence);
            if after < *sequence && self.fetched_at.get(&part).is_none_or(|at| self.now >= at + ASK_AGAIN) {
                self.fetched_at.insert(part, self.now);
                let (generation, message) = (self.generation(), ConsensusMessage::Fetch { after });
                out.push(Output::Send(from, PeerMessage::Consensus { generation, partition: part, message }));
            }
        }
        if heartbeat.server_list > self.list.position() && self.now >= self.servers_asked + ASK_AGAIN {
            self.servers_asked = self.now;
            out.push(Output::Send(from, PeerMessage::ServerListRequest));
        }
    }
}
