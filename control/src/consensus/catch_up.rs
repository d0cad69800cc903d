//! Requests for committed changes that another node has and this one lacks.

use std::collections::BTreeMap;

use ivyhatch_protocol::ids::PartitionId;
use ivyhatch_protocol::{MILLISECOND, Nanos};

/// Wait before a change that was requested and has not come is requested again, from any node.
const REQUEST_INTERVAL: Nanos = 250 * MILLISECOND;

/// When the last change of each partition was requested.
#[derive(Debug, Default)]
pub struct CatchUp {
    requested_at: BTreeMap<PartitionId, Nanos>,
}

impl CatchUp {
    /// Whether to request the changes of a partition now from a node that has committed up to a sequence number above this node's.
    pub fn begin_request(&mut self, now: Nanos, partition: PartitionId) -> bool {
        let last = self.requested_at.get(&partition);
        let begins = last.is_none_or(|at| now >= at + REQUEST_INTERVAL);
        if begins {
            self.requested_at.insert(partition, now);
        }
        begins
    }
}
