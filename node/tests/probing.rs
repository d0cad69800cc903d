//! Load reports by probe, on real sockets: what is asked, what is made of the answers, and what a probe that goes
//! wrong may not do.

mod common;
use common::*;

use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};

use serde_json::{Value, json};

/// Settings of a site whose servers report only when probed.
fn pulled(discovery: std::net::SocketAddr, known: Value) -> Value {
    let mut config = config(discovery, known);
    config["settings"]["report"] = json!({"how": "pull", "fields": ["load_share"]});
    config["settings"]["policy-limits"]["probes"] = json!(true);
    config["settings"]["prices"] = json!({"probe": 0.01});
    config
}

fn is_probe(message: &Message) -> bool {
    message.start_line.starts_with("GET /stats ")
}

/// A backend that answers a probe with this, and requests with its name; and how many probes it got.
fn reporting(name: &'static str, answer: String) -> (Backend, Arc<AtomicU32>) {
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
    let mut target = target(uid, backend.address, "Ready");
    target["az"] = json!(zone);
    target
}

/// Three home servers that report nearly full, three idle ones next door: without probes all stayed at home.
#[test]
fn a_home_zone_that_reports_itself_full_is_left() {
    let full: Vec<_> = (0..3).map(|_| reporting("home", report("0.97"))).collect();
    let idle: Vec<_> = (0..3).map(|_| reporting("away", report("0.05"))).collect();
    let targets: Vec<Value> = full
        .iter()
        .map(|b| ("a", b))
        .chain(idle.iter().map(|b| ("b", b)))
        .enumerate()
        .map(|(n, (zone, (backend, _)))| in_zone(&format!("s-{n}"), backend, zone))
        .collect();
    let discovery = Discovery::new(json!(targets));
    let node = Node::start(&pulled(discovery.address, json!([])));
    wait_until("the figures have come", || node.logged("by 3 of 3 backends; the best other one is 1"));
    let mut client = Client::connect(node.at);
    for n in 0..20 {
        let answer = client.round_trip(&get(&format!("r{n}"), "")).expect("an answer");
        assert_eq!(String::from_utf8_lossy(&answer.body), "away");
    }
}

#[test]
fn no_probe_leaves_where_the_settings_forbid_them() {
    for (how, allowed) in [("pull", false), ("silent", true)] {
        let (backend, probes) = reporting("home", report("0.5"));
        let discovery = Discovery::new(json!([in_zone("s-0", &backend, "a")]));
        let mut config = pulled(discovery.address, json!([]));
        config["settings"]["policy-limits"]["probes"] = json!(allowed);
        config["settings"]["report"]["how"] = json!(how);
        let node = Node::start(&config);
        discovery.wait_for_watch_from(1);
        let mut client = Client::connect(node.at);
        for n in 0..50 {
            assert_eq!(client.round_trip(&get(&format!("r{n}"), "")).expect("an answer").status(), 200);
        }
        assert_eq!(probes.load(Ordering::SeqCst), 0, "{how} {allowed}");
    }
}

/// What can't be a figure says nothing: home serves as though nothing had been reported.
#[test]
fn reports_that_can_not_be_are_passed_over() {
    let huge = format!(r#"{{"util":0.99,"pad":"{}"}}"#, "x".repeat(64 * 1024));
    for text in ["NaN", "-1", "1e300", "null", r#""full""#].map(report).into_iter().chain([
        ok(&huge),
        ok("{}"),
        ok(""),
    ]) {
        let (home, probes) = reporting("home", text.clone());
        let (away, _) = reporting("away", report("0.05"));
        let discovery = Discovery::new(json!([in_zone("s-0", &home, "a"), in_zone("s-1", &away, "b")]));
        let node = Node::start(&pulled(discovery.address, json!([])));
        // The second one shows that the first has been taken in.
        wait_until("two probes", || probes.load(Ordering::SeqCst) >= 2);
        let answer = node.ask(&get("r0", ""));
        assert_eq!(String::from_utf8_lossy(&answer.body), "home", "{:.60}", text);
    }
}

/// A backend that serves requests and hangs on probes; tells of each, and when the node has closed a connection
/// that a probe hung on.
fn hanging() -> (std::net::SocketAddr, Receiver<&'static str>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (at, (send, told)) = (listener.local_addr().unwrap(), channel());
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let send = send.clone();
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let mut probed = false;
                while let Some(message) = read_message(&mut reader) {
                    if is_probe(&message) {
                        probed = true;
                        let _ = send.send("probe");
                    } else if stream.write_all(ok("home").as_bytes()).is_err() {
                        break;
                    }
                }
                if probed {
                    let _ = send.send("closed");
                }
            });
        }
    });
    (at, told)
}

/// A server that hangs on probes and serves requests: one probe is out at most, and none in a request's way.
#[test]
fn probes_that_hang_stand_in_nobodys_way() {
    let (at, told) = hanging();
    let discovery = Discovery::new(json!([target("s-0", at, "Ready")]));
    let node = Node::start(&pulled(discovery.address, json!([])));
    let mut client = Client::connect(node.at);
    for round in 0..3 {
        assert_eq!(told.recv_timeout(TEST_TIMEOUT), Ok("probe"));
        for n in 0..10 {
            let answer = client.round_trip(&get(&format!("r{round}-{n}"), "")).expect("an answer");
            assert_eq!(answer.status(), 200, "served while a probe hangs");
        }
        assert_eq!(told.recv_timeout(TEST_TIMEOUT), Ok("closed"), "given up before there is another");
    }
}

#[test]
fn probing_stops_at_once_when_the_node_is_asked_to_stop() {
    let (at, told) = hanging();
    let discovery = Discovery::new(json!([target("s-0", at, "Ready")]));
    let mut node = Node::start(&pulled(discovery.address, json!([])));
    assert_eq!(told.recv_timeout(TEST_TIMEOUT), Ok("probe"));
    node.signal("-TERM");
    assert_eq!(told.recv_timeout(TEST_TIMEOUT), Ok("closed"));
    assert!(node.child.wait().expect("its end").success());
    assert!(!told.try_iter().any(|what| what == "probe"), "a probe after the signal");
}

/// A probe to a server that drains, or is replaced under its name, is withdrawn: its answer would tell of what is no
/// more. The new life is asked anew.
#[test]
fn a_probe_is_withdrawn_when_its_server_leaves_or_starts_anew() {
    let (at, told) = hanging();
    let mut first = target("s-0", at, "Ready");
    let discovery = Discovery::new(json!([first]));
    let _node = Node::start(&pulled(discovery.address, json!([])));
    assert_eq!(told.recv_timeout(TEST_TIMEOUT), Ok("probe"));
    first["boot_ms"] = json!(1_700_000_000_000u64);
    discovery.set(json!([first]));
    assert_eq!(told.recv_timeout(TEST_TIMEOUT), Ok("closed"));
    assert_eq!(told.recv_timeout(TEST_TIMEOUT), Ok("probe"), "the new life is asked");
    first["state"] = json!("Terminating");
    discovery.set(json!([first]));
    assert_eq!(told.recv_timeout(TEST_TIMEOUT), Ok("closed"));
}
