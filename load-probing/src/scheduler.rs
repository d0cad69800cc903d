//! The scheduler of probes.

use std::collections::{BTreeMap, BTreeSet};

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

use crate::budget::ProbeBudget;
use crate::limits::{Limits, LimitsError};
use crate::subset::{Candidate, select_subset};
use crate::target::{Priority, ProbeOutcome, Target};
use crate::{MILLISECOND, Nanos, SECOND, ServerId};

/// The time constant of the average rate at which requests pay for probes.
const RATE_TIME_CONSTANT: Nanos = 5 * SECOND;
/// The maximum random variation of an interval, as a fraction of it, so that nodes that start together do not
/// probe together.
const JITTER: f64 = 0.25;
/// The minimum time between two probes of a server, so that a server that refuses connections immediately is
/// not probed in a loop.
const MIN_INTERVAL: Nanos = MILLISECOND;
/// How often a report must be renewed within its time to live to count as fresh throughout.
const RENEWALS_PER_TTL: f64 = 2.0;

/// The state of a scheduler's reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulerStats {
    /// The number of candidates.
    pub candidates: usize,
    /// The number of candidates that are probed.
    pub subset: usize,
    /// The number of servers with a fresh report.
    pub fresh_reports: usize,
    /// The age of the oldest fresh report, in nanoseconds; 0 if there is none.
    pub oldest_report_age: Nanos,
    /// The number of servers in the subset that the last probe did not reach.
    pub unreachable: usize,
    /// The number of probes sent since the scheduler was created.
    pub probes_sent: u64,
}

/// A probe whose outcome is not known yet.
#[derive(Clone, Copy, Debug)]
struct InFlightProbe {
    sent_at: Nanos,
    group: u32,
}

/// A server whose probe is due.
struct DueProbe {
    /// The time since the probe became due, as a multiple of the priority's interval.
    relative_delay: f64,
    priority: Priority,
    due_at: Nanos,
    id: ServerId,
}

/// Decides which server to probe and when. Deterministic: the same calls give the same probes.
pub struct Scheduler {
    limits: Limits,
    budget: ProbeBudget,
    random: ChaCha8Rng,
    candidates: Vec<Candidate>,
    /// The subset of the candidates that is probed.
    targets: BTreeMap<ServerId, Target>,
    /// The targets without a probe in flight, by priority in ascending order; each queue is ordered by due
    /// time.
    queues: [BTreeSet<(Nanos, ServerId)>; 4],
    in_flight: BTreeMap<ServerId, InFlightProbe>,
    /// Probes per second that requests pay for: an exponentially weighted average as of `rate_updated_at`.
    rate: f64,
    rate_updated_at: Nanos,
    probes_per_request: f64,
    probes_sent: u64,
}

impl Scheduler {
    /// Creates a scheduler without candidates. `seed` determines the jitter and should differ between nodes.
    ///
    /// # Errors
    ///
    /// If a limit is out of the range that its documentation states.
    pub fn new(limits: Limits, seed: u64, now: Nanos) -> Result<Self, LimitsError> {
        limits.validate()?;
        Ok(Self {
            limits,
            budget: ProbeBudget::new(limits.probes_per_request, limits.max_saved_probes),
            random: ChaCha8Rng::seed_from_u64(seed),
            candidates: Vec::new(),
            targets: BTreeMap::new(),
            queues: Default::default(),
            in_flight: BTreeMap::new(),
            rate: 0.0,
            rate_updated_at: now,
            probes_per_request: limits.probes_per_request,
            probes_sent: 0,
        })
    }

    /// Changes the probes that a request adds to the budget, up to [`Limits::probes_per_request`]. The value
    /// must be finite and not negative.
    pub fn set_probes_per_request(&mut self, probes_per_request: f64) {
        self.probes_per_request = probes_per_request.min(self.limits.probes_per_request);
        self.budget.set_probes_per_request(self.probes_per_request);
    }

    /// Adds the probes that one request pays for to the budget; must be called for each request.
    pub fn on_request(&mut self, now: Nanos) {
        self.budget.on_request();
        let added_rate = self.probes_per_request * SECOND as f64 / RATE_TIME_CONSTANT as f64;
        self.rate = self.rate_at(now) + added_rate;
        self.rate_updated_at = now;
    }

    fn rate_at(&self, now: Nanos) -> f64 {
        let elapsed = now.saturating_sub(self.rate_updated_at) as f64;
        self.rate * (-elapsed / RATE_TIME_CONSTANT as f64).exp()
    }

