//! Checks of applications' calls (locks, sequence numbers, cells and watches) against the outcomes that their callers received.
//!
//! Revisions make the order of the puts of a group explicit, so the history of a cell is linearizable exactly if that order agrees with
//! real time: a put has a higher revision than every revision known when the put was first sent, and a read returns no lower revision
//! than was known when the read was sent. Both conditions are checked call by call, without a search over possible orders.

use std::collections::{BTreeMap, BTreeSet};

use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::coordination::{Call, CallOutcome, CellEvent, Refusal, Reply, group_of};

use super::invariant::Invariant;

/// A violated invariant, and a description of what was observed.
pub type CheckFailure = (Invariant, String);

/// One attempt of a call. A retry of the call is another attempt with the same `first_sent_at`.
#[derive(Clone, Debug)]
pub struct CallAttempt {
    /// The number of the caller, unique among the callers of one oracle.
    pub caller: usize,
    /// The call, identical in all attempts.
    pub call: Call,
    /// When this attempt was sent.
    pub sent_at: Nanos,
    /// When the first attempt of the same call was sent; equal to `sent_at` for a first attempt.
    pub first_sent_at: Nanos,
}

/// A value, and the time at which a caller first received it.
#[derive(Clone, Copy, Debug)]
struct KnownValue {
    value: u64,
    since: Nanos,
}

/// Values that must increase over time, with the times at which callers received them.
#[derive(Debug, Default)]
struct RisingValues(Vec<KnownValue>);

impl RisingValues {
    fn record(&mut self, value: u64, since: Nanos) {
        self.0.push(KnownValue { value, since });
    }

    /// The highest value that a caller received before `moment`; 0 if there is none.
    fn highest_before(&self, moment: Nanos) -> u64 {
        let known = self.0.iter().filter(|known| known.since < moment);
        known.map(|known| known.value).max().unwrap_or_default()
    }
}

/// The lease of a lock as its holder computes it: from the send time of the request and the requested hold time.
#[derive(Clone, Copy, Debug)]
struct LockHold {
    ends_at: Nanos,
}

#[derive(Debug, Default)]
struct LockHistory {
    /// The current or last lease of each caller.
    holds: BTreeMap<usize, LockHold>,
    /// The fencing tokens that were issued, each with its holder and the time at which the holder received it.
    fences: BTreeMap<u64, (usize, Nanos)>,
}

/// The attempts of one put and their outcomes.
#[derive(Debug)]
struct PutHistory {
    cell: String,
    expected_revision: Option<u64>,
    first_sent_at: Nanos,
    /// Attempts with a definite rejection: they did not take effect.
    rejected_attempts: u32,
    attempts: u32,
    revision: Option<u64>,
}

#[derive(Debug, Default)]
struct GroupHistory {
    revisions: RisingValues,
    /// The value that was put under each observed revision.
    puts: BTreeMap<u64, String>,
}

/// The history of calls as their callers observed it, and the checks of that history.
#[derive(Debug, Default)]
pub struct CoordinationOracle {
    locks: BTreeMap<String, LockHistory>,
    numbers: BTreeMap<String, RisingValues>,
    number_values: BTreeSet<(String, u64)>,
    groups: BTreeMap<String, GroupHistory>,
    cells: BTreeMap<String, RisingValues>,
    /// Puts by their value, which is unique within a run.
    puts: BTreeMap<String, PutHistory>,
    /// The cell and the revision named in each conflict; a put to that cell must have produced the revision.
    conflicts: BTreeSet<(String, u64)>,
    /// When a watch response up to each revision of a group was last received.
    delivered: BTreeMap<(String, u64), Nanos>,
    history_span: Nanos,
}

impl CoordinationOracle {
    /// An oracle for nodes that keep the history of cells for at least `history_span`, during which a watch must not expire.
    pub fn new(history_span: Nanos) -> Self {
        Self { history_span, ..Self::default() }
    }

