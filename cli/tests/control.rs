//! A node's control socket: its state, drain and undrain, and misbehaving clients.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::{Command, Stdio};

use common::{KillOnDrop, fleet, listed};
use ivyhatch_socket_lab::scripted::{Backend, BackendReply, Client, Discovery, TEST_TIMEOUT, ok, wait_until};
use serde_json::{Value, json};

struct Socket(BufReader<UnixStream>);

impl Socket {
    fn to(path: &Path) -> Self {
        let stream = UnixStream::connect(path).expect("it listens");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Self(BufReader::new(stream))
    }

    fn ask(&mut self, line: &str) -> Value {
        self.0.get_mut().write_all(format!("{line}\n").as_bytes()).unwrap();
        let mut answer = String::new();
        self.0.read_line(&mut answer).unwrap();
        serde_json::from_str(&answer).expect("an object")
    }

    fn op(&mut self, op: &str) -> Value {
        self.ask(&json!({ "op": op }).to_string())
    }
}

fn start(file: &Path, control: &Path) -> KillOnDrop {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ivyhatch"));
    command.args(["node", "--instance", "a-1", "--config"]).arg(file).arg("--control").arg(control);
    KillOnDrop(command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap())
}

fn get(id: &str) -> String {
    format!(
        "GET /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id}\r\nX-Call-Class: find\r\nX-Budget-Ms: 2000\r\n\r\n"
    )
}

const READY: &str = "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n";

#[test]
fn drain_closes_idle_connections_serves_late_requests_and_is_undone_by_undrain() {
    let folder = tempfile::tempdir().unwrap();
    let (file, path) = (folder.path().join("fleet.toml"), folder.path().join("a-1.sock"));
    let backend = Backend::new(|_| BackendReply::Write(ok("served")));
    let discovery = Discovery::new(json!([listed("s-0", &backend, "a")]));
    std::fs::write(&file, fleet(&discovery.address.to_string())).unwrap();
    let mut node = start(&file, &path);
    wait_until("it listens", || UnixStream::connect(&path).is_ok());
    discovery.wait_for_watch_from(1);
    let mut socket = Socket::to(&path);
    let state = socket.op("state");
    assert_eq!(
        (&state["name"], &state["phase"], &state["open"]),
        (&json!("a-1"), &json!("serving"), &json!(0))
    );
    assert_eq!(state["pid"], node.0.id());
    let at: SocketAddr = state["listen"].as_str().unwrap().parse().unwrap();
    let (mut idle, mut busy) = (Client::connect(at), Client::connect(at));
    for (id, client) in [("i", &mut idle), ("b", &mut busy)] {
        assert_eq!(client.round_trip(&get(id)).expect("an answer").status(), 200);
    }
    let servers = socket.op("servers");
    let server = &servers["servers"][0];
    assert_eq!(
        (&server["uid"], &server["zone"], &server["ejected"]),
        (&json!("s-0"), &json!("a"), &json!(false))
    );
    assert_eq!(socket.op("drain")["phase"], "draining");
    let answer = busy.round_trip(&get("b2")).expect("one that comes all the same is served");
    assert_eq!((answer.status(), answer.value("connection")), (200, Some("close")));
    assert!(idle.read().is_none(), "an idle connection is closed");
    wait_until("it has drained", || socket.op("state")["drained"] == json!(true));
    assert_eq!(Client::connect(at).round_trip(READY).expect("an answer").status(), 503);
    assert_eq!(
        Client::connect(at).round_trip(&get("late")).expect("an answer").status(),
        200,
        "nobody is turned away"
    );
    assert_eq!(socket.op("drain")["phase"], "draining", "twice is once");
    let state = socket.op("undrain");
    assert_eq!((&state["phase"], &state["drained"]), (&json!("serving"), &json!(false)));
    let mut kept = Client::connect(at);
    for id in ["k1", "k2"] {
        assert_eq!(kept.round_trip(&get(id)).expect("kept again").status(), 200);
    }
    assert_eq!(kept.round_trip(READY).expect("an answer").status(), 200);
    drop(kept);
    socket.op("drain");
    let ended = Command::new("kill").args(["-TERM", &node.0.id().to_string()]).status().unwrap();
    assert!(ended.success());
    assert_eq!(node.0.wait().unwrap().code(), Some(0));
    assert!(!path.exists(), "its socket goes with it");
}

#[test]
fn misbehaving_clients_of_the_control_socket_do_not_affect_others() {
    let folder = tempfile::tempdir().unwrap();
    let (file, path) = (folder.path().join("fleet.toml"), folder.path().join("a-1.sock"));
    std::fs::write(&file, fleet("127.0.0.1:1")).unwrap();
    // What a node that was killed left there.
    drop(std::os::unix::net::UnixListener::bind(&path).unwrap());
    let _node = start(&file, &path);
    wait_until("it listens", || UnixStream::connect(&path).is_ok());
    let mut socket = Socket::to(&path);
    for line in ["garbage", "{}", "{\"op\":\"explode\"}", "{\"op\":\"drain\",\"hard\":true}", "\u{e9}"] {
        assert!(socket.ask(line)["error"].is_string(), "{line}");
    }
    assert_eq!(socket.op("state")["phase"], "serving", "none of it did anything");
    // Those that say nothing take seats, and not ours.
    let silent: Vec<UnixStream> = (0..7).map(|_| UnixStream::connect(&path).unwrap()).collect();
    assert_eq!(socket.op("state")["phase"], "serving");
    drop(silent);
    let mut endless = UnixStream::connect(&path).unwrap();
    endless.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let _ = endless.write_all(&[b'x'; 5000]);
    let mut rest = Vec::new();
    let _ = endless.read_to_end(&mut rest);
    assert!(rest.is_empty(), "a line without an end is no line");
    let mut second = start(&file, &path);
    assert!(!second.0.wait().unwrap().success(), "one socket, one node");
    assert_eq!(socket.op("state")["phase"], "serving");
}
