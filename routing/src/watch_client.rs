//! Which control nodes a router follows, and what they have told.
//!
//! A router keeps a session with up to three of them. One sends it all that changes, the others only how far they are, so that a
//! change is carried once and yet the loss of a control node, or a cut around one, costs a fraction of a second. Nothing that is
//! older than what the router has is taken: within one life of the process no version goes back.

use std::collections::{BTreeMap, BTreeSet};

use ivyhatch_protocol::configuration::{Change, Document};
use ivyhatch_protocol::ids::{NodeId, PartitionId, fnv1a_hash, hash_mix};
use ivyhatch_protocol::server_list::ServerList;
use ivyhatch_protocol::watch::{
    EvacuationPosition, EvacuationUpdate, Position, Router, RouterState, WatchRequest, WatchResponse,
};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

use crate::router_share::RouterShare;

/// Control nodes that are followed at once.
const MOST_LINKS: usize = 3;
/// Pause between two signs of life.
const BEAT: Nanos = 500 * MILLISECOND;
/// A control node that said nothing for so long is not relied on.
const SILENT: Nanos = 1300 * MILLISECOND;
/// One that could not be reached for so long makes room for another, if there is one.
const UNREACHED: Nanos = 2 * SECOND;
/// It is tried again after this.
const PASSED_OVER: Nanos = 10 * SECOND;
/// What another has and the primary one does not bring is asked for after this.
const LATE: Nanos = 250 * MILLISECOND;
/// Routers that are known of are counted for so long after they were told of: shares of what all may do must not grow on the word
/// of a control node that has been cut off.
const COUNTED: Nanos = 30 * SECOND;

/// Ticks come every 100 ms. After a gap of this length in what the router hears, the router itself did not run.
const OWN_STALL: Nanos = 300 * MILLISECOND;
/// What came during a stall of the router's own is read within this time. No control node is called silent before.
const CATCH_UP: Nanos = 100 * MILLISECOND;

/// A router that has heard no control node in touch with its group for so long can't know what is ordered now.
const OUT_OF_TOUCH: Nanos = 400 * MILLISECOND;

/// What the follower hears.
#[derive(Debug)]
pub enum Input {
    /// Time has passed. Comes every 100 ms or so.
    Tick,
    /// A session with a control node is open; connecting took so long.
    Connected {
        /// The control node.
        node: NodeId,
        /// How long connecting took.
        round_trip: Nanos,
    },
    /// It has ended, or could not be opened.
    Disconnected(NodeId),
    /// A control node has said something.
    Message(NodeId, WatchResponse),
    /// A part of a large message has come from a control node; the rest is on its way.
    Fragment(NodeId),
    /// The settings name these control nodes.
    Seeds(Vec<NodeId>),
    /// How far the router is.
    State(RouterState),
}

/// What is to be done.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Keep sessions with these, and no others.
    SetConnections(Vec<NodeId>),
    /// Tell a control node.
    Send(NodeId, WatchRequest),
    /// The configuration has changed so.
    ConfigurationChanged(Change),
    /// Servers or evacuations have changed.
    ServersChanged,
    /// So many routers are known of, and this is one's place among them.
    RouterShare(RouterShare),
    /// Whether any control node that is in touch with its group can be heard.
    QuorumContact(QuorumContact),
    /// A line for the log: the event's name, and its key=value pairs.
    Log(&'static str, String),
}

/// Whether a control node that is in contact with a quorum can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuorumContact {
    /// One can.
    Established,
    /// None can: evacuations may have changed without the router's knowledge.
    Lost,
}

/// A zone's evacuation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EvacuationState {
    /// Whether the zone is evacuated.
    pub active: bool,
    /// How often that has changed.
    pub changes: u64,
}

#[derive(Debug, Default)]
struct Link {
    /// Since when it is open; none while it is not.
    open: Option<Nanos>,
    lost_at: Nanos,
    took: Nanos,
    heard: Nanos,
    has_quorum: bool,
    position: Position,
    wanted: Nanos,
    ahead_since: Option<Nanos>,
    /// When a part of a large message came last.
    fragment_at: Nanos,
}

/// What a router follows.
#[derive(Debug)]
pub struct WatchClient {
    router: Router,
    now: Nanos,
    known: BTreeSet<NodeId>,
    links: BTreeMap<NodeId, Link>,
    /// Control nodes that could not be reached, and until when others are followed instead.
    passed_over: BTreeMap<NodeId, Nanos>,
    primary: Option<NodeId>,
    beat_at: Nanos,
    sequence: u64,
    document: Document,
    evacuations: BTreeMap<PartitionId, EvacuationUpdate>,
    list: ServerList,
    routers: u32,
    place: u32,
    routers_at: Nanos,
    touched: Nanos,
    touch: bool,
    /// No control node is called silent before this, after a stall of the router's own.
    catching_up_until: Nanos,
}

