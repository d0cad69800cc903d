//! Recovery from an unusable write-ahead log: the replica keeps the file under another name, logs what the operator should do, and gets
//! its state from the other replicas, even if its settings declare the cluster's first start.

mod system_common;

use std::fs;
use std::path::{Path, PathBuf};

use googletest::prelude::*;
use ivyhatch_wal::Wal;
use serde_json::json;
use system_common::{CONTROL_HOSTS, Process, TestCluster, configuration};

/// File name of the write-ahead log in the data directory.
const LOG_FILE_NAME: &str = "control.records";
/// Host number of the replica whose log is damaged.
const REPLICA: u8 = 13;

/// Starts three control nodes, commits two changes and kills the process of [`REPLICA`].
fn start_with_stopped_replica(cluster: &TestCluster) -> Vec<Process> {
    let mut control_nodes = cluster.bootstrap_control_nodes();
    cluster.put_configuration(11, 0, &configuration(5, &[("a", json!({}))]));
    cluster.put_configuration(11, 5, &configuration(6, &[("b", json!({}))]));
    cluster.wait_until_revision(REPLICA, 6);
    control_nodes[2].kill();
    control_nodes
}

/// Path of the write-ahead log of [`REPLICA`].
fn log_path(cluster: &TestCluster) -> PathBuf {
    cluster.data_dir(REPLICA).join(LOG_FILE_NAME)
}

/// Starts the replica with an unusable log. Asserts that it sets the file aside, logs `expected_reason` once, and recovers: it is a voter
/// again, and its new log is valid.
fn expect_recovery(
    cluster: &TestCluster,
    control_nodes: &mut [Process],
    first_start: bool,
    expected_reason: &str,
) {
    let unusable = fs::read(log_path(cluster)).expect("the log file is readable");
    control_nodes[2] = cluster.start_control_node(REPLICA, &CONTROL_HOSTS, first_start);
    cluster.wait_until_revision(REPLICA, 6);
    let log = control_nodes[2].log_output();
    let lines: Vec<&str> = log.lines().filter(|line| line.contains("event=records_set_aside")).collect();
    assert_that!(lines, elements_are![contains_substring(expected_reason)]);
    expect_that!(
        fs::read(set_aside_path(&log_path(cluster))).expect("the unusable log is kept"),
        eq(&unusable)
    );
    // With one node killed, a change needs the replica's vote; after a restart it must read its new log without an error.
    control_nodes[0].kill();
    cluster.put_configuration(12, 6, &configuration(7, &[("c", json!({}))]));
    control_nodes[2].kill();
    control_nodes[2] = cluster.start_control_node(REPLICA, &CONTROL_HOSTS, false);
    cluster.wait_until_revision(REPLICA, 7);
    expect_that!(control_nodes[2].log_output(), not(contains_substring("records_set_aside")));
}

/// Path under which an unusable log is kept.
fn set_aside_path(path: &Path) -> PathBuf {
    path.with_file_name(format!("{LOG_FILE_NAME}.set-aside-1"))
}

#[gtest]
fn replica_with_a_corrupted_log_recovers_from_the_others() {
    let cluster = TestCluster::new();
    let mut control_nodes = start_with_stopped_replica(&cluster);
    let mut bytes = fs::read(log_path(&cluster)).expect("the log file is readable");
    bytes[30] ^= 4;
    fs::write(log_path(&cluster), bytes).expect("the damaged log is written");
    expect_recovery(&cluster, &mut control_nodes, false, "damaged at byte");
}

#[gtest]
fn corrupted_log_is_not_treated_as_a_first_start() {
    let cluster = TestCluster::new();
    let mut control_nodes = start_with_stopped_replica(&cluster);
    fs::write(log_path(&cluster), b"not a file of records").expect("the damaged log is written");
    expect_recovery(&cluster, &mut control_nodes, true, "damaged at byte 0");
}

#[gtest]
fn replica_with_an_unknown_record_recovers_from_the_others() {
    let cluster = TestCluster::new();
    let mut control_nodes = start_with_stopped_replica(&cluster);
    {
        let (mut log, _) = Wal::open(&cluster.data_dir(REPLICA), LOG_FILE_NAME).expect("the log opens");
        log.append(&[vec![0xee; 9]]).expect("the record is written");
    }
    expect_recovery(&cluster, &mut control_nodes, false, "install the release that wrote it");
}
