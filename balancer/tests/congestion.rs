//! Congestion with many nodes: concurrency windows shrink and recover, and requests over quota are rejected
//! first.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{MS, Node, SECOND, class, first_sent_to, member, settings};
use ivyhatch_balancer::{Action, BackendId, Idempotency, LoadReport, Nanos, Outcome, RequestId, Settings};

/// Counts of a node over a period of traffic.
struct Period {
    arrivals: u32,
    sends: u32,
    max_in_flight: usize,
}

impl Period {
    fn sent_share(&self) -> f64 {
        f64::from(self.sends) / f64::from(self.arrivals)
    }
}

struct AttemptInFlight {
    request: RequestId,
    attempt: u32,
    outcome: Outcome,
    elapsed: Nanos,
    ends_at: Nanos,
}

/// A node under traffic, and its attempts in flight.
struct Traffic {
    node: Node,
    in_flight: Vec<AttemptInFlight>,
    last_attempts: BTreeMap<RequestId, u32>,
    /// The tenants of the requests, in turn; empty for requests without a tenant.
    tenants: Vec<u32>,
    tenant_of: BTreeMap<RequestId, u32>,
    attempts_by_tenant: [u32; 2],
    arrivals_by_tenant: [u32; 2],
}

impl Traffic {
    fn of(node: Node) -> Self {
        Self {
            node,
            in_flight: Vec::new(),
            last_attempts: BTreeMap::new(),
            tenants: Vec::new(),
            tenant_of: BTreeMap::new(),
            attempts_by_tenant: [0; 2],
            arrivals_by_tenant: [0; 2],
        }
    }

    /// Sends `rate` requests per second to the node for `seconds`; clients wait for five seconds.
    /// `outcome_of` gives the outcome and the latency of an attempt by its backend and the time.
    fn run(
        &mut self,
        rate: u64,
        seconds: u64,
        mut outcome_of: impl FnMut(BackendId, Nanos) -> (Outcome, Nanos),
    ) -> Period {
        let mut period = Period { arrivals: 0, sends: 0, max_in_flight: 0 };
        let start = self.node.now;
        while self.node.now < start + seconds * SECOND {
            let mut actions = Vec::new();
            while u64::from(period.arrivals) < (self.node.now - start) * rate / SECOND {
                actions.extend(self.arrive(period.arrivals as usize));
                period.arrivals += 1;
            }
            actions.extend(self.node.advance(10 * MS));
            actions.extend(self.end_due_attempts());
            for action in actions {
                if let Action::Send { request, backend, .. } = action {
                    let (outcome, elapsed) = outcome_of(backend, self.node.now);
                    self.start_attempt(request, outcome, elapsed);
                    period.sends += 1;
                }
            }
            period.max_in_flight = period.max_in_flight.max(self.in_flight.len());
        }
        period
    }

    fn arrive(&mut self, number: usize) -> Vec<Action> {
        let timeout = 5 * SECOND;
        let tenant = self.tenants.get(number % self.tenants.len().max(1)).copied();
        let (request, actions) = match tenant {
            Some(tenant) => self.node.arrive_from_tenant(tenant, timeout),
            None => self.node.arrive(timeout),
        };
        let tenant = tenant.unwrap_or(0);
        self.arrivals_by_tenant[tenant as usize] += 1;
        self.tenant_of.insert(request, tenant);
        actions
    }

    fn end_due_attempts(&mut self) -> Vec<Action> {
        let now = self.node.now;
        let due: Vec<_> = self.in_flight.extract_if(.., |attempt| attempt.ends_at <= now).collect();
        let mut actions = Vec::new();
        for AttemptInFlight { request, attempt, outcome, elapsed, .. } in due {
            let report = LoadReport::default();
            actions.extend(self.node.end_attempt_after(request, attempt, outcome, elapsed, report));
        }
        actions
    }

    fn start_attempt(&mut self, request: RequestId, outcome: Outcome, elapsed: Nanos) {
        self.attempts_by_tenant[self.tenant_of[&request] as usize] += 1;
        let attempt = *self.last_attempts.entry(request).and_modify(|last| *last += 1).or_insert(0);
        let ends_at = self.node.now + elapsed;
        self.in_flight.push(AttemptInFlight { request, attempt, outcome, elapsed, ends_at });
    }
}

fn one_of_a_hundred_nodes() -> Traffic {
    one_of_a_hundred_nodes_with(settings(Idempotency::NonIdempotent))
}

