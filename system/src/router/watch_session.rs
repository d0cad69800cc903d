//! The router's watch sessions with control nodes: feeds inputs to the [`WatchClient`] state machine and executes its outputs.
//!
//! There is one task for each connection to a control node (see [`crate::outgoing`]), one for ticks, and one that applies configuration
//! changes. All tasks share one [`Host`] in the process's single thread.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::configuration::Change;
use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::settings::Settings;
use ivyhatch_protocol::watch::{Router, RouterState, WatchResponse};
use ivyhatch_routing::route_table::PreparedChange;
use ivyhatch_routing::watch_client::{Input, Output, QuorumContact, WatchClient};
use tokio::net::tcp::ReadHalf;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::{spawn_local, yield_now};
use tokio::time::Instant;

use super::dispatch::Dispatcher;
use crate::clock::Clock;
use crate::outgoing::{OutgoingConnections, SessionHandler};
use crate::settings_reload::{PeriodicReload, reload_seeds};
use crate::ticker::{TICK_INTERVAL, run_ticks};
use crate::transport::reader::{ConnectionError, Received, read_messages_and_fragments};

/// A session is closed when nothing is received on it for this long.
const SESSION_IDLE_TIMEOUT: Duration = Duration::from_millis(1800);
/// A tick that is late by this much is logged. As all tasks share one thread, no other task ran in that time either.
const STALL_THRESHOLD: Duration = Duration::from_millis(50);
/// Number of routes and services of a change that are parsed before the task yields. Parsing this many takes 0.1 ms on a core that runs
/// nothing else.
const ITEMS_PER_TURN: usize = 50;
/// Control nodes accept watch sessions on the first of the peer ports plus this offset; the first port itself is for messages between
/// control nodes.
const WATCH_PORT_OFFSET: u16 = 1;

struct Host {
    watch_client: RefCell<WatchClient>,
    clock: Clock,
    connections: Rc<OutgoingConnections>,
    dispatcher: Dispatcher,
    /// Queue of configuration changes to be applied in order. Unbounded, as its content was received on bounded connections.
    changes: UnboundedSender<Change>,
    is_configured: Cell<bool>,
    periodic_reload: PeriodicReload,
}

/// A handle on the router's watch sessions. Cheap to clone.
#[derive(Clone)]
pub struct WatchSession(Rc<Host>);

impl WatchSession {
    /// Connects to the seed nodes of the settings and starts to watch the configuration and the server list.
    pub fn start(settings: &Settings, clock: Clock, router: Router, dispatcher: Dispatcher) -> Self {
        let (changes, received_changes) = unbounded_channel();
        let zones_and_regions = settings.zones.iter();
        let in_region = zones_and_regions.filter(|(_, region)| **region == settings.region);
        let region_zones = in_region.map(|(zone, _)| zone.clone()).collect();
        let watch_client = WatchClient::new(router, region_zones, &settings.seed_nodes(), clock.now());
        let port = settings.peer_ports.0 + WATCH_PORT_OFFSET;
        let host = Rc::new(Host {
            watch_client: RefCell::new(watch_client),
            clock,
            connections: Rc::new(OutgoingConnections::new(clock, settings.ip, port)),
            dispatcher,
            changes,
            is_configured: Cell::new(false),
            periodic_reload: PeriodicReload::default(),
        });
        spawn_local(host.clone().apply_changes(received_changes));
        spawn_local(host.clone().tick());
        Self(host)
    }

    /// Sets the router's state that is reported to the control plane.
    pub fn set_state(&self, state: RouterState) {
        self.0.handle_input(Input::State(state));
    }

    /// The nearest control node with an open session; `None` if there is no session.
    pub fn nearest_control_node(&self) -> Option<NodeId> {
        self.0.watch_client.borrow().nearest_control_node()
    }

