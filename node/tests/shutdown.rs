//! SIGTERM while requests are in progress: accepted requests get their responses, and partly received ones are read to their end.

mod common;

use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{NodeProcess, backend_serving, config, discovery_target, get, post, spawn};
use ivyhatch_socket_lab::scripted::{Backend, BackendReply, Client, Discovery, Gate, ok, wait_until};
use serde_json::json;

/// A client whose connection is idle after one served request.
fn idle_client(node: &NodeProcess, id: &str) -> Client {
    let mut client = Client::connect(node.address);
    assert_eq!(client.round_trip(&get(id, "")).expect("an answer").status(), 200);
    client
}

fn start_shutdown(node: &NodeProcess) {
    node.signal("-TERM");
    wait_until("the shutdown has started", || node.has_logged("shutting down"));
}

/// Returns once the node accepts no more connections.
fn wait_until_listener_closes(node: &NodeProcess) {
    wait_until("the listener is gone", || TcpStream::connect(node.address).is_err());
}

/// A request has arrived in part when idle connections are closed. The node used to close its connection as well, so that the
/// client could not know whether the request had been read.
#[test]
fn partly_received_request_is_read_to_its_end_and_answered() {
    let text = post("pay", "half", "", "stakes");
    let ends = [1, 40, text.len() - 8, text.len() - 1];
    for (n, end) in ends.into_iter().enumerate() {
        let backend = backend_serving("paid");
        let (mut node, _discovery) = NodeProcess::with_backends(&[&backend]);
        let (mut bystander, mut client) = (idle_client(&node, "i0"), idle_client(&node, "i1"));
        let (part, rest) = text.split_at(end);
        client.write(part);
        // Ensures that the node has read the part before the signal: the other connection's request was sent after the part.
        assert_eq!(bystander.round_trip(&get("i2", "")).expect("an answer").status(), 200);
        start_shutdown(&node);
        assert!(bystander.read().is_none(), "idle connections are closed");
        let answer = client.round_trip(rest).unwrap_or_else(|| panic!("case {n}: no answer"));
        assert_eq!((answer.status(), answer.body.as_slice()), (200, b"paid".as_slice()), "case {n}");
        assert!(client.read().is_none(), "the connection is closed with its response");
        assert_eq!(node.child.wait().unwrap().code(), Some(0));
    }
}

/// The servers hang and deadlines are short: the deadline of the last request passes after the node has stopped accepting
/// connections, and the request must get its response then.
#[test]
fn last_request_has_its_full_deadline_where_servers_hang_and_deadlines_are_short() {
    for (class, wanted) in [("read", 503), ("pay", 502)] {
        let backend = Backend::new(|message| match message.value("x-call-id") {
            Some("last") => BackendReply::Never,
            _ => BackendReply::Write(ok("yes")),
        });
        let discovery = Discovery::new(json!([discovery_target("s-0", backend.address, "Ready")]));
        let mut config = config(discovery.address, json!([]));
        for n in 0..3 {
            config["settings"]["classes"][n]["deadline-ns"] = json!(400_000_000u64);
            config["settings"]["classes"][n]["on-time-ns"] = json!(300_000_000u64);
        }
        let mut node = NodeProcess::start(&config);
        discovery.wait_for_watch_from(1);
        let text = if class == "read" { get("last", "") } else { post("pay", "last", "", "stakes") };
        let (part, rest) = text.split_at(60);
        let (mut bystander, mut client) = (idle_client(&node, "i0"), idle_client(&node, "i1"));
        client.write(part);
        assert_eq!(bystander.round_trip(&get("i2", "")).expect("an answer").status(), 200);
        start_shutdown(&node);
        wait_until_listener_closes(&node);
        // Well after the start of the node's wait for its last requests, and well within the time for a request to arrive.
        std::thread::sleep(Duration::from_millis(200));
        let sent_at = Instant::now();
        let answer = client.round_trip(rest).unwrap_or_else(|| panic!("{class}: no answer"));
        assert_eq!(answer.status(), wanted);
        // A non-idempotent request that may have run can't fail before its deadline.
        assert!(class == "read" || sent_at.elapsed() > Duration::from_millis(300), "{:?}", sent_at.elapsed());
        assert_eq!(node.child.wait().unwrap().code(), Some(0));
    }
}

/// Neither further SIGTERMs and SIGINTs nor a new configuration may end the node sooner or lose a request.
#[test]
fn further_signals_during_the_shutdown_lose_no_request() {
    let gate = Arc::new(Gate::default());
    let reply_gate = gate.clone();
    let backend = Backend::new(move |message| match message.value("x-call-id") {
        Some("slow") => BackendReply::WriteAtGate(reply_gate.clone(), ok("slow")),
        _ => BackendReply::Write(ok("yes")),
    });
    let (mut node, discovery) = NodeProcess::with_backends(&[&backend]);
    let mut slow = Client::connect(node.address);
    slow.write(&post("pay", "slow", "", ""));
    assert_eq!(backend.next_request().value("x-call-id"), Some("slow"));
    start_shutdown(&node);
    node.signal("-TERM");
    node.reconfigure(&config(discovery.address, json!([])).to_string());
    node.signal("-INT");
    wait_until_listener_closes(&node);
    node.signal("-TERM");
    gate.open();
    let answer = slow.read().expect("a response to the slow request");
    assert_eq!((answer.status(), answer.body.as_slice()), (200, b"slow".as_slice()));
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

/// SIGTERM right after the start of the process, before or after its handlers are installed: the process must end, not hang.
#[test]
fn sigterm_before_the_node_is_ready_ends_the_process() {
    for _ in 0..20 {
        let (mut child, _) = spawn(&config("127.0.0.1:9".parse().unwrap(), json!([])).to_string());
        let pid = child.id().to_string();
        assert!(std::process::Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
        let mut status = None;
        wait_until("the process ends", || {
            status = child.try_wait().unwrap();
            status.is_some()
        });
        let status = status.expect("the process has ended");
        // With its handler installed the process exits with 0; before that the signal ends it.
        let ended = status.code().or(std::os::unix::process::ExitStatusExt::signal(&status));
        assert!([Some(0), Some(15)].contains(&ended), "{status:?}");
    }
}

/// A node that shuts down must still follow drains in discovery's list.
#[test]
fn backend_list_is_followed_during_the_shutdown() {
    let (old, new) = (backend_serving("old"), backend_serving("new"));
    let (mut node, discovery) = NodeProcess::with_backends(&[&old]);
    let mut kept = idle_client(&node, "k0");
    start_shutdown(&node);
    discovery.set(json!([
        discovery_target("s-0", old.address, "Terminating"),
        discovery_target("s-1", new.address, "Ready")
    ]));
    discovery.wait_for_watch_from(discovery.revision());
    assert_eq!(kept.round_trip(&get("k1", "")).expect("an answer").body, b"new");
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

/// A peer that connects and sends nothing must not delay a shutdown: clients send a request at once after the connect.
#[test]
fn silent_peer_does_not_delay_the_shutdown() {
    let backend = backend_serving("yes");
    let (mut node, _discovery) = NodeProcess::with_backends(&[&backend]);
    start_shutdown(&node);
    let mut silent = Client::connect(node.address);
    // Connections are accepted in order, so the silent one has been accepted once this request is served.
    assert_eq!(node.round_trip(&get("s0", "")).status(), 200);
    wait_until_listener_closes(&node);
    let from = Instant::now();
    assert!(silent.is_closed());
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
    assert!(
        from.elapsed() < Duration::from_millis(1500),
        "{:?}: a silent peer may take 2.5 s",
        from.elapsed()
    );
}
