//! What followers are told: the configuration and the evacuations as they are decided, with some of the changes that led there.

use std::collections::{BTreeMap, VecDeque};

use ivyhatch_protocol::configuration::{Change, Document};
use ivyhatch_protocol::ids::PartitionId;
use ivyhatch_protocol::watch::{EvacuationUpdate, Position, Shared, WatchResponse, ZoneEvacuation};

use crate::partition_state::PartitionState;

/// Changes of the configuration that are kept for those who are behind.
const KEPT: usize = 64;
/// A change with more items than this share of the whole is told as the whole.
const WHOLE_SHARE: usize = 2;

/// What is decided, for those who follow.
#[derive(Debug, Default)]
pub struct ChangeFeed {
    sequence: u64,
    document: Shared<Document>,
    changes: VecDeque<(u64, u64, Shared<Change>)>,
    evacuations: BTreeMap<PartitionId, EvacuationUpdate>,
}

impl ChangeFeed {
    /// Takes a decision in.
    pub fn committed(&mut self, part: PartitionId, sequence: u64, state: &PartitionState) {
        match state {
            PartitionState::Configuration(configured) => {
                self.configured(sequence, configured.document.clone())
            }
            PartitionState::Evacuations(evacuated) => {
                let zone = |(zone, (active, change_count)): (&String, &(bool, u64))| ZoneEvacuation {
                    zone: zone.clone(),
                    active: *active,
                    change_count: *change_count,
                };
                let zones = evacuated.zones.iter().map(zone).collect();
                self.evacuations.insert(part, EvacuationUpdate { partition: part, sequence, zones });
            }
        }
    }

    fn configured(&mut self, sequence: u64, document: Document) {
        if sequence <= self.sequence {
            return;
        }
        if self.sequence > 0 {
            let change = self.document.diff(&document);
            self.changes.push_back((self.sequence, sequence, change.into()));
        }
        while self.changes.len() > KEPT {
            self.changes.pop_front();
        }
        (self.sequence, self.document) = (sequence, document.into());
    }

    /// The configuration.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// How far it is; `servers` is filled in by others.
    pub fn position(&self) -> Position {
        let evacuations = self.evacuations.values().map(EvacuationUpdate::position).collect();
        Position { configuration: self.sequence, evacuations, ..Position::default() }
    }

    /// What is newer than a follower's position.
    pub fn since(&self, position: &Position) -> Vec<WatchResponse> {
        let mut news = Vec::new();
        if self.sequence > position.configuration {
            let first = self.changes.iter().position(|(from, ..)| *from == position.configuration);
            let items = |change: &Change| change.upsert.values().map(Vec::len).sum::<usize>();
            let all: usize = self.document.sections.values().map(Vec::len).sum();
            let changes = first.map(|first| self.changes.iter().skip(first));
            match changes.filter(|all_changes| {
                all_changes.clone().map(|(_, _, change)| items(change)).sum::<usize>() * WHOLE_SHARE <= all
            }) {
                Some(changes) => news.extend(changes.map(|(from, to, change)| WatchResponse::Change {
                    from: *from,
                    to: *to,
                    change: change.clone(),
                })),
                None => news.push(WatchResponse::Snapshot {
                    sequence: self.sequence,
                    document: self.document.clone(),
                }),
            }
        }
        let newer = |part: &&EvacuationUpdate| part.sequence > position.evacuation_sequence(part.partition);
        news.extend(self.evacuations.values().filter(newer).cloned().map(WatchResponse::Evacuations));
        news
    }
}
