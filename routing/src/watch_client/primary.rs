//! The selection of the primary control node, which sends all changes to the router.

use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::{MILLISECOND, Nanos};

use super::connections::{Connection, Connections};

/// A control node from which nothing was received for this time is not eligible as primary.
const SILENCE_TIMEOUT: Nanos = 1300 * MILLISECOND;

/// The primary control node, if there is one.
#[derive(Debug, Default)]
pub(super) struct Primary {
    node: Option<NodeId>,
}

/// A change of the primary control node.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrimaryChange {
    pub(super) previous: Option<NodeId>,
    pub(super) current: NodeId,
}

impl Primary {
    pub(super) fn is(&self, node: NodeId) -> bool {
        self.node == Some(node)
    }

    /// Replaces a primary that is silent or has lost its quorum by the nearest responsive node, preferring nodes with a quorum. A healthy
    /// primary is replaced only by a healthy node in a nearer zone or region; a shorter round trip alone is no reason to replace it. If
    /// no node is responsive, the current primary is kept. Returns the change, if any.
    pub(super) fn reselect(&mut self, connections: &Connections, now: Nanos) -> Option<PrimaryChange> {
        let current = self.node.and_then(|node| connections.get(node));
        let is_healthy = |connection: &Connection| is_responsive(connection, now) && connection.has_quorum;
        let candidates = connections.open().filter(|(_, connection)| is_responsive(connection, now));
        let (best, connection) = candidates.min_by_key(|(node, connection)| {
            (!connection.has_quorum, connections.distance(*node), connection.round_trip)
        })?;
        if let Some(node) = self.node.filter(|_| current.is_some_and(is_healthy)) {
            let is_nearer = connections.distance(best) < connections.distance(node);
            if !is_nearer || !is_healthy(connection) {
                return None;
            }
        }
        let previous = self.node.replace(best);
        (previous != Some(best)).then_some(PrimaryChange { previous, current: best })
    }
}

fn is_responsive(connection: &Connection, now: Nanos) -> bool {
    connection.is_open && now < connection.last_received_at + SILENCE_TIMEOUT
}
