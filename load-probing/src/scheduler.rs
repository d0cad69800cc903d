//! The scheduler: which server is probed next.

use std::collections::{BTreeMap, BTreeSet};

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

use crate::budget::Budget;
use crate::limits::{Limits, LimitsError};
use crate::target::{Priority, ProbeOutcome, Target};
use crate::tracking::{Candidate, select_tracked};
use crate::{Id, MILLISECOND, Nanos, SECOND};

/// Time constant of the rate at which probes are earned.
const EARNING_TIME_CONSTANT: Nanos = 5 * SECOND;
/// Part of an interval by which probes are spread either way, so that nodes that start together do not
/// probe together.
const INTERVAL_JITTER: f64 = 0.25;
/// A report is worth keeping only if it is renewed this many times within its useful age.
const RENEWALS_PER_MAX_AGE: f64 = 2.0;

/// How old the reports are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportAges {
    /// Servers in service.
    pub listed: usize,
    /// Those that are tracked.
    pub tracked: usize,
    /// Tracked ones with a report that is not too old.
    pub reporting: usize,
    /// The age of the oldest of these reports, in nanoseconds.
    pub oldest: Nanos,
    /// Tracked ones that the last probe did not reach.
    pub unreachable: usize,
    /// Probes sent so far.
    pub sent: u64,
}

/// A probe in flight.
#[derive(Clone, Copy)]
struct Probe {
    sent_at: Nanos,
    group: u32,
}

/// The first target of a priority that may be probed now.
struct ReadyTarget {
    /// How overdue its probe is, as a multiple of the interval.
    lateness: f64,
    priority: Priority,
    due_at: Nanos,
    id: Id,
}

/// Decides which server to probe and when. Deterministic: the same calls give the same servers.
pub struct Scheduler {
    limits: Limits,
    budget: Budget,
    random: ChaCha8Rng,
    candidates: Vec<Candidate>,
    targets: BTreeMap<Id, Target>,
    /// Targets without a probe in flight, by priority, the lowest first, and by when they are due.
    queues: [BTreeSet<(Nanos, Id)>; 4],
    in_flight: BTreeMap<Id, Probe>,
    /// Probes earned a second, as of `earning_rate_at`.
    earning_rate: f64,
    earning_rate_at: Nanos,
    probes_per_request: f64,
    sent: u64,
}

impl Scheduler {
    /// A scheduler that knows no server. `seed` drives its jitter and should differ from node to node.
    ///
    /// # Errors
    ///
    /// Where a limit is outside the range that its field states.
    pub fn new(limits: Limits, seed: u64, now: Nanos) -> Result<Self, LimitsError> {
        limits.validate()?;
        Ok(Self {
            limits,
            budget: Budget::new(limits.probes_per_request, limits.max_saved_probes),
            random: ChaCha8Rng::seed_from_u64(seed),
            candidates: Vec::new(),
            targets: BTreeMap::new(),
            queues: Default::default(),
            in_flight: BTreeMap::new(),
            earning_rate: 0.0,
            earning_rate_at: now,
            probes_per_request: limits.probes_per_request,
            sent: 0,
        })
    }

    /// Changes what an arrival earns, in probes; at most what the limits allow.
    pub fn set_probes_per_request(&mut self, probes_per_request: f64) {
        self.probes_per_request = probes_per_request.min(self.limits.probes_per_request);
        self.budget.set_probes_per_request(self.probes_per_request);
    }

    /// A request has arrived.
    pub fn record_arrival(&mut self, now: Nanos) {
        self.budget.record_arrival();
        let earned = self.probes_per_request * SECOND as f64 / EARNING_TIME_CONSTANT as f64;
        self.earning_rate = self.earning_rate(now) + earned;
        self.earning_rate_at = now;
    }

    fn earning_rate(&self, now: Nanos) -> f64 {
        let elapsed = now.saturating_sub(self.earning_rate_at) as f64;
        self.earning_rate * (-elapsed / EARNING_TIME_CONSTANT as f64).exp()
    }

