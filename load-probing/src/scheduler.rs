//! The turns: who is probed next.

use std::collections::{BTreeMap, BTreeSet};

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

use crate::budget::Budget;
use crate::keep::{Candidate, keep};
use crate::members::{End, Interest, Member};
use crate::{Id, Nanos};

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1000 * MS;
/// Time constant of the rate at which probes are earned.
const EARNING: Nanos = 5 * SECOND;
/// Parts of a wait by which turns are spread, so that nodes which start together do not probe together.
const JITTER: f64 = 0.25;

/// The bounds of a scheduler.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Probes earned by each arrival; 0 to 10.
    pub per_request: f64,
    /// Most probes saved up, and those it begins with; 1 to 1,000.
    pub saved: f64,
    /// Most probes out together, and most of them in one group; at least 1 each.
    pub out: usize,
    /// See [`Limits::out`].
    pub out_each: usize,
    /// The wait between two probes of a server, by [`Interest`], the least first; each at least 1 ms, none longer
    /// than the one before.
    pub waits: [Nanos; 4],
    /// A figure older than this says nothing.
    pub useful: Nanos,
    /// Fewest and most servers kept to.
    pub kept: (usize, usize),
    /// An end that has not come by then does not come any more; more than the prober's own time-out.
    pub lost_after: Nanos,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            per_request: 0.1,
            saved: 16.0,
            out: 16,
            out_each: 8,
            waits: [2500 * MS, 1200 * MS, 700 * MS, 500 * MS],
            useful: 4 * SECOND,
            kept: (24, 512),
            lost_after: 5 * SECOND,
        }
    }
}

/// Limits that can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("probing: {field}: {problem}")]
pub struct LimitsError {
    /// The field at fault.
    pub field: &'static str,
    /// What would be right.
    pub problem: &'static str,
}

impl Limits {
    fn validate(&self) -> Result<(), LimitsError> {
        let fail = |field, problem| Err(LimitsError { field, problem });
        if !(0.0..=10.0).contains(&self.per_request) {
            return fail("per_request", "must lie between 0 and 10");
        }
        if !(1.0..=1000.0).contains(&self.saved) {
            return fail("saved", "must lie between 1 and 1000");
        }
        if self.out == 0 || self.out_each == 0 {
            return fail("out", "must be at least 1");
        }
        if self.waits.iter().any(|&wait| wait < MS) || !self.waits.is_sorted_by(|a, b| a >= b) {
            return fail("waits", "must be at least 1 ms, the longest first");
        }
        if self.kept.0 == 0 || self.kept.0 > self.kept.1 {
            return fail("kept", "the fewest must be at least 1 and at most the most");
        }
        if self.useful == 0 || self.lost_after == 0 {
            return fail("useful, lost_after", "must be above 0");
        }
        Ok(())
    }
}

/// How old the figures are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ages {
    /// Servers in service.
    pub listed: usize,
    /// Those that this node keeps to.
    pub kept: usize,
    /// Those of which it has a figure that still says something.
    pub known: usize,
    /// The oldest of these figures.
    pub oldest: Nanos,
    /// Kept ones whose last probe reached nothing.
    pub unreached: usize,
    /// Probes sent so far.
    pub sent: u64,
}

/// Decides whom to probe and when. Deterministic: the same calls give the same ids.
pub struct Scheduler {
    limits: Limits,
    budget: Budget,
    random: ChaCha8Rng,
    listed: Vec<Candidate>,
    members: BTreeMap<Id, Member>,
    /// Members that may take their turn, by interest, the least first.
    queues: [BTreeSet<(Nanos, Id)>; 4],
    /// Probes out: when sent, and in which group.
    out: BTreeMap<Id, (Nanos, u32)>,
    /// Probes earned a second.
    rate: f64,
    rated: Nanos,
    per_request: f64,
    sent: u64,
}

