//! Simulated routers, reduced to their watch clients: their sessions with control nodes, and the state that they have in effect.

use std::collections::BTreeMap;

use ivyhatch_control::SessionId;
use ivyhatch_protocol::ids::{NodeId, PartitionId};
use ivyhatch_protocol::watch::{Router as RouterInfo, RouterState, WatchRequest, WatchResponse};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};
use ivyhatch_routing::watch_client::{EvacuationState, Input, Output, WatchClient};

use super::describe::watch_response;
use super::event::{Delivery, Event, LinkMessage};
use super::processes::ProcessEnd;
use super::{CONTACT_AFTER, SEED_COUNT, Simulation, TICK_INTERVAL, ZONE_COUNT, address, index_of};
use crate::injected_bugs::InjectedBug;
use crate::oracle::{AppliedState, ProcessId, RouterView, ZoneState};
use crate::workload::{document_digest, zone_name};

/// A session whose sent bytes are not acknowledged ends after this.
const UNACKNOWLEDGED_TIMEOUT: Nanos = 2_500 * MILLISECOND;
/// A router ends a session after this long without a message, as the process around the real watch client does.
const SESSION_TIMEOUT: Nanos = 1_800 * MILLISECOND;
/// The time until a router detects that a control node or its operating system has closed a session.
const CLOSE_DELAY: Nanos = 10 * MILLISECOND;
/// The time until a control node detects that a router has closed its session.
const ROUTER_CLOSE_DELAY: Nanos = 20 * MILLISECOND;
/// The round-trip time that is reported to a watch client for each session.
const SESSION_ROUND_TRIP: Nanos = 20 * MILLISECOND;
/// The offset of the routers' steady clocks from virtual time.
const CLOCK_OFFSET: Nanos = 1_000 * SECOND;

/// A router's session with a control node.
#[derive(Clone, Copy, Debug)]
struct Session {
    id: SessionId,
    /// The incarnation of the control node's process.
    incarnation: u64,
    last_received_at: Nanos,
}

#[derive(Debug, Default)]
pub(super) struct Router {
    /// The process; `None` while it is not running.
    watch_client: Option<WatchClient>,
    /// How often the process has started.
    incarnation: u64,
    wanted_machines: Vec<usize>,
    sessions: BTreeMap<usize, Session>,
    observed_sequence: u64,
    /// When a fault of the router or its links last began or ended.
    pub(super) last_fault_at: Nanos,
    /// The number of active faults that partition the router from control nodes.
    pub(super) partition_faults: u32,
}

impl Router {
    /// Whether the router runs and its last fault ended long enough ago for the deadlines to apply.
    pub(super) fn is_undisturbed(&self, now: Nanos) -> bool {
        let is_undisturbed = self.partition_faults == 0 && now >= self.last_fault_at + CONTACT_AFTER;
        self.watch_client.is_some() && is_undisturbed
    }

    /// The router's state for the oracle's deadline checks.
    pub(super) fn view(&self, number: usize, in_contact: bool) -> RouterView {
        let is_evacuated = |zone: usize| {
            self.watch_client.as_ref().is_some_and(|client| client.evacuation(&zone_name(zone)).active)
        };
        RouterView {
            number,
            revision: self.watch_client.as_ref().map_or(0, |client| client.document().revision),
            evacuated_zones: (0..ZONE_COUNT).map(is_evacuated).collect(),
            in_contact,
        }
    }

    /// The state that the router has in effect; `None` if its process is not running.
    pub(super) fn applied_state(&self) -> Option<AppliedState> {
        let client = self.watch_client.as_ref()?;
        let zone_state = |zone: usize| {
            let EvacuationState { active, change_count } = client.evacuation(&zone_name(zone));
            ZoneState { evacuated: active, change_count }
        };
        Some(AppliedState {
            revision: client.document().revision,
            sequence: client.sequence(),
            zones: (0..ZONE_COUNT).map(zone_state).collect(),
        })
    }

    /// The router's session with a machine, if that session has this id.
    fn session(&mut self, machine: usize, id: SessionId) -> Option<&mut Session> {
        self.sessions.get_mut(&machine).filter(|session| session.id == id)
    }
}

