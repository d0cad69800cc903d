//! Random plans: operations of four operators, faults, disk losses and replacements.

use super::{
    AcknowledgementTrigger, DiskLoss, Fault, FaultTrigger, Link, LinkFaultRates, NodeSet, Plan,
    PlannedOperation, Replacement, ReplacementKind, RouterPartition, ScheduledFault, ScheduledOperation,
    SlowDisk,
};
use crate::random::Random;

/// The earliest start of a fault, late enough that the group has formed.
pub(super) const FAULTS_BEGIN_MS: u64 = 5_000;
/// A fault begins at least this long before the end of all faults.
pub(super) const SHORTEST_FAULT_MS: u64 = 500;
/// Operations are scheduled until this long after the last fault.
const OPERATIONS_AFTER_FAULTS_MS: u64 = 2_000;
/// A fault duration longer than any plan's faults, so that the fault lasts until the plan's `faults_end_ms`.
const UNTIL_FAULTS_END_MS: u64 = 20_000;
/// The operator that only reads the configuration; operators 0 and 1 change it.
const READING_OPERATOR: usize = 2;
/// The operator that alternately starts and ends the evacuation of a zone.
const EVACUATING_OPERATOR: usize = 3;

/// A random set of `count` distinct members out of `members`, or all of them if `count` is larger.
pub(super) fn random_subset(random: &mut Random, members: usize, count: u64) -> NodeSet {
    let mut mask = 0;
    while u64::from(u64::count_ones(mask)) < count.min(members as u64) {
        mask |= 1 << random.below(members as u64);
    }
    NodeSet(mask)
}

/// A trigger less than `delay_end_ms` after a random number of acknowledged changes, from 2 to `max_count`.
fn after_acknowledgements(random: &mut Random, max_count: u64, delay_end_ms: u64) -> FaultTrigger {
    let count = random.between(2, max_count);
    let delay_ms = random.below(delay_end_ms);
    FaultTrigger::AfterAcknowledgements(AcknowledgementTrigger { count, delay_ms })
}

impl Plan {
    /// The random plan of a seed.
    pub fn random(seed: u64) -> Self {
        let mut random = Random::new(seed);
        let (members, tolerated_disk_losses) = match random.below(100) {
            0..72 => (3, 1),
            72..84 => (6, 2),
            84..94 => (5, 1),
            _ => (1, 0),
        };
        let routers = random.between(1, 3) as usize;
        let faults_end_ms = random.between(9_000, 18_000);
        let mut plan = Self {
            seed,
            members,
            tolerated_disk_losses,
            routers,
            faults_end_ms,
            operations: random_operations(&mut random, faults_end_ms),
            faults: Vec::new(),
            mutation: None,
            lost_response_percent: 0,
            callers: 0,
        };
        plan.faults = if members == 1 {
            plan.single_member_faults(&mut random)
        } else {
            plan.group_faults(&mut random)
        };
        plan
    }

    /// The faults of a group of several members. A loss that would exceed the tolerated disk losses is postponed during the run.
    fn group_faults(&self, random: &mut Random) -> Vec<ScheduledFault> {
        let count = random.between(1, 5);
        let mut faults: Vec<ScheduledFault> = (0..count).map(|_| self.random_fault(random)).collect();
        let losses = random.below(4);
        for _ in 0..losses {
            let fault = if random.chance_percent(50) {
                self.random_disk_loss(random)
            } else {
                self.random_replacement(random)
            };
            faults.push(fault);
        }
        faults
    }

    /// The faults of a group with a single member, which keeps its state only through restarts and planned replacements.
    fn single_member_faults(&self, random: &mut Random) -> Vec<ScheduledFault> {
        let kills = random.below(3);
        let mut faults: Vec<ScheduledFault> = (0..kills).map(|_| self.random_restart(random)).collect();
        if random.chance_percent(70) {
            faults.push(self.random_replacement(random));
        }
        faults
    }

    /// A restart of the only member.
    fn random_restart(&self, random: &mut Random) -> ScheduledFault {
        let only = NodeSet(1);
        let trigger = self.random_time(random);
        let fault = if random.chance_percent(50) { Fault::Kill(only) } else { Fault::PowerLoss(only) };
        ScheduledFault { trigger, fault, duration_ms: random.between(200, 1_500) }
    }

    /// A trigger at a random time.
    fn random_time(&self, random: &mut Random) -> FaultTrigger {
        FaultTrigger::At(random.between(FAULTS_BEGIN_MS, self.faults_end_ms - SHORTEST_FAULT_MS))
    }

    fn random_fault(&self, random: &mut Random) -> ScheduledFault {
        let fault = self.random_fault_kind(random);
        let trigger = if random.chance_percent(75) {
            self.random_time(random)
        } else {
            after_acknowledgements(random, 6, 30)
        };
        let duration_ms = match fault {
            Fault::Kill(_) | Fault::RouterKill(_) => random.between(200, 1_500),
            _ if random.chance_percent(30) => UNTIL_FAULTS_END_MS,
            _ => random.between(100, 5_000),
        };
        ScheduledFault { trigger, fault, duration_ms }
    }

