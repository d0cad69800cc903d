//! What an embedder advises, and what of a node's settings changes while it runs. Without advice all is as
//! it was.

mod common;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use common::*;
use ivyhatch_balancer::*;

/// An embedder's word on single requests and backends.
#[derive(Clone, Default)]
struct Word {
    /// Backends that may be sent nothing.
    barred: Rc<RefCell<BTreeSet<u32>>>,
    delays: Rc<RefCell<BTreeMap<u32, f64>>>,
    abroad: Rc<Cell<bool>>,
    /// What it was told of.
    sends: Rc<RefCell<Vec<(RequestId, BackendId)>>>,
    /// The most sends that a backend may get.
    most: Rc<Cell<Option<usize>>>,
}

impl Word {
    fn sent_to(&self, backend: BackendId) -> usize {
        self.sends.borrow().iter().filter(|(_, to)| *to == backend).count()
    }

    fn bar(&self, backends: &[u32]) {
        *self.barred.borrow_mut() = backends.iter().copied().collect();
    }
}

impl PlacementAdvisor for Word {
    fn allows(&self, _: Nanos, _: RequestId, backend: BackendId) -> bool {
        let room = self.most.get().is_none_or(|most| self.sent_to(backend) < most);
        room && !self.barred.borrow().contains(&backend.0)
    }

    fn on_sent(&self, _: Nanos, request: RequestId, backend: BackendId) {
        self.sends.borrow_mut().push((request, backend));
    }

    fn expected_delay(&self, _: Nanos, _: RequestId, backend: BackendId) -> Option<f64> {
        self.delays.borrow().get(&backend.0).copied()
    }

    fn home_zone_allowed(&self, _: RequestId) -> bool {
        !self.abroad.get()
    }
}

/// Backends 0 to 2 at home, 3 to 5 in zone 1, 6 to 8 in zone 2.
fn nine() -> Vec<Member> {
    (0..9).map(|backend| member(backend, backend / 3)).collect()
}

fn advised(settings: Settings) -> (Node, Word) {
    let (mut node, word) = (Node::new(settings, nine()), Word::default());
    node.balancer.set_advisor(Box::new(word.clone()));
    (node, word)
}

/// Settings for a class of one's own making.
fn of(class: ClassSettings) -> Settings {
    Settings { classes: vec![class], ..settings(class.idempotency) }
}

/// Outcomes are told until nothing more is sent; tells who was sent to.
fn all_sends(node: &mut Node, outcome: Outcome, wait: Nanos) -> Vec<BackendId> {
    let (request, mut actions) = node.ask(wait);
    let mut to = Vec::new();
    for attempt in 0..50 {
        actions.extend(node.pass(20 * MS));
        let Some(backend) = sent(&actions) else { break };
        to.push(backend);
        actions = node.settle(request, attempt, outcome, LoadReport::default());
    }
    to
}

#[test]
fn a_backend_that_is_not_allowed_gets_nothing() {
    let (mut node, word) = advised(settings(Idempotency::Idempotent));
    word.bar(&[0, 1]);
    let used = node.serve(40, |_| util(0.2));
    assert_eq!(used.len(), 40);
    assert!(used.iter().all(|to| *to == BackendId(2)), "{used:?}");
}

#[test]
fn a_request_whose_homes_exclude_the_own_zone_goes_to_its_homes() {
    let (mut node, word) = advised(settings(Idempotency::Idempotent));
    word.bar(&[0, 1, 2, 6, 7, 8]);
    word.abroad.set(true);
    let used = node.serve(60, |_| util(0.2));
    assert_eq!(used.len(), 60, "none is held for a place at home");
    assert!(used.iter().all(|to| (3..6).contains(&to.0)), "{used:?}");
    word.bar(&[]);
    word.abroad.set(false);
    let used = node.serve(60, |_| util(0.2));
    assert!(used.iter().all(|to| to.0 < 3), "with no such homes it stays: {used:?}");
}

#[test]
fn a_request_that_may_go_nowhere_is_refused() {
    let (mut node, word) = advised(settings(Idempotency::Idempotent));
    word.bar(&[0, 1, 2, 3, 4, 5, 6, 7, 8]);
    let (_, mut actions) = node.ask(SECOND);
    actions.extend(node.pass(SECOND));
    assert!(sent(&actions).is_none() && refused(&actions));
}

