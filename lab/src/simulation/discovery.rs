//! The discovery service: full lists of the servers, and notifications of changes.

use ivyhatch_balancer::{BackendId, BackendState, Event, ListScope, Member, ZoneId};

use super::event::{FaultPhase, ListRequest, NodeProcess, SimulationEvent};
use super::model::Simulation;
use super::state::StaleList;
use crate::invariants::ListedServer;
use crate::server::ServerState;
use crate::time::{MS, Nanos, nanos_from_seconds};

/// A call to an unavailable discovery service fails after this time.
const CALL_TIMEOUT: Nanos = 250 * MS;

fn backend_state(state: ServerState) -> BackendState {
    match state {
        ServerState::Serving => BackendState::InService,
        ServerState::Draining => BackendState::Draining,
        ServerState::Gone => BackendState::Removed,
    }
}

fn listed_server(member: &Member) -> ListedServer {
    ListedServer {
        server: member.backend.0,
        in_service: member.state == BackendState::InService,
        started: member.online_since,
    }
}

impl Simulation<'_> {
    fn member(&self, server: u32, state: BackendState, online_since: Option<Nanos>) -> Member {
        Member {
            backend: BackendId(server),
            zone: ZoneId(self.server_zone(server)),
            state,
            // A server list contains the number of cores, but not their speed.
            weight: f64::from(self.servers[server as usize].group.cores),
            online_since,
            ..Member::default()
        }
    }

    /// Index of the full list that a call returns now. The list omits servers that are gone.
    pub(super) fn current_list(&mut self) -> usize {
        if let Some(stale) = self.discovery.stale {
            return stale.list;
        }
        if !std::mem::replace(&mut self.discovery.is_list_current, true) {
            let present = (0..).zip(&self.servers).filter(|(_, server)| server.state != ServerState::Gone);
            let list = present
                .map(|(number, server)| self.member(number, backend_state(server.state), server.started))
                .collect();
            self.discovery.lists.push(list);
        }
        self.discovery.lists.len() - 1
    }

    /// Starts a node's policy. Returns the server list that the node has cached.
    pub(super) fn start_policy(&mut self, node: usize) -> Vec<Member> {
        self.notify(node, Event::Start);
        let list = self.current_list();
        self.discovery.lists[list].to_vec()
    }

    /// Passes the cached list of a restarted node to the invariant checker: the list counts as a notification of the node,
    /// even if the list is stale.
    pub(super) fn check_cached_list(&mut self, node: usize, members: &[Member]) {
        for member in members {
            self.invariants.server_listed(node, listed_server(member), self.now);
        }
    }

    /// When a notification sent now reaches a node: after the lag and jitter, and not before an earlier notification.
    fn notification_time(&mut self, node: usize) -> Nanos {
        let settings = self.world.discovery;
        let mut at = self.now + settings.lag_ms * MS;
        if settings.jitter_ms > 0 {
            at += (self.random.notifications.unit() * (settings.jitter_ms * MS) as f64) as Nanos;
        }
        let notified_until = &mut self.nodes[node].notified_until;
        *notified_until = at.max(*notified_until);
        *notified_until
    }

    /// A node requests the server list.
    pub(super) fn request_list(&mut self, node: usize, request: ListRequest) {
        let process = self.process(node);
        if self.discovery.outages > 0 {
            return self.schedule(self.now + CALL_TIMEOUT, SimulationEvent::ListCallFails(process));
        }
        let at = self.notification_time(node);
        let list = self.current_list();
        self.schedule(at, SimulationEvent::FullListDelivered { process, list, request });
    }

    pub(super) fn full_list_delivered(&mut self, process: NodeProcess, list: usize, request: ListRequest) {
        if !self.is_running(process) {
            return;
        }
        let node = process.node;
        if self.discovery.outages > 0 {
            return self.notify(node, Event::DiscoveryFailed);
        }
        self.nodes[node].watches_list |= request == ListRequest::Watch;
        let members = self.discovery.lists[list].to_vec();
        let listed: Vec<ListedServer> = members.iter().map(listed_server).collect();
        self.invariants.full_list_received(node, &listed, self.servers.len(), self.now);
        self.notify(node, Event::Membership { scope: ListScope::Full, members });
    }

    pub(super) fn list_call_fails(&mut self, process: NodeProcess) {
        if self.is_running(process) {
            self.nodes[process.node].watches_list = false;
            self.notify(process.node, Event::DiscoveryFailed);
        }
    }

    /// A node is notified of a change of one server.
    pub(super) fn endpoint_update(
        &mut self,
        process: NodeProcess,
        server: u32,
        state: BackendState,
        started: Option<Nanos>,
    ) {
        if !self.is_running(process) || !self.nodes[process.node].watches_list {
            return;
        }
        let member = self.member(server, state, started);
        self.invariants.server_listed(process.node, listed_server(&member), self.now);
        self.notify(process.node, Event::Membership { scope: ListScope::Changes, members: vec![member] });
    }

    fn resend_full_list(&mut self) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].watches_list {
                self.request_list(node, ListRequest::Watch);
            }
        }
    }

    pub(super) fn full_list_interval_elapsed(&mut self) {
        if self.discovery.outages == 0 {
            self.resend_full_list();
        }
        let next = self.now + nanos_from_seconds(self.world.discovery.full_list_interval_s);
        if next < self.end {
            self.schedule(next, SimulationEvent::FullListIntervalElapsed);
        }
    }

    /// Notifies all nodes of a change of one server, unless the discovery service is down.
    pub(super) fn announce(&mut self, server: u32, state: BackendState, started: Option<Nanos>) {
        self.discovery.is_list_current = false;
        if self.discovery.outages > 0 {
            return;
        }
        for node in 0..self.nodes.len() {
            let at = self.notification_time(node);
            let process = self.process(node);
            self.schedule(at, SimulationEvent::EndpointUpdate { process, server, state, started });
        }
    }

    /// An outage of the discovery service starts or ends. The start ends all watches.
    pub(super) fn apply_discovery_outage(&mut self, phase: FaultPhase) {
        match phase {
            FaultPhase::Start => self.discovery.outages += 1,
            FaultPhase::End => self.discovery.outages -= 1,
        }
        if phase == FaultPhase::Start && self.discovery.outages == 1 {
            for node in 0..self.nodes.len() {
                let process = self.process(node);
                self.schedule(self.now + CALL_TIMEOUT, SimulationEvent::ListCallFails(process));
            }
        }
    }

    /// Full lists become stale, as from a lagging replica, or current again; in the latter case all nodes receive a current
    /// list.
    pub(super) fn apply_stale_list(&mut self, phase: FaultPhase) {
        match phase {
            FaultPhase::Start => {
                let list = self.current_list();
                let stale = self.discovery.stale.unwrap_or(StaleList { faults: 0, list });
                self.discovery.stale = Some(StaleList { faults: stale.faults + 1, ..stale });
            }
            FaultPhase::End => {
                let others = self.discovery.stale.filter(|stale| stale.faults > 1);
                self.discovery.stale = others.map(|stale| StaleList { faults: stale.faults - 1, ..stale });
                if self.discovery.stale.is_none() && self.discovery.outages == 0 {
                    (0..self.nodes.len()).for_each(|node| self.request_list(node, ListRequest::Watch));
                }
            }
        }
    }
}
