//! Injects the faults of the plan, and ends them.

use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

use super::Simulation;
use super::event::Event;
use super::machine::{Machine, may_vote};
use super::network::Direction;
use super::processes::ProcessEnd;
use crate::plan::{DiskLoss, Fault, LinkFaultRates, NodeSet, Replacement, ReplacementKind};

/// The platform removes a machine this long after the shutdown signal to its process.
const KILL_AFTER_SHUTDOWN_SIGNAL: Nanos = 8 * SECOND;
/// The replacement of a partitioned machine starts this long after the partition, or at its end.
const REPLACEMENT_DELAY: Nanos = SECOND;
/// The routers' settings list a replacement machine this long after the replacement begins; `seed_lag_s` in the deployment files.
const SETTINGS_DELAY: Nanos = 3 * SECOND;
/// The interval at which a fault is retried that would exceed the tolerated disk losses.
const POSTPONED_FAULT_RETRY: Nanos = 250 * MILLISECOND;

/// Whether a fault affects only a router, not the core.
fn is_router_fault(fault: Fault) -> bool {
    matches!(fault, Fault::RouterPartition(_) | Fault::RouterKill(_))
}

impl Simulation<'_> {
    /// The machines that currently hold these member slots.
    fn machines_in(&self, members: NodeSet) -> Vec<usize> {
        (0..self.plan.members).filter(|slot| members.contains(*slot)).map(|slot| self.slots[slot]).collect()
    }

    /// The number of members without their state if these machines lost their disks now.
    fn lost_disks_with(&self, machines: &[usize]) -> usize {
        let lacks_state = |machine: usize| !may_vote(self.machines[machine].disk.stored());
        self.slots.iter().filter(|machine| machines.contains(machine) || lacks_state(**machine)).count()
    }

    /// Whether a fault would exceed the number of disk losses that the plan tolerates at once.
    fn exceeds_tolerated_losses(&self, fault: Fault) -> bool {
        let tolerated = self.plan.tolerated_disk_losses;
        match fault {
            Fault::DiskLoss(loss) => self.lost_disks_with(&self.machines_in(loss.disks)) > tolerated,
            // A planned replacement alone loses no state, so one is always allowed.
            Fault::Replace(Replacement { slot, kind: ReplacementKind::Planned }) => {
                self.lost_disks_with(&[self.slots[slot]]) > tolerated.max(1)
            }
            Fault::Replace(Replacement { slot, .. }) => self.lost_disks_with(&[self.slots[slot]]) > tolerated,
            _ => false,
        }
    }

    pub(super) fn begin_fault(&mut self, number: usize) {
        let scheduled = &self.plan.faults[number];
        let fault = scheduled.fault;
        if self.exceeds_tolerated_losses(fault) {
            if self.now + POSTPONED_FAULT_RETRY < self.plan.faults_end_ms * MILLISECOND {
                self.schedule_after(POSTPONED_FAULT_RETRY, Event::FaultBegins(number));
            }
            return;
        }
        let remaining_ms = self.plan.faults_end_ms.saturating_sub(self.now_ms());
        let duration_ms = scheduled.duration_ms.min(remaining_ms).max(1);
        self.record(|| format!("fault {number}: {fault:?} for {duration_ms} ms"));
        if !is_router_fault(fault) {
            self.last_core_event = self.now;
        }
        self.apply_fault(number, fault, duration_ms);
        self.schedule_after(duration_ms * MILLISECOND, Event::FaultEnds(number));
    }

    fn apply_fault(&mut self, number: usize, fault: Fault, duration_ms: u64) {
        match fault {
            Fault::Kill(members) => self.restart_members(members, ProcessEnd::Killed, duration_ms),
            Fault::PowerLoss(members) => self.restart_members(members, ProcessEnd::PowerLost, duration_ms),
            Fault::DiskLoss(loss) => self.lose_disks(loss, duration_ms),
            Fault::Freeze(members) => self.suspend(members, duration_ms),
            Fault::RouterKill(router) => {
                self.stop_router(router);
                self.schedule_after(duration_ms * MILLISECOND, Event::RouterStarts(router));
            }
            Fault::SlowDisk(slow) => {
                self.impair_disks(number, slow.members, |machine| machine.slow_write_ms.push(slow.write_ms));
            }
            Fault::StalledDisk(members) => {
                self.impair_disks(number, members, |machine| machine.stall_faults += 1);
            }
            Fault::FullDisk(members) => {
                self.impair_disks(number, members, |machine| machine.full_disk_faults += 1);
            }
            Fault::UnreliableLinks(rates) => {
                self.links.fault_rates = rates;
                self.slowing_faults += 1;
            }
            Fault::OneWayPartition(link) => {
                let direction = Direction { from: self.slots[link.from], to: self.slots[link.to] };
                self.partition(number, vec![direction]);
            }
            Fault::Partition(members) => self.partition_members(number, members),
            Fault::RouterPartition(partition) => {
                self.partition_router(number, partition.router, partition.members);
            }
            Fault::Replace(replacement) => self.replace(number, replacement, duration_ms),
        }
    }

    pub(super) fn end_fault(&mut self, number: usize) {
        let fault = self.plan.faults[number].fault;
        if !is_router_fault(fault) {
            self.last_core_event = self.now;
        }
        self.record(|| format!("fault {number} ends"));
        match fault {
            Fault::SlowDisk(slow) => self.restore_disks(number, |machine| {
                let present = &mut machine.slow_write_ms;
                if let Some(position) = present.iter().position(|write_ms| *write_ms == slow.write_ms) {
                    present.remove(position);
                }
            }),
            Fault::StalledDisk(_) => self.restore_disks(number, |machine| {
                machine.stall_faults = machine.stall_faults.saturating_sub(1);
            }),
            Fault::FullDisk(_) => self.restore_disks(number, |machine| {
                machine.full_disk_faults = machine.full_disk_faults.saturating_sub(1);
            }),
            Fault::UnreliableLinks(_) => {
                self.links.fault_rates = LinkFaultRates::default();
                self.slowing_faults -= 1;
            }
            Fault::RouterPartition(partition) => {
                self.heal(number);
                let router = &mut self.routers[partition.router];
                router.last_fault_at = self.now;
                router.partition_faults = router.partition_faults.saturating_sub(1);
            }
            Fault::OneWayPartition(_) | Fault::Partition(_) | Fault::Replace(_) => self.heal(number),
            Fault::Kill(_)
            | Fault::PowerLoss(_)
            | Fault::DiskLoss(_)
            | Fault::Freeze(_)
            | Fault::RouterKill(_) => {}
        }
    }

    /// Ends the processes of these members. Each process starts again up to 100 ms after the fault ends, or at the end of all faults.
    fn restart_members(&mut self, members: NodeSet, end: ProcessEnd, duration_ms: u64) {
        for machine in self.machines_in(members) {
            self.restart_machine(machine, end, duration_ms);
        }
    }

    fn restart_machine(&mut self, machine: usize, end: ProcessEnd, duration_ms: u64) {
        if !self.machines[machine].is_running() {
            return;
        }
        self.stop_node(machine, end);
        let remaining_ms = self.plan.faults_end_ms.saturating_sub(self.now_ms());
        let delay_ms = (duration_ms + self.random_below(100)).min(remaining_ms).max(1);
        self.schedule_after(delay_ms * MILLISECOND, Event::NodeStarts(machine));
    }

    fn lose_disks(&mut self, loss: DiskLoss, duration_ms: u64) {
        self.restart_members(loss.disks, ProcessEnd::PowerLost, duration_ms);
        self.restart_members(loss.power_only, ProcessEnd::PowerLost, duration_ms);
        for machine in self.machines_in(loss.disks) {
            self.wipe_disk(machine);
        }
    }

    fn suspend(&mut self, members: NodeSet, duration_ms: u64) {
        let until = self.now + duration_ms * MILLISECOND;
        for machine in self.machines_in(members) {
            let this = &mut self.machines[machine];
            if this.is_running() {
                this.suspended_until = this.suspended_until.max(until);
                self.schedule_at(until, Event::NodeResumes(machine));
            }
        }
    }

    /// Applies a disk fault to the machines of these members, and records the machines for [`Self::restore_disks`].
    fn impair_disks(&mut self, number: usize, members: NodeSet, begin: impl Fn(&mut Machine)) {
        let machines = self.machines_in(members);
        machines.iter().for_each(|machine| begin(&mut self.machines[*machine]));
        self.faulty_disks.insert(number, machines);
        self.slowing_faults += 1;
    }

    fn restore_disks(&mut self, number: usize, end: impl Fn(&mut Machine)) {
        for machine in self.faulty_disks.remove(&number).unwrap_or_default() {
            end(&mut self.machines[machine]);
        }
        self.slowing_faults -= 1;
    }

    /// Assigns the slot of a machine to a new machine.
    fn replace(&mut self, number: usize, replacement: Replacement, duration_ms: u64) {
        let Replacement { slot, kind } = replacement;
        let (old, new) = (self.slots[slot], self.next_machine);
        self.next_machine += 1;
        self.seeds.insert(new, self.slots.clone());
        self.slots[slot] = new;
        self.machines[new].zone = self.machines[old].zone;
        self.machines[new].require_state_transfer();
        // With a single member, routers learn the replacement's address only from the old machine or from their settings.
        if self.plan.members == 1 {
            for router in 0..self.plan.routers {
                self.schedule_after(SETTINGS_DELAY, Event::RouterSettingsReloaded(router));
            }
        }
        let duration = duration_ms * MILLISECOND;
        match kind {
            ReplacementKind::Failed => {
                self.remove_machine(old);
                self.schedule_after(duration, Event::NodeStarts(new));
            }
            ReplacementKind::Planned => {
                let incarnation = self.machines[old].incarnation;
                self.schedule_after(0, Event::NodeStarts(new));
                self.schedule_after(duration, Event::ShutdownRequested(old));
                let removed = Event::MachineRemoved { machine: old, incarnation };
                self.schedule_after(duration + KILL_AFTER_SHUTDOWN_SIGNAL, removed);
            }
            ReplacementKind::Partitioned => {
                self.partition_machines(number, &[old]);
                self.schedule_after(REPLACEMENT_DELAY.min(duration), Event::NodeStarts(new));
            }
        }
    }

    fn partition_members(&mut self, number: usize, members: NodeSet) {
        let machines = self.machines_in(members);
        self.partition_machines(number, &machines);
    }

    /// Partitions machines from all other machines, in both directions.
    fn partition_machines(&mut self, number: usize, isolated: &[usize]) {
        let others: Vec<usize> =
            (0..self.machines.len()).filter(|machine| !isolated.contains(machine)).collect();
        let mut directions = Vec::new();
        for one in isolated {
            for other in &others {
                directions.push(Direction { from: *one, to: *other });
                directions.push(Direction { from: *other, to: *one });
            }
        }
        self.partition(number, directions);
    }

    fn partition_router(&mut self, number: usize, router: usize, members: NodeSet) {
        let this = &mut self.routers[router];
        this.last_fault_at = self.now;
        this.partition_faults += 1;
        let own = self.router_index(router);
        let mut directions = Vec::new();
        for machine in self.machines_in(members) {
            directions.push(Direction { from: own, to: machine });
            directions.push(Direction { from: machine, to: own });
        }
        self.partition(number, directions);
    }

    /// Partitions these directions until the fault ends. Connections between machines break at once; sessions of routers end by their
    /// timeouts.
    fn partition(&mut self, number: usize, directions: Vec<Direction>) {
        let machines = self.machines.len();
        for direction in &directions {
            self.links.partition(*direction);
            let Direction { from, to } = *direction;
            if to < machines && from < machines {
                self.machines[from].connected_peers.remove(&to);
            } else if to < machines {
                self.partition_session(from - machines, to);
            }
        }
        self.partitions.insert(number, directions);
    }

    fn heal(&mut self, number: usize) {
        for direction in self.partitions.remove(&number).unwrap_or_default() {
            self.links.heal(direction);
        }
    }
}
