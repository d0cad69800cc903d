//! How requests change the state of a partition.

use googletest::prelude::*;
use ivyhatch_control::consensus::partition_state::{ConfigurationState, Decision, PartitionState, digest};
use ivyhatch_protocol::ids::PartitionId;
use ivyhatch_protocol::peer::{AdminRequest, AdminResponse};
use ivyhatch_protocol::registers::{RegisterKey, RegisterMap, RegisterWrite};

const EVACUATIONS: PartitionId = PartitionId(3);

fn put(base: u64, revision: u64) -> AdminRequest {
    AdminRequest::Put { base, body: format!(r#"{{"revision":{revision}}}"#).into_bytes() }
}

fn evacuate(active: bool, change_count: u64) -> AdminRequest {
    AdminRequest::Evacuate { zone: "north".to_owned(), active, change_count }
}

/// The state after a request that is proposed and committed.
fn after(state: &PartitionState, request: &AdminRequest) -> PartitionState {
    match state.decide(request) {
        Decision::Propose { next, .. } => next,
        other => panic!("expected a proposal, got {other:?}"),
    }
}

fn configured() -> PartitionState {
    let empty = PartitionState::empty(PartitionId::CONFIGURATION);
    let first = after(&empty, &put(0, 1));
    after(&first, &put(1, 2))
}

fn evacuated() -> PartitionState {
    after(&PartitionState::empty(EVACUATIONS), &evacuate(true, 0))
}

#[gtest]
fn configuration_that_builds_on_the_current_revision_is_proposed() {
    let PartitionState::Configuration(configuration) = configured() else { panic!("not a configuration") };
    expect_that!(configuration.document.revision, eq(2));
    expect_that!(configuration.applied_digests, eq(&vec![digest(&put(0, 1)), digest(&put(1, 2))]));
}

#[gtest]
fn configuration_that_builds_on_a_past_revision_conflicts() {
    let response = AdminResponse::Conflict { revision: 2 };
    expect_that!(configured().decide(&put(1, 9)), eq(&Decision::Respond(response)));
}

#[gtest]
fn repeated_request_is_acknowledged_with_the_current_revision() {
    let response = AdminResponse::Applied { revision: 2 };
    expect_that!(configured().decide(&put(0, 1)), eq(&Decision::Respond(response)));
}

#[gtest]
fn request_that_can_not_be_parsed_is_invalid() {
    let request = AdminRequest::Put { base: 2, body: b"{".to_vec() };
    let decision = configured().decide(&request);
    expect_true!(matches!(decision, Decision::Respond(AdminResponse::Invalid(_))), "{decision:?}");
}

#[gtest]
fn read_is_answered_with_the_configuration_that_is_current_by_then() {
    expect_that!(configured().decide(&AdminRequest::Read), eq(&Decision::ReadConfiguration));
    expect_that!(digest(&AdminRequest::Read), eq(0));
}

#[gtest]
fn digests_of_the_oldest_requests_are_dropped() {
    let applied_digests = (1..=512).collect();
    let state = PartitionState::Configuration(ConfigurationState { applied_digests, ..Default::default() });
    let PartitionState::Configuration(next) = after(&state, &put(0, 1)) else {
        panic!("not a configuration");
    };
    expect_that!(next.applied_digests.len(), eq(512));
    expect_that!(next.applied_digests.first(), some(eq(&2)));
    expect_that!(next.applied_digests.last(), some(eq(&digest(&put(0, 1)))));
}

#[gtest]
fn evacuation_counts_its_changes() {
    let state = evacuated();
    expect_that!(state.evacuation_change_count("north"), eq(1));
    expect_that!(state.evacuation_change_count("south"), eq(0));
    let ended = after(&state, &evacuate(false, 1));
    expect_that!(ended.evacuation_change_count("north"), eq(2));
}

#[gtest]
fn evacuation_that_is_in_force_is_acknowledged_without_a_change() {
    let response = AdminResponse::Applied { revision: 0 };
    expect_that!(evacuated().decide(&evacuate(true, 0)), eq(&Decision::Respond(response)));
}

#[gtest]
fn delayed_evacuation_does_not_undo_a_later_one() {
    let decision = evacuated().decide(&evacuate(false, 0));
    expect_true!(matches!(decision, Decision::Respond(AdminResponse::Unavailable(_))), "{decision:?}");
}

#[gtest]
fn request_for_another_partition_is_invalid() {
    let decision = configured().decide(&evacuate(true, 0));
    expect_true!(matches!(decision, Decision::Respond(AdminResponse::Invalid(_))), "{decision:?}");
}

#[gtest]
fn registers_of_an_unknown_format_are_not_read() {
    let write = |key, value: &[u8]| RegisterWrite { key, sequence: 1, value: Some(value.to_vec().into()) };
    let malformed = RegisterMap::from_snapshot(1, [write(RegisterKey::Revision, &[1, 2, 3])]);
    expect_that!(PartitionState::from_registers(PartitionId::CONFIGURATION, &malformed), none());
    let foreign = RegisterMap::from_snapshot(1, [write(RegisterKey::Undecodable, &[1, 2, 3])]);
    expect_that!(PartitionState::from_registers(PartitionId::CONFIGURATION, &foreign), none());
    expect_that!(PartitionState::from_registers(EVACUATIONS, &foreign), none());
}
