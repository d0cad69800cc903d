//! Failures found where nodes are many: each sees little, shares nothing, and must not act as one.

mod common;
use common::*;
use ivyhatch_balancer::*;

const NODES: u32 = 300;

/// Settings of one of many nodes in three zones, with live weights and late answers worth nothing.
fn many() -> Settings {
    Settings { nodes: NODES, weights: Weights::Live, ..settings(Idempotency::Idempotent) }
}

/// A list of ten backends a zone, each holding what `held` says for its zone.
fn listed(held: [f64; 3]) -> Vec<Member> {
    let weight = |zone: u32| 1.0 / (1.0 + held[zone as usize]);
    (0..30).map(|b| Member { weight: weight(b / 10), ..member(b, b / 10) }).collect()
}

fn node(seed: u64, given: Settings, members: Vec<Member>) -> Node {
    // An idle list first: the largest weight of a kind is its size.
    let mut node = Node::seeded(seed, given, listed([0.0; 3]));
    node.list(ListScope::Full, members);
    node
}

/// Two requests a second, each served after `took`, under a list that is renewed every second.
fn serve(node: &mut Node, seconds: u64, held: [f64; 3], took: Nanos) -> Vec<BackendId> {
    let mut used = Vec::new();
    for turn in 0..seconds * 2 {
        if turn % 2 == 0 {
            node.list(ListScope::Full, listed(held));
        }
        let (request, actions) = node.ask(SECOND);
        node.now += took;
        if let Some(to) = sent(&actions) {
            used.push(to);
            node.settle_after(request, 0, Outcome::Served, took, LoadReport::default());
        }
        node.now += SECOND / 2 - took;
    }
    used
}

fn zone(backend: &BackendId) -> u32 {
    backend.0 / 10
}

/// Live weights were taken for capacity: home never counted as used, and never spilled (first full score).
#[test]
fn live_weights_tell_the_utilisation() {
    let mut calm = node(1, many(), listed([1.0; 3]));
    assert!(serve(&mut calm, 30, [1.0, 0.2, 0.2], 50 * MS).iter().all(|to| zone(to) == 0));
    let mut full = node(1, many(), listed([9.0, 0.2, 3.5]));
    let used = serve(&mut full, 30, [9.0, 0.2, 3.5], 50 * MS);
    let spilled = used.iter().filter(|to| zone(to) == 1).count();
    assert!(spilled > used.len() / 3, "{spilled} of {} left a full home", used.len());
    assert!(used.iter().all(|to| zone(to) != 2), "only the best zone takes the overflow");
}

/// Nodes with the same view all left home at once and piled onto the next zone.
#[test]
fn nodes_do_not_spill_as_one() {
    let first_spill = |seed| {
        let mut node = node(seed, many(), listed([5.0, 0.2, 0.2]));
        serve(&mut node, 20, [5.0, 0.2, 0.2], 50 * MS).iter().position(|to| zone(to) == 1)
    };
    let mut times: Vec<Option<usize>> = (0..12).map(first_spill).collect();
    times.sort_unstable();
    times.dedup();
    assert!(times.len() > 3, "spilled at the same request: {times:?}");
}

/// The busiest server had 13 times the mean: every node took the few that a late list showed as free.
#[test]
fn nodes_do_not_herd_onto_what_a_late_list_shows_as_free() {
    let members: Vec<Member> =
        (0..30).map(|b| Member { weight: if b == 3 { 1.0 } else { 0.25 }, ..member(b, b / 10) }).collect();
    let to_free = (0..200).filter(|&seed| {
        let mut node = node(seed, many(), members.clone());
        sent(&node.ask(SECOND).1) == Some(BackendId(3))
    });
    let to_free = to_free.count();
    assert!((10..60).contains(&to_free), "{to_free} of 200 nodes chose the free one of ten");
}

