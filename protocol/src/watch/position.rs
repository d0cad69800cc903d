//! Versions of the state that routers watch.

use speedy::{Readable, Writable};

use crate::ids::{Ballot, PartitionId};

/// A version of the server list.
///
/// One control node at a time reads the list from the platform and numbers its versions. Positions are
/// ordered by ballot, then by number, so that each version of a replaced reader is older than all versions of its
/// successor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct ServerListPosition {
    /// The ballot under which the reader holds its role.
    pub ballot: Ballot,
    /// The number of the version under this ballot, from 1; 0 for no list.
    pub number: u64,
}

/// A version of the evacuations of one partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct EvacuationPosition {
    /// The partition.
    pub partition: PartitionId,
    /// The sequence of the partition's last committed change.
    pub sequence: u64,
}

/// The versions of all watched state. The default is the position of a watcher that has received nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Position {
    /// The sequence of the last committed change of the configuration; 0 for none.
    pub configuration: u64,
    /// The versions of the evacuations, one for each partition that has had evacuations.
    pub evacuations: Vec<EvacuationPosition>,
    /// The version of the server list.
    pub server_list: ServerListPosition,
}

/// An entry under an id that no partition has. It marks the position of a watcher that supports
/// [`super::WatchResponse::Alive`] and the variants after it. Releases without these variants ignore the entry.
const EXTENSIONS_MARK: EvacuationPosition =
    EvacuationPosition { partition: PartitionId(u8::MAX), sequence: 1 };

impl Position {
    /// Marks this position as that of a watcher that supports [`super::WatchResponse::Alive`] and the variants
    /// after it.
    #[must_use]
    pub fn with_extensions_mark(mut self) -> Self {
        self.evacuations.push(EXTENSIONS_MARK);
        self
    }

    /// Removes the mark of [`Position::with_extensions_mark`]. Returns whether the position had one.
    pub fn take_extensions_mark(&mut self) -> bool {
        let count = self.evacuations.len();
        self.evacuations.retain(|position| *position != EXTENSIONS_MARK);
        self.evacuations.len() < count
    }

    /// The sequence of a partition's last committed change of evacuations; 0 for none.
    pub fn evacuation_sequence(&self, partition: PartitionId) -> u64 {
        self.evacuations.iter().find(|known| known.partition == partition).map_or(0, |known| known.sequence)
    }
}
