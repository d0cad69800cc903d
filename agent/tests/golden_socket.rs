//! Golden tests of the agent's wire format: the lines on its socket and on the nodes' sockets, and the files in its state folder.
//! The agent runs in the test process, with a shell script as its program and fake servers on the nodes' sockets.

#[path = "../../cli/tests/golden/mod.rs"]
mod golden;

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use golden::assert_golden;
use ivyhatch_agent::{AgentOptions, AgentStatus, AuditRecord, DesiredState, Outcome, Phase};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::sync::oneshot;

/// Timeout of each wait; only reached by a failing test.
const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Fields whose values differ from run to run; they are masked in the golden files.
const VARIABLE_FIELDS: [&str; 4] = ["pid", "since_ms", "at_unix_ms", "began"];

/// The agent's program: prints its arguments and keeps running.
const PROGRAM: &str = "#!/bin/sh\necho \"$1 $2 $3 $4 $6\"\nexec sleep 600\n";

const FILE: &str = r#"
version = 1
[fleet]
name = "golden"
zones = ["a", "b"]
discovery = "127.0.0.1:1"
[agent]
state = "STATE"
ready_ms = 60000
silent_ms = 3000
[[class]]
name = "find"
effect = "repeatable"
aim_ms = 800
deadline_ms = 3000
[[instance]]
name = "a-1"
zone = "a"
labels = { tier = "front", wave = "1" }
[[instance]]
name = "b-1"
zone = "b"
enabled = false
"#;

/// Polls until a condition holds; panics with `what` after [`TIMEOUT`].
fn wait_until(what: &str, mut is_done: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !is_done() {
        assert!(Instant::now() < end, "timed out: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// An agent that runs on a thread of the test process.
struct RunningAgent {
    folder: TempDir,
    /// Request lines that the agent has sent to the fake node of `a-1`.
    node_lines: Arc<Mutex<BTreeSet<String>>>,
    /// Stops the agent, and joins its thread.
    running: Option<(oneshot::Sender<()>, JoinHandle<()>)>,
}

impl RunningAgent {
    /// Starts an agent with two instances: `a-1` has a fake node that answers, `b-1` is not enabled.
    fn start() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let program = folder.path().join("program");
        std::fs::write(&program, PROGRAM).expect("written");
        std::fs::set_permissions(&program, std::fs::Permissions::from_mode(0o755)).expect("permitted");
        let mut agent = Self { folder, node_lines: Arc::default(), running: None };
        let file = agent.folder.path().join("fleet.toml");
        let state = agent.state();
        std::fs::write(&file, FILE.replace("STATE", state.to_str().expect("text"))).expect("written");
        std::fs::create_dir_all(state.join("run")).expect("a folder");
        let read = ivyhatch_config::load(&file, std::iter::empty()).expect("a valid file");
        let options = AgentOptions { config: read.config, file, program, socket: agent.socket() };
        agent.answer_as_node("a-1");
        let (stop, stopped) = oneshot::channel();
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.expect("a runtime").block_on(async {
                tokio::select! {
                    ended = ivyhatch_agent::run(options) => ended.expect("the agent runs until dropped"),
                    _ = stopped => {}
                }
            });
        });
        agent.running = Some((stop, thread));
        wait_until("the agent listens", || UnixStream::connect(agent.socket()).is_ok());
        agent
    }

    fn state(&self) -> PathBuf {
        self.folder.path().join("state")
    }

    fn socket(&self) -> PathBuf {
        self.state().join("agent.sock")
    }

    /// The process record that the agent has written for an instance; `None` if there is none.
    fn process_record(&self, instance: &str) -> Option<Value> {
        let text = std::fs::read_to_string(self.state().join("run").join(format!("{instance}.json"))).ok()?;
        serde_json::from_str(&text).ok()
    }

    /// Starts a fake node on an instance's socket, which answers as the instance's process would.
    fn answer_as_node(&self, instance: &'static str) {
        let socket = self.state().join("run").join(format!("{instance}.sock"));
        let listener = UnixListener::bind(socket).expect("a socket");
        let record = self.state().join("run").join(format!("{instance}.json"));
        let lines = self.node_lines.clone();
        let is_draining = Arc::new(Mutex::new(false));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, lines, is_draining) = (record.clone(), lines.clone(), is_draining.clone());
                thread::spawn(move || answer_node_lines(stream, instance, &record, &lines, &is_draining));
            }
        });
    }

    /// Sends a request line to the agent, and returns the response line.
    fn ask(&self, line: &str) -> String {
        let mut stream = UnixStream::connect(self.socket()).expect("the agent listens");
        stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
        stream.write_all(format!("{line}\n").as_bytes()).expect("the request is written");
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer).expect("an answer");
        answer.trim_end_matches('\n').to_owned()
    }

    /// Waits until the agent's status shows an instance in `phase`, with `phase_of_node` as the phase that the node has reported.
    fn wait_for_phase(&self, instance: &str, phase_of_node: &str, phase: &str) {
        wait_until(&format!("{instance} is {phase}"), || {
            let line = self.ask(&json!({"op": "status", "instance": instance}).to_string());
            let status: Value = serde_json::from_str(&line).expect("JSON");
            let shown = &status["instances"][0];
            let is_drained = json!(phase == "draining");
            shown["phase"] == phase
                && shown["drained"] == is_drained
                && shown["said"][0]["phase"] == phase_of_node
        });
    }

    /// Waits until `a-1` serves.
    fn wait_until_ready(&self) {
        self.wait_for_phase("a-1", "serving", "ready");
    }

    /// Waits until `a-1` is drained.
    fn wait_until_drained(&self) {
        self.wait_for_phase("a-1", "draining", "draining");
    }

    /// Files in the state folder.
    fn files(&self) -> BTreeSet<String> {
        let mut files = BTreeSet::new();
        for folder in ["", "run", "log"] {
            for entry in std::fs::read_dir(self.state().join(folder)).expect("a folder").flatten() {
                let path = entry.path();
                let name = path.strip_prefix(self.state()).expect("below the folder");
                if !path.is_dir() {
                    files.insert(name.display().to_string());
                }
            }
        }
        files
    }
}

