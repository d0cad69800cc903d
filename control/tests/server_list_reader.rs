//! The reader of the platform's list by itself, in virtual time: when it reads, under which ballot, and which results it publishes.

use googletest::prelude::*;
use ivyhatch_control::server_list::reader::{
    BOOTSTRAP_READ_INTERVAL, Input, MAX_CONSECUTIVE_FAILURES, MAX_YIELD_TIME, MIN_YIELD_TIME, Output,
    READ_TIMEOUT, RENEWAL_DELAY, RETRY_INTERVAL, ReadId, ReaderRole, ServerListReader,
};
use ivyhatch_protocol::ids::{Ballot, NodeId};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

const INTERVAL: Nanos = 500 * MILLISECOND;

fn ballot(counter: u64) -> Ballot {
    Ballot { counter, node: NodeId(1), incarnation: 7 }
}

/// The role where this node has it, under the highest ballot.
fn leading(counter: u64) -> ReaderRole {
    ReaderRole {
        ballot: Some(ballot(counter)),
        highest_ballot: ballot(counter),
        highest_is_reachable: true,
        has_list: true,
    }
}

/// The role where another node has it.
fn following() -> ReaderRole {
    ReaderRole { ballot: None, highest_ballot: ballot(9), highest_is_reachable: true, has_list: true }
}

/// The role where this node leads under its own ballot, and another node has read under a higher ballot.
fn superseded(highest_is_reachable: bool) -> ReaderRole {
    ReaderRole { highest_ballot: ballot(9), highest_is_reachable, ..leading(3) }
}

fn reader() -> ServerListReader {
    ServerListReader::new(INTERVAL)
}

fn handle(reader: &mut ServerListReader, now: Nanos, input: Input) -> Vec<Output> {
    let mut out = Vec::new();
    reader.handle(now, input, &mut out);
    out
}

fn tick(reader: &mut ServerListReader, now: Nanos, role: ReaderRole) -> Vec<Output> {
    handle(reader, now, Input::Tick(role))
}

/// Makes the reader start a read, and returns its number.
fn start_read(reader: &mut ServerListReader, now: Nanos, role: ReaderRole) -> ReadId {
    let out = tick(reader, now, role);
    let [Output::Read(read)] = out[..] else { panic!("no read is started: {out:?}") };
    read
}

/// Makes the reader start a read that fails, and returns the outputs of the failure.
fn fail_read(reader: &mut ServerListReader, now: Nanos, role: ReaderRole) -> Vec<Output> {
    let read = start_read(reader, now, role);
    handle(reader, now, Input::ReadFailed(read))
}

#[gtest]
fn reader_that_takes_the_role_reads_at_once() {
    let mut reader = reader();
    expect_that!(tick(&mut reader, SECOND, following()), is_empty());
    expect_that!(tick(&mut reader, SECOND + 1, leading(3)), elements_are![eq(&Output::Read(ReadId(1)))]);
}

#[gtest]
fn reader_reads_once_per_interval() {
    let mut reader = reader();
    let read = start_read(&mut reader, SECOND, leading(3));
    let out = handle(&mut reader, SECOND + 5, Input::ReadSucceeded(read, leading(3)));
    expect_that!(out, elements_are![eq(&Output::Publish(ballot(3)))]);
    expect_that!(tick(&mut reader, SECOND + INTERVAL - 1, leading(3)), is_empty());
    expect_that!(
        tick(&mut reader, SECOND + INTERVAL, leading(3)),
        elements_are![eq(&Output::Read(ReadId(2)))]
    );
}

#[gtest]
fn no_read_starts_while_one_is_in_flight() {
    let mut reader = reader();
    start_read(&mut reader, SECOND, leading(3));
    expect_that!(tick(&mut reader, SECOND + INTERVAL + 1, leading(3)), is_empty());
}

#[gtest]
fn new_ballot_reads_at_once_and_replaces_the_read_in_flight() {
    let mut reader = reader();
    let old = start_read(&mut reader, SECOND, leading(3));
    expect_that!(tick(&mut reader, SECOND + 1, leading(4)), elements_are![eq(&Output::Read(ReadId(2)))]);
    // The result of the earlier read is not published under the new ballot, and does not end the read under the new ballot.
    expect_that!(handle(&mut reader, SECOND + 2, Input::ReadSucceeded(old, leading(4))), is_empty());
    expect_that!(handle(&mut reader, SECOND + 2, Input::ReadFailed(old)), is_empty());
    let out = handle(&mut reader, SECOND + 3, Input::ReadSucceeded(ReadId(2), leading(4)));
    expect_that!(out, elements_are![eq(&Output::Publish(ballot(4)))]);
}

