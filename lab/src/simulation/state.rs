//! The state of nodes, clients, requests, attempts, probes, the network and discovery.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use ivyhatch_balancer::{Balancer, Member};

use super::event::{AttemptKey, NodeProcess};
use crate::arrivals::ClientRequest;
use crate::random::RandomStream;
use crate::reference::ReferencePolicy;
use crate::time::Nanos;
use crate::world::World;

/// What decides at a node.
pub(super) enum NodePolicy {
    Balancer(Box<Balancer>),
    Reference(Box<ReferencePolicy>),
}

pub(super) struct Node {
    pub(super) policy: NodePolicy,
    /// Counts the node's processes.
    pub(super) incarnation: u32,
    /// Whether clients reach it.
    pub(super) accepts_clients: bool,
    /// Whether it has no process.
    pub(super) crashed: bool,
    /// Whether it is notified of changes of the list.
    pub(super) watches_list: bool,
    /// Its notifications are delivered in order: none before this time.
    pub(super) notified_until: Nanos,
    /// Requests that it owes a response.
    pub(super) open_requests: u32,
    /// Since when each idle connection to a server has been idle, oldest first.
    pub(super) idle_connections: HashMap<u32, VecDeque<Nanos>>,
    /// Open connections to servers.
    pub(super) connections: u32,
}

impl Node {
    pub(super) fn new(policy: NodePolicy) -> Self {
        Self {
            policy,
            incarnation: 0,
            accepts_clients: true,
            crashed: false,
            watches_list: false,
            notified_until: 0,
            open_requests: 0,
            idle_connections: HashMap::new(),
            connections: 0,
        }
    }
}

/// Whether a client sends more than one request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ClientKind {
    /// It arrives at a time of its own and sends one request.
    OpenLoop,
    /// It sends the next request as soon as it has a response.
    ClosedLoop,
}

/// A client with its request.
pub(super) struct Client {
    pub(super) request: ClientRequest,
    pub(super) first_sent_at: Nanos,
    pub(super) retries_left: u32,
    pub(super) kind: ClientKind,
    /// Whether its request has its outcome. The client is dropped once it has no open request either, since attempts in
    /// flight still need what it requested.
    pub(super) is_done: bool,
    /// Its requests, first ones and retries, that have not expired.
    pub(super) open_requests: u32,
}

pub(super) struct OpenRequest {
    pub(super) client: u64,
    pub(super) not_after: Nanos,
    /// Whether it has its final response, or needs none.
    pub(super) is_answered: bool,
    /// By number; `None` for those that have ended.
    pub(super) attempts: Vec<Option<OpenAttempt>>,
}

pub(super) struct OpenAttempt {
    pub(super) server: u32,
    pub(super) sent_at: Nanos,
    /// The server's job, once the server has admitted it.
    pub(super) job: Option<u64>,
    /// Whether it holds a connection.
    pub(super) is_connected: bool,
}

/// What a server's job is for.
pub(super) enum JobOwner {
    Attempt(AttemptKey),
    Probe,
}

pub(super) struct PendingProbe {
    pub(super) process: NodeProcess,
    pub(super) server: u32,
    pub(super) sent_at: Nanos,
}

/// The faults of the network, by zone.
pub(super) struct NetworkFaults {
    /// Number of partitions that separate the zone from all others.
    pub(super) partitions: Vec<u32>,
    pub(super) added_latency_ms: Vec<f64>,
    pub(super) added_loss: Vec<f64>,
}

impl NetworkFaults {
    pub(super) fn none(zones: u32) -> Self {
        let zones = zones as usize;
        Self { partitions: vec![0; zones], added_latency_ms: vec![0.0; zones], added_loss: vec![0.0; zones] }
    }
}

/// The list that is delivered during staleness faults.
#[derive(Clone, Copy)]
pub(super) struct StaleList {
    /// Number of faults that keep it stale.
    pub(super) faults: u32,
    pub(super) list: usize,
}

/// The discovery service.
#[derive(Default)]
pub(super) struct Discovery {
    /// Number of faults that keep it down.
    pub(super) outages: u32,
    /// Full lists that were delivered: one for each state of the servers in which one was asked for.
    pub(super) lists: Vec<Rc<[Member]>>,
    /// Whether the last of them shows the present state.
    pub(super) is_list_current: bool,
    pub(super) stale: Option<StaleList>,
}

/// One stream for each purpose, so that a draw for one leaves all others as they were.
pub(super) struct RandomStreams {
    pub(super) client_timeouts: RandomStream,
    pub(super) node_choices: RandomStream,
    pub(super) load_noise: RandomStream,
    pub(super) network: RandomStream,
    pub(super) notifications: RandomStream,
    pub(super) server_errors: RandomStream,
    pub(super) node_seeds: RandomStream,
}

impl RandomStreams {
    pub(super) fn new(seed: u64) -> Self {
        let stream = |purpose| RandomStream::new(seed, purpose, 0);
        // The purposes' names decide the draws: they never change.
        Self {
            client_timeouts: stream("patience"),
            node_choices: stream("fronts"),
            load_noise: stream("noise"),
            network: stream("links"),
            notifications: stream("lists"),
            server_errors: stream("errors"),
            node_seeds: stream("nodes"),
        }
    }
}

/// Figures of the report.
#[derive(Default)]
pub(super) struct Counters {
    pub(super) attempts: u64,
    pub(super) cross_zone_attempts: u64,
    pub(super) probes: u64,
    pub(super) events: u64,
    pub(super) max_open_requests: u32,
    pub(super) max_connections: u32,
}

/// The nodes that clients of each zone prefer: those of the zone, or all if it has none.
pub(super) fn preferred_nodes(world: &World) -> Vec<Vec<usize>> {
    let all = 0..world.nodes as usize;
    let of_zone = |zone: u32| {
        let nodes: Vec<usize> = all.clone().filter(|node| *node as u32 % world.zones == zone).collect();
        if nodes.is_empty() { all.clone().collect() } else { nodes }
    };
    (0..world.zones).map(of_zone).collect()
}
