//! The way of one request or call from the node that it came to, to the leader of its partition.

use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::{MILLISECOND, Nanos};

/// A request is answered within this: callers turn to another node after a second without an answer.
pub const REQUEST_TIMEOUT: Nanos = 920 * MILLISECOND;
/// Wait before a request is sent to the same leader again.
const FORWARD_INTERVAL: Nanos = 300 * MILLISECOND;

/// The leader of a request's partition, as this node knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestLeader {
    /// This node.
    Local,
    /// Another node.
    Remote(NodeId),
}

/// What brings a request to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryStep {
    /// It goes into this node's own queue.
    Enqueue,
    /// It goes to another node.
    Forward(NodeId),
}

/// When a request was forwarded last, and to whom.
#[derive(Clone, Copy, Debug)]
struct Forwarded {
    to: NodeId,
    at: Nanos,
}

/// How far a request is on its way.
#[derive(Clone, Copy, Debug, Default)]
pub struct Delivery {
    forwarded: Option<Forwarded>,
    /// It is in this node's own queue, as this node leads the partition.
    is_queued: bool,
}

impl Delivery {
    /// The next step to this leader; none where the request is there or on its way. A leader that does not answer is sent it again after a
    /// while, and a new one at once.
    pub fn next_step(&mut self, now: Nanos, leader: RequestLeader) -> Option<DeliveryStep> {
        match leader {
            RequestLeader::Local if self.is_queued => None,
            RequestLeader::Local => {
                self.is_queued = true;
                Some(DeliveryStep::Enqueue)
            }
            RequestLeader::Remote(to) => {
                let is_due = |last: Forwarded| last.to != to || now >= last.at + FORWARD_INTERVAL;
                if !self.forwarded.is_none_or(is_due) {
                    return None;
                }
                self.forwarded = Some(Forwarded { to, at: now });
                Some(DeliveryStep::Forward(to))
            }
        }
    }

    /// This node's own queue was dropped: the request is brought to the leader anew.
    pub fn queue_dropped(&mut self) {
        self.is_queued = false;
    }
}
