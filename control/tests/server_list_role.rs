//! The server list reader's role on one of three control nodes, with the other two scripted.
//!
//! Regression: no node read the platform's list successfully for seconds. A leader that was superseded while it could not reach the other
//! leader continued to read under its old ballot, and the other nodes rejected its lists.

mod common;

use common::{heartbeat, membership, voter};
use googletest::prelude::*;
use ivyhatch_control::{ControlPlane, Input, Output};
use ivyhatch_protocol::ids::{Ballot, NodeId, PartitionId};
use ivyhatch_protocol::peer::{ConsensusMessage, Heartbeat, PeerMessage};
use ivyhatch_protocol::watch::{Server, ServerListPosition, ServerListUpdate};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

/// The key of the role, which selects the partition that the role belongs to.
const ROLE_KEY: &str = "platform-list";
const TICK: Nanos = 100 * MILLISECOND;
const NODES: [NodeId; 3] = [NodeId(1), NodeId(2), NodeId(3)];

fn role_partition() -> PartitionId {
    PartitionId::for_key(ROLE_KEY)
}

/// The nodes in the election order of the role's partition.
fn election_order() -> [NodeId; 3] {
    let start = usize::from(role_partition().0) % NODES.len();
    [0, 1, 2].map(|index| NODES[(start + index) % NODES.len()])
}

/// The first node in the election order, in virtual time. The test scripts the messages of the other two nodes.
struct FirstNode {
    node: ControlPlane,
    now: Nanos,
    heartbeats_sent: u64,
    out: Vec<Output>,
}

impl FirstNode {
    fn new() -> Self {
        let node = voter(election_order()[0].0, membership());
        Self { node, now: SECOND, heartbeats_sent: 0, out: Vec::new() }
    }

    fn handle(&mut self, input: Input) {
        self.node.handle(self.now, input, &mut self.out);
        self.finish_writes();
    }

    /// Makes all writes durable at once.
    fn finish_writes(&mut self) {
        let stores = |output: &Output| match output {
            Output::Store(token, _) => Some(*token),
            _ => None,
        };
        for token in self.out.iter().filter_map(stores).collect::<Vec<_>>() {
            self.out.retain(|output| stores(output) != Some(token));
            self.node.handle(self.now, Input::Stored(token), &mut self.out);
        }
    }

    /// Delivers a heartbeat of another node, which reaches the nodes in `reaches` and has a list at position `servers`.
    fn receive_heartbeat(&mut self, from: NodeId, reaches: &[NodeId], servers: ServerListPosition) {
        self.heartbeats_sent += 1;
        let reachable = reaches.to_vec();
        let heartbeat =
            Heartbeat { reachable, server_list: servers, ..heartbeat(from.0, self.heartbeats_sent) };
        self.handle(Input::Peer(from, PeerMessage::Heartbeat(heartbeat)));
    }

    /// Advances time by a tick, with a heartbeat from each node in `reachable`. These nodes reach all nodes and have a list at position
    /// `servers`.
    fn tick(&mut self, reachable: &[NodeId], servers: ServerListPosition) {
        self.now += TICK;
        for from in reachable {
            self.receive_heartbeat(*from, &NODES, servers);
        }
        self.handle(Input::Tick);
    }

    /// The highest ballot of the `Prepare` messages for the role's partition in the outputs so far; `None` without any. Clears the
    /// outputs.
    fn prepares(&mut self) -> Option<Ballot> {
        let prepare = |output: &Output| match output {
            Output::Send(
                _,
                PeerMessage::Consensus {
                    partition, message: ConsensusMessage::Prepare { ballot, .. }, ..
                },
            ) if *partition == role_partition() => Some(*ballot),
            _ => None,
        };
        let ballot = self.out.iter().filter_map(prepare).max();
        self.out.clear();
        ballot
    }

    fn promise(&mut self, from: NodeId, ballot: Ballot) {
        let message = ConsensusMessage::Promise { ballot, accepted: None, committed: 0 };
        self.handle(Input::Peer(
            from,
            PeerMessage::Consensus { generation: 1, partition: role_partition(), message },
        ));
    }

    /// A node that leads the partition with the promise of the last node in the election order, and reaches both other nodes.
    fn leading() -> Self {
        let mut first = Self::new();
        let none = ServerListPosition::default();
        first.tick(&election_order()[1..], none);
        let ballot = first.prepares().expect("the node prepares a ballot");
        first.promise(election_order()[2], ballot);
        assert_eq!(first.node.leader_ballot(role_partition()), Some(ballot));
        first
    }
}

fn server(id: &str, draining: bool) -> Server {
    Server {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: "10.128.0.9:8080".to_owned(),
        zone: "a".to_owned(),
        slots: 8,
        draining,
        warm_up_remaining_ms: 0,
        lifetime_remaining_ms: None,
    }
}

/// The complete list, as a reader on another node publishes it.
fn published_list(ballot: Ballot) -> PeerMessage {
    PeerMessage::ServerList(ServerListUpdate {
        ballot,
        from: None,
        to: 1,
        upsert: vec![server("i-1", false)],
        removed: Vec::new(),
    })
}

#[gtest]
fn leader_superseded_without_notice_wins_a_new_ballot_after_a_newer_list() {
    let mut first = FirstNode::leading();
    let own_ballot = first.node.leader_ballot(role_partition()).expect("the node leads the partition");
    // The second node could not reach the first node, led with the third node's promise, read the list, and stepped down when it reached
    // the first node again.
    let other_ballot = Ballot { counter: own_ballot.counter + 1, node: election_order()[1], incarnation: 22 };
    first.handle(Input::Peer(election_order()[2], published_list(other_ballot)));
    first.out.clear();
    let mut new_ballot = None;
    for _ in 0..3 {
        first.tick(&election_order()[1..], ServerListPosition { ballot: other_ballot, number: 1 });
        new_ballot = new_ballot.max(first.prepares());
    }
    let new_ballot = new_ballot.expect("the superseded leader prepares a new ballot");
    expect_that!(new_ballot, gt(other_ballot));
    first.promise(election_order()[2], new_ballot);
    expect_that!(first.node.leader_ballot(role_partition()), some(eq(new_ballot)));
}

#[gtest]
fn leader_superseded_without_notice_contends_again_after_heartbeats_with_a_newer_list() {
    let mut first = FirstNode::leading();
    let own_ballot = first.node.leader_ballot(role_partition()).expect("the node leads the partition");
    let other_ballot = Ballot { counter: own_ballot.counter + 1, node: election_order()[1], incarnation: 22 };
    first.out.clear();
    first.tick(&election_order()[1..], ServerListPosition { ballot: other_ballot, number: 1 });
    first.tick(&election_order()[1..], ServerListPosition { ballot: other_ballot, number: 1 });
    expect_that!(first.prepares(), some(gt(other_ballot)));
}
