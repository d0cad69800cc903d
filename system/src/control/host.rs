//! The host of the control plane's state machine: feeds inputs to the state machine and executes its outputs.
//!
//! [`Host`] owns the state machine and everything that its outputs act on: connections, watch sessions, pending requests and the disk.
//! All tasks of the role share one host, in one thread; no borrow of the state machine is held across an await.

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

/// Minimum time between two log lines with the numbers of answered calls.
const CALLS_LOG_INTERVAL: Nanos = 5 * SECOND;

/// The state machine and everything that its outputs act on.
pub struct Host {
    /// The settings that the process was started with.
    pub settings: Settings,
    /// The open watch sessions of routers.
    pub watch_sessions: WatchSessions,
    /// Notified once the shutdown is complete: this replica's state is handed over, and the process may exit.
    pub shutdown_complete: Notify,
    /// Counts the calls that the control listener has answered.
    pub call_statistics: RefCell<CallStatistics>,
    calls_logged_at: Cell<Nanos>,
    control_plane: RefCell<ControlPlane>,
    clock: Clock,
    peers: Rc<OutgoingConnections>,
    admin_requests: PendingResponses<AdminResponse>,
    calls: PendingResponses<CallOutcome>,
    /// The last ID that was assigned to a session, an operator's request or a call.
    last_id: Cell<u64>,
    disk: Option<Disk>,
    list_reads: UnboundedSender<ReadId>,
    periodic_reload: PeriodicReload,
}

/// The parts that a host is created from.
pub struct HostParts {
    /// The settings of the process.
    pub settings: Settings,
    /// The clock of the process.
    pub clock: Clock,
    /// The identity and the timeouts of the control node.
    pub node_config: NodeConfig,
    /// The state that was read from the node's disk; the default on a machine without a disk.
    pub stored: DurableState,
    /// The node's disk; `None` if the settings name no data folder.
    pub disk: Option<Disk>,
    /// Sends requested reads of the platform's instance list to the task that executes them.
    pub list_reads: UnboundedSender<ReadId>,
}

impl Host {
    /// Creates a host and starts its state machine.
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

    /// Feeds an input to the state machine and executes the outputs.
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
            // Sending fails only if the receiver was dropped, which happens only at the end of the process.
            Output::ReadServerList(read) => drop(self.list_reads.send(read)),
            Output::Drained => self.shutdown_complete.notify_one(),
            Output::Log(event) => log::info!("event={} {event}", event.name()),
        }
    }

    /// Runs a read-only query on the state machine.
    pub fn query<T>(&self, query: impl FnOnce(&ControlPlane) -> T) -> T {
        query(&self.control_plane.borrow())
    }

    /// Returns a new ID for a session, an operator's request or a call, unique within the process.
    pub fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    /// Registers an operator's request. The receiver gets its response.
    pub fn register_admin_request(&self) -> (RequestId, oneshot::Receiver<AdminResponse>) {
        let id = self.next_id();
        (id, self.admin_requests.register(id))
    }

    /// Removes an operator's request, and cancels the request in the state machine if it was not answered.
    pub fn cancel_admin_request(self: &Rc<Self>, id: RequestId) {
        if self.admin_requests.forget(id) {
            self.handle_input(Input::AdminCancelled(id));
        }
    }

    /// Registers an application's call. The receiver gets its outcome.
    pub fn register_call(&self) -> (RequestId, oneshot::Receiver<CallOutcome>) {
        let id = self.next_id();
        (id, self.calls.register(id))
    }

    /// Removes a call, and cancels the call in the state machine if it was not answered.
    pub fn cancel_call(self: &Rc<Self>, id: RequestId) {
        if self.calls.forget(id) {
            self.handle_input(Input::CallCancelled(id));
        }
    }

    /// Logs the numbers of answered calls if [`CALLS_LOG_INTERVAL`] has passed and calls were answered since the last log line.
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

    /// Reloads the seeds from the settings file at intervals while no quorum can be reached.
    pub fn reload_seeds_without_quorum(self: &Rc<Self>) {
        if self.query(ControlPlane::has_quorum) {
            return;
        }
        if let Some(seeds) = self.periodic_reload.poll_seeds(self.clock.now()) {
            self.handle_input(Input::Seeds(seeds));
        }
    }
}
