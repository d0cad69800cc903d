//! Invariants under any sequence of calls: the budget, at most one probe in flight per server, and no probe
//! of a removed server. Further tests check how a small budget is spent.

use std::collections::{BTreeMap, BTreeSet};

use ivyhatch_load_probing::{
    Candidate, Limits, LimitsError, Nanos, Priority, ProbeOutcome, Scheduler, ServerId, SubsetSize,
};
use proptest::prelude::*;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1000 * MS;

fn server(id: ServerId, group: u32) -> Candidate {
    let rank = u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    Candidate { id, group, rank, incarnation: 0 }
}

fn fleet(servers: u32, groups: u32) -> Vec<Candidate> {
    (0..servers).map(|id| server(id, id % groups)).collect()
}

/// One call of a scheduler.
#[derive(Clone, Debug)]
enum Call {
    PassTime(u64),
    OnRequests(u8),
    SetCandidates(u16, bool),
    OnProbeEnded(u8, ProbeOutcome),
    SetPriority(u8, Priority),
    OnPassiveReport(u8),
    NextProbes,
}

fn calls() -> impl Strategy<Value = Vec<Call>> {
    let outcome = prop::sample::select(vec![
        ProbeOutcome::Report,
        ProbeOutcome::NoReport,
        ProbeOutcome::Unreachable,
        ProbeOutcome::Cancelled,
    ]);
    let priority = prop::sample::select(Priority::ALL.to_vec());
    let call = prop_oneof![
        (0..900u64).prop_map(Call::PassTime),
        (0..20u8).prop_map(Call::OnRequests),
        (any::<u16>(), any::<bool>())
            .prop_map(|(listed_ids, restarts)| Call::SetCandidates(listed_ids, restarts)),
        (any::<u8>(), outcome).prop_map(|(index, outcome)| Call::OnProbeEnded(index, outcome)),
        (0..16u8, priority).prop_map(|(id, priority)| Call::SetPriority(id, priority)),
        (0..16u8).prop_map(Call::OnPassiveReport),
        Just(Call::NextProbes),
        Just(Call::NextProbes),
    ];
    prop::collection::vec(call, 1..200)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn limits_hold_for_any_sequence_of_calls(calls in calls()) {
        let limits = Limits { max_in_flight: 5, max_in_flight_per_group: 3, probes_per_request: 0.3,
            max_saved_probes: 6.0, subset_size: SubsetSize { min: 4, max: 12 }, ..Limits::default() };
        let mut scheduler = Scheduler::new(limits, 9, 0).expect("valid limits");
        let (mut now, mut requests, mut sent) = (0, 0u32, 0u32);
        let mut listed: BTreeMap<ServerId, (u32, Nanos)> = BTreeMap::new();
        // Probes in flight by server: time sent, incarnation (`None` if its report no longer counts), and
        // group.
        let mut in_flight: BTreeMap<ServerId, (Nanos, Option<Nanos>, u32)> = BTreeMap::new();
        for call in calls {
            match call {
                Call::PassTime(ms) => {
                    now += ms * MS;
                    // The scheduler gives a probe without an outcome up after this time.
                    in_flight.retain(|_, (sent, ..)| now - *sent < limits.lost_after);
                }
                Call::OnRequests(count) => {
                    requests += u32::from(count);
                    (0..count).for_each(|_| scheduler.on_request(now));
                }
                Call::SetCandidates(listed_ids, restarts) => {
                    let before = std::mem::take(&mut listed);
                    let mut servers = Vec::new();
                    for id in (0..16).filter(|id| listed_ids & (1 << id) != 0) {
                        let old = before.get(&id).map_or(0, |known| known.1);
                        let incarnation = if restarts && id % 3 == 0 { now + 1 } else { old };
                        listed.insert(id, (id % 3, incarnation));
                        servers.push(Candidate { incarnation, ..server(id, id % 3) });
                    }
                    // A report of an earlier incarnation, or of a removed server, does not count.
                    for (id, (_, incarnation, _)) in &mut in_flight {
                        if listed.get(id).map(|known| known.1) != *incarnation {
                            *incarnation = None;
                        }
                    }
                    scheduler.set_candidates(servers, now);
                }
                Call::OnProbeEnded(index, outcome) => {
                    let Some(&id) = in_flight.keys().nth(usize::from(index) % in_flight.len().max(1)) else {
                        continue
                    };
                    let (_, incarnation, _) = in_flight.remove(&id).expect("a probe in flight");
                    let counts = scheduler.on_probe_ended(id, outcome, now);
                    prop_assert!(
                        !counts || (incarnation.is_some() && outcome != ProbeOutcome::Cancelled),
                        "the outcome of a probe of server {id} counted"
                    );
                }
                Call::SetPriority(id, priority) => scheduler.set_priority(id.into(), priority),
                Call::OnPassiveReport(id) => scheduler.on_passive_report(id.into(), now),
                Call::NextProbes => while let Some(id) = scheduler.next_probe(now) {
                    let Some(&(group, incarnation)) = listed.get(&id) else {
                        panic!("server {id} was probed but is not listed")
                    };
                    sent += 1;
                    prop_assert!(
                        in_flight.insert(id, (now, Some(incarnation), group)).is_none(),
                        "two probes in flight to server {id}"
                    );
                    prop_assert!(in_flight.len() <= limits.max_in_flight);
                    prop_assert!(
                        in_flight.values().filter(|(_, _, of)| *of == group).count()
                            <= limits.max_in_flight_per_group
                    );
                    prop_assert!(f64::from(sent) <= f64::from(requests) * limits.probes_per_request + limits.max_saved_probes + 1e-6);
                },
            }
            prop_assert!(scheduler.subset().count() <= limits.subset_size.max);
        }
    }
}

