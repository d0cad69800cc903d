//! The durable acceptor state of one replica of a partition: the promised ballot, the committed contents, and the changes that were
//! accepted after them.
//!
//! After a restart the disk's records are replayed by the same transitions that a running process makes
//! ([`crate::storage::durable_state`]), so both lead to the same state. No transition lowers the accepted or the committed version.

use std::collections::{BTreeMap, VecDeque};

use ivyhatch_protocol::ids::Ballot;
use ivyhatch_protocol::peer::TransferredState;
use ivyhatch_protocol::registers::{
    RegisterKey, RegisterMap, RegisterValue, RegisterWrite, StateUpdate, UpdateBase, Version, writes_digest,
};

/// One or more changes that were accepted as a single update and are not known to be committed.
#[derive(Clone, Debug, PartialEq, Eq)]
struct PendingChange {
    /// The sequence number of the last of these changes.
    sequence: u64,
    /// Whether `writes` replace all earlier contents.
    replaces_all: bool,
    writes: BTreeMap<RegisterKey, RegisterWrite>,
    /// The digest of the contents after these changes.
    digest: u64,
}

/// The result of [`Acceptor::accept`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum AcceptOutcome {
    /// The update is accepted now.
    Accepted,
    /// The update was accepted before, under the same ballot.
    AlreadyAccepted,
    /// A later change is known to be committed here.
    Outdated,
    /// The update does not apply: this replica lacks changes before it.
    Behind,
    /// The digest after the update is not the update's digest: the contents here differ from the sender's.
    Diverged,
}

/// The result of [`Acceptor::commit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum CommitOutcome {
    /// The version is newly known to be committed.
    Committed,
    /// The version was already known to be committed.
    AlreadyCommitted,
    /// The version was not accepted here.
    Unknown,
}

/// The result of [`Acceptor::learn`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum LearnOutcome {
    /// The contents are newly known to be committed.
    Learned,
    /// The contents are not newer than the committed ones here.
    NotNewer,
    /// The update does not apply: this replica lacks changes before it.
    Behind,
    /// The digest after the update is not the update's digest: the contents here differ from the sender's.
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
    /// The changes after `committed` up to `accepted`, oldest first.
    pending: VecDeque<PendingChange>,
}

impl Acceptor {
    /// The highest promised ballot: messages under lower ones are rejected.
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

    /// Promises a ballot, unless a higher one is already promised.
    pub fn promise(&mut self, ballot: Ballot) {
        self.promised = self.promised.max(ballot);
    }

    /// The next change under a ballot, as an update that applies to the currently accepted version.
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

    /// Whether an update applies to the committed contents and leads to the digest that its sender has computed.
    fn can_build_on_committed(&self, update: &StateUpdate) -> bool {
        let applies = update.base.applies_to(self.committed.sequence);
        applies && self.digest_on_committed(update) == update.digest
    }

    /// Whether [`Acceptor::merge`] would lose nothing that another replica has accepted. `accepted` is that replica's update, `None` if it
    /// has accepted nothing. Nothing is lost if the update is not newer than the state here, or applies to the committed contents and leads
    /// to the digest that its sender has computed.
    pub fn can_merge(&self, accepted: Option<&StateUpdate>) -> bool {
        accepted.is_none_or(|update| {
            update.version <= self.accepted
                || update.version.sequence < self.committed.sequence
                || self.can_build_on_committed(update)
        })
    }

    /// Accepts an update. The caller must have checked that the update's ballot is not below the promised one.
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
            // The committed contents are proposed again under another ballot. If they have been converted to a whole value and back (see
            // `whole_values`), they may be split into other registers with the same meaning: the leader's registers replace those here.
            apply(&mut self.registers, sequence, replaces_all, writes.into_values());
        }
        self.accepted = update.version;
        self.promise(ballot);
        AcceptOutcome::Accepted
    }

    /// Marks a version and all versions before it as committed, if that version was accepted here.
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

    /// Takes over contents that another replica knows to be committed. Changes that were accepted here under a lower ballot are
    /// dropped, as the committed contents may not build on them.
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
        let base_sequence = self.committed.sequence;
        let new = update.writes.iter().filter(|write| replaces_all || write.sequence > base_sequence);
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

    /// Merges what another replica has promised and accepted, where that is newer. Returns the other replica's update if it was
    /// accepted here.
    ///
    /// A new voter merges the states of a quorum of the previous generation before it votes, so that it upholds every promise and every
    /// accepted change of that quorum.
    pub fn merge(&mut self, other: &TransferredState) -> Option<StateUpdate> {
        self.promise(other.promised);
        let update = other.accepted.as_ref().filter(|update| update.version > self.accepted)?;
        (self.accept(update) == AcceptOutcome::Accepted).then(|| update.clone())
    }

    /// The accepted contents, as an update for a replica whose contents are the same up to the change `receiver_sequence`. The update
    /// holds all registers if `receiver_sequence` is `None`, or if the record of a register that was removed since that change may have
    /// been evicted.
    pub fn accepted_update(&self, receiver_sequence: Option<u64>) -> StateUpdate {
        let is_replaced = self.pending.iter().any(|change| change.replaces_all);
        let committed = self.committed_update(receiver_sequence.filter(|_| !is_replaced));
        let base = committed.base;
        let since = match base {
            UpdateBase::Since(sequence) => sequence,
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

    /// The committed contents, as an update for a replica whose contents are the same up to the change `receiver_sequence`. The update
    /// holds all registers if `receiver_sequence` is `None`, or if the record of a register that was removed since that change may have
    /// been evicted.
    pub fn committed_update(&self, receiver_sequence: Option<u64>) -> StateUpdate {
        let writes = receiver_sequence.and_then(|since| Some((since, self.registers.written_since(since)?)));
        let (base, writes) = match writes {
            Some((since, writes)) => (UpdateBase::Since(since), writes),
            None => (UpdateBase::Empty, self.registers.snapshot()),
        };
        StateUpdate { version: self.committed, base, writes, digest: self.registers.digest() }
    }

    /// The updates that lead from the committed contents to the accepted ones, oldest first. Each can be committed without the later ones.
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

    /// The contribution of a register to the digest of the accepted contents.
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

/// Applies the writes of a change to `registers`, or replaces all registers by them.
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

/// The digest of contents after `writes`. `before` is the digest before them, and `digest_of` a register's contribution to it.
fn digest_after<'a>(
    before: u64,
    writes: impl Iterator<Item = &'a RegisterWrite>,
    digest_of: impl Fn(&RegisterKey) -> u64,
) -> u64 {
    writes
        .fold(before, |digest, write| digest.wrapping_sub(digest_of(&write.key)).wrapping_add(write.digest()))
}
