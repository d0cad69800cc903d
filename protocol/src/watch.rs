//! Between a control node and those who follow it.
//!
//! What is followed has numbers that count alike at every control node, so that a follower may take changes from one and go on
//! with another. A follower says how far it is; it gets the changes from there on, or a whole state where they are no longer
//! kept. It takes nothing that is not newer than what it has.

use std::ops::Deref;
use std::sync::Arc;

use speedy::{Context, Readable, Reader, Writable, Writer};

use crate::configuration::{Change, Document};
use crate::ids::{Ballot, NodeId, PartitionId};

/// A version of the server list. Positions are ordered by ballot, then by number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct ServerListPosition {
    /// The ballot of the control node that read the list from the platform.
    pub ballot: Ballot,
    /// The number of the list's version under that ballot; 0 for none.
    pub number: u64,
}

/// The last change of one partition's evacuations that a watcher has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct EvacuationPosition {
    /// The partition.
    pub partition: PartitionId,
    /// The sequence number of its last change.
    pub sequence: u64,
}

/// How far a follower is. The default is that of one who has nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Position {
    /// The number of the configuration's last change.
    pub configuration: u64,
    /// For each part with evacuations, the number of its last change.
    pub evacuations: Vec<EvacuationPosition>,
    /// The list of servers: its reader's ballot, and its number in that.
    pub server_list: ServerListPosition,
}

impl Position {
    /// The number of a part's last change of evacuations.
    pub fn evacuation_sequence(&self, partition: PartitionId) -> u64 {
        self.evacuations.iter().find(|known| known.partition == partition).map_or(0, |known| known.sequence)
    }
}

/// How far a router is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub enum RouterState {
    /// It lacks a configuration or a list of servers.
    #[default]
    Starting,
    /// It takes requests.
    Ready,
    /// It has been told to end.
    Draining,
}

/// A router, for those who look for one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub struct Router {
    /// Its machine.
    pub node: NodeId,
    /// Where it takes requests, as `address:port`.
    pub client_address: String,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// How far it is.
    pub state: RouterState,
}

/// A server of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Server {
    /// Its incarnation.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Where it listens.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Nothing new may be sent to it.
    pub draining: bool,
    /// For so many more milliseconds, counted from the writing of this message, it is cold.
    pub warm_up_remaining_ms: u32,
    /// For so many more it is there, where it goes at short notice.
    pub lifetime_remaining_ms: Option<u32>,
}

/// News of the list of servers.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ServerListUpdate {
    /// The reader's ballot.
    pub ballot: Ballot,
    /// The number that this leads from; none for a whole list.
    pub from: Option<u64>,
    /// The number that it leads to.
    pub to: u64,
    /// Servers that are new or have changed; all of them in a whole list.
    pub upsert: Vec<Server>,
    /// Incarnations that are gone.
    pub removed: Vec<String>,
}

/// Whether a zone is evacuated.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ZoneEvacuation {
    /// The zone's name.
    pub zone: String,
    /// Whether the zone is being evacuated now.
    pub active: bool,
    /// How many times `active` has changed.
    pub change_count: u64,
}

/// News of one part's evacuations: all of them.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct EvacuationUpdate {
    /// The part.
    pub partition: PartitionId,
    /// The number of its last change.
    pub sequence: u64,
    /// Each zone that was ever evacuated, whether it is now, and how often that has changed.
    pub zones: Vec<ZoneEvacuation>,
}

impl EvacuationUpdate {
    /// The position of a watcher that has applied this update.
    pub fn position(&self) -> EvacuationPosition {
        EvacuationPosition { partition: self.partition, sequence: self.sequence }
    }
}

/// From a follower.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum WatchRequest {
    /// First of all, and whenever what it wants has changed.
    Subscribe {
        /// Who follows.
        router: Router,
        /// Whether changes are to be sent as they come, or only told of.
        primary: bool,
        /// How far it is.
        position: Position,
    },
    /// It is there.
    Heartbeat {
        /// How far it is with its own life.
        state: RouterState,
    },
    /// It wants what is newer than this, once.
    Fetch {
        /// How far it is.
        position: Position,
    },
}

/// A large part of a message. Clones share it, so that what goes to many followers is held, and can be encoded, once.
#[derive(Debug, PartialEq, Eq)]
pub struct Shared<T>(Arc<T>);

impl<T> Shared<T> {
    /// Whether both are clones of one.
    pub fn ptr_eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

impl<T: Clone> Shared<T> {
    /// The value itself; copied only where it is still shared.
    pub fn into_inner(self) -> T {
        Arc::unwrap_or_clone(self.0)
    }
}

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<T: Default> Default for Shared<T> {
    fn default() -> Self {
        Self::from(T::default())
    }
}

impl<T> From<T> for Shared<T> {
    fn from(value: T) -> Self {
        Self(Arc::new(value))
    }
}

impl<T> Deref for Shared<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.0
    }
}

impl<'a, C: Context, T: Readable<'a, C>> Readable<'a, C> for Shared<T> {
    fn read_from<R: Reader<'a, C>>(reader: &mut R) -> Result<Self, C::Error> {
        T::read_from(reader).map(Self::from)
    }

    fn minimum_bytes_needed() -> usize {
        T::minimum_bytes_needed()
    }
}

impl<C: Context, T: Writable<C>> Writable<C> for Shared<T> {
    fn write_to<W: ?Sized + Writer<C>>(&self, writer: &mut W) -> Result<(), C::Error> {
        self.0.write_to(writer)
    }

    fn bytes_needed(&self) -> Result<usize, C::Error> {
        self.0.bytes_needed()
    }
}

/// To a follower.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum WatchResponse {
    /// How far the control node is. Comes on each change, and as a sign of life.
    Progress {
        /// How far.
        position: Position,
        /// Whether it is in touch with most of its group: what it tells is fresh then.
        has_quorum: bool,
        /// Routers that it knows of, directly or from others; 0 where it can't know of all.
        router_count: u32,
        /// The follower's place among these, from 0: what all may do together is dealt out by it.
        router_index: u32,
        /// The control nodes that it knows.
        control_nodes: Vec<NodeId>,
    },
    /// The whole configuration.
    Snapshot {
        /// Its number.
        sequence: u64,
        /// The configuration.
        document: Shared<Document>,
    },
    /// A change of the configuration.
    Change {
        /// The number that it leads from.
        from: u64,
        /// The number that it leads to.
        to: u64,
        /// The change.
        change: Shared<Change>,
    },
    /// Evacuations.
    Evacuations(EvacuationUpdate),
    /// Servers.
    ServerList(ServerListUpdate),
}