impl WatchClient {
    /// A router that knows nothing but its seeds.
    pub fn new(router: Router, seeds: &[NodeId], now: Nanos) -> Self {
        Self {
            router,
            now,
            known: seeds.iter().copied().collect(),
            links: BTreeMap::new(),
            passed_over: BTreeMap::new(),
            primary: None,
            beat_at: 0,
            sequence: 0,
            document: Document::default(),
            evacuations: BTreeMap::new(),
            list: ServerList::default(),
            routers: 0,
            place: 0,
            routers_at: now,
            touched: now,
            touch: true,
            catching_up_until: 0,
        }
    }

    /// Takes one event in and adds what is to be done.
    pub fn handle(&mut self, now: Nanos, heard: Input, out: &mut Vec<Output>) {
        if now >= self.now + OWN_STALL && !self.links.is_empty() {
            self.catching_up_until = now + CATCH_UP;
        }
        self.now = self.now.max(now);
        match heard {
            Input::Tick => {}
            Input::Connected { node, round_trip: took } => {
                let now = self.now;
                if let Some(link) = self.links.get_mut(&node) {
                    *link = Link { open: Some(now), took, heard: now, ..Link::default() };
                    self.follow(node, out);
                }
            }
            Input::Disconnected(node) => {
                let now = self.now;
                if let Some(link) = self.links.get_mut(&node)
                    && (link.open.take().is_some() || link.lost_at == 0)
                {
                    link.lost_at = now;
                }
            }
            Input::Message(from, message) => self.message(from, message, out),
            Input::Fragment(from) => {
                let now = self.now;
                if let Some(link) = self.links.get_mut(&from) {
                    (link.heard, link.fragment_at) = (now, now);
                }
            }
            Input::Seeds(seeds) => self.known.extend(seeds),
            Input::State(state) => {
                if std::mem::replace(&mut self.router.state, state) != state {
                    self.beat(out);
                }
            }
        }
        if self.now >= self.catching_up_until {
            self.choose_links(out);
            self.choose_primary(out);
            self.ask_for_more(out);
            self.note_touch(out);
        }
        if self.now >= self.beat_at + BEAT {
            self.beat(out);
        }
    }

    /// Whether any control node that is in contact with a quorum is heard.
    pub fn control_plane_reachable(&self) -> bool {
        self.touch
    }

    /// The configuration's number; 0 while there is none.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// The configuration.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// The list of servers.
    pub fn server_list(&self) -> &ServerList {
        &self.list
    }

    /// Whether a zone is evacuated, and how often that has changed.
    pub fn evacuation(&self, zone: &str) -> EvacuationState {
        let zones =
            self.evacuations.get(&PartitionId::for_key(zone)).into_iter().flat_map(|part| &part.zones);
        zones
            .into_iter()
            .find(|evacuation| evacuation.zone == zone)
            .map(|known| EvacuationState { active: known.active, changes: known.change_count })
            .unwrap_or_default()
    }

    /// Whether a configuration and a list of servers are known.
    pub fn is_ready(&self) -> bool {
        self.sequence > 0 && self.list.position() != ServerList::default().position()
    }

    fn position(&self) -> Position {
        let evacuations = self.evacuations.values().map(EvacuationUpdate::position).collect();
        Position { configuration: self.sequence, evacuations, server_list: self.list.position() }
    }

    fn is_behind(&self, position: &Position) -> bool {
        let evacuated = |newest: &EvacuationPosition| {
            self.evacuations.get(&newest.partition).is_none_or(|known| known.sequence < newest.sequence)
        };
        position.configuration > self.sequence
            || position.server_list > self.list.position()
            || position.evacuations.iter().any(evacuated)
    }

    fn message(&mut self, from: NodeId, message: WatchResponse, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(link) = self.links.get_mut(&from) else { return };
        link.heard = now;
        match message {
            WatchResponse::Progress {
                position,
                has_quorum,
                router_count: routers,
                router_index: place,
                control_nodes,
            } => {
                (link.position, link.has_quorum) = (position, has_quorum);
                self.known.extend(control_nodes);
                if routers >= self.routers {
                    self.routers_at = now;
                }
                let fewer = routers < self.routers && now < self.routers_at + COUNTED;
                if routers > 0 && !fewer && (routers, place) != (self.routers, self.place) {
                    (self.routers, self.place, self.routers_at) = (routers, place, now);
                    out.push(Output::RouterShare(RouterShare { count: routers, index: place }));
                }
            }
            WatchResponse::Snapshot { sequence, document } => {
                if sequence > self.sequence {
                    let change = self.document.diff(&document);
                    (self.sequence, self.document) = (sequence, document.into_inner());
                    self.tell_configuration(change, out);
                }
            }
            WatchResponse::Change { from: of, to, change } => {
                if of == self.sequence && to > of {
                    self.document.apply(&change);
                    self.sequence = to;
                    self.tell_configuration(change.into_inner(), out);
                }
            }
            WatchResponse::Evacuations(part) => {
                if self.evacuations.get(&part.partition).is_none_or(|known| known.sequence < part.sequence) {
                    self.evacuations.insert(part.partition, part);
                    out.push(Output::ServersChanged);
                }
            }
            WatchResponse::ServerList(news) => {
                let before = self.list.position();
                // Where they do not follow on what is known here, the whole list is asked for as any other news.
                if self.list.apply_update(now, news) && before != self.list.position() {
                    out.push(Output::ServersChanged);
                }
            }
        }
    }