impl Scheduler {
    /// A scheduler that knows no server. `seed` drives its jitter and should differ from node to node.
    ///
    /// # Errors
    /// Where a limit is outside the range that its field states.
    pub fn new(limits: Limits, seed: u64, now: Nanos) -> Result<Self, LimitsError> {
        limits.validate()?;
        Ok(Self {
            limits,
            budget: Budget::new(limits.per_request, limits.saved),
            random: ChaCha8Rng::seed_from_u64(seed),
            listed: Vec::new(),
            members: BTreeMap::new(),
            queues: Default::default(),
            out: BTreeMap::new(),
            rate: 0.0,
            rated: now,
            per_request: limits.per_request,
            sent: 0,
        })
    }

    /// Changes what an arrival earns, in probes; at most what the limits allow.
    pub fn earn_by(&mut self, per_request: f64) {
        self.per_request = per_request.min(self.limits.per_request);
        self.budget.earn_by(self.per_request);
    }

    /// A request has arrived.
    pub fn arrival(&mut self, now: Nanos) {
        self.budget.arrival();
        self.rate = self.rate_now(now) + self.per_request * SECOND as f64 / EARNING as f64;
        self.rated = now;
    }

    fn rate_now(&self, now: Nanos) -> f64 {
        self.rate * (-(now.saturating_sub(self.rated) as f64) / EARNING as f64).exp()
    }

    /// Servers whose figures the budget can keep of use: each twice within that time.
    fn affordable(&self, now: Nanos) -> usize {
        let useful = self.limits.useful as f64 / SECOND as f64;
        let (least, most) = self.limits.kept;
        ((self.rate_now(now) * useful / 2.0) as usize).clamp(least, most)
    }

    /// The servers in service, all of them: who is not named has left or drains and is not probed again, whose
    /// incarnation differs is a new one. Costs n log n.
    pub fn list(&mut self, servers: Vec<Candidate>, now: Nanos) {
        self.listed = servers;
        self.choose(now);
    }

    /// Chooses anew whom to keep to, should the budget have come to afford clearly more or fewer.
    pub fn review(&mut self, now: Nanos) {
        let (wanted, kept) = (self.affordable(now).min(self.listed.len()), self.members.len());
        let all = wanted == self.listed.len() && wanted > kept;
        if all || wanted > kept + kept / 2 || wanted < kept / 2 {
            self.choose(now);
        }
    }

    fn choose(&mut self, now: Nanos) {
        let kept = keep(&self.listed, self.affordable(now));
        self.members.retain(|id, _| kept.contains(id));
        for at in 0..self.listed.len() {
            let Candidate { id, group, incarnation, .. } = self.listed[at];
            let known = self.members.get(&id).is_some_and(|m| m.incarnation == incarnation);
            if known || !kept.contains(&id) {
                continue;
            }
            // The first turn comes soon, but not at all nodes at once.
            let due = now + MS + self.part(self.limits.waits[Interest::Urgent as usize]);
            let member = Member {
                incarnation,
                group,
                since: now,
                interest: Interest::Urgent,
                told: None,
                tried: now,
                unreached: 0,
                due,
            };
            self.members.insert(id, member);
        }
        self.queues = Default::default();
        for (&id, member) in self.members.iter().filter(|(id, _)| !self.out.contains_key(id)) {
            self.queues[member.interest as usize].insert((member.due, id));
        }
    }

    /// A part of a span drawn by chance.
    fn part(&mut self, span: Nanos) -> Nanos {
        let part = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        (span as f64 * part) as Nanos
    }