#[gtest]
fn result_is_dropped_when_the_role_is_lost() {
    for role in [following(), leading(4), superseded(true)] {
        let mut reader = reader();
        let read = start_read(&mut reader, SECOND, leading(3));
        expect_that!(
            handle(&mut reader, SECOND + 1, Input::ReadSucceeded(read, role)),
            is_empty(),
            "{role:?}"
        );
    }
}

#[gtest]
fn result_is_published_once() {
    let mut reader = reader();
    let read = start_read(&mut reader, SECOND, leading(3));
    handle(&mut reader, SECOND + 1, Input::ReadSucceeded(read, leading(3)));
    expect_that!(handle(&mut reader, SECOND + 2, Input::ReadSucceeded(read, leading(3))), is_empty());
}

#[gtest]
fn lost_read_is_retried_after_the_timeout() {
    let mut reader = reader();
    start_read(&mut reader, SECOND, leading(3));
    let lost_at = SECOND + READ_TIMEOUT;
    expect_that!(tick(&mut reader, lost_at - 1, leading(3)), is_empty());
    expect_that!(
        tick(&mut reader, lost_at, leading(3)),
        elements_are![eq(&Output::ReadFailing { consecutive_failures: 1 }), eq(&Output::Read(ReadId(2)))]
    );
}

#[gtest]
fn list_from_before_a_suspension_is_read_again() {
    let mut reader = reader();
    let read = start_read(&mut reader, SECOND, leading(3));
    let out = handle(&mut reader, 6 * SECOND, Input::ReadSucceeded(read, leading(3)));
    expect_that!(out, elements_are![eq(&Output::Read(ReadId(2)))]);
}

#[gtest]
fn superseded_reader_renews_its_ballot_at_once_when_the_successor_is_reachable() {
    let mut reader = reader();
    start_read(&mut reader, SECOND, leading(3));
    let out = tick(&mut reader, SECOND + 1, superseded(true));
    expect_that!(out, elements_are![eq(&Output::RenewBallot { superseded_by: ballot(9) })]);
    expect_that!(tick(&mut reader, SECOND + 2, leading(10)), elements_are![eq(&Output::Read(ReadId(2)))]);
}

#[gtest]
fn superseded_reader_renews_its_ballot_after_the_delay_when_the_successor_is_unreachable() {
    let mut reader = reader();
    start_read(&mut reader, SECOND, leading(3));
    expect_that!(tick(&mut reader, 2 * SECOND, superseded(false)), is_empty());
    expect_that!(tick(&mut reader, 2 * SECOND + RENEWAL_DELAY - 1, superseded(false)), is_empty());
    let out = tick(&mut reader, 2 * SECOND + RENEWAL_DELAY, superseded(false));
    expect_that!(out, elements_are![eq(&Output::RenewBallot { superseded_by: ballot(9) })]);
}

#[gtest]
fn renewal_delay_starts_again_when_the_role_was_lost_in_between() {
    let mut reader = reader();
    expect_that!(tick(&mut reader, 2 * SECOND, superseded(false)), is_empty());
    expect_that!(tick(&mut reader, 3 * SECOND, following()), is_empty());
    expect_that!(tick(&mut reader, 2 * SECOND + RENEWAL_DELAY, superseded(false)), is_empty());
}

#[gtest]
fn failed_read_is_retried_after_the_retry_interval() {
    let mut reader = reader();
    expect_that!(
        fail_read(&mut reader, SECOND, leading(3)),
        elements_are![eq(&Output::ReadFailing { consecutive_failures: 1 })]
    );
    expect_that!(tick(&mut reader, SECOND + RETRY_INTERVAL - 1, leading(3)), is_empty());
    start_read(&mut reader, SECOND + RETRY_INTERVAL, leading(3));
}

