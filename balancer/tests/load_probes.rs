//! Load reports by probe: the cost limit of probes, and the effects that false, old or missing reports must
//! not have.

mod common;
use common::{MS, Node, SECOND, first_sent_to, member, settings, utilisation};
use ivyhatch_balancer::{
    Action, BackendId, Discovery, Event, Idempotency, ListScope, LoadReport, LoadReporting, Member, Nanos,
    Outcome, RequestId, Settings, ZoneId,
};

fn probing_settings() -> Settings {
    let mut node_settings = settings(Idempotency::Idempotent);
    node_settings.limits.probes = true;
    node_settings.reports = LoadReporting::Pull;
    node_settings.probe_cost = 0.01;
    node_settings
}

/// Three zones of two: zone `z` has backends `2z` and `2z + 1`.
fn zones() -> Vec<Member> {
    (0..6).map(|backend| member(backend, backend / 2)).collect()
}

fn zone(backend: BackendId) -> u32 {
    backend.0 / 2
}

fn probes(actions: &[Action]) -> Vec<BackendId> {
    let to = |action: &Action| match action {
        Action::Probe { backend } => Some(*backend),
        _ => None,
    };
    actions.iter().filter_map(to).collect()
}

fn probe_end(backend: BackendId, outcome: Outcome, report: LoadReport) -> Event {
    Event::ProbeEnded { backend, outcome, elapsed: 5 * MS, report }
}

/// The utilisation that a backend reports in reply to a probe, possibly an impossible one; `None` if it does
/// not reply within 500 ms.
type Reply<'a> = &'a dyn Fn(BackendId) -> Option<f64>;
/// The outcome of requests sent to a backend that fails them; `None` if the backend serves them.
type Failure<'a> = &'a dyn Fn(BackendId) -> Option<Outcome>;

const PROBE_TIMEOUT: Nanos = 500 * MS;
const LATENCY: Nanos = 40 * MS;

struct Attempt {
    request: RequestId,
    backend: BackendId,
    sent_at: Nanos,
}

struct Probe {
    backend: BackendId,
    sent_at: Nanos,
}

/// A node with its probes and requests in flight.
struct ProbedLoop {
    node: Node,
    attempts_in_flight: Vec<Attempt>,
    probes_in_flight: Vec<Probe>,
    /// The backends of all sends and of all probes, in order.
    sends: Vec<BackendId>,
    probes: Vec<BackendId>,
}

impl ProbedLoop {
    fn new(settings: Settings, members: Vec<Member>) -> Self {
        Self::of(Node::new(settings, members))
    }

    fn of(node: Node) -> Self {
        let (attempts_in_flight, probes_in_flight) = (Vec::new(), Vec::new());
        Self { node, attempts_in_flight, probes_in_flight, sends: Vec::new(), probes: Vec::new() }
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        let sent_at = self.node.now;
        for action in actions {
            match action {
                Action::Send { request, backend, .. } => {
                    self.sends.push(backend);
                    self.attempts_in_flight.push(Attempt { request, backend, sent_at });
                }
                Action::Probe { backend } => {
                    let is_probed = self.probes_in_flight.iter().any(|probe| probe.backend == backend);
                    assert!(!is_probed, "two probes in flight to one backend");
                    self.probes.push(backend);
                    self.probes_in_flight.push(Probe { backend, sent_at });
                }
                _ => {}
            }
        }
    }

    /// Sends one request to the node every `interval` for `span`. Requests are served after 40 ms, or fail at
    /// once.
    fn run(&mut self, span: Nanos, interval: Nanos, reply: Reply, failure: Failure) {
        let (end, mut next_arrival) = (self.node.now + span, self.node.now);
        while self.node.now < end {
            let mut actions = self.node.advance(5 * MS);
            if self.node.now >= next_arrival {
                next_arrival += interval;
                actions.extend(self.node.arrive(SECOND).1);
            }
            self.carry_out(actions);
            self.end_probes(reply);
            self.end_attempts(failure);
        }
    }

    fn end_probes(&mut self, reply: Reply) {
        for probe in std::mem::take(&mut self.probes_in_flight) {
            let Probe { backend, sent_at } = probe;
            let event = match reply(backend) {
                Some(reported) => probe_end(backend, Outcome::Served, utilisation(reported)),
                None if self.node.now >= sent_at + PROBE_TIMEOUT => {
                    probe_end(backend, Outcome::TimedOut, LoadReport::default())
                }
                None => {
                    self.probes_in_flight.push(probe);
                    continue;
                }
            };
            let actions = self.node.handle(event);
            self.carry_out(actions);
        }
    }

