//! Worlds with further troubles: routers that restart while they are cut off, full disks, long bursts of changes, and answers
//! that operators never hear. They are drawn apart, so that a seed of the other worlds goes on drawing what it always drew.

use super::{CALM_MS, Fault, Ordered, Plan, Trouble, Undertaking, When, subset};
use crate::chance::Chance;

/// Keeps what is drawn here apart from what [`Plan::drawn`] draws from the same seed.
const STREAM: u64 = 0x6d6f_7265;
/// One in so many worlds has a burst of changes.
const BURST_SHARE: u64 = 40;
/// A burst begins then.
const BURST_BEGINS_MS: u64 = 4_000;
/// The orders of a burst are so far apart, if they don't have to wait for an answer.
const BURST_STEP_MS: u64 = 20;
/// A world with a burst has troubles until then, so that most of the changes come before the last one.
const BURST_FAULTS_END_MS: u64 = 18_000;

impl Plan {
    /// A plan by chance, with further troubles.
    pub fn drawn_with_more(seed: u64) -> Self {
        let mut plan = Self::drawn(seed);
        let mut chance = Chance::new(seed ^ STREAM);
        if chance.below(BURST_SHARE) == 0 {
            plan.add_burst(&mut chance);
        }
        if chance.percent(60) {
            plan.add_restart_inside_cut(&mut chance);
        }
        if plan.members > 1 && chance.percent(40) {
            plan.add_full_disks(&mut chance);
        }
        if chance.percent(40) {
            plan.lost_answers = chance.between(5, 40);
        }
        plan
    }

    /// A router is cut off from some or all control nodes, and its process is killed and started meanwhile. Sometimes the only ones
    /// that it reaches are cut off from the others themselves.
    fn add_restart_inside_cut(&mut self, chance: &mut Chance) {
        let members = self.members as u64;
        let follower = chance.below(self.followers as u64) as usize;
        let at_ms = chance.between(CALM_MS, self.faults_end_ms - 1_500);
        let for_ms = chance.between(1_000, 6_000);
        let minority = members.saturating_sub(1) / 2;
        let unreached = if minority > 0 && chance.percent(40) {
            let count = chance.between(1, minority);
            let reached = subset(chance, self.members, count);
            self.faults.push(Fault { when: When::At(at_ms), what: Trouble::Split(reached), for_ms });
            self.all_members() & !reached
        } else {
            let count = chance.between(1, members);
            subset(chance, self.members, count)
        };
        let cut = Trouble::Aside(follower, unreached);
        self.faults.push(Fault { when: When::At(at_ms), what: cut, for_ms });
        let killed_after_ms = chance.below(for_ms / 2);
        let down_ms = chance.between(50, for_ms / 3);
        self.faults.push(Fault {
            when: When::At(at_ms + killed_after_ms),
            what: Trouble::Follower(follower),
            for_ms: down_ms,
        });
    }

    fn add_full_disks(&mut self, chance: &mut Chance) {
        let members = self.members as u64;
        let count = if chance.percent(20) { members } else { chance.between(1, members / 2) };
        let disks = subset(chance, self.members, count);
        let when = When::At(chance.between(CALM_MS, self.faults_end_ms - 500));
        self.faults.push(Fault { when, what: Trouble::Full(disks), for_ms: chance.between(200, 5_000) });
    }

    /// One operator sends a long row of changes, as fast as they are answered; near the end of them processes restart, a disk is lost
    /// or a machine is replaced.
    fn add_burst(&mut self, chance: &mut Chance) {
        self.faults_end_ms = BURST_FAULTS_END_MS;
        self.faults.truncate(1);
        self.orders.retain(|order| order.at_ms < BURST_BEGINS_MS || order.operator > 1);
        let changes = chance.between(100, 200);
        for number in 0..changes {
            let what = if chance.percent(50) { Undertaking::Put } else { Undertaking::Patch };
            let at_ms = BURST_BEGINS_MS + number * BURST_STEP_MS;
            self.orders.push(Ordered { at_ms, operator: 0, what });
        }
        let last = match chance.below(3) {
            0 if self.members > 1 => self.loss(chance),
            1 => self.replacement(chance),
            _ => Fault {
                when: When::At(0),
                what: Trouble::Kill(self.all_members()),
                for_ms: chance.between(200, 1_500),
            },
        };
        let at_ms = self.faults_end_ms - chance.between(1_000, 4_000);
        self.faults.push(Fault { when: When::At(at_ms), ..last });
    }

    /// All control nodes, as a bit mask.
    fn all_members(&self) -> u64 {
        (1 << self.members) - 1
    }
}
