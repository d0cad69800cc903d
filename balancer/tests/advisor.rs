//! The placement advisor, and the settings that an embedder may change while the node runs.

mod common;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use common::{
    MS, Node, SECOND, all_sent_to, class, first_sent_to, is_failed, is_rejected, member, settings,
    utilisation,
};
use ivyhatch_balancer::{
    Action, Arrival, BackendId, ClassId, ClassSettings, Event, Idempotency, LoadReport, Member, Nanos,
    Outcome, PlacementAdvisor, RequestId, Settings,
};

/// An advisor that a test controls.
#[derive(Clone, Default)]
struct TestAdvisor {
    /// Backends that the advisor does not allow.
    disallowed: Rc<RefCell<BTreeSet<u32>>>,
    delays: Rc<RefCell<BTreeMap<u32, f64>>>,
    home_disallowed: Rc<Cell<bool>>,
    /// The sends that the advisor was notified of.
    sends: Rc<RefCell<Vec<(RequestId, BackendId)>>>,
    /// The most sends to one backend that the advisor allows; `None` for no limit.
    max_sends: Rc<Cell<Option<usize>>>,
}

impl TestAdvisor {
    fn sent_to(&self, backend: BackendId) -> usize {
        self.sends.borrow().iter().filter(|(_, to)| *to == backend).count()
    }

    fn disallow(&self, backends: &[u32]) {
        *self.disallowed.borrow_mut() = backends.iter().copied().collect();
    }
}

impl PlacementAdvisor for TestAdvisor {
    fn allows(&self, _: Nanos, _: RequestId, backend: BackendId) -> bool {
        let has_capacity = self.max_sends.get().is_none_or(|limit| self.sent_to(backend) < limit);
        has_capacity && !self.disallowed.borrow().contains(&backend.0)
    }

    fn on_sent(&self, _: Nanos, request: RequestId, backend: BackendId) {
        self.sends.borrow_mut().push((request, backend));
    }

    fn expected_delay(&self, _: Nanos, _: RequestId, backend: BackendId) -> Option<f64> {
        self.delays.borrow().get(&backend.0).copied()
    }

    fn home_zone_allowed(&self, _: RequestId) -> bool {
        !self.home_disallowed.get()
    }
}

/// Backends 0 to 2 at home, 3 to 5 in zone 1, 6 to 8 in zone 2.
fn nine_members() -> Vec<Member> {
    (0..9).map(|backend| member(backend, backend / 3)).collect()
}

fn advised(settings: Settings) -> (Node, TestAdvisor) {
    let (mut node, advisor) = (Node::new(settings, nine_members()), TestAdvisor::default());
    node.balancer.set_advisor(Box::new(advisor.clone()));
    (node, advisor)
}

/// Settings with this class only.
fn with_class(class: ClassSettings) -> Settings {
    Settings { classes: vec![class], ..settings(class.idempotency) }
}

/// Ends every attempt of one request with `outcome` until nothing more is sent. Returns the backends of all
/// sends.
fn sends_of_one_request(node: &mut Node, outcome: Outcome, timeout: Nanos) -> Vec<BackendId> {
    let (request, mut actions) = node.arrive(timeout);
    let mut to = Vec::new();
    for attempt in 0..50 {
        actions.extend(node.advance(20 * MS));
        let Some(backend) = first_sent_to(&actions) else { break };
        to.push(backend);
        actions = node.end_attempt(request, attempt, outcome, LoadReport::default());
    }
    to
}

#[test]
fn backend_disallowed_by_the_advisor_gets_nothing() {
    let (mut node, advisor) = advised(settings(Idempotency::Idempotent));
    advisor.disallow(&[0, 1]);
    let used = node.serve(40, |_| utilisation(0.2));
    assert_eq!(used.len(), 40);
    assert!(used.iter().all(|to| *to == BackendId(2)), "served by a disallowed backend: {used:?}");
}

#[test]
fn request_not_allowed_at_home_is_sent_to_its_zones() {
    let (mut node, advisor) = advised(settings(Idempotency::Idempotent));
    advisor.disallow(&[0, 1, 2, 6, 7, 8]);
    advisor.home_disallowed.set(true);
    let used = node.serve(60, |_| utilisation(0.2));
    assert_eq!(used.len(), 60, "requests were queued to wait for the home zone");
    assert!(used.iter().all(|to| (3..6).contains(&to.0)), "served by a disallowed zone: {used:?}");
    advisor.disallow(&[]);
    advisor.home_disallowed.set(false);
    let used = node.serve(60, |_| utilisation(0.2));
    assert!(used.iter().all(|to| to.0 < 3), "requests left the home zone although it is allowed: {used:?}");
}

