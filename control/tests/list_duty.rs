//! Who reads the platform's list among three control nodes, as one of them sees it. On a hunted day nobody read it for seconds:
//! an owner whom another had deposed behind a link that was down went on reading under its old ballot, and what it read was refused.

mod common;

use common::{heartbeat, membership, voter};
use googletest::prelude::*;
use ivyhatch_control::{ControlPlane, Input, Output};
use ivyhatch_protocol::ids::{Ballot, NodeId, PartitionId};
use ivyhatch_protocol::peer::{ConsensusMessage, Heartbeat, PeerMessage};
use ivyhatch_protocol::watch::{Server, ServerListPosition, ServerListUpdate};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

/// Names are hashed: this duty falls to a part whose order begins with this member.
const LIST_DUTY: &str = "platform-list";
const TICK: Nanos = 100 * MILLISECOND;
const MEMBERS: [NodeId; 3] = [NodeId(1), NodeId(2), NodeId(3)];

fn part() -> PartitionId {
    PartitionId::for_key(LIST_DUTY)
}

/// The members in the order in which they own the part.
fn order() -> [NodeId; 3] {
    let start = usize::from(part().0) % MEMBERS.len();
    [0, 1, 2].map(|place| MEMBERS[(start + place) % MEMBERS.len()])
}

/// The first owner of the part, in virtual time, with the other two scripted.
struct First {
    node: ControlPlane,
    now: Nanos,
    beats: u64,
    out: Vec<Output>,
}

impl First {
    fn new() -> Self {
        let node = voter(order()[0].0, membership());
        Self { node, now: SECOND, beats: 0, out: Vec::new() }
    }

    fn hear(&mut self, input: Input) {
        self.node.handle(self.now, input, &mut self.out);
        self.finish_writes();
    }

    /// Whatever is to be stored is stored at once.
    fn finish_writes(&mut self) {
        let stores = |action: &Output| match action {
            Output::Store(token, _) => Some(*token),
            _ => None,
        };
        for token in self.out.iter().filter_map(stores).collect::<Vec<_>>() {
            self.out.retain(|action| stores(action) != Some(token));
            self.node.handle(self.now, Input::Stored(token), &mut self.out);
        }
    }

    /// A beat of another member's, which has such a list.
    fn beat(&mut self, from: NodeId, hears: &[NodeId], servers: ServerListPosition) {
        self.beats += 1;
        let reachable = hears.to_vec();
        let heartbeat = Heartbeat { reachable, server_list: servers, ..heartbeat(from.0, self.beats) };
        self.hear(Input::Peer(from, PeerMessage::Heartbeat(heartbeat)));
    }

    /// One tick later, after a beat of each of these, which hear all and have this list.
    fn tick(&mut self, there: &[NodeId], servers: ServerListPosition) {
        self.now += TICK;
        for from in there {
            self.beat(*from, &MEMBERS, servers);
        }
        self.hear(Input::Tick);
    }

    /// The ballot that it asks the others to promise, if it does.
    fn prepares(&mut self) -> Option<Ballot> {
        let prepare = |action: &Output| match action {
            Output::Send(
                _,
                PeerMessage::Consensus {
                    partition: of, message: ConsensusMessage::Prepare { ballot }, ..
                },
            ) if *of == part() => Some(*ballot),
            _ => None,
        };
        let ballot = self.out.iter().filter_map(prepare).max();
        self.out.clear();
        ballot
    }

    fn promise(&mut self, from: NodeId, ballot: Ballot) {
        let message = ConsensusMessage::Promise { ballot, accepted: None };
        self.hear(Input::Peer(from, PeerMessage::Consensus { generation: 1, partition: part(), message }));
    }

    /// It leads the part, with the last member's promise, and hears both others.
    fn leads() -> Self {
        let mut first = Self::new();
        let none = ServerListPosition::default();
        first.tick(&order()[1..], none);
        let ballot = first.prepares().expect("it begins a ballot");
        first.promise(order()[2], ballot);
        assert_eq!(first.node.leader_ballot(part()), Some(ballot));
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

/// The whole list, as another reader has told it.
fn told(ballot: Ballot) -> PeerMessage {
    PeerMessage::ServerList(ServerListUpdate {
        ballot,
        from: None,
        to: 1,
        upsert: vec![server("i-1", false)],
        removed: Vec::new(),
    })
}

#[gtest]
fn an_owner_that_was_deposed_without_hearing_of_it_begins_a_new_epoch() {
    let mut first = First::leads();
    let own = first.node.leader_ballot(part()).expect("it leads");
    // The second could not reach this one, led with the third's promise, read the list, and stood back when it heard this one.
    let other = Ballot { counter: own.counter + 1, node: order()[1], incarnation: 22 };
    first.hear(Input::Peer(order()[2], told(other)));
    first.out.clear();
    let mut begun = None;
    for _ in 0..3 {
        first.tick(&order()[1..], ServerListPosition { ballot: other, number: 1 });
        begun = begun.max(first.prepares());
    }
    let begun = begun.expect("it notices, and begins a new ballot");
    expect_that!(begun, gt(other));
    first.promise(order()[2], begun);
    expect_that!(first.node.leader_ballot(part()), some(eq(begun)));
}

#[gtest]
fn it_notices_by_the_others_beats_too() {
    let mut first = First::leads();
    let own = first.node.leader_ballot(part()).expect("it leads");
    let other = Ballot { counter: own.counter + 1, node: order()[1], incarnation: 22 };
    first.out.clear();
    first.tick(&order()[1..], ServerListPosition { ballot: other, number: 1 });
    first.tick(&order()[1..], ServerListPosition { ballot: other, number: 1 });
    expect_that!(first.prepares(), some(gt(other)));
}
