//! State transfer to a new voter: it collects what the voters of the generation before have promised and accepted, and votes once
//! the newest of it is durable.

use std::collections::BTreeMap;

use ivyhatch_protocol::ids::{PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{Membership, TransferredState};
use ivyhatch_protocol::{MILLISECOND, Nanos};

use crate::interface::WriteToken;

/// Wait before a state that was requested and has not come is requested again.
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

    /// The states of each partition, once a quorum of the previous generation's voters has sent theirs.
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
    needs_whole_state: bool,
    write: Option<PendingWrite>,
}

impl StateTransfer {
    /// Begins anew for another membership. A write that is pending still counts for the generation that it was collected for.
    pub fn reset(&mut self) {
        self.collector = StateCollector::default();
        self.requested_at = None;
    }

    /// A state that was received does not apply to what this replica has committed: it is requested whole from now on.
    pub fn request_whole_state(&mut self) {
        self.needs_whole_state = true;
    }

    /// Whether states are to be requested whole.
    pub fn needs_whole_state(&self) -> bool {
        self.needs_whole_state
    }

    /// Whether the states are to be requested now, by a replica that lacks its state; the time counts as that of the request.
    pub fn begin_request(&mut self, now: Nanos) -> bool {
        let is_due = self.requested_at.is_none_or(|at| now >= at + REQUEST_INTERVAL);
        let begins = is_due && !self.is_writing();
        if begins {
            self.requested_at = Some(now);
        }
        begins
    }

    /// Whether a collected state is being written.
    pub fn is_writing(&self) -> bool {
        self.write.is_some()
    }

    /// Adds the state of one replica. Returns the states once there are enough.
    pub fn receive(
        &mut self,
        membership: &Membership,
        source: ReplicaId,
        partitions: Vec<(PartitionId, TransferredState)>,
    ) -> Option<BTreeMap<PartitionId, Vec<TransferredState>>> {
        self.collector.add(source, partitions);
        self.collector.complete(membership)
    }

    /// The collected state is being written, for a voter that joins in this generation.
    pub fn write_begun(&mut self, token: WriteToken, joined_generation: u64) {
        self.write = Some(PendingWrite { token, joined_generation });
    }

    /// A write is durable. If it is that of the collected state, returns the generation that the state was collected for.
    pub fn write_completed(&mut self, token: WriteToken) -> Option<u64> {
        self.write.take_if(|write| write.token == token).map(|write| write.joined_generation)
    }
}
