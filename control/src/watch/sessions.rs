//! The watch sessions of routers: the position of each watcher, and the next messages to send on each session.

use std::collections::BTreeMap;

use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::watch::{ControlNode, Position, Router, WatchRequest, WatchResponse};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

use crate::interface::SessionId;
use crate::watch::router_registry::{RouterRank, RouterRegistry};

/// The longest interval between two messages to a watcher on a session.
const PROGRESS_INTERVAL: Nanos = 500 * MILLISECOND;
/// A session is closed when nothing was received on it for this long.
const SESSION_TIMEOUT: Nanos = 4 * SECOND;

/// The watch session of one router connection.
#[derive(Debug)]
struct WatchSession {
    /// The router that watches; `None` until it subscribes.
    router: Option<NodeId>,
    /// Whether updates are sent on this session. On other sessions only positions are sent, and the watcher fetches the updates it needs.
    is_primary: bool,
    /// The position up to which the watcher has updates.
    position: Position,
    last_sent_position: Position,
    last_sent_at: Nanos,
    last_received_at: Nanos,
    /// Whether the watcher understands `WatchResponse::Alive` and the variants after it.
    supports_extensions: bool,
    /// The last progress and control nodes sent to a watcher that supports extensions, which gets them again only when they change.
    last_sent_progress: Option<WatchResponse>,
    last_sent_control_nodes: Vec<ControlNode>,
}

impl WatchSession {
    fn new(now: Nanos) -> Self {
        Self {
            router: None,
            is_primary: false,
            position: Position::default(),
            last_sent_position: Position::default(),
            last_sent_at: 0,
            last_received_at: now,
            supports_extensions: false,
            last_sent_progress: None,
            last_sent_control_nodes: Vec::new(),
        }
    }

    /// The messages with the progress and the control nodes that have changed since the last ones sent; `Alive` for unchanged progress.
    fn changed_progress(&mut self, progress: &Progress, rank: RouterRank) -> Vec<WatchResponse> {
        let mut responses = Vec::new();
        if self.last_sent_control_nodes != progress.control_nodes {
            self.last_sent_control_nodes.clone_from(&progress.control_nodes);
            responses.push(WatchResponse::ControlNodes(progress.control_nodes.clone()));
        }
        let response = progress.response(rank, Vec::new());
        if self.last_sent_progress.as_ref() == Some(&response) {
            responses.push(WatchResponse::Alive);
        } else {
            self.last_sent_progress = Some(response.clone());
            responses.push(response);
        }
        responses
    }

    fn is_due(&self, now: Nanos, position: &Position) -> bool {
        let is_behind = self.last_sent_position != *position;
        self.router.is_some() && (is_behind || now >= self.last_sent_at + PROGRESS_INTERVAL)
    }
}

/// The action that a watcher's message requires.
#[derive(Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// No action.
    None,
    /// The routers of this node have changed and have to be reported to the other control nodes.
    RoutersChanged,
    /// The watcher requests the updates after a position, once.
    Fetch {
        /// The position up to which the watcher has updates.
        position: Position,
        /// Whether the watcher understands `WatchResponse::Alive` and the variants after it.
        supports_extensions: bool,
    },
}

/// The state of a control node that its progress messages to watchers are made from.
#[derive(Debug)]
pub struct Progress {
    /// The position of the node's committed state and server list.
    pub position: Position,
    /// Whether the node is in contact with a quorum.
    pub has_quorum: bool,
    /// Whether the node has been in contact with a quorum for long enough to know all routers. A node that has just joined, or is
    /// partitioned, knows only some routers: quotas divided by the number of these would be too large.
    pub knows_all_routers: bool,
    /// The control nodes that the node knows, itself included, in the order of addresses.
    pub control_nodes: Vec<ControlNode>,
}