    /// The number of servers whose reports the budget can keep fresh, within the limits.
    fn affordable_subset_size(&self, now: Nanos) -> usize {
        let ttl_s = self.limits.report_ttl as f64 / SECOND as f64;
        let affordable = (self.rate_at(now) * ttl_s / RENEWALS_PER_TTL) as usize;
        affordable.clamp(self.limits.subset_size.min, self.limits.subset_size.max)
    }

    /// Replaces the candidates. A server that is missing from the list is not probed again; one with a
    /// different incarnation counts as a new server. Takes O(n log n) time.
    pub fn set_candidates(&mut self, candidates: Vec<Candidate>, now: Nanos) {
        self.candidates = candidates;
        self.select_targets(now);
    }

    /// Selects a new subset if the budget affords a size that is clearly different: all candidates, more than
    /// 1.5 times the present size, or less than half of it.
    pub fn resize_subset(&mut self, now: Nanos) {
        let size = self.targets.len();
        let affordable = self.affordable_subset_size(now).min(self.candidates.len());
        let affords_all = affordable == self.candidates.len() && affordable > size;
        if affords_all || affordable > size + size / 2 || affordable < size / 2 {
            self.select_targets(now);
        }
    }

    fn select_targets(&mut self, now: Nanos) {
        let subset = select_subset(&self.candidates, self.affordable_subset_size(now));
        self.targets.retain(|id, _| subset.contains(id));
        for index in 0..self.candidates.len() {
            let Candidate { id, group, incarnation, .. } = self.candidates[index];
            let is_known = self.targets.get(&id).is_some_and(|target| target.incarnation == incarnation);
            if is_known || !subset.contains(&id) {
                continue;
            }
            // The first probe is sent soon, but not by all nodes at the same moment.
            let delay = self.random_part(self.limits.intervals[Priority::Urgent as usize]);
            let target = Target {
                incarnation,
                group,
                since: now,
                priority: Priority::Urgent,
                last_report_at: None,
                last_probe_at: now,
                consecutive_failures: 0,
                next_probe_at: now + MIN_INTERVAL + delay,
            };
            self.targets.insert(id, target);
        }
        self.rebuild_queues();
    }

    fn rebuild_queues(&mut self) {
        self.queues = Default::default();
        for (&id, target) in self.targets.iter().filter(|(id, _)| !self.in_flight.contains_key(id)) {
            self.queues[target.priority as usize].insert((target.next_probe_at, id));
        }
    }

    /// A random duration from 0 to `span`.
    fn random_part(&mut self, span: Nanos) -> Nanos {
        let part = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        (span as f64 * part) as Nanos
    }

    /// The servers of the subset, in ascending order of id.
    pub fn subset(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.targets.keys().copied()
    }

    /// Changes the priority of a server. A higher priority may bring the next probe forward. Ignored for a
    /// server that is not in the subset.
    pub fn set_priority(&mut self, id: ServerId, priority: Priority) {
        let Some(target) = self.targets.get_mut(&id).filter(|target| target.priority != priority) else {
            return;
        };
        let (old_priority, old_probe_at) = (target.priority, target.next_probe_at);
        if priority > old_priority {
            let interval = target.interval(self.limits.intervals[priority as usize]);
            target.next_probe_at = target.next_probe_at.min(target.last_probe_at.saturating_add(interval));
        }
        target.priority = priority;
        let next_probe_at = target.next_probe_at;
        // A server with a probe in flight is in no queue.
        if self.queues[old_priority as usize].remove(&(old_probe_at, id)) {
            self.queues[priority as usize].insert((next_probe_at, id));
        }
    }

    /// The next server to probe now, or `None`; the probe counts as sent. The caller repeats the call until
    /// it returns `None`, and reports the outcome of each probe with [`Scheduler::on_probe_ended`].
    pub fn next_probe(&mut self, now: Nanos) -> Option<ServerId> {
        self.expire_lost_probes(now);
        if !self.budget.has_probe() || self.in_flight.len() >= self.limits.max_in_flight {
            return None;
        }
        // If the budget is too small, all intervals are stretched by the same factor, and no server starves.
        let due = Priority::ALL.into_iter().filter_map(|priority| self.first_due(priority, now));
        let DueProbe { priority, due_at, id, .. } = due.max_by(|one, other| {
            one.relative_delay.total_cmp(&other.relative_delay).then(one.priority.cmp(&other.priority))
        })?;
        if !self.budget.take_probe() {
            return None;
        }
        self.queues[priority as usize].remove(&(due_at, id));
        let target = self.targets.get_mut(&id)?;
        target.last_probe_at = now;
        self.in_flight.insert(id, InFlightProbe { sent_at: now, group: target.group });
        self.probes_sent += 1;
        Some(id)
    }

