//! Who starts an election after another leader has made it step down, and when. On a hunted day the first voter in the order waited
//! for seconds, and as nobody else leads while it is there, nobody read the platform's list.

mod common;

use common::{hear, heartbeat, identity, membership, starts_election, voter};
use googletest::prelude::*;
use ivyhatch_control::durable_state::DurableState;
use ivyhatch_control::{ControlPlane, Input};
use ivyhatch_protocol::MILLISECOND;
use ivyhatch_protocol::ids::{Ballot, NodeId, PartitionId};
use ivyhatch_protocol::peer::{ConsensusMessage, Heartbeat, PeerMessage, ReplicaStatus};

/// Whether the node starts an election for this partition at its next tick, with this other voter there.
fn elects(node: &mut ControlPlane, at_ms: u64, with: u32, part: PartitionId) -> bool {
    let out = hear(node, at_ms, &[(with, PeerMessage::Heartbeat(heartbeat(with, at_ms)))]);
    starts_election(&out, part)
}

fn reject(node: &mut ControlPlane, at_ms: u64, by: u32, part: PartitionId, counter: u64) {
    let promised = Ballot { counter, node: NodeId(by), incarnation: 22 };
    let message = ConsensusMessage::Reject { promised };
    let rejection = PeerMessage::Consensus { generation: 1, partition: part, message };
    node.handle(at_ms * MILLISECOND, Input::Peer(NodeId(by), rejection), &mut Vec::new());
}

#[gtest]
fn the_first_in_the_order_starts_the_next_election_at_once_however_often() {
    let (mut node, part) = (voter(1, membership()), PartitionId(0));
    let mut at_ms = 100;
    expect_true!(elects(&mut node, at_ms, 2, part));
    for counter in 10..30 {
        reject(&mut node, at_ms, 2, part, counter);
        at_ms += 100;
        expect_true!(elects(&mut node, at_ms, 2, part), "after {counter}");
    }
}

#[gtest]
fn one_further_back_waits_first() {
    // The third is the first in this partition's order, and not heard.
    let (mut node, part) = (voter(1, membership()), PartitionId(2));
    expect_true!(elects(&mut node, 100, 2, part));
    reject(&mut node, 100, 2, part, 10);
    for at_ms in [150, 250, 390] {
        expect_false!(elects(&mut node, at_ms, 2, part), "{at_ms}");
    }
    expect_true!(elects(&mut node, 401, 2, part));
}

#[gtest]
fn a_leader_that_is_leaving_is_followed_by_the_next_in_the_order() {
    let leaving = |number| (1, PeerMessage::Heartbeat(Heartbeat { draining: true, ..heartbeat(1, number) }));
    let third = |number| (3, PeerMessage::Heartbeat(heartbeat(3, number)));
    let mut node = voter(2, membership());
    let out = hear(&mut node, 100, &[(1, PeerMessage::Heartbeat(heartbeat(1, 1))), third(1)]);
    expect_false!(starts_election(&out, PartitionId(0)));
    let out = hear(&mut node, 200, &[leaving(2), third(2)]);
    expect_true!(starts_election(&out, PartitionId(0)));
}

#[gtest]
fn a_learner_starts_no_election() {
    let mut node = ControlPlane::new(identity(1, false), DurableState::default(), 0);
    hear(&mut node, 100, &[(2, PeerMessage::Membership(membership()))]);
    expect_that!(node.status(), eq(ReplicaStatus::Learner));
    for part in PartitionId::all() {
        expect_false!(elects(&mut node, 200 + u64::from(part.0), 2, part));
    }
}
