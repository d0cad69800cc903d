//! Updates that the primary control node does not bring in time are fetched from others that have them.

use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::{MILLISECOND, Nanos};

use super::connections::Connections;
use super::replicated_state::ReplicatedState;

/// How long the primary node may take to bring what another one has.
const FETCH_DELAY: Nanos = 250 * MILLISECOND;
/// Time between two fetches from one node.
const FETCH_INTERVAL: Nanos = 2 * FETCH_DELAY;

/// The control nodes to fetch missing updates from now. None while a large message is on its way: a second copy beside it would
/// delay both.
pub(super) fn due_fetches(connections: &mut Connections, state: &ReplicatedState, now: Nanos) -> Vec<NodeId> {
    if connections.open().any(|(_, connection)| now < connection.last_fragment_at + FETCH_DELAY) {
        return Vec::new();
    }
    let mut due = Vec::new();
    for (node, connection) in connections.iter_mut() {
        if !connection.is_open || !state.is_behind(&connection.position) {
            connection.ahead_since = None;
            continue;
        }
        let ahead_since = *connection.ahead_since.get_or_insert(now);
        if now >= ahead_since + FETCH_DELAY && now >= connection.requested_at + FETCH_INTERVAL {
            connection.requested_at = now;
            due.push(node);
        }
    }
    due
}
