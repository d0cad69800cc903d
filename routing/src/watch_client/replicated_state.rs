//! What the router has replicated from the control plane: the configuration, the evacuations and the server list. Each has a
//! version that only rises; updates of an older one are ignored, whichever control node sends them.

use std::collections::BTreeMap;

use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::configuration::{Change, Document};
use ivyhatch_protocol::ids::PartitionId;
use ivyhatch_protocol::server_list::{ListUpdateOutcome, ServerList};
use ivyhatch_protocol::watch::{EvacuationUpdate, Position, ServerListChange, Shared};

/// Whether an update has changed the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Applied {
    /// It has.
    Changed,
    /// It was older than the state, or did not follow on it.
    Ignored,
}

/// A zone's evacuation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EvacuationState {
    /// Whether the zone is evacuated.
    pub active: bool,
    /// How often that has changed.
    pub change_count: u64,
}

/// The replicated state and its versions.
#[derive(Debug, Default)]
pub(super) struct ReplicatedState {
    sequence: u64,
    document: Document,
    evacuations: BTreeMap<PartitionId, EvacuationUpdate>,
    server_list: ServerList,
}

impl ReplicatedState {
    /// The sequence number of the configuration's last change; 0 while there is no configuration.
    pub(super) fn sequence(&self) -> u64 {
        self.sequence
    }

    pub(super) fn document(&self) -> &Document {
        &self.document
    }

    pub(super) fn server_list(&self) -> &ServerList {
        &self.server_list
    }

    pub(super) fn evacuation(&self, zone: &str) -> EvacuationState {
        let partition = self.evacuations.get(&PartitionId::for_key(zone));
        let mut zones = partition.into_iter().flat_map(|partition| &partition.zones);
        let known = zones.find(|evacuation| evacuation.zone == zone);
        known
            .map(|known| EvacuationState { active: known.active, change_count: known.change_count })
            .unwrap_or_default()
    }

    /// Whether a configuration and a server list are known; an empty server list is one.
    pub(super) fn is_complete(&self) -> bool {
        self.sequence > 0 && self.server_list.position() != ServerList::default().position()
    }

    /// The versions of all parts of the state.
    pub(super) fn position(&self) -> Position {
        let evacuations = self.evacuations.values().map(EvacuationUpdate::position).collect();
        Position { configuration: self.sequence, evacuations, server_list: self.server_list.position() }
    }

    /// Whether a control node at this position has anything newer.
    pub(super) fn is_behind(&self, position: &Position) -> bool {
        position.configuration > self.sequence
            || position.server_list > self.server_list.position()
            || position
                .evacuations
                .iter()
                .any(|newest| self.evacuations_are_older(newest.partition, newest.sequence))
    }

    /// Replaces the configuration by a newer one. Returns the change that leads to it.
    pub(super) fn apply_snapshot(&mut self, sequence: u64, document: Shared<Document>) -> Option<Change> {
        if sequence <= self.sequence {
            return None;
        }
        let change = self.document.diff(&document);
        (self.sequence, self.document) = (sequence, document.into_inner());
        Some(change)
    }

    /// Applies a change that leads from version `base` to a later one, if `base` is the version that is known here.
    pub(super) fn apply_change(&mut self, base: u64, to: u64, change: Shared<Change>) -> Option<Change> {
        if base != self.sequence || to <= base {
            return None;
        }
        self.document.apply(&change);
        self.sequence = to;
        Some(change.into_inner())
    }

    pub(super) fn apply_evacuations(&mut self, update: EvacuationUpdate) -> Applied {
        if !self.evacuations_are_older(update.partition, update.sequence) {
            return Applied::Ignored;
        }
        self.evacuations.insert(update.partition, update);
        Applied::Changed
    }

    /// Applies a change of the server list. One that does not follow on the list that is known is ignored: its position shows
    /// that this one is behind, so that the complete list is fetched.
    pub(super) fn apply_server_list(&mut self, now: Nanos, change: ServerListChange) -> Applied {
        match self.server_list.apply_change(now, change) {
            ListUpdateOutcome::Applied => Applied::Changed,
            ListUpdateOutcome::Stale | ListUpdateOutcome::Gap => Applied::Ignored,
        }
    }

    fn evacuations_are_older(&self, partition: PartitionId, sequence: u64) -> bool {
        self.evacuations.get(&partition).is_none_or(|known| known.sequence < sequence)
    }
}
