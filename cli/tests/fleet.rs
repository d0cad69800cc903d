//! Agents with real node processes: instances that crash, hang or are killed are restarted, and each command has one result per
//! instance.

mod common;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixListener;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use common::server_entry;
use ivyhatch_socket_lab::scripted::{Backend, BackendReply, Client, Discovery, ok, status, wait_until};
use serde_json::{Value, json};

/// An agent and its node processes; dropping it kills all of them.
struct TestFleet {
    folder: tempfile::TempDir,
    /// `None` while the agent is killed and not started again.
    agent: Option<Child>,
}

impl TestFleet {
    /// A fleet without a reachable discovery service. `instances` has the name and the zone of each instance.
    fn new(instances: &[(&str, &str)]) -> Self {
        Self::with_discovery(instances, "127.0.0.1:1")
    }

    /// A fleet whose nodes get their server list from the discovery service at this address.
    fn with_discovery(instances: &[(&str, &str)], discovery: &str) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let mut text = format!(
            "version = 1\n[fleet]\nzones = [\"a\", \"b\"]\ndiscovery = {discovery:?}\n[agent]\nstate = {:?}\nsilent_ms = 1500\n\
             first_wait_ms = 20\ncrashes = 4\nready_ms = 15000\n[[class]]\nname = \"find\"\neffect = \"repeatable\"\naim_ms = 800\n\
             deadline_ms = 3000\n",
            folder.path().join("state")
        );
        for (name, zone) in instances {
            text += &format!(
                "[[instance]]\nname = \"{name}\"\nzone = \"{zone}\"\nlabels = {{ tier = \"front\" }}\n"
            );
        }
        std::fs::write(folder.path().join("fleet.toml"), text).unwrap();
        let mut fleet = Self { folder, agent: None };
        fleet.start_agent();
        fleet
    }

    fn config_file(&self) -> PathBuf {
        self.folder.path().join("fleet.toml")
    }

    fn agent_socket(&self) -> PathBuf {
        self.folder.path().join("state/agent.sock")
    }

    fn start_agent(&mut self) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ivyhatch"));
        command
            .args(["agent", "--config"])
            .arg(self.config_file())
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        self.agent = Some(command.spawn().unwrap());
    }

    fn kill_agent(&mut self) {
        let mut agent = self.agent.take().expect("the agent is running");
        agent.kill().unwrap();
        agent.wait().unwrap();
    }

    /// Runs a command with the fleet's configuration file.
    fn run(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ivyhatch"));
        command.args(arguments).arg("--config").arg(self.config_file()).stdin(Stdio::null()).output().unwrap()
    }

    /// The status line of each instance, by instance name.
    fn status(&self) -> BTreeMap<String, Value> {
        let output = self.run(&["status", "--json"]);
        lines(&output)
            .into_iter()
            .map(|line| (line["name"].as_str().unwrap_or("").to_owned(), line))
            .collect()
    }

    fn are_all_ready(&self) -> bool {
        let status = self.status();
        !status.is_empty() && status.values().all(|instance| instance["phase"] == "ready")
    }

    /// The process id of each instance, by instance name; 0 if it has no process.
    fn pids(&self) -> BTreeMap<String, i64> {
        self.status().into_iter().map(|(name, line)| (name, line["pid"].as_i64().unwrap_or(0))).collect()
    }
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        if let Some(mut agent) = self.agent.take() {
            let _ = agent.kill();
            let _ = agent.wait();
        }
        // The nodes outlive the agent; its run records contain their process ids.
        for entry in std::fs::read_dir(self.folder.path().join("state/run")).into_iter().flatten().flatten() {
            let text = std::fs::read_to_string(entry.path()).unwrap_or_default();
            if let Some(pid) =
                serde_json::from_str::<Value>(&text).ok().and_then(|record| record["pid"].as_i64())
            {
                signal("-KILL", pid);
            }
        }
    }
}

/// Sends a signal, such as `-KILL`; does nothing if there is no such process.
fn signal(signal_name: &str, pid: i64) {
    let _ = Command::new("kill").args([signal_name, &pid.to_string()]).stderr(Stdio::null()).status();
}

