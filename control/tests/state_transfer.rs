//! State transfer to a new voter: when state is requested, whose state counts, and when the transfer is complete.

use googletest::prelude::*;
use ivyhatch_control::consensus::acceptor::Acceptor;
use ivyhatch_control::membership::state_transfer::{StateCollector, StateTransfer};
use ivyhatch_protocol::ids::{Ballot, NodeId, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{Membership, TransferredState, Voter};
use ivyhatch_protocol::registers::{StateUpdate, UpdateBase, Version};
use ivyhatch_protocol::{MILLISECOND, Nanos};

const PARTITION: PartitionId = PartitionId(0);
const REQUEST_INTERVAL: Nanos = 250 * MILLISECOND;

fn replica(node: u32) -> ReplicaId {
    ReplicaId { node: NodeId(node), disk: u64::from(node) }
}

/// The membership in which the fourth node has replaced the third.
fn membership() -> Membership {
    let voter = |node| Voter { replica: replica(node), zone: String::new(), joined_generation: 1 };
    let first = Membership { generation: 1, voters: (1..=3).map(voter).collect(), previous: Vec::new() };
    first.with_replacement(replica(3), replica(4), "")
}

fn ballot(counter: u64) -> Ballot {
    Ballot { counter, node: NodeId(1), incarnation: 1 }
}

fn state(accepted: u64, promised: u64) -> Vec<(PartitionId, TransferredState)> {
    let version = Version { ballot: ballot(accepted), sequence: accepted };
    let update = StateUpdate { version, base: UpdateBase::Empty, writes: Vec::new(), digest: 0 };
    vec![(PARTITION, TransferredState { promised: ballot(promised), accepted: Some(update) })]
}

#[gtest]
fn collection_is_complete_with_a_quorum_of_the_previous_voters() {
    let mut collector = StateCollector::default();
    collector.add(replica(1), state(1, 1));
    collector.add(replica(1), state(1, 1));
    collector.add(replica(4), state(9, 9));
    expect_that!(collector.complete(&membership()), none());
    collector.add(replica(3), state(2, 2));
    expect_that!(collector.complete(&membership()), some(anything()));
}

#[gtest]
fn merged_state_has_the_highest_promise_and_the_newest_value() {
    let mut collector = StateCollector::default();
    collector.add(replica(1), state(3, 3));
    collector.add(replica(2), state(2, 8));
    let collected = collector.complete(&membership()).expect("a quorum has sent its states");
    let mut merged = Acceptor::default();
    for state in &collected[&PARTITION] {
        merged.merge(state);
    }
    expect_that!(merged.promised(), eq(ballot(8)));
    expect_that!(merged.accepted().ballot, eq(ballot(3)));
}

#[gtest]
fn state_is_requested_again_after_the_interval_and_after_a_reset() {
    let mut transfer = StateTransfer::default();
    expect_true!(transfer.begin_request(1));
    expect_false!(transfer.begin_request(REQUEST_INTERVAL));
    expect_true!(transfer.begin_request(REQUEST_INTERVAL + 1));
    transfer.reset();
    expect_true!(transfer.begin_request(REQUEST_INTERVAL + 2));
}

#[gtest]
fn nothing_is_requested_while_the_collected_state_is_written() {
    let mut transfer = StateTransfer::default();
    transfer.write_begun(5, 2);
    expect_false!(transfer.begin_request(1));
    expect_that!(transfer.write_completed(4), none());
    expect_that!(transfer.write_completed(5), some(eq(2)));
    expect_false!(transfer.is_writing());
}
