use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use ivyhatch_balancer::{BackendId, BackendState, ListScope, Nanos, Outcome};

use super::attempts::{AttemptResult, AttemptStart};
use super::backend_directory::{BackendRecord, MAX_RETAINED_NUMBERS};
use super::clock::Clock;
use super::dispatch::{Outputs, Timer};
use super::health_checks::ProbeStart;
use super::ids::MAX_RETAINED_REQUEST_IDS;
use super::node::{Node, PendingReply, Transport};
use super::requests::{ClientRequest, ForwardedRequest, Reply};

const SECOND: Nanos = 1_000_000_000;
const WINDOW: Nanos = 60 * SECOND;

/// Records the attempts, probes and closes that the driver asks for, and carries none of them out.
#[derive(Default)]
struct RecordingTransport {
    attempts: RefCell<Vec<AttemptStart>>,
    closed_connections: RefCell<Vec<BackendId>>,
    probes: RefCell<Vec<ProbeStart>>,
}

impl Transport for RecordingTransport {
    fn start_attempt(&self, _: &Node, attempt: AttemptStart) {
        self.attempts.borrow_mut().push(attempt);
    }

    fn close_idle_connections(&self, backend: BackendId) {
        self.closed_connections.borrow_mut().push(backend);
    }

    fn start_probe(&self, _: &Node, probe: ProbeStart) {
        self.probes.borrow_mut().push(probe);
    }
}

fn node(drain_grace: Nanos) -> (Node, Rc<RecordingTransport>) {
    let config = serde_json::json!({"az": "a", "zones": ["a"], "discovery": "pushed",
        "classes": [{"name": "pay", "effect": "once", "on-time-ns": 2_000_000_000u64,
            "deadline-ns": 4_000_000_000u64},
            {"name": "sale", "effect": "by_key", "key-scope": "all", "window-ns": WINDOW, "on-time-ns": 2_000_000_000u64,
            "deadline-ns": 4_000_000_000u64}],
        "policy-limits": {"attempts-cap": 3}, "goal": {},
        "rules": {"answer-slack-ns": 20_000_000, "drain-grace-ns": drain_grace, "fall-ns": 1_500_000_000u64,
            "start-capacity": 0.1, "tip-multiple": 2.5, "warm-after-ns": 20_000_000_000u64}});
    let node_settings = ivyhatch_node_settings::parse(&config).expect("settings");
    let transport = Rc::new(RecordingTransport::default());
    let node = Node::new(node_settings.balancer, node_settings.names, 7, Clock::start(), transport.clone())
        .expect("a node");
    (node, transport)
}

fn record(uid: &str, state: BackendState) -> BackendRecord {
    BackendRecord {
        uid: uid.to_owned(),
        endpoint: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: "a".to_owned(),
        machine_kind: "k".to_owned(),
        cell: 0,
        state,
        weight: 1.0,
        boot_ms: 0,
    }
}

