//! The retry budget that nodes share, and its usage as reported to operators.

mod common;

use common::{MS, Node, SECOND, class, first_sent_to, is_rejected, member, settings};
use ivyhatch_balancer::{
    BackendState, ClassSettings, Event, Idempotency, ListScope, LoadReport, Member, Outcome, RetryUsage,
    Settings, SharedRetryBudget,
};

const WINDOW: u64 = 10 * SECOND;

fn nine_members() -> Vec<Member> {
    (0..9).map(|backend| member(backend, backend / 3)).collect()
}

fn node_with(idempotency: Idempotency, max_attempts: u32) -> Node {
    let class = ClassSettings {
        max_attempts: Some(max_attempts),
        retry_past_target: true,
        ..class(400, 1000, idempotency)
    };
    Node::new(Settings { classes: vec![class], ..settings(idempotency) }, nine_members())
}

fn budget(slack_share: f64) -> SharedRetryBudget {
    SharedRetryBudget {
        ratio: 0.2,
        window: WINDOW,
        slack_share,
        starting_slack_share: slack_share,
        started_at: 0,
    }
}

/// The number of attempts beyond the first of `requests` requests at one time, all of whose attempts end with
/// `outcome`.
fn repeats_of(node: &mut Node, requests: usize, outcome: Outcome) -> usize {
    let mut repeats = 0;
    for _ in 0..requests {
        let (request, mut actions) = node.arrive(SECOND);
        let mut attempt = 0;
        while first_sent_to(&actions).is_some() {
            actions = node.end_attempt(request, attempt, outcome, LoadReport::default());
            repeats += usize::from(first_sent_to(&actions).is_some());
            attempt += 1;
        }
    }
    repeats
}

#[test]
fn repeats_of_a_node_are_bounded_by_its_part_of_the_shared_budget() {
    let repeats = |slack_share: f64| {
        let mut node = node_with(Idempotency::Idempotent, 2);
        node.balancer.share_retry_budget(budget(slack_share));
        repeats_of(&mut node, 40, Outcome::Reset)
    };
    assert_eq!(repeats(0.0), 4, "half of a fifth of 40 requests");
    assert_eq!(repeats(0.5), 4, "half a retry of slack pays for none");
    assert_eq!(repeats(3.0), 7);
}

#[test]
fn retry_after_a_misdirected_attempt_is_paid_from_the_budget() {
    let repeats = |outcome: Outcome| {
        let mut node = node_with(Idempotency::NonIdempotent, 1);
        node.balancer.share_retry_budget(budget(1.0));
        repeats_of(&mut node, 30, outcome)
    };
    assert_eq!(repeats(Outcome::Misdirected), 3 + 1);
    assert!(
        repeats(Outcome::ConnectFailed) > 30,
        "a retry after a failed connection is not bounded by the budget"
    );
}

/// With many nodes, the first retry of a request that was never run is free, except if the nodes share a
/// budget.
#[test]
fn no_retry_is_free_where_nodes_share_a_budget() {
    let usage = |shared: Option<SharedRetryBudget>| {
        let mut node = node_with(Idempotency::Idempotent, 2);
        node.balancer.set_nodes(30);
        if let Some(shared) = shared {
            node.balancer.share_retry_budget(shared);
        }
        for _ in 0..40 {
            repeats_of(&mut node, 1, Outcome::Misdirected);
            node.advance(400 * MS);
        }
        node.balancer.retry_usage()
    };
    let (own, shared) = (usage(None), usage(Some(budget(0.0))));
    assert!(own.unpaid_repeats > 10, "too few free retries with an own budget: {own:?}");
    assert_eq!(shared.unpaid_repeats, 0, "free retries with a shared budget: {shared:?}");
    assert!(shared.repeats <= 40 / 10, "too many retries with a shared budget: {shared:?}");
}

#[test]
fn earnings_and_spending_are_kept_when_the_share_changes() {
    let mut node = node_with(Idempotency::Idempotent, 2);
    node.balancer.share_retry_budget(budget(2.0));
    assert_eq!(repeats_of(&mut node, 10, Outcome::Reset), 1 + 2);
    node.balancer.share_retry_budget(budget(3.0));
    assert_eq!(repeats_of(&mut node, 10, Outcome::Reset), 1 + 1);
}

#[test]
fn usage_counts_requests_repeats_and_denied_repeats() {
    let mut node = node_with(Idempotency::Idempotent, 2);
    node.balancer.share_retry_budget(budget(1.0));
    repeats_of(&mut node, 20, Outcome::Misdirected);
    let usage = RetryUsage {
        requests: 20,
        repeats: 3,
        repeats_after_misdirected: 3,
        unpaid_repeats: 0,
        // Includes the second repeat of each of the three requests.
        denied_repeats: 20,
    };
    assert_eq!(node.balancer.retry_usage(), usage);
    repeats_of(&mut node, 5, Outcome::ConnectFailed);
    let requests = usage.requests + 5;
    assert_eq!(
        node.balancer.retry_usage(),
        RetryUsage { requests, ..usage },
        "attempts that reached no server count as no repeats"
    );
}

/// A queued retry is paid for when it is sent, and is not sent if the budget is used up by then.
#[test]
fn queued_retry_is_paid_for_when_it_is_sent() {
    let repeats = |slack_share_at_send: f64| {
        let mut node = node_with(Idempotency::Idempotent, 2);
        node.balancer.share_retry_budget(budget(1.0));
        let (request, actions) = node.arrive(SECOND);
        let rejected_by = first_sent_to(&actions).expect("a send");
        // The other backends leave, and the remaining one is in backoff.
        let others = nine_members().into_iter().filter(|member| member.backend != rejected_by);
        let removed = others.map(|member| Member { state: BackendState::Removed, ..member }).collect();
        node.handle(Event::Membership { scope: ListScope::Changes, members: removed });
        let actions = node.end_attempt(request, 0, Outcome::Rejected, LoadReport::default());
        assert!(
            first_sent_to(&actions).is_none() && !is_rejected(&actions),
            "the retry is not queued: {actions:?}"
        );
        assert_eq!(node.balancer.retry_usage().repeats, 0);
        node.balancer.share_retry_budget(budget(slack_share_at_send));
        let actions = node.advance(300 * MS);
        assert_ne!(
            first_sent_to(&actions).is_some(),
            is_rejected(&actions),
            "the queued retry must be either sent or rejected: {actions:?}"
        );
        node.balancer.retry_usage()
    };
    let (paid, unaffordable) = (repeats(1.0), repeats(0.0));
    assert_eq!((paid.repeats, paid.denied_repeats, paid.unpaid_repeats), (1, 0, 0));
    assert_eq!((unaffordable.repeats, unaffordable.denied_repeats), (0, 1));
}