#[test]
fn request_without_any_allowed_backend_is_rejected() {
    let (mut node, advisor) = advised(settings(Idempotency::Idempotent));
    advisor.disallow(&[0, 1, 2, 3, 4, 5, 6, 7, 8]);
    let (_, mut actions) = node.arrive(SECOND);
    actions.extend(node.advance(SECOND));
    assert!(first_sent_to(&actions).is_none() && is_rejected(&actions));
}

#[test]
fn pending_request_is_sent_once_the_advisor_allows_it() {
    let (mut node, advisor) = advised(settings(Idempotency::Idempotent));
    advisor.disallow(&[0, 1, 2, 3, 4, 5, 6, 7, 8]);
    let (_, actions) = node.arrive(SECOND);
    assert!(first_sent_to(&actions).is_none());
    advisor.disallow(&[1, 2, 3, 4, 5, 6, 7, 8]);
    assert_eq!(first_sent_to(&node.advance(30 * MS)), Some(BackendId(0)));
}

#[test]
fn advisor_is_notified_of_each_send_once() {
    let (mut node, advisor) = advised(settings(Idempotency::Idempotent));
    let mut sends = Vec::new();
    for outcome in [Outcome::Served, Outcome::Reset, Outcome::ConnectFailed, Outcome::Rejected] {
        let (request, actions) = node.arrive(SECOND);
        sends.extend(first_sent_to(&actions).map(|to| (request, to)));
        let retry_actions = node.end_attempt(request, 0, outcome, LoadReport::default());
        sends.extend(first_sent_to(&retry_actions).map(|to| (request, to)));
    }
    assert_eq!(*advisor.sends.borrow(), sends);
}

/// Pending requests are sent within one event once they are allowed: none of them may exceed a limit that an
/// earlier one has reached.
#[test]
fn advisor_limit_holds_for_sends_within_one_event() {
    let (mut node, advisor) = advised(settings(Idempotency::Idempotent));
    advisor.disallow(&[0, 1, 2, 3, 4, 5, 6, 7, 8]);
    (0..60).for_each(|_| assert!(first_sent_to(&node.arrive(SECOND).1).is_none()));
    advisor.disallow(&[]);
    advisor.max_sends.set(Some(2));
    node.now += 10 * MS;
    let actions = node.handle(Event::Timer { token: 0 });
    assert!(all_sent_to(&actions).len() > 1, "not several requests were sent within one event");
    node.advance(300 * MS);
    assert!(
        (0..9).all(|backend| advisor.sent_to(BackendId(backend)) <= 2),
        "more than two sends to a backend: {:?}",
        advisor.sends
    );
}

#[test]
fn backend_of_lower_advised_delay_is_preferred() {
    let (mut node, advisor) = advised(settings(Idempotency::Idempotent));
    *advisor.delays.borrow_mut() =
        (0..9).map(|id| (id, if id == 1 { 5.0 } else { 300.0 } * MS as f64)).collect();
    let used = node.serve(100, |_| utilisation(0.2));
    let quick = used.iter().filter(|to| **to == BackendId(1)).count();
    assert!(quick > 50, "{quick} of {}", used.len());
}

#[test]
fn attempts_are_bounded_by_their_class() {
    for limit in 1..=4 {
        let class = ClassSettings {
            max_attempts: Some(limit),
            retry_past_target: true,
            ..class(400, 1000, Idempotency::Idempotent)
        };
        let mut node = Node::new(with_class(class), nine_members());
        node.serve(100, |_| utilisation(0.2));
        let to = sends_of_one_request(&mut node, Outcome::Rejected, SECOND);
        assert!(to.len() <= limit as usize, "at most {limit} attempts: {to:?}");
        assert!(
            limit == 1 || to.len() > 1,
            "the request was not retried with at most {limit} attempts: {to:?}"
        );
    }
}

#[test]
fn unreached_attempts_do_not_count_against_max_attempts() {
    for outcome in [Outcome::ConnectFailed, Outcome::NotSent] {
        let class = ClassSettings {
            max_attempts: Some(1),
            retry_past_target: true,
            ..class(400, 1000, Idempotency::NonIdempotent)
        };
        let mut node = Node::new(with_class(class), nine_members());
        let to = sends_of_one_request(&mut node, outcome, SECOND);
        assert!(to.len() > 1, "{outcome:?}: {to:?}");
        assert!(to.len() <= 9, "unreached attempts are not bounded: {outcome:?}: {to:?}");
    }
}