    fn tell_configuration(&self, change: Change, out: &mut Vec<Output>) {
        let pairs = format!("revision={} sequence={}", self.document.revision, self.sequence);
        out.push(Output::Log("configuration", pairs));
        out.push(Output::ConfigurationChanged(change));
    }

    fn beat(&mut self, out: &mut Vec<Output>) {
        self.beat_at = self.now;
        let state = self.router.state;
        let open = self.links.iter().filter(|(_, link)| link.open.is_some());
        out.extend(open.map(|(node, _)| Output::Send(*node, WatchRequest::Heartbeat { state })));
    }

    fn follow(&self, node: NodeId, out: &mut Vec<Output>) {
        let primary = self.primary == Some(node);
        let follow =
            WatchRequest::Subscribe { router: self.router.clone(), primary, position: self.position() };
        out.push(Output::Send(node, follow));
    }

    /// Which control nodes to follow: each router draws its own three lots, so that followers are spread, and passes over those
    /// that can't be reached as long as there are others.
    fn choose_links(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let unreached = self
            .links
            .iter()
            .filter(|(_, link)| link.open.is_none() && link.lost_at > 0 && now >= link.lost_at + UNREACHED);
        self.passed_over.extend(unreached.map(|(node, _)| (*node, now + PASSED_OVER)));
        self.passed_over.retain(|_, until| now < *until);
        let lot = |node: &NodeId| {
            hash_mix(fnv1a_hash(self.router.client_address.as_bytes()) ^ hash_mix(u64::from(node.0)))
        };
        // Where all have been passed over, the one that was tried longest ago comes first: a cut may have ended.
        let until = |node: &NodeId| self.passed_over.get(node).copied().unwrap_or_default();
        let mut order: Vec<(Nanos, u64, NodeId)> =
            self.known.iter().map(|node| (until(node), lot(node), *node)).collect();
        order.sort_unstable();
        let chosen: BTreeSet<NodeId> = order.into_iter().take(MOST_LINKS).map(|(.., node)| node).collect();
        if chosen.iter().eq(self.links.keys()) {
            return;
        }
        self.links.retain(|node, _| chosen.contains(node));
        for node in &chosen {
            self.links.entry(*node).or_default();
        }
        out.push(Output::SetConnections(chosen.into_iter().collect()));
    }

    /// The one that sends all changes: in touch with its group, and near.
    fn choose_primary(&mut self, out: &mut Vec<Output>) {
        let sound = |link: &Link| link.open.is_some() && self.now < link.heard + SILENT;
        let good = |link: &Link| sound(link) && link.has_quorum;
        let keeps = self.primary.and_then(|node| self.links.get(&node)).is_some_and(good);
        if keeps {
            return;
        }
        let candidates = self.links.iter().filter(|(_, link)| sound(link));
        let best = candidates.min_by_key(|(_, link)| (!link.has_quorum, link.took)).map(|(node, _)| *node);
        if best != self.primary && best.is_some() {
            let before = std::mem::replace(&mut self.primary, best);
            out.push(Output::Log(
                "follows",
                format!("primary={}", best.map_or_else(String::new, |n| n.to_string())),
            ));
            let still = |node: &NodeId| self.links.get(node).is_some_and(|link| link.open.is_some());
            before
                .iter()
                .chain(best.iter())
                .filter(|node| still(node))
                .for_each(|node| self.follow(*node, out));
        }
    }

    /// Whether the router can know what is ordered now.
    fn note_touch(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let good = |link: &Link| link.open.is_some() && link.has_quorum && now < link.heard + 2 * BEAT;
        if self.links.values().any(good) {
            self.touched = now;
        }
        let touch = now < self.touched + OUT_OF_TOUCH;
        if std::mem::replace(&mut self.touch, touch) != touch {
            out.push(Output::Log("touch", format!("with_control={touch}")));
            out.push(Output::QuorumContact(if touch {
                QuorumContact::Established
            } else {
                QuorumContact::Lost
            }));
        }
    }

    /// Asks others for what the primary one does not bring in time. Not while a large message is on its way: a second copy beside it
    /// would hold both up.
    fn ask_for_more(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let receives = |link: &Link| link.open.is_some() && now < link.fragment_at + LATE;
        if self.links.values().any(receives) {
            return;
        }
        let behind: Vec<NodeId> = self
            .links
            .iter()
            .filter(|(_, link)| link.open.is_some() && self.is_behind(&link.position))
            .map(|(node, _)| *node)
            .collect();
        let position = self.position();
        for (node, link) in &mut self.links {
            if !behind.contains(node) {
                link.ahead_since = None;
                continue;
            }
            let since = *link.ahead_since.get_or_insert(now);
            if now >= since + LATE && now >= link.wanted + 2 * LATE {
                link.wanted = now;
                out.push(Output::Send(*node, WatchRequest::Fetch { position: position.clone() }));
            }
        }
    }
}
