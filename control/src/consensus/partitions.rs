//! All partitions of the control state on one replica: their consensus, and the decoded values that are committed.

use std::collections::BTreeMap;

use ivyhatch_protocol::ids::{Ballot, NodeId, PartitionId};
use ivyhatch_protocol::peer::AcceptorState;

use crate::consensus::partition::{Effect, PartitionReplica};
use crate::consensus::partition_state::PartitionState;
use crate::storage::record::Record;

/// The partitions of a replica.
#[derive(Debug)]
pub struct Partitions {
    node: NodeId,
    incarnation: u64,
    replicas: BTreeMap<PartitionId, PartitionReplica>,
    states: BTreeMap<PartitionId, PartitionState>,
    /// Decides on the next membership, for the present generation only.
    membership: PartitionReplica,
}

impl Partitions {
    /// The partitions with what the disk holds of them.
    pub fn new(node: NodeId, incarnation: u64, mut stored: BTreeMap<PartitionId, AcceptorState>) -> Self {
        let mut replica = |partition| {
            let state = stored.remove(&partition).unwrap_or_default();
            PartitionReplica::new(node, incarnation, state)
        };
        Self {
            node,
            incarnation,
            membership: replica(PartitionId::MEMBERSHIP),
            replicas: PartitionId::all().map(|partition| (partition, replica(partition))).collect(),
            states: PartitionId::all()
                .map(|partition| (partition, PartitionState::empty(partition)))
                .collect(),
        }
    }

    /// The consensus of a partition; `None` for an unknown one.
    pub fn replica_mut(&mut self, partition: PartitionId) -> Option<&mut PartitionReplica> {
        match partition {
            PartitionId::MEMBERSHIP => Some(&mut self.membership),
            _ => self.replicas.get_mut(&partition),
        }
    }

    /// The partition that decides on the next membership.
    pub fn membership_mut(&mut self) -> &mut PartitionReplica {
        &mut self.membership
    }

    /// Begins a new generation: the partition of the membership starts from nothing.
    pub fn reset_membership(&mut self) {
        self.membership = PartitionReplica::new(self.node, self.incarnation, AcceptorState::default());
    }

    /// Sets the voters of all partitions. Leadership under other voters ends; returns what that causes, by partition.
    pub fn set_voters(&mut self, voters: &[NodeId]) -> Vec<(PartitionId, Vec<Effect>)> {
        // The partition of the membership has just begun, and leads nothing.
        self.membership.set_voters(voters, &mut Vec::new());
        let set = |(partition, replica): (&PartitionId, &mut PartitionReplica)| {
            let mut effects = Vec::new();
            replica.set_voters(voters, &mut effects);
            (*partition, effects)
        };
        self.replicas.iter_mut().map(set).collect()
    }

    /// The committed state of a partition.
    pub fn state(&self, partition: PartitionId) -> Option<&PartitionState> {
        self.states.get(&partition)
    }

    /// Replaces the committed state of a partition.
    pub fn set_state(&mut self, partition: PartitionId, state: PartitionState) {
        self.states.insert(partition, state);
    }

    /// Marks what the disk holds of a partition as committed. Returns the decoded state, if the disk holds that value.
    pub fn restore_committed(
        &mut self,
        partition: PartitionId,
        ballot: Ballot,
        sequence: u64,
    ) -> Option<PartitionState> {
        let committed = self.replicas.get_mut(&partition)?.mark_committed(ballot, sequence)?;
        PartitionState::decode(partition, &committed.value)
    }

    /// The sequence number of a partition's last committed change; 0 for none.
    pub fn committed_sequence(&self, partition: PartitionId) -> u64 {
        self.replicas.get(&partition).map_or(0, PartitionReplica::committed_sequence)
    }

    /// The sequence numbers of all partitions that hold state, in the order of [`PartitionId::all`].
    pub fn committed_sequences(&self) -> impl Iterator<Item = u64> {
        self.replicas.values().map(PartitionReplica::committed_sequence)
    }

    /// Whether the disk holds this change as the one that was accepted last.
    pub fn has_accepted(&self, partition: PartitionId, ballot: Ballot, sequence: u64) -> bool {
        let accepted = self.replicas.get(&partition).and_then(|replica| replica.state().accepted.as_ref());
        accepted.is_some_and(|accepted| (accepted.ballot, accepted.sequence) == (ballot, sequence))
    }

    /// The ballot under which this replica leads a partition, if it does.
    pub fn leader_ballot(&self, partition: PartitionId) -> Option<Ballot> {
        self.replicas.get(&partition).and_then(PartitionReplica::leader_ballot)
    }

    /// Whether this replica leads a partition and may propose a value.
    pub fn can_propose(&self, partition: PartitionId) -> bool {
        self.replicas.get(&partition).is_some_and(|replica| replica.ready_ballot().is_some())
    }

    /// Drops confirmations of a partition that nothing waits for any longer.
    pub fn cancel_confirmations(&mut self, partition: PartitionId, numbers: &[u64]) {
        if let Some(replica) = self.replicas.get_mut(&partition) {
            numbers.iter().for_each(|number| replica.cancel_confirmation(*number));
        }
    }

    /// What is promised and accepted for all partitions that hold state.
    pub fn acceptor_states(&self) -> Vec<(PartitionId, AcceptorState)> {
        let state =
            |(partition, replica): (&PartitionId, &PartitionReplica)| (*partition, replica.state().clone());
        self.replicas.iter().map(state).collect()
    }

    /// Merges what other replicas have promised and accepted. Returns the records that make the result durable.
    pub fn merge(&mut self, collected: BTreeMap<PartitionId, AcceptorState>) -> Vec<Record> {
        let mut records = Vec::new();
        for (partition, state) in collected {
            let Some(replica) = self.replicas.get_mut(&partition) else { continue };
            replica.merge(&state);
            let merged = replica.state().clone();
            records.push(Record::Promised(partition, merged.promised));
            records.extend(merged.accepted.map(|value| Record::Accepted(partition, value)));
        }
        records
    }
}