    /// Records that a caller sends an attempt.
    pub fn attempt_sent(&mut self, attempt: &CallAttempt) {
        match &attempt.call {
            Call::PutCell { name, value, expected_revision } => {
                let put = self.puts.entry(value.clone()).or_insert_with(|| PutHistory {
                    cell: name.clone(),
                    expected_revision: *expected_revision,
                    first_sent_at: attempt.first_sent_at,
                    rejected_attempts: 0,
                    attempts: 0,
                    revision: None,
                });
                put.attempts += 1;
            }
            Call::ReleaseLock { name, .. } => {
                // A caller counts as the holder until it sends the release.
                let holds = self.locks.get_mut(name).and_then(|lock| lock.holds.get_mut(&attempt.caller));
                if let Some(hold) = holds {
                    hold.ends_at = hold.ends_at.min(attempt.sent_at);
                }
            }
            _ => {}
        }
    }

    /// Records that a caller receives the outcome of an attempt, and checks the outcome.
    ///
    /// # Errors
    /// The invariant that the outcome violates.
    pub fn outcome_received(
        &mut self,
        now: Nanos,
        attempt: &CallAttempt,
        outcome: &CallOutcome,
    ) -> Result<(), CheckFailure> {
        match (&attempt.call, outcome) {
            (call, CallOutcome::Applied(reply)) => self.check_reply(now, attempt, call, reply),
            (Call::PutCell { name, value, .. }, CallOutcome::Refused(refusal)) => {
                if let Refusal::RevisionConflict { revision } = refusal {
                    self.conflicts.insert((name.clone(), *revision));
                }
                self.put_rejected(value)
            }
            (Call::PutCell { value, .. }, CallOutcome::NotStarted(_)) => self.put_rejected(value),
            (Call::WatchGroup { group, after, .. }, CallOutcome::Refused(refusal)) => {
                self.check_refused_watch(now, group, *after, *refusal)
            }
            (Call::ReadCell { name }, CallOutcome::Refused(Refusal::NoSuchCell)) => {
                self.check_read(name, 0, attempt.sent_at)
            }
            _ => Ok(()),
        }
    }

    fn check_reply(
        &mut self,
        now: Nanos,
        attempt: &CallAttempt,
        call: &Call,
        reply: &Reply,
    ) -> Result<(), CheckFailure> {
        match (call, reply) {
            (Call::AcquireLock { name, hold_ms, .. }, Reply::LockAcquired { fence }) => {
                self.check_fence(now, name, *fence, attempt)?;
                self.check_hold(now, name, attempt, *hold_ms, true)
            }
            (Call::RenewLock { name, hold_ms, .. }, Reply::LockRenewed) => {
                self.check_hold(now, name, attempt, *hold_ms, false)
            }
            (Call::NextNumber { name }, Reply::Number { value }) => {
                self.check_number(now, name, *value, attempt)
            }
            (Call::PutCell { name, value, .. }, Reply::CellPut { revision }) => {
                self.check_put(now, name, value, *revision)
            }
            (Call::ReadCell { name }, Reply::Cell { value, revision }) => {
                self.check_read(name, *revision, attempt.sent_at)?;
                self.check_put(now, name, value, *revision)
            }
            (Call::WatchGroup { group, after, .. }, Reply::Events { events, revision }) => {
                self.check_watch(now, group, *after, events, *revision, attempt)
            }
            (Call::ReleaseLock { .. }, Reply::LockReleased) => Ok(()),
            (call, reply) => Err((
                Invariant::CallIntegrity,
                format!("{call:?} received a reply of another call type: {reply:?}"),
            )),
        }
    }

    /// [`Invariant::FencingOrder`].
    fn check_fence(
        &mut self,
        now: Nanos,
        name: &str,
        fence: u64,
        attempt: &CallAttempt,
    ) -> Result<(), CheckFailure> {
        let fences = &mut self.locks.entry(name.to_owned()).or_default().fences;
        let other = fences.iter().find(|(given, (holder, since))| {
            *holder != attempt.caller && (**given == fence || (**given > fence && *since < attempt.sent_at))
        });
        if let Some((given, (holder, _))) = other {
            let text = format!(
                "lock {name}: caller {} got fencing token {fence} after caller {holder} got {given}",
                attempt.caller
            );
            return Err((Invariant::FencingOrder, text));
        }
        fences.insert(fence, (attempt.caller, now));
        Ok(())
    }

