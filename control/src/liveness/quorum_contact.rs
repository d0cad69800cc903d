//! How long this node has been in contact with a quorum.

use ivyhatch_protocol::{Nanos, SECOND};

/// After this time in contact with a quorum, a node has received the reports of all other nodes.
const SETTLING_TIME: Nanos = 2 * SECOND;

/// Contact with a quorum of the voters.
#[derive(Debug, Default)]
pub struct QuorumContact {
    since: Option<Nanos>,
}

impl QuorumContact {
    /// Updates the contact. Returns whether contact was made or lost by this update.
    pub fn update(&mut self, now: Nanos, has_quorum: bool) -> bool {
        let has_changed = has_quorum != self.since.is_some();
        if has_changed {
            self.since = has_quorum.then_some(now);
        }
        has_changed
    }

    /// Whether contact has lasted long enough for this node to have received the reports of all other nodes.
    pub fn is_settled(&self, now: Nanos) -> bool {
        self.since.is_some_and(|since| now >= since + SETTLING_TIME)
    }
}
