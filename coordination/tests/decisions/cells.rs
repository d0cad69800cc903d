//! Cells, numbers and watches: revisions, retried puts and the history, also across leader changes.

use googletest::prelude::*;
use ivyhatch_coordination::limits::{HISTORY_MARGIN, MAX_HISTORY_EVENTS};
use ivyhatch_protocol::coordination::{CallOutcome, NotStarted, Refusal, Reply, group_of};
use ivyhatch_protocol::{MILLISECOND, SECOND};
use proptest::prelude::{ProptestConfig, Strategy, prop_oneof, proptest};

use crate::leader::{HISTORY_S, Leader, next_number, put, read, watch};

/// Age at which a put expires from the history, in milliseconds.
const RETENTION_MS: u64 = HISTORY_S * 1000 + HISTORY_MARGIN / MILLISECOND;

fn revision(outcome: &CallOutcome) -> Option<u64> {
    match outcome {
        CallOutcome::Applied(Reply::CellPut { revision } | Reply::Cell { revision, .. }) => Some(*revision),
        _ => None,
    }
}

fn conflict(revision: u64) -> CallOutcome {
    CallOutcome::Refused(Refusal::RevisionConflict { revision })
}

/// The revisions of the puts in the response to a watch, and the revision to watch from next.
fn watch_result(outcome: CallOutcome) -> (Vec<u64>, u64) {
    match outcome {
        CallOutcome::Applied(Reply::Events { events, revision }) => {
            (events.iter().map(|event| event.revision).collect(), revision)
        }
        other => panic!("{other:?}"),
    }
}

#[gtest]
fn numbers_increase_across_leader_changes() {
    let mut leader = Leader::new();
    let mut last = 0;
    for _ in 0..5 {
        let outcome = leader.call(0, &next_number("n"));
        let CallOutcome::Applied(Reply::Number { value }) = outcome else { panic!("{outcome:?}") };
        expect_that!(value, gt(last));
        last = value;
        leader = leader.successor();
    }
    expect_that!(leader.register_count(), eq(0), "a number needs no register");
}

#[gtest]
fn cells_of_a_group_share_one_count_of_revisions() {
    let mut leader = Leader::new();
    expect_that!(revision(&leader.call(0, &put("g.a", "1", Some(0)))), some(eq(1)));
    expect_that!(revision(&leader.call(0, &put("g.b", "2", Some(0)))), some(eq(2)));
    expect_that!(revision(&leader.call(0, &put("h.a", "3", None))), some(eq(1)));
    expect_that!(revision(&leader.call(0, &put("g.a", "4", Some(1)))), some(eq(3)));
    let mut successor = leader.successor();
    expect_that!(revision(&successor.call(0, &put("g.b", "5", Some(2)))), some(eq(4)));
    expect_that!(revision(&successor.call(0, &read("g.a"))), some(eq(3)));
    expect_that!(successor.call(0, &read("g.c")), eq(&CallOutcome::Refused(Refusal::NoSuchCell)));
}

#[gtest]
fn a_put_that_expects_another_revision_changes_nothing() {
    let mut leader = Leader::new();
    expect_that!(leader.call(0, &put("g.a", "1", Some(7))), eq(&conflict(0)));
    leader.call(0, &put("g.a", "2", Some(0)));
    expect_that!(leader.call(0, &put("g.a", "3", Some(0))), eq(&conflict(1)));
    expect_that!(watch_result(leader.call(0, &watch("g.", 0))).1, eq(1));
}

#[gtest]
fn a_retried_put_gets_its_first_revision_even_after_it_was_overwritten() {
    let mut leader = Leader::new();
    leader.call(0, &put("g.a", "1", Some(0)));
    leader.call(10, &put("g.a", "2", Some(1)));
    expect_that!(revision(&leader.call(20, &put("g.a", "1", Some(0)))), some(eq(1)));
    let mut successor = leader.successor();
    expect_that!(revision(&successor.call(30, &put("g.a", "1", Some(0)))), some(eq(1)));
    expect_that!(revision(&successor.call(40, &read("g.a"))), some(eq(2)));
}

#[gtest]
fn a_watch_shows_each_put_after_its_revision_or_waits() {
    let mut leader = Leader::new();
    for value in 1..=5 {
        leader.call(0, &put(&format!("g.{}", value % 2), &value.to_string(), None));
    }
    leader.call(0, &put("h.a", "other", None));
    expect_that!(watch_result(leader.call(1, &watch("g.", 2))), eq(&(vec![3, 4, 5], 5)));
    expect_that!(watch_result(leader.call(1, &watch("g.", 0))), eq(&(vec![], 5)));
    expect_that!(leader.try_call(1, &watch("g.", 5)), none());
    let ahead = CallOutcome::Refused(Refusal::RevisionAhead { revision: 5 });
    expect_that!(leader.call(1, &watch("g.", 6)), eq(&ahead));
    expect_that!(watch_result(leader.successor().call(1, &watch("g.", 2))), eq(&(vec![3, 4, 5], 5)));
}

