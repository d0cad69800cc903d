//! The consensus on one partition: a single voter, and a leader while voters lag, messages are lost and other leaders contend.

use googletest::prelude::*;
use ivyhatch_control::consensus::acceptor::Acceptor;
use ivyhatch_control::consensus::partition::{CommitRecord, Effect, MAX_IN_FLIGHT, PartitionReplica};
use ivyhatch_protocol::ids::{Ballot, NodeId};
use ivyhatch_protocol::peer::ConsensusMessage;
use ivyhatch_protocol::registers::{
    RegisterKey, RegisterValue, RegisterWrite, StateUpdate, UpdateBase, Version, writes_digest,
};
use ivyhatch_protocol::{MILLISECOND, Nanos};

const VOTERS: [NodeId; 3] = [NodeId(1), NodeId(2), NodeId(3)];

fn promise(ballot: Ballot) -> ConsensusMessage {
    ConsensusMessage::Promise { ballot, accepted: None, committed: 0 }
}

fn key(name: &str) -> RegisterKey {
    RegisterKey::Zone(name.to_owned())
}

/// A change of one register.
fn change(name: &str, value: u8) -> Vec<(RegisterKey, Option<RegisterValue>)> {
    vec![(key(name), Some(vec![value].into()))]
}

/// An update whose contents are one register, with this version.
fn contents(ballot: Ballot, sequence: u64, value: u8) -> StateUpdate {
    let writes = vec![RegisterWrite { key: key("a"), sequence, value: Some(vec![value].into()) }];
    let digest = writes_digest(&writes);
    StateUpdate { version: Version { ballot, sequence }, base: UpdateBase::Since(0), writes, digest }
}

/// The first node as the leader of its first ballot.
fn leader() -> (PartitionReplica, Ballot) {
    let mut partition = PartitionReplica::new(NodeId(1), 11, Acceptor::default());
    partition.set_voters(&VOTERS, &mut Vec::new());
    let mut out = Vec::new();
    partition.start_election(0, &mut out);
    let ballot = Ballot { counter: 1, node: NodeId(1), incarnation: 11 };
    partition.handle(0, NodeId(2), promise(ballot), true, &mut out);
    partition.handle(0, NodeId(3), promise(ballot), true, &mut out);
    (partition, ballot)
}

fn propose(partition: &mut PartitionReplica, name: &str, value: u8) -> Vec<Effect> {
    let mut out = Vec::new();
    partition.propose(0, change(name, value), &mut out);
    out
}

fn accepted(ballot: Ballot, sequence: u64) -> ConsensusMessage {
    ConsensusMessage::Accepted { ballot, sequence }
}

fn receive(
    partition: &mut PartitionReplica,
    now: Nanos,
    from: u32,
    message: ConsensusMessage,
) -> Vec<Effect> {
    let mut out = Vec::new();
    partition.handle(now, NodeId(from), message, true, &mut out);
    out
}

/// The update that the effects send to a voter.
fn sent_update(out: &[Effect], to: u32) -> Option<&StateUpdate> {
    out.iter().find_map(|effect| match effect {
        Effect::Send(node, ConsensusMessage::Accept(update)) if *node == NodeId(to) => Some(update),
        Effect::Broadcast(nodes, ConsensusMessage::Accept(update)) if nodes.contains(&NodeId(to)) => {
            Some(update)
        }
        _ => None,
    })
}

fn sequences(update: &StateUpdate) -> Vec<u64> {
    update.writes.iter().map(|write| write.sequence).collect()
}

#[gtest]
fn leader_steps_down_when_another_leader_has_committed_its_proposal() {
    let (mut partition, ballot) = leader();
    propose(&mut partition, "a", 7);
    receive(&mut partition, 0, 2, accepted(ballot, 1));
    // Another leader has recovered the proposal from the second voter, and committed it under a higher ballot.
    let higher = Ballot { counter: 2, node: NodeId(3), incarnation: 33 };
    let committed = contents(higher, 1, 7);
    let out = receive(&mut partition, 0, 2, ConsensusMessage::Committed(committed.clone()));
    let learned = Effect::Committed(CommitRecord::Learned(committed));
    expect_that!(out, elements_are![eq(&Effect::SteppedDown), eq(&learned)]);
    expect_that!(partition.is_contending(), eq(false));
    let mut out = Vec::new();
    // The next ballot is above the other leader's.
    partition.start_election(0, &mut out);
    let is_above = |effect: &Effect| matches!(effect, Effect::Send(_, ConsensusMessage::Prepare { ballot, .. }) if *ballot > higher);
    expect_that!(out.iter().all(is_above), eq(true));
}

