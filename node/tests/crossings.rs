//! Two things at one instant: a notice while a connect is on its way, a connect that comes up after its attempt was given up, an older list
//! behind a notice, an end while an answer is being taken in.

mod common;

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use common::*;
use serde_json::{Value, json};

/// A node before this list, with so much time for a connect and so much grace for drains.
fn before(targets: Value, connect_ms: u64, grace_ms: u64) -> (Node, Discovery) {
    let discovery = Discovery::new(targets);
    let mut config = config(discovery.address, json!([]));
    config["settings"]["policy-limits"]["connect-timeout-ns"] = json!(connect_ms * 1_000_000);
    config["settings"]["rules"]["drain-grace-ns"] = json!(grace_ms * 1_000_000);
    let node = Node::start(&config);
    discovery.wait_for_watch_from(1);
    (node, discovery)
}

/// Opens the jam, waits until a connection of the node's is up there and a while longer, and tells what came.
fn comes_to(jam: FullBacklogListener) -> Vec<String> {
    let filling = jam.filling();
    let backend = jam.open(|_| BackendReply::Write(ok("late")));
    wait_until("a connection is up", || backend.connections.load(Ordering::SeqCst) as usize > filling);
    thread::sleep(Duration::from_millis(300));
    backend.requests.try_iter().filter_map(|message| message.value("x-call-id").map(str::to_owned)).collect()
}

/// Chosen before the notice, and its connection up long after the grace: nothing is written there, and it is served elsewhere.
#[test]
fn a_request_in_a_connect_obeys_a_drain_told_meanwhile() {
    for state in ["Terminating", "Gone"] {
        let jam = FullBacklogListener::new();
        let (node, discovery) = before(json!([target("s-0", jam.address(), "Ready")]), 8000, 100);
        let mut client = Client::connect(node.at);
        client.write(&post("pay", "chosen", "", ""));
        wait_until("the connect is on its way", || node.sockets_to(jam.address()) > 0);
        let other = serving("other");
        discovery.set(json!([target("s-0", jam.address(), state), target("s-1", other.address, "Ready")]));
        discovery.wait_for_watch_from(discovery.revision());
        assert!(comes_to(jam).is_empty(), "{state}: written past the grace");
        let answer = client.read().expect("an answer");
        // Unsent it may go elsewhere, or be refused; it has not failed.
        assert!([200, 503].contains(&answer.status()), "{state}: {answer:?}");
    }
}

/// The limit for connects ends the attempt, which never ran, and the request goes elsewhere. What comes up later carries nothing.
#[test]
fn a_connection_that_comes_up_after_its_attempt_was_given_up_carries_nothing() {
    let (jam, other) = (FullBacklogListener::new(), serving("other"));
    let list = json!([target("s-0", jam.address(), "Ready"), target("s-1", other.address, "Ready")]);
    let (node, _discovery) = before(list, 200, 500);
    let mut through_the_jam = 0;
    for n in 0..6 {
        let mut client = Client::connect(node.at);
        client.write(&post("pay", &format!("c{n}"), "", ""));
        assert_eq!(client.read().expect("an answer").status(), 200, "request {n}");
        through_the_jam += node.sockets_to(jam.address());
    }
    // Given up, they are closed: none is left on its way.
    assert_eq!(through_the_jam, 0);
    assert_eq!(other.drain_requests(), 6);
    let filling = jam.filling();
    let backend = jam.open(|_| BackendReply::Write(ok("late")));
    assert_eq!(node.ask(&post("pay", "next", "", "")).status(), 200);
    let ids: Vec<_> =
        backend.requests.try_iter().filter_map(|m| m.value("x-call-id").map(str::to_owned)).collect();
    assert!(ids.iter().all(|id| id == "next"), "{ids:?} of {filling} fillers");
}

/// A change says that a server drains or has gone; a whole list from a replica that lags says otherwise.
#[test]
fn an_older_whole_list_behind_a_notice_brings_nobody_back() {
    for state in ["Terminating", "Gone"] {
        let (old, other) = (serving("old"), serving("other"));
        let (ready, there) = (target("s-0", old.address, "Ready"), target("s-1", other.address, "Ready"));
        let (node, discovery) = before(json!([ready, there]), 1000, 500);
        let notice = json!({"rev": 2, "all": false, "targets": [target("s-0", old.address, state)]});
        discovery.set_text(2, notice.to_string());
        discovery.wait_for_watch_from(2);
        let older = json!({"rev": 3, "all": true, "targets": [ready, there]});
        discovery.set_text(3, older.to_string());
        discovery.wait_for_watch_from(3);
        for n in 0..12 {
            assert_eq!(node.ask(&get(&format!("o{n}"), "")).body, b"other", "{state}");
        }
        assert_eq!(old.drain_requests(), 0, "{state}");
    }
}

/// The client takes its answer in only after the node has stopped taking connections: it is whole.
#[test]
fn an_answer_that_is_taken_in_late_is_whole_when_the_node_has_ended() {
    let body: &'static str = Box::leak("x".repeat(60 * 1024).into_boxed_str());
    let backend = serving(body);
    let (mut node, _discovery) = before(json!([target("s-0", backend.address, "Ready")]), 1000, 500);
    let mut client = Client::connect(node.at);
    client.write(&get("w1", ""));
    backend.next_request();
    node.signal("-TERM");
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
    let answer = client.read().expect("an answer");
    assert_eq!((answer.status(), answer.body.len()), (200, body.len()));
}
