//! The records of a control node's disk.

use ivyhatch_protocol::ids::{Ballot, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{AcceptedValue, Membership};
use ivyhatch_protocol::registers::StateUpdate;
use speedy::{Readable, Writable};

/// One record. All records together, in order, are what the replica has promised; `DurableState` is what they make up. The encoding
/// follows the order of variants and fields.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Record {
    /// The disk is this replica's from here on; earlier records do not count.
    Formatted {
        /// The replica.
        replica: ReplicaId,
        /// Whether this was on the first start of the whole system.
        first_start: bool,
    },
    /// The newest membership. Nothing is promised or accepted under an older one from here on.
    Membership(Membership),
    /// The replica holds the state that it needs to vote, as the voter that joined in this generation.
    Joined(u64),
    /// Lower ballots of the partition are rejected.
    Promised(PartitionId, Ballot),
    /// The whole value that was accepted for the partition; ballots below the value's are rejected. Written by releases before
    /// registers, and still read.
    AcceptedValue(PartitionId, AcceptedValue),
    /// The changes that were accepted under this ballot, up to this one, are committed: watchers may be sent them without a quorum.
    Committed(PartitionId, Ballot, u64),
    /// The update was accepted for the partition; ballots below the update's are rejected.
    AcceptedUpdate(PartitionId, StateUpdate),
    /// The contents that the update leads to are committed, as another replica has sent them.
    Learned(PartitionId, StateUpdate),
}
