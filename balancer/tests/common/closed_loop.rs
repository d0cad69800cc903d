//! A closed-loop simulation of one node in virtual time: arrivals, backends with queues, and a list of
//! backends that changes. The node's actions determine the later events, so two builds that make the same
//! decisions get the same events.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use ivyhatch_balancer::{
    Action, Arrival, AttemptEnd, BackendId, BackendState, Balancer, ClassId, ClassSettings, Event,
    Idempotency, ListScope, LoadReport, LoadReporting, Member, Nanos, Outcome, RequestId, Settings, Weights,
    ZoneId,
};

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1000 * MS;
/// A backend with more queued work than this rejects requests.
const MAX_QUEUED_WORK: Nanos = 2 * SECOND;
/// The latency of a probe.
const PROBE_LATENCY: Nanos = 3 * MS;
/// FNV-1a, 64 bits.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// The parameters of a closed loop.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub seed: u64,
    pub backends: u32,
    pub zones: u32,
    pub nodes: u32,
    /// Requests per second that arrive at the node.
    pub rate: u64,
    /// The time that an idle backend, which has two cores, takes for a request.
    pub work: Nanos,
    /// Attempts in a thousand that fail, for each kind of failure.
    pub failing: u64,
    /// Load reports come with responses.
    pub reports: bool,
    /// Load reports come with the replies to probes.
    pub probes: bool,
    /// The interval at which the list changes; 0 for never.
    pub churn: Nanos,
    pub weights: Weights,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            seed: 1,
            backends: 12,
            zones: 3,
            nodes: 3,
            rate: 100,
            work: 100 * MS,
            failing: 0,
            reports: false,
            probes: false,
            churn: 0,
            weights: Weights::Size,
        }
    }
}

impl Shape {
    fn settings(&self) -> Settings {
        let class = |latency_target, deadline, value, idempotency| ClassSettings {
            latency_target: latency_target * MS,
            deadline: deadline * MS,
            value,
            idempotency,
            ..ClassSettings::default()
        };
        let mut settings = Settings {
            reports: if self.probes { LoadReporting::Pull } else { LoadReporting::Disabled },
            probe_cost: 0.01,
            nodes: self.nodes,
            weights: self.weights,
            classes: vec![
                class(1200, 6000, 5.0, Idempotency::Idempotent),
                class(1500, 4000, 2.0, Idempotency::NonIdempotent),
            ],
            tenant_quotas: vec![1e3, 20.0],
            over_quota_value: 0.2,
            ..Settings::new(ZoneId(0), self.zones)
        };
        settings.limits.probes = self.probes;
        settings
    }
}

/// A scheduled event. The order of the variants does not matter: the queue breaks ties by its own sequence
/// number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    Arrival,
    AttemptEnd(RunningAttempt),
    Timer(u64),
    ProbeEnd(BackendId),
    ListChange,
    FullList,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RunningAttempt {
    request: RequestId,
    attempt: u32,
    backend: BackendId,
    /// Position in [`OUTCOMES`].
    outcome: u8,
    sent_at: Nanos,
}

const OUTCOMES: [Outcome; 5] =
    [Outcome::Served, Outcome::Error, Outcome::Rejected, Outcome::TimedOut, Outcome::ConnectFailed];
const SERVED: u8 = 0;
const REJECTED: u8 = 2;
const TIMED_OUT: u8 = 3;
/// The positions in [`OUTCOMES`] of the kinds of failure that [`Shape::failing`] applies to.
const FAILURES: [u8; 3] = [1, 2, 4];

/// A request without a final answer.
struct OpenRequest {
    attempts: u32,
    not_after: Nanos,
}

/// A running closed loop.
pub struct ClosedLoop {
    pub shape: Shape,
    pub node: Balancer,
    pub now: Nanos,
    pub arrived: u64,
    /// Time spent inside the node, and number of events that the node has handled.
    pub time_in_node: Duration,
    pub events: u64,
    /// A digest of all actions except logs and discovery requests.
    pub digest: u64,
    pub sends: u64,
    pub rejections: u64,
    random: u64,
    queue: BinaryHeap<Reverse<(Nanos, u64, ScheduledEvent)>>,
    sequence: u64,
    /// When each core of each backend becomes free.
    cores_free_at: Vec<[Nanos; 2]>,
    open: BTreeMap<RequestId, OpenRequest>,
    actions: Vec<Action>,
}