    fn end_attempts(&mut self, failure: Failure) {
        for attempt in std::mem::take(&mut self.attempts_in_flight) {
            let elapsed = self.node.now - attempt.sent_at;
            let outcome = match failure(attempt.backend) {
                None if elapsed < LATENCY => {
                    self.attempts_in_flight.push(attempt);
                    continue;
                }
                outcome => outcome.unwrap_or(Outcome::Served),
            };
            let number = self.node.next_attempt_number(attempt.request);
            let report = LoadReport::default();
            let actions = self.node.end_attempt_after(attempt.request, number, outcome, elapsed, report);
            self.carry_out(actions);
        }
    }

    /// Share of the sends from number `from` on to backends for which `counts` is true.
    fn share(&self, from: usize, counts: impl Fn(BackendId) -> bool) -> f64 {
        let sends = &self.sends[from..];
        sends.iter().filter(|to| counts(**to)).count() as f64 / sends.len().max(1) as f64
    }
}

const NO_FAILURE: Failure = &|_| None;

#[test]
fn probes_stay_within_their_cost_share_for_any_number_of_backends() {
    for servers in [6, 60, 600] {
        let members = (0..servers).map(|b| member(b, b % 3)).collect();
        let mut run = ProbedLoop::new(probing_settings(), members);
        run.run(30 * SECOND, 20 * MS, &|_| Some(0.3), NO_FAILURE);
        // Probes may cost 0.2 points in 100, and cost one point at one probe per request. The initial budget
        // is extra.
        let most = 1500.0 * 0.2 + 16.0;
        assert!(run.probes.len() as f64 <= most, "{} probes of {servers} servers", run.probes.len());
        assert!(run.probes.len() > 50, "{} probes of {servers} servers", run.probes.len());
    }
}

#[test]
fn node_without_requests_sends_no_probes() {
    let mut run = ProbedLoop::new(probing_settings(), zones());
    run.run(60 * SECOND, 60 * SECOND, &|_| Some(0.3), NO_FAILURE);
    assert!(run.probes.len() <= 17, "{} probes for one request", run.probes.len());
}

#[test]
fn node_sends_no_probes_where_forbidden_or_reporting_is_disabled() {
    let mut probes_forbidden = probing_settings();
    probes_forbidden.limits.probes = false;
    let mut reporting_disabled = probing_settings();
    reporting_disabled.reports = LoadReporting::Disabled;
    for node_settings in [probes_forbidden, reporting_disabled] {
        let mut run = ProbedLoop::new(node_settings, zones());
        run.run(10 * SECOND, 20 * MS, &|_| Some(0.3), NO_FAILURE);
        assert!(run.probes.is_empty());
    }
}

#[test]
fn home_overflows_and_recovers_by_probe_reports() {
    let mut run = ProbedLoop::new(probing_settings(), zones());
    run.run(3 * SECOND, 50 * MS, &|to| Some([0.97, 0.6, 0.1][zone(to) as usize]), NO_FAILURE);
    let sends_before = run.sends.len();
    run.run(5 * SECOND, 50 * MS, &|to| Some([0.97, 0.6, 0.1][zone(to) as usize]), NO_FAILURE);
    assert!(
        run.share(sends_before, |to| zone(to) == 2) > 0.9,
        "requests did not overflow to the zone with the most headroom"
    );
    run.run(3 * SECOND, 50 * MS, &|_| Some(0.2), NO_FAILURE);
    let sends_before = run.sends.len();
    run.run(5 * SECOND, 50 * MS, &|_| Some(0.2), NO_FAILURE);
    assert!(run.share(sends_before, |to| zone(to) == 0) > 0.9, "requests did not return to the home zone");
}

