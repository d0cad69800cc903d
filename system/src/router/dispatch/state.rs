//! The state behind the dispatcher: services with their balancers and servers, open requests, and timers.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use ivyhatch_balancer::{BackendId, Balancer, ClassId, RequestId, Stage};
use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::configuration::Route;
use ivyhatch_protocol::ids::{fnv1a_hash, hash_mix};
use ivyhatch_protocol::settings::{Bounds, Settings};
use ivyhatch_protocol::watch::Server;
use ivyhatch_routing::placement::Placement;
use ivyhatch_routing::route_table::RouteTable;
use tokio::sync::oneshot;

use super::attempt::{Call, Launch, Service, Ticket};
use crate::clock::Clock;
use crate::router::answer::{Head, Reply, Sink};

pub(super) struct Flight {
    pub(super) since: Nanos,
    pub(super) began: Option<Nanos>,
    pub(super) withdraw: Option<oneshot::Sender<()>>,
}

pub(super) struct Open {
    pub(super) service: Service,
    pub(super) id: Rc<str>,
    pub(super) route: Rc<Route>,
    pub(super) call: Rc<Call>,
    pub(super) came: Nanos,
    pub(super) not_after: Nanos,
    pub(super) reply: Option<oneshot::Sender<Reply>>,
    /// The way to the client of a stream that has begun.
    pub(super) sink: Option<Sink>,
    pub(super) last_event: Option<u64>,
    /// The last answer of a server that failed by its own word.
    pub(super) failure: Option<(Head, Bytes)>,
    pub(super) attempts: Vec<Option<Flight>>,
    pub(super) ended: bool,
}

pub(super) struct Known {
    pub(super) endpoint: SocketAddr,
    pub(super) region: u32,
    pub(super) instance: Rc<str>,
    pub(super) server: Server,
    pub(super) stage: Stage,
    pub(super) evacuations: u64,
}

pub(super) struct Balanced {
    pub(super) name: Rc<str>,
    pub(super) balancer: Balancer,
    pub(super) placement: Rc<RefCell<Placement>>,
    pub(super) classes: HashMap<ClassKey, ClassId>,
    pub(super) ids: HashMap<String, BackendId>,
    pub(super) backends: HashMap<BackendId, Known>,
    pub(super) next_backend: u32,
}

/// What makes requests alike to the design.
pub(super) type ClassKey = (u64, u32, u32, bool);

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Due {
    Design(Service, u64),
    Backstop(RequestId),
}

pub(super) struct DispatcherState {
    pub(super) clock: Clock,
    pub(super) zones: BTreeMap<String, String>,
    pub(super) regions: Vec<String>,
    pub(super) home: u32,
    pub(super) bounds: Bounds,
    pub(super) table: RouteTable,
    pub(super) ready: bool,
    pub(super) quorum_reachable: bool,
    /// None as long as it is not known.
    pub(super) routers: Option<u32>,
    pub(super) place: u32,
    pub(super) names: HashMap<Rc<str>, Service>,
    pub(super) services: BTreeMap<Service, Balanced>,
    pub(super) requests: HashMap<RequestId, Open>,
    pub(super) open_ids: HashSet<Rc<str>>,
    pub(super) next_request: u64,
    pub(super) random: u64,
    pub(super) timers: BTreeSet<(Nanos, Due)>,
}

/// Work that an event has left for the network.
#[derive(Default)]
pub(super) struct Outputs {
    pub(super) launches: Vec<Launch>,
    pub(super) retired: Vec<(Service, BackendId)>,
    pub(super) not_sent: Vec<Ticket>,
    pub(super) rearm: bool,
}

impl DispatcherState {
    /// One that knows no route and no server yet.
    pub(super) fn new(settings: &Settings, clock: Clock) -> Self {
        let regions: BTreeSet<String> =
            settings.zones.values().cloned().chain([settings.region.clone()]).collect();
        let regions: Vec<String> = regions.into_iter().collect();
        let home = regions.iter().position(|region| *region == settings.region).unwrap_or(0) as u32;
        let seed = fnv1a_hash(settings.node_name.as_bytes()) ^ u64::from(settings.ip.to_bits());
        Self {
            clock,
            zones: settings.zones.clone(),
            regions,
            home,
            bounds: settings.bounds,
            table: RouteTable::default(),
            ready: false,
            quorum_reachable: true,
            routers: None,
            place: 0,
            names: HashMap::new(),
            services: BTreeMap::new(),
            requests: HashMap::new(),
            open_ids: HashSet::new(),
            next_request: 0,
            random: seed,
            timers: BTreeSet::new(),
        }
    }

    pub(super) fn draw(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (hash_mix(self.random) >> 11) as f64 / (1_u64 << 53) as f64
    }
}
