//! Applications' calls in a cluster in virtual time: any node accepts calls, and acknowledged calls survive changes of the leader,
//! restarts, the loss of disks and new members.

use googletest::prelude::*;
use ivyhatch_control::storage::durable_state::DurableState;
use ivyhatch_protocol::coordination::{Call, CallOutcome, NotStarted, Refusal, Reply};
use ivyhatch_protocol::ids::PartitionId;
use ivyhatch_protocol::peer::{AdminRequest, AdminResponse};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

use crate::cluster::Cluster;

fn acquire(holder: &str, hold_ms: u64) -> Call {
    Call::AcquireLock { name: "l".to_owned(), holder: holder.to_owned(), hold_ms }
}

fn number() -> Call {
    Call::NextNumber { name: "n".to_owned() }
}

fn put(value: &str) -> Call {
    Call::PutCell { name: "g.a".to_owned(), value: value.to_owned(), expected_revision: None }
}

fn watch(after: u64, wait_ms: u64) -> Call {
    Call::WatchGroup { group: "g.".to_owned(), after, wait_ms }
}

/// Requests the next number at a node, and returns its value.
fn next_number(cluster: &mut Cluster, node: u32) -> u64 {
    match cluster.call(node, number()) {
        CallOutcome::Applied(Reply::Number { value }) => value,
        other => panic!("expected a number, got {other:?}"),
    }
}

fn fence(outcome: &CallOutcome) -> Option<u64> {
    match outcome {
        CallOutcome::Applied(Reply::LockAcquired { fence }) => Some(*fence),
        _ => None,
    }
}

fn event_count_and_revision(outcome: &CallOutcome) -> Option<(usize, u64)> {
    match outcome {
        CallOutcome::Applied(Reply::Events { events, revision }) => Some((events.len(), *revision)),
        _ => None,
    }
}

#[gtest]
fn any_node_accepts_a_call_and_numbers_increase_across_nodes() {
    let mut cluster = Cluster::with_coordination();
    let mut last = 0;
    for node in [1, 2, 3, 2, 1, 3] {
        let value = next_number(&mut cluster, node);
        expect_that!(value, gt(last));
        last = value;
    }
}

#[gtest]
fn acknowledged_calls_survive_a_restart_of_all_nodes() {
    let mut cluster = Cluster::with_coordination();
    let value = next_number(&mut cluster, 1);
    let first_fence = fence(&cluster.call(2, acquire("a", 1_000))).expect("the lock is free");
    cluster.call(3, put("one"));
    let disks: Vec<DurableState> = (1..=3).map(|node| cluster.stop(node)).collect();
    for (node, disk) in (1..=3).zip(disks) {
        cluster.start(node, node, disk, false);
    }
    cluster.run_until("nodes have quorum", |cluster| (1..=3).all(|node| cluster.plane(node).has_quorum()));
    // No process knows when the lock was acquired: it is held for its whole hold time from the restart on.
    expect_that!(cluster.call(1, acquire("b", 1_000)), eq(&CallOutcome::Refused(Refusal::LockHeld)));
    let restarted_at = cluster.now();
    cluster.run_until("the hold time elapses", |cluster| cluster.now() > restarted_at + 1_100 * MILLISECOND);
    expect_that!(fence(&cluster.call(1, acquire("b", 1_000))), some(gt(first_fence)));
    expect_that!(next_number(&mut cluster, 2), gt(value));
    let read = Call::ReadCell { name: "g.a".to_owned() };
    let one = CallOutcome::Applied(Reply::Cell { value: "one".to_owned(), revision: 1 });
    expect_that!(cluster.call(3, read), eq(&one));
    expect_that!(event_count_and_revision(&cluster.call(2, watch(0, 0))), some(eq((0, 1))));
}

#[gtest]
fn acknowledged_calls_survive_the_loss_of_each_disk() {
    let mut cluster = Cluster::with_coordination();
    let mut last = 0;
    for node in 1..=3 {
        for _ in 0..5 {
            last = next_number(&mut cluster, 1);
        }
        cluster.call(2, put(&format!("before {node}")));
        cluster.stop(node);
        cluster.start(node, node, DurableState::default(), false);
        cluster.run_until("the node votes again", |cluster| {
            cluster.votes(node) && (1..=3).all(|node| cluster.plane(node).has_quorum())
        });
        expect_that!(next_number(&mut cluster, node), gt(last));
        let history = cluster.call(node, watch(1, 0));
        expect_that!(
            event_count_and_revision(&history),
            some(eq((node as usize - 1, u64::from(node)))),
            "{history:?}"
        );
    }
}

