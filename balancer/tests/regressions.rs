//! Regression tests, each a minimal reproduction of a fault.

mod common;
use common::{
    MS, Node, QueueingBackend, SECOND, all_sent_to, class, first_sent_to, is_failed, is_rejected,
    logs_ejection, member, settings, utilisation,
};
use ivyhatch_balancer::{
    Action, Arrival, BackendId, ClassId, ClassSettings, Event, Idempotency, LoadReport, Member, Outcome,
    RequestId, Settings,
};

fn members(count: u32) -> Vec<Member> {
    (0..count).map(|backend| member(backend, 0)).collect()
}

/// Incident idbb93b: a backend that rejects requests within a millisecond attracted nearly all sends.
#[test]
fn backend_that_rejects_at_once_does_not_look_idle() {
    let mut node = Node::new(settings(Idempotency::Idempotent), members(3));
    let mut rejections = 0;
    for _ in 0..200 {
        let (request, actions) = node.arrive(SECOND);
        let (mut to, mut attempt) = (first_sent_to(&actions), 0);
        while to == Some(BackendId(0)) {
            rejections += 1;
            to = first_sent_to(&node.end_attempt_after(
                request,
                attempt,
                Outcome::Rejected,
                2 * MS,
                utilisation(0.0),
            ));
            attempt += 1;
        }
        node.advance(30 * MS);
        node.end_attempt(request, attempt, Outcome::Served, utilisation(0.4));
    }
    assert!(rejections < 20, "{rejections} sends to the backend that rejects");
}

/// A backend that returns errors immediately must be ejected, and later be tried and readmitted.
#[test]
fn backend_that_fails_fast_is_ejected_and_readmitted() {
    let mut node = Node::new(settings(Idempotency::Idempotent), members(4));
    let run = |node: &mut Node, rounds: usize, broken: bool| {
        let mut sent_to_broken = 0;
        for _ in 0..rounds {
            let (request, actions) = node.arrive(SECOND);
            let (mut to, mut attempt) = (first_sent_to(&actions), 0);
            while to == Some(BackendId(0)) && broken {
                sent_to_broken += 1;
                to = first_sent_to(&node.end_attempt_after(
                    request,
                    attempt,
                    Outcome::Error,
                    MS,
                    utilisation(0.0),
                ));
                attempt += 1;
            }
            sent_to_broken += usize::from(to == Some(BackendId(0)));
            node.advance(30 * MS);
            node.end_attempt(request, attempt, Outcome::Served, utilisation(0.4));
        }
        sent_to_broken
    };
    assert!(run(&mut node, 200, true) < 20);
    node.advance(40 * SECOND);
    assert!(run(&mut node, 200, false) > 20, "the backend was not readmitted");
}

/// Incident idbb93b: a backend without own requests in flight counted as idle. If each of many nodes sends
/// one request to such a backend, the backend is congested.
#[test]
fn backend_without_own_requests_is_not_taken_for_idle() {
    let mut node = Node::new(settings(Idempotency::Idempotent), members(2));
    node.serve(100, |_| utilisation(0.5));
    for _ in 0..40 {
        let (request, actions) = node.arrive(SECOND);
        node.advance(200 * MS);
        if first_sent_to(&actions).is_some() {
            node.end_attempt_after(request, 0, Outcome::Served, 900 * MS, utilisation(1.0));
        }
    }
    let sent = (0..20).filter(|_| first_sent_to(&node.arrive(SECOND).1).is_some()).count();
    assert!(sent <= 1, "{sent} requests sent into congestion");
}

