//! The invariant checker: each violation of an invariant is reported, and permitted behaviour is not.

use ivyhatch_lab::{
    ANSWER_SLACK, DRAIN_GRACE, Execution, FinalResponse, Invariant, InvariantChecker, ListedServer, Nanos,
    RequestTerms, ResourceUsage,
};

const MS: Nanos = 1_000_000;

/// The violations in a run with one non-idempotent request (node 0, request 1), whose client times out at 100 ms.
fn violations(run: impl FnOnce(&mut InvariantChecker)) -> Vec<Invariant> {
    let mut checker = InvariantChecker::default();
    let terms = RequestTerms { non_idempotent: true, not_after: 100 * MS };
    checker.request_accepted(0, 1, terms, 0);
    run(&mut checker);
    checker.violations.iter().map(|violation| violation.rule).collect()
}

fn listed(server: u32, in_service: bool, started: Option<Nanos>) -> ListedServer {
    ListedServer { server, in_service, started }
}

#[test]
fn retry_after_an_attempt_that_never_ran_violates_nothing() {
    let observed = violations(|checker| {
        checker.attempt_sent(0, 1, 5, 0);
        checker.attempt_ended(0, 1, 0, Execution::RuledOut, MS);
        checker.attempt_sent(0, 1, 6, MS);
        checker.response_sent(0, 1, FinalResponse::Other, 2 * MS);
        checker.request_closed(0, 1, ANSWER_SLACK);
    });
    assert_eq!(observed, []);
}

#[test]
fn second_attempt_after_a_possible_execution_violates_repeat() {
    let observed = violations(|checker| {
        checker.attempt_sent(0, 1, 5, 0);
        checker.attempt_ended(0, 1, 0, Execution::Possible, MS);
        checker.attempt_sent(0, 1, 6, MS);
    });
    assert_eq!(observed, [Invariant::Repeat]);
}

#[test]
fn rejection_after_a_possible_execution_violates_repeat() {
    let observed = violations(|checker| {
        checker.attempt_sent(0, 1, 5, 0);
        checker.response_sent(0, 1, FinalResponse::Rejected, MS);
    });
    assert_eq!(observed, [Invariant::Repeat]);
}

#[test]
fn missing_late_or_second_response_violates_answer() {
    assert_eq!(violations(|checker| checker.request_closed(0, 1, 200 * MS)), [Invariant::Answer]);
    let late = 100 * MS + ANSWER_SLACK + 1;
    assert_eq!(
        violations(|checker| checker.response_sent(0, 1, FinalResponse::Other, late)),
        [Invariant::Answer]
    );
    assert_eq!(
        violations(|checker| (0..2).for_each(|_| checker.response_sent(0, 1, FinalResponse::Other, MS))),
        [Invariant::Answer]
    );
}

#[test]
fn attempt_to_a_draining_server_after_the_grace_violates_drain() {
    let observed = |sent_at| {
        violations(|checker| {
            checker.server_listed(0, listed(5, false, None), 0);
            // A list from before the notification, received later.
            checker.server_listed(0, listed(5, true, None), MS);
            checker.attempt_sent(0, 1, 5, sent_at);
        })
    };
    assert_eq!((observed(DRAIN_GRACE), observed(DRAIN_GRACE + 1)), (vec![], vec![Invariant::Drain]));
}

#[test]
fn attempt_to_a_server_that_has_started_again_violates_nothing() {
    let observed = violations(|checker| {
        checker.server_listed(0, listed(5, false, None), 0);
        checker.server_listed(0, listed(5, true, Some(MS)), 2 * MS);
        checker.attempt_sent(0, 1, 5, 2 * DRAIN_GRACE);
    });
    assert_eq!(observed, []);
}

#[test]
fn server_that_a_full_list_omits_counts_as_gone() {
    let observed = violations(|checker| {
        checker.full_list_received(0, &[listed(4, true, None)], 6, 0);
        checker.attempt_sent(0, 1, 5, 2 * DRAIN_GRACE);
    });
    assert_eq!(observed, [Invariant::Drain]);
}

#[test]
fn crash_of_a_cold_server_under_informed_load_violates_cold() {
    assert_eq!(violations(|checker| checker.cold_server_crashed(5, MS)), [Invariant::Cold]);
}

#[test]
fn client_that_disconnected_is_owed_no_response() {
    let observed = violations(|checker| {
        checker.client_disconnected(0, 1, MS);
        checker.request_closed(0, 1, 200 * MS);
    });
    assert_eq!(observed, [], "no response is expected after the client has disconnected");
}

#[test]
fn attempt_after_the_client_disconnected_violates_answer() {
    let observed = violations(|checker| {
        checker.client_disconnected(0, 1, MS);
        checker.attempt_sent(0, 1, 5, 2 * MS);
    });
    assert_eq!(observed, [Invariant::Answer]);
}

#[test]
fn resource_limit_exceeded_by_a_node_is_reported_once() {
    let mut checker = InvariantChecker::default();
    let descriptors = |used| ResourceUsage { resource: "descriptors", used, limit: 1024 };
    checker.resource_used(0, descriptors(1024), 1);
    assert!(checker.violations.is_empty());
    checker.resource_used(0, descriptors(1025), 2);
    checker.resource_used(0, descriptors(1026), 3);
    checker.resource_used(1, descriptors(1026), 4);
    let reported: Vec<_> =
        checker.violations.iter().map(|violation| (violation.rule, violation.at)).collect();
    assert_eq!(reported, [(Invariant::Bounds, 2), (Invariant::Bounds, 4)]);
}
