//! The calls by which applications coordinate (locks, numbers, cells and watches), and their outcomes.
//!
//! The type of an outcome says whether the call may take effect. A caller may retry a call with the outcome
//! [`CallOutcome::NotStarted`] at any control node. After [`CallOutcome::Unknown`] the caller has to expect both that the
//! call takes effect and that it does not.

use std::fmt;

use speedy::{Readable, Writable};

use crate::ids::PartitionId;

/// The character that ends the group in the name of a cell.
const GROUP_END: char = '.';

/// An application's call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Readable, Writable)]
pub enum Call {
    /// Acquires a lock, also if `holder` already holds the lock.
    AcquireLock {
        /// The name of the lock.
        name: String,
        /// The identity under which the caller acquires the lock.
        holder: String,
        /// The duration of the lease in milliseconds, from the moment at which the holder sent the call.
        hold_ms: u64,
    },
    /// Renews the lease of a lock, if `holder` still holds the lock under this fencing token.
    RenewLock {
        /// The name of the lock.
        name: String,
        /// The holder of the lock.
        holder: String,
        /// The fencing token that the holder received when it acquired the lock.
        fence: u64,
        /// The duration of the lease in milliseconds, from the moment at which the holder sent the call.
        hold_ms: u64,
    },
    /// Releases a lock, if `holder` holds the lock under this fencing token.
    ReleaseLock {
        /// The name of the lock.
        name: String,
        /// The holder of the lock.
        holder: String,
        /// The fencing token that the holder received when it acquired the lock.
        fence: u64,
    },
    /// Allocates a number greater than all numbers that were allocated under the name before.
    NextNumber {
        /// The name of the sequence of numbers.
        name: String,
    },
    /// Writes a cell.
    PutCell {
        /// The name of the cell.
        name: String,
        /// The new value. No two puts of a cell have the same value, so that a retried put is recognised by its value.
        value: String,
        /// The revision that the cell must have, 0 for a cell that must not exist; `None` for any.
        expected_revision: Option<u64>,
    },
    /// Reads a cell; the read is linearizable.
    ReadCell {
        /// The name of the cell.
        name: String,
    },
    /// Waits for puts in a group of cells.
    WatchGroup {
        /// The group, including the dot at its end; see [`group_of`].
        group: String,
        /// The last revision that the watcher knows; 0 requests the current revision.
        after: u64,
        /// How long to wait if there is no later revision, in milliseconds.
        wait_ms: u64,
    },
}

/// The group of a cell: its name up to and including the first dot, or the whole name.
pub fn group_of(cell: &str) -> &str {
    cell.find(GROUP_END).map_or(cell, |end| &cell[..=end])
}

impl Call {
    /// The partition whose leader decides on the call.
    pub fn partition(&self) -> PartitionId {
        PartitionId::for_coordination(match self {
            Self::AcquireLock { name, .. }
            | Self::RenewLock { name, .. }
            | Self::ReleaseLock { name, .. }
            | Self::NextNumber { name } => name,
            Self::PutCell { name, .. } | Self::ReadCell { name } => group_of(name),
            Self::WatchGroup { group, .. } => group,
        })
    }

    /// Whether the call is read-only.
    pub fn is_read(&self) -> bool {
        matches!(self, Self::ReadCell { .. } | Self::WatchGroup { .. })
    }

    /// How long the call may wait for an event before it is answered, in milliseconds; 0 if the call does not wait.
    pub fn wait_ms(&self) -> u64 {
        match self {
            Self::WatchGroup { wait_ms, .. } => *wait_ms,
            _ => 0,
        }
    }
}

/// A put in a group of cells.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Readable, Writable)]
pub struct CellEvent {
    /// The name of the cell.
    pub name: String,
    /// The new value of the cell.
    pub value: String,
    /// The revision of the group that the put created.
    pub revision: u64,
}

/// The result of a call that was applied.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Readable, Writable)]
pub enum Reply {
    /// The caller holds the lock.
    LockAcquired {
        /// The fencing token, which is greater than the token of each earlier holder.
        fence: u64,
    },
    /// The lease of the lock was renewed.
    LockRenewed,
    /// The caller no longer holds the lock.
    LockReleased,
    /// A number was allocated.
    Number {
        /// The allocated number.
        value: u64,
    },
    /// The cell has the value, or had it: the call or an earlier attempt of the same put was applied.
    CellPut {
        /// The revision that the first of these attempts created.
        revision: u64,
    },
    /// The contents of the cell.
    Cell {
        /// The value of the cell.
        value: String,
        /// The revision of the put that wrote the value.
        revision: u64,
    },
    /// The puts in a group since the watcher's revision.
    Events {
        /// Each put after the watcher's revision and up to `revision`, in order.
        events: Vec<CellEvent>,
        /// The revision from which the watcher has to continue.
        revision: u64,
    },
}

/// Why a call was refused. A refused call has not taken effect and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Readable, Writable)]
pub enum Refusal {
    /// The lock is held by another holder.
    LockHeld,
    /// The caller no longer holds the lock.
    LockLost,
    /// The revision of the cell differs from the revision that the put expects.
    RevisionConflict {
        /// The cell's revision; 0 if the cell does not exist.
        revision: u64,
    },
    /// The cell does not exist.
    NoSuchCell,
    /// The history of puts does not reach back to the watcher's revision.
    HistoryExpired {
        /// The group's current revision.
        revision: u64,
    },
    /// The watcher's revision is higher than that of the group.
    RevisionAhead {
        /// The group's current revision.
        revision: u64,
    },
}

/// Why a call was not started. Such a call has not taken effect and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Readable, Writable)]
pub enum NotStarted {
    /// Too many calls are waiting, or too much is stored.
    Overloaded,
    /// The leader of the partition could not be reached.
    NoQuorum,
    /// The node to which the call was forwarded does not lead the partition. Sent between control nodes only; the
    /// sender of the call forwards it again.
    NotLeader,
}

impl fmt::Display for NotStarted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Overloaded => {
                "too many calls for this name are waiting, or too much is stored: retry the call later"
            }
            Self::NoQuorum => {
                "no quorum of the control nodes can be reached now: retry the call at any control node"
            }
            Self::NotLeader => "the leader of this name's partition is changing: retry the call",
        })
    }
}

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Readable, Writable)]
pub enum CallOutcome {
    /// The call was applied.
    Applied(Reply),
    /// The call was refused.
    Refused(Refusal),
    /// The call was not started.
    NotStarted(NotStarted),
    /// The call may have taken effect, or may still take effect.
    Unknown,
}
