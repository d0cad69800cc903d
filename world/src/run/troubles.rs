//! What goes wrong, and how it ends.

use ivyhatch_protocol::MILLISECOND;

use super::{Happening, World};
use crate::plan::Trouble;

fn of(mask: u64, members: usize) -> impl Iterator<Item = usize> {
    (0..members).filter(move |machine| mask >> machine & 1 == 1)
}

impl World<'_> {
    pub(super) fn fault(&mut self, number: usize) {
        let fault = &self.plan.faults[number];
        let members = self.plan.members;
        let now_ms = self.now / MILLISECOND;
        let for_ms = fault.for_ms.min(self.plan.faults_end_ms.saturating_sub(now_ms)).max(1);
        self.note(|| format!("fault {number}: {:?} for {for_ms} ms", fault.what));
        if !matches!(fault.what, Trouble::Aside(..) | Trouble::Follower(_)) {
            self.core_event = self.now;
        }
        match fault.what {
            Trouble::Kill(mask) | Trouble::Power(mask) => {
                let power = matches!(fault.what, Trouble::Power(_));
                for machine in of(mask, members) {
                    self.down(machine, power, for_ms);
                }
            }
            Trouble::Wipe(lost, others) => {
                for machine in of(lost | others, members) {
                    self.down(machine, true, for_ms);
                }
                for machine in of(lost, members) {
                    self.machines[machine].disk.wipe();
                }
            }
            Trouble::Freeze(mask) => {
                let until = self.now + for_ms * MILLISECOND;
                for machine in
                    of(mask, members).filter(|machine| self.machines[*machine].is_up()).collect::<Vec<_>>()
                {
                    let this = &mut self.machines[machine];
                    this.frozen_until = this.frozen_until.max(until);
                    self.at(until, Happening::Thaw(machine));
                }
            }
            Trouble::Follower(follower) => {
                self.follower_stop(follower);
                self.after(for_ms * MILLISECOND, Happening::FollowerStart(follower));
            }
            Trouble::Slow(mask, ms) => {
                of(mask, members).for_each(|machine| self.machines[machine].slow.push(ms));
                self.slowed += 1;
            }
            Trouble::Stall(mask) => {
                of(mask, members).for_each(|machine| self.machines[machine].stalled += 1);
                self.slowed += 1;
            }
            Trouble::Unruly(lost, doubled, held_up) => {
                self.links.unruly = (lost, doubled, held_up);
                self.slowed += 1;
            }
            Trouble::OneWay(..) | Trouble::Split(_) | Trouble::Aside(..) => self.cuts(number, true),
        }
        self.after(for_ms * MILLISECOND, Happening::Ends(number));
    }

    pub(super) fn fault_ends(&mut self, number: usize) {
        let members = self.plan.members;
        let what = self.plan.faults[number].what;
        if !matches!(what, Trouble::Aside(..) | Trouble::Follower(_)) {
            self.core_event = self.now;
        }
        self.note(|| format!("fault {number} ends"));
        match what {
            Trouble::Slow(mask, ms) => {
                for machine in of(mask, members) {
                    let slow = &mut self.machines[machine].slow;
                    let place = slow.iter().position(|one| *one == ms);
                    place.into_iter().for_each(|place| {
                        slow.remove(place);
                    });
                }
                self.slowed -= 1;
            }
            Trouble::Stall(mask) => {
                for machine in of(mask, members) {
                    let stalled = &mut self.machines[machine].stalled;
                    *stalled = stalled.saturating_sub(1);
                }
                self.slowed -= 1;
            }
            Trouble::Unruly(..) => {
                self.links.unruly = (0, 0, 0);
                self.slowed -= 1;
            }
            Trouble::OneWay(..) | Trouble::Split(_) | Trouble::Aside(..) => self.cuts(number, false),
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

    /// Cuts, or joins, all ways that a fault is about.
    fn cuts(&mut self, number: usize, cut: bool) {
        let members = self.plan.members;
        let ways: Vec<(usize, usize)> = match self.plan.faults[number].what {
            Trouble::OneWay(from, to) => vec![(from, to)],
            Trouble::Split(mask) => of(mask, members)
                .flat_map(|one| of(!mask, members).flat_map(move |other| [(one, other), (other, one)]))
                .collect(),
            Trouble::Aside(follower, mask) => {
                let own = members + follower;
                let router = &mut self.routers[follower];
                router.event = self.now;
                router.aside = if cut { router.aside + 1 } else { router.aside.saturating_sub(1) };
                of(mask, members).flat_map(|machine| [(own, machine), (machine, own)]).collect()
            }
            _ => Vec::new(),
        };
        for (from, to) in ways {
            if !cut {
                self.links.join(from, to);
                continue;
            }
            self.links.cut(from, to);
            if to < members && from < members {
                self.machines[from].linked.remove(&to);
            } else if to < members {
                self.sessions_cut(from - members, to);
            }
        }
    }
}
