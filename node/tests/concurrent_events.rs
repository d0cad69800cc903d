//! Concurrent events: a drain notice during a connect, a connect that completes after its attempt has ended, a stale list after a
//! notice, a shutdown while a client still reads its response.

mod common;

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use common::{NodeProcess, backend_serving, config, discovery_target, get, post};
use ivyhatch_socket_lab::scripted::{BackendReply, Client, Discovery, FullBacklogListener, ok, wait_until};
use serde_json::{Value, json};

/// A node whose discovery lists `targets`, with the connect timeout `connect_ms` and the drain grace `grace_ms`.
fn node_with_list(targets: Value, connect_ms: u64, grace_ms: u64) -> (NodeProcess, Discovery) {
    let discovery = Discovery::new(targets);
    let mut config = config(discovery.address, json!([]));
    config["settings"]["policy-limits"]["connect-timeout-ns"] = json!(connect_ms * 1_000_000);
    config["settings"]["rules"]["drain-grace-ns"] = json!(grace_ms * 1_000_000);
    let node = NodeProcess::start(&config);
    discovery.wait_for_watch_from(1);
    (node, discovery)
}

/// Accepts connections, waits until a connection of the node is established and another 300 ms for requests, and returns the ids
/// of those that arrived.
fn requests_after_accepting(listener: FullBacklogListener) -> Vec<String> {
    let filling = listener.filling();
    let backend = listener.open(|_| BackendReply::Write(ok("late")));
    wait_until("a connection is open", || backend.connections.load(Ordering::SeqCst) as usize > filling);
    thread::sleep(Duration::from_millis(300));
    backend.requests.try_iter().filter_map(|message| message.value("x-call-id").map(str::to_owned)).collect()
}

/// A backend was selected before its drain notice, and the connection to it is established long after the drain grace: the request
/// must not be written to it.
#[test]
fn request_waiting_for_a_connect_is_not_written_after_a_drain_notice() {
    for state in ["Terminating", "Gone"] {
        let listener = FullBacklogListener::new();
        let (node, discovery) =
            node_with_list(json!([discovery_target("s-0", listener.address(), "Ready")]), 8000, 100);
        let mut client = Client::connect(node.address);
        client.write(&post("pay", "chosen", "", ""));
        wait_until("the connect is in progress", || node.pending_connects_to(listener.address()) > 0);
        let other = backend_serving("other");
        discovery.set(json!([
            discovery_target("s-0", listener.address(), state),
            discovery_target("s-1", other.address, "Ready")
        ]));
        discovery.wait_for_watch_from(discovery.revision());
        assert!(requests_after_accepting(listener).is_empty(), "{state}: written past the grace");
        let answer = client.read().expect("an answer");
        // A request that was not written may be sent to another backend or be rejected; it must not fail.
        assert!([200, 503].contains(&answer.status()), "{state}: {answer:?}");
    }
}

/// The connect timeout ends an attempt, which has not run, and the request is sent to another backend. Nothing may be written to a
/// connection that is established later.
#[test]
fn connection_established_after_its_attempt_timed_out_carries_nothing() {
    let (listener, other) = (FullBacklogListener::new(), backend_serving("other"));
    let list = json!([
        discovery_target("s-0", listener.address(), "Ready"),
        discovery_target("s-1", other.address, "Ready")
    ]);
    let (node, _discovery) = node_with_list(list, 200, 500);
    let mut pending_connects = 0;
    for n in 0..6 {
        let mut client = Client::connect(node.address);
        client.write(&post("pay", &format!("c{n}"), "", ""));
        assert_eq!(client.read().expect("an answer").status(), 200, "request {n}");
        pending_connects += node.pending_connects_to(listener.address());
    }
    // Connects that have timed out are closed, so none is pending.
    assert_eq!(pending_connects, 0);
    assert_eq!(other.drain_requests(), 6);
    let filling = listener.filling();
    let backend = listener.open(|_| BackendReply::Write(ok("late")));
    assert_eq!(node.round_trip(&post("pay", "next", "", "")).status(), 200);
    let ids: Vec<_> =
        backend.requests.try_iter().filter_map(|m| m.value("x-call-id").map(str::to_owned)).collect();
    assert!(ids.iter().all(|id| id == "next"), "{ids:?} of {filling} fillers");
}

/// A list of changes has a server as draining or removed. A later full list, from a stale replica, has it in service.
#[test]
fn older_full_list_behind_a_notice_returns_no_backend_to_service() {
    for state in ["Terminating", "Gone"] {
        let (old, other) = (backend_serving("old"), backend_serving("other"));
        let (first, second) =
            (discovery_target("s-0", old.address, "Ready"), discovery_target("s-1", other.address, "Ready"));
        let (node, discovery) = node_with_list(json!([first, second]), 1000, 500);
        let notice =
            json!({"rev": 2, "all": false, "targets": [discovery_target("s-0", old.address, state)]});
        discovery.set_text(2, notice.to_string());
        discovery.wait_for_watch_from(2);
        let older = json!({"rev": 3, "all": true, "targets": [first, second]});
        discovery.set_text(3, older.to_string());
        discovery.wait_for_watch_from(3);
        for n in 0..12 {
            assert_eq!(node.round_trip(&get(&format!("o{n}"), "")).body, b"other", "{state}");
        }
        assert_eq!(old.drain_requests(), 0, "{state}");
    }
}

/// A client reads its response only after the node has exited: the response must be complete.
#[test]
fn response_that_is_read_after_the_shutdown_is_complete() {
    let body: &'static str = Box::leak("x".repeat(60 * 1024).into_boxed_str());
    let backend = backend_serving(body);
    let (mut node, _discovery) =
        node_with_list(json!([discovery_target("s-0", backend.address, "Ready")]), 1000, 500);
    let mut client = Client::connect(node.address);
    client.write(&get("w1", ""));
    backend.next_request();
    node.signal("-TERM");
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
    let answer = client.read().expect("an answer");
    assert_eq!((answer.status(), answer.body.len()), (200, body.len()));
}
