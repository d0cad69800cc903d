//! The known routers, their ranks, and the addresses that the directory gives to clients.
//!
//! Regression: all routers of a region began to drain within three seconds, and the directory sent the region's clients to another
//! region, although their requests were bound to the region.

use googletest::prelude::*;
use ivyhatch_control::watch::router_registry::{
    MAX_DIRECTORY_ADDRESSES, RouterRank, RouterRegistry, SESSION_TIMEOUT,
};
use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::watch::{Router, RouterState};
use ivyhatch_protocol::{MILLISECOND, SECOND};

fn router(node: u32, region: &str, state: RouterState) -> Router {
    Router {
        node: NodeId(node),
        client_address: format!("10.0.0.{node}:8161"),
        zone: region.to_owned(),
        region: region.to_owned(),
        state,
    }
}

/// A registry with two routers of region `here`, in these states, and a ready router of region `there`.
fn registry(first: RouterState, second: RouterState) -> RouterRegistry {
    let mut registry = RouterRegistry::default();
    registry.record_local(0, router(1, "here", first));
    registry.record_local(0, router(2, "here", second));
    registry.record_local(0, router(3, "there", RouterState::Ready));
    registry.refresh(0, true);
    registry
}

#[gtest]
fn clients_are_sent_to_ready_routers_of_their_region() {
    let registry = registry(RouterState::Draining, RouterState::Ready);
    expect_that!(registry.addresses_for_region("here"), elements_are![eq("10.0.0.2:8161")]);
}

#[gtest]
fn region_whose_routers_all_drain_keeps_its_clients() {
    let registry = registry(RouterState::Draining, RouterState::Draining);
    expect_that!(
        registry.addresses_for_region("here"),
        elements_are![eq("10.0.0.1:8161"), eq("10.0.0.2:8161")]
    );
}

#[gtest]
fn region_whose_routers_are_being_restarted_keeps_its_clients_for_three_seconds() {
    let mut registry = registry(RouterState::Draining, RouterState::Draining);
    registry.remove_local(NodeId(1));
    registry.remove_local(NodeId(2));
    registry.refresh(2_900 * MILLISECOND, true);
    expect_that!(registry.addresses_for_region("here"), len(eq(2)));
    registry.refresh(3 * SECOND, true);
    expect_that!(registry.addresses_for_region("here"), elements_are![eq("10.0.0.3:8161")]);
}

#[gtest]
fn clients_of_a_lost_region_are_sent_to_other_regions_at_once() {
    let mut registry = registry(RouterState::Ready, RouterState::Ready);
    registry.remove_local(NodeId(1));
    registry.remove_local(NodeId(2));
    registry.refresh(100 * MILLISECOND, true);
    expect_that!(registry.addresses_for_region("here"), elements_are![eq("10.0.0.3:8161")]);
}

#[gtest]
fn router_counts_as_changed_when_it_is_new_has_changed_or_had_timed_out() {
    let mut registry = RouterRegistry::default();
    expect_true!(registry.record_local(0, router(1, "here", RouterState::Ready)));
    expect_false!(registry.record_local(1, router(1, "here", RouterState::Ready)));
    expect_true!(registry.record_local(2, router(1, "here", RouterState::Draining)));
    let timed_out = 2 + SESSION_TIMEOUT;
    expect_true!(registry.record_local(timed_out, router(1, "here", RouterState::Draining)));
}

#[gtest]
fn silent_local_router_expires_after_the_session_timeout() {
    let mut registry = RouterRegistry::default();
    registry.record_local(0, router(1, "here", RouterState::Ready));
    expect_false!(registry.expire(SESSION_TIMEOUT - 1));
    expect_true!(registry.expire(SESSION_TIMEOUT));
    expect_that!(registry.local_routers(), is_empty());
}

#[gtest]
fn reported_router_counts_for_three_seconds_after_the_last_heartbeat_of_its_reporter() {
    let mut registry = RouterRegistry::default();
    registry.apply_report(0, NodeId(7), vec![router(1, "here", RouterState::Ready)]);
    registry.keep_report_alive(SECOND, NodeId(7));
    registry.expire(4 * SECOND - 1);
    expect_that!(registry.addresses_for_region("here"), len(eq(1)));
    registry.expire(4 * SECOND);
    expect_that!(registry.addresses_for_region("here"), is_empty());
}