/// Portal at full size: 2,000 refused connections in 5 s, as every node opened one to every server.
#[test]
fn a_node_keeps_to_a_subset_and_widens_it_on_failure() {
    let distinct = |used: &[BackendId]| {
        let mut seen: Vec<u32> = used.iter().map(|to| to.0).collect();
        seen.sort_unstable();
        seen.dedup();
        seen
    };
    let mut node = node(5, many(), listed([0.5; 3]));
    let subset = distinct(&serve(&mut node, 60, [0.5; 3], 50 * MS));
    assert_eq!(subset.len(), 4);
    // None of the subset takes a connection: the request still finds a backend, once each has been tried.
    let mut widened = false;
    for _ in 0..10 {
        let (request, actions) = node.ask(SECOND);
        let (mut to, mut attempt) = (sent(&actions), 0);
        while let Some(tried) = to {
            widened |= !subset.contains(&tried.0);
            let failed = if subset.contains(&tried.0) { Outcome::ConnectFailed } else { Outcome::Served };
            to = sent(&node.settle_after(request, attempt, failed, MS, LoadReport::default()));
            attempt += 1;
        }
    }
    assert!(widened);
}

/// A full table of connections was taken for ill health and ejected for seconds.
#[test]
fn a_refused_connection_is_no_outlier_where_nodes_are_many() {
    let mut node = node(5, many(), listed([0.5; 3]));
    let mut logs = 0;
    for _ in 0..40 {
        let (request, _) = node.ask(SECOND);
        let actions = node.settle_after(request, 0, Outcome::ConnectFailed, MS, LoadReport::default());
        logs += actions
            .iter()
            .filter(|action| matches!(action, Action::Log(text) if text.contains("ejected")))
            .count();
        node.now += SECOND;
    }
    assert_eq!(logs, 0);
}

/// Jitter of arrivals made first tries look like repeats bound by the deadline: a third was refused.
#[test]
fn a_try_a_little_shorter_than_others_is_taken() {
    let mut node = node(3, many(), listed([0.5; 3]));
    for turn in 0..40 {
        let (request, actions) = node.ask(500 * MS - (turn % 7) * MS);
        assert!(sent(&actions).is_some(), "turn {turn}");
        node.now += 50 * MS;
        node.settle_after(request, 0, Outcome::Served, 50 * MS, LoadReport::default());
        node.now += 400 * MS;
    }
}

/// Repeats past the aim of the first try kept jams alive: serving them is worth nothing.
#[test]
fn a_repeat_past_its_aim_is_refused_where_late_answers_are_worth_nothing() {
    let mut node = node(3, many(), listed([0.5; 3]));
    let (request, _) = node.ask(800 * MS);
    node.settle(request, 0, Outcome::Served, LoadReport::default());
    // The deadline is 1 s and the aim 400 ms: a try with 300 ms left began 700 ms ago.
    let (_, actions) = node.ask(300 * MS);
    assert!(sent(&actions).is_none() && refused(&actions));
}

/// A class that had not been asked for of late found nothing left of a rounded sum.
#[test]
fn a_class_not_asked_for_of_late_is_taken() {
    let mut given = many();
    given.classes.push(class(400, 1000, Idempotency::Idempotent));
    let mut node = node(3, given, listed([0.5; 3]));
    serve(&mut node, 10, [0.5; 3], 50 * MS);
    let (request, class) = (RequestId(9_999), ClassId(1));
    let not_after = node.now + SECOND;
    let actions = node.tell(Event::Request(Arrival {
        request,
        class,
        expected_work: None,
        is_retry: false,
        tenant: None,
        not_after,
    }));
    assert!(sent(&actions).is_some());
}

/// What a node did with a stretch of traffic.
struct Stretch {
    asked: u32,
    sent: u32,
    most_out: usize,
}

/// A node under traffic, and its attempts that are out.
struct Traffic {
    node: Node,
    out: Vec<(Nanos, RequestId, u32, Outcome, Nanos)>,
    attempts: std::collections::BTreeMap<RequestId, u32>,
    /// Whose the requests are, in turn; nobody's where empty.
    tenants: Vec<u32>,
    /// Attempts made, and requests asked, by tenant.
    made: [u32; 2],
    asked: [u32; 2],
    whose: std::collections::BTreeMap<RequestId, u32>,
}

impl Traffic {
    fn of(node: Node) -> Self {
        let (out, attempts, tenants) = (Vec::new(), Default::default(), Vec::new());
        Self { node, out, attempts, tenants, made: [0; 2], asked: [0; 2], whose: Default::default() }
    }

