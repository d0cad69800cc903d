//! Compares a node's responses on its control socket and its HTTP responses to clients with golden files.

mod common;
mod golden;
mod system_common;

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::{Command, Stdio};

use common::{KillOnDrop, server_entry, single_instance_config};
use golden::assert_golden;
use ivyhatch_socket_lab::scripted::{Backend, BackendReply, Discovery, TEST_TIMEOUT, ok, status, wait_until};
use serde_json::{Value, json};
use system_common::transcript::Transcript;

/// Fields of control socket responses whose values differ between runs.
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
struct ControlSocket(BufReader<UnixStream>);

impl ControlSocket {
    fn connect(path: &Path) -> Self {
        let stream = UnixStream::connect(path).expect("the node listens on its control socket");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the read timeout can be set");
        Self(BufReader::new(stream))
    }

    /// Sends a request line; returns the response line without its line feed.
    fn request(&mut self, line: &str) -> String {
        self.0.get_mut().write_all(format!("{line}\n").as_bytes()).expect("the node reads the request");
        let mut response = String::new();
        self.0.read_line(&mut response).expect("the node responds on its control socket");
        response.trim_end_matches('\n').to_owned()
    }

    /// Like [`Self::request`], with the response parsed as JSON.
    fn request_json(&mut self, line: &str) -> Value {
        serde_json::from_str(&self.request(line)).expect("the response is JSON")
    }
}

/// Replaces the values of [`VARIABLE_FIELDS`] with null, at each depth.
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

/// Starts the node `a-1` with its control socket at this path.
fn start_node(config_file: &Path, socket_path: &Path) -> KillOnDrop {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ivyhatch"));
    command
        .args(["node", "--instance", "a-1", "--config"])
        .arg(config_file)
        .arg("--control")
        .arg(socket_path);
    KillOnDrop(
        command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("the node process can be started"),
    )
}

#[test]
fn node_responds_to_each_line_on_its_control_socket() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let (config_file, socket_path) = (folder.path().join("fleet.toml"), folder.path().join("a-1.sock"));
    let backend = Backend::new(|_| BackendReply::Write(ok("served")));
    let discovery = Discovery::new(json!([server_entry("s-0", &backend, "a")]));
    std::fs::write(&config_file, single_instance_config(&discovery.address.to_string()))
        .expect("the configuration file can be written");
    let _node = start_node(&config_file, &socket_path);
    wait_until("the node listens on its control socket", || UnixStream::connect(&socket_path).is_ok());
    discovery.wait_for_watch_from(1);
    let mut socket = ControlSocket::connect(&socket_path);
    let servers = r#"{"op":"servers"}"#;
    wait_until("the node's server list contains the server", || {
        !socket.request_json(servers)["servers"][0].is_null()
    });
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
        let response = socket.request(line);
        let mut value: Value = serde_json::from_str(&response).expect("the response is JSON");
        assert_eq!(
            value.to_string(),
            response,
            "the response to {line} has the JSON formatting of serde_json"
        );
        mask(&mut value);
        text += &format!("> {line}\n< {value}\n");
    }
    assert_golden("node_socket.txt", &text);
}

/// Configuration sections that [`single_instance_config`] lacks: classes with the effects `by_key` and `once`, and a tenant.
const CLASSES: &str = "[[class]]\nname = \"join\"\neffect = \"by_key\"\nkey_scope = \"zone\"\nwindow_ms = 5000\naim_ms = 800\n\
    deadline_ms = 3000\n[[class]]\nname = \"pay\"\neffect = \"once\"\naim_ms = 800\ndeadline_ms = 3000\n[[tenant]]\nname = \"acme\"\n\
    quota = 1000.0\n";

/// A request of the tenant `acme` to a node. `headers_and_body` is empty, or has complete header lines, each ending in CRLF; a body follows
/// after an empty line.
fn node_request(method: &str, path: &str, id: &str, class: &str, headers_and_body: &str) -> Vec<u8> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\nX-Caller: acme\r\n"
    );
    format!("{head}X-Budget-Ms: 2000\r\n{headers_and_body}\r\n").into_bytes()
}

/// A request of this tenant, or without a tenant.
fn request_of_tenant(tenant: Option<&str>) -> Vec<u8> {
    let tenant = tenant.map(|tenant| format!("X-Caller: {tenant}\r\n")).unwrap_or_default();
    let head = "GET /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: r5\r\nX-Call-Class: find\r\nX-Budget-Ms: 2000\r\n";
    format!("{head}{tenant}\r\n").into_bytes()
}

