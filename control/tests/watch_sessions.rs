//! The watch sessions by themselves: which messages are sent on them and when, and when they end.

use googletest::prelude::*;
use ivyhatch_control::watch::router_registry::RouterRegistry;
use ivyhatch_control::watch::sessions::{Progress, WatchEvent, WatchSessions};
use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::watch::{ControlNode, Position, Router, RouterState, WatchRequest, WatchResponse};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

const SESSION: u64 = 1;
const SECOND_SESSION: u64 = 2;
const ROUTER: NodeId = NodeId(9);
const START: Nanos = 10 * SECOND;

fn router(state: RouterState) -> Router {
    Router {
        node: ROUTER,
        client_address: "10.0.0.9:8161".to_owned(),
        zone: "zone".to_owned(),
        region: "region".to_owned(),
        state,
    }
}

fn position(configuration: u64) -> Position {
    Position { configuration, ..Position::default() }
}

fn subscribe(primary: bool) -> WatchRequest {
    WatchRequest::Subscribe { router: router(RouterState::Starting), primary, position: position(1) }
}

fn control_node(node: u32, zone: &str) -> ControlNode {
    ControlNode { node: NodeId(node), zone: zone.to_owned() }
}

fn progress(configuration: u64, knows_all_routers: bool) -> Progress {
    Progress {
        position: position(configuration),
        has_quorum: true,
        knows_all_routers,
        control_nodes: vec![control_node(1, "a")],
    }
}

/// Sessions with one subscribed router.
struct Subscribed {
    sessions: WatchSessions,
    routers: RouterRegistry,
}

impl Subscribed {
    fn new(primary: bool) -> Self {
        let (mut sessions, mut routers) = (WatchSessions::default(), RouterRegistry::default());
        let event = sessions.handle(START, SESSION, subscribe(primary), &mut routers);
        assert_eq!(event, WatchEvent::RoutersChanged);
        routers.refresh(START, true);
        Self { sessions, routers }
    }

    fn handle(&mut self, now: Nanos, id: u64, request: WatchRequest) -> WatchEvent {
        self.sessions.handle(now, id, request, &mut self.routers)
    }

    /// The messages for the session. The update among them is a snapshot whose sequence is the position that the update starts from.
    fn responses(&mut self, now: Nanos, progress: &Progress) -> Vec<WatchResponse> {
        let update = |since: &Position, _: bool| {
            let sequence = since.configuration;
            vec![WatchResponse::Snapshot { sequence, document: Default::default() }]
        };
        self.sessions.responses(now, SESSION, progress, &self.routers, update)
    }
}

#[gtest]
fn session_is_due_at_once_then_on_a_change_or_after_the_progress_interval() {
    let mut subscribed = Subscribed::new(true);
    expect_that!(subscribed.sessions.due(START, &position(1)), elements_are![eq(&SESSION)]);
    subscribed.responses(START, &progress(1, true));
    expect_that!(subscribed.sessions.due(START, &position(1)), is_empty());
    expect_that!(subscribed.sessions.due(START, &position(2)), elements_are![eq(&SESSION)]);
    let later = START + 500 * MILLISECOND;
    expect_that!(subscribed.sessions.due(later - 1, &position(1)), is_empty());
    expect_that!(subscribed.sessions.due(later, &position(1)), elements_are![eq(&SESSION)]);
}

#[gtest]
fn session_without_a_subscription_is_never_due() {
    let (mut sessions, mut routers) = (WatchSessions::default(), RouterRegistry::default());
    let fetch = WatchRequest::Fetch { position: position(3) };
    let event = WatchEvent::Fetch { position: position(3), supports_extensions: false };
    expect_that!(sessions.handle(START, SESSION, fetch, &mut routers), eq(&event));
    let heartbeat = WatchRequest::Heartbeat { state: RouterState::Ready };
    expect_that!(sessions.handle(START, SESSION, heartbeat, &mut routers), eq(&WatchEvent::None));
    expect_that!(sessions.due(START + SECOND, &position(5)), is_empty());
}