fn request(budget: Nanos) -> ClientRequest {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let id = NEXT.fetch_add(1, Ordering::Relaxed).to_string().into();
    let forwarded = ForwardedRequest {
        method: Method::POST,
        target: Uri::from_static("/api"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    ClientRequest { id, class: 0, tenant: None, expected_work: None, is_retry: false, budget, forwarded }
}

fn reply(pending: PendingReply) -> Option<Reply> {
    let mut reply = pin!(pending.reply());
    match reply.as_mut().poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(reply) => Some(reply),
        Poll::Pending => None,
    }
}

/// A connect can take longer than the window in which backends recognise an idempotency key. A retry written after the window
/// would run a second time.
#[test]
fn repeat_is_not_written_once_the_idempotency_window_is_over() {
    for (outcome, known) in [(Outcome::Error, false), (Outcome::Reset, false), (Outcome::Rejected, true)] {
        let (node, transport) = node(SECOND);
        node.apply_list(
            ListScope::Full,
            vec![record("s", BackendState::InService), record("t", BackendState::InService)],
        );
        let _pending = node.submit(ClientRequest { class: 1, ..request(2 * SECOND) }).expect("a new id");
        let first = transport.attempts.borrow_mut().pop().expect("an attempt");
        assert!(node.may_write(first.key));
        node.attempt_ended(first.key, AttemptResult::without_response(outcome));
        let again = transport.attempts.borrow_mut().pop().expect("another attempt");
        assert!(node.may_write(again.key), "{outcome:?}: within the window");
        // Simulates a connect that has taken the whole window.
        let mut driver = node.driver.borrow_mut();
        let open = driver.requests.get_mut(again.key.request).expect("it is open");
        open.first_run_at = open.first_run_at.map(|first_run_at| first_run_at - WINDOW);
        drop(driver);
        assert_eq!(node.may_write(again.key), known, "{outcome:?}: past the window");
    }
}

fn open_requests(node: &Node) -> (usize, usize) {
    let driver = node.driver.borrow();
    (driver.requests.len(), driver.balancer.open_requests())
}

#[test]
fn request_and_its_timer_are_removed_with_its_reply() {
    let (node, transport) = node(SECOND);
    node.apply_list(ListScope::Full, vec![record("s", BackendState::InService)]);
    let pending = node.submit(request(SECOND)).expect("a new id");
    let attempt = transport.attempts.borrow_mut().pop().expect("an attempt");
    assert!(node.may_write(attempt.key));
    let result = AttemptResult {
        body: Bytes::from_static(b"paid"),
        ..AttemptResult::without_response(Outcome::Served)
    };
    node.attempt_ended(attempt.key, result);
    assert!(matches!(reply(pending), Some(Reply::Served(body)) if body == "paid"));
    // A second end of the same attempt changes nothing.
    node.attempt_ended(attempt.key, AttemptResult::without_response(Outcome::Reset));
    assert_eq!(open_requests(&node), (0, 0));
    let is_backstop = |timer| matches!(timer, Timer::ReplyBackstop(_));
    assert!(!node.driver.borrow().timers.iter().any(is_backstop));
}

/// A connect can take longer than its request is open. An attempt must not be written after the client has disconnected.
#[test]
fn nothing_is_written_for_a_request_whose_client_has_disconnected() {
    let (node, transport) = node(SECOND);
    node.apply_list(ListScope::Full, vec![record("s", BackendState::InService)]);
    let pending = node.submit(request(SECOND)).expect("a new id");
    let attempt = transport.attempts.borrow_mut().pop().expect("an attempt");
    drop(pending);
    assert!(!node.may_write(attempt.key));
    assert_eq!(open_requests(&node), (1, 1), "the attempt has no result yet");
    node.attempt_ended(attempt.key, AttemptResult::without_response(Outcome::NotSent));
    assert_eq!(open_requests(&node), (0, 0));
}

/// A connect can take longer than the drain grace of its backend, and the backend can be removed from the list meanwhile.
#[test]
fn nothing_is_written_to_a_draining_backend_past_its_grace() {
    for (grace, state, may_write) in [
        (60 * SECOND, BackendState::Draining, true),
        (0, BackendState::Draining, false),
        (60 * SECOND, BackendState::Removed, false),
    ] {
        let (node, transport) = node(grace);
        node.apply_list(ListScope::Full, vec![record("s", BackendState::InService)]);
        let _pending = node.submit(request(SECOND)).expect("a new id");
        let attempt = transport.attempts.borrow_mut().pop().expect("an attempt");
        node.apply_list(ListScope::Changes, vec![record("s", state)]);
        assert_eq!(node.may_write(attempt.key), may_write, "{grace} {state:?}");
        assert_eq!(
            *transport.closed_connections.borrow(),
            [attempt.backend; 2][..transport.closed_connections.borrow().len()]
        );
        assert!(!transport.closed_connections.borrow().is_empty(), "its idle connections are closed");
    }
}

/// A full list can be older than the drain or removal notice that arrived before it. After such a list an attempt that had been
/// started before the notice and was still connecting was written at any later time; and a removed backend got a new number, for
/// which there was no notice, so that requests were sent to it.
#[test]
fn older_full_list_does_not_revoke_a_removal_notice() {
    for state in [BackendState::Draining, BackendState::Removed] {
        let (node, transport) = node(0);
        node.apply_list(ListScope::Full, vec![record("s", BackendState::InService)]);
        let _pending = node.submit(request(SECOND)).expect("a new id");
        let attempt = transport.attempts.borrow_mut().pop().expect("an attempt");
        assert!(node.may_write(attempt.key), "{state:?}: there is no notice yet");
        node.apply_list(ListScope::Changes, vec![record("s", state)]);
        node.apply_list(ListScope::Full, vec![record("s", BackendState::InService)]);
        assert!(!node.may_write(attempt.key), "{state:?}: the notice still applies");
        assert!(
            !node.serves_at(attempt.backend, attempt.endpoint),
            "{state:?}: its connections are not kept"
        );
        let _other = node.submit(request(SECOND)).expect("a new id");
        assert!(transport.attempts.borrow().is_empty(), "{state:?}: no new attempt");
        // A later start revokes the notice.
        let boot_ms = node.clock().now() / 1_000_000 - 60_000;
        node.apply_list(
            ListScope::Full,
            vec![BackendRecord { boot_ms, ..record("s", BackendState::InService) }],
        );
        let _third = node.submit(request(SECOND)).expect("a new id");
        let attempt = transport.attempts.borrow_mut().pop().expect("an attempt at the new incarnation");
        assert!(node.may_write(attempt.key), "{state:?}");
    }
}

/// The attempt never ends, so the balancer gets no event for the request: the driver fails the request at its deadline.
#[test]
fn request_without_a_reply_from_the_balancer_fails_at_its_deadline() {
    let (node, transport) = node(SECOND);
    node.apply_list(ListScope::Full, vec![record("s", BackendState::InService)]);
    let pending = node.submit(request(1_000_000)).expect("a new id");
    let attempt = transport.attempts.borrow_mut().pop().expect("an attempt");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
    let answer = runtime.block_on(async {
        tokio::select! {
            reply = pending.reply() => reply,
            () = node.run_timers() => unreachable!("timers run for ever"),
        }
    });
    assert!(matches!(answer, Reply::Failed));
    assert!(!node.may_write(attempt.key));
}

/// A restarted backend is in slow start again, measured by the node's clock, and connections to its previous incarnation are
/// unusable.
#[test]
fn restart_under_the_same_name_is_reported_and_drops_connections() {
    let (node, transport) = node(SECOND);
    let boot_ms = node.clock().now() / 1_000_000 - 5;
    let mut outputs = Outputs::default();
    let mut driver = node.driver.borrow_mut();
    let first = driver.apply_record(record("s", BackendState::InService), 0, &mut outputs).expect("a member");
    assert_eq!((first.online_since, outputs.close_connections_to.len()), (None, 0));
    let again = BackendRecord { boot_ms, ..record("s", BackendState::InService) };
    let second = driver.apply_record(again, 0, &mut outputs).expect("a member");
    assert_eq!(second.backend, first.backend);
    assert_eq!(outputs.close_connections_to, [first.backend]);
    let age = driver.clock.now() - second.online_since.expect("a start");
    assert!((4_000_000..60 * SECOND).contains(&age), "{age}");
    assert!(transport.attempts.borrow().is_empty());
}

/// Guards against memory that grows while a node runs for days: replaced backends and ended requests must leave no state behind.
#[test]
fn churn_of_backends_and_requests_leaves_no_state_behind() {
    let (node, transport) = node(SECOND);
    for round in 0..20_000 {
        let uid = format!("s-{round}");
        node.apply_list(ListScope::Changes, vec![record(&uid, BackendState::InService)]);
        let pending = node.submit(request(SECOND)).expect("a new id");
        let attempt = transport.attempts.borrow_mut().pop();
        // Some clients disconnect, some attempts end after their backend has left the list.
        if round % 3 == 0 {
            drop(pending);
        }
        node.apply_list(ListScope::Changes, vec![record(&uid, BackendState::Removed)]);
        if let Some(attempt) = attempt {
            node.attempt_ended(attempt.key, AttemptResult::without_response(Outcome::Reset));
        }
        transport.closed_connections.borrow_mut().clear();
    }
    node.apply_list(ListScope::Full, Vec::new());
    let driver = node.driver.borrow();
    let (reserved_ids, ended_ids) = driver.requests.client_ids().reserved_and_ended();
    assert_eq!(reserved_ids, ended_ids + driver.requests.len());
    assert!(reserved_ids <= MAX_RETAINED_REQUEST_IDS + 1 + driver.requests.len(), "{reserved_ids}");
    let sizes = driver.backends.sizes();
    assert_eq!((sizes.ids, sizes.backends), (0, 0));
    let departed = (sizes.departed, sizes.departures);
    assert!(departed.0 <= MAX_RETAINED_NUMBERS && departed.1 <= MAX_RETAINED_NUMBERS, "{departed:?}");
    assert!(driver.requests.len() <= 1, "{} requests", driver.requests.len());
}