    fn random_fault_kind(&self, random: &mut Random) -> Fault {
        let members = self.members;
        match random.below(14) {
            0 | 1 => Fault::Kill(self.random_minority(random)),
            2 => Fault::Kill(self.all_members()),
            3 => Fault::PowerLoss(self.random_minority(random)),
            4 => Fault::PowerLoss(self.all_members()),
            5 | 6 => Fault::Freeze(self.random_minority(random)),
            7 if members > 1 => {
                let from = random.below(members as u64) as usize;
                let to = (from + 1 + random.below(members as u64 - 1) as usize) % members;
                Fault::OneWayPartition(Link { from, to })
            }
            8 => Fault::Partition(self.random_minority(random)),
            9 => {
                let router = random.below(self.routers as u64) as usize;
                Fault::RouterPartition(RouterPartition { router, members: random_subset(random, members, 2) })
            }
            10 => Fault::RouterKill(random.below(self.routers as u64) as usize),
            11 => {
                let members = self.random_minority(random);
                Fault::SlowDisk(SlowDisk { members, write_ms: random.between(50, 900) })
            }
            12 => Fault::StalledDisk(self.random_minority(random)),
            _ => Fault::UnreliableLinks(LinkFaultRates {
                lost_percent: random.below(25),
                duplicated_percent: random.below(20),
                reordered_percent: random.below(30),
            }),
        }
    }

    /// A random set of members, from one member up to half of them.
    fn random_minority(&self, random: &mut Random) -> NodeSet {
        let count = random.between(1, (self.members as u64 / 2).max(1));
        random_subset(random, self.members, count)
    }

    /// A replacement of a random member's machine. In a group with a single member the replacement is planned, since others lose state.
    pub(super) fn random_replacement(&self, random: &mut Random) -> ScheduledFault {
        let kinds = [ReplacementKind::Failed, ReplacementKind::Planned, ReplacementKind::Partitioned];
        let drawn = kinds[random.below(3) as usize];
        let kind = if self.members == 1 { ReplacementKind::Planned } else { drawn };
        let slot = random.below(self.members as u64) as usize;
        let trigger = if random.chance_percent(30) {
            after_acknowledgements(random, 7, 8)
        } else {
            self.random_time(random)
        };
        let duration_ms = match kind {
            ReplacementKind::Partitioned => random.between(2_500, 8_000),
            ReplacementKind::Failed | ReplacementKind::Planned => random.between(200, 2_500),
        };
        ScheduledFault { trigger, fault: Fault::Replace(Replacement { slot, kind }), duration_ms }
    }

    /// A loss of one up to the tolerated number of disks; in half of the cases all other members lose power at the same time.
    pub(super) fn random_disk_loss(&self, random: &mut Random) -> ScheduledFault {
        let count = random.between(1, self.tolerated_disk_losses.max(1) as u64);
        let disks = random_subset(random, self.members, count);
        let power_only =
            if random.chance_percent(50) { self.all_members().difference(disks) } else { NodeSet::default() };
        let trigger = if random.chance_percent(70) {
            after_acknowledgements(random, 7, 8)
        } else {
            self.random_time(random)
        };
        let fault = Fault::DiskLoss(DiskLoss { disks, power_only });
        ScheduledFault { trigger, fault, duration_ms: random.between(300, 4_000) }
    }
}

fn random_operations(random: &mut Random, faults_end_ms: u64) -> Vec<ScheduledOperation> {
    let end_ms = faults_end_ms + OPERATIONS_AFTER_FAULTS_MS;
    let first = ScheduledOperation { at_ms: 2_500, operator: 0, operation: PlannedOperation::Put };
    let mut operations = vec![first];
    add_racing_operations(&mut operations, random, end_ms);
    add_reads(&mut operations, random, end_ms);
    add_evacuations(&mut operations, random, end_ms);
    operations
}

/// Adds operations of two operators that change and read the configuration, often at nearly the same time.
fn add_racing_operations(operations: &mut Vec<ScheduledOperation>, random: &mut Random, end_ms: u64) {
    let mut at_ms = 4_000;
    while at_ms < end_ms {
        at_ms += random.between(100, 1_600);
        let operation = match random.below(10) {
            0..4 => PlannedOperation::Put,
            4..6 => PlannedOperation::Patch,
            6 => PlannedOperation::Invalid,
            _ => PlannedOperation::Read,
        };
        let operator = random.below(2) as usize;
        operations.push(ScheduledOperation { at_ms, operator, operation });
        if random.chance_percent(40) {
            let at_ms = at_ms + random.below(30);
            operations.push(ScheduledOperation { at_ms, operator: 1 - operator, operation });
        }
    }
}

/// Adds reads by a separate operator, so that some reads are in flight together with another operator's change.
fn add_reads(operations: &mut Vec<ScheduledOperation>, random: &mut Random, end_ms: u64) {
    let mut at_ms = 4_500;
    while at_ms < end_ms {
        at_ms += random.between(200, 1_500);
        let operation = PlannedOperation::Read;
        operations.push(ScheduledOperation { at_ms, operator: READING_OPERATOR, operation });
    }
}

/// Adds evacuations of one zone and their ends, alternately. A request that timed out at its operator may still be in flight and be
/// applied, so the next request for that zone is sent seconds later.
fn add_evacuations(operations: &mut Vec<ScheduledOperation>, random: &mut Random, end_ms: u64) {
    let mut at_ms = random.between(4_000, 7_000);
    let zone = random.below(3) as usize;
    let mut active = true;
    while at_ms < end_ms {
        let operation =
            if active { PlannedOperation::Evacuate(zone) } else { PlannedOperation::EndEvacuation(zone) };
        operations.push(ScheduledOperation { at_ms, operator: EVACUATING_OPERATOR, operation });
        active = !active;
        at_ms += random.between(3_000, 8_000);
    }
}