    /// Number of servers whose reports the budget can keep fresh.
    fn affordable(&self, now: Nanos) -> usize {
        let report_max_age_s = self.limits.report_max_age as f64 / SECOND as f64;
        let affordable = self.earning_rate(now) * report_max_age_s / RENEWALS_PER_MAX_AGE;
        (affordable as usize).clamp(self.limits.min_tracked, self.limits.max_tracked)
    }

    /// Sets the servers in service, all of them: one that is not named has left or drains and is not probed
    /// again; one whose incarnation differs is a new one. Costs n log n.
    pub fn set_candidates(&mut self, candidates: Vec<Candidate>, now: Nanos) {
        self.candidates = candidates;
        self.select_targets(now);
    }

    /// Selects the tracked servers anew, if the budget has come to afford clearly more or fewer.
    pub fn review_tracked(&mut self, now: Nanos) {
        let affordable = self.affordable(now).min(self.candidates.len());
        let tracked = self.targets.len();
        let affords_all = affordable == self.candidates.len() && affordable > tracked;
        if affords_all || affordable > tracked + tracked / 2 || affordable < tracked / 2 {
            self.select_targets(now);
        }
    }

    fn select_targets(&mut self, now: Nanos) {
        let tracked = select_tracked(&self.candidates, self.affordable(now));
        self.targets.retain(|id, _| tracked.contains(id));
        for index in 0..self.candidates.len() {
            let Candidate { id, group, incarnation, .. } = self.candidates[index];
            let is_known = self.targets.get(&id).is_some_and(|target| target.incarnation == incarnation);
            if is_known || !tracked.contains(&id) {
                continue;
            }
            // The first probe comes soon, but not from all nodes at once.
            let spread = self.random_part(self.limits.intervals[Priority::Urgent as usize]);
            let due_at = now + MILLISECOND + spread;
            self.targets.insert(id, Target::new(incarnation, group, now, due_at));
        }
        self.queues = Default::default();
        for (&id, target) in self.targets.iter().filter(|(id, _)| !self.in_flight.contains_key(id)) {
            self.queues[target.priority as usize].insert((target.due_at, id));
        }
    }

    /// A random part of a span.
    fn random_part(&mut self, span: Nanos) -> Nanos {
        let part = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        (span as f64 * part) as Nanos
    }

