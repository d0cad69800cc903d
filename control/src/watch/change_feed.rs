//! The committed state in the form for watchers: the configuration, with the latest changes that led to it, and the evacuations.

use std::collections::{BTreeMap, VecDeque};

use ivyhatch_protocol::configuration::{Change, Document};
use ivyhatch_protocol::ids::PartitionId;
use ivyhatch_protocol::watch::{EvacuationUpdate, Position, Shared, WatchResponse, ZoneEvacuation};

use crate::consensus::partition_state::{EvacuationState, EvacuationStatus, PartitionState};

/// The largest number of configuration changes that are kept for watchers that are behind.
const MAX_CHANGES: usize = 64;
/// A watcher gets a snapshot if the number of added or changed items in the changes that it lacks, times this ratio, exceeds the number of
/// items in the configuration.
const SNAPSHOT_RATIO: usize = 2;

/// The difference between two configurations that were committed here one after the other, with the sequence numbers of both.
#[derive(Debug)]
struct FeedChange {
    from: u64,
    to: u64,
    change: Shared<Change>,
}

impl FeedChange {
    fn item_count(&self) -> usize {
        self.change.upsert.values().map(Vec::len).sum()
    }

    fn response(&self) -> WatchResponse {
        WatchResponse::Change { from: self.from, to: self.to, change: self.change.clone() }
    }
}

/// The committed configuration and evacuations, and the updates that bring a watcher up to date.
#[derive(Debug, Default)]
pub struct ChangeFeed {
    sequence: u64,
    document: Shared<Document>,
    changes: VecDeque<FeedChange>,
    evacuations: BTreeMap<PartitionId, EvacuationUpdate>,
}

impl ChangeFeed {
    /// Adds a committed state of a partition. An older configuration than the current one is ignored.
    pub fn committed(&mut self, partition: PartitionId, sequence: u64, state: &PartitionState) {
        match state {
            PartitionState::Configuration(configuration) => {
                self.configuration_committed(sequence, configuration.document.clone());
            }
            PartitionState::Evacuations(evacuations) => {
                let zones = zone_evacuations(evacuations);
                self.evacuations.insert(partition, EvacuationUpdate { partition, sequence, zones });
            }
        }
    }

    fn configuration_committed(&mut self, sequence: u64, document: Document) {
        if sequence <= self.sequence {
            return;
        }
        if self.sequence > 0 {
            let change = self.document.diff(&document).into();
            self.changes.push_back(FeedChange { from: self.sequence, to: sequence, change });
        }
        while self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
        (self.sequence, self.document) = (sequence, document.into());
    }

    /// The sequence number of the change that led to the current configuration; 0 where there is none.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// The current configuration; the empty document where there is none.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// The position of the feed. The server list is not part of the feed: its position is the lowest one.
    pub fn position(&self) -> Position {
        let evacuations = self.evacuations.values().map(EvacuationUpdate::position).collect();
        Position { configuration: self.sequence, evacuations, ..Position::default() }
    }

    /// The updates that a watcher at this position lacks.
    pub fn updates_since(&self, position: &Position) -> Vec<WatchResponse> {
        let mut updates = Vec::new();
        if self.sequence > position.configuration {
            updates = self.changes_since(position.configuration).unwrap_or_else(|| vec![self.snapshot()]);
        }
        let is_newer =
            |update: &&EvacuationUpdate| update.sequence > position.evacuation_sequence(update.partition);
        let evacuations = self.evacuations.values().filter(is_newer);
        updates.extend(evacuations.cloned().map(WatchResponse::Evacuations));
        updates
    }

    /// The configuration changes after a sequence number; `None` where some of them are no longer kept, or a snapshot is preferable by
    /// `SNAPSHOT_RATIO`.
    fn changes_since(&self, sequence: u64) -> Option<Vec<WatchResponse>> {
        let first = self.changes.iter().position(|change| change.from == sequence)?;
        let changes = self.changes.iter().skip(first);
        let changed_items: usize = changes.clone().map(FeedChange::item_count).sum();
        let all_items: usize = self.document.sections.values().map(Vec::len).sum();
        (changed_items * SNAPSHOT_RATIO <= all_items).then(|| changes.map(FeedChange::response).collect())
    }

    fn snapshot(&self) -> WatchResponse {
        WatchResponse::Snapshot { sequence: self.sequence, document: self.document.clone() }
    }
}

fn zone_evacuations(evacuations: &EvacuationState) -> Vec<ZoneEvacuation> {
    let zone = |(zone, state): (&String, &EvacuationStatus)| ZoneEvacuation {
        zone: zone.clone(),
        active: state.active,
        change_count: state.change_count,
    };
    evacuations.zones.iter().map(zone).collect()
}
