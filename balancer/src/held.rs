//! What is held back for a moment, in the orders in which it is looked for: by worth, and by the time at which
//! it has to be given up. Plain data; the module decides what is held and what becomes of it.

use std::collections::BTreeSet;
use std::ops::Bound;

use crate::api::{Nanos, RequestId};

/// Where a held request stands in the orders; needed to take it out again.
#[derive(Clone, Copy)]
pub(crate) struct QueueEntry {
    band: usize,
    target_group: usize,
    target_at: Nanos,
    expires_at: Nanos,
    sequence: u64,
}

/// Held requests. Putting one in, taking it out, and finding the first of an order cost the logarithm of their
/// number; nothing walks them all.
pub(crate) struct PendingQueue {
    next_sequence: u64,
    by_band: Vec<BTreeSet<RequestId>>,
    by_target: Vec<BTreeSet<(Nanos, u64, RequestId)>>,
    by_expiry: BTreeSet<(Nanos, u64, RequestId)>,
}

/// A class's requests within their tenants' shares, or those beyond: each such band has one worth.
pub(crate) fn band(class: usize, over: bool) -> usize {
    2 * class + usize::from(over)
}

/// A class's first tries, or its repeats: each takes its own share of the time left.
pub(crate) fn aim(class: usize, again: bool) -> usize {
    2 * class + usize::from(again)
}

impl PendingQueue {
    pub(crate) fn new(classes: usize) -> Self {
        let (bands, aims) = (vec![BTreeSet::new(); 2 * classes], vec![BTreeSet::new(); 2 * classes]);
        Self { next_sequence: 0, by_band: bands, by_target: aims, by_expiry: BTreeSet::new() }
    }

    /// Room for one class more.
    pub(crate) fn add_class(&mut self) {
        self.by_band.extend([BTreeSet::new(), BTreeSet::new()]);
        self.by_target.extend([BTreeSet::new(), BTreeSet::new()]);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_expiry.is_empty()
    }

    /// Puts a request in. `end` is when it is ended in any case.
    pub(crate) fn insert(
        &mut self,
        id: RequestId,
        band: usize,
        aim: usize,
        aim_end: Nanos,
        end: Nanos,
    ) -> QueueEntry {
        let turn = self.next_sequence;
        self.next_sequence += 1;
        self.by_band[band].insert(id);
        self.by_target[aim].insert((aim_end, turn, id));
        self.by_expiry.insert((end, turn, id));
        QueueEntry { band, target_group: aim, target_at: aim_end, expires_at: end, sequence: turn }
    }

    pub(crate) fn remove(&mut self, id: RequestId, hold: QueueEntry) {
        self.by_band[hold.band].remove(&id);
        self.by_target[hold.target_group].remove(&(hold.target_at, hold.sequence, id));
        self.by_expiry.remove(&(hold.expires_at, hold.sequence, id));
    }

    /// The first request of a band behind this one, by id.
    pub(crate) fn next_in_band(&self, band: usize, behind: Option<RequestId>) -> Option<RequestId> {
        let from = behind.map_or(Bound::Unbounded, Bound::Excluded);
        self.by_band[band].range((from, Bound::Unbounded)).next().copied()
    }

    /// Adds those of `aims` whose aim ends by then, with the turn in which they were put in.
    pub(crate) fn collect_targets_by(&self, aim: usize, by: Nanos, late: &mut BTreeSet<(u64, RequestId)>) {
        let due = self.by_target[aim].iter().take_while(|(end, ..)| *end <= by);
        late.extend(due.map(|&(_, turn, id)| (turn, id)));
    }

    /// Adds those that end by then in any case.
    pub(crate) fn collect_expired_by(&self, by: Nanos, late: &mut BTreeSet<(u64, RequestId)>) {
        let due = self.by_expiry.iter().take_while(|(end, ..)| *end <= by);
        late.extend(due.map(|&(_, turn, id)| (turn, id)));
    }
}
