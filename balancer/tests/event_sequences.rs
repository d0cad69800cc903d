//! Random legal sequences of events, with fixed seeds; the four rules are checked on the resulting actions.
//! Backends are not simulated: outcomes are drawn at random.

mod common;
use common::{MS, Node, SECOND, class, member, settings, utilisation};
use ivyhatch_balancer::{
    Action, Arrival, AttemptEnd, BackendId, BackendState, ClassId, Discovery, Event, Idempotency,
    IdempotencyScope, ListScope, LoadReport, Member, Nanos, Outcome, RequestId, Settings, Weights, ZoneId,
};
use std::collections::BTreeMap;

struct Draw(u64);

impl Draw {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

const OUTCOMES: [Outcome; 10] = [
    Outcome::Served,
    Outcome::Error,
    Outcome::InvalidResponse,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Misdirected,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

#[derive(Default)]
struct TrackedRequest {
    class: usize,
    not_after: Nanos,
    attempts: Vec<TrackedAttempt>,
    ended: bool,
}

struct TrackedAttempt {
    backend: BackendId,
    sent_at: Nanos,
    outcome: Option<Outcome>,
}

impl TrackedAttempt {
    fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(Outcome::may_have_run)
    }
}

/// Checks the node's actions against the rules, by the events that the node was given.
struct RuleChecker {
    now: Nanos,
    idempotency: Vec<Idempotency>,
    listed: BTreeMap<BackendId, Member>,
    requests: BTreeMap<RequestId, TrackedRequest>,
    max_attempts: usize,
    hedging: bool,
}

impl RuleChecker {
    fn new(settings: &Settings) -> Self {
        Self {
            now: SECOND,
            idempotency: settings.classes.iter().map(|class| class.idempotency).collect(),
            listed: BTreeMap::new(),
            requests: BTreeMap::new(),
            max_attempts: settings.limits.max_attempts as usize,
            hedging: settings.limits.hedging,
        }
    }

    fn check(&mut self, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Send { request, backend, .. } => self.check_send(request, backend),
                Action::Reject { request, .. } => self.check_rejection(request),
                Action::Fail { request } => self.end(request),
                _ => {}
            }
        }
    }

    fn check_rejection(&mut self, request: RequestId) {
        let tracked = self.requests.get_mut(&request).expect("a known request");
        let ran = tracked.attempts.iter().any(TrackedAttempt::may_have_run);
        let is_repeatable = matches!(
            self.idempotency[tracked.class],
            Idempotency::Idempotent | Idempotency::Keyed { scope: IdempotencyScope::All, .. }
        );
        assert!(is_repeatable || !ran, "request {request:?} was rejected although an attempt may have run");
        self.end(request);
    }

    fn end(&mut self, request: RequestId) {
        let tracked = self.requests.get_mut(&request).expect("a known request");
        assert!(!std::mem::replace(&mut tracked.ended, true), "request {request:?} got two final answers");
    }

    fn check_send(&mut self, request: RequestId, backend: BackendId) {
        let tracked = self.requests.get_mut(&request).expect("a known request");
        assert!(!tracked.ended, "request {request:?} was sent after its end");
        assert!(self.now < tracked.not_after, "request {request:?} was sent after its deadline");
        assert!(
            tracked.attempts.len() < self.max_attempts,
            "request {request:?} was sent more often than max_attempts allows"
        );
        let member = self.listed[&backend];
        assert_eq!(
            member.state,
            BackendState::InService,
            "request {request:?} was sent to {backend:?}, which is not in service"
        );
        assert!(
            self.hedging || !tracked.attempts.iter().any(TrackedAttempt::is_in_flight),
            "request {request:?} was sent twice at a time without hedging"
        );
        if let Some(ran) = tracked.attempts.iter().find(|attempt| attempt.may_have_run()) {
            match self.idempotency[tracked.class] {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => panic!("non-idempotent {request:?} was sent again"),
                Idempotency::Keyed { scope, window } => {
                    assert!(
                        self.now <= ran.sent_at + window,
                        "keyed request {request:?} was sent again after the key window"
                    );
                    let first = self.listed[&ran.backend];
                    assert!(match scope {
                        IdempotencyScope::All => true,
                        IdempotencyScope::Zone => first.zone == member.zone,
                        IdempotencyScope::Cell => first.cell == member.cell,
                    });
                }
            }
        }
        tracked.attempts.push(TrackedAttempt { backend, sent_at: self.now, outcome: None });
    }

    /// The attempts in flight, as request and attempt number, of requests for which `counts` is true.
    fn in_flight(&self, counts: impl Fn(&TrackedRequest) -> bool) -> Vec<(RequestId, usize)> {
        let mut in_flight = Vec::new();
        for (&id, tracked) in self.requests.iter().filter(|(_, tracked)| counts(tracked)) {
            let attempts = tracked.attempts.iter().enumerate();
            in_flight.extend(attempts.filter(|(_, a)| a.is_in_flight()).map(|(number, _)| (id, number)));
        }
        in_flight
    }

    /// Ends an attempt; the outcome `Served` also ends its request.
    fn end_attempt(&mut self, id: RequestId, number: usize, outcome: Outcome, report: LoadReport) -> Event {
        let tracked = self.requests.get_mut(&id).expect("a known request");
        let attempt = &mut tracked.attempts[number];
        attempt.outcome = Some(outcome);
        let elapsed = self.now - attempt.sent_at;
        tracked.ended |= outcome == Outcome::Served;
        let (attempt, request_ended) = (number as u32, tracked.ended);
        Event::AttemptEnded(AttemptEnd { request: id, attempt, outcome, elapsed, request_ended, report })
    }
}

