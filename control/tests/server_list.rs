//! The reader of the platform's list by itself, in virtual time: from which moment on, under which ballot and for how long it asks,
//! and which answers count.

use googletest::prelude::*;
use ivyhatch_control::server_list_reader::{
    BOOTSTRAP_READ_INTERVAL, Input, MAX_CONSECUTIVE_FAILURES, MAX_YIELD_TIME, MIN_YIELD_TIME, Output,
    READ_TIMEOUT, RENEWAL_DELAY, RETRY_INTERVAL, ReadId, ReaderRole, ServerListReader,
};
use ivyhatch_protocol::ids::{Ballot, NodeId};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

const EVERY: Nanos = 500 * MILLISECOND;

fn ballot(counter: u64) -> Ballot {
    Ballot { counter, node: NodeId(1), incarnation: 7 }
}

/// The duty is this replica's, under the newest ballot.
fn owner(counter: u64) -> ReaderRole {
    ReaderRole {
        ballot: Some(ballot(counter)),
        highest_ballot: ballot(counter),
        highest_is_reachable: true,
        has_list: true,
    }
}

/// The duty is another replica's.
fn follower() -> ReaderRole {
    ReaderRole { ballot: None, highest_ballot: ballot(9), highest_is_reachable: true, has_list: true }
}

/// This replica takes itself for the owner, and another one has read under a higher ballot.
fn deposed(highest_is_reachable: bool) -> ReaderRole {
    ReaderRole { highest_ballot: ballot(9), highest_is_reachable, ..owner(3) }
}

fn reader() -> ServerListReader {
    ServerListReader::new(EVERY)
}

fn hear(reader: &mut ServerListReader, now: Nanos, input: Input) -> Vec<Output> {
    let mut out = Vec::new();
    reader.handle(now, input, &mut out);
    out
}

fn check(reader: &mut ServerListReader, now: Nanos, duty: ReaderRole) -> Vec<Output> {
    hear(reader, now, Input::Tick(duty))
}

/// Has the reader ask, and returns the number of the call.
fn asks(reader: &mut ServerListReader, now: Nanos, duty: ReaderRole) -> ReadId {
    let out = check(reader, now, duty);
    let [Output::Read(read)] = out[..] else { panic!("it asks nothing: {out:?}") };
    read
}

/// A call is made and fails.
fn fails(reader: &mut ServerListReader, now: Nanos, duty: ReaderRole) -> Vec<Output> {
    let read = asks(reader, now, duty);
    hear(reader, now, Input::ReadFailed(read))
}

#[gtest]
fn who_takes_the_duty_over_asks_at_once() {
    let mut reader = reader();
    expect_that!(check(&mut reader, SECOND, follower()), is_empty());
    expect_that!(check(&mut reader, SECOND + 1, owner(3)), elements_are![eq(&Output::Read(ReadId(1)))]);
}

#[gtest]
fn the_owner_asks_once_in_every_interval() {
    let mut reader = reader();
    let read = asks(&mut reader, SECOND, owner(3));
    let out = hear(&mut reader, SECOND + 5, Input::ReadSucceeded(read, owner(3)));
    expect_that!(out, elements_are![eq(&Output::Publish(ballot(3)))]);
    expect_that!(check(&mut reader, SECOND + EVERY - 1, owner(3)), is_empty());
    expect_that!(check(&mut reader, SECOND + EVERY, owner(3)), elements_are![eq(&Output::Read(ReadId(2)))]);
}

#[gtest]
fn no_second_call_is_made_while_one_is_under_way() {
    let mut reader = reader();
    asks(&mut reader, SECOND, owner(3));
    expect_that!(check(&mut reader, SECOND + EVERY + 1, owner(3)), is_empty());
}

#[gtest]
fn a_new_epoch_asks_at_once_though_a_call_is_under_way() {
    let mut reader = reader();
    let old = asks(&mut reader, SECOND, owner(3));
    expect_that!(check(&mut reader, SECOND + 1, owner(4)), elements_are![eq(&Output::Read(ReadId(2)))]);
    // The answer of the earlier call is no list of this ballot, and does not end the call of this ballot either.
    expect_that!(hear(&mut reader, SECOND + 2, Input::ReadSucceeded(old, owner(4))), is_empty());
    expect_that!(hear(&mut reader, SECOND + 2, Input::ReadFailed(old)), is_empty());
    let out = hear(&mut reader, SECOND + 3, Input::ReadSucceeded(ReadId(2), owner(4)));
    expect_that!(out, elements_are![eq(&Output::Publish(ballot(4)))]);
}

