//! The router's sessions with control nodes: carries out what the follower decides.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ivyhatch_protocol::configuration::Change;
use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::settings::Settings;
use ivyhatch_protocol::watch::{Router, RouterState, WatchRequest, WatchResponse};
use ivyhatch_protocol::{Nanos, SECOND};
use ivyhatch_routing::route_table::PreparedChange;
use ivyhatch_routing::watch_client::{Input, Output, QuorumContact, WatchClient};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::{JoinHandle, spawn_local, yield_now};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use super::dispatch::Dispatcher;
use crate::clock::Clock;
use crate::link::{self, Received, Writer};

/// A router without contact to the control plane reads its settings anew after this.
const REREAD_INTERVAL: Nanos = 2 * SECOND;
const TICK: Duration = Duration::from_millis(100);
/// Wait before a session that has ended is opened anew.
const AGAIN: Duration = Duration::from_millis(100);
/// A control node that says nothing for so long has its session closed.
const SILENT: Duration = Duration::from_millis(1800);
/// A tick that comes so much too late is told: nothing else had its turn in that time either.
const STALLED: Duration = Duration::from_millis(50);
/// Routes and services of a change that are read before others have their turn: a tenth of a millisecond on a whole core.
const ITEMS_A_TURN: usize = 50;

struct Host {
    follower: RefCell<WatchClient>,
    clock: Clock,
    writers: RefCell<BTreeMap<NodeId, Writer>>,
    dialling: RefCell<BTreeMap<NodeId, JoinHandle<()>>>,
    dispatcher: Dispatcher,
    changes: UnboundedSender<Change>,
    configured: Cell<bool>,
    /// When the settings were read last.
    reread_at: Cell<Nanos>,
    settings: Settings,
}

/// A handle on the sessions.
pub struct Sessions(Rc<Host>);

impl Sessions {
    /// Starts to follow.
    pub fn start(settings: &Settings, clock: Clock, router: Router, dispatcher: Dispatcher) -> Self {
        let (changes, decided) = unbounded_channel();
        let host = Rc::new(Host {
            follower: RefCell::new(WatchClient::new(router, &settings.seed_nodes(), clock.now())),
            clock,
            writers: RefCell::default(),
            dialling: RefCell::default(),
            dispatcher,
            changes,
            configured: Cell::new(false),
            reread_at: Cell::new(0),
            settings: settings.clone(),
        });
        spawn_local(host.clone().configure(decided));
        let ticking = host.clone();
        spawn_local(async move {
            let mut ticks = interval(TICK);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            let mut due = Instant::now();
            loop {
                ticks.tick().await;
                let late = Instant::now().saturating_duration_since(due);
                if late >= STALLED {
                    log::warn!("event=stalled ms={}", late.as_millis());
                }
                due = Instant::now() + TICK;
                ticking.handle_input(Input::Tick);
                ticking.reread_without_contact();
            }
        });
        Self(host)
    }

    /// The router is so far.
    pub fn state(&self, state: RouterState) {
        self.0.handle_input(Input::State(state));
    }

    /// Takes the seeds of a settings file that has changed.
    pub fn reread(&self) {
        match Settings::from_environment() {
            Ok(settings) => {
                log::info!("event=settings_read_anew seeds={}", settings.seeds.len());
                self.0.handle_input(Input::Seeds(settings.seed_nodes()));
            }
            Err(error) => log::warn!("event=old_settings_stay error={:?}", error.to_string()),
        }
    }
}

impl Host {
    /// A settings file may change without a signal: a router that hears no control node looks whether it names others now.
    fn reread_without_contact(self: &Rc<Self>) {
        let now = self.clock.now();
        if self.follower.borrow().control_plane_reachable() || now < self.reread_at.get() + REREAD_INTERVAL {
            return;
        }
        self.reread_at.set(now);
        if let Ok(settings) = Settings::from_environment() {
            self.handle_input(Input::Seeds(settings.seed_nodes()));
        }
    }