#[gtest]
fn role_is_yielded_after_consecutive_failures() {
    let mut reader = reader();
    let mut now = SECOND;
    for failures in 1..MAX_CONSECUTIVE_FAILURES {
        expect_that!(
            fail_read(&mut reader, now, leading(3)),
            elements_are![eq(&Output::ReadFailing { consecutive_failures: failures })]
        );
        expect_true!(reader.can_read(now));
        now += RETRY_INTERVAL;
    }
    expect_that!(
        fail_read(&mut reader, now, leading(3)),
        elements_are![
            eq(&Output::ReadFailing { consecutive_failures: MAX_CONSECUTIVE_FAILURES }),
            eq(&Output::YieldRole)
        ]
    );
    expect_false!(reader.can_read(now + MIN_YIELD_TIME - 1));
    expect_true!(reader.can_read(now + MIN_YIELD_TIME));
}

#[gtest]
fn yield_time_doubles_until_a_read_succeeds() {
    let mut reader = reader();
    let mut now = SECOND;
    let mut yield_time = MIN_YIELD_TIME;
    for counter in 0..6 {
        for _ in 0..MAX_CONSECUTIVE_FAILURES {
            fail_read(&mut reader, now, leading(counter));
            now += RETRY_INTERVAL;
        }
        let yielded_at = now - RETRY_INTERVAL;
        expect_false!(reader.can_read(yielded_at + yield_time - 1), "{counter}");
        expect_true!(reader.can_read(yielded_at + yield_time), "{counter}");
        now = yielded_at + yield_time;
        yield_time = (2 * yield_time).min(MAX_YIELD_TIME);
    }
    let read = start_read(&mut reader, now, leading(7));
    handle(&mut reader, now, Input::ReadSucceeded(read, leading(7)));
    now += INTERVAL;
    for _ in 0..MAX_CONSECUTIVE_FAILURES {
        fail_read(&mut reader, now, leading(7));
        now += RETRY_INTERVAL;
    }
    expect_true!(reader.can_read(now - RETRY_INTERVAL + MIN_YIELD_TIME));
}

#[gtest]
fn successful_read_ends_the_yield_time() {
    let mut reader = reader();
    let mut now = SECOND;
    for _ in 0..MAX_CONSECUTIVE_FAILURES {
        fail_read(&mut reader, now, leading(3));
        now += RETRY_INTERVAL;
    }
    expect_false!(reader.can_read(now));
    let read = start_read(&mut reader, now, leading(3));
    handle(&mut reader, now, Input::ReadSucceeded(read, leading(3)));
    expect_true!(reader.can_read(now));
}

#[gtest]
fn node_without_a_list_reads_for_itself_and_does_not_yield() {
    let bootstrapping = ReaderRole::default();
    let mut reader = reader();
    let first = start_read(&mut reader, SECOND, bootstrapping);
    let out = handle(&mut reader, SECOND, Input::ReadFailed(first));
    expect_that!(out, elements_are![eq(&Output::ReadFailing { consecutive_failures: 1 })]);
    let second = start_read(&mut reader, SECOND + RETRY_INTERVAL, bootstrapping);
    let out = handle(&mut reader, SECOND + RETRY_INTERVAL, Input::ReadFailed(second));
    expect_that!(out, elements_are![eq(&Output::ReadFailing { consecutive_failures: 2 })]);
    expect_true!(reader.can_read(SECOND + RETRY_INTERVAL));
    let third = start_read(&mut reader, SECOND + 2 * RETRY_INTERVAL, bootstrapping);
    let out = handle(&mut reader, SECOND + 2 * RETRY_INTERVAL, Input::ReadSucceeded(third, bootstrapping));
    expect_that!(out, elements_are![eq(&Output::Publish(Ballot::default()))]);
    // The node still has no list: the reader reads again, at the interval of bootstrap reads.
    expect_that!(tick(&mut reader, SECOND + 3 * RETRY_INTERVAL, bootstrapping), is_empty());
    start_read(&mut reader, SECOND + 2 * RETRY_INTERVAL + BOOTSTRAP_READ_INTERVAL, bootstrapping);
}

#[gtest]
fn first_reader_does_not_wait_for_its_bootstrap_read() {
    let mut reader = reader();
    let first = start_read(&mut reader, SECOND, ReaderRole::default());
    let own_role = ReaderRole { has_list: false, ..leading(1) };
    expect_that!(tick(&mut reader, SECOND + 1, own_role), elements_are![eq(&Output::Read(ReadId(2)))]);
    expect_that!(handle(&mut reader, SECOND + 2, Input::ReadSucceeded(first, own_role)), is_empty());
}
