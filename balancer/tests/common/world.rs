//! A small closed loop round one node, in virtual time: arrivals, backends that queue, a list that changes.
//! What the node does decides what it hears next, so two builds that decide alike hear alike.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use ivyhatch_balancer::*;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1000 * MS;
/// A backend with more work waiting than this sends more away.
const FULL: Nanos = 2 * SECOND;

/// What a world is made of.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub seed: u64,
    pub backends: u32,
    pub zones: u32,
    pub nodes: u32,
    /// Requests a second that come to the node.
    pub rate: u64,
    /// How long an idle backend works on a request; it has two cores.
    pub work: Nanos,
    /// Attempts in a thousand that fail, of each kind of failure.
    pub failing: u64,
    /// Load reports come with the answers.
    pub reports: bool,
    /// Load reports come with probes.
    pub probes: bool,
    /// The list changes in this period; 0 for never.
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

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Arrives,
    Settles { request: RequestId, attempt: u32, to: BackendId, outcome: u8, sent: Nanos },
    Wakes(u64),
    Probed(BackendId),
    ListChanges,
    ListComes,
}

const OUTCOMES: [Outcome; 5] =
    [Outcome::Served, Outcome::Error, Outcome::Rejected, Outcome::TimedOut, Outcome::ConnectFailed];

pub struct World {
    pub shape: Shape,
    pub node: Balancer,
    pub now: Nanos,
    pub arrived: u64,
    /// Time spent inside the module, and events that it was told.
    pub inside: Duration,
    pub events: u64,
    /// A digest of all actions but the log's.
    pub digest: u64,
    pub sends: u64,
    pub refusals: u64,
    random: u64,
    queue: BinaryHeap<Reverse<(Nanos, u64, Next)>>,
    order: u64,
    free: Vec<[Nanos; 2]>,
    attempts: std::collections::BTreeMap<RequestId, (u32, Nanos)>,
    actions: Vec<Action>,
}

impl World {
    pub fn new(shape: Shape) -> Self {
        let class = |aim, deadline, worth, effect| ClassSettings {
            latency_target: aim * MS,
            deadline: deadline * MS,
            value: worth,
            idempotency: effect,
            ..ClassSettings::default()
        };
        let mut settings = Settings {
            reports: if shape.probes { LoadReporting::Pull } else { LoadReporting::Disabled },
            probe_cost: 0.01,
            nodes: shape.nodes,
            weights: shape.weights,
            classes: vec![
                class(1200, 6000, 5.0, Idempotency::Idempotent),
                class(1500, 4000, 2.0, Idempotency::NonIdempotent),
            ],
            tenant_quotas: vec![1e3, 20.0],
            over_quota_value: 0.2,
            ..Settings::new(ZoneId(0), shape.zones)
        };
        settings.limits.probes = shape.probes;
        let node = Balancer::new(settings, shape.seed, SECOND).expect("usable settings");
        let mut world = Self {
            node,
            now: SECOND,
            arrived: 0,
            inside: Duration::ZERO,
            events: 0,
            digest: 0xcbf2_9ce4_8422_2325,
            sends: 0,
            refusals: 0,
            random: shape.seed,
            queue: BinaryHeap::new(),
            order: 0,
            free: vec![[0; 2]; shape.backends as usize],
            attempts: Default::default(),
            actions: Vec::new(),
            shape,
        };
        world.tell(Event::Start);
        let members = (0..shape.backends).map(|b| world.member(b, BackendState::InService)).collect();
        world.tell(Event::Membership { scope: ListScope::Cached, members });
        world.at(SECOND, Next::Arrives);
        if shape.churn > 0 {
            world.at(SECOND + shape.churn, Next::ListChanges);
        }
        if shape.weights == Weights::Live {
            world.at(2 * SECOND, Next::ListComes);
        }
        world
    }

