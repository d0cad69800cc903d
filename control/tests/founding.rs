//! How the group is told to those who start with it, and to no one who has lost a disk.

use std::collections::BTreeSet;

use googletest::prelude::*;
use ivyhatch_control::stored::Stored;
use ivyhatch_control::{Action, Event, Identity, Node, Record};
use ivyhatch_protocol::ids::{Epoch, NodeId};
use ivyhatch_protocol::peer::{Beat, Group, Peer, Standing};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

const FOUNDER: NodeId = NodeId(1);
const MEMBERS: [NodeId; 3] = [FOUNDER, NodeId(2), NodeId(3)];

fn identity(first_start: bool) -> Identity {
    Identity {
        me: FOUNDER,
        life: 11,
        has_disk: true,
        first_start,
        seeds: MEMBERS.to_vec(),
        zones: BTreeSet::new(),
        tolerate: 1,
        list_every: SECOND,
    }
}

fn beat(life: u64, number: u64, standing: Standing, has_group: bool) -> Peer {
    Peer::Beat(Beat {
        life,
        number,
        standing,
        has_group,
        has_disk: true,
        hears: MEMBERS.to_vec(),
        knows: MEMBERS.to_vec(),
        in_touch: false,
        reads_list: true,
        decided: Vec::new(),
        servers: (Epoch::default(), 0),
    })
}

/// Whom the founder tells of the group, once these have said a sign of life.
fn told(founder: &mut Node, at: Nanos, beats: &[(NodeId, Peer)]) -> Vec<(NodeId, u64)> {
    let mut out = Vec::new();
    for (from, beat) in beats {
        founder.handle(at, Event::Peer(*from, beat.clone()), &mut out);
    }
    founder.handle(at, Event::Tick, &mut out);
    // Of a group that is not on the founder's disk yet nobody is told: a loss of power could undo it.
    let stores = |action: &Action| match action {
        Action::Store(token, records) => {
            Some((*token, records.iter().any(|record| matches!(record, Record::Group(_)))))
        }
        _ => None,
    };
    let writes: Vec<_> = out.iter().filter_map(stores).collect();
    if writes.iter().any(|(_, group)| *group) {
        expect_false!(out.iter().any(|action| matches!(action, Action::Tell(_, Peer::Found { .. }))));
    }
    for (token, _) in writes {
        founder.handle(at, Event::Stored(token), &mut out);
    }
    founder.handle(at, Event::Tick, &mut out);
    let found = |action: Action| match action {
        Action::Tell(to, Peer::Found { life, .. }) => Some((to, life)),
        _ => None,
    };
    out.into_iter().filter_map(found).collect()
}

#[gtest]
fn those_who_start_with_it_are_told() {
    let mut founder = Node::new(identity(true), Stored::default(), 0);
    // One of them was started anew before there was a group: it has promised nothing in it.
    let beats = [
        (NodeId(2), beat(22, 1, Standing::Fresh, false)),
        (NodeId(3), beat(33, 1, Standing::Forgotten, false)),
    ];
    expect_that!(told(&mut founder, 100 * MILLISECOND, &beats), is_empty());
    let beats = [
        (NodeId(2), beat(22, 2, Standing::Fresh, false)),
        (NodeId(3), beat(33, 2, Standing::Forgotten, false)),
    ];
    let all = told(&mut founder, 1_600 * MILLISECOND, &beats);
    expect_that!(all, elements_are![eq(&(NodeId(2), 22)), eq(&(NodeId(3), 33))]);
}

#[gtest]
fn a_life_that_came_after_the_group_has_to_ask() {
    let mut founder = Node::new(identity(true), Stored::default(), 0);
    let fresh = |number| {
        [
            (NodeId(2), beat(22, number, Standing::Fresh, false)),
            (NodeId(3), beat(33, number, Standing::Fresh, false)),
        ]
    };
    told(&mut founder, 100 * MILLISECOND, &fresh(1));
    expect_that!(told(&mut founder, 1_600 * MILLISECOND, &fresh(2)), len(eq(2)));
    let wiped = [(NodeId(3), beat(34, 1, Standing::Forgotten, false))];
    expect_that!(told(&mut founder, 5 * SECOND, &wiped), not(contains(eq(&(NodeId(3), 34)))));
}

#[gtest]
fn a_founder_that_was_started_anew_tells_nobody_who_has_lost_a_disk() {
    let group = Group { members: MEMBERS.to_vec() };
    let stored: Stored = [Record::Group(group)].into_iter().collect();
    let mut founder = Node::new(identity(false), stored, 0);
    let beats = [
        (NodeId(2), beat(22, 1, Standing::Member, true)),
        (NodeId(3), beat(34, 1, Standing::Forgotten, false)),
    ];
    expect_that!(told(&mut founder, 500 * MILLISECOND, &beats), is_empty());
}

#[gtest]
fn a_founder_that_was_started_anew_still_tells_those_who_never_heard_of_the_group() {
    let group = Group { members: MEMBERS.to_vec() };
    let stored: Stored = [Record::Group(group)].into_iter().collect();
    let mut founder = Node::new(identity(false), stored, 0);
    let beats =
        [(NodeId(2), beat(22, 1, Standing::Member, true)), (NodeId(3), beat(33, 1, Standing::Fresh, false))];
    expect_that!(told(&mut founder, 500 * MILLISECOND, &beats), elements_are![eq(&(NodeId(3), 33))]);
}
