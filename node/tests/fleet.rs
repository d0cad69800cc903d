//! A small fleet on real sockets: nodes are restarted by tenths while their servers are replaced and discovery moves.

mod common;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use common::*;
use serde_json::{Value, json};

const NODES: usize = 10;
const SERVERS: usize = 4;

/// So many nodes to a zone that each keeps to its windows; a discovery that has to be asked.
fn configured(discovery: SocketAddr, known: &Value) -> Value {
    let mut config = config(discovery, known.clone());
    config["settings"]["n-instances"] = json!(2 * NODES);
    config["settings"]["discovery"] = json!("on_request");
    config["settings"]["rules"]["ask-within-ns"] = json!(2_000_000_000u64);
    config
}

/// The list once `replaced` servers drain and as many new ones have come.
fn list(old: &[Backend], new: &[Backend], replaced: usize) -> Value {
    let state = |n| if n < replaced { "Terminating" } else { "Ready" };
    let before = (0..).zip(old).map(|(n, server)| target(&format!("old-{n}"), server.address, state(n)));
    let after =
        (0..).zip(&new[..replaced]).map(|(n, server)| target(&format!("new-{n}"), server.address, "Ready"));
    before.chain(after).collect()
}

/// Clients of one node: they ask one after another on a kept connection until told to stop.
struct Asking {
    at: Arc<Mutex<Option<SocketAddr>>>,
    served: Arc<AtomicU64>,
    thread: thread::JoinHandle<()>,
}

#[derive(Default)]
struct Ends {
    stop: AtomicBool,
    next: AtomicU64,
    /// Taken by a node and never answered.
    lost: Mutex<Vec<String>>,
}

fn ask_on(ends: &Ends, at: &Mutex<Option<SocketAddr>>, served: &AtomicU64) {
    let mut kept: Option<(SocketAddr, Client)> = None;
    while !ends.stop.load(Ordering::SeqCst) {
        let Some(to) = *at.lock().unwrap() else {
            kept = None;
            thread::yield_now();
            continue;
        };
        let id = format!("f{}", ends.next.fetch_add(1, Ordering::SeqCst));
        let fresh = kept.as_ref().is_none_or(|(there, _)| *there != to);
        let mut client = match kept.take() {
            Some((there, client)) if there == to => client,
            _ => match std::net::TcpStream::connect(to) {
                Ok(stream) => Client::from_stream(stream),
                // Between two lives nobody listens.
                Err(_) => continue,
            },
        };
        match client.try_round_trip(&get(&id, "")) {
            Some(answer) => {
                assert_eq!(answer.status(), 200, "{id}");
                served.fetch_add(1, Ordering::SeqCst);
                if answer.value("connection") != Some("close") {
                    kept = Some((to, client));
                }
            }
            // A connection that stood idle may be closed as it is written to; a new one is taken with its request.
            None if fresh => ends.lost.lock().unwrap().push(id),
            None => {}
        }
    }
}

#[test]
fn servers_are_replaced_and_discovery_moves_while_nodes_are_restarted() {
    let servers =
        || (0..SERVERS).map(|_| Backend::new(|_| BackendReply::Write(ok("yes")))).collect::<Vec<_>>();
    let (old, new) = (servers(), servers());
    let mut known = list(&old, &new, 0);
    let mut discovery = Discovery::new(known.clone());
    let ends = Arc::new(Ends::default());
    let mut nodes: Vec<Node> =
        (0..NODES).map(|_| Node::start(&configured(discovery.address, &known))).collect();
    let told = |discovery: &Discovery, count: usize| {
        let mark = format!("from={}&", discovery.revision());
        wait_until("all nodes have the list", || {
            discovery.watch_requests.lock().unwrap().iter().filter(|call| call.contains(&mark)).count()
                >= count
        });
    };
    told(&discovery, NODES);
    let asking: Vec<Asking> = nodes
        .iter()
        .map(|node| {
            let at = Arc::new(Mutex::new(Some(node.at)));
            let served = Arc::new(AtomicU64::new(0));
            let (ends, to, count) = (ends.clone(), at.clone(), served.clone());
            Asking { at, served, thread: thread::spawn(move || ask_on(&ends, &to, &count)) }
        })
        .collect();
    // Of two more answers the second one's request came after this call.
    let go_on = |asking: &[Asking]| {
        let from: Vec<u64> = asking.iter().map(|one| one.served.load(Ordering::SeqCst)).collect();
        wait_until("each client goes on", || {
            asking.iter().zip(&from).all(|(one, from)| one.served.load(Ordering::SeqCst) >= from + 2)
        });
    };
    let mut restarted = 0;
    for replaced in 1..=SERVERS {
        known = list(&old, &new, replaced);
        if replaced == 3 {
            // The new address knows what the old one never said.
            discovery = Discovery::new(known.clone());
            nodes
                .iter()
                .for_each(|node| node.reconfigure(&configured(discovery.address, &known).to_string()));
        } else {
            discovery.set(known.clone());
        }
        told(&discovery, NODES);
        // What had been sent before has ended by then.
        go_on(&asking);
        for server in &old[..replaced] {
            server.drain_requests();
        }
        for number in restarted..(NODES * replaced / SERVERS) {
            nodes[number].signal("-TERM");
            wait_until("it has heard", || nodes[number].logged("shutting down"));
            // The front sends no more new ones; what is under way is answered.
            *asking[number].at.lock().unwrap() = None;
            assert_eq!(nodes[number].child.wait().unwrap().code(), Some(0));
            nodes[number] = Node::start(&configured(discovery.address, &known));
            *asking[number].at.lock().unwrap() = Some(nodes[number].at);
        }
        restarted = NODES * replaced / SERVERS;
        go_on(&asking);
        let after: usize = old[..replaced].iter().map(Backend::drain_requests).sum();
        assert_eq!(after, 0, "sent to servers that every node knew to drain");
    }
    ends.stop.store(true, Ordering::SeqCst);
    for one in asking {
        one.thread.join().expect("clients got answers");
    }
    assert_eq!(restarted, NODES);
    assert!(
        ends.lost.lock().unwrap().is_empty(),
        "taken and never answered: {:?}",
        ends.lost.lock().unwrap()
    );
    assert!(new.iter().all(|server| server.drain_requests() > 0), "all new servers are used");
}