    fn draw(&mut self, bound: u64) -> u64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % bound.max(1)
    }

    fn at(&mut self, at: Nanos, next: Next) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, next)));
    }

    fn waiting(&self, backend: u32) -> Nanos {
        self.free[backend as usize].iter().min().map_or(0, |free| free.saturating_sub(self.now))
    }

    /// Part of the cores of a backend that is busy, or 1 and work waits.
    fn util(&self, backend: BackendId) -> f64 {
        self.free[backend.0 as usize].iter().filter(|free| **free > self.now).count() as f64 / 2.0
    }

    fn member(&self, backend: u32, stage: BackendState) -> Member {
        let held = self.waiting(backend) as f64 / self.shape.work as f64;
        let size = if self.shape.weights == Weights::Live { 1.0 / (1.0 + held) } else { 1.0 };
        let zone = ZoneId(backend % self.shape.zones);
        Member {
            backend: BackendId(backend),
            zone,
            cell: zone.0.into(),
            state: stage,
            weight: size,
            ..Member::default()
        }
    }

    fn tell(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        let began = Instant::now();
        self.node.handle(self.now, event, &mut actions);
        self.inside += began.elapsed();
        self.events += 1;
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.actions = actions;
    }

    fn note(&mut self, parts: [u64; 4]) {
        for byte in parts.into_iter().flat_map(u64::to_le_bytes) {
            self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { request, backend, timeout } => {
                self.note([1, request.0, backend.0.into(), timeout.unwrap_or(0)]);
                self.sends += 1;
                self.start(request, backend, timeout);
            }
            Action::Reject { request, retry_after: pause } => {
                self.note([2, request.0, pause, 0]);
                self.refusals += 1;
                self.attempts.remove(&request);
            }
            Action::Fail { request } => {
                self.note([3, request.0, 0, 0]);
                self.attempts.remove(&request);
            }
            Action::Cancel { request, attempt } => self.note([4, request.0, attempt.into(), 0]),
            Action::Probe { backend } => {
                self.note([5, backend.0.into(), 0, 0]);
                self.at(self.now + 3 * MS, Next::Probed(backend));
            }
            Action::Timer { after, token } => {
                self.note([6, after, token, 0]);
                self.at(self.now + after, Next::Wakes(token));
            }
            Action::Watch | Action::Fetch | Action::Log(_) => {}
        }
    }

    fn start(&mut self, request: RequestId, to: BackendId, timeout: Option<Nanos>) {
        let failing = self.draw(1000);
        let Some((count, not_after)) = self.attempts.get_mut(&request) else { return };
        let (attempt, not_after) = (*count, *not_after);
        *count += 1;
        let give_up = timeout.map_or(not_after, |timeout| not_after.min(self.now + timeout));
        let settles = |outcome: u8| Next::Settles { request, attempt, to, outcome, sent: self.now };
        let kind = failing.checked_div(self.shape.failing).filter(|kind| *kind < 3);
        let (at, next) = match kind {
            Some(kind) => (self.now + MS, settles([1, 2, 4][kind as usize])),
            None if self.waiting(to.0) > FULL => (self.now + MS, settles(2)),
            None => {
                let free = self.free[to.0 as usize];
                let core = usize::from(free[1] < free[0]);
                // Every third backend is half as fast.
                let work = if to.0 % 3 == 1 { self.shape.work * 2 } else { self.shape.work };
                let done = free[core].max(self.now) + work + request.0 % 7 * (work / 20);
                self.free[to.0 as usize][core] = done;
                if done <= give_up { (done, settles(0)) } else { (give_up, settles(3)) }
            }
        };
        self.at(at, next);
    }

    fn step(&mut self) {
        let Some(Reverse((at, _, next))) = self.queue.pop() else { return };
        self.now = self.now.max(at);
        match next {
            Next::Arrives => self.arrive(),
            Next::Settles { request, attempt, to, outcome, sent } => {
                let outcome = OUTCOMES[outcome as usize];
                let ended = outcome == Outcome::Served || !self.attempts.contains_key(&request);
                if ended {
                    self.attempts.remove(&request);
                }
                let util = self.shape.reports.then_some(self.util(to));
                let report = LoadReport { utilisation: util, ..LoadReport::default() };
                let elapsed = self.now - sent;
                self.tell(Event::AttemptEnded(AttemptEnd {
                    request,
                    attempt,
                    outcome,
                    elapsed,
                    request_ended: ended,
                    report,
                }));
            }
            Next::Probed(backend) => {
                let report = LoadReport { utilisation: Some(self.util(backend)), ..LoadReport::default() };
                let (outcome, elapsed) = (Outcome::Served, 3 * MS);
                self.tell(Event::ProbeEnded { backend, outcome, elapsed, report });
            }
            Next::Wakes(token) => self.tell(Event::Timer { token }),
            Next::ListChanges => {
                let backend = self.draw(self.shape.backends.into()) as u32;
                let stage = [BackendState::InService, BackendState::Draining, BackendState::Removed]
                    [self.draw(3) as usize];
                let back = self.draw(self.shape.backends.into()) as u32;
                let cold = (self.draw(2) == 0).then_some(self.now);
                let back = Member { online_since: cold, ..self.member(back, BackendState::InService) };
                let members = vec![self.member(backend, stage), back];
                self.tell(Event::Membership { scope: ListScope::Changes, members });
                self.at(self.now + self.shape.churn, Next::ListChanges);
            }
            Next::ListComes => {
                let members =
                    (0..self.shape.backends).map(|b| self.member(b, BackendState::InService)).collect();
                self.tell(Event::Membership { scope: ListScope::Full, members });
                self.at(self.now + SECOND, Next::ListComes);
            }
        }
    }

    fn arrive(&mut self) {
        let request = RequestId(self.arrived);
        self.arrived += 1;
        let class = ClassId(u32::from(self.draw(100) >= 54));
        let wait = [6000, 4000][class.0 as usize] * MS * (70 + self.draw(31)) / 100;
        let not_after = self.now + wait;
        self.attempts.insert(request, (0, not_after));
        let tenant = Some(u32::from(self.draw(4) == 0));
        self.tell(Event::Request(Arrival {
            request,
            class,
            expected_work: None,
            is_retry: false,
            tenant,
            not_after,
        }));
        let gap = SECOND / self.shape.rate;
        let next = self.now + gap / 2 + self.draw(gap);
        self.at(next, Next::Arrives);
    }

    /// Runs until so many requests have come in all.
    pub fn run(&mut self, arrivals: u64) {
        while self.arrived < arrivals {
            self.step();
        }
    }
}
