//! The change feed by itself: when a watcher gets changes, a snapshot or no update.

use googletest::prelude::*;
use ivyhatch_control::consensus::partition_state::{
    ConfigurationState, EvacuationState, EvacuationStatus, PartitionState,
};
use ivyhatch_control::watch::change_feed::ChangeFeed;
use ivyhatch_protocol::configuration::Document;
use ivyhatch_protocol::ids::PartitionId;
use ivyhatch_protocol::watch::{Position, WatchResponse};

const ROUTES: u64 = 20;
const EVACUATIONS: PartitionId = PartitionId(3);

/// The configuration of a revision. The timeout of one route, selected by the revision, differs from that in the previous revision.
fn configuration(revision: u64) -> PartitionState {
    let route = |number: u64| {
        let timeout = if number == revision % ROUTES { 1_000 + revision } else { 1 };
        format!(
            r#"{{"name":"r{number}","host":"h","path_prefix":"/{number}/","route_kind":"safe","timeout_ms":{timeout},"service":"s"}}"#
        )
    };
    let routes: Vec<String> = (0..ROUTES).map(route).collect();
    let text =
        format!(r#"{{"revision":{revision},"services":[{{"name":"s"}}],"routes":[{}]}}"#, routes.join(","));
    let document = Document::parse(text.as_bytes()).expect("a configuration");
    PartitionState::Configuration(ConfigurationState { document, ..ConfigurationState::default() })
}

fn feed(revisions: u64) -> ChangeFeed {
    let mut feed = ChangeFeed::default();
    for revision in 1..=revisions {
        feed.committed(PartitionId::CONFIGURATION, revision, &configuration(revision));
    }
    feed
}

fn since(feed: &ChangeFeed, configuration: u64) -> Vec<WatchResponse> {
    feed.updates_since(&Position { configuration, ..Position::default() })
}

#[gtest]
fn watcher_that_is_up_to_date_is_sent_nothing() {
    expect_that!(since(&feed(3), 3), is_empty());
}

#[gtest]
fn watcher_that_is_a_little_behind_is_sent_the_changes_in_order() {
    let updates = since(&feed(4), 2);
    let steps: Vec<(u64, u64)> = updates
        .iter()
        .map(|update| match update {
            WatchResponse::Change { from, to, .. } => (*from, *to),
            other => panic!("expected a change, got {other:?}"),
        })
        .collect();
    expect_that!(steps, elements_are![eq(&(2, 3)), eq(&(3, 4))]);
}

#[gtest]
fn watcher_without_a_configuration_is_sent_a_snapshot() {
    let updates = since(&feed(2), 0);
    expect_true!(matches!(updates[..], [WatchResponse::Snapshot { sequence: 2, .. }]));
}

#[gtest]
fn watcher_whose_changes_are_larger_than_half_of_the_configuration_is_sent_a_snapshot() {
    let updates = since(&feed(20), 2);
    expect_true!(matches!(updates[..], [WatchResponse::Snapshot { sequence: 20, .. }]));
}

#[gtest]
fn older_configuration_that_is_committed_late_is_ignored() {
    let mut feed = feed(3);
    feed.committed(PartitionId::CONFIGURATION, 2, &configuration(2));
    expect_that!(feed.document().revision, eq(3));
    expect_that!(feed.position().configuration, eq(3));
}

#[gtest]
fn evacuations_are_sent_to_watchers_with_an_older_sequence() {
    let mut feed = ChangeFeed::default();
    let zones = [("north".to_owned(), EvacuationStatus { active: true, change_count: 1 })].into();
    feed.committed(EVACUATIONS, 5, &PartitionState::Evacuations(EvacuationState { zones }));
    expect_that!(feed.updates_since(&Position::default()).len(), eq(1));
    expect_that!(feed.updates_since(&feed.position()), is_empty());
}