/// Parses each line of standard output as JSON.
fn lines(output: &Output) -> Vec<Value> {
    let text = String::from_utf8_lossy(&output.stdout);
    text.lines()
        .map(|line| {
            serde_json::from_str(line)
                .unwrap_or_else(|_| panic!("standard output has a line that is not JSON: {text}"))
        })
        .collect()
}

/// The instance and the result in each line of a command's JSON output.
fn results(output: &Output) -> Vec<(String, String)> {
    let text_field = |line: &Value, field: &str| line[field].as_str().unwrap_or("?").to_owned();
    lines(output).iter().map(|line| (text_field(line, "instance"), text_field(line, "result"))).collect()
}

/// The expected [`results`] if each of these instances has the same result.
fn expected_results(names: &[&str], result: &str) -> Vec<(String, String)> {
    names.iter().map(|name| ((*name).to_owned(), result.to_owned())).collect()
}

/// Name and zone of four instances, two in each zone.
const FOUR_INSTANCES: [(&str, &str); 4] = [("a-1", "a"), ("a-2", "a"), ("b-1", "b"), ("b-2", "b")];

#[test]
fn killed_or_hung_instances_are_restarted_and_a_new_agent_adopts_running_ones() {
    let mut fleet = TestFleet::new(&FOUR_INSTANCES);
    wait_until("all instances are ready", || fleet.are_all_ready());
    let initial_pids = fleet.pids();
    signal("-KILL", initial_pids["a-1"]);
    signal("-STOP", initial_pids["b-1"]);
    wait_until("the stopped process of b-1 is reported as unresponsive", || {
        fleet.status()["b-1"]["phase"] == "unresponsive"
    });
    wait_until("a-1 and b-1 are ready with new processes", || {
        fleet.are_all_ready()
            && fleet.pids()["a-1"] != initial_pids["a-1"]
            && fleet.pids()["b-1"] != initial_pids["b-1"]
    });
    let pids_after_restart = fleet.pids();
    assert_eq!(
        (pids_after_restart["a-2"], pids_after_restart["b-2"]),
        (initial_pids["a-2"], initial_pids["b-2"]),
        "process ids of the instances that were not disturbed"
    );
    assert_eq!(fleet.status()["a-1"]["starts"], 2);
    let stopped = fleet.run(&["stop", "b-2", "--json"]);
    assert_eq!(results(&stopped), expected_results(&["b-2"], "done"));
    // Kills the agent, and one instance while no agent is running.
    fleet.kill_agent();
    signal("-KILL", pids_after_restart["a-2"]);
    fleet.start_agent();
    wait_until("the new agent restores the desired state: three instances ready, b-2 stopped", || {
        let status = fleet.status();
        let phase = |name: &str| status.get(name).map(|line| line["phase"].clone()).unwrap_or_default();
        ["a-1", "a-2", "b-1"].iter().all(|name| phase(name) == "ready") && phase("b-2") == "stopped"
    });
    let pids_after_adoption = fleet.pids();
    assert_eq!(
        (pids_after_adoption["a-1"], pids_after_adoption["b-1"]),
        (pids_after_restart["a-1"], pids_after_restart["b-1"]),
        "process ids of the running instances, which the new agent adopts"
    );
    assert_ne!(pids_after_adoption["a-2"], pids_after_restart["a-2"]);
    let second_agent = fleet.run(&["agent"]);
    assert_eq!(second_agent.status.code(), Some(3), "exit code of a second agent with the same state folder");
}

