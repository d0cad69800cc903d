//! Worlds as a whole: they play alike, hold what is promised, and show the faults that are put in.

use googletest::prelude::*;
use ivyhatch_simulation::hunt::{RecordedRun, find_and_shrink, find_violation, message_mutations, plans};
use ivyhatch_simulation::plan::{Fault, Trouble, When};
use ivyhatch_simulation::run::play_traced;
use ivyhatch_simulation::{InjectedBug, Invariant, Plan, play};

/// How many worlds until one shows this fault, and what it shows, made short.
fn found_within(injected_bug: InjectedBug, worlds: usize) -> Option<(usize, RecordedRun)> {
    let first = plans(7).take(worlds).position(|plan| find_violation(plan, Some(injected_bug)).is_some())?;
    Some((first + 1, find_and_shrink(plans(7).nth(first)?, Some(injected_bug))?))
}

#[gtest]
fn a_plan_plays_alike_each_time() {
    for plan in plans(3).take(4) {
        let (one, two) = (play_traced(&plan, None), play_traced(&plan, None));
        expect_that!(one.trace.len(), gt(100));
        expect_true!(one.trace == two.trace);
    }
}

#[gtest]
fn worlds_of_one_seed_break_no_rule() {
    for plan in plans(1).take(400) {
        let outcome = play(&plan);
        assert_that!(outcome.violation, none(), "seed {}", plan.seed);
    }
}

#[gtest]
fn worlds_with_more_troubles_break_no_rule() {
    for plan in plans(1_000_001).take(400) {
        let outcome = play(&plan);
        assert_that!(outcome.violation, none(), "seed {}", plan.seed);
    }
}

#[gtest]
fn a_burst_takes_a_hundred_changes() {
    let is_burst = |plan: &Plan| plan.orders.iter().filter(|order| order.operator == 0).count() >= 100;
    for plan in plans(1_000_001).filter(is_burst).take(3) {
        let outcome = play(&plan.without_faults());
        expect_that!(outcome.violation, none());
        expect_that!(outcome.taken, ge(100));
    }
}

/// A quiet world of three voters.
fn quiet_world() -> Plan {
    plans(5).map(Plan::without_faults).find(|plan| plan.members == 3).expect("most are")
}

#[gtest]
fn nothing_is_taken_while_all_disks_are_full() {
    let quiet = quiet_world();
    let full = Fault { when: When::At(6_000), what: Trouble::Full(0b111), for_ms: 3_000 };
    let plan = Plan { faults: vec![full], faults_end_ms: 9_500, ..quiet };
    let outcome = play_traced(&plan, None);
    expect_that!(outcome.violation, none());
    let taken_at = |line: &String| {
        let at_ms: f64 = line.split_whitespace().next()?.parse().ok()?;
        (line.contains(" answers ") && line.contains("Applied")).then_some(at_ms)
    };
    let taken: Vec<f64> = outcome.trace.iter().filter_map(taken_at).collect();
    // The first writes that are refused were under way, and the first ones after it are tried again every 200 ms.
    expect_that!(taken.iter().filter(|at_ms| (6_050.0..9_000.0).contains(*at_ms)).count(), eq(0));
    expect_that!(taken.iter().filter(|at_ms| **at_ms > 9_000.0).count(), gt(0));
}

#[gtest]
fn orders_are_taken_once_although_their_answers_are_lost() {
    let quiet = quiet_world();
    let heard = play(&quiet);
    let plan = Plan { lost_answers: 50, ..quiet };
    let outcome = play_traced(&plan, None);
    expect_that!(outcome.violation, none());
    expect_that!(outcome.taken, gt(4));
    expect_that!(outcome.messages, not(eq(heard.messages)));
    let unheard = outcome.trace.iter().filter(|line| line.contains("does not hear Applied")).count();
    expect_that!(unheard, gt(0));
}

#[gtest]
fn an_order_that_is_not_known_again_is_found() {
    let first = plans(1_000_007)
        .take(50)
        .find_map(|plan| find_and_shrink(plan, Some(InjectedBug::TakesResentForNew)));
    let found = first.expect("it is found");
    println!("{:?}", found.violation);
    expect_that!(found.violation.invariant, eq(Invariant::TakenStaysTaken));
}