impl ClosedLoop {
    pub fn new(shape: Shape) -> Self {
        let node = Balancer::new(shape.settings(), shape.seed, SECOND).expect("valid settings");
        let mut closed_loop = Self {
            node,
            now: SECOND,
            arrived: 0,
            time_in_node: Duration::ZERO,
            events: 0,
            digest: FNV_OFFSET,
            sends: 0,
            rejections: 0,
            random: shape.seed,
            queue: BinaryHeap::new(),
            sequence: 0,
            cores_free_at: vec![[0; 2]; shape.backends as usize],
            open: BTreeMap::new(),
            actions: Vec::new(),
            shape,
        };
        closed_loop.handle(Event::Start);
        closed_loop.list_all(ListScope::Cached);
        closed_loop.schedule(SECOND, ScheduledEvent::Arrival);
        if shape.churn > 0 {
            closed_loop.schedule(SECOND + shape.churn, ScheduledEvent::ListChange);
        }
        if shape.weights == Weights::Live {
            closed_loop.schedule(2 * SECOND, ScheduledEvent::FullList);
        }
        closed_loop
    }

    /// Runs until `arrivals` requests have arrived in total.
    pub fn run(&mut self, arrivals: u64) {
        while self.arrived < arrivals {
            self.step();
        }
    }

