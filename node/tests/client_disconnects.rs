//! Clients that disconnect while their request waits: the request must not be forwarded any more.

mod common;

use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use common::{NodeProcess, config, discovery_target, get, post};
use ivyhatch_socket_lab::scripted::{
    Backend, BackendReply, Client, Discovery, FullBacklogListener, Gate, ok, status, wait_until,
};
use serde_json::json;

/// The time within which a node must detect a disconnect: after it the client's request must not be forwarded any more.
const DETECTION_TIME: Duration = Duration::from_millis(300);

/// Bytes that may be pending behind a request when its client disconnects.
fn pipelined_inputs() -> [String; 4] {
    [String::new(), "\r\n".to_owned(), get("behind", ""), "noise".repeat(20_000)]
}

/// A node with a backend at `at` and the backends `more`, and with a connect timeout longer than any test here.
fn node_with_long_connect_timeout(at: std::net::SocketAddr, more: &[&Backend]) -> (NodeProcess, Discovery) {
    let listed = std::iter::once(at).chain(more.iter().map(|backend| backend.address));
    let targets: Vec<_> =
        (0..).zip(listed).map(|(n, at)| discovery_target(&format!("s-{n}"), at, "Ready")).collect();
    let discovery = Discovery::new(json!(targets));
    let mut config = config(discovery.address, json!([]));
    config["settings"]["policy-limits"]["connect-timeout-ns"] = json!(8_000_000_000u64);
    let node = NodeProcess::start(&config);
    discovery.wait_for_watch_from(1);
    (node, discovery)
}

/// The connection to the backend is established after the client has disconnected. With bytes behind the request the parser stopped
/// reading, so that the disconnect was not detected and the request was sent.
#[test]
fn request_waiting_for_a_connect_is_not_sent_after_its_client_disconnected() {
    let cases: Vec<_> = pipelined_inputs()
        .into_iter()
        .enumerate()
        .map(|(n, behind)| {
            thread::spawn(move || {
                let listener = FullBacklogListener::new();
                let (node, _discovery) = node_with_long_connect_timeout(listener.address(), &[]);
                let mut client = Client::connect(node.address);
                client.write(&(get("gone", "") + &behind));
                wait_until("the connect is in progress", || node.pending_connects_to(listener.address()) > 0);
                drop(client);
                thread::sleep(DETECTION_TIME);
                let filling = listener.filling();
                let backend = listener.open(|_| BackendReply::Write(ok("yes")));
                assert_eq!(node.round_trip(&get("stays", "")).status(), 200, "case {n}");
                // The first connection is established by a TCP retransmission, a second or more after the start of its connect.
                wait_until("both up", || backend.connections.load(Ordering::SeqCst) as usize >= filling + 2);
                thread::sleep(DETECTION_TIME);
                assert_eq!(node.round_trip(&get("later", "")).status(), 200, "case {n}");
                let ids: Vec<_> =
                    backend.requests.try_iter().map(|m| m.value("x-call-id").map(str::to_owned)).collect();
                assert_eq!(ids, [Some("stays".to_owned()), Some("later".to_owned())], "case {n}");
            })
        })
        .collect();
    cases.into_iter().for_each(|case| case.join().expect("the case passes"));
}

/// A request is rejected by one backend after its client has disconnected: it must not be retried at another backend. While the
/// client is connected, it is retried.
#[test]
fn request_between_two_attempts_is_not_retried_after_its_client_disconnected() {
    for (n, behind) in pipelined_inputs().into_iter().enumerate() {
        for disconnects in [None, Some(Client::reset as fn(Client)), Some(drop)] {
            let gate = Arc::new(Gate::default());
            let backends = [gate.clone(), gate.clone()].map(|gate| {
                let seen = AtomicBool::new(false);
                Backend::new(move |message| {
                    let first = !seen.swap(true, Ordering::SeqCst);
                    match message.value("x-call-id") {
                        Some("first") if first => {
                            BackendReply::WriteAtGate(gate.clone(), status(503, "X-Rejected: 1\r\n"))
                        }
                        _ => BackendReply::Write(ok("yes")),
                    }
                })
            });
            let (node, _discovery) = NodeProcess::with_backends(&[&backends[0], &backends[1]]);
            let mut client = Client::connect(node.address);
            client.write(&(post("pay", "first", "", "") + &behind));
            let mut got = 0;
            let mut ids = |wanted: usize| {
                wait_until("the requests have arrived", || {
                    got += backends.iter().map(Backend::drain_requests).sum::<usize>();
                    got >= wanted
                });
                got
            };
            ids(1);
            if let Some(disconnect) = disconnects {
                disconnect(client);
                thread::sleep(DETECTION_TIME);
                gate.open();
                // Once another request has its response, any retry of the first one would have been sent.
                assert_eq!(node.round_trip(&post("pay", "other", "", "")).status(), 200);
                assert_eq!(ids(2), 2, "case {n}");
            } else {
                gate.open();
                wait_until("the request was sent to both backends", || ids(2) >= 2);
            }
        }
    }
}

/// A client that pipelines requests gets the responses in order, also if requests have been read ahead of the parser.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let gate = Arc::new(Gate::default());
    let reply_gate = gate.clone();
    let backend = Backend::new(move |message| {
        let id = message.value("x-call-id").unwrap_or_default().to_owned();
        if id == "p1" {
            BackendReply::WriteAtGate(reply_gate.clone(), ok(&id))
        } else {
            BackendReply::Write(ok(&id))
        }
    });
    let (node, _discovery) = NodeProcess::with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    client.write(&get("p1", ""));
    backend.next_request();
    // The second request is sent in two parts, so that the first part is read ahead separately.
    let next = get("p2", "");
    let (head, tail) = next.split_at(40);
    client.write(head);
    thread::sleep(Duration::from_millis(20));
    client.write(&(tail.to_owned() + &get("p3", "")));
    gate.open();
    for id in ["p1", "p2", "p3"] {
        let answer = client.read().expect("an answer");
        assert_eq!((answer.status(), answer.body), (200, id.as_bytes().to_vec()));
    }
}

/// A client that shuts down its sending side counts as disconnected, like one that closes its socket: its request is cancelled.
#[test]
fn client_that_shuts_down_its_sending_side_is_disconnected() {
    for behind in pipelined_inputs() {
        let backend = Backend::new(|_| BackendReply::Never);
        let (node, _discovery) = NodeProcess::with_backends(&[&backend]);
        let mut client = Client::connect(node.address);
        client.write(&(get("h1", "") + &behind));
        backend.next_request();
        client.stream().shutdown(Shutdown::Write).unwrap();
        assert!(client.is_closed(), "the connection is closed long before the request's deadline");
    }
}
