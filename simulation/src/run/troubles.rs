//! What goes wrong, and how it ends.

use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

use super::machines::Machine;
use super::{Happening, World};
use crate::plan::{Replacement, Trouble};

/// A platform kills a process so long after it was told to end.
const KILLED_AFTER: Nanos = 8 * SECOND;
/// The successor of a machine that is cut off comes so long after the cut.
const SUCCESSOR_AFTER: Nanos = SECOND;
/// The settings of others name a successor so long after it has come (`seed_lag_s`).
const SETTINGS_AFTER: Nanos = 3 * SECOND;
/// A loss that has to wait its turn is tried again after this.
const TURN_AGAIN: Nanos = 250 * MILLISECOND;

fn of(mask: u64, members: usize) -> impl Iterator<Item = usize> {
    (0..members).filter(move |slot| mask >> slot & 1 == 1)
}

impl World<'_> {
    /// The machines in these places now.
    fn machines_of(&self, mask: u64) -> Vec<usize> {
        of(mask, self.plan.members).map(|slot| self.slots[slot]).collect()
    }

    /// How many disks are lost at once if these are lost now: also those whose machines still have to be handed their state.
    fn disks_lost_with(&self, machines: &[usize]) -> usize {
        let lost = |machine: &&usize| machines.contains(machine) || self.machines[**machine].lacks_state();
        self.slots.iter().filter(lost).count()
    }

    /// Whether a fault has to wait, as it would lose more disks at once than are tolerated.
    fn waits_its_turn(&self, what: Trouble) -> bool {
        match what {
            Trouble::Wipe(lost, _) => self.disks_lost_with(&self.machines_of(lost)) > self.plan.tolerate,
            // A machine that hands over loses nothing by itself.
            Trouble::Replace(slot, Replacement::Planned) => {
                self.disks_lost_with(&[self.slots[slot]]) > self.plan.tolerate.max(1)
            }
            Trouble::Replace(slot, _) => self.disks_lost_with(&[self.slots[slot]]) > self.plan.tolerate,
            _ => false,
        }
    }

    pub(super) fn fault(&mut self, number: usize) {
        let fault = &self.plan.faults[number];
        let now_ms = self.now / MILLISECOND;
        if self.waits_its_turn(fault.what) {
            if self.now + TURN_AGAIN < self.plan.faults_end_ms * MILLISECOND {
                self.after(TURN_AGAIN, Happening::Fault(number));
            }
            return;
        }
        let for_ms = fault.for_ms.min(self.plan.faults_end_ms.saturating_sub(now_ms)).max(1);
        self.note(|| format!("fault {number}: {:?} for {for_ms} ms", fault.what));
        if !matches!(fault.what, Trouble::Aside(..) | Trouble::Follower(_)) {
            self.core_event = self.now;
        }
        match fault.what {
            Trouble::Kill(mask) | Trouble::Power(mask) => {
                let power = matches!(fault.what, Trouble::Power(_));
                for machine in self.machines_of(mask) {
                    self.down(machine, power, for_ms);
                }
            }
            Trouble::Wipe(lost, others) => self.lose_disks(lost, others, for_ms),
            Trouble::Freeze(mask) => self.freeze(mask, for_ms),
            Trouble::Follower(follower) => {
                self.follower_stop(follower);
                self.after(for_ms * MILLISECOND, Happening::FollowerStart(follower));
            }
            Trouble::Slow(mask, ms) => self.hold_disks(number, mask, |machine| machine.slow.push(ms)),
            Trouble::Stall(mask) => self.hold_disks(number, mask, |machine| machine.stalled += 1),
            Trouble::Full(mask) => self.hold_disks(number, mask, |machine| machine.full += 1),
            Trouble::Unruly(lost, doubled, held_up) => {
                self.links.unruly = (lost, doubled, held_up);
                self.slowed += 1;
            }
            Trouble::OneWay(..) | Trouble::Split(_) | Trouble::Aside(..) => self.cut_ways(number),
            Trouble::Replace(slot, how) => self.replace(number, slot, how, for_ms),
        }
        self.after(for_ms * MILLISECOND, Happening::Ends(number));
    }

    /// Disks are in trouble, until the fault ends.
    fn hold_disks(&mut self, number: usize, mask: u64, begin: impl Fn(&mut Machine)) {
        let machines = self.machines_of(mask);
        machines.iter().for_each(|machine| begin(&mut self.machines[*machine]));
        self.held_disks.insert(number, machines);
        self.slowed += 1;
    }

    fn release_disks(&mut self, number: usize, end: impl Fn(&mut Machine)) {
        for machine in self.held_disks.remove(&number).unwrap_or_default() {
            end(&mut self.machines[machine]);
        }
        self.slowed -= 1;
    }

    fn lose_disks(&mut self, lost: u64, others: u64, for_ms: u64) {
        let lost = self.machines_of(lost);
        for machine in lost.iter().copied().chain(self.machines_of(others)) {
            self.down(machine, true, for_ms);
        }
        for machine in lost {
            self.wipe(machine);
        }
    }

    fn freeze(&mut self, mask: u64, for_ms: u64) {
        let until = self.now + for_ms * MILLISECOND;
        for machine in self.machines_of(mask) {
            let this = &mut self.machines[machine];
            if this.is_up() {
                this.frozen_until = this.frozen_until.max(until);
                self.at(until, Happening::Thaw(machine));
            }
        }
    }

    /// Another machine takes the place of the one that is there.
    fn replace(&mut self, number: usize, slot: usize, how: Replacement, for_ms: u64) {
        let (old, successor) = (self.slots[slot], self.next_machine);
        self.next_machine += 1;
        self.seeds.insert(successor, self.slots.clone());
        self.slots[slot] = successor;
        self.machines[successor].place = self.machines[old].place;
        self.machines[successor].await_state();
        let life = self.machines[old].life;
        // Followers of one machine alone hear of its successor from it, or from their settings.
        if self.plan.members == 1 {
            for follower in 0..self.plan.followers {
                self.after(SETTINGS_AFTER, Happening::Settings(follower));
            }
        }
        match how {
            Replacement::Gone => {
                self.gone(old);
                self.after(for_ms * MILLISECOND, Happening::Start(successor));
            }
            Replacement::Planned => {
                self.after(0, Happening::Start(successor));
                self.after(for_ms * MILLISECOND, Happening::Leave(old));
                self.after(for_ms * MILLISECOND + KILLED_AFTER, Happening::Gone(old, life));
            }
            Replacement::Returns => {
                let others = (0..self.machines.len()).filter(|other| *other != old);
                let ways = others.flat_map(|other| [(old, other), (other, old)]).collect();
                self.cut_all(number, ways);
                let after = SUCCESSOR_AFTER.min(for_ms * MILLISECOND);
                self.after(after, Happening::Start(successor));
            }
        }
    }

    pub(super) fn fault_ends(&mut self, number: usize) {
        let what = self.plan.faults[number].what;
        if !matches!(what, Trouble::Aside(..) | Trouble::Follower(_)) {
            self.core_event = self.now;
        }
        self.note(|| format!("fault {number} ends"));
        match what {
            Trouble::Slow(_, ms) => self.release_disks(number, |machine| {
                if let Some(place) = machine.slow.iter().position(|one| *one == ms) {
                    machine.slow.remove(place);
                }
            }),
            Trouble::Stall(_) => {
                self.release_disks(number, |machine| machine.stalled = machine.stalled.saturating_sub(1));
            }
            Trouble::Full(_) => {
                self.release_disks(number, |machine| machine.full = machine.full.saturating_sub(1));
            }
            Trouble::Unruly(..) => {
                self.links.unruly = (0, 0, 0);
                self.slowed -= 1;
            }
            Trouble::Aside(follower, _) => {
                self.join_ways(number);
                let router = &mut self.routers[follower];
                (router.event, router.aside) = (self.now, router.aside.saturating_sub(1));
            }
            Trouble::OneWay(..) | Trouble::Split(_) | Trouble::Replace(..) => self.join_ways(number),
            Trouble::Kill(_)
            | Trouble::Power(_)
            | Trouble::Wipe(..)
            | Trouble::Freeze(_)
            | Trouble::Follower(_) => {}
        }
    }

    fn down(&mut self, machine: usize, power: bool, for_ms: u64) {
        if self.machines[machine].is_up() {
            self.stop(machine, power);
            let after = (for_ms + self.below(100))
                .min(self.plan.faults_end_ms.saturating_sub(self.now / MILLISECOND));
            self.after(after.max(1) * MILLISECOND, Happening::Start(machine));
        }
    }

    fn cut_ways(&mut self, number: usize) {
        let ways: Vec<(usize, usize)> = match self.plan.faults[number].what {
            Trouble::OneWay(from, to) => vec![(self.slots[from], self.slots[to])],
            Trouble::Split(mask) => {
                let set = self.machines_of(mask);
                let others: Vec<usize> =
                    (0..self.machines.len()).filter(|machine| !set.contains(machine)).collect();
                set.iter()
                    .flat_map(|one| others.iter().flat_map(|other| [(*one, *other), (*other, *one)]))
                    .collect()
            }
            Trouble::Aside(follower, mask) => {
                let own = self.plan.machines() + follower;
                let router = &mut self.routers[follower];
                (router.event, router.aside) = (self.now, router.aside + 1);
                self.machines_of(mask)
                    .into_iter()
                    .flat_map(|machine| [(own, machine), (machine, own)])
                    .collect()
            }
            _ => Vec::new(),
        };
        self.cut_all(number, ways);
    }

    /// Cuts ways, until the fault ends.
    fn cut_all(&mut self, number: usize, ways: Vec<(usize, usize)>) {
        let machines = self.machines.len();
        for (from, to) in &ways {
            self.links.cut(*from, *to);
            if *to < machines && *from < machines {
                self.machines[*from].linked.remove(to);
            } else if *to < machines {
                self.sessions_cut(from - machines, *to);
            }
        }
        self.cut_ways.insert(number, ways);
    }

    fn join_ways(&mut self, number: usize) {
        for (from, to) in self.cut_ways.remove(&number).unwrap_or_default() {
            self.links.join(from, to);
        }
    }
}