#[gtest]
fn local_router_overrides_reports_and_the_most_advanced_state_overrides_other_reports() {
    let mut registry = RouterRegistry::default();
    registry.apply_report(0, NodeId(7), vec![router(1, "here", RouterState::Draining)]);
    registry.apply_report(0, NodeId(8), vec![router(1, "here", RouterState::Ready)]);
    expect_that!(registry.addresses_for_region("here"), is_empty());
    registry.record_local(0, router(1, "here", RouterState::Ready));
    expect_that!(registry.addresses_for_region("here"), len(eq(1)));
}

#[gtest]
fn rank_counts_routers_for_a_minute_after_they_have_gone() {
    let mut registry = registry(RouterState::Ready, RouterState::Ready);
    expect_that!(registry.rank(NodeId(2)), eq(RouterRank { count: 3, index: 1 }));
    registry.remove_local(NodeId(1));
    registry.refresh(60 * SECOND - 1, true);
    expect_that!(registry.rank(NodeId(2)), eq(RouterRank { count: 3, index: 1 }));
    registry.refresh(60 * SECOND, true);
    expect_that!(registry.rank(NodeId(2)), eq(RouterRank { count: 2, index: 0 }));
}

#[gtest]
fn directory_is_limited_to_its_maximum_of_addresses() {
    let mut registry = RouterRegistry::default();
    for node in 0..=MAX_DIRECTORY_ADDRESSES as u32 {
        registry.record_local(0, router(node, "here", RouterState::Ready));
    }
    expect_that!(registry.addresses_for_region("here"), len(eq(MAX_DIRECTORY_ADDRESSES)));
}

#[gtest]
fn clients_of_a_partitioned_region_are_sent_to_remembered_routers_elsewhere_as_well() {
    let mut registry = registry(RouterState::Ready, RouterState::Ready);
    registry.apply_report(0, NodeId(100), vec![router(4, "elsewhere", RouterState::Ready)]);
    registry.refresh(0, true);
    registry.expire(30 * SECOND);
    registry.record_local(30 * SECOND, router(1, "here", RouterState::Ready));
    registry.refresh(30 * SECOND, false);
    let elsewhere = ["elsewhere".to_owned()].into();
    expect_that!(
        registry.addresses_while_partitioned("here", &elsewhere),
        elements_are![eq("10.0.0.1:8161"), eq("10.0.0.4:8161")]
    );
    registry.refresh(60 * SECOND, false);
    expect_that!(
        registry.addresses_while_partitioned("here", &elsewhere),
        elements_are![eq("10.0.0.1:8161")],
        "a router that was not seen for a minute is dropped"
    );
}

#[gtest]
fn router_that_goes_while_there_is_a_quorum_is_not_remembered() {
    let mut registry = registry(RouterState::Ready, RouterState::Ready);
    registry.remove_local(NodeId(3));
    registry.refresh(SECOND, true);
    registry.refresh(2 * SECOND, false);
    let there = ["there".to_owned()].into();
    expect_that!(
        registry.addresses_while_partitioned("here", &there),
        elements_are![eq("10.0.0.1:8161"), eq("10.0.0.2:8161")]
    );
}

#[gtest]
fn report_has_the_routers_that_have_changed_since_the_last_one() {
    let mut sender = registry(RouterState::Starting, RouterState::Ready);
    let mut receiver = RouterRegistry::default();
    let all = sender.take_report(0);
    expect_that!(all.upsert, len(eq(3)));
    expect_true!(receiver.apply_changes(0, NodeId(7), all));
    sender.record_local(0, router(1, "here", RouterState::Ready));
    sender.remove_local(NodeId(3));
    let changes = sender.take_report(0);
    expect_that!(changes.upsert, elements_are![eq(&router(1, "here", RouterState::Ready))]);
    expect_that!(changes.removed, elements_are![eq(&NodeId(3))]);
    expect_true!(receiver.apply_changes(0, NodeId(7), changes));
    let unchanged = sender.take_report(0);
    expect_true!(unchanged.upsert.is_empty() && unchanged.removed.is_empty());
    expect_true!(receiver.apply_changes(0, NodeId(7), unchanged));
    expect_that!(receiver.addresses_for_region("here"), len(eq(2)));
}

#[gtest]
fn missed_change_is_detected_by_the_digest_of_the_next_one() {
    let mut sender = registry(RouterState::Starting, RouterState::Ready);
    let mut receiver = RouterRegistry::default();
    expect_true!(receiver.apply_changes(0, NodeId(7), sender.take_report(0)));
    sender.record_local(0, router(1, "here", RouterState::Ready));
    sender.take_report(0);
    expect_false!(receiver.apply_changes(0, NodeId(7), sender.take_report(0)));
    receiver.apply_report(0, NodeId(7), sender.local_routers());
    expect_true!(receiver.apply_changes(0, NodeId(7), sender.take_report(0)));
}
