//! The dispatcher's state: services, requests in progress, and timers.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;

use ivyhatch_balancer::RequestId;
use ivyhatch_protocol::hash::{fnv1a_hash, hash_mix};
use ivyhatch_protocol::settings::{Bounds, Settings};
use ivyhatch_protocol::{MILLISECOND, Nanos};
use ivyhatch_routing::route_table::RouteTable;
use ivyhatch_routing::router_share::RouterShare;

use super::pending_request::PendingRequest;
use super::service::Service;
use crate::clock::Clock;
use crate::regions::Regions;
use crate::router::attempt::{AttemptId, AttemptSpec, ServerKey, ServiceId};

/// Servers are treated as warming up for this much longer than the server list says, as the list is delayed when it is read and sent.
pub const WARM_UP_MARGIN: Nanos = 1500 * MILLISECOND;
/// The increment of the SplitMix64 generator (Steele, Lea and Flood, 2014).
const SPLIT_MIX_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// The event that a timer triggers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerEvent {
    /// A timer that a service's balancer has set, with the token that the balancer chose.
    Balancer(ServiceId, u64),
    /// A request's deadline has passed.
    RequestTimeout(RequestId),
}

/// The dispatcher's state. Changed only by its own methods, one call at a time.
pub struct DispatcherState {
    pub(super) clock: Clock,
    pub(super) started_at: Nanos,
    pub(super) regions: Regions,
    pub(super) bounds: Bounds,
    pub(super) route_table: RouteTable,
    pub(super) is_ready: bool,
    /// Whether the watched control nodes reach a quorum.
    pub(super) is_quorum_reachable: bool,
    /// The number of routers and this router's index; `None` until a control node has reported them.
    pub(super) router_share: Option<RouterShare>,
    pub(super) service_ids: HashMap<Rc<str>, ServiceId>,
    pub(super) services: BTreeMap<ServiceId, Service>,
    pub(super) requests: HashMap<RequestId, PendingRequest>,
    /// The request IDs, chosen by clients, of all requests in progress.
    pub(super) ids_in_progress: HashSet<Rc<str>>,
    next_request: u64,
    pub(super) random_state: u64,
    pub(super) timers: BTreeSet<(Nanos, TimerEvent)>,
}

/// Outputs of a call on the state, to be executed after the call when the state is no longer borrowed.
#[derive(Default)]
pub struct Outputs {
    /// Attempts to start.
    pub attempts: Vec<AttemptSpec>,
    /// Servers whose idle connections are to be closed.
    pub drained_servers: Vec<ServerKey>,
    /// Attempts that can't be sent, as their server is no longer in the server list.
    pub unsendable_attempts: Vec<AttemptId>,
    /// Whether a timer was set that is due before all other timers.
    pub has_earlier_timer: bool,
}

impl DispatcherState {
    /// Creates a state without routes and servers.
    pub(super) fn new(settings: &Settings, clock: Clock) -> Self {
        let seed = fnv1a_hash(settings.node_name.as_bytes()) ^ u64::from(settings.ip.to_bits());
        Self {
            clock,
            started_at: clock.now(),
            regions: Regions::new(settings),
            bounds: settings.bounds,
            route_table: RouteTable::default(),
            is_ready: false,
            is_quorum_reachable: true,
            router_share: None,
            service_ids: HashMap::new(),
            services: BTreeMap::new(),
            requests: HashMap::new(),
            ids_in_progress: HashSet::new(),
            next_request: 0,
            random_state: seed,
            timers: BTreeSet::new(),
        }
    }

    pub(super) fn next_request_id(&mut self) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        id
    }

    /// Draws the next pseudorandom number in [0, 1).
    pub(super) fn draw(&mut self) -> f64 {
        self.random_state = self.random_state.wrapping_add(SPLIT_MIX_INCREMENT);
        unit_interval(hash_mix(self.random_state))
    }
}

/// Maps a hash to [0, 1), using its upper 53 bits, as many as the mantissa of an `f64` holds.
pub fn unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