    /// So many requests a second for so many seconds, whose clients wait for five. Each attempt ends as
    /// `ends` says of its backend.
    fn run(
        &mut self,
        rate: u64,
        seconds: u64,
        mut ends: impl FnMut(BackendId, Nanos) -> (Outcome, Nanos),
    ) -> Stretch {
        let Self { node, out, attempts, .. } = self;
        let mut seen = Stretch { asked: 0, sent: 0, most_out: 0 };
        let first = node.now;
        while node.now < first + seconds * SECOND {
            let mut actions = Vec::new();
            while u64::from(seen.asked) < (node.now - first) * rate / SECOND {
                let tenant = self.tenants.get(seen.asked as usize % self.tenants.len().max(1)).copied();
                let (request, asked) = match tenant {
                    Some(tenant) => node.ask_for(tenant, 5 * SECOND),
                    None => node.ask(5 * SECOND),
                };
                self.asked[tenant.unwrap_or(0) as usize] += 1;
                self.whose.insert(request, tenant.unwrap_or(0));
                actions.extend(asked);
                seen.asked += 1;
            }
            actions.extend(node.pass(10 * MS));
            let due: Vec<_> = out.extract_if(.., |due| due.0 <= node.now).collect();
            for (_, request, attempt, outcome, took) in due {
                actions.extend(node.settle_after(request, attempt, outcome, took, LoadReport::default()));
            }
            for action in actions {
                if let Action::Send { request, backend, .. } = action {
                    let (outcome, took) = ends(backend, node.now);
                    self.made[self.whose[&request] as usize] += 1;
                    let attempt = attempts.entry(request).and_modify(|last| *last += 1).or_insert(0);
                    out.push((node.now + took, request, *attempt, outcome, took));
                    seen.sent += 1;
                }
            }
            seen.most_out = seen.most_out.max(out.len());
        }
        seen
    }
}

fn of_a_hundred() -> Traffic {
    of_a_hundred_given(settings(Idempotency::NonIdempotent))
}

fn of_a_hundred_given(given: Settings) -> Traffic {
    let classes = vec![class(700, 5000, Idempotency::NonIdempotent)];
    let given = Settings { nodes: 100, classes, ..given };
    Traffic::of(Node::new(given, (0..60).map(|b| member(b, b / 20)).collect()))
}

/// The calm day of 300 nodes: a burst filled all servers, each node's share of the arrivals fell by a half
/// a second, and what had been sent stayed there for ten seconds: 12 of 100 requests in time for the rest
/// of the day.
#[test]
fn a_jam_holds_no_more_of_a_nodes_requests_than_its_window() {
    let mut node = of_a_hundred();
    let calm = node.run(14, 10, |_, _| (Outcome::Served, 180 * MS));
    assert_eq!(calm.sent, calm.asked);
    // Nothing comes back any more but after four seconds.
    let jam = node.run(28, 8, |_, _| (Outcome::Served, 4 * SECOND));
    assert!(jam.most_out < 30, "{} out of {} asked", jam.most_out, jam.asked);
    let late = node.run(28, 8, |_, _| (Outcome::Served, 4 * SECOND));
    assert!(late.sent < 40, "{} sent into a jam, of {}", late.sent, late.asked);
    node.run(14, 10, |_, _| (Outcome::Served, 180 * MS));
    let after = node.run(14, 5, |_, _| (Outcome::Served, 180 * MS));
    assert!(after.sent > after.asked * 9 / 10, "{} of {} after the jam", after.sent, after.asked);
}

/// The fleet days: the share taken was bound by what had been served of all that was asked, the refused
/// included. It grew by 15 % in three seconds once a jam was over, and servers stood idle for the rest of
/// the day.
#[test]
fn a_node_that_refused_in_a_jam_takes_all_again_within_seconds_of_its_end() {
    let mut node = of_a_hundred();
    let part = |seen: Stretch| f64::from(seen.sent) / f64::from(seen.asked);
    assert!(part(node.run(17, 5, |_, _| (Outcome::Served, 180 * MS))) > 0.95);
    node.run(17, 8, |_, _| (Outcome::TimedOut, 700 * MS));
    let jammed = part(node.run(17, 4, |_, _| (Outcome::TimedOut, 700 * MS)));
    assert!(jammed < 0.2, "{jammed} sent into a jam");
    node.run(17, 8, |_, _| (Outcome::Served, 180 * MS));
    let after = part(node.run(17, 4, |_, _| (Outcome::Served, 180 * MS)));
    assert!(after > 0.9, "{after} sent eight seconds after the jam");
}