    /// The earliest due probe of a priority whose group has fewer probes in flight than its limit.
    fn first_due(&self, priority: Priority, now: Nanos) -> Option<DueProbe> {
        let has_capacity = |id: &ServerId| {
            let target = self.targets.get(id);
            target.is_some_and(|target| {
                self.in_flight_in_group(target.group) < self.limits.max_in_flight_per_group
            })
        };
        let queue = &self.queues[priority as usize];
        let mut due = queue.iter().take_while(|(due_at, _)| *due_at <= now).copied();
        let (due_at, id) = due.find(|(_, id)| has_capacity(id))?;
        let relative_delay = (now - due_at) as f64 / self.limits.intervals[priority as usize] as f64;
        Some(DueProbe { relative_delay, priority, due_at, id })
    }

    fn in_flight_in_group(&self, group: u32) -> usize {
        self.in_flight.values().filter(|probe| probe.group == group).count()
    }

    fn expire_lost_probes(&mut self, now: Nanos) {
        let is_lost = |probe: &InFlightProbe| now.saturating_sub(probe.sent_at) >= self.limits.lost_after;
        let lost: Vec<ServerId> =
            self.in_flight.iter().filter(|(_, probe)| is_lost(probe)).map(|(id, _)| *id).collect();
        for id in lost {
            self.on_probe_ended(id, ProbeOutcome::Unreachable, now);
        }
    }

    /// Records the outcome of a probe. Returns false if the outcome is ignored, in which case the caller must
    /// also ignore the report: the probe was not in flight, was cancelled, or was sent to an earlier
    /// incarnation or to a server that is no longer in the subset.
    pub fn on_probe_ended(&mut self, id: ServerId, outcome: ProbeOutcome, now: Nanos) -> bool {
        let Some(InFlightProbe { sent_at, .. }) = self.in_flight.remove(&id) else { return false };
        let draw = self.random.next_u32();
        let Some(target) = self.targets.get_mut(&id) else { return false };
        // A probe sent at the same time as an incarnation was listed went to the previous incarnation.
        let counts = sent_at > target.since && outcome != ProbeOutcome::Cancelled;
        if counts {
            match outcome {
                ProbeOutcome::Report => {
                    target.last_report_at = Some(now);
                    target.consecutive_failures = 0;
                }
                ProbeOutcome::NoReport => target.consecutive_failures = 0,
                ProbeOutcome::Unreachable | ProbeOutcome::Cancelled => target.consecutive_failures += 1,
            }
        }
        let interval = target.interval(self.limits.intervals[target.priority as usize]) as f64;
        let jitter = 1.0 - JITTER + 2.0 * JITTER * f64::from(draw) / f64::from(u32::MAX);
        // The interval starts when the probe is sent, so that a slow response does not lengthen it.
        let next_probe_at = target.last_probe_at + (interval * jitter) as Nanos;
        target.next_probe_at = next_probe_at.max(now + MIN_INTERVAL);
        self.queues[target.priority as usize].insert((target.next_probe_at, id));
        counts
    }

    /// Records a report that came with the response to an ordinary request, which postpones the next probe of
    /// the server by a whole interval.
    pub fn on_passive_report(&mut self, id: ServerId, now: Nanos) {
        let Some(target) = self.targets.get_mut(&id) else { return };
        target.last_report_at = Some(now);
        target.last_probe_at = now;
        target.consecutive_failures = 0;
        let priority = target.priority as usize;
        let next_probe_at = now + self.limits.intervals[priority];
        if self.queues[priority].remove(&(target.next_probe_at, id)) {
            target.next_probe_at = next_probe_at;
            self.queues[priority].insert((next_probe_at, id));
        }
    }

    /// When [`Scheduler::next_probe`] is to be called next; `None` if no probe can become due before a
    /// request arrives or a probe ends.
    pub fn next_probe_at(&self) -> Option<Nanos> {
        if !self.budget.has_probe() || self.in_flight.len() >= self.limits.max_in_flight {
            return None;
        }
        self.queues.iter().filter_map(|queue| queue.first().map(|(due_at, _)| *due_at)).min()
    }

    /// The state of the reports at `now`. Takes time linear in the size of the subset.
    pub fn stats(&self, now: Nanos) -> SchedulerStats {
        let mut stats = SchedulerStats {
            candidates: self.candidates.len(),
            subset: self.targets.len(),
            probes_sent: self.probes_sent,
            ..SchedulerStats::default()
        };
        for target in self.targets.values() {
            stats.unreachable += usize::from(target.consecutive_failures > 0);
            let age = target.last_report_at.map(|at| now.saturating_sub(at));
            if let Some(age) = age.filter(|&age| age < self.limits.report_ttl) {
                stats.fresh_reports += 1;
                stats.oldest_report_age = stats.oldest_report_age.max(age);
            }
        }
        stats
    }
}