#[test]
fn each_command_has_one_result_per_instance() {
    let fleet = TestFleet::new(&FOUR_INSTANCES);
    wait_until("all instances are ready", || fleet.are_all_ready());
    let dry_run = fleet.run(&["drain", "all", "--dry-run"]);
    assert!(
        String::from_utf8_lossy(&dry_run.stdout).contains("takes away 2 of zone a, of whose 2 0 would serve")
    );
    let rejected = fleet.run(&["drain", "zone=a", "--json"]);
    assert_eq!(
        (results(&rejected), rejected.status.code()),
        (expected_results(&["a-1", "a-2"], "refused"), Some(4))
    );
    assert!(fleet.are_all_ready(), "a rejected drain leaves all instances ready");
    let initial_pids = fleet.pids();
    let drained = fleet.run(&["drain", "*-1", "--json", "--id", "c-1", "--by", "shift-1"]);
    assert_eq!(
        (results(&drained), drained.status.code()),
        (expected_results(&["a-1", "b-1"], "done"), Some(0))
    );
    let status = fleet.status();
    assert_eq!(
        (&status["a-1"]["drained"], &status["a-2"]["phase"]),
        (&Value::Bool(true), &Value::from("ready"))
    );
    let reused_id = fleet.run(&["drain", "*-1", "--json", "--id", "c-1", "--by", "shift-2"]);
    assert_eq!(
        results(&reused_id),
        expected_results(&["a-1", "b-1"], "refused"),
        "a command id can't be reused by another command"
    );
    let undrained = fleet.run(&["undrain", "tier=front,zone=a", "zone=b,*-1", "--json"]);
    assert_eq!(results(&undrained), expected_results(&["a-1", "a-2", "b-1"], "done"));
    assert_eq!(fleet.pids(), initial_pids, "drain and undrain keep the processes");
    let restarted = fleet.run(&["restart", "b-2", "--json"]);
    assert_eq!(results(&restarted), expected_results(&["b-2"], "done"));
    assert_ne!(fleet.pids()["b-2"], initial_pids["b-2"]);
    let no_match = fleet.run(&["stop", "c-*"]);
    assert_eq!(no_match.status.code(), Some(4), "exit code if no instance matches");
}

/// Two conflicting commands for one instance at the same time: the instance ends in the state that one of them requests.
#[test]
fn concurrent_conflicting_commands_end_in_the_state_of_one_of_them() {
    let fleet = TestFleet::new(&FOUR_INSTANCES);
    wait_until("all instances are ready", || fleet.are_all_ready());
    let command = |verb: &str, by: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ivyhatch"));
        command.args([verb, "a-1", "--json", "--by", by, "--config"]).arg(fleet.config_file());
        command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn().unwrap()
    };
    let outputs = [command("drain", "shift-1"), command("stop", "shift-2")]
        .map(|child| child.wait_with_output().unwrap());
    let wanted = fleet.status()["a-1"]["wanted"].as_str().unwrap().to_owned();
    let winner = usize::from(wanted == "stopped");
    assert_eq!(
        results(&outputs[winner]),
        expected_results(&["a-1"], "done"),
        "result of the command whose state is wanted: {wanted}"
    );
    // The other command was rejected, or it was done before the first one superseded it.
    let other_result = &results(&outputs[1 - winner])[0].1;
    assert!(
        ["refused", "done"].contains(&other_result.as_str()),
        "result of the superseded command: {other_result}"
    );
}

/// Of four agents, one never responds, one responds with garbage and one does not exist. The fourth carries out the command, and the
/// output has a line for each agent.
#[test]
fn faulty_agents_do_not_prevent_commands_at_other_agents() {
    let fleet = TestFleet::new(&[("a-1", "a"), ("a-2", "a")]);
    wait_until("all instances are ready", || fleet.are_all_ready());
    let folder = tempfile::tempdir().unwrap();
    let socket_paths = ["hangs", "garbage", "gone"].map(|name| folder.path().join(name));
    let unresponsive_listener = UnixListener::bind(&socket_paths[0]).unwrap();
    let garbage_listener = UnixListener::bind(&socket_paths[1]).unwrap();
    std::thread::spawn(move || {
        for mut stream in garbage_listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 256]);
            let _ = stream.write_all(b"\xff{]\n");
        }
    });
    let mut command = Command::new(env!("CARGO_BIN_EXE_ivyhatch"));
    command.args(["drain", "a-1", "--json", "--agent"]).arg(fleet.agent_socket());
    for socket_path in &socket_paths {
        command.arg("--agent").arg(socket_path);
    }
    let output = command.stdin(Stdio::null()).output().unwrap();
    let command_results = results(&output);
    assert_eq!(command_results[0], ("a-1".to_owned(), "done".to_owned()));
    assert!(
        command_results[1..].iter().all(|(name, result)| name.starts_with("agent ") && result == "unknown"),
        "each faulty agent has the result unknown: {command_results:?}"
    );
    assert_eq!((command_results.len(), output.status.code()), (4, Some(5)));
    drop(unresponsive_listener);
}

