//! The start of a node, its list of backends, configuration reloads and the shutdown.

mod common;

use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;

use common::{NodeProcess, backend_serving, config, discovery_target, get, post, spawn};
use ivyhatch_socket_lab::scripted::{Backend, BackendReply, Client, Discovery, Gate, ok, wait_until};
use serde_json::json;

/// An address at which nothing listens.
fn unused_address() -> std::net::SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

#[test]
fn node_starts_on_the_known_list_while_discovery_is_down() {
    let backend = backend_serving("yes");
    let node = NodeProcess::start(&config(
        unused_address(),
        json!([discovery_target("s-0", backend.address, "Ready")]),
    ));
    assert_eq!(node.round_trip("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n").status(), 200);
    assert_eq!(node.round_trip(&get("k1", "")).status(), 200);
}

#[test]
fn malformed_list_keeps_the_last_good_one() {
    let backend = backend_serving("yes");
    let (node, discovery) = NodeProcess::with_backends(&[&backend]);
    for (rev, text) in [
        (2, "{"),
        (3, r#"{"rev":3,"all":true,"targets":[{"uid":"s-9","endpoint":"here","az":"a","state":"Ready"}]}"#),
        (4, r#"{"rev":4,"all":true}"#),
    ] {
        discovery.set_text(rev, text.to_owned());
        wait_until("the bad list is logged", || node.has_logged("discovery call failed: malformed list"));
        assert_eq!(node.round_trip(&get(&format!("b{rev}"), "")).status(), 200);
    }
    let other = backend_serving("other");
    discovery.set_text(
        5,
        json!({"rev": 5, "all": true, "targets": [discovery_target("s-1", other.address, "Ready")]})
            .to_string(),
    );
    discovery.wait_for_watch_from(5);
    assert_eq!(node.round_trip(&get("b9", "")).body, b"other");
}

/// A node that polls discovery must call again after a failed call.
#[test]
fn discovery_is_polled_again_after_a_failed_call() {
    let backend = backend_serving("yes");
    let discovery = Discovery::new(json!([]));
    discovery.set_text(1, "no list".to_owned());
    let mut config = config(discovery.address, json!([]));
    config["settings"]["discovery"] = json!("on_request");
    let node = NodeProcess::start(&config);
    wait_until("the failure is logged", || node.has_logged("discovery call failed: malformed list"));
    discovery.set(json!([discovery_target("s-0", backend.address, "Ready")]));
    discovery.wait_for_watch_from(discovery.revision());
    assert_eq!(node.round_trip(&get("a1", "")).status(), 200);
}

#[test]
fn nothing_new_goes_to_a_draining_or_removed_backend() {
    for state in ["Terminating", "Gone"] {
        let (old, new) = (backend_serving("old"), backend_serving("new"));
        let (node, discovery) = NodeProcess::with_backends(&[&old]);
        assert_eq!(node.round_trip(&get("d0", "")).body, b"old");
        discovery.set(json!([
            discovery_target("s-0", old.address, state),
            discovery_target("s-1", new.address, "Ready")
        ]));
        discovery.wait_for_watch_from(discovery.revision());
        for n in 1..10 {
            assert_eq!(node.round_trip(&get(&format!("d{n}"), "")).body, b"new", "{state}");
        }
        assert_eq!(old.drain_requests(), 1);
    }
}

#[test]
fn requests_follow_a_backend_to_its_new_endpoint() {
    let (before, after) = (backend_serving("before"), backend_serving("after"));
    let (node, discovery) = NodeProcess::with_backends(&[&before]);
    assert_eq!(node.round_trip(&get("e0", "")).body, b"before");
    discovery.set(json!([discovery_target("s-0", after.address, "Ready")]));
    discovery.wait_for_watch_from(discovery.revision());
    for n in 1..5 {
        assert_eq!(node.round_trip(&get(&format!("e{n}"), "")).body, b"after");
    }
}

/// During a planned restart requests keep arriving, on connections opened before the signal and on new ones: each must get its
/// response.
#[test]
fn sigterm_ends_the_node_with_every_request_answered() {
    let gate = Arc::new(Gate::default());
    let reply_gate = gate.clone();
    let backend = Backend::new(move |message| match message.value("x-call-id") {
        Some("slow") => BackendReply::WriteAtGate(reply_gate.clone(), ok("slow")),
        _ => BackendReply::Write(ok("yes")),
    });
    let (mut node, _discovery) = NodeProcess::with_backends(&[&backend]);
    let (mut slow, mut idle, mut kept) =
        (Client::connect(node.address), Client::connect(node.address), Client::connect(node.address));
    assert_eq!(idle.round_trip(&get("i0", "")).expect("an answer").status(), 200);
    assert_eq!(kept.round_trip(&get("k0", "")).expect("an answer").status(), 200);
    slow.write(&get("slow", ""));
    wait_until("the slow request is sent", || {
        backend.requests.try_iter().any(|m| m.value("x-call-id") == Some("slow"))
    });
    node.signal("-TERM");
    wait_until("the shutdown has started", || node.has_logged("shutting down"));
    for (id, client) in [("a1", kept), ("a2", Client::connect(node.address))] {
        let mut client = client;
        let answer = client.round_trip(&get(id, "")).expect("an answer after the signal");
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.value("connection"), Some("close"));
        assert!(client.read().is_none(), "the connection is closed with its response");
    }
    assert!(idle.read().is_none(), "an idle connection is closed");
    gate.open();
    let answer = slow.read().expect("a response to the slow request");
    assert_eq!((answer.status(), answer.body.as_slice()), (200, b"slow".as_slice()));
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

/// A restarted node must bind its address at once, while connections of the previous process are still in TIME_WAIT.
#[test]
fn restarted_node_binds_its_address_at_once() {
    let backend = backend_serving("yes");
    let known = json!([discovery_target("s-0", backend.address, "Ready")]);
    let mut node = NodeProcess::start(&config(unused_address(), known.clone()));
    let mut client = Client::connect(node.address);
    assert_eq!(client.round_trip(&get("r0", "")).expect("an answer").status(), 200);
    node.child.kill().unwrap();
    node.child.wait().unwrap();
    let mut again = config(unused_address(), known);
    again["listen"] = json!(node.address.to_string());
    let next = NodeProcess::start(&again);
    assert_eq!(next.address, node.address);
    assert_eq!(next.round_trip(&get("r1", "")).status(), 200);
}

#[test]
fn invalid_configuration_is_reported_on_one_line_and_fails_the_start() {
    let good = config(unused_address(), json!([]));
    let without = |field: &str| {
        let mut config = good.clone();
        config.as_object_mut().unwrap().remove(field);
        config.to_string()
    };
    let with = |field: &str, value: serde_json::Value| {
        let mut config = good.clone();
        config[field] = value;
        config.to_string()
    };
    let texts = [
        "{".to_owned(),
        without("settings"),
        without("listen"),
        with("seed", json!("no number")),
        with("listen", json!("somewhere")),
        with("settings", json!({"zones": []})),
        with("limits", json!({"sockets": 3})),
    ];
    for text in texts {
        let (mut child, _) = spawn(&text);
        let mut error_output = String::new();
        child.stderr.take().unwrap().read_to_string(&mut error_output).unwrap();
        assert!(!child.wait().unwrap().success(), "{text}");
        assert!(
            error_output.starts_with("ivyhatch-node: ") && error_output.lines().count() == 1,
            "{error_output:?}"
        );
    }
}

/// A node with few descriptors must keep serving its connected clients, and admit others when connections close.
#[test]
fn more_clients_than_descriptors_are_served_in_turn() {
    let backend = backend_serving("yes");
    let mut config = config(unused_address(), json!([discovery_target("s-0", backend.address, "Ready")]));
    config["limits"]["sockets"] = json!(32);
    let node = NodeProcess::start(&config);
    let at = node.address;
    let mut clients: Vec<Client> = Vec::new();
    // Each client sends its request before the next one connects: a silent connection would be evicted.
    for n in 0..16 {
        clients.push(Client::connect(at));
        assert_eq!(clients[n].round_trip(&get(&format!("c{n}"), "")).expect("an answer").status(), 200);
    }
    let last =
        thread::spawn(move || Client::connect(at).round_trip(&get("last", "")).expect("an answer").status());
    clients.clear();
    assert_eq!(last.join().unwrap(), 200);
}

/// With all client and backend connections open and discovery unreachable the node must stay within its limit of descriptors, as
/// the operating system denies more.
#[test]
fn node_at_full_load_stays_within_its_descriptors() {
    for sockets in [32, 64, 256] {
        let gate = Arc::new(Gate::default());
        let reply_gate = gate.clone();
        let backend = Backend::new(move |_| BackendReply::WriteAtGate(reply_gate.clone(), ok("late")));
        let mut config = config(unused_address(), json!([discovery_target("s-0", backend.address, "Ready")]));
        config["limits"]["sockets"] = json!(sockets);
        config["settings"]["n-instances"] = json!(1);
        let node = NodeProcess::start(&config);
        let mut max_descriptors = 0;
        let mut clients = Vec::new();
        for n in 0..sockets {
            let mut client = Client::connect(node.address);
            client.write(&post("pay", &format!("d{n}"), "", ""));
            clients.push(client);
            max_descriptors = max_descriptors
                .max(std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).unwrap().count());
        }
        wait_until("requests are sent", || backend.connections.load(Ordering::SeqCst) > 0);
        max_descriptors =
            max_descriptors.max(std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).unwrap().count());
        assert!(max_descriptors <= sockets, "{max_descriptors} of {sockets}");
        assert!(
            max_descriptors >= (sockets - 16) / 2,
            "{max_descriptors} of {sockets}: the client connections were never all in use"
        );
        gate.open();
    }
}

