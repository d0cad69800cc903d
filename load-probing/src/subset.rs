//! The choice of a stable subset of servers if there are too many for the budget.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::{Nanos, ServerId};

/// The group that receives half of the subset: that of the node's own zone.
const LOCAL_GROUP: u32 = 0;

/// A server that may be probed. The embedder supplies all fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The server.
    pub id: ServerId,
    /// The group of the server, such as its zone. Group 0 is that of the node's own zone and receives half of
    /// the subset.
    pub group: u32,
    /// A hash of the server and this node (rendezvous hashing). The lowest ranks are chosen, so that nodes
    /// choose different subsets, and a change of the list replaces few servers.
    pub rank: u64,
    /// The incarnation of the server, such as the time of its start. Reports of another incarnation are
    /// ignored.
    pub incarnation: Nanos,
}

/// Chooses at most `max_size` candidates: half of them from the local group, if that has so many, and the
/// rest from the other groups in turn. Takes O(n log n) time.
pub(crate) fn select_subset(candidates: &[Candidate], max_size: usize) -> BTreeSet<ServerId> {
    if candidates.len() <= max_size {
        return candidates.iter().map(|candidate| candidate.id).collect();
    }
    let mut groups: BTreeMap<u32, Vec<&Candidate>> = BTreeMap::new();
    for candidate in candidates {
        groups.entry(candidate.group).or_default().push(candidate);
    }
    for members in groups.values_mut() {
        // Sorted in descending order, so that `pop` returns the lowest rank.
        members.sort_unstable_by_key(|candidate| Reverse((candidate.rank, candidate.id)));
    }
    let mut subset = BTreeSet::new();
    if let Some(mut local) = groups.remove(&LOCAL_GROUP) {
        let remote_count = candidates.len() - local.len();
        let share = (max_size / 2).max(max_size.saturating_sub(remote_count)).min(local.len());
        subset.extend(local.split_off(local.len() - share).into_iter().map(|candidate| candidate.id));
    }
    while subset.len() < max_size && !groups.is_empty() {
        groups.retain(|_, members| {
            if subset.len() < max_size {
                subset.extend(members.pop().map(|candidate| candidate.id));
            }
            !members.is_empty()
        });
    }
    subset
}
