//! Plans with further faults: routers that restart while they are partitioned, full disks, long bursts of changes, lost responses to
//! operators, and overlapping failures of members until there is no quorum. These faults are drawn from a separate generator, so that
//! [`Plan::random`] still returns the same plan for each seed.

use super::generate::{FAULTS_BEGIN_MS, SHORTEST_FAULT_MS, random_subset};
use super::{
    Fault, FaultTrigger, NodeSet, Plan, PlannedOperation, RouterPartition, ScheduledFault, ScheduledOperation,
};
use crate::random::Random;

/// Separates this generator from the one of [`Plan::random`] for the same seed.
const GENERATOR_SALT: u64 = 0x6d6f_7265;
/// One plan in this many has a burst of changes.
const PLANS_PER_BURST: u64 = 40;
/// The start of a burst.
const BURST_BEGINS_MS: u64 = 4_000;
/// The time between two changes of a burst, unless the operator waits for a response.
const BURST_INTERVAL_MS: u64 = 20;
/// The end of all faults of a plan with a burst, late enough that most changes are sent before the last fault.
const BURST_FAULTS_END_MS: u64 = 18_000;
/// Overlapping failures of members begin within half of this time of each other, and last for at least half of it.
const OVERLAP_MS: u64 = 3_000;
/// The operator that sends the burst.
const BURST_OPERATOR: usize = 0;

impl Plan {
    /// The random plan of a seed, with further faults.
    pub fn random_extended(seed: u64) -> Self {
        let mut plan = Self::random(seed);
        let mut random = Random::new(seed ^ GENERATOR_SALT);
        if random.below(PLANS_PER_BURST) == 0 {
            plan.add_burst(&mut random);
        }
        if random.chance_percent(60) {
            plan.add_restart_while_partitioned(&mut random);
        }
        if plan.members > 1 && random.chance_percent(40) {
            plan.add_full_disks(&mut random);
        }
        if random.chance_percent(40) {
            plan.lost_response_percent = random.between(5, 40);
        }
        if plan.members > 1 && random.chance_percent(40) {
            plan.add_overlapping_losses(&mut random);
        }
        plan
    }

    /// Adds overlapping failures of a majority of the members, each of a random kind that keeps the disk. The group has no quorum until
    /// enough members are back, and must lose no state.
    fn add_overlapping_losses(&mut self, random: &mut Random) {
        let majority = self.members as u64 / 2 + 1;
        let count = random.between(majority, self.members as u64);
        let begins_ms = random.between(FAULTS_BEGIN_MS, self.faults_end_ms - OVERLAP_MS);
        for slot in random_subset(random, self.members, count).iter() {
            let member = NodeSet(1 << slot);
            let fault = match random.below(4) {
                0 => Fault::Kill(member),
                1 => Fault::PowerLoss(member),
                2 => Fault::Freeze(member),
                _ => Fault::Partition(member),
            };
            let trigger = FaultTrigger::At(begins_ms + random.below(OVERLAP_MS / 2));
            let duration_ms = OVERLAP_MS / 2 + random.below(OVERLAP_MS);
            self.faults.push(ScheduledFault { trigger, fault, duration_ms });
        }
    }

    /// Adds a partition of a router from some or all members, and a restart of its process during the partition. In some plans the only
    /// members that the router reaches are themselves partitioned from the other members.
    fn add_restart_while_partitioned(&mut self, random: &mut Random) {
        let router = random.below(self.routers as u64) as usize;
        let at_ms = random.between(FAULTS_BEGIN_MS, self.faults_end_ms - 1_500);
        let duration_ms = random.between(1_000, 6_000);
        let members = self.add_unreachable_members(random, at_ms, duration_ms);
        self.faults.push(ScheduledFault {
            trigger: FaultTrigger::At(at_ms),
            fault: Fault::RouterPartition(RouterPartition { router, members }),
            duration_ms,
        });
        let killed_after_ms = random.below(duration_ms / 2);
        let down_ms = random.between(50, duration_ms / 3);
        self.faults.push(ScheduledFault {
            trigger: FaultTrigger::At(at_ms + killed_after_ms),
            fault: Fault::RouterKill(router),
            duration_ms: down_ms,
        });
    }

    /// Draws the members that a router cannot reach. In some plans the router reaches only a minority, which is then partitioned from the
    /// other members as well.
    fn add_unreachable_members(&mut self, random: &mut Random, at_ms: u64, duration_ms: u64) -> NodeSet {
        let minority = self.members.saturating_sub(1) as u64 / 2;
        if minority == 0 || !random.chance_percent(40) {
            let count = random.between(1, self.members as u64);
            return random_subset(random, self.members, count);
        }
        let count = random.between(1, minority);
        let reachable = random_subset(random, self.members, count);
        self.faults.push(ScheduledFault {
            trigger: FaultTrigger::At(at_ms),
            fault: Fault::Partition(reachable),
            duration_ms,
        });
        self.all_members().difference(reachable)
    }

    fn add_full_disks(&mut self, random: &mut Random) {
        let members = self.members as u64;
        let count = if random.chance_percent(20) { members } else { random.between(1, members / 2) };
        let fault = Fault::FullDisk(random_subset(random, self.members, count));
        let at_ms = random.between(FAULTS_BEGIN_MS, self.faults_end_ms - SHORTEST_FAULT_MS);
        let duration_ms = random.between(200, 5_000);
        self.faults.push(ScheduledFault { trigger: FaultTrigger::At(at_ms), fault, duration_ms });
    }

    /// Adds a long sequence of changes by one operator, each sent as soon as the previous one has its response. Near the end of the
    /// faults, processes restart, disks are lost or a machine is replaced.
    fn add_burst(&mut self, random: &mut Random) {
        self.faults_end_ms = BURST_FAULTS_END_MS;
        self.faults.truncate(1);
        self.operations.retain(|scheduled| scheduled.at_ms < BURST_BEGINS_MS || scheduled.operator > 1);
        let changes = random.between(100, 200);
        for number in 0..changes {
            let operation =
                if random.chance_percent(50) { PlannedOperation::Put } else { PlannedOperation::Patch };
            let at_ms = BURST_BEGINS_MS + number * BURST_INTERVAL_MS;
            self.operations.push(ScheduledOperation { at_ms, operator: BURST_OPERATOR, operation });
        }
        let fault = match random.below(3) {
            0 if self.members > 1 => self.random_disk_loss(random),
            1 => self.random_replacement(random),
            _ => ScheduledFault {
                trigger: FaultTrigger::At(0),
                fault: Fault::Kill(self.all_members()),
                duration_ms: random.between(200, 1_500),
            },
        };
        let trigger = FaultTrigger::At(self.faults_end_ms - random.between(1_000, 4_000));
        self.faults.push(ScheduledFault { trigger, ..fault });
    }
}