/// A process that rejects every request reports no load: this must not make its zone look free.
#[test]
fn backend_that_reports_idle_and_fails_all_requests_gets_few() {
    let reply = |to: BackendId| Some(if to.0 == 0 { 0.0 } else { [0.97, 0.2, 0.2][zone(to) as usize] });
    for outcome in [Outcome::Rejected, Outcome::Error, Outcome::ConnectFailed] {
        let mut run = ProbedLoop::new(probing_settings(), zones());
        let failure = |to: BackendId| (to.0 == 0).then_some(outcome);
        run.run(5 * SECOND, 50 * MS, &reply, &failure);
        let sends_before = run.sends.len();
        run.run(10 * SECOND, 50 * MS, &reply, &failure);
        let share = run.share(sends_before, |to| to.0 == 0);
        assert!(share < 0.1, "{outcome:?}: a share {share} of the sends");
    }
}

#[test]
fn backend_that_reports_full_and_serves_fast_is_still_used() {
    let members: Vec<Member> = (0..6).map(|b| member(b, b / 3)).collect();
    let mut run = ProbedLoop::new(Settings { zones: 2, ..probing_settings() }, members);
    run.run(10 * SECOND, 50 * MS, &|to| Some(if to.0 == 0 { 1.0 } else { 0.3 }), NO_FAILURE);
    assert!(
        run.share(0, |to| to.0 < 3) > 0.95,
        "requests left the home zone because of one backend's report"
    );
    assert!(run.share(0, |to| to.0 == 0) > 0.1, "the backend that reports full was not used");
}

/// The reply to a probe of an earlier incarnation describes a process that has ended.
#[test]
fn report_of_an_earlier_incarnation_is_ignored() {
    let mut node_settings = probing_settings();
    node_settings.rules.warm_up_time = MS;
    let mut node = Node::new(node_settings, zones());
    // Probes of both home backends are in flight when both backends restart.
    let mut probed = Vec::new();
    while probed.iter().filter(|to| zone(**to) == 0).count() < 2 {
        probed.extend(probes(&node.advance(10 * MS)));
    }
    let restarted = |backend| Member { online_since: Some(SECOND / 2), ..member(backend, 0) };
    node.list(ListScope::Changes, vec![restarted(0), restarted(1)]);
    // The replies to these probes arrive; there are no other reports.
    for to in probed {
        node.handle(probe_end(to, Outcome::Served, utilisation(if zone(to) == 0 { 0.99 } else { 0.1 })));
    }
    node.advance(200 * MS);
    assert_eq!(
        first_sent_to(&node.arrive(SECOND).1).map(zone),
        Some(0),
        "the request left home because of an earlier incarnation's report"
    );
}

#[test]
fn report_past_its_max_age_is_ignored() {
    let mut run = ProbedLoop::new(probing_settings(), zones());
    run.run(3 * SECOND, 50 * MS, &|to| Some(if zone(to) == 0 { 0.97 } else { 0.1 }), NO_FAILURE);
    assert_ne!(run.sends.last().map(|to| zone(*to)), Some(0));
    // The overload is over, but no reply to a probe shows it. The lack of replies must not count as a fault.
    run.node.now += 5 * SECOND;
    assert_eq!(first_sent_to(&run.node.arrive(SECOND).1).map(zone), Some(0));
}

/// The last reports of the partitioned zone were low: by these, or without any report, the zone would be the
/// best one.
#[test]
fn partitioned_zone_gets_no_requests_and_few_probes() {
    let mut run = ProbedLoop::new(probing_settings(), zones());
    run.run(3 * SECOND, 50 * MS, &|to| Some([0.97, 0.05, 0.5][zone(to) as usize]), NO_FAILURE);
    assert_eq!(run.sends.last().map(|to| zone(*to)), Some(1));
    let partitioned = |to: BackendId| (zone(to) != 1).then_some([0.97, 0.0, 0.5][zone(to) as usize]);
    run.run(3 * SECOND, 50 * MS, &partitioned, NO_FAILURE);
    let (sends_before, probes_before) = (run.sends.len(), run.probes.len());
    run.run(20 * SECOND, 50 * MS, &partitioned, NO_FAILURE);
    assert_eq!(
        run.share(sends_before, |to| zone(to) == 1),
        0.0,
        "requests were sent to the partitioned zone"
    );
    assert!(
        run.share(sends_before, |to| zone(to) == 2) > 0.9,
        "requests were not sent to the zone with capacity"
    );
    let to_partitioned_zone = run.probes[probes_before..].iter().filter(|to| zone(**to) == 1).count();
    let all = run.probes.len() - probes_before;
    assert!(
        to_partitioned_zone * 4 < all && to_partitioned_zone > 0,
        "{to_partitioned_zone} of {all} probes were sent to the partitioned zone"
    );
}

