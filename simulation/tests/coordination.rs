//! Tests of whole runs with applications' callers: random plans violate no invariant, and injected bugs are detected.

use googletest::prelude::*;
use ivyhatch_simulation::randomized_search::{
    LAST_EXTENDED_SEED, RecordedRun, find_violation, message_mutations, plans,
};
use ivyhatch_simulation::{InjectedBug, Invariant, Plan, play};

/// The number of random plans that are played without an injected bug.
const CLEAN_PLANS: usize = 200;
/// The number of plans within which an injected bug must be detected.
const MAX_PLANS: usize = 60;
/// The number of plans within which a bug must be detected that shows only if a fault occurs in a short time window.
const MAX_PLANS_FOR_RARE_BUGS: usize = 1_500;

fn coordination_plans(seed: u64) -> impl Iterator<Item = Plan> {
    plans(LAST_EXTENDED_SEED + seed)
}

/// The first run in which a bug violates an invariant, and the number of plans played up to that run.
fn first_found(injected_bug: InjectedBug, max_plans: usize) -> Option<(usize, RecordedRun)> {
    let found = |(number, plan)| Some((number + 1, find_violation(plan, Some(injected_bug))?));
    coordination_plans(7).take(max_plans).enumerate().find_map(found)
}

#[gtest]
fn random_plans_with_callers_violate_no_invariant() {
    for plan in coordination_plans(1).take(CLEAN_PLANS) {
        let outcome = play(&plan);
        assert_that!(outcome.violation, none(), "seed {}", plan.seed);
    }
}

/// Every message whose number is one more than a multiple of this is mutated, in one run for each kind of mutation.
const MUTATED_MESSAGE_STEP: u64 = 97;

#[gtest]
fn no_single_message_mutation_violates_an_invariant_of_calls() {
    let plan = coordination_plans(5)
        .map(Plan::without_faults)
        .find(|plan| plan.members == 3)
        .expect("most plans have three members");
    let plan = Plan { faults_end_ms: 5_000, ..plan };
    let mut played = 0;
    for mutated in message_mutations(&plan, 1, MUTATED_MESSAGE_STEP) {
        played += 1;
        let outcome = play(&mutated);
        assert_that!(outcome.violation, none(), "{:?}", mutated.mutation);
    }
    expect_that!(played, gt(100));
}

#[gtest]
fn each_injected_bug_of_coordination_is_found() {
    let bugs = [
        (InjectedBug::FreesLocksEarly, Invariant::MutualExclusion),
        (InjectedBug::TakesHoldersForOne, Invariant::MutualExclusion),
        (InjectedBug::GrantsHeldLocks, Invariant::MutualExclusion),
        (InjectedBug::RepeatsFences, Invariant::FencingOrder),
        (InjectedBug::RepeatsNumbers, Invariant::NumberOrder),
        (InjectedBug::IgnoresExpectedRevision, Invariant::RevisionOrder),
        (InjectedBug::PutsToOtherCell, Invariant::RevisionOrder),
        (InjectedBug::NamesForeignRevisions, Invariant::CellIntegrity),
        (InjectedBug::WatchesFromLater, Invariant::WatchCompleteness),
        (InjectedBug::SkipsEvents, Invariant::WatchCompleteness),
        (InjectedBug::DeniesUnknownCalls, Invariant::RejectedCallNeverApplied),
        (InjectedBug::DeniesPuts, Invariant::RejectedCallNeverApplied),
        (InjectedBug::ReadsFromCache, Invariant::FreshCellRead),
    ];
    for (bug, invariant) in bugs {
        let (played, run) = first_found(bug, MAX_PLANS).unwrap_or_else(|| panic!("{bug} is not found"));
        println!("{bug}: after {played} plans: {:?}", run.violation);
        expect_that!(run.violation.invariant, eq(invariant), "{bug}: {:?}", run.violation);
    }
}

#[gtest]
fn bugs_of_the_consensus_are_found_by_calls_too() {
    let bugs = [
        InjectedBug::AcknowledgesBeforeSync,
        InjectedBug::VotesAfterDiskLoss,
        InjectedBug::SkipsConfirmation,
        InjectedBug::AcceptsLowerBallot,
        InjectedBug::LeadsWithoutElection,
        InjectedBug::VotesBeforeStateTransfer,
    ];
    for bug in bugs {
        let found = first_found(bug, MAX_PLANS_FOR_RARE_BUGS);
        println!("{bug}: {:?}", found.as_ref().map(|(played, run)| (played, &run.violation)));
        expect_that!(found, some(anything()), "{bug}");
    }
}
