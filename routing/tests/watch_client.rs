//! Which control nodes a router follows and what it takes from them, one message at a time.

use googletest::prelude::*;
use ivyhatch_protocol::configuration::{Document, Item};
use ivyhatch_protocol::ids::{Ballot, NodeId, PartitionId};
use ivyhatch_protocol::watch::{
    EvacuationPosition, EvacuationUpdate, Position, Router, RouterState, Server, ServerListPosition,
    ServerListUpdate, WatchRequest, WatchResponse, ZoneEvacuation,
};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};
use ivyhatch_routing::watch_client::{EvacuationState, Input, Output, QuorumContact, WatchClient};

const START: Nanos = SECOND;
const TICK: Nanos = 100 * MILLISECOND;

struct Routed {
    follower: WatchClient,
    now: Nanos,
    /// The sessions that it wants.
    links: Vec<NodeId>,
    /// A whole, sound message that each linked node says every tick, so that none is silent.
    alive: Vec<(NodeId, Position, bool)>,
}

fn router() -> Router {
    let (zone, region) = ("a".to_owned(), "r".to_owned());
    Router {
        node: NodeId(99),
        client_address: "10.0.0.99:8000".to_owned(),
        zone,
        region,
        state: RouterState::Starting,
    }
}

fn nodes(count: u32) -> Vec<NodeId> {
    (1..=count).map(NodeId).collect()
}

fn document(revision: u64, routes: &[&str]) -> Document {
    let item = |name: &&str| Item { name: (*name).to_owned(), json: format!("{{\"name\":\"{name}\"}}") };
    let sections = [("routes".to_owned(), routes.iter().map(item).collect())].into();
    Document { revision, sections, ..Document::default() }
}

fn server(id: &str) -> Server {
    Server {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: "10.0.1.1:80".to_owned(),
        zone: "a".to_owned(),
        slots: 4,
        draining: false,
        warm_up_remaining_ms: 0,
        lifetime_remaining_ms: None,
    }
}

fn ballot(counter: u64) -> Ballot {
    Ballot { counter, node: NodeId(1), incarnation: 1 }
}

fn list(counter: u64, from: Option<u64>, to: u64, ids: &[&str]) -> WatchResponse {
    let upsert = ids.iter().map(|id| server(id)).collect();
    WatchResponse::ServerList(ServerListUpdate {
        ballot: ballot(counter),
        from,
        to,
        upsert,
        removed: Vec::new(),
    })
}

fn heads(position: Position, has_quorum: bool, routers: u32) -> WatchResponse {
    placed(position, has_quorum, routers, 0)
}

fn placed(position: Position, has_quorum: bool, routers: u32, place: u32) -> WatchResponse {
    WatchResponse::Progress {
        position,
        has_quorum,
        router_count: routers,
        router_index: place,
        control_nodes: Vec::new(),
    }
}

impl Routed {
    /// Knows this many control nodes, and has heard one tick.
    fn new(count: u32) -> Self {
        let follower = WatchClient::new(router(), &nodes(count), START);
        let mut routed = Self { follower, now: START, links: Vec::new(), alive: Vec::new() };
        routed.hear(Input::Tick);
        routed
    }

    /// Has sessions with three, the first of which is the nearest; each is in touch and says so every tick.
    fn linked() -> Self {
        let mut routed = Self::new(3);
        for (node, took) in nodes(3).into_iter().zip(1..) {
            routed.hear(Input::Connected { node, round_trip: took * MILLISECOND });
            routed.alive.push((node, Position::default(), true));
        }
        routed.pass(2 * TICK);
        routed
    }

    /// Takes one event; tells what is to be done.
    fn hear(&mut self, heard: Input) -> Vec<Output> {
        let mut done = Vec::new();
        self.follower.handle(self.now, heard, &mut done);
        for what in &done {
            if let Output::SetConnections(to) = what {
                self.links.clone_from(to);
            }
        }
        done
    }

    fn say(&mut self, from: u32, message: WatchResponse) -> Vec<Output> {
        self.hear(Input::Message(NodeId(from), message))
    }

    /// Lets time pass, with a tick and a sign of life of each in every tenth of a second.
    fn pass(&mut self, span: Nanos) -> Vec<Output> {
        let end = self.now + span;
        let mut done = Vec::new();
        while self.now < end {
            self.now = (self.now + TICK).min(end);
            done.extend(self.hear(Input::Tick));
            for (node, position, has_quorum) in self.alive.clone() {
                done.extend(self.hear(Input::Message(node, heads(position, has_quorum, 0))));
            }
        }
        done
    }

