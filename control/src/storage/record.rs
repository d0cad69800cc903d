//! The records of a control node's disk.

use ivyhatch_protocol::ids::{Ballot, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{AcceptedValue, Membership};
use ivyhatch_protocol::registers::StateUpdate;
use speedy::{Readable, Writable};

/// One record. The replica's durable state, `DurableState`, results from all records in order. The encoding follows the order of
/// variants and fields.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Record {
    /// The disk was formatted for this replica; earlier records are ignored.
    Formatted {
        /// The replica's node and disk.
        replica: ReplicaId,
        /// Whether the disk was formatted on the first start of the whole system.
        first_start: bool,
    },
    /// The newest membership. After this record nothing is promised or accepted under an older membership.
    Membership(Membership),
    /// The replica holds the state that it needs to vote, as the voter that joined in this generation.
    Joined(u64),
    /// The ballot was promised for the partition; lower ones are rejected.
    Promised(PartitionId, Ballot),
    /// The whole value that was accepted for the partition; ballots below the value's are rejected. Written by releases before
    /// registers, and still read.
    AcceptedValue(PartitionId, AcceptedValue),
    /// The changes that were accepted under this ballot, up to this sequence number, are committed: watchers may be sent these changes
    /// even without contact with a quorum.
    Committed(PartitionId, Ballot, u64),
    /// The update was accepted for the partition; ballots below the update's are rejected.
    AcceptedUpdate(PartitionId, StateUpdate),
    /// The update was received from another replica and leads to contents that are known to be committed.
    Learned(PartitionId, StateUpdate),
}
