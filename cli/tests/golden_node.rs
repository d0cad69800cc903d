//! The lines on a node's control socket and its answers to clients, held fixed by golden files.

mod common;
mod golden;
mod system_common;

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::{Command, Stdio};

use common::{KillOnDrop, fleet, listed};
use golden::assert_golden;
use ivyhatch_socket_lab::scripted::{Backend, BackendReply, Discovery, TEST_TIMEOUT, ok, status, wait_until};
use serde_json::{Value, json};
use system_common::transcript::Transcript;

/// Fields whose values differ from run to run.
const VARIABLE_FIELDS: [&str; 9] = [
    "pid",
    "version",
    "listen",
    "endpoint",
    "up_ms",
    "utilisation",
    "oldest_report_ms",
    "report_age_ms",
    "slowness",
];

/// A connection to a node's control socket.
struct Socket(BufReader<UnixStream>);

impl Socket {
    fn to(path: &Path) -> Self {
        let stream = UnixStream::connect(path).expect("it listens");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout");
        Self(BufReader::new(stream))
    }

    /// Sends a line; returns the line in answer.
    fn ask(&mut self, line: &str) -> String {
        self.0.get_mut().write_all(format!("{line}\n").as_bytes()).expect("it is written");
        let mut answer = String::new();
        self.0.read_line(&mut answer).expect("an answer");
        answer.trim_end_matches('\n').to_owned()
    }

    fn ask_value(&mut self, line: &str) -> Value {
        serde_json::from_str(&self.ask(line)).expect("JSON")
    }
}

/// Writes null for each value that differs from run to run.
fn mask(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields.iter_mut() {
                if VARIABLE_FIELDS.contains(&name.as_str()) {
                    *field = Value::Null;
                }
                mask(field);
            }
        }
        Value::Array(items) => items.iter_mut().for_each(mask),
        _ => {}
    }
}

fn start(file: &Path, control: &Path) -> KillOnDrop {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ivyhatch"));
    command.args(["node", "--instance", "a-1", "--config"]).arg(file).arg("--control").arg(control);
    KillOnDrop(command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("it starts"))
}

#[test]
fn node_answers_each_line_on_its_control_socket() {
    let folder = tempfile::tempdir().expect("a folder");
    let (file, path) = (folder.path().join("fleet.toml"), folder.path().join("a-1.sock"));
    let backend = Backend::new(|_| BackendReply::Write(ok("served")));
    let discovery = Discovery::new(json!([listed("s-0", &backend, "a")]));
    std::fs::write(&file, fleet(&discovery.address.to_string())).expect("written");
    let _node = start(&file, &path);
    wait_until("it listens", || UnixStream::connect(&path).is_ok());
    discovery.wait_for_watch_from(1);
    let mut socket = Socket::to(&path);
    let servers = r#"{"op":"servers"}"#;
    wait_until("its server is known", || !socket.ask_value(servers)["servers"][0].is_null());
    let state = r#"{"op":"state"}"#;
    let mut text = String::new();
    for line in [
        state,
        servers,
        r#"{"op":"drain"}"#,
        r#"{"op":"drain"}"#,
        r#"{"op":"undrain"}"#,
        state,
        "nothing",
        "{}",
        r#"{"op":"nothing"}"#,
        r#"{"op":"drain","unknown":true}"#,
    ] {
        let answer = socket.ask(line);
        let mut value: Value = serde_json::from_str(&answer).expect("JSON");
        assert_eq!(value.to_string(), answer, "it is written as this program writes JSON");
        mask(&mut value);
        text += &format!("> {line}\n< {value}\n");
    }
    assert_golden("node_socket.txt", &text);
}

/// Classes of each effect, and a tenant.
const CLASSES: &str = "[[class]]\nname = \"join\"\neffect = \"by_key\"\nkey_scope = \"zone\"\nwindow_ms = 5000\naim_ms = 800\n\
    deadline_ms = 3000\n[[class]]\nname = \"pay\"\neffect = \"once\"\naim_ms = 800\ndeadline_ms = 3000\n[[tenant]]\nname = \"acme\"\n\
    quota = 1000.0\n";

/// A request to a node; `more` are whole header lines, a body, or nothing.
fn node_request(method: &str, path: &str, id: &str, class: &str, more: &str) -> Vec<u8> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\nX-Caller: acme\r\n"
    );
    format!("{head}X-Budget-Ms: 2000\r\n{more}\r\n").into_bytes()
}

/// A request of a tenant, or of none.
fn request_of(tenant: Option<&str>) -> Vec<u8> {
    let tenant = tenant.map(|tenant| format!("X-Caller: {tenant}\r\n")).unwrap_or_default();
    let head = "GET /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: r5\r\nX-Call-Class: find\r\nX-Budget-Ms: 2000\r\n";
    format!("{head}{tenant}\r\n").into_bytes()
}

