//! Decisions from a node's view of the cluster: active voters, quorum, leaders, and the status of the node's own replica.

use googletest::prelude::*;
use ivyhatch_control::consensus::elections;
use ivyhatch_control::liveness::failure_detector::FailureDetector;
use ivyhatch_control::membership::cluster_view::ClusterView;
use ivyhatch_control::membership::local_replica::{LocalReplica, StoredReplica};
use ivyhatch_control::membership::reconfiguration;
use ivyhatch_control::server_list::role::reader_partition;
use ivyhatch_protocol::ids::{NodeId, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{Heartbeat, Membership, ReplicaStatus, Voter};
use ivyhatch_protocol::{Nanos, SECOND};

const NOW: Nanos = 100 * SECOND;
const OWN: u32 = 1;
/// A partition whose election order begins with the first node.
const FIRST: PartitionId = PartitionId(0);

fn replica(node: u32) -> ReplicaId {
    ReplicaId { node: NodeId(node), disk: u64::from(node) }
}

fn zone(node: u32) -> String {
    format!("zone-{node}")
}

fn membership() -> Membership {
    let voter = |node| Voter { replica: replica(node), zone: zone(node), joined_generation: 1 };
    Membership { generation: 1, voters: (1..=3).map(voter).collect(), previous: Vec::new() }
}

fn stored(node: u32, membership: Membership) -> StoredReplica {
    StoredReplica { replica: Some(replica(node)), membership: Some(membership), ..StoredReplica::default() }
}

fn heartbeat(node: u32) -> Heartbeat {
    Heartbeat {
        incarnation: 1,
        sequence: 1,
        disk: Some(u64::from(node)),
        zone: zone(node),
        status: ReplicaStatus::Voter,
        generation: 1,
        reachable: (1..=4).map(NodeId).collect(),
        has_quorum: true,
        can_read_server_list: true,
        ..Heartbeat::default()
    }
}

/// The state of the first node, which has just received heartbeats from other nodes.
struct Node {
    local: LocalReplica,
    peers: FailureDetector,
    is_draining: bool,
    can_read_server_list: bool,
}

impl Node {
    fn with(heartbeats: &[Heartbeat]) -> Self {
        let mut peers = FailureDetector::new(NodeId(OWN), 0);
        for heartbeat in heartbeats {
            let node = NodeId(heartbeat.disk.expect("the node has a disk") as u32);
            peers.record_message(NOW, node);
            peers.record_heartbeat(node, heartbeat.clone());
        }
        let local = LocalReplica::new(stored(OWN, membership()));
        Self { local, peers, is_draining: false, can_read_server_list: true }
    }

    fn view(&self) -> ClusterView<'_> {
        ClusterView {
            now: NOW,
            node: NodeId(OWN),
            local: &self.local,
            peers: &self.peers,
            is_draining: self.is_draining,
            can_read_server_list: self.can_read_server_list,
        }
    }

    fn leader(&self, partition: PartitionId) -> Option<u32> {
        elections::leader(&self.view(), partition).map(|node| node.0)
    }
}

#[gtest]
fn quorum_is_a_majority_of_active_voters() {
    expect_false!(Node::with(&[]).view().has_quorum());
    expect_true!(Node::with(&[heartbeat(2)]).view().has_quorum());
}

#[gtest]
fn voter_is_not_active_with_another_generation_disk_or_status() {
    let other_generation = Heartbeat { generation: 2, ..heartbeat(2) };
    let learner = Heartbeat { status: ReplicaStatus::Learner, ..heartbeat(2) };
    let one_way = Heartbeat { reachable: Vec::new(), ..heartbeat(2) };
    for heartbeat in [other_generation, learner, one_way] {
        expect_false!(Node::with(std::slice::from_ref(&heartbeat)).view().has_quorum(), "{heartbeat:?}");
    }
    let node = Node::with(&[heartbeat(2)]);
    let other_disk = ReplicaId { disk: 99, ..replica(2) };
    expect_false!(node.view().is_active_voter(other_disk));
    expect_true!(node.view().is_active_voter(replica(2)));
}

#[gtest]
fn leader_is_the_first_active_voter_in_the_order_of_the_partition() {
    let node = Node::with(&[heartbeat(2), heartbeat(3)]);
    for (partition, leader) in [(0, 1), (1, 2), (2, 3), (3, 1)] {
        expect_that!(node.leader(PartitionId(partition)), some(eq(leader)), "{partition}");
    }
    expect_that!(Node::with(&[heartbeat(3)]).leader(PartitionId(1)), some(eq(3)));
    expect_that!(Node::with(&[]).leader(FIRST), none());
}