/// Simulates `seconds` of requests at a constant rate; each probe ends 5 ms after it was sent, with the
/// outcome that `outcome` returns for its server. Returns the probes in order.
fn simulate(
    scheduler: &mut Scheduler,
    rate: u64,
    seconds: u64,
    outcome: impl Fn(ServerId) -> ProbeOutcome,
) -> Vec<(Nanos, ServerId)> {
    let (mut in_flight, mut sent) = (Vec::new(), Vec::new());
    let tick = 5 * MS;
    for step in 0..seconds * SECOND / tick {
        let now = step * tick;
        (0..(step + 1) * rate * tick / SECOND - step * rate * tick / SECOND)
            .for_each(|_| scheduler.on_request(now));
        scheduler.resize_subset(now);
        for (_, id) in std::mem::take(&mut in_flight) {
            scheduler.on_probe_ended(id, outcome(id), now);
        }
        while let Some(id) = scheduler.next_probe(now) {
            in_flight.push((now, id));
            sent.push((now, id));
        }
    }
    sent
}

fn count(sent: &[(Nanos, ServerId)], which: impl Fn(ServerId) -> bool) -> usize {
    sent.iter().filter(|(_, id)| which(*id)).count()
}

#[test]
fn short_budget_stretches_all_intervals_alike_and_starves_no_server() {
    let mut scheduler =
        Scheduler::new(Limits { probes_per_request: 0.05, ..Limits::default() }, 3, 0).unwrap();
    scheduler.set_candidates(fleet(20, 1), 0);
    (0..10).for_each(|id| scheduler.set_priority(id, Priority::Urgent));
    (10..20).for_each(|id| scheduler.set_priority(id, Priority::Idle));
    let sent = simulate(&mut scheduler, 100, 120, |_| ProbeOutcome::Report);
    let (urgent, idle) = (count(&sent, |id| id < 10), count(&sent, |id| id >= 10));
    // Intervals of 0.5 s and 2.5 s give five times as many probes, apart from the jitter.
    assert!(idle >= 60 && (3 * idle..8 * idle).contains(&urgent), "{urgent} urgent, {idle} idle");
    assert!((0..20).all(|id| count(&sent, |of| of == id) > 3), "a server was probed three times or less");
}

