//! Agents with real nodes: instances that crash, hang or are killed are restarted, and each command has one result for each
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

use common::listed;
use ivyhatch_socket_lab::scripted::{Backend, BackendReply, Client, Discovery, ok, status, wait_until};
use serde_json::{Value, json};

/// An agent with its nodes; all of them end with the test.
struct Site {
    folder: tempfile::TempDir,
    agent: Option<Child>,
}

impl Site {
    fn new(instances: &[(&str, &str)]) -> Self {
        Self::with(instances, "127.0.0.1:1")
    }

    /// A site whose nodes discover their servers at this address.
    fn with(instances: &[(&str, &str)], discovery: &str) -> Self {
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
        let mut site = Self { folder, agent: None };
        site.start();
        site
    }

    fn file(&self) -> PathBuf {
        self.folder.path().join("fleet.toml")
    }

    fn socket(&self) -> PathBuf {
        self.folder.path().join("state/agent.sock")
    }

    fn start(&mut self) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ivyhatch"));
        command.args(["agent", "--config"]).arg(self.file()).stdout(Stdio::null()).stderr(Stdio::null());
        self.agent = Some(command.spawn().unwrap());
    }

    fn kill(&mut self) {
        let mut agent = self.agent.take().expect("it runs");
        agent.kill().unwrap();
        agent.wait().unwrap();
    }

    fn run(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ivyhatch"));
        command.args(arguments).arg("--config").arg(self.file()).stdin(Stdio::null()).output().unwrap()
    }

    fn status(&self) -> BTreeMap<String, Value> {
        let output = self.run(&["status", "--json"]);
        lines(&output)
            .into_iter()
            .map(|line| (line["name"].as_str().unwrap_or("").to_owned(), line))
            .collect()
    }

    fn all_ready(&self) -> bool {
        let status = self.status();
        !status.is_empty() && status.values().all(|instance| instance["phase"] == "ready")
    }

    fn pids(&self) -> BTreeMap<String, i64> {
        self.status().into_iter().map(|(name, line)| (name, line["pid"].as_i64().unwrap_or(0))).collect()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if let Some(mut agent) = self.agent.take() {
            let _ = agent.kill();
            let _ = agent.wait();
        }
        // The agent's records name the processes that still run.
        for entry in std::fs::read_dir(self.folder.path().join("state/run")).into_iter().flatten().flatten() {
            let text = std::fs::read_to_string(entry.path()).unwrap_or_default();
            if let Some(pid) =
                serde_json::from_str::<Value>(&text).ok().and_then(|known| known["pid"].as_i64())
            {
                signal("-KILL", pid);
            }
        }
    }
}

fn signal(name: &str, pid: i64) {
    let _ = Command::new("kill").args([name, &pid.to_string()]).stderr(Stdio::null()).status();
}

fn lines(output: &Output) -> Vec<Value> {
    let text = String::from_utf8_lossy(&output.stdout);
    text.lines().map(|line| serde_json::from_str(line).unwrap_or_else(|_| panic!("{text}"))).collect()
}

/// The result for each instance, as the tool gives it.
fn results(output: &Output) -> Vec<(String, String)> {
    let word = |line: &Value, name: &str| line[name].as_str().unwrap_or("?").to_owned();
    lines(output).iter().map(|line| (word(line, "instance"), word(line, "result"))).collect()
}

fn each(names: &[&str], result: &str) -> Vec<(String, String)> {
    names.iter().map(|name| ((*name).to_owned(), result.to_owned())).collect()
}

const FOUR: [(&str, &str); 4] = [("a-1", "a"), ("a-2", "a"), ("b-1", "b"), ("b-2", "b")];

