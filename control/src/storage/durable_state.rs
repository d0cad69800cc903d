//! The state that the records of a control node's disk make up, and the shortest list of records that makes up the same state.

use std::collections::BTreeMap;

use ivyhatch_protocol::ids::{Ballot, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{AcceptorState, Membership};

use crate::storage::record::Record;

/// The replica that a disk was formatted as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FormattedReplica {
    /// The replica.
    pub id: ReplicaId,
    /// Whether the disk was formatted on the first start of the whole system.
    pub first_start: bool,
}

/// What all records of a disk make up together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableState {
    /// The replica that the disk was formatted as; `None` for an empty disk.
    pub replica: Option<FormattedReplica>,
    /// The newest membership, once there is one.
    pub membership: Option<Membership>,
    /// The generation in which the replica became a voter, once it holds the state that it needs to vote.
    pub joined: Option<u64>,
    /// What is promised and accepted, by partition.
    pub partitions: BTreeMap<PartitionId, AcceptorState>,
    /// By partition, the ballot and sequence number of the last change that is known to be committed.
    pub committed: BTreeMap<PartitionId, (Ballot, u64)>,
}

impl DurableState {
    /// Applies the next record.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::Formatted { replica, first_start } => {
                let replica = Some(FormattedReplica { id: replica, first_start });
                *self = Self { replica, ..Self::default() };
            }
            Record::Membership(membership) => {
                // Each generation decides on the next one anew.
                self.partitions.remove(&PartitionId::MEMBERSHIP);
                self.membership = Some(membership);
            }
            Record::Joined(generation) => self.joined = Some(generation),
            Record::Promised(partition, ballot) => {
                let state = self.partitions.entry(partition).or_default();
                state.promised = state.promised.max(ballot);
            }
            Record::Accepted(partition, value) => {
                let state = self.partitions.entry(partition).or_default();
                state.promised = state.promised.max(value.ballot);
                state.accepted = Some(value);
            }
            Record::Committed(partition, ballot, sequence) => {
                self.committed.insert(partition, (ballot, sequence));
            }
        }
    }

    /// Records that make up the same state, for compaction.
    pub fn records(&self) -> Vec<Record> {
        let formatted = self
            .replica
            .map(|FormattedReplica { id, first_start }| Record::Formatted { replica: id, first_start });
        let membership = self.membership.clone().map(Record::Membership);
        let joined = self.joined.map(Record::Joined);
        let of_partition = |(partition, state): (&PartitionId, &AcceptorState)| {
            let accepted = state.accepted.clone().map(|value| Record::Accepted(*partition, value));
            let promised = Record::Promised(*partition, state.promised);
            let committed = self.committed.get(partition);
            let committed =
                committed.map(|(ballot, sequence)| Record::Committed(*partition, *ballot, *sequence));
            accepted.into_iter().chain([promised]).chain(committed)
        };
        let head = formatted.into_iter().chain(membership).chain(joined);
        head.chain(self.partitions.iter().flat_map(of_partition)).collect()
    }
}

impl FromIterator<Record> for DurableState {
    fn from_iter<I: IntoIterator<Item = Record>>(records: I) -> Self {
        let mut stored = Self::default();
        records.into_iter().for_each(|record| stored.apply(record));
        stored
    }
}
