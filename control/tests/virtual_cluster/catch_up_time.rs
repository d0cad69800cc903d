//! The time and the bytes in which a node catches up after a restart, with an empty disk, or as a successor do not grow with the number
//! of past changes.

use googletest::prelude::*;
use ivyhatch_control::storage::durable_state::DurableState;
use ivyhatch_protocol::ids::PartitionId;
use ivyhatch_protocol::peer::{AdminRequest, AdminResponse};
use ivyhatch_protocol::{Nanos, SECOND};
use speedy::Writable;

use crate::cluster::Cluster;

/// Numbers of past changes.
const CHANGE_COUNTS: [u64; 3] = [10, 300, 3_000];
/// The number of routes in a configuration.
const ROUTES: u64 = 200;
/// The node that replaces the third one.
const SUCCESSOR: u32 = 4;
/// Limits of the time until a node votes, independent of the number of changes: after a restart, after the loss of its disk, or as a
/// successor (whose limit includes the two seconds for which the former voter has to be unreachable).
const RESTART_LIMIT: Nanos = SECOND;
const WIPE_LIMIT: Nanos = SECOND;
const REPLACEMENT_LIMIT: Nanos = 3 * SECOND;
/// Limit of the bytes that a node is sent while it catches up, as a multiple of the size of its final state.
const MAX_TRANSFER_RATIO: u64 = 12;

fn body(revision: u64) -> Vec<u8> {
    let route = |number: u64| {
        let timeout = 1 + (revision + number) % 1_000;
        format!(
            r#"{{"name":"r{number}","host":"h","path_prefix":"/{number}/","route_kind":"safe","timeout_ms":{timeout},"service":"s"}}"#
        )
    };
    let routes: Vec<String> = (0..ROUTES).map(route).collect();
    format!(r#"{{"revision":{revision},"services":[{{"name":"s"}}],"routes":[{}]}}"#, routes.join(","))
        .into_bytes()
}

/// Three nodes after this many changes.
fn after_changes(changes: u64) -> Cluster {
    let mut cluster = Cluster::bootstrapped();
    for revision in 1..=changes {
        let request = AdminRequest::Put { base: revision - 1, body: body(revision) };
        let response = cluster.request(1 + (revision % 3) as u32, request);
        assert_eq!(response, AdminResponse::Applied { revision });
    }
    cluster
}

fn sequence(cluster: &Cluster, node: u32) -> u64 {
    cluster.plane(node).committed_state(PartitionId::CONFIGURATION).0
}

/// The time until a node votes and has all changes, and the bytes that the node is sent in that time.
fn catch_up(cluster: &mut Cluster, node: u32, changes: u64) -> (Nanos, u64) {
    let started = cluster.now();
    cluster.run_until("node up to date", |cluster| cluster.votes(node) && sequence(cluster, node) == changes);
    (cluster.now() - started, cluster.received(node))
}

fn stored_bytes(stored: &DurableState) -> u64 {
    stored.records().iter().map(|record| record.write_to_vec().map_or(0, |bytes| bytes.len() as u64)).sum()
}

/// Checks, for each number of past changes, that a node catches up within bounds that do not depend on that number.
fn check_catch_up(name: &str, limit: Nanos, node: u32, bring_back: impl Fn(&mut Cluster)) {
    for changes in CHANGE_COUNTS {
        let mut cluster = after_changes(changes);
        bring_back(&mut cluster);
        let (time, bytes) = catch_up(&mut cluster, node, changes);
        let state = stored_bytes(cluster.disk(1));
        println!(
            "{name} after {changes} changes: {} ms, {bytes} bytes, state {state} bytes",
            time / 1_000_000
        );
        expect_that!(time, le(limit), "{changes}");
        expect_that!(bytes, le(MAX_TRANSFER_RATIO * state), "{changes}");
        let next = AdminRequest::Put { base: changes, body: body(changes + 1) };
        expect_that!(cluster.request(node, next), eq(&AdminResponse::Applied { revision: changes + 1 }));
    }
}

#[gtest]
fn restarted_node_is_up_to_date_in_bounded_time() {
    check_catch_up("restart", RESTART_LIMIT, 3, |cluster| {
        let disk = cluster.stop(3);
        cluster.start(3, 3, disk, false);
    });
}

#[gtest]
fn node_that_missed_many_changes_is_up_to_date_in_bounded_time() {
    for changes in [10, 300] {
        let mut cluster = Cluster::bootstrapped();
        let disk = cluster.stop(3);
        for revision in 1..=changes {
            let request = AdminRequest::Put { base: revision - 1, body: body(revision) };
            cluster.request(1 + (revision % 2) as u32, request);
        }
        cluster.start(3, 3, disk, false);
        let (time, bytes) = catch_up(&mut cluster, 3, changes);
        println!("down for {changes} changes: {} ms, {bytes} bytes", time / 1_000_000);
        expect_that!(time, le(RESTART_LIMIT));
    }
}

#[gtest]
fn node_that_has_lost_its_disk_votes_again_in_bounded_time() {
    check_catch_up("wipe", WIPE_LIMIT, 3, |cluster| {
        cluster.stop(3);
        cluster.start(3, 3, DurableState::default(), false);
    });
}

#[gtest]
fn successor_votes_in_bounded_time() {
    check_catch_up("replacement", REPLACEMENT_LIMIT, SUCCESSOR, |cluster| {
        cluster.stop(3);
        cluster.start(SUCCESSOR, 3, DurableState::default(), false);
    });
}

#[gtest]
fn request_applied_hundreds_of_changes_ago_is_acknowledged_again_and_another_one_conflicts() {
    let mut cluster = after_changes(300);
    let again = AdminRequest::Put { base: 4, body: body(5) };
    expect_that!(cluster.request(2, again), eq(&AdminResponse::Applied { revision: 300 }));
    let conflicting = AdminRequest::Put { base: 4, body: body(6) };
    expect_that!(cluster.request(2, conflicting), eq(&AdminResponse::Conflict { revision: 300 }));
}
