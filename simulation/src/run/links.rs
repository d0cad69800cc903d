//! Links: what is said on a cut one is lost, messages keep their order unless something makes them unruly.

use std::collections::BTreeMap;

use ivyhatch_protocol::{MILLISECOND, Nanos};

use super::{Happening, Said, World};
use crate::chance::draw;
use crate::plan::Mutated;

/// One way, between two machines, at the least and at the most.
const WAY: (Nanos, Nanos) = (900_000, 14 * MILLISECOND);
/// A mutated message comes so much later: behind the next beats.
const HELD_UP: Nanos = 450 * MILLISECOND;

/// All links between places.
#[derive(Debug)]
pub(super) struct Links {
    places: usize,
    cuts: Vec<u32>,
    counts: Vec<u64>,
    last: Vec<Nanos>,
    sent: u64,
    before: BTreeMap<(usize, usize), Said>,
    /// Lost, doubled and held up, of a hundred.
    pub(super) unruly: (u64, u64, u64),
}

impl Links {
    pub(super) fn new(places: usize) -> Self {
        let all = places * places;
        Self {
            places,
            cuts: vec![0; all],
            counts: vec![0; all],
            last: vec![0; all],
            sent: 0,
            before: BTreeMap::new(),
            unruly: (0, 0, 0),
        }
    }

    fn index(&self, from: usize, to: usize) -> usize {
        from * self.places + to
    }

    pub(super) fn sent(&self) -> u64 {
        self.sent
    }

    pub(super) fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts[self.index(from, to)] > 0
    }

    pub(super) fn cut(&mut self, from: usize, to: usize) {
        let index = self.index(from, to);
        self.cuts[index] += 1;
    }

    pub(super) fn join(&mut self, from: usize, to: usize) {
        let index = self.index(from, to);
        self.cuts[index] = self.cuts[index].saturating_sub(1);
    }
}

impl World<'_> {
    /// How long a message takes on its way. Depends on its place among those of its link alone.
    fn way(&mut self, from: usize, to: usize) -> (Nanos, u64) {
        let index = self.links.index(from, to);
        self.links.counts[index] += 1;
        let lot = draw(self.plan.seed, [2, index as u64, self.links.counts[index], 0]);
        // Links differ, and each message a little.
        let far = draw(self.plan.seed, [3, from.min(to) as u64, from.max(to) as u64, 0]) % (WAY.1 - WAY.0);
        (WAY.0 + far + lot % (2 * MILLISECOND), draw(lot, [4, 0, 0, 0]))
    }

    /// Sends a message, in the receiver's present life.
    pub(super) fn send(&mut self, from: usize, to: usize, life: u64, said: Said) {
        self.links.sent += 1;
        let number = self.links.sent;
        let (way, lot) = self.way(from, to);
        let mut said = said;
        let mut copies = 1;
        let mut late = 0;
        if let Some(mutation) = self.plan.mutation {
            let replaced = mutation.how == Mutated::Replaced;
            let before = replaced.then(|| self.links.before.insert((from, to), said.clone())).flatten();
            if mutation.message == number {
                match mutation.how {
                    Mutated::Dropped => copies = 0,
                    Mutated::Doubled => copies = 2,
                    Mutated::Delayed => late = HELD_UP,
                    Mutated::Replaced => said = before.unwrap_or(said),
                }
            }
        }
        if self.links.is_cut(from, to) {
            return;
        }
        let (lost, doubled, held_up) = self.links.unruly;
        if lot % 100 < lost {
            return;
        }
        if (lot >> 8) % 100 < doubled {
            copies += 1;
        }
        if (lot >> 16) % 100 < held_up {
            late = ((lot >> 24) % 2_000) * MILLISECOND;
        }
        for copy in 0..copies {
            let index = self.links.index(from, to);
            let at = if late > 0 || copy > 0 {
                self.now + way + late + copy * (lot >> 40) % (300 * MILLISECOND)
            } else {
                let at = (self.now + way).max(self.links.last[index]);
                self.links.last[index] = at;
                at
            };
            self.at(at, Happening::Arrives(from, to, life, said.clone()));
        }
    }
}
