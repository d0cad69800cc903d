//! What holds whatever is told: the budget, one probe out for each server, nothing to one that has left; and what the
//! turns are worth where the budget is short.

use std::collections::{BTreeMap, BTreeSet};

use ivyhatch_load_probing::{Candidate, End, Id, Interest, Limits, LimitsError, Nanos, Scheduler};
use proptest::prelude::*;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1000 * MS;

fn server(id: Id, group: u32) -> Candidate {
    let lot = u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    Candidate { id, group, lot, incarnation: 0 }
}

fn fleet(servers: u32, groups: u32) -> Vec<Candidate> {
    (0..servers).map(|id| server(id, id % groups)).collect()
}

/// One thing told to a scheduler.
#[derive(Clone, Debug)]
enum Step {
    Passes(u64),
    Arrives(u8),
    Lists(u16, bool),
    Ends(u8, End),
    Interests(u8, Interest),
    Tells(u8),
    Turns,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let end = prop::sample::select(vec![End::Figure, End::Empty, End::Unreached, End::Withdrawn]);
    let interest = prop::sample::select(Interest::ALL.to_vec());
    let step = prop_oneof![
        (0..900u64).prop_map(Step::Passes),
        (0..20u8).prop_map(Step::Arrives),
        (any::<u16>(), any::<bool>()).prop_map(|(named, anew)| Step::Lists(named, anew)),
        (any::<u8>(), end).prop_map(|(which, end)| Step::Ends(which, end)),
        (0..16u8, interest).prop_map(|(id, interest)| Step::Interests(id, interest)),
        (0..16u8).prop_map(Step::Tells),
        Just(Step::Turns),
        Just(Step::Turns),
    ];
    prop::collection::vec(step, 1..200)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_bounds_hold_whatever_is_told(steps in steps()) {
        let limits = Limits { out: 5, out_each: 3, per_request: 0.3, saved: 6.0, kept: (4, 12), ..Limits::default() };
        let mut scheduler = Scheduler::new(limits, 9, 0).expect("usable limits");
        let (mut now, mut arrivals, mut sent) = (0, 0u32, 0u32);
        let mut listed: BTreeMap<Id, (u32, Nanos)> = BTreeMap::new();
        // When each probe out was sent, and to which life.
        let mut out: BTreeMap<Id, (Nanos, Option<Nanos>, u32)> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Passes(ms) => {
                    now += ms * MS;
                    // An end that has not come by then is given up.
                    out.retain(|_, (sent, ..)| now - *sent < limits.lost_after);
                }
                Step::Arrives(count) => {
                    arrivals += u32::from(count);
                    (0..count).for_each(|_| scheduler.arrival(now));
                }
                Step::Lists(named, anew) => {
                    let before = std::mem::take(&mut listed);
                    let mut servers = Vec::new();
                    for id in (0..16).filter(|id| named & (1 << id) != 0) {
                        let old = before.get(&id).map_or(0, |known| known.1);
                        let incarnation = if anew && id % 3 == 0 { now + 1 } else { old };
                        listed.insert(id, (id % 3, incarnation));
                        servers.push(Candidate { incarnation, ..server(id, id % 3) });
                    }
                    // One that started anew or left has no life that an earlier probe tells of.
                    for (id, (_, life, _)) in &mut out {
                        if listed.get(id).map(|known| known.1) != *life {
                            *life = None;
                        }
                    }
                    scheduler.list(servers, now);
                }
                Step::Ends(which, end) => {
                    let Some(&id) = out.keys().nth(usize::from(which) % out.len().max(1)) else { continue };
                    let (_, life, _) = out.remove(&id).expect("it is out");
                    let counts = scheduler.ended(id, end, now);
                    prop_assert!(!counts || (life.is_some() && end != End::Withdrawn), "{id} counted");
                }
                Step::Interests(id, interest) => scheduler.interest(id.into(), interest),
                Step::Tells(id) => scheduler.told(id.into(), now),
                Step::Turns => while let Some(id) = scheduler.next(now) {
                    let Some(&(group, life)) = listed.get(&id) else { panic!("{id} is not listed") };
                    sent += 1;
                    prop_assert!(out.insert(id, (now, Some(life), group)).is_none(), "two out to {id}");
                    prop_assert!(out.len() <= limits.out);
                    prop_assert!(out.values().filter(|(_, _, of)| *of == group).count() <= limits.out_each);
                    prop_assert!(f64::from(sent) <= f64::from(arrivals) * limits.per_request + limits.saved + 1e-6);
                },
            }
            prop_assert!(scheduler.kept().count() <= limits.kept.1);
        }
    }
}

/// Plays `seconds` of arrivals at a steady rate; each probe ends after 5 ms as `ends` says. Who was probed, and when.
fn play(scheduler: &mut Scheduler, rate: u64, seconds: u64, ends: impl Fn(Id) -> End) -> Vec<(Nanos, Id)> {
    let (mut out, mut sent) = (Vec::new(), Vec::new());
    let tick = 5 * MS;
    for turn in 0..seconds * SECOND / tick {
        let now = turn * tick;
        (0..(turn + 1) * rate * tick / SECOND - turn * rate * tick / SECOND)
            .for_each(|_| scheduler.arrival(now));
        scheduler.review(now);
        for (_, id) in std::mem::take(&mut out) {
            scheduler.ended(id, ends(id), now);
        }
        while let Some(id) = scheduler.next(now) {
            out.push((now, id));
            sent.push((now, id));
        }
    }
    sent
}

