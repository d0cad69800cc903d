//! Replacement of control machines, planned and unplanned, while the processes serve operators over sockets.

mod system_common;

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use system_common::calls::call;
use system_common::{
    CONTROL_HOSTS, CONTROL_PORT, Process, ROUTER_HOST, TestCluster, configuration, wait_until,
};

/// Takes the place of the third machine, in its zone.
const SUCCESSOR: u8 = 16;
/// A successor counts within this after its start (`catch_up_s` of the deployments).
const CATCH_UP_LIMIT: Duration = Duration::from_secs(4);

fn initial_configuration() -> Value {
    configuration(5, &[("a", json!({})), ("b", json!({}))])
}

/// What a control node says of the replica on another one.
fn replica(cluster: &TestCluster, observer: u8, host: u8) -> Option<Value> {
    let (status, report) = call(cluster.address(observer, CONTROL_PORT), "GET", "/-/status", None, "")?;
    assert_eq!(status, 200);
    let address = json!(cluster.ip(host).to_string());
    let replicas = report["replicas"].as_array().expect("it lists the replicas");
    replicas.iter().find(|replica| replica["node"] == address).cloned()
}

fn is_voter(cluster: &TestCluster, observer: u8, host: u8) -> bool {
    replica(cluster, observer, host)
        .is_some_and(|replica| replica["has_seat"] == json!(true) && replica["status"] == json!("voter"))
}

fn start_three_voters(cluster: &TestCluster) -> Vec<Process> {
    let control_nodes = cluster.bootstrap_control_nodes();
    cluster.put_configuration(11, 0, &initial_configuration());
    wait_until("all three vote", || CONTROL_HOSTS.iter().all(|host| is_voter(cluster, 11, *host)));
    control_nodes
}

