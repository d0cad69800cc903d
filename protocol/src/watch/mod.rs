//! Messages between a control node and the routers that watch it.
//!
//! The protocol follows etcd's watch: a watcher names the version that it has and receives the changes since
//! then, or a snapshot if the changes are no longer kept. Versions are the same at every control node, so a
//! watcher can continue with another node at any time. It has sessions with several nodes, takes changes from
//! one of them (the primary) and fetches from the others what that one does not bring. It discards whatever
//! is not newer than what it has.
//!
//! - [`WatchRequest`], [`WatchResponse`]: what is sent
//! - `position`: versions
//! - `updates`: changes of the server list and of evacuations
//! - `endpoints`: routers and servers

mod endpoints;
mod position;
mod updates;

use speedy::{Readable, Writable};

pub use self::endpoints::{ControlNode, Router, RouterState, Server};
pub use self::position::{EvacuationPosition, Position, ServerListPosition};
pub use self::updates::{EvacuationUpdate, ServerListChange, ServerListUpdate, ZoneEvacuation};
use crate::configuration::{Change, Document};
use crate::ids::NodeId;
pub use crate::shared::Shared;

/// A message from a watcher to a control node.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum WatchRequest {
    /// The first message of a session, sent again when `primary` changes. The control node registers the
    /// router.
    Subscribe {
        /// The watcher.
        router: Router,
        /// Whether the control node is to send every change as it comes. It sends only
        /// [`WatchResponse::Progress`] otherwise.
        primary: bool,
        /// The versions that the watcher has.
        position: Position,
    },
    /// Sent periodically and whenever the router's state changes. A session without one is closed after a
    /// timeout.
    Heartbeat {
        /// The router's readiness.
        state: RouterState,
    },
    /// Asks once for everything that is newer, if the primary has not brought it in time.
    Fetch {
        /// The versions that the watcher has.
        position: Position,
    },
}

/// A message from a control node to a watcher.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum WatchResponse {
    /// The versions that the control node has (as etcd's progress notification). Sent on each change, and
    /// periodically as the control node's heartbeat.
    Progress {
        /// The versions that the control node has.
        position: Position,
        /// Whether the control node is connected to a quorum of the voters. Without one its versions may be
        /// stale.
        has_quorum: bool,
        /// The number of routers, also of those that other control nodes have reported; 0 while the control
        /// node can't know all of them. Rate limits that hold for all routers together are divided by it.
        router_count: u32,
        /// The watcher's index among these routers, from 0 to `router_count - 1`.
        router_index: u32,
        /// The control nodes that the sender knows, itself included, in ascending order.
        control_nodes: Vec<NodeId>,
    },
    /// The whole configuration.
    Snapshot {
        /// The sequence of the last committed change in it.
        sequence: u64,
        /// The configuration.
        document: Shared<Document>,
    },
    /// A change of the configuration. A watcher whose configuration is not at `from` discards it.
    Change {
        /// The sequence that the change applies to.
        from: u64,
        /// The resulting sequence.
        to: u64,
        /// The change.
        change: Shared<Change>,
    },
    /// The evacuations of one partition.
    Evacuations(EvacuationUpdate),
    /// The whole server list, or a change of it.
    ServerList(ServerListUpdate),
    /// Nothing has changed since the last [`WatchResponse::Progress`]. This variant and those behind it are sent to watchers that
    /// mark their position ([`Position::with_extensions_mark`]).
    Alive,
    /// The control nodes that the sender knows, itself included. Replaces those of an earlier message; `Progress` names none then.
    ControlNodes(Vec<ControlNode>),
    /// The whole server list, or a change of it.
    ServerListChange(Shared<ServerListChange>),
}
