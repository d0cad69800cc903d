//! Sums of the load that routers report: the answer to each router has the load of the other routers, and reports expire.

use googletest::prelude::*;
use ivyhatch_control::load_aggregator::LoadAggregator;
use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::load_exchange::ServerLoad;
use ivyhatch_protocol::{MILLISECOND, SECOND};

const FIRST_ROUTER: NodeId = NodeId(1);
const SECOND_ROUTER: NodeId = NodeId(2);
const CONTROL_NODE: NodeId = NodeId(9);
const SERVER: u32 = 7;

fn load(queued_tokens: u64, in_flight: u32) -> ServerLoad {
    ServerLoad::new(SERVER, queued_tokens, in_flight)
}

#[gtest]
fn router_is_answered_with_what_the_others_have_and_not_its_own() {
    let mut aggregator = LoadAggregator::default();
    expect_that!(aggregator.record_report(SECOND, FIRST_ROUTER, vec![load(640, 2)]), is_empty());
    let others = aggregator.record_report(SECOND, SECOND_ROUTER, vec![load(6400, 3)]);
    expect_that!(others, elements_are![eq(&load(640, 2))]);
    let others = aggregator.record_report(SECOND, FIRST_ROUTER, vec![load(64, 1)]);
    expect_that!(others, elements_are![eq(&load(6400, 3))]);
}

#[gtest]
fn report_replaces_the_one_before_it() {
    let mut aggregator = LoadAggregator::default();
    aggregator.record_report(SECOND, FIRST_ROUTER, vec![load(640, 2)]);
    aggregator.record_report(SECOND, FIRST_ROUTER, vec![load(128, 1)]);
    expect_that!(aggregator.local_sum(SECOND), elements_are![eq(&load(128, 1))]);
    aggregator.record_report(SECOND, FIRST_ROUTER, Vec::new());
    expect_that!(aggregator.local_sum(SECOND), is_empty());
}

#[gtest]
fn sums_of_other_control_nodes_are_added_for_routers_and_not_passed_on() {
    let mut aggregator = LoadAggregator::default();
    aggregator.record_report(SECOND, FIRST_ROUTER, vec![load(640, 2)]);
    aggregator.record_exchange(SECOND, CONTROL_NODE, vec![load(1280, 4)]);
    let others = aggregator.record_report(SECOND, SECOND_ROUTER, Vec::new());
    expect_that!(others, elements_are![eq(&load(1920, 6))]);
    expect_that!(aggregator.local_sum(SECOND), elements_are![eq(&load(640, 2))]);
}

#[gtest]
fn silent_sender_counts_for_four_tenths_of_a_second() {
    let mut aggregator = LoadAggregator::default();
    aggregator.record_report(SECOND, FIRST_ROUTER, vec![load(640, 2)]);
    aggregator.record_exchange(SECOND, CONTROL_NODE, vec![load(640, 2)]);
    let shortly_before = SECOND + 399 * MILLISECOND;
    expect_that!(aggregator.record_report(shortly_before, SECOND_ROUTER, Vec::new()), len(eq(1)));
    let after = SECOND + 400 * MILLISECOND;
    expect_that!(aggregator.record_report(after, SECOND_ROUTER, Vec::new()), is_empty());
}