#[gtest]
fn leader_keeps_leading_when_it_learns_of_an_older_commit() {
    let mut partition = PartitionReplica::new(NodeId(3), 33, Acceptor::default());
    partition.set_voters(&VOTERS, &mut Vec::new());
    let mut out = Vec::new();
    partition.start_election(0, &mut out);
    let ballot = Ballot { counter: 1, node: NodeId(3), incarnation: 33 };
    partition.handle(0, NodeId(1), promise(ballot), true, &mut out);
    partition.handle(0, NodeId(2), promise(ballot), true, &mut out);
    let lower = Ballot { counter: 1, node: NodeId(1), incarnation: 11 };
    let committed = contents(lower, 1, 7);
    let out = receive(&mut partition, 0, 2, ConsensusMessage::Committed(committed.clone()));
    expect_that!(out, elements_are![eq(&Effect::Committed(CommitRecord::Learned(committed)))]);
    expect_that!(partition.leader_ballot(), some(eq(ballot)));
}

#[gtest]
fn several_proposals_are_in_flight_and_are_committed_in_their_order() {
    let (mut partition, ballot) = leader();
    for value in 1..=3 {
        let out = propose(&mut partition, "a", value);
        let update = sent_update(&out, 2).expect("a proposal");
        expect_that!(sequences(update), elements_are![eq(&u64::from(value))]);
    }
    let committed = |sequence| {
        let version = Version { ballot, sequence };
        Effect::Committed(CommitRecord::Accepted(version))
    };
    expect_that!(receive(&mut partition, 0, 1, accepted(ballot, 2)), is_empty());
    let out = receive(&mut partition, 0, 2, accepted(ballot, 3));
    expect_that!(out, elements_are![eq(&committed(2))]);
    let out = receive(&mut partition, 0, 3, accepted(ballot, 3));
    expect_that!(out, elements_are![eq(&committed(3))]);
    expect_that!(partition.acceptor().registers().value(&key("a")), some(eq(&vec![3].into())));
}

#[gtest]
fn number_of_proposals_in_flight_is_limited() {
    let (mut partition, ballot) = leader();
    for _ in 0..MAX_IN_FLIGHT {
        expect_true!(partition.can_propose());
        propose(&mut partition, "a", 1);
    }
    expect_false!(partition.can_propose());
    expect_that!(propose(&mut partition, "a", 1), is_empty());
    receive(&mut partition, 0, 1, accepted(ballot, 1));
    receive(&mut partition, 0, 2, accepted(ballot, 1));
    expect_true!(partition.can_propose());
}

#[gtest]
fn voter_that_is_behind_is_sent_the_registers_written_since() {
    let (mut partition, ballot) = leader();
    for (name, value) in [("a", 1), ("b", 2), ("a", 3)] {
        propose(&mut partition, name, value);
    }
    receive(&mut partition, 0, 1, accepted(ballot, 3));
    receive(&mut partition, 0, 2, accepted(ballot, 3));
    // The third voter has missed all but the last proposal.
    let behind = |committed| ConsensusMessage::Behind { ballot, sequence: 3, committed };
    let out = receive(&mut partition, 0, 3, behind(Some(1)));
    let update = sent_update(&out, 3).expect("an update with the missing changes");
    expect_that!(update.base, eq(UpdateBase::Since(1)));
    expect_that!(sequences(update), elements_are![eq(&3), eq(&2)]);
    // A repeated report before the update has arrived causes no resend.
    expect_that!(receive(&mut partition, MILLISECOND, 3, behind(Some(1))), is_empty());
    let out = receive(&mut partition, 400 * MILLISECOND, 3, behind(None));
    let update = sent_update(&out, 3).expect("an update with whole contents");
    expect_that!(update.base, eq(UpdateBase::Empty));
    expect_that!(update.writes.len(), eq(2));
}

#[gtest]
fn unacknowledged_proposal_is_sent_again_after_waits_that_grow() {
    let (mut partition, ballot) = leader();
    propose(&mut partition, "a", 1);
    receive(&mut partition, 20 * MILLISECOND, 2, accepted(ballot, 1));
    let mut sent_at = Vec::new();
    for now in (0..=3000).step_by(100).map(|now| now * MILLISECOND) {
        let mut out = Vec::new();
        partition.tick(now, &mut out);
        expect_that!(sent_update(&out, 2), none());
        if sent_update(&out, 3).is_some() {
            sent_at.push(now / MILLISECOND);
        }
    }
    expect_that!(sent_at, elements_are![eq(&300), eq(&900), eq(&2100)]);
}

