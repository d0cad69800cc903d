//! The commands of applications against three control processes: `lock run`, `cell` and `number`.

mod system_common;

use std::process::{Command, Output};
use std::time::Duration;

use system_common::{CONTROL_HOSTS, CONTROL_PORT, TestCluster, wait_until};

fn command(cluster: &TestCluster, arguments: &[&str]) -> Command {
    let control: Vec<String> =
        CONTROL_HOSTS.iter().map(|host| cluster.address(*host, CONTROL_PORT).to_string()).collect();
    let mut command = Command::new(env!("CARGO_BIN_EXE_ivyhatch"));
    command.args(arguments).env("IVYHATCH_CONTROL", control.join(","));
    command
}

fn output(cluster: &TestCluster, arguments: &[&str]) -> Output {
    command(cluster, arguments).output().expect("the program runs")
}

/// The exit code, and what was printed.
fn result(cluster: &TestCluster, arguments: &[&str]) -> (Option<i32>, String) {
    let output = output(cluster, arguments);
    (output.status.code(), String::from_utf8(output.stdout).expect("text").trim().to_owned())
}

#[test]
fn cells_are_written_read_and_watched() {
    let cluster = TestCluster::with_coordination();
    let _core = cluster.bootstrap_control_nodes();
    wait_until("a cell is written", || {
        result(&cluster, &["cell", "put", "g.a", "one"]) == (Some(0), "1".to_owned())
    });
    assert_eq!(result(&cluster, &["cell", "get", "g.a"]), (Some(0), "one".to_owned()));
    let (code, printed) = result(&cluster, &["cell", "get", "--json", "g.a"]);
    let printed: serde_json::Value = serde_json::from_str(&printed).expect("JSON");
    assert_eq!((code, printed), (Some(0), serde_json::json!({"rev": 1, "value": "one"})));
    assert_eq!(result(&cluster, &["cell", "put", "--expect", "0", "g.a", "two"]).0, Some(4));
    assert_eq!(result(&cluster, &["cell", "put", "--expect", "1", "g.b", "two"]).0, Some(4));
    assert_eq!(result(&cluster, &["cell", "put", "--expect", "1", "g.a", "two"]), (Some(0), "2".to_owned()));
    assert_eq!(result(&cluster, &["cell", "get", "g.none"]).0, Some(4));
    assert_eq!(result(&cluster, &["cell", "put", "g a", "three"]).0, Some(2));
    let watched = result(&cluster, &["cell", "watch", "g.", "--after", "1", "--count", "1"]);
    assert_eq!(watched, (Some(0), "2 g.a two".to_owned()));
}

#[test]
fn numbers_rise() {
    let cluster = TestCluster::with_coordination();
    let _core = cluster.bootstrap_control_nodes();
    let number = || result(&cluster, &["number", "next", "n"]).1.parse::<u64>().ok();
    let first = number().expect("a number");
    assert!(number() > Some(first));
}

#[test]
fn a_command_runs_under_a_lock_that_no_other_has_and_is_given_its_fencing_token() {
    let cluster = TestCluster::with_coordination();
    let _core = cluster.bootstrap_control_nodes();
    let run = ["lock", "run", "l", "--", "sh", "-c", "echo $FENCE; exit 7"];
    let (code, fence) = result(&cluster, &run);
    assert_eq!(code, Some(7), "the command's own code");
    let first: u64 = fence.parse().expect("a fencing token");
    // The lock is free again at once, also for a holder of another name.
    let mut holding =
        command(&cluster, &["lock", "run", "l", "--hold-ms", "600", "--wait-s", "20", "--", "sleep", "2"]);
    let mut holding = holding.spawn().expect("it runs");
    wait_until("it holds the lock", || result(&cluster, &["lock", "run", "l", "--", "true"]).0 == Some(4));
    // It renews the lock, and another that waits has it afterwards.
    let (code, fence) =
        result(&cluster, &["lock", "run", "l", "--wait-s", "20", "--", "sh", "-c", "echo $FENCE"]);
    assert_eq!(code, Some(0));
    assert!(fence.parse::<u64>().is_ok_and(|fence| fence > first), "{fence} after {first}");
    assert_eq!(holding.wait().expect("it ends").code(), Some(0));
}

#[test]
fn a_command_whose_lock_is_lost_is_ended() {
    let cluster = TestCluster::with_coordination();
    let mut core = cluster.bootstrap_control_nodes();
    wait_until("locks are given", || result(&cluster, &["lock", "run", "l", "--", "true"]).0 == Some(0));
    let mut holding =
        command(&cluster, &["lock", "run", "l", "--hold-ms", "1500", "--wait-s", "20", "--", "sleep", "60"]);
    let mut holding = holding.spawn().expect("it runs");
    wait_until("it holds the lock", || result(&cluster, &["lock", "run", "l", "--", "true"]).0 == Some(4));
    core.iter_mut().for_each(system_common::Process::kill);
    assert_eq!(holding.wait().expect("it ends").code(), Some(4));
}

#[test]
fn a_call_that_no_node_takes_ends_as_not_started() {
    let cluster = TestCluster::with_coordination();
    let begin = std::time::Instant::now();
    assert_eq!(result(&cluster, &["number", "next", "n"]).0, Some(3));
    assert!(begin.elapsed() < Duration::from_secs(15));
}
