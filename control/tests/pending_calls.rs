//! The outcome of a call of which several leaders, or one leader twice, have received copies.

use googletest::prelude::*;
use ivyhatch_control::calls::pending_calls::{CallRoute, EndedCall, PendingCalls};
use ivyhatch_control::requests::delivery::{REQUEST_TIMEOUT, RequestLeader};
use ivyhatch_protocol::coordination::{Call, CallOutcome, NotStarted, Refusal, Reply};
use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::{MILLISECOND, Nanos};

const ID: u64 = 5;
const FORWARD_ID: u64 = 77;
const FIRST_LEADER: RequestLeader = RequestLeader::Remote(NodeId(2));
const SECOND_LEADER: RequestLeader = RequestLeader::Remote(NodeId(3));
const OVERLOADED: CallOutcome = CallOutcome::NotStarted(NotStarted::Overloaded);
const NOT_LEADER: CallOutcome = CallOutcome::NotStarted(NotStarted::NotLeader);
const NO_QUORUM: CallOutcome = CallOutcome::NotStarted(NotStarted::NoQuorum);

fn number() -> Call {
    Call::NextNumber { name: "n".to_owned() }
}

fn put(expected_revision: Option<u64>) -> Call {
    Call::PutCell { name: "g.a".to_owned(), value: "v".to_owned(), expected_revision }
}

fn read() -> Call {
    Call::ReadCell { name: "g.a".to_owned() }
}

fn conflict(revision: u64) -> CallOutcome {
    CallOutcome::Refused(Refusal::RevisionConflict { revision })
}

fn pending(call: Call) -> PendingCalls {
    let mut calls = PendingCalls::default();
    calls.insert(0, ID, FORWARD_ID, call);
    calls
}

fn is_forwarded(calls: &mut PendingCalls, at: Nanos, leader: RequestLeader) -> bool {
    matches!(calls.route(at, ID, leader), Some(CallRoute::Forward { forward_id: FORWARD_ID, .. }))
}

fn ended(outcome: CallOutcome) -> Option<EndedCall> {
    Some(EndedCall { id: ID, outcome })
}

#[gtest]
fn a_call_that_came_to_no_leader_ends_as_not_started() {
    let mut calls = pending(number());
    expect_that!(calls.expire(REQUEST_TIMEOUT - 1), is_empty());
    expect_that!(calls.expire(REQUEST_TIMEOUT), elements_are![eq(&ended(NO_QUORUM).expect("an ended call"))]);
}

#[gtest]
fn a_forwarded_call_without_an_answer_ends_as_unknown_and_a_read_as_not_started() {
    for (call, outcome) in
        [(number(), CallOutcome::Unknown), (put(None), CallOutcome::Unknown), (read(), NO_QUORUM)]
    {
        let mut calls = pending(call);
        expect_true!(is_forwarded(&mut calls, 0, FIRST_LEADER));
        expect_that!(
            calls.expire(REQUEST_TIMEOUT),
            elements_are![eq(&ended(outcome).expect("an ended call"))]
        );
    }
}

#[gtest]
fn rejection_of_the_only_copy_ends_a_call_as_not_started() {
    let mut calls = pending(number());
    expect_true!(is_forwarded(&mut calls, 0, FIRST_LEADER));
    expect_that!(calls.forwarded_copy_ended(FORWARD_ID, NOT_LEADER), none());
    expect_true!(is_forwarded(&mut calls, MILLISECOND, SECOND_LEADER));
    expect_that!(calls.forwarded_copy_ended(FORWARD_ID, OVERLOADED), eq(&ended(OVERLOADED)));
}

#[gtest]
fn call_with_an_unanswered_copy_ends_as_unknown_when_another_copy_is_rejected() {
    let mut calls = pending(put(None));
    expect_true!(is_forwarded(&mut calls, 0, FIRST_LEADER));
    expect_true!(is_forwarded(&mut calls, MILLISECOND, SECOND_LEADER));
    expect_that!(calls.forwarded_copy_ended(FORWARD_ID, OVERLOADED), eq(&ended(CallOutcome::Unknown)));
}

