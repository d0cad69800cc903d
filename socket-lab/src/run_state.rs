//! The state that all parts of a run share. A run has a single thread, so that cells suffice and no locks are needed.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use ivyhatch_lab::{
    ClientRequest, InvariantChecker, Nanos, OutcomeRecorder, RandomStream, Report, Server, ServerState, World,
};
use tokio::process::Child;
use tokio::sync::{oneshot, watch};

use crate::clock::{Clock, NANOS_PER_SECOND};
use crate::endpoint_list::EndpointList;
use crate::snapshot::{AttemptCounts, Snapshot, ZoneSnapshot};

/// The body type of all requests and responses that the lab sends.
pub(crate) type Body = Full<Bytes>;

/// Tolerance of the invariants' times for a real clock on a shared machine: 50 ms, as much as the protocol allows.
const LEEWAY: Nanos = 50_000_000;

/// A node's process, and the state that the node's clients and discovery service need.
#[derive(Default)]
pub(crate) struct Node {
    pub(crate) process: Option<Child>,
    /// Address on which the node accepts clients; `None` while the node is down or shutting down.
    pub(crate) address: Option<SocketAddr>,
    /// The clients' idle connections to the node.
    pub(crate) idle_connections: Vec<SendRequest<Body>>,
    /// Address of the node's discovery service; `None` until the service listens.
    pub(crate) discovery_address: Option<SocketAddr>,
    pub(crate) config_file: Option<tempfile::TempPath>,
    /// Ids of the requests in flight at the node.
    pub(crate) open_requests: Vec<u64>,
}

/// The properties of a client's request that the servers look up by the id in the request's header.
#[derive(Clone, Copy)]
pub(crate) struct PendingRequest {
    pub(crate) id: u64,
    /// Nanoseconds of work on a core of speed 1.
    pub(crate) work: f64,
    pub(crate) downstream_wait: Nanos,
    /// Number of attempts that servers have received.
    pub(crate) attempts: u32,
}

impl PendingRequest {
    pub(crate) fn new(request: &ClientRequest, id: u64) -> Self {
        Self { id, work: request.work, downstream_wait: request.downstream_wait, attempts: 0 }
    }
}

/// Latency and loss that faults add to the network, by zone.
pub(crate) struct LinkFaults {
    pub(crate) added_latency_ms: Vec<f64>,
    pub(crate) added_loss: Vec<f64>,
}

/// One random stream per purpose. The purposes have the same names as in the simulation, so that both draw the same clients.
pub(crate) struct RandomStreams {
    pub(crate) network: RefCell<RandomStream>,
    pub(crate) load_noise: RefCell<RandomStream>,
    pub(crate) server_errors: RefCell<RandomStream>,
    pub(crate) node_choices: RefCell<RandomStream>,
    pub(crate) client_timeouts: RefCell<RandomStream>,
    pub(crate) node_seeds: RefCell<RandomStream>,
}

impl RandomStreams {
    fn new(seed: u64) -> Self {
        let stream = |purpose| RefCell::new(RandomStream::new(seed, purpose, 0));
        Self {
            network: stream("links"),
            load_noise: stream("noise"),
            server_errors: stream("errors"),
            node_choices: stream("fronts"),
            client_timeouts: stream("patience"),
            node_seeds: stream("nodes"),
        }
    }
}

/// The highest resource usage of any node's process.
#[derive(Clone, Copy, Default)]
pub(crate) struct PeakUsage {
    pub(crate) descriptors: u64,
    pub(crate) memory_kb: u64,
}

/// The state of a run.
pub(crate) struct RunState {
    pub(crate) world: Rc<World>,
    pub(crate) clock: Clock,
    pub(crate) servers: Vec<RefCell<Server>>,
    /// The number of starts and stops of each server's process: a change resets the connections of the process before.
    pub(crate) incarnations: Vec<watch::Sender<u32>>,
    /// The address on which each server listens for each node, by server and node.
    pub(crate) server_addresses: RefCell<Vec<Vec<SocketAddr>>>,
    /// The channels that signal the end of queued and running jobs, by the job's id.
    pub(crate) jobs: RefCell<HashMap<u64, oneshot::Sender<()>>>,
    last_id: Cell<u64>,
    pub(crate) nodes: Vec<RefCell<Node>>,
    /// Requests of which attempts may be in flight, by the id in their header.
    pub(crate) pending_requests: RefCell<HashMap<String, PendingRequest>>,
    pub(crate) endpoint_list: RefCell<EndpointList>,
    /// The list's revision, for watches that wait for a later revision.
    pub(crate) list_revision: watch::Sender<u64>,
    /// Number of active partitions that separate each zone from all other zones.
    pub(crate) partitions: watch::Sender<Vec<u32>>,
    pub(crate) link_faults: RefCell<LinkFaults>,
    pub(crate) invariants: RefCell<InvariantChecker>,
    pub(crate) outcomes: RefCell<OutcomeRecorder>,
    pub(crate) random: RandomStreams,
    pub(crate) attempts: Cell<AttemptCounts>,
    pub(crate) probes: Cell<u64>,
    pub(crate) peak_usage: Cell<PeakUsage>,
    fault_events: RefCell<Vec<String>>,
}