impl Progress {
    fn response(&self, rank: RouterRank, control_nodes: Vec<NodeId>) -> WatchResponse {
        WatchResponse::Progress {
            position: self.position.clone(),
            has_quorum: self.has_quorum,
            router_count: if self.knows_all_routers { rank.count as u32 } else { 0 },
            router_index: rank.index as u32,
            control_nodes,
        }
    }
}

/// The watch sessions of one control node.
#[derive(Debug, Default)]
pub struct WatchSessions {
    sessions: BTreeMap<SessionId, WatchSession>,
}

impl WatchSessions {
    /// Handles a message from a watcher. A subscription or heartbeat records the watcher's router in `routers`.
    pub fn handle(
        &mut self,
        now: Nanos,
        id: SessionId,
        request: WatchRequest,
        routers: &mut RouterRegistry,
    ) -> WatchEvent {
        let session = self.sessions.entry(id).or_insert_with(|| WatchSession::new(now));
        session.last_received_at = now;
        let router = match request {
            WatchRequest::Fetch { position } => {
                return WatchEvent::Fetch { position, supports_extensions: session.supports_extensions };
            }
            WatchRequest::Subscribe { router, primary, mut position } => {
                session.router = Some(router.node);
                session.supports_extensions = position.take_extensions_mark();
                session.last_sent_progress = None;
                session.is_primary = primary;
                session.position = position;
                session.last_sent_at = 0;
                Some(router)
            }
            WatchRequest::Heartbeat { state } => {
                let registered = session.router.and_then(|node| routers.local(node));
                registered.map(|router| Router { state, ..router.clone() })
            }
        };
        let has_changed = router.is_some_and(|router| routers.record_local(now, router));
        if has_changed { WatchEvent::RoutersChanged } else { WatchEvent::None }
    }

    /// Removes a session. Returns the session's router if that router has no other session.
    pub fn close(&mut self, id: SessionId) -> Option<NodeId> {
        let session = self.sessions.remove(&id)?;
        let has_other = self.sessions.values().any(|other| other.router == session.router);
        session.router.filter(|_| !has_other)
    }

    /// Removes and returns the sessions that have timed out. Their routers stay in the router registry until they time out there.
    pub fn expire(&mut self, now: Nanos) -> Vec<SessionId> {
        let is_expired = |session: &WatchSession| now >= session.last_received_at + SESSION_TIMEOUT;
        self.sessions.extract_if(.., |_, session| is_expired(session)).map(|(id, _)| id).collect()
    }

    /// The subscribed sessions on which a message is due: `position` was not sent yet, or `PROGRESS_INTERVAL` has passed.
    pub fn due(&self, now: Nanos, position: &Position) -> Vec<SessionId> {
        let due = self.sessions.iter().filter(|(_, session)| session.is_due(now, position));
        due.map(|(id, _)| *id).collect()
    }

    /// The messages to send on a session now: the updates since its position if it is primary, and the node's progress. The session counts
    /// as up to date afterwards.
    pub fn responses(
        &mut self,
        now: Nanos,
        id: SessionId,
        progress: &Progress,
        routers: &RouterRegistry,
        updates_since: impl FnOnce(&Position, bool) -> Vec<WatchResponse>,
    ) -> Vec<WatchResponse> {
        let Some(session) = self.sessions.get_mut(&id) else { return Vec::new() };
        let mut responses = Vec::new();
        if session.is_primary && session.position != progress.position {
            responses = updates_since(&session.position, session.supports_extensions);
        }
        let rank = session.router.map_or_else(RouterRank::default, |node| routers.rank(node));
        if session.supports_extensions {
            responses.extend(session.changed_progress(progress, rank));
        } else {
            let control_nodes = progress.control_nodes.iter().map(|control| control.node).collect();
            responses.push(progress.response(rank, control_nodes));
        }
        if session.is_primary {
            session.position.clone_from(&progress.position);
        }
        session.last_sent_position.clone_from(&progress.position);
        session.last_sent_at = now;
        responses
    }
}