#[test]
fn killed_or_hung_instances_are_restarted_and_a_new_agent_adopts_running_ones() {
    let mut site = Site::new(&FOUR);
    wait_until("all are ready", || site.all_ready());
    let before = site.pids();
    signal("-KILL", before["a-1"]);
    signal("-STOP", before["b-1"]);
    wait_until("the silent one is reported", || site.status()["b-1"]["phase"] == "unresponsive");
    wait_until("both are new", || {
        site.all_ready() && site.pids()["a-1"] != before["a-1"] && site.pids()["b-1"] != before["b-1"]
    });
    let now = site.pids();
    assert_eq!((now["a-2"], now["b-2"]), (before["a-2"], before["b-2"]), "the others were left alone");
    assert_eq!(site.status()["a-1"]["starts"], 2);
    let stopped = site.run(&["stop", "b-2", "--json"]);
    assert_eq!(results(&stopped), each(&["b-2"], "done"));
    // Killed outright, with one instance that dies while there is no agent.
    site.kill();
    signal("-KILL", now["a-2"]);
    site.start();
    wait_until("what was wanted is there", || {
        let status = site.status();
        let phase = |name: &str| status.get(name).map(|line| line["phase"].clone()).unwrap_or_default();
        ["a-1", "a-2", "b-1"].iter().all(|name| phase(name) == "ready") && phase("b-2") == "stopped"
    });
    let after = site.pids();
    assert_eq!((after["a-1"], after["b-1"]), (now["a-1"], now["b-1"]), "found, and not started again");
    assert_ne!(after["a-2"], now["a-2"]);
    let second = site.run(&["agent"]);
    assert_eq!(second.status.code(), Some(3), "two agents on one state");
}

#[test]
fn each_command_has_one_result_for_each_instance() {
    let site = Site::new(&FOUR);
    wait_until("all are ready", || site.all_ready());
    let dry = site.run(&["drain", "all", "--dry-run"]);
    assert!(
        String::from_utf8_lossy(&dry.stdout).contains("takes away 2 of zone a, of whose 2 0 would serve")
    );
    let refused = site.run(&["drain", "zone=a", "--json"]);
    assert_eq!((results(&refused), refused.status.code()), (each(&["a-1", "a-2"], "refused"), Some(4)));
    assert!(site.all_ready(), "nothing was done");
    let before = site.pids();
    let half = site.run(&["drain", "*-1", "--json", "--id", "c-1", "--by", "shift-1"]);
    assert_eq!((results(&half), half.status.code()), (each(&["a-1", "b-1"], "done"), Some(0)));
    let status = site.status();
    assert_eq!(
        (&status["a-1"]["drained"], &status["a-2"]["phase"]),
        (&Value::Bool(true), &Value::from("ready"))
    );
    let again = site.run(&["drain", "*-1", "--json", "--id", "c-1", "--by", "shift-2"]);
    assert_eq!(results(&again), each(&["a-1", "b-1"], "refused"), "an id is one command's");
    let back = site.run(&["undrain", "tier=front,zone=a", "zone=b,*-1", "--json"]);
    assert_eq!(results(&back), each(&["a-1", "a-2", "b-1"], "done"));
    assert_eq!(site.pids(), before, "a drain is no end");
    let new = site.run(&["restart", "b-2", "--json"]);
    assert_eq!(results(&new), each(&["b-2"], "done"));
    assert_ne!(site.pids()["b-2"], before["b-2"]);
    let none = site.run(&["stop", "c-*"]);
    assert_eq!(none.status.code(), Some(4), "nobody is meant");
}

/// Two conflicting commands at the same time: for each instance one of them is carried out.
#[test]
fn concurrent_conflicting_commands_have_one_winner_and_one_refusal() {
    let site = Site::new(&FOUR);
    wait_until("all are ready", || site.all_ready());
    let command = |verb: &str, by: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ivyhatch"));
        command.args([verb, "a-1", "--json", "--by", by, "--config"]).arg(site.file());
        command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn().unwrap()
    };
    let two = [command("drain", "shift-1"), command("stop", "shift-2")]
        .map(|child| child.wait_with_output().unwrap());
    let wanted = site.status()["a-1"]["wanted"].as_str().unwrap().to_owned();
    let winner = usize::from(wanted == "stopped");
    assert_eq!(results(&two[winner]), each(&["a-1"], "done"), "{wanted}");
    // The other was refused, or was done before it was overtaken.
    let other = &results(&two[1 - winner])[0].1;
    assert!(["refused", "done"].contains(&other.as_str()), "{other}");
}

/// One agent hangs, one answers garbage, one is not there: the fourth carries the command out, and each has its line.
#[test]
fn unresponsive_agents_do_not_delay_the_others() {
    let site = Site::new(&[("a-1", "a"), ("a-2", "a")]);
    wait_until("all are ready", || site.all_ready());
    let folder = tempfile::tempdir().unwrap();
    let paths = ["hangs", "garbage", "gone"].map(|name| folder.path().join(name));
    let hangs = UnixListener::bind(&paths[0]).unwrap();
    let garbage = UnixListener::bind(&paths[1]).unwrap();
    std::thread::spawn(move || {
        for mut stream in garbage.incoming().flatten() {
            let _ = stream.read(&mut [0; 256]);
            let _ = stream.write_all(b"\xff{]\n");
        }
    });
    let mut command = Command::new(env!("CARGO_BIN_EXE_ivyhatch"));
    command.args(["drain", "a-1", "--json", "--agent"]).arg(site.socket());
    for path in &paths {
        command.arg("--agent").arg(path);
    }
    let output = command.stdin(Stdio::null()).output().unwrap();
    let found = results(&output);
    assert_eq!(found[0], ("a-1".to_owned(), "done".to_owned()));
    assert!(
        found[1..].iter().all(|(name, result)| name.starts_with("agent ") && result == "unknown"),
        "{found:?}"
    );
    assert_eq!((found.len(), output.status.code()), (4, Some(5)));
    drop(hangs);
}