#[gtest]
fn draining_voter_leads_only_where_there_is_no_other() {
    let mut node = Node::with(&[heartbeat(2)]);
    node.is_draining = true;
    expect_that!(node.leader(FIRST), some(eq(2)));
    let mut node = Node::with(&[Heartbeat { draining: true, ..heartbeat(2) }]);
    node.is_draining = true;
    expect_that!(node.leader(FIRST), some(eq(1)));
}

#[gtest]
fn voter_that_can_not_read_the_server_list_does_not_lead_the_partition_of_the_role() {
    let role_partition = reader_partition();
    let same_order = PartitionId((role_partition.0 + 3) % 9);
    let mut node = Node::with(&[heartbeat(2), heartbeat(3)]);
    expect_that!(node.leader(role_partition), some(eq(2)));
    expect_that!(node.leader(same_order), some(eq(2)));
    node = Node::with(&[Heartbeat { can_read_server_list: false, ..heartbeat(2) }, heartbeat(3)]);
    expect_that!(node.leader(role_partition), some(eq(3)));
    expect_that!(node.leader(same_order), some(eq(2)));
    node.can_read_server_list = false;
    expect_that!(node.leader(role_partition), some(eq(3)));
}

#[gtest]
fn replica_status_follows_the_membership() {
    let status = |stored| LocalReplica::new(stored).status();
    expect_that!(status(StoredReplica::default()), eq(ReplicaStatus::Uninitialized));
    expect_that!(status(stored(1, membership())), eq(ReplicaStatus::Voter));
    expect_that!(status(stored(9, membership())), eq(ReplicaStatus::Learner));
    let next = membership().with_replacement(replica(3), replica(4), &zone(3));
    expect_that!(status(stored(3, next.clone())), eq(ReplicaStatus::Removed));
    expect_that!(status(stored(4, next.clone())), eq(ReplicaStatus::Learner));
    expect_that!(status(StoredReplica { joined: Some(2), ..stored(4, next) }), eq(ReplicaStatus::Voter));
}

#[gtest]
fn new_voter_joins_until_its_state_is_durable() {
    let next = membership().with_replacement(replica(3), replica(4), &zone(3));
    let mut local = LocalReplica::new(stored(4, next));
    expect_that!(local.joining_generation(), some(eq(2)));
    expect_that!(local.update_status(), none());
    local.set_joined(2);
    expect_that!(local.update_status(), some(eq(ReplicaStatus::Voter)));
    expect_that!(local.joining_generation(), none());
}

#[gtest]
fn only_a_former_or_present_voter_transfers_its_state_and_only_in_the_requested_generation() {
    let next = membership().with_replacement(replica(3), replica(4), &zone(3));
    for (node, may_transfer) in [(1, true), (3, true), (4, false), (9, false)] {
        let local = LocalReplica::new(stored(node, next.clone()));
        expect_that!(local.may_transfer_state(2), eq(may_transfer), "{node}");
        expect_false!(local.may_transfer_state(1), "{node}");
    }
}

#[gtest]
fn first_membership_is_created_by_the_lowest_seed_on_the_first_start_only() {
    let uninitialized =
        |node| Heartbeat { status: ReplicaStatus::Uninitialized, generation: 0, ..heartbeat(node) };
    let seeds: Vec<NodeId> = (1..=3).map(NodeId).collect();
    let mut node = Node::with(&[uninitialized(2), uninitialized(3)]);
    for (may_bootstrap, seeds, is_created) in
        [(true, &seeds[..], true), (false, &seeds[..], false), (true, &[], false)]
    {
        let own = StoredReplica { replica: Some(replica(OWN)), may_bootstrap, ..Default::default() };
        node.local = LocalReplica::new(own);
        let first = reconfiguration::first_membership(&node.view(), &zone(OWN), seeds);
        expect_that!(first.is_some(), eq(is_created), "{may_bootstrap} {seeds:?}");
        if let Some(first) = first {
            expect_that!(first, eq(&membership()));
        }
    }
}

#[gtest]
fn draining_replica_is_needed_while_the_others_have_no_quorum() {
    let needed =
        |heartbeats: &[Heartbeat]| reconfiguration::is_replica_needed(&Node::with(heartbeats).view());
    expect_true!(needed(&[heartbeat(2)]));
    expect_false!(needed(&[heartbeat(2), heartbeat(3)]));
    let candidate = Heartbeat { status: ReplicaStatus::Learner, zone: zone(OWN), ..heartbeat(4) };
    expect_true!(needed(&[heartbeat(2), heartbeat(3), candidate]));
}
