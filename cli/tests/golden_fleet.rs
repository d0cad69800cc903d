//! Compares the commands that call agents with golden files: their output, exit codes and requests. A scripted agent takes the place of
//! a real one, so that the tests can produce each response of an agent.

mod golden;

use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;

use golden::assert_golden;
use serde_json::{Value, json};

/// File name of the agent's socket in the folder in which a command runs.
const SOCKET: &str = "agent.sock";
/// Response of an agent that has carried out a command other than a restart.
const DONE_RESPONSE: &str = r#"{"done":{"revision":5}}"#;
/// Response of an agent that has begun a restart, with the number of starts and the process id before it.
const RESTARTED_RESPONSE: &str = r#"{"done":{"starts":1,"pid":100}}"#;

/// An instance with a running process in an agent's status response; the zone is the part of `name` before the hyphen.
fn instance(name: &str, phase: &str, wanted: &str) -> Value {
    let zone = name.split('-').next().expect("the name begins with the zone");
    let node_state = json!({"name": name, "pid": 100, "phase": "serving", "open": 3,
        "answers": {"served": 10, "refused": 1, "failed": 2}});
    json!({"name": name, "zone": zone, "labels": {"tier": "front"}, "wanted": wanted, "phase": phase,
        "reason": format!("reason of {phase}"), "since_ms": 61_234, "drained": false, "pid": 100, "starts": 2,
        "said": [node_state, 12]})
}

/// The instance with another value in one field.
fn with_field(mut instance: Value, field: &str, value: Value) -> Value {
    instance[field] = value;
    instance
}

/// Instances in each phase; `draining` occurs twice, once with `drained` set.
fn instances_in_all_phases() -> Vec<Value> {
    let without_process =
        |instance: Value| with_field(with_field(instance, "pid", Value::Null), "said", Value::Null);
    vec![
        without_process(instance("a-1", "stopped", "stopped")),
        instance("a-2", "starting", "running"),
        instance("a-3", "ready", "running"),
        instance("b-1", "draining", "drained"),
        with_field(instance("b-2", "draining", "drained"), "drained", json!(true)),
        instance("b-3", "stopping", "stopped"),
        without_process(instance("c-1", "backing_off", "running")),
        without_process(instance("c-2", "crashed", "running")),
        instance("c-3", "unresponsive", "running"),
    ]
}

/// The responses of a scripted agent.
#[derive(Clone)]
struct AgentScript {
    /// Instances in status responses until the first command; if there are none, each request gets [`Self::command_response`].
    instances_before: Vec<Value>,
    /// Instances in status responses after the first command.
    instances_after: Vec<Value>,
    /// Response line to a command; if empty, the agent closes the connection instead.
    command_response: String,
}

impl AgentScript {
    fn new(instances_before: Vec<Value>, command_response: &str, instances_after: Vec<Value>) -> Self {
        Self { instances_before, instances_after, command_response: command_response.to_owned() }
    }

    /// An agent with these instances that expects no command; it closes the connection on one.
    fn with_instances(instances: Vec<Value>) -> Self {
        Self::new(instances.clone(), "", instances)
    }

    /// An agent with one ready instance, `a-1`. It responds to a command with this line, and from then on `instance_after` takes the place
    /// of that instance.
    fn with_command_response(command_response: &str, instance_after: Value) -> Self {
        Self::new(vec![instance("a-1", "ready", "running")], command_response, vec![instance_after])
    }

    /// An agent that responds to every request with this line.
    fn always_responding(line: &str) -> Self {
        Self::new(Vec::new(), line, Vec::new())
    }

    /// Returns the response line to a request. `has_received_command` becomes true with the first command.
    fn response(&self, request: &Value, has_received_command: &mut bool) -> String {
        match request["op"].as_str() {
            _ if self.instances_before.is_empty() => self.command_response.clone(),
            Some("status") => {
                let all = if *has_received_command { &self.instances_after } else { &self.instances_before };
                let is_requested = |candidate: &&Value| {
                    request["instance"].is_null() || request["instance"] == candidate["name"]
                };
                let instances: Vec<&Value> = all.iter().filter(is_requested).collect();
                json!({"fleet": "golden", "pid": 99, "revision": 4, "instances": instances}).to_string()
            }
            Some("logs") => json!({"lines": ["first", "second"]}).to_string(),
            _ => {
                *has_received_command = true;
                self.command_response.clone()
            }
        }
    }

