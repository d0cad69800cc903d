//! The connections to control nodes, and the selection of the nodes to connect to: one in the router's own zone, one in another zone of
//! its region, and the others in other regions. Nodes are ranked by rendezvous hashing, with a back-off for unreachable nodes.

use std::collections::{BTreeMap, BTreeSet};

use ivyhatch_protocol::hash::{fnv1a_hash, hash_mix};
use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::watch::{ControlNode, Position};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

use crate::router_share::RouterShare;

/// Time between two heartbeats from the router to a control node, and between two heartbeats in the other direction.
pub(super) const HEARTBEAT_INTERVAL: Nanos = 500 * MILLISECOND;
/// Maximum number of control nodes that a router is connected to.
const MAX_CONNECTIONS: usize = 3;
/// A control node that has been disconnected for this time is replaced by another node, if there is one.
const CONNECT_TIMEOUT: Nanos = 2 * SECOND;
/// Time for which the other control nodes are preferred to an unreachable node.
const UNREACHABLE_BACKOFF: Nanos = 10 * SECOND;

/// The location of a router.
#[derive(Clone, Debug, Default)]
pub(super) struct Location {
    pub(super) zone: String,
    /// The zones of the router's region.
    pub(super) region_zones: BTreeSet<String>,
}

/// The distance of a control node from the router; a nearer node compares as less.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Distance {
    SameZone,
    SameRegion,
    /// In another region, or in an unknown zone.
    Elsewhere,
}

/// The connection to a selected control node, open or not, and what the node has reported on the connection.
#[derive(Debug, Default)]
pub(super) struct Connection {
    pub(super) is_open: bool,
    /// The time when the connection was lost or first failed to open; `None` before the first attempt has failed.
    disconnected_at: Option<Nanos>,
    pub(super) round_trip: Nanos,
    pub(super) last_received_at: Nanos,
    pub(super) has_quorum: bool,
    pub(super) position: Position,
    /// The router's share of common limits, as last reported by the node.
    pub(super) router_share: RouterShare,
    /// The time of the last fetch of missing updates from this node.
    pub(super) last_fetch_at: Nanos,
    /// The time since which the node's position has been ahead of the router's; `None` if it is not ahead.
    pub(super) ahead_since: Option<Nanos>,
    /// The time when the last fragment of a large message was received.
    pub(super) last_fragment_at: Nanos,
}

impl Connection {
    fn opened(round_trip: Nanos, now: Nanos) -> Self {
        Self { is_open: true, round_trip, last_received_at: now, ..Self::default() }
    }

    fn timed_out(&self, now: Nanos) -> bool {
        !self.is_open && self.disconnected_at.is_some_and(|since| now >= since + CONNECT_TIMEOUT)
    }
}

/// The known control nodes, and the connections to the selected ones.
#[derive(Debug)]
pub(super) struct Connections {
    router_hash: u64,
    location: Location,
    known_control_nodes: BTreeSet<NodeId>,
    /// The known zones of control nodes.
    zones: BTreeMap<NodeId, String>,
    by_node: BTreeMap<NodeId, Connection>,
    /// The unreachable control nodes, with the time until which other nodes are preferred to them.
    unreachable_until: BTreeMap<NodeId, Nanos>,
}

impl Connections {
    /// Creates the state without connections, for the router with this address.
    pub(super) fn new(router_address: &str, location: Location, seeds: &[NodeId]) -> Self {
        Self {
            router_hash: fnv1a_hash(router_address.as_bytes()),
            location,
            known_control_nodes: seeds.iter().copied().collect(),
            zones: BTreeMap::new(),
            by_node: BTreeMap::new(),
            unreachable_until: BTreeMap::new(),
        }
    }

    pub(super) fn add_known(&mut self, nodes: Vec<NodeId>) {
        self.known_control_nodes.extend(nodes);
    }

    /// Adds control nodes and records their zones; an empty zone is unknown.
    pub(super) fn set_locations(&mut self, nodes: Vec<ControlNode>) {
        for ControlNode { node, zone } in nodes {
            self.known_control_nodes.insert(node);
            if !zone.is_empty() {
                self.zones.insert(node, zone);
            }
        }
    }

