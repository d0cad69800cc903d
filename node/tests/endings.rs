//! SIGTERM at awkward instants: what has been taken is answered, and what has half come is read to its end.

mod common;

use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::*;
use serde_json::json;

/// A client whose connection stands idle.
fn idle(node: &Node, id: &str) -> Client {
    let mut client = Client::connect(node.at);
    assert_eq!(client.round_trip(&get(id, "")).expect("an answer").status(), 200);
    client
}

fn told_to_end(node: &Node) {
    node.signal("-TERM");
    wait_until("the node has heard", || node.logged("shutting down"));
}

/// Returns once the node takes no more connections.
fn takes_no_more(node: &Node) {
    wait_until("the listener is gone", || TcpStream::connect(node.at).is_err());
}

/// A part of the request is there when idle connections are closed. The node closed that one too, and the client could not know
/// whether its request had been read.
#[test]
fn a_request_of_which_a_part_has_come_is_read_to_its_end() {
    let text = post("pay", "half", "", "stakes");
    let ends = [1, 40, text.len() - 8, text.len() - 1];
    for (n, end) in ends.into_iter().enumerate() {
        let backend = serving("paid");
        let (mut node, _discovery) = Node::with(&[&backend]);
        let (mut bystander, mut client) = (idle(&node, "i0"), idle(&node, "i1"));
        let (part, rest) = text.split_at(end);
        client.write(part);
        // The node reads what had come before it hears of the signal: an answer on the other connection is younger.
        assert_eq!(bystander.round_trip(&get("i2", "")).expect("an answer").status(), 200);
        told_to_end(&node);
        assert!(bystander.read().is_none(), "idle connections are closed");
        let answer = client.round_trip(rest).unwrap_or_else(|| panic!("case {n}: no answer"));
        assert_eq!((answer.status(), answer.body.as_slice()), (200, b"paid".as_slice()), "case {n}");
        assert!(client.read().is_none(), "the connection ends with its answer");
        assert_eq!(node.child.wait().unwrap().code(), Some(0));
    }
}

/// The servers hang just then and deadlines are short: the last request's own time runs out after the node has stopped taking
/// connections, and it is answered then.
#[test]
fn the_last_request_has_its_whole_time_where_servers_hang_and_deadlines_are_short() {
    for (class, wanted) in [("read", 503), ("pay", 502)] {
        let backend = Backend::new(|message| match message.value("x-call-id") {
            Some("last") => BackendReply::Never,
            _ => BackendReply::Write(ok("yes")),
        });
        let discovery = Discovery::new(json!([target("s-0", backend.address, "Ready")]));
        let mut config = config(discovery.address, json!([]));
        for n in 0..3 {
            config["settings"]["classes"][n]["deadline-ns"] = json!(400_000_000u64);
            config["settings"]["classes"][n]["on-time-ns"] = json!(300_000_000u64);
        }
        let mut node = Node::start(&config);
        discovery.wait_for_watch_from(1);
        let text = if class == "read" { get("last", "") } else { post("pay", "last", "", "stakes") };
        let (part, rest) = text.split_at(60);
        let (mut bystander, mut client) = (idle(&node, "i0"), idle(&node, "i1"));
        client.write(part);
        assert_eq!(bystander.round_trip(&get("i2", "")).expect("an answer").status(), 200);
        told_to_end(&node);
        takes_no_more(&node);
        // Well after the node has begun to wait for its last requests, and well within the time that a request may take to come.
        std::thread::sleep(Duration::from_millis(200));
        let asked = Instant::now();
        let answer = client.round_trip(rest).unwrap_or_else(|| panic!("{class}: no answer"));
        assert_eq!(answer.status(), wanted);
        // It can't be sooner for the class that may run once: it may have run.
        assert!(class == "read" || asked.elapsed() > Duration::from_millis(300), "{:?}", asked.elapsed());
        assert_eq!(node.child.wait().unwrap().code(), Some(0));
    }
}

/// Other signals meanwhile change nothing: neither another SIGTERM nor a new configuration ends the node sooner or loses it a request.
#[test]
fn further_signals_do_not_cut_the_end_short() {
    let gate = Arc::new(Gate::default());
    let waits = gate.clone();
    let backend = Backend::new(move |message| match message.value("x-call-id") {
        Some("slow") => BackendReply::WriteAtGate(waits.clone(), ok("slow")),
        _ => BackendReply::Write(ok("yes")),
    });
    let (mut node, discovery) = Node::with(&[&backend]);
    let mut slow = Client::connect(node.at);
    slow.write(&post("pay", "slow", "", ""));
    assert_eq!(backend.next_request().value("x-call-id"), Some("slow"));
    told_to_end(&node);
    node.signal("-TERM");
    node.reconfigure(&config(discovery.address, json!([])).to_string());
    node.signal("-INT");
    takes_no_more(&node);
    node.signal("-TERM");
    gate.open();
    let answer = slow.read().expect("the slow one is answered");
    assert_eq!((answer.status(), answer.body.as_slice()), (200, b"slow".as_slice()));
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

/// SIGTERM in the process's first moment, before or after it heeds signals: it ends, and hangs in nothing that it has begun.
#[test]
fn a_signal_before_the_node_is_ready_ends_it() {
    for _ in 0..20 {
        let (mut child, _) = spawn(&config("127.0.0.1:9".parse().unwrap(), json!([])).to_string());
        let pid = child.id().to_string();
        assert!(std::process::Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
        let mut status = None;
        wait_until("it ends", || {
            status = child.try_wait().unwrap();
            status.is_some()
        });
        let status = status.expect("it has ended");
        // Heeded it ends well; before that the system ends it.
        let ended = status.code().or(std::os::unix::process::ExitStatusExt::signal(&status));
        assert!([Some(0), Some(15)].contains(&ended), "{status:?}");
    }
}

/// A node that ends goes on obeying drains.
#[test]
fn the_list_is_followed_while_the_node_ends() {
    let (old, new) = (serving("old"), serving("new"));
    let (mut node, discovery) = Node::with(&[&old]);
    let mut kept = idle(&node, "k0");
    told_to_end(&node);
    discovery.set(json!([target("s-0", old.address, "Terminating"), target("s-1", new.address, "Ready")]));
    discovery.wait_for_watch_from(discovery.revision());
    assert_eq!(kept.round_trip(&get("k1", "")).expect("an answer").body, b"new");
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

/// A peer that connects and says nothing does not keep a node that ends: requests come right behind their connects.
#[test]
fn a_silent_peer_does_not_keep_a_node_that_ends() {
    let backend = serving("yes");
    let (mut node, _discovery) = Node::with(&[&backend]);
    told_to_end(&node);
    let mut silent = Client::connect(node.at);
    // Taken in the same order, so that the silent one is known by then.
    assert_eq!(node.ask(&get("s0", "")).status(), 200);
    takes_no_more(&node);
    let from = Instant::now();
    assert!(silent.is_closed());
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
    assert!(
        from.elapsed() < Duration::from_millis(1500),
        "{:?}: a silent peer may take 2.5 s",
        from.elapsed()
    );
}
