//! Schedules and timeouts: heartbeats, contact with a quorum, graceful shutdown, election backoff, and repeated requests.

use googletest::prelude::*;
use ivyhatch_control::consensus::catch_up::CatchUp;
use ivyhatch_control::consensus::elections::ElectionBackoff;
use ivyhatch_control::liveness::heartbeat_schedule::{HEARTBEAT_INTERVAL, HeartbeatSchedule};
use ivyhatch_control::liveness::quorum_contact::QuorumContact;
use ivyhatch_control::membership::drain::Drain;
use ivyhatch_control::membership::sender::MembershipSender;
use ivyhatch_protocol::ids::{NodeId, PartitionId};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

const START: Nanos = 10 * SECOND;
const REQUEST_INTERVAL: Nanos = 250 * MILLISECOND;

#[gtest]
fn heartbeat_is_due_once_per_interval_and_at_once_when_expedited() {
    let mut schedule = HeartbeatSchedule::default();
    expect_true!(schedule.is_due(START));
    schedule.record_sent(START);
    expect_false!(schedule.is_due(START + HEARTBEAT_INTERVAL - 1));
    expect_true!(schedule.is_due(START + HEARTBEAT_INTERVAL));
    schedule.expedite();
    expect_true!(schedule.is_due(START + 1));
}

#[gtest]
fn sending_time_of_a_heartbeat_is_kept_for_three_seconds() {
    let mut schedule = HeartbeatSchedule::default();
    let first = schedule.record_sent(START);
    let second = schedule.record_sent(START + 3 * SECOND);
    expect_that!(second, eq(first + 1));
    expect_that!(schedule.sent_at(first), some(eq(START)));
    schedule.record_sent(START + 3 * SECOND + 1);
    expect_that!(schedule.sent_at(first), none());
    expect_that!(schedule.sent_at(second), some(eq(START + 3 * SECOND)));
}

#[gtest]
fn quorum_contact_is_settled_two_seconds_after_it_was_made() {
    let mut contact = QuorumContact::default();
    expect_false!(contact.update(START, false));
    expect_true!(contact.update(START, true));
    expect_false!(contact.update(START + SECOND, true));
    expect_false!(contact.is_settled(START + 2 * SECOND - 1));
    expect_true!(contact.is_settled(START + 2 * SECOND));
    expect_true!(contact.update(START + 3 * SECOND, false));
    expect_false!(contact.is_settled(START + 9 * SECOND));
}

#[gtest]
fn drain_is_complete_when_the_replica_is_not_needed_or_at_the_timeout() {
    let mut drain = Drain::new(6 * SECOND);
    expect_false!(drain.is_complete(START, || false));
    expect_true!(drain.begin(START));
    expect_false!(drain.begin(START + SECOND));
    expect_false!(drain.is_complete(START + 2 * HEARTBEAT_INTERVAL - 1, || false));
    expect_true!(drain.is_complete(START + 2 * HEARTBEAT_INTERVAL, || false));
    expect_false!(drain.is_complete(START + 6 * SECOND - 1, || true));
    expect_true!(drain.is_complete(START + 6 * SECOND, || true));
}

#[gtest]
fn election_backoff_grows_with_the_index_in_the_order() {
    let (partition, mut backoff) = (PartitionId(2), ElectionBackoff::default());
    backoff.stepped_down(START, partition, 0);
    expect_false!(backoff.is_waiting(START, partition));
    backoff.stepped_down(START, partition, 2);
    expect_true!(backoff.is_waiting(START + 600 * MILLISECOND - 1, partition));
    expect_false!(backoff.is_waiting(START + 600 * MILLISECOND, partition));
    expect_false!(backoff.is_waiting(START, PartitionId(3)));
    backoff.clear(partition);
    expect_false!(backoff.is_waiting(START, partition));
}

#[gtest]
fn missing_change_is_requested_once_per_interval_for_each_partition() {
    let mut catch_up = CatchUp::default();
    expect_true!(catch_up.begin_request(START, PartitionId(1)));
    expect_false!(catch_up.begin_request(START + REQUEST_INTERVAL - 1, PartitionId(1)));
    expect_true!(catch_up.begin_request(START, PartitionId(2)));
    expect_true!(catch_up.begin_request(START + REQUEST_INTERVAL, PartitionId(1)));
}

#[gtest]
fn membership_is_sent_to_a_node_once_per_interval() {
    let mut sender = MembershipSender::default();
    expect_true!(sender.begin_send(START, NodeId(2)));
    expect_false!(sender.begin_send(START + REQUEST_INTERVAL - 1, NodeId(2)));
    expect_true!(sender.begin_send(START, NodeId(3)));
    expect_true!(sender.begin_send(START + REQUEST_INTERVAL, NodeId(2)));
}

#[gtest]
fn first_membership_is_held_back_until_its_write_is_durable() {
    let mut sender = MembershipSender::default();
    sender.write_begun(4, 1);
    expect_false!(sender.begin_send(START, NodeId(2)));
    sender.write_completed(3);
    expect_false!(sender.may_send());
    sender.write_completed(4);
    expect_true!(sender.begin_send(START, NodeId(2)));
    sender.write_begun(5, 2);
    expect_true!(sender.may_send());
}
