//! The state of one partition at its leader, and the dispatch of calls to it.

use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::coordination::{Call, CallOutcome, NotStarted, Refusal, Reply};
use ivyhatch_protocol::registers::{RegisterChanges, RegisterKey, RegisterMap};

use crate::cell::Cells;
use crate::lock::Locks;

/// Notification that the watches of a group have to be answered once a change is committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Publication {
    /// The name of the group.
    pub group: String,
    /// The revision of the group after the change.
    pub revision: u64,
}

/// The decision of the leader on a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Nothing changes. Return the outcome once all changes that it is based on are committed and a quorum has confirmed the leader's
    /// ballot.
    Respond(CallOutcome),
    /// Propose these changes, and return the reply once they are committed.
    Propose {
        /// The registers to write. Empty for a number, whose value is the sequence number of the change itself.
        changes: RegisterChanges,
        /// The reply to the caller after the commit.
        reply: Reply,
        /// The group whose watches have to be answered after the commit; `None` unless the call is a put.
        publication: Option<Publication>,
    },
    /// The call is a watch: keep it pending until its group has a later revision or its wait has timed out.
    Wait,
}

impl Decision {
    pub(crate) fn reply(reply: Reply) -> Self {
        Self::Respond(CallOutcome::Applied(reply))
    }

    pub(crate) fn refuse(refusal: Refusal) -> Self {
        Self::Respond(CallOutcome::Refused(refusal))
    }

    pub(crate) fn not_started(reason: NotStarted) -> Self {
        Self::Respond(CallOutcome::NotStarted(reason))
    }

    pub(crate) fn propose(changes: RegisterChanges, reply: Reply) -> Self {
        Self::Propose { changes, reply, publication: None }
    }
}

/// The locks and cells of a partition, including all changes that the leader has proposed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoordinationState {
    locks: Locks,
    cells: Cells,
}

impl CoordinationState {
    /// Loads the state from a partition's registers; `None` if a register has a format that is unknown to this release.
    /// `history_retention` is the time for which puts stay in the history.
    pub fn from_registers(now: Nanos, history_retention: Nanos, registers: &RegisterMap) -> Option<Self> {
        let mut state = Self { locks: Locks::default(), cells: Cells::new(history_retention) };
        for (key, value) in registers.values() {
            match key {
                RegisterKey::Lock(name) => state.locks.load(now, name, value)?,
                RegisterKey::Cell(name) => state.cells.load(name, value)?,
                RegisterKey::CellEvent(slot) => state.cells.load_event(now, *slot, value)?,
                _ => return None,
            }
        }
        Some(state)
    }

    /// Decides on a call, and applies the proposed change to the state. `sequence` is the sequence number of the partition's next change.
    ///
    /// A watch passed to this method is answered from all proposed puts. To answer only from committed puts, use
    /// [`CoordinationState::watch`].
    pub fn decide(&mut self, now: Nanos, sequence: u64, call: &Call) -> Decision {
        match call {
            Call::AcquireLock { name, holder, hold_ms } => {
                self.locks.acquire(now, sequence, name, holder, *hold_ms)
            }
            Call::RenewLock { name, holder, fence, hold_ms } => {
                self.locks.renew(now, name, holder, *fence, *hold_ms)
            }
            Call::ReleaseLock { name, holder, fence } => self.locks.release(name, holder, *fence),
            Call::NextNumber { .. } => Decision::propose(Vec::new(), Reply::Number { value: sequence }),
            Call::PutCell { name, value, expected_revision } => {
                self.cells.put(now, sequence, name, value, *expected_revision)
            }
            Call::ReadCell { name } => self.cells.read(name),
            Call::WatchGroup { group, after, .. } => {
                let committed = self.cells.group_revision(group);
                self.watch(group, *after, committed)
            }
        }
    }

    /// Decides on a watch by a caller that knows the group up to revision `after`, from the puts up to the revision `committed`.
    pub fn watch(&self, group: &str, after: u64, committed: u64) -> Decision {
        self.cells.watch(group, after, committed).unwrap_or(Decision::Wait)
    }

    /// The last revision of a group, including all proposed puts; 0 before the first put.
    pub fn group_revision(&self, group: &str) -> u64 {
        self.cells.group_revision(group)
    }

    /// Removes at most `max_count` locks that expired at least `grace` ago. Returns the changes to propose.
    pub fn remove_expired_locks(&mut self, now: Nanos, grace: Nanos, max_count: usize) -> RegisterChanges {
        self.locks.remove_expired(now, grace, max_count)
    }

    /// The locks of the partition.
    pub fn locks(&self) -> &Locks {
        &self.locks
    }

    /// The cells of the partition.
    pub fn cells(&self) -> &Cells {
        &self.cells
    }
}