/// Incident if301ed: the class with the highest value and the tightest latency target found all capacity used
/// by the other classes.
#[test]
fn class_of_higher_value_is_sent_first() {
    let mut node_settings = settings(Idempotency::Idempotent);
    let wide_target = ClassSettings { latency_target: 800 * MS, ..class(800, 2000, Idempotency::Idempotent) };
    node_settings.classes =
        vec![wide_target, ClassSettings { value: 5.0, ..class(500, 2000, Idempotency::Idempotent) }];
    let mut node = Node::new(node_settings, members(2));
    let mut sent_by_class = [0, 0];
    let mut in_flight = Vec::new();
    for turn in 0..2000u64 {
        let id = RequestId(1_000_000 + turn);
        let class = ClassId((turn % 2) as u32);
        let arrival = Arrival {
            request: id,
            class,
            expected_work: None,
            is_retry: false,
            tenant: None,
            not_after: node.now + SECOND,
        };
        for action in node.handle(Event::Request(arrival)) {
            if let Action::Send { request, .. } = action {
                sent_by_class[(request.0 % 2) as usize] += 1;
                in_flight.push(request);
            }
        }
        node.now += 5 * MS;
        // The backends serve one request per 15 ms, in the order of the sends.
        if turn % 3 == 0 && !in_flight.is_empty() {
            let request = in_flight.remove(0);
            let elapsed = 15 * MS * (in_flight.len() as u64 + 1);
            for action in node.end_attempt_after(request, 0, Outcome::Served, elapsed, utilisation(0.99)) {
                if let Action::Send { request, .. } = action {
                    sent_by_class[(request.0 % 2) as usize] += 1;
                    in_flight.push(request);
                }
            }
        }
        node.handle(Event::Timer { token: 0 });
    }
    assert!(sent_by_class[1] > sent_by_class[0], "requests sent by class: {sent_by_class:?}");
}

#[test]
fn retries_stay_within_their_budget() {
    let mut node = Node::new(settings(Idempotency::Idempotent), members(6));
    let mut retries = 0;
    for _ in 0..500 {
        let (request, actions) = node.arrive(SECOND);
        let (mut to, mut attempt) = (first_sent_to(&actions), 0);
        while to.is_some() {
            to = first_sent_to(&node.end_attempt_after(
                request,
                attempt,
                Outcome::Error,
                5 * MS,
                LoadReport::default(),
            ));
            retries += usize::from(to.is_some());
            attempt += 1;
        }
        node.advance(10 * MS);
    }
    assert!(retries <= 500 / 5 + 11, "{retries} retries of 500 requests");
}

#[test]
fn ejection_stops_at_the_max_ejected_share() {
    let mut node = Node::new(settings(Idempotency::Idempotent), members(6));
    let mut sent_late = 0;
    for turn in 0..300 {
        let (request, actions) = node.arrive(SECOND);
        let (mut to, mut attempt) = (first_sent_to(&actions), 0);
        sent_late += usize::from(turn > 200 && to.is_some());
        while to.is_some() {
            to = first_sent_to(&node.end_attempt_after(
                request,
                attempt,
                Outcome::Reset,
                5 * MS,
                LoadReport::default(),
            ));
            attempt += 1;
        }
        node.advance(20 * MS);
    }
    assert!(sent_late > 50, "{sent_late} of 99 requests were sent");
}

/// Incident if301ed: with three nodes per zone, each node filled the backends to the limit of a single node.
#[test]
fn nodes_that_share_a_zone_leave_capacity_for_each_other() {
    let sent_with = |nodes| {
        let node_settings = Settings { nodes, ..settings(Idempotency::Idempotent) };
        let mut node = Node::new(node_settings, members(2));
        node.serve(200, |_| utilisation(0.5));
        (0..60).filter(|_| first_sent_to(&node.arrive(SECOND).1).is_some()).count()
    };
    let (alone, crowded) = (sent_with(3), sent_with(12));
    assert!(crowded < alone, "{alone} requests sent by one node per zone, {crowded} by one of four");
}

