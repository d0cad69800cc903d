//! Which of the servers a node tracks, where servers times nodes outgrow the budget.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Id, Nanos};

/// A server that may be probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its number.
    pub id: Id,
    /// Its group, say its zone. Group 0 is the node's own and gets half of the tracked servers.
    pub group: u32,
    /// This node's random rank of the server: the lowest ranks are tracked, so nodes with other ranks track
    /// other servers, and a list that changes moves few of them.
    pub rank: u64,
    /// The incarnation of the server, say when it was started; any change makes it a new one.
    pub incarnation: Nanos,
}

/// Chooses at most `max_tracked` of the candidates: all, where that is enough; else half of them (or as
/// many as there are) from group 0, and the rest from the other groups in turn. Costs n log n in the number
/// of candidates.
pub(crate) fn select_tracked(candidates: &[Candidate], max_tracked: usize) -> BTreeSet<Id> {
    if candidates.len() <= max_tracked {
        return candidates.iter().map(|candidate| candidate.id).collect();
    }
    let mut groups = by_group(candidates);
    let mut tracked = BTreeSet::new();
    if let Some(own) = groups.get_mut(&0) {
        let others = candidates.len() - own.len();
        let share = (max_tracked / 2).max(max_tracked.saturating_sub(others)).min(own.len());
        tracked.extend(own.split_off(own.len() - share).into_iter().map(|candidate| candidate.id));
    }
    while tracked.len() < max_tracked && !groups.is_empty() {
        groups.retain(|group, members| {
            if *group != 0 && tracked.len() < max_tracked {
                tracked.extend(members.pop().map(|candidate| candidate.id));
            }
            *group != 0 && !members.is_empty()
        });
    }
    tracked
}

/// The candidates of each group, the lowest rank last.
fn by_group(candidates: &[Candidate]) -> BTreeMap<u32, Vec<&Candidate>> {
    let mut groups: BTreeMap<u32, Vec<&Candidate>> = BTreeMap::new();
    for candidate in candidates {
        groups.entry(candidate.group).or_default().push(candidate);
    }
    for members in groups.values_mut() {
        members.sort_unstable_by_key(|candidate| std::cmp::Reverse((candidate.rank, candidate.id)));
    }
    groups
}
