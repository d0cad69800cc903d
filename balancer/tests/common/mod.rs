//! A node under test, with helpers that feed events to it and inspect its actions.
#![allow(dead_code)]

use std::collections::BTreeMap;

use ivyhatch_balancer::{
    Action, Arrival, AttemptEnd, BackendId, Balancer, ClassId, ClassSettings, Event, Idempotency, ListScope,
    LoadReport, Member, Nanos, Outcome, RequestId, Settings, ZoneId,
};

pub const MS: Nanos = 1_000_000;
pub const SECOND: Nanos = 1000 * MS;

/// The interval of the timer events in [`Node::advance`].
const TIMER_INTERVAL: Nanos = 10 * MS;
/// The default latency of an attempt.
const LATENCY: Nanos = 30 * MS;
/// The latency of an attempt in [`Node::serve`], which spaces its requests by [`TIMER_INTERVAL`].
const SERVE_LATENCY: Nanos = 40 * MS;

/// A node and its clock.
pub struct Node {
    pub balancer: Balancer,
    pub now: Nanos,
    pub next_request: u64,
    ended_attempts: BTreeMap<RequestId, u32>,
}

pub fn class(latency_target_ms: u64, deadline_ms: u64, idempotency: Idempotency) -> ClassSettings {
    ClassSettings {
        latency_target: latency_target_ms * MS,
        deadline: deadline_ms * MS,
        idempotency,
        ..ClassSettings::default()
    }
}

/// Three zones, two nodes, and one class with a latency target of 400 ms and a deadline of 1 s.
pub fn settings(idempotency: Idempotency) -> Settings {
    Settings { classes: vec![class(400, 1000, idempotency)], nodes: 2, ..Settings::new(ZoneId(0), 3) }
}

pub fn member(backend: u32, zone: u32) -> Member {
    Member {
        backend: BackendId(backend),
        zone: ZoneId(zone),
        cell: zone.into(),
        weight: 1.0,
        ..Member::default()
    }
}

/// A load report with only a utilisation.
pub fn utilisation(utilisation: f64) -> LoadReport {
    LoadReport { utilisation: Some(utilisation), ..LoadReport::default() }
}

/// An attempt in flight in [`Node::serve`].
struct InFlight {
    request: RequestId,
    attempt: u32,
    backend: BackendId,
    sent_at: Nanos,
}

impl Node {
    pub fn new(settings: Settings, members: Vec<Member>) -> Self {
        Self::seeded(7, settings, members)
    }

    pub fn seeded(seed: u64, settings: Settings, members: Vec<Member>) -> Self {
        let balancer = Balancer::new(settings, seed, SECOND).expect("valid settings");
        let mut node = Self { balancer, now: SECOND, next_request: 0, ended_attempts: BTreeMap::new() };
        node.handle(Event::Start);
        node.handle(Event::Membership { scope: ListScope::Cached, members });
        node
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    pub fn list(&mut self, scope: ListScope, members: Vec<Member>) -> Vec<Action> {
        self.handle(Event::Membership { scope, members })
    }

    /// A request of class 0 arrives, whose client waits for `timeout`.
    pub fn arrive(&mut self, timeout: Nanos) -> (RequestId, Vec<Action>) {
        self.arrive_as(timeout, false, None)
    }

    /// The same, for a request that its client has marked as a retry.
    pub fn arrive_as_retry(&mut self, timeout: Nanos) -> (RequestId, Vec<Action>) {
        self.arrive_as(timeout, true, None)
    }

    /// The same, for a request of `tenant`.
    pub fn arrive_from_tenant(&mut self, tenant: u32, timeout: Nanos) -> (RequestId, Vec<Action>) {
        self.arrive_as(timeout, false, Some(tenant))
    }

    fn arrive_as(&mut self, timeout: Nanos, is_retry: bool, tenant: Option<u32>) -> (RequestId, Vec<Action>) {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let not_after = self.now + timeout;
        let class = ClassId(0);
        let arrival = Arrival { request, class, expected_work: None, is_retry, tenant, not_after };
        (request, self.handle(Event::Request(arrival)))
    }

    /// The number of the attempt in flight of a request whose attempts each end before the next one is sent.
    pub fn next_attempt_number(&mut self, request: RequestId) -> u32 {
        let next_attempt = self.ended_attempts.entry(request).or_insert(0);
        *next_attempt += 1;
        *next_attempt - 1
    }

    pub fn end_attempt(
        &mut self,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        report: LoadReport,
    ) -> Vec<Action> {
        self.end_attempt_after(request, attempt, outcome, LATENCY, report)
    }

    pub fn end_attempt_after(
        &mut self,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        elapsed: Nanos,
        report: LoadReport,
    ) -> Vec<Action> {
        let request_ended = outcome == Outcome::Served;
        let end = AttemptEnd { request, attempt, outcome, elapsed, request_ended, report };
        self.handle(Event::AttemptEnded(end))
    }

    /// Advances the clock by `span`, with the housekeeping timer due every [`TIMER_INTERVAL`].
    pub fn advance(&mut self, span: Nanos) -> Vec<Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while self.now < end {
            self.now = (self.now + TIMER_INTERVAL).min(end);
            actions.extend(self.handle(Event::Timer { token: 0 }));
        }
        actions
    }