/// Incidents idbcff6 and i9be87d: a timer that always ran on every node cost more than all requests together.
#[test]
fn node_without_pending_requests_sets_no_timer() {
    let mut node = Node::new(settings(Idempotency::Idempotent), members(2));
    let (request, actions) = node.arrive(SECOND);
    assert_eq!(all_sent_to(&actions).len(), 1);
    let timer = |actions: &[Action]| actions.iter().any(|action| matches!(action, Action::Timer { .. }));
    assert!(!timer(&actions) && !timer(&node.end_attempt(request, 0, Outcome::Served, utilisation(0.1))));
    assert!(
        timer(&Node::new(settings(Idempotency::Idempotent), vec![]).arrive(SECOND).1),
        "a queued request needs a timer"
    );
}

/// First attempts of clients with short timeouts were taken for late retries: a retry may be given the rest
/// of the client's time, which can be more than the timeout of the first attempt.
#[test]
fn short_first_attempt_is_sent_where_clients_mark_retries() {
    let settings_marking_retries =
        |clients_mark_retries| Settings { clients_mark_retries, ..settings(Idempotency::Idempotent) };
    for (clients_mark_retries, is_sent) in [(true, true), (false, false)] {
        let mut node = Node::new(settings_marking_retries(clients_mark_retries), vec![member(1, 0)]);
        node.arrive_as_retry(950 * MS);
        let (_, actions) = node.arrive(400 * MS);
        assert_eq!((first_sent_to(&actions).is_some(), is_rejected(&actions)), (is_sent, !is_sent));
    }
}

/// Retries were rejected with time left because no backend had capacity at that moment.
#[test]
fn retry_that_finds_no_backend_is_queued() {
    let mut node = Node::new(settings(Idempotency::Idempotent), members(1));
    let (request, actions) = node.arrive(SECOND);
    assert!(first_sent_to(&actions).is_some());
    let actions = node.end_attempt_after(request, 0, Outcome::Rejected, 2 * MS, LoadReport::default());
    assert!(!is_rejected(&actions) && !is_failed(&actions) && first_sent_to(&actions).is_none());
    assert_eq!(
        first_sent_to(&node.advance(150 * MS)),
        Some(BackendId(0)),
        "the retry is sent once the backend's backoff is over"
    );
}

/// Each day began with rejections: compared to the initial latency estimate, every backend looked slow.
#[test]
fn first_responses_make_no_backend_look_slow() {
    let mut node = Node::new(settings(Idempotency::Idempotent), members(3));
    let mut open = Vec::new();
    for _ in 0..3 {
        let (request, actions) = node.arrive(SECOND);
        open.push((request, first_sent_to(&actions)));
    }
    node.advance(200 * MS);
    for (request, to) in open {
        assert!(to.is_some());
        node.end_attempt_after(request, 0, Outcome::Served, 200 * MS, utilisation(0.1));
    }
    assert!(first_sent_to(&node.arrive(SECOND).1).is_some(), "idle backends take the next request");
}

/// A request that was never sent must be rejected while its client has half of its time left for another
/// attempt.
#[test]
fn request_never_sent_is_rejected_by_half_of_its_timeout() {
    let mut node = Node::new(settings(Idempotency::NonIdempotent), Vec::new());
    for timeout in [100 * MS, 300 * MS, SECOND] {
        let arrived_at = node.now;
        let (_, mut actions) = node.arrive(timeout);
        while !is_rejected(&actions) {
            assert!(node.now < arrived_at + timeout / 2, "not rejected by half of a timeout of {timeout} ns");
            actions = node.advance(10 * MS);
        }
    }
}

/// The timeouts of most clients were shorter than the latency of a request, and they ejected healthy
/// backends.
#[test]
fn timeouts_of_impatient_clients_eject_no_backend() {
    let node_settings = Settings { clients_mark_retries: true, ..settings(Idempotency::Idempotent) };
    let mut node = Node::new(node_settings, members(3));
    node.serve(200, |_| utilisation(0.3));
    let mut sent = 0;
    for _ in 0..60 {
        let (request, actions) = node.arrive(20 * MS);
        sent += usize::from(first_sent_to(&actions).is_some());
        node.advance(20 * MS);
        let actions = node.end_attempt_after(request, 0, Outcome::TimedOut, 20 * MS, LoadReport::default());
        assert!(!logs_ejection(&actions));
    }
    assert!(sent > 50, "{sent} of 60 requests were sent, with capacity on every backend");
}

