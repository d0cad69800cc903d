//! Updates of the server list and of evacuations.

use speedy::{Readable, Writable};

use super::endpoints::Server;
use super::position::{EvacuationPosition, ServerListPosition};
use crate::ids::{Ballot, PartitionId};

/// The whole server list, or the change from one version of it to a later one under the same ballot.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ServerListUpdate {
    /// The ballot under which the reader holds its role. An update with a lower ballot than that of the receiver's
    /// list is stale.
    pub ballot: Ballot,
    /// The number of the version that the change applies to; `None` for the whole list.
    pub from: Option<u64>,
    /// The number of the resulting version.
    pub to: u64,
    /// The servers that were added or changed; in a whole list, all servers.
    pub upsert: Vec<Server>,
    /// The ids of the servers that were removed; empty in a whole list.
    pub removed: Vec<String>,
}

/// The whole server list, or the change from one version of it to a later one, which may be a version of the next
/// reader.
///
/// Sent only to receivers that are known to support this message; earlier releases receive [`ServerListUpdate`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ServerListChange {
    /// The version that the change applies to; `None` for the whole list.
    pub base: Option<ServerListPosition>,
    /// The resulting version.
    pub position: ServerListPosition,
    /// The servers that were added or changed; in a whole list, all servers.
    pub upsert: Vec<Server>,
    /// The ids of the servers that were removed; empty in a whole list.
    pub removed: Vec<String>,
}

impl ServerListChange {
    /// Converts the change for a receiver of an earlier release; `None` if the change leads from a version of one
    /// reader to a version of the next.
    pub fn to_update(&self) -> Option<ServerListUpdate> {
        let ServerListPosition { ballot, number: to } = self.position;
        let from = match self.base {
            Some(base) if base.ballot != ballot => return None,
            base => base.map(|base| base.number),
        };
        let (upsert, removed) = (self.upsert.clone(), self.removed.clone());
        Some(ServerListUpdate { ballot, from, to, upsert, removed })
    }
}

impl From<ServerListUpdate> for ServerListChange {
    fn from(update: ServerListUpdate) -> Self {
        let ServerListUpdate { ballot, from, to, upsert, removed } = update;
        let version = |number| ServerListPosition { ballot, number };
        Self { base: from.map(version), position: version(to), upsert, removed }
    }
}

/// The evacuation state of a zone.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ZoneEvacuation {
    /// The zone.
    pub zone: String,
    /// Whether the zone is evacuated now.
    pub active: bool,
    /// How many times `active` has changed.
    pub change_count: u64,
}

/// All evacuations of one partition. Replaces all evacuations of an earlier update of the same partition.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct EvacuationUpdate {
    /// The partition.
    pub partition: PartitionId,
    /// The sequence of the partition's last committed change. An update whose sequence is not higher than the
    /// receiver's is stale.
    pub sequence: u64,
    /// Every zone of the partition that has been evacuated at some time.
    pub zones: Vec<ZoneEvacuation>,
}

impl EvacuationUpdate {
    /// The position of a watcher that has applied this update.
    pub fn position(&self) -> EvacuationPosition {
        EvacuationPosition { partition: self.partition, sequence: self.sequence }
    }
}
