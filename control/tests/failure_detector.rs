//! The failure detector: which nodes are known, which are reachable, and which heartbeat of a node is kept.

use std::collections::BTreeSet;

use googletest::prelude::*;
use ivyhatch_control::liveness::failure_detector::{FAILURE_TIMEOUT, FailureDetector};
use ivyhatch_protocol::ids::{NodeId, ReplicaId};
use ivyhatch_protocol::peer::Heartbeat;
use ivyhatch_protocol::{Nanos, SECOND};

const OWN: NodeId = NodeId(1);
const PEER: NodeId = NodeId(2);
const OTHER: NodeId = NodeId(3);
const START: Nanos = 100 * SECOND;

fn detector() -> FailureDetector {
    FailureDetector::new(OWN, START)
}

fn heartbeat(incarnation: u64, sequence: u64, reachable: &[NodeId]) -> Heartbeat {
    Heartbeat { incarnation, sequence, reachable: reachable.to_vec(), ..Heartbeat::default() }
}

fn update(detector: &mut FailureDetector, now: Nanos, permanent: &[NodeId]) -> Option<Vec<NodeId>> {
    detector.update_connections(now, &permanent.iter().copied().collect::<BTreeSet<_>>())
}

#[gtest]
fn node_is_reachable_until_the_failure_timeout_after_its_last_message() {
    let mut detector = detector();
    detector.add(PEER);
    expect_false!(detector.is_reachable(START, PEER));
    expect_true!(detector.record_message(START, OTHER));
    expect_false!(detector.record_message(START, PEER));
    expect_true!(detector.is_reachable(START + FAILURE_TIMEOUT - 1, PEER));
    expect_false!(detector.is_reachable(START + FAILURE_TIMEOUT, PEER));
    expect_that!(detector.reachable_nodes(START), elements_are![eq(&PEER), eq(&OTHER)]);
    expect_that!(detector.silent_since(PEER), eq(START));
}

#[gtest]
fn message_of_the_node_itself_adds_no_peer() {
    let mut detector = detector();
    expect_false!(detector.record_message(START, OWN));
    expect_that!(detector.nodes().count(), eq(0));
}

#[gtest]
fn path_is_bidirectional_only_when_the_other_node_reports_this_one_as_reachable() {
    let mut detector = detector();
    detector.record_message(START, PEER);
    expect_false!(detector.is_bidirectional(START, PEER));
    detector.record_heartbeat(PEER, heartbeat(1, 1, &[OTHER]));
    expect_false!(detector.is_bidirectional(START, PEER));
    detector.record_heartbeat(PEER, heartbeat(1, 2, &[OTHER, OWN]));
    expect_true!(detector.is_bidirectional(START, PEER));
    expect_false!(detector.is_bidirectional(START + FAILURE_TIMEOUT, PEER));
}

#[gtest]
fn overtaken_heartbeat_of_the_same_process_is_ignored() {
    let mut detector = detector();
    let sequence = |detector: &FailureDetector| detector.heartbeat(PEER).map(|known| known.sequence);
    detector.record_heartbeat(PEER, heartbeat(1, 5, &[]));
    detector.record_heartbeat(PEER, heartbeat(1, 4, &[]));
    expect_that!(sequence(&detector), some(eq(5)));
    detector.record_heartbeat(PEER, heartbeat(2, 1, &[]));
    expect_that!(sequence(&detector), some(eq(1)));
}

#[gtest]
fn replica_of_a_node_is_the_one_of_its_last_heartbeat() {
    let mut detector = detector();
    expect_that!(detector.replica(PEER), none());
    detector.record_heartbeat(PEER, Heartbeat { disk: Some(7), ..heartbeat(1, 1, &[]) });
    expect_that!(detector.replica(PEER), some(eq(ReplicaId { node: PEER, disk: 7 })));
    detector.record_heartbeat(PEER, heartbeat(1, 2, &[]));
    expect_that!(detector.replica(PEER), none());
}

#[gtest]
fn connections_are_returned_only_when_they_have_changed() {
    let mut detector = detector();
    expect_that!(update(&mut detector, START, &[OWN, PEER]), some(elements_are![eq(&PEER)]));
    expect_that!(update(&mut detector, START, &[OWN, PEER]), none());
    detector.record_message(START, OTHER);
    let both = some(elements_are![eq(&PEER), eq(&OTHER)]);
    expect_that!(update(&mut detector, START, &[OWN, PEER]), both);
}

#[gtest]
fn silent_node_is_forgotten_after_a_minute_unless_it_is_permanent() {
    let mut detector = detector();
    detector.record_message(START, PEER);
    detector.record_message(START, OTHER);
    update(&mut detector, START + 60 * SECOND - 1, &[PEER]);
    expect_that!(detector.nodes().count(), eq(2));
    update(&mut detector, START + 60 * SECOND, &[PEER]);
    expect_that!(detector.nodes().collect::<Vec<_>>(), elements_are![eq(&PEER)]);
}

#[gtest]
fn discovered_node_is_forgotten_after_five_seconds_without_a_message() {
    let mut detector = detector();
    detector.discover(START, &[OWN, PEER, OTHER]);
    expect_that!(detector.nodes().count(), eq(2));
    expect_that!(detector.reachable_nodes(START), is_empty());
    detector.record_message(START + SECOND, OTHER);
    update(&mut detector, START + 5 * SECOND, &[]);
    expect_that!(detector.nodes().collect::<Vec<_>>(), elements_are![eq(&OTHER)]);
}