/// If reports show spare capacity, a request that may be late takes nothing from other requests. Half of such
/// requests were queued in vain.
#[test]
fn short_request_is_sent_where_reports_show_spare_capacity() {
    let large = Member { weight: 2.0, ..member(1, 0) };
    for (reported, is_sent) in [(0.6, true), (0.9, false)] {
        let node_settings = Settings { clients_mark_retries: true, ..settings(Idempotency::Idempotent) };
        let mut node = Node::new(node_settings, vec![large]);
        node.serve(100, |_| utilisation(reported));
        assert!(first_sent_to(&node.arrive(SECOND).1).is_some());
        assert_eq!(
            first_sent_to(&node.arrive(20 * MS).1).is_some(),
            is_sent,
            "reported utilisation {reported}"
        );
    }
}

/// With one in eight connections reset, three consecutive resets happened by chance, and most backends of a
/// zone were ejected.
#[test]
fn sporadic_connection_resets_eject_no_backend() {
    let mut node = Node::new(settings(Idempotency::Idempotent), members(2));
    node.serve(100, |_| utilisation(0.3));
    let open: Vec<(RequestId, Option<BackendId>)> = (0..6)
        .map(|_| node.arrive(SECOND))
        .map(|(request, actions)| (request, first_sent_to(&actions)))
        .collect();
    let to_first: Vec<_> = open.iter().filter(|(_, to)| *to == Some(BackendId(0))).collect();
    assert!(to_first.len() >= 3, "too few attempts at backend 0: {open:?}");
    for (request, _) in to_first {
        let actions = node.end_attempt_after(*request, 0, Outcome::Reset, 10 * MS, LoadReport::default());
        assert!(!logs_ejection(&actions));
        node.now += 2 * SECOND;
    }
}

/// With one in eight connections reset, a node ran out of retry tokens: a tenth of a token per arrival is
/// less than the resets need.
#[test]
fn one_reset_in_six_attempts_leaves_retry_tokens_for_all() {
    let mut node = Node::new(settings(Idempotency::Idempotent), members(3));
    node.serve(100, |_| utilisation(0.3));
    for turn in 0..400 {
        let (request, actions) = node.arrive(SECOND);
        assert!(first_sent_to(&actions).is_some());
        if turn % 6 == 0 {
            let actions = node.end_attempt_after(request, 0, Outcome::Reset, 10 * MS, LoadReport::default());
            assert!(first_sent_to(&actions).is_some(), "turn {turn}");
            node.end_attempt(request, 1, Outcome::Served, utilisation(0.3));
        } else {
            node.end_attempt(request, 0, Outcome::Served, utilisation(0.3));
        }
        node.now += 50 * MS;
    }
}

/// Incident sev5594: most of a response's latency is spent waiting for other systems. The expected latency
/// depended on the load alone, so every lightly loaded backend looked ten times as slow, received one request
/// at a time, and thus continued to look slow.
#[test]
fn lightly_loaded_backend_does_not_look_slow() {
    let mut node = Node::new(settings(Idempotency::Idempotent), members(1));
    let mut queue = QueueingBackend::new(150 * MS, 10 * MS);
    let before = queue.run(&mut node, 20 * MS, 10 * SECOND, SECOND);
    queue.run(&mut node, 200 * MS, 10 * SECOND, SECOND);
    let after = queue.run(&mut node, 20 * MS, SECOND, SECOND);
    assert!(
        before >= 5 && after >= 5,
        "{before} requests in flight at once before the lull, {after} after it"
    );
}