    /// [`Invariant::MutualExclusion`].
    fn check_hold(
        &mut self,
        now: Nanos,
        name: &str,
        attempt: &CallAttempt,
        hold_ms: u64,
        is_new: bool,
    ) -> Result<(), CheckFailure> {
        let ends_at = attempt.sent_at + hold_ms * ivyhatch_protocol::MILLISECOND;
        let holds = &mut self.locks.entry(name.to_owned()).or_default().holds;
        let own = holds.get(&attempt.caller).copied();
        // A renewal that arrives after the caller's lease has expired has no effect.
        let counts = is_new || own.is_some_and(|own| now < own.ends_at);
        if ends_at <= now || !counts {
            return Ok(());
        }
        let other = holds.iter().find(|(holder, hold)| **holder != attempt.caller && hold.ends_at > now);
        if let Some((holder, _)) = other {
            let text = format!(
                "lock {name}: callers {holder} and {} hold the lock at the same time",
                attempt.caller
            );
            return Err((Invariant::MutualExclusion, text));
        }
        let ends_at = own.filter(|own| own.ends_at > now).map_or(ends_at, |own| own.ends_at.max(ends_at));
        holds.insert(attempt.caller, LockHold { ends_at });
        Ok(())
    }

    /// [`Invariant::NumberOrder`].
    fn check_number(
        &mut self,
        now: Nanos,
        name: &str,
        value: u64,
        attempt: &CallAttempt,
    ) -> Result<(), CheckFailure> {
        let numbers = self.numbers.entry(name.to_owned()).or_default();
        let highest = numbers.highest_before(attempt.sent_at);
        let is_new = self.number_values.insert((name.to_owned(), value));
        if value <= highest || !is_new {
            let text = format!("number {name}: received {value} after {highest}, first occurrence: {is_new}");
            return Err((Invariant::NumberOrder, text));
        }
        numbers.record(value, now);
        Ok(())
    }

    /// Checks a value that a caller observed in a cell under a revision: [`Invariant::CellIntegrity`],
    /// [`Invariant::RevisionOrder`] and [`Invariant::RejectedCallNeverApplied`].
    fn check_put(&mut self, now: Nanos, name: &str, value: &str, revision: u64) -> Result<(), CheckFailure> {
        let Some(put) = self.puts.get_mut(value).filter(|put| put.cell == name) else {
            return Err((
                Invariant::CellIntegrity,
                format!("cell {name} has value {value}, which no caller put to this cell"),
            ));
        };
        if put.rejected_attempts == put.attempts {
            let text =
                format!("cell {name} has value {value}, whose {} attempts were all rejected", put.attempts);
            return Err((Invariant::RejectedCallNeverApplied, text));
        }
        if put.revision.is_some_and(|known| known != revision) {
            let text = format!("cell {name}: value {value} has revisions {:?} and {revision}", put.revision);
            return Err((Invariant::CellIntegrity, text));
        }
        let is_first = put.revision.replace(revision).is_none();
        let first_sent_at = put.first_sent_at;
        let group = self.groups.entry(group_of(name).to_owned()).or_default();
        let other = group.puts.insert(revision, value.to_owned()).filter(|other| other != value);
        if let Some(other) = other {
            let text = format!("revision {revision} belongs to both value {other} and value {value}");
            return Err((Invariant::RevisionOrder, text));
        }
        let highest = group.revisions.highest_before(first_sent_at);
        if is_first && revision <= highest {
            let text = format!(
                "cell {name}: {value} was sent after revision {highest} was known, but has {revision}"
            );
            return Err((Invariant::RevisionOrder, text));
        }
        group.revisions.record(revision, now);
        self.cells.entry(name.to_owned()).or_default().record(revision, now);
        Ok(())
    }

    fn put_rejected(&mut self, value: &str) -> Result<(), CheckFailure> {
        let Some(put) = self.puts.get_mut(value) else { return Ok(()) };
        put.rejected_attempts += 1;
        if put.rejected_attempts == put.attempts && put.revision.is_some() {
            let text =
                format!("value {value} was observed in a cell, but all attempts to put it were rejected");
            return Err((Invariant::RejectedCallNeverApplied, text));
        }
        Ok(())
    }