/// Starts a node and waits until its server list contains the backend; returns its process and the address on which clients reach it.
fn start_with_server(folder: &Path, backend: &Backend, discovery: &Discovery) -> (KillOnDrop, SocketAddr) {
    let (config_file, socket_path) = (folder.join("fleet.toml"), folder.join("a-1.sock"));
    std::fs::write(
        &config_file,
        format!("{}{CLASSES}", single_instance_config(&discovery.address.to_string())),
    )
    .expect("the configuration file can be written");
    let node = start_node(&config_file, &socket_path);
    wait_until("the node listens on its control socket", || UnixStream::connect(&socket_path).is_ok());
    discovery.wait_for_watch_from(1);
    let mut socket = ControlSocket::connect(&socket_path);
    wait_until("the node's server list contains the server", || {
        socket.request_json(r#"{"op":"servers"}"#)["servers"][0]["endpoint"]
            == json!(backend.address.to_string())
    });
    let listen = socket.request_json(r#"{"op":"state"}"#)["listen"]
        .as_str()
        .expect("the state has the listen address")
        .parse();
    (node, listen.expect("the listen address can be parsed"))
}

#[test]
fn node_responses_to_valid_and_invalid_requests() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let backend = Backend::new(|message| match message.value("x-call-class") {
        Some("pay") => BackendReply::Write(status(500, "")),
        _ => BackendReply::Write(ok("served")),
    });
    let discovery = Discovery::new(json!([server_entry("s-0", &backend, "a")]));
    let (_node, address) = start_with_server(folder.path(), &backend, &discovery);
    let mut transcript = Transcript::default();
    let find_request =
        |id: &str, headers_and_body: &str| node_request("GET", "/api", id, "find", headers_and_body);
    for (title, request) in [
        ("GET of the readiness", node_request("GET", "/health/ready", "r0", "find", "")),
        ("POST to the readiness", node_request("POST", "/health/ready", "r0", "find", "")),
        ("unknown path", node_request("GET", "/nowhere", "r0", "find", "")),
        ("request that is served", find_request("r1", "")),
        ("request with a cost that comes again", find_request("r2", "X-Call-Cost: 100\r\nX-Again: 1\r\n")),
        (
            "request with a key",
            node_request("POST", "/api", "r3", "join", "Idempotency-Key: k\r\nContent-Length: 0\r\n"),
        ),
        ("request whose server fails", node_request("POST", "/api", "r4", "pay", "Content-Length: 0\r\n")),
        (
            "no id",
            b"GET /api HTTP/1.1\r\nHost: h\r\nX-Call-Class: find\r\nX-Caller: acme\r\nX-Budget-Ms: 2000\r\n\r\n".to_vec(),
        ),
        ("an id that is empty", find_request("", "")),
        ("no class", b"GET /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: r5\r\nX-Budget-Ms: 2000\r\n\r\n".to_vec()),
        ("an unknown class", node_request("GET", "/api", "r5", "nothing", "")),
        (
            "no budget",
            b"GET /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: r5\r\nX-Call-Class: find\r\nX-Caller: acme\r\n\r\n".to_vec(),
        ),
        ("two budgets", find_request("r5", "X-Budget-Ms: 1\r\n")),
        ("two tenants", find_request("r5", "X-Caller: acme\r\n")),
        ("an unknown tenant", request_of_tenant(Some("nobody"))),
        ("no tenant", request_of_tenant(None)),
        ("a cost that is no number", find_request("r5", "X-Call-Cost: much\r\n")),
        ("the wrong method", node_request("POST", "/api", "r5", "find", "Content-Length: 0\r\n")),
        ("no key", node_request("POST", "/api", "r5", "join", "Content-Length: 0\r\n")),
        ("a key that does not belong", find_request("r5", "Idempotency-Key: k\r\n")),
        ("a body that does not belong", find_request("r5", "Content-Length: 1\r\n\r\nx")),
        ("two lengths", find_request("r5", "Content-Length: 1\r\nContent-Length: 1\r\n")),
        ("a body in chunks", find_request("r5", "Transfer-Encoding: chunked\r\n\r\n0\r\n")),
        ("a body that is too large", find_request("r5", "Content-Length: 99999999\r\n")),
        ("a body that does not arrive", find_request("r5", "Content-Length: 1\r\n")),
        ("a head that is too long", find_request("r5", &format!("X: {}\r\n", "x".repeat(200_000)))),
        ("what is no HTTP", b"\x00\x01\x02\r\n\r\n".to_vec()),
    ] {
        transcript.send_request(title, address, &request);
    }
    assert_golden("node_http.txt", transcript.text());
}

#[test]
fn node_without_a_server_responds_503_with_retry_after() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let (config_file, socket_path) = (folder.path().join("fleet.toml"), folder.path().join("a-1.sock"));
    let discovery = Discovery::new(json!([]));
    std::fs::write(
        &config_file,
        format!("{}{CLASSES}", single_instance_config(&discovery.address.to_string())),
    )
    .expect("the configuration file can be written");
    let _node = start_node(&config_file, &socket_path);
    wait_until("the node listens on its control socket", || UnixStream::connect(&socket_path).is_ok());
    discovery.wait_for_watch_from(1);
    let mut socket = ControlSocket::connect(&socket_path);
    let listen = socket.request_json(r#"{"op":"state"}"#)["listen"]
        .as_str()
        .expect("the state has the listen address")
        .parse();
    let address: SocketAddr = listen.expect("the listen address can be parsed");
    let mut transcript = Transcript::default();
    transcript.send_request(
        "request without a server",
        address,
        &node_request("GET", "/api", "r1", "find", ""),
    );
    socket.request(r#"{"op":"drain"}"#);
    transcript.send_request(
        "request to a node that drains",
        address,
        &node_request("GET", "/api", "r2", "find", ""),
    );
    let readiness = node_request("GET", "/health/ready", "r0", "find", "");
    transcript.send_request("GET of the readiness of a node that drains", address, &readiness);
    assert_golden("node_without_servers.txt", transcript.text());
}
