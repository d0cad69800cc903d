//! Shrinking: removes and shortens parts of a plan while it still violates the same invariant.

use super::{RecordedRun, find_violation};
use crate::plan::{DiskLoss, Fault, FaultTrigger, Plan, ScheduledFault};

/// Reduces the plan of a recorded run step by step, until no single reduction still violates the same invariant.
pub fn shrink(recorded: RecordedRun) -> RecordedRun {
    let mut best = recorded;
    while let Some(smaller) = smaller_violation(&best) {
        best = smaller;
    }
    best
}

/// The run of the first smaller plan that violates the same invariant; `None` if no smaller plan does.
fn smaller_violation(recorded: &RecordedRun) -> Option<RecordedRun> {
    let violates = |plan: Plan| {
        find_violation(plan, recorded.injected_bug)
            .filter(|found| found.violation.invariant == recorded.violation.invariant)
    };
    smaller_plans(&recorded.plan).into_iter().find_map(violates)
}

/// All plans that are one reduction smaller: removed operations first, then removed and reduced faults, then other parts.
fn smaller_plans(plan: &Plan) -> Vec<Plan> {
    let mut smaller = without_operations(plan);
    for number in 0..plan.faults.len() {
        let mut without = plan.clone();
        without.faults.remove(number);
        smaller.push(without);
    }
    for (number, scheduled) in plan.faults.iter().enumerate() {
        let reduced = smaller_faults(scheduled, plan.members);
        smaller.extend(reduced.into_iter().map(|fault| with_fault(plan, number, fault)));
    }
    if plan.mutation.is_some() {
        smaller.push(Plan { mutation: None, ..plan.clone() });
    }
    if plan.lost_response_percent > 0 {
        smaller.push(Plan { lost_response_percent: 0, ..plan.clone() });
    }
    let names_router =
        |fault: &ScheduledFault| matches!(fault.fault, Fault::RouterPartition(_) | Fault::RouterKill(_));
    if plan.routers > 1 && !plan.faults.iter().any(names_router) {
        smaller.push(Plan { routers: plan.routers - 1, ..plan.clone() });
    }
    smaller
}

/// Plans without some consecutive operations: without each half first, then without each quarter, down to single operations.
fn without_operations(plan: &Plan) -> Vec<Plan> {
    let mut smaller = Vec::new();
    let count = plan.operations.len();
    let mut size = count / 2;
    while size > 0 {
        for start in (0..count).step_by(size) {
            let mut without = plan.clone();
            without.operations.drain(start..(start + size).min(count));
            smaller.push(without);
        }
        size /= 2;
    }
    smaller
}

fn with_fault(plan: &Plan, number: usize, fault: ScheduledFault) -> Plan {
    let mut changed = plan.clone();
    changed.faults[number] = fault;
    changed
}

/// Variants of a fault: with half of its duration, with one member less, or with a trigger without delay.
fn smaller_faults(scheduled: &ScheduledFault, members: usize) -> Vec<ScheduledFault> {
    let mut smaller = vec![ScheduledFault { duration_ms: scheduled.duration_ms / 2, ..scheduled.clone() }];
    for slot in 0..members {
        smaller.push(ScheduledFault { fault: without_member(scheduled.fault, slot), ..scheduled.clone() });
    }
    if let FaultTrigger::AfterAcknowledgements(mut trigger) = scheduled.trigger {
        trigger.delay_ms = 0;
        let trigger = FaultTrigger::AfterAcknowledgements(trigger);
        smaller.push(ScheduledFault { trigger, ..scheduled.clone() });
    }
    smaller.retain(|reduced| reduced != scheduled);
    smaller
}

fn without_member(fault: Fault, slot: usize) -> Fault {
    match fault {
        Fault::Kill(members) => Fault::Kill(members.without(slot)),
        Fault::PowerLoss(members) => Fault::PowerLoss(members.without(slot)),
        Fault::Freeze(members) => Fault::Freeze(members.without(slot)),
        Fault::StalledDisk(members) => Fault::StalledDisk(members.without(slot)),
        Fault::FullDisk(members) => Fault::FullDisk(members.without(slot)),
        Fault::DiskLoss(loss) => {
            Fault::DiskLoss(DiskLoss { power_only: loss.power_only.without(slot), ..loss })
        }
        other => other,
    }
}