    /// [`Invariant::FreshCellRead`].
    fn check_read(&self, name: &str, revision: u64, sent_at: Nanos) -> Result<(), CheckFailure> {
        let known = self.cells.get(name).map_or(0, |cell| cell.highest_before(sent_at));
        if revision < known {
            let text = format!("cell {name}: read revision {revision} after revision {known} was known");
            return Err((Invariant::FreshCellRead, text));
        }
        Ok(())
    }

    /// [`Invariant::WatchCompleteness`].
    fn check_watch(
        &mut self,
        now: Nanos,
        group: &str,
        after: u64,
        events: &[CellEvent],
        revision: u64,
        attempt: &CallAttempt,
    ) -> Result<(), CheckFailure> {
        let revisions: Vec<u64> = events.iter().map(|event| event.revision).collect();
        let expected: Vec<u64> = if after == 0 { Vec::new() } else { (after + 1..=revision).collect() };
        if revisions != expected {
            let text = format!(
                "group {group}: a watch after {after} up to {revision} returned revisions {revisions:?}"
            );
            return Err((Invariant::WatchCompleteness, text));
        }
        let known = self.groups.get(group).map_or(0, |known| known.revisions.highest_before(attempt.sent_at));
        if after == 0 && revision < known {
            let text = format!(
                "group {group}: a new watch returned revision {revision} after revision {known} was known"
            );
            return Err((Invariant::WatchCompleteness, text));
        }
        for event in events {
            self.check_put(now, &event.name, &event.value, event.revision)?;
        }
        self.delivered.insert((group.to_owned(), revision), now);
        Ok(())
    }

    /// [`Invariant::WatchCompleteness`] for a refused watch: only `HistoryExpired` is allowed, and not while the revision was
    /// delivered within the history span.
    fn check_refused_watch(
        &self,
        now: Nanos,
        group: &str,
        after: u64,
        refusal: Refusal,
    ) -> Result<(), CheckFailure> {
        let delivered = self.delivered.get(&(group.to_owned(), after));
        let is_recent = delivered.is_some_and(|delivered| now < delivered + self.history_span);
        let text = format!("group {group}: a watch after revision {after} was refused: {refusal:?}");
        match refusal {
            Refusal::HistoryExpired { .. } if !is_recent => Ok(()),
            _ => Err((Invariant::WatchCompleteness, text)),
        }
    }

    /// Runs the checks that need the whole history: each put follows the revision that it expects ([`Invariant::RevisionOrder`]), and
    /// a conflict names a revision that the cell has had ([`Invariant::CellIntegrity`]). Call it once, after the last call.
    ///
    /// # Errors
    /// The first violated invariant.
    pub fn check_history(&self) -> Result<(), CheckFailure> {
        for group in self.groups.values() {
            let mut last_of_cell: BTreeMap<&str, u64> = BTreeMap::new();
            let mut previous = 0;
            for (revision, value) in &group.puts {
                let Some(put) = self.puts.get(value) else { continue };
                let last = last_of_cell.insert(&put.cell, *revision).unwrap_or_default();
                // If no caller observed the preceding revision, the cell's previous revision may be unknown.
                let is_complete = *revision == previous + 1 || last > 0;
                previous = *revision;
                let expected = put.expected_revision.filter(|expected| *expected != last);
                if let Some(expected) = expected.filter(|expected| is_complete && *expected < last) {
                    let text = format!(
                        "{value} at revision {revision} follows revision {last}, expected {expected}"
                    );
                    return Err((Invariant::RevisionOrder, text));
                }
            }
        }
        let belongs_to_cell = |cell: &str, revision: u64| {
            let group = self.groups.get(group_of(cell));
            let value = group.and_then(|group| group.puts.get(&revision));
            value.is_none_or(|value| self.puts.get(value).is_some_and(|put| put.cell == cell))
        };
        match self
            .conflicts
            .iter()
            .find(|(cell, revision)| *revision > 0 && !belongs_to_cell(cell, *revision))
        {
            Some((cell, revision)) => {
                let text = format!(
                    "cell {cell}: a conflict names revision {revision}, which belongs to another cell"
                );
                Err((Invariant::CellIntegrity, text))
            }
            None => Ok(()),
        }
    }
}
