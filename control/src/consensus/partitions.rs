//! All partitions of the control state on one replica: the consensus replica and the decoded committed state of each.

use std::collections::BTreeMap;

use ivyhatch_protocol::ids::{Ballot, NodeId, PartitionId};
use ivyhatch_protocol::peer::TransferredState;

use crate::consensus::acceptor::Acceptor;
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
    /// For partitions that this node leads and in which proposals are not committed yet: the state after all proposed changes.
    proposed_states: BTreeMap<PartitionId, PartitionState>,
    /// Decides on the next membership; replaced by an empty replica in each generation.
    membership: PartitionReplica,
}

impl Partitions {
    /// The partitions as restored from disk; `has_coordination` adds the partitions of applications' calls.
    pub fn new(
        node: NodeId,
        incarnation: u64,
        has_coordination: bool,
        mut stored: BTreeMap<PartitionId, Acceptor>,
    ) -> Self {
        let mut replica = |partition| {
            let acceptor = stored.remove(&partition).unwrap_or_default();
            PartitionReplica::new(node, incarnation, acceptor)
        };
        Self {
            node,
            incarnation,
            membership: replica(PartitionId::MEMBERSHIP),
            replicas: PartitionId::control()
                .chain(PartitionId::coordination().filter(|_| has_coordination))
                .map(|partition| (partition, replica(partition)))
                .collect(),
            states: PartitionId::control()
                .map(|partition| (partition, PartitionState::empty(partition)))
                .collect(),
            proposed_states: BTreeMap::new(),
        }
    }

    /// The partitions that this node holds, without the membership's, in ascending order.
    pub fn ids(&self) -> Vec<PartitionId> {
        self.replicas.keys().copied().collect()
    }

    /// The consensus replica of a partition; `None` for a partition that this node does not hold.
    pub fn replica(&self, partition: PartitionId) -> Option<&PartitionReplica> {
        match partition {
            PartitionId::MEMBERSHIP => Some(&self.membership),
            _ => self.replicas.get(&partition),
        }
    }

    /// The consensus replica of a partition; `None` for a partition that this node does not hold.
    pub fn replica_mut(&mut self, partition: PartitionId) -> Option<&mut PartitionReplica> {
        match partition {
            PartitionId::MEMBERSHIP => Some(&mut self.membership),
            _ => self.replicas.get_mut(&partition),
        }
    }

    /// The consensus replica that decides on the next membership.
    pub fn membership_mut(&mut self) -> &mut PartitionReplica {
        &mut self.membership
    }

    /// Begins a new generation: the membership's partition starts again with an empty state.
    pub fn reset_membership(&mut self) {
        self.membership = PartitionReplica::new(self.node, self.incarnation, Acceptor::default());
    }

    /// Sets the voters of all partitions, which ends leadership under other voters. Returns the resulting effects by partition.
    pub fn set_voters(&mut self, voters: &[NodeId]) -> Vec<(PartitionId, Vec<Effect>)> {
        // The membership's partition was just reset: its replica leads nothing, and has no effects to return.
        self.membership.set_voters(voters, &mut Vec::new());
        let set = |(partition, replica): (&PartitionId, &mut PartitionReplica)| {
            let mut effects = Vec::new();
            replica.set_voters(voters, &mut effects);
            (*partition, effects)
        };
        self.replicas.iter_mut().map(set).collect()
    }

    /// The committed state of a partition, as of the last [`Partitions::read_committed_state`].
    pub fn state(&self, partition: PartitionId) -> Option<&PartitionState> {
        self.states.get(&partition)
    }

    /// Decodes the committed state of a partition from its registers, and returns it; `None` where the registers have a format that
    /// this release does not know.
    pub fn read_committed_state(&mut self, partition: PartitionId) -> Option<&PartitionState> {
        let registers = self.replicas.get(&partition)?.acceptor().registers();
        let state = PartitionState::from_registers(partition, registers)?;
        self.states.insert(partition, state);
        self.states.get(&partition)
    }