/// Starts a node with one server; returns it with where clients call it, once it knows the server.
fn start_with_server(folder: &Path, backend: &Backend, discovery: &Discovery) -> (KillOnDrop, SocketAddr) {
    let (file, path) = (folder.join("fleet.toml"), folder.join("a-1.sock"));
    std::fs::write(&file, format!("{}{CLASSES}", fleet(&discovery.address.to_string()))).expect("written");
    let node = start(&file, &path);
    wait_until("it listens", || UnixStream::connect(&path).is_ok());
    discovery.wait_for_watch_from(1);
    let mut socket = Socket::to(&path);
    wait_until("its server is known", || {
        socket.ask_value(r#"{"op":"servers"}"#)["servers"][0]["endpoint"]
            == json!(backend.address.to_string())
    });
    let listen = socket.ask_value(r#"{"op":"state"}"#)["listen"].as_str().expect("an address").parse();
    (node, listen.expect("an address"))
}

#[test]
fn node_answers_and_rejects_requests() {
    let folder = tempfile::tempdir().expect("a folder");
    let backend = Backend::new(|message| match message.value("x-call-class") {
        Some("pay") => BackendReply::Write(status(500, "")),
        _ => BackendReply::Write(ok("served")),
    });
    let discovery = Discovery::new(json!([listed("s-0", &backend, "a")]));
    let (_node, at) = start_with_server(folder.path(), &backend, &discovery);
    let mut transcript = Transcript::default();
    let find = |id: &str, more: &str| node_request("GET", "/api", id, "find", more);
    for (title, request) in [
        ("GET of the readiness", node_request("GET", "/health/ready", "r0", "find", "")),
        ("POST to the readiness", node_request("POST", "/health/ready", "r0", "find", "")),
        ("unknown path", node_request("GET", "/nowhere", "r0", "find", "")),
        ("request that is served", find("r1", "")),
        ("request with a cost that comes again", find("r2", "X-Call-Cost: 100\r\nX-Again: 1\r\n")),
        (
            "request with a key",
            node_request("POST", "/api", "r3", "join", "Idempotency-Key: k\r\nContent-Length: 0\r\n"),
        ),
        ("request whose server fails", node_request("POST", "/api", "r4", "pay", "Content-Length: 0\r\n")),
        (
            "no id",
            b"GET /api HTTP/1.1\r\nHost: h\r\nX-Call-Class: find\r\nX-Caller: acme\r\nX-Budget-Ms: 2000\r\n\r\n".to_vec(),
        ),
        ("an id that is empty", find("", "")),
        ("no class", b"GET /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: r5\r\nX-Budget-Ms: 2000\r\n\r\n".to_vec()),
        ("an unknown class", node_request("GET", "/api", "r5", "nothing", "")),
        (
            "no budget",
            b"GET /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: r5\r\nX-Call-Class: find\r\nX-Caller: acme\r\n\r\n".to_vec(),
        ),
        ("two budgets", find("r5", "X-Budget-Ms: 1\r\n")),
        ("two tenants", find("r5", "X-Caller: acme\r\n")),
("an unknown tenant", request_of(Some("nobody"))),
("no tenant", request_of(None)),
        ("a cost that is no number", find("r5", "X-Call-Cost: much\r\n")),
        ("the wrong method", node_request("POST", "/api", "r5", "find", "Content-Length: 0\r\n")),
        ("no key", node_request("POST", "/api", "r5", "join", "Content-Length: 0\r\n")),
        ("a key that does not belong", find("r5", "Idempotency-Key: k\r\n")),
        ("a body that does not belong", find("r5", "Content-Length: 1\r\n\r\nx")),
        ("two lengths", find("r5", "Content-Length: 1\r\nContent-Length: 1\r\n")),
        ("a body in chunks", find("r5", "Transfer-Encoding: chunked\r\n\r\n0\r\n")),
        ("a body that is too large", find("r5", "Content-Length: 99999999\r\n")),
        ("a body that does not arrive", find("r5", "Content-Length: 1\r\n")),
        ("a head that is too long", find("r5", &format!("X: {}\r\n", "x".repeat(200_000)))),
        ("what is no HTTP", b"\x00\x01\x02\r\n\r\n".to_vec()),
    ] {
        transcript.send_request(title, at, &request);
    }
    assert_golden("node_http.txt", transcript.text());
}

#[test]
fn node_without_a_server_asks_clients_to_retry_later() {
    let folder = tempfile::tempdir().expect("a folder");
    let (file, path) = (folder.path().join("fleet.toml"), folder.path().join("a-1.sock"));
    let discovery = Discovery::new(json!([]));
    std::fs::write(&file, format!("{}{CLASSES}", fleet(&discovery.address.to_string()))).expect("written");
    let _node = start(&file, &path);
    wait_until("it listens", || UnixStream::connect(&path).is_ok());
    discovery.wait_for_watch_from(1);
    let mut socket = Socket::to(&path);
    let listen = socket.ask_value(r#"{"op":"state"}"#)["listen"].as_str().expect("an address").parse();
    let at: SocketAddr = listen.expect("an address");
    let mut transcript = Transcript::default();
    transcript.send_request("request without a server", at, &node_request("GET", "/api", "r1", "find", ""));
    socket.ask(r#"{"op":"drain"}"#);
    transcript.send_request(
        "request to a node that drains",
        at,
        &node_request("GET", "/api", "r2", "find", ""),
    );
    let readiness = node_request("GET", "/health/ready", "r0", "find", "");
    transcript.send_request("GET of the readiness of a node that drains", at, &readiness);
    assert_golden("node_without_servers.txt", transcript.text());
}
