//! What is held back for a moment, in the orders in which it is looked for: by worth, and by the time at which
//! it has to be given up. Plain data; the module decides what is held and what becomes of it.

use std::collections::BTreeSet;
use std::ops::Bound;

use crate::api::{Nanos, RequestId};

/// Where a held request stands in the orders; needed to take it out again.
#[derive(Clone, Copy)]
pub(crate) struct Hold {
    band: usize,
    aim: usize,
    aim_end: Nanos,
    end: Nanos,
    turn: u64,
}

/// Held requests. Putting one in, taking it out, and finding the first of an order cost the logarithm of their
/// number; nothing walks them all.
pub(crate) struct Held {
    turn: u64,
    bands: Vec<BTreeSet<RequestId>>,
    aims: Vec<BTreeSet<(Nanos, u64, RequestId)>>,
    ends: BTreeSet<(Nanos, u64, RequestId)>,
}

/// A class's requests within their tenants' shares, or those beyond: each such band has one worth.
pub(crate) fn band(class: usize, over: bool) -> usize {
    2 * class + usize::from(over)
}

/// A class's first tries, or its repeats: each takes its own share of the time left.
pub(crate) fn aim(class: usize, again: bool) -> usize {
    2 * class + usize::from(again)
}

impl Held {
    pub(crate) fn new(classes: usize) -> Self {
        let (bands, aims) = (vec![BTreeSet::new(); 2 * classes], vec![BTreeSet::new(); 2 * classes]);
        Self { turn: 0, bands, aims, ends: BTreeSet::new() }
    }

    /// Room for one class more.
    pub(crate) fn add_class(&mut self) {
        self.bands.extend([BTreeSet::new(), BTreeSet::new()]);
        self.aims.extend([BTreeSet::new(), BTreeSet::new()]);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Puts a request in. `end` is when it is ended in any case.
    pub(crate) fn put(&mut self, id: RequestId, band: usize, aim: usize, aim_end: Nanos, end: Nanos) -> Hold {
        let turn = self.turn;
        self.turn += 1;
        self.bands[band].insert(id);
        self.aims[aim].insert((aim_end, turn, id));
        self.ends.insert((end, turn, id));
        Hold { band, aim, aim_end, end, turn }
    }

    pub(crate) fn take(&mut self, id: RequestId, hold: Hold) {
        self.bands[hold.band].remove(&id);
        self.aims[hold.aim].remove(&(hold.aim_end, hold.turn, id));
        self.ends.remove(&(hold.end, hold.turn, id));
    }

    /// The first request of a band behind this one, by id.
    pub(crate) fn next(&self, band: usize, behind: Option<RequestId>) -> Option<RequestId> {
        let from = behind.map_or(Bound::Unbounded, Bound::Excluded);
        self.bands[band].range((from, Bound::Unbounded)).next().copied()
    }

    /// Adds those of `aims` whose aim ends by then, with the turn in which they were put in.
    pub(crate) fn aims_by(&self, aim: usize, by: Nanos, late: &mut BTreeSet<(u64, RequestId)>) {
        let due = self.aims[aim].iter().take_while(|(end, ..)| *end <= by);
        late.extend(due.map(|&(_, turn, id)| (turn, id)));
    }

    /// Adds those that end by then in any case.
    pub(crate) fn ends_by(&self, by: Nanos, late: &mut BTreeSet<(u64, RequestId)>) {
        let due = self.ends.iter().take_while(|(end, ..)| *end <= by);
        late.extend(due.map(|&(_, turn, id)| (turn, id)));
    }
}
