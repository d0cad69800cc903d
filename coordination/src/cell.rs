//! Cells: small values with a revision, which can be written on condition of the current revision. The cells of a group share one
//! increasing revision counter.

use std::collections::BTreeMap;

use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::coordination::{CellEvent, NotStarted, Refusal, Reply, group_of};
use ivyhatch_protocol::registers::RegisterKey;
use speedy::{Readable, Writable};

use crate::history::History;
use crate::limits::MAX_CELL_BYTES;
use crate::state::{Decision, Publication};

/// The stored value of a cell's register.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
struct CellRegister {
    value: String,
    revision: u64,
}

/// The cells of a partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cells {
    cells: BTreeMap<String, CellRegister>,
    /// The last revision of each group.
    group_revisions: BTreeMap<String, u64>,
    history: History,
    /// The total size of the names and values of the cells, in bytes.
    bytes: usize,
}

impl Cells {
    /// Creates the state without cells. `history_retention` is the time for which puts stay in the history.
    pub fn new(history_retention: Nanos) -> Self {
        Self {
            cells: BTreeMap::new(),
            group_revisions: BTreeMap::new(),
            history: History::new(history_retention),
            bytes: 0,
        }
    }

    /// Adds a cell from the value of its register; `None` if the value cannot be decoded.
    pub(crate) fn load(&mut self, name: &str, value: &[u8]) -> Option<()> {
        self.insert(name, CellRegister::read_from_buffer(value).ok()?);
        Some(())
    }

    /// Adds a put to the history from the value of its register; `None` if the value cannot be decoded.
    pub(crate) fn load_event(&mut self, now: Nanos, slot: u16, value: &[u8]) -> Option<()> {
        self.history.load(now, slot, value)
    }

    fn insert(&mut self, name: &str, cell: CellRegister) {
        let last = self.group_revisions.entry(group_of(name).to_owned()).or_default();
        *last = cell.revision.max(*last);
        self.bytes += name.len() + cell.value.len();
        if let Some(replaced) = self.cells.insert(name.to_owned(), cell) {
            self.bytes -= name.len() + replaced.value.len();
        }
    }

    /// The last revision of a group; 0 before the first put.
    pub(crate) fn group_revision(&self, group: &str) -> u64 {
        self.group_revisions.get(group).copied().unwrap_or_default()
    }

    /// The history of recent puts.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// The number of cells.
    pub fn len(&self) -> usize {
        self.cells.len()
    }

    /// Whether there is no cell.
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }

    /// The revision of the put that wrote this value to a cell; `None` if it is neither the current value nor in the history.
    fn revision_of(&self, name: &str, value: &str) -> Option<u64> {
        let current = self.cells.get(name).filter(|cell| cell.value == value);
        current.map(|cell| cell.revision).or_else(|| self.history.revision_of(name, value))
    }

    /// Decides on a put. `sequence` is the sequence number of the change that would commit the put.
    pub(crate) fn put(
        &mut self,
        now: Nanos,
        sequence: u64,
        name: &str,
        value: &str,
        expected_revision: Option<u64>,
    ) -> Decision {
        // No two puts of a cell have the same value, so this is a retry of a put that has taken effect, even if the value has been
        // overwritten since. The retry must not conflict with the first attempt.
        if let Some(revision) = self.revision_of(name, value) {
            return Decision::reply(Reply::CellPut { revision });
        }
        let revision = self.cells.get(name).map_or(0, |cell| cell.revision);
        if expected_revision.is_some_and(|expected| expected != revision) {
            return Decision::refuse(Refusal::RevisionConflict { revision });
        }
        if self.bytes >= MAX_CELL_BYTES || !self.history.has_capacity(now) {
            return Decision::not_started(NotStarted::Overloaded);
        }
        let group = group_of(name).to_owned();
        let revision = self.group_revision(&group) + 1;
        let cell = CellRegister { value: value.to_owned(), revision };
        let event = CellEvent { name: name.to_owned(), value: value.to_owned(), revision };
        let mut changes = self.history.record(now, sequence, event);
        // Encoding into memory cannot fail.
        let register = cell.write_to_vec().unwrap_or_default();
        changes.push((RegisterKey::Cell(name.to_owned()), Some(register.into())));
        self.insert(name, cell);
        Decision::Propose {
            changes,
            reply: Reply::CellPut { revision },
            publication: Some(Publication { group, revision }),
        }
    }

    /// Decides on a read of a cell.
    pub(crate) fn read(&self, name: &str) -> Decision {
        match self.cells.get(name) {
            Some(CellRegister { value, revision }) => {
                Decision::reply(Reply::Cell { value: value.clone(), revision: *revision })
            }
            None => Decision::refuse(Refusal::NoSuchCell),
        }
    }

    /// The response to a watch of a group by a caller that knows all puts up to revision `after`. Only puts up to the revision
    /// `committed` may be returned. With an `after` of 0 the response has no puts, only the revision to watch from. `None` if the watch
    /// has to wait for a further put.
    pub(crate) fn watch(&self, group: &str, after: u64, committed: u64) -> Option<Decision> {
        if after == 0 {
            return Some(Decision::reply(Reply::Events { events: Vec::new(), revision: committed }));
        }
        if after > committed {
            return Some(Decision::refuse(Refusal::RevisionAhead { revision: committed }));
        }
        if after == committed {
            return None;
        }
        Some(match self.history.events(group, after, committed) {
            Some(events) => Decision::reply(Reply::Events { events, revision: committed }),
            None => Decision::refuse(Refusal::HistoryExpired { revision: committed }),
        })
    }
}