/// Each of ten nodes to a server took one more a round: in a round the server held twice as much, and
/// jammed.
#[test]
fn a_window_that_is_too_small_grows_by_a_part_of_itself() {
    let mut node = of_a_hundred();
    // Strain once, so that what follows is the growth behind it.
    node.run(28, 3, |_, _| (Outcome::Served, 650 * MS));
    node.run(6, 8, |_, _| (Outcome::Served, 180 * MS));
    let before = node.run(60, 1, |_, _| (Outcome::Served, 180 * MS));
    let after = node.run(60, 1, |_, _| (Outcome::Served, 180 * MS));
    assert!(after.sent > before.sent, "{} sent, then {}", before.sent, after.sent);
    // A second has five rounds; all growing by a tenth come to 1.6 times.
    assert!(after.sent < before.sent * 5 / 2, "{} sent, then {}", before.sent, after.sent);
}

/// A node that started in a jam took its times for usual, saw no time left for any answer, and sent nothing
/// ever again.
#[test]
fn a_node_that_starts_in_a_jam_sends_once_it_is_over() {
    let mut node = of_a_hundred();
    node.run(28, 4, |_, _| (Outcome::Served, 650 * MS));
    node.run(6, 6, |_, _| (Outcome::Served, 180 * MS));
    let after = node.run(6, 4, |_, _| (Outcome::Served, 180 * MS));
    assert!(after.sent > after.asked * 9 / 10, "{} of {} sent", after.sent, after.asked);
}

/// In a jam all nodes of a zone went on to try all of its servers, and none could rest.
#[test]
fn a_slow_subset_is_no_reason_to_leave_it() {
    let mut node = of_a_hundred();
    let mut used = std::collections::BTreeSet::new();
    node.run(14, 5, |to, _| {
        used.insert(to);
        (Outcome::Served, 180 * MS)
    });
    node.run(28, 10, |to, _| {
        used.insert(to);
        (Outcome::Served, 3 * SECOND)
    });
    let home = used.iter().filter(|to| to.0 < 20).count();
    assert_eq!(home, 4, "of {used:?}");
}

/// What is past its aim told of the jam only at its end, four aims later.
#[test]
fn what_is_out_past_its_aim_narrows_the_window_before_it_ends() {
    let mut node = of_a_hundred();
    node.run(28, 10, |_, _| (Outcome::Served, 180 * MS));
    let two = node.run(28, 2, |_, _| (Outcome::Served, 60 * SECOND));
    let after = node.run(28, 2, |_, _| (Outcome::Served, 60 * SECOND));
    assert!(after.sent < two.sent / 2, "{} sent, then {}", two.sent, after.sent);
}

/// Which server was sent to was left to chance, whatever the node itself had out there.
#[test]
fn a_server_that_holds_on_to_requests_gets_fewer() {
    let mut node = of_a_hundred();
    let mut counts = std::collections::BTreeMap::new();
    let slow = sent(&node.node.ask(5 * SECOND).1).expect("a send");
    node.run(14, 4, |to, _| {
        *counts.entry(to).or_insert(0) += 1;
        (Outcome::Served, if to == slow { 650 * MS } else { 180 * MS })
    });
    let to_slow = counts.get(&slow).copied().unwrap_or(0);
    let even = counts.values().sum::<i32>() / 4;
    assert!(to_slow * 2 < even, "{to_slow} to the slow one, an even part is {even}");
}

/// The same bound took the errors of bad servers for a lack of room, and refused what well ones would have
/// served.
#[test]
fn errors_of_some_servers_are_no_jam() {
    let mut node = of_a_hundred();
    let ends = |to: BackendId, _| match to.0 % 3 {
        0 => (Outcome::Error, 50 * MS),
        _ => (Outcome::Served, 180 * MS),
    };
    node.run(17, 20, ends);
    let taken = node.run(17, 10, ends);
    assert!(taken.sent > taken.asked * 9 / 10, "{} of {} taken where a third err", taken.sent, taken.asked);
    // The same where all err three times in ten.
    let mut node = of_a_hundred();
    let mut turn = 0;
    let mut ends = |_, _| {
        turn += 1;
        if turn % 10 < 3 { (Outcome::Error, 50 * MS) } else { (Outcome::Served, 180 * MS) }
    };
    node.run(17, 20, &mut ends);
    let taken = node.run(17, 10, &mut ends);
    assert!(taken.sent > taken.asked * 9 / 10, "{} of {} taken where all err", taken.sent, taken.asked);
}