impl Simulation<'_> {
    /// A router's index among machines and routers.
    pub(super) fn router_index(&self, router: usize) -> usize {
        self.plan.machine_count() + router
    }

    pub(super) fn start_router(&mut self, router: usize) {
        if self.routers[router].watch_client.is_some() {
            return;
        }
        let node = address(self.router_index(router));
        let info = RouterInfo {
            node,
            client_address: format!("{node}:8161"),
            zone: zone_name(router % ZONE_COUNT),
            region: "region".to_owned(),
            state: RouterState::Starting,
        };
        let seeds: Vec<NodeId> = self.slots.iter().take(SEED_COUNT).map(|seed| address(*seed)).collect();
        let this = &mut self.routers[router];
        this.incarnation += 1;
        this.last_fault_at = self.now;
        let region_zones = (0..ZONE_COUNT).map(zone_name).collect();
        this.watch_client = Some(WatchClient::new(info, region_zones, &seeds, self.now));
        this.observed_sequence = 0;
        this.wanted_machines.clear();
        this.sessions.clear();
        let incarnation = this.incarnation;
        self.schedule_after(0, Event::RouterTick { router, incarnation });
    }

    /// Reloads a router's settings: its seeds become the machines that currently hold the slots.
    pub(super) fn reload_router_settings(&mut self, router: usize) {
        let seeds = self.slots.iter().map(|machine| address(*machine)).collect();
        self.input_to_router(router, Input::Seeds(seeds));
    }

    pub(super) fn stop_router(&mut self, router: usize) {
        let this = &mut self.routers[router];
        if this.watch_client.take().is_none() {
            return;
        }
        this.last_fault_at = self.now;
        for (machine, session) in std::mem::take(&mut this.sessions) {
            self.schedule_session_closed(machine, session);
        }
    }

    pub(super) fn tick_router(&mut self, router: usize, incarnation: u64) {
        let this = &self.routers[router];
        if this.watch_client.is_none() || this.incarnation != incarnation {
            return;
        }
        self.end_silent_sessions(router);
        self.input_to_router(router, Input::Tick);
        for machine in self.routers[router].wanted_machines.clone() {
            self.open_session(router, machine);
        }
        let jitter = self.random_below(3) * MILLISECOND;
        self.schedule_after(TICK_INTERVAL + jitter, Event::RouterTick { router, incarnation });
    }

    fn end_silent_sessions(&mut self, router: usize) {
        let is_silent = |session: &Session| self.now >= session.last_received_at + SESSION_TIMEOUT;
        let silent: Vec<(usize, SessionId)> = self.routers[router]
            .sessions
            .iter()
            .filter(|(_, session)| is_silent(session))
            .map(|(machine, session)| (*machine, session.id))
            .collect();
        for (machine, session) in silent {
            self.session_lost(router, machine, session);
        }
    }

    /// Opens a session between a router and a machine, unless there is one. If the machine is unreachable, the router is notified.
    fn open_session(&mut self, router: usize, machine: usize) {
        if self.routers[router].sessions.contains_key(&machine) {
            return;
        }
        let is_partitioned = self.links.is_partitioned_either_way(self.router_index(router), machine);
        if is_partitioned || !self.machines[machine].is_running() {
            return self.input_to_router(router, Input::Disconnected(address(machine)));
        }
        let id = self.operators.next_id();
        let last_received_at = self.now;
        let session = Session { id, incarnation: self.machines[machine].incarnation, last_received_at };
        let this = &mut self.routers[router];
        this.sessions.insert(machine, session);
        let incarnation = this.incarnation;
        let delay = (10 + self.random_below(20)) * MILLISECOND;
        self.schedule_after(delay, Event::SessionOpened { router, incarnation, machine, session: id });
    }

    pub(super) fn session_opened(
        &mut self,
        router: usize,
        incarnation: u64,
        machine: usize,
        session: SessionId,
    ) {
        let this = &mut self.routers[router];
        if this.incarnation == incarnation && this.session(machine, session).is_some() {
            let connected = Input::Connected { node: address(machine), round_trip: SESSION_ROUND_TRIP };
            self.input_to_router(router, connected);
        }
    }

    pub(super) fn session_lost(&mut self, router: usize, machine: usize, session: SessionId) {
        let this = &mut self.routers[router];
        let Some(lost) = this.session(machine, session).copied() else { return };
        this.sessions.remove(&machine);
        self.input_to_router(router, Input::Disconnected(address(machine)));
        self.schedule_session_closed(machine, lost);
    }

    fn schedule_session_closed(&mut self, machine: usize, session: Session) {
        let Session { id, incarnation, .. } = session;
        let closed = Event::SessionClosed { machine, incarnation, session: id };
        self.schedule_after(ROUTER_CLOSE_DELAY, closed);
    }

    pub(super) fn session_closed(&mut self, machine: usize, incarnation: u64, session: SessionId) {
        let event = || Event::SessionClosed { machine, incarnation, session };
        if self.accepts_event(machine, Some(incarnation), event) {
            self.input_to_node(machine, ivyhatch_control::Input::SessionClosed(session));
        }
    }

    /// Schedules the loss of all sessions with a machine whose process has ended, with a delay that depends on how the process ended.
    pub(super) fn end_sessions_with(&mut self, machine: usize, end: ProcessEnd) {
        let delay = match end {
            ProcessEnd::Killed => CLOSE_DELAY,
            ProcessEnd::PowerLost => UNACKNOWLEDGED_TIMEOUT,
        };
        for router in 0..self.routers.len() {
            if let Some(session) = self.routers[router].sessions.get(&machine) {
                let session = session.id;
                self.schedule_after(delay, Event::SessionLost { router, machine, session });
            }
        }
    }

    /// Schedules the loss of the session between a router and a machine that are partitioned: its bytes are no longer acknowledged.
    pub(super) fn partition_session(&mut self, router: usize, machine: usize) {
        if let Some(session) = self.routers[router].sessions.get(&machine) {
            let session = session.id;
            self.schedule_after(UNACKNOWLEDGED_TIMEOUT, Event::SessionLost { router, machine, session });
        }
    }

    /// Whether any router has this session.
    pub(super) fn has_session(&self, id: SessionId) -> bool {
        self.routers.iter().any(|router| router.sessions.values().any(|session| session.id == id))
    }

    /// The router that has this session with a machine.
    fn session_owner(&self, machine: usize, id: SessionId) -> Option<usize> {
        let owns = |router: &Router| router.sessions.get(&machine).is_some_and(|session| session.id == id);
        self.routers.iter().position(owns)
    }

    /// Handles a session that a control node closes.
    pub(super) fn close_session(&mut self, machine: usize, session: SessionId) {
        if let Some(router) = self.session_owner(machine, session) {
            self.schedule_after(CLOSE_DELAY, Event::SessionLost { router, machine, session });
        }
    }

    pub(super) fn send_to_router(&mut self, machine: usize, session: SessionId, message: WatchResponse) {
        if let Some(router) = self.session_owner(machine, session) {
            let incarnation = self.routers[router].incarnation;
            let message = LinkMessage::WatchResponse(session, message);
            self.send(machine, self.router_index(router), incarnation, message);
        }
    }

    pub(super) fn watch_response_arrives(&mut self, delivery: Delivery) {
        let Delivery { from: machine, to, incarnation, message } = delivery;
        let LinkMessage::WatchResponse(id, message) = message else { return };
        let router = to - self.router_index(0);
        let now = self.now;
        let this = &mut self.routers[router];
        let is_present = this.incarnation == incarnation;
        let Some(session) = this.session(machine, id).filter(|_| is_present) else { return };
        session.last_received_at = now;
        self.record(|| format!("{machine} -> router {router} {}", watch_response(&message)));
        let message = self.corrupt_watch_response(router, message);
        self.input_to_router(router, Input::Message(address(machine), message));
    }

    /// Applies [`InjectedBug::AppliesOverGap`]: rewrites a change to start at the router's own sequence number.
    fn corrupt_watch_response(&self, router: usize, message: WatchResponse) -> WatchResponse {
        match (self.injected_bug, message, &self.routers[router].watch_client) {
            (Some(InjectedBug::AppliesOverGap), WatchResponse::Change { to, change, .. }, Some(client)) => {
                WatchResponse::Change { from: client.sequence(), to, change }
            }
            (_, message, _) => message,
        }
    }

    /// Passes an input to a watch client and executes the resulting outputs.
    fn input_to_router(&mut self, router: usize, input: Input) {
        let now = self.now + CLOCK_OFFSET;
        let Some(client) = &mut self.routers[router].watch_client else { return };
        let mut outputs = Vec::new();
        client.handle(now, input, &mut outputs);
        if client.is_ready() {
            client.handle(now, Input::State(RouterState::Ready), &mut outputs);
        }
        for output in outputs {
            match output {
                Output::SetConnections(nodes) => self.set_router_connections(router, nodes),
                Output::Send(node, message) => self.send_from_router(router, index_of(node), message),
                Output::Log(event) => self.record(|| format!("router {router} event={event}")),
                _ => {}
            }
        }
        self.observe_router(router);
    }

    /// Sets the machines with which a router wants sessions, and closes its other sessions.
    fn set_router_connections(&mut self, router: usize, nodes: Vec<NodeId>) {
        let wanted: Vec<usize> = nodes.into_iter().map(index_of).collect();
        let this = &mut self.routers[router];
        let unwanted: Vec<(usize, Session)> =
            this.sessions.extract_if(.., |machine, _| !wanted.contains(machine)).collect();
        this.wanted_machines = wanted;
        for (machine, session) in unwanted {
            self.schedule_session_closed(machine, session);
        }
    }

    fn send_from_router(&mut self, router: usize, machine: usize, message: WatchRequest) {
        if let Some(session) = self.routers[router].sessions.get(&machine).copied() {
            let from = self.router_index(router);
            let message = LinkMessage::WatchRequest(session.id, message);
            self.send(from, machine, session.incarnation, message);
        }
    }

    /// Reports the configuration of a router to the oracle if it has changed since the last report.
    fn observe_router(&mut self, router: usize) {
        let node = address(self.router_index(router)).0;
        let this = &mut self.routers[router];
        let Some(client) = &this.watch_client else { return };
        let sequence = client.sequence();
        if sequence == this.observed_sequence {
            return;
        }
        this.observed_sequence = sequence;
        let process = ProcessId { node, incarnation: this.incarnation };
        let digest = document_digest(client.document());
        self.oracle.observe_value(process, PartitionId::CONFIGURATION, sequence, digest);
        self.oracle.observe_configuration(sequence, client.document().revision, digest);
    }
}