/// Draws the events and updates the checker with them.
struct Sequence {
    draw: Draw,
    zones: u32,
    checker: RuleChecker,
}

impl Sequence {
    /// `None` if an attempt's end was drawn and no attempt is in flight.
    fn next_event(&mut self, step: u64) -> Option<Event> {
        Some(match self.draw.below(12) {
            0..=3 => self.arrival(RequestId(step)),
            4..=7 => self.attempt_end()?,
            8 => self.membership(),
            9 => self.rare_event(step),
            _ => {
                self.checker.now += self.draw.below(20) * MS;
                Event::Timer { token: self.draw.below(3) }
            }
        })
    }

    fn arrival(&mut self, request: RequestId) -> Event {
        let class = self.draw.below(5) as usize;
        let not_after = self.checker.now + self.draw.below(900) * MS;
        let tracked = TrackedRequest { class, not_after, ..TrackedRequest::default() };
        self.checker.requests.insert(request, tracked);
        let expected_work = (self.draw.below(2) == 0).then(|| self.draw.below(90) * MS);
        let class = ClassId(class as u32);
        Event::Request(Arrival { request, class, expected_work, is_retry: false, tenant: None, not_after })
    }

    fn attempt_end(&mut self) -> Option<Event> {
        let in_flight = self.checker.in_flight(|_| true);
        if in_flight.is_empty() {
            return None;
        }
        let (request, number) = in_flight[self.draw.below(in_flight.len() as u64) as usize];
        let outcome = OUTCOMES[self.draw.below(OUTCOMES.len() as u64) as usize];
        let reported = [0.1, 0.7, 0.99, f64::NAN, -2.0, 1e300][self.draw.below(6) as usize];
        Some(self.checker.end_attempt(request, number, outcome, utilisation(reported)))
    }

    fn membership(&mut self) -> Event {
        let count = self.draw.below(8);
        let members: Vec<Member> = (0..count).map(|_| self.member()).collect();
        let listed = &mut self.checker.listed;
        let full = self.draw.below(3) == 0;
        if full {
            listed.values_mut().for_each(|member| member.state = BackendState::Removed);
        }
        listed.extend(members.iter().map(|member| (member.backend, *member)));
        let scope = if full { ListScope::Full } else { ListScope::Changes };
        Event::Membership { scope, members }
    }

    fn member(&mut self) -> Member {
        const STATES: [BackendState; 4] =
            [BackendState::InService, BackendState::InService, BackendState::Draining, BackendState::Removed];
        let backend = self.draw.below(8) as u32;
        Member {
            state: STATES[self.draw.below(4) as usize],
            cell: u64::from(backend % 3),
            online_since: (self.draw.below(3) == 0).then_some(self.checker.now),
            weight: [1.0, 2.0, 0.0, f64::NAN][self.draw.below(4) as usize],
            ..member(backend, backend % (self.zones + 1))
        }
    }