impl Drop for RunningAgent {
    fn drop(&mut self) {
        if let Some((stop, thread)) = self.running.take() {
            let _ = stop.send(());
            let _ = thread.join();
        }
        // The process of `a-1` outlives the agent.
        let pid = self.process_record("a-1").and_then(|record| record["pid"].as_i64());
        if let Some(pid) = pid {
            let _ = std::process::Command::new("kill").args(["-KILL", &pid.to_string()]).status();
        }
    }
}

fn answer_node_lines(
    stream: UnixStream,
    name: &str,
    record: &Path,
    lines: &Mutex<BTreeSet<String>>,
    is_draining: &Mutex<bool>,
) {
    let mut writer = stream.try_clone().expect("a socket");
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        let request: Value = serde_json::from_str(&line).expect("JSON");
        lines.lock().expect("no test has failed").insert(line);
        let mut is_draining = is_draining.lock().expect("no test has failed");
        match request["op"].as_str() {
            Some("drain") => *is_draining = true,
            Some("undrain") => *is_draining = false,
            _ => {}
        }
        let record: Option<Value> =
            std::fs::read_to_string(record).ok().and_then(|text| serde_json::from_str(&text).ok());
        let pid = record.map_or(Value::Null, |record| record["pid"].clone());
        let phase = if *is_draining { "draining" } else { "serving" };
        let state = json!({"name": name, "pid": pid, "phase": phase, "drained": *is_draining});
        if writer.write_all(format!("{state}\n").as_bytes()).is_err() {
            return;
        }
    }
}

/// Replaces by 0 each value that differs from run to run, and the age of the state that a node has reported.
fn mask(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields.iter_mut() {
                if VARIABLE_FIELDS.contains(&name.as_str()) && field.is_number() {
                    *field = json!(0);
                } else if name == "said" && field.is_array() {
                    field[1] = json!(0);
                }
                mask(field);
            }
        }
        Value::Array(items) => items.iter_mut().for_each(mask),
        _ => {}
    }
}

/// A line with its variable values masked. The order of its fields is kept.
fn masked(line: &str) -> String {
    let mut value: Value = serde_json::from_str(line).expect("JSON");
    assert_eq!(value.to_string(), line, "the line is formatted as serde_json formats it");
    mask(&mut value);
    value.to_string()
}

/// A transcript of requests and responses, one line each.
struct Transcript<'a> {
    agent: &'a RunningAgent,
    text: String,
}

impl Transcript<'_> {
    fn ask(&mut self, line: &str) {
        let answer = self.agent.ask(line);
        self.text += &format!("> {line}\n< {}\n", masked(&answer));
    }
}