#[test]
fn rollout_proceeds_by_zone_and_stops_when_an_instance_does_not_become_ready() {
    let fleet = TestFleet::new(&FOUR_INSTANCES);
    wait_until("all instances are ready", || fleet.are_all_ready());
    let initial_pids = fleet.pids();
    let successful = fleet.run(&["rollout", "all", "--watch", "0.2", "--json"]);
    assert_eq!(results(&successful), expected_results(&["a-1", "a-2", "b-1", "b-2"], "done"));
    let final_pids = fleet.pids();
    assert!(
        initial_pids.iter().all(|(name, pid)| final_pids[name] != *pid),
        "process ids before and after the rollout: {initial_pids:?} {final_pids:?}"
    );
    // With an invalid configuration file (a latency target above the deadline) no node starts again after a restart, so the rollout stops
    // at the first instance.
    let config_text = std::fs::read_to_string(fleet.config_file()).unwrap();
    std::fs::write(fleet.config_file(), config_text.replace("aim_ms = 800", "aim_ms = 8000")).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_ivyhatch"));
    command.args(["rollout", "all", "--watch", "0.2", "--json", "--agent"]).arg(fleet.agent_socket());
    let failed = command.stdin(Stdio::null()).output().unwrap();
    let mut expected = expected_results(&["a-1"], "failed");
    expected.extend(expected_results(&["a-2", "b-1", "b-2"], "refused"));
    assert_eq!((results(&failed), failed.status.code()), (expected, Some(1)));
    let logs = Command::new(env!("CARGO_BIN_EXE_ivyhatch"))
        .args(["logs", "a-1", "--agent"])
        .arg(fleet.agent_socket())
        .output();
    let logs = String::from_utf8(logs.unwrap().stdout).unwrap();
    assert!(
        logs.contains("aim_ms: 8000; wanted: deadline_ms, 3000, at most"),
        "the log of a-1 names the invalid field: {logs}"
    );
}

/// Servers fail from the restart of the first zone on: the rollout detects the lower served ratio and stops before the next zone.
#[test]
fn rollout_stops_when_the_served_ratio_falls() {
    let are_servers_failing = Arc::new(AtomicBool::new(false));
    let is_failing = are_servers_failing.clone();
    let backend = Backend::new(move |_| match is_failing.load(Ordering::SeqCst) {
        true => BackendReply::Write(status(500, "")),
        false => BackendReply::Write(ok("served")),
    });
    let discovery = Discovery::new(json!([server_entry("s-0", &backend, "b")]));
    let fleet = TestFleet::with_discovery(&[("a-1", "a"), ("b-1", "b")], &discovery.address.to_string());
    wait_until("all instances are ready", || fleet.are_all_ready());
    let address: SocketAddr = fleet.status()["b-1"]["said"][0]["listen"].as_str().unwrap().parse().unwrap();
    let is_client_stopped = Arc::new(AtomicBool::new(false));
    let is_stopped = is_client_stopped.clone();
    let client_thread = std::thread::spawn(move || {
        for request_id in 0.. {
            if is_stopped.load(Ordering::SeqCst) {
                return;
            }
            let request = format!(
                "GET /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: {request_id}\r\nX-Call-Class: find\r\nX-Budget-Ms: 900\r\n\r\n"
            );
            Client::connect(address).round_trip(&request);
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
    });
    let mut command = Command::new(env!("CARGO_BIN_EXE_ivyhatch"));
    command.args(["rollout", "all", "--watch", "1.5", "--json", "--config"]).arg(fleet.config_file());
    let rollout = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn().unwrap();
    wait_until("the instance of the first zone has been restarted", || fleet.status()["a-1"]["starts"] == 2);
    are_servers_failing.store(true, Ordering::SeqCst);
    let output = rollout.wait_with_output().unwrap();
    is_client_stopped.store(true, Ordering::SeqCst);
    client_thread.join().unwrap();
    let mut expected = expected_results(&["a-1"], "done");
    expected.extend(expected_results(&["b-1"], "refused"));
    assert_eq!((results(&output), output.status.code()), (expected, Some(4)));
    let reason = lines(&output)[1]["why"].as_str().unwrap().to_owned();
    assert!(
        reason.starts_with("stopped: after zone a ") && reason.ends_with(" was served, 1.000 before"),
        "reason for stopping the rollout: {reason}"
    );
}