/// Cut at its aim, an attempt went on at its server and was no longer counted: nodes sent on into the jam.
#[test]
fn attempts_are_not_cut_at_their_aim() {
    for nodes in [2, NODES] {
        let mut node = node(3, Settings { nodes, ..many() }, listed([0.5; 3]));
        let (_, actions) = node.ask(SECOND);
        let timeout = |action: &Action| match action {
            Action::Send { timeout, .. } => Some(*timeout),
            _ => None,
        };
        assert_eq!(actions.iter().find_map(timeout), Some(None));
    }
}

/// One send of each node a span was let through: at a thousand nodes more than a cold backend bears.
#[test]
fn many_nodes_together_keep_the_cold_budget() {
    let mut to_cold = 0;
    for seed in 0..u64::from(NODES / 3) {
        let mut node = node(seed, many(), listed([0.5; 3]));
        serve(&mut node, 10, [0.5; 3], 50 * MS);
        let cold = Member { online_since: Some(node.now), ..member(3, 0) };
        node.list(ListScope::Changes, vec![cold]);
        for _ in 0..4 {
            to_cold += usize::from(sent(&node.ask(SECOND).1) == Some(BackendId(3)));
            node.now += SECOND / 2;
        }
    }
    // 200 requests a second come to ten backends a third used: 60 a second each. A tenth of that over 2 s
    // is 12 requests, twice that the rule's limit.
    assert!((1..=24).contains(&to_cold), "{to_cold} to the cold backend");
}

/// A node that had just started took 5% after its first list: it had counted no arrivals yet.
#[test]
fn a_node_that_has_just_started_does_not_shed_all_on_its_first_list() {
    let taken = (0..100).filter(|&seed| {
        let mut node = node(seed, many(), listed([6.0; 3]));
        let (request, _) = node.ask(SECOND);
        node.now += 50 * MS;
        node.settle_after(request, 0, Outcome::Served, 50 * MS, LoadReport::default());
        node.now += 100 * MS;
        node.ask(SECOND);
        node.now += 200 * MS;
        sent(&node.ask(SECOND).1).is_some()
    });
    let taken = taken.count();
    assert!(taken > 60, "{taken} of 100");
}

/// A tenant at several times its usual traffic crowded out all others.
#[test]
fn a_flooding_tenant_is_turned_away_first() {
    // 24 requests a second come, 20 of tenant 0, of which three are within its part; eight can be served.
    let quota = 300.0;
    let tenants = vec![quota, quota];
    let mut node = of_a_hundred_given(Settings {
        tenant_quotas: tenants,
        over_quota_value: 0.1,
        ..settings(Idempotency::NonIdempotent)
    });
    node.tenants = vec![0, 0, 0, 0, 0, 1];
    let mut free = 0;
    node.run(24, 30, |_, now| {
        free = now.max(free + SECOND / 8);
        (Outcome::Served, free - now + 180 * MS)
    });
    let Traffic { made: taken, asked, .. } = node;
    let part = |tenant: usize| f64::from(taken[tenant]) / f64::from(asked[tenant]);
    assert!(part(1) > 1.5 * part(0), "{taken:?} of {asked:?}");
}

/// Incident i58b577: in a jam nearly nothing was served, so that new servers, the way out, got nearly
/// nothing.
#[test]
fn a_jam_does_not_take_the_budget_of_new_servers() {
    let given = Settings { nodes: 3, ..settings(Idempotency::Idempotent) };
    let mut node = Node::new(given, (0..3).map(|b| member(b, 0)).collect());
    node.now += 60 * SECOND;
    node.serve(300, |_| util(0.5));
    for _ in 0..60 {
        let (request, actions) = node.ask(SECOND);
        node.pass(100 * MS);
        if sent(&actions).is_some() {
            node.settle_after(request, 0, Outcome::TimedOut, 100 * MS, util(1.0));
        }
    }
    node.list(
        ListScope::Changes,
        vec![Member { online_since: Some(node.now - 15 * SECOND), ..member(9, 0) }],
    );
    let to_new = (0..40).filter(|_| sent(&node.ask(SECOND).1) == Some(BackendId(9))).count();
    assert!(to_new >= 3, "{to_new} to the new server");
}
