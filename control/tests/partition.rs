//! The consensus on one partition, as its leader sees it while another leader has come and gone.

use googletest::prelude::*;
use ivyhatch_control::consensus::partition::{Effect, PartitionReplica};
use ivyhatch_protocol::ids::{Ballot, NodeId};
use ivyhatch_protocol::peer::{AcceptedValue, AcceptorState, ConsensusMessage};

const VOTERS: [NodeId; 3] = [NodeId(1), NodeId(2), NodeId(3)];

fn promise(ballot: Ballot) -> ConsensusMessage {
    ConsensusMessage::Promise { ballot, accepted: None }
}

#[gtest]
fn leader_steps_down_when_another_leader_has_committed_its_proposal() {
    let mut partition = PartitionReplica::new(NodeId(1), 11, AcceptorState::default());
    partition.set_voters(&VOTERS, &mut Vec::new());
    let mut out = Vec::new();
    partition.start_election(0, &mut out);
    let ballot = Ballot { counter: 1, node: NodeId(1), incarnation: 11 };
    partition.handle(0, NodeId(2), promise(ballot), true, &mut out);
    partition.handle(0, NodeId(3), promise(ballot), true, &mut out);
    partition.propose(0, vec![7], &mut out);
    partition.handle(0, NodeId(2), ConsensusMessage::Accepted { ballot, sequence: 1 }, true, &mut out);
    // Another leader has found the proposal on the second voter, and committed it under its own ballot.
    let higher = Ballot { counter: 2, node: NodeId(3), incarnation: 33 };
    let committed = AcceptedValue { ballot: higher, sequence: 1, value: vec![7] };
    out.clear();
    partition.handle(0, NodeId(2), ConsensusMessage::Committed(committed.clone()), true, &mut out);
    expect_that!(out, elements_are![eq(&Effect::SteppedDown), eq(&Effect::Committed(committed))]);
    expect_that!(partition.is_contending(), eq(false));
    out.clear();
    // The next ballot is above the other leader's.
    partition.start_election(0, &mut out);
    let is_above = |effect: &Effect| matches!(effect, Effect::Send(_, ConsensusMessage::Prepare { ballot }) if *ballot > higher);
    expect_that!(out.iter().all(is_above), eq(true));
}

#[gtest]
fn leader_keeps_leading_when_it_learns_of_an_older_commit() {
    let mut partition = PartitionReplica::new(NodeId(3), 33, AcceptorState::default());
    partition.set_voters(&VOTERS, &mut Vec::new());
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
