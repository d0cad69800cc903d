//! A fleet of ten nodes on real sockets: the nodes are restarted one by one while their servers are replaced and discovery moves.

mod common;

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use common::{NodeProcess, config, discovery_target, get};
use ivyhatch_socket_lab::scripted::{Backend, BackendReply, Client, Discovery, ok, wait_until};
use serde_json::{Value, json};

const NODES: usize = 10;
const SERVERS: usize = 4;
/// The number of the replacement with which discovery moves.
const REPLACEMENT_WITH_MOVE: usize = 3;

/// A configuration with so many nodes to a zone that each node limits its concurrency, and with a discovery that is polled.
fn fleet_config(discovery: SocketAddr, known: &Value) -> Value {
    let mut config = config(discovery, known.clone());
    config["settings"]["n-instances"] = json!(2 * NODES);
    config["settings"]["discovery"] = json!("on_request");
    config["settings"]["rules"]["ask-within-ns"] = json!(2_000_000_000u64);
    config
}

/// Discovery's list when `replaced` servers drain and as many new ones have joined.
fn list(old: &[Backend], new: &[Backend], replaced: usize) -> Value {
    let state = |n| if n < replaced { "Terminating" } else { "Ready" };
    let before =
        (0..).zip(old).map(|(n, server)| discovery_target(&format!("old-{n}"), server.address, state(n)));
    let after = (0..)
        .zip(&new[..replaced])
        .map(|(n, server)| discovery_target(&format!("new-{n}"), server.address, "Ready"));
    before.chain(after).collect()
}

/// The state that the clients of all nodes share.
#[derive(Default)]
struct SharedState {
    stop: AtomicBool,
    next_id: AtomicU64,
    /// The ids of requests that a node accepted without ever sending a response.
    lost: Mutex<Vec<String>>,
    /// Responses other than 200.
    unserved: Mutex<Vec<String>>,
}

/// A client of one node: sends one request after another, on the same connection as long as the node keeps it open.
struct LoadClient {
    /// The address at which the node listens; `None` while the node restarts.
    node_address: Arc<Mutex<Option<SocketAddr>>>,
    served: Arc<AtomicU64>,
    thread: thread::JoinHandle<()>,
}

impl LoadClient {
    fn start(shared: &Arc<SharedState>, node: &NodeProcess) -> Self {
        let node_address = Arc::new(Mutex::new(Some(node.address)));
        let served = Arc::new(AtomicU64::new(0));
        let (shared, address, count) = (shared.clone(), node_address.clone(), served.clone());
        let thread = thread::spawn(move || send_until_stopped(&shared, &address, &count));
        Self { node_address, served, thread }
    }

    fn served(&self) -> u64 {
        self.served.load(Ordering::SeqCst)
    }
}

fn send_until_stopped(shared: &SharedState, node_address: &Mutex<Option<SocketAddr>>, served: &AtomicU64) {
    let mut kept: Option<(SocketAddr, Client)> = None;
    while !shared.stop.load(Ordering::SeqCst) {
        let Some(address) = *node_address.lock().unwrap() else {
            kept = None;
            thread::yield_now();
            continue;
        };
        let id = format!("f{}", shared.next_id.fetch_add(1, Ordering::SeqCst));
        let is_new_connection = kept.as_ref().is_none_or(|(kept_address, _)| *kept_address != address);
        let mut client = match kept.take() {
            Some((kept_address, client)) if kept_address == address => client,
            _ => match TcpStream::connect(address) {
                Ok(stream) => Client::from_stream(stream),
                // There is no listener between the end of a node's process and the start of the next one.
                Err(_) => continue,
            },
        };
        let sent_at = Instant::now();
        match client.try_round_trip(&get(&id, "")) {
            Some(answer) => {
                // The nodes' logs, which show the cause, are printed after all clients have stopped.
                if answer.status() != 200 {
                    let after = sent_at.elapsed();
                    let text = format!(
                        "{id} at {address} after {after:?}: {} {:?}",
                        answer.start_line, answer.headers
                    );
                    shared.unserved.lock().unwrap().push(text);
                }
                served.fetch_add(1, Ordering::SeqCst);
                if answer.value("connection") != Some("close") {
                    kept = Some((address, client));
                }
            }
            // An idle connection may be closed while a request is written to it; a request on a new one must get a response.
            None if is_new_connection => shared.lost.lock().unwrap().push(id),
            None => {}
        }
    }
}

/// The nodes, their clients and their discovery.
struct Fleet {
    nodes: Vec<NodeProcess>,
    clients: Vec<LoadClient>,
    shared: Arc<SharedState>,
    discovery: Discovery,
    restarted: usize,
    /// The addresses and logs of nodes that have been replaced.
    ended_logs: Vec<(SocketAddr, String)>,
}