#[test]
fn unreachable_servers_are_probed_with_bounded_backoff() {
    let mut scheduler =
        Scheduler::new(Limits { probes_per_request: 1.0, ..Limits::default() }, 3, 0).unwrap();
    scheduler.set_candidates(fleet(6, 2), 0);
    (0..6).for_each(|id| scheduler.set_priority(id, Priority::NearThreshold));
    let sent = simulate(&mut scheduler, 100, 60, |id| {
        if id % 2 == 0 { ProbeOutcome::Report } else { ProbeOutcome::Unreachable }
    });
    let (reachable, unreachable) = (count(&sent, |id| id % 2 == 0), count(&sent, |id| id % 2 == 1));
    assert!(
        unreachable * 3 < reachable,
        "{unreachable} probes of unreachable servers, {reachable} of the others"
    );
    let gaps = sent.iter().filter(|(_, id)| *id == 1).map(|(at, _)| *at).collect::<Vec<_>>();
    let longest = gaps.windows(2).map(|two| two[1] - two[0]).max().unwrap();
    assert!(longest <= 5 * SECOND + 50 * MS, "an unreachable server was not probed for {} ms", longest / MS);
    assert_eq!(scheduler.stats(60 * SECOND).unreachable, 3);
}

/// All nodes receive a new server at the same moment.
#[test]
fn nodes_that_start_together_do_not_probe_together() {
    let mut slots: BTreeMap<Nanos, u32> = BTreeMap::new();
    for seed in 0..100 {
        let mut scheduler = Scheduler::new(Limits::default(), seed, 0).unwrap();
        scheduler.set_candidates(vec![server(0, 0)], 0);
        let (at, _) = simulate(&mut scheduler, 10, 2, |_| ProbeOutcome::Report)[0];
        *slots.entry(at / (50 * MS)).or_default() += 1;
    }
    assert!(slots.len() >= 9 && slots.values().all(|&nodes| nodes <= 25), "{slots:?}");
}

#[test]
fn subset_of_many_servers_is_stable_and_half_local() {
    let limits = Limits { probes_per_request: 0.2, ..Limits::default() };
    let mut scheduler = Scheduler::new(limits, 3, 0).unwrap();
    scheduler.set_candidates(fleet(10_000, 3), 0);
    let sent = simulate(&mut scheduler, 200, 60, |_| ProbeOutcome::Report);
    let subset: BTreeSet<ServerId> = scheduler.subset().collect();
    let local = subset.iter().filter(|id| *id % 3 == 0).count();
    // 40 probes per second keep 80 reports fresh, each renewed twice within 4 s.
    assert!((50..130).contains(&subset.len()), "{} servers in the subset", subset.len());
    assert!(
        local.abs_diff(subset.len() / 2) <= 1,
        "{local} of {} servers of the subset are in the node's own zone",
        subset.len()
    );
    let stats = scheduler.stats(60 * SECOND);
    assert!(stats.fresh_reports * 10 > stats.subset * 9 && stats.candidates == 10_000, "{stats:?}");
    assert!(sent.len() as f64 <= 12_000.0 * 0.2 + 16.0);
    // The removal of one server from the subset replaces no other server.
    let removed = *subset.first().unwrap();
    scheduler.set_candidates(
        fleet(10_000, 3).into_iter().filter(|server| server.id != removed).collect(),
        60 * SECOND,
    );
    let after: BTreeSet<ServerId> = scheduler.subset().collect();
    assert!(subset.difference(&after).count() <= 1 + subset.len().abs_diff(after.len()));
}

#[test]
fn limits_out_of_range_are_rejected_by_field() {
    let invalid: [(Limits, &str); 6] = [
        (Limits { probes_per_request: f64::NAN, ..Limits::default() }, "probes_per_request"),
        (Limits { probes_per_request: -0.1, ..Limits::default() }, "probes_per_request"),
        (Limits { max_saved_probes: 0.5, ..Limits::default() }, "max_saved_probes"),
        (Limits { max_in_flight: 0, ..Limits::default() }, "max_in_flight"),
        (Limits { intervals: [MS, 2 * MS, MS, MS], ..Limits::default() }, "intervals"),
        (Limits { subset_size: SubsetSize { min: 5, max: 4 }, ..Limits::default() }, "subset_size"),
    ];
    for (limits, field) in invalid {
        let error: LimitsError = Scheduler::new(limits, 0, 0).err().expect(field);
        assert_eq!(error.field, field);
    }
}