/// Incident sev5594: with a wide latency target, a backend was filled until its responses just met the
/// target. A backend with several requests queued per core for a second or two becomes slower, and stays slow
/// long after.
#[test]
fn wide_latency_target_does_not_overload_a_backend() {
    let node_settings = Settings {
        classes: vec![class(4000, 8000, Idempotency::Idempotent)],
        ..settings(Idempotency::Idempotent)
    };
    let mut node = Node::new(node_settings, members(1));
    let mut queue = QueueingBackend::new(200 * MS, 20 * MS);
    queue.run(&mut node, 25 * MS, 10 * SECOND, 8 * SECOND);
    let max_in_flight = queue.run(&mut node, 10 * MS, 10 * SECOND, 8 * SECOND);
    assert!((4..=30).contains(&max_in_flight), "{max_in_flight} requests in flight at once");
}

/// Requests were queued for most of their latency target, although no backend could be sent them any more.
#[test]
fn pending_request_is_rejected_once_no_backend_can_serve_it_in_time() {
    let mut node = Node::new(settings(Idempotency::Idempotent), members(1));
    QueueingBackend::new(120 * MS, 40 * MS).run(&mut node, 150 * MS, 10 * SECOND, SECOND);
    while first_sent_to(&node.arrive(SECOND).1).is_some() {}
    let arrived_at = node.now;
    let (_, mut actions) = node.arrive(SECOND);
    while !is_rejected(&actions) {
        actions = node.advance(10 * MS);
    }
    // The latency target is 400 ms. A response takes at least 120 ms, which may be up to six tenths of the
    // time left.
    let rejected_after_ms = (node.now - arrived_at) / MS;
    assert!((150..=250).contains(&rejected_after_ms), "rejected after {rejected_after_ms} ms");
}

/// A tenant that sent several times its quota was served like tenants within their quotas: with few nodes,
/// the quotas had no effect.
#[test]
fn tenant_over_its_quota_leaves_capacity_for_others() {
    let node_settings = Settings {
        tenant_quotas: vec![20.0, 40.0],
        over_quota_value: 0.2,
        ..settings(Idempotency::Idempotent)
    };
    let mut node = Node::new(node_settings, members(1));
    let mut queue = QueueingBackend::new(80 * MS, 20 * MS);
    let tenant = |request: u64| u32::from(request.is_multiple_of(6));
    queue.run_with(&mut node, 10 * MS, 20 * SECOND, |node| {
        let tenant = tenant(node.next_request);
        node.arrive_from_tenant(tenant, SECOND).1
    });
    let received =
        |by_tenant| queue.received.iter().filter(|request| tenant(request.0) == by_tenant).count() as f64;
    let shares = [
        received(0) / (node.next_request as f64 * 5.0 / 6.0),
        received(1) / (node.next_request as f64 / 6.0),
    ];
    assert!(shares[1] > 1.5 * shares[0], "share of requests sent by tenant: {shares:?}");
}

/// A node rejected two in five requests at once for nine seconds: the timeouts of its clients had become
/// shorter, and all their requests were taken for late retries.
#[test]
fn shorter_timeouts_of_all_clients_are_not_taken_for_retries() {
    let mut node = Node::new(settings(Idempotency::Idempotent), members(2));
    let mut run = |timeout| {
        let mut sent = 0;
        for _ in 0..200 {
            let (request, actions) = node.arrive(timeout);
            sent += usize::from(first_sent_to(&actions).is_some());
            node.advance(40 * MS);
            node.end_attempt(request, 0, Outcome::Served, utilisation(0.3));
        }
        sent
    };
    assert_eq!(run(SECOND), 200);
    let sent_with_short_timeout = run(500 * MS);
    assert!(
        sent_with_short_timeout > 150,
        "{sent_with_short_timeout} of 200 requests with the shorter timeout were sent"
    );
}