fn one_of_a_hundred_nodes_with(node_settings: Settings) -> Traffic {
    let classes = vec![class(700, 5000, Idempotency::NonIdempotent)];
    let node_settings = Settings { nodes: 100, classes, ..node_settings };
    Traffic::of(Node::new(node_settings, (0..60).map(|b| member(b, b / 20)).collect()))
}

/// On a calm day with 300 nodes, a burst filled all backends. Each node's share of the arrivals fell only
/// after half a second, and the requests sent until then occupied the backends for ten seconds: 12 of 100
/// requests were served in time for the rest of the day.
#[test]
fn congestion_holds_no_more_requests_than_the_window() {
    let mut node = one_of_a_hundred_nodes();
    let calm = node.run(14, 10, |_, _| (Outcome::Served, 180 * MS));
    assert_eq!(calm.sends, calm.arrivals);
    // No response arrives within four seconds any more.
    let in_congestion = node.run(28, 8, |_, _| (Outcome::Served, 4 * SECOND));
    assert!(
        in_congestion.max_in_flight < 30,
        "{} requests in flight at once during congestion, of {} arrivals",
        in_congestion.max_in_flight,
        in_congestion.arrivals
    );
    let later = node.run(28, 8, |_, _| (Outcome::Served, 4 * SECOND));
    assert!(
        later.sends < 40,
        "{} requests sent during congestion, of {} arrivals",
        later.sends,
        later.arrivals
    );
    node.run(14, 10, |_, _| (Outcome::Served, 180 * MS));
    let after = node.run(14, 5, |_, _| (Outcome::Served, 180 * MS));
    assert!(
        after.sends > after.arrivals * 9 / 10,
        "{} of {} requests sent after congestion",
        after.sends,
        after.arrivals
    );
}

/// On days with a large fleet, the share sent was limited by the share served of all arrivals, including the
/// rejected ones. After the congestion the share grew by 15 % in three seconds, and backends were idle for
/// the rest of the day.
#[test]
fn node_sends_all_requests_again_within_seconds_after_congestion() {
    let mut node = one_of_a_hundred_nodes();
    assert!(node.run(17, 5, |_, _| (Outcome::Served, 180 * MS)).sent_share() > 0.95);
    node.run(17, 8, |_, _| (Outcome::TimedOut, 700 * MS));
    let congested = node.run(17, 4, |_, _| (Outcome::TimedOut, 700 * MS)).sent_share();
    assert!(congested < 0.2, "share {congested} of the requests sent during congestion");
    node.run(17, 8, |_, _| (Outcome::Served, 180 * MS));
    let after = node.run(17, 4, |_, _| (Outcome::Served, 180 * MS)).sent_share();
    assert!(after > 0.9, "share {after} of the requests sent eight seconds after congestion");
}

/// Each of ten nodes that share a backend added 1 to its window per round of responses: the load of the
/// backend doubled within a round, and the backend became congested.
#[test]
fn window_that_is_too_small_grows_by_a_part_of_itself() {
    let mut node = one_of_a_hundred_nodes();
    // Congestion once, so that the growth measured below is that after the first congestion.
    node.run(28, 3, |_, _| (Outcome::Served, 650 * MS));
    node.run(6, 8, |_, _| (Outcome::Served, 180 * MS));
    let before = node.run(60, 1, |_, _| (Outcome::Served, 180 * MS));
    let after = node.run(60, 1, |_, _| (Outcome::Served, 180 * MS));
    assert!(after.sends > before.sends, "{} sent, then {}", before.sends, after.sends);
    // A second has five rounds; growth by a tenth in each gives a factor of 1.6.
    assert!(after.sends < before.sends * 5 / 2, "{} sent, then {}", before.sends, after.sends);
}

/// A node that started during congestion took the latency at that time as the usual one, found that no
/// response could be in time, and never sent anything again.
#[test]
fn node_started_in_congestion_sends_once_it_is_over() {
    let mut node = one_of_a_hundred_nodes();
    node.run(28, 4, |_, _| (Outcome::Served, 650 * MS));
    node.run(6, 6, |_, _| (Outcome::Served, 180 * MS));
    let after = node.run(6, 4, |_, _| (Outcome::Served, 180 * MS));
    assert!(
        after.sends > after.arrivals * 9 / 10,
        "{} of {} requests sent after congestion",
        after.sends,
        after.arrivals
    );
}

