//! Requests and responses as clients and backends of a running node observe them.

mod common;

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::Duration;

use common::{NodeProcess, config, discovery_target, get, post};
use ivyhatch_socket_lab::scripted::{
    Backend, BackendReply, Client, Discovery, Gate, Message, ok, status, wait_until,
};
use serde_json::json;

fn backend_replying(reply: BackendReply) -> Backend {
    Backend::new(move |_| reply.clone())
}

#[test]
fn request_is_forwarded_unchanged_and_once() {
    let backend = backend_replying(BackendReply::Write(ok("seated")));
    let (node, _discovery) = NodeProcess::with_backends(&[&backend]);
    let answer =
        node.round_trip(&post("join", "a1b2", "Idempotency-Key: k-77\r\nX-Budget-Ms-Not: 1\r\n", "lobby"));
    assert_eq!((answer.status(), answer.body.as_slice()), (200, b"seated".as_slice()));
    let got = backend.next_request();
    assert_eq!(got.start_line, "POST /api HTTP/1.1");
    assert_eq!(got.body, b"lobby");
    assert_eq!(got.values("x-call-id"), ["a1b2"]);
    assert_eq!(got.values("idempotency-key"), ["k-77"]);
    assert_eq!(got.values("content-length"), ["5"]);
    let [budget] = got.values("x-budget-ms")[..] else { panic!("one budget: {got:?}") };
    assert!(budget.parse::<u64>().unwrap() <= 3000, "{budget}");
    let answer = node.round_trip(&get("a1b3", ""));
    assert_eq!(answer.status(), 200);
    assert_eq!(backend.next_request().start_line, "GET /api?x=1 HTTP/1.1");
    assert_eq!(backend.drain_requests(), 0);
}

#[test]
fn invalid_request_is_rejected_and_reaches_no_backend() {
    let backend = backend_replying(BackendReply::Write(ok("no")));
    let (node, _discovery) = NodeProcess::with_backends(&[&backend]);
    let large = "x".repeat(64 * 1024 + 1);
    let key = "Idempotency-Key: k\r\n";
    let cases = [
        (404, get("1", "").replace("/api", "/other")),
        (400, get("1", "").replace("X-Call-Id", "X-No-Id")),
        (400, get("1", "X-Call-Id: 2\r\n")),
        (400, get("1", "").replace("X-Call-Class", "X-No-Class")),
        (400, get("1", "").replace("read", "unknown")),
        (400, get("1", "").replace("acme", "nobody")),
        (400, get("1", "").replace("X-Caller", "X-No-Caller")),
        (400, get("1", "").replace("3000", "soon")),
        (400, get("1", "").replace("3000", "-5")),
        (400, get("1", "X-Call-Cost: much\r\n")),
        (405, get("1", "").replace("read", "pay")),
        (405, post("read", "1", "", "")),
        (400, post("join", "1", "", "")),
        (400, post("pay", "1", key, "")),
        (413, post("join", "1", key, &large)),
    ];
    for (wanted, text) in cases {
        assert_eq!(node.round_trip(&text).status(), wanted, "{}", &text[..text.len().min(300)]);
    }
    assert_eq!(node.round_trip("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n").status(), 200);
    assert_eq!(node.round_trip(&get("last", "")).status(), 200);
    assert_eq!(backend.next_request().value("x-call-id"), Some("last"));
    assert_eq!(backend.drain_requests(), 0);
}

/// With each of these replies the request may have run. If it is not idempotent, it must neither be retried nor be rejected: a
/// rejection signals to the client that a retry is safe.
#[test]
fn non_idempotent_request_that_may_have_run_fails() {
    let invalid_replies = [
        BackendReply::Write(status(500, "")),
        BackendReply::Write(status(503, "")),
        BackendReply::Write(status(504, "X-Rejected: 0\r\n")),
        BackendReply::Write(status(302, "")),
        BackendReply::WriteThenClose(String::new()),
        BackendReply::WriteThenClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_owned()),
        BackendReply::WriteThenClose("HTTP/1.1 200 OK\r\n\r\nwhole or half".to_owned()),
        BackendReply::WriteThenClose("noise\r\n\r\n".to_owned()),
        BackendReply::Write(ok(&"x".repeat(64 * 1024 + 1))),
        BackendReply::Never,
    ];
    for (n, reply) in invalid_replies.into_iter().enumerate() {
        let (first, second) = (backend_replying(reply.clone()), backend_replying(reply));
        let (node, _discovery) = NodeProcess::with_backends(&[&first, &second]);
        let answer = node.round_trip(&post("pay", "u1", "", "").replace("3000", "700"));
        assert_eq!(answer.status(), 502, "case {n}");
        assert_eq!(first.drain_requests() + second.drain_requests(), 1, "case {n}");
    }
}

