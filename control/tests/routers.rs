//! Where the directory sends clients. On two of a hundred hunted days all routers of a region were told to end within three seconds, and
//! its clients, whose requests were bound to it, were led to another region.

use googletest::prelude::*;
use ivyhatch_control::router_registry::RouterRegistry;
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

/// Two routers of one region, and one of another.
fn routers(first: RouterState, second: RouterState) -> RouterRegistry {
    let mut routers = RouterRegistry::default();
    routers.record_local(0, router(1, "here", first));
    routers.record_local(0, router(2, "here", second));
    routers.record_local(0, router(3, "there", RouterState::Ready));
    routers.refresh(0);
    routers
}

#[gtest]
fn clients_are_sent_to_routers_of_their_region_that_are_ready() {
    let routers = routers(RouterState::Draining, RouterState::Ready);
    expect_that!(routers.addresses_for_region("here"), elements_are![eq("10.0.0.2:8161")]);
}

#[gtest]
fn region_whose_routers_are_all_leaving_keeps_its_clients() {
    let routers = routers(RouterState::Draining, RouterState::Draining);
    expect_that!(
        routers.addresses_for_region("here"),
        elements_are![eq("10.0.0.1:8161"), eq("10.0.0.2:8161")]
    );
}

#[gtest]
fn region_whose_routers_are_being_restarted_keeps_its_clients_for_three_seconds() {
    let mut routers = routers(RouterState::Draining, RouterState::Draining);
    routers.remove_local(NodeId(1));
    routers.remove_local(NodeId(2));
    routers.refresh(2_900 * MILLISECOND);
    expect_that!(routers.addresses_for_region("here"), len(eq(2)));
    routers.refresh(3 * SECOND);
    expect_that!(routers.addresses_for_region("here"), elements_are![eq("10.0.0.3:8161")]);
}

#[gtest]
fn clients_of_a_region_that_is_lost_are_sent_elsewhere_at_once() {
    let mut routers = routers(RouterState::Ready, RouterState::Ready);
    routers.remove_local(NodeId(1));
    routers.remove_local(NodeId(2));
    routers.refresh(100 * MILLISECOND);
    expect_that!(routers.addresses_for_region("here"), elements_are![eq("10.0.0.3:8161")]);
}