    /// From now on this one says so of itself; silent without.
    fn says(&mut self, node: u32, says: Option<(Position, bool)>) {
        self.alive.retain(|(of, ..)| *of != NodeId(node));
        self.alive.extend(says.map(|(position, has_quorum)| (NodeId(node), position, has_quorum)));
    }

    fn configured(&self) -> (u64, u64) {
        (self.follower.sequence(), self.follower.document().revision)
    }
}

/// Who was told who is the primary one.
fn follows(done: &[Output]) -> Vec<(NodeId, bool)> {
    let told = |done: &Output| match done {
        Output::Send(to, WatchRequest::Subscribe { primary, .. }) => Some((*to, *primary)),
        _ => None,
    };
    done.iter().filter_map(told).collect()
}

fn wants(done: &[Output]) -> Vec<(NodeId, Position)> {
    let told = |done: &Output| match done {
        Output::Send(to, WatchRequest::Fetch { position }) => Some((*to, position.clone())),
        _ => None,
    };
    done.iter().filter_map(told).collect()
}

fn routers(done: &[Output]) -> Vec<u32> {
    let told = |done: &Output| if let Output::RouterShare(share) = done { Some(share.count) } else { None };
    done.iter().filter_map(told).collect()
}

fn configurations(done: &[Output]) -> usize {
    done.iter().filter(|done| matches!(done, Output::ConfigurationChanged(_))).count()
}

#[gtest]
fn three_links_are_kept_however_many_are_known() {
    for (known, kept) in [(1, 1), (2, 2), (3, 3), (9, 3)] {
        let routed = Routed::new(known);
        expect_that!(routed.links, len(eq(kept)));
        let unchanged = Routed::new(known).pass(SECOND);
        expect_that!(unchanged.iter().any(|done| matches!(done, Output::SetConnections(_))), eq(false));
    }
    let mut routed = Routed::new(1);
    routed.hear(Input::Seeds(nodes(7)));
    expect_that!(routed.links, len(eq(3)));
}

#[gtest]
fn routers_spread_over_the_control_nodes() {
    let mut chosen = std::collections::BTreeSet::new();
    for number in 0..30 {
        let router = Router { client_address: format!("10.0.0.{number}:8000"), ..router() };
        let (mut follower, mut done) = (WatchClient::new(router, &nodes(9), START), Vec::new());
        follower.handle(START, Input::Tick, &mut done);
        for what in done {
            if let Output::SetConnections(to) = what {
                chosen.extend(to);
            }
        }
    }
    expect_that!(chosen, len(eq(9)));
}

#[gtest]
fn control_nodes_that_are_told_of_are_known() {
    let mut routed = Routed::new(1);
    routed.hear(Input::Connected { node: NodeId(1), round_trip: MILLISECOND });
    let message = WatchResponse::Progress {
        position: Position::default(),
        has_quorum: true,
        router_count: 1,
        router_index: 0,
        control_nodes: nodes(3),
    };
    routed.say(1, message);
    expect_that!(routed.links, eq(&nodes(3)));
}

#[gtest]
fn each_known_one_is_tried_again_soon_while_none_can_be_reached() {
    // More are gone for good than are followed at once; the one that is there again may be any of them.
    for wanted in nodes(6) {
        let mut routed = Routed::new(6);
        for _ in 0..300 {
            let links = routed.links.clone();
            links.into_iter().for_each(|node| drop(routed.hear(Input::Disconnected(node))));
            routed.pass(TICK);
        }
        let mut tried_after = None;
        for tick in 0..60 {
            if routed.links.contains(&wanted) {
                tried_after.get_or_insert(tick);
            }
            let links = routed.links.clone();
            links.into_iter().for_each(|node| drop(routed.hear(Input::Disconnected(node))));
            routed.pass(TICK);
        }
        expect_that!(tried_after, some(le(45)), "{wanted}");
    }
}

#[gtest]
fn one_that_cannot_be_reached_makes_room_for_another() {
    let mut routed = Routed::new(4);
    let first = routed.links.clone();
    routed.hear(Input::Disconnected(first[0]));
    routed.pass(SECOND);
    expect_that!(routed.links, eq(&first), "it may come back");
    for _ in 0..20 {
        routed.hear(Input::Disconnected(first[0]));
        routed.pass(TICK);
    }
    expect_that!(routed.links, not(contains(eq(&first[0]))));
    expect_that!(routed.links, len(eq(3)));
    // Where there is no other it is kept.
    let mut only = Routed::new(3);
    only.hear(Input::Disconnected(NodeId(1)));
    only.pass(5 * SECOND);
    expect_that!(only.links, eq(&nodes(3)));
}