fn count(sent: &[(Nanos, Id)], which: impl Fn(Id) -> bool) -> usize {
    sent.iter().filter(|(_, id)| which(*id)).count()
}

#[test]
fn a_short_budget_stretches_all_waits_alike_and_starves_nobody() {
    let mut scheduler = Scheduler::new(Limits { per_request: 0.05, ..Limits::default() }, 3, 0).unwrap();
    scheduler.list(fleet(20, 1), 0);
    (0..10).for_each(|id| scheduler.interest(id, Interest::Urgent));
    (10..20).for_each(|id| scheduler.interest(id, Interest::Idle));
    let sent = play(&mut scheduler, 100, 120, |_| End::Figure);
    let (urgent, idle) = (count(&sent, |id| id < 10), count(&sent, |id| id >= 10));
    // Waits of 0.5 s and 2.5 s: five times as many, give or take the jitter.
    assert!(idle >= 60 && (3 * idle..8 * idle).contains(&urgent), "{urgent} urgent, {idle} idle");
    assert!((0..20).all(|id| count(&sent, |of| of == id) > 3), "one was starved");
}

#[test]
fn what_is_not_reached_is_asked_less_and_found_again_soon() {
    let mut scheduler = Scheduler::new(Limits { per_request: 1.0, ..Limits::default() }, 3, 0).unwrap();
    scheduler.list(fleet(6, 2), 0);
    (0..6).for_each(|id| scheduler.interest(id, Interest::Near));
    let sent = play(&mut scheduler, 100, 60, |id| if id % 2 == 0 { End::Figure } else { End::Unreached });
    let (well, cut) = (count(&sent, |id| id % 2 == 0), count(&sent, |id| id % 2 == 1));
    assert!(cut * 3 < well, "{cut} probes of what was never reached, {well} of the others");
    let gaps = sent.iter().filter(|(_, id)| *id == 1).map(|(at, _)| *at).collect::<Vec<_>>();
    let longest = gaps.windows(2).map(|two| two[1] - two[0]).max().unwrap();
    assert!(longest <= 5 * SECOND + 50 * MS, "not asked for {} ms", longest / MS);
    assert_eq!(scheduler.ages(60 * SECOND).unreached, 3);
}

/// All nodes hear of a new server in the same moment.
#[test]
fn nodes_that_start_together_do_not_probe_together() {
    let mut slots: BTreeMap<Nanos, u32> = BTreeMap::new();
    for seed in 0..100 {
        let mut scheduler = Scheduler::new(Limits::default(), seed, 0).unwrap();
        scheduler.list(vec![server(0, 0)], 0);
        let (at, _) = play(&mut scheduler, 10, 2, |_| End::Figure)[0];
        *slots.entry(at / (50 * MS)).or_default() += 1;
    }
    assert!(slots.len() >= 9 && slots.values().all(|&nodes| nodes <= 25), "{slots:?}");
}

#[test]
fn of_very_many_servers_a_part_is_kept_to_half_of_it_in_the_own_zone() {
    let limits = Limits { per_request: 0.2, ..Limits::default() };
    let mut scheduler = Scheduler::new(limits, 3, 0).unwrap();
    scheduler.list(fleet(10_000, 3), 0);
    let sent = play(&mut scheduler, 200, 60, |_| End::Figure);
    let kept: BTreeSet<Id> = scheduler.kept().collect();
    let own = kept.iter().filter(|id| *id % 3 == 0).count();
    // 40 probes a second keep 80 figures fresh enough, each renewed twice within 4 s.
    assert!((50..130).contains(&kept.len()), "{} kept", kept.len());
    assert!(own.abs_diff(kept.len() / 2) <= 1, "{own} of {} in the own zone", kept.len());
    let ages = scheduler.ages(60 * SECOND);
    assert!(ages.known * 10 > ages.kept * 9 && ages.listed == 10_000, "{ages:?}");
    assert!(sent.len() as f64 <= 12_000.0 * 0.2 + 16.0);
    // A list that loses one of those kept to moves no other.
    let gone = *kept.first().unwrap();
    scheduler.list(fleet(10_000, 3).into_iter().filter(|server| server.id != gone).collect(), 60 * SECOND);
    let after: BTreeSet<Id> = scheduler.kept().collect();
    assert!(kept.difference(&after).count() <= 1 + kept.len().abs_diff(after.len()));
}

#[test]
fn limits_out_of_range_are_refused_by_name() {
    let wrong: [(Limits, &str); 6] = [
        (Limits { per_request: f64::NAN, ..Limits::default() }, "per_request"),
        (Limits { per_request: -0.1, ..Limits::default() }, "per_request"),
        (Limits { saved: 0.5, ..Limits::default() }, "saved"),
        (Limits { out: 0, ..Limits::default() }, "out"),
        (Limits { waits: [MS, 2 * MS, MS, MS], ..Limits::default() }, "waits"),
        (Limits { kept: (5, 4), ..Limits::default() }, "kept"),
    ];
    for (limits, field) in wrong {
        let error: LimitsError = Scheduler::new(limits, 0, 0).err().expect(field);
        assert_eq!(error.field, field);
    }
}