#[test]
fn retry_of_an_unreached_attempt_costs_no_token() {
    let class = ClassSettings {
        max_attempts: Some(2),
        retry_past_target: true,
        ..class(400, 1000, Idempotency::Idempotent)
    };
    let mut node = Node::new(with_class(class), nine_members());
    // The rounds need many more tokens than can be saved up.
    for _ in 0..200 {
        let (request, actions) = node.arrive(SECOND);
        assert!(first_sent_to(&actions).is_some());
        let retry_actions = node.end_attempt(request, 0, Outcome::ConnectFailed, LoadReport::default());
        assert!(first_sent_to(&retry_actions).is_some(), "the next backend was not tried");
        node.end_attempt(request, 1, Outcome::Served, LoadReport::default());
        node.advance(10 * MS);
    }
}

#[test]
fn retry_of_a_reached_attempt_costs_a_token() {
    let class = ClassSettings {
        max_attempts: Some(2),
        retry_past_target: true,
        ..class(400, 1000, Idempotency::Idempotent)
    };
    let mut node = Node::new(with_class(class), nine_members());
    let mut retries = 0;
    for _ in 0..200 {
        let (request, actions) = node.arrive(SECOND);
        if first_sent_to(&actions).is_none() {
            continue;
        }
        let actions = node.end_attempt(request, 0, Outcome::Rejected, LoadReport::default());
        if first_sent_to(&actions).is_some() {
            retries += 1;
            node.end_attempt(request, 1, Outcome::Served, LoadReport::default());
        }
    }
    assert!(retries < 100, "{retries} retries of 200 requests");
}

#[test]
fn max_queue_time_bounds_how_long_a_request_is_queued() {
    for max_queue_ms in [20, 80, 150] {
        let class = ClassSettings {
            max_queue_time: Some(max_queue_ms * MS),
            ..class(800, 2000, Idempotency::Idempotent)
        };
        let mut node = Node::new(with_class(class), Vec::new());
        let (_, actions) = node.arrive(2 * SECOND);
        assert!(!is_rejected(&actions), "the request was not queued at first");
        let early = node.advance((max_queue_ms - 20) * MS);
        assert!(
            max_queue_ms == 20 || !is_rejected(&early),
            "max_queue_time {max_queue_ms} ms: rejected too early"
        );
        assert!(
            is_rejected(&node.advance(60 * MS)),
            "max_queue_time {max_queue_ms} ms: not rejected in time"
        );
    }
    // A request is never queued for longer than its client waits.
    let class =
        ClassSettings { max_queue_time: Some(10 * SECOND), ..class(800, 2000, Idempotency::Idempotent) };
    let mut node = Node::new(with_class(class), Vec::new());
    node.arrive(100 * MS);
    assert!(is_rejected(&node.advance(130 * MS)));
}

/// A node with a stream that has started, its request, and its backend.
fn streaming(idempotency: Idempotency) -> (Node, RequestId, BackendId) {
    let class =
        ClassSettings { max_attempts: Some(3), retry_past_target: true, ..class(400, 10_000, idempotency) };
    let mut node = Node::new(with_class(class), nine_members());
    node.serve(100, |_| utilisation(0.2));
    let (request, actions) = node.arrive(10 * SECOND);
    let to = first_sent_to(&actions).expect("a send");
    node.handle(Event::StreamStarted { request });
    // Well past the latency target of the stream's start.
    node.advance(2 * SECOND);
    (node, request, to)
}

#[test]
fn interrupted_stream_is_resumed_at_another_backend() {
    for outcome in [Outcome::Reset, Outcome::InvalidResponse] {
        let (mut node, request, first) = streaming(Idempotency::Idempotent);
        let resumption_target_at = node.now + 300 * MS;
        assert!(
            first_sent_to(
                &node.handle(Event::StreamInterrupted { request, target_at: resumption_target_at })
            )
            .is_none(),
            "resumed before the end of the attempt"
        );
        let mut actions = node.end_attempt(request, 0, outcome, LoadReport::default());
        actions.extend(node.advance(100 * MS));
        let resumed_at = first_sent_to(&actions).expect("a send that resumes the stream");
        assert_ne!(resumed_at, first, "resumed at the same backend after {outcome:?}");
        node.handle(Event::StreamStarted { request });
        let ended = node.end_attempt(request, 1, Outcome::Served, LoadReport::default());
        assert!(!is_failed(&ended) && !is_rejected(&ended) && first_sent_to(&ended).is_none());
    }
}

