//! The recent puts of a partition. They are used to answer watches and to recognise retried puts.
//!
//! Puts expire by time: a put may be removed once it is older than the retention time by the clock of the leader. A new leader counts
//! the whole retention time again from when it loads the history. Each put occupies a slot in a ring of registers, and the slots of
//! expired puts are reused, so that no register has to be removed and the history is bounded in count and in bytes. A put for which
//! there is no slot is rejected before anything is proposed.

use std::collections::{BTreeMap, HashMap};

use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::coordination::{CellEvent, group_of};
use ivyhatch_protocol::registers::{RegisterChanges, RegisterKey};
use speedy::{Readable, Writable};

use crate::limits::{HISTORY_MARGIN, MAX_HISTORY_BYTES, MAX_HISTORY_EVENTS};

/// The stored value of a slot's register.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
struct EventRegister {
    /// The sequence number of the change that committed the put: puts expire in this order.
    sequence: u64,
    event: CellEvent,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct RecordedPut {
    slot: u16,
    recorded_at: Nanos,
    name: String,
    revision: u64,
}

/// The recent puts of a partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct History {
    retention: Nanos,
    /// The puts by the sequence number of their change.
    recorded: BTreeMap<u64, RecordedPut>,
    /// The puts of each group, by revision.
    groups: BTreeMap<String, BTreeMap<u64, CellEvent>>,
    /// The revision of each put, by cell name and value.
    revisions: HashMap<(String, String), u64>,
    /// The first slot that has not been used yet.
    next_new_slot: u16,
    /// The total size of the names and values of the puts, in bytes.
    bytes: usize,
}

impl History {
    /// Creates an empty history that keeps puts for `retention` plus [`HISTORY_MARGIN`].
    pub fn new(retention: Nanos) -> Self {
        Self {
            retention: retention + HISTORY_MARGIN,
            recorded: BTreeMap::new(),
            groups: BTreeMap::new(),
            revisions: HashMap::new(),
            next_new_slot: 0,
            bytes: 0,
        }
    }

    /// Adds a put from the value of its register, as if it had been made now; `None` if the value cannot be decoded.
    pub(crate) fn load(&mut self, now: Nanos, slot: u16, value: &[u8]) -> Option<()> {
        let EventRegister { sequence, event } = EventRegister::read_from_buffer(value).ok()?;
        self.next_new_slot = self.next_new_slot.max(slot + 1);
        self.insert(now, slot, sequence, event);
        Some(())
    }

    fn insert(&mut self, now: Nanos, slot: u16, sequence: u64, event: CellEvent) {
        let CellEvent { name, value, revision } = event.clone();
        self.bytes += event_bytes(&event);
        self.revisions.insert((name.clone(), value), revision);
        self.groups.entry(group_of(&name).to_owned()).or_default().insert(revision, event);
        self.recorded.insert(sequence, RecordedPut { slot, recorded_at: now, name, revision });
    }

    /// Whether a further put can be recorded, possibly in the slot of an expired one.
    pub(crate) fn has_capacity(&self, now: Nanos) -> bool {
        let is_within_bounds =
            usize::from(self.next_new_slot) < MAX_HISTORY_EVENTS && self.bytes < MAX_HISTORY_BYTES;
        is_within_bounds || self.oldest_has_expired(now)
    }

    fn oldest_has_expired(&self, now: Nanos) -> bool {
        self.recorded.first_key_value().is_some_and(|(_, oldest)| now >= oldest.recorded_at + self.retention)
    }

    /// Records a put, in the slot of the oldest put if that has expired, else in a new slot. Returns the register to write. The caller
    /// has to check [`History::has_capacity`] first.
    pub(crate) fn record(&mut self, now: Nanos, sequence: u64, event: CellEvent) -> RegisterChanges {
        let slot = self.allocate_slot(now);
        let register = EventRegister { sequence, event: event.clone() };
        // Encoding into memory cannot fail.
        let value = register.write_to_vec().unwrap_or_default();
        self.insert(now, slot, sequence, event);
        vec![(RegisterKey::CellEvent(slot), Some(value.into()))]
    }

    fn allocate_slot(&mut self, now: Nanos) -> u16 {
        if self.oldest_has_expired(now)
            && let Some((_, oldest)) = self.recorded.pop_first()
        {
            self.remove(&oldest);
            return oldest.slot;
        }
        self.next_new_slot += 1;
        self.next_new_slot - 1
    }

    fn remove(&mut self, recorded: &RecordedPut) {
        let group = group_of(&recorded.name);
        let Some(events) = self.groups.get_mut(group) else { return };
        if let Some(event) = events.remove(&recorded.revision) {
            self.bytes -= event_bytes(&event);
            self.revisions.remove(&(event.name, event.value));
        }
        if events.is_empty() {
            self.groups.remove(group);
        }
    }

    /// The revision of the put that wrote this value to a cell; `None` if no such put is in the history.
    pub(crate) fn revision_of(&self, name: &str, value: &str) -> Option<u64> {
        self.revisions.get(&(name.to_owned(), value.to_owned())).copied()
    }

    /// All puts of a group with revisions above `after` and up to `until`, in order; `None` if some of them are no longer in the history.
    pub(crate) fn events(&self, group: &str, after: u64, until: u64) -> Option<Vec<CellEvent>> {
        if after >= until {
            return Some(Vec::new());
        }
        let events = self.groups.get(group)?;
        let found: Vec<CellEvent> = events.range(after + 1..=until).map(|(_, event)| event.clone()).collect();
        // The revisions of a group have no gaps, so a missing revision has been removed.
        (found.len() as u64 == until - after).then_some(found)
    }

    /// The number of puts in the history.
    pub fn len(&self) -> usize {
        self.recorded.len()
    }

    /// Whether the history is empty.
    pub fn is_empty(&self) -> bool {
        self.recorded.is_empty()
    }
}

fn event_bytes(event: &CellEvent) -> usize {
    event.name.len() + event.value.len()
}