#[gtest]
fn the_history_is_kept_for_its_retention_time_and_slots_are_reused() {
    let mut leader = Leader::new();
    for value in 0..100_u64 {
        leader.call(value, &put("g.a", &value.to_string(), None));
    }
    expect_that!(watch_result(leader.call(RETENTION_MS - 1, &watch("g.", 1))).0, len(eq(99)));
    let registers = leader.register_count();
    for value in 100..150_u64 {
        leader.call(RETENTION_MS + value, &put("g.a", &value.to_string(), None));
    }
    expect_that!(leader.register_count(), eq(registers));
    let expired = CallOutcome::Refused(Refusal::HistoryExpired { revision: 150 });
    expect_that!(leader.call(RETENTION_MS + 200, &watch("g.", 49)), eq(&expired));
    expect_that!(watch_result(leader.call(RETENTION_MS + 200, &watch("g.", 50))).0, len(eq(100)));
    // A new leader cannot know the age of the puts, so it keeps them for the whole retention time.
    let mut successor = leader.successor();
    successor.call(RETENTION_MS + 300, &put("g.a", "next", None));
    expect_that!(watch_result(successor.call(RETENTION_MS + 300, &watch("g.", 50))).0, len(eq(101)));
}

#[gtest]
fn puts_beyond_the_bound_of_the_history_are_not_started() {
    let mut leader = Leader::new();
    for value in 0..MAX_HISTORY_EVENTS {
        leader.call(0, &put("g.a", &value.to_string(), None));
    }
    let overloaded = CallOutcome::NotStarted(NotStarted::Overloaded);
    expect_that!(leader.call(1, &put("g.a", "more", None)), eq(&overloaded));
    expect_that!(revision(&leader.call(2, &read("g.a"))), some(eq(MAX_HISTORY_EVENTS as u64)));
    let outcome = leader.call(RETENTION_MS, &put("g.a", "more", None));
    expect_that!(revision(&outcome), some(eq(MAX_HISTORY_EVENTS as u64 + 1)));
}

#[gtest]
fn a_group_ends_with_the_first_dot_of_a_name() {
    expect_that!(group_of("g1.2d"), eq("g1."));
    expect_that!(group_of("g1.2.d"), eq("g1."));
    expect_that!(group_of("g1"), eq("g1"));
    expect_that!(group_of("g1."), eq("g1."));
}

/// A step of a random sequence of calls.
#[derive(Clone, Debug)]
enum Step {
    Put(u8, Option<u64>),
    Watch(u64),
    NewLeader,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..4_u8, proptest::option::of(0..40_u64)).prop_map(|(cell, expected)| Step::Put(cell, expected)),
        3 => (1..60_u64).prop_map(Step::Watch),
        1 => proptest::strategy::Just(Step::NewLeader),
        1 => (1..20_u64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Compares the leader with a reference model, a list of all puts: each watch returns the puts in the list, or reports that the
    /// history has expired.
    #[test]
    fn watches_agree_with_the_list_of_all_puts(steps in proptest::collection::vec(step(), 1..120)) {
        let (mut leader, mut now_ms) = (Leader::new(), 0);
        let mut puts: Vec<(u8, u64)> = Vec::new();
        for (number, step) in steps.into_iter().enumerate() {
            now_ms += 7;
            match step {
                Step::Put(cell, expected) => {
                    let last = puts.iter().rev().find(|(put, _)| *put == cell).map_or(0, |(_, revision)| *revision);
                    let outcome = leader.call(now_ms, &put(&format!("g.{cell}"), &number.to_string(), expected));
                    if expected.is_none_or(|expected| expected == last) {
                        puts.push((cell, puts.len() as u64 + 1));
                        assert_eq!(revision(&outcome), Some(puts.len() as u64));
                    } else {
                        assert_eq!(outcome, conflict(last));
                    }
                }
                Step::Watch(after) => {
                    let last = puts.len() as u64;
                    match leader.try_call(now_ms, &watch("g.", after)) {
                        None => assert_eq!(after, last),
                        Some(CallOutcome::Refused(Refusal::RevisionAhead { revision })) => {
                            assert!(after > last && revision == last);
                        }
                        Some(CallOutcome::Refused(Refusal::HistoryExpired { .. })) =>
                            assert!(now_ms > RETENTION_MS),
                        Some(outcome) => {
                            let expected: Vec<u64> = (after + 1..=last).collect();
                            assert_eq!(watch_result(outcome), (expected, last));
                        }
                    }
                }
                Step::NewLeader => leader = leader.successor(),
                Step::Wait(seconds) => now_ms += seconds * SECOND / MILLISECOND,
            }
        }
    }
}

/// The registers after a fixed sequence of calls, as their keys and the bytes of their values.
fn stored_registers() -> Vec<String> {
    let mut leader = Leader::new();
    leader.call(0, &crate::leader::acquire("lobby", "server.3", 3000));
    leader.call(1000, &crate::leader::renew("lobby", "server.3", 1, 3000));
    leader.call(1000, &put("grid.7", "v", Some(0)));
    leader.registers()
}

#[gtest]
fn registers_have_the_golden_bytes() {
    // These bytes are stored on disks: a change of the format needs a release that reads both formats.
    let expected = [
        "Lock(\"lobby\") 080000007365727665722e3301000000000000000100000000000000b80b000000000000",
        "Cell(\"grid.7\") 01000000760100000000000000",
        "CellEvent(0) 030000000000000006000000677269642e3701000000760100000000000000",
    ];
    expect_that!(stored_registers(), eq(&expected.map(str::to_owned).to_vec()));
}
