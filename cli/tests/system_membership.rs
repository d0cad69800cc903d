//! Planned and unplanned replacement of control machines while the control nodes serve operators.

mod system_common;

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use system_common::calls::call;
use system_common::{
    CONTROL_HOSTS, CONTROL_PORT, Process, ROUTER_HOST, TestCluster, configuration, wait_until,
};

/// Host number of the machine that replaces the third control machine, in the same zone.
const SUCCESSOR: u8 = 16;
/// Time after its start within which a successor must be a voter (`catch_up_s` of the deployments).
const CATCH_UP_LIMIT: Duration = Duration::from_secs(4);

fn initial_configuration() -> Value {
    configuration(5, &[("a", json!({})), ("b", json!({}))])
}

/// Status of the replica on `host` as the control node on `observer` reports it; `None` if that node did not answer or lists none.
fn replica(cluster: &TestCluster, observer: u8, host: u8) -> Option<Value> {
    let (status, report) = call(cluster.address(observer, CONTROL_PORT), "GET", "/-/status", None, "")?;
    assert_eq!(status, 200);
    let address = json!(cluster.ip(host).to_string());
    let replicas = report["replicas"].as_array().expect("the status report lists replicas");
    replicas.iter().find(|replica| replica["node"] == address).cloned()
}

/// Whether the control node on `observer` reports the replica on `host` as a voter with a seat.
fn is_voter(cluster: &TestCluster, observer: u8, host: u8) -> bool {
    replica(cluster, observer, host)
        .is_some_and(|replica| replica["has_seat"] == json!(true) && replica["status"] == json!("voter"))
}

/// Starts three control nodes and waits until they have a configuration and all of them are voters.
fn start_three_voters(cluster: &TestCluster) -> Vec<Process> {
    let control_nodes = cluster.bootstrap_control_nodes();
    cluster.put_configuration(11, 0, &initial_configuration());
    wait_until("all three control nodes are voters", || {
        CONTROL_HOSTS.iter().all(|host| is_voter(cluster, 11, *host))
    });
    control_nodes
}

#[test]
fn successor_of_a_lost_machine_votes_before_the_next_loss() {
    let cluster = TestCluster::new();
    let mut control_nodes = start_three_voters(&cluster);
    control_nodes[2].kill();
    std::fs::remove_dir_all(cluster.data_dir(13)).expect("the data directory is removed");
    let started = Instant::now();
    let _successor = cluster.start_control_node(SUCCESSOR, &CONTROL_HOSTS, false);
    wait_until("the successor is a voter", || is_voter(&cluster, 11, SUCCESSOR));
    assert!(
        started.elapsed() < CATCH_UP_LIMIT,
        "the successor was a voter only after {:?}",
        started.elapsed()
    );
    println!("the successor is a voter after {:?}", started.elapsed());
    assert!(replica(&cluster, 11, 13).is_none_or(|lost| lost["has_seat"] == json!(false)));
    cluster.put_configuration(12, 5, &configuration(6, &[("c", json!({}))]));
    // The next loss: only the successor and one other voter remain.
    control_nodes[0].kill();
    std::fs::remove_dir_all(cluster.data_dir(11)).expect("the data directory is removed");
    cluster.wait_until_revision(SUCCESSOR, 6);
    cluster.put_configuration(SUCCESSOR, 6, &configuration(7, &[("d", json!({}))]));
    cluster.wait_until_revision(12, 7);
    // The machine that lost its disk returns as a new replica.
    let former_replica =
        replica(&cluster, 12, 11).expect("the lost machine is still listed")["replica"].clone();
    control_nodes[0] = cluster.start_control_node(11, &[11, 12, 13], false);
    // The former replica is not considered lost immediately.
    wait_until("the new replica of the lost machine votes", || {
        is_voter(&cluster, 12, 11)
            && replica(&cluster, 12, 11).is_some_and(|current| current["replica"] != former_replica)
    });
    control_nodes[1].kill();
    cluster.wait_until_revision(11, 7);
    cluster.put_configuration(11, 7, &configuration(8, &[("e", json!({}))]));
}

#[test]
fn terminated_machine_waits_until_its_successor_votes() {
    let cluster = TestCluster::new();
    let mut control_nodes = start_three_voters(&cluster);
    let _successor = cluster.start_control_node(SUCCESSOR, &CONTROL_HOSTS, false);
    wait_until("the successor is a learner", || {
        replica(&cluster, 11, SUCCESSOR).is_some_and(|replica| replica["status"] == json!("learner"))
    });
    assert!(is_voter(&cluster, 11, 13));
    let signalled_at = Instant::now();
    control_nodes[2].signal("TERM");
    control_nodes[2].wait_for_exit();
    assert!(is_voter(&cluster, 11, SUCCESSOR), "the terminated node exited before its successor was a voter");
    println!("the terminated node exited after {:?}", signalled_at.elapsed());
    control_nodes[1].kill();
    cluster.put_configuration(11, 5, &configuration(6, &[("c", json!({}))]));
    cluster.wait_until_revision(SUCCESSOR, 6);
}