    /// `count` requests arrive, one every 10 ms; every attempt is served after 40 ms with its backend's
    /// report. Returns the backends that served.
    pub fn serve(&mut self, count: usize, report: impl Fn(BackendId) -> LoadReport) -> Vec<BackendId> {
        let mut served_by = Vec::new();
        let mut in_flight: Vec<InFlight> = Vec::new();
        for turn in 0..count + 40 {
            let mut actions = if turn < count { self.arrive(SECOND).1 } else { Vec::new() };
            actions.extend(self.advance(TIMER_INTERVAL));
            let is_due = |attempt: &mut InFlight| self.now >= attempt.sent_at + SERVE_LATENCY;
            let due: Vec<InFlight> = in_flight.extract_if(.., is_due).collect();
            for InFlight { request, attempt, backend, .. } in due {
                served_by.push(backend);
                let (outcome, report) = (Outcome::Served, report(backend));
                actions.extend(self.end_attempt_after(request, attempt, outcome, SERVE_LATENCY, report));
            }
            for action in actions {
                if let Action::Send { request, backend, .. } = action {
                    let attempt = in_flight.iter().filter(|other| other.request == request).count() as u32;
                    in_flight.push(InFlight { request, attempt, backend, sent_at: self.now });
                }
            }
        }
        served_by
    }
}

/// The backends of all sends among `actions`.
pub fn all_sent_to(actions: &[Action]) -> Vec<BackendId> {
    let to = |action: &Action| match action {
        Action::Send { backend, .. } => Some(*backend),
        _ => None,
    };
    actions.iter().filter_map(to).collect()
}

/// The backend of the first send among `actions`.
pub fn first_sent_to(actions: &[Action]) -> Option<BackendId> {
    all_sent_to(actions).first().copied()
}

pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { .. }))
}

pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { .. }))
}

/// Whether `actions` log the ejection of a backend.
pub fn logs_ejection(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Log(text) if text.contains("ejected")))
}

/// A backend with a latency of `idle_latency` while cores are free, and otherwise of `latency_per_request`
/// for each request that it holds.
pub struct QueueingBackend {
    pub idle_latency: Nanos,
    pub latency_per_request: Nanos,
    in_flight_requests: Vec<QueuedRequest>,
    /// The requests sent to the backend.
    pub received: Vec<RequestId>,
}

struct QueuedRequest {
    request: RequestId,
    sent_at: Nanos,
    due_at: Nanos,
}

impl QueueingBackend {
    pub fn new(idle_latency: Nanos, latency_per_request: Nanos) -> Self {
        Self { idle_latency, latency_per_request, in_flight_requests: Vec::new(), received: Vec::new() }
    }

    /// Sends one request to the node every `interval` for `span`. Returns the most requests in flight at the
    /// backend.
    pub fn run(&mut self, node: &mut Node, interval: Nanos, span: Nanos, timeout: Nanos) -> usize {
        self.run_with(node, interval, span, |node| node.arrive(timeout).1)
    }

    /// The same, with requests that `arrive` creates.
    pub fn run_with(
        &mut self,
        node: &mut Node,
        interval: Nanos,
        span: Nanos,
        arrive: impl Fn(&mut Node) -> Vec<Action>,
    ) -> usize {
        let (end, mut next_arrival, mut max_in_flight) = (node.now + span, node.now, 0);
        while node.now < end {
            let mut actions = node.advance(5 * MS);
            if node.now >= next_arrival {
                next_arrival += interval;
                actions.extend(arrive(node));
            }
            self.receive(node.now, &actions);
            max_in_flight = max_in_flight.max(self.in_flight_requests.len());
            while let Some(index) =
                self.in_flight_requests.iter().position(|queued| queued.due_at <= node.now)
            {
                let QueuedRequest { request, sent_at, .. } = self.in_flight_requests.remove(index);
                let (elapsed, report) = (node.now - sent_at, LoadReport::default());
                let actions = node.end_attempt_after(request, 0, Outcome::Served, elapsed, report);
                self.receive(node.now, &actions);
            }
        }
        max_in_flight
    }

    fn receive(&mut self, now: Nanos, actions: &[Action]) {
        for action in actions {
            if let Action::Send { request, .. } = action {
                let queueing = self.latency_per_request * (self.in_flight_requests.len() as u64 + 1);
                let due_at = now + self.idle_latency.max(queueing);
                self.in_flight_requests.push(QueuedRequest { request: *request, sent_at: now, due_at });
                self.received.push(*request);
            }
        }
    }
}
