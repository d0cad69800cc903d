//! A node's control socket: the operations `state`, `servers`, `drain` and `undrain`, and misbehaving clients.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::{Command, Stdio};

use common::{KillOnDrop, server_entry, single_instance_config};
use ivyhatch_socket_lab::scripted::{Backend, BackendReply, Client, Discovery, TEST_TIMEOUT, ok, wait_until};
use serde_json::{Value, json};

/// A connection to a node's control socket.
struct ControlSocket(BufReader<UnixStream>);

impl ControlSocket {
    fn connect(path: &Path) -> Self {
        let stream = UnixStream::connect(path).expect("the node listens on its control socket");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Self(BufReader::new(stream))
    }

    /// Sends a request line; returns the response.
    fn request(&mut self, line: &str) -> Value {
        self.0.get_mut().write_all(format!("{line}\n").as_bytes()).unwrap();
        let mut response = String::new();
        self.0.read_line(&mut response).unwrap();
        serde_json::from_str(&response).expect("the response is JSON")
    }

    /// Requests an operation without arguments.
    fn command(&mut self, command: &str) -> Value {
        self.request(&json!({ "op": command }).to_string())
    }
}

/// Starts the node `a-1` with its control socket at this path.
fn start_node(config_file: &Path, socket_path: &Path) -> KillOnDrop {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ivyhatch"));
    command
        .args(["node", "--instance", "a-1", "--config"])
        .arg(config_file)
        .arg("--control")
        .arg(socket_path);
    KillOnDrop(command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap())
}

/// A request of class `find` with this id.
fn api_request(id: &str) -> String {
    format!(
        "GET /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id}\r\nX-Call-Class: find\r\nX-Budget-Ms: 2000\r\n\r\n"
    )
}

const READINESS_REQUEST: &str = "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n";

#[test]
fn drain_closes_idle_connections_serves_late_requests_and_is_undone_by_undrain() {
    let folder = tempfile::tempdir().unwrap();
    let (config_file, socket_path) = (folder.path().join("fleet.toml"), folder.path().join("a-1.sock"));
    let backend = Backend::new(|_| BackendReply::Write(ok("served")));
    let discovery = Discovery::new(json!([server_entry("s-0", &backend, "a")]));
    std::fs::write(&config_file, single_instance_config(&discovery.address.to_string())).unwrap();
    let mut node = start_node(&config_file, &socket_path);
    wait_until("the node listens on its control socket", || UnixStream::connect(&socket_path).is_ok());
    discovery.wait_for_watch_from(1);
    let mut socket = ControlSocket::connect(&socket_path);
    let state = socket.command("state");
    assert_eq!(
        (&state["name"], &state["phase"], &state["open"]),
        (&json!("a-1"), &json!("serving"), &json!(0))
    );
    assert_eq!(state["pid"], node.0.id());
    let address: SocketAddr = state["listen"].as_str().unwrap().parse().unwrap();
    let (mut idle, mut busy) = (Client::connect(address), Client::connect(address));
    for (id, client) in [("i", &mut idle), ("b", &mut busy)] {
        assert_eq!(client.round_trip(&api_request(id)).expect("the node responds").status(), 200);
    }
    let servers = socket.command("servers");
    let server = &servers["servers"][0];
    assert_eq!(
        (&server["uid"], &server["zone"], &server["ejected"]),
        (&json!("s-0"), &json!("a"), &json!(false))
    );
    assert_eq!(socket.command("drain")["phase"], "draining");
    let response =
        busy.round_trip(&api_request("b2")).expect("a draining node responds on an open connection");
    assert_eq!((response.status(), response.value("connection")), (200, Some("close")));
    assert!(idle.read().is_none(), "the drain closes an idle connection");
    wait_until("the node reports that it is drained", || socket.command("state")["drained"] == json!(true));
    assert_eq!(
        Client::connect(address).round_trip(READINESS_REQUEST).expect("the node responds").status(),
        503
    );
    assert_eq!(
        Client::connect(address).round_trip(&api_request("late")).expect("the node responds").status(),
        200,
        "a drained node still serves requests on new connections"
    );
    assert_eq!(socket.command("drain")["phase"], "draining", "a second drain changes nothing");
    let state = socket.command("undrain");
    assert_eq!((&state["phase"], &state["drained"]), (&json!("serving"), &json!(false)));
    let mut persistent = Client::connect(address);
    for id in ["k1", "k2"] {
        assert_eq!(persistent.round_trip(&api_request(id)).expect("the connection stays open").status(), 200);
    }
    assert_eq!(persistent.round_trip(READINESS_REQUEST).expect("the node responds").status(), 200);
    drop(persistent);
    socket.command("drain");
    let kill_status = Command::new("kill").args(["-TERM", &node.0.id().to_string()]).status().unwrap();
    assert!(kill_status.success());
    assert_eq!(node.0.wait().unwrap().code(), Some(0));
    assert!(!socket_path.exists(), "the node removes its control socket when it ends");
}

#[test]
fn misbehaving_clients_of_the_control_socket_do_not_affect_others() {
    let folder = tempfile::tempdir().unwrap();
    let (config_file, socket_path) = (folder.path().join("fleet.toml"), folder.path().join("a-1.sock"));
    std::fs::write(&config_file, single_instance_config("127.0.0.1:1")).unwrap();
    // A stale socket file, as a killed node leaves it.
    drop(std::os::unix::net::UnixListener::bind(&socket_path).unwrap());
    let _node = start_node(&config_file, &socket_path);
    wait_until("the node listens on its control socket", || UnixStream::connect(&socket_path).is_ok());
    let mut socket = ControlSocket::connect(&socket_path);
    for line in ["garbage", "{}", "{\"op\":\"explode\"}", "{\"op\":\"drain\",\"hard\":true}", "\u{e9}"] {
        assert!(socket.request(line)["error"].is_string(), "the response to {line} has an error");
    }
    assert_eq!(socket.command("state")["phase"], "serving", "invalid requests do not change the phase");
    // Seven silent connections use up the limit of 8 connections, and the open one still works.
    let silent: Vec<UnixStream> = (0..7).map(|_| UnixStream::connect(&socket_path).unwrap()).collect();
    assert_eq!(socket.command("state")["phase"], "serving");
    drop(silent);
    let mut unterminated = UnixStream::connect(&socket_path).unwrap();
    unterminated.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let _ = unterminated.write_all(&[b'x'; 5000]);
    let mut received = Vec::new();
    let _ = unterminated.read_to_end(&mut received);
    assert!(received.is_empty(), "the node closes the connection without a response if a line is too long");
    let mut second_node = start_node(&config_file, &socket_path);
    assert!(!second_node.0.wait().unwrap().success(), "a second node with the same control socket fails");
    assert_eq!(socket.command("state")["phase"], "serving");
}