    /// The tracked servers.
    pub fn tracked(&self) -> impl Iterator<Item = Id> + '_ {
        self.targets.keys().copied()
    }

    /// Sets what a fresh report of a server would change now. Ignored where the server is not tracked.
    pub fn set_priority(&mut self, id: Id, priority: Priority) {
        let Some(target) = self.targets.get_mut(&id) else { return };
        if target.priority == priority {
            return;
        }
        let previous = target.priority;
        let previous_due_at = target.due_at;
        if priority > previous {
            let interval = target.interval(self.limits.intervals[priority as usize]);
            target.due_at = target.due_at.min(target.probed_at.saturating_add(interval));
        }
        target.priority = priority;
        let due_at = target.due_at;
        if self.queues[previous as usize].remove(&(previous_due_at, id)) {
            self.queues[priority as usize].insert((due_at, id));
        }
    }

    /// The next server to probe now, if any: its probe counts as sent. Call until none is left.
    pub fn next_probe(&mut self, now: Nanos) -> Option<Id> {
        self.expire_lost(now);
        if !self.budget.affords_probe() || self.in_flight.len() >= self.limits.max_in_flight {
            return None;
        }
        let ready = Priority::ALL.into_iter().filter_map(|priority| self.first_ready(priority, now));
        let next =
            ready.max_by(|a, b| a.lateness.total_cmp(&b.lateness).then(a.priority.cmp(&b.priority)))?;
        if !self.budget.spend() {
            return None;
        }
        self.queues[next.priority as usize].remove(&(next.due_at, next.id));
        let target = self.targets.get_mut(&next.id)?;
        target.probed_at = now;
        self.in_flight.insert(next.id, Probe { sent_at: now, group: target.group });
        self.sent += 1;
        Some(next.id)
    }

    /// Where the budget is short all intervals stretch by the same factor, and no server starves.
    fn first_ready(&self, priority: Priority, now: Nanos) -> Option<ReadyTarget> {
        let due = self.queues[priority as usize].iter().take_while(|(due_at, _)| *due_at <= now);
        let (due_at, id) = due.copied().find(|(_, id)| self.group_has_capacity(*id))?;
        let lateness = (now - due_at) as f64 / self.limits.intervals[priority as usize] as f64;
        Some(ReadyTarget { lateness, priority, due_at, id })
    }

    /// Whether a probe of this target would stay within the bound of its group.
    fn group_has_capacity(&self, id: Id) -> bool {
        self.targets.get(&id).is_some_and(|target| {
            let in_group = self.in_flight.values().filter(|probe| probe.group == target.group).count();
            in_group < self.limits.max_in_flight_per_group
        })
    }

    fn expire_lost(&mut self, now: Nanos) {
        let is_lost = |probe: &Probe| now.saturating_sub(probe.sent_at) >= self.limits.lost_after;
        let lost = self.in_flight.iter().filter(|(_, probe)| is_lost(probe));
        let lost: Vec<Id> = lost.map(|(id, _)| *id).collect();
        for id in lost {
            self.record_end(id, ProbeOutcome::Unreachable, now);
        }
    }

    /// Records the end of a probe. Returns false where it says nothing of the server as it is now: no probe
    /// was in flight, it was sent to an earlier incarnation, or its server has left.
    pub fn record_end(&mut self, id: Id, outcome: ProbeOutcome, now: Nanos) -> bool {
        let Some(probe) = self.in_flight.remove(&id) else { return false };
        let drawn = self.random.next_u32();
        let Some(target) = self.targets.get_mut(&id) else { return false };
        // What was sent in the very moment in which a server restarted went to the incarnation before.
        let counts = probe.sent_at > target.tracked_since && outcome != ProbeOutcome::Cancelled;
        if counts {
            target.record_outcome(outcome, now);
        }
        let interval = target.interval(self.limits.intervals[target.priority as usize]) as f64;
        let jitter = 1.0 - INTERVAL_JITTER + 2.0 * INTERVAL_JITTER * f64::from(drawn) / f64::from(u32::MAX);
        // From its sending: a probe's own time is no part of the interval. Never at once, or a server that
        // refuses all probes would be probed again and again.
        target.due_at = (target.probed_at + (interval * jitter) as Nanos).max(now + MILLISECOND);
        self.queues[target.priority as usize].insert((target.due_at, id));
        counts
    }

    /// A report has come with an ordinary response: a probe would bring nothing new for an interval.
    pub fn record_report(&mut self, id: Id, now: Nanos) {
        let Some(target) = self.targets.get_mut(&id) else { return };
        target.reported_at = Some(now);
        target.probed_at = now;
        target.consecutive_failures = 0;
        let queue = &mut self.queues[target.priority as usize];
        if queue.remove(&(target.due_at, id)) {
            target.due_at = now + self.limits.intervals[target.priority as usize];
            queue.insert((target.due_at, id));
        }
    }

    /// When the next probe is due, if it can be paid for; `None` while only an arrival or the end of a
    /// probe can bring it about.
    pub fn next_probe_at(&self) -> Option<Nanos> {
        let may_probe = self.budget.affords_probe() && self.in_flight.len() < self.limits.max_in_flight;
        let first_due = self.queues.iter().filter_map(|queue| queue.first().map(|(due_at, _)| *due_at));
        first_due.min().filter(|_| may_probe)
    }

    /// How old the reports are. Walks the tracked servers.
    pub fn report_ages(&self, now: Nanos) -> ReportAges {
        let mut ages = ReportAges {
            listed: self.candidates.len(),
            tracked: self.targets.len(),
            sent: self.sent,
            ..ReportAges::default()
        };
        for target in self.targets.values() {
            ages.unreachable += usize::from(target.consecutive_failures > 0);
            let age = target.reported_at.map(|reported_at| now.saturating_sub(reported_at));
            if let Some(age) = age.filter(|&age| age < self.limits.report_max_age) {
                ages.reporting += 1;
                ages.oldest = ages.oldest.max(age);
            }
        }
        ages
    }
}
