//! What a control node's disk holds, made up from its records, and the shortest records that say the same.

use std::collections::BTreeMap;

use ivyhatch_protocol::ids::{Ballot, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{AcceptorState, Membership};

use crate::Record;

/// All that the records say together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableState {
    /// The replica as which the disk was formatted, and whether that was on the first start of the whole system.
    pub replica: Option<(ReplicaId, bool)>,
    /// The newest membership, once there is one.
    pub membership: Option<Membership>,
    /// The generation in which the replica became a voter, once it holds the state with which it may vote.
    pub joined: Option<u64>,
    /// What is promised and accepted, by partition.
    pub partitions: BTreeMap<PartitionId, AcceptorState>,
    /// By partition, the ballot and number of the last change that is known to be committed.
    pub committed: BTreeMap<PartitionId, (Ballot, u64)>,
}

impl DurableState {
    /// Takes one more record in.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::Formatted { replica, first_start } => {
                *self = Self { replica: Some((replica, first_start)), ..Self::default() };
            }
            Record::Membership(membership) => {
                // Each generation decides on the next one anew.
                self.partitions.remove(&PartitionId::MEMBERSHIP);
                self.membership = Some(membership);
            }
            Record::Joined(generation) => self.joined = Some(generation),
            Record::Promised(part, ballot) => {
                let state = self.partitions.entry(part).or_default();
                state.promised = state.promised.max(ballot);
            }
            Record::Accepted(part, value) => {
                let state = self.partitions.entry(part).or_default();
                state.promised = state.promised.max(value.ballot);
                state.accepted = Some(value);
            }
            Record::Committed(part, ballot, sequence) => {
                self.committed.insert(part, (ballot, sequence));
            }
        }
    }

    /// Records that say the same.
    pub fn records(&self) -> Vec<Record> {
        let formatted = self.replica.map(|(replica, first_start)| Record::Formatted { replica, first_start });
        let membership = self.membership.clone().map(Record::Membership);
        let joined = self.joined.map(Record::Joined);
        let partition = |(part, state): (&PartitionId, &AcceptorState)| {
            let accepted = state.accepted.clone().map(|value| Record::Accepted(*part, value));
            let committed = self.committed.get(part);
            let committed = committed.map(|(ballot, sequence)| Record::Committed(*part, *ballot, *sequence));
            accepted.into_iter().chain([Record::Promised(*part, state.promised)]).chain(committed)
        };
        let head = formatted.into_iter().chain(membership).chain(joined);
        head.chain(self.partitions.iter().flat_map(partition)).collect()
    }
}

impl FromIterator<Record> for DurableState {
    fn from_iter<I: IntoIterator<Item = Record>>(records: I) -> Self {
        let mut stored = Self::default();
        records.into_iter().for_each(|record| stored.apply(record));
        stored
    }
}