#[gtest]
fn quiet_worlds_take_orders() {
    for plan in plans(2).take(20).map(Plan::without_faults) {
        let outcome = play(&plan);
        expect_that!(outcome.violation, none());
        expect_that!(outcome.taken, gt(4));
    }
}

#[gtest]
fn acknowledging_before_the_sync_is_found() {
    let (worlds, found) = found_within(InjectedBug::AcknowledgesBeforeSync, 2_000).expect("it is found");
    println!("after {worlds} worlds: {:?}", found.violation);
    expect_that!(found.plan.faults, not(is_empty()));
}

#[gtest]
fn a_vote_after_a_wipe_is_found() {
    let (worlds, found) = found_within(InjectedBug::VotesAfterWipe, 50).expect("it is found");
    println!("after {worlds} worlds: {:?}", found.violation);
    expect_that!(found.violation.invariant, eq(Invariant::WipedIsSilent));
    expect_that!(found.plan.faults, len(eq(1)));
}

#[gtest]
fn an_answer_without_confirmation_is_found() {
    let (worlds, found) = found_within(InjectedBug::SkipsConfirmation, 600).expect("it is found");
    println!("after {worlds} worlds: {:?}", found.violation);
    expect_that!(found.violation.invariant, eq(Invariant::FreshRead));
}

#[gtest]
fn a_lower_epoch_that_is_taken_is_found() {
    let (worlds, found) = found_within(InjectedBug::AcceptsLowerEpoch, 300).expect("it is found");
    println!("after {worlds} worlds: {:?}", found.violation);
}

#[gtest]
fn a_change_over_a_gap_is_found() {
    let (worlds, found) = found_within(InjectedBug::AppliesOverGap, 200).expect("it is found");
    println!("after {worlds} worlds: {:?}", found.violation);
    expect_that!(found.violation.invariant, any![eq(Invariant::OneValueANumber), eq(Invariant::AsSent)]);
}

#[gtest]
fn an_order_on_top_of_whatever_is_current_is_found() {
    let (worlds, found) = found_within(InjectedBug::IgnoresBase, 20).expect("it is found");
    println!("after {worlds} worlds: {:?}", found.violation);
    expect_that!(found.plan.orders.len(), le(8));
}

#[gtest]
fn a_new_voter_that_counts_before_it_holds_the_state_is_found() {
    let (worlds, found) = found_within(InjectedBug::CountsBeforeState, 400).expect("it is found");
    println!("after {worlds} worlds: {:?}", found.violation);
}

#[gtest]
fn a_message_of_an_older_membership_that_counts_is_found() {
    let (worlds, found) = found_within(InjectedBug::OldGenerationCounts, 4_000).expect("it is found");
    println!("after {worlds} worlds: {:?}", found.violation);
}

#[gtest]
fn a_membership_that_is_changed_without_a_quorum_is_found() {
    let (worlds, found) = found_within(InjectedBug::ChangesMembershipAlone, 1_000).expect("it is found");
    println!("after {worlds} worlds: {:?}", found.violation);
}

#[gtest]
fn a_leader_without_an_election_is_found() {
    let (worlds, found) = found_within(InjectedBug::LeadsWithoutElection, 100).expect("it is found");
    println!("after {worlds} worlds: {:?}", found.violation);
}

#[gtest]
fn no_single_message_of_a_quiet_run_matters() {
    let plan = plans(5).map(Plan::without_faults).find(|plan| plan.members == 3).expect("most are");
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
fn a_file_holds_the_world_that_was_found() {
    let (_, found) = found_within(InjectedBug::IgnoresBase, 20).expect("it is found");
    let folder = std::env::temp_dir().join(format!("ivyhatch-world-{}", std::process::id()));
    let path = found.save(&folder).expect("it is written");
    let read = RecordedRun::read(&path).expect("it is read");
    expect_that!(read, eq(&found));
    expect_that!(read.play().violation, some(eq(&found.violation)));
    std::fs::remove_dir_all(&folder).expect("it is removed");
    expect_that!(RecordedRun::read(&path), err(displays_as(contains_substring("see to the folder"))));
}
