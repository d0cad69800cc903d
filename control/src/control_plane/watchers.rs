//! Connects the watch sessions with the router registry, the change feed and the server list.

use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::peer::{PeerMessage, RouterChanges};
use ivyhatch_protocol::watch::{ControlNode, Position, WatchRequest, WatchResponse};

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
            WatchEvent::Fetch { position, supports_extensions } => {
                let updates = updates_since(
                    self.now,
                    &self.feed,
                    &mut self.server_list,
                    &position,
                    supports_extensions,
                );
                for response in updates {
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

    /// Closes sessions that have timed out, and reports this node's routers to the other control nodes when that is due.
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

    /// Sends the other control nodes the changes of this node's routers since the last report; to nodes of earlier releases, all routers.
    fn send_routers(&mut self) {
        let (peers, legacy_peers) = self.peers_by_release();
        let changes = self.routers.take_report(self.now);
        self.outbox.send_to_peers(peers, PeerMessage::RouterChanges(changes));
        if !legacy_peers.is_empty() {
            let routers = self.routers.local_routers();
            self.outbox.send_to_peers(legacy_peers, PeerMessage::RouterSessions(routers));
        }
    }

    /// Sends all routers of this node to another control node.
    pub(super) fn send_all_routers(&mut self, to: NodeId) {
        let routers = self.routers.local_routers();
        self.outbox.send_to_peer(to, PeerMessage::RouterSessions(routers));
    }

    pub(super) fn on_router_changes(&mut self, from: NodeId, changes: RouterChanges) {
        if !self.routers.apply_changes(self.now, from, changes) {
            self.outbox.send_to_peer(from, PeerMessage::RouterSessionsRequest);
        }
    }

    /// This node's position in everything that watchers follow: the configuration, the evacuations and the server list.
    fn position(&self) -> Position {
        Position { server_list: self.server_list.list().position(), ..self.feed.position() }
    }

    /// The control nodes that this node knows, itself included, in the order of addresses.
    fn control_nodes(&self) -> Vec<ControlNode> {
        let zone =
            |node| self.peers.heartbeat(node).map_or_else(String::new, |heartbeat| heartbeat.zone.clone());
        let peers = self.peers.nodes().map(|node| ControlNode { node, zone: zone(node) });
        let own = ControlNode { node: self.config.node, zone: self.config.zone.clone() };
        let mut nodes: Vec<ControlNode> = peers.chain([own]).collect();
        nodes.sort_unstable();
        nodes
    }

    /// Sends updates and progress on the sessions that are due.
    pub(super) fn publish_to_watchers(&mut self) {
        let position = self.position();
        let due = self.sessions.due(self.now, &position);
        if due.is_empty() {
            return;
        }
        let control_nodes = self.control_nodes();
        let progress = Progress {
            position,
            has_quorum: self.has_quorum(),
            knows_all_routers: self.quorum_contact.is_settled(self.now),
            control_nodes,
        };
        let (now, feed, server_list) = (self.now, &self.feed, &mut self.server_list);
        for id in due {
            let updates = |position: &Position, supports_extensions: bool| {
                updates_since(now, feed, server_list, position, supports_extensions)
            };
            for response in self.sessions.responses(now, id, &progress, &self.routers, updates) {
                self.outbox.push(Output::Watch(id, response));
            }
        }
    }
}

/// The updates that a watcher at this position lacks. `supports_extensions` selects the message variants; see
/// [`Position::with_extensions_mark`].
fn updates_since(
    now: Nanos,
    feed: &ChangeFeed,
    server_list: &mut ServerListRole,
    position: &Position,
    supports_extensions: bool,
) -> Vec<WatchResponse> {
    let mut updates = feed.updates_since(position);
    if supports_extensions {
        let change = server_list.changes_since(now, position.server_list);
        updates.extend(change.map(WatchResponse::ServerListChange));
    } else {
        let update = server_list.update_since(now, position.server_list);
        updates.extend(update.map(WatchResponse::ServerList));
    }
    updates
}
