//! What holds after any calls: the budget, one probe in flight for each server, none to one that has left;
//! and how probes are shared out where the budget is short.

use std::collections::{BTreeMap, BTreeSet};

use ivyhatch_load_probing::{Candidate, Id, Limits, LimitsError, Nanos, Priority, ProbeOutcome, Scheduler};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestCaseError};

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1000 * MS;

fn candidate(id: Id, group: u32) -> Candidate {
    let rank = u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    Candidate { id, group, rank, incarnation: 0 }
}

fn candidates(servers: u32, groups: u32) -> Vec<Candidate> {
    (0..servers).map(|id| candidate(id, id % groups)).collect()
}

/// One call of a scheduler, or the passing of time.
#[derive(Clone, Debug)]
enum Step {
    AdvanceMs(u64),
    Arrivals(u8),
    /// The listed servers as bits, and whether every third one restarts.
    List(u16, bool),
    EndProbe(u8, ProbeOutcome),
    SetPriority(u8, Priority),
    Report(u8),
    SendProbes,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let outcomes =
        [ProbeOutcome::Report, ProbeOutcome::NoReport, ProbeOutcome::Unreachable, ProbeOutcome::Cancelled];
    let outcome = prop::sample::select(outcomes.to_vec());
    let priority = prop::sample::select(Priority::ALL.to_vec());
    let step = prop_oneof![
        (0..900u64).prop_map(Step::AdvanceMs),
        (0..20u8).prop_map(Step::Arrivals),
        (any::<u16>(), any::<bool>()).prop_map(|(listed, restart)| Step::List(listed, restart)),
        (any::<u8>(), outcome).prop_map(|(which, outcome)| Step::EndProbe(which, outcome)),
        (0..16u8, priority).prop_map(|(id, priority)| Step::SetPriority(id, priority)),
        (0..16u8).prop_map(Step::Report),
        Just(Step::SendProbes),
        Just(Step::SendProbes),
    ];
    prop::collection::vec(step, 1..200)
}

struct ListedServer {
    group: u32,
    incarnation: Nanos,
}

struct ProbeInFlight {
    sent_at: Nanos,
    group: u32,
    /// `None` once the server has restarted or left.
    incarnation: Option<Nanos>,
}

/// A scheduler, and what it may do by the calls that it got.
struct Checked {
    scheduler: Scheduler,
    limits: Limits,
    now: Nanos,
    arrivals: u32,
    sent: u32,
    listed: BTreeMap<Id, ListedServer>,
    in_flight: BTreeMap<Id, ProbeInFlight>,
}

impl Checked {
    fn new(limits: Limits) -> Self {
        Self {
            scheduler: Scheduler::new(limits, 9, 0).expect("usable limits"),
            limits,
            now: 0,
            arrivals: 0,
            sent: 0,
            listed: BTreeMap::new(),
            in_flight: BTreeMap::new(),
        }
    }

    fn apply(&mut self, step: Step) -> Result<(), TestCaseError> {
        let now = self.now;
        match step {
            Step::AdvanceMs(ms) => self.advance(ms * MS),
            Step::Arrivals(count) => {
                self.arrivals += u32::from(count);
                (0..count).for_each(|_| self.scheduler.record_arrival(now));
            }
            Step::List(listed, restart) => self.list(listed, restart),
            Step::EndProbe(which, outcome) => self.end_probe(usize::from(which), outcome)?,
            Step::SetPriority(id, priority) => self.scheduler.set_priority(id.into(), priority),
            Step::Report(id) => self.scheduler.record_report(id.into(), now),
            Step::SendProbes => self.send_probes()?,
        }
        prop_assert!(self.scheduler.tracked().count() <= self.limits.max_tracked);
        Ok(())
    }

    /// A probe that has not ended by its time counts as lost.
    fn advance(&mut self, span: Nanos) {
        self.now += span;
        let (now, lost_after) = (self.now, self.limits.lost_after);
        self.in_flight.retain(|_, probe| now - probe.sent_at < lost_after);
    }

