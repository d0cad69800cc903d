//! When a node starts its next election after another leader's ballot has made the node step down.
//!
//! Regression: the first voter in the election order backed off for seconds. As no other node contends while that voter is active,
//! the platform's list of servers was not read in that time.

mod common;

use common::{heartbeat, membership, node_config, starts_election, step, voter};
use googletest::prelude::*;
use ivyhatch_control::storage::durable_state::DurableState;
use ivyhatch_control::{ControlPlane, Input};
use ivyhatch_protocol::MILLISECOND;
use ivyhatch_protocol::ids::{Ballot, NodeId, PartitionId};
use ivyhatch_protocol::peer::{ConsensusMessage, Heartbeat, PeerMessage, ReplicaStatus};

/// Whether the node starts an election for this partition at its next tick, with one other voter reachable.
fn starts_election_at(node: &mut ControlPlane, at_ms: u64, other: u32, partition: PartitionId) -> bool {
    let out = step(node, at_ms, &[(other, PeerMessage::Heartbeat(heartbeat(other, at_ms)))]);
    starts_election(&out, partition)
}

fn reject(node: &mut ControlPlane, at_ms: u64, by: u32, partition: PartitionId, counter: u64) {
    let promised = Ballot { counter, node: NodeId(by), incarnation: 22 };
    let message = ConsensusMessage::Reject { promised };
    let rejection = PeerMessage::Consensus { generation: 1, partition, message };
    node.handle(at_ms * MILLISECOND, Input::Peer(NodeId(by), rejection), &mut Vec::new());
}

#[gtest]
fn first_voter_in_the_order_starts_the_next_election_without_backoff() {
    let (mut node, partition) = (voter(1, membership()), PartitionId(0));
    let mut at_ms = 100;
    expect_true!(starts_election_at(&mut node, at_ms, 2, partition));
    for counter in 10..30 {
        reject(&mut node, at_ms, 2, partition, counter);
        at_ms += 100;
        expect_true!(starts_election_at(&mut node, at_ms, 2, partition), "after {counter}");
    }
}

#[gtest]
fn later_voter_in_the_order_backs_off_before_the_next_election() {
    // The first in this partition's order is the third node, which is unreachable.
    let (mut node, partition) = (voter(1, membership()), PartitionId(2));
    expect_true!(starts_election_at(&mut node, 100, 2, partition));
    reject(&mut node, 100, 2, partition, 10);
    for at_ms in [150, 250, 390] {
        expect_false!(starts_election_at(&mut node, at_ms, 2, partition), "{at_ms}");
    }
    expect_true!(starts_election_at(&mut node, 401, 2, partition));
}

#[gtest]
fn next_voter_in_the_order_contends_when_the_leader_drains() {
    let draining = |number| (1, PeerMessage::Heartbeat(Heartbeat { draining: true, ..heartbeat(1, number) }));
    let third = |number| (3, PeerMessage::Heartbeat(heartbeat(3, number)));
    let mut node = voter(2, membership());
    let out = step(&mut node, 100, &[(1, PeerMessage::Heartbeat(heartbeat(1, 1))), third(1)]);
    expect_false!(starts_election(&out, PartitionId(0)));
    let out = step(&mut node, 200, &[draining(2), third(2)]);
    expect_true!(starts_election(&out, PartitionId(0)));
}

#[gtest]
fn learner_starts_no_election() {
    let mut node = ControlPlane::new(node_config(1, false), DurableState::default(), 0);
    step(&mut node, 100, &[(2, PeerMessage::Membership(membership()))]);
    expect_that!(node.status(), eq(ReplicaStatus::Learner));
    for partition in PartitionId::all() {
        expect_false!(starts_election_at(&mut node, 200 + u64::from(partition.0), 2, partition));
    }
}
