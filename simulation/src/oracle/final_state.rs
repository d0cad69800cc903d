//! Checks of the state at the end of a run: convergence, and durability of acknowledged changes.

use std::collections::BTreeSet;

use super::{Invariant, Oracle};
use crate::workload::OperationKind;

/// The evacuation state of a zone at one node or router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneState {
    /// Whether the zone is evacuated.
    pub evacuated: bool,
    /// How often the evacuation state has changed.
    pub change_count: u64,
}

/// The configuration and the evacuations that one node or router has in effect.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct AppliedState {
    /// The revision of the configuration; 0 without one.
    pub revision: u64,
    /// The sequence number under which that revision was committed.
    pub sequence: u64,
    /// The state of each zone, indexed by zone number.
    pub zones: Vec<ZoneState>,
}

/// The distinct states of all nodes and routers at the end of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FinalState {
    /// The distinct vectors of partition sequence numbers among the nodes: one entry if all nodes agree.
    pub partition_sequences: BTreeSet<Vec<u64>>,
    /// The distinct states in effect at nodes and routers: one entry if all agree. `None` stands for a process that is down.
    pub applied: BTreeSet<Option<AppliedState>>,
    /// Whether some node holds the role of reading the platform's server list.
    pub server_list_is_read: bool,
}

impl Oracle {
    /// Checks convergence and durability at the end of a run, after the recovery time.
    pub fn check_final_state(&mut self, state: &FinalState) {
        self.check_convergence(state);
        self.check_acknowledged_history();
        self.check_history_order();
        self.check_final_evacuations(state);
        self.check_final_revision(state);
    }

    /// [`Invariant::Convergence`], and invariant 11 of `control-safety.md`.
    fn check_convergence(&mut self, state: &FinalState) {
        let agree = state.partition_sequences.len() == 1 && state.applied.len() == 1;
        if !agree || !state.server_list_is_read {
            self.report(Invariant::Convergence, format!("{state:?}"));
        }
    }

    /// [`Invariant::Durability`], invariant 6 of `control-safety.md`: each acknowledged revision was in effect somewhere.
    fn check_acknowledged_history(&mut self) {
        let applied: BTreeSet<u64> = self.revision_by_sequence.values().copied().collect();
        let lost = self.operations.values().find_map(|operation| match operation.kind {
            OperationKind::SetConfiguration { revision, .. }
                if operation.is_acknowledged() && !applied.contains(&revision) =>
            {
                Some(revision)
            }
            _ => None,
        });
        if let Some(revision) = lost {
            let text = format!("revision {revision} was acknowledged but was never observed in effect");
            self.report(Invariant::Durability, text);
        }
    }

    /// [`Invariant::CompareAndSet`], invariant 8 of `control-safety.md`: each revision follows its base.
    fn check_history_order(&mut self) {
        let misplaced = |(sequence, revision): (&u64, &u64)| {
            let previous = self.revision_by_sequence.get(&(sequence - 1)).copied();
            let number = self.operation_by_revision.get(revision)?;
            let OperationKind::SetConfiguration { base, .. } = self.operations.get(number)?.kind else {
                return None;
            };
            let previous = previous.filter(|previous| *previous != base)?;
            Some(format!("revision {revision} follows revision {previous}, expected its base {base}"))
        };
        if let Some(text) = self.revision_by_sequence.iter().find_map(misplaced) {
            self.report(Invariant::CompareAndSet, text);
        }
    }

    /// [`Invariant::Durability`], invariant 6 of `control-safety.md`: acknowledged evacuations are in effect everywhere.
    fn check_final_evacuations(&mut self, state: &FinalState) {
        let evacuated = |applied: &Option<AppliedState>, zone: usize| {
            applied.as_ref().and_then(|applied| applied.zones.get(zone)).map(|zone| zone.evacuated)
        };
        let lost = self.evacuations.iter().find(|(zone, acknowledged)| {
            state.applied.iter().any(|applied| evacuated(applied, **zone) != Some(acknowledged.active))
        });
        if let Some((zone, acknowledged)) = lost {
            let text = format!(
                "zone {zone}: expected evacuated: {} as acknowledged at every node and router",
                acknowledged.active
            );
            self.report(Invariant::Durability, text);
        }
    }

    /// [`Invariant::Durability`], invariant 6 of `control-safety.md`: the newest acknowledged revision or a newer one is in effect.
    fn check_final_revision(&mut self, state: &FinalState) {
        let oldest = state.applied.first().and_then(Option::as_ref).map_or(0, |applied| applied.revision);
        if let Some(newest) = self.newest_revision.filter(|newest| oldest < newest.revision) {
            let text =
                format!("revision {} was acknowledged, but revision {oldest} is in effect", newest.revision);
            self.report(Invariant::Durability, text);
        }
    }
}
