//! Checks of applications' calls by what their callers have seen: locks, numbers, cells and watches.
//!
//! Revisions make the order of the puts of a group explicit, so a history of a cell is linearizable exactly if that order agrees with real
//! time: a put has a higher revision than each one that was known when it was first sent, and a read returns no lower one than was known
//! when it was sent. That is checked call by call, without a search over orders.

use std::collections::{BTreeMap, BTreeSet};

use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::coordination::{Call, CallOutcome, CellEvent, Refusal, Reply, group_of};

use super::invariant::Invariant;

/// A violated invariant, and what was seen.
pub type CheckFailure = (Invariant, String);

/// One try of a call.
#[derive(Clone, Debug)]
pub struct CallAttempt {
    /// The caller.
    pub caller: usize,
    /// The call.
    pub call: Call,
    /// When it was sent.
    pub sent_at: Nanos,
    /// When the first try of the same call was sent.
    pub first_sent_at: Nanos,
}

/// A value with the time from which callers know it.
#[derive(Clone, Copy, Debug)]
struct KnownValue {
    value: u64,
    since: Nanos,
}

/// Values that rise, with the times from which they were known.
#[derive(Debug, Default)]
struct RisingValues(Vec<KnownValue>);

impl RisingValues {
    fn record(&mut self, value: u64, since: Nanos) {
        self.0.push(KnownValue { value, since });
    }

    /// The highest value that was known before a moment.
    fn highest_before(&self, moment: Nanos) -> u64 {
        let known = self.0.iter().filter(|known| known.since < moment);
        known.map(|known| known.value).max().unwrap_or_default()
    }
}

/// The time in which a caller counts itself holder of a lock.
#[derive(Clone, Copy, Debug)]
struct LockHold {
    ends_at: Nanos,
}

#[derive(Debug, Default)]
struct LockHistory {
    /// By caller.
    holds: BTreeMap<usize, LockHold>,
    /// The fencing tokens that were given, each with its holder and time.
    fences: BTreeMap<u64, (usize, Nanos)>,
}

/// What became of the tries of a put.
#[derive(Debug)]
struct PutHistory {
    cell: String,
    expected_revision: Option<u64>,
    first_sent_at: Nanos,
    /// Tries that were rejected for certain.
    rejected_attempts: u32,
    attempts: u32,
    revision: Option<u64>,
}

#[derive(Debug, Default)]
struct GroupHistory {
    revisions: RisingValues,
    /// The put of each revision that was seen.
    puts: BTreeMap<u64, String>,
}

/// What callers have seen so far.
#[derive(Debug, Default)]
pub struct CoordinationOracle {
    locks: BTreeMap<String, LockHistory>,
    numbers: BTreeMap<String, RisingValues>,
    number_values: BTreeSet<(String, u64)>,
    groups: BTreeMap<String, GroupHistory>,
    cells: BTreeMap<String, RisingValues>,
    /// By value: values are unique.
    puts: BTreeMap<String, PutHistory>,
    /// Revisions that conflicting puts were given, which some put of the cell must have made.
    conflicts: BTreeSet<(String, u64)>,
    /// When each watcher was given each revision.
    delivered: BTreeMap<(String, u64), Nanos>,
    history_span: Nanos,
}

impl CoordinationOracle {
    /// An oracle for nodes that keep the history of watches for a span.
    pub fn new(history_span: Nanos) -> Self {
        Self { history_span, ..Self::default() }
    }

    /// A try of a call is sent.
    pub fn attempt_sent(&mut self, sent: &CallAttempt) {
        match &sent.call {
            Call::PutCell { name, value, expected_revision } => {
                let put = self.puts.entry(value.clone()).or_insert_with(|| PutHistory {
                    cell: name.clone(),
                    expected_revision: *expected_revision,
                    first_sent_at: sent.first_sent_at,
                    rejected_attempts: 0,
                    attempts: 0,
                    revision: None,
                });
                put.attempts += 1;
            }
            Call::ReleaseLock { name, .. } => {
                // A holder counts until it sends the release.
                let holds = self.locks.get_mut(name).and_then(|lock| lock.holds.get_mut(&sent.caller));
                if let Some(hold) = holds {
                    hold.ends_at = hold.ends_at.min(sent.sent_at);
                }
            }
            _ => {}
        }
    }

