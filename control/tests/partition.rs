//! One part, as its owner sees it while another owner has come and gone.

use googletest::prelude::*;
use ivyhatch_control::partition::{Effect, PartitionReplica};
use ivyhatch_protocol::ids::{Ballot, NodeId};
use ivyhatch_protocol::peer::{AcceptedValue, AcceptorState, ConsensusMessage};

const MEMBERS: [NodeId; 3] = [NodeId(1), NodeId(2), NodeId(3)];

fn promise(ballot: Ballot) -> ConsensusMessage {
    ConsensusMessage::Promise { ballot, accepted: None }
}

#[gtest]
fn an_owner_whose_proposal_another_has_decided_stands_back() {
    let mut partition = PartitionReplica::new(NodeId(1), 11, AcceptorState::default());
    partition.set_voters(&MEMBERS, &mut Vec::new());
    let mut out = Vec::new();
    partition.start_election(0, &mut out);
    let ballot = Ballot { counter: 1, node: NodeId(1), incarnation: 11 };
    partition.handle(0, NodeId(2), promise(ballot), true, &mut out);
    partition.handle(0, NodeId(3), promise(ballot), true, &mut out);
    partition.propose(0, vec![7], &mut out);
    partition.handle(0, NodeId(2), ConsensusMessage::Accepted { ballot, sequence: 1 }, true, &mut out);
    // Another owner found the proposal at the second member, and had it committed under its own ballot.
    let higher = Ballot { counter: 2, node: NodeId(3), incarnation: 33 };
    let committed = AcceptedValue { ballot: higher, sequence: 1, value: vec![7] };
    out.clear();
    partition.handle(0, NodeId(2), ConsensusMessage::Committed(committed.clone()), true, &mut out);
    expect_that!(out, elements_are![eq(&Effect::SteppedDown), eq(&Effect::Committed(committed))]);
    expect_that!(partition.is_contending(), eq(false));
    out.clear();
    // Its next ballot is above the one that it has heard of.
    partition.start_election(0, &mut out);
    let above = |effect: &Effect| matches!(effect, Effect::Send(_, ConsensusMessage::Prepare { ballot }) if *ballot > higher);
    expect_that!(out.iter().all(above), eq(true));
}

#[gtest]
fn an_owner_goes_on_when_it_hears_of_older_decisions() {
    let mut partition = PartitionReplica::new(NodeId(3), 33, AcceptorState::default());
    partition.set_voters(&MEMBERS, &mut Vec::new());
    let mut out = Vec::new();
    partition.start_election(0, &mut out);
    let ballot = Ballot { counter: 1, node: NodeId(3), incarnation: 33 };
    partition.handle(0, NodeId(1), promise(ballot), true, &mut out);
    partition.handle(0, NodeId(2), promise(ballot), true, &mut out);
    let lower = Ballot { counter: 1, node: NodeId(1), incarnation: 11 };
    let committed = AcceptedValue { ballot: lower, sequence: 1, value: vec![7] };
    out.clear();
    partition.handle(0, NodeId(2), ConsensusMessage::Committed(committed.clone()), true, &mut out);
    expect_that!(out, elements_are![eq(&Effect::Committed(committed))]);
    expect_that!(partition.leader_ballot(), some(eq(ballot)));
}
