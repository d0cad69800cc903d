//! The calls by which applications coordinate: locks, numbers, cells and watches, and what becomes of a call.
//!
//! Each outcome is typed by what it promises. A caller may repeat a call whose outcome is [`CallOutcome::NotStarted`] anywhere; after
//! [`CallOutcome::Unknown`] it has to reckon with both.

use std::fmt;

use speedy::{Readable, Writable};

use crate::ids::PartitionId;

/// The character that ends the group in the name of a cell.
const GROUP_END: char = '.';

/// An application's call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Readable, Writable)]
pub enum Call {
    /// Takes a lock, or takes it again where the holder has it.
    AcquireLock {
        /// The lock.
        name: String,
        /// Who is to hold it.
        holder: String,
        /// For how long, from when the holder sent the call.
        hold_ms: u64,
    },
    /// Holds a lock for longer.
    RenewLock {
        /// The lock.
        name: String,
        /// Its holder.
        holder: String,
        /// The fencing token that the holder was given.
        fence: u64,
        /// For how long, from when the holder sent the call.
        hold_ms: u64,
    },
    /// Frees a lock, if this holder has it with this fencing token.
    ReleaseLock {
        /// The lock.
        name: String,
        /// Its holder.
        holder: String,
        /// The fencing token that the holder was given.
        fence: u64,
    },
    /// Gives out a number above all that were given out under the name before.
    NextNumber {
        /// The name.
        name: String,
    },
    /// Writes a cell.
    PutCell {
        /// The cell.
        name: String,
        /// Its new value. No other put of the cell has the same one, so that a put that comes again is recognised by it.
        value: String,
        /// The revision that the cell must have, 0 for a cell that must not exist; `None` for any.
        expected_revision: Option<u64>,
    },
    /// Reads a cell; the read is linearizable.
    ReadCell {
        /// The cell.
        name: String,
    },
    /// Waits for puts in a group of cells.
    WatchGroup {
        /// The group, with the dot that ends it.
        group: String,
        /// The last revision that the watcher knows; 0 asks for the present one.
        after: u64,
        /// For how long to wait where there is no later one.
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

    /// Whether the call changes nothing, whatever becomes of it.
    pub fn is_read(&self) -> bool {
        matches!(self, Self::ReadCell { .. } | Self::WatchGroup { .. })
    }

    /// For how long the call may have to wait before it is answered, in milliseconds.
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
    /// The cell.
    pub name: String,
    /// Its new value.
    pub value: String,
    /// The revision of the group that the put made.
    pub revision: u64,
}

/// What a call that was carried out gives back.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Readable, Writable)]
pub enum Reply {
    /// The lock is held.
    LockAcquired {
        /// The fencing token: above that of each earlier holder.
        fence: u64,
    },
    /// The lock is held for longer.
    LockRenewed,
    /// The caller does not hold the lock any longer.
    LockReleased,
    /// A number.
    Number {
        /// The number.
        value: u64,
    },
    /// The cell has the value, or had it.
    CellPut {
        /// The revision that the first of these puts made.
        revision: u64,
    },
    /// The cell.
    Cell {
        /// Its value.
        value: String,
        /// The revision of the put that wrote it.
        revision: u64,
    },
    /// Puts of a group.
    Events {
        /// Each put above the watcher's revision and up to `revision`, in order.
        events: Vec<CellEvent>,
        /// The revision that the watcher goes on from.
        revision: u64,
    },
}

/// Why a call was decided against. It has not taken effect and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Readable, Writable)]
pub enum Refusal {
    /// Another holder has the lock.
    LockHeld,
    /// The caller no longer has the lock.
    LockLost,
    /// The cell has another revision than the put expects.
    RevisionConflict {
        /// The cell's revision; 0 where it does not exist.
        revision: u64,
    },
    /// There is no such cell.
    NoSuchCell,
    /// The history does not reach back to the watcher's revision.
    HistoryExpired {
        /// The group's revision.
        revision: u64,
    },
    /// The group has not reached the watcher's revision.
    RevisionAhead {
        /// The group's revision.
        revision: u64,
    },
}

/// Why a call was not begun. It has not taken effect and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Readable, Writable)]
pub enum NotStarted {
    /// Too many calls wait, or too much is stored.
    Overloaded,
    /// No leader of the partition could be reached.
    NoQuorum,
    /// The node that it was forwarded to does not lead the partition. Between control nodes only: the call is forwarded anew.
    NotLeader,
}

impl fmt::Display for NotStarted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Overloaded => {
                "too many calls for this name wait, or too much is stored: send it again later"
            }
            Self::NoQuorum => {
                "most control nodes can't be reached from here now: send it again, to any of them"
            }
            Self::NotLeader => "the leader of this name is changing: send it again",
        })
    }
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Readable, Writable)]
pub enum CallOutcome {
    /// It was carried out.
    Applied(Reply),
    /// It was decided against.
    Refused(Refusal),
    /// It was not begun.
    NotStarted(NotStarted),
    /// It may have taken effect, or may yet do so.
    Unknown,
}
