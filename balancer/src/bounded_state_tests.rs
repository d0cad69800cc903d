//! The state of a node is bounded by the number of listed backends and of open requests.

use crate::api::{
    Action, Arrival, AttemptEnd, BackendId, BackendState, ClassId, ClassSettings, Event, Idempotency, Limits,
    ListScope, LoadReport, LoadReporting, Member, Nanos, Outcome, RequestId, SECOND, Settings, ZoneId,
};
use crate::state::Balancer;

/// A node whose actions are kept until the test carries them out.
struct Node {
    balancer: Balancer,
    actions: Vec<Action>,
    arrivals: u64,
}

impl Node {
    fn new() -> Self {
        let class = ClassSettings { idempotency: Idempotency::NonIdempotent, ..ClassSettings::default() };
        let defaults = Settings::new(ZoneId(0), 3);
        let settings = Settings {
            classes: vec![class; 2],
            limits: Limits { probes: true, ..defaults.limits },
            reports: LoadReporting::Pull,
            nodes: 300,
            ..defaults
        };
        let balancer = Balancer::new(settings, 7, SECOND).expect("valid settings");
        Self { balancer, actions: Vec::new(), arrivals: 0 }
    }

    fn handle(&mut self, now: Nanos, event: Event) {
        self.balancer.handle(now, event, &mut self.actions);
    }

    /// A request arrives. Every fifth client disconnects at once.
    fn arrive(&mut self, now: Nanos) {
        let request = RequestId(self.arrivals);
        self.arrivals += 1;
        let arrival = Arrival {
            request,
            class: ClassId((self.arrivals % 2) as u32),
            expected_work: None,
            is_retry: false,
            tenant: None,
            not_after: now + SECOND,
        };
        self.handle(now, Event::Request(arrival));
        if self.arrivals.is_multiple_of(5) {
            self.handle(now, Event::ClientDisconnected { request });
        }
    }

    /// Ends every attempt with `outcome`, and every probe with a load report.
    fn carry_out(&mut self, now: Nanos, outcome: Outcome) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Send { request, .. } => {
                    let (elapsed, request_ended) = (SECOND / 5, outcome == Outcome::Served);
                    let report = LoadReport::default();
                    let end = AttemptEnd { request, attempt: 0, outcome, elapsed, request_ended, report };
                    self.handle(now, Event::AttemptEnded(end));
                }
                Action::Probe { backend } => {
                    let report = LoadReport { utilisation: Some(0.5), ..LoadReport::default() };
                    let (outcome, elapsed) = (Outcome::Served, SECOND / 100);
                    self.handle(now, Event::ProbeEnded { backend, outcome, elapsed, report });
                }
                _ => {}
            }
        }
    }
}

fn member(backend: u64) -> Member {
    Member {
        backend: BackendId(backend as u32),
        zone: ZoneId((backend % 3) as u32),
        machine_kind: (backend % 2) as u32,
        online_since: Some(SECOND * backend / 2),
        ..Member::default()
    }
}

/// Thirty backends at a time, one of which is replaced every other round: half of the replaced backends leave
/// with a removal notice, the others are missing from a full list.
fn membership(round: u64) -> Event {
    if round.is_multiple_of(4) {
        let leaving = Member { state: BackendState::Removed, ..member(round / 2) };
        return Event::Membership { scope: ListScope::Changes, members: vec![leaving] };
    }
    let members = (round / 2..round / 2 + 30).map(member).collect();
    Event::Membership { scope: ListScope::Full, members }
}

/// Backends start, restart, drain and leave, some without a notice, while there are requests, probes and
/// clients that disconnect. No entry may be kept for a backend or a request that is gone.
#[test]
fn state_after_many_membership_changes_is_bounded_by_the_list() {
    let mut node = Node::new();
    for round in 0..20_000u64 {
        let now = SECOND * (1 + round);
        node.handle(now, membership(round));
        for _ in 0..3 {
            node.arrive(now);
        }
        node.handle(now + SECOND / 4, Event::Timer { token: 0 });
        let outcome = if round.is_multiple_of(7) { Outcome::Reset } else { Outcome::Served };
        node.carry_out(now + SECOND / 2, outcome);
        node.handle(now + SECOND / 4 * 3, Event::Timer { token: 0 });
    }
    let node = node.balancer;
    let slow_start_sends: usize = node.backends.values().map(|backend| backend.slow_start_sends.len()).sum();
    assert!(node.backends.len() <= 31, "{} backends", node.backends.len());
    assert_eq!(node.zone_backends.iter().map(Vec::len).sum::<usize>(), node.backends.len());
    assert!(node.requests.len() <= 3, "{} requests", node.requests.len());
    assert!(slow_start_sends <= 31 * 3 * 30, "{slow_start_sends} slow-start sends");
    assert!(node.idle_weights.len() <= 2);
    // A notice is valid for five minutes: the bound covers the notices received in that time, and as many
    // backends that went missing from full lists.
    assert!(node.removal_notices.len() <= 320, "{} notices", node.removal_notices.len());
    assert!(node.probe_scheduler.as_ref().is_some_and(|probes| probes.subset().count() <= 31));
    assert_eq!(
        node.zones.iter().map(|zone| zone.in_flight).sum::<f64>(),
        0.0,
        "attempts in flight after all have ended"
    );
}
