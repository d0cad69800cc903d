//! What all parts share. One thread, so plain cells do.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hyper::client::conn::http1::SendRequest;
use ivyhatch_lab::{
    ClientRequest, InvariantChecker, OutcomeRecorder, RandomStream, Report, Server, ServerState, World,
};
use tokio::process::Child;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use crate::discovery::List;
use crate::snapshot::{AttemptCounts, Snapshot, ZoneSnapshot};

pub(crate) type Nanos = u64;
pub(crate) type Body = http_body_util::Full<bytes::Bytes>;
/// The world's clock starts here, as in virtual time.
pub(crate) const START: Nanos = 1_000_000_000;
/// A real clock, and a machine that is shared, may show so much later what was in time. As much as the protocol allows.
const LEEWAY: Nanos = 50_000_000;

pub(crate) struct Node {
    pub(crate) child: Option<Child>,
    /// Where clients reach it; none while it is down.
    pub(crate) at: Option<SocketAddr>,
    pub(crate) idle: Vec<SendRequest<Body>>,
    pub(crate) discovery: Option<SocketAddr>,
    pub(crate) file: Option<tempfile::TempPath>,
    /// Requests that it owes an answer, by their numbers.
    pub(crate) open: Vec<u64>,
}

/// What a server has to know of a request that reaches it.
#[derive(Clone, Copy)]
pub(crate) struct Asked {
    pub(crate) number: u64,
    pub(crate) work: f64,
    pub(crate) elsewhere: Nanos,
    /// Attempts that have reached a server.
    pub(crate) attempts: u32,
}

pub(crate) struct Stage {
    pub(crate) world: Rc<World>,
    began: Cell<Option<(Instant, u64)>>,
    made: Instant,
    pub(crate) servers: Vec<RefCell<Server>>,
    /// Each server's life: what belongs to an earlier one is broken off.
    pub(crate) lives: Vec<watch::Sender<u32>>,
    /// Where a server listens, for each node.
    pub(crate) endpoints: RefCell<Vec<Vec<SocketAddr>>>,
    /// Jobs that wait for a core, or are worked on.
    pub(crate) jobs: RefCell<HashMap<u64, oneshot::Sender<()>>>,
    pub(crate) numbers: Cell<u64>,
    pub(crate) nodes: Vec<RefCell<Node>>,
    pub(crate) asked: RefCell<HashMap<String, Asked>>,
    pub(crate) list: RefCell<List>,
    pub(crate) listed: watch::Sender<u64>,
    pub(crate) cut: watch::Sender<Vec<u32>>,
    pub(crate) farther: RefCell<Vec<f64>>,
    pub(crate) lossy: RefCell<Vec<f64>>,
    pub(crate) oracle: RefCell<InvariantChecker>,
    pub(crate) books: RefCell<OutcomeRecorder>,
    pub(crate) links: RefCell<RandomStream>,
    pub(crate) noise: RefCell<RandomStream>,
    pub(crate) errors: RefCell<RandomStream>,
    pub(crate) choices: RefCell<RandomStream>,
    pub(crate) patience: RefCell<RandomStream>,
    pub(crate) seeds: RefCell<RandomStream>,
    pub(crate) attempts: Cell<AttemptCounts>,
    pub(crate) probes: Cell<u64>,
    /// Descriptors and kilobytes of memory that one node held at most.
    pub(crate) most_used: Cell<(u64, u64)>,
    pub(crate) news: RefCell<Vec<String>>,
}

impl Stage {
    pub(crate) fn new(world: Rc<World>, seed: u64) -> Rc<Self> {
        let groups = world.servers.iter().flat_map(|group| std::iter::repeat_n(*group, group.count as usize));
        let servers: Vec<RefCell<Server>> = groups.map(|group| RefCell::new(Server::new(group))).collect();
        let zones = world.zones as usize;
        let node = || Node {
            child: None,
            at: None,
            idle: Vec::new(),
            discovery: None,
            file: None,
            open: Vec::new(),
        };
        let stream = |purpose| RefCell::new(RandomStream::new(seed, purpose, 0));
        Rc::new(Self {
            began: Cell::new(None),
            made: Instant::now(),
            lives: servers.iter().map(|_| watch::channel(0).0).collect(),
            endpoints: RefCell::new(vec![Vec::new(); servers.len()]),
            jobs: RefCell::default(),
            numbers: Cell::new(0),
            nodes: (0..world.nodes).map(|_| RefCell::new(node())).collect(),
            asked: RefCell::default(),
            list: RefCell::new(List::new(servers.len())),
            listed: watch::channel(1).0,
            cut: watch::channel(vec![0; zones]).0,
            farther: RefCell::new(vec![0.0; zones]),
            lossy: RefCell::new(vec![0.0; zones]),
            oracle: RefCell::new(InvariantChecker::with_leeway(LEEWAY)),
            books: RefCell::new(OutcomeRecorder::new(&world)),
            links: stream("links"),
            noise: stream("noise"),
            errors: stream("errors"),
            choices: stream("fronts"),
            patience: stream("patience"),
            seeds: stream("nodes"),
            attempts: Cell::default(),
            probes: Cell::new(0),
            most_used: Cell::default(),
            news: RefCell::default(),
            servers,
            world,
        })
    }

