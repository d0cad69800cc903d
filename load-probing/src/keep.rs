//! The part of the servers that a node keeps to, where servers times nodes outgrow the budget.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Id, Nanos};

/// A server that may be probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its number.
    pub id: Id,
    /// Its group, say its zone. Group 0 is the node's own and gets half of what is kept.
    pub group: u32,
    /// This node's lot for the server: the lowest are kept, so nodes with other lots keep other servers, and a
    /// list that changes moves few of them.
    pub lot: u64,
    /// Which life of the server, say when it started; any change makes it a new one.
    pub incarnation: Nanos,
}

/// Chooses at most `most` of the candidates: all, where that is enough; else half of them (or what there is) from
/// group 0, and the rest from the others in turn. Costs n log n in the number of candidates.
pub(crate) fn keep(candidates: &[Candidate], most: usize) -> BTreeSet<Id> {
    if candidates.len() <= most {
        return candidates.iter().map(|candidate| candidate.id).collect();
    }
    let mut groups: BTreeMap<u32, Vec<&Candidate>> = BTreeMap::new();
    for candidate in candidates {
        groups.entry(candidate.group).or_default().push(candidate);
    }
    for members in groups.values_mut() {
        // The lowest lot last, to be popped first.
        members.sort_unstable_by_key(|candidate| std::cmp::Reverse((candidate.lot, candidate.id)));
    }
    let mut kept = BTreeSet::new();
    if let Some(own) = groups.get_mut(&0) {
        let others = candidates.len() - own.len();
        let share = (most / 2).max(most.saturating_sub(others)).min(own.len());
        kept.extend(own.split_off(own.len() - share).into_iter().map(|candidate| candidate.id));
    }
    while kept.len() < most && !groups.is_empty() {
        groups.retain(|group, members| {
            if *group != 0 && kept.len() < most {
                kept.extend(members.pop().map(|candidate| candidate.id));
            }
            *group != 0 && !members.is_empty()
        });
    }
    kept
}