#[gtest]
fn the_nearest_in_touch_is_the_next_primary_one() {
    // Of the two that are left: how far each is, whether it is in touch, and which one is taken.
    for (two, three, next) in [
        ((3, true), (6, true), 2),
        ((6, true), (3, true), 3),
        ((3, false), (6, true), 3),
        ((6, true), (3, false), 2),
        ((6, false), (3, false), 3),
    ] {
        let mut routed = Routed::new(3);
        routed.hear(Input::Connected { node: NodeId(1), round_trip: MILLISECOND });
        routed.says(1, Some((Position::default(), true)));
        routed.pass(TICK);
        for (node, (took, has_quorum)) in [(2, two), (3, three)] {
            routed.hear(Input::Connected { node: NodeId(node), round_trip: took * MILLISECOND });
            routed.says(node, Some((Position::default(), has_quorum)));
        }
        routed.pass(SECOND);
        let done = routed.hear(Input::Disconnected(NodeId(1)));
        expect_that!(follows(&done), elements_are![eq(&(NodeId(next), true))], "{two:?} {three:?}");
    }
}

#[gtest]
fn a_primary_one_that_is_sound_is_kept_though_a_nearer_one_comes() {
    let mut routed = Routed::new(3);
    routed.hear(Input::Connected { node: NodeId(3), round_trip: 9 * MILLISECOND });
    routed.says(3, Some((Position::default(), true)));
    routed.pass(SECOND);
    routed.hear(Input::Connected { node: NodeId(1), round_trip: MILLISECOND });
    routed.says(1, Some((Position::default(), true)));
    let done = routed.pass(3 * SECOND);
    expect_that!(follows(&done).iter().any(|(_, primary)| *primary), eq(false));
}

#[gtest]
fn a_silent_primary_one_is_left_within_two_seconds() {
    let mut routed = Routed::linked();
    routed.says(1, None);
    let done = routed.pass(2 * SECOND);
    expect_that!(follows(&done), contains(eq(&(NodeId(2), true))));
    expect_that!(follows(&done), contains(eq(&(NodeId(1), false))), "its session stands: it is told");
}

#[gtest]
fn a_primary_one_that_ends_is_left_at_once() {
    let mut routed = Routed::linked();
    let done = routed.hear(Input::Disconnected(NodeId(1)));
    expect_that!(follows(&done), elements_are![eq(&(NodeId(2), true))]);
}

#[gtest]
fn a_primary_one_out_of_touch_is_left_for_one_in_touch() {
    let mut routed = Routed::linked();
    let done = routed.say(1, heads(Position::default(), false, 0));
    expect_that!(follows(&done), contains(eq(&(NodeId(2), true))));
    // All are out of touch: one of them is better than none.
    let mut routed = Routed::linked();
    (1..=3).for_each(|node| routed.says(node, Some((Position::default(), false))));
    routed.pass(SECOND);
    let told = routed.say(1, WatchResponse::Snapshot { sequence: 1, document: document(1, &[]).into() });
    expect_that!(configurations(&told), eq(1));
}

#[gtest]
fn signs_of_life_go_to_each_and_a_new_state_at_once() {
    let mut routed = Routed::linked();
    let beats = |done: &[Output], of: RouterState| {
        let to = |done: &Output| match done {
            Output::Send(to, WatchRequest::Heartbeat { state }) if *state == of => Some(*to),
            _ => None,
        };
        done.iter().filter_map(to).collect::<Vec<_>>()
    };
    let done = routed.pass(SECOND);
    expect_that!(beats(&done, RouterState::Starting).len(), all![ge(3), le(9)]);
    let done = routed.hear(Input::State(RouterState::Ready));
    expect_that!(beats(&done, RouterState::Ready), eq(&nodes(3)));
    expect_that!(routed.hear(Input::State(RouterState::Ready)), is_empty(), "it is nothing new");
}

