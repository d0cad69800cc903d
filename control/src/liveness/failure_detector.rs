//! The other known control nodes, their last heartbeats, and whether each is reachable.

use std::collections::{BTreeMap, BTreeSet};

use ivyhatch_protocol::ids::{NodeId, ReplicaId};
use ivyhatch_protocol::peer::Heartbeat;
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

/// A node from which nothing was received for this long counts as unreachable: four heartbeat intervals, as a connection between
/// regions occasionally delays a heartbeat.
pub const FAILURE_TIMEOUT: Nanos = 850 * MILLISECOND;
/// A node that is neither a voter nor a seed is removed when nothing was received from that node for this long.
const FORGET_TIMEOUT: Nanos = 60 * SECOND;
/// A node that is known only from the heartbeats of other nodes is removed unless it sends a message within this time.
const DISCOVERY_TIMEOUT: Nanos = 5 * SECOND;

/// Another control node.
#[derive(Debug, Default)]
struct Peer {
    last_received_at: Option<Nanos>,
    heartbeat: Option<Heartbeat>,
    /// Whether the node understands messages that carry registers; `None` before a message has shown that.
    supports_registers: Option<bool>,
}

impl Peer {
    fn is_reachable(&self, now: Nanos) -> bool {
        self.last_received_at.is_some_and(|at| now < at + FAILURE_TIMEOUT)
    }
}

/// The other control nodes as this node sees them.
#[derive(Debug)]
pub struct FailureDetector {
    node: NodeId,
    started_at: Nanos,
    peers: BTreeMap<NodeId, Peer>,
    connected: Vec<NodeId>,
}

impl FailureDetector {
    /// The detector of a node that has just started.
    pub fn new(node: NodeId, started_at: Nanos) -> Self {
        Self { node, started_at, peers: BTreeMap::new(), connected: Vec::new() }
    }

    /// The other nodes that are known, in the order of addresses.
    pub fn nodes(&self) -> impl Iterator<Item = NodeId> {
        self.peers.keys().copied()
    }

    /// Adds a node to which this one has a connection.
    pub fn add(&mut self, node: NodeId) {
        self.peers.entry(node).or_default();
    }

    /// Records that a message was received. Returns whether its sender was unknown before.
    pub fn record_message(&mut self, now: Nanos, from: NodeId) -> bool {
        if from == self.node {
            return false;
        }
        let is_new = !self.peers.contains_key(&from);
        self.peers.entry(from).or_default().last_received_at = Some(now);
        is_new
    }

    /// Records a heartbeat, unless a later one of the same process is known: heartbeats on a closed connection may arrive after those
    /// on its successor.
    pub fn record_heartbeat(&mut self, from: NodeId, heartbeat: Heartbeat) {
        let peer = self.peers.entry(from).or_default();
        let is_newer = peer.heartbeat.as_ref().is_none_or(|last| {
            last.incarnation != heartbeat.incarnation || last.sequence < heartbeat.sequence
        });
        if is_newer {
            peer.supports_registers = Some(heartbeat.supports_registers());
            peer.heartbeat = Some(heartbeat);
        }
    }

    /// Records that a message has shown whether its sender understands messages that carry registers.
    pub fn record_support(&mut self, node: NodeId, supports_registers: bool) {
        self.peers.entry(node).or_default().supports_registers = Some(supports_registers);
    }

    /// Whether a node understands messages that carry registers; `None` before a message has shown that.
    pub fn supports_registers(&self, node: NodeId) -> Option<bool> {
        self.peers.get(&node)?.supports_registers
    }

    /// Whether a node's last heartbeat shows that it holds the partitions of applications' calls.
    pub fn supports_coordination(&self, node: NodeId) -> bool {
        self.heartbeat(node).is_some_and(Heartbeat::supports_coordination)
    }

    /// Adds nodes that another node can reach. Each is removed after `DISCOVERY_TIMEOUT` unless it sends a message.
    pub fn discover(&mut self, now: Nanos, nodes: &[NodeId]) {
        let last_received_at = Some(now.saturating_sub(FORGET_TIMEOUT - DISCOVERY_TIMEOUT));
        for node in nodes.iter().filter(|node| **node != self.node) {
            self.peers.entry(*node).or_insert(Peer { last_received_at, ..Peer::default() });
        }
    }

    /// Removes nodes from which nothing was received for `FORGET_TIMEOUT`, except `permanent` ones (voters and seeds), which are added
    /// if missing. Returns the nodes to connect to, which are all known ones, if that list has changed.
    pub fn update_connections(&mut self, now: Nanos, permanent: &BTreeSet<NodeId>) -> Option<Vec<NodeId>> {
        self.peers.retain(|node, peer| {
            let last_received_at = peer.last_received_at.unwrap_or(self.started_at);
            permanent.contains(node) || now < last_received_at.saturating_add(FORGET_TIMEOUT)
        });
        for node in permanent.iter().filter(|node| **node != self.node) {
            self.peers.entry(*node).or_default();
        }
        let nodes: Vec<NodeId> = self.nodes().collect();
        if nodes == self.connected {
            return None;
        }
        self.connected.clone_from(&nodes);
        Some(nodes)
    }

    /// Whether something was received from a node within [`FAILURE_TIMEOUT`].
    pub fn is_reachable(&self, now: Nanos, node: NodeId) -> bool {
        self.peers.get(&node).is_some_and(|peer| peer.is_reachable(now))
    }

    /// The reachable nodes.
    pub fn reachable_nodes(&self, now: Nanos) -> Vec<NodeId> {
        let reachable = self.peers.iter().filter(|(_, peer)| peer.is_reachable(now));
        reachable.map(|(node, _)| *node).collect()
    }

    /// Whether a node is reachable and its last heartbeat lists this node as reachable.
    pub fn is_bidirectional(&self, now: Nanos, node: NodeId) -> bool {
        let reaches_this_node = |heartbeat: &Heartbeat| heartbeat.reachable.contains(&self.node);
        self.reachable_heartbeat(now, node).is_some_and(reaches_this_node)
    }

    /// The time of the last message from a node, or of this node's start if there was none.
    pub fn silent_since(&self, node: NodeId) -> Nanos {
        self.peers.get(&node).and_then(|peer| peer.last_received_at).unwrap_or(self.started_at)
    }

    /// The last heartbeat of a node, however old.
    pub fn heartbeat(&self, node: NodeId) -> Option<&Heartbeat> {
        self.peers.get(&node)?.heartbeat.as_ref()
    }

    /// The last heartbeat of a node, if the node is reachable.
    pub fn reachable_heartbeat(&self, now: Nanos, node: NodeId) -> Option<&Heartbeat> {
        self.heartbeat(node).filter(|_| self.is_reachable(now, node))
    }

    /// The last heartbeats of all nodes, however old.
    pub fn heartbeats(&self) -> impl Iterator<Item = &Heartbeat> {
        self.peers.values().filter_map(|peer| peer.heartbeat.as_ref())
    }

    /// The replica on a node according to its last heartbeat; `None` without a heartbeat, or if the node has no disk.
    pub fn replica(&self, node: NodeId) -> Option<ReplicaId> {
        let disk = self.heartbeat(node)?.disk?;
        Some(ReplicaId { node, disk })
    }
}
