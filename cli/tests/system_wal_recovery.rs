//! Write-ahead logs that can't be used: they are kept under another name, a log line says what to do, and the replica gets its state
//! from the others, also where the settings say that the system starts for the first time.

mod system_common;

use std::fs;
use std::path::{Path, PathBuf};

use googletest::prelude::*;
use ivyhatch_wal::Wal;
use serde_json::json;
use system_common::{CONTROL_HOSTS, Process, TestCluster, configuration};

const LOG_FILE_NAME: &str = "control.records";
const REPLICA: u8 = 13;

/// Three control nodes with two changes, and the last of them without a process.
fn start_with_stopped_replica(cluster: &TestCluster) -> Vec<Process> {
    let mut control_nodes = cluster.bootstrap_control_nodes();
    cluster.put_configuration(11, 0, &configuration(5, &[("a", json!({}))]));
    cluster.put_configuration(11, 5, &configuration(6, &[("b", json!({}))]));
    cluster.wait_until_revision(REPLICA, 6);
    control_nodes[2].kill();
    control_nodes
}

fn log_path(cluster: &TestCluster) -> PathBuf {
    cluster.data_dir(REPLICA).join(LOG_FILE_NAME)
}

/// Starts the replica with a file that it can't use.
fn expect_recovery(
    cluster: &TestCluster,
    control_nodes: &mut [Process],
    first_start: bool,
    expected_reason: &str,
) {
    let unusable = fs::read(log_path(cluster)).expect("the file");
    control_nodes[2] = cluster.start_control_node(REPLICA, &CONTROL_HOSTS, first_start);
    cluster.wait_until_revision(REPLICA, 6);
    let log = control_nodes[2].log_output();
    let lines: Vec<&str> = log.lines().filter(|line| line.contains("event=records_set_aside")).collect();
    assert_that!(lines, elements_are![contains_substring(expected_reason)]);
    expect_that!(fs::read(set_aside(&log_path(cluster))).expect("kept"), eq(&unusable));
    // It votes again, and its new file is sound.
    control_nodes[0].kill();
    cluster.put_configuration(12, 6, &configuration(7, &[("c", json!({}))]));
    control_nodes[2].kill();
    control_nodes[2] = cluster.start_control_node(REPLICA, &CONTROL_HOSTS, false);
    cluster.wait_until_revision(REPLICA, 7);
    expect_that!(control_nodes[2].log_output(), not(contains_substring("records_set_aside")));
}

fn set_aside(file: &Path) -> PathBuf {
    file.with_file_name(format!("{LOG_FILE_NAME}.set-aside-1"))
}

#[gtest]
fn replica_with_a_corrupted_log_recovers_from_the_others() {
    let cluster = TestCluster::new();
    let mut control_nodes = start_with_stopped_replica(&cluster);
    let mut bytes = fs::read(log_path(&cluster)).expect("the file");
    bytes[30] ^= 4;
    fs::write(log_path(&cluster), bytes).expect("damaged");
    expect_recovery(&cluster, &mut control_nodes, false, "damaged at byte");
}

#[gtest]
fn corrupted_log_is_not_treated_as_a_first_start() {
    let cluster = TestCluster::new();
    let mut control_nodes = start_with_stopped_replica(&cluster);
    fs::write(log_path(&cluster), b"not a file of records").expect("damaged");
    expect_recovery(&cluster, &mut control_nodes, true, "damaged at byte 0");
}

#[gtest]
fn replica_with_an_unknown_record_recovers_from_the_others() {
    let cluster = TestCluster::new();
    let mut control_nodes = start_with_stopped_replica(&cluster);
    {
        let (mut log, _) = Wal::open(&cluster.data_dir(REPLICA), LOG_FILE_NAME).expect("a sound file");
        log.append(&[vec![0xee; 9]]).expect("written");
    }
    expect_recovery(&cluster, &mut control_nodes, false, "install the release that wrote it");
}
