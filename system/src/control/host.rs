//! The host of the control state machine: feeds it inputs and executes its outputs.
//!
//! [`Host`] owns the state machine and what its outputs address: connections, watch sessions, pending operator requests, the disk. All
//! tasks of the role share one host, in one thread; no borrow of the state machine is held across an await.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use ivyhatch_control::server_list::reader::ReadId;
use ivyhatch_control::storage::durable_state::DurableState;
use ivyhatch_control::{ControlPlane, Input, NodeConfig, Output, RequestId};
use ivyhatch_protocol::coordination::CallOutcome;
use ivyhatch_protocol::peer::AdminResponse;
use ivyhatch_protocol::settings::Settings;
use ivyhatch_protocol::{Nanos, SECOND};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, oneshot};

use super::call_statistics::CallStatistics;
use super::pending_responses::PendingResponses;
use super::watch_sessions::WatchSessions;
use crate::clock::Clock;
use crate::disk::Disk;
use crate::outgoing::OutgoingConnections;
use crate::settings_reload::PeriodicReload;

/// Interval between two log lines with the numbers of answered calls.
const CALLS_LOG_INTERVAL: Nanos = 5 * SECOND;

/// The state machine and what its outputs address.
pub struct Host {
    /// The settings of the process.
    pub settings: Settings,
    /// Open watch sessions.
    pub watch_sessions: WatchSessions,
    /// Resolves once the state machine has handed over all that it leads: the process may end.
    pub shutdown_complete: Notify,
    /// The calls that the control listener has answered.
    pub call_statistics: RefCell<CallStatistics>,
    calls_logged_at: Cell<Nanos>,
    control_plane: RefCell<ControlPlane>,
    clock: Clock,
    peers: Rc<OutgoingConnections>,
    admin_requests: PendingResponses<AdminResponse>,
    calls: PendingResponses<CallOutcome>,
    /// The last id of a session, an operator's request or a call.
    last_id: Cell<u64>,
    disk: Option<Disk>,
    list_reads: UnboundedSender<ReadId>,
    periodic_reload: PeriodicReload,
}

/// What a host is made of.
pub struct HostParts {
    /// The settings of the process.
    pub settings: Settings,
    /// The clock of the process.
    pub clock: Clock,
    /// Who the control node is, and its time limits.
    pub node_config: NodeConfig,
    /// What its disk holds.
    pub stored: DurableState,
    /// Its disk; none on a machine without one.
    pub disk: Option<Disk>,
    /// Takes reads of the platform's instance list.
    pub list_reads: UnboundedSender<ReadId>,
}

impl Host {
    /// A host whose state machine starts now.
    pub fn new(parts: HostParts) -> Self {
        let HostParts { settings, clock, node_config, stored, disk, list_reads } = parts;
        Self {
            watch_sessions: WatchSessions::new(settings.limits.link_bytes_per_second()),
            shutdown_complete: Notify::new(),
            call_statistics: RefCell::default(),
            calls_logged_at: Cell::new(clock.now()),
            control_plane: RefCell::new(ControlPlane::new(node_config, stored, clock.now())),
            clock,
            peers: Rc::new(OutgoingConnections::new(clock, settings.ip, settings.peer_ports.0)),
            admin_requests: PendingResponses::default(),
            calls: PendingResponses::default(),
            last_id: Cell::new(0),
            disk,
            list_reads,
            periodic_reload: PeriodicReload::default(),
            settings,
        }
    }

    /// Feeds an input to the state machine and executes what it asks for.
    pub fn handle_input(self: &Rc<Self>, input: Input) {
        let mut outputs = Vec::new();
        self.control_plane.borrow_mut().handle(self.clock.now(), input, &mut outputs);
        for output in outputs {
            self.execute(output);
        }
    }

    fn execute(self: &Rc<Self>, output: Output) {
        match output {
            Output::Send(node, message) => self.peers.send(node, &message),
            Output::SendToAll(nodes, message) => self.peers.send_to_all(&nodes, &message),
            Output::ConnectTo(nodes) => self.peers.connect_to(&nodes, self),
            Output::Store(token, records) => match &self.disk {
                Some(disk) => disk.write(token, records),
                None => log::error!("event=data_dir_missing remedy=give_the_role_machines_with_a_disk"),
            },
            Output::Respond(id, response) => self.admin_requests.respond(id, response),
            Output::EndCall(id, outcome) => self.calls.respond(id, outcome),
            Output::Watch(id, message) => self.watch_sessions.send(id, &message),
            Output::CloseSession(id) => self.watch_sessions.close(id),
            // Its receiver is dropped only with the process.
            Output::ReadServerList(read) => drop(self.list_reads.send(read)),
            Output::Drained => self.shutdown_complete.notify_one(),
            Output::Log(event) => log::info!("event={} {event}", event.name()),
        }
    }

    /// Runs a query on the state machine, which changes nothing.
    pub fn query<T>(&self, query: impl FnOnce(&ControlPlane) -> T) -> T {
        query(&self.control_plane.borrow())
    }

    /// An id for a session or an operator's request, unique within the process.
    pub fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    /// Registers an operator's request; its response comes on the receiver.
    pub fn register_admin_request(&self) -> (RequestId, oneshot::Receiver<AdminResponse>) {
        let id = self.next_id();
        (id, self.admin_requests.register(id))
    }

    /// Forgets an operator's request, and cancels it where it was not answered.
    pub fn cancel_admin_request(self: &Rc<Self>, id: RequestId) {
        if self.admin_requests.forget(id) {
            self.handle_input(Input::AdminCancelled(id));
        }
    }

    /// Registers an application's call; its outcome comes on the receiver.
    pub fn register_call(&self) -> (RequestId, oneshot::Receiver<CallOutcome>) {
        let id = self.next_id();
        (id, self.calls.register(id))
    }

    /// Forgets a call, and cancels it where it was not answered.
    pub fn cancel_call(self: &Rc<Self>, id: RequestId) {
        if self.calls.forget(id) {
            self.handle_input(Input::CallCancelled(id));
        }
    }

    /// Logs the numbers of answered calls, where there were any since the last time.
    pub fn log_calls_if_due(&self) {
        let now = self.clock.now();
        if now < self.calls_logged_at.get() + CALLS_LOG_INTERVAL {
            return;
        }
        self.calls_logged_at.set(now);
        if let Some(fields) = self.call_statistics.borrow_mut().take_log_fields() {
            log::info!("event=calls {fields}");
        }
    }

    /// Takes seeds from the settings file while no quorum can be reached.
    pub fn reload_seeds_without_quorum(self: &Rc<Self>) {
        if self.query(ControlPlane::has_quorum) {
            return;
        }
        if let Some(seeds) = self.periodic_reload.poll_seeds(self.clock.now()) {
            self.handle_input(Input::Seeds(seeds));
        }
    }
}