/// A request that its backend has rejected has not run. Even if it is not idempotent, it is sent to another backend, or rejected
/// if there is none.
#[test]
fn non_idempotent_request_that_never_ran_goes_elsewhere() {
    let rejecting = |code| backend_replying(BackendReply::Write(status(code, "X-Rejected: 1\r\n")));
    let serves = backend_replying(BackendReply::Write(ok("paid")));
    let (full, other) = (rejecting(503), rejecting(504));
    let (node, _discovery) = NodeProcess::with_backends(&[&full, &serves]);
    for n in 0..8 {
        assert_eq!(node.round_trip(&post("pay", &format!("p{n}"), "", "")).status(), 200);
    }
    assert_eq!(serves.drain_requests(), 8);
    let (node, _discovery) = NodeProcess::with_backends(&[&other]);
    assert_eq!(node.round_trip(&post("pay", "p9", "", "")).status(), 503);
}

/// The address of a crashed backend refuses connections: the request has not run, and another backend must be tried.
#[test]
fn dead_backend_costs_no_request() {
    // The socket is bound and not listening: a released port could be reused by another test's backend.
    let dead = tokio::net::TcpSocket::new_v4().unwrap();
    dead.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let at = dead.local_addr().unwrap();
    let serves = backend_replying(BackendReply::Write(ok("paid")));
    let discovery = Discovery::new(json!([
        discovery_target("s-0", at, "Ready"),
        discovery_target("s-1", serves.address, "Ready")
    ]));
    let node = NodeProcess::start(&config(discovery.address, json!([])));
    discovery.wait_for_watch_from(1);
    for n in 0..8 {
        assert_eq!(node.round_trip(&post("pay", &format!("p{n}"), "", "")).status(), 200);
    }
    assert_eq!(serves.drain_requests(), 8);
}

/// A backend that doesn't respond must not delay the response beyond the client's deadline.
#[test]
fn attempt_at_a_silent_backend_times_out() {
    let backend = backend_replying(BackendReply::Never);
    let (node, _discovery) = NodeProcess::with_backends(&[&backend]);
    let answer = node.round_trip(&get("s1", "").replace("3000", "200"));
    assert_ne!(answer.status(), 200);
    // The timed-out attempt must not delay the next request.
    assert_ne!(node.round_trip(&get("s2", "").replace("3000", "200")).status(), 200);
}

/// The backend closes its connection after each response without a `connection: close` header, so the pooled connection is dead at
/// the next request. If a non-idempotent request were written to it, the request might have run and could not be retried.
#[test]
fn connection_closed_while_idle_is_not_reused() {
    let backend = backend_replying(BackendReply::WriteThenClose(ok("paid")));
    let (node, _discovery) = NodeProcess::with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    for n in 1..=20 {
        let answer = client.round_trip(&post("pay", &format!("p{n}"), "", "")).expect("an answer");
        assert_eq!(answer.status(), 200, "call {n}");
        wait_until("the node closes its end", || backend.closed.load(Ordering::SeqCst) == n);
    }
    assert_eq!(backend.connections.load(Ordering::SeqCst), 20);
}

/// Connections must be reused: a new connection costs the backend a handshake.
#[test]
fn connections_are_reused() {
    let backend = backend_replying(BackendReply::Write(ok("yes")));
    let (node, _discovery) = NodeProcess::with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    for n in 0..10 {
        assert_eq!(client.round_trip(&get(&format!("k{n}"), "")).expect("an answer").status(), 200);
        // A connection is not reused until it has been idle for a short time.
        thread::sleep(Duration::from_millis(50));
    }
    // Even on a slow machine there must be fewer connections than requests.
    assert!(backend.connections.load(Ordering::SeqCst) <= 5);
}

