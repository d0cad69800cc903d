//! State transfer to a new voter: what it collects from the voters of the generation before.

use std::collections::BTreeMap;

use ivyhatch_protocol::ids::{PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{AcceptorState, Membership};

/// What voters of the previous generation have handed out to a new voter.
#[derive(Clone, Debug, Default)]
pub struct StateCollector {
    sources: BTreeMap<ReplicaId, Vec<(PartitionId, AcceptorState)>>,
}

impl StateCollector {
    /// Takes in what one replica has promised and accepted.
    pub fn add(&mut self, source: ReplicaId, partitions: Vec<(PartitionId, AcceptorState)>) {
        self.sources.insert(source, partitions);
    }

    /// The newest state of each partition, once a quorum of the previous generation's voters has handed theirs out.
    pub fn complete(&self, membership: &Membership) -> Option<BTreeMap<PartitionId, AcceptorState>> {
        let of_voters =
            self.sources.iter().filter(|(source, _)| membership.previous_voter(**source).is_some());
        let handed_out: Vec<_> = of_voters.map(|(_, partitions)| partitions).collect();
        if handed_out.len() < membership.previous_quorum_size() {
            return None;
        }
        let mut merged: BTreeMap<PartitionId, AcceptorState> = BTreeMap::new();
        for (part, state) in handed_out.into_iter().flatten() {
            merged.entry(*part).or_default().merge(state);
        }
        Some(merged)
    }
}