#[test]
fn what_is_allowed_later_is_sent_then() {
    let (mut node, word) = advised(settings(Idempotency::Idempotent));
    word.bar(&[0, 1, 2, 3, 4, 5, 6, 7, 8]);
    let (_, actions) = node.ask(SECOND);
    assert!(sent(&actions).is_none());
    word.bar(&[1, 2, 3, 4, 5, 6, 7, 8]);
    assert_eq!(sent(&node.pass(30 * MS)), Some(BackendId(0)));
}

#[test]
fn each_send_is_told_once() {
    let (mut node, word) = advised(settings(Idempotency::Idempotent));
    let mut sends = Vec::new();
    for outcome in [Outcome::Served, Outcome::Reset, Outcome::ConnectFailed, Outcome::Rejected] {
        let (request, actions) = node.ask(SECOND);
        sends.extend(sent(&actions).map(|to| (request, to)));
        let again = node.settle(request, 0, outcome, LoadReport::default());
        sends.extend(sent(&again).map(|to| (request, to)));
    }
    assert_eq!(*word.sends.borrow(), sends);
}

/// What was held goes out together as it is let go: none of it may pass a bound that the first of it has
/// reached.
#[test]
fn what_is_sent_within_one_event_is_taken_into_account() {
    let (mut node, word) = advised(settings(Idempotency::Idempotent));
    word.bar(&[0, 1, 2, 3, 4, 5, 6, 7, 8]);
    (0..60).for_each(|_| assert!(sent(&node.ask(SECOND).1).is_none()));
    word.bar(&[]);
    word.most.set(Some(2));
    node.now += 10 * MS;
    let actions = node.tell(Event::Timer { token: 0 });
    assert!(sends(&actions).len() > 1, "several go out together");
    node.pass(300 * MS);
    assert!((0..9).all(|backend| word.sent_to(BackendId(backend)) <= 2), "{:?}", word.sends);
}

#[test]
fn of_two_backends_the_one_expected_to_answer_sooner_is_preferred() {
    let (mut node, word) = advised(settings(Idempotency::Idempotent));
    *word.delays.borrow_mut() =
        (0..9).map(|id| (id, if id == 1 { 5.0 } else { 300.0 } * MS as f64)).collect();
    let used = node.serve(100, |_| util(0.2));
    let quick = used.iter().filter(|to| **to == BackendId(1)).count();
    assert!(quick > 50, "{quick} of {}", used.len());
}

#[test]
fn attempts_are_bounded_by_their_class() {
    for most in 1..=4 {
        let class = ClassSettings {
            max_attempts: Some(most),
            retry_past_target: true,
            ..class(400, 1000, Idempotency::Idempotent)
        };
        let mut node = Node::new(of(class), nine());
        node.serve(100, |_| util(0.2));
        let to = all_sends(&mut node, Outcome::Rejected, SECOND);
        assert!(to.len() <= most as usize, "{most}: {to:?}");
        assert!(most == 1 || to.len() > 1, "it is sent again: {most}: {to:?}");
    }
}

#[test]
fn attempts_that_reached_nobody_do_not_count_against_the_bound() {
    for outcome in [Outcome::ConnectFailed, Outcome::NotSent] {
        let class = ClassSettings {
            max_attempts: Some(1),
            retry_past_target: true,
            ..class(400, 1000, Idempotency::NonIdempotent)
        };
        let mut node = Node::new(of(class), nine());
        let to = all_sends(&mut node, outcome, SECOND);
        assert!(to.len() > 1, "{outcome:?}: {to:?}");
        assert!(to.len() <= 9, "it does not go through all of them for ever: {outcome:?}: {to:?}");
    }
}

#[test]
fn what_never_arrived_costs_no_repeat() {
    let class = ClassSettings {
        max_attempts: Some(2),
        retry_past_target: true,
        ..class(400, 1000, Idempotency::Idempotent)
    };
    let mut node = Node::new(of(class), nine());
    // All that could be saved up is spent by far.
    for _ in 0..200 {
        let (request, actions) = node.ask(SECOND);
        assert!(sent(&actions).is_some());
        let again = node.settle(request, 0, Outcome::ConnectFailed, LoadReport::default());
        assert!(sent(&again).is_some(), "the next one is tried");
        node.settle(request, 1, Outcome::Served, LoadReport::default());
        node.pass(10 * MS);
    }
}