#[test]
fn interrupted_non_idempotent_stream_fails() {
    let (mut node, request, _) = streaming(Idempotency::NonIdempotent);
    node.handle(Event::StreamInterrupted { request, target_at: node.now + 300 * MS });
    let mut actions = node.end_attempt(request, 0, Outcome::Reset, LoadReport::default());
    actions.extend(node.advance(SECOND));
    assert!(first_sent_to(&actions).is_none() && is_failed(&actions) && !is_rejected(&actions));
}

#[test]
fn stream_that_ends_without_interruption_event_is_not_resumed() {
    let (mut node, request, _) = streaming(Idempotency::Idempotent);
    let mut actions = node.end_attempt(request, 0, Outcome::Reset, LoadReport::default());
    actions.extend(node.advance(SECOND));
    assert!(first_sent_to(&actions).is_none());
}

#[test]
fn interruption_of_an_unknown_request_is_ignored() {
    let mut node = Node::new(settings(Idempotency::Idempotent), nine_members());
    let request = RequestId(999);
    assert!(
        all_sent_to(&node.handle(Event::StreamInterrupted { request, target_at: node.now + SECOND }))
            .is_empty()
    );
    assert!(first_sent_to(&node.arrive(SECOND).1).is_some());
}

#[test]
fn class_added_at_run_time_is_served_by_its_settings() {
    let mut node = Node::new(settings(Idempotency::Idempotent), nine_members());
    node.serve(50, |_| utilisation(0.2));
    let ids: Vec<ClassId> = [Idempotency::NonIdempotent, Idempotency::Idempotent]
        .map(|idempotency| {
            node.balancer.add_class(ClassSettings { max_attempts: Some(2), ..class(400, 1000, idempotency) })
        })
        .into();
    assert_eq!(ids, [ClassId(1), ClassId(2)], "class numbers are not consecutive");
    for (class, is_retried) in ids.into_iter().zip([false, true]) {
        let request = RequestId(1000 + u64::from(class.0));
        let not_after = node.now + SECOND;
        let arrival =
            Arrival { request, class, expected_work: None, is_retry: false, tenant: None, not_after };
        assert!(first_sent_to(&node.handle(Event::Request(arrival))).is_some(), "{class:?}");
        let actions = node.end_attempt(request, 0, Outcome::Reset, LoadReport::default());
        assert_eq!(first_sent_to(&actions).is_some(), is_retried, "{class:?}");
        assert_eq!(is_failed(&actions), !is_retried, "{class:?}");
    }
    assert_eq!(node.serve(50, |_| utilisation(0.2)).len(), 50, "the first class is not served any more");
}

#[test]
fn request_of_an_added_class_is_queued_and_rejected() {
    let mut node = Node::new(settings(Idempotency::Idempotent), Vec::new());
    let max_queue_time = Some(50 * MS);
    let class = node
        .balancer
        .add_class(ClassSettings { max_queue_time, ..class(400, 1000, Idempotency::NonIdempotent) });
    let (request, not_after) = (RequestId(500), node.now + SECOND);
    let arrival = Arrival { request, class, expected_work: None, is_retry: false, tenant: None, not_after };
    assert!(all_sent_to(&node.handle(Event::Request(arrival))).is_empty());
    let actions = node.advance(100 * MS);
    let rejects_request =
        |action: &Action| matches!(action, Action::Reject { request: of, .. } if *of == request);
    assert!(actions.iter().any(rejects_request));
}

#[test]
fn advisor_without_advice_changes_no_decision() {
    let (mut plain_node, mut advised_node) = (
        Node::new(settings(Idempotency::Idempotent), nine_members()),
        advised(settings(Idempotency::Idempotent)).0,
    );
    for home_utilisation in [0.2, 0.7, 0.95, 1.0, 0.4] {
        // The home zone has this utilisation; the other zones are idle.
        let report = |to: BackendId| utilisation(if to.0 < 3 { home_utilisation } else { 0.1 });
        assert_eq!(
            plain_node.serve(100, report),
            advised_node.serve(100, report),
            "home utilisation {home_utilisation}"
        );
    }
    for _ in 0..20 {
        let (plain_result, advised_result) = (plain_node.arrive(SECOND), advised_node.arrive(SECOND));
        assert_eq!(plain_result, advised_result);
        for outcome in [Outcome::Rejected, Outcome::Reset] {
            let ends = |node: &mut Node| node.end_attempt(plain_result.0, 0, outcome, LoadReport::default());
            assert_eq!(ends(&mut plain_node), ends(&mut advised_node), "{outcome:?}");
        }
        assert_eq!(plain_node.advance(50 * MS), advised_node.advance(50 * MS));
    }
}