#[gtest]
fn an_answer_that_comes_when_the_duty_is_gone_is_dropped() {
    for duty in [follower(), owner(4), deposed(true)] {
        let mut reader = reader();
        let read = asks(&mut reader, SECOND, owner(3));
        expect_that!(hear(&mut reader, SECOND + 1, Input::ReadSucceeded(read, duty)), is_empty(), "{duty:?}");
    }
}

#[gtest]
fn the_same_answer_counts_once() {
    let mut reader = reader();
    let read = asks(&mut reader, SECOND, owner(3));
    hear(&mut reader, SECOND + 1, Input::ReadSucceeded(read, owner(3)));
    expect_that!(hear(&mut reader, SECOND + 2, Input::ReadSucceeded(read, owner(3))), is_empty());
}

#[gtest]
fn a_call_that_is_lost_is_made_again() {
    let mut reader = reader();
    asks(&mut reader, SECOND, owner(3));
    let lost = SECOND + READ_TIMEOUT;
    expect_that!(check(&mut reader, lost - 1, owner(3)), is_empty());
    expect_that!(
        check(&mut reader, lost, owner(3)),
        elements_are![eq(&Output::ReadFailing { consecutive_failures: 1 }), eq(&Output::Read(ReadId(2)))]
    );
}

#[gtest]
fn a_list_from_before_the_process_stood_still_is_asked_for_anew() {
    let mut reader = reader();
    let read = asks(&mut reader, SECOND, owner(3));
    let out = hear(&mut reader, 6 * SECOND, Input::ReadSucceeded(read, owner(3)));
    expect_that!(out, elements_are![eq(&Output::Read(ReadId(2)))]);
}

#[gtest]
fn a_deposed_reader_renews_its_epoch_at_once_where_it_sees_its_successor() {
    let mut reader = reader();
    asks(&mut reader, SECOND, owner(3));
    let out = check(&mut reader, SECOND + 1, deposed(true));
    expect_that!(out, elements_are![eq(&Output::RenewBallot { superseded_by: ballot(9) })]);
    expect_that!(check(&mut reader, SECOND + 2, owner(10)), elements_are![eq(&Output::Read(ReadId(2)))]);
}

#[gtest]
fn a_deposed_reader_renews_its_epoch_in_time_where_it_does_not() {
    let mut reader = reader();
    asks(&mut reader, SECOND, owner(3));
    expect_that!(check(&mut reader, 2 * SECOND, deposed(false)), is_empty());
    expect_that!(check(&mut reader, 2 * SECOND + RENEWAL_DELAY - 1, deposed(false)), is_empty());
    let out = check(&mut reader, 2 * SECOND + RENEWAL_DELAY, deposed(false));
    expect_that!(out, elements_are![eq(&Output::RenewBallot { superseded_by: ballot(9) })]);
}

#[gtest]
fn one_that_stands_back_in_between_waits_anew() {
    let mut reader = reader();
    expect_that!(check(&mut reader, 2 * SECOND, deposed(false)), is_empty());
    expect_that!(check(&mut reader, 3 * SECOND, follower()), is_empty());
    expect_that!(check(&mut reader, 2 * SECOND + RENEWAL_DELAY, deposed(false)), is_empty());
}

#[gtest]
fn a_failure_is_tried_again_soon() {
    let mut reader = reader();
    expect_that!(
        fails(&mut reader, SECOND, owner(3)),
        elements_are![eq(&Output::ReadFailing { consecutive_failures: 1 })]
    );
    expect_that!(check(&mut reader, SECOND + RETRY_INTERVAL - 1, owner(3)), is_empty());
    asks(&mut reader, SECOND + RETRY_INTERVAL, owner(3));
}