#[gtest]
fn watch_at_any_node_returns_after_a_put_at_another_node() {
    let mut cluster = Cluster::with_coordination();
    cluster.call(1, put("one"));
    for node in 1..=3 {
        let after = u64::from(node);
        let id = cluster.begin_call(node, watch(after, 5_000));
        let held_until = cluster.now() + 200 * MILLISECOND;
        cluster.run_until("the watch is pending", |cluster| cluster.now() >= held_until);
        expect_that!(cluster.outcome(id), none());
        cluster.call(node % 3 + 1, put(&format!("after {node}")));
        cluster.run_until("the watch returns", |cluster| cluster.outcome(id).is_some());
        expect_that!(
            event_count_and_revision(cluster.outcome(id).expect("the watch has returned")),
            some(eq((1, after + 1)))
        );
        expect_that!(cluster.now(), lt(held_until + SECOND));
    }
}

#[gtest]
fn pending_watch_continues_at_the_next_leader() {
    let mut cluster = Cluster::with_coordination();
    cluster.call(1, put("one"));
    let partition = put("").partition();
    let leads = |cluster: &Cluster, node: u32| cluster.plane(node).leader_ballot(partition).is_some();
    let leader = (1..=3).find(|node| leads(&cluster, *node)).expect("a node leads");
    let others: Vec<u32> = (1..=3).filter(|node| *node != leader).collect();
    let id = cluster.begin_call(others[0], watch(1, 8_000));
    let held_until = cluster.now() + 200 * MILLISECOND;
    cluster.run_until("the watch is pending", |cluster| cluster.now() >= held_until);
    cluster.stop(leader);
    cluster.run_until("another node leads", |cluster| others.iter().any(|node| leads(cluster, *node)));
    cluster.call_until_known(others[1], put("two"));
    cluster.run_until("the watch returns", |cluster| cluster.outcome(id).is_some());
    expect_that!(
        event_count_and_revision(cluster.outcome(id).expect("the watch has returned")),
        some(eq((1, 2)))
    );
}

#[gtest]
fn node_without_a_quorum_responds_not_started_at_once() {
    let mut cluster = Cluster::with_coordination();
    next_number(&mut cluster, 1);
    cluster.stop(2);
    cluster.stop(3);
    cluster.run_until("the loss of the quorum is detected", |cluster| !cluster.plane(1).has_quorum());
    let started_at = cluster.now();
    expect_that!(cluster.call(1, number()), eq(&CallOutcome::NotStarted(NotStarted::NoQuorum)));
    expect_that!(cluster.now(), eq(started_at));
}

#[gtest]
fn call_in_flight_at_a_stopped_leader_has_an_unknown_outcome() {
    let mut cluster = Cluster::with_coordination();
    next_number(&mut cluster, 1);
    let partition = number().partition();
    let leader = (1..=3).find(|node| cluster.plane(*node).leader_ballot(partition).is_some());
    let leader = leader.expect("a node leads");
    let contacted = leader % 3 + 1;
    let id = cluster.begin_call(contacted, number());
    for node in (1..=3).filter(|node| *node != contacted) {
        cluster.stop(node);
    }
    cluster.run_until("the call ends", |cluster| cluster.outcome(id).is_some());
    expect_that!(cluster.outcome(id), some(eq(&CallOutcome::Unknown)));
}

/// Commits a configuration, and returns the time until the response.
fn configure(cluster: &mut Cluster, revision: u64) -> Nanos {
    let started_at = cluster.now();
    let body = format!(r#"{{"revision":{revision},"services":[],"routes":[]}}"#).into_bytes();
    let response = cluster.request(2, AdminRequest::Put { base: revision - 1, body });
    expect_that!(response, eq(&AdminResponse::Applied { revision }));
    cluster.now() - started_at
}

#[gtest]
fn calls_do_not_delay_a_configuration_change() {
    let mut cluster = Cluster::with_coordination();
    // The first two changes warm up leaders and connections; the third one is the reference.
    configure(&mut cluster, 1);
    configure(&mut cluster, 2);
    let undisturbed = configure(&mut cluster, 3);
    let waiting: Vec<_> = (0..300).map(|_| cluster.begin_call(1, number())).collect();
    expect_that!(configure(&mut cluster, 4), eq(undisturbed));
    cluster.run_until("all calls ended", |cluster| waiting.iter().all(|id| cluster.outcome(*id).is_some()));
    let mut values: Vec<u64> = Vec::new();
    for id in waiting {
        match cluster.outcome(id) {
            Some(CallOutcome::Applied(Reply::Number { value })) => values.push(*value),
            other => panic!("expected a number, got {other:?}"),
        }
    }
    values.sort_unstable();
    values.dedup();
    expect_that!(values, len(eq(300)));
}

#[gtest]
fn node_without_coordination_leads_no_coordination_partition() {
    let mut cluster = Cluster::bootstrapped();
    let id = cluster.begin_call(1, number());
    cluster.run_until("the call ends", |cluster| cluster.outcome(id).is_some());
    expect_that!(cluster.outcome(id), some(eq(&CallOutcome::NotStarted(NotStarted::NoQuorum))));
    for partition in PartitionId::coordination() {
        expect_that!(cluster.plane(1).leader_ballot(partition), none());
    }
}