impl RunState {
    pub(crate) fn new(world: Rc<World>, seed: u64) -> Rc<Self> {
        let groups = world.servers.iter().flat_map(|group| std::iter::repeat_n(*group, group.count as usize));
        let servers: Vec<RefCell<Server>> = groups.map(|group| RefCell::new(Server::new(group))).collect();
        let zones = world.zones as usize;
        let link_faults = LinkFaults { added_latency_ms: vec![0.0; zones], added_loss: vec![0.0; zones] };
        Rc::new(Self {
            clock: Clock::new(),
            incarnations: servers.iter().map(|_| watch::channel(0).0).collect(),
            server_addresses: RefCell::new(vec![Vec::new(); servers.len()]),
            jobs: RefCell::default(),
            last_id: Cell::new(0),
            nodes: (0..world.nodes).map(|_| RefCell::default()).collect(),
            pending_requests: RefCell::default(),
            endpoint_list: RefCell::new(EndpointList::new(servers.len())),
            list_revision: watch::channel(1).0,
            partitions: watch::channel(vec![0; zones]).0,
            link_faults: RefCell::new(link_faults),
            invariants: RefCell::new(InvariantChecker::with_leeway(LEEWAY)),
            outcomes: RefCell::new(OutcomeRecorder::new(&world)),
            random: RandomStreams::new(seed),
            attempts: Cell::default(),
            probes: Cell::new(0),
            peak_usage: Cell::default(),
            fault_events: RefCell::default(),
            servers,
            world,
        })
    }

    /// A new id, unique among the requests and jobs of the run.
    pub(crate) fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    /// The zone of a node or server with this number.
    pub(crate) fn zone_of(&self, number: usize) -> usize {
        number % self.world.zones as usize
    }

    /// Adds a description of a fault for the next snapshot.
    pub(crate) fn log_fault_event(&self, event: String) {
        self.fault_events.borrow_mut().push(event);
    }

    fn zone_snapshot(&self, zone: usize, now: Nanos) -> ZoneSnapshot {
        let of_zone = (0..self.servers.len()).filter(|server| self.zone_of(*server) == zone);
        let in_service = of_zone
            .map(|server| self.servers[server].borrow())
            .filter(|server| server.state == ServerState::Serving);
        let utilisations: Vec<f64> = in_service.map(|server| server.utilisation(now)).collect();
        ZoneSnapshot {
            servers_in_service: utilisations.len(),
            mean_utilisation: utilisations.iter().sum::<f64>() / utilisations.len().max(1) as f64,
            partitioned: self.partitions.borrow()[zone] > 0,
        }
    }

    /// The current state for an observer, with the fault events since the previous snapshot.
    pub(crate) fn snapshot(&self) -> Snapshot {
        let now = self.clock.now();
        Snapshot {
            seconds: self.clock.elapsed() as f64 / NANOS_PER_SECOND,
            outcomes: self.outcomes.borrow().outcome_counts(),
            attempts: self.attempts.get(),
            zones: (0..self.world.zones as usize).map(|zone| self.zone_snapshot(zone, now)).collect(),
            nodes: self.nodes.iter().filter(|node| node.borrow().address.is_some()).count(),
            rules_broken: self.invariants.borrow().violation_count(),
            fault_events: self.fault_events.take(),
        }
    }

    /// Takes the recorded outcomes and invariants, and returns the report of the run.
    pub(crate) fn finish(&self, seed: u64) -> Report {
        let mut report = self.outcomes.replace(OutcomeRecorder::new(&self.world)).finish(seed);
        let invariants = self.invariants.take();
        let attempts = self.attempts.get();
        let peak_usage = self.peak_usage.get();
        report.attempts = attempts.total;
        report.crossed = attempts.cross_zone;
        report.probes = self.probes.get();
        report.most_descriptors = peak_usage.descriptors;
        report.most_memory_kb = peak_usage.memory_kb;
        report.chokes = self.servers.iter().map(|server| server.borrow().degradations).sum();
        report.rules_broken = invariants.violation_count();
        report.broken = invariants.violations;
        report
    }
}

/// The name of a zone in endpoint lists and settings.
pub(crate) fn zone_name(zone: usize) -> String {
    format!("z{zone}")
}