impl Fleet {
    fn start(known: &Value) -> Self {
        let discovery = Discovery::new(known.clone());
        let nodes: Vec<NodeProcess> =
            (0..NODES).map(|_| NodeProcess::start(&fleet_config(discovery.address, known))).collect();
        let shared = Arc::new(SharedState::default());
        let mut fleet =
            Self { nodes, clients: Vec::new(), shared, discovery, restarted: 0, ended_logs: Vec::new() };
        fleet.wait_for_list();
        fleet.clients = fleet.nodes.iter().map(|node| LoadClient::start(&fleet.shared, node)).collect();
        fleet
    }

    /// Waits until all nodes have discovery's current list.
    fn wait_for_list(&self) {
        let current_revision = format!("from={}&", self.discovery.revision());
        wait_until("all nodes have the list", || {
            let calls = self.discovery.watch_requests.lock().unwrap();
            calls.iter().filter(|call| call.contains(&current_revision)).count() >= NODES
        });
    }

    /// Waits for two more responses to each client: the request of the second one is sent after this call.
    fn wait_for_requests(&self) {
        let before: Vec<u64> = self.clients.iter().map(LoadClient::served).collect();
        wait_until("each client is served", || {
            self.clients.iter().zip(&before).all(|(client, before)| client.served() >= before + 2)
        });
    }

    fn move_discovery(&mut self, known: &Value) {
        // The revisions at the new address are unrelated to those at the old one.
        self.discovery = Discovery::new(known.clone());
        for node in &self.nodes {
            node.reconfigure(&fleet_config(self.discovery.address, known).to_string());
        }
    }

    /// Restarts nodes, one after another, until `count` have been restarted.
    fn restart_until(&mut self, count: usize, known: &Value) {
        for number in self.restarted..count {
            self.nodes[number].signal("-TERM");
            wait_until("the shutdown has started", || self.nodes[number].has_logged("shutting down"));
            // Like the system in front of the node, the client sends no more requests; those in progress get their responses.
            *self.clients[number].node_address.lock().unwrap() = None;
            assert_eq!(self.nodes[number].child.wait().unwrap().code(), Some(0));
            self.ended_logs.push(self.nodes[number].named_log());
            self.nodes[number] = NodeProcess::start(&fleet_config(self.discovery.address, known));
            *self.clients[number].node_address.lock().unwrap() = Some(self.nodes[number].address);
        }
        self.restarted = count;
    }

    /// Prints the logs of all nodes, including those that have been replaced.
    fn print_logs(&self) {
        for (address, log) in
            self.ended_logs.iter().cloned().chain(self.nodes.iter().map(NodeProcess::named_log))
        {
            println!("node at {address}:\n{log}");
        }
    }

    fn stop_clients(&mut self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            client.thread.join().expect("the client did not panic");
        }
    }
}

#[test]
fn no_request_is_lost_while_nodes_restart_servers_are_replaced_and_discovery_moves() {
    let servers =
        || (0..SERVERS).map(|_| Backend::new(|_| BackendReply::Write(ok("yes")))).collect::<Vec<_>>();
    let (old, new) = (servers(), servers());
    let mut fleet = Fleet::start(&list(&old, &new, 0));
    for replaced in 1..=SERVERS {
        let known = list(&old, &new, replaced);
        if replaced == REPLACEMENT_WITH_MOVE {
            fleet.move_discovery(&known);
        } else {
            fleet.discovery.set(known.clone());
        }
        fleet.wait_for_list();
        // After these requests all that were sent before the list have ended.
        fleet.wait_for_requests();
        for server in &old[..replaced] {
            server.drain_requests();
        }
        fleet.restart_until(NODES * replaced / SERVERS, &known);
        fleet.wait_for_requests();
        let after: usize = old[..replaced].iter().map(Backend::drain_requests).sum();
        assert_eq!(after, 0, "sent to servers of whose drain every node had been notified");
    }
    fleet.stop_clients();
    assert_eq!(fleet.restarted, NODES);
    let unserved = fleet.shared.unserved.lock().unwrap();
    if !unserved.is_empty() {
        fleet.print_logs();
    }
    assert!(unserved.is_empty(), "requests got a response other than 200: {unserved:#?}");
    let lost = fleet.shared.lost.lock().unwrap();
    assert!(lost.is_empty(), "accepted requests got no response: {lost:?}");
    assert!(new.iter().all(|server| server.drain_requests() > 0), "a new server got no request");
}
