//! Tests of the oracle without a simulation: histories that violate an invariant are reported, and correct histories pass.

use std::collections::BTreeSet;

use googletest::prelude::*;
use ivyhatch_protocol::SECOND;
use ivyhatch_protocol::configuration::Document;
use ivyhatch_protocol::ids::{NodeId, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{AdminRequest, AdminResponse, Membership, Voter};
use ivyhatch_simulation::Invariant;
use ivyhatch_simulation::oracle::{
    AppliedState, FinalState, Oracle, ProcessId, RouterView, ServerListVersion,
};
use ivyhatch_simulation::plan::PlannedOperation;
use ivyhatch_simulation::workload::{Operation, OperationKind, Workload, document_digest};

const PROCESS: ProcessId = ProcessId { node: 1, incarnation: 1 };

fn set(base: u64, revision: u64, valid: bool) -> Operation {
    let kind = OperationKind::SetConfiguration { base, revision, digest: revision, valid };
    Operation { request: AdminRequest::Put { base, body: Vec::new() }, kind }
}

fn applied_response(revision: u64) -> AdminResponse {
    AdminResponse::Applied { revision }
}

fn violated(oracle: &Oracle) -> Option<Invariant> {
    oracle.violation().map(|violation| violation.invariant)
}

/// A final state in which all nodes and routers agree and the server list is read.
fn converged(partition_sequence: u64, revision: u64, sequence: u64) -> FinalState {
    FinalState {
        partition_sequences: BTreeSet::from([vec![partition_sequence]]),
        applied: BTreeSet::from([applied_state(revision, sequence)]),
        server_list_is_read: true,
    }
}

fn applied_state(revision: u64, sequence: u64) -> Option<AppliedState> {
    Some(AppliedState { revision, sequence, zones: Vec::new() })
}

/// An oracle whose history has one revision, 5, which is acknowledged and in effect.
fn oracle_with_acknowledged_revision() -> Oracle {
    let mut oracle = Oracle::default();
    oracle.advance_to(SECOND);
    oracle.operation_started(1, &set(0, 5, true));
    oracle.observe_configuration(1, 5, 5);
    oracle.response_received(1, &applied_response(5));
    oracle
}

fn view(revision: u64, evacuated: bool, in_contact: bool) -> RouterView {
    RouterView { number: 0, revision, evacuated_zones: vec![evacuated; 3], in_contact }
}

#[gtest]
fn correct_history_violates_nothing() {
    let mut oracle = oracle_with_acknowledged_revision();
    oracle.operation_started(2, &set(5, 7, true));
    oracle.operation_started(3, &set(5, 8, true));
    oracle.observe_value(PROCESS, PartitionId::CONFIGURATION, 1, 5);
    oracle.response_received(2, &applied_response(7));
    oracle.response_received(3, &AdminResponse::Conflict { revision: 7 });
    oracle.observe_value(PROCESS, PartitionId::CONFIGURATION, 2, 7);
    oracle.observe_configuration(2, 7, 7);
    oracle.check_final_state(&converged(2, 7, 2));
    expect_that!(oracle.violation(), none());
    expect_that!(oracle.acknowledged_changes(), eq(2));
}

#[gtest]
fn two_changes_on_one_base_violate_compare_and_set() {
    let mut oracle = oracle_with_acknowledged_revision();
    for (number, revision) in [(2, 7), (3, 8)] {
        oracle.operation_started(number, &set(5, revision, true));
        oracle.response_received(number, &applied_response(revision));
    }
    expect_that!(violated(&oracle), some(eq(Invariant::CompareAndSet)));
    let mut unacknowledged = oracle_with_acknowledged_revision();
    unacknowledged.operation_started(2, &set(0, 7, true));
    unacknowledged.observe_configuration(2, 7, 7);
    expect_that!(violated(&unacknowledged), some(eq(Invariant::CompareAndSet)));
}

#[gtest]
fn rejected_or_invalid_revision_in_effect_is_a_violation() {
    let mut rejected_first = oracle_with_acknowledged_revision();
    rejected_first.operation_started(2, &set(5, 7, true));
    rejected_first.response_received(2, &AdminResponse::Conflict { revision: 5 });
    rejected_first.observe_configuration(2, 7, 7);
    expect_that!(violated(&rejected_first), some(eq(Invariant::RejectedNeverApplied)));
    let mut applied_first = oracle_with_acknowledged_revision();
    applied_first.operation_started(2, &set(5, 7, true));
    applied_first.observe_configuration(2, 7, 7);
    applied_first.response_received(2, &AdminResponse::Invalid(String::new()));
    expect_that!(violated(&applied_first), some(eq(Invariant::RejectedNeverApplied)));
    let mut invalid = oracle_with_acknowledged_revision();
    invalid.operation_started(2, &set(5, 7, false));
    invalid.response_received(2, &applied_response(7));
    expect_that!(violated(&invalid), some(eq(Invariant::InvalidNeverApplied)));
    let mut invalid_without_response = oracle_with_acknowledged_revision();
    invalid_without_response.operation_started(2, &set(5, 7, false));
    invalid_without_response.observe_configuration(2, 7, 7);
    expect_that!(violated(&invalid_without_response), some(eq(Invariant::InvalidNeverApplied)));
}

#[gtest]
fn unsent_or_altered_configuration_violates_content_integrity() {
    let mut unsent = oracle_with_acknowledged_revision();
    unsent.observe_configuration(2, 9, 9);
    expect_that!(violated(&unsent), some(eq(Invariant::ContentIntegrity)));
    let mut altered = oracle_with_acknowledged_revision();
    altered.operation_started(2, &set(5, 7, true));
    altered.observe_configuration(2, 7, 99);
    expect_that!(violated(&altered), some(eq(Invariant::ContentIntegrity)));
}

#[gtest]
fn second_value_under_one_number_or_older_sequence_is_a_violation() {
    let mut oracle = oracle_with_acknowledged_revision();
    oracle.observe_value(PROCESS, PartitionId(3), 4, 1);
    oracle.observe_value(ProcessId { node: 2, incarnation: 1 }, PartitionId(3), 4, 2);
    expect_that!(violated(&oracle), some(eq(Invariant::SingleValuePerSequence)));
    let mut decreasing = oracle_with_acknowledged_revision();
    decreasing.observe_value(PROCESS, PartitionId(3), 4, 1);
    // Another incarnation may start from an older value.
    decreasing.observe_value(ProcessId { node: 1, incarnation: 2 }, PartitionId(3), 3, 1);
    expect_that!(decreasing.violation(), none());
    decreasing.observe_value(PROCESS, PartitionId(3), 3, 1);
    expect_that!(violated(&decreasing), some(eq(Invariant::MonotonicSequence)));
    let mut conflicting_lists = oracle_with_acknowledged_revision();
    let version = ServerListVersion { ballot_counter: 1, reader: 2, number: 3 };
    conflicting_lists.observe_server_list(version, 4);
    conflicting_lists.observe_server_list(version, 5);
    expect_that!(violated(&conflicting_lists), some(eq(Invariant::SingleServerListPerNumber)));
}

#[gtest]
fn read_older_than_a_previous_acknowledgement_violates_linearizability() {
    let read = Operation { request: AdminRequest::Read, kind: OperationKind::Read };
    let document = |revision: u64| AdminResponse::Document(format!(r#"{{"revision":{revision}}}"#));
    let mut oracle = oracle_with_acknowledged_revision();
    oracle.operation_started(2, &read);
    oracle.operation_started(3, &set(5, 7, true));
    oracle.response_received(3, &applied_response(7));
    oracle.response_received(2, &document(5));
    expect_that!(oracle.violation(), none());
    oracle.operation_started(4, &read);
    oracle.response_received(4, &document(5));
    expect_that!(violated(&oracle), some(eq(Invariant::LinearizableRead)));
    let mut not_configured = oracle_with_acknowledged_revision();
    not_configured.operation_started(2, &read);
    not_configured.response_received(2, &AdminResponse::NotConfigured);
    expect_that!(violated(&not_configured), some(eq(Invariant::LinearizableRead)));
}

#[gtest]
fn router_in_contact_without_acknowledged_change_violates_its_deadline() {
    let mut oracle = oracle_with_acknowledged_revision();
    oracle.advance_to(4 * SECOND);
    oracle.check_deadlines(&[view(0, false, false), view(5, false, true)], None);
    expect_that!(oracle.violation(), none());
    oracle.check_deadlines(&[view(0, false, true)], None);
    expect_that!(violated(&oracle), some(eq(Invariant::ConfigurationDeadline)));

    let evacuate = |active| Operation {
        request: AdminRequest::Evacuate { zone: "zone-1".to_owned(), active, change_count: 0 },
        kind: OperationKind::Evacuate { zone: 1, active },
    };
    let mut oracle = oracle_with_acknowledged_revision();
    oracle.operation_started(2, &evacuate(true));
    oracle.response_received(2, &applied_response(0));
    oracle.advance_to(6 * SECOND);
    oracle.check_deadlines(&[view(5, false, true)], None);
    expect_that!(oracle.violation(), none());
    oracle.advance_to(6 * SECOND + 1);
    // While the request to end the evacuation is in flight, both states are correct.
    oracle.check_deadlines(&[view(5, true, true)], None);
    oracle.operation_started(3, &evacuate(false));
    oracle.check_deadlines(&[view(5, false, true)], None);
    expect_that!(oracle.violation(), none());
    oracle.response_received(3, &applied_response(0));
    oracle.advance_to(12 * SECOND);
    oracle.check_deadlines(&[view(5, true, true)], None);
    expect_that!(violated(&oracle), some(eq(Invariant::EvacuationDeadline)));
}

#[gtest]
fn pending_request_violates_its_deadline_only_while_the_core_is_stable() {
    let mut oracle = oracle_with_acknowledged_revision();
    oracle.operation_started(2, &set(5, 7, true));
    expect_that!(oracle.response_received(2, &AdminResponse::Unavailable(String::new())), eq(false));
    oracle.advance_to(20 * SECOND);
    oracle.check_deadlines(&[], None);
    oracle.check_deadlines(&[], Some(16 * SECOND));
    expect_that!(oracle.violation(), none());
    oracle.check_deadlines(&[], Some(14 * SECOND));
    expect_that!(violated(&oracle), some(eq(Invariant::ResponseDeadline)));
}

#[gtest]
fn divergence_or_lost_revision_at_the_end_is_a_violation() {
    let violated_by = |state: FinalState| {
        let mut oracle = oracle_with_acknowledged_revision();
        oracle.check_final_state(&state);
        violated(&oracle)
    };
    let agreed = converged(1, 5, 1);
    expect_that!(violated_by(agreed.clone()), none());
    let partition_sequences = BTreeSet::from([vec![1], vec![2]]);
    let diverged = FinalState { partition_sequences, ..agreed.clone() };
    expect_that!(violated_by(diverged), some(eq(Invariant::Convergence)));
    let applied = BTreeSet::from([applied_state(5, 1), applied_state(4, 1)]);
    let diverged = FinalState { applied, ..agreed.clone() };
    expect_that!(violated_by(diverged), some(eq(Invariant::Convergence)));
    let unread = FinalState { server_list_is_read: false, ..agreed };
    expect_that!(violated_by(unread), some(eq(Invariant::Convergence)));
    expect_that!(violated_by(converged(0, 0, 0)), some(eq(Invariant::Durability)));
    let mut never_applied = oracle_with_acknowledged_revision();
    never_applied.operation_started(2, &set(5, 7, true));
    never_applied.response_received(2, &applied_response(7));
    never_applied.check_final_state(&converged(1, 5, 1));
    expect_that!(violated(&never_applied), some(eq(Invariant::Durability)));
}

#[gtest]
fn workload_requests_parse_and_have_the_content_of_their_revision() {
    let mut workload = Workload::default();
    let put = workload.next_operation(PlannedOperation::Put, 3);
    let AdminRequest::Put { base: 0, body } = &put.request else { panic!("{put:?}") };
    let document = Document::parse(body).expect("the body parses");
    expect_that!(document.validate(0), ok(anything()));
    let OperationKind::SetConfiguration { revision: 3, digest: sent, .. } = put.kind else {
        panic!("{put:?}")
    };
    expect_that!(document_digest(&document), eq(sent));
    workload.observe_revision(3);
    let patch = workload.next_operation(PlannedOperation::Patch, 2);
    let AdminRequest::Patch { base: 3, body } = &patch.request else { panic!("{patch:?}") };
    let change = ivyhatch_protocol::configuration::Change::parse(body).expect("the body parses");
    let OperationKind::SetConfiguration { digest: sent, .. } = patch.kind else { panic!("{patch:?}") };
    expect_that!(document_digest(&document.with_change(&change)), eq(sent));
    let invalid = workload.next_operation(PlannedOperation::Invalid, 1);
    let AdminRequest::Put { body, .. } = &invalid.request else { panic!("{invalid:?}") };
    expect_that!(Document::parse(body).expect("the body parses").validate(3), err(anything()));
}

fn replica(node: u32, disk: u64) -> ReplicaId {
    ReplicaId { node: NodeId(node), disk }
}

fn first_membership() -> Membership {
    let voter = |node| Voter { replica: replica(node, 1), zone: String::new(), joined_generation: 1 };
    Membership { generation: 1, voters: (1..=3).map(voter).collect(), previous: Vec::new() }
}

#[gtest]
fn two_memberships_of_one_generation_are_a_violation() {
    let mut oracle = Oracle::default();
    let first = first_membership();
    oracle.observe_membership(&first);
    oracle.observe_membership(&first.with_replacement(replica(3, 1), replica(4, 1), ""));
    expect_that!(oracle.violation(), none());
    oracle.observe_membership(&first.with_replacement(replica(2, 1), replica(4, 1), ""));
    expect_that!(violated(&oracle), some(eq(Invariant::SingleMembershipPerGeneration)));
}

#[gtest]
fn generation_with_two_replaced_voters_is_a_violation() {
    let mut oracle = Oracle::default();
    let first = first_membership();
    oracle.observe_membership(&first);
    let mut two_at_once = first.with_replacement(replica(3, 1), replica(4, 1), "");
    two_at_once.voters[0].replica = replica(1, 2);
    oracle.observe_membership(&two_at_once);
    expect_that!(violated(&oracle), some(eq(Invariant::SingleMembershipPerGeneration)));
}

#[gtest]
fn vote_of_a_former_voter_is_a_violation() {
    let mut oracle = Oracle::default();
    let first = first_membership();
    oracle.observe_membership(&first);
    oracle.observe_membership(&first.with_replacement(replica(3, 1), replica(3, 2), ""));
    oracle.observe_vote(1, replica(3, 1));
    oracle.observe_vote(2, replica(3, 2));
    expect_that!(oracle.violation(), none());
    oracle.observe_vote(2, replica(3, 1));
    expect_that!(violated(&oracle), some(eq(Invariant::OnlyVotersVote)));
}

#[gtest]
fn rejected_retry_of_an_applied_change_violates_idempotence() {
    let mut oracle = oracle_with_acknowledged_revision();
    oracle.operation_started(2, &set(5, 7, true));
    oracle.response_lost(2, &applied_response(7));
    expect_that!(oracle.violation(), none());
    oracle.response_received(2, &AdminResponse::Conflict { revision: 9 });
    expect_that!(violated(&oracle), some(eq(Invariant::IdempotentRetry)));
    let mut invalid = oracle_with_acknowledged_revision();
    invalid.operation_started(2, &set(5, 7, true));
    invalid.response_lost(2, &applied_response(7));
    invalid.response_received(2, &AdminResponse::Invalid(String::new()));
    expect_that!(violated(&invalid), some(eq(Invariant::IdempotentRetry)));
    let mut acknowledged_retry = oracle_with_acknowledged_revision();
    acknowledged_retry.operation_started(2, &set(5, 7, true));
    acknowledged_retry.response_lost(2, &applied_response(7));
    acknowledged_retry.observe_configuration(2, 7, 7);
    acknowledged_retry.response_received(2, &applied_response(7));
    expect_that!(acknowledged_retry.violation(), none());
    let mut twice_rejected = oracle_with_acknowledged_revision();
    twice_rejected.operation_started(2, &set(4, 7, true));
    twice_rejected.response_lost(2, &AdminResponse::Conflict { revision: 5 });
    twice_rejected.response_received(2, &AdminResponse::Conflict { revision: 5 });
    expect_that!(twice_rejected.violation(), none());
}

#[gtest]
fn lost_acknowledgement_counts_for_compare_and_set_and_durability() {
    let mut competing = oracle_with_acknowledged_revision();
    competing.operation_started(2, &set(5, 7, true));
    competing.operation_started(3, &set(5, 8, true));
    competing.response_lost(2, &applied_response(7));
    competing.response_received(3, &applied_response(8));
    expect_that!(violated(&competing), some(eq(Invariant::CompareAndSet)));
    let mut lost = oracle_with_acknowledged_revision();
    lost.operation_started(2, &set(5, 7, true));
    lost.response_lost(2, &applied_response(7));
    lost.check_final_state(&converged(1, 5, 1));
    expect_that!(violated(&lost), some(eq(Invariant::Durability)));
}

#[gtest]
fn response_deadline_restarts_after_a_lost_response() {
    let mut oracle = oracle_with_acknowledged_revision();
    oracle.operation_started(2, &set(5, 7, true));
    oracle.advance_to(4 * SECOND);
    oracle.response_lost(2, &applied_response(7));
    oracle.advance_to(9 * SECOND);
    oracle.check_deadlines(&[], Some(0));
    expect_that!(oracle.violation(), none());
    oracle.advance_to(9 * SECOND + 1);
    oracle.check_deadlines(&[], Some(0));
    expect_that!(violated(&oracle), some(eq(Invariant::ResponseDeadline)));
}
