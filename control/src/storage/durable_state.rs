//! The state that results from the records of a control node's disk, and the shortest list of records that results in the same state.

use std::collections::BTreeMap;

use ivyhatch_protocol::ids::{PartitionId, ReplicaId};
use ivyhatch_protocol::peer::Membership;
use ivyhatch_protocol::registers::{StateUpdate, Version};

use crate::consensus::acceptor::Acceptor;
use crate::consensus::whole_values;
use crate::storage::record::Record;

/// The replica that a disk was formatted as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FormattedReplica {
    /// The replica's node and disk.
    pub id: ReplicaId,
    /// Whether the disk was formatted on the first start of the whole system.
    pub first_start: bool,
}

/// The state that results from all records of a disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableState {
    /// The replica that the disk was formatted as; `None` for an empty disk.
    pub replica: Option<FormattedReplica>,
    /// The newest membership; `None` before the first one.
    pub membership: Option<Membership>,
    /// The generation in which the replica became a voter; `None` until the replica holds the state that it needs to vote.
    pub joined: Option<u64>,
    /// What is promised, accepted and committed, by partition.
    pub partitions: BTreeMap<PartitionId, Acceptor>,
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
                // The decision on the next membership starts again in each generation.
                self.partitions.remove(&PartitionId::MEMBERSHIP);
                self.membership = Some(membership);
            }
            Record::Joined(generation) => self.joined = Some(generation),
            Record::Promised(partition, ballot) => self.acceptor(partition).promise(ballot),
            Record::AcceptedValue(partition, value) => {
                let update = whole_values::to_update(partition, &value);
                let _ = self.acceptor(partition).accept(&update);
            }
            Record::Committed(partition, ballot, sequence) => {
                let _ = self.acceptor(partition).commit(Version { ballot, sequence });
            }
            Record::AcceptedUpdate(partition, update) => {
                let _ = self.acceptor(partition).accept(&update);
            }
            Record::Learned(partition, update) => {
                let _ = self.acceptor(partition).learn(&update);
            }
        }
    }

    fn acceptor(&mut self, partition: PartitionId) -> &mut Acceptor {
        self.partitions.entry(partition).or_default()
    }

    /// Records that result in the same state, for compaction.
    pub fn records(&self) -> Vec<Record> {
        let formatted = self
            .replica
            .map(|FormattedReplica { id, first_start }| Record::Formatted { replica: id, first_start });
        let membership = self.membership.clone().map(Record::Membership);
        let joined = self.joined.map(Record::Joined);
        let head = formatted.into_iter().chain(membership).chain(joined);
        head.chain(self.partitions.iter().flat_map(partition_records)).collect()
    }
}

/// The records of a partition: its committed contents, the updates accepted since, and the promise.
fn partition_records((partition, acceptor): (&PartitionId, &Acceptor)) -> Vec<Record> {
    let mut records = Vec::new();
    if acceptor.committed().sequence > 0 {
        records.push(Record::Learned(*partition, acceptor.committed_update(None)));
    }
    let mut pending = acceptor.pending_updates();
    if pending.is_empty() && acceptor.accepted() > acceptor.committed() {
        // The committed contents were accepted again under a later ballot.
        let since = Some(acceptor.committed().sequence);
        pending.push(StateUpdate { version: acceptor.accepted(), ..acceptor.committed_update(since) });
    }
    records.extend(pending.into_iter().map(|update| Record::AcceptedUpdate(*partition, update)));
    records.push(Record::Promised(*partition, acceptor.promised()));
    records
}

impl FromIterator<Record> for DurableState {
    fn from_iter<I: IntoIterator<Item = Record>>(records: I) -> Self {
        let mut stored = Self::default();
        records.into_iter().for_each(|record| stored.apply(record));
        stored
    }
}
