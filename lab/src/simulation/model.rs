//! The state of a simulation, and functions that all modules of the simulation use.

use std::collections::{BTreeMap, HashMap};

use ivyhatch_balancer::{Action, Event, Settings};

use super::event::{
    AttemptKey, EventQueue, ExchangeResult, ListRequest, NodeProcess, RequestKey, SimulationEvent,
};
use super::state::{
    Client, Counters, Discovery, JobOwner, NetworkFaults, Node, NodePolicy, OpenRequest, PendingProbe,
    RandomStreams,
};
use crate::arrivals::{Arrivals, ClientRequest};
use crate::invariants::InvariantChecker;
use crate::outcomes::OutcomeRecorder;
use crate::policy::PolicyConfig;
use crate::reference::ReferenceSettings;
use crate::server::Server;
use crate::time::{Nanos, SECOND};
use crate::world::World;

/// The clock at the world's start; not 0, which means "before the world's start" in server lists.
pub(super) const START: Nanos = SECOND;

/// A node's final response to a client's request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum NodeResponse {
    /// The node forwards a server's response.
    Served,
    Rejected {
        retry_after: Nanos,
    },
    Failed,
}

/// A running simulation of a world.
pub(super) struct Simulation<'a> {
    pub(super) world: &'a World,
    pub(super) policy: &'a PolicyConfig,
    pub(super) balancer_settings: Settings,
    pub(super) reference_settings: ReferenceSettings,
    pub(super) now: Nanos,
    /// Time from which on no new clients arrive.
    pub(super) end: Nanos,
    pub(super) queue: EventQueue,
    pub(super) nodes: Vec<Node>,
    /// By zone: the nodes that clients of the zone prefer.
    pub(super) preferred_nodes: Vec<Vec<usize>>,
    pub(super) servers: Vec<Server>,
    pub(super) open_requests: HashMap<RequestKey, OpenRequest>,
    pub(super) jobs: HashMap<u64, JobOwner>,
    pub(super) pending_probes: HashMap<u64, PendingProbe>,
    pub(super) clients: BTreeMap<u64, Client>,
    pub(super) last_id: u64,
    pub(super) network_faults: NetworkFaults,
    pub(super) discovery: Discovery,
    pub(super) invariants: InvariantChecker,
    pub(super) outcomes: OutcomeRecorder,
    pub(super) arrivals: Arrivals<'a>,
    pub(super) next_arrival: Option<ClientRequest>,
    pub(super) random: RandomStreams,
    pub(super) counters: Counters,
}

impl Simulation<'_> {
    pub(super) fn schedule(&mut self, at: Nanos, event: SimulationEvent) {
        self.queue.schedule(at, event);
    }

    /// A new id, unique among requests, jobs, probes and clients.
    pub(super) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    pub(super) fn server_zone(&self, server: u32) -> u32 {
        server % self.world.zones
    }

    pub(super) fn node_zone(&self, node: usize) -> u32 {
        node as u32 % self.world.zones
    }

    pub(super) fn process(&self, node: usize) -> NodeProcess {
        NodeProcess { node, incarnation: self.nodes[node].incarnation }
    }

    pub(super) fn is_running(&self, process: NodeProcess) -> bool {
        self.process(process.node) == process
    }

    /// Passes an event to a node's policy and executes the resulting actions; no effect if the node has no process.
    pub(super) fn notify(&mut self, node: usize, event: Event) {
        if self.nodes[node].crashed {
            return;
        }
        let mut actions = Vec::new();
        match &mut self.nodes[node].policy {
            NodePolicy::Balancer(balancer) => balancer.handle(self.now, event, &mut actions),
            NodePolicy::Reference(policy) => policy.handle(self.now, event, &self.servers, &mut actions),
        }
        for action in actions {
            self.carry_out(node, action);
        }
    }

    fn carry_out(&mut self, node: usize, action: Action) {
        let key = |id| RequestKey { node, id };
        match action {
            Action::Send { request, backend, timeout } => {
                self.send_attempt(key(request.0), backend.0, timeout);
            }
            Action::Reject { request, retry_after } => {
                self.respond(key(request.0), NodeResponse::Rejected { retry_after });
            }
            Action::Fail { request } => self.respond(key(request.0), NodeResponse::Failed),
            Action::Cancel { request, attempt } => {
                let attempt = AttemptKey { request: key(request.0), number: attempt };
                let result = ExchangeResult::Cancelled;
                self.schedule(self.now, SimulationEvent::AttemptEnds { attempt, result });
            }
            Action::Probe { backend } => self.send_probe(node, backend.0),
            Action::Timer { after, token } => {
                let process = self.process(node);
                self.schedule(self.now + after, SimulationEvent::TimerFired { process, token });
            }
            Action::Watch => self.request_list(node, ListRequest::Watch),
            Action::Fetch => self.request_list(node, ListRequest::Fetch),
            Action::Log(_) => {}
        }
    }
}