#[gtest]
fn primary_session_is_sent_each_update_once() {
    let mut subscribed = Subscribed::new(true);
    let out = subscribed.responses(START, &progress(4, true));
    expect_that!(out.len(), eq(2));
    expect_true!(matches!(out[0], WatchResponse::Snapshot { sequence: 1, .. }));
    expect_true!(matches!(out[1], WatchResponse::Progress { .. }));
    let out = subscribed.responses(START, &progress(4, true));
    expect_that!(out.len(), eq(1));
    expect_true!(matches!(out[0], WatchResponse::Progress { .. }));
}

#[gtest]
fn secondary_session_is_sent_progress_only() {
    let mut subscribed = Subscribed::new(false);
    let out = subscribed.responses(START, &progress(4, true));
    expect_that!(out.len(), eq(1));
    expect_true!(matches!(out[0], WatchResponse::Progress { .. }));
}

#[gtest]
fn router_count_is_zero_until_all_routers_are_known() {
    for (knows_all_routers, expected) in [(true, 1), (false, 0)] {
        let mut subscribed = Subscribed::new(false);
        let out = subscribed.responses(START, &progress(1, knows_all_routers));
        let [WatchResponse::Progress { router_count, router_index, .. }] = &out[..] else {
            panic!("expected one progress message, got {out:?}");
        };
        expect_that!((*router_count, *router_index), eq((expected, 0)));
    }
}

#[gtest]
fn heartbeat_with_another_state_changes_the_router() {
    let mut subscribed = Subscribed::new(true);
    let heartbeat = |state| WatchRequest::Heartbeat { state };
    expect_that!(
        subscribed.handle(START, SESSION, heartbeat(RouterState::Ready)),
        eq(&WatchEvent::RoutersChanged)
    );
    expect_that!(subscribed.handle(START, SESSION, heartbeat(RouterState::Ready)), eq(&WatchEvent::None));
    expect_that!(subscribed.routers.local(ROUTER), some(eq(&router(RouterState::Ready))));
}

#[gtest]
fn closed_session_returns_its_router_unless_that_has_another_session() {
    let mut subscribed = Subscribed::new(true);
    subscribed.handle(START, SECOND_SESSION, subscribe(true));
    expect_that!(subscribed.sessions.close(SESSION), none());
    expect_that!(subscribed.sessions.close(SECOND_SESSION), some(eq(ROUTER)));
    expect_that!(subscribed.sessions.close(SECOND_SESSION), none());
}

#[gtest]
fn session_expires_four_seconds_after_its_last_message() {
    let mut subscribed = Subscribed::new(true);
    expect_that!(subscribed.sessions.expire(START + 4 * SECOND - 1), is_empty());
    expect_that!(subscribed.sessions.expire(START + 4 * SECOND), elements_are![eq(&SESSION)]);
    expect_that!(subscribed.sessions.due(START + 4 * SECOND, &position(9)), is_empty());
}

#[gtest]
fn watcher_with_extensions_is_sent_progress_and_control_nodes_only_when_they_change() {
    let mut subscribed = Subscribed::new(false);
    let marked = WatchRequest::Subscribe {
        router: router(RouterState::Starting),
        primary: false,
        position: position(1).with_extensions_mark(),
    };
    subscribed.handle(START, SESSION, marked.clone());
    let nodes = |nodes| WatchResponse::ControlNodes(nodes);
    let out = subscribed.responses(START, &progress(1, true));
    expect_that!(out.first(), some(eq(&nodes(vec![control_node(1, "a")]))));
    expect_true!(
        matches!(&out[1], WatchResponse::Progress { control_nodes, .. } if control_nodes.is_empty())
    );
    expect_that!(subscribed.responses(START, &progress(1, true)), elements_are![eq(&WatchResponse::Alive)]);
    let out = subscribed.responses(START, &progress(2, true));
    expect_true!(matches!(&out[..], [WatchResponse::Progress { .. }]));
    let moved = Progress { control_nodes: vec![control_node(1, "b")], ..progress(2, true) };
    let out = subscribed.responses(START, &moved);
    expect_that!(out, elements_are![eq(&nodes(vec![control_node(1, "b")])), eq(&WatchResponse::Alive)]);
    // After another subscription the progress is sent again, although it has not changed.
    subscribed.handle(START, SESSION, marked);
    let out = subscribed.responses(START, &moved);
    expect_true!(matches!(&out[..], [WatchResponse::Progress { .. }]));
}
