//! The call queue of a partition's leader: the barrier, outcomes that wait, held watches and copies of a call.

use googletest::prelude::*;
use ivyhatch_control::calls::call_queue::{CallQueue, EnqueuedCall, MAX_WAITING, QueuedCall, ReadyOutcome};
use ivyhatch_control::requests::request_queue::Requester;
use ivyhatch_coordination::{CoordinationState, Decision};
use ivyhatch_protocol::coordination::{Call, CallOutcome, CellEvent, NotStarted, Reply};
use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::registers::RegisterMap;
use ivyhatch_protocol::{Nanos, SECOND};

fn remote(number: u64) -> Requester {
    Requester::Remote(NodeId(2), number)
}

fn queued(requester: Requester, call: Call) -> QueuedCall {
    QueuedCall { requester, call, expires_at: SECOND }
}

fn number() -> Call {
    Call::NextNumber { name: "n".to_owned() }
}

fn put(value: &str) -> Call {
    Call::PutCell { name: "g.a".to_owned(), value: value.to_owned(), expected_revision: None }
}

fn watch(after: u64) -> Call {
    Call::WatchGroup { group: "g.".to_owned(), after, wait_ms: 500 }
}

fn deciding() -> CallQueue {
    let mut queue = CallQueue::default();
    queue.barrier_proposed();
    let state = CoordinationState::from_registers(0, SECOND, &RegisterMap::default());
    queue.begin_deciding(state.expect("a state from empty registers"));
    queue
}

/// Decides on a call, and records its change as proposed.
fn propose(queue: &mut CallQueue, sequence: u64, requester: Requester, call: &Call) {
    match queue.decide(0, sequence, call) {
        Some(Decision::Propose { reply, publication, .. }) => {
            queue.proposed(sequence, requester, reply, publication);
        }
        other => panic!("expected a proposed change, got {other:?}"),
    }
}

fn outcomes(ready: Vec<ReadyOutcome>) -> Vec<(Requester, CallOutcome)> {
    ready.into_iter().map(|ready| (ready.requester, ready.outcome)).collect()
}

#[gtest]
fn a_leader_decides_nothing_before_its_barrier() {
    let mut queue = CallQueue::default();
    expect_that!(queue.enqueue(queued(remote(1), number())), eq(&EnqueuedCall::Queued));
    expect_true!(queue.needs_barrier());
    expect_that!(queue.decide(0, 1, &number()), none());
    queue.barrier_proposed();
    expect_false!(queue.needs_barrier());
    expect_that!(queue.decide(0, 1, &number()), none());
}

#[gtest]
fn two_equal_calls_of_two_callers_are_two_calls() {
    let mut queue = deciding();
    propose(&mut queue, 1, remote(1), &number());
    expect_that!(queue.enqueue(queued(remote(2), number())), eq(&EnqueuedCall::Queued));
    propose(&mut queue, 2, remote(2), &number());
    let value = |value| CallOutcome::Applied(Reply::Number { value });
    let ready = outcomes(queue.changes_committed(2));
    expect_that!(ready, eq(&vec![(remote(1), value(1)), (remote(2), value(2))]));
}

#[gtest]
fn a_copy_of_a_call_that_was_answered_is_answered_alike_for_a_while() {
    let mut queue = deciding();
    let outcome = CallOutcome::Applied(Reply::Number { value: 9 });
    queue.answered(0, &ReadyOutcome { requester: remote(1), outcome: outcome.clone() });
    expect_that!(queue.enqueue(queued(remote(1), number())), eq(&EnqueuedCall::Answered(outcome)));
    queue.expire(2 * SECOND);
    expect_that!(queue.enqueue(queued(remote(1), number())), eq(&EnqueuedCall::Queued));
    expect_that!(queue.enqueue(queued(remote(1), number())), eq(&EnqueuedCall::Duplicate));
}

#[gtest]
fn calls_beyond_the_bound_are_rejected_before_they_are_decided() {
    let mut queue = deciding();
    for caller in 0..MAX_WAITING as u64 {
        expect_that!(queue.enqueue(queued(remote(caller), number())), eq(&EnqueuedCall::Queued));
    }
    expect_that!(queue.enqueue(queued(remote(9_999), number())), eq(&EnqueuedCall::Rejected));
}

#[gtest]
fn an_outcome_waits_for_its_commit_and_for_its_confirmation_in_any_order() {
    let outcome = CallOutcome::Applied(Reply::LockReleased);
    for confirmed_first in [true, false] {
        let mut queue = deciding();
        let confirmation = queue.await_confirmation(remote(1), outcome.clone(), 4, SECOND);
        if confirmed_first {
            expect_that!(queue.confirmed(confirmation, 3), none());
            expect_that!(outcomes(queue.changes_committed(3)), is_empty());
            expect_that!(outcomes(queue.changes_committed(4)), eq(&vec![(remote(1), outcome.clone())]));
        } else {
            expect_that!(outcomes(queue.changes_committed(4)), is_empty());
            let ready = ReadyOutcome { requester: remote(1), outcome: outcome.clone() };
            expect_that!(queue.confirmed(confirmation, 4), some(eq(&ready)));
        }
    }
}

#[gtest]
fn a_held_watch_is_answered_by_the_commit_of_a_put_and_shows_nothing_that_is_not_committed() {
    let mut queue = deciding();
    propose(&mut queue, 1, remote(1), &put("one"));
    queue.changes_committed(1);
    queue.hold_watch(queued(remote(2), watch(1)), SECOND);
    propose(&mut queue, 2, remote(3), &put("two"));
    propose(&mut queue, 3, remote(3), &put("three"));
    // A watch that comes while the puts are in flight, and starts after the last committed revision, has to wait as well.
    expect_that!(queue.decide(0, 4, &watch(1)), some(eq(&Decision::Wait)));
    let ready = outcomes(queue.changes_committed(2));
    let event = CellEvent { name: "g.a".to_owned(), value: "two".to_owned(), revision: 2 };
    let shown = CallOutcome::Applied(Reply::Events { events: vec![event], revision: 2 });
    expect_that!(ready, contains(eq(&(remote(2), shown))));
    expect_that!(queue.take_ended_watches(2 * SECOND), is_empty());
}

#[gtest]
fn a_watch_whose_wait_is_over_is_answered_with_no_events() {
    let mut queue = deciding();
    propose(&mut queue, 1, remote(1), &put("one"));
    queue.changes_committed(1);
    queue.hold_watch(queued(remote(2), watch(1)), 500);
    expect_that!(queue.take_ended_watches(499), is_empty());
    let no_events = CallOutcome::Applied(Reply::Events { events: Vec::new(), revision: 1 });
    let ended: Vec<(Requester, CallOutcome, Nanos)> = queue.take_ended_watches(500);
    expect_that!(ended, eq(&vec![(remote(2), no_events, SECOND)]));
}

#[gtest]
fn stepping_down_returns_the_forwarded_calls_that_were_not_proposed() {
    let mut queue = deciding();
    propose(&mut queue, 1, remote(1), &number());
    queue.enqueue(queued(remote(2), number()));
    queue.enqueue(queued(Requester::Local(3), number()));
    queue.hold_watch(queued(remote(4), watch(0)), SECOND);
    queue.await_confirmation(remote(5), CallOutcome::NotStarted(NotStarted::Overloaded), 1, SECOND);
    let dropped = queue.stepped_down();
    expect_that!(dropped, eq(&vec![remote(2), remote(5), remote(4)]));
    expect_true!(queue.needs_barrier());
    expect_that!(outcomes(queue.changes_committed(1)), is_empty());
}