#[test]
fn what_arrived_costs_a_repeat() {
    let class = ClassSettings {
        max_attempts: Some(2),
        retry_past_target: true,
        ..class(400, 1000, Idempotency::Idempotent)
    };
    let mut node = Node::new(of(class), nine());
    let mut again = 0;
    for _ in 0..200 {
        let (request, actions) = node.ask(SECOND);
        if sent(&actions).is_none() {
            continue;
        }
        let actions = node.settle(request, 0, Outcome::Rejected, LoadReport::default());
        if sent(&actions).is_some() {
            again += 1;
            node.settle(request, 1, Outcome::Served, LoadReport::default());
        }
    }
    assert!(again < 100, "{again} repeats of 200 requests");
}

#[test]
fn no_more_repeats_are_saved_up_than_the_embedder_says() {
    let class = ClassSettings {
        max_attempts: Some(2),
        retry_past_target: true,
        ..class(400, 1000, Idempotency::Idempotent)
    };
    let repeats = |saved: f64| {
        let mut node = Node::new(of(class), nine());
        node.balancer.set_max_retry_tokens(saved);
        let mut again = 0;
        for _ in 0..40 {
            let (request, actions) = node.ask(SECOND);
            if sent(&actions).is_some() {
                again += usize::from(
                    sent(&node.settle(request, 0, Outcome::Reset, LoadReport::default())).is_some(),
                );
            }
        }
        again
    };
    assert!(repeats(0.0) <= 8, "{}", repeats(0.0));
    assert!(repeats(1.0) <= repeats(12.0));
}

#[test]
fn patience_bounds_how_long_a_request_is_held() {
    for patience in [20, 80, 150] {
        let class = ClassSettings {
            max_queue_time: Some(patience * MS),
            ..class(800, 2000, Idempotency::Idempotent)
        };
        let mut node = Node::new(of(class), Vec::new());
        let (_, actions) = node.ask(2 * SECOND);
        assert!(!refused(&actions), "held at first");
        let early = node.pass((patience - 20) * MS);
        assert!(patience == 20 || !refused(&early), "{patience}: too early");
        assert!(refused(&node.pass(60 * MS)), "{patience}: in time");
    }
    // Never beyond what the client waits.
    let class =
        ClassSettings { max_queue_time: Some(10 * SECOND), ..class(800, 2000, Idempotency::Idempotent) };
    let mut node = Node::new(of(class), Vec::new());
    node.ask(100 * MS);
    assert!(refused(&node.pass(130 * MS)));
}

/// A stream that has begun; its request, and the backend.
fn streaming(effect: Idempotency) -> (Node, RequestId, BackendId) {
    let class =
        ClassSettings { max_attempts: Some(3), retry_past_target: true, ..class(400, 10_000, effect) };
    let mut node = Node::new(of(class), nine());
    node.serve(100, |_| util(0.2));
    let (request, actions) = node.ask(10 * SECOND);
    let to = sent(&actions).expect("a send");
    node.tell(Event::StreamStarted { request });
    // Long past the aim of its beginning.
    node.pass(2 * SECOND);
    (node, request, to)
}

#[test]
fn a_broken_stream_goes_on_at_another_backend() {
    for outcome in [Outcome::Reset, Outcome::InvalidResponse] {
        let (mut node, request, first) = streaming(Idempotency::Idempotent);
        let aim_end = node.now + 300 * MS;
        assert!(
            sent(&node.tell(Event::StreamInterrupted { request, target_at: aim_end })).is_none(),
            "its attempt's end follows"
        );
        let mut actions = node.settle(request, 0, outcome, LoadReport::default());
        actions.extend(node.pass(100 * MS));
        let next = sent(&actions).expect("it goes on");
        assert_ne!(next, first, "{outcome:?}");
        node.tell(Event::StreamStarted { request });
        let ended = node.settle(request, 1, Outcome::Served, LoadReport::default());
        assert!(!failed(&ended) && !refused(&ended) && sent(&ended).is_none());
    }
}