#[test]
fn probing_continues_while_discovery_fails() {
    let mut run =
        ProbedLoop::new(Settings { discovery: Discovery::OnRequest, ..probing_settings() }, zones());
    run.run(2 * SECOND, 50 * MS, &|_| Some(0.3), NO_FAILURE);
    run.node.handle(Event::DiscoveryFailed);
    let probes_before = run.probes.len();
    run.run(10 * SECOND, 50 * MS, &|_| Some(0.3), NO_FAILURE);
    assert!(run.probes.len() > probes_before + 10);
    let probed: std::collections::BTreeSet<_> = run.probes[probes_before..].iter().collect();
    assert_eq!(probed.len(), 6, "not all known backends were probed");
}

/// Attempts of all nodes in flight at a backend.
fn in_flight_at(loops: &[ProbedLoop], backend: u32) -> usize {
    let attempts = loops.iter().flat_map(|run| &run.attempts_in_flight);
    attempts.filter(|attempt| attempt.backend.0 == backend).count()
}

/// Three nodes with different home zones, all zones close to the threshold: requests that one zone overflows
/// would be replaced by requests that the others overflow, at the cost of two crossings.
#[test]
fn zones_at_the_threshold_do_not_swap_their_load() {
    const ARRIVAL_INTERVALS: [Nanos; 4] = [MS, 4 * MS, 2 * MS, 3 * MS];
    let members: Vec<Member> = (0..18).map(|b| member(b, b / 6)).collect();
    let probed_loop = |home| {
        let settings = Settings { home: ZoneId(home), nodes: 3, ..probing_settings() };
        ProbedLoop::of(Node::seeded(u64::from(home), settings, members.clone()))
    };
    let mut loops: Vec<ProbedLoop> = (0..3).map(probed_loop).collect();
    let mut next_arrival = [SECOND; 3];
    let (mut turn, mut crossed, mut all) = (0, 0, 0);
    for _ in 0..4000 {
        let load: Vec<usize> = (0..18).map(|backend| in_flight_at(&loops, backend)).collect();
        let reply = |to: BackendId| Some((load[to.0 as usize] as f64 / 3.0).min(1.0));
        for home in 0..3 {
            let run = &mut loops[home];
            let before = run.sends.len();
            let mut actions = run.node.advance(5 * MS);
            while run.node.now >= next_arrival[home] {
                turn += 1;
                next_arrival[home] += ARRIVAL_INTERVALS[turn % 4];
                actions.extend(run.node.arrive(SECOND).1);
            }
            run.carry_out(actions);
            run.end_probes(&reply);
            run.end_attempts(NO_FAILURE);
            let new = &run.sends[before..];
            all += new.len();
            crossed += new.iter().filter(|to| to.0 as usize / 6 != home).count();
        }
    }
    let share = crossed as f64 / all as f64;
    assert!(all > 9000 && share < 0.2, "a share {share:.3} of {all} requests crossed zones");
}

/// A report of one backend of many says too little about its zone to leave the zone or to choose it.
#[test]
fn too_few_reports_do_not_decide_a_zones_utilisation() {
    let members: Vec<Member> = (0..20).map(|b| member(b, b / 10)).collect();
    let mut run = ProbedLoop::new(Settings { zones: 2, ..probing_settings() }, members);
    // The other home backends reply without a valid report.
    let reply = |to: BackendId| Some(if matches!(to.0, 1..10) { f64::NAN } else { 0.99 });
    run.run(5 * SECOND, 10 * MS, &reply, NO_FAILURE);
    assert!(run.share(0, |to| to.0 < 10) > 0.95, "requests left the home zone because of one of ten reports");
    let reply = |to: BackendId| {
        Some(if matches!(to.0, 3..10) { f64::NAN } else { 0.99 * f64::from(u8::from(to.0 < 10)) })
    };
    run.run(3 * SECOND, 10 * MS, &reply, NO_FAILURE);
    let sends_before = run.sends.len();
    run.run(3 * SECOND, 10 * MS, &reply, NO_FAILURE);
    assert!(
        run.share(sends_before, |to| to.0 >= 10) > 0.9,
        "three reports did not decide the home zone's utilisation"
    );
}
