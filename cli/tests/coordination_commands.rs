//! The commands for applications, `lock run`, `cell` and `number`, against three control processes.

mod system_common;

use std::process::{Command, Output};
use std::time::Duration;

use system_common::{CONTROL_HOSTS, CONTROL_PORT, TestCluster, wait_until};

/// The program with these arguments and the addresses of the three control nodes in its environment.
fn command(cluster: &TestCluster, arguments: &[&str]) -> Command {
    let control_addresses: Vec<String> =
        CONTROL_HOSTS.iter().map(|host| cluster.address(*host, CONTROL_PORT).to_string()).collect();
    let mut command = Command::new(env!("CARGO_BIN_EXE_ivyhatch"));
    command.args(arguments).env("IVYHATCH_CONTROL", control_addresses.join(","));
    command
}

fn output(cluster: &TestCluster, arguments: &[&str]) -> Output {
    command(cluster, arguments).output().expect("the ivyhatch program can be run")
}

/// Runs a command; returns its exit code and its trimmed standard output.
fn result(cluster: &TestCluster, arguments: &[&str]) -> (Option<i32>, String) {
    let output = output(cluster, arguments);
    (
        output.status.code(),
        String::from_utf8(output.stdout).expect("standard output is UTF-8").trim().to_owned(),
    )
}

#[test]
fn cells_are_written_read_and_watched() {
    let cluster = TestCluster::with_coordination();
    let _core = cluster.bootstrap_control_nodes();
    wait_until("cell put writes the first revision of g.a", || {
        result(&cluster, &["cell", "put", "g.a", "one"]) == (Some(0), "1".to_owned())
    });
    assert_eq!(result(&cluster, &["cell", "get", "g.a"]), (Some(0), "one".to_owned()));
    let (code, printed) = result(&cluster, &["cell", "get", "--json", "g.a"]);
    let printed: serde_json::Value = serde_json::from_str(&printed).expect("`cell get --json` prints JSON");
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
fn numbers_increase() {
    let cluster = TestCluster::with_coordination();
    let _core = cluster.bootstrap_control_nodes();
    let next_number = || result(&cluster, &["number", "next", "n"]).1.parse::<u64>().ok();
    let first = next_number().expect("`number next` prints a number");
    assert!(next_number() > Some(first));
}

#[test]
fn lock_run_holds_the_lock_exclusively_and_passes_the_fencing_token() {
    let cluster = TestCluster::with_coordination();
    let _core = cluster.bootstrap_control_nodes();
    let print_token_and_fail = ["lock", "run", "l", "--", "sh", "-c", "echo $FENCE; exit 7"];
    let (code, token) = result(&cluster, &print_token_and_fail);
    assert_eq!(code, Some(7), "the exit code of the command that ran under the lock");
    let first_token: u64 = token.parse().expect("FENCE holds the fencing token, a number");
    // The lock is free as soon as the command has ended, also for a process with another holder name.
    let mut holder =
        command(&cluster, &["lock", "run", "l", "--hold-ms", "2000", "--wait-s", "20", "--", "sleep", "7"]);
    let mut holder = holder.spawn().expect("the ivyhatch program can be run");
    wait_until("the other process holds the lock", || {
        result(&cluster, &["lock", "run", "l", "--", "true"]).0 == Some(4)
    });
    // The holder renews the lock until its command ends; a waiting process acquires the lock after that.
    let (code, token) =
        result(&cluster, &["lock", "run", "l", "--wait-s", "20", "--", "sh", "-c", "echo $FENCE"]);
    assert_eq!(code, Some(0));
    assert!(
        token.parse::<u64>().is_ok_and(|token| token > first_token),
        "fencing token {token}, expected one above {first_token}"
    );
    assert_eq!(holder.wait().expect("the exit status of the holder can be read").code(), Some(0));
}

#[test]
fn lock_run_terminates_the_command_when_the_lock_is_lost() {
    let cluster = TestCluster::with_coordination();
    let mut core = cluster.bootstrap_control_nodes();
    wait_until("the control nodes grant locks", || {
        result(&cluster, &["lock", "run", "l", "--", "true"]).0 == Some(0)
    });
    let mut holder =
        command(&cluster, &["lock", "run", "l", "--hold-ms", "1500", "--wait-s", "20", "--", "sleep", "60"]);
    let mut holder = holder.spawn().expect("the ivyhatch program can be run");
    wait_until("the other process holds the lock", || {
        result(&cluster, &["lock", "run", "l", "--", "true"]).0 == Some(4)
    });
    core.iter_mut().for_each(system_common::Process::kill);
    assert_eq!(holder.wait().expect("the exit status of the holder can be read").code(), Some(4));
}

#[test]
fn command_without_a_reachable_control_node_exits_as_not_started() {
    let cluster = TestCluster::with_coordination();
    let started = std::time::Instant::now();
    assert_eq!(result(&cluster, &["number", "next", "n"]).0, Some(3));
    assert!(started.elapsed() < Duration::from_secs(15));
}