    /// A failure of discovery, a client that disconnects, the end of an attempt that was never sent, or the
    /// end of a probe.
    fn rare_event(&mut self, step: u64) -> Event {
        match self.draw.below(4) {
            0 => Event::DiscoveryFailed,
            1 => {
                let request = RequestId(self.draw.below(step + 1));
                if let Some(tracked) = self.checker.requests.get_mut(&request) {
                    tracked.ended = true;
                }
                Event::ClientDisconnected { request }
            }
            2 => Event::AttemptEnded(AttemptEnd {
                request: RequestId(self.draw.below(step + 1) + 90_000),
                attempt: 3,
                outcome: Outcome::Served,
                elapsed: 0,
                request_ended: true,
                report: utilisation(0.5),
            }),
            _ => Event::ProbeEnded {
                backend: BackendId(self.draw.below(12) as u32),
                outcome: Outcome::Served,
                elapsed: MS,
                report: utilisation(0.2),
            },
        }
    }
}

fn drawn_settings(draw: &mut Draw) -> Settings {
    let window = (1 + draw.below(400)) * MS;
    let idempotency = [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        Idempotency::Keyed { scope: IdempotencyScope::All, window },
        Idempotency::Keyed { scope: IdempotencyScope::Zone, window },
        Idempotency::Keyed { scope: IdempotencyScope::Cell, window },
    ];
    let mut settings = Settings::new(ZoneId(0), 1 + draw.below(3) as u32);
    settings.classes = idempotency.iter().map(|&each| class(50 + draw.below(500), 600, each)).collect();
    settings.nodes = [1, 3, 1000][draw.below(3) as usize];
    settings.weights = if draw.below(2) == 0 { Weights::Live } else { Weights::Size };
    settings.limits.max_attempts = 1 + draw.below(4) as u32;
    settings.limits.hedging = draw.below(2) == 0;
    settings.limits.cancellation = draw.below(2) == 0;
    settings.discovery = if draw.below(2) == 0 { Discovery::OnRequest } else { Discovery::Pushed };
    settings
}

fn run_sequence(seed: u64) {
    let mut draw = Draw(seed);
    let settings = drawn_settings(&mut draw);
    let checker = RuleChecker::new(&settings);
    let mut sequence = Sequence { draw, zones: settings.zones, checker };
    let mut node = Node::new(settings, vec![]);
    for step in 0..2000u64 {
        let Some(event) = sequence.next_event(step) else { continue };
        // An earlier time may be passed to the balancer, whose clock must then stand still without a panic.
        let now = sequence.checker.now;
        node.now = if sequence.draw.below(50) == 0 { now / 2 } else { now };
        let actions = node.handle(event);
        sequence.checker.check(&actions);
    }
    let mut checker = sequence.checker;
    time_all_attempts_out(&mut node, &mut checker);
    let open = checker.requests.values().filter(|tracked| !tracked.ended).count();
    assert_eq!(open, 0, "seed {seed}: requests without a final answer");
    assert_eq!(node.balancer.open_requests(), 0, "seed {seed}: the node still holds ended requests");
}

/// Every attempt still in flight times out at its client's deadline; after that, all requests must have been
/// answered.
fn time_all_attempts_out(node: &mut Node, checker: &mut RuleChecker) {
    for _ in 0..200 {
        checker.now += 10 * MS;
        node.now = checker.now;
        let actions = node.handle(Event::Timer { token: 0 });
        checker.check(&actions);
        let now = checker.now;
        for (request, number) in checker.in_flight(|tracked| tracked.not_after <= now) {
            let event = checker.end_attempt(request, number, Outcome::TimedOut, LoadReport::default());
            let actions = node.handle(event);
            checker.check(&actions);
        }
    }
}

#[test]
fn rules_hold_on_arbitrary_event_sequences() {
    for seed in 1..40 {
        run_sequence(seed);
    }
}

#[test]
fn same_events_give_the_same_actions() {
    let run = || {
        let mut node =
            Node::new(settings(Idempotency::Idempotent), (0..9).map(|b| member(b, b % 3)).collect());
        node.serve(300, |to| utilisation(0.3 + 0.08 * f64::from(to.0)))
    };
    assert_eq!(run(), run());
}
