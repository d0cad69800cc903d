//! State transfer to a new voter, which collects what the voters of the previous generation have promised and accepted, and votes once
//! the newest of these states is durable.

use std::collections::BTreeMap;

use ivyhatch_protocol::ids::{PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{Membership, TransferredState};
use ivyhatch_protocol::{MILLISECOND, Nanos};

use crate::interface::WriteToken;

/// Wait before a state that was requested and has not arrived is requested again.
const REQUEST_INTERVAL: Nanos = 250 * MILLISECOND;

/// The states that voters of the previous generation have sent to a new voter.
#[derive(Clone, Debug, Default)]
pub struct StateCollector {
    sources: BTreeMap<ReplicaId, Vec<(PartitionId, TransferredState)>>,
}

impl StateCollector {
    /// Adds what one replica has promised and accepted.
    pub fn add(&mut self, source: ReplicaId, partitions: Vec<(PartitionId, TransferredState)>) {
        self.sources.insert(source, partitions);
    }

    /// The states of each partition; `None` until a quorum of the previous generation's voters has sent their states.
    pub fn complete(&self, membership: &Membership) -> Option<BTreeMap<PartitionId, Vec<TransferredState>>> {
        let from_voters =
            self.sources.iter().filter(|(source, _)| membership.previous_voter(**source).is_some());
        let states: Vec<_> = from_voters.map(|(_, partitions)| partitions).collect();
        if states.len() < membership.previous_quorum_size() {
            return None;
        }
        let mut collected: BTreeMap<PartitionId, Vec<TransferredState>> = BTreeMap::new();
        for (partition, state) in states.into_iter().flatten() {
            collected.entry(*partition).or_default().push(state.clone());
        }
        Some(collected)
    }
}

/// The write of a collected state.
#[derive(Clone, Copy, Debug)]
struct PendingWrite {
    token: WriteToken,
    joined_generation: u64,
}

/// The state transfer to this node.
#[derive(Debug, Default)]
pub struct StateTransfer {
    collector: StateCollector,
    requested_at: Option<Nanos>,
    needs_complete_state: bool,
    write: Option<PendingWrite>,
}

impl StateTransfer {
    /// Starts again for another membership. A pending write still counts for the generation for which its state was collected.
    pub fn reset(&mut self) {
        self.collector = StateCollector::default();
        self.requested_at = None;
    }

    /// Requests complete states from now on, as a received state does not apply to the contents that this replica has committed.
    pub fn request_complete_state(&mut self) {
        self.needs_complete_state = true;
    }

    /// Whether to request complete states, not only the changes that this replica lacks.
    pub fn needs_complete_state(&self) -> bool {
        self.needs_complete_state
    }

    /// Whether this replica, which lacks the state that it needs to vote, is to request that state now. Records the request if so.
    pub fn begin_request(&mut self, now: Nanos) -> bool {
        let is_due = self.requested_at.is_none_or(|at| now >= at + REQUEST_INTERVAL);
        let should_request = is_due && !self.is_writing();
        if should_request {
            self.requested_at = Some(now);
        }
        should_request
    }

    /// Whether a collected state is being written.
    pub fn is_writing(&self) -> bool {
        self.write.is_some()
    }

    /// Adds the state of one replica. Returns the states of each partition once a quorum of the previous generation has sent them.
    pub fn receive(
        &mut self,
        membership: &Membership,
        source: ReplicaId,
        partitions: Vec<(PartitionId, TransferredState)>,
    ) -> Option<BTreeMap<PartitionId, Vec<TransferredState>>> {
        self.collector.add(source, partitions);
        self.collector.complete(membership)
    }

    /// Records that the collected state is being written, for a voter that joins in this generation.
    pub fn write_begun(&mut self, token: WriteToken, joined_generation: u64) {
        self.write = Some(PendingWrite { token, joined_generation });
    }

    /// Records that a write is durable. If it wrote the collected state, returns the generation for which the state was collected.
    pub fn write_completed(&mut self, token: WriteToken) -> Option<u64> {
        self.write.take_if(|write| write.token == token).map(|write| write.joined_generation)
    }
}
