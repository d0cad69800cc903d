//! The lines on a node's control socket, held fixed by a golden file.

mod common;
mod golden;

use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::{Command, Stdio};

use common::{Ends, fleet, listed};
use golden::assert_golden;
use ivyhatch_socket_lab::scripted::{Backend, Discovery, Does, PATIENCE, ok, until};
use serde_json::{Value, json};

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
        stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
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

fn start(file: &Path, control: &Path) -> Ends {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ivyhatch"));
    command.args(["node", "--instance", "a-1", "--config"]).arg(file).arg("--control").arg(control);
    Ends(command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("it starts"))
}

#[test]
fn node_answers_each_line_on_its_control_socket() {
    let folder = tempfile::tempdir().expect("a folder");
    let (file, path) = (folder.path().join("fleet.toml"), folder.path().join("a-1.sock"));
    let backend = Backend::new(|_| Does::Writes(ok("served")));
    let discovery = Discovery::new(json!([listed("s-0", &backend, "a")]));
    std::fs::write(&file, fleet(&discovery.at.to_string())).expect("written");
    let _node = start(&file, &path);
    until("it listens", || UnixStream::connect(&path).is_ok());
    discovery.watched_from(1);
    let mut socket = Socket::to(&path);
    let servers = r#"{"op":"servers"}"#;
    until("its server is known", || !socket.ask_value(servers)["servers"][0].is_null());
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
