//! The durable state of one replica of a partition: what it has promised, what it knows to be committed, and what it has accepted
//! beyond that.
//!
//! The disk's records are replayed by the same transitions that the process makes ([`crate::storage::durable_state`]), so both have
//! the same state. All transitions keep the versions of what is accepted and committed from going back.

use std::collections::{BTreeMap, VecDeque};

use ivyhatch_protocol::ids::Ballot;
use ivyhatch_protocol::peer::TransferredState;
use ivyhatch_protocol::registers::{
    RegisterKey, RegisterMap, RegisterValue, RegisterWrite, StateUpdate, UpdateBase, Version, writes_digest,
};

/// One change, or several, that were accepted together and are not known to be committed.
#[derive(Clone, Debug, PartialEq, Eq)]
struct PendingChange {
    /// The number of the last change.
    sequence: u64,
    /// Whether the registers replace all contents before them.
    replaces_all: bool,
    writes: BTreeMap<RegisterKey, RegisterWrite>,
    /// The digest of the contents after the change.
    digest: u64,
}

/// What became of an update that was to be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum AcceptOutcome {
    /// It is accepted.
    Accepted,
    /// It was accepted before, under the same ballot.
    AlreadyAccepted,
    /// A later change is known to be committed.
    Outdated,
    /// It does not apply: changes before it are missing here.
    Behind,
    /// Its digest shows that the contents here are not the sender's.
    Diverged,
}

/// What became of a change that is said to be committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum CommitOutcome {
    /// It is committed here from now on.
    Committed,
    /// It was known to be committed.
    AlreadyCommitted,
    /// It was not accepted here.
    Unknown,
}

/// What became of an update with committed contents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum LearnOutcome {
    /// The contents are known to be committed here from now on.
    Learned,
    /// They are not newer than what is known.
    NotNewer,
    /// The update does not apply: changes before it are missing here.
    Behind,
    /// Its digest shows that the contents here are not the sender's.
    Diverged,
}

/// What a replica has promised, accepted and committed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Acceptor {
    promised: Ballot,
    accepted: Version,
    committed: Version,
    /// The contents as of `committed`.
    registers: RegisterMap,
    /// The changes from `committed` to `accepted`, in order.
    pending: VecDeque<PendingChange>,
}

impl Acceptor {
    /// The highest ballot that was promised: lower ones are rejected.
    pub fn promised(&self) -> Ballot {
        self.promised
    }

    /// The version that was accepted last.
    pub fn accepted(&self) -> Version {
        self.accepted
    }

    /// The newest version that is known to be committed.
    pub fn committed(&self) -> Version {
        self.committed
    }

    /// The committed contents.
    pub fn registers(&self) -> &RegisterMap {
        &self.registers
    }

    /// Promises a ballot, unless a higher one is promised.
    pub fn promise(&mut self, ballot: Ballot) {
        self.promised = self.promised.max(ballot);
    }

    /// The next change under a ballot, as an update of the version that is accepted now.
    pub fn next_change(
        &self,
        ballot: Ballot,
        changes: Vec<(RegisterKey, Option<RegisterValue>)>,
    ) -> StateUpdate {
        let sequence = self.accepted.sequence + 1;
        let write = |(key, value)| RegisterWrite { key, sequence, value };
        let writes: Vec<RegisterWrite> = changes.into_iter().map(write).collect();
        let digest = self.digest_after_accepted(writes.iter());
        let base = UpdateBase::Since(self.accepted.sequence);
        StateUpdate { version: Version { ballot, sequence }, base, writes, digest }
    }

    /// Whether an update applies to the committed contents, with the result that its sender has.
    fn can_build_on_committed(&self, update: &StateUpdate) -> bool {
        let applies = update.base.applies_to(self.committed.sequence);
        applies && self.digest_on_committed(update) == update.digest
    }

    /// Whether nothing of what another replica has accepted is lost when it is merged here: it is no news, or applies to the committed
    /// contents with the result that its sender has.
    pub fn can_merge(&self, accepted: Option<&StateUpdate>) -> bool {
        accepted.is_none_or(|update| {
            update.version <= self.accepted
                || update.version.sequence < self.committed.sequence
                || self.can_build_on_committed(update)
        })
    }

