//! The processes of nodes and servers: crashes, restarts and shutdowns.

use ivyhatch_balancer::{BackendState, Event, ListScope};

use super::event::{AttemptKey, ExchangeResult, FaultPhase, RequestKey, SimulationEvent};
use super::model::Simulation;
use super::state::OpenAttempt;
use crate::server::ServerState;

impl Simulation<'_> {
    /// A node's process ends and its state is lost; its clients lose their connections.
    pub(super) fn crash_node(&mut self, node: usize) {
        let mut open_ids: Vec<RequestKey> =
            self.open_requests.keys().filter(|key| key.node == node).copied().collect();
        // Sorted, since a hash table's order differs from run to run.
        open_ids.sort_unstable();
        self.reset_node(node);
        for key in open_ids {
            self.lose_request(key);
        }
        self.invariants.node_stopped(node);
    }

    fn reset_node(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        state.accepts_clients = false;
        state.crashed = true;
        state.watches_list = false;
        state.open_requests = 0;
        state.connections = 0;
        state.notified_until = 0;
        state.incarnation += 1;
        for (server, idle) in state.idle_connections.drain() {
            self.servers[server as usize].disconnect(idle.len() as u32);
        }
    }

    /// Removes a request of a crashed node, and cancels its attempts.
    fn lose_request(&mut self, key: RequestKey) {
        let Some(open) = self.open_requests.remove(&key) else { return };
        self.invariants.request_lost(key.node, key.id);
        for attempt in open.attempts.into_iter().flatten() {
            if attempt.is_connected {
                self.servers[attempt.server as usize].disconnect(1);
            }
            if let Some(job) = attempt.job {
                self.cancel_job(key.node, attempt.server, job);
            }
        }
        if !open.is_answered {
            self.connection_lost(open.client);
        }
    }

    /// A node's process starts with the cached list of the previous process and no other state.
    pub(super) fn restart_node(&mut self, node: usize) {
        if self.nodes[node].accepts_clients {
            return;
        }
        self.nodes[node].policy = self.create_policy(node);
        self.nodes[node].accepts_clients = true;
        self.nodes[node].crashed = false;
        let members = self.start_policy(node);
        self.check_cached_list(node, &members);
        self.notify(node, Event::Membership { scope: ListScope::Cached, members });
    }

    /// A cold server has crashed under its load.
    pub(super) fn cold_server_crashed(&mut self, server: u32, by_informed_senders: bool) {
        if by_informed_senders {
            self.invariants.cold_server_crashed(server, self.now);
        }
        self.reset_connections(server);
        self.announce(server, BackendState::Removed, None);
    }

    /// A server drains when the fault starts. Its process ends when the fault ends, unless it has ended before.
    pub(super) fn drain_server(&mut self, server: u32, phase: FaultPhase) {
        let model = &mut self.servers[server as usize];
        match (phase, model.state) {
            (FaultPhase::Start, ServerState::Serving) => {
                model.state = ServerState::Draining;
                let started = model.started;
                self.announce(server, BackendState::Draining, started);
            }
            (FaultPhase::End, ServerState::Draining) => self.stop_server(server),
            _ => {}
        }
    }

    pub(super) fn restart_server(&mut self, server: u32, phase: FaultPhase) {
        match phase {
            FaultPhase::Start => self.stop_server(server),
            FaultPhase::End => {
                self.servers[server as usize].restart(self.now);
                self.announce(server, BackendState::InService, Some(self.now));
            }
        }
    }

    fn stop_server(&mut self, server: u32) {
        self.servers[server as usize].stop(self.now);
        self.reset_connections(server);
        self.announce(server, BackendState::Removed, None);
    }

    /// Resets all connections to a server whose process has ended.
    fn reset_connections(&mut self, server: u32) {
        let is_to_server =
            |attempt: &Option<OpenAttempt>| attempt.as_ref().is_some_and(|open| open.server == server);
        let mut attempts: Vec<AttemptKey> = Vec::new();
        for (&request, open) in &self.open_requests {
            let to_server = open.attempts.iter().zip(0..).filter(|(attempt, _)| is_to_server(attempt));
            attempts.extend(to_server.map(|(_, number)| AttemptKey { request, number }));
        }
        // Sorted, since a hash table's order differs from run to run.
        attempts.sort_unstable();
        for attempt in attempts {
            if let Some(latency) = self.message_latency(attempt.request.node, server) {
                let result = ExchangeResult::Reset;
                self.schedule(self.now + latency, SimulationEvent::AttemptEnds { attempt, result });
            }
        }
        for node in &mut self.nodes {
            let idle = node.idle_connections.remove(&server).map_or(0, |idle| idle.len() as u32);
            node.connections = node.connections.saturating_sub(idle);
        }
    }
}
