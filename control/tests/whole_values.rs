//! Compatibility with releases before registers: messages in both directions between the nodes of a group during an upgrade.

use googletest::prelude::*;
use ivyhatch_control::consensus::acceptor::{AcceptOutcome, Acceptor, CommitOutcome};
use ivyhatch_control::consensus::partition_state::{Decision, PartitionState};
use ivyhatch_control::consensus::whole_values::{
    to_register_message, to_transferred_state, to_update, to_whole_state, to_whole_value,
    to_whole_value_message,
};
use ivyhatch_protocol::ids::{Ballot, NodeId, PartitionId};
use ivyhatch_protocol::peer::{AdminRequest, ConsensusMessage, Heartbeat};
use ivyhatch_protocol::registers::Version;

const CONFIGURATION: PartitionId = PartitionId::CONFIGURATION;

fn ballot(counter: u64) -> Ballot {
    Ballot { counter, node: NodeId(1), incarnation: 1 }
}

/// A replica that has accepted two configurations, of which the first is committed.
fn configured() -> Acceptor {
    let mut acceptor = Acceptor::default();
    let mut state = PartitionState::empty(CONFIGURATION);
    for revision in 1..=2 {
        let body =
            format!(r#"{{"revision":{revision},"routes":[],"services":[{{"name":"s"}}],"owner":"x"}}"#);
        let request = AdminRequest::Put { base: revision - 1, body: body.into_bytes() };
        let Decision::Propose { changes, next, .. } = state.decide(&request) else { panic!("no proposal") };
        let update = acceptor.next_change(ballot(1), changes);
        assert_eq!(acceptor.accept(&update), AcceptOutcome::Accepted);
        state = next;
    }
    let first = Version { ballot: ballot(1), sequence: 1 };
    assert_eq!(acceptor.commit(first), CommitOutcome::Committed);
    acceptor
}

#[gtest]
fn whole_value_has_the_contents_of_the_registers() {
    let acceptor = configured();
    let value = to_whole_value(CONFIGURATION, acceptor.accepted_update(None)).expect("a whole value");
    expect_that!((value.ballot, value.sequence), eq((ballot(1), 2)));
    expect_that!(to_update(CONFIGURATION, &value).digest, eq(acceptor.accepted_update(None).digest));
}

#[gtest]
fn value_that_can_not_be_decoded_keeps_its_number_and_its_bytes() {
    let mut acceptor = Acceptor::default();
    let value = to_whole_value(CONFIGURATION, configured().accepted_update(None)).expect("a whole value");
    let unknown = ivyhatch_protocol::peer::AcceptedValue { value: vec![1, 2, 3], ..value };
    let accepted = acceptor.accept(&to_update(CONFIGURATION, &unknown));
    expect_that!(accepted, eq(AcceptOutcome::Accepted));
    expect_that!(acceptor.accepted().sequence, eq(2));
    expect_that!(to_whole_value(CONFIGURATION, acceptor.accepted_update(None)), some(eq(&unknown)));
}

#[gtest]
fn each_message_arrives_as_the_message_with_registers() {
    let acceptor = configured();
    let update = acceptor.accepted_update(Some(1));
    let messages = [
        ConsensusMessage::Prepare { ballot: ballot(3), committed: Some(1), accepted: Version::default() },
        ConsensusMessage::Promise { ballot: ballot(3), accepted: Some(update.clone()), committed: 1 },
        ConsensusMessage::Accept(update),
        ConsensusMessage::Fetch { committed: Some(1) },
        ConsensusMessage::Committed(acceptor.committed_update(Some(0))),
        ConsensusMessage::Commit { ballot: ballot(1), sequence: 1 },
    ];
    for message in messages {
        let sent = to_whole_value_message(CONFIGURATION, &message, &acceptor).expect("a converted message");
        let received = to_register_message(CONFIGURATION, sent);
        match (&message, &received) {
            (ConsensusMessage::Prepare { ballot, .. }, ConsensusMessage::Prepare { ballot: other, .. }) => {
                expect_that!(other, eq(ballot));
            }
            (
                ConsensusMessage::Promise { accepted: Some(update), .. },
                ConsensusMessage::Promise { accepted: Some(other), .. },
            )
            | (ConsensusMessage::Accept(update), ConsensusMessage::Accept(other))
            | (ConsensusMessage::Committed(update), ConsensusMessage::Committed(other)) => {
                expect_that!((other.version, other.digest), eq((update.version, update.digest)));
            }
            _ => expect_that!(received, eq(&message)),
        }
    }
    let behind = ConsensusMessage::Behind { ballot: ballot(1), sequence: 2, committed: None };
    expect_that!(to_whole_value_message(CONFIGURATION, &behind, &acceptor), none());
}

#[gtest]
fn transferred_state_survives_conversion_to_a_whole_value() {
    let acceptor = configured();
    let state = to_transferred_state(CONFIGURATION, &to_whole_state(CONFIGURATION, &acceptor));
    let mut successor = Acceptor::default();
    successor.merge(&state);
    expect_that!(successor.promised(), eq(ballot(1)));
    expect_that!(successor.accepted(), eq(acceptor.accepted()));
    expect_that!(successor.accepted_update(None).digest, eq(acceptor.accepted_update(None).digest));
}

#[gtest]
fn heartbeat_shows_what_its_sender_supports() {
    let of = |committed: Vec<u64>| Heartbeat { committed, ..Heartbeat::default() };
    // The committed sequence numbers as encoded by releases before registers, before coordination, and by this one.
    let whole_values = of(PartitionId::control().map(|_| 5).collect());
    let registers = of(PartitionId::control().map(|_| 5).chain([1]).collect());
    let coordination = of(Heartbeat::encode_committed(true, |partition| u64::from(partition.0)));
    let supported =
        |heartbeat: &Heartbeat| (heartbeat.supports_registers(), heartbeat.supports_coordination());
    expect_that!(supported(&whole_values), eq((false, false)));
    expect_that!(supported(&registers), eq((true, false)));
    expect_that!(supported(&coordination), eq((true, true)));
    expect_that!(registers.committed_changes().count(), eq(PartitionId::control().count()));
    let own_number = |(partition, sequence): (PartitionId, u64)| (u64::from(partition.0), sequence);
    let changes: Vec<(u64, u64)> = coordination.committed_changes().map(own_number).collect();
    let expected: Vec<(u64, u64)> =
        PartitionId::all().map(|partition| u64::from(partition.0)).map(|n| (n, n)).collect();
    expect_that!(changes, eq(&expected));
}
