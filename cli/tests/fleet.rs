//! Agents with real nodes: what crashes, hangs or is killed is kept as it was wanted, and each command has one clear result
//! for each instance.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::os::unix::net::UnixListener;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};

use ivyhatch_rig::scripted::until;
use serde_json::Value;

/// An agent with its nodes; all of them end with the test.
struct Site {
    folder: tempfile::TempDir,
    agent: Option<Child>,
}

impl Site {
    fn new(instances: &[(&str, &str)]) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let mut text = format!(
            "version = 1\n[fleet]\nzones = [\"a\", \"b\"]\ndiscovery = \"127.0.0.1:1\"\n[agent]\nstate = {:?}\nsilent_ms = 1500\n\
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
        // What runs is known by what is written down of it.
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
fn what_is_killed_or_hangs_is_started_again_and_an_agent_finds_what_outlived_it() {
    let mut site = Site::new(&FOUR);
    until("all are ready", || site.all_ready());
    let before = site.pids();
    signal("-KILL", before["a-1"]);
    signal("-STOP", before["b-1"]);
    until("the silent one is told of", || site.status()["b-1"]["phase"] == "unresponsive");
    until("both are new", || {
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
    until("what was wanted is there", || {
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
    until("all are ready", || site.all_ready());
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

/// Two who want different things at one moment: for each instance one of them has it done.
#[test]
fn of_two_commands_at_once_one_wins_and_the_other_is_told() {
    let site = Site::new(&FOUR);
    until("all are ready", || site.all_ready());
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

/// One agent hangs, one answers garbage, one is not there: the fourth does what it is told, and each has its line.
#[test]
fn an_agent_that_does_not_answer_holds_up_none() {
    let site = Site::new(&[("a-1", "a"), ("a-2", "a")]);
    until("all are ready", || site.all_ready());
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