    /// The state of a partition that this node leads, after all changes that this node has proposed.
    pub fn proposed_state(&self, partition: PartitionId) -> Option<&PartitionState> {
        self.proposed_states.get(&partition).or_else(|| self.state(partition))
    }

    /// Sets the state of a partition after a change that is being proposed.
    pub fn set_proposed_state(&mut self, partition: PartitionId, state: PartitionState) {
        self.proposed_states.insert(partition, state);
    }

    /// Clears the proposed state of a partition, in which no proposal of this node is in flight any longer.
    pub fn clear_proposed_state(&mut self, partition: PartitionId) {
        self.proposed_states.remove(&partition);
    }

    /// The sequence number of the last change that was accepted here for a partition; 0 for none.
    pub fn accepted_sequence(&self, partition: PartitionId) -> u64 {
        self.replicas.get(&partition).map_or(0, |replica| replica.acceptor().accepted().sequence)
    }

    /// The sequence number of a partition's last committed change; 0 for none.
    pub fn committed_sequence(&self, partition: PartitionId) -> u64 {
        self.replicas.get(&partition).map_or(0, PartitionReplica::committed_sequence)
    }

    /// The committed sequence numbers of the partitions of [`Partitions::ids`], in the order of [`PartitionId::all`]; 0 for none.
    pub fn committed_sequences(&self) -> impl Iterator<Item = u64> {
        self.replicas.values().map(PartitionReplica::committed_sequence)
    }

    /// The ballot under which this replica leads a partition, if it does.
    pub fn leader_ballot(&self, partition: PartitionId) -> Option<Ballot> {
        self.replicas.get(&partition).and_then(PartitionReplica::leader_ballot)
    }

    /// Whether this replica leads a partition and may propose a change.
    pub fn can_propose(&self, partition: PartitionId) -> bool {
        self.replicas.get(&partition).is_some_and(PartitionReplica::can_propose)
    }

    /// Drops the confirmations of a partition with these numbers, which no request waits for any longer.
    pub fn cancel_confirmations(&mut self, partition: PartitionId, numbers: &[u64]) {
        if let Some(replica) = self.replicas.get_mut(&partition) {
            numbers.iter().for_each(|number| replica.cancel_confirmation(*number));
        }
    }

    /// What is promised and accepted for the partitions of [`Partitions::ids`]. `committed` holds the sequence numbers that the receiver
    /// has committed, in the same order; the contents of partitions beyond the end of `committed` are complete.
    pub fn transferred_states(&self, committed: &[u64]) -> Vec<(PartitionId, TransferredState)> {
        let receiver_sequences = committed.iter().copied().map(Some).chain(std::iter::repeat(None));
        let state = |((partition, replica), receiver_sequence): ((&PartitionId, &PartitionReplica), _)| {
            (*partition, replica.transferred_state(receiver_sequence))
        };
        self.replicas.iter().zip(receiver_sequences).map(state).collect()
    }

    /// The acceptors of the partitions of [`Partitions::ids`].
    pub fn acceptors(&self) -> impl Iterator<Item = (PartitionId, &Acceptor)> {
        self.replicas.iter().map(|(partition, replica)| (*partition, replica.acceptor()))
    }

    /// Whether [`Partitions::merge`] would keep all that another replica has accepted.
    pub fn can_merge(&self, partitions: &[(PartitionId, TransferredState)]) -> bool {
        let mut replicas_and_states =
            partitions.iter().filter_map(|(partition, state)| Some((self.replicas.get(partition)?, state)));
        replicas_and_states.all(|(replica, state)| replica.can_merge(state))
    }

    /// Merges what other replicas have promised and accepted. The caller stores the returned records, which make the result durable.
    pub fn merge(&mut self, collected: BTreeMap<PartitionId, Vec<TransferredState>>) -> Vec<Record> {
        let mut records = Vec::new();
        for (partition, states) in collected {
            let Some(replica) = self.replicas.get_mut(&partition) else { continue };
            for state in states {
                let accepted = replica.merge(&state);
                records.extend(accepted.map(|update| Record::AcceptedUpdate(partition, update)));
            }
            records.push(Record::Promised(partition, replica.acceptor().promised()));
        }
        records
    }
}