    /// Reloads the seeds from the settings file. Called after SIGHUP.
    pub fn reload_settings(&self) {
        if let Some(seeds) = reload_seeds() {
            self.0.handle_input(Input::Seeds(seeds));
        }
    }
}

impl Host {
    async fn tick(self: Rc<Self>) {
        let mut due_at = Instant::now();
        run_ticks(|| {
            let delay = Instant::now().saturating_duration_since(due_at);
            if delay >= STALL_THRESHOLD {
                log::warn!("event=event_loop_stalled ms={}", delay.as_millis());
            }
            due_at = Instant::now() + TICK_INTERVAL;
            self.handle_input(Input::Tick);
            self.reload_seeds_without_contact();
        })
        .await;
    }

    /// Reloads the seeds from the settings file at intervals while no control node can be reached.
    fn reload_seeds_without_contact(self: &Rc<Self>) {
        if self.watch_client.borrow().control_plane_reachable() {
            return;
        }
        if let Some(seeds) = self.periodic_reload.poll_seeds(self.clock.now()) {
            self.handle_input(Input::Seeds(seeds));
        }
    }

    fn handle_input(self: &Rc<Self>, input: Input) {
        let mut outputs = Vec::new();
        self.watch_client.borrow_mut().handle(self.clock.now(), input, &mut outputs);
        let mut servers_changed = false;
        for output in outputs {
            match output {
                Output::SetConnections(nodes) => self.connections.connect_to(&nodes, self),
                Output::Send(node, message) => self.connections.send(node, &message),
                // Sending fails only if the receiver was dropped, which happens only at the end of the process.
                Output::ConfigurationChanged(change) => drop(self.changes.send(change)),
                Output::ServersChanged => servers_changed = true,
                Output::QuorumContact(contact) => {
                    self.dispatcher.set_quorum_reachable(contact == QuorumContact::Established);
                    servers_changed = true;
                }
                Output::RouterShare(share) => self.dispatcher.set_router_share(share),
                Output::Log(event) => log::info!("event={event}"),
            }
        }
        if servers_changed {
            self.update_servers();
        }
    }

    /// Passes the complete server list to the dispatcher. The router becomes ready once a configuration has been applied as well.
    fn update_servers(self: &Rc<Self>) {
        let watch_client = self.watch_client.borrow();
        let servers = watch_client.server_list().servers(self.clock.now()).collect();
        self.dispatcher.set_servers(servers, |zone| watch_client.evacuation(zone));
        let is_ready = watch_client.is_ready() && self.is_configured.get();
        drop(watch_client);
        if is_ready && self.dispatcher.become_ready() {
            self.handle_input(Input::State(RouterState::Ready));
        }
    }

    /// Applies configuration changes one after the other. The task yields after each [`ITEMS_PER_TURN`] parsed items, so that requests
    /// are served in between.
    async fn apply_changes(self: Rc<Self>, mut changes: UnboundedReceiver<Change>) {
        while let Some(change) = changes.recv().await {
            let mut change = PreparedChange::new(change);
            while !change.parse_items(ITEMS_PER_TURN) {
                yield_now().await;
            }
            self.dispatcher.configure(change);
            self.is_configured.set(true);
            self.update_servers();
        }
    }
}

impl SessionHandler for Host {
    fn connected(self: &Rc<Self>, node: NodeId, connect_duration: Nanos) {
        self.handle_input(Input::Connected { node, round_trip: connect_duration });
    }

    async fn read(self: &Rc<Self>, node: NodeId, stream: &mut ReadHalf<'_>) -> Result<(), ConnectionError> {
        let handle = |received: Received<WatchResponse>| {
            self.handle_input(match received {
                Received::Message(message) => Input::Message(node, message),
                Received::Fragment => Input::Fragment(node),
            });
        };
        read_messages_and_fragments(stream, SESSION_IDLE_TIMEOUT, handle).await
    }

    fn disconnected(self: &Rc<Self>, node: NodeId) {
        self.handle_input(Input::Disconnected(node));
    }
}
