//! Requests for committed changes that this node lacks and another node has.

use std::collections::BTreeMap;

use ivyhatch_protocol::ids::PartitionId;
use ivyhatch_protocol::{MILLISECOND, Nanos};

/// Wait before changes that were requested and have not arrived are requested again, from any node.
const REQUEST_INTERVAL: Nanos = 250 * MILLISECOND;

/// When the missing changes of each partition were last requested.
#[derive(Debug, Default)]
pub struct CatchUp {
    requested_at: BTreeMap<PartitionId, Nanos>,
}

impl CatchUp {
    /// Whether to request a partition's missing changes now, from a node that has committed more than this one. Records the request.
    pub fn begin_request(&mut self, now: Nanos, partition: PartitionId) -> bool {
        let last = self.requested_at.get(&partition);
        let should_request = last.is_none_or(|at| now >= at + REQUEST_INTERVAL);
        if should_request {
            self.requested_at.insert(partition, now);
        }
        should_request
    }
}
