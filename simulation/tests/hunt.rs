//! Tests of whole runs: equal plans have equal outcomes, random plans violate no invariant, and injected bugs are detected.

use googletest::prelude::*;
use ivyhatch_simulation::plan::{Fault, FaultTrigger, NodeSet, ScheduledFault};
use ivyhatch_simulation::randomized_search::{
    RecordedRun, find_and_shrink, find_violation, message_mutations, plans,
};
use ivyhatch_simulation::run::play_traced;
use ivyhatch_simulation::{InjectedBug, Invariant, Plan, play};

/// The number of plans played up to the first one that detects this bug, and that plan's shrunk run; `None` if no plan detects it.
fn found_within(injected_bug: InjectedBug, plan_count: usize) -> Option<(usize, RecordedRun)> {
    let first =
        plans(7).take(plan_count).position(|plan| find_violation(plan, Some(injected_bug)).is_some())?;
    Some((first + 1, find_and_shrink(plans(7).nth(first)?, Some(injected_bug))?))
}

#[gtest]
fn equal_plans_have_equal_traces() {
    for plan in plans(3).take(4) {
        let (one, two) = (play_traced(&plan, None), play_traced(&plan, None));
        expect_that!(one.trace.len(), gt(100));
        expect_true!(one.trace == two.trace);
    }
}

#[gtest]
fn random_plans_violate_no_invariant() {
    for plan in plans(1).take(400) {
        let outcome = play(&plan);
        assert_that!(outcome.violation, none(), "seed {}", plan.seed);
    }
}

#[gtest]
fn extended_plans_violate_no_invariant() {
    for plan in plans(1_000_001).take(400) {
        let outcome = play(&plan);
        assert_that!(outcome.violation, none(), "seed {}", plan.seed);
    }
}

#[gtest]
fn burst_acknowledges_a_hundred_changes() {
    let is_burst =
        |plan: &Plan| plan.operations.iter().filter(|scheduled| scheduled.operator == 0).count() >= 100;
    for plan in plans(1_000_001).filter(is_burst).take(3) {
        let outcome = play(&plan.without_faults());
        expect_that!(outcome.violation, none());
        expect_that!(outcome.acknowledged_changes, ge(100));
    }
}

/// A plan with three members and without faults.
fn plan_without_faults() -> Plan {
    plans(5).map(Plan::without_faults).find(|plan| plan.members == 3).expect("most plans have three members")
}

#[gtest]
fn no_change_is_acknowledged_while_all_disks_are_full() {
    let base = plan_without_faults();
    let full = ScheduledFault {
        trigger: FaultTrigger::At(6_000),
        fault: Fault::FullDisk(NodeSet(0b111)),
        duration_ms: 3_000,
    };
    let plan = Plan { faults: vec![full], faults_end_ms: 9_500, ..base };
    let outcome = play_traced(&plan, None);
    expect_that!(outcome.violation, none());
    let acknowledged_at = |line: &String| {
        let at_ms: f64 = line.split_whitespace().next()?.parse().ok()?;
        (line.contains(" answers ") && line.contains("Applied")).then_some(at_ms)
    };
    let acknowledged: Vec<f64> = outcome.trace.iter().filter_map(acknowledged_at).collect();
    // Writes in progress fail when the fault begins. The first 50 ms are excluded, since responses to earlier writes may still be sent.
    // After the fault, failed writes are retried every 200 ms.
    expect_that!(acknowledged.iter().filter(|at_ms| (6_050.0..9_000.0).contains(*at_ms)).count(), eq(0));
    expect_that!(acknowledged.iter().filter(|at_ms| **at_ms > 9_000.0).count(), gt(0));
}

#[gtest]
fn changes_are_applied_once_although_responses_are_lost() {
    let base = plan_without_faults();
    let undisturbed = play(&base);
    let plan = Plan { lost_response_percent: 50, ..base };
    let outcome = play_traced(&plan, None);
    expect_that!(outcome.violation, none());
    expect_that!(outcome.acknowledged_changes, gt(4));
    expect_that!(outcome.messages, not(eq(undisturbed.messages)));
    let lost = outcome.trace.iter().filter(|line| line.contains("does not receive Applied")).count();
    expect_that!(lost, gt(0));
}

#[gtest]
fn unrecognised_retry_is_found() {
    let found = |plan| find_violation(plan, Some(InjectedBug::TreatsRetryAsNew));
    let runs: Vec<RecordedRun> = plans(1_000_007).take(50).filter_map(found).collect();
    let invariants: Vec<Invariant> = runs.iter().map(|run| run.violation.invariant).collect();
    // The bug rejects a retry after a lost acknowledgement, and also a retry that arrives while its change is in flight.
    expect_that!(invariants, contains(eq(&Invariant::IdempotentRetry)));
    expect_that!(invariants, contains(eq(&Invariant::RejectedNeverApplied)));
    let plan = runs.into_iter().next().expect("the bug is found").plan;
    expect_that!(find_and_shrink(plan, Some(InjectedBug::TreatsRetryAsNew)), some(anything()));
}

