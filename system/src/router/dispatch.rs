//! Between the sockets and the design: the sole owner of the balancers, one a service, of ids, timers and the table of requests.
//! Events go in, actions come out; what an action asks of the network is left to the upstream. Nothing is decided here, and no
//! borrow outlives one of its calls.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use badgerpost::seats::{Seats, Times};
use brookfield::{
    Action, Arrival, BackendId, Balancer, ClassId, ClassSettings, Discovery, Effect, Event, ListScope,
    Member, Outcome, Report, Reports, RequestId, Settlement, Stage, ZoneId,
};
use bytes::Bytes;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, StatusCode};
use ivyhatch_protocol::configuration::{Change, Limits, Route, RouteKind};
use ivyhatch_protocol::feed::Server;
use ivyhatch_protocol::ids::{hash, mix};
use ivyhatch_protocol::settings::{Bounds, Settings};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};
use ivyhatch_routing::engine::Load;
use ivyhatch_routing::placement::{Cold, Placement, Regions, Shared};
use ivyhatch_routing::prompt::Prompt;
use ivyhatch_routing::table::{Table, target};
use tokio::sync::{Notify, oneshot};

use super::answer::{Head, Reply, Sink};
use super::upstream::Upstream;
use crate::clock::Clock;

/// How long past a request's end the design is waited for before the request is answered all the same.
const BACKSTOP: Nanos = 15 * MILLISECOND;
/// Part of its aim for which a request that was never sent is held: a refusal has to come within a quarter.
const HELD_PART: f64 = 0.2;
/// Longest pause that a refused client is asked for, and the shortest.
const PAUSE: Nanos = 400 * MILLISECOND;
const LEAST_PAUSE: Nanos = 60 * MILLISECOND;
/// Beyond the time for which the list calls a server cold: the list's own lag and its way here.
const COLD_MORE: Nanos = 1500 * MILLISECOND;
/// Share of a late answer's worth; what it is exactly is not told.
const LATE_SHARE: f64 = 0.5;
/// A stream that has broken off goes on within the pause that its route allows, or this where it names none.
const GAP: f64 = 500.0;
/// With more routers a region than this the design would take each for one that sees next to nothing; servers tell their load.
const MOST_ROUTERS_A_REGION: u32 = 8;

/// Part of a route's aims after which a silent server is looked at, and the least, in milliseconds.
const QUIET_PART: f64 = 0.4;
const LEAST_QUIET_MS: f64 = 100.0;
/// Part of the slack for repeats that the routers share out; the rest is for routers that are not known of yet.
const SAVED_PART: f64 = 0.8;
/// As long as their number is not known.
const USUAL_ROUTERS_A_REGION: u32 = 4;

/// A service's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Service(u32);

/// A client's request in the form in which it is passed on.
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: Option<PathAndQuery>,
    /// The headers that go on unchanged.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// A request that has come whole.
pub struct Asked {
    /// Its id.
    pub id: Rc<str>,
    /// When its client gives it up, or its route does.
    pub not_after: Nanos,
    /// Its route.
    pub route: Rc<Route>,
    /// What it says of its prompt.
    pub prompt: Prompt,
    /// The last event that its client has.
    pub last_event: Option<u64>,
    /// What is passed on.
    pub call: Call,
}

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The service.
    pub service: Service,
    /// The server.
    pub backend: BackendId,
    request: RequestId,
    attempt: u32,
}

/// An attempt to be made.
pub struct Launch {
    /// Which one; goes back with its outcome.
    pub ticket: Ticket,
    /// The request's id.
    pub id: Rc<str>,
    /// Where the server listens.
    pub endpoint: SocketAddr,
    /// Its region's number.
    pub region: u32,
    /// Its incarnation.
    pub instance: Rc<str>,
    /// What to send.
    pub call: Rc<Call>,
    /// Whether its answer may be a stream.
    pub streams: bool,
    /// Whether it may go on at another server, and so need not wait for one that has fallen silent.
    pub movable: bool,
    /// A first byte, and each next one, come within these as a rule.
    pub quiet: (Duration, Duration),
    /// The event behind which the stream goes on.
    pub last_event: Option<u64>,
    /// When to stop waiting.
    pub give_up: Nanos,
    /// When the client stops waiting.
    pub not_after: Nanos,
    /// Resolves once the attempt has been withdrawn.
    pub withdrawn: oneshot::Receiver<()>,
}

/// How an attempt ended.
pub struct Ending {
    /// What happened.
    pub outcome: Outcome,
    /// What the server said of its load.
    pub load: Option<Load>,
    /// A whole answer.
    pub answer: Option<(Head, Bytes)>,
}