    /// Accepts an update. The caller has checked its ballot against the promise.
    pub fn accept(&mut self, update: &StateUpdate) -> AcceptOutcome {
        let Version { ballot, sequence } = update.version;
        if self.accepted.ballot == ballot && self.accepted.sequence >= sequence {
            return AcceptOutcome::AlreadyAccepted;
        }
        if sequence < self.committed.sequence {
            return AcceptOutcome::Outdated;
        }
        let extends_accepted =
            self.accepted.ballot == ballot && update.base.applies_to(self.accepted.sequence);
        if !extends_accepted && !update.base.applies_to(self.committed.sequence) {
            return AcceptOutcome::Behind;
        }
        let replaces_all = update.base == UpdateBase::Empty;
        let base_sequence = if extends_accepted { self.accepted.sequence } else { self.committed.sequence };
        let is_new = |write: &&RegisterWrite| replaces_all || write.sequence > base_sequence;
        let digest = if extends_accepted && !replaces_all {
            self.digest_after_accepted(update.writes.iter().filter(is_new))
        } else {
            self.digest_on_committed(update)
        };
        if digest != update.digest {
            return AcceptOutcome::Diverged;
        }
        if !extends_accepted {
            self.pending.clear();
        }
        let writes = update.writes.iter().filter(is_new);
        let writes: BTreeMap<_, _> = writes.map(|write| (write.key.clone(), write.clone())).collect();
        if sequence > self.committed.sequence {
            self.pending.push_back(PendingChange { sequence, replaces_all, writes, digest });
        } else if replaces_all {
            // The committed contents are proposed again under another ballot. What was whole values on the way may be cut into other
            // registers that say the same: from here on they are the leader's.
            apply(&mut self.registers, sequence, replaces_all, writes.into_values());
        }
        self.accepted = update.version;
        self.promise(ballot);
        AcceptOutcome::Accepted
    }

    /// Marks a version as committed, and all before it, if it was accepted here.
    pub fn commit(&mut self, version: Version) -> CommitOutcome {
        if version.sequence <= self.committed.sequence {
            return CommitOutcome::AlreadyCommitted;
        }
        if self.accepted.ballot != version.ballot {
            return CommitOutcome::Unknown;
        }
        let Some(last) = self.pending.iter().position(|change| change.sequence == version.sequence) else {
            return CommitOutcome::Unknown;
        };
        for change in self.pending.drain(..=last) {
            let writes = change.writes.into_values();
            apply(&mut self.registers, change.sequence, change.replaces_all, writes);
        }
        self.committed = version;
        CommitOutcome::Committed
    }

    /// Takes contents that another replica knows to be committed. What was accepted here under a lower ballot is dropped, as the
    /// committed contents may not have grown out of it.
    pub fn learn(&mut self, update: &StateUpdate) -> LearnOutcome {
        let Version { ballot, sequence } = update.version;
        if sequence <= self.committed.sequence {
            return LearnOutcome::NotNewer;
        }
        if !update.base.applies_to(self.committed.sequence) {
            return LearnOutcome::Behind;
        }
        if self.digest_on_committed(update) != update.digest {
            return LearnOutcome::Diverged;
        }
        let replaces_all = update.base == UpdateBase::Empty;
        let known = self.committed.sequence;
        let new = update.writes.iter().filter(|write| replaces_all || write.sequence > known);
        apply(&mut self.registers, sequence, replaces_all, new.cloned());
        self.committed = update.version;
        if self.accepted.ballot < ballot {
            self.pending.clear();
        }
        self.pending.retain(|change| change.sequence > sequence);
        self.accepted = self.accepted.max(update.version);
        self.promise(ballot);
        LearnOutcome::Learned
    }

    /// Merges what another replica has promised and accepted, where that is newer. Returns the update that was accepted.
    ///
    /// A new voter merges the states of a quorum of the previous generation before it votes, so that it upholds whatever they have
    /// promised and accepted.
    pub fn merge(&mut self, other: &TransferredState) -> Option<StateUpdate> {
        self.promise(other.promised);
        let update = other.accepted.as_ref().filter(|update| update.version > self.accepted)?;
        (self.accept(update) == AcceptOutcome::Accepted).then(|| update.clone())
    }