    /// Those kept to.
    pub fn kept(&self) -> impl Iterator<Item = Id> + '_ {
        self.members.keys().copied()
    }

    /// What a fresh figure of a server would change now. Passed over where the server is not kept to.
    pub fn interest(&mut self, id: Id, interest: Interest) {
        let Some(member) = self.members.get_mut(&id).filter(|m| m.interest != interest) else { return };
        let was = (member.interest, member.due);
        if interest > member.interest {
            let wait = member.wait(self.limits.waits[interest as usize]);
            member.due = member.due.min(member.tried.saturating_add(wait));
        }
        member.interest = interest;
        let due = member.due;
        if self.queues[was.0 as usize].remove(&(was.1, id)) {
            self.queues[interest as usize].insert((due, id));
        }
    }

    /// The next server to be probed now, if any: it counts as sent. Call until none is left.
    pub fn next(&mut self, now: Nanos) -> Option<Id> {
        self.give_up_lost(now);
        if !self.budget.affords() || self.out.len() >= self.limits.out {
            return None;
        }
        let ready = |level: Interest| {
            let queue = &self.queues[level as usize];
            let free =
                |id: &Id| self.members.get(id).is_some_and(|m| self.in_group(m.group) < self.limits.out_each);
            let due = queue.iter().take_while(|(due, _)| *due <= now);
            let (due, id) = due.copied().find(|(_, id)| free(id))?;
            // Where the budget is short all waits stretch by the same factor, and nobody starves.
            let late = (now - due) as f64 / self.limits.waits[level as usize] as f64;
            Some((late, level, due, id))
        };
        let turns = Interest::ALL.into_iter().filter_map(ready);
        let (_, level, due, id) = turns.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))?;
        if !self.budget.spend() {
            return None;
        }
        self.queues[level as usize].remove(&(due, id));
        let member = self.members.get_mut(&id)?;
        member.tried = now;
        self.out.insert(id, (now, member.group));
        self.sent += 1;
        Some(id)
    }

    fn in_group(&self, group: u32) -> usize {
        self.out.values().filter(|(_, of)| *of == group).count()
    }

    fn give_up_lost(&mut self, now: Nanos) {
        let lost = |sent: Nanos| now.saturating_sub(sent) >= self.limits.lost_after;
        let lost: Vec<Id> = self.out.iter().filter(|(_, (sent, _))| lost(*sent)).map(|(id, _)| *id).collect();
        for id in lost {
            self.ended(id, End::Unreached, now);
        }
    }

    /// A probe has ended. False where what it brought says nothing of the server as it is now: it was not asked
    /// for, or was sent to an earlier life, or its server has left.
    pub fn ended(&mut self, id: Id, end: End, now: Nanos) -> bool {
        let Some((sent, _)) = self.out.remove(&id) else { return false };
        let draw = self.random.next_u32();
        let Some(member) = self.members.get_mut(&id) else { return false };
        // What was sent in the very moment in which a server started anew went to the life before.
        let counts = sent > member.since && end != End::Withdrawn;
        if counts {
            match end {
                End::Figure => (member.told, member.unreached) = (Some(now), 0),
                End::Empty => member.unreached = 0,
                _ => member.unreached += 1,
            }
        }
        let wait = member.wait(self.limits.waits[member.interest as usize]) as f64;
        let part = 1.0 - JITTER + 2.0 * JITTER * f64::from(draw) / f64::from(u32::MAX);
        // From its sending: a probe's own time is no part of the wait. Never at once, or a server that refuses
        // all would be asked again and again.
        member.due = (member.tried + (wait * part) as Nanos).max(now + MS);
        self.queues[member.interest as usize].insert((member.due, id));
        counts
    }

    /// A figure has come with an ordinary answer: a probe would tell nothing new for a while.
    pub fn told(&mut self, id: Id, now: Nanos) {
        let Some(member) = self.members.get_mut(&id) else { return };
        (member.told, member.tried, member.unreached) = (Some(now), now, 0);
        let (due, level) = (member.due, member.interest as usize);
        let next = now + self.limits.waits[level];
        if self.queues[level].remove(&(due, id)) {
            member.due = next;
            self.queues[level].insert((next, id));
        }
    }

    /// When the next turn comes, if it can be paid for; none while only an arrival or the end of a probe can bring
    /// it about.
    pub fn wakes(&self) -> Option<Nanos> {
        let able = self.budget.affords() && self.out.len() < self.limits.out;
        let firsts = self.queues.iter().filter_map(|queue| queue.first().map(|(due, _)| *due));
        firsts.min().filter(|_| able)
    }

    /// How old the figures are; walks those kept to.
    pub fn ages(&self, now: Nanos) -> Ages {
        let mut ages =
            Ages { listed: self.listed.len(), kept: self.members.len(), sent: self.sent, ..Ages::default() };
        for member in self.members.values() {
            ages.unreached += usize::from(member.unreached > 0);
            let age =
                member.told.map(|told| now.saturating_sub(told)).filter(|&age| age < self.limits.useful);
            if let Some(age) = age {
                ages.known += 1;
                ages.oldest = ages.oldest.max(age);
            }
        }
        ages
    }
}
