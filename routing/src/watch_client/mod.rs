//! A router's watch on the control plane: the connections to control nodes, and the state replicated from them.
//!
//! A router subscribes to up to three control nodes. The primary sends every change, the other nodes only their positions. So each
//! change is transferred once, and yet the loss of a control node, or a network partition around it, delays changes only by a fraction
//! of a second. Updates older than the replicated state are ignored: within one incarnation of the process no version decreases.
//!
//! The state machine does no I/O: [`WatchClient::handle`] takes the time and an [`Input`], and appends [`Output`]s for the embedder,
//! which is the router process or a simulation of it.

mod connections;
mod fetch;
mod log_event;
mod primary;
mod quorum_contact;
mod replicated_state;
mod router_share_tracker;

use std::collections::BTreeSet;

use ivyhatch_protocol::configuration::{Change, Document};
use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::server_list::ServerList;
use ivyhatch_protocol::watch::{Router, RouterState, WatchRequest, WatchResponse};
use ivyhatch_protocol::{MILLISECOND, Nanos};

use crate::router_share::RouterShare;
use connections::{Connections, HEARTBEAT_INTERVAL, Location};
use primary::Primary;
use quorum_contact::QuorumContactMonitor;
use replicated_state::{Applied, ReplicatedState};
use router_share_tracker::RouterShareTracker;

pub use log_event::LogEvent;
pub use quorum_contact::QuorumContact;
pub use replicated_state::EvacuationState;

/// The embedder sends a tick every 100 ms. A gap of at least this time between two inputs means that the router process was stalled.
const STALL_THRESHOLD: Nanos = 300 * MILLISECOND;
/// Time after a stall of the router process during which no control node counts as silent: the messages that arrived during the
/// stall have to be read first.
const STALL_RECOVERY_TIME: Nanos = 100 * MILLISECOND;

/// An input of a watch client.
#[derive(Debug)]
pub enum Input {
    /// Time has passed. The embedder has to send this input about every 100 ms.
    Tick,
    /// A connection to a control node has been opened.
    Connected {
        /// The control node.
        node: NodeId,
        /// The time that it took to open the connection.
        round_trip: Nanos,
    },
    /// A connection to a control node has ended, or could not be opened.
    Disconnected(NodeId),
    /// A control node has sent a message.
    Message(NodeId, WatchResponse),
    /// A part of a large message has been received from a control node; the message is not yet complete.
    Fragment(NodeId),
    /// The control nodes in the settings.
    Seeds(Vec<NodeId>),
    /// The router has entered this state of its lifecycle.
    State(RouterState),
}

/// An action that the embedder of a watch client has to take.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Keep connections to these control nodes and close all others.
    SetConnections(Vec<NodeId>),
    /// Send a message to a control node.
    Send(NodeId, WatchRequest),
    /// Apply this change of the configuration.
    ConfigurationChanged(Change),
    /// Read the server list and the evacuations again: one of them has changed.
    ServersChanged,
    /// Divide common limits by this share from now on.
    RouterShare(RouterShare),
    /// Contact with a quorum of the control plane has been lost or re-established.
    QuorumContact(QuorumContact),
    /// Log this event.
    Log(LogEvent),
}

/// The watch of one router on the control plane.
#[derive(Debug)]
pub struct WatchClient {
    router: Router,
    now: Nanos,
    /// The end of the recovery time after the last stall of the router process; no control node counts as silent before it.
    stall_recovery_until: Nanos,
    heartbeat_sent_at: Nanos,
    connections: Connections,
    primary: Primary,
    state: ReplicatedState,
    router_share: RouterShareTracker,
    contact: QuorumContactMonitor,
}

impl WatchClient {
    /// Creates a watch client that has replicated nothing yet. `seeds` are the initially known control nodes, `region_zones` the zones
    /// of the router's region.
    pub fn new(router: Router, region_zones: BTreeSet<String>, seeds: &[NodeId], now: Nanos) -> Self {
        let location = Location { zone: router.zone.clone(), region_zones };
        Self {
            now,
            stall_recovery_until: 0,
            heartbeat_sent_at: 0,
            connections: Connections::new(&router.client_address, location, seeds),
            primary: Primary::default(),
            state: ReplicatedState::default(),
            router_share: RouterShareTracker::new(now),
            contact: QuorumContactMonitor::new(now),
            router,
        }
    }

    /// Processes one input and appends the actions for the embedder to `outputs`. If `now` is before the time of a previous input, the
    /// time of that input is used instead.
    pub fn handle(&mut self, now: Nanos, input: Input, outputs: &mut Vec<Output>) {
        if now >= self.now + STALL_THRESHOLD && !self.connections.is_empty() {
            self.stall_recovery_until = now + STALL_RECOVERY_TIME;
        }
        self.now = self.now.max(now);
        self.handle_input(input, outputs);
        if self.now >= self.stall_recovery_until {
            self.select_connections(outputs);
            self.select_primary(outputs);
            self.fetch_missing(outputs);
            self.update_contact(outputs);
        }
        if self.now >= self.heartbeat_sent_at + HEARTBEAT_INTERVAL {
            self.send_heartbeat(outputs);
        }
    }

    /// Whether any control node that is in contact with a quorum is reachable.
    pub fn control_plane_reachable(&self) -> bool {
        self.contact.current() == QuorumContact::Established
    }

    /// The nearest control node with an open connection: same zone before same region before other regions, then by round trip.
    pub fn nearest_control_node(&self) -> Option<NodeId> {
        let open = self.connections.open();
        let nearest = open.min_by_key(|(node, connection)| {
            (self.connections.distance(*node), connection.round_trip, *node)
        });
        nearest.map(|(node, _)| node)
    }