    fn handle_input(self: &Rc<Self>, input: Input) {
        let mut outputs = Vec::new();
        self.follower.borrow_mut().handle(self.clock.now(), input, &mut outputs);
        let mut servers = false;
        for output in outputs {
            match output {
                Output::SetConnections(to) => self.dial(&to),
                Output::Send(to, message) => {
                    let sent =
                        self.writers.borrow().get(&to).map(|writer| writer.send::<WatchRequest>(&message));
                    if sent == Some(false) {
                        self.writers.borrow_mut().remove(&to);
                    }
                }
                // Its receiver lives as long as the process.
                Output::ConfigurationChanged(change) => drop(self.changes.send(change)),
                Output::ServersChanged => servers = true,
                Output::QuorumContact(contact) => {
                    self.dispatcher.set_quorum_reachable(contact == QuorumContact::Established);
                    servers = true;
                }
                Output::RouterShare(share) => self.dispatcher.set_routers(share.count, share.index),
                Output::Log(event, pairs) => log::info!("event={event} {pairs}"),
            }
        }
        if servers {
            self.refresh_servers();
        }
    }

    /// Tells the dispatcher of all servers anew. Once there are routes as well, the router is ready.
    fn refresh_servers(self: &Rc<Self>) {
        let follower = self.follower.borrow();
        let now = self.clock.now();
        self.dispatcher
            .servers(follower.server_list().servers(now).collect(), |zone| follower.evacuation(zone));
        let ready = follower.is_ready() && self.configured.get();
        drop(follower);
        if ready && self.dispatcher.become_ready() {
            self.handle_input(Input::State(RouterState::Ready));
        }
    }

    /// Makes the decided changes of the configuration, one after the other. Their items are read a few at a time; in between
    /// requests have their turn.
    async fn configure(self: Rc<Self>, mut decided: UnboundedReceiver<Change>) {
        while let Some(change) = decided.recv().await {
            let mut change = PreparedChange::new(change);
            while !change.parse_items(ITEMS_A_TURN) {
                yield_now().await;
            }
            self.dispatcher.configure(change);
            self.configured.set(true);
            self.refresh_servers();
        }
    }

    fn dial(self: &Rc<Self>, to: &[NodeId]) {
        let mut dialling = self.dialling.borrow_mut();
        dialling.retain(|node, task| {
            let wanted = to.contains(node);
            if !wanted {
                task.abort();
                self.writers.borrow_mut().remove(node);
            }
            wanted
        });
        for node in to {
            dialling.entry(*node).or_insert_with(|| spawn_local(self.clone().keep_session(*node)));
        }
    }

    async fn keep_session(self: Rc<Self>, node: NodeId) {
        let at = SocketAddrV4::new(node.ip(), self.settings.peer_ports.0 + 1);
        let mut tries = 0;
        loop {
            let began = self.clock.now();
            if let Ok(mut stream) = link::connect(self.settings.ip, at, tries).await {
                tries = 0;
                let (writer, mut queue) = Writer::new();
                self.writers.borrow_mut().insert(node, writer);
                self.handle_input(Input::Connected { node, round_trip: self.clock.now() - began });
                let (mut reading, mut writing) = stream.split();
                let take = |received: Received<WatchResponse>| {
                    self.handle_input(match received {
                        Received::Message(message) => Input::Message(node, message),
                        Received::Fragment => Input::Fragment(node),
                    });
                };
                let ended = tokio::select! {
                    ended = link::read_fragments(&mut reading, SILENT, take) => ended,
                    ended = queue.write_to(&mut writing) => ended.map_err(link::LinkError::from),
                };
                if let Err(error @ link::LinkError::Frame(_)) = ended {
                    log::warn!("event=refused_control from={node} error={:?}", error.to_string());
                }
                self.writers.borrow_mut().remove(&node);
            } else {
                tries += 1;
            }
            self.handle_input(Input::Disconnected(node));
            sleep(AGAIN).await;
        }
    }
}