    /// Serves connections on a socket in the background; returns the list to which each received request line is appended.
    fn serve(self, socket: &Path) -> Arc<Mutex<Vec<String>>> {
        let listener = UnixListener::bind(socket).expect("the agent socket can be bound");
        let requests: Arc<Mutex<Vec<String>>> = Arc::default();
        let (received, has_received_command) = (requests.clone(), Arc::new(Mutex::new(false)));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (script, received, has_received_command) =
                    (self.clone(), received.clone(), has_received_command.clone());
                thread::spawn(move || script.serve_connection(stream, &received, &has_received_command));
            }
        });
        requests
    }

    fn serve_connection(
        &self,
        stream: UnixStream,
        requests: &Mutex<Vec<String>>,
        has_received_command: &Mutex<bool>,
    ) {
        let mut writer = stream.try_clone().expect("the connection can be duplicated");
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            let request = serde_json::from_str(&line).expect("the request is JSON");
            requests.lock().expect("no thread panicked with the lock held").push(line);
            let response = self.response(
                &request,
                &mut has_received_command.lock().expect("no thread panicked with the lock held"),
            );
            // An empty response means that the agent closes the connection.
            if response.is_empty() || writer.write_all(format!("{response}\n").as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Command lines, each with its exit code, its output and the requests that it sent.
#[derive(Default)]
struct Transcript(String);

impl Transcript {
    /// Runs a command and adds it. `script` is the agent on the command's socket; with `None` there is no such socket.
    fn run(&mut self, arguments: &str, script: Option<AgentScript>) {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let requests = script.map(|script| script.serve(&folder.path().join(SOCKET))).unwrap_or_default();
        let mut command = Command::new(env!("CARGO_BIN_EXE_ivyhatch"));
        command.args(arguments.split_whitespace()).args(["--agent", SOCKET]);
        let output = command.env_clear().current_dir(folder.path()).stdin(Stdio::null()).output();
        let output = output.expect("the ivyhatch program can be run");
        // Commands that wait poll the agent, and the number of polls depends on the machine's speed: keeps one of equal requests in a row.
        let mut requests = requests.lock().expect("no thread panicked with the lock held").clone();
        requests.dedup();
        self.0 += &format!(
            "# ivyhatch {arguments}\nexit code {}\n",
            output.status.code().expect("the program ends with an exit code")
        );
        self.0 += &format!(
            "## standard output\n{}",
            String::from_utf8(output.stdout).expect("standard output is UTF-8")
        );
        self.0 += &format!(
            "## standard error\n{}",
            String::from_utf8(output.stderr).expect("standard error is UTF-8")
        );
        self.0 += &format!(
            "## requests\n{}\n",
            requests.iter().map(|line| format!("{line}\n")).collect::<String>()
        );
    }
}

#[test]
fn status_top_and_logs_print_instances() {
    let mut transcript = Transcript::default();
    let script = || Some(AgentScript::with_instances(instances_in_all_phases()));
    transcript.run("status", script());
    transcript.run("status --json", script());
    transcript.run("status zone=b,*-1 tier=none a-3", script());
    transcript.run("status nobody-*", script());
    transcript.run("top --times 1", script());
    transcript.run("logs a-1 b-1 --lines 2", script());
    transcript.run("logs a-1 --json", script());
    assert_golden("fleet/shown.txt", &transcript.0);
}

#[test]
fn completed_commands_report_done() {
    let mut transcript = Transcript::default();
    let ready = || instance("a-1", "ready", "running");
    let drained = || with_field(instance("a-1", "draining", "drained"), "drained", json!(true));
    let stopped = || instance("a-1", "stopped", "stopped");
    for (arguments, before, command_response, after) in [
        ("drain a-1", ready(), DONE_RESPONSE, drained()),
        ("drain a-1 --json", ready(), DONE_RESPONSE, drained()),
        ("undrain a-1", drained(), DONE_RESPONSE, ready()),
        ("stop a-1", ready(), DONE_RESPONSE, stopped()),
        ("start a-1", stopped(), DONE_RESPONSE, ready()),
        ("restart a-1", ready(), RESTARTED_RESPONSE, with_field(ready(), "pid", json!(101))),
        ("rollout a-1 --watch 0.1", ready(), RESTARTED_RESPONSE, with_field(ready(), "pid", json!(101))),
        ("rollout a-1 --watch 0.1 --json", stopped(), RESTARTED_RESPONSE, stopped()),
    ] {
        let script = AgentScript::new(vec![before], command_response, vec![after]);
        transcript.run(&format!("{arguments} --yes --id c-1 --by ops-1"), Some(script));
    }
    assert_golden("fleet/done.txt", &transcript.0);
}

#[test]
fn incomplete_commands_report_the_reason() {
    let mut transcript = Transcript::default();
    let ready = || instance("a-1", "ready", "running");
    let conflict = r#"{"refused":{"conflict":{"instance":"a-1","other":{"wanted":"stopped","revision":4,"command":"c-0","by":"ops-2"}}}}"#;
    let scripts = [
        ("", AgentScript::with_command_response(conflict, ready())),
        ("", AgentScript::with_command_response(r#"{"refused":{"ahead":{"revision":2}}}"#, ready())),
        ("", AgentScript::with_command_response(r#"{"refused":{"id_taken":{"by":"ops-2"}}}"#, ready())),
        ("--json", AgentScript::with_command_response(r#"{"refused":{"id_taken":{"by":"ops-2"}}}"#, ready())),
        ("", AgentScript::with_command_response(DONE_RESPONSE, instance("a-1", "ready", "stopped"))),
        ("", AgentScript::with_command_response(r#"{"error":"there is no instance \"a-1\" here"}"#, ready())),
        ("", AgentScript::with_command_response(DONE_RESPONSE, instance("a-1", "crashed", "drained"))),
        (
            "--deadline 1",
            AgentScript::with_command_response(DONE_RESPONSE, instance("a-1", "ready", "drained")),
        ),
        (
            "--deadline 1 --json",
            AgentScript::with_command_response(DONE_RESPONSE, instance("a-1", "ready", "drained")),
        ),
        ("", AgentScript::with_command_response("", ready())),
        ("", AgentScript::with_command_response("nothing", ready())),
        ("", AgentScript::new(vec![ready()], DONE_RESPONSE, Vec::new())),
    ];
    for (options, script) in scripts {
        transcript.run(format!("drain a-1 --yes --id c-1 --by ops-1 {options}").trim_end(), Some(script));
    }
    let crashed =
        AgentScript::with_command_response(RESTARTED_RESPONSE, instance("a-1", "crashed", "running"));
    transcript.run("rollout a-1 --watch 0.1 --yes --by ops-1", Some(crashed));
    assert_golden("fleet/not_done.txt", &transcript.0);
}

#[test]
fn commands_that_remove_much_capacity_require_confirmation() {
    let mut transcript = Transcript::default();
    let script = || Some(AgentScript::with_instances(instances_in_all_phases()));
    for verb in ["start", "stop", "drain", "undrain", "restart", "rollout"] {
        transcript.run(&format!("{verb} all --dry-run"), script());
    }
    transcript.run("drain a-3", script());
    transcript.run("drain a-3 --json", script());
    transcript.run("drain nobody-*", script());
    assert_golden("fleet/dry_run.txt", &transcript.0);
}

#[test]
fn agents_without_a_valid_response_are_reported() {
    let mut transcript = Transcript::default();
    let commands =
        ["status", "status --json", "drain all --yes --by ops-1", "drain all --yes --json", "logs"];
    for command in commands {
        transcript.run(command, None);
    }
    for line in ["", "nothing", r#"{"x":1}"#, r#"{"error":"no disk"}"#] {
        transcript.run("status", Some(AgentScript::always_responding(line)));
        transcript.run("stop all --yes --by ops-1", Some(AgentScript::always_responding(line)));
    }
    transcript.run("rollout all --watch 0.1 --yes --by ops-1", None);
    assert_golden("fleet/no_answer.txt", &transcript.0);
}

#[test]
fn option_values_out_of_range_are_rejected() {
    let mut transcript = Transcript::default();
    for arguments in
        ["drain all --deadline 0", "top --every 0", "rollout all --watch 0", "rollout all --fall 2"]
    {
        transcript.run(arguments, None);
    }
    assert_golden("fleet/out_of_range.txt", &transcript.0);
}