/// The watch must move at once and request the full list: revisions of the old address are not valid at the new one.
#[test]
fn sighup_moves_the_watch_to_another_discovery() {
    let (old, new) = (backend_serving("old"), backend_serving("new"));
    let (mut node, first) = NodeProcess::with_backends(&[&old]);
    first.set_text(900, json!({"rev": 900, "all": false, "targets": []}).to_string());
    first.wait_for_watch_from(900);
    let second = Discovery::new(json!([discovery_target("s-1", new.address, "Ready")]));
    node.reconfigure(&config(second.address, json!([])).to_string());
    second.wait_for_watch_from(1);
    assert_eq!(second.watch_requests.lock().unwrap()[0], "GET /registry/instances HTTP/1.1");
    assert_eq!(node.round_trip(&get("h0", "")).body, b"new");
    // Another SIGHUP, and then SIGTERM: handling one signal must not disable the other.
    node.reconfigure(&config(first.address, json!([])).to_string());
    node.signal("-TERM");
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

/// After several SIGHUPs in quick succession the last address must be used, and a reload with the same address must not interrupt
/// the watch.
#[test]
fn several_sighups_end_at_the_last_address_without_interrupting_its_watch() {
    let (old, new) = (backend_serving("old"), backend_serving("new"));
    let (node, first) = NodeProcess::with_backends(&[&old]);
    let second = Discovery::new(json!([discovery_target("s-1", new.address, "Ready")]));
    for (n, at) in [second.address, first.address, second.address].into_iter().enumerate() {
        node.reconfigure(&config(at, json!([])).to_string());
        wait_until("the configuration is reloaded", || node.log_count("configuration reloaded") == n + 1);
    }
    // A revision that only a watch after the last move can get: the first move had also started a watch at this address.
    second.set(json!([discovery_target("s-1", new.address, "Ready")]));
    second.wait_for_watch_from(2);
    // A watch that is started anew would request the full list.
    let full_list_calls =
        || second.watch_requests.lock().unwrap().iter().filter(|call| !call.contains("from=")).count();
    let calls_before = full_list_calls();
    node.reconfigure(&config(second.address, json!([])).to_string());
    wait_until("the configuration is reloaded", || node.log_count("configuration reloaded") == 4);
    assert_eq!(node.round_trip(&get("s0", "")).body, b"new");
    assert_eq!(full_list_calls(), calls_before, "the watch was interrupted");
}

#[test]
fn sighup_with_an_unusable_file_or_list_changes_nothing() {
    let backend = backend_serving("yes");
    let (node, discovery) = NodeProcess::with_backends(&[&backend]);
    let mut unusable = config(discovery.address, json!([]));
    unusable["settings"] = json!({});
    for (n, text) in ["{".to_owned(), unusable.to_string()].into_iter().enumerate() {
        node.reconfigure(&text);
        wait_until("the failed reload is logged", || node.log_count("configuration reload failed") == n + 1);
        assert_eq!(node.round_trip(&get(&format!("u{n}"), "")).status(), 200);
    }
    let other = backend_serving("other");
    discovery.set(json!([discovery_target("s-1", other.address, "Ready")]));
    discovery.wait_for_watch_from(discovery.revision());
    assert_eq!(node.round_trip(&get("u8", "")).body, b"other", "the old watch continues");
    let bad = Discovery::new(json!([]));
    bad.set_text(1, "{".to_owned());
    node.reconfigure(&config(bad.address, json!([])).to_string());
    wait_until("the bad list is logged", || node.has_logged("discovery call failed: malformed list"));
    assert_eq!(node.round_trip(&get("u9", "")).body, b"other");
}
