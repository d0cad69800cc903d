//! The connections to control nodes, and the selection of the nodes to connect to: one in the router's own zone, one in another zone of its
//! region, and the others elsewhere, each by rendezvous hashing, with a back-off for nodes that can't be reached.

use std::collections::{BTreeMap, BTreeSet};

use ivyhatch_protocol::hash::{fnv1a_hash, hash_mix};
use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::watch::{ControlNode, Position};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

use crate::router_share::RouterShare;

/// Time between two heartbeats to a control node, and between two of its own.
pub(super) const HEARTBEAT_INTERVAL: Nanos = 500 * MILLISECOND;
/// Control nodes that a router is connected to at once.
const MAX_CONNECTIONS: usize = 3;
/// A control node to which there was no connection for so long makes room for another, if there is one.
const CONNECT_TIMEOUT: Nanos = 2 * SECOND;
/// For so long other control nodes are preferred to one that could not be reached.
const UNREACHABLE_BACKOFF: Nanos = 10 * SECOND;

/// Where a router is.
#[derive(Clone, Debug, Default)]
pub(super) struct Location {
    pub(super) zone: String,
    /// The zones of its region.
    pub(super) region_zones: BTreeSet<String>,
}

/// How far a control node is from the router; a nearer one is the lesser.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Distance {
    SameZone,
    SameRegion,
    /// In another region, or not known.
    Elsewhere,
}

/// A connection to a control node that is to be open, and what the node has reported on it.
#[derive(Debug, Default)]
pub(super) struct Connection {
    pub(super) is_open: bool,
    /// Since when there has been no connection; none before the first attempt has failed.
    disconnected_at: Option<Nanos>,
    pub(super) round_trip: Nanos,
    pub(super) last_received_at: Nanos,
    pub(super) has_quorum: bool,
    pub(super) position: Position,
    /// The router's share of common limits, as the node has reported it last.
    pub(super) router_share: RouterShare,
    /// When updates that the router lacks were last fetched from this node.
    pub(super) requested_at: Nanos,
    /// Since when the node's position has been ahead of the router's.
    pub(super) ahead_since: Option<Nanos>,
    /// When a part of a large message came last.
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

/// The connections to the selected control nodes, among all that are known.
#[derive(Debug)]
pub(super) struct Connections {
    router_hash: u64,
    location: Location,
    known_control_nodes: BTreeSet<NodeId>,
    /// The zones of control nodes, as far as they are known.
    zones: BTreeMap<NodeId, String>,
    by_node: BTreeMap<NodeId, Connection>,
    /// Control nodes that could not be reached, and until when others are preferred to them.
    unreachable_until: BTreeMap<NodeId, Nanos>,
}

impl Connections {
    /// No connections yet, for the router with this address.
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

    /// Adds control nodes with their zones.
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

    /// The connections that are open, by node.
    pub(super) fn open(&self) -> impl Iterator<Item = (NodeId, &Connection)> {
        let open = self.by_node.iter().filter(|(_, connection)| connection.is_open);
        open.map(|(node, connection)| (*node, connection))
    }

    pub(super) fn is_open(&self, node: NodeId) -> bool {
        self.get(node).is_some_and(|connection| connection.is_open)
    }

    /// Notes that a connection is open. Returns whether it is one of the selected ones.
    pub(super) fn record_connected(&mut self, node: NodeId, round_trip: Nanos, now: Nanos) -> bool {
        let Some(connection) = self.by_node.get_mut(&node) else { return false };
        *connection = Connection::opened(round_trip, now);
        true
    }

    /// Notes that a connection has ended or could not be opened. Further failed attempts do not move the time of the first.
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

    /// Selects the control nodes to be connected to anew. Returns them where they have changed.
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

    /// The control nodes to be connected to: the most preferred ones of the router's zone and of the other zones of its region, and
    /// beyond these the most preferred ones elsewhere, which a partition of the region does not reach.
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

    /// All known control nodes, the most preferred first. Each router has an order of its own, so that routers are spread over the
    /// control nodes. Where all are in back-off the one whose attempt is longest ago comes first: a network partition may have
    /// healed.
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
