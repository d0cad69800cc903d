//! Replacement of a voter: when a successor gets the voter's seat, when the successor votes, and when the former voter may stop.

mod common;

use common::{
    DRAIN_TIMEOUT, heartbeat, membership, node_config, replica, sent_to, step, step_and_store, voter, zone,
};
use googletest::prelude::*;
use ivyhatch_control::membership::rules::{Candidate, VoterHealth, next_membership};
use ivyhatch_control::storage::durable_state::DurableState;
use ivyhatch_control::{ControlPlane, Input, Output, Record};
use ivyhatch_protocol::MILLISECOND;
use ivyhatch_protocol::ids::{Ballot, NodeId, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{
    ConsensusMessage, Heartbeat, Membership, PeerMessage, ReplicaStatus, TransferredState, Voter,
};
use ivyhatch_protocol::registers::{
    RegisterKey, RegisterWrite, StateUpdate, UpdateBase, Version, writes_digest,
};
use speedy::Readable;

const SUCCESSOR: u32 = 4;

/// The membership in which the fourth node has taken the seat of the third.
fn replaced() -> Membership {
    membership().with_replacement(replica(3), replica(SUCCESSOR), &zone(3))
}

fn heartbeat_message(heartbeat: Heartbeat) -> (u32, PeerMessage) {
    (heartbeat.incarnation as u32, PeerMessage::Heartbeat(heartbeat))
}

/// The heartbeat of a replica without a seat.
fn learner(node: u32, in_zone: u32, number: u64) -> Heartbeat {
    Heartbeat { status: ReplicaStatus::Learner, zone: zone(in_zone), ..heartbeat(node, number) }
}

fn without(node: u32, heartbeat: Heartbeat) -> Heartbeat {
    let reachable = heartbeat.reachable.iter().filter(|other| **other != NodeId(node)).copied().collect();
    Heartbeat { reachable, ..heartbeat }
}

/// The membership that a node proposes once the second node has promised its ballot.
fn proposed(node: &mut ControlPlane, at_ms: u64, out: &[Output]) -> Option<Membership> {
    let ballot = sent_to(out, 2).into_iter().find_map(|message| match message {
        PeerMessage::Consensus {
            partition: PartitionId::MEMBERSHIP,
            message: ConsensusMessage::Prepare { ballot, .. },
            ..
        } => Some(*ballot),
        _ => None,
    })?;
    let message = ConsensusMessage::Promise { ballot, accepted: None, committed: 0 };
    let promise = PeerMessage::Consensus { generation: 1, partition: PartitionId::MEMBERSHIP, message };
    let out = step_and_store(node, at_ms, &[(2, promise)]);
    sent_to(&out, 2).into_iter().find_map(|message| match message {
        PeerMessage::Consensus {
            partition: PartitionId::MEMBERSHIP,
            message: ConsensusMessage::Accept(update),
            ..
        } => Membership::read_from_buffer(update.writes.first()?.value.as_ref()?).ok(),
        _ => None,
    })
}

/// The membership that the leader proposes, and the time of the proposal in ms, while it receives these heartbeats every 100 ms.
fn proposal(mut received: impl FnMut(u64) -> Vec<Heartbeat>) -> Option<(u64, Membership)> {
    let mut node = voter(1, membership());
    (1..=60).find_map(|step| {
        let at_ms = step * 100;
        let received: Vec<(u32, PeerMessage)> = received(at_ms).into_iter().map(heartbeat_message).collect();
        let out = step_and_store(&mut node, at_ms, &received);
        proposed(&mut node, at_ms, &out).map(|membership| (at_ms, membership))
    })
}

#[gtest]
fn unreachable_voter_is_replaced_by_a_successor_in_its_zone() {
    let received = |at_ms| {
        let mut received = vec![without(3, heartbeat(2, at_ms)), learner(SUCCESSOR, 3, at_ms)];
        if at_ms < 1_000 {
            received.push(heartbeat(3, at_ms));
        }
        received
    };
    let (at_ms, next) = proposal(received).expect("a membership is proposed");
    expect_that!(next, eq(&replaced()));
    expect_that!(at_ms, all!(ge(2_900), le(3_200)));
}

#[gtest]
fn unreachable_voter_keeps_its_seat_while_its_zone_has_no_successor() {
    let received = |at_ms| vec![without(3, heartbeat(2, at_ms)), learner(SUCCESSOR, 2, at_ms)];
    expect_that!(proposal(received), none());
}

#[gtest]
fn voter_that_another_voter_can_reach_keeps_its_seat() {
    let received = |at_ms| vec![heartbeat(2, at_ms), learner(SUCCESSOR, 3, at_ms)];
    expect_that!(proposal(received), none());
}

#[gtest]
fn reachable_voter_keeps_its_seat() {
    let received = |at_ms| vec![heartbeat(2, at_ms), heartbeat(3, at_ms), learner(SUCCESSOR, 3, at_ms)];
    expect_that!(proposal(received), none());
}

#[gtest]
fn draining_voter_is_replaced_at_once() {
    let received = |at_ms| {
        let draining = Heartbeat { draining: at_ms >= 1_000, ..heartbeat(3, at_ms) };
        vec![heartbeat(2, at_ms), draining, learner(SUCCESSOR, 3, at_ms)]
    };
    let (at_ms, next) = proposal(received).expect("a membership is proposed");
    expect_that!(next, eq(&replaced()));
    expect_that!(at_ms, le(1_100));
}

#[gtest]
fn machine_whose_disk_was_lost_gets_its_seat_back_as_another_replica() {
    let received = |at_ms| {
        let wiped = Heartbeat { disk: Some(999), ..learner(3, 3, at_ms) };
        vec![heartbeat(2, at_ms), wiped]
    };
    let (at_ms, next) = proposal(received).expect("a membership is proposed");
    let new_replica = ReplicaId { node: NodeId(3), disk: 999 };
    expect_that!(next, eq(&membership().with_replacement(replica(3), new_replica, &zone(3))));
    expect_that!(at_ms, le(200));
}

#[gtest]
fn node_without_a_quorum_proposes_no_membership() {
    let received = |at_ms| vec![learner(SUCCESSOR, 3, at_ms)];
    expect_that!(proposal(received), none());
}

fn prepare(from: u32, generation: u64) -> (u32, PeerMessage) {
    let ballot = Ballot { counter: generation, node: NodeId(from), incarnation: 7 };
    (
        from,
        PeerMessage::Consensus {
            generation,
            partition: PartitionId(0),
            message: ConsensusMessage::Prepare { ballot, committed: Some(0), accepted: Version::default() },
        },
    )
}

fn promises(out: &[Output], to: u32) -> bool {
    sent_to(out, to).into_iter().any(|message| {
        let is_promise = |message: &ConsensusMessage| {
            matches!(message, ConsensusMessage::Promise { .. } | ConsensusMessage::LegacyPromise { .. })
        };
        matches!(message, PeerMessage::Consensus { message, .. } if is_promise(message))
    })
}

#[gtest]
fn message_of_an_older_membership_is_answered_only_with_the_newer_one() {
    let mut node = voter(1, membership());
    let out = step_and_store(&mut node, 100, &[prepare(3, 1)]);
    expect_true!(promises(&out, 3));
    step_and_store(&mut node, 200, &[(2, PeerMessage::Membership(replaced()))]);
    let out = step_and_store(&mut node, 700, &[prepare(3, 1)]);
    expect_false!(promises(&out, 3));
    expect_that!(sent_to(&out, 3), contains(eq(&&PeerMessage::Membership(replaced()))));
    let out = step_and_store(&mut node, 800, &[prepare(2, 2)]);
    expect_true!(promises(&out, 2));
}

#[gtest]
fn removed_voter_does_not_vote_and_transfers_its_state() {
    let mut node = voter(3, membership());
    expect_that!(node.status(), eq(ReplicaStatus::Voter));
    step_and_store(&mut node, 100, &[(2, PeerMessage::Membership(replaced()))]);
    expect_that!(node.status(), eq(ReplicaStatus::Removed));
    let out = step_and_store(&mut node, 200, &[prepare(2, 2)]);
    expect_false!(promises(&out, 2));
    let request = PeerMessage::StateTransferRequest { incarnation: 4, generation: 2 };
    let out = step_and_store(&mut node, 300, &[(SUCCESSOR, request)]);
    let is_transfer =
        |message: &&&PeerMessage| matches!(message, PeerMessage::StateTransfer { generation: 2, .. });
    expect_that!(sent_to(&out, SUCCESSOR).iter().filter(is_transfer).count(), eq(1));
}

#[gtest]
fn no_state_is_transferred_under_another_membership_than_the_requested_one() {
    let mut node = voter(2, membership());
    let request = PeerMessage::StateTransferRequest { incarnation: 4, generation: 2 };
    let out = step_and_store(&mut node, 100, &[(SUCCESSOR, request)]);
    let is_transfer = |message: &&&PeerMessage| matches!(message, PeerMessage::StateTransfer { .. });
    expect_that!(sent_to(&out, SUCCESSOR).iter().filter(is_transfer).count(), eq(0));
}

/// An update with one register, whose value is the counter of the ballot.
fn update(counter: u64, sequence: u64) -> StateUpdate {
    let ballot = Ballot { counter, node: NodeId(1), incarnation: 1 };
    let (key, value) = (RegisterKey::Zone("a".to_owned()), Some(vec![counter as u8].into()));
    let writes = vec![RegisterWrite { key, sequence, value }];
    let digest = writes_digest(&writes);
    let base = UpdateBase::Since(0);
    StateUpdate { version: Version { ballot, sequence }, base, writes, digest }
}

fn state(counter: u64, sequence: u64, promised: u64) -> Vec<(PartitionId, TransferredState)> {
    let promised = Ballot { counter: promised, node: NodeId(1), incarnation: 1 };
    vec![(PartitionId(1), TransferredState { promised, accepted: Some(update(counter, sequence)) })]
}

fn transfer(
    from: u32,
    generation: u64,
    partitions: Vec<(PartitionId, TransferredState)>,
) -> (u32, PeerMessage) {
    let disk = replica(from).disk;
    (from, PeerMessage::RegisterTransfer { incarnation: 11, generation, disk, partitions })
}

/// A successor that has received the membership in which it has a seat.
fn successor() -> ControlPlane {
    let own_disk = Record::Formatted { replica: replica(SUCCESSOR), first_start: false };
    let mut node = ControlPlane::new(node_config(SUCCESSOR, false), [own_disk].into_iter().collect(), 0);
    step_and_store(&mut node, 100, &[(2, PeerMessage::Membership(replaced()))]);
    node
}

#[gtest]
fn successor_votes_once_the_newest_state_of_a_quorum_is_durable() {
    let mut node = successor();
    expect_that!(node.status(), eq(ReplicaStatus::Learner));
    step_and_store(&mut node, 200, &[transfer(1, 2, state(3, 5, 3))]);
    expect_that!(node.status(), eq(ReplicaStatus::Learner));
    let out = step(&mut node, 300, &[transfer(2, 2, state(2, 4, 9))]);
    expect_that!(node.status(), eq(ReplicaStatus::Learner));
    let stored: Vec<Record> = out
        .iter()
        .filter_map(|output| match output {
            Output::Store(_, records) => Some(records.clone()),
            _ => None,
        })
        .flatten()
        .collect();
    let ballot = |counter| Ballot { counter, node: NodeId(1), incarnation: 1 };
    // The newest accepted update, from the first node, and the highest promise, from the second node.
    expect_that!(stored, contains(eq(&Record::Promised(PartitionId(1), ballot(9)))));
    expect_that!(stored, contains(eq(&Record::AcceptedUpdate(PartitionId(1), update(3, 5)))));
    expect_that!(stored, contains(eq(&Record::Joined(2))));
    for output in out {
        if let Output::Store(token, _) = output {
            node.handle(400 * MILLISECOND, Input::Stored(token), &mut Vec::new());
        }
    }
    expect_that!(node.status(), eq(ReplicaStatus::Voter));
}

#[gtest]
fn state_sent_twice_by_one_replica_counts_once() {
    let mut node = successor();
    let once = transfer(1, 2, state(3, 5, 3));
    step_and_store(&mut node, 200, &[once.clone(), once.clone(), once]);
    expect_that!(node.status(), eq(ReplicaStatus::Learner));
}

#[gtest]
fn state_of_a_replica_that_had_no_seat_does_not_count() {
    let mut node = successor();
    let of_another_disk = PeerMessage::RegisterTransfer {
        incarnation: 11,
        generation: 2,
        disk: 999,
        partitions: state(3, 5, 3),
    };
    step_and_store(&mut node, 200, &[(2, of_another_disk), transfer(1, 2, state(3, 5, 3))]);
    expect_that!(node.status(), eq(ReplicaStatus::Learner));
}

#[gtest]
fn state_of_another_generation_does_not_count() {
    let mut node = successor();
    step_and_store(&mut node, 200, &[transfer(1, 1, state(3, 5, 3)), transfer(2, 1, state(3, 5, 3))]);
    expect_that!(node.status(), eq(ReplicaStatus::Learner));
}

#[gtest]
fn state_requested_by_an_earlier_process_does_not_count() {
    let mut node = successor();
    let of_earlier = |from| {
        let disk = replica(from).disk;
        let partitions = state(3, 5, 3);
        (from, PeerMessage::RegisterTransfer { incarnation: 10, generation: 2, disk, partitions })
    };
    step_and_store(&mut node, 200, &[of_earlier(1), of_earlier(2)]);
    expect_that!(node.status(), eq(ReplicaStatus::Learner));
}

#[gtest]
fn successor_that_restarts_before_its_state_is_durable_requests_it_again() {
    let mut node = successor();
    step(&mut node, 200, &[transfer(1, 2, state(3, 5, 3)), transfer(2, 2, state(3, 5, 3))]);
    let records = [
        Record::Formatted { replica: replica(SUCCESSOR), first_start: false },
        Record::Membership(replaced()),
    ];
    let mut node = ControlPlane::new(node_config(SUCCESSOR, false), records.into_iter().collect(), 0);
    expect_that!(node.status(), eq(ReplicaStatus::Learner));
    let out = step(&mut node, 100, &[]);
    let is_request =
        |message: &&&PeerMessage| matches!(message, PeerMessage::StateTransferRequest { generation: 2, .. });
    expect_that!(sent_to(&out, 1).iter().filter(is_request).count(), eq(1));
    expect_that!(sent_to(&out, 3).iter().filter(is_request).count(), eq(1));
}

#[gtest]
fn former_voter_that_returns_in_a_later_generation_collects_the_state_again() {
    let mut node = voter(3, membership());
    let back = replaced().with_replacement(replica(SUCCESSOR), replica(3), &zone(3));
    step_and_store(&mut node, 100, &[(2, PeerMessage::Membership(back))]);
    expect_that!(node.status(), eq(ReplicaStatus::Learner));
}

fn is_drained(out: &[Output]) -> bool {
    out.contains(&Output::Drained)
}

fn drain(node: &mut ControlPlane, at_ms: u64) {
    node.handle(at_ms * MILLISECOND, Input::Drain, &mut Vec::new());
}

#[gtest]
fn draining_voter_is_drained_once_others_lead() {
    let mut node = voter(3, membership());
    let received =
        |number| [heartbeat_message(heartbeat(1, number)), heartbeat_message(heartbeat(2, number))];
    step_and_store(&mut node, 100, &received(1));
    drain(&mut node, 200);
    expect_false!(is_drained(&step_and_store(&mut node, 300, &received(2))));
    expect_true!(is_drained(&step_and_store(&mut node, 700, &received(3))));
}

#[gtest]
fn draining_voter_that_the_quorum_needs_stays_until_the_drain_timeout() {
    let mut node = voter(3, membership());
    let received = |number| [heartbeat_message(heartbeat(2, number))];
    step_and_store(&mut node, 100, &received(1));
    drain(&mut node, 200);
    expect_false!(is_drained(&step_and_store(&mut node, 5_000, &received(2))));
    let timeout_ms = 200 + DRAIN_TIMEOUT / MILLISECOND;
    expect_true!(is_drained(&step_and_store(&mut node, timeout_ms, &received(3))));
}

#[gtest]
fn draining_voter_with_a_successor_stays_until_the_successor_votes() {
    let mut node = voter(3, membership());
    let others = |generation: u64, number| {
        [1, 2].map(|other| heartbeat_message(Heartbeat { generation, ..heartbeat(other, number) }))
    };
    let candidate = |number| heartbeat_message(learner(SUCCESSOR, 3, number));
    step_and_store(&mut node, 100, &[others(1, 1).to_vec(), vec![candidate(1)]].concat());
    drain(&mut node, 200);
    let out = step_and_store(&mut node, 1_000, &[others(1, 2).to_vec(), vec![candidate(2)]].concat());
    expect_false!(is_drained(&out));
    step_and_store(&mut node, 1_100, &[(2, PeerMessage::Membership(replaced()))]);
    // The successor has the seat, but lacks the state to vote.
    let joining = heartbeat_message(Heartbeat { generation: 2, ..learner(SUCCESSOR, 3, 3) });
    let out = step_and_store(&mut node, 1_200, &[others(2, 3).to_vec(), vec![joining]].concat());
    expect_false!(is_drained(&out));
    let joined = heartbeat_message(Heartbeat { generation: 2, ..heartbeat(SUCCESSOR, 4) });
    let out = step_and_store(&mut node, 1_300, &[others(2, 4).to_vec(), vec![joined]].concat());
    expect_true!(is_drained(&out));
}

#[gtest]
fn node_without_a_seat_is_drained_soon() {
    let mut node = ControlPlane::new(node_config(SUCCESSOR, false), DurableState::default(), 0);
    drain(&mut node, 100);
    expect_true!(is_drained(&step_and_store(&mut node, 600, &[])));
}

#[gtest]
fn state_that_does_not_apply_is_requested_whole() {
    let mut node = successor();
    let mut diverged = update(3, 5);
    diverged.digest += 1;
    let promised = diverged.version.ballot;
    let state = vec![(PartitionId(1), TransferredState { promised, accepted: Some(diverged) })];
    let request_committed = |out: &[Output]| {
        sent_to(out, 1).into_iter().find_map(|message| match message {
            PeerMessage::RegisterTransferRequest { committed, .. } => Some(committed.len()),
            _ => None,
        })
    };
    let heartbeats = [heartbeat_message(Heartbeat { generation: 2, ..heartbeat(1, 1) })];
    let out = step_and_store(&mut node, 400, &heartbeats);
    expect_that!(request_committed(&out), some(eq(PartitionId::control().count())));
    step_and_store(&mut node, 500, &[transfer(1, 2, state)]);
    expect_that!(request_committed(&step_and_store(&mut node, 900, &[])), some(eq(0)));
}

#[gtest]
fn voter_of_an_earlier_release_is_asked_for_its_whole_state() {
    let mut node = successor();
    let earlier = Heartbeat { generation: 2, committed: vec![0; 9], ..heartbeat(1, 1) };
    let out = step_and_store(&mut node, 400, &[heartbeat_message(earlier)]);
    let is_request = |message: &&PeerMessage| matches!(message, PeerMessage::StateTransferRequest { .. });
    expect_that!(sent_to(&out, 1).into_iter().filter(|message| is_request(message)).count(), eq(1));
}

/// The health of voters: as listed by node, and healthy for all others.
fn health_of(unhealthy: &[(u32, VoterHealth)]) -> impl Fn(&Voter) -> VoterHealth + '_ {
    |voter| {
        let known = unhealthy.iter().find(|(node, _)| NodeId(*node) == voter.replica.node);
        known.map_or(VoterHealth::Healthy, |(_, health)| *health)
    }
}

