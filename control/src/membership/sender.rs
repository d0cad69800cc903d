//! When the newest membership is sent to nodes that know an older one.

use std::collections::BTreeMap;

use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::{MILLISECOND, Nanos};

use crate::interface::WriteToken;
use crate::membership::rules::FIRST_GENERATION;

/// Wait before the membership is sent to the same node again.
const SEND_INTERVAL: Nanos = 250 * MILLISECOND;

/// Limits how often the newest membership is sent to each node.
#[derive(Debug, Default)]
pub struct MembershipSender {
    sent_at: BTreeMap<NodeId, Nanos>,
    /// The write of the first membership, until that write is durable. No node is sent a membership that a power loss may undo: later
    /// memberships are durable on a quorum, the first one is durable on this node only.
    bootstrap_write: Option<WriteToken>,
}

impl MembershipSender {
    /// Records that the membership of a generation is being written.
    pub fn write_begun(&mut self, token: WriteToken, generation: u64) {
        self.bootstrap_write = (generation == FIRST_GENERATION).then_some(token);
    }

    /// Records that a write is durable.
    pub fn write_completed(&mut self, token: WriteToken) {
        self.bootstrap_write.take_if(|write| *write == token);
    }

    /// Whether the membership may be sent to any node.
    pub fn may_send(&self) -> bool {
        self.bootstrap_write.is_none()
    }

    /// Whether to send the membership to a node now. Records the send if so.
    pub fn begin_send(&mut self, now: Nanos, to: NodeId) -> bool {
        self.sent_at.retain(|_, at| now < *at + SEND_INTERVAL);
        let should_send = self.may_send() && !self.sent_at.contains_key(&to);
        if should_send {
            self.sent_at.insert(to, now);
        }
        should_send
    }
}
