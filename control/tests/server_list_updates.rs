//! The server list of a node by itself: the changes that a reader publishes, and the handling of updates from other nodes.

use googletest::prelude::*;
use ivyhatch_control::server_list::reader::{ReadId, ReaderRole};
use ivyhatch_control::server_list::role::{RoleOutput, ServerListRole, UpdateOutcome};
use ivyhatch_control::{LogEvent, ServerListSource};
use ivyhatch_protocol::ids::{Ballot, NodeId};
use ivyhatch_protocol::watch::{Server, ServerListChange, ServerListPosition, ServerListUpdate};
use ivyhatch_protocol::{Nanos, SECOND};

const NOW: Nanos = 10 * SECOND;

fn ballot(counter: u64) -> Ballot {
    Ballot { counter, node: NodeId(1), incarnation: 1 }
}

fn leading() -> ReaderRole {
    ReaderRole {
        ballot: Some(ballot(3)),
        highest_ballot: ballot(3),
        highest_is_reachable: true,
        has_list: true,
    }
}

fn server(id: &str) -> Server {
    Server {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: "10.0.0.9:80".to_owned(),
        zone: "a".to_owned(),
        slots: 8,
        draining: false,
        warm_up_remaining_ms: 0,
        lifetime_remaining_ms: None,
    }
}

fn update(counter: u64, from: Option<u64>, to: u64) -> ServerListChange {
    let update = ServerListUpdate {
        ballot: ballot(counter),
        from,
        to,
        upsert: vec![server("i-1")],
        removed: Vec::new(),
    };
    update.into()
}

/// A role whose first read is in flight.
fn reading(role: ReaderRole) -> ServerListRole {
    let mut list = ServerListRole::new(SECOND);
    let out = list.tick(NOW, role);
    assert_eq!(out.last(), Some(&RoleOutput::Read(ReadId(1))), "{out:?}");
    list
}

#[gtest]
fn list_that_is_read_in_the_role_is_broadcast() {
    let mut list = reading(leading());
    let out = list.read_succeeded(NOW, ReadId(1), leading(), vec![server("i-1")]);
    let (source, ballot) = (ServerListSource::Platform, ballot(3));
    let event = LogEvent::ServerList { source, ballot, number: 1, servers: 1 };
    let expected = [RoleOutput::Log(event), RoleOutput::Broadcast(update(3, None, 1))];
    expect_that!(out, eq(&expected.to_vec()));
    expect_true!(list.has_list());
}

#[gtest]
fn bootstrap_list_is_kept_and_not_broadcast() {
    let mut list = reading(ReaderRole::default());
    let out = list.read_succeeded(NOW, ReadId(1), ReaderRole::default(), vec![server("i-1")]);
    let (source, ballot) = (ServerListSource::Bootstrap, Ballot::default());
    let event = LogEvent::ServerList { source, ballot, number: 1, servers: 1 };
    expect_that!(out, eq(&vec![RoleOutput::Log(event)]));
    expect_that!(list.list().len(), eq(1));
}

#[gtest]
fn unchanged_list_is_not_broadcast_again() {
    let mut list = reading(leading());
    list.read_succeeded(NOW, ReadId(1), leading(), vec![server("i-1")]);
    list.tick(NOW + SECOND, leading());
    let out = list.read_succeeded(NOW + SECOND, ReadId(2), leading(), vec![server("i-1")]);
    expect_that!(out, is_empty());
}

#[gtest]
fn update_that_does_not_follow_on_the_list_is_a_gap() {
    let mut list = ServerListRole::new(SECOND);
    expect_that!(list.apply_change(NOW, update(3, Some(4), 5)), eq(&UpdateOutcome::Gap));
    let applied = list.apply_change(NOW, update(3, None, 4));
    expect_true!(matches!(applied, UpdateOutcome::Applied(LogEvent::ServerList { number: 4, .. })));
    let applied = list.apply_change(NOW, update(3, Some(4), 5));
    expect_true!(matches!(applied, UpdateOutcome::Applied(LogEvent::ServerList { number: 5, .. })));
    expect_that!(list.apply_change(NOW, update(2, None, 9)), eq(&UpdateOutcome::NotNewer));
}

