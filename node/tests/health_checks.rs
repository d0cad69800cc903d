//! Load reports by probe: when probes are sent, how their responses are used, and that failing probes affect no requests.

mod common;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};

use common::{NodeProcess, config, discovery_target, get};
use ivyhatch_socket_lab::scripted::{
    Backend, BackendReply, Client, Discovery, Message, TEST_TIMEOUT, ok, read_message, wait_until,
};
use serde_json::{Value, json};

/// A configuration in which servers report their load only in response to probes.
fn config_with_probes(discovery: SocketAddr, known: Value) -> Value {
    let mut config = config(discovery, known);
    config["settings"]["report"] = json!({"how": "pull", "fields": ["load_share"]});
    config["settings"]["policy-limits"]["probes"] = json!(true);
    config["settings"]["prices"] = json!({"probe": 0.01});
    config
}

fn is_probe(message: &Message) -> bool {
    message.start_line.starts_with("GET /stats ")
}

/// A backend that responds to probes with `answer` and to requests with `name`, and the count of probes it has received.
fn probed_backend(name: &'static str, answer: String) -> (Backend, Arc<AtomicU32>) {
    let probes = Arc::new(AtomicU32::new(0));
    let counted = probes.clone();
    let backend = Backend::new(move |message| {
        if is_probe(message) {
            counted.fetch_add(1, Ordering::SeqCst);
            return BackendReply::Write(answer.clone());
        }
        BackendReply::Write(ok(name))
    });
    (backend, probes)
}

fn report(util: &str) -> String {
    ok(&format!(r#"{{"util":{util},"qps":3.5,"eps":0}}"#))
}

fn in_zone(uid: &str, backend: &Backend, zone: &str) -> Value {
    let mut target = discovery_target(uid, backend.address, "Ready");
    target["az"] = json!(zone);
    target
}

/// Three servers of the home zone report nearly full utilisation, three of the other zone nearly none: requests must go to the other
/// zone. Without probes all of them stayed in the home zone.
#[test]
fn requests_leave_a_home_zone_that_reports_full_utilisation() {
    let full: Vec<_> = (0..3).map(|_| probed_backend("home", report("0.97"))).collect();
    let idle: Vec<_> = (0..3).map(|_| probed_backend("away", report("0.05"))).collect();
    let targets: Vec<Value> = full
        .iter()
        .map(|b| ("a", b))
        .chain(idle.iter().map(|b| ("b", b)))
        .enumerate()
        .map(|(n, (zone, (backend, _)))| in_zone(&format!("s-{n}"), backend, zone))
        .collect();
    let discovery = Discovery::new(json!(targets));
    let node = NodeProcess::start(&config_with_probes(discovery.address, json!([])));
    wait_until("the reports have arrived", || node.has_logged("by 3 of 3 backends; the best other one is 1"));
    let mut client = Client::connect(node.address);
    for n in 0..20 {
        let answer = client.round_trip(&get(&format!("r{n}"), "")).expect("an answer");
        assert_eq!(String::from_utf8_lossy(&answer.body), "away");
    }
}

#[test]
fn no_probe_is_sent_where_the_settings_forbid_probes() {
    for (how, allowed) in [("pull", false), ("silent", true)] {
        let (backend, probes) = probed_backend("home", report("0.5"));
        let discovery = Discovery::new(json!([in_zone("s-0", &backend, "a")]));
        let mut config = config_with_probes(discovery.address, json!([]));
        config["settings"]["policy-limits"]["probes"] = json!(allowed);
        config["settings"]["report"]["how"] = json!(how);
        let node = NodeProcess::start(&config);
        discovery.wait_for_watch_from(1);
        let mut client = Client::connect(node.address);
        for n in 0..50 {
            assert_eq!(client.round_trip(&get(&format!("r{n}"), "")).expect("an answer").status(), 200);
        }
        assert_eq!(probes.load(Ordering::SeqCst), 0, "{how} {allowed}");
    }
}

/// Invalid reports must be ignored: the home zone serves requests as if no report had arrived.
#[test]
fn invalid_reports_are_ignored() {
    let huge = format!(r#"{{"util":0.99,"pad":"{}"}}"#, "x".repeat(64 * 1024));
    for text in ["NaN", "-1", "1e300", "null", r#""full""#].map(report).into_iter().chain([
        ok(&huge),
        ok("{}"),
        ok(""),
    ]) {
        let (home, probes) = probed_backend("home", text.clone());
        let (away, _) = probed_backend("away", report("0.05"));
        let discovery = Discovery::new(json!([in_zone("s-0", &home, "a"), in_zone("s-1", &away, "b")]));
        let node = NodeProcess::start(&config_with_probes(discovery.address, json!([])));
        // The second probe is sent only after the response to the first one has been processed.
        wait_until("two probes", || probes.load(Ordering::SeqCst) >= 2);
        let answer = node.round_trip(&get("r0", ""));
        assert_eq!(String::from_utf8_lossy(&answer.body), "home", "{:.60}", text);
    }
}

/// An event at a backend that hangs on probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeEvent {
    /// A probe has arrived.
    Received,
    /// The node has closed a connection on which a probe had no response.
    ConnectionClosed,
}

/// A backend that serves requests and never responds to probes.
fn backend_hanging_on_probes() -> (SocketAddr, Receiver<ProbeEvent>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, events) = channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let sender = sender.clone();
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let mut probed = false;
                while let Some(message) = read_message(&mut reader) {
                    if is_probe(&message) {
                        probed = true;
                        let _ = sender.send(ProbeEvent::Received);
                    } else if stream.write_all(ok("home").as_bytes()).is_err() {
                        break;
                    }
                }
                if probed {
                    let _ = sender.send(ProbeEvent::ConnectionClosed);
                }
            });
        }
    });
    (address, events)
}

