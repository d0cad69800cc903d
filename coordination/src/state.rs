//! The state of one partition as its leader has it, and what each call does to it.

use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::coordination::{Call, CallOutcome, NotStarted, Refusal, Reply};
use ivyhatch_protocol::registers::{RegisterChanges, RegisterKey, RegisterMap};

use crate::cell::Cells;
use crate::lock::Locks;

/// Watches of a group are to be answered once a change is committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Publication {
    /// The group.
    pub group: String,
    /// Its revision after the change.
    pub revision: u64,
}

/// What the leader does with a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Nothing changes: give out the outcome, once what it was decided on is committed and a quorum has confirmed the leader's ballot.
    Respond(CallOutcome),
    /// Propose these changes, and give out the reply once they are committed.
    Propose {
        /// The changes. A number needs none: its value is the change's own number.
        changes: RegisterChanges,
        /// The reply after the commit.
        reply: Reply,
        /// Whose watchers to answer after the commit.
        publication: Option<Publication>,
    },
    /// Hold the call, a watch, until its group has a later revision or its time is up.
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

/// The locks and cells of a partition, with all changes that its leader has proposed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoordinationState {
    locks: Locks,
    cells: Cells,
}

impl CoordinationState {
    /// Reads the state from a partition's registers; `None` where one was written in a format that this release does not know. Puts stay in
    /// the history for a span.
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

    /// Decides on a call, and applies what it is going to change. `sequence` is the number of the partition's next change.
    ///
    /// Watches are answered with what is committed: see [`CoordinationState::watch`].
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

    /// Decides on a watch, by the puts of its group up to a committed revision.
    pub fn watch(&self, group: &str, after: u64, committed: u64) -> Decision {
        self.cells.watch(group, after, committed).unwrap_or(Decision::Wait)
    }

    /// The last revision of a group, with all puts that were proposed; 0 before the first.
    pub fn group_revision(&self, group: &str) -> u64 {
        self.cells.group_revision(group)
    }

    /// Forgets locks whose time ran out longer than `grace` ago, `most` at a time. Returns the changes to propose.
    pub fn remove_expired_locks(&mut self, now: Nanos, grace: Nanos, max_count: usize) -> RegisterChanges {
        self.locks.remove_expired(now, grace, max_count)
    }

    /// The locks.
    pub fn locks(&self) -> &Locks {
        &self.locks
    }

    /// The cells.
    pub fn cells(&self) -> &Cells {
        &self.cells
    }
}