    /// The outcome of a try reaches its caller.
    ///
    /// # Errors
    /// The invariant that it violates.
    pub fn outcome_received(
        &mut self,
        now: Nanos,
        ended: &CallAttempt,
        outcome: &CallOutcome,
    ) -> Result<(), CheckFailure> {
        match (&ended.call, outcome) {
            (call, CallOutcome::Applied(reply)) => self.check_reply(now, ended, call, reply),
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
                self.check_read(name, 0, ended.sent_at)
            }
            _ => Ok(()),
        }
    }

    fn check_reply(
        &mut self,
        now: Nanos,
        ended: &CallAttempt,
        call: &Call,
        reply: &Reply,
    ) -> Result<(), CheckFailure> {
        match (call, reply) {
            (Call::AcquireLock { name, hold_ms, .. }, Reply::LockAcquired { fence }) => {
                self.check_fence(now, name, *fence, ended)?;
                self.check_hold(now, name, ended, *hold_ms, true)
            }
            (Call::RenewLock { name, hold_ms, .. }, Reply::LockRenewed) => {
                self.check_hold(now, name, ended, *hold_ms, false)
            }
            (Call::NextNumber { name }, Reply::Number { value }) => {
                self.check_number(now, name, *value, ended)
            }
            (Call::PutCell { name, value, .. }, Reply::CellPut { revision }) => {
                self.check_put(now, name, value, *revision)
            }
            (Call::ReadCell { name }, Reply::Cell { value, revision }) => {
                self.check_read(name, *revision, ended.sent_at)?;
                self.check_put(now, name, value, *revision)
            }
            (Call::WatchGroup { group, after, .. }, Reply::Events { events, revision }) => {
                self.check_watch(now, group, *after, events, *revision, ended)
            }
            (Call::ReleaseLock { .. }, Reply::LockReleased) => Ok(()),
            (call, reply) => Err((Invariant::CallIntegrity, format!("{call:?} is answered with {reply:?}"))),
        }
    }

    /// [`Invariant::FencingOrder`].
    fn check_fence(
        &mut self,
        now: Nanos,
        name: &str,
        fence: u64,
        ended: &CallAttempt,
    ) -> Result<(), CheckFailure> {
        let fences = &mut self.locks.entry(name.to_owned()).or_default().fences;
        let other = fences.iter().find(|(given, (holder, since))| {
            *holder != ended.caller && (**given == fence || (**given > fence && *since < ended.sent_at))
        });
        if let Some((given, (holder, _))) = other {
            let text = format!("{name}: {} is given {fence} after {holder} was given {given}", ended.caller);
            return Err((Invariant::FencingOrder, text));
        }
        fences.insert(fence, (ended.caller, now));
        Ok(())
    }

    /// [`Invariant::MutualExclusion`].
    fn check_hold(
        &mut self,
        now: Nanos,
        name: &str,
        ended: &CallAttempt,
        hold_ms: u64,
        is_new: bool,
    ) -> Result<(), CheckFailure> {
        let ends_at = ended.sent_at + hold_ms * ivyhatch_protocol::MILLISECOND;
        let holds = &mut self.locks.entry(name.to_owned()).or_default().holds;
        let own = holds.get(&ended.caller).copied();
        // A renewal that arrives once the caller's time has run out counts for nothing.
        let counts = is_new || own.is_some_and(|own| now < own.ends_at);
        if ends_at <= now || !counts {
            return Ok(());
        }
        let other = holds.iter().find(|(holder, hold)| **holder != ended.caller && hold.ends_at > now);
        if let Some((holder, _)) = other {
            let text = format!("{name}: both {holder} and {} count themselves holder", ended.caller);
            return Err((Invariant::MutualExclusion, text));
        }
        let ends_at = own.filter(|own| own.ends_at > now).map_or(ends_at, |own| own.ends_at.max(ends_at));
        holds.insert(ended.caller, LockHold { ends_at });
        Ok(())
    }

    /// [`Invariant::NumberOrder`].
    fn check_number(
        &mut self,
        now: Nanos,
        name: &str,
        value: u64,
        ended: &CallAttempt,
    ) -> Result<(), CheckFailure> {
        let numbers = self.numbers.entry(name.to_owned()).or_default();
        let highest = numbers.highest_before(ended.sent_at);
        let is_new = self.number_values.insert((name.to_owned(), value));
        if value <= highest || !is_new {
            let text = format!("{name}: {value} is given after {highest}, new: {is_new}");
            return Err((Invariant::NumberOrder, text));
        }
        numbers.record(value, now);
        Ok(())
    }

    /// A caller has seen that a put made a revision: [`Invariant::CellIntegrity`], [`Invariant::RevisionOrder`] and
    /// [`Invariant::RejectedCallNeverApplied`].
    fn check_put(&mut self, now: Nanos, name: &str, value: &str, revision: u64) -> Result<(), CheckFailure> {
        let Some(put) = self.puts.get_mut(value).filter(|put| put.cell == name) else {
            return Err((
                Invariant::CellIntegrity,
                format!("{name} shows {value}, which no one has put to it"),
            ));
        };
        if put.rejected_attempts == put.attempts {
            let text = format!("{name} shows {value}, whose {} tries were all rejected", put.attempts);
            return Err((Invariant::RejectedCallNeverApplied, text));
        }
        if put.revision.is_some_and(|known| known != revision) {
            let text = format!("{name}: {value} is shown under {:?} and {revision}", put.revision);
            return Err((Invariant::CellIntegrity, text));
        }
        let is_first = put.revision.replace(revision).is_none();
        let first_sent_at = put.first_sent_at;
        let group = self.groups.entry(group_of(name).to_owned()).or_default();
        let other = group.puts.insert(revision, value.to_owned()).filter(|other| other != value);
        if let Some(other) = other {
            let text = format!("revision {revision} is that of {other} and of {value}");
            return Err((Invariant::RevisionOrder, text));
        }
        let highest = group.revisions.highest_before(first_sent_at);
        if is_first && revision <= highest {
            let text =
                format!("{name}: {value} has {revision}, and was first sent after {highest} was known");
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
            let text = format!("{value} was shown, and all of its tries are rejected");
            return Err((Invariant::RejectedCallNeverApplied, text));
        }
        Ok(())
    }

    /// [`Invariant::FreshCellRead`].
    fn check_read(&self, name: &str, revision: u64, sent_at: Nanos) -> Result<(), CheckFailure> {
        let known = self.cells.get(name).map_or(0, |cell| cell.highest_before(sent_at));
        if revision < known {
            let text = format!("{name} is read at {revision} after {known} was known");
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
        ended: &CallAttempt,
    ) -> Result<(), CheckFailure> {
        let revisions: Vec<u64> = events.iter().map(|event| event.revision).collect();
        let expected: Vec<u64> = if after == 0 { Vec::new() } else { (after + 1..=revision).collect() };
        if revisions != expected {
            let text = format!("{group}: a watch after {after} up to {revision} shows {revisions:?}");
            return Err((Invariant::WatchCompleteness, text));
        }
        let known = self.groups.get(group).map_or(0, |known| known.revisions.highest_before(ended.sent_at));
        if after == 0 && revision < known {
            let text =
                format!("{group}: the present revision is said to be {revision} after {known} was known");
            return Err((Invariant::WatchCompleteness, text));
        }
        for event in events {
            self.check_put(now, &event.name, &event.value, event.revision)?;
        }
        self.delivered.insert((group.to_owned(), revision), now);
        Ok(())
    }

    /// [`Invariant::WatchCompleteness`], for a watch that is not answered with puts.
    fn check_refused_watch(
        &self,
        now: Nanos,
        group: &str,
        after: u64,
        refusal: Refusal,
    ) -> Result<(), CheckFailure> {
        let delivered = self.delivered.get(&(group.to_owned(), after));
        let is_recent = delivered.is_some_and(|delivered| now < delivered + self.history_span);
        let text = format!("{group}: a watch goes on after {after}, and gets {refusal:?}");
        match refusal {
            Refusal::HistoryExpired { .. } if !is_recent => Ok(()),
            _ => Err((Invariant::WatchCompleteness, text)),
        }
    }

    /// Checks what only the whole history shows: each put follows the revision that it expects ([`Invariant::RevisionOrder`]), and a
    /// conflict names a revision that the cell has had ([`Invariant::CellIntegrity`]).
    ///
    /// # Errors
    /// The invariant that is violated.
    pub fn check_history(&self) -> Result<(), CheckFailure> {
        for group in self.groups.values() {
            let mut last_of_cell: BTreeMap<&str, u64> = BTreeMap::new();
            let mut previous = 0;
            for (revision, value) in &group.puts {
                let Some(put) = self.puts.get(value) else { continue };
                let last = last_of_cell.insert(&put.cell, *revision).unwrap_or_default();
                // Where puts before it were not seen, the one that it follows is not known.
                let is_complete = *revision == previous + 1 || last > 0;
                previous = *revision;
                let expected = put.expected_revision.filter(|expected| *expected != last);
                if let Some(expected) = expected.filter(|expected| is_complete && *expected < last) {
                    let text = format!("{value} expects {expected} and has {revision}, which follows {last}");
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
                let text = format!("a conflict names revision {revision}, which is none of {cell}");
                Err((Invariant::CellIntegrity, text))
            }
            None => Ok(()),
        }
    }
}