    /// Clients come from now on.
    pub(crate) fn begin(&self) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64);
        self.began.set(Some((Instant::now(), unix)));
    }

    /// The world's clock; it stands at its start until clients come.
    pub(crate) fn now(&self) -> Nanos {
        START + self.began.get().map_or(0, |(began, _)| began.elapsed().as_nanos() as Nanos)
    }

    /// When it will be so long after the start.
    pub(crate) fn instant(&self, at: Nanos) -> Instant {
        self.began.get().map_or(self.made, |(began, _)| began) + Duration::from_nanos(at)
    }

    /// A time of the world's clock in Unix milliseconds, as lists have it.
    pub(crate) fn unix_ms(&self, at: Nanos) -> u64 {
        self.began.get().map_or(0, |(_, unix)| unix + (at - START) / 1_000_000)
    }

    pub(crate) fn number(&self) -> u64 {
        self.numbers.set(self.numbers.get() + 1);
        self.numbers.get()
    }

    pub(crate) fn zone(&self, number: usize) -> usize {
        number % self.world.zones as usize
    }

    pub(crate) fn is_cut(&self, node: usize, server: usize) -> bool {
        let (home, zone) = (self.zone(node), self.zone(server));
        let cut = self.cut.borrow();
        home != zone && (cut[home] > 0 || cut[zone] > 0)
    }

    /// One way between a node and a server, for one message, as in virtual time.
    pub(crate) fn way(&self, node: usize, server: usize) -> Duration {
        let (home, zone) = (self.zone(node), self.zone(server));
        let (farther, lossy) = (self.farther.borrow(), self.lossy.borrow());
        let (mut ms, mut loss) = (self.world.cross_ms / 10.0, self.world.loss);
        if home != zone {
            ms = self.world.cross_ms + farther[home] + farther[zone];
            loss += lossy[home] + lossy[zone];
        }
        let mut links = self.links.borrow_mut();
        if self.world.jitter_ms > 0.0 {
            ms += self.world.jitter_ms * links.unit();
        }
        if loss > 0.0 {
            ms += 200.0 * (0..2).take_while(|_| links.unit() < loss).count() as f64;
        }
        Duration::from_nanos((ms * 1e6) as Nanos)
    }

    pub(crate) fn tell(&self, news: String) {
        self.news.borrow_mut().push(news);
    }

    pub(crate) fn snapshot(&self) -> Snapshot {
        let now = self.now();
        let zone = |zone: usize| {
            let of = (0..self.servers.len()).filter(|server| self.zone(*server) == zone);
            let of = of
                .map(|server| self.servers[server].borrow())
                .filter(|server| server.state == ServerState::Serving);
            let utils: Vec<f64> = of.map(|server| server.utilisation(now)).collect();
            let mean = utils.iter().sum::<f64>() / utils.len().max(1) as f64;
            ZoneSnapshot {
                servers_in_service: utils.len(),
                mean_utilization: mean,
                partitioned: self.cut.borrow()[zone] > 0,
            }
        };
        let oracle = self.oracle.borrow();
        Snapshot {
            seconds: (now - START) as f64 / 1e9,
            outcomes: self.books.borrow().outcome_counts(),
            attempts: self.attempts.get(),
            zones: (0..self.world.zones as usize).map(zone).collect(),
            nodes: self.nodes.iter().filter(|node| node.borrow().at.is_some()).count(),
            rules_broken: oracle.broken.len() + oracle.more,
            fault_events: self.news.take(),
        }
    }

    pub(crate) fn finish(&self, seed: u64) -> Report {
        let mut report = self.books.replace(OutcomeRecorder::new(&self.world)).finish(seed);
        let oracle = self.oracle.take();
        let attempts = self.attempts.get();
        (report.attempts, report.crossed) = (attempts.total, attempts.cross_zone);
        report.probes = self.probes.get();
        (report.most_descriptors, report.most_memory_kb) = self.most_used.get();
        report.chokes = self.servers.iter().map(|server| server.borrow().chokes).sum();
        report.rules_broken = oracle.broken.len() + oracle.more;
        report.broken = oracle.broken;
        report
    }
}

/// The name of a zone, as lists and settings have it.
pub(crate) fn zone_name(zone: usize) -> String {
    format!("z{zone}")
}

pub(crate) fn note(asks: &ClientRequest, number: u64) -> Asked {
    Asked { number, work: asks.work, elsewhere: asks.elsewhere, attempts: 0 }
}