#[test]
fn rollout_goes_zone_by_zone_and_stops_when_an_instance_does_not_become_ready() {
    let site = Site::new(&FOUR);
    wait_until("all are ready", || site.all_ready());
    let before = site.pids();
    let whole = site.run(&["rollout", "all", "--watch", "0.2", "--json"]);
    assert_eq!(results(&whole), each(&["a-1", "a-2", "b-1", "b-2"], "done"));
    let after = site.pids();
    assert!(before.iter().all(|(name, pid)| after[name] != *pid), "{before:?} {after:?}");
    // A file that has turned bad: no node comes back from a restart, and the first one shows it.
    let text = std::fs::read_to_string(site.file()).unwrap();
    std::fs::write(site.file(), text.replace("aim_ms = 800", "aim_ms = 8000")).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_ivyhatch"));
    command.args(["rollout", "all", "--watch", "0.2", "--json", "--agent"]).arg(site.socket());
    let bad = command.stdin(Stdio::null()).output().unwrap();
    let mut expected = each(&["a-1"], "failed");
    expected.extend(each(&["a-2", "b-1", "b-2"], "refused"));
    assert_eq!((results(&bad), bad.status.code()), (expected, Some(1)));
    let logs = Command::new(env!("CARGO_BIN_EXE_ivyhatch"))
        .args(["logs", "a-1", "--agent"])
        .arg(site.socket())
        .output();
    let logs = String::from_utf8(logs.unwrap().stdout).unwrap();
    assert!(logs.contains("aim_ms: 8000; wanted: deadline_ms, 3000, at most"), "{logs}");
}

/// Servers that fail from the first zone's restart on: the rollout sees it in what is served, and goes no further.
#[test]
fn rollout_stops_when_the_served_ratio_falls() {
    let fails = Arc::new(AtomicBool::new(false));
    let failing = fails.clone();
    let backend = Backend::new(move |_| match failing.load(Ordering::SeqCst) {
        true => BackendReply::Write(status(500, "")),
        false => BackendReply::Write(ok("served")),
    });
    let discovery = Discovery::new(json!([listed("s-0", &backend, "b")]));
    let site = Site::with(&[("a-1", "a"), ("b-1", "b")], &discovery.address.to_string());
    wait_until("all are ready", || site.all_ready());
    let at: SocketAddr = site.status()["b-1"]["said"][0]["listen"].as_str().unwrap().parse().unwrap();
    let ended = Arc::new(AtomicBool::new(false));
    let ends = ended.clone();
    let asking = std::thread::spawn(move || {
        for n in 0.. {
            if ends.load(Ordering::SeqCst) {
                return;
            }
            let text = format!(
                "GET /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: {n}\r\nX-Call-Class: find\r\nX-Budget-Ms: 900\r\n\r\n"
            );
            Client::connect(at).round_trip(&text);
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
    });
    let mut command = Command::new(env!("CARGO_BIN_EXE_ivyhatch"));
    command.args(["rollout", "all", "--watch", "1.5", "--json", "--config"]).arg(site.file());
    let rollout = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn().unwrap();
    wait_until("the first zone is restarted", || site.status()["a-1"]["starts"] == 2);
    fails.store(true, Ordering::SeqCst);
    let output = rollout.wait_with_output().unwrap();
    ended.store(true, Ordering::SeqCst);
    asking.join().unwrap();
    let mut expected = each(&["a-1"], "done");
    expected.extend(each(&["b-1"], "refused"));
    assert_eq!((results(&output), output.status.code()), (expected, Some(4)));
    let why = lines(&output)[1]["why"].as_str().unwrap().to_owned();
    assert!(why.starts_with("stopped: after zone a ") && why.ends_with(" was served, 1.000 before"), "{why}");
}