impl Ending {
    /// An end with nothing received.
    pub fn bare(outcome: Outcome) -> Self {
        Self { outcome, load: None, answer: None }
    }
}

struct Flight {
    since: Nanos,
    began: Option<Nanos>,
    withdraw: Option<oneshot::Sender<()>>,
}

struct Open {
    service: Service,
    id: Rc<str>,
    route: Rc<Route>,
    call: Rc<Call>,
    came: Nanos,
    not_after: Nanos,
    reply: Option<oneshot::Sender<Reply>>,
    /// The way to the client of a stream that has begun.
    sink: Option<Sink>,
    last_event: Option<u64>,
    /// The last answer of a server that failed by its own word.
    failure: Option<(Head, Bytes)>,
    attempts: Vec<Option<Flight>>,
    ended: bool,
}

struct Known {
    endpoint: SocketAddr,
    region: u32,
    instance: Rc<str>,
    server: Server,
    stage: Stage,
    evacuations: u64,
}

struct Balanced {
    name: Rc<str>,
    balancer: Balancer,
    placement: Rc<RefCell<Placement>>,
    classes: HashMap<ClassKey, ClassId>,
    ids: HashMap<String, BackendId>,
    backends: HashMap<BackendId, Known>,
    next_backend: u32,
}

/// What makes requests alike to the design.
type ClassKey = (u64, u32, u32, bool);

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Design(Service, u64),
    Backstop(RequestId),
}

struct Inner {
    clock: Clock,
    zones: BTreeMap<String, String>,
    regions: Vec<String>,
    home: u32,
    bounds: Bounds,
    table: Table,
    ready: bool,
    touch: bool,
    /// None as long as it is not known.
    routers: Option<u32>,
    place: u32,
    names: HashMap<Rc<str>, Service>,
    services: BTreeMap<Service, Balanced>,
    requests: HashMap<RequestId, Open>,
    open_ids: HashSet<Rc<str>>,
    next_request: u64,
    random: u64,
    timers: BTreeSet<(Nanos, Due)>,
}

/// Work that an event has left for the network.
#[derive(Default)]
struct Errands {
    launches: Vec<Launch>,
    retired: Vec<(Service, BackendId)>,
    moot: Vec<Ticket>,
    rearm: bool,
}

/// A handle on the dispatcher. Cheap to clone.
#[derive(Clone)]
pub struct Dispatcher {
    inner: Rc<RefCell<Inner>>,
    upstream: Rc<Upstream>,
    seats: Rc<Seats>,
    timer: Rc<Notify>,
    readied: Rc<Notify>,
    clock: Clock,
}

/// A request that is owed its answer. Dropping it means that its client has gone.
pub struct Waiting {
    dispatcher: Dispatcher,
    request: RequestId,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let request = self.request;
        self.dispatcher.tell(|inner, errands| inner.client_gone(request, errands));
    }
}

impl Dispatcher {
    /// One that knows no route and no server yet.
    pub fn new(settings: &Settings, clock: Clock, upstream: Rc<Upstream>, seats: Rc<Seats>) -> Self {
        let regions: BTreeSet<String> =
            settings.zones.values().cloned().chain([settings.region.clone()]).collect();
        let regions: Vec<String> = regions.into_iter().collect();
        let home = regions.iter().position(|region| *region == settings.region).unwrap_or(0) as u32;
        let seed = hash(settings.node_name.as_bytes()) ^ u64::from(settings.ip.to_bits());
        let inner = Inner {
            clock,
            zones: settings.zones.clone(),
            regions,
            home,
            bounds: settings.bounds,
            table: Table::default(),
            ready: false,
            touch: true,
            routers: None,
            place: 0,
            names: HashMap::new(),
            services: BTreeMap::new(),
            requests: HashMap::new(),
            open_ids: HashSet::new(),
            next_request: 0,
            random: seed,
            timers: BTreeSet::new(),
        };
        let inner = Rc::new(RefCell::new(inner));
        Self { inner, upstream, seats, timer: Rc::default(), readied: Rc::default(), clock }
    }

    /// The present.
    pub fn now(&self) -> Nanos {
        self.clock.now()
    }

    /// Whether a configuration and a list of servers are known.
    pub fn is_ready(&self) -> bool {
        self.inner.borrow().ready
    }