    /// The sequence number of the configuration's last change; 0 while there is no configuration.
    pub fn sequence(&self) -> u64 {
        self.state.sequence()
    }

    /// The replicated configuration; the default before the first snapshot.
    pub fn document(&self) -> &Document {
        self.state.document()
    }

    /// The replicated server list; empty before the first update.
    pub fn server_list(&self) -> &ServerList {
        self.state.server_list()
    }

    /// The evacuation state of a zone; the default if the zone was never evacuated.
    pub fn evacuation(&self, zone: &str) -> EvacuationState {
        self.state.evacuation(zone)
    }

    /// Whether a configuration and a server list have been received.
    pub fn is_ready(&self) -> bool {
        self.state.is_complete()
    }

    fn handle_input(&mut self, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::Tick => {}
            Input::Connected { node, round_trip } => {
                if self.connections.record_connected(node, round_trip, self.now) {
                    self.send_subscription(node, outputs);
                }
            }
            Input::Disconnected(node) => self.connections.record_disconnected(node, self.now),
            Input::Message(from, message) => self.handle_message(from, message, outputs),
            Input::Fragment(from) => self.connections.record_fragment(from, self.now),
            Input::Seeds(seeds) => self.connections.add_known(seeds),
            Input::State(state) => {
                if std::mem::replace(&mut self.router.state, state) != state {
                    self.send_heartbeat(outputs);
                }
            }
        }
    }

    /// Processes a message from a control node. A message from a node that is not selected is ignored.
    fn handle_message(&mut self, from: NodeId, message: WatchResponse, outputs: &mut Vec<Output>) {
        let Some(connection) = self.connections.get_mut(from) else { return };
        connection.last_received_at = self.now;
        match message {
            WatchResponse::Progress { position, has_quorum, router_count, router_index, control_nodes } => {
                (connection.position, connection.has_quorum) = (position, has_quorum);
                let reported = RouterShare { count: router_count, index: router_index };
                connection.router_share = reported;
                self.connections.add_known(control_nodes);
                self.observe_router_share(reported, outputs);
            }
            WatchResponse::Snapshot { sequence, document } => {
                let change = self.state.apply_snapshot(sequence, document);
                self.report_configuration(change, outputs);
            }
            WatchResponse::Change { from: base, to, change } => {
                let change = self.state.apply_change(base, to, change);
                self.report_configuration(change, outputs);
            }
            WatchResponse::Evacuations(update) => {
                let applied = self.state.apply_evacuations(update);
                report_servers(applied, outputs);
            }
            WatchResponse::ServerList(update) => {
                let applied = self.state.apply_server_list(self.now, update.into());
                report_servers(applied, outputs);
            }
            WatchResponse::ServerListChange(change) => {
                let applied = self.state.apply_server_list(self.now, change.into_inner());
                report_servers(applied, outputs);
            }
            WatchResponse::Alive => {
                let reported = connection.router_share;
                self.observe_router_share(reported, outputs);
            }
            WatchResponse::ControlNodes(nodes) => self.connections.set_locations(nodes),
        }
    }

    fn observe_router_share(&mut self, reported: RouterShare, outputs: &mut Vec<Output>) {
        let changed = self.router_share.observe(reported, self.now);
        outputs.extend(changed.map(Output::RouterShare));
    }

    fn report_configuration(&self, change: Option<Change>, outputs: &mut Vec<Output>) {
        let Some(change) = change else { return };
        let (revision, sequence) = (self.state.document().revision, self.state.sequence());
        outputs.push(Output::Log(LogEvent::ConfigurationApplied { revision, sequence }));
        outputs.push(Output::ConfigurationChanged(change));
    }

    fn send_heartbeat(&mut self, outputs: &mut Vec<Output>) {
        self.heartbeat_sent_at = self.now;
        let state = self.router.state;
        let to_each = |(node, _)| Output::Send(node, WatchRequest::Heartbeat { state });
        outputs.extend(self.connections.open().map(to_each));
    }

    fn send_subscription(&self, node: NodeId, outputs: &mut Vec<Output>) {
        let subscription = WatchRequest::Subscribe {
            router: self.router.clone(),
            primary: self.primary.is(node),
            position: self.state.position().with_extensions_mark(),
        };
        outputs.push(Output::Send(node, subscription));
    }

    fn select_connections(&mut self, outputs: &mut Vec<Output>) {
        let selected = self.connections.reselect(self.now);
        outputs.extend(selected.map(Output::SetConnections));
    }

    fn select_primary(&mut self, outputs: &mut Vec<Output>) {
        let Some(change) = self.primary.reselect(&self.connections, self.now) else { return };
        outputs.push(Output::Log(LogEvent::PrimaryChanged { primary: change.current }));
        for node in change.previous.into_iter().chain([change.current]) {
            if self.connections.is_open(node) {
                self.send_subscription(node, outputs);
            }
        }
    }

    fn fetch_missing(&mut self, outputs: &mut Vec<Output>) {
        for node in fetch::due_fetches(&mut self.connections, &self.state, self.now) {
            let position = self.state.position();
            outputs.push(Output::Send(node, WatchRequest::Fetch { position }));
        }
    }

    fn update_contact(&mut self, outputs: &mut Vec<Output>) {
        let Some(contact) = self.contact.update(&self.connections, self.now) else { return };
        outputs.push(Output::Log(LogEvent::QuorumContactChanged(contact)));
        outputs.push(Output::QuorumContact(contact));
    }
}

fn report_servers(applied: Applied, outputs: &mut Vec<Output>) {
    if applied == Applied::Changed {
        outputs.push(Output::ServersChanged);
    }
}
