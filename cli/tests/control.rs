//! A node's control socket: its state, drain and undrain, and misbehaving clients.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::{Command, Stdio};

use common::{KillOnDrop, server_entry, single_instance_config};
use ivyhatch_socket_lab::scripted::{Backend, BackendReply, Client, Discovery, TEST_TIMEOUT, ok, wait_until};
use serde_json::{Value, json};

struct ControlSocket(BufReader<UnixStream>);

impl ControlSocket {
    fn connect(path: &Path) -> Self {
        let stream = UnixStream::connect(path).expect("it listens");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Self(BufReader::new(stream))
    }

    fn request(&mut self, line: &str) -> Value {
        self.0.get_mut().write_all(format!("{line}\n").as_bytes()).unwrap();
        let mut response = String::new();
        self.0.read_line(&mut response).unwrap();
        serde_json::from_str(&response).expect("an object")
    }

    fn command(&mut self, command: &str) -> Value {
        self.request(&json!({ "op": command }).to_string())
    }
}

fn start_node(config_file: &Path, socket_path: &Path) -> KillOnDrop {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ivyhatch"));
    command
        .args(["node", "--instance", "a-1", "--config"])
        .arg(config_file)
        .arg("--control")
        .arg(socket_path);
    KillOnDrop(command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap())
}

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
    wait_until("it listens", || UnixStream::connect(&socket_path).is_ok());
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
        assert_eq!(client.round_trip(&api_request(id)).expect("an answer").status(), 200);
    }
    let servers = socket.command("servers");
    let server = &servers["servers"][0];
    assert_eq!(
        (&server["uid"], &server["zone"], &server["ejected"]),
        (&json!("s-0"), &json!("a"), &json!(false))
    );
    assert_eq!(socket.command("drain")["phase"], "draining");
    let response = busy.round_trip(&api_request("b2")).expect("one that comes all the same is served");
    assert_eq!((response.status(), response.value("connection")), (200, Some("close")));
    assert!(idle.read().is_none(), "an idle connection is closed");
    wait_until("it has drained", || socket.command("state")["drained"] == json!(true));
    assert_eq!(Client::connect(address).round_trip(READINESS_REQUEST).expect("an answer").status(), 503);
    assert_eq!(
        Client::connect(address).round_trip(&api_request("late")).expect("an answer").status(),
        200,
        "nobody is turned away"
    );
    assert_eq!(socket.command("drain")["phase"], "draining", "twice is once");
    let state = socket.command("undrain");
    assert_eq!((&state["phase"], &state["drained"]), (&json!("serving"), &json!(false)));
    let mut persistent = Client::connect(address);
    for id in ["k1", "k2"] {
        assert_eq!(persistent.round_trip(&api_request(id)).expect("kept again").status(), 200);
    }
    assert_eq!(persistent.round_trip(READINESS_REQUEST).expect("an answer").status(), 200);
    drop(persistent);
    socket.command("drain");
    let kill_status = Command::new("kill").args(["-TERM", &node.0.id().to_string()]).status().unwrap();
    assert!(kill_status.success());
    assert_eq!(node.0.wait().unwrap().code(), Some(0));
    assert!(!socket_path.exists(), "its socket goes with it");
}

#[test]
fn misbehaving_clients_of_the_control_socket_do_not_affect_others() {
    let folder = tempfile::tempdir().unwrap();
    let (config_file, socket_path) = (folder.path().join("fleet.toml"), folder.path().join("a-1.sock"));
    std::fs::write(&config_file, single_instance_config("127.0.0.1:1")).unwrap();
    // What a node that was killed left there.
    drop(std::os::unix::net::UnixListener::bind(&socket_path).unwrap());
    let _node = start_node(&config_file, &socket_path);
    wait_until("it listens", || UnixStream::connect(&socket_path).is_ok());
    let mut socket = ControlSocket::connect(&socket_path);
    for line in ["garbage", "{}", "{\"op\":\"explode\"}", "{\"op\":\"drain\",\"hard\":true}", "\u{e9}"] {
        assert!(socket.request(line)["error"].is_string(), "{line}");
    }
    assert_eq!(socket.command("state")["phase"], "serving", "none of it did anything");
    // Those that say nothing take seats, and not ours.
    let silent: Vec<UnixStream> = (0..7).map(|_| UnixStream::connect(&socket_path).unwrap()).collect();
    assert_eq!(socket.command("state")["phase"], "serving");
    drop(silent);
    let mut unterminated = UnixStream::connect(&socket_path).unwrap();
    unterminated.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let _ = unterminated.write_all(&[b'x'; 5000]);
    let mut received = Vec::new();
    let _ = unterminated.read_to_end(&mut received);
    assert!(received.is_empty(), "a line without an end is no line");
    let mut second_node = start_node(&config_file, &socket_path);
    assert!(!second_node.0.wait().unwrap().success(), "one socket, one node");
    assert_eq!(socket.command("state")["phase"], "serving");
}
