//! Hostile and broken clients: they must be rejected in time, and other clients must still be served.

mod common;

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::{NodeProcess, config, discovery_target, get, post};
use ivyhatch_socket_lab::scripted::{
    Backend, BackendReply, Client, Discovery, Gate, TEST_TIMEOUT, ok, wait_until,
};
use serde_json::json;

fn yes_backend() -> Backend {
    Backend::new(|_| BackendReply::Write(ok("yes")))
}

/// A node that admits 16 client connections, a third of the 48 that these tests open.
fn small_node(backend: &Backend) -> NodeProcess {
    let discovery = Discovery::new(json!([discovery_target("s-0", backend.address, "Ready")]));
    let mut config = config(discovery.address, json!([discovery_target("s-0", backend.address, "Ready")]));
    config["limits"]["sockets"] = json!(48);
    NodeProcess::start(&config)
}

fn silent_clients(node: &NodeProcess, count: usize) -> Vec<Client> {
    (0..count).map(|_| Client::connect(node.address)).collect()
}

#[test]
fn silent_connections_are_evicted_for_a_new_client() {
    let backend = yes_backend();
    let node = small_node(&backend);
    let mut crowd = silent_clients(&node, 48);
    assert_eq!(node.round_trip(&get("s0", "")).status(), 200);
    crowd.iter_mut().for_each(|client| assert!(client.is_closed(), "a silent connection was not closed"));
}

/// Connections of clients that have sent one request and stay idle must be evicted for other clients.
#[test]
fn idle_connections_are_evicted_for_new_clients() {
    let backend = yes_backend();
    let node = small_node(&backend);
    let mut kept = Vec::new();
    for n in 0..40 {
        let mut client = Client::connect(node.address);
        assert_eq!(client.round_trip(&get(&format!("i{n}"), "")).expect("an answer").status(), 200);
        kept.push(client);
    }
}

/// The system in front of a node may allow fewer connections than the node: idle ones must not use up all of them.
#[test]
fn connections_close_with_their_response_while_many_are_idle() {
    let backend = yes_backend();
    let node = small_node(&backend);
    let asked = Cell::new(0);
    let ask = || {
        let n = asked.replace(asked.get() + 1);
        let mut client = Client::connect(node.address);
        let answer = client.round_trip(&get(&format!("m{n}"), "")).expect("an answer");
        assert_eq!(answer.status(), 200);
        (client, answer.value("connection").is_some_and(|value| value == "close"))
    };
    let kept: Vec<(Client, bool)> = (0..8).map(|_| ask()).collect();
    assert!(kept.iter().all(|(_, closes)| !closes), "there are few idle connections");
    let (mut surplus, closes) = ask();
    assert!(closes && surplus.is_closed());
    drop(kept);
    wait_until("connections are kept open again", || !ask().1);
}

#[test]
fn connection_with_an_open_request_is_not_evicted() {
    let gate = Arc::new(Gate::default());
    let reply_gate = gate.clone();
    let backend = Backend::new(move |_| BackendReply::WriteAtGate(reply_gate.clone(), ok("late")));
    let node = small_node(&backend);
    let mut open = Client::connect(node.address);
    open.write(&get("o0", ""));
    assert_eq!(backend.next_request().value("x-call-id"), Some("o0"));
    let mut crowd = silent_clients(&node, 48);
    crowd.iter_mut().take(8).for_each(|client| assert!(client.is_closed()));
    gate.open();
    assert_eq!(open.read().expect("an answer").body, b"late");
}

/// Bytes that trickle in must not extend the time within which a request has to be complete.
#[test]
fn request_that_never_becomes_complete_times_out() {
    let backend = yes_backend();
    let (node, _discovery) = NodeProcess::with_backends(&[&backend]);
    let started = Instant::now();
    let head = "GET /api HTTP/1.1\r\nX-Drop: ".to_owned();
    let body = post("pay", "t1", "", "").replace("Content-Length: 0", "Content-Length: 60000");
    for (text, wanted) in [(head, None), (body, Some(408))] {
        let mut client = Client::connect(node.address);
        client.write(&text);
        let mut trickle = client.stream();
        thread::spawn(move || {
            while trickle.write_all(b"x").is_ok() {
                thread::sleep(Duration::from_millis(50));
            }
        });
        if let Some(status) = wanted {
            assert_eq!(client.read().expect("an answer").status(), status);
        }
        assert!(client.is_closed());
    }
    // Each of the two must get a response or a close within 3 s; the margin is for slow machines.
    assert!(started.elapsed() < Duration::from_secs(8));
    assert_eq!(backend.drain_requests(), 0);
}