#[gtest]
fn what_the_primary_one_does_not_bring_is_wanted_from_who_has_it() {
    let mut routed = Routed::linked();
    let ahead = Position { configuration: 4, ..Position::default() };
    routed.says(2, Some((ahead, true)));
    let done = routed.pass(2 * TICK);
    expect_that!(wants(&done), is_empty(), "the primary one may bring it yet");
    let done = routed.pass(SECOND);
    expect_that!(wants(&done), contains(eq(&(NodeId(2), Position::default()))));
    expect_that!(wants(&done).iter().all(|(to, _)| *to == NodeId(2)), eq(true));
    expect_that!(wants(&done).len(), le(3), "not at every tick");
    routed.say(2, WatchResponse::Snapshot { sequence: 4, document: document(8, &["a"]).into() });
    expect_that!(wants(&routed.pass(SECOND)), is_empty());
}

#[gtest]
fn each_thing_that_is_behind_is_wanted() {
    let behind = [
        Position { configuration: 1, ..Position::default() },
        Position {
            evacuations: vec![EvacuationPosition { partition: PartitionId(3), sequence: 1 }],
            ..Position::default()
        },
        Position { server_list: ServerListPosition { ballot: ballot(1), number: 1 }, ..Position::default() },
    ];
    for position in behind {
        let mut routed = Routed::linked();
        routed.says(3, Some((position.clone(), true)));
        expect_that!(wants(&routed.pass(SECOND)), not(is_empty()), "{position:?}");
    }
}

#[gtest]
fn no_older_configuration_is_taken() {
    let mut routed = Routed::linked();
    let told = routed.say(1, WatchResponse::Snapshot { sequence: 5, document: document(50, &["a"]).into() });
    expect_that!(configurations(&told), eq(1));
    for (from, sequence) in [(1, 5), (2, 5), (2, 4), (3, 1), (1, 0)] {
        let told = routed
            .say(from, WatchResponse::Snapshot { sequence, document: document(sequence * 7, &["b"]).into() });
        expect_that!(configurations(&told), eq(0), "{sequence} from {from}");
        expect_that!(routed.configured(), eq((5, 50)));
    }
    // A session that begins anew changes nothing in that.
    routed.hear(Input::Disconnected(NodeId(1)));
    routed.hear(Input::Connected { node: NodeId(1), round_trip: MILLISECOND });
    routed.say(1, WatchResponse::Snapshot { sequence: 4, document: document(40, &["b"]).into() });
    expect_that!(routed.configured(), eq((5, 50)));
    routed.say(3, WatchResponse::Snapshot { sequence: 6, document: document(60, &["b"]).into() });
    expect_that!(routed.configured(), eq((6, 60)), "from whomever it comes");
}

#[gtest]
fn only_the_change_that_follows_on_is_taken() {
    let (old, new) = (document(50, &["a", "b"]), document(60, &["b", "c"]));
    let change = old.diff(&new);
    for (from, to, taken) in
        [(5, 6, true), (5, 9, true), (4, 6, false), (6, 7, false), (0, 6, false), (5, 5, false)]
    {
        let mut routed = Routed::linked();
        routed.say(1, WatchResponse::Snapshot { sequence: 5, document: old.clone().into() });
        let told = routed.say(2, WatchResponse::Change { from, to, change: change.clone().into() });
        expect_that!(configurations(&told), eq(usize::from(taken)), "{from} to {to}");
        let expected = if taken { (to, 60) } else { (5, 50) };
        expect_that!(routed.configured(), eq(expected));
        let again = routed.say(1, WatchResponse::Change { from, to, change: change.clone().into() });
        expect_that!(configurations(&again), eq(0), "a second time it does not follow on");
    }
}

#[gtest]
fn what_a_change_says_is_what_has_changed() {
    let mut routed = Routed::linked();
    routed.say(1, WatchResponse::Snapshot { sequence: 5, document: document(50, &["a", "b"]).into() });
    let told =
        routed.say(1, WatchResponse::Snapshot { sequence: 9, document: document(90, &["b", "c"]).into() });
    let change = told
        .into_iter()
        .find_map(|done| if let Output::ConfigurationChanged(change) = done { Some(change) } else { None });
    let change = change.expect("a change");
    expect_that!(change.remove["routes"], elements_are![eq("a")]);
    expect_that!(
        change.upsert["routes"].iter().map(|item| item.name.as_str()).collect::<Vec<_>>(),
        elements_are![eq(&"c")]
    );
}