    /// From now on requests are taken. Whether they were not before.
    pub fn become_ready(&self) -> bool {
        let first = !std::mem::replace(&mut self.inner.borrow_mut().ready, true);
        if first {
            self.readied.notify_waiters();
        }
        first
    }

    /// Waits until requests are taken, for so long at most. Whether they are.
    pub async fn readied(&self, within: Duration) -> bool {
        if !self.is_ready() {
            let _ = tokio::time::timeout(within, self.readied.notified()).await;
        }
        self.is_ready()
    }

    /// Requests that are owed an answer, or whose stream is under way.
    pub fn open(&self) -> usize {
        self.inner.borrow().requests.values().filter(|open| !open.ended).count()
    }

    /// The route of a request.
    pub fn route(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        self.inner.borrow().table.find(host, path).cloned()
    }

    /// What clients may send.
    pub fn limits(&self) -> Limits {
        self.inner.borrow().table.limits()
    }

    /// Takes a change of the configuration in.
    pub fn configure(&self, change: &Change) {
        let unreadable = self.inner.borrow_mut().configure(change);
        for error in unreadable {
            log::error!("event=unreadable_item error={:?}", error.to_string());
        }
        let limits = self.limits();
        let time = |ms: f64| Duration::from_millis(ms.clamp(100.0, 600_000.0) as u64);
        self.seats
            .set_times(Times { whole: time(limits.header_timeout_ms), idle: time(limits.idle_timeout_ms) });
    }

    /// Takes the list of servers in; `evacuation` tells whether a zone is evacuated, and how often that has changed.
    pub fn servers(&self, servers: Vec<Server>, evacuation: impl Fn(&str) -> (bool, u64)) {
        self.tell(|inner, errands| inner.servers(servers, evacuation, errands));
    }

    /// Whether the router can know what is ordered now. The list of servers is to be taken in anew.
    pub fn set_touch(&self, touch: bool) {
        self.inner.borrow_mut().touch = touch;
    }

    /// So many routers share the servers, and this is one's place among them.
    pub fn set_routers(&self, routers: u32, place: u32) {
        self.inner.borrow_mut().set_routers(routers, place);
    }

    /// Takes a request. None where an open one has its id: passed on, it would count as another attempt of that one.
    pub fn submit(&self, asked: Asked) -> Option<(Waiting, oneshot::Receiver<Reply>)> {
        let (reply, answer) = oneshot::channel();
        let request = self.tell(|inner, errands| inner.submit(asked, reply, errands))?;
        Some((Waiting { dispatcher: self.clone(), request }, answer))
    }

    /// Whether an attempt may still be written: a connect can outlast its request, or the server's place on the list.
    pub fn may_write(&self, ticket: Ticket) -> bool {
        let inner = self.inner.borrow();
        let now = inner.clock.now();
        let live =
            inner.requests.get(&ticket.request).is_some_and(|open| !open.ended && now < open.not_after);
        let known =
            inner.services.get(&ticket.service).and_then(|service| service.backends.get(&ticket.backend));
        live && known.is_some_and(|known| known.stage == Stage::InService)
    }

    /// A stream has begun to come. Returns the way to its client; none where that has gone.
    pub fn begun(&self, ticket: Ticket, head: Head, load: Option<Load>) -> Option<Sink> {
        self.tell(|inner, errands| inner.begun(ticket, head, load, errands))
    }

    /// Events have been passed on.
    pub fn passed(&self, ticket: Ticket, last: Option<u64>) {
        let mut inner = self.inner.borrow_mut();
        if let (Some(open), Some(last)) = (inner.requests.get_mut(&ticket.request), last) {
            open.last_event = Some(last);
        }
    }

    /// Takes the end of an attempt.
    pub fn settled(&self, ticket: Ticket, ending: Ending) {
        self.tell(|inner, errands| inner.settled(ticket, ending, errands));
    }

    /// Runs the timers; never ends.
    pub async fn run_timers(&self) {
        loop {
            let next = self.inner.borrow().timers.first().map(|(at, _)| *at);
            match next {
                None => self.timer.notified().await,
                Some(at) => {
                    tokio::select! {
                        () = tokio::time::sleep_until(self.clock.instant(at)) => {}
                        () = self.timer.notified() => {}
                    }
                }
            }
            self.tell(|inner, errands| inner.fire(errands));
        }
    }