    /// The accepted contents, for a replica whose own agree with them up to a change; whole where `receiver_sequence` is `None`, or removed
    /// registers may be forgotten.
    pub fn accepted_update(&self, receiver_sequence: Option<u64>) -> StateUpdate {
        let is_replaced = self.pending.iter().any(|change| change.replaces_all);
        let committed = self.committed_update(receiver_sequence.filter(|_| !is_replaced));
        let base = committed.base;
        let since = match base {
            UpdateBase::Since(known) => known,
            UpdateBase::Empty => 0,
        };
        let key_and_write = |write: RegisterWrite| (write.key.clone(), write);
        let mut writes: BTreeMap<_, _> = committed.writes.into_iter().map(key_and_write).collect();
        for change in &self.pending {
            if change.replaces_all {
                writes.clear();
            }
            let later = change.writes.values().filter(|write| write.sequence > since);
            writes.extend(later.cloned().map(key_and_write));
        }
        if base == UpdateBase::Empty {
            writes.retain(|_, write| write.value.is_some());
        }
        let writes = writes.into_values().collect();
        StateUpdate { version: self.accepted, base, writes, digest: self.accepted_digest() }
    }

    /// The committed contents, for a replica whose own agree with them up to a change; whole where `receiver_sequence` is `None`, or removed
    /// registers may be forgotten.
    pub fn committed_update(&self, receiver_sequence: Option<u64>) -> StateUpdate {
        let writes = receiver_sequence.and_then(|known| Some((known, self.registers.written_since(known)?)));
        let (base, writes) = match writes {
            Some((known, writes)) => (UpdateBase::Since(known), writes),
            None => (UpdateBase::Empty, self.registers.snapshot()),
        };
        StateUpdate { version: self.committed, base, writes, digest: self.registers.digest() }
    }

    /// The updates from the committed contents to the accepted ones, one for each change that may be committed by itself.
    pub fn pending_updates(&self) -> Vec<StateUpdate> {
        let mut base_sequence = self.committed.sequence;
        let mut updates = Vec::new();
        for change in &self.pending {
            let version = Version { ballot: self.accepted.ballot, sequence: change.sequence };
            let base = match change.replaces_all {
                true => UpdateBase::Empty,
                false => UpdateBase::Since(base_sequence),
            };
            let writes = change.writes.values().cloned().collect();
            updates.push(StateUpdate { version, base, writes, digest: change.digest });
            base_sequence = change.sequence;
        }
        updates
    }

    /// The digest of the accepted contents.
    fn accepted_digest(&self) -> u64 {
        self.pending.back().map_or(self.registers.digest(), |change| change.digest)
    }

    /// The digest of the accepted contents after these writes.
    fn digest_after_accepted<'a>(&self, writes: impl Iterator<Item = &'a RegisterWrite>) -> u64 {
        digest_after(self.accepted_digest(), writes, |key| self.accepted_digest_of(key))
    }

    /// The digest of the committed contents after an update.
    fn digest_on_committed(&self, update: &StateUpdate) -> u64 {
        if update.base == UpdateBase::Empty {
            return writes_digest(&update.writes);
        }
        let new = update.writes.iter().filter(|write| write.sequence > self.committed.sequence);
        digest_after(self.registers.digest(), new, |key| self.registers.digest_of(key))
    }

    /// The part of a register in the digest of the accepted contents.
    fn accepted_digest_of(&self, key: &RegisterKey) -> u64 {
        for change in self.pending.iter().rev() {
            if let Some(write) = change.writes.get(key) {
                return write.digest();
            }
            if change.replaces_all {
                return 0;
            }
        }
        self.registers.digest_of(key)
    }
}

/// Applies the writes of a change to registers, or puts them in place of all.
fn apply(
    registers: &mut RegisterMap,
    sequence: u64,
    replaces_all: bool,
    writes: impl Iterator<Item = RegisterWrite>,
) {
    if replaces_all {
        *registers = RegisterMap::from_snapshot(sequence, writes);
    } else {
        writes.for_each(|write| registers.apply(write));
    }
}

/// The digest of contents after some of their registers are written; `digest_of` gives the part of a register before that.
fn digest_after<'a>(
    before: u64,
    writes: impl Iterator<Item = &'a RegisterWrite>,
    digest_of: impl Fn(&RegisterKey) -> u64,
) -> u64 {
    writes
        .fold(before, |digest, write| digest.wrapping_sub(digest_of(&write.key)).wrapping_add(write.digest()))
}
