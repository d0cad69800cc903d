//! Messages between a control node and the routers that watch it.
//!
//! The protocol follows etcd's watch: a watcher sends the version that it has and receives the changes since that
//! version, or a snapshot if these changes are no longer kept. Versions are the same at every control node, so a
//! watcher can continue with another node at any time. A watcher has sessions with several nodes, receives changes
//! from one of them (the primary), and fetches from the others the updates that the primary does not deliver. A
//! watcher discards updates that are not newer than its state.
//!
//! - [`WatchRequest`], [`WatchResponse`]: the messages in either direction
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
    /// The first message of a session, sent again when `primary` changes. On receipt the control node registers
    /// the router.
    Subscribe {
        /// The watcher.
        router: Router,
        /// Whether the control node is to send every change as soon as it has the change. Otherwise it sends only
        /// [`WatchResponse::Progress`].
        primary: bool,
        /// The versions that the watcher has.
        position: Position,
    },
    /// Sent periodically and whenever the router's state changes. The control node closes a session without
    /// heartbeats after a timeout.
    Heartbeat {
        /// The router's readiness.
        state: RouterState,
    },
    /// A single request for everything that is newer than `position`. Sent if the primary has not delivered an update
    /// in time.
    Fetch {
        /// The versions that the watcher has.
        position: Position,
    },
}

/// A message from a control node to a watcher.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum WatchResponse {
    /// The versions that the control node has (like etcd's progress notification). Sent on each change, and
    /// periodically as the control node's heartbeat.
    Progress {
        /// The versions that the control node has.
        position: Position,
        /// Whether the control node is connected to a quorum of the voters. Without a quorum its versions may be
        /// stale.
        has_quorum: bool,
        /// The number of all routers, including those that other control nodes have reported; 0 while the control
        /// node can't know all routers. Rate limits that apply to all routers together are divided by this number.
        router_count: u32,
        /// The watcher's index among all routers, from 0 to `router_count - 1`.
        router_index: u32,
        /// The control nodes that the sender knows, including the sender, in ascending order. Empty for watchers
        /// that receive [`WatchResponse::ControlNodes`].
        control_nodes: Vec<NodeId>,
    },
    /// The whole configuration.
    Snapshot {
        /// The sequence of the last committed change that the configuration contains.
        sequence: u64,
        /// The configuration.
        document: Shared<Document>,
    },
    /// A change of the configuration. A watcher whose configuration is not at `from` discards the change.
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
    /// The whole server list, or a change of the list, for watchers that don't mark their position.
    ServerList(ServerListUpdate),
    /// Heartbeat of the control node: nothing has changed since the last [`WatchResponse::Progress`]. This variant and
    /// those after it are sent only to watchers that mark their position ([`Position::with_extensions_mark`]).
    Alive,
    /// The control nodes that the sender knows, including the sender. Replaces the list of an earlier message.
    ControlNodes(Vec<ControlNode>),
    /// The whole server list, or a change of the list that may lead to the version of another reader.
    ServerListChange(Shared<ServerListChange>),
}