/// A request with both a length and a transfer coding may smuggle another request: two peers may disagree on where it ends (RFC
/// 9112, section 11.2).
#[test]
fn transfer_codings_are_rejected_with_or_without_a_length() {
    let backend = yes_backend();
    let (node, _discovery) = NodeProcess::with_backends(&[&backend]);
    let hidden = get("hidden", "");
    let chunked = format!("{:x}\r\n{hidden}\r\n0\r\n\r\n", hidden.len());
    let (length, coding) =
        (format!("Content-Length: {}\r\n", chunked.len()), "Transfer-Encoding: chunked\r\n");
    for headers in [format!("{length}{coding}"), format!("{coding}{length}"), coding.to_owned()] {
        let text = post("pay", "c1", "", "").replace("Content-Length: 0\r\n", &headers) + &chunked;
        let mut client = Client::connect(node.address);
        assert_eq!(client.round_trip(&text).expect("an answer").status(), 411, "{headers}");
        assert!(client.is_closed(), "no request is parsed from the bytes behind the rejected one");
    }
    assert_eq!(backend.drain_requests(), 0);
}

#[test]
fn invalid_and_duplicate_lengths_are_rejected_unread() {
    let backend = yes_backend();
    let (node, _discovery) = NodeProcess::with_backends(&[&backend]);
    for (length, wanted) in [
        ("-1", 400),
        ("1\r\nContent-Length: 2", 400),
        ("0\r\ncontent-length: 0", 400),
        ("1, 2", 400),
        ("0x10", 400),
        ("65537", 413),
        ("3000000000", 413),
        ("18446744073709551616", 400),
        ("99999999999999999999999999", 400),
    ] {
        let text = post("pay", "l1", "", "").replace("Length: 0", &format!("Length: {length}"));
        let mut client = Client::connect(node.address);
        assert_eq!(client.round_trip(&text).expect("an answer").status(), wanted, "{length}");
        assert!(client.is_closed(), "{length}");
    }
    assert_eq!(backend.drain_requests(), 0);
}

/// The response must not be lost by a reset of the connection while the client is still sending.
#[test]
fn rejection_reaches_a_client_that_is_still_sending_a_large_body() {
    let backend = yes_backend();
    let (node, _discovery) = NodeProcess::with_backends(&[&backend]);
    let mut stream = TcpStream::connect(node.address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let length = 60_000_000;
    let text = post("pay", "b1", "", "").replace("Length: 0", &format!("Length: {length}"));
    stream.write_all(text.as_bytes()).unwrap();
    // The client sends the whole body before it reads the response.
    stream.write_all(&vec![b'x'; length]).expect("the node reads on");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("no reset");
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
}

/// Backends identify requests by their ids: a second request with the id of an open one must not reach them.
#[test]
fn request_with_the_id_of_an_open_one_is_rejected() {
    let gate = Arc::new(Gate::default());
    let reply_gate = gate.clone();
    let backend = Backend::new(move |_| BackendReply::WriteAtGate(reply_gate.clone(), ok("mine")));
    let (node, _discovery) = NodeProcess::with_backends(&[&backend]);
    let mut owner = Client::connect(node.address);
    owner.write(&post("pay", "d1", "", "mine"));
    assert_eq!(backend.next_request().value("x-call-id"), Some("d1"));
    assert_eq!(node.round_trip(&post("pay", "d1", "", "theirs")).status(), 409);
    gate.open();
    assert_eq!(owner.read().expect("an answer").body, b"mine");
    assert_eq!(backend.drain_requests(), 0);
}