    fn draw(&mut self, bound: u64) -> u64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % bound.max(1)
    }

    fn schedule(&mut self, at: Nanos, next: ScheduledEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, next)));
    }

    fn queued_work(&self, backend: u32) -> Nanos {
        let free_at = self.cores_free_at[backend as usize].iter().min();
        free_at.map_or(0, |free_at| free_at.saturating_sub(self.now))
    }

    /// Share of a backend's cores that are busy.
    fn utilisation(&self, backend: BackendId) -> f64 {
        let cores = &self.cores_free_at[backend.0 as usize];
        cores.iter().filter(|free_at| **free_at > self.now).count() as f64 / 2.0
    }

    fn member(&self, backend: u32, state: BackendState) -> Member {
        let load = self.queued_work(backend) as f64 / self.shape.work as f64;
        let weight = if self.shape.weights == Weights::Live { 1.0 / (1.0 + load) } else { 1.0 };
        let zone = ZoneId(backend % self.shape.zones);
        let backend = BackendId(backend);
        Member { backend, zone, cell: zone.0.into(), state, weight, ..Member::default() }
    }

    fn list_all(&mut self, scope: ListScope) {
        let members = (0..self.shape.backends).map(|b| self.member(b, BackendState::InService)).collect();
        self.handle(Event::Membership { scope, members });
    }

    fn handle(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        let started = Instant::now();
        self.node.handle(self.now, event, &mut actions);
        self.time_in_node += started.elapsed();
        self.events += 1;
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.actions = actions;
    }

    fn add_to_digest(&mut self, parts: [u64; 4]) {
        for byte in parts.into_iter().flat_map(u64::to_le_bytes) {
            self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { request, backend, timeout } => {
                self.add_to_digest([1, request.0, backend.0.into(), timeout.unwrap_or(0)]);
                self.sends += 1;
                self.start_attempt(request, backend, timeout);
            }
            Action::Reject { request, retry_after } => {
                self.add_to_digest([2, request.0, retry_after, 0]);
                self.rejections += 1;
                self.open.remove(&request);
            }
            Action::Fail { request } => {
                self.add_to_digest([3, request.0, 0, 0]);
                self.open.remove(&request);
            }
            Action::Cancel { request, attempt } => self.add_to_digest([4, request.0, attempt.into(), 0]),
            Action::Probe { backend } => {
                self.add_to_digest([5, backend.0.into(), 0, 0]);
                self.schedule(self.now + PROBE_LATENCY, ScheduledEvent::ProbeEnd(backend));
            }
            Action::Timer { after, token } => {
                self.add_to_digest([6, after, token, 0]);
                self.schedule(self.now + after, ScheduledEvent::Timer(token));
            }
            Action::Watch | Action::Fetch | Action::Log(_) => {}
        }
    }

    fn start_attempt(&mut self, request: RequestId, backend: BackendId, timeout: Option<Nanos>) {
        let failing = self.draw(1000);
        let Some(open) = self.open.get_mut(&request) else { return };
        let (attempt, not_after) = (open.attempts, open.not_after);
        open.attempts += 1;
        let timeout_at = timeout.map_or(not_after, |timeout| not_after.min(self.now + timeout));
        let failure = failing.checked_div(self.shape.failing).and_then(|kind| FAILURES.get(kind as usize));
        let (at, outcome) = match failure {
            Some(&failure) => (self.now + MS, failure),
            None if self.queued_work(backend.0) > MAX_QUEUED_WORK => (self.now + MS, REJECTED),
            None => match self.work(request, backend) {
                done_at if done_at <= timeout_at => (done_at, SERVED),
                _ => (timeout_at, TIMED_OUT),
            },
        };
        let sent_at = self.now;
        let running = RunningAttempt { request, attempt, backend, outcome, sent_at };
        self.schedule(at, ScheduledEvent::AttemptEnd(running));
    }

    /// Puts a request on the backend's first free core and returns when the request is done. Every third
    /// backend is half as fast.
    fn work(&mut self, request: RequestId, backend: BackendId) -> Nanos {
        let cores = &mut self.cores_free_at[backend.0 as usize];
        let core = usize::from(cores[1] < cores[0]);
        let work = if backend.0 % 3 == 1 { self.shape.work * 2 } else { self.shape.work };
        let done_at = cores[core].max(self.now) + work + request.0 % 7 * (work / 20);
        cores[core] = done_at;
        done_at
    }

    fn step(&mut self) {
        let Some(Reverse((at, _, next))) = self.queue.pop() else { return };
        self.now = self.now.max(at);
        match next {
            ScheduledEvent::Arrival => self.arrive(),
            ScheduledEvent::AttemptEnd(attempt) => self.end_attempt(attempt),
            ScheduledEvent::ProbeEnd(backend) => self.end_probe(backend),
            ScheduledEvent::Timer(token) => self.handle(Event::Timer { token }),
            ScheduledEvent::ListChange => self.change_list(),
            ScheduledEvent::FullList => {
                self.list_all(ListScope::Full);
                self.schedule(self.now + SECOND, ScheduledEvent::FullList);
            }
        }
    }

    fn end_attempt(&mut self, ended: RunningAttempt) {
        let RunningAttempt { request, attempt, backend, outcome, sent_at } = ended;
        let outcome = OUTCOMES[outcome as usize];
        let request_ended = outcome == Outcome::Served || !self.open.contains_key(&request);
        if request_ended {
            self.open.remove(&request);
        }
        let utilisation = self.shape.reports.then_some(self.utilisation(backend));
        let report = LoadReport { utilisation, ..LoadReport::default() };
        let elapsed = self.now - sent_at;
        let end = AttemptEnd { request, attempt, outcome, elapsed, request_ended, report };
        self.handle(Event::AttemptEnded(end));
    }

    fn end_probe(&mut self, backend: BackendId) {
        let report = LoadReport { utilisation: Some(self.utilisation(backend)), ..LoadReport::default() };
        let (outcome, elapsed) = (Outcome::Served, PROBE_LATENCY);
        self.handle(Event::ProbeEnded { backend, outcome, elapsed, report });
    }

    /// A random backend changes its state, and another one is back in service, possibly restarted.
    fn change_list(&mut self) {
        const STATES: [BackendState; 3] =
            [BackendState::InService, BackendState::Draining, BackendState::Removed];
        let changed = self.draw(self.shape.backends.into()) as u32;
        let state = STATES[self.draw(3) as usize];
        let returning = self.draw(self.shape.backends.into()) as u32;
        let online_since = (self.draw(2) == 0).then_some(self.now);
        let returning = Member { online_since, ..self.member(returning, BackendState::InService) };
        let members = vec![self.member(changed, state), returning];
        self.handle(Event::Membership { scope: ListScope::Changes, members });
        self.schedule(self.now + self.shape.churn, ScheduledEvent::ListChange);
    }

    fn arrive(&mut self) {
        let request = RequestId(self.arrived);
        self.arrived += 1;
        let class = ClassId(u32::from(self.draw(100) >= 54));
        let timeout = [6000, 4000][class.0 as usize] * MS * (70 + self.draw(31)) / 100;
        let not_after = self.now + timeout;
        self.open.insert(request, OpenRequest { attempts: 0, not_after });
        let tenant = Some(u32::from(self.draw(4) == 0));
        let arrival = Arrival { request, class, expected_work: None, is_retry: false, tenant, not_after };
        self.handle(Event::Request(arrival));
        let interval = SECOND / self.shape.rate;
        let next = self.now + interval / 2 + self.draw(interval);
        self.schedule(next, ScheduledEvent::Arrival);
    }
}