    /// One call inside; what it leaves to do is done once the borrow has ended.
    fn tell<T>(&self, call: impl FnOnce(&mut Inner, &mut Errands) -> T) -> T {
        let mut errands = Errands::default();
        let result = call(&mut self.inner.borrow_mut(), &mut errands);
        errands.retired.into_iter().for_each(|(service, backend)| self.upstream.retire(service, backend));
        errands.launches.into_iter().for_each(|launch| self.upstream.launch(self, launch));
        for ticket in errands.moot {
            self.settled(ticket, Ending::bare(Outcome::Moot));
        }
        if errands.rearm {
            self.timer.notify_one();
        }
        result
    }
}

/// How long a server may be silent, before its answer and within it, until it is looked whether it is there at all.
fn quiet(route: &Route) -> (Duration, Duration) {
    let part = |ms: f64, least: f64| Duration::from_secs_f64((ms * QUIET_PART).max(least) / 1000.0);
    (part(route.target_ms, LEAST_QUIET_MS), part(route.gap_aim_ms, LEAST_QUIET_MS))
}

impl Inner {
    fn draw(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (mix(self.random) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn region(&self, zone: &str) -> u32 {
        let region = self.zones.get(zone).map_or(zone, String::as_str);
        let at = self.regions.iter().position(|known| known == region);
        // One that the settings do not name is nobody's home.
        at.unwrap_or(self.regions.len()) as u32
    }

    /// Regions in which a route's requests may be served.
    fn homes(&self, route: &Route) -> Regions {
        if route.home_regions.is_empty() {
            return Regions::MAX;
        }
        let bit = |region: &String| {
            let at = self.regions.iter().position(|known| known == region);
            at.filter(|at| *at < 64).map_or(0, |at| 1 << at)
        };
        route.home_regions.iter().map(bit).fold(0, |all: Regions, bit: Regions| all | bit)
    }

    fn configure(&mut self, change: &Change) -> Vec<ivyhatch_routing::table::UnreadableItem> {
        let unreadable = self.table.apply(change);
        let services: Vec<(Rc<str>, bool, Cold)> = self
            .table
            .services()
            .map(|service| {
                let bound = service.cold_per_s * self.bounds.cold_excess + self.bounds.cold_slack;
                let per_s = if service.cold_per_s > 0.0 { bound } else { 0.0 };
                let span = (service.cold_s * SECOND as f64) as Nanos + COLD_MORE;
                (Rc::from(service.name.as_str()), service.engine.is_some(), Cold { per_s, span })
            })
            .collect();
        for (name, is_model, cold) in services {
            let id = self.service(&name);
            if let Some(service) = self.services.get(&id) {
                service.placement.borrow_mut().configure(is_model, cold);
            }
        }
        unreadable
    }

    fn nodes(&self) -> u32 {
        let regions = self.regions.len().max(1) as u32;
        self.routers.unwrap_or(USUAL_ROUTERS_A_REGION * regions).clamp(1, MOST_ROUTERS_A_REGION * regions)
    }

    fn set_routers(&mut self, routers: u32, place: u32) {
        self.routers = Some(routers.max(1));
        self.place = place;
        let nodes = self.nodes();
        let saved = self.bounds.budget_slack * SAVED_PART / f64::from(routers.max(1));
        for service in self.services.values_mut() {
            service.balancer.set_nodes(nodes);
            service.balancer.set_retries_saved(saved);
            service.placement.borrow_mut().set_routers(routers, place);
        }
    }

    /// A service's number; a new one gets a balancer.
    fn service(&mut self, name: &str) -> Service {
        if let Some(id) = self.names.get(name) {
            return *id;
        }
        let (id, name) = (Service(self.names.len() as u32), Rc::<str>::from(name));
        let regions = self.regions.len() as u32;
        let mut settings = brookfield::Settings::new(ZoneId(self.home), regions);
        settings.nodes = self.nodes();
        settings.classes = vec![ClassSettings { late_share: LATE_SHARE, ..ClassSettings::default() }];
        settings.discovery = Discovery::Pushed;
        settings.reports = Reports::Piggyback;
        settings.repeats_marked = true;
        settings.limits.second_copies = false;
        settings.limits.retry_after = PAUSE;
        settings.rules.start_capacity = 1.0;
        settings.rules.warm_after = 1;
        let seed = self.random ^ hash(name.as_bytes());
        let now = self.clock.now();
        // The settings are the program's own: they are sound.
        let Ok(mut balancer) = Balancer::new(settings, seed, now) else { return id };
        balancer.handle(now, Event::Start, &mut Vec::new());
        let placement = Rc::new(RefCell::new(Placement::new(self.home, regions)));
        if let Some(routers) = self.routers {
            placement.borrow_mut().set_routers(routers, self.place);
        }
        balancer.advise(Box::new(Shared(placement.clone())));
        self.names.insert(name.clone(), id);
        let balanced = Balanced {
            name,
            balancer,
            placement,
            classes: HashMap::new(),
            ids: HashMap::new(),
            backends: HashMap::new(),
            next_backend: 0,
        };
        self.services.insert(id, balanced);
        id
    }

    fn servers(
        &mut self,
        servers: Vec<Server>,
        evacuation: impl Fn(&str) -> (bool, u64),
        errands: &mut Errands,
    ) {
        let (now, touch) = (self.clock.now(), self.touch);
        let mut by_service: BTreeMap<Service, Vec<(Server, u32)>> =
            self.services.keys().map(|service| (*service, Vec::new())).collect();
        for server in servers {
            let (service, region) = (self.service(&server.service), self.region(&server.zone));
            by_service.entry(service).or_default().push((server, region));
        }
        for (id, servers) in by_service {
            let Some(service) = self.services.get_mut(&id) else { continue };
            let (members, retired) = service.list(now, servers, touch, &evacuation);
            errands.retired.extend(retired.into_iter().map(|backend| (id, backend)));
            if !members.is_empty() {
                self.hear(id, Event::Fleet { scope: ListScope::Changes, members }, errands);
            }
        }
    }

    fn hear(&mut self, service: Service, event: Event, errands: &mut Errands) {
        let mut actions = Vec::new();
        let now = self.clock.now();
        if let Some(balanced) = self.services.get_mut(&service) {
            balanced.balancer.handle(now, event, &mut actions);
        }
        for action in actions {
            self.act(service, action, errands);
        }
    }

    fn act(&mut self, service: Service, action: Action, errands: &mut Errands) {
        match action {
            Action::Send { request, backend, .. } => self.send(service, request, backend, errands),
            Action::Refuse { request, pause } => self.refuse(request, pause),
            Action::Fail { request } => self.fail(request),
            Action::Cancel { request, attempt } => {
                let open = self.requests.get_mut(&request);
                let flight = open.and_then(|open| open.attempts.get_mut(attempt as usize));
                let withdraw = flight.and_then(Option::as_mut).and_then(|flight| flight.withdraw.take());
                // An attempt that ended meanwhile no longer listens: its own outcome is on the way.
                let _ = withdraw.map(|withdraw| withdraw.send(()));
            }
            Action::Timer { after, token } => {
                self.set_timer(self.clock.now() + after, Due::Design(service, token), errands);
            }
            Action::Log(text) => {
                let name = self.services.get(&service).map_or("", |service| &service.name);
                log::info!("event=design service={name} says={text:?}");
            }
            // Nothing is asked of servers beside requests, and the list comes unasked.
            Action::Probe { .. } | Action::Watch | Action::Fetch => {}
        }
    }

    fn set_timer(&mut self, at: Nanos, due: Due, errands: &mut Errands) {
        errands.rearm |= self.timers.first().is_none_or(|(first, _)| at < *first);
        self.timers.insert((at, due));
    }

    fn fire(&mut self, errands: &mut Errands) {
        let now = self.clock.now();
        while let Some((_, due)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.pop_first();
            match due {
                Due::Design(service, token) => self.hear(service, Event::Timer { token }, errands),
                Due::Backstop(request) => self.backstop(request, errands),
            }
        }
    }

    /// Past its time a request is answered, come what may.
    fn backstop(&mut self, request: RequestId, errands: &mut Errands) {
        let Some(open) = self.requests.get(&request).filter(|open| !open.ended) else { return };
        let (service, sent) = (open.service, open.attempts.iter().any(Option::is_some));
        let text = if sent { "the server did not answer in time" } else { "no server in time" };
        self.finish(request, Reply::Failed(StatusCode::GATEWAY_TIMEOUT, text));
        self.hear(service, Event::ClientGone { request }, errands);
        self.forget_if_done(request);
    }

    fn class(&mut self, service: Service, route: &Route) -> Option<ClassId> {
        let aim = (route.target_ms.max(1.0) * MILLISECOND as f64) as Nanos;
        let key = (aim, route.priority, route.max_tries, route.is_repeatable());
        let balanced = self.services.get_mut(&service)?;
        if let Some(class) = balanced.classes.get(&key) {
            return Some(*class);
        }
        let class = balanced.balancer.add_class(ClassSettings {
            aim,
            deadline: (route.timeout_ms.max(1.0) * MILLISECOND as f64) as Nanos,
            // The more urgent, the more it is worth; by how much is not told.
            worth: 4.0 / f64::from(1 + route.priority.min(9)),
            late_share: LATE_SHARE,
            effect: if route.is_repeatable() { Effect::Repeatable } else { Effect::Once },
            attempts: Some(route.max_tries.max(1)),
            patience: Some((aim as f64 * HELD_PART) as Nanos),
            again_late: true,
        });
        balanced.classes.insert(key, class);
        Some(class)
    }

    fn submit(
        &mut self,
        asked: Asked,
        reply: oneshot::Sender<Reply>,
        errands: &mut Errands,
    ) -> Option<RequestId> {
        if !self.open_ids.insert(asked.id.clone()) {
            return None;
        }
        let draw = match asked.prompt.shared().filter(|_| asked.route.sticky) {
            // What servers keep of a session is of use only where the next request of it goes as well.
            Some(shared) => {
                (mix(shared ^ hash(asked.route.name.as_bytes())) >> 11) as f64 / (1_u64 << 53) as f64
            }
            None => self.draw(),
        };
        let service = target(&asked.route, draw).unwrap_or_default().to_owned();
        let service = self.service(&service);
        let class = self.class(service, &asked.route).unwrap_or_default();
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let homes = self.homes(&asked.route);
        let aim = (asked.route.target_ms.max(1.0) * MILLISECOND as f64) as Nanos;
        if let Some(balanced) = self.services.get(&service) {
            balanced.placement.borrow_mut().asked(request, homes, asked.prompt, aim);
        }
        let open = Open {
            service,
            id: asked.id,
            route: asked.route,
            call: Rc::new(asked.call),
            came: self.clock.now(),
            not_after: asked.not_after,
            reply: Some(reply),
            sink: None,
            last_event: asked.last_event,
            failure: None,
            attempts: Vec::new(),
            ended: false,
        };
        let not_after = open.not_after;
        self.requests.insert(request, open);
        self.set_timer(not_after + BACKSTOP, Due::Backstop(request), errands);
        let arrival = Arrival { request, class, hint: None, repeat: false, tenant: None, not_after };
        self.hear(service, Event::Request(arrival), errands);
        Some(request)
    }

    fn send(&mut self, service: Service, request: RequestId, backend: BackendId, errands: &mut Errands) {
        let now = self.clock.now();
        let (Some(open), Some(balanced)) = (self.requests.get_mut(&request), self.services.get_mut(&service))
        else {
            return;
        };
        let ticket = Ticket { service, backend, request, attempt: open.attempts.len() as u32 };
        let (withdraw, withdrawn) = oneshot::channel();
        open.attempts.push(Some(Flight { since: now, began: None, withdraw: Some(withdraw) }));
        let Some(known) = balanced.backends.get(&backend) else {
            errands.moot.push(ticket);
            return;
        };
        errands.launches.push(Launch {
            ticket,
            id: open.id.clone(),
            endpoint: known.endpoint,
            region: known.region,
            instance: known.instance.clone(),
            call: open.call.clone(),
            streams: open.route.route_kind == RouteKind::Streaming,
            movable: open.route.is_repeatable(),
            quiet: quiet(&open.route),
            last_event: open.last_event,
            give_up: open.not_after,
            not_after: open.not_after,
            withdrawn,
        });
    }

    fn begun(
        &mut self,
        ticket: Ticket,
        head: Head,
        load: Option<Load>,
        errands: &mut Errands,
    ) -> Option<Sink> {
        let now = self.clock.now();
        let open = self.requests.get_mut(&ticket.request).filter(|open| !open.ended)?;
        let flight = open.attempts.get_mut(ticket.attempt as usize).and_then(Option::as_mut)?;
        let took = now.saturating_sub(flight.since);
        flight.began = Some(took);
        let sink = match &open.sink {
            // It goes on: the client has its head.
            Some(sink) => sink.clone(),
            None => {
                let (sink, pieces) = Sink::new();
                open.sink = Some(sink.clone());
                let reply = open.reply.take()?;
                // A client that has gone is seen by its own end.
                let _ = reply.send(Reply::Stream(head, pieces));
                sink
            }
        };
        let aim = (open.route.target_ms * MILLISECOND as f64) as Nanos;
        if aim > 0 && now > open.came + aim {
            let (route, sent) = (open.route.name.clone(), open.attempts.len());
            let ms = |span: Nanos| span / MILLISECOND;
            let expected = self
                .services
                .get(&ticket.service)
                .and_then(|balanced| balanced.placement.borrow().explain(ticket.request));
            log::info!(
                "event=late route={route} first_ms={} at_server_ms={} attempts={sent} {} load={load:?}",
                ms(now - open.came),
                ms(took),
                expected.unwrap_or_default(),
            );
        }
        self.told(ticket, load, Some(took), errands);
        self.hear(ticket.service, Event::Started { request: ticket.request }, errands);
        Some(sink)
    }

    /// A server's figures, by an answer that has begun to come or has come whole.
    fn told(&mut self, ticket: Ticket, load: Option<Load>, took: Option<Nanos>, errands: &mut Errands) {
        let now = self.clock.now();
        let Some(balanced) = self.services.get(&ticket.service) else { return };
        let mut placement = balanced.placement.borrow_mut();
        if let Some(load) = load {
            placement.told(now, ticket.backend, load);
        }
        if let Some(took) = took {
            placement.begun(now, ticket.request, took);
        }
        let util = placement.utilisation(ticket.backend).or_else(|| load.map(|load| load.share()));
        drop(placement);
        let (backend, outcome, elapsed) = (ticket.backend, Outcome::Served, took.unwrap_or(0));
        let in_flight = load.map(|load| load.running + load.waiting);
        let report = Report { util, rate: None, in_flight };
        if util.is_some() {
            self.hear(ticket.service, Event::Probed { backend, outcome, elapsed, report }, errands);
        }
    }

    fn settled(&mut self, ticket: Ticket, ending: Ending, errands: &mut Errands) {
        let now = self.clock.now();
        let Some(open) = self.requests.get_mut(&ticket.request) else { return };
        let Some(flight) = open.attempts.get_mut(ticket.attempt as usize).and_then(Option::take) else {
            return;
        };
        let Ending { mut outcome, load, answer } = ending;
        let streamed = open.sink.is_some();
        // The rest of a stream is a stream: whatever else answers its continuation does not end it.
        if streamed && answer.is_some() && outcome == Outcome::Served {
            outcome = Outcome::Spoilt;
        }
        let served = outcome == Outcome::Served;
        let took = flight.began.unwrap_or_else(|| now.saturating_sub(flight.since));
        let whole = answer.is_some() && !streamed;
        if served
            && !streamed
            && let Some((head, body)) = answer
        {
            if let Some(reply) = open.reply.take() {
                let _ = reply.send(Reply::Whole(head, body));
            }
        } else if let Some(answer) = answer.filter(|_| !streamed) {
            open.failure = Some(answer);
        }
        // A stream ends with its last attempt; a broken one goes on elsewhere, where it may.
        let goes_on =
            streamed && !served && !open.ended && open.route.is_repeatable() && now < open.not_after;
        let ended = open.ended || served || (streamed && !goes_on);
        if ended && !open.ended {
            open.ended = true;
            if let Some(sink) = open.sink.take().filter(|_| served) {
                sink.complete();
            }
        }
        let gap = if open.route.gap_aim_ms > 0.0 { open.route.gap_aim_ms } else { GAP };
        if let Some(balanced) = self.services.get(&ticket.service) {
            let mut placement = balanced.placement.borrow_mut();
            if whole {
                placement.begun(now, ticket.request, took);
            }
            match outcome {
                Outcome::ConnectFailed => placement.unreached(now, ticket.backend),
                Outcome::Served | Outcome::Full | Outcome::Error => placement.reached(ticket.backend),
                _ => {}
            }
            placement.settled(ticket.request);
        }
        if whole {
            self.told(ticket, load, None, errands);
        }
        if goes_on {
            let aim_end = now + (gap * MILLISECOND as f64) as Nanos;
            self.hear(ticket.service, Event::Broken { request: ticket.request, aim_end }, errands);
        }
        let settlement = Settlement {
            request: ticket.request,
            attempt: ticket.attempt,
            outcome,
            elapsed: took,
            ended,
            report: Report::default(),
        };
        self.hear(ticket.service, Event::Settled(settlement), errands);
        self.forget_if_done(ticket.request);
    }

    fn refuse(&mut self, request: RequestId, pause: Nanos) {
        let failure = self.requests.get_mut(&request).and_then(|open| open.failure.take());
        let reply = match failure {
            // A server has answered, if only that it failed.
            Some((head, body)) => Reply::Whole(head, body),
            None => Reply::Refused(pause.max(LEAST_PAUSE)),
        };
        self.finish(request, reply);
    }

    fn fail(&mut self, request: RequestId) {
        let failure = self.requests.get_mut(&request).and_then(|open| open.failure.take());
        let reply = match failure {
            Some((head, body)) => Reply::Whole(head, body),
            None => {
                Reply::Failed(StatusCode::BAD_GATEWAY, "the server's answer did not come; it may have run")
            }
        };
        self.finish(request, reply);
    }

    /// The one place that ends requests that no server has served.
    fn finish(&mut self, request: RequestId, reply: Reply) {
        let Some(open) = self.requests.get_mut(&request).filter(|open| !open.ended) else { return };
        open.ended = true;
        if let Some(waits) = open.reply.take() {
            let _ = waits.send(reply);
        }
        open.sink = None;
        for flight in open.attempts.iter_mut().flatten() {
            let _ = flight.withdraw.take().map(|withdraw| withdraw.send(()));
        }
        self.forget_if_done(request);
    }

    fn client_gone(&mut self, request: RequestId, errands: &mut Errands) {
        let Some(open) = self.requests.get_mut(&request) else { return };
        if open.ended {
            return;
        }
        open.ended = true;
        (open.reply, open.sink) = (None, None);
        for flight in open.attempts.iter_mut().flatten() {
            let _ = flight.withdraw.take().map(|withdraw| withdraw.send(()));
        }
        let service = open.service;
        self.hear(service, Event::ClientGone { request }, errands);
        self.forget_if_done(request);
    }

    /// Forgets a request that has ended once its last attempt has.
    fn forget_if_done(&mut self, request: RequestId) {
        let done = |open: &Open| open.ended && open.attempts.iter().all(Option::is_none);
        if !self.requests.get(&request).is_some_and(done) {
            return;
        }
        let Some(open) = self.requests.remove(&request) else { return };
        self.open_ids.remove(&open.id);
        self.timers.remove(&(open.not_after + BACKSTOP, Due::Backstop(request)));
        if let Some(balanced) = self.services.get(&open.service) {
            balanced.placement.borrow_mut().ended(request);
        }
    }
}

impl Balanced {
    /// Takes the list of this service's servers in. Returns what has changed, and whose idle connections are of no more use.
    fn list(
        &mut self,
        now: Nanos,
        servers: Vec<(Server, u32)>,
        touch: bool,
        evacuation: &impl Fn(&str) -> (bool, u64),
    ) -> (Vec<Member>, Vec<BackendId>) {
        let (mut members, mut retired, mut there) = (Vec::new(), Vec::new(), HashSet::new());
        let mut placement = self.placement.borrow_mut();
        for (server, region) in servers {
            let Ok(endpoint) = server.address.parse::<SocketAddr>() else {
                log::warn!("event=server_without_address id={} address={:?}", server.id, server.address);
                continue;
            };
            let id = *self.ids.entry(server.id.clone()).or_insert_with(|| {
                self.next_backend += 1;
                BackendId(self.next_backend)
            });
            there.insert(id);
            let (evacuated, evacuations) = evacuation(&server.zone);
            let leaves = server.draining || server.remaining_ms.is_some();
            // Out of touch nobody knows whether the zone is evacuated still.
            let last_resort = evacuated && !touch;
            let leaves = leaves || (evacuated && touch);
            let stage = if leaves { Stage::Draining } else { Stage::InService };
            let cold_left = Nanos::from(server.cold_left_ms) * MILLISECOND;
            let cold_until = if cold_left > 0 { now + cold_left + COLD_MORE } else { 0 };
            placement.listed(id, &server.id, region, cold_until, last_resort);
            let known = self.backends.get(&id);
            // Its zone has just been taken back: its servers may have turned cold meanwhile.
            if known.is_some_and(|known| known.evacuations != evacuations) && !evacuated {
                placement.may_be_cold(now, id);
            }
            let changed = known.is_none_or(|known| known.stage != stage || known.endpoint != endpoint);
            if changed {
                if stage != Stage::InService {
                    retired.push(id);
                }
                members.push(Member {
                    backend: id,
                    zone: ZoneId(region),
                    stage,
                    size: f64::from(server.slots.max(1)),
                    ..Member::default()
                });
            }
            let instance = Rc::from(server.id.as_str());
            self.backends.insert(id, Known { endpoint, region, instance, server, stage, evacuations });
        }
        let gone: Vec<BackendId> = self.backends.keys().filter(|id| !there.contains(*id)).copied().collect();
        for id in gone {
            if let Some(known) = self.backends.remove(&id) {
                self.ids.remove(&known.server.id);
            }
            placement.gone(id);
            retired.push(id);
            members.push(Member { backend: id, stage: Stage::Gone, ..Member::default() });
        }
        (members, retired)
    }
}