#[gtest]
fn acknowledgement_timeout_adapts_to_measured_latency() {
    let (mut partition, ballot) = leader();
    for sequence in 1..=8 {
        let now = sequence * 1000 * MILLISECOND;
        let mut out = Vec::new();
        partition.propose(now, change("a", 1), &mut out);
        for voter in 1..=3 {
            receive(&mut partition, now + 500 * MILLISECOND, voter, accepted(ballot, sequence));
        }
    }
    let mut out = Vec::new();
    partition.propose(9000 * MILLISECOND, change("a", 1), &mut out);
    out.clear();
    partition.tick(9400 * MILLISECOND, &mut out);
    expect_that!(out, is_empty());
    partition.tick(10_500 * MILLISECOND, &mut out);
    expect_true!(sent_update(&out, 2).is_some());
}

#[gtest]
fn new_leader_proposes_the_newest_version_of_a_quorum_again() {
    let mut partition = acceptor();
    let mut out = Vec::new();
    partition.start_election(0, &mut out);
    let ballot = Ballot { counter: 3, node: NodeId(1), incarnation: 11 };
    let newest = contents(Ballot { counter: 2, node: NodeId(3), incarnation: 33 }, 2, 9);
    let message = ConsensusMessage::Promise { ballot, accepted: Some(newest), committed: 0 };
    receive(&mut partition, 0, 3, message);
    let out = receive(&mut partition, 0, 1, promise(ballot));
    let update = sent_update(&out, 2).expect("a proposal");
    expect_that!(update.version, eq(Version { ballot, sequence: 2 }));
    expect_that!(update.writes.first().and_then(|write| write.value.clone()), some(eq(&vec![9].into())));
    // No new change is proposed before the recovered version is committed.
    expect_false!(partition.can_propose());
    receive(&mut partition, 0, 1, accepted(ballot, 2));
    receive(&mut partition, 0, 2, accepted(ballot, 2));
    expect_true!(partition.can_propose());
}

#[gtest]
fn promise_that_does_not_apply_is_requested_whole() {
    let mut partition = acceptor();
    partition.start_election(0, &mut Vec::new());
    let ballot = Ballot { counter: 3, node: NodeId(1), incarnation: 11 };
    let mut diverged = contents(ballot_of(2), 2, 9);
    diverged.digest += 1;
    let message = ConsensusMessage::Promise { ballot, accepted: Some(diverged), committed: 0 };
    let out = receive(&mut partition, 0, 3, message);
    expect_that!(out.first(), some(eq(&Effect::Diverged)));
    let requests_whole = |effect: &Effect| {
        matches!(effect, Effect::Send(_, ConsensusMessage::Prepare { committed: None, .. }))
    };
    expect_true!(out.iter().any(requests_whole));
    expect_that!(partition.leader_ballot(), none());
}

/// A voter that has promised the second ballot and accepted a change under it.
fn acceptor() -> PartitionReplica {
    let mut partition = PartitionReplica::new(NodeId(1), 11, Acceptor::default());
    partition.set_voters(&VOTERS, &mut Vec::new());
    let update = contents(ballot_of(2), 1, 7);
    partition.handle(0, NodeId(2), ConsensusMessage::Accept(update), true, &mut Vec::new());
    partition
}

fn ballot_of(counter: u64) -> Ballot {
    Ballot { counter, node: NodeId(2), incarnation: 22 }
}

fn prepare(ballot: Ballot) -> ConsensusMessage {
    ConsensusMessage::Prepare { ballot, committed: Some(0), accepted: Version::default() }
}

fn effects(partition: &mut PartitionReplica, message: ConsensusMessage, is_voter: bool) -> Vec<Effect> {
    let mut out = Vec::new();
    partition.handle(0, NodeId(3), message, is_voter, &mut out);
    out
}

#[gtest]
fn prepare_and_accept_below_the_promise_are_rejected() {
    let rejected = Effect::Send(NodeId(3), ConsensusMessage::Reject { promised: ballot_of(2) });
    let update = contents(ballot_of(1), 2, 8);
    for message in [prepare(ballot_of(1)), ConsensusMessage::Accept(update)] {
        expect_that!(effects(&mut acceptor(), message, true), elements_are![eq(&rejected)]);
    }
}