#[gtest]
fn after_some_failures_in_a_row_another_replica_reads() {
    let mut reader = reader();
    let mut now = SECOND;
    for failures in 1..MAX_CONSECUTIVE_FAILURES {
        expect_that!(
            fails(&mut reader, now, owner(3)),
            elements_are![eq(&Output::ReadFailing { consecutive_failures: failures })]
        );
        expect_true!(reader.can_read(now));
        now += RETRY_INTERVAL;
    }
    expect_that!(
        fails(&mut reader, now, owner(3)),
        elements_are![
            eq(&Output::ReadFailing { consecutive_failures: MAX_CONSECUTIVE_FAILURES }),
            eq(&Output::YieldRole)
        ]
    );
    expect_false!(reader.can_read(now + MIN_YIELD_TIME - 1));
    expect_true!(reader.can_read(now + MIN_YIELD_TIME));
}

#[gtest]
fn the_duty_is_left_for_longer_each_time_until_a_call_succeeds() {
    let mut reader = reader();
    let mut now = SECOND;
    let mut leave_for = MIN_YIELD_TIME;
    for counter in 0..6 {
        for _ in 0..MAX_CONSECUTIVE_FAILURES {
            fails(&mut reader, now, owner(counter));
            now += RETRY_INTERVAL;
        }
        let left = now - RETRY_INTERVAL;
        expect_false!(reader.can_read(left + leave_for - 1), "{counter}");
        expect_true!(reader.can_read(left + leave_for), "{counter}");
        now = left + leave_for;
        leave_for = (2 * leave_for).min(MAX_YIELD_TIME);
    }
    let read = asks(&mut reader, now, owner(7));
    hear(&mut reader, now, Input::ReadSucceeded(read, owner(7)));
    now += EVERY;
    for _ in 0..MAX_CONSECUTIVE_FAILURES {
        fails(&mut reader, now, owner(7));
        now += RETRY_INTERVAL;
    }
    expect_true!(reader.can_read(now - RETRY_INTERVAL + MIN_YIELD_TIME));
}

#[gtest]
fn one_that_reads_as_nobody_else_can_takes_the_duty_back_with_its_first_answer() {
    let mut reader = reader();
    let mut now = SECOND;
    for _ in 0..MAX_CONSECUTIVE_FAILURES {
        fails(&mut reader, now, owner(3));
        now += RETRY_INTERVAL;
    }
    expect_false!(reader.can_read(now));
    let read = asks(&mut reader, now, owner(3));
    hear(&mut reader, now, Input::ReadSucceeded(read, owner(3)));
    expect_true!(reader.can_read(now));
}

#[gtest]
fn a_replica_without_a_list_reads_one_by_itself_and_never_leaves() {
    let alone = ReaderRole::default();
    let mut reader = reader();
    let first = asks(&mut reader, SECOND, alone);
    let out = hear(&mut reader, SECOND, Input::ReadFailed(first));
    expect_that!(out, elements_are![eq(&Output::ReadFailing { consecutive_failures: 1 })]);
    let second = asks(&mut reader, SECOND + RETRY_INTERVAL, alone);
    let out = hear(&mut reader, SECOND + RETRY_INTERVAL, Input::ReadFailed(second));
    expect_that!(out, elements_are![eq(&Output::ReadFailing { consecutive_failures: 2 })]);
    expect_true!(reader.can_read(SECOND + RETRY_INTERVAL));
    let third = asks(&mut reader, SECOND + 2 * RETRY_INTERVAL, alone);
    let out = hear(&mut reader, SECOND + 2 * RETRY_INTERVAL, Input::ReadSucceeded(third, alone));
    expect_that!(out, elements_are![eq(&Output::Publish(Ballot::default()))]);
    // An empty list was no list: it asks again, without haste.
    expect_that!(check(&mut reader, SECOND + 3 * RETRY_INTERVAL, alone), is_empty());
    asks(&mut reader, SECOND + 2 * RETRY_INTERVAL + BOOTSTRAP_READ_INTERVAL, alone);
}

#[gtest]
fn the_first_owner_does_not_wait_for_its_own_first_list() {
    let mut reader = reader();
    let first = asks(&mut reader, SECOND, ReaderRole::default());
    let mine = ReaderRole { has_list: false, ..owner(1) };
    expect_that!(check(&mut reader, SECOND + 1, mine), elements_are![eq(&Output::Read(ReadId(2)))]);
    expect_that!(hear(&mut reader, SECOND + 2, Input::ReadSucceeded(first, mine)), is_empty());
}
