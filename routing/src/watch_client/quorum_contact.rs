//! Detects whether the router is in contact with a quorum of the control plane through any control node.

use ivyhatch_protocol::{MILLISECOND, Nanos};

use super::connections::{Connections, HEARTBEAT_INTERVAL};

/// A control node counts as reachable for this time after its last message: two heartbeat intervals.
const MAX_MESSAGE_AGE: Nanos = 2 * HEARTBEAT_INTERVAL;
/// Time without contact after which the contact counts as lost: changes may have been committed since without the router's knowledge.
const CONTACT_TIMEOUT: Nanos = 400 * MILLISECOND;

/// Whether a control node that is in contact with a quorum is reachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuorumContact {
    /// Such a control node is reachable.
    Established,
    /// No such control node is reachable: evacuations may have changed without the router's knowledge.
    Lost,
}

/// Tracks the contact with a quorum. The initial state is `Established`, so that a new router has time to connect.
#[derive(Debug)]
pub(super) struct QuorumContactMonitor {
    last_contact_at: Nanos,
    current: QuorumContact,
}

impl QuorumContactMonitor {
    pub(super) fn new(now: Nanos) -> Self {
        Self { last_contact_at: now, current: QuorumContact::Established }
    }

    pub(super) fn current(&self) -> QuorumContact {
        self.current
    }

    /// Updates the state from the connections. Returns the new state if it has changed.
    pub(super) fn update(&mut self, connections: &Connections, now: Nanos) -> Option<QuorumContact> {
        let mut open = connections.open();
        if open.any(|(_, node)| node.has_quorum && now < node.last_received_at + MAX_MESSAGE_AGE) {
            self.last_contact_at = now;
        }
        let in_time = now < self.last_contact_at + CONTACT_TIMEOUT;
        let contact = if in_time { QuorumContact::Established } else { QuorumContact::Lost };
        let previous = std::mem::replace(&mut self.current, contact);
        (previous != contact).then_some(contact)
    }
}
