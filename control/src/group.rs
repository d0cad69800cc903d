//! Who decides together, how the group forms on the very first start, and how one that has forgotten its past comes back.

use std::collections::BTreeMap;

use ivyhatch_protocol::ids::{NodeId, Part};
use ivyhatch_protocol::peer::{Group, Kept};

/// How many members make most of a group.
pub fn most(group: &Group) -> usize {
    group.members.len() / 2 + 1
}

/// How many members that have forgotten nothing one that has must hear from, so that it misses nothing that it may have helped to
/// acknowledge.
///
/// Whatever was acknowledged was stored by `most` members. Of these the asking one is one, and `forgotten` at most have forgotten
/// it all together, the asking one included; so at least `most - forgotten` others still know it, out of `members - forgotten`
/// that have forgotten nothing. Any so many of those include one that knows.
pub fn enough_to_remember(group: &Group, forgotten: usize) -> usize {
    // A group that is too small for what may be lost bears less: nothing can be done about that here.
    let forgotten = forgotten.clamp(1, most(group).saturating_sub(1).max(1));
    let sound = group.members.len().saturating_sub(forgotten);
    let know = most(group).saturating_sub(forgotten);
    (sound + 1).saturating_sub(know).max(1)
}

/// The order in which members own a part: each part begins with another one, so that their work is spread.
pub fn order(group: &Group, part: Part) -> impl Iterator<Item = NodeId> {
    let count = group.members.len().max(1);
    let start = usize::from(part.0) % count;
    group.members.iter().cycle().skip(start).take(group.members.len()).copied()
}

/// What members tell one that has forgotten its past.
#[derive(Clone, Debug, Default)]
pub struct Recollection {
    told: BTreeMap<NodeId, (Group, Vec<(Part, Kept)>)>,
}

impl Recollection {
    /// Takes in what one member keeps.
    pub fn take(&mut self, from: NodeId, group: Group, parts: Vec<(Part, Kept)>) {
        self.told.insert(from, (group, parts));
    }

    /// The group, and what is to be kept of each part, once enough have told. `forgotten` may have forgotten their past at the
    /// same time.
    pub fn whole(&self, forgotten: usize) -> Option<(Group, BTreeMap<Part, Kept>)> {
        let (group, _) = self.told.values().next()?;
        let told: Vec<_> = self
            .told
            .iter()
            .filter(|(from, (of, _))| of == group && group.members.contains(from))
            .map(|(_, (_, parts))| parts)
            .collect();
        if told.len() < enough_to_remember(group, forgotten) {
            return None;
        }
        let mut merged: BTreeMap<Part, Kept> = BTreeMap::new();
        for (part, kept) in told.into_iter().flatten() {
            let known = merged.entry(*part).or_default();
            known.promised = known.promised.max(kept.promised);
            let age =
                |kept: &Kept| kept.accepted.as_ref().map(|accepted| (accepted.epoch, accepted.sequence));
            if age(kept) > age(known) {
                known.accepted.clone_from(&kept.accepted);
            }
        }
        Some((group.clone(), merged))
    }
}
