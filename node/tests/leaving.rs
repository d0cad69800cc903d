//! Clients that leave while their request waits: it is not sent on any more.

mod common;

use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use common::*;
use serde_json::json;

/// From then on a request whose client has left may not be sent on.
const UNTIL: Duration = Duration::from_millis(300);

/// What lies behind a request, unread, when its client leaves.
fn behind() -> [String; 4] {
    [String::new(), "\r\n".to_owned(), get("behind", ""), "noise".repeat(20_000)]
}

/// A node that knows of nothing but this backend, and waits for connections for longer than anybody here.
fn before(at: std::net::SocketAddr, more: &[&Backend]) -> (Node, Discovery) {
    let listed = std::iter::once(at).chain(more.iter().map(|backend| backend.address));
    let targets: Vec<_> = (0..).zip(listed).map(|(n, at)| target(&format!("s-{n}"), at, "Ready")).collect();
    let discovery = Discovery::new(json!(targets));
    let mut config = config(discovery.address, json!([]));
    config["settings"]["policy-limits"]["connect-timeout-ns"] = json!(8_000_000_000u64);
    let node = Node::start(&config);
    discovery.wait_for_watch_from(1);
    (node, discovery)
}

/// Its connection to the backend comes up after the client has left. With bytes behind the request the parser read no
/// further, so that nobody saw the client go, and the request was sent.
#[test]
fn a_request_in_a_connect_is_not_sent_once_its_client_has_left() {
    let cases: Vec<_> = behind()
        .into_iter()
        .enumerate()
        .map(|(n, behind)| {
            thread::spawn(move || {
                let jam = FullBacklogListener::new();
                let (node, _discovery) = before(jam.address(), &[]);
                let mut client = Client::connect(node.at);
                client.write(&(get("gone", "") + &behind));
                wait_until("the connect is on its way", || node.sockets_to(jam.address()) > 0);
                drop(client);
                thread::sleep(UNTIL);
                let filling = jam.filling();
                let backend = jam.open(|_| BackendReply::Write(ok("yes")));
                assert_eq!(node.ask(&get("stays", "")).status(), 200, "case {n}");
                // The first one's connection comes up as the system tries again, a second or more after it began.
                wait_until("it is up", || backend.connections.load(Ordering::SeqCst) as usize >= filling + 2);
                thread::sleep(UNTIL);
                assert_eq!(node.ask(&get("later", "")).status(), 200, "case {n}");
                let ids: Vec<_> =
                    backend.requests.try_iter().map(|m| m.value("x-call-id").map(str::to_owned)).collect();
                assert_eq!(ids, [Some("stays".to_owned()), Some("later".to_owned())], "case {n}");
            })
        })
        .collect();
    cases.into_iter().for_each(|case| case.join().expect("a case holds"));
}

/// Turned away by one backend after its client has left, it goes to no other. One that stays goes on.
#[test]
fn a_request_between_two_attempts_goes_no_further_once_its_client_has_left() {
    for (n, behind) in behind().into_iter().enumerate() {
        for leaves in [None, Some(Client::reset as fn(Client)), Some(drop)] {
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
            let (node, _discovery) = Node::with(&[&backends[0], &backends[1]]);
            let mut client = Client::connect(node.at);
            client.write(&(post("pay", "first", "", "") + &behind));
            let mut got = 0;
            let mut ids = |wanted: usize| {
                wait_until("it comes", || {
                    got += backends.iter().map(Backend::drain_requests).sum::<usize>();
                    got >= wanted
                });
                got
            };
            ids(1);
            if let Some(leave) = leaves {
                leave(client);
                thread::sleep(UNTIL);
                gate.open();
                // Another one's answer comes after whatever the first one's end has set off.
                assert_eq!(node.ask(&post("pay", "other", "", "")).status(), 200);
                assert_eq!(ids(2), 2, "case {n}");
            } else {
                gate.open();
                wait_until("it has gone to both", || ids(2) >= 2);
            }
        }
    }
}

/// One whose answer is already on its way gets it, whatever it has sent behind its request, and so does the request that
/// stands behind it.
#[test]
fn what_lies_behind_a_request_is_read_when_its_turn_comes() {
    let gate = Arc::new(Gate::default());
    let waits = gate.clone();
    let backend = Backend::new(move |message| {
        let id = message.value("x-call-id").unwrap_or_default().to_owned();
        if id == "p1" {
            BackendReply::WriteAtGate(waits.clone(), ok(&id))
        } else {
            BackendReply::Write(ok(&id))
        }
    });
    let (node, _discovery) = Node::with(&[&backend]);
    let mut client = Client::connect(node.at);
    client.write(&get("p1", ""));
    backend.next_request();
    // In two parts, so that one is read ahead of the other.
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

/// A client that ends its sending has left as well as one that closes: its request goes no further.
#[test]
fn a_client_that_has_ended_its_sending_has_left() {
    for behind in behind() {
        let backend = Backend::new(|_| BackendReply::Never);
        let (node, _discovery) = Node::with(&[&backend]);
        let mut client = Client::connect(node.at);
        client.write(&(get("h1", "") + &behind));
        backend.next_request();
        client.stream().shutdown(Shutdown::Write).unwrap();
        assert!(client.is_closed(), "its connection is let go, long before its time is up");
    }
}