    pub(super) fn distance(&self, node: NodeId) -> Distance {
        match self.zones.get(&node) {
            Some(zone) if *zone == self.location.zone => Distance::SameZone,
            Some(zone) if self.location.region_zones.contains(zone) => Distance::SameRegion,
            _ => Distance::Elsewhere,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_node.is_empty()
    }

    pub(super) fn get(&self, node: NodeId) -> Option<&Connection> {
        self.by_node.get(&node)
    }

    pub(super) fn get_mut(&mut self, node: NodeId) -> Option<&mut Connection> {
        self.by_node.get_mut(&node)
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (NodeId, &mut Connection)> {
        self.by_node.iter_mut().map(|(node, connection)| (*node, connection))
    }

    /// The open connections with their nodes.
    pub(super) fn open(&self) -> impl Iterator<Item = (NodeId, &Connection)> {
        let open = self.by_node.iter().filter(|(_, connection)| connection.is_open);
        open.map(|(node, connection)| (*node, connection))
    }

    pub(super) fn is_open(&self, node: NodeId) -> bool {
        self.get(node).is_some_and(|connection| connection.is_open)
    }

    /// Records that a connection is open. Returns whether its node is selected.
    pub(super) fn record_connected(&mut self, node: NodeId, round_trip: Nanos, now: Nanos) -> bool {
        let Some(connection) = self.by_node.get_mut(&node) else { return false };
        *connection = Connection::opened(round_trip, now);
        true
    }

    /// Records that a connection has ended or could not be opened. Further failed attempts do not change the time of the first failure.
    pub(super) fn record_disconnected(&mut self, node: NodeId, now: Nanos) {
        let Some(connection) = self.by_node.get_mut(&node) else { return };
        let was_open = std::mem::replace(&mut connection.is_open, false);
        if was_open || connection.disconnected_at.is_none() {
            connection.disconnected_at = Some(now);
        }
    }

    pub(super) fn record_fragment(&mut self, node: NodeId, now: Nanos) {
        if let Some(connection) = self.by_node.get_mut(&node) {
            (connection.last_received_at, connection.last_fragment_at) = (now, now);
        }
    }

    /// Repeats the selection of the control nodes to connect to. Returns the selected nodes if the selection has changed.
    pub(super) fn reselect(&mut self, now: Nanos) -> Option<Vec<NodeId>> {
        self.update_backoff(now);
        let selected = self.selection();
        if selected.iter().eq(self.by_node.keys()) {
            return None;
        }
        self.by_node.retain(|node, _| selected.contains(node));
        for node in &selected {
            self.by_node.entry(*node).or_default();
        }
        Some(selected.into_iter().collect())
    }

    fn update_backoff(&mut self, now: Nanos) {
        let timed_out = self.by_node.iter().filter(|(_, connection)| connection.timed_out(now));
        self.unreachable_until.extend(timed_out.map(|(node, _)| (*node, now + UNREACHABLE_BACKOFF)));
        self.unreachable_until.retain(|_, until| now < *until);
    }

    /// The control nodes to connect to: the most preferred node of the router's zone, the most preferred node of the other zones of its
    /// region, and otherwise the most preferred nodes of other regions, which a partition of the region does not affect.
    fn selection(&self) -> BTreeSet<NodeId> {
        let preferred = self.preferred();
        let is_available = |node: &&NodeId| !self.unreachable_until.contains_key(*node);
        let nearest = |distance| {
            let mut available = preferred.iter().filter(is_available);
            available.find(|node| self.distance(**node) == distance).copied()
        };
        let near = [Distance::SameZone, Distance::SameRegion].into_iter().filter_map(nearest);
        let mut selected: BTreeSet<NodeId> = near.collect();
        let elsewhere = preferred.iter().filter(is_available);
        let elsewhere = elsewhere.filter(|node| self.distance(**node) == Distance::Elsewhere);
        for node in elsewhere.chain(&preferred) {
            if selected.len() < MAX_CONNECTIONS {
                selected.insert(*node);
            }
        }
        selected
    }

    /// All known control nodes, the most preferred first. The order differs between routers, so that the routers are spread over the
    /// control nodes. If all nodes are in back-off, the node whose back-off ends first comes first, because a network partition may
    /// have healed since the last connection attempt to that node.
    fn preferred(&self) -> Vec<NodeId> {
        let mut nodes: Vec<NodeId> = self.known_control_nodes.iter().copied().collect();
        nodes.sort_unstable_by_key(|node| {
            let backoff_until = self.unreachable_until.get(node).copied().unwrap_or_default();
            (backoff_until, self.rendezvous_hash(*node), *node)
        });
        nodes
    }

    fn rendezvous_hash(&self, node: NodeId) -> u64 {
        hash_mix(self.router_hash ^ hash_mix(u64::from(node.0)))
    }
}