#[gtest]
fn newer_list_is_requested_once_per_interval() {
    let mut list = ServerListRole::new(SECOND);
    let newer = ServerListPosition { ballot: ballot(1), number: 1 };
    expect_false!(list.begin_request(NOW, ServerListPosition::default()));
    expect_true!(list.begin_request(NOW, newer));
    expect_false!(list.begin_request(NOW + 1, newer));
    expect_true!(list.begin_request(NOW + SECOND, newer));
}

#[gtest]
fn next_reader_publishes_the_change_from_the_list_that_it_had() {
    let mut list = ServerListRole::new(SECOND);
    let whole = ServerListChange { upsert: vec![server("i-1"), server("i-2")], ..update(2, None, 7) };
    let _ = list.apply_change(NOW, whole.clone());
    list.tick(NOW, leading());
    let out = list.read_succeeded(NOW, ReadId(1), leading(), vec![server("i-2"), server("i-3")]);
    let change = ServerListChange {
        base: Some(ServerListPosition { ballot: ballot(2), number: 7 }),
        position: ServerListPosition { ballot: ballot(3), number: 1 },
        upsert: vec![server("i-3")],
        removed: vec!["i-1".to_owned()],
    };
    expect_that!(out.last(), some(eq(&RoleOutput::Broadcast(change.clone()))));
    // A node at the same version applies the change; a node at another version needs the whole list.
    let mut follower = ServerListRole::new(SECOND);
    let _ = follower.apply_change(NOW, whole);
    expect_true!(matches!(follower.apply_change(NOW, change.clone()), UpdateOutcome::Applied(_)));
    expect_that!(follower.list().len(), eq(2));
    let mut other = ServerListRole::new(SECOND);
    let _ = other.apply_change(NOW, update(2, None, 8));
    expect_that!(other.apply_change(NOW, change), eq(&UpdateOutcome::Gap));
    let position = other.list().position();
    expect_that!(list.changes_since(NOW, position).and_then(|change| change.base), none());
}

#[gtest]
fn unchanged_list_of_the_next_reader_is_a_change_without_servers() {
    let mut list = ServerListRole::new(SECOND);
    let _ = list.apply_change(NOW, update(2, None, 7));
    list.tick(NOW, leading());
    let out = list.read_succeeded(NOW, ReadId(1), leading(), vec![server("i-1")]);
    let Some(RoleOutput::Broadcast(change)) = out.last() else {
        panic!("expected a broadcast change, got {out:?}")
    };
    expect_that!(change.position, eq(ServerListPosition { ballot: ballot(3), number: 1 }));
    expect_true!(change.base.is_some() && change.upsert.is_empty() && change.removed.is_empty());
    // Earlier releases have no form of a change that starts from the list of another reader.
    expect_that!(change.to_update(), none());
}

#[gtest]
fn list_that_a_node_has_read_for_itself_is_replaced_whole() {
    let mut list = reading(ReaderRole::default());
    list.read_succeeded(NOW, ReadId(1), ReaderRole::default(), vec![server("i-1")]);
    list.tick(NOW + SECOND, leading());
    let out = list.read_succeeded(NOW + SECOND, ReadId(2), leading(), vec![server("i-1")]);
    let Some(RoleOutput::Broadcast(change)) = out.last() else {
        panic!("expected a broadcast change, got {out:?}")
    };
    expect_that!(change.base, none());
}

#[gtest]
fn change_for_many_receivers_is_made_once() {
    let mut list = ServerListRole::new(SECOND);
    let _ = list.apply_change(NOW, update(2, None, 7));
    let since = ServerListPosition::default();
    let first = list.changes_since(NOW, since).expect("a change");
    let second = list.changes_since(NOW + 1, since).expect("a change");
    expect_true!(first.ptr_eq(&second));
    let later = list.changes_since(NOW + SECOND, since).expect("a change");
    expect_false!(first.ptr_eq(&later));
    expect_that!(list.changes_since(NOW, list.list().position()), none());
}
