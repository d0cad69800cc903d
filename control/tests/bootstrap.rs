//! Creation of the first membership, and which replicas become its voters.

mod common;

use common::{NODES, heartbeat, log_event, membership, node_config, records, replica, step, step_and_store};
use googletest::prelude::*;
use ivyhatch_control::storage::durable_state::DurableState;
use ivyhatch_control::{ControlPlane, LogEvent, Output, Record};
use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::peer::{Heartbeat, PeerMessage, ReplicaStatus};

fn uninitialized(node: u32, number: u64) -> (u32, PeerMessage) {
    let status = ReplicaStatus::Uninitialized;
    (
        node,
        PeerMessage::Heartbeat(Heartbeat {
            status,
            generation: 0,
            has_quorum: false,
            ..heartbeat(node, number)
        }),
    )
}

fn bootstrap_node() -> ControlPlane {
    ControlPlane::new(node_config(1, true), DurableState::default(), 0)
}

fn memberships_sent(out: &[Output]) -> Vec<NodeId> {
    let sent = |output: &Output| match output {
        Output::Send(to, PeerMessage::Membership(_)) => vec![*to],
        Output::SendToAll(nodes, PeerMessage::Membership(_)) => nodes.clone(),
        _ => Vec::new(),
    };
    out.iter().flat_map(sent).collect()
}

#[gtest]
fn lowest_seed_creates_the_membership_once_all_seeds_are_reachable() {
    let mut bootstrap_node = bootstrap_node();
    step(&mut bootstrap_node, 100, &[uninitialized(2, 1)]);
    step(&mut bootstrap_node, 1_600, &[uninitialized(2, 2)]);
    expect_that!(bootstrap_node.membership(), none());
    step(&mut bootstrap_node, 1_700, &[uninitialized(2, 3), uninitialized(3, 1)]);
    let created = bootstrap_node.membership().expect("the first membership was created");
    let voters: Vec<NodeId> = created.nodes().collect();
    expect_that!(voters, eq(&NODES.to_vec()));
    expect_that!(created.voter(replica(2)), some(anything()));
    expect_that!(bootstrap_node.status(), eq(ReplicaStatus::Voter));
}

#[gtest]
fn first_membership_is_not_sent_before_it_is_durable() {
    let mut bootstrap_node = bootstrap_node();
    step(&mut bootstrap_node, 100, &[uninitialized(2, 1), uninitialized(3, 1)]);
    let out = step(&mut bootstrap_node, 1_600, &[uninitialized(2, 2), uninitialized(3, 2)]);
    expect_that!(bootstrap_node.membership(), some(anything()));
    expect_that!(memberships_sent(&out), is_empty());
    let out = step(&mut bootstrap_node, 1_800, &[uninitialized(2, 3), uninitialized(3, 3)]);
    expect_that!(memberships_sent(&out), is_empty());
}

#[gtest]
fn nodes_that_start_with_the_bootstrap_node_become_voters() {
    let mut bootstrap_node = bootstrap_node();
    step(&mut bootstrap_node, 100, &[uninitialized(2, 1), uninitialized(3, 1)]);
    step_and_store(&mut bootstrap_node, 1_600, &[uninitialized(2, 2), uninitialized(3, 2)]);
    let out = step(&mut bootstrap_node, 1_900, &[uninitialized(2, 3), uninitialized(3, 3)]);
    expect_that!(memberships_sent(&out), unordered_elements_are![eq(&NodeId(2)), eq(&NodeId(3))]);
    let created = bootstrap_node.membership().cloned().expect("the first membership was created");
    let own_disk = Record::Formatted { replica: replica(2), first_start: true };
    let mut other = ControlPlane::new(node_config(2, true), [own_disk].into_iter().collect(), 0);
    step(&mut other, 2_000, &[(1, PeerMessage::Membership(created))]);
    expect_that!(other.status(), eq(ReplicaStatus::Voter));
}

#[gtest]
fn replica_whose_disk_was_lost_is_no_voter_of_a_membership_that_names_its_address() {
    let mut wiped = ControlPlane::new(node_config(2, false), DurableState::default(), 0);
    step(&mut wiped, 100, &[(1, PeerMessage::Membership(membership()))]);
    expect_that!(wiped.status(), eq(ReplicaStatus::Learner));
}

#[gtest]
fn replica_formatted_after_the_first_start_creates_no_membership() {
    let mut wiped = ControlPlane::new(node_config(1, false), DurableState::default(), 0);
    step(&mut wiped, 100, &[uninitialized(2, 1), uninitialized(3, 1)]);
    step(&mut wiped, 1_600, &[uninitialized(2, 2), uninitialized(3, 2)]);
    expect_that!(wiped.membership(), none());
}

#[gtest]
fn no_membership_is_created_while_a_seed_knows_one() {
    let mut bootstrap_node = bootstrap_node();
    let seed_with_membership = (3, PeerMessage::Heartbeat(heartbeat(3, 1)));
    step(&mut bootstrap_node, 100, &[uninitialized(2, 1), seed_with_membership.clone()]);
    step(&mut bootstrap_node, 1_600, &[uninitialized(2, 2), seed_with_membership]);
    expect_that!(bootstrap_node.membership(), none());
}

#[gtest]
fn disk_formatted_on_another_machine_is_formatted_again() {
    let stored: DurableState = records(3, membership()).into_iter().collect();
    let mut copy = ControlPlane::new(node_config(4, false), stored, 0);
    expect_that!(copy.status(), eq(ReplicaStatus::Uninitialized));
    let out = step(&mut copy, 100, &[]);
    expect_that!(
        log_event(&out, "disk_formatted").map(LogEvent::to_string),
        some(contains_substring("another_machines_disk"))
    );
    expect_that!(copy.replica().map(|replica| replica.node), some(eq(NodeId(4))));
}