#[test]
fn agent_answers_each_request() {
    let agent = RunningAgent::start();
    agent.wait_until_ready();
    let mut transcript = Transcript { agent: &agent, text: String::new() };
    transcript.ask(r#"{"op":"status"}"#);
    transcript.ask(r#"{"op":"status","instance":"b-1"}"#);
    transcript.ask(r#"{"op":"status","instance":"nobody"}"#);
    let drain = r#"{"op":"apply","id":"c-1","by":"ops-1","against":0,"changes":[{"instance":"a-1","wanted":"drained"}]}"#;
    transcript.ask(drain);
    transcript.ask(drain);
    agent.wait_until_drained();
    transcript.ask(r#"{"op":"status","instance":"a-1"}"#);
    for line in [
        r#"{"op":"apply","id":"c-1","by":"ops-2","against":1,"changes":[]}"#,
        r#"{"op":"apply","id":"c-2","by":"ops-2","against":0,"changes":[{"instance":"a-1","wanted":"stopped"}]}"#,
        r#"{"op":"apply","id":"c-3","by":"ops-2","against":9,"changes":[{"instance":"b-1","wanted":"running"}]}"#,
        r#"{"op":"apply","id":"c-4","by":"ops-2","against":1,"changes":[{"instance":"nobody","wanted":"running"}]}"#,
        r#"{"op":"apply","id":"c-5","by":"ops-2","against":1,"changes":[{"instance":"a-1","wanted":"running"}]}"#,
    ] {
        transcript.ask(line);
    }
    agent.wait_until_ready();
    transcript.ask(r#"{"op":"status","instance":"a-1"}"#);
    transcript.ask(r#"{"op":"audit","from":0}"#);
    transcript.ask(r#"{"op":"audit","from":3}"#);
    transcript.ask(r#"{"op":"logs","instance":"a-1","lines":10}"#);
    transcript.ask(r#"{"op":"logs","instance":"b-1","lines":10}"#);
    transcript.ask(r#"{"op":"logs","instance":"nobody","lines":10}"#);
    transcript.ask(r#"{"op":"restart","instance":"nobody","by":"ops-1"}"#);
    transcript.ask(r#"{"op":"restart","instance":"a-1","by":"ops-1"}"#);
    for line in [
        "nothing",
        "{",
        "{}",
        r#"{"op":"nothing"}"#,
        r#"{"op":"logs","instance":"a-1"}"#,
        r#"{"op":"status","unknown":1}"#,
        r#"{"op":"apply","id":"c-9","by":"ops-1","against":0,"changes":[{"instance":"a-1","wanted":"x"}]}"#,
        r#"{"op":"apply","id":"c-9","by":"ops-1","against":-1,"changes":[]}"#,
    ] {
        transcript.ask(line);
    }
    assert_golden("agent_socket.txt", &transcript.text);
    assert_responses_are_decoded(&transcript.text);
}

#[test]
fn agent_asks_its_nodes_and_keeps_its_files() {
    let agent = RunningAgent::start();
    agent.wait_until_ready();
    agent.ask(r#"{"op":"apply","id":"c-1","by":"ops","against":0,"changes":[{"instance":"a-1","wanted":"drained"}]}"#);
    agent.wait_until_drained();
    agent.ask(r#"{"op":"apply","id":"c-2","by":"ops","against":1,"changes":[{"instance":"a-1","wanted":"running"}]}"#);
    agent.wait_until_ready();
    let record = std::fs::read_to_string(agent.state().join("run/a-1.json")).expect("a file");
    let lines = agent.node_lines.lock().expect("no test has failed").clone();
    let text = format!(
        "## lines to a node\n{}\n## files\n{}\n## run/a-1.json\n{}\n",
        lines.iter().map(|line| format!("{line}\n")).collect::<String>(),
        agent.files().iter().map(|file| format!("{file}\n")).collect::<String>(),
        masked(&record),
    );
    assert_golden("agent_state.txt", &text);
}

/// Asserts that the response types of clients decode each response, and encode it to the same JSON.
fn assert_responses_are_decoded(transcript: &str) {
    let mut lines = transcript.lines();
    let mut decoded = BTreeSet::new();
    while let (Some(request), Some(response)) = (lines.next(), lines.next()) {
        let request: Option<Value> = serde_json::from_str(request.trim_start_matches("> ")).ok();
        let response = response.trim_start_matches("< ");
        let response: Value = serde_json::from_str(response).expect("JSON");
        let Some(operation) = request.as_ref().and_then(|request| request["op"].as_str()) else { continue };
        if !response["error"].is_null() {
            continue;
        }
        let encoded = match operation {
            "status" => json!(serde_json::from_value::<AgentStatus>(response.clone()).expect("a status")),
            "apply" => json!(serde_json::from_value::<Outcome>(response.clone()).expect("an outcome")),
            "audit" => {
                let lines: Vec<AuditRecord> =
                    serde_json::from_value(response["audit"].clone()).expect("lines of the audit");
                json!({ "audit": lines })
            }
            _ => continue,
        };
        assert_eq!(encoded.to_string(), response.to_string());
        decoded.insert(operation.to_owned());
    }
    assert_eq!(decoded.into_iter().collect::<Vec<_>>(), ["apply", "audit", "status"]);
}

/// Guards the JSON words of desired states and phases, which are in stored data and on the agent's socket.
#[test]
fn words_for_states_stay() {
    let wanted = [DesiredState::Running, DesiredState::Drained, DesiredState::Stopped];
    let phases = [
        Phase::Stopped,
        Phase::Starting,
        Phase::Ready,
        Phase::Draining,
        Phase::Stopping,
        Phase::BackingOff,
        Phase::Crashed,
        Phase::Unresponsive,
    ];
    for word in wanted {
        assert_eq!(serde_json::from_value::<DesiredState>(json!(word)).expect("the JSON is decoded"), word);
    }
    for word in phases {
        assert_eq!(serde_json::from_value::<Phase>(json!(word)).expect("the JSON is decoded"), word);
    }
    assert_golden("words.txt", &format!("wanted {}\nphase {}\n", json!(wanted), json!(phases)));
}
