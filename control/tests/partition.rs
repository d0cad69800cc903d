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

/// A voter that has promised the second ballot and accepted a value under it.
fn acceptor() -> PartitionReplica {
    let mut partition = PartitionReplica::new(NodeId(1), 11, AcceptorState::default());
    partition.set_voters(&VOTERS, &mut Vec::new());
    let value = AcceptedValue { ballot: ballot_of(2), sequence: 1, value: vec![7] };
    partition.handle(0, NodeId(2), ConsensusMessage::Accept(value), true, &mut Vec::new());
    partition
}

fn ballot_of(counter: u64) -> Ballot {
    Ballot { counter, node: NodeId(2), incarnation: 22 }
}

fn effects(partition: &mut PartitionReplica, message: ConsensusMessage, is_voter: bool) -> Vec<Effect> {
    let mut out = Vec::new();
    partition.handle(0, NodeId(3), message, is_voter, &mut out);
    out
}

#[gtest]
fn prepare_and_accept_below_the_promise_are_rejected() {
    let rejected = Effect::Send(NodeId(3), ConsensusMessage::Reject { promised: ballot_of(2) });
    let value = AcceptedValue { ballot: ballot_of(1), sequence: 2, value: vec![8] };
    for message in [ConsensusMessage::Prepare { ballot: ballot_of(1) }, ConsensusMessage::Accept(value)] {
        expect_that!(effects(&mut acceptor(), message, true), elements_are![eq(&rejected)]);
    }
}

#[gtest]
fn promise_is_stored_and_carries_the_accepted_value() {
    let mut partition = acceptor();
    let accepted = partition.state().accepted.clone();
    let ballot = ballot_of(3);
    let answer = ConsensusMessage::Promise { ballot, accepted };
    let promised = Effect::Promise(ballot, NodeId(3), answer);
    let out = effects(&mut partition, ConsensusMessage::Prepare { ballot }, true);
    expect_that!(out, elements_are![eq(&promised)]);
    expect_that!(partition.state().promised, eq(ballot));
}

#[gtest]
fn replica_that_is_no_voter_does_not_answer_requests_for_its_vote() {
    let value = AcceptedValue { ballot: ballot_of(9), sequence: 2, value: vec![8] };
    let confirm = ConsensusMessage::Confirm { ballot: ballot_of(2), request_id: 1 };
    let prepare = ConsensusMessage::Prepare { ballot: ballot_of(9) };
    for message in [prepare, ConsensusMessage::Accept(value), confirm] {
        expect_that!(effects(&mut acceptor(), message, false), is_empty());
    }
}

#[gtest]
fn only_the_promised_ballot_is_confirmed() {
    let confirm = |counter| ConsensusMessage::Confirm { ballot: ballot_of(counter), request_id: 5 };
    let confirmed = ConsensusMessage::Confirmed { ballot: ballot_of(2), request_id: 5 };
    let rejected = ConsensusMessage::Reject { promised: ballot_of(2) };
    let sent = |message| Effect::Send(NodeId(3), message);
    expect_that!(effects(&mut acceptor(), confirm(2), true), elements_are![eq(&sent(confirmed))]);
    expect_that!(effects(&mut acceptor(), confirm(1), true), elements_are![eq(&sent(rejected))]);
}

#[gtest]
fn commit_of_an_unknown_value_is_fetched() {
    let mut partition = acceptor();
    let commit = |sequence| ConsensusMessage::Commit { ballot: ballot_of(2), sequence };
    let fetch = Effect::Send(NodeId(3), ConsensusMessage::Fetch { after: 0 });
    expect_that!(effects(&mut partition, commit(2), true), elements_are![eq(&fetch)]);
    let committed = partition.state().accepted.clone().expect("a value");
    let out = effects(&mut partition, commit(1), true);
    expect_that!(out, elements_are![eq(&Effect::Committed(committed))]);
    expect_that!(partition.committed_sequence(), eq(1));
}