#[gtest]
fn promise_is_stored_and_carries_what_the_candidate_lacks() {
    let mut partition = acceptor();
    let accepted = Some(contents(ballot_of(2), 1, 7));
    let ballot = ballot_of(3);
    let answer = ConsensusMessage::Promise { ballot, accepted, committed: 0 };
    let promised = Effect::Promise(ballot, NodeId(3), answer);
    let out = effects(&mut partition, prepare(ballot), true);
    expect_that!(out, elements_are![eq(&promised)]);
    expect_that!(partition.acceptor().promised(), eq(ballot));
    // A candidate that has accepted the same version is sent no update.
    let (committed, accepted) = (Some(0), partition.acceptor().accepted());
    let message = ConsensusMessage::Prepare { ballot, committed, accepted };
    let answer = ConsensusMessage::Promise { ballot, accepted: None, committed: 0 };
    let promised = Effect::Promise(ballot, NodeId(3), answer);
    expect_that!(effects(&mut partition, message, true), elements_are![eq(&promised)]);
}

#[gtest]
fn update_that_does_not_apply_is_not_accepted() {
    let mut partition = acceptor();
    let ballot = ballot_of(2);
    let missing = StateUpdate { base: UpdateBase::Since(3), ..contents(ballot, 4, 8) };
    let behind = ConsensusMessage::Behind { ballot, sequence: 4, committed: Some(0) };
    let out = effects(&mut partition, ConsensusMessage::Accept(missing), true);
    expect_that!(out, elements_are![eq(&Effect::Send(NodeId(3), behind))]);
    let mut diverged = contents(ballot, 4, 8);
    diverged.digest += 1;
    let out = effects(&mut partition, ConsensusMessage::Accept(diverged), true);
    let whole = ConsensusMessage::Behind { ballot, sequence: 4, committed: None };
    expect_that!(out, elements_are![eq(&Effect::Diverged), eq(&Effect::Send(NodeId(3), whole))]);
    expect_that!(partition.acceptor().accepted(), eq(Version { ballot, sequence: 1 }));
}

#[gtest]
fn change_that_comes_twice_is_acknowledged_twice_and_stored_once() {
    let mut partition = acceptor();
    let again = ConsensusMessage::Accept(contents(ballot_of(2), 1, 7));
    let acknowledged = Effect::SendWhenDurable(NodeId(3), accepted(ballot_of(2), 1));
    expect_that!(effects(&mut partition, again, true), elements_are![eq(&acknowledged)]);
}

#[gtest]
fn replica_that_is_no_voter_does_not_answer_requests_for_its_vote() {
    let update = contents(ballot_of(9), 2, 8);
    let confirm = ConsensusMessage::Confirm { ballot: ballot_of(2), request_id: 1 };
    for message in [prepare(ballot_of(9)), ConsensusMessage::Accept(update), confirm] {
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
fn commit_of_an_unknown_change_is_fetched() {
    let mut partition = acceptor();
    let commit = |sequence| ConsensusMessage::Commit { ballot: ballot_of(2), sequence };
    let fetch = Effect::Send(NodeId(3), ConsensusMessage::Fetch { committed: Some(0) });
    expect_that!(effects(&mut partition, commit(2), true), elements_are![eq(&fetch)]);
    let version = Version { ballot: ballot_of(2), sequence: 1 };
    let out = effects(&mut partition, commit(1), true);
    expect_that!(out, elements_are![eq(&Effect::Committed(CommitRecord::Accepted(version)))]);
    expect_that!(partition.committed_sequence(), eq(1));
}

#[gtest]
fn fetch_is_answered_with_the_registers_written_since() {
    let (mut partition, ballot) = leader();
    for (name, value) in [("a", 1), ("b", 2)] {
        propose(&mut partition, name, value);
    }
    receive(&mut partition, 0, 1, accepted(ballot, 2));
    receive(&mut partition, 0, 2, accepted(ballot, 2));
    let fetch = |committed| ConsensusMessage::Fetch { committed };
    let out = receive(&mut partition, 0, 3, fetch(Some(1)));
    let Some(Effect::Send(_, ConsensusMessage::Committed(update))) = out.first() else {
        panic!("expected committed contents, got {out:?}");
    };
    expect_that!(sequences(update), elements_are![eq(&2)]);
    expect_that!(receive(&mut partition, 0, 3, fetch(Some(2))), is_empty());
}
