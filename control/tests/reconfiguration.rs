//! How a replica takes another's seat: by what evidence, when it counts, and what becomes of the one that had the seat.

mod common;

use common::{GRACE, hear, hear_and_store, heartbeat, identity, membership, replica, sent_to, voter, zone};
use googletest::prelude::*;
use ivyhatch_control::durable_state::DurableState;
use ivyhatch_control::{ControlPlane, Input, Output, Record};
use ivyhatch_protocol::MILLISECOND;
use ivyhatch_protocol::ids::{Ballot, NodeId, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{
    AcceptedValue, AcceptorState, ConsensusMessage, Heartbeat, Membership, PeerMessage, ReplicaStatus,
};
use speedy::Readable;

const SUCCESSOR: u32 = 4;

/// The membership in which the fourth node has taken the seat of the third.
fn replaced() -> Membership {
    membership().with_replacement(replica(3), replica(SUCCESSOR), &zone(3))
}

fn beat(heartbeat: Heartbeat) -> (u32, PeerMessage) {
    (heartbeat.incarnation as u32, PeerMessage::Heartbeat(heartbeat))
}

/// The heartbeat of a replica that follows and has no seat.
fn learner(node: u32, in_zone: u32, number: u64) -> Heartbeat {
    Heartbeat { status: ReplicaStatus::Learner, zone: zone(in_zone), ..heartbeat(node, number) }
}

fn without(node: u32, heartbeat: Heartbeat) -> Heartbeat {
    let reachable = heartbeat.reachable.iter().filter(|other| **other != NodeId(node)).copied().collect();
    Heartbeat { reachable, ..heartbeat }
}

/// The membership that this node proposes, once the second node has promised its ballot.
fn proposed(node: &mut ControlPlane, at_ms: u64, out: &[Output]) -> Option<Membership> {
    let ballot = sent_to(out, 2).into_iter().find_map(|message| match message {
        PeerMessage::Consensus {
            partition: PartitionId::MEMBERSHIP,
            message: ConsensusMessage::Prepare { ballot },
            ..
        } => Some(*ballot),
        _ => None,
    })?;
    let message = ConsensusMessage::Promise { ballot, accepted: None };
    let promise = PeerMessage::Consensus { generation: 1, partition: PartitionId::MEMBERSHIP, message };
    let out = hear_and_store(node, at_ms, &[(2, promise)]);
    sent_to(&out, 2).into_iter().find_map(|message| match message {
        PeerMessage::Consensus {
            partition: PartitionId::MEMBERSHIP,
            message: ConsensusMessage::Accept(value),
            ..
        } => Membership::read_from_buffer(&value.value).ok(),
        _ => None,
    })
}

/// What the leader of the membership proposes while it hears these heartbeats from 100 ms on, and at which time.
fn proposal(mut heard: impl FnMut(u64) -> Vec<Heartbeat>) -> Option<(u64, Membership)> {
    let mut node = voter(1, membership());
    (1..=60).find_map(|step| {
        let at_ms = step * 100;
        let heard: Vec<(u32, PeerMessage)> = heard(at_ms).into_iter().map(beat).collect();
        let out = hear_and_store(&mut node, at_ms, &heard);
        proposed(&mut node, at_ms, &out).map(|membership| (at_ms, membership))
    })
}

#[gtest]
fn a_silent_voter_gives_its_seat_to_a_successor_in_its_zone() {
    let heard = |at_ms| {
        let mut heard = vec![without(3, heartbeat(2, at_ms)), learner(SUCCESSOR, 3, at_ms)];
        if at_ms < 1_000 {
            heard.push(heartbeat(3, at_ms));
        }
        heard
    };
    let (at_ms, next) = proposal(heard).expect("it is proposed");
    expect_that!(next, eq(&replaced()));
    expect_that!(at_ms, all!(ge(2_900), le(3_200)));
}

#[gtest]
fn a_silent_voter_keeps_its_seat_while_there_is_no_successor_in_its_zone() {
    let heard = |at_ms| vec![without(3, heartbeat(2, at_ms)), learner(SUCCESSOR, 2, at_ms)];
    expect_that!(proposal(heard), none());
}

#[gtest]
fn a_voter_that_another_voter_hears_keeps_its_seat() {
    let heard = |at_ms| vec![heartbeat(2, at_ms), learner(SUCCESSOR, 3, at_ms)];
    expect_that!(proposal(heard), none());
}

#[gtest]
fn a_voter_that_is_there_keeps_its_seat() {
    let heard = |at_ms| vec![heartbeat(2, at_ms), heartbeat(3, at_ms), learner(SUCCESSOR, 3, at_ms)];
    expect_that!(proposal(heard), none());
}

#[gtest]
fn a_voter_that_is_leaving_gives_its_seat_up_at_once() {
    let heard = |at_ms| {
        let leaving = Heartbeat { draining: at_ms >= 1_000, ..heartbeat(3, at_ms) };
        vec![heartbeat(2, at_ms), leaving, learner(SUCCESSOR, 3, at_ms)]
    };
    let (at_ms, next) = proposal(heard).expect("it is proposed");
    expect_that!(next, eq(&replaced()));
    expect_that!(at_ms, le(1_100));
}

#[gtest]
fn a_machine_whose_disk_was_lost_gets_its_seat_back_as_another_replica() {
    let heard = |at_ms| {
        let wiped = Heartbeat { disk: Some(999), ..learner(3, 3, at_ms) };
        vec![heartbeat(2, at_ms), wiped]
    };
    let (at_ms, next) = proposal(heard).expect("it is proposed");
    let new_replica = ReplicaId { node: NodeId(3), disk: 999 };
    expect_that!(next, eq(&membership().with_replacement(replica(3), new_replica, &zone(3))));
    expect_that!(at_ms, le(200));
}

#[gtest]
fn a_node_that_is_in_contact_with_no_quorum_proposes_nothing() {
    let heard = |at_ms| vec![learner(SUCCESSOR, 3, at_ms)];
    expect_that!(proposal(heard), none());
}

fn prepare(from: u32, generation: u64) -> (u32, PeerMessage) {
    let ballot = Ballot { counter: generation, node: NodeId(from), incarnation: 7 };
    (
        from,
        PeerMessage::Consensus {
            generation,
            partition: PartitionId(0),
            message: ConsensusMessage::Prepare { ballot },
        },
    )
}

fn promises(out: &[Output], to: u32) -> bool {
    sent_to(out, to).into_iter().any(|message| {
        matches!(message, PeerMessage::Consensus { message: ConsensusMessage::Promise { .. }, .. })
    })
}

#[gtest]
fn a_message_of_an_older_membership_is_not_answered_and_its_sender_learns_the_newer_one() {
    let mut node = voter(1, membership());
    let out = hear_and_store(&mut node, 100, &[prepare(3, 1)]);
    expect_true!(promises(&out, 3));
    hear_and_store(&mut node, 200, &[(2, PeerMessage::Membership(replaced()))]);
    let out = hear_and_store(&mut node, 700, &[prepare(3, 1)]);
    expect_false!(promises(&out, 3));
    expect_that!(sent_to(&out, 3), contains(eq(&&PeerMessage::Membership(replaced()))));
    let out = hear_and_store(&mut node, 800, &[prepare(2, 2)]);
    expect_true!(promises(&out, 2));
}

#[gtest]
fn a_voter_that_has_lost_its_seat_votes_no_more_and_hands_its_state_out() {
    let mut node = voter(3, membership());
    expect_that!(node.status(), eq(ReplicaStatus::Voter));
    hear_and_store(&mut node, 100, &[(2, PeerMessage::Membership(replaced()))]);
    expect_that!(node.status(), eq(ReplicaStatus::Removed));
    let out = hear_and_store(&mut node, 200, &[prepare(2, 2)]);
    expect_false!(promises(&out, 2));
    let request = PeerMessage::StateTransferRequest { incarnation: 4, generation: 2 };
    let out = hear_and_store(&mut node, 300, &[(SUCCESSOR, request)]);
    let hands_out =
        |message: &&&PeerMessage| matches!(message, PeerMessage::StateTransfer { generation: 2, .. });
    expect_that!(sent_to(&out, SUCCESSOR).iter().filter(hands_out).count(), eq(1));
}

#[gtest]
fn a_voter_hands_out_no_state_under_another_membership_than_the_one_asked_for() {
    let mut node = voter(2, membership());
    let request = PeerMessage::StateTransferRequest { incarnation: 4, generation: 2 };
    let out = hear_and_store(&mut node, 100, &[(SUCCESSOR, request)]);
    let hands_out = |message: &&&PeerMessage| matches!(message, PeerMessage::StateTransfer { .. });
    expect_that!(sent_to(&out, SUCCESSOR).iter().filter(hands_out).count(), eq(0));
}

fn state(counter: u64, sequence: u64, promised: u64) -> Vec<(PartitionId, AcceptorState)> {
    let ballot = |counter| Ballot { counter, node: NodeId(1), incarnation: 1 };
    let accepted = AcceptedValue { ballot: ballot(counter), sequence, value: vec![counter as u8] };
    vec![(PartitionId(0), AcceptorState { promised: ballot(promised), accepted: Some(accepted) })]
}

fn transfer(from: u32, generation: u64, partitions: Vec<(PartitionId, AcceptorState)>) -> (u32, PeerMessage) {
    let disk = replica(from).disk;
    (from, PeerMessage::StateTransfer { incarnation: 11, generation, disk, partitions })
}

/// A successor that has learned that it has a seat.
fn successor() -> ControlPlane {
    let own_disk = Record::Formatted { replica: replica(SUCCESSOR), first_start: false };
    let mut node = ControlPlane::new(identity(SUCCESSOR, false), [own_disk].into_iter().collect(), 0);
    hear_and_store(&mut node, 100, &[(2, PeerMessage::Membership(replaced()))]);
    node
}

#[gtest]
fn a_successor_counts_once_it_has_the_newest_state_of_a_quorum_on_its_disk() {
    let mut node = successor();
    expect_that!(node.status(), eq(ReplicaStatus::Learner));
    hear_and_store(&mut node, 200, &[transfer(1, 2, state(3, 5, 3))]);
    expect_that!(node.status(), eq(ReplicaStatus::Learner));
    let out = hear(&mut node, 300, &[transfer(2, 2, state(2, 4, 9))]);
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
    // The newest accepted value of the one, and the highest promise of the other.
    expect_that!(stored, contains(eq(&Record::Promised(PartitionId(0), ballot(9)))));
    let value = AcceptedValue { ballot: ballot(3), sequence: 5, value: vec![3] };
    expect_that!(stored, contains(eq(&Record::Accepted(PartitionId(0), value))));
    expect_that!(stored, contains(eq(&Record::Joined(2))));
    for output in out {
        if let Output::Store(token, _) = output {
            node.handle(400 * MILLISECOND, Input::Stored(token), &mut Vec::new());
        }
    }
    expect_that!(node.status(), eq(ReplicaStatus::Voter));
}

#[gtest]
fn state_that_is_handed_out_twice_by_one_replica_counts_once() {
    let mut node = successor();
    let once = transfer(1, 2, state(3, 5, 3));
    hear_and_store(&mut node, 200, &[once.clone(), once.clone(), once]);
    expect_that!(node.status(), eq(ReplicaStatus::Learner));
}

#[gtest]
fn state_of_a_replica_that_had_no_seat_does_not_count() {
    let mut node = successor();
    let of_another_disk =
        PeerMessage::StateTransfer { incarnation: 11, generation: 2, disk: 999, partitions: state(3, 5, 3) };
    hear_and_store(&mut node, 200, &[(2, of_another_disk), transfer(1, 2, state(3, 5, 3))]);
    expect_that!(node.status(), eq(ReplicaStatus::Learner));
}

#[gtest]
fn state_of_another_generation_does_not_count() {
    let mut node = successor();
    hear_and_store(&mut node, 200, &[transfer(1, 1, state(3, 5, 3)), transfer(2, 1, state(3, 5, 3))]);
    expect_that!(node.status(), eq(ReplicaStatus::Learner));
}

#[gtest]
fn state_that_an_earlier_process_has_asked_for_does_not_count() {
    let mut node = successor();
    let of_earlier = |from| {
        let disk = replica(from).disk;
        let partitions = state(3, 5, 3);
        (from, PeerMessage::StateTransfer { incarnation: 10, generation: 2, disk, partitions })
    };
    hear_and_store(&mut node, 200, &[of_earlier(1), of_earlier(2)]);
    expect_that!(node.status(), eq(ReplicaStatus::Learner));
}

#[gtest]
fn a_successor_that_has_restarted_before_its_state_was_on_the_disk_asks_again() {
    let mut node = successor();
    hear(&mut node, 200, &[transfer(1, 2, state(3, 5, 3)), transfer(2, 2, state(3, 5, 3))]);
    let records = [
        Record::Formatted { replica: replica(SUCCESSOR), first_start: false },
        Record::Membership(replaced()),
    ];
    let mut node = ControlPlane::new(identity(SUCCESSOR, false), records.into_iter().collect(), 0);
    expect_that!(node.status(), eq(ReplicaStatus::Learner));
    let out = hear(&mut node, 100, &[]);
    let asks =
        |message: &&&PeerMessage| matches!(message, PeerMessage::StateTransferRequest { generation: 2, .. });
    expect_that!(sent_to(&out, 1).iter().filter(asks).count(), eq(1));
    expect_that!(sent_to(&out, 3).iter().filter(asks).count(), eq(1));
}

#[gtest]
fn a_former_voter_that_comes_back_in_a_later_generation_has_to_collect_the_state_anew() {
    let mut node = voter(3, membership());
    let back = replaced().with_replacement(replica(SUCCESSOR), replica(3), &zone(3));
    hear_and_store(&mut node, 100, &[(2, PeerMessage::Membership(back))]);
    expect_that!(node.status(), eq(ReplicaStatus::Learner));
}

fn left(out: &[Output]) -> bool {
    out.contains(&Output::Drained)
}

fn leave(node: &mut ControlPlane, at_ms: u64) {
    node.handle(at_ms * MILLISECOND, Input::Drain, &mut Vec::new());
}

#[gtest]
fn a_voter_that_is_told_to_end_does_so_once_others_lead() {
    let mut node = voter(3, membership());
    let heard = |number| [beat(heartbeat(1, number)), beat(heartbeat(2, number))];
    hear_and_store(&mut node, 100, &heard(1));
    leave(&mut node, 200);
    expect_false!(left(&hear_and_store(&mut node, 300, &heard(2))));
    expect_true!(left(&hear_and_store(&mut node, 700, &heard(3))));
}

#[gtest]
fn a_voter_without_whom_there_is_no_quorum_stays_until_its_grace_ends() {
    let mut node = voter(3, membership());
    let heard = |number| [beat(heartbeat(2, number))];
    hear_and_store(&mut node, 100, &heard(1));
    leave(&mut node, 200);
    expect_false!(left(&hear_and_store(&mut node, 5_000, &heard(2))));
    let grace_ends = 200 + GRACE / MILLISECOND;
    expect_true!(left(&hear_and_store(&mut node, grace_ends, &heard(3))));
}

#[gtest]
fn a_voter_whose_successor_is_there_stays_until_the_successor_counts() {
    let mut node = voter(3, membership());
    let others = |generation: u64, number| {
        [1, 2].map(|other| beat(Heartbeat { generation, ..heartbeat(other, number) }))
    };
    let candidate = |number| beat(learner(SUCCESSOR, 3, number));
    hear_and_store(&mut node, 100, &[others(1, 1).to_vec(), vec![candidate(1)]].concat());
    leave(&mut node, 200);
    let out = hear_and_store(&mut node, 1_000, &[others(1, 2).to_vec(), vec![candidate(2)]].concat());
    expect_false!(left(&out));
    hear_and_store(&mut node, 1_100, &[(2, PeerMessage::Membership(replaced()))]);
    // It has a seat, and does not hold the state yet.
    let joining = beat(Heartbeat { generation: 2, ..learner(SUCCESSOR, 3, 3) });
    let out = hear_and_store(&mut node, 1_200, &[others(2, 3).to_vec(), vec![joining]].concat());
    expect_false!(left(&out));
    let joined = beat(Heartbeat { generation: 2, ..heartbeat(SUCCESSOR, 4) });
    let out = hear_and_store(&mut node, 1_300, &[others(2, 4).to_vec(), vec![joined]].concat());
    expect_true!(left(&out));
}

#[gtest]
fn a_node_without_a_seat_ends_soon() {
    let mut node = ControlPlane::new(identity(SUCCESSOR, false), DurableState::default(), 0);
    leave(&mut node, 100);
    expect_true!(left(&hear_and_store(&mut node, 600, &[])));
}
