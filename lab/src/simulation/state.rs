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

/// The policy of a node, which makes the load-balancing decisions.
pub(super) enum NodePolicy {
    Balancer(Box<Balancer>),
    Reference(Box<ReferencePolicy>),
}

pub(super) struct Node {
    pub(super) policy: NodePolicy,
    /// Number of the node's current process, from 0.
    pub(super) incarnation: u32,
    /// Whether the node accepts new requests from clients.
    pub(super) accepts_clients: bool,
    /// Whether the node has no running process.
    pub(super) crashed: bool,
    /// Whether the node watches the server list, and is notified of changes.
    pub(super) watches_list: bool,
    /// When the last scheduled notification arrives. Later ones do not arrive earlier, since notifications stay in order.
    pub(super) notified_until: Nanos,
    /// Number of requests without a final response.
    pub(super) open_requests: u32,
    /// By server: since when each idle connection has been idle, oldest first.
    pub(super) idle_connections: HashMap<u32, VecDeque<Nanos>>,
    /// Number of open connections to servers.
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

/// How a client sends requests.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ClientKind {
    /// The client arrives at a time that is independent of responses, and sends one request.
    OpenLoop,
    /// The client sends its next request as soon as it has received a response.
    ClosedLoop,
}

/// A client with its request.
pub(super) struct Client {
    pub(super) request: ClientRequest,
    pub(super) first_sent_at: Nanos,
    pub(super) retries_left: u32,
    pub(super) kind: ClientKind,
    /// Whether the client's request has an outcome. The client is removed only when `open_requests` is 0 as well, since
    /// attempts in flight still use its request.
    pub(super) is_done: bool,
    /// Number of the client's requests at nodes, including retries, that have not expired.
    pub(super) open_requests: u32,
}

pub(super) struct OpenRequest {
    pub(super) client: u64,
    pub(super) not_after: Nanos,
    /// Whether the request has its final response, or needs none since the client has disconnected.
    pub(super) is_answered: bool,
    /// The attempts by number; `None` for an attempt that has ended.
    pub(super) attempts: Vec<Option<OpenAttempt>>,
}

pub(super) struct OpenAttempt {
    pub(super) server: u32,
    pub(super) sent_at: Nanos,
    /// Id of the server's job; `None` until the server has admitted the attempt.
    pub(super) job: Option<u64>,
    /// Whether the attempt uses a connection.
    pub(super) is_connected: bool,
}

/// The cause of a server's job. `Probe` includes the handshake of a new connection.
pub(super) enum JobOwner {
    Attempt(AttemptKey),
    Probe,
}

pub(super) struct PendingProbe {
    pub(super) process: NodeProcess,
    pub(super) server: u32,
    pub(super) sent_at: Nanos,
}

/// The active faults of the network, by zone.
pub(super) struct NetworkFaults {
    /// Number of active faults that partition the zone from all others.
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

/// The list that is delivered while a staleness fault is active.
#[derive(Clone, Copy)]
pub(super) struct StaleList {
    /// Number of active staleness faults.
    pub(super) faults: u32,
    /// Index of the stale list in [`Discovery::lists`].
    pub(super) list: usize,
}

/// The discovery service.
#[derive(Default)]
pub(super) struct Discovery {
    /// Number of active faults that make the service unavailable.
    pub(super) outages: u32,
    /// Full lists that were delivered: one for each state of the servers in which a list was requested.
    pub(super) lists: Vec<Rc<[Member]>>,
    /// Whether the last of the lists shows the current state of the servers.
    pub(super) is_list_current: bool,
    /// `None` unless a staleness fault is active.
    pub(super) stale: Option<StaleList>,
}

/// One random stream for each purpose, so that a draw for one purpose does not affect the others.
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
        // The names of the purposes select the streams: a renamed purpose would change the result of each seed.
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

/// Counters of a run, for the report.
#[derive(Default)]
pub(super) struct Counters {
    pub(super) attempts: u64,
    pub(super) cross_zone_attempts: u64,
    pub(super) probes: u64,
    pub(super) events: u64,
    pub(super) max_open_requests: u32,
    pub(super) max_connections: u32,
}

/// The nodes that clients of each zone prefer: the nodes of the zone, or all nodes if the zone has none.
pub(super) fn preferred_nodes(world: &World) -> Vec<Vec<usize>> {
    let all = 0..world.nodes as usize;
    let of_zone = |zone: u32| {
        let nodes: Vec<usize> = all.clone().filter(|node| *node as u32 % world.zones == zone).collect();
        if nodes.is_empty() { all.clone().collect() } else { nodes }
    };
    (0..world.zones).map(of_zone).collect()
}
