//! The state that the router has replicated from the control plane: the configuration, the evacuations and the server list. Each part
//! has a version that only increases; older updates are ignored, whichever control node sends them.

use std::collections::BTreeMap;

use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::configuration::{Change, Document};
use ivyhatch_protocol::ids::PartitionId;
use ivyhatch_protocol::server_list::{ListUpdateOutcome, ServerList};
use ivyhatch_protocol::watch::{EvacuationUpdate, Position, ServerListChange, Shared};

/// The outcome of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Applied {
    /// The update has changed the state.
    Changed,
    /// The update was not newer than the state, or was based on a version that the router does not have.
    Ignored,
}

/// The evacuation state of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EvacuationState {
    /// Whether the zone is evacuated.
    pub active: bool,
    /// The number of times that `active` has changed.
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

    /// Whether a configuration and a server list, possibly an empty one, have been received.
    pub(super) fn is_complete(&self) -> bool {
        self.sequence > 0 && self.server_list.position() != ServerList::default().position()
    }

    /// The versions of all parts of the state.
    pub(super) fn position(&self) -> Position {
        let evacuations = self.evacuations.values().map(EvacuationUpdate::position).collect();
        Position { configuration: self.sequence, evacuations, server_list: self.server_list.position() }
    }

    /// Whether a control node at this position has a newer version of any part.
    pub(super) fn is_behind(&self, position: &Position) -> bool {
        position.configuration > self.sequence
            || position.server_list > self.server_list.position()
            || position
                .evacuations
                .iter()
                .any(|newest| self.evacuations_are_older(newest.partition, newest.sequence))
    }

    /// Replaces the configuration by a newer one. Returns the difference to the previous configuration; `None` if the snapshot is not
    /// newer.
    pub(super) fn apply_snapshot(&mut self, sequence: u64, document: Shared<Document>) -> Option<Change> {
        if sequence <= self.sequence {
            return None;
        }
        let change = self.document.diff(&document);
        (self.sequence, self.document) = (sequence, document.into_inner());
        Some(change)
    }

    /// Applies a change from version `base` to version `to`. Returns the change; `None` if `base` is not the current version or `to` is
    /// not newer.
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

    /// Applies a change of the server list. A change whose base is not the current list is ignored: the position of the control node
    /// shows that the router is behind, so the complete list is fetched.
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
