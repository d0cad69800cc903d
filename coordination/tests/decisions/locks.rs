//! Locks: holders, fencing tokens and expiry, also across leader changes.

use googletest::prelude::*;
use ivyhatch_protocol::coordination::{CallOutcome, Refusal, Reply};

use crate::leader::{Leader, acquire, release, renew};

const HELD: CallOutcome = CallOutcome::Refused(Refusal::LockHeld);
const LOST: CallOutcome = CallOutcome::Refused(Refusal::LockLost);

fn fence(outcome: &CallOutcome) -> Option<u64> {
    match outcome {
        CallOutcome::Applied(Reply::LockAcquired { fence }) => Some(*fence),
        _ => None,
    }
}

#[gtest]
fn a_lock_is_free_when_its_time_is_over_and_not_before() {
    let mut leader = Leader::new();
    expect_that!(leader.call(0, &acquire("l", "a", 1000)), matches_pattern!(CallOutcome::Applied(_)));
    expect_that!(leader.call(999, &acquire("l", "b", 1000)), eq(&HELD));
    expect_that!(fence(&leader.call(1000, &acquire("l", "b", 1000))), some(gt(1)));
    expect_that!(leader.call(1001, &renew("l", "a", 1, 1000)), eq(&LOST));
}

#[gtest]
fn fencing_tokens_rise_through_release_expiry_and_new_leaders() {
    let mut leader = Leader::new();
    let mut last = 0;
    for (at_ms, holder) in [(0, "a"), (100, "a"), (2000, "b"), (4000, "a")] {
        let given = fence(&leader.call(at_ms, &acquire("l", holder, 500)))
            .expect("the lock is free or held by the caller");
        expect_that!(given, gt(last));
        last = given;
        leader = leader.successor();
    }
}

#[gtest]
fn a_release_that_was_overtaken_by_a_new_acquisition_frees_nothing() {
    let mut leader = Leader::new();
    let first = fence(&leader.call(0, &acquire("l", "a", 1000))).expect("the lock is free");
    let second = fence(&leader.call(10, &acquire("l", "a", 1000))).expect("the lock is held by the caller");
    leader.call(20, &release("l", "a", first));
    expect_that!(leader.call(30, &acquire("l", "b", 1000)), eq(&HELD));
    leader.call(40, &release("l", "a", second));
    expect_that!(fence(&leader.call(50, &acquire("l", "b", 1000))), some(gt(second)));
}

#[gtest]
fn a_renewal_that_was_overtaken_does_not_shorten_the_hold() {
    let mut leader = Leader::new();
    let given = fence(&leader.call(0, &acquire("l", "a", 5000))).expect("the lock is free");
    leader.call(100, &renew("l", "a", given, 200));
    expect_that!(leader.call(4999, &acquire("l", "b", 100)), eq(&HELD));
    // A new leader also counts the remaining time at the last call, and not the shorter time of that call.
    let mut successor = leader.successor();
    expect_that!(successor.call(4900, &acquire("l", "b", 100)), eq(&HELD));
}

#[gtest]
fn a_holder_whose_call_was_carried_out_twice_may_renew_by_either_token() {
    let mut leader = Leader::new();
    let first = fence(&leader.call(0, &acquire("l", "a", 1000))).expect("the lock is free");
    let second = fence(&leader.call(1, &acquire("l", "a", 1000))).expect("the lock is held by the caller");
    let renewed = CallOutcome::Applied(Reply::LockRenewed);
    expect_that!(leader.call(2, &renew("l", "a", first, 1000)), eq(&renewed));
    expect_that!(leader.call(3, &renew("l", "a", second, 1000)), eq(&renewed));
    expect_that!(leader.call(4, &renew("l", "a", second + 1, 1000)), eq(&LOST));
    expect_that!(leader.call(5, &renew("l", "b", second, 1000)), eq(&LOST));
}

#[gtest]
fn a_token_of_an_earlier_hold_renews_nothing() {
    let mut leader = Leader::new();
    let first = fence(&leader.call(0, &acquire("l", "a", 100))).expect("the lock is free");
    leader.call(200, &acquire("l", "a", 1000));
    expect_that!(leader.call(210, &renew("l", "a", first, 1000)), eq(&LOST));
}

#[gtest]
fn a_new_leader_counts_the_whole_time_anew() {
    let mut leader = Leader::new();
    leader.call(0, &acquire("l", "a", 1000));
    // The clocks of two nodes are unrelated.
    let mut successor = leader.successor_at(500_000);
    expect_that!(successor.call(500_999, &acquire("l", "b", 100)), eq(&HELD));
    expect_that!(fence(&successor.call(501_000, &acquire("l", "b", 100))), some(gt(1)));
}

#[gtest]
fn release_is_answered_whether_the_lock_is_held_or_not() {
    let mut leader = Leader::new();
    let released = CallOutcome::Applied(Reply::LockReleased);
    expect_that!(leader.call(0, &release("l", "a", 7)), eq(&released));
    let given = fence(&leader.call(0, &acquire("l", "a", 1000))).expect("the lock is free");
    expect_that!(leader.call(1, &release("l", "b", given)), eq(&released));
    expect_that!(leader.call(2, &acquire("l", "b", 1000)), eq(&HELD));
}

#[gtest]
fn locks_past_the_grace_period_are_removed() {
    let mut leader = Leader::new();
    for number in 0..10 {
        leader.call(0, &acquire(&format!("l{number}"), "a", 100));
    }
    leader.call(0, &acquire("kept", "a", 10_000));
    leader.remove_expired(1_000, 500, 4);
    expect_that!(leader.state.locks().len(), eq(7));
    leader.remove_expired(1_000, 500, 100);
    expect_that!(leader.state.locks().len(), eq(1));
    expect_that!(leader.successor().state.locks().len(), eq(1));
}
