//! The control nodes that a router connects to, and the state that it replicates from them.

use std::collections::BTreeSet;

use googletest::prelude::*;
use ivyhatch_protocol::configuration::{Document, Item};
use ivyhatch_protocol::ids::{Ballot, NodeId, PartitionId};
use ivyhatch_protocol::watch::{
    ControlNode, EvacuationPosition, EvacuationUpdate, Position, Router, RouterState, Server,
    ServerListChange, ServerListPosition, ServerListUpdate, WatchRequest, WatchResponse, ZoneEvacuation,
};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};
use ivyhatch_routing::watch_client::{EvacuationState, Input, Output, QuorumContact, WatchClient};

const START: Nanos = SECOND;
const TICK: Nanos = 100 * MILLISECOND;

struct Harness {
    client: WatchClient,
    now: Nanos,
    /// The control nodes of the client's last `SetConnections` output.
    connections: Vec<NodeId>,
    /// The nodes that send a progress message at every tick, so that they are not silent, with their positions and whether they have a
    /// quorum.
    reporting_nodes: Vec<(NodeId, Position, bool)>,
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

/// The zones of the router's region; the router is in zone `a`.
fn region_zones() -> BTreeSet<String> {
    BTreeSet::from(["a".to_owned(), "b".to_owned()])
}

fn control_nodes(zones: &[(u32, &str)]) -> WatchResponse {
    let control_node =
        |(node, zone): &(u32, &str)| ControlNode { node: NodeId(*node), zone: (*zone).to_owned() };
    WatchResponse::ControlNodes(zones.iter().map(control_node).collect())
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

fn server_list_update(counter: u64, from: Option<u64>, to: u64, ids: &[&str]) -> WatchResponse {
    let upsert = ids.iter().map(|id| server(id)).collect();
    WatchResponse::ServerList(ServerListUpdate {
        ballot: ballot(counter),
        from,
        to,
        upsert,
        removed: Vec::new(),
    })
}

fn progress(position: Position, has_quorum: bool, routers: u32) -> WatchResponse {
    progress_with_index(position, has_quorum, routers, 0)
}

fn progress_with_index(position: Position, has_quorum: bool, routers: u32, index: u32) -> WatchResponse {
    WatchResponse::Progress {
        position,
        has_quorum,
        router_count: routers,
        router_index: index,
        control_nodes: Vec::new(),
    }
}

impl Harness {
    /// A client that knows `count` control nodes, after one tick.
    fn new(count: u32) -> Self {
        let client = WatchClient::new(router(), region_zones(), &nodes(count), START);
        let mut harness = Self { client, now: START, connections: Vec::new(), reporting_nodes: Vec::new() };
        harness.handle(Input::Tick);
        harness
    }

    /// A client connected to three nodes. Node 1 has the shortest round trip; each node reports at every tick that it has a quorum.
    fn connected() -> Self {
        let mut harness = Self::new(3);
        for (node, round_trip_ms) in nodes(3).into_iter().zip(1..) {
            harness.handle(Input::Connected { node, round_trip: round_trip_ms * MILLISECOND });
            harness.reporting_nodes.push((node, Position::default(), true));
        }
        harness.advance(2 * TICK);
        harness
    }

    /// Handles one input. Returns the outputs.
    fn handle(&mut self, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.client.handle(self.now, input, &mut outputs);
        for output in &outputs {
            if let Output::SetConnections(to) = output {
                self.connections.clone_from(to);
            }
        }
        outputs
    }

    fn receive(&mut self, from: u32, message: WatchResponse) -> Vec<Output> {
        self.handle(Input::Message(NodeId(from), message))
    }

    /// Advances the time by `span`, with a tick and a progress message of each reporting node every 100 ms.
    fn advance(&mut self, span: Nanos) -> Vec<Output> {
        let end = self.now + span;
        let mut outputs = Vec::new();
        while self.now < end {
            self.now = (self.now + TICK).min(end);
            outputs.extend(self.handle(Input::Tick));
            for (node, position, has_quorum) in self.reporting_nodes.clone() {
                outputs.extend(self.handle(Input::Message(node, progress(position, has_quorum, 0))));
            }
        }
        outputs
    }

    /// Sets the progress that a node reports from now on; with `None` the node is silent.
    fn set_report(&mut self, node: u32, report: Option<(Position, bool)>) {
        self.reporting_nodes.retain(|(of, ..)| *of != NodeId(node));
        self.reporting_nodes
            .extend(report.map(|(position, has_quorum)| (NodeId(node), position, has_quorum)));
    }

    fn configuration_versions(&self) -> (u64, u64) {
        (self.client.sequence(), self.client.document().revision)
    }
}

/// The nodes that a subscription was sent to, and whether the node is subscribed to as the primary.
fn subscriptions(outputs: &[Output]) -> Vec<(NodeId, bool)> {
    let matching = |output: &Output| match output {
        Output::Send(to, WatchRequest::Subscribe { primary, .. }) => Some((*to, *primary)),
        _ => None,
    };
    outputs.iter().filter_map(matching).collect()
}

fn fetches(outputs: &[Output]) -> Vec<(NodeId, Position)> {
    let matching = |output: &Output| match output {
        Output::Send(to, WatchRequest::Fetch { position }) => Some((*to, position.clone())),
        _ => None,
    };
    outputs.iter().filter_map(matching).collect()
}

fn router_counts(outputs: &[Output]) -> Vec<u32> {
    let matching =
        |output: &Output| if let Output::RouterShare(share) = output { Some(share.count) } else { None };
    outputs.iter().filter_map(matching).collect()
}

fn configurations(outputs: &[Output]) -> usize {
    outputs.iter().filter(|output| matches!(output, Output::ConfigurationChanged(_))).count()
}

#[gtest]
fn at_most_three_connections_are_kept_however_many_nodes_are_known() {
    for (known, kept) in [(1, 1), (2, 2), (3, 3), (9, 3)] {
        let harness = Harness::new(known);
        expect_that!(harness.connections, len(eq(kept)));
        let unchanged = Harness::new(known).advance(SECOND);
        expect_that!(unchanged.iter().any(|output| matches!(output, Output::SetConnections(_))), eq(false));
    }
    let mut harness = Harness::new(1);
    harness.handle(Input::Seeds(nodes(7)));
    expect_that!(harness.connections, len(eq(3)));
}

#[gtest]
fn different_routers_select_different_control_nodes() {
    let mut chosen = std::collections::BTreeSet::new();
    for number in 0..30 {
        let router = Router { client_address: format!("10.0.0.{number}:8000"), ..router() };
        let (mut client, mut outputs) =
            (WatchClient::new(router, region_zones(), &nodes(9), START), Vec::new());
        client.handle(START, Input::Tick, &mut outputs);
        for output in outputs {
            if let Output::SetConnections(to) = output {
                chosen.extend(to);
            }
        }
    }
    expect_that!(chosen, len(eq(9)));
}

#[gtest]
fn control_nodes_named_in_progress_are_connected_to() {
    let mut harness = Harness::new(1);
    harness.handle(Input::Connected { node: NodeId(1), round_trip: MILLISECOND });
    let message = WatchResponse::Progress {
        position: Position::default(),
        has_quorum: true,
        router_count: 1,
        router_index: 0,
        control_nodes: nodes(3),
    };
    harness.receive(1, message);
    expect_that!(harness.connections, eq(&nodes(3)));
}

#[gtest]
fn every_known_node_is_retried_soon_while_none_is_reachable() {
    // More nodes are unreachable than there are connections, and any of them may become reachable again.
    for restored in nodes(6) {
        let mut harness = Harness::new(6);
        for _ in 0..300 {
            let connections = harness.connections.clone();
            connections.into_iter().for_each(|node| drop(harness.handle(Input::Disconnected(node))));
            harness.advance(TICK);
        }
        let mut retried_after = None;
        for tick in 0..60 {
            if harness.connections.contains(&restored) {
                retried_after.get_or_insert(tick);
            }
            let connections = harness.connections.clone();
            connections.into_iter().for_each(|node| drop(harness.handle(Input::Disconnected(node))));
            harness.advance(TICK);
        }
        expect_that!(retried_after, some(le(45)), "{restored}");
    }
}

#[gtest]
fn unreachable_node_is_replaced_unless_there_is_no_other() {
    let mut harness = Harness::new(4);
    let first = harness.connections.clone();
    harness.handle(Input::Disconnected(first[0]));
    harness.advance(SECOND);
    expect_that!(harness.connections, eq(&first), "the node may become reachable again");
    for _ in 0..20 {
        harness.handle(Input::Disconnected(first[0]));
        harness.advance(TICK);
    }
    expect_that!(harness.connections, not(contains(eq(&first[0]))));
    expect_that!(harness.connections, len(eq(3)));
    // The node is kept if there is no other node.
    let mut only = Harness::new(3);
    only.handle(Input::Disconnected(NodeId(1)));
    only.advance(5 * SECOND);
    expect_that!(only.connections, eq(&nodes(3)));
}

#[gtest]
fn nearest_node_with_quorum_becomes_primary() {
    // For each of the two remaining nodes the round trip in ms and whether it has a quorum, and the node that becomes primary.
    for (two, three, next) in [
        ((3, true), (6, true), 2),
        ((6, true), (3, true), 3),
        ((3, false), (6, true), 3),
        ((6, true), (3, false), 2),
        ((6, false), (3, false), 3),
    ] {
        let mut harness = Harness::new(3);
        harness.handle(Input::Connected { node: NodeId(1), round_trip: MILLISECOND });
        harness.set_report(1, Some((Position::default(), true)));
        harness.advance(TICK);
        for (node, (round_trip_ms, has_quorum)) in [(2, two), (3, three)] {
            harness.handle(Input::Connected { node: NodeId(node), round_trip: round_trip_ms * MILLISECOND });
            harness.set_report(node, Some((Position::default(), has_quorum)));
        }
        harness.advance(SECOND);
        let outputs = harness.handle(Input::Disconnected(NodeId(1)));
        expect_that!(subscriptions(&outputs), elements_are![eq(&(NodeId(next), true))], "{two:?} {three:?}");
    }
}

#[gtest]
fn healthy_primary_is_kept_when_a_nearer_node_connects() {
    let mut harness = Harness::new(3);
    harness.handle(Input::Connected { node: NodeId(3), round_trip: 9 * MILLISECOND });
    harness.set_report(3, Some((Position::default(), true)));
    harness.advance(SECOND);
    harness.handle(Input::Connected { node: NodeId(1), round_trip: MILLISECOND });
    harness.set_report(1, Some((Position::default(), true)));
    let outputs = harness.advance(3 * SECOND);
    expect_that!(subscriptions(&outputs).iter().any(|(_, primary)| *primary), eq(false));
}

#[gtest]
fn silent_primary_is_replaced_within_two_seconds() {
    let mut harness = Harness::connected();
    harness.set_report(1, None);
    let outputs = harness.advance(2 * SECOND);
    expect_that!(subscriptions(&outputs), contains(eq(&(NodeId(2), true))));
    expect_that!(
        subscriptions(&outputs),
        contains(eq(&(NodeId(1), false))),
        "the previous primary is notified, since its connection is open"
    );
}

#[gtest]
fn disconnected_primary_is_replaced_at_once() {
    let mut harness = Harness::connected();
    let outputs = harness.handle(Input::Disconnected(NodeId(1)));
    expect_that!(subscriptions(&outputs), elements_are![eq(&(NodeId(2), true))]);
}

#[gtest]
fn primary_without_quorum_is_replaced_by_one_with_quorum() {
    let mut harness = Harness::connected();
    let outputs = harness.receive(1, progress(Position::default(), false, 0));
    expect_that!(subscriptions(&outputs), contains(eq(&(NodeId(2), true))));
    // If no node has a quorum, updates of any node are still applied.
    let mut harness = Harness::connected();
    (1..=3).for_each(|node| harness.set_report(node, Some((Position::default(), false))));
    harness.advance(SECOND);
    let outputs =
        harness.receive(1, WatchResponse::Snapshot { sequence: 1, document: document(1, &[]).into() });
    expect_that!(configurations(&outputs), eq(1));
}

#[gtest]
fn heartbeats_go_to_every_node_and_a_new_state_is_sent_at_once() {
    let mut harness = Harness::connected();
    let heartbeats = |outputs: &[Output], of: RouterState| {
        let to = |output: &Output| match output {
            Output::Send(to, WatchRequest::Heartbeat { state }) if *state == of => Some(*to),
            _ => None,
        };
        outputs.iter().filter_map(to).collect::<Vec<_>>()
    };
    let outputs = harness.advance(SECOND);
    expect_that!(heartbeats(&outputs, RouterState::Starting).len(), all![ge(3), le(9)]);
    let outputs = harness.handle(Input::State(RouterState::Ready));
    expect_that!(heartbeats(&outputs, RouterState::Ready), eq(&nodes(3)));
    expect_that!(harness.handle(Input::State(RouterState::Ready)), is_empty(), "the state has not changed");
}

#[gtest]
fn updates_missing_from_primary_are_fetched_from_a_node_that_is_ahead() {
    let mut harness = Harness::connected();
    let ahead = Position { configuration: 4, ..Position::default() };
    harness.set_report(2, Some((ahead, true)));
    let outputs = harness.advance(2 * TICK);
    expect_that!(fetches(&outputs), is_empty(), "the primary still has time to deliver the update");
    let outputs = harness.advance(SECOND);
    expect_that!(fetches(&outputs), contains(eq(&(NodeId(2), Position::default()))));
    expect_that!(fetches(&outputs).iter().all(|(to, _)| *to == NodeId(2)), eq(true));
    expect_that!(fetches(&outputs).len(), le(3), "not at every tick");
    harness.receive(2, WatchResponse::Snapshot { sequence: 4, document: document(8, &["a"]).into() });
    expect_that!(fetches(&harness.advance(SECOND)), is_empty());
}

#[gtest]
fn each_part_of_the_state_that_is_behind_is_fetched() {
    let newer_positions = [
        Position { configuration: 1, ..Position::default() },
        Position {
            evacuations: vec![EvacuationPosition { partition: PartitionId(3), sequence: 1 }],
            ..Position::default()
        },
        Position { server_list: ServerListPosition { ballot: ballot(1), number: 1 }, ..Position::default() },
    ];
    for position in newer_positions {
        let mut harness = Harness::connected();
        harness.set_report(3, Some((position.clone(), true)));
        expect_that!(fetches(&harness.advance(SECOND)), not(is_empty()), "{position:?}");
    }
}

#[gtest]
fn older_configuration_snapshot_is_ignored() {
    let mut harness = Harness::connected();
    let outputs =
        harness.receive(1, WatchResponse::Snapshot { sequence: 5, document: document(50, &["a"]).into() });
    expect_that!(configurations(&outputs), eq(1));
    for (from, sequence) in [(1, 5), (2, 5), (2, 4), (3, 1), (1, 0)] {
        let outputs = harness.receive(
            from,
            WatchResponse::Snapshot { sequence, document: document(sequence * 7, &["b"]).into() },
        );
        expect_that!(configurations(&outputs), eq(0), "{sequence} from {from}");
        expect_that!(harness.configuration_versions(), eq((5, 50)));
    }
    // An older snapshot is ignored on a new connection as well.
    harness.handle(Input::Disconnected(NodeId(1)));
    harness.handle(Input::Connected { node: NodeId(1), round_trip: MILLISECOND });
    harness.receive(1, WatchResponse::Snapshot { sequence: 4, document: document(40, &["b"]).into() });
    expect_that!(harness.configuration_versions(), eq((5, 50)));
    harness.receive(3, WatchResponse::Snapshot { sequence: 6, document: document(60, &["b"]).into() });
    expect_that!(
        harness.configuration_versions(),
        eq((6, 60)),
        "a newer snapshot is applied whichever node sends it"
    );
}

#[gtest]
fn configuration_change_applies_only_to_its_base_version() {
    let (old, new) = (document(50, &["a", "b"]), document(60, &["b", "c"]));
    let change = old.diff(&new);
    for (from, to, is_applied) in
        [(5, 6, true), (5, 9, true), (4, 6, false), (6, 7, false), (0, 6, false), (5, 5, false)]
    {
        let mut harness = Harness::connected();
        harness.receive(1, WatchResponse::Snapshot { sequence: 5, document: old.clone().into() });
        let outputs = harness.receive(2, WatchResponse::Change { from, to, change: change.clone().into() });
        expect_that!(configurations(&outputs), eq(usize::from(is_applied)), "{from} to {to}");
        let expected = if is_applied { (to, 60) } else { (5, 50) };
        expect_that!(harness.configuration_versions(), eq(expected));
        let again = harness.receive(1, WatchResponse::Change { from, to, change: change.clone().into() });
        expect_that!(configurations(&again), eq(0), "the second time the base version does not match");
    }
}

#[gtest]
fn newer_snapshot_yields_the_difference_to_the_known_one() {
    let mut harness = Harness::connected();
    harness.receive(1, WatchResponse::Snapshot { sequence: 5, document: document(50, &["a", "b"]).into() });
    let outputs = harness
        .receive(1, WatchResponse::Snapshot { sequence: 9, document: document(90, &["b", "c"]).into() });
    let change = outputs.into_iter().find_map(|output| {
        if let Output::ConfigurationChanged(change) = output { Some(change) } else { None }
    });
    let change = change.expect("a change");
    expect_that!(change.remove["routes"], elements_are![eq("a")]);
    expect_that!(
        change.upsert["routes"].iter().map(|item| item.name.as_str()).collect::<Vec<_>>(),
        elements_are![eq(&"c")]
    );
}

#[gtest]
fn server_list_of_a_lower_ballot_or_number_is_ignored() {
    let ids = |harness: &Harness| {
        harness.client.server_list().servers(harness.now).map(|server| server.id).collect::<Vec<_>>()
    };
    let mut harness = Harness::connected();
    harness.receive(1, server_list_update(5, None, 3, &["x"]));
    expect_that!(ids(&harness), elements_are![eq("x")]);
    for (counter, from, to) in
        [(4, None, 99), (4, Some(3), 4), (5, None, 2), (5, None, 3), (5, Some(2), 4), (5, Some(4), 5)]
    {
        let outputs = harness.receive(2, server_list_update(counter, from, to, &["y"]));
        expect_that!(outputs.contains(&Output::ServersChanged), eq(false), "{counter} {from:?} {to}");
        expect_that!(ids(&harness), elements_are![eq("x")]);
    }
    harness.receive(2, server_list_update(5, Some(3), 4, &["y"]));
    expect_that!(ids(&harness), elements_are![eq("x"), eq("y")]);
    let outputs = harness.receive(3, server_list_update(6, None, 1, &["z"]));
    expect_that!(
        outputs.contains(&Output::ServersChanged),
        eq(true),
        "a list with a higher ballot starts from number 1"
    );
    expect_that!(ids(&harness), elements_are![eq("z")]);
}

#[gtest]
fn evacuation_sequence_never_goes_back() {
    let zone_partition = PartitionId::for_key("a");
    let update = |sequence, active, changes| {
        WatchResponse::Evacuations(EvacuationUpdate {
            partition: zone_partition,
            sequence,
            zones: vec![ZoneEvacuation { zone: "a".to_owned(), active, change_count: changes }],
        })
    };
    let mut harness = Harness::connected();
    expect_that!(harness.client.evacuation("a"), eq(EvacuationState { active: false, change_count: 0 }));
    expect_that!(harness.receive(1, update(2, true, 1)), contains(eq(&Output::ServersChanged)));
    expect_that!(harness.client.evacuation("a"), eq(EvacuationState { active: true, change_count: 1 }));
    expect_that!(harness.client.evacuation("b"), eq(EvacuationState { active: false, change_count: 0 }));
    for sequence in [0, 1, 2] {
        expect_that!(
            harness.receive(2, update(sequence, false, 0)).contains(&Output::ServersChanged),
            eq(false)
        );
        expect_that!(harness.client.evacuation("a"), eq(EvacuationState { active: true, change_count: 1 }));
    }
    harness.receive(2, update(3, false, 2));
    expect_that!(harness.client.evacuation("a"), eq(EvacuationState { active: false, change_count: 2 }));
}

#[gtest]
fn ready_requires_configuration_and_server_list() {
    let mut harness = Harness::connected();
    expect_that!(harness.client.is_ready(), eq(false));
    harness.receive(1, server_list_update(1, None, 1, &[]));
    expect_that!(harness.client.is_ready(), eq(false));
    harness.receive(1, WatchResponse::Snapshot { sequence: 1, document: document(1, &[]).into() });
    expect_that!(harness.client.is_ready(), eq(true), "an empty server list counts as known");
    let mut other = Harness::connected();
    other.receive(1, WatchResponse::Snapshot { sequence: 1, document: document(1, &[]).into() });
    expect_that!(other.client.is_ready(), eq(false));
}

#[gtest]
fn router_count_rises_at_once_and_falls_late() {
    let mut harness = Harness::connected();
    let count = |harness: &mut Harness, from, of| {
        router_counts(&harness.receive(from, progress(Position::default(), true, of)))
    };
    expect_that!(count(&mut harness, 1, 6), elements_are![eq(&6)]);
    expect_that!(count(&mut harness, 2, 9), elements_are![eq(&9)]);
    for of in [9, 3, 0, 1] {
        expect_that!(count(&mut harness, 1, of), is_empty(), "{of}");
    }
    harness.advance(5 * SECOND);
    expect_that!(count(&mut harness, 1, 3), is_empty(), "other control nodes may still see nine routers");
    harness.advance(60 * SECOND);
    expect_that!(count(&mut harness, 1, 0), is_empty(), "a count of 0 is ignored");
    expect_that!(count(&mut harness, 1, 3), elements_are![eq(&3)]);
}

#[gtest]
fn router_index_is_reported_when_it_changes() {
    let mut harness = Harness::connected();
    let changed_share = |harness: &mut Harness, routers, index| {
        let outputs = harness.receive(1, progress_with_index(Position::default(), true, routers, index));
        outputs.iter().find_map(|output| {
            if let Output::RouterShare(share) = output { Some((share.count, share.index)) } else { None }
        })
    };
    expect_that!(changed_share(&mut harness, 6, 2), some(eq((6, 2))));
    expect_that!(changed_share(&mut harness, 6, 2), none(), "the share has not changed");
    expect_that!(changed_share(&mut harness, 6, 3), some(eq((6, 3))));
    expect_that!(changed_share(&mut harness, 4, 0), none(), "a lower count is not adopted at once");
    expect_that!(changed_share(&mut harness, 0, 1), none());
}

#[gtest]
fn repeatedly_confirmed_router_count_does_not_fall() {
    let mut harness = Harness::connected();
    let count = |harness: &mut Harness, from, of| {
        router_counts(&harness.receive(from, progress(Position::default(), true, of)))
    };
    count(&mut harness, 1, 9);
    for _ in 0..12 {
        harness.advance(10 * SECOND);
        expect_that!(count(&mut harness, 1, 9), is_empty());
        expect_that!(
            count(&mut harness, 2, 4),
            is_empty(),
            "the other node is partitioned from some routers"
        );
    }
}

#[gtest]
fn message_of_unconnected_node_is_ignored() {
    let mut harness = Harness::connected();
    let outputs =
        harness.receive(42, WatchResponse::Snapshot { sequence: 1, document: document(1, &[]).into() });
    expect_that!(outputs, is_empty());
    expect_that!(harness.configuration_versions().0, eq(0));
}

#[gtest]
fn loss_and_return_of_quorum_contact_are_reported_once() {
    let contact_changes = |outputs: &[Output]| {
        let matching = |output: &Output| {
            if let Output::QuorumContact(contact) = output {
                Some(*contact == QuorumContact::Established)
            } else {
                None
            }
        };
        outputs.iter().filter_map(matching).collect::<Vec<_>>()
    };
    let mut harness = Harness::connected();
    expect_that!(contact_changes(&harness.advance(5 * SECOND)), is_empty());
    (1..=2).for_each(|node| harness.set_report(node, Some((Position::default(), false))));
    expect_that!(
        contact_changes(&harness.advance(5 * SECOND)),
        is_empty(),
        "one node with a quorum is enough"
    );
    harness.set_report(3, None);
    expect_that!(contact_changes(&harness.advance(5 * SECOND)), elements_are![eq(&false)]);
    harness.set_report(2, Some((Position::default(), true)));
    expect_that!(contact_changes(&harness.advance(SECOND)), elements_are![eq(&true)]);
}

#[gtest]
fn nothing_is_fetched_while_a_large_message_arrives() {
    let mut harness = Harness::connected();
    let ahead = Position { configuration: 4, ..Position::default() };
    (1..=3).for_each(|node| harness.set_report(node, Some((ahead.clone(), true))));
    for _ in 0..20 {
        harness.handle(Input::Fragment(NodeId(1)));
        expect_that!(fetches(&harness.advance(TICK)), is_empty(), "a large message is arriving");
    }
    expect_that!(fetches(&harness.advance(SECOND)), not(is_empty()), "no fragments have arrived since");
}

#[gtest]
fn fragment_keeps_the_primary_responsive() {
    let mut harness = Harness::connected();
    harness.set_report(1, None);
    for _ in 0..30 {
        harness.handle(Input::Fragment(NodeId(1)));
        expect_that!(subscriptions(&harness.advance(TICK)), is_empty());
    }
    expect_that!(subscriptions(&harness.advance(2 * SECOND)), contains(eq(&(NodeId(2), true))));
}

#[gtest]
fn messages_queued_during_own_stall_are_read_before_silence_is_judged() {
    for stall in [2 * SECOND, 20 * SECOND] {
        let mut harness = Harness::connected();
        harness.now += stall;
        let mut outputs = harness.handle(Input::Tick);
        outputs.extend(harness.receive(3, progress(Position::default(), true, 0)));
        outputs.extend(harness.receive(1, progress(Position::default(), true, 0)));
        outputs.extend(harness.advance(SECOND));
        expect_that!(subscriptions(&outputs), is_empty(), "the primary is kept");
        expect_that!(outputs.iter().any(|output| matches!(output, Output::QuorumContact(_))), eq(false));
        // Nodes that send nothing after the recovery time count as silent.
        harness.reporting_nodes.clear();
        harness.now += stall;
        harness.handle(Input::Tick);
        let outputs = harness.advance(SECOND);
        expect_that!(outputs.contains(&Output::QuorumContact(QuorumContact::Lost)), eq(true));
    }
}

#[gtest]
fn late_first_input_is_no_stall() {
    let mut client = WatchClient::new(router(), region_zones(), &nodes(3), START);
    let mut outputs = Vec::new();
    client.handle(START + 10 * SECOND, Input::Tick, &mut outputs);
    expect_that!(
        outputs.contains(&Output::SetConnections(nodes(3))),
        eq(true),
        "no message can have been queued before the first connection"
    );
}

#[gtest]
fn control_nodes_of_the_own_zone_and_region_are_connected_to() {
    let zones = [(1, "e"), (2, "d"), (3, "c"), (4, "b"), (5, "a"), (6, "f")];
    let mut harness = Harness::new(3);
    harness.handle(Input::Connected { node: NodeId(1), round_trip: MILLISECOND });
    harness.receive(1, control_nodes(&zones));
    expect_that!(harness.connections, contains(eq(&NodeId(5))));
    expect_that!(harness.connections, contains(eq(&NodeId(4))));
    expect_that!(harness.connections, len(eq(3)));
    // If no node of the zone is reachable, another node is selected instead.
    for _ in 0..30 {
        harness.handle(Input::Disconnected(NodeId(5)));
        harness.advance(TICK);
    }
    expect_that!(harness.connections, not(contains(eq(&NodeId(5)))));
    expect_that!(harness.connections, contains(eq(&NodeId(4))));
    expect_that!(harness.connections, len(eq(3)));
}

#[gtest]
fn primary_and_load_reports_move_to_a_nearer_control_node() {
    let mut harness = Harness::connected();
    let outputs = harness.receive(1, control_nodes(&[(1, "d"), (2, "e"), (3, "a")]));
    expect_that!(subscriptions(&outputs), contains(eq(&(NodeId(3), true))));
    expect_that!(harness.client.nearest_control_node(), some(eq(NodeId(3))));
    // A nearer node without a quorum does not become primary.
    let mut harness = Harness::connected();
    harness.set_report(3, Some((Position::default(), false)));
    harness.advance(TICK);
    let outputs = harness.receive(1, control_nodes(&[(1, "d"), (2, "e"), (3, "a")]));
    expect_that!(subscriptions(&outputs), is_empty());
}

#[gtest]
fn alive_message_keeps_the_control_node_and_the_share_that_it_has_reported() {
    let mut harness = Harness::connected();
    harness.receive(1, progress(Position::default(), true, 4));
    (1..=3).for_each(|node| harness.set_report(node, None));
    let mut outputs = Vec::new();
    for _ in 0..50 {
        (1..=3).for_each(|node| outputs.extend(harness.receive(node, WatchResponse::Alive)));
        outputs.extend(harness.advance(TICK));
    }
    expect_that!(subscriptions(&outputs), is_empty());
    expect_true!(harness.client.control_plane_reachable());
    expect_that!(router_counts(&outputs), is_empty());
}

#[gtest]
fn subscriptions_carry_the_extensions_mark() {
    let mut harness = Harness::new(1);
    let outputs = harness.handle(Input::Connected { node: NodeId(1), round_trip: MILLISECOND });
    let is_marked = |output: &Output| match output {
        Output::Send(_, WatchRequest::Subscribe { position, .. }) => position.clone().take_extensions_mark(),
        _ => false,
    };
    expect_true!(outputs.iter().any(is_marked));
    let mut unmarked = Position::default();
    expect_false!(unmarked.take_extensions_mark());
}

#[gtest]
fn server_list_change_of_a_new_list_owner_applies_to_the_previous_list() {
    let mut harness = Harness::connected();
    harness.receive(1, server_list_update(2, None, 7, &["i-1", "i-2"]));
    let change = ServerListChange {
        base: Some(ServerListPosition { ballot: ballot(2), number: 7 }),
        position: ServerListPosition { ballot: ballot(3), number: 1 },
        upsert: vec![server("i-3")],
        removed: vec!["i-1".to_owned()],
    };
    let outputs = harness.receive(1, WatchResponse::ServerListChange(change.into()));
    expect_that!(outputs, contains(eq(&Output::ServersChanged)));
    let ids: Vec<String> =
        harness.client.server_list().servers(harness.now).map(|server| server.id).collect();
    expect_that!(ids, elements_are![eq("i-2"), eq("i-3")]);
}