    fn list(&mut self, listed: u16, restart: bool) {
        let before = std::mem::take(&mut self.listed);
        let mut servers = Vec::new();
        for id in (0..16).filter(|id| listed & (1 << id) != 0) {
            let old = before.get(&id).map_or(0, |known| known.incarnation);
            let incarnation = if restart && id % 3 == 0 { self.now + 1 } else { old };
            self.listed.insert(id, ListedServer { group: id % 3, incarnation });
            servers.push(Candidate { incarnation, ..candidate(id, id % 3) });
        }
        for (id, probe) in &mut self.in_flight {
            if self.listed.get(id).map(|known| known.incarnation) != probe.incarnation {
                probe.incarnation = None;
            }
        }
        self.scheduler.set_candidates(servers, self.now);
    }

    fn end_probe(&mut self, which: usize, outcome: ProbeOutcome) -> Result<(), TestCaseError> {
        let Some(&id) = self.in_flight.keys().nth(which % self.in_flight.len().max(1)) else { return Ok(()) };
        let probe = self.in_flight.remove(&id).expect("it is in flight");
        let counts = self.scheduler.record_end(id, outcome, self.now);
        let may_count = probe.incarnation.is_some() && outcome != ProbeOutcome::Cancelled;
        prop_assert!(!counts || may_count, "{id} counted");
        Ok(())
    }

