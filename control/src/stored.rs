//! What a control node's disk holds, made up from its records, and the shortest records that say the same.

use std::collections::BTreeMap;

use ivyhatch_protocol::ids::{Epoch, Part};
use ivyhatch_protocol::peer::{Group, Kept};

use crate::Record;

/// All that the records say together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stored {
    /// The group, once there is one.
    pub group: Option<Group>,
    /// Part by part.
    pub parts: BTreeMap<Part, Kept>,
    /// Part by part, the epoch and number of the last change that is known to be decided.
    pub decided: BTreeMap<Part, (Epoch, u64)>,
}

impl Stored {
    /// Takes one more record in.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::Group(group) => self.group = Some(group),
            Record::Promised(part, epoch) => {
                let kept = self.parts.entry(part).or_default();
                kept.promised = kept.promised.max(epoch);
            }
            Record::Accepted(part, accepted) => {
                let kept = self.parts.entry(part).or_default();
                kept.promised = kept.promised.max(accepted.epoch);
                kept.accepted = Some(accepted);
            }
            Record::Decided(part, epoch, sequence) => drop(self.decided.insert(part, (epoch, sequence))),
        }
    }

    /// Records that say the same.
    pub fn records(&self) -> Vec<Record> {
        let group = self.group.clone().map(Record::Group);
        let part = |(part, kept): (&Part, &Kept)| {
            let accepted = kept.accepted.clone().map(|accepted| Record::Accepted(*part, accepted));
            let decided =
                self.decided.get(part).map(|(epoch, sequence)| Record::Decided(*part, *epoch, *sequence));
            accepted.into_iter().chain([Record::Promised(*part, kept.promised)]).chain(decided)
        };
        group.into_iter().chain(self.parts.iter().flat_map(part)).collect()
    }
}

impl FromIterator<Record> for Stored {
    fn from_iter<I: IntoIterator<Item = Record>>(records: I) -> Self {
        let mut stored = Self::default();
        records.into_iter().for_each(|record| stored.apply(record));
        stored
    }
}