#[gtest]
fn servers_of_a_lower_epoch_are_refused() {
    let ids = |routed: &Routed| {
        routed.follower.server_list().servers(routed.now).map(|server| server.id).collect::<Vec<_>>()
    };
    let mut routed = Routed::linked();
    routed.say(1, list(5, None, 3, &["x"]));
    expect_that!(ids(&routed), elements_are![eq("x")]);
    for (counter, from, to) in
        [(4, None, 99), (4, Some(3), 4), (5, None, 2), (5, None, 3), (5, Some(2), 4), (5, Some(4), 5)]
    {
        let told = routed.say(2, list(counter, from, to, &["y"]));
        expect_that!(told.contains(&Output::ServersChanged), eq(false), "{counter} {from:?} {to}");
        expect_that!(ids(&routed), elements_are![eq("x")]);
    }
    routed.say(2, list(5, Some(3), 4, &["y"]));
    expect_that!(ids(&routed), elements_are![eq("x"), eq("y")]);
    let told = routed.say(3, list(6, None, 1, &["z"]));
    expect_that!(told.contains(&Output::ServersChanged), eq(true), "a new reader begins anew");
    expect_that!(ids(&routed), elements_are![eq("z")]);
}

#[gtest]
fn evacuations_go_forward_only() {
    let part = PartitionId::for_key("a");
    let told = |sequence, active, changes| {
        WatchResponse::Evacuations(EvacuationUpdate {
            partition: part,
            sequence,
            zones: vec![ZoneEvacuation { zone: "a".to_owned(), active, change_count: changes }],
        })
    };
    let mut routed = Routed::linked();
    expect_that!(routed.follower.evacuation("a"), eq(EvacuationState { active: false, changes: 0 }));
    expect_that!(routed.say(1, told(2, true, 1)), contains(eq(&Output::ServersChanged)));
    expect_that!(routed.follower.evacuation("a"), eq(EvacuationState { active: true, changes: 1 }));
    expect_that!(routed.follower.evacuation("b"), eq(EvacuationState { active: false, changes: 0 }));
    for sequence in [0, 1, 2] {
        expect_that!(routed.say(2, told(sequence, false, 0)).contains(&Output::ServersChanged), eq(false));
        expect_that!(routed.follower.evacuation("a"), eq(EvacuationState { active: true, changes: 1 }));
    }
    routed.say(2, told(3, false, 2));
    expect_that!(routed.follower.evacuation("a"), eq(EvacuationState { active: false, changes: 2 }));
}

#[gtest]
fn it_is_ready_with_a_configuration_and_a_list() {
    let mut routed = Routed::linked();
    expect_that!(routed.follower.is_ready(), eq(false));
    routed.say(1, list(1, None, 1, &[]));
    expect_that!(routed.follower.is_ready(), eq(false));
    routed.say(1, WatchResponse::Snapshot { sequence: 1, document: document(1, &[]).into() });
    expect_that!(routed.follower.is_ready(), eq(true), "an empty list is a list");
    let mut other = Routed::linked();
    other.say(1, WatchResponse::Snapshot { sequence: 1, document: document(1, &[]).into() });
    expect_that!(other.follower.is_ready(), eq(false));
}

#[gtest]
fn counts_of_routers_rise_at_once_and_fall_late() {
    let mut routed = Routed::linked();
    let count =
        |routed: &mut Routed, from, of| routers(&routed.say(from, heads(Position::default(), true, of)));
    expect_that!(count(&mut routed, 1, 6), elements_are![eq(&6)]);
    expect_that!(count(&mut routed, 2, 9), elements_are![eq(&9)]);
    for of in [9, 3, 0, 1] {
        expect_that!(count(&mut routed, 1, of), is_empty(), "{of}");
    }
    routed.pass(5 * SECOND);
    expect_that!(count(&mut routed, 1, 3), is_empty(), "others may still see the nine");
    routed.pass(60 * SECOND);
    expect_that!(count(&mut routed, 1, 0), is_empty(), "0 is no count");
    expect_that!(count(&mut routed, 1, 3), elements_are![eq(&3)]);
}

#[gtest]
fn the_place_among_the_routers_is_told_as_it_changes() {
    let mut routed = Routed::linked();
    let told = |routed: &mut Routed, routers, place| {
        let done = routed.say(1, placed(Position::default(), true, routers, place));
        done.iter().find_map(|done| {
            if let Output::RouterShare(share) = done { Some((share.count, share.index)) } else { None }
        })
    };
    expect_that!(told(&mut routed, 6, 2), some(eq((6, 2))));
    expect_that!(told(&mut routed, 6, 2), none(), "nothing has changed");
    expect_that!(told(&mut routed, 6, 3), some(eq((6, 3))));
    expect_that!(told(&mut routed, 4, 0), none(), "fewer are not believed at once");
    expect_that!(told(&mut routed, 0, 1), none());
}

