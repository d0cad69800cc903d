//! Who leads again after another has deposed it, and when. On a hunted day the first in the order rested for seconds, and as nobody
//! else leads while it is there, nobody read the platform's list.

use std::collections::BTreeSet;

use googletest::prelude::*;
use ivyhatch_control::stored::Stored;
use ivyhatch_control::{Action, Event, Identity, Node, Record};
use ivyhatch_protocol::ids::{Epoch, NodeId, Part};
use ivyhatch_protocol::peer::{Beat, Deciding, Group, Peer, Standing};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

const MEMBERS: [NodeId; 3] = [NodeId(1), NodeId(2), NodeId(3)];

fn member() -> Node {
    let identity = Identity {
        me: MEMBERS[0],
        life: 11,
        has_disk: true,
        first_start: false,
        seeds: MEMBERS.to_vec(),
        zones: BTreeSet::new(),
        tolerate: 1,
        list_every: SECOND,
    };
    let stored: Stored = [Record::Group(Group { members: MEMBERS.to_vec() })].into_iter().collect();
    Node::new(identity, stored, 0)
}

fn beat(number: u64) -> Peer {
    Peer::Beat(Beat {
        life: 22,
        number,
        standing: Standing::Member,
        has_group: true,
        has_disk: true,
        hears: MEMBERS.to_vec(),
        knows: MEMBERS.to_vec(),
        in_touch: true,
        reads_list: true,
        decided: Vec::new(),
        servers: (Epoch::default(), 0),
    })
}

/// Whether the node begins an epoch of this part's at its next tick, with this other member there.
fn leads(node: &mut Node, at: Nanos, with: NodeId, part: Part) -> bool {
    let mut out = Vec::new();
    node.handle(at, Event::Peer(with, beat(at)), &mut out);
    node.handle(at, Event::Tick, &mut out);
    out.iter().any(|action| {
        matches!(action, Action::Tell(_, Peer::Deciding(of, Deciding::Prepare { .. })) if *of == part)
    })
}

fn depose(node: &mut Node, at: Nanos, by: NodeId, part: Part, counter: u64) {
    let promised = Epoch { counter, node: by, life: 22 };
    let refuse = Peer::Deciding(part, Deciding::Refuse { promised });
    node.handle(at, Event::Peer(by, refuse), &mut Vec::new());
}

#[gtest]
fn the_first_in_the_order_leads_again_at_once_however_often() {
    let (mut node, part) = (member(), Part(0));
    let mut at = 100 * MILLISECOND;
    expect_true!(leads(&mut node, at, NodeId(2), part));
    for counter in 10..30 {
        depose(&mut node, at, NodeId(2), part, counter);
        at += 100 * MILLISECOND;
        expect_true!(leads(&mut node, at, NodeId(2), part), "after {counter}");
    }
}

#[gtest]
fn one_further_back_rests_first() {
    // The third is the first in this part's order, and not heard.
    let (mut node, part) = (member(), Part(2));
    expect_true!(leads(&mut node, 100 * MILLISECOND, NodeId(2), part));
    depose(&mut node, 100 * MILLISECOND, NodeId(2), part, 10);
    for at in [150, 250, 390] {
        expect_false!(leads(&mut node, at * MILLISECOND, NodeId(2), part), "{at}");
    }
    expect_true!(leads(&mut node, 401 * MILLISECOND, NodeId(2), part));
}
