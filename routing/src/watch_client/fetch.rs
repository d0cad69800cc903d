//! Selects the control nodes from which to fetch updates that the primary control node has not delivered in time.

use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::{MILLISECOND, Nanos};

use super::connections::Connections;
use super::replicated_state::ReplicatedState;

/// Time that the primary node has to deliver an update which another node already has.
const FETCH_DELAY: Nanos = 250 * MILLISECOND;
/// Minimum time between two fetches from the same node.
const FETCH_INTERVAL: Nanos = 2 * FETCH_DELAY;

/// Returns the control nodes to which a fetch of missing updates has to be sent now. Empty while fragments of a large message are
/// arriving: a second copy of the message would delay both.
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
        if now >= ahead_since + FETCH_DELAY && now >= connection.last_fetch_at + FETCH_INTERVAL {
            connection.last_fetch_at = now;
            due.push(node);
        }
    }
    due
}