#[test]
fn malformed_load_report_does_no_harm() {
    for report in ["{\"util\":0.4}", "{\"util\":\"high\"}", "{\"util\":1e999}", "{", "[]", "\u{e9}"] {
        let text = format!("HTTP/1.1 200 OK\r\nX-Load-Report: {report}\r\nContent-Length: 2\r\n\r\nok");
        let backend = backend_replying(BackendReply::Write(text));
        let (node, _discovery) = NodeProcess::with_backends(&[&backend]);
        for n in 0..3 {
            assert_eq!(node.round_trip(&get(&format!("r{n}"), "")).status(), 200, "{report}");
        }
    }
}

/// A client that disconnects must leave no state behind, and its response must not be sent to another client.
#[test]
fn disconnected_client_does_not_affect_the_next_request() {
    let gate = Arc::new(Gate::default());
    let first = AtomicBool::new(true);
    let reply_gate = gate.clone();
    let backend = Backend::new(move |_| match first.swap(false, Ordering::SeqCst) {
        true => BackendReply::WriteAtGate(reply_gate.clone(), ok("late")),
        false => BackendReply::Write(ok("yes")),
    });
    let (node, _discovery) = NodeProcess::with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    client.write(&get("g1", ""));
    assert_eq!(backend.next_request().value("x-call-id"), Some("g1"));
    drop(client);
    gate.open();
    let answer = node.round_trip(&get("g2", ""));
    assert_eq!((answer.status(), answer.body.as_slice()), (200, b"yes".as_slice()));
    assert_eq!(backend.next_request().value("x-call-id"), Some("g2"));
    assert_eq!(backend.drain_requests(), 0);
}

/// An invalid response ends its attempt as failed, and the request may have run. The connection must not be reused, and the request
/// must not wait for the rest of the response.
#[test]
fn invalid_response_ends_the_attempt_at_once_and_is_retried() {
    let lines = "X-Pad: pppppppppppppppp\r\n";
    let invalid_replies = [
        "\u{1}\u{2}noise\r\n\r\n".to_owned(),
        "HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nno".to_owned(),
        "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nno".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 2\r\n\r\nno".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nno".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort".to_owned(),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\nzz\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nX-Never: ends\r\n".to_owned(),
        format!("HTTP/1.1 200 OK\r\n{}", lines.repeat(4000)),
        format!("HTTP/1.1 200 OK\r\n{}Content-Length: 2\r\n\r\nno", lines.repeat(80)),
        "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n".to_owned(),
        "HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 50\r\n\r\nshort".to_owned(),
    ];
    for (n, text) in invalid_replies.into_iter().enumerate() {
        let first = Arc::new(AtomicBool::new(true));
        let reply = move |_: &Message| match first.swap(false, Ordering::SeqCst) {
            true => BackendReply::Write(text.clone()),
            false => BackendReply::Write(ok("good")),
        };
        let backend = Backend::new(reply);
        let (node, _discovery) = NodeProcess::with_backends(&[&backend]);
        // The backend keeps the connection open, so only the node can end the wait. Most of the client's budget must be left
        // for the second attempt.
        let answer = node.round_trip(&get("s1", ""));
        assert_eq!((answer.status(), answer.body.as_slice()), (200, b"good".as_slice()), "case {n}");
        assert_eq!(backend.connections.load(Ordering::SeqCst), 2, "case {n}");
    }
}

/// Extra bytes behind a response must affect neither that response nor the next one.
#[test]
fn bytes_behind_a_response_are_not_taken_for_the_next() {
    for behind in [ok("mine"), "noise".to_owned(), "HTTP/1.1 200 OK\r\n".to_owned()] {
        let backend = Backend::new(move |message| {
            BackendReply::WriteWithTrailingBytes(
                ok(message.value("x-call-id").unwrap_or_default()),
                behind.clone(),
            )
        });
        let (node, _discovery) = NodeProcess::with_backends(&[&backend]);
        let mut client = Client::connect(node.address);
        for n in 0..6 {
            let answer = client.round_trip(&get(&format!("w{n}"), "")).expect("an answer");
            assert_eq!((answer.status(), answer.body), (200, format!("w{n}").into_bytes()));
        }
    }
}