/// A server hangs on probes and serves requests: at most one probe may be in flight, and it must not delay requests.
#[test]
fn hanging_probes_delay_no_request() {
    let (address, events) = backend_hanging_on_probes();
    let discovery = Discovery::new(json!([discovery_target("s-0", address, "Ready")]));
    let node = NodeProcess::start(&config_with_probes(discovery.address, json!([])));
    let mut client = Client::connect(node.address);
    for round in 0..3 {
        assert_eq!(events.recv_timeout(TEST_TIMEOUT), Ok(ProbeEvent::Received));
        for n in 0..10 {
            let answer = client.round_trip(&get(&format!("r{round}-{n}"), "")).expect("an answer");
            assert_eq!(answer.status(), 200, "served while a probe hangs");
        }
        assert_eq!(
            events.recv_timeout(TEST_TIMEOUT),
            Ok(ProbeEvent::ConnectionClosed),
            "a hanging probe is closed before the next one"
        );
    }
}

#[test]
fn probing_stops_at_once_on_sigterm() {
    let (address, events) = backend_hanging_on_probes();
    let discovery = Discovery::new(json!([discovery_target("s-0", address, "Ready")]));
    let mut node = NodeProcess::start(&config_with_probes(discovery.address, json!([])));
    assert_eq!(events.recv_timeout(TEST_TIMEOUT), Ok(ProbeEvent::Received));
    node.signal("-TERM");
    assert_eq!(events.recv_timeout(TEST_TIMEOUT), Ok(ProbeEvent::ConnectionClosed));
    assert!(node.child.wait().expect("the node ends").success());
    assert!(!events.try_iter().any(|event| event == ProbeEvent::Received), "a probe after the signal");
}

/// A probe of a server that drains, or that restarts under the same name, must be cancelled: its response would describe the
/// previous incarnation. A restarted server is probed again.
#[test]
fn probe_is_cancelled_when_its_server_drains_or_restarts() {
    let (address, events) = backend_hanging_on_probes();
    let mut first = discovery_target("s-0", address, "Ready");
    let discovery = Discovery::new(json!([first]));
    let _node = NodeProcess::start(&config_with_probes(discovery.address, json!([])));
    assert_eq!(events.recv_timeout(TEST_TIMEOUT), Ok(ProbeEvent::Received));
    first["boot_ms"] = json!(1_700_000_000_000u64);
    discovery.set(json!([first]));
    assert_eq!(events.recv_timeout(TEST_TIMEOUT), Ok(ProbeEvent::ConnectionClosed));
    assert_eq!(events.recv_timeout(TEST_TIMEOUT), Ok(ProbeEvent::Received), "the new incarnation is probed");
    first["state"] = json!("Terminating");
    discovery.set(json!([first]));
    assert_eq!(events.recv_timeout(TEST_TIMEOUT), Ok(ProbeEvent::ConnectionClosed));
}