/// During congestion all nodes of a zone went on to try all of its backends, so that none could recover.
#[test]
fn node_does_not_leave_a_slow_subset() {
    let mut node = one_of_a_hundred_nodes();
    let mut used = BTreeSet::new();
    node.run(14, 5, |to, _| {
        used.insert(to);
        (Outcome::Served, 180 * MS)
    });
    node.run(28, 10, |to, _| {
        used.insert(to);
        (Outcome::Served, 3 * SECOND)
    });
    let home = used.iter().filter(|to| to.0 < 20).count();
    assert_eq!(home, 4, "home backends among {used:?}");
}

/// An attempt past its latency target indicated the congestion only at its end, four latency targets later.
#[test]
fn overdue_attempts_shrink_the_window_before_they_end() {
    let mut node = one_of_a_hundred_nodes();
    node.run(28, 10, |_, _| (Outcome::Served, 180 * MS));
    let before = node.run(28, 2, |_, _| (Outcome::Served, 60 * SECOND));
    let after = node.run(28, 2, |_, _| (Outcome::Served, 60 * SECOND));
    assert!(after.sends < before.sends / 2, "{} sent, then {}", before.sends, after.sends);
}

/// The backend was chosen at random, regardless of the node's own requests in flight.
#[test]
fn slow_backend_of_the_subset_gets_fewer_requests() {
    let mut node = one_of_a_hundred_nodes();
    let mut counts = BTreeMap::new();
    let slow = first_sent_to(&node.node.arrive(5 * SECOND).1).expect("a send");
    node.run(14, 4, |to, _| {
        *counts.entry(to).or_insert(0) += 1;
        (Outcome::Served, if to == slow { 650 * MS } else { 180 * MS })
    });
    let to_slow = counts.get(&slow).copied().unwrap_or(0);
    let even_share = counts.values().sum::<i32>() / 4;
    assert!(
        to_slow * 2 < even_share,
        "{to_slow} requests sent to the slow backend, an even share is {even_share}"
    );
}

/// The limit by the share served counted errors of faulty backends as a lack of capacity, and rejected
/// requests that healthy backends would have served.
#[test]
fn errors_are_not_taken_for_congestion() {
    let mut node = one_of_a_hundred_nodes();
    let outcome_of = |to: BackendId, _| match to.0 % 3 {
        0 => (Outcome::Error, 50 * MS),
        _ => (Outcome::Served, 180 * MS),
    };
    node.run(17, 20, outcome_of);
    let later = node.run(17, 10, outcome_of);
    assert!(
        later.sends > later.arrivals * 9 / 10,
        "{} of {} requests sent while a third of the backends return errors",
        later.sends,
        later.arrivals
    );
    // The same if all backends return errors for three attempts in ten.
    let mut node = one_of_a_hundred_nodes();
    let mut turn = 0;
    let mut outcome_of = |_, _| {
        turn += 1;
        if turn % 10 < 3 { (Outcome::Error, 50 * MS) } else { (Outcome::Served, 180 * MS) }
    };
    node.run(17, 20, &mut outcome_of);
    let later = node.run(17, 10, &mut outcome_of);
    assert!(
        later.sends > later.arrivals * 9 / 10,
        "{} of {} requests sent while all backends return errors",
        later.sends,
        later.arrivals
    );
}

/// A tenant that sent several times its usual traffic displaced the requests of all other tenants.
#[test]
fn tenant_over_its_quota_is_rejected_first() {
    // 24 requests per second arrive, 20 of them of tenant 0, of which three are within this node's part of
    // the quota; eight per second can be served.
    let quota = 300.0;
    let tenants = vec![quota, quota];
    let mut node = one_of_a_hundred_nodes_with(Settings {
        tenant_quotas: tenants,
        over_quota_value: 0.1,
        ..settings(Idempotency::NonIdempotent)
    });
    node.tenants = vec![0, 0, 0, 0, 0, 1];
    let mut free_at = 0;
    node.run(24, 30, |_, now| {
        free_at = now.max(free_at + SECOND / 8);
        (Outcome::Served, free_at - now + 180 * MS)
    });
    let Traffic { attempts_by_tenant: attempts, arrivals_by_tenant: arrivals, .. } = node;
    let attempts_per_arrival = |tenant: usize| f64::from(attempts[tenant]) / f64::from(arrivals[tenant]);
    assert!(
        attempts_per_arrival(1) > 1.5 * attempts_per_arrival(0),
        "sent by tenant {attempts:?} of {arrivals:?}"
    );
}
