//! Sessions of routers that follow what is committed: what each is sent, and how far it is.

use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::peer::PeerMessage;
use ivyhatch_protocol::watch::{Position, Router, WatchRequest, WatchResponse};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

use crate::control_plane::ControlPlane;
use crate::interface::{Output, SessionId};
use crate::router_registry::RouterRank;

/// Pause between two signs of life to followers.
const PROGRESS_INTERVAL: Nanos = 500 * MILLISECOND;
/// A follower that was silent for so long has its session closed.
const SESSION_TIMEOUT: Nanos = 4 * SECOND;
/// So long after it has come into contact with a quorum a control node has heard of all routers.
const SETTLED_AFTER: Nanos = 2 * SECOND;
/// The sessions that stand here are told to other control nodes at least this often.
const SESSIONS_INTERVAL: Nanos = 5 * SECOND;

/// A follower's session.
#[derive(Debug)]
pub(crate) struct WatchSession {
    router: Option<NodeId>,
    is_primary: bool,
    position: Position,
    sent: Position,
    sent_at: Nanos,
    heard: Nanos,
}

impl ControlPlane {
    /// Ends sessions that have fallen silent, and tells other control nodes of those that stand.
    pub(crate) fn tend_sessions(&mut self, out: &mut Vec<Output>) {
        self.routers.refresh(self.now);
        let changed = self.routers.expire(self.now);
        self.end_silent_sessions(out);
        if changed || self.now >= self.sessions_sent + SESSIONS_INTERVAL {
            self.send_sessions(out);
        }
    }

    pub(crate) fn follower_message(&mut self, id: SessionId, message: WatchRequest, out: &mut Vec<Output>) {
        let now = self.now;
        let session = self.sessions.entry(id).or_insert_with(|| WatchSession {
            router: None,
            is_primary: false,
            position: Position::default(),
            sent: Position::default(),
            sent_at: 0,
            heard: now,
        });
        session.heard = now;
        match message {
            WatchRequest::Subscribe { router, primary, position } => {
                (session.router, session.is_primary) = (Some(router.node), primary);
                session.position = position;
                session.sent_at = 0;
                if self.routers.record_local(now, router) {
                    self.send_sessions(out);
                }
            }
            WatchRequest::Heartbeat { state } => {
                let node = session.router;
                let known = node.and_then(|node| self.routers.local(node)).cloned();
                if let Some(router) = known
                    && self.routers.record_local(now, Router { state, ..router })
                {
                    self.send_sessions(out);
                }
            }
            WatchRequest::Fetch { position } => {
                let news = self.since(&position);
                out.extend(news.into_iter().map(|news| Output::Watch(id, news)));
            }
        }
    }

    pub(crate) fn session_closed(&mut self, id: SessionId) {
        // The router may have another session by now.
        let Some(session) = self.sessions.remove(&id) else { return };
        let others = self.sessions.values().any(|other| other.router == session.router);
        if let Some(node) = session.router.filter(|_| !others) {
            self.routers.remove_local(node);
            self.sessions_sent = 0;
        }
    }

    fn end_silent_sessions(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let silent = self.sessions.iter().filter(|(_, session)| now >= session.heard + SESSION_TIMEOUT);
        out.extend(silent.map(|(id, _)| Output::CloseSession(*id)));
        self.sessions.retain(|_, session| now < session.heard + SESSION_TIMEOUT);
    }

    fn send_sessions(&mut self, out: &mut Vec<Output>) {
        self.sessions_sent = self.now;
        self.send_to_all(&PeerMessage::RouterSessions(self.routers.local_routers()), out);
    }

    fn since(&self, position: &Position) -> Vec<WatchResponse> {
        let mut news = self.feed.since(position);
        if self.list.position() > position.server_list {
            news.push(WatchResponse::ServerList(self.list.update_since(self.now, position.server_list)));
        }
        news
    }

    /// Tells followers what is new: the is_primary ones the news, the others that there is some.
    pub(crate) fn publish(&mut self, out: &mut Vec<Output>) {
        let position = self.position();
        let (now, has_quorum) = (self.now, self.has_quorum());
        let due: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, session)| {
                session.router.is_some()
                    && (session.sent != position || now >= session.sent_at + PROGRESS_INTERVAL)
            })
            .map(|(id, _)| *id)
            .collect();
        if due.is_empty() {
            return;
        }
        // One that has just come, or is cut off, knows few of the routers: shares that follow from their number would be too large.
        let settled = self.quorum_since.is_some_and(|since| now >= since + SETTLED_AFTER);
        let mut control_nodes: Vec<NodeId> = self.peers.keys().copied().chain([self.identity.node]).collect();
        control_nodes.sort_unstable();
        for id in due {
            let Some(session) = self.sessions.get(&id) else { continue };
            if session.is_primary && session.position != position {
                let news = self.since(&session.position);
                out.extend(news.into_iter().map(|news| Output::Watch(id, news)));
            }
            let control_nodes = control_nodes.clone();
            let rank = session.router.map_or_else(RouterRank::default, |node| self.routers.rank(node));
            let (place, routers) = (rank.index as u32, if settled { rank.count as u32 } else { 0 });
            let heads = WatchResponse::Progress {
                position: position.clone(),
                has_quorum,
                router_count: routers,
                router_index: place,
                control_nodes,
            };
            out.push(Output::Watch(id, heads));
            if let Some(session) = self.sessions.get_mut(&id) {
                if session.is_primary {
                    session.position.clone_from(&position);
                }
                session.sent.clone_from(&position);
                session.sent_at = now;
            }
        }
    }
}
