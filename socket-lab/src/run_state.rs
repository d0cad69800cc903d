//! The state that all parts of a run share. A run has one thread, so that cells suffice.

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

/// The body of all messages.
pub(crate) type Body = Full<Bytes>;

/// Tolerance of the invariants for a real clock on a shared machine: as much as the protocol allows.
const LEEWAY: Nanos = 50_000_000;

/// A node's process, and what its clients know of it.
#[derive(Default)]
pub(crate) struct Node {
    pub(crate) process: Option<Child>,
    /// Where it accepts clients; `None` while it is down.
    pub(crate) address: Option<SocketAddr>,
    /// The clients' idle connections to it.
    pub(crate) idle_connections: Vec<SendRequest<Body>>,
    /// Address of its discovery service.
    pub(crate) discovery_address: Option<SocketAddr>,
    pub(crate) config_file: Option<tempfile::TempPath>,
    /// Ids of the requests that it owes a response.
    pub(crate) open_requests: Vec<u64>,
}

/// What servers need to know of a client's request, by the id in its header.
#[derive(Clone, Copy)]
pub(crate) struct PendingRequest {
    pub(crate) id: u64,
    /// Nanoseconds of work on a core of speed 1.
    pub(crate) work: f64,
    pub(crate) downstream_wait: Nanos,
    /// Attempts that have reached a server.
    pub(crate) attempts: u32,
}

impl PendingRequest {
    pub(crate) fn new(request: &ClientRequest, id: u64) -> Self {
        Self { id, work: request.work, downstream_wait: request.downstream_wait, attempts: 0 }
    }
}

/// The network's faults that add to latency and loss, by zone.
pub(crate) struct LinkFaults {
    pub(crate) added_latency_ms: Vec<f64>,
    pub(crate) added_loss: Vec<f64>,
}

/// One stream for each purpose. The purposes' names are those of the simulation: both see the same clients.
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

/// The highest use of resources by one node's process.
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
    /// Counts each server's processes: connections of an earlier one are reset.
    pub(crate) incarnations: Vec<watch::Sender<u32>>,
    /// Where each server listens for each node.
    pub(crate) server_addresses: RefCell<Vec<Vec<SocketAddr>>>,
    /// Queued and running jobs, by id, with what to notify at their end.
    pub(crate) jobs: RefCell<HashMap<u64, oneshot::Sender<()>>>,
    last_id: Cell<u64>,
    pub(crate) nodes: Vec<RefCell<Node>>,
    /// Requests by the id in their header.
    pub(crate) pending_requests: RefCell<HashMap<String, PendingRequest>>,
    pub(crate) endpoint_list: RefCell<EndpointList>,
    /// The list's revision, for watches that wait for the next one.
    pub(crate) list_revision: watch::Sender<u64>,
    /// Number of partitions that separate each zone from all others.
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

    /// An id that nothing else in the run has.
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

    /// The present state for an observer. Its fault events are those since the snapshot before.
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

    /// The report at the end of the run.
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

/// The name of a zone in lists and settings.
pub(crate) fn zone_name(zone: usize) -> String {
    format!("z{zone}")
}