#[gtest]
fn call_proposed_by_this_node_ends_as_unknown_when_a_later_leader_rejects_it() {
    let mut calls = pending(put(Some(3)));
    expect_that!(calls.route(0, ID, RequestLeader::Local), some(matches_pattern!(CallRoute::Enqueue(_))));
    calls.proposed(ID);
    calls.requeue(put(None).partition());
    expect_true!(is_forwarded(&mut calls, MILLISECOND, SECOND_LEADER));
    expect_that!(calls.forwarded_copy_ended(FORWARD_ID, OVERLOADED), eq(&ended(CallOutcome::Unknown)));
}

#[gtest]
fn a_conflict_with_a_later_revision_holds_for_all_copies() {
    for (expected, outcome) in [(3, conflict(5)), (5, CallOutcome::Unknown), (9, CallOutcome::Unknown)] {
        let mut calls = pending(put(Some(expected)));
        expect_true!(is_forwarded(&mut calls, 0, FIRST_LEADER));
        expect_true!(is_forwarded(&mut calls, MILLISECOND, SECOND_LEADER));
        expect_that!(calls.forwarded_copy_ended(FORWARD_ID, conflict(5)), eq(&ended(outcome)));
    }
    let mut calls = pending(put(Some(9)));
    expect_true!(is_forwarded(&mut calls, 0, FIRST_LEADER));
    expect_that!(calls.forwarded_copy_ended(FORWARD_ID, conflict(5)), eq(&ended(conflict(5))));
}

#[gtest]
fn the_same_leader_is_sent_a_call_again_after_a_while_and_a_new_one_at_once() {
    let mut calls = pending(number());
    expect_true!(is_forwarded(&mut calls, 0, FIRST_LEADER));
    expect_false!(is_forwarded(&mut calls, 299 * MILLISECOND, FIRST_LEADER));
    expect_true!(is_forwarded(&mut calls, 300 * MILLISECOND, FIRST_LEADER));
    expect_true!(is_forwarded(&mut calls, 301 * MILLISECOND, SECOND_LEADER));
    let outcome = CallOutcome::Applied(Reply::Number { value: 4 });
    expect_that!(calls.forwarded_copy_ended(FORWARD_ID, outcome.clone()), eq(&ended(outcome.clone())));
    expect_that!(calls.forwarded_copy_ended(FORWARD_ID, outcome), none());
}

#[gtest]
fn a_watch_may_wait_for_its_time_and_is_answered_by_then() {
    let wait_ms = 2000;
    let mut calls = pending(Call::WatchGroup { group: "g.".to_owned(), after: 1, wait_ms });
    let end = REQUEST_TIMEOUT + wait_ms * MILLISECOND;
    expect_that!(calls.expire(end - 1), is_empty());
    expect_that!(calls.expire(end), elements_are![eq(&ended(NO_QUORUM).expect("an ended call"))]);
}

/// Regression (found by simulation, seed 2000606004459): a caller got 503, "not started", for a put that was executed and shown to a
/// watch. The leader executed the put, but a one-way partition held back its answer. The put was then forwarded twice to a node that does
/// not lead, and the network duplicated that node's `NotLeader` answers: three answers for two copies. Each answer ended one copy, so that
/// the leader's copy counted as ended as well.
#[gtest]
fn duplicated_answers_of_one_node_do_not_end_the_copy_at_another() {
    let mut calls = pending(put(Some(5)));
    expect_true!(is_forwarded(&mut calls, 0, FIRST_LEADER));
    expect_true!(is_forwarded(&mut calls, MILLISECOND, SECOND_LEADER));
    for _ in 0..2 {
        expect_that!(calls.forwarded_copy_ended(FORWARD_ID, NOT_LEADER), none());
    }
    expect_that!(
        calls.expire(REQUEST_TIMEOUT),
        elements_are![eq(&ended(CallOutcome::Unknown).expect("an ended call"))]
    );
}