#[test]
fn successor_of_a_lost_machine_votes_before_the_next_loss() {
    let cluster = TestCluster::new();
    let mut control_nodes = start_three_voters(&cluster);
    control_nodes[2].kill();
    std::fs::remove_dir_all(cluster.data_dir(13)).expect("its disk is gone");
    let started = Instant::now();
    let _successor = cluster.start_control_node(SUCCESSOR, &CONTROL_HOSTS, false);
    wait_until("the successor votes", || is_voter(&cluster, 11, SUCCESSOR));
    assert!(started.elapsed() < CATCH_UP_LIMIT, "{:?}", started.elapsed());
    println!("it counts after {:?}", started.elapsed());
    assert!(replica(&cluster, 11, 13).is_none_or(|lost| lost["has_seat"] == json!(false)));
    cluster.put_configuration(12, 5, &configuration(6, &[("c", json!({}))]));
    // The next loss: only the successor and one other are left.
    control_nodes[0].kill();
    std::fs::remove_dir_all(cluster.data_dir(11)).expect("its disk is lost");
    cluster.wait_until_revision(SUCCESSOR, 6);
    cluster.put_configuration(SUCCESSOR, 6, &configuration(7, &[("d", json!({}))]));
    cluster.wait_until_revision(12, 7);
    // The machine that lost its disk comes back, as another replica.
    let former_replica = replica(&cluster, 12, 11).expect("it had a seat")["replica"].clone();
    control_nodes[0] = cluster.start_control_node(11, &[11, 12, 13], false);
    // Its former replica is not counted as silent at once.
    wait_until("it votes again", || {
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
    wait_until("the successor follows", || {
        replica(&cluster, 11, SUCCESSOR).is_some_and(|replica| replica["status"] == json!("learner"))
    });
    assert!(is_voter(&cluster, 11, 13));
    let signalled_at = Instant::now();
    control_nodes[2].signal("TERM");
    control_nodes[2].wait_for_exit();
    assert!(is_voter(&cluster, 11, SUCCESSOR), "it went before its successor counted");
    println!("it ended after {:?}", signalled_at.elapsed());
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
    wait_until("the successor votes", || is_voter(&cluster, 11, SUCCESSOR));
    cluster.put_configuration(11, 5, &configuration(6, &[("c", json!({}))]));
    control_nodes[2] = cluster.start_control_node(13, &CONTROL_HOSTS, false);
    wait_until("it has learned that it has no seat", || {
        replica(&cluster, 13, 13).is_none_or(|own| own["has_seat"] == json!(false))
    });
    cluster.wait_until_revision(13, 6);
    // With it alone there is no quorum.
    control_nodes[0].kill();
    control_nodes[1].kill();
    let next_configuration = configuration(7, &[("d", json!({}))]).to_string();
    for _ in 0..2 {
        let answer =
            call(cluster.address(13, CONTROL_PORT), "PUT", "/-/config", Some(6), &next_configuration);
        assert!(answer.as_ref().is_none_or(|(status, _)| *status == 503), "{answer:?}");
    }
}

#[test]
fn shutdown_without_a_successor_takes_no_longer_than_a_leadership_transfer() {
    let cluster = TestCluster::new();
    let mut control_nodes = start_three_voters(&cluster);
    let signalled_at = Instant::now();
    control_nodes[2].signal("TERM");
    control_nodes[2].wait_for_exit();
    assert!(signalled_at.elapsed() < Duration::from_millis(1500), "{:?}", signalled_at.elapsed());
    control_nodes[2] = cluster.start_control_node(13, &CONTROL_HOSTS, false);
    wait_until("it votes again", || is_voter(&cluster, 11, 13));
}

#[test]
fn successor_with_unreachable_seeds_joins_once_its_settings_name_reachable_ones() {
    let cluster = TestCluster::new();
    let mut control_nodes = start_three_voters(&cluster);
    control_nodes[2].kill();
    let unreachable_seeds = [17, 18, 19];
    let _successor = cluster.start_control_node(SUCCESSOR, &unreachable_seeds, false);
    // It serves nothing, and says so.
    wait_until("it answers", || {
        call(cluster.address(SUCCESSOR, CONTROL_PORT), "GET", "/-/status", None, "").is_some()
    });
    let answer = call(cluster.address(SUCCESSOR, CONTROL_PORT), "GET", "/-/config", None, "");
    assert!(answer.as_ref().is_none_or(|(status, _)| *status == 503), "{answer:?}");
    // The file changes without a signal.
    let settings = cluster.settings(SUCCESSOR, &CONTROL_HOSTS, false);
    std::fs::write(cluster.settings_file(SUCCESSOR), settings.to_string()).expect("it is written");
    wait_until("the successor votes", || is_voter(&cluster, 11, SUCCESSOR));
    cluster.wait_until_revision(SUCCESSOR, 5);
}

#[test]
fn router_with_unreachable_seeds_connects_once_its_settings_name_reachable_ones() {
    let cluster = TestCluster::new();
    let _control_nodes = start_three_voters(&cluster);
    let _router = cluster.start_router(ROUTER_HOST, &[17, 18, 19]);
    wait_until("it waits", || !cluster.is_ready(ROUTER_HOST));
    let settings = cluster.settings(ROUTER_HOST, &CONTROL_HOSTS, false);
    std::fs::write(cluster.settings_file(ROUTER_HOST), settings.to_string()).expect("it is written");
    wait_until("it has a configuration, and says so", || {
        cluster
            .resolve_routers(11, "ra")
            .is_some_and(|answer| answer["addresses"].as_array().is_some_and(|all| !all.is_empty()))
    });
}

/// How many changes have been committed, over all partitions.
fn committed_changes(cluster: &TestCluster, observer: u8) -> u64 {
    let (_, report) =
        call(cluster.address(observer, CONTROL_PORT), "GET", "/-/status", None, "").expect("it answers");
    let partitions = report["partitions"].as_array().expect("it lists the partitions");
    partitions.iter().filter_map(|partition| partition["committed"].as_u64()).sum()
}

#[test]
fn delayed_duplicate_of_a_cancelled_evacuation_changes_nothing() {
    let cluster = TestCluster::new();
    let control_nodes = start_three_voters(&cluster);
    let committed_before = committed_changes(&cluster, 11);
    // The third stands still with the order on its socket; its caller gives up, and the zone is emptied and taken back elsewhere.
    control_nodes[2].signal("STOP");
    let mut caller =
        std::net::TcpStream::connect(cluster.address(13, CONTROL_PORT)).expect("the system takes it");
    let request = "POST /-/evacuations/za HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\n\r\n";
    std::io::Write::write_all(&mut caller, request.as_bytes()).expect("it is sent");
    drop(caller);
    cluster.call_until_acknowledged(11, "POST", "/-/evacuations/za", None, "");
    cluster.call_until_acknowledged(12, "DELETE", "/-/evacuations/za", None, "");
    assert_eq!(committed_changes(&cluster, 11), committed_before + 2);
    control_nodes[2].signal("CONT");
    wait_until("it votes again", || is_voter(&cluster, 11, 13));
    // Whatever it still had to do it has done by the time that it knows of both changes and has answered a call.
    wait_until("it knows of both", || committed_changes(&cluster, 13) >= committed_before + 2);
    cluster.put_configuration(13, 5, &configuration(6, &[("c", json!({}))]));
    assert_eq!(committed_changes(&cluster, 11), committed_before + 3);
}