    fn send_probes(&mut self) -> Result<(), TestCaseError> {
        let limits = self.limits;
        while let Some(id) = self.scheduler.next_probe(self.now) {
            let Some(&ListedServer { group, incarnation }) = self.listed.get(&id) else {
                panic!("{id} is not listed")
            };
            self.sent += 1;
            let probe = ProbeInFlight { sent_at: self.now, group, incarnation: Some(incarnation) };
            prop_assert!(self.in_flight.insert(id, probe).is_none(), "two out to {id}");
            prop_assert!(self.in_flight.len() <= limits.max_in_flight);
            let in_group = self.in_flight.values().filter(|probe| probe.group == group).count();
            prop_assert!(in_group <= limits.max_in_flight_per_group);
            let earned = f64::from(self.arrivals) * limits.probes_per_request + limits.max_saved_probes;
            prop_assert!(f64::from(self.sent) <= earned + 1e-6);
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn limits_hold_after_arbitrary_calls(steps in steps()) {
        let limits = Limits {
            max_in_flight: 5,
            max_in_flight_per_group: 3,
            probes_per_request: 0.3,
            max_saved_probes: 6.0,
            min_tracked: 4,
            max_tracked: 12,
            ..Limits::default()
        };
        let mut checked = Checked::new(limits);
        for step in steps {
            checked.apply(step)?;
        }
    }
}

/// `seconds` of arrivals at a steady rate; each probe ends after 5 ms as `outcome_of` says. Returns which
/// server was probed when.
fn run(
    scheduler: &mut Scheduler,
    rate: u64,
    seconds: u64,
    outcome_of: impl Fn(Id) -> ProbeOutcome,
) -> Vec<(Nanos, Id)> {
    let (mut out, mut sent) = (Vec::new(), Vec::new());
    let tick = 5 * MS;
    for turn in 0..seconds * SECOND / tick {
        let now = turn * tick;
        (0..(turn + 1) * rate * tick / SECOND - turn * rate * tick / SECOND)
            .for_each(|_| scheduler.record_arrival(now));
        scheduler.review_tracked(now);
        for (_, id) in std::mem::take(&mut out) {
            scheduler.record_end(id, outcome_of(id), now);
        }
        while let Some(id) = scheduler.next_probe(now) {
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
fn short_budget_stretches_all_intervals_alike_and_starves_no_server() {
    let mut scheduler =
        Scheduler::new(Limits { probes_per_request: 0.05, ..Limits::default() }, 3, 0).unwrap();
    scheduler.set_candidates(candidates(20, 1), 0);
    (0..10).for_each(|id| scheduler.set_priority(id, Priority::Urgent));
    (10..20).for_each(|id| scheduler.set_priority(id, Priority::Low));
    let sent = run(&mut scheduler, 100, 120, |_| ProbeOutcome::Report);
    let (urgent, idle) = (count(&sent, |id| id < 10), count(&sent, |id| id >= 10));
    // Intervals of 0.5 s and 2.5 s: five times as many, give or take the jitter.
    assert!(idle >= 60 && (3 * idle..8 * idle).contains(&urgent), "{urgent} urgent, {idle} idle");
    assert!((0..20).all(|id| count(&sent, |of| of == id) > 3), "one was starved");
}

#[test]
fn unreachable_server_is_probed_less_and_found_again_soon() {
    let mut scheduler =
        Scheduler::new(Limits { probes_per_request: 1.0, ..Limits::default() }, 3, 0).unwrap();
    scheduler.set_candidates(candidates(6, 2), 0);
    (0..6).for_each(|id| scheduler.set_priority(id, Priority::High));
    let sent = run(&mut scheduler, 100, 60, |id| {
        if id % 2 == 0 { ProbeOutcome::Report } else { ProbeOutcome::Unreachable }
    });
    let (reachable, unreachable) = (count(&sent, |id| id % 2 == 0), count(&sent, |id| id % 2 == 1));
    assert!(
        unreachable * 3 < reachable,
        "{unreachable} probes of what was never reached, {reachable} of the others"
    );
    let gaps = sent.iter().filter(|(_, id)| *id == 1).map(|(at, _)| *at).collect::<Vec<_>>();
    let longest = gaps.windows(2).map(|two| two[1] - two[0]).max().unwrap();
    assert!(longest <= 5 * SECOND + 50 * MS, "not asked for {} ms", longest / MS);
    assert_eq!(scheduler.report_ages(60 * SECOND).unreachable, 3);
}

/// All nodes are notified of a new server in the same moment.
#[test]
fn nodes_that_start_together_do_not_probe_together() {
    let mut slots: BTreeMap<Nanos, u32> = BTreeMap::new();
    for seed in 0..100 {
        let mut scheduler = Scheduler::new(Limits::default(), seed, 0).unwrap();
        scheduler.set_candidates(vec![candidate(0, 0)], 0);
        let (at, _) = run(&mut scheduler, 10, 2, |_| ProbeOutcome::Report)[0];
        *slots.entry(at / (50 * MS)).or_default() += 1;
    }
    assert!(slots.len() >= 9 && slots.values().all(|&nodes| nodes <= 25), "{slots:?}");
}

#[test]
fn of_very_many_servers_a_part_is_tracked_half_of_it_in_the_own_zone() {
    let limits = Limits { probes_per_request: 0.2, ..Limits::default() };
    let mut scheduler = Scheduler::new(limits, 3, 0).unwrap();
    scheduler.set_candidates(candidates(10_000, 3), 0);
    let sent = run(&mut scheduler, 200, 60, |_| ProbeOutcome::Report);
    let tracked: BTreeSet<Id> = scheduler.tracked().collect();
    let own = tracked.iter().filter(|id| *id % 3 == 0).count();
    // 40 probes a second keep 80 reports fresh enough, each renewed twice within 4 s.
    assert!((50..130).contains(&tracked.len()), "{} kept", tracked.len());
    assert!(own.abs_diff(tracked.len() / 2) <= 1, "{own} of {} in the own zone", tracked.len());
    let ages = scheduler.report_ages(60 * SECOND);
    assert!(ages.reporting * 10 > ages.tracked * 9 && ages.listed == 10_000, "{ages:?}");
    assert!(sent.len() as f64 <= 12_000.0 * 0.2 + 16.0);
    // A list that loses one of the tracked servers moves no other.
    let gone = *tracked.first().unwrap();
    scheduler.set_candidates(
        candidates(10_000, 3).into_iter().filter(|server| server.id != gone).collect(),
        60 * SECOND,
    );
    let after: BTreeSet<Id> = scheduler.tracked().collect();
    assert!(tracked.difference(&after).count() <= 1 + tracked.len().abs_diff(after.len()));
}

#[test]
fn limits_out_of_range_are_rejected_by_name() {
    let wrong: [(Limits, &str); 6] = [
        (Limits { probes_per_request: f64::NAN, ..Limits::default() }, "probes_per_request"),
        (Limits { probes_per_request: -0.1, ..Limits::default() }, "probes_per_request"),
        (Limits { max_saved_probes: 0.5, ..Limits::default() }, "max_saved_probes"),
        (Limits { max_in_flight: 0, ..Limits::default() }, "max_in_flight"),
        (Limits { intervals: [MS, 2 * MS, MS, MS], ..Limits::default() }, "intervals"),
        (Limits { min_tracked: 5, max_tracked: 4, ..Limits::default() }, "min_tracked"),
    ];
    for (limits, field) in wrong {
        let error: LimitsError = Scheduler::new(limits, 0, 0).err().expect(field);
        assert_eq!(error.field, field);
    }
}