#[gtest]
fn a_count_that_is_told_again_does_not_fall() {
    let mut routed = Routed::linked();
    let count =
        |routed: &mut Routed, from, of| routers(&routed.say(from, heads(Position::default(), true, of)));
    count(&mut routed, 1, 9);
    for _ in 0..12 {
        routed.pass(10 * SECOND);
        expect_that!(count(&mut routed, 1, 9), is_empty());
        expect_that!(count(&mut routed, 2, 4), is_empty(), "the other is cut off from some");
    }
}

#[gtest]
fn one_that_is_not_followed_is_not_heard() {
    let mut routed = Routed::linked();
    let told = routed.say(42, WatchResponse::Snapshot { sequence: 1, document: document(1, &[]).into() });
    expect_that!(told, is_empty());
    expect_that!(routed.configured().0, eq(0));
}

#[gtest]
fn that_no_control_node_is_in_touch_is_told_once_and_its_end_as_well() {
    let touch = |done: &[Output]| {
        let told = |done: &Output| {
            if let Output::QuorumContact(contact) = done {
                Some(*contact == QuorumContact::Established)
            } else {
                None
            }
        };
        done.iter().filter_map(told).collect::<Vec<_>>()
    };
    let mut routed = Routed::linked();
    expect_that!(touch(&routed.pass(5 * SECOND)), is_empty());
    (1..=2).for_each(|node| routed.says(node, Some((Position::default(), false))));
    expect_that!(touch(&routed.pass(5 * SECOND)), is_empty(), "one is enough");
    routed.says(3, None);
    expect_that!(touch(&routed.pass(5 * SECOND)), elements_are![eq(&false)]);
    routed.says(2, Some((Position::default(), true)));
    expect_that!(touch(&routed.pass(SECOND)), elements_are![eq(&true)]);
}

#[gtest]
fn nothing_is_wanted_a_second_time_while_a_large_message_arrives() {
    let mut routed = Routed::linked();
    let ahead = Position { configuration: 4, ..Position::default() };
    (1..=3).for_each(|node| routed.says(node, Some((ahead.clone(), true))));
    for _ in 0..20 {
        routed.hear(Input::Fragment(NodeId(1)));
        expect_that!(wants(&routed.pass(TICK)), is_empty(), "it is on its way");
    }
    expect_that!(wants(&routed.pass(SECOND)), not(is_empty()), "it has stopped coming");
}

#[gtest]
fn a_fragment_is_a_sign_of_life() {
    let mut routed = Routed::linked();
    routed.says(1, None);
    for _ in 0..30 {
        routed.hear(Input::Fragment(NodeId(1)));
        expect_that!(follows(&routed.pass(TICK)), is_empty());
    }
    expect_that!(follows(&routed.pass(2 * SECOND)), contains(eq(&(NodeId(2), true))));
}

#[gtest]
fn what_came_during_a_stall_of_the_router_is_read_before_a_node_is_called_silent() {
    for stall in [2 * SECOND, 20 * SECOND] {
        let mut routed = Routed::linked();
        routed.now += stall;
        let mut done = routed.hear(Input::Tick);
        done.extend(routed.say(3, heads(Position::default(), true, 0)));
        done.extend(routed.say(1, heads(Position::default(), true, 0)));
        done.extend(routed.pass(SECOND));
        expect_that!(follows(&done), is_empty(), "the primary one stays");
        expect_that!(done.iter().any(|done| matches!(done, Output::QuorumContact(_))), eq(false));
        // One that says nothing then is silent all the same.
        routed.alive.clear();
        routed.now += stall;
        routed.hear(Input::Tick);
        let done = routed.pass(SECOND);
        expect_that!(done.contains(&Output::QuorumContact(QuorumContact::Lost)), eq(true));
    }
}

#[gtest]
fn a_first_event_that_comes_late_is_no_stall() {
    let mut follower = WatchClient::new(router(), &nodes(3), START);
    let mut done = Vec::new();
    follower.handle(START + 10 * SECOND, Input::Tick, &mut done);
    expect_that!(
        done.contains(&Output::SetConnections(nodes(3))),
        eq(true),
        "there is nothing to catch up with"
    );
}