fn candidate(node: u32, in_zone: u32) -> Candidate {
    Candidate { replica: replica(node), zone: zone(in_zone) }
}

#[gtest]
fn lost_voter_is_replaced_by_a_candidate_of_another_zone() {
    let candidates = [candidate(SUCCESSOR, 2)];
    let next = |health| next_membership(&membership(), &candidates, health_of(&[(3, health)]));
    expect_that!(next(VoterHealth::Unreachable), none());
    let expected = membership().with_replacement(replica(3), replica(SUCCESSOR), &zone(2));
    expect_that!(next(VoterHealth::Lost), some(eq(&expected)));
}

#[gtest]
fn candidate_of_the_own_zone_is_preferred_to_one_of_another() {
    let candidates = [candidate(5, 2), candidate(SUCCESSOR, 3)];
    let next = next_membership(&membership(), &candidates, health_of(&[(3, VoterHealth::Lost)]));
    expect_that!(next, some(eq(&replaced())));
}

#[gtest]
fn seat_goes_back_to_a_zone_without_a_voter() {
    let moved = membership().with_replacement(replica(3), replica(SUCCESSOR), &zone(2));
    let candidates = [candidate(6, 3)];
    let next = next_membership(&moved, &candidates, health_of(&[])).expect("a membership is proposed");
    let zones: Vec<&str> = next.voters.iter().map(|voter| voter.zone.as_str()).collect();
    expect_that!(zones, unordered_elements_are![eq(&zone(1)), eq(&zone(2)), eq(&zone(3))]);
    // Of the two voters of one zone, the unhealthy one loses its seat.
    let next = next_membership(&moved, &candidates, health_of(&[(2, VoterHealth::Unreachable)]));
    let next = next.expect("a membership is proposed");
    expect_that!(next.voter(replica(2)), none());
    expect_that!(next.voter(replica(SUCCESSOR)), some(anything()));
    // A candidate of a zone that already has a voter gets no seat.
    expect_that!(next_membership(&membership(), &[candidate(6, 3)], health_of(&[])), none());
}

#[gtest]
fn voter_is_lost_after_ninety_seconds_of_silence() {
    let mut node = voter(1, membership());
    let mut replaced_after = None;
    for at_ms in (100..=95_000).step_by(100) {
        let received = [without(3, heartbeat(2, at_ms)), learner(SUCCESSOR, 2, at_ms)];
        let out = step_and_store(&mut node, at_ms, &received.map(heartbeat_message));
        if proposed(&mut node, at_ms, &out).is_some() {
            replaced_after.get_or_insert(at_ms);
        }
    }
    expect_that!(replaced_after, some(all!(ge(90_000), le(90_300))));
}