#[test]
fn a_broken_stream_that_may_not_run_twice_is_not_sent_again() {
    let (mut node, request, _) = streaming(Idempotency::NonIdempotent);
    node.tell(Event::StreamInterrupted { request, target_at: node.now + 300 * MS });
    let mut actions = node.settle(request, 0, Outcome::Reset, LoadReport::default());
    actions.extend(node.pass(SECOND));
    assert!(sent(&actions).is_none() && failed(&actions) && !refused(&actions));
}

#[test]
fn a_stream_without_the_word_that_it_broke_is_not_sent_again() {
    let (mut node, request, _) = streaming(Idempotency::Idempotent);
    let mut actions = node.settle(request, 0, Outcome::Reset, LoadReport::default());
    actions.extend(node.pass(SECOND));
    assert!(sent(&actions).is_none());
}

#[test]
fn a_word_on_a_request_that_is_not_there_changes_nothing() {
    let mut node = Node::new(settings(Idempotency::Idempotent), nine());
    let request = RequestId(999);
    assert!(sends(&node.tell(Event::StreamInterrupted { request, target_at: node.now + SECOND })).is_empty());
    assert!(sent(&node.ask(SECOND).1).is_some());
}

#[test]
fn a_class_that_is_added_while_the_node_runs_is_served_by_its_own_settings() {
    let mut node = Node::new(settings(Idempotency::Idempotent), nine());
    node.serve(50, |_| util(0.2));
    let ids: Vec<ClassId> = [Idempotency::NonIdempotent, Idempotency::Idempotent]
        .map(|effect| {
            node.balancer.add_class(ClassSettings { max_attempts: Some(2), ..class(400, 1000, effect) })
        })
        .into();
    assert_eq!(ids, [ClassId(1), ClassId(2)], "numbers go on");
    for (class, again) in ids.into_iter().zip([false, true]) {
        let request = RequestId(1000 + u64::from(class.0));
        let not_after = node.now + SECOND;
        let arrival =
            Arrival { request, class, expected_work: None, is_retry: false, tenant: None, not_after };
        assert!(sent(&node.tell(Event::Request(arrival))).is_some(), "{class:?}");
        let actions = node.settle(request, 0, Outcome::Reset, LoadReport::default());
        assert_eq!(sent(&actions).is_some(), again, "{class:?}");
        assert_eq!(failed(&actions), !again, "{class:?}");
    }
    assert_eq!(node.serve(50, |_| util(0.2)).len(), 50, "the first class goes on");
}

#[test]
fn requests_of_an_added_class_are_held_and_refused_as_others_are() {
    let mut node = Node::new(settings(Idempotency::Idempotent), Vec::new());
    let patience = Some(50 * MS);
    let class = node.balancer.add_class(ClassSettings {
        max_queue_time: patience,
        ..class(400, 1000, Idempotency::NonIdempotent)
    });
    let (request, not_after) = (RequestId(500), node.now + SECOND);
    let arrival = Arrival { request, class, expected_work: None, is_retry: false, tenant: None, not_after };
    assert!(sends(&node.tell(Event::Request(arrival))).is_empty());
    let actions = node.pass(100 * MS);
    let own = |action: &Action| matches!(action, Action::Reject { request: of, .. } if *of == request);
    assert!(actions.iter().any(own));
}

#[test]
fn advice_that_says_nothing_changes_nothing() {
    let (mut plain, mut told) =
        (Node::new(settings(Idempotency::Idempotent), nine()), advised(settings(Idempotency::Idempotent)).0);
    for utilisation in [0.2, 0.7, 0.95, 1.0, 0.4] {
        // Home is used so much; the others are idle.
        let report = |to: BackendId| util(if to.0 < 3 { utilisation } else { 0.1 });
        assert_eq!(plain.serve(100, report), told.serve(100, report), "{utilisation}");
    }
    for _ in 0..20 {
        let (one, other) = (plain.ask(SECOND), told.ask(SECOND));
        assert_eq!(one, other);
        for outcome in [Outcome::Rejected, Outcome::Reset] {
            let ends = |node: &mut Node| node.settle(one.0, 0, outcome, LoadReport::default());
            assert_eq!(ends(&mut plain), ends(&mut told), "{outcome:?}");
        }
        assert_eq!(plain.pass(50 * MS), told.pass(50 * MS));
    }
}