#[test]
fn machine_that_returns_after_its_replacement_is_not_a_voter() {
    let cluster = TestCluster::new();
    let mut control_nodes = start_three_voters(&cluster);
    control_nodes[2].kill();
    let _successor = cluster.start_control_node(SUCCESSOR, &CONTROL_HOSTS, false);
    wait_until("the successor is a voter", || is_voter(&cluster, 11, SUCCESSOR));
    cluster.put_configuration(11, 5, &configuration(6, &[("c", json!({}))]));
    control_nodes[2] = cluster.start_control_node(13, &CONTROL_HOSTS, false);
    wait_until("the returned node reports that it has no seat", || {
        replica(&cluster, 13, 13).is_none_or(|own| own["has_seat"] == json!(false))
    });
    cluster.wait_until_revision(13, 6);
    // The returned node alone is no quorum.
    control_nodes[0].kill();
    control_nodes[1].kill();
    let next_configuration = configuration(7, &[("d", json!({}))]).to_string();
    for _ in 0..2 {
        let answer =
            call(cluster.address(13, CONTROL_PORT), "PUT", "/-/config", Some(6), &next_configuration);
        assert!(
            answer.as_ref().is_none_or(|(status, _)| *status == 503),
            "answer without a quorum: {answer:?}"
        );
    }
}

#[test]
fn shutdown_without_a_successor_takes_no_longer_than_a_leadership_transfer() {
    let cluster = TestCluster::new();
    let mut control_nodes = start_three_voters(&cluster);
    let signalled_at = Instant::now();
    control_nodes[2].signal("TERM");
    control_nodes[2].wait_for_exit();
    assert!(
        signalled_at.elapsed() < Duration::from_millis(1500),
        "the node exited only after {:?}",
        signalled_at.elapsed()
    );
    control_nodes[2] = cluster.start_control_node(13, &CONTROL_HOSTS, false);
    wait_until("the restarted node votes again", || is_voter(&cluster, 11, 13));
}

#[test]
fn successor_with_unreachable_seeds_joins_once_its_settings_name_reachable_ones() {
    let cluster = TestCluster::new();
    let mut control_nodes = start_three_voters(&cluster);
    control_nodes[2].kill();
    let unreachable_seeds = [17, 18, 19];
    let _successor = cluster.start_control_node(SUCCESSOR, &unreachable_seeds, false);
    // Without a reachable seed the successor answers 503.
    wait_until("the successor answers status calls", || {
        call(cluster.address(SUCCESSOR, CONTROL_PORT), "GET", "/-/status", None, "").is_some()
    });
    let answer = call(cluster.address(SUCCESSOR, CONTROL_PORT), "GET", "/-/config", None, "");
    assert!(
        answer.as_ref().is_none_or(|(status, _)| *status == 503),
        "answer without a reachable seed: {answer:?}"
    );
    // The settings file is changed without a signal to the process.
    let settings = cluster.settings(SUCCESSOR, &CONTROL_HOSTS, false);
    std::fs::write(cluster.settings_file(SUCCESSOR), settings.to_string())
        .expect("the settings file is written");
    wait_until("the successor is a voter", || is_voter(&cluster, 11, SUCCESSOR));
    cluster.wait_until_revision(SUCCESSOR, 5);
}

#[test]
fn router_with_unreachable_seeds_connects_once_its_settings_name_reachable_ones() {
    let cluster = TestCluster::new();
    let _control_nodes = start_three_voters(&cluster);
    let _router = cluster.start_router(ROUTER_HOST, &[17, 18, 19]);
    wait_until("the router is not ready", || !cluster.is_ready(ROUTER_HOST));
    let settings = cluster.settings(ROUTER_HOST, &CONTROL_HOSTS, false);
    std::fs::write(cluster.settings_file(ROUTER_HOST), settings.to_string())
        .expect("the settings file is written");
    wait_until("the directory lists the router as ready", || {
        cluster
            .resolve_routers(11, "ra")
            .is_some_and(|answer| answer["addresses"].as_array().is_some_and(|all| !all.is_empty()))
    });
}

/// Number of committed changes in all partitions, as the control node on `observer` reports it.
fn committed_changes(cluster: &TestCluster, observer: u8) -> u64 {
    let (_, report) = call(cluster.address(observer, CONTROL_PORT), "GET", "/-/status", None, "")
        .expect("the control node answers");
    let partitions = report["partitions"].as_array().expect("the status report lists partitions");
    partitions.iter().filter_map(|partition| partition["committed"].as_u64()).sum()
}

#[test]
fn delayed_duplicate_of_a_cancelled_evacuation_changes_nothing() {
    let cluster = TestCluster::new();
    let control_nodes = start_three_voters(&cluster);
    let committed_before = committed_changes(&cluster, 11);
    // The third node is paused with the request in its socket. The caller disconnects, and the zone is evacuated and restored through the
    // other nodes.
    control_nodes[2].signal("STOP");
    let mut caller = std::net::TcpStream::connect(cluster.address(13, CONTROL_PORT))
        .expect("the kernel accepts the connection of a paused process");
    let request = "POST /-/evacuations/za HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\n\r\n";
    std::io::Write::write_all(&mut caller, request.as_bytes())
        .expect("the request fits into the socket buffers");
    drop(caller);
    cluster.call_until_acknowledged(11, "POST", "/-/evacuations/za", None, "");
    cluster.call_until_acknowledged(12, "DELETE", "/-/evacuations/za", None, "");
    assert_eq!(committed_changes(&cluster, 11), committed_before + 2);
    control_nodes[2].signal("CONT");
    wait_until("the resumed node votes again", || is_voter(&cluster, 11, 13));
    // Once the resumed node has received both changes and answered a later call, it has handled all earlier calls.
    wait_until("the resumed node has received both changes", || {
        committed_changes(&cluster, 13) >= committed_before + 2
    });
    cluster.put_configuration(13, 5, &configuration(6, &[("c", json!({}))]));
    assert_eq!(committed_changes(&cluster, 11), committed_before + 3);
}
