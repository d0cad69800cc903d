//! Who reads the platform's list among three control nodes, as one of them sees it. On a hunted day nobody read it for seconds:
//! an owner whom another had deposed behind a link that was down went on reading under its old epoch, and what it read was refused.

use std::collections::BTreeSet;

use googletest::prelude::*;
use ivyhatch_control::stored::Stored;
use ivyhatch_control::{Action, Event, Identity, Node, Record};
use ivyhatch_protocol::feed::{Server, Servers};
use ivyhatch_protocol::ids::{Epoch, NodeId, Part};
use ivyhatch_protocol::peer::{Beat, Deciding, Group, Peer, Standing};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

/// Names are hashed: this duty falls to a part whose order begins with this member.
const LIST_DUTY: &str = "platform-list";
const TICK: Nanos = 100 * MILLISECOND;
const MEMBERS: [NodeId; 3] = [NodeId(1), NodeId(2), NodeId(3)];

fn part() -> Part {
    Part::of(LIST_DUTY)
}

/// The members in the order in which they own the part.
fn order() -> [NodeId; 3] {
    let start = usize::from(part().0) % MEMBERS.len();
    [0, 1, 2].map(|place| MEMBERS[(start + place) % MEMBERS.len()])
}

/// The first owner of the part, in virtual time, with the other two scripted.
struct First {
    node: Node,
    now: Nanos,
    beats: u64,
    out: Vec<Action>,
}

impl First {
    fn new() -> Self {
        let identity = Identity {
            me: order()[0],
            life: 11,
            has_disk: true,
            first_start: false,
            seeds: MEMBERS.to_vec(),
            zones: BTreeSet::new(),
            tolerate: 1,
            list_every: 500 * MILLISECOND,
        };
        let stored: Stored = [Record::Group(Group { members: MEMBERS.to_vec() })].into_iter().collect();
        Self { node: Node::new(identity, stored, 0), now: SECOND, beats: 0, out: Vec::new() }
    }

    fn hear(&mut self, event: Event) {
        self.node.handle(self.now, event, &mut self.out);
        self.finish_writes();
    }

    /// Whatever is to be stored is stored at once.
    fn finish_writes(&mut self) {
        let stores = |action: &Action| match action {
            Action::Store(token, _) => Some(*token),
            _ => None,
        };
        for token in self.out.iter().filter_map(stores).collect::<Vec<_>>() {
            self.out.retain(|action| stores(action) != Some(token));
            self.node.handle(self.now, Event::Stored(token), &mut self.out);
        }
    }

    /// A beat of another member's, which has such a list.
    fn beat(&mut self, from: NodeId, hears: &[NodeId], servers: (Epoch, u64)) {
        self.beats += 1;
        let beat = Beat {
            life: 22,
            number: self.beats,
            standing: Standing::Member,
            has_group: true,
            has_disk: true,
            hears: hears.to_vec(),
            knows: MEMBERS.to_vec(),
            in_touch: true,
            reads_list: true,
            decided: Vec::new(),
            servers,
        };
        self.hear(Event::Peer(from, Peer::Beat(beat)));
    }

    /// One tick later, after a beat of each of these, which hear all and have this list.
    fn tick(&mut self, there: &[NodeId], servers: (Epoch, u64)) {
        self.now += TICK;
        for from in there {
            self.beat(*from, &MEMBERS, servers);
        }
        self.hear(Event::Tick);
    }

    /// The epoch that it asks the others to promise, if it does.
    fn prepares(&mut self) -> Option<Epoch> {
        let prepare = |action: &Action| match action {
            Action::Tell(_, Peer::Deciding(of, Deciding::Prepare { epoch })) if *of == part() => Some(*epoch),
            _ => None,
        };
        let epoch = self.out.iter().filter_map(prepare).max();
        self.out.clear();
        epoch
    }

    fn promise(&mut self, from: NodeId, epoch: Epoch) {
        self.hear(Event::Peer(from, Peer::Deciding(part(), Deciding::Promise { epoch, accepted: None })));
    }

    /// It leads the part, with the last member's promise, and hears both others.
    fn leads() -> Self {
        let mut first = Self::new();
        let none = (Epoch::default(), 0);
        first.tick(&order()[1..], none);
        let epoch = first.prepares().expect("it begins an epoch");
        first.promise(order()[2], epoch);
        assert_eq!(first.node.owns(part()), Some(epoch));
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
        cold_left_ms: 0,
        remaining_ms: None,
    }
}

/// The whole list, as another reader has told it.
fn told(epoch: Epoch) -> Peer {
    Peer::Servers(Servers { epoch, from: None, to: 1, upsert: vec![server("i-1", false)], gone: Vec::new() })
}

#[gtest]
fn an_owner_that_was_deposed_without_hearing_of_it_begins_a_new_epoch() {
    let mut first = First::leads();
    let own = first.node.owns(part()).expect("it leads");
    // The second could not reach this one, led with the third's promise, read the list, and stood back when it heard this one.
    let other = Epoch { counter: own.counter + 1, node: order()[1], life: 22 };
    first.hear(Event::Peer(order()[2], told(other)));
    first.out.clear();
    let mut begun = None;
    for _ in 0..3 {
        first.tick(&order()[1..], (other, 1));
        begun = begun.max(first.prepares());
    }
    let begun = begun.expect("it notices, and begins a new epoch");
    expect_that!(begun, gt(other));
    first.promise(order()[2], begun);
    expect_that!(first.node.owns(part()), some(eq(begun)));
}

#[gtest]
fn it_notices_by_the_others_beats_too() {
    let mut first = First::leads();
    let own = first.node.owns(part()).expect("it leads");
    let other = Epoch { counter: own.counter + 1, node: order()[1], life: 22 };
    first.out.clear();
    first.tick(&order()[1..], (other, 1));
    first.tick(&order()[1..], (other, 1));
    expect_that!(first.prepares(), some(gt(other)));
}