/// An interim response precedes the final one, which may take longer than the timeout of a response (RFC 9110, section 15.2).
#[test]
fn interim_responses_are_skipped() {
    let interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n";
    let gate = Arc::new(Gate::default());
    let reply_gate = gate.clone();
    let backend = Backend::new(move |_| {
        BackendReply::WriteThenWriteAtGate(interim.to_owned(), reply_gate.clone(), ok("real"))
    });
    let (node, _discovery) = NodeProcess::with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    client.write(&post("pay", "i1", "", ""));
    backend.next_request();
    // Longer than the time within which a response must be complete after its first byte.
    thread::sleep(Duration::from_millis(300));
    gate.open();
    let answer = client.read().expect("an answer");
    assert_eq!((answer.status(), answer.body.as_slice()), (200, b"real".as_slice()));
}

/// Client errors (status 4xx) are faults of the requests and must not eject the backends.
#[test]
fn client_errors_eject_no_backend() {
    let backend = Backend::new(|message| match message.value("x-call-id") {
        Some(id) if id.starts_with("bad") => BackendReply::Write(status(400, "")),
        _ => BackendReply::Write(ok("yes")),
    });
    let other = backend_replying(BackendReply::Write(status(400, "")));
    let (node, _discovery) = NodeProcess::with_backends(&[&backend, &other]);
    for n in 0..40 {
        assert_ne!(node.round_trip(&get(&format!("bad{n}"), "")).status(), 200);
    }
    assert!(!node.has_logged("ejected"));
}

/// A request with a short budget must not cost a handshake: after its late response the connection is reused.
#[test]
fn late_response_leaves_its_connection_reusable() {
    let (gate, first) = (Arc::new(Gate::default()), AtomicBool::new(true));
    let reply_gate = gate.clone();
    let backend = Backend::new(move |_| match first.swap(false, Ordering::SeqCst) {
        true => BackendReply::WriteAtGate(reply_gate.clone(), ok("late")),
        false => BackendReply::Write(ok("good")),
    });
    let (node, _discovery) = NodeProcess::with_backends(&[&backend]);
    assert_ne!(node.round_trip(&get("l1", "").replace("3000", "300")).status(), 200);
    gate.open();
    thread::sleep(Duration::from_millis(250));
    assert_eq!(node.round_trip(&get("l2", "")).body, b"good");
    assert_eq!(backend.connections.load(Ordering::SeqCst), 1);
}

/// Some networks drop idle connections without closing them. The node must learn after which idle time this happens, and open a new
/// connection rather than have a request reset.
#[test]
fn connections_are_not_reused_after_idle_times_that_lead_to_resets() {
    let (opened, seen, broken) =
        (Arc::new(OnceLock::<Arc<AtomicU32>>::new()), AtomicU32::new(0), Arc::new(AtomicU32::new(0)));
    let (count, reset_count) = (opened.clone(), broken.clone());
    let backend = Backend::new(move |_| {
        let now = count.get().expect("set before the first request").load(Ordering::SeqCst);
        if seen.swap(now, Ordering::SeqCst) != now {
            return BackendReply::Write(ok("yes"));
        }
        reset_count.fetch_add(1, Ordering::SeqCst);
        BackendReply::WriteThenClose(String::new())
    });
    opened.set(backend.connections.clone()).unwrap();
    let (node, _discovery) = NodeProcess::with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    for n in 0..14 {
        let answer = client.round_trip(&get(&format!("q{n}"), "")).expect("an answer");
        assert_eq!((answer.status(), answer.body.as_slice()), (200, b"yes".as_slice()));
        thread::sleep(Duration::from_millis(150));
    }
    // Three resets suffice for each class of idle times; on a slow machine the idle times may fall into two classes.
    let broken = broken.load(Ordering::SeqCst);
    assert!((1..=8).contains(&broken), "{broken} of 14 were reset");
}