#[gtest]
fn changes_are_acknowledged_without_faults() {
    for plan in plans(2).take(20).map(Plan::without_faults) {
        let outcome = play(&plan);
        expect_that!(outcome.violation, none());
        expect_that!(outcome.acknowledged_changes, gt(4));
    }
}

#[gtest]
fn acknowledgement_before_the_sync_is_found() {
    let (played, found) = found_within(InjectedBug::AcknowledgesBeforeSync, 2_000).expect("the bug is found");
    println!("after {played} plans: {:?}", found.violation);
    expect_that!(found.plan.faults, not(is_empty()));
}

#[gtest]
fn vote_after_a_lost_disk_is_found() {
    let (played, found) = found_within(InjectedBug::VotesAfterDiskLoss, 50).expect("the bug is found");
    println!("after {played} plans: {:?}", found.violation);
    expect_that!(found.violation.invariant, eq(Invariant::NoVoteAfterDiskLoss));
    expect_that!(found.plan.faults, len(eq(1)));
}

#[gtest]
fn response_without_quorum_confirmation_is_found() {
    let (played, found) = found_within(InjectedBug::SkipsConfirmation, 600).expect("the bug is found");
    println!("after {played} plans: {:?}", found.violation);
    expect_that!(found.violation.invariant, eq(Invariant::LinearizableRead));
}

#[gtest]
fn acceptance_under_a_lower_ballot_is_found() {
    let (played, found) = found_within(InjectedBug::AcceptsLowerBallot, 300).expect("the bug is found");
    println!("after {played} plans: {:?}", found.violation);
}

#[gtest]
fn change_applied_over_a_gap_is_found() {
    let (played, found) = found_within(InjectedBug::AppliesOverGap, 200).expect("the bug is found");
    println!("after {played} plans: {:?}", found.violation);
    expect_that!(
        found.violation.invariant,
        any![eq(Invariant::SingleValuePerSequence), eq(Invariant::ContentIntegrity)]
    );
}

#[gtest]
fn ignored_base_is_found() {
    let (played, found) = found_within(InjectedBug::IgnoresBase, 20).expect("the bug is found");
    println!("after {played} plans: {:?}", found.violation);
    expect_that!(found.plan.operations.len(), le(8));
}

#[gtest]
fn vote_before_the_state_transfer_is_found() {
    let (played, found) = found_within(InjectedBug::VotesBeforeStateTransfer, 400).expect("the bug is found");
    println!("after {played} plans: {:?}", found.violation);
}

#[gtest]
fn counted_message_of_an_older_generation_is_found() {
    let (played, found) = found_within(InjectedBug::CountsOldGeneration, 4_000).expect("the bug is found");
    println!("after {played} plans: {:?}", found.violation);
}

#[gtest]
fn membership_change_without_a_quorum_is_found() {
    let (played, found) =
        found_within(InjectedBug::ChangesMembershipWithoutQuorum, 1_000).expect("the bug is found");
    println!("after {played} plans: {:?}", found.violation);
}

#[gtest]
fn leader_without_an_election_is_found() {
    let (played, found) = found_within(InjectedBug::LeadsWithoutElection, 100).expect("the bug is found");
    println!("after {played} plans: {:?}", found.violation);
}

#[gtest]
fn no_single_message_mutation_violates_an_invariant() {
    let plan = plans(5)
        .map(Plan::without_faults)
        .find(|plan| plan.members == 3)
        .expect("most plans have three members");
    let plan = Plan { faults_end_ms: 6_000, ..plan };
    expect_that!(play(&plan).violation, none());
    let mut played = 0;
    for mutated in message_mutations(&plan, 1, 23) {
        played += 1;
        let outcome = play(&mutated);
        assert_that!(outcome.violation, none(), "{:?}", mutated.mutation);
    }
    expect_that!(played, gt(100));
}

#[gtest]
fn saved_run_reads_back_and_violates_the_same_invariant() {
    let (_, found) = found_within(InjectedBug::IgnoresBase, 20).expect("the bug is found");
    let folder = std::env::temp_dir().join(format!("ivyhatch-recorded-run-{}", std::process::id()));
    let path = found.save(&folder).expect("the run is written");
    let read = RecordedRun::read(&path).expect("the run is read");
    expect_that!(read, eq(&found));
    expect_that!(read.play().violation, some(eq(&found.violation)));
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
    expect_that!(
        RecordedRun::read(&path),
        err(displays_as(contains_substring("check the folder or name another")))
    );
}
