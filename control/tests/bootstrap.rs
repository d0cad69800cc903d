//! How the first membership comes about, and who is a voter of it.

mod common;

use common::{NODES, hear, hear_and_store, heartbeat, identity, logged, membership, records, replica};
use googletest::prelude::*;
use ivyhatch_control::durable_state::DurableState;
use ivyhatch_control::{ControlPlane, LogEvent, Output, Record};
use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::peer::{Heartbeat, PeerMessage, ReplicaStatus};

fn fresh(node: u32, number: u64) -> (u32, PeerMessage) {
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

fn founder() -> ControlPlane {
    ControlPlane::new(identity(1, true), DurableState::default(), 0)
}

fn memberships_sent(out: &[Output]) -> Vec<NodeId> {
    let sent = |output: &Output| match output {
        Output::Send(to, PeerMessage::Membership(_)) => Some(*to),
        _ => None,
    };
    out.iter().filter_map(sent).collect()
}

#[gtest]
fn the_lowest_seed_founds_the_membership_once_all_seeds_are_heard() {
    let mut founder = founder();
    hear(&mut founder, 100, &[fresh(2, 1)]);
    hear(&mut founder, 1_600, &[fresh(2, 2)]);
    expect_that!(founder.membership(), none());
    hear(&mut founder, 1_700, &[fresh(2, 3), fresh(3, 1)]);
    let founded = founder.membership().expect("it is founded");
    let voters: Vec<NodeId> = founded.nodes().collect();
    expect_that!(voters, eq(&NODES.to_vec()));
    expect_that!(founded.voter(replica(2)), some(anything()));
    expect_that!(founder.status(), eq(ReplicaStatus::Voter));
}

#[gtest]
fn a_membership_that_is_not_on_the_founders_disk_is_sent_to_nobody() {
    let mut founder = founder();
    hear(&mut founder, 100, &[fresh(2, 1), fresh(3, 1)]);
    let out = hear(&mut founder, 1_600, &[fresh(2, 2), fresh(3, 2)]);
    expect_that!(founder.membership(), some(anything()));
    expect_that!(memberships_sent(&out), is_empty());
    let out = hear(&mut founder, 1_800, &[fresh(2, 3), fresh(3, 3)]);
    expect_that!(memberships_sent(&out), is_empty());
}

#[gtest]
fn those_who_start_with_the_founder_become_voters() {
    let mut founder = founder();
    hear(&mut founder, 100, &[fresh(2, 1), fresh(3, 1)]);
    hear_and_store(&mut founder, 1_600, &[fresh(2, 2), fresh(3, 2)]);
    let out = hear(&mut founder, 1_900, &[fresh(2, 3), fresh(3, 3)]);
    expect_that!(memberships_sent(&out), unordered_elements_are![eq(&NodeId(2)), eq(&NodeId(3))]);
    let founded = founder.membership().cloned().expect("it is founded");
    let own_disk = Record::Formatted { replica: replica(2), first_start: true };
    let mut other = ControlPlane::new(identity(2, true), [own_disk].into_iter().collect(), 0);
    hear(&mut other, 2_000, &[(1, PeerMessage::Membership(founded))]);
    expect_that!(other.status(), eq(ReplicaStatus::Voter));
}

#[gtest]
fn one_whose_disk_was_lost_is_no_voter_of_the_membership_that_names_its_address() {
    let mut wiped = ControlPlane::new(identity(2, false), DurableState::default(), 0);
    hear(&mut wiped, 100, &[(1, PeerMessage::Membership(membership()))]);
    expect_that!(wiped.status(), eq(ReplicaStatus::Learner));
}

#[gtest]
fn a_disk_that_was_formatted_after_the_first_start_founds_nothing() {
    let mut wiped = ControlPlane::new(identity(1, false), DurableState::default(), 0);
    hear(&mut wiped, 100, &[fresh(2, 1), fresh(3, 1)]);
    hear(&mut wiped, 1_600, &[fresh(2, 2), fresh(3, 2)]);
    expect_that!(wiped.membership(), none());
}

#[gtest]
fn a_seed_that_knows_a_membership_keeps_the_lowest_from_founding_another() {
    let mut founder = founder();
    let known = (3, PeerMessage::Heartbeat(heartbeat(3, 1)));
    hear(&mut founder, 100, &[fresh(2, 1), known.clone()]);
    hear(&mut founder, 1_600, &[fresh(2, 2), known]);
    expect_that!(founder.membership(), none());
}

#[gtest]
fn a_disk_that_was_formatted_on_another_machine_is_formatted_anew() {
    let stored: DurableState = records(3, membership()).into_iter().collect();
    let mut copy = ControlPlane::new(identity(4, false), stored, 0);
    expect_that!(copy.status(), eq(ReplicaStatus::Uninitialized));
    let out = hear(&mut copy, 100, &[]);
    expect_that!(
        logged(&out, "disk_formatted").map(LogEvent::to_string),
        some(contains_substring("another_machines_disk"))
    );
    expect_that!(copy.replica().map(|replica| replica.node), some(eq(NodeId(4))));
}
