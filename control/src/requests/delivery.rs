//! The delivery of one request or call from the node that received it to the leader of its partition.

use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::{MILLISECOND, Nanos};

/// The longest wait for the response to a request. Less than a second, after which callers retry at another node.
pub const REQUEST_TIMEOUT: Nanos = 920 * MILLISECOND;
/// The wait before a request is forwarded to the same leader again.
const FORWARD_INTERVAL: Nanos = 300 * MILLISECOND;

/// The leader of a request's partition, as this node knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestLeader {
    /// This node leads the partition.
    Local,
    /// Another node leads the partition.
    Remote(NodeId),
}

/// The next step in the delivery of a request to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryStep {
    /// Add the request to this node's own queue.
    Enqueue,
    /// Send the request to another node, the leader.
    Forward(NodeId),
}

/// The node to which a request was last forwarded, and the time.
#[derive(Clone, Copy, Debug)]
struct Forwarded {
    to: NodeId,
    at: Nanos,
}

/// The delivery state of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Delivery {
    forwarded: Option<Forwarded>,
    /// Whether the request is in this node's own queue.
    is_queued: bool,
}

impl Delivery {
    /// The next step in the delivery to this leader; `None` while the request is queued at this node, or was forwarded to the leader
    /// less than `FORWARD_INTERVAL` ago. A new leader gets the request at once.
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

    /// Records that this node's own queue was dropped, so that the request is enqueued again if this node leads again.
    pub fn queue_dropped(&mut self) {
        self.is_queued = false;
    }
}
