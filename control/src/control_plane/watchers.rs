//! Joins the watch sessions with the router registry, the change feed and the server list.

use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::peer::PeerMessage;
use ivyhatch_protocol::watch::{Position, WatchRequest, WatchResponse};

use super::ControlPlane;
use crate::interface::{Output, SessionId};
use crate::server_list::role::ServerListRole;
use crate::watch::change_feed::ChangeFeed;
use crate::watch::sessions::{Progress, WatchEvent};

impl ControlPlane {
    pub(super) fn on_watch_request(&mut self, id: SessionId, request: WatchRequest) {
        match self.sessions.handle(self.now, id, request, &mut self.routers) {
            WatchEvent::None => {}
            WatchEvent::RoutersChanged => self.send_routers(),
            WatchEvent::Fetch(position) => {
                for response in self.updates_since(&position) {
                    self.outbox.push(Output::Watch(id, response));
                }
            }
        }
    }

    pub(super) fn on_session_closed(&mut self, id: SessionId) {
        if let Some(router) = self.sessions.close(id) {
            self.routers.remove_local(router);
            self.routers.expedite_report();
        }
    }

    /// Closes sessions that have timed out, and sends the routers of this node to the others where that is due.
    pub(super) fn maintain_watch_sessions(&mut self) {
        let has_quorum = self.has_quorum();
        self.routers.refresh(self.now, has_quorum);
        if !has_quorum {
            self.home_regions.update(self.feed.sequence(), self.feed.document());
        }
        let has_changed = self.routers.expire(self.now);
        for id in self.sessions.expire(self.now) {
            self.outbox.push(Output::CloseSession(id));
        }
        if has_changed || self.routers.is_report_due(self.now) {
            self.send_routers();
        }
    }

    fn send_routers(&mut self) {
        self.routers.record_report_sent(self.now);
        let routers = self.routers.local_routers();
        self.broadcast(&PeerMessage::RouterSessions(routers));
    }

    fn updates_since(&self, position: &Position) -> Vec<WatchResponse> {
        updates_since(self.now, &self.feed, &self.server_list, position)
    }

    /// How far this node is with all that is watched.
    fn position(&self) -> Position {
        Position { server_list: self.server_list.list().position(), ..self.feed.position() }
    }

    /// Sends updates and progress on the sessions where they are due.
    pub(super) fn publish_to_watchers(&mut self) {
        let position = self.position();
        let due = self.sessions.due(self.now, &position);
        if due.is_empty() {
            return;
        }
        let mut control_nodes: Vec<NodeId> = self.peers.nodes().chain([self.config.node]).collect();
        control_nodes.sort_unstable();
        let progress = Progress {
            position,
            has_quorum: self.has_quorum(),
            knows_all_routers: self.quorum_contact.is_settled(self.now),
            control_nodes,
        };
        let (now, feed, server_list) = (self.now, &self.feed, &self.server_list);
        for id in due {
            let updates = |position: &Position| updates_since(now, feed, server_list, position);
            for response in self.sessions.responses(now, id, &progress, &self.routers, updates) {
                self.outbox.push(Output::Watch(id, response));
            }
        }
    }
}

/// What a watcher at this position lacks.
fn updates_since(
    now: Nanos,
    feed: &ChangeFeed,
    server_list: &ServerListRole,
    position: &Position,
) -> Vec<WatchResponse> {
    let mut updates = feed.updates_since(position);
    updates.extend(server_list.update_since(now, position.server_list));
    updates
}
