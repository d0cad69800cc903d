//! Coordination over sockets: applications acquire locks, draw numbers, and read, write and watch cells at control node processes.
//!
//! Guards against the incident of 2026-12-02: on a day without faults, every lock, number and cell call of applications failed on each
//! node, from the first second after the cluster had formed and acknowledged a configuration; a lock and a number were reported with
//! "no answer came in time". Cause: the HTTP interface of the control role did not implement these calls and answered 404, and no test
//! or randomized search exercised them. It shows in `GET /-/metrics` and in the `event=calls` log lines, which count nothing but 404
//! for these calls while `config_put_200` rises.

mod system_common;

use serde_json::{Value, json};
use system_common::calls::call;
use system_common::{CONTROL_HOSTS, CONTROL_PORT, TestCluster, wait_until};

/// Sends one coordination call to a node; a `Null` body is sent as an empty one.
fn call_node(
    cluster: &TestCluster,
    host: u8,
    method: &str,
    path: &str,
    body: &Value,
) -> Option<(u16, Value)> {
    let body = if body.is_null() { String::new() } else { body.to_string() };
    call(cluster.address(host, CONTROL_PORT), method, path, None, &body)
}

/// Repeats a call until a node answers with a status other than 503, which states that nothing was executed. A node that is not yet in
/// contact with a quorum answers 503 to each call that the leader decides.
fn call_until_decided(
    cluster: &TestCluster,
    host: u8,
    method: &str,
    path: &str,
    body: &Value,
) -> (u16, Value) {
    let body = if body.is_null() { String::new() } else { body.to_string() };
    call_text_until_decided(cluster, host, method, path, &body)
}

/// Like [`call_until_decided`], with a body that need not be JSON.
fn call_text_until_decided(
    cluster: &TestCluster,
    host: u8,
    method: &str,
    path: &str,
    body: &str,
) -> (u16, Value) {
    let mut last = None;
    wait_until(&format!("node {host} answers {method} {path} with a status other than 503"), || {
        last = call(cluster.address(host, CONTROL_PORT), method, path, None, body);
        last.as_ref().is_some_and(|(status, _)| *status != 503)
    });
    last.expect("the node has answered")
}

#[test]
fn every_node_answers_lock_number_and_cell_calls() {
    let cluster = TestCluster::with_coordination();
    let _control_nodes = cluster.bootstrap_control_nodes();
    let mut last_number = 0;
    for host in CONTROL_HOSTS {
        let (status, lock) = call_until_decided(
            &cluster,
            host,
            "POST",
            &format!("/-/locks/l{host}"),
            &json!({"holder": "a.1", "hold_ms": 3000}),
        );
        assert_eq!(status, 200, "lock at node {host}: {lock}");
        assert!(lock["fence"].as_u64().is_some_and(|fence| fence > 0), "lock at node {host}: {lock}");
        let (status, number) = call_until_decided(&cluster, host, "POST", "/-/numbers/n", &json!({}));
        assert_eq!(status, 200, "number at node {host}: {number}");
        let value = number["value"].as_u64().expect("the answer has a value");
        assert!(value > last_number, "number {value} was drawn after {last_number}");
        last_number = value;
        let path = format!("/-/cells/g.{host}");
        let (status, put) =
            call_until_decided(&cluster, host, "PUT", &path, &json!({"value": "v", "enabled": 0})); // wire name
        assert_eq!(status, 200, "put at node {host}: {put}");
        let (status, cell) = call_until_decided(&cluster, host, "GET", &path, &Value::Null);
        assert_eq!((status, &cell["value"], &cell["rev"]), (200, &json!("v"), &put["rev"]));
    }
    let (status, watch) = call_until_decided(
        &cluster,
        CONTROL_HOSTS[0],
        "GET",
        "/-/watch/g.?after=1&wait_ms=2000",
        &Value::Null,
    );
    assert_eq!(status, 200, "watch: {watch}");
    let names: Vec<&Value> = watch["events"]
        .as_array()
        .expect("`events` is an array")
        .iter()
        .map(|event| &event["name"])
        .collect();
    assert_eq!(names, ["g.12", "g.13"]);
}

#[test]
fn invalid_input_is_rejected_with_field_and_remedy_and_changes_nothing() {
    let cluster = TestCluster::with_coordination();
    let _control_nodes = cluster.bootstrap_control_nodes();
    let (status, _) =
        call_until_decided(&cluster, 11, "PUT", "/-/cells/g.a", &json!({"value": "kept", "enabled": 0})); // wire name
    assert_eq!(status, 200);
    let long_name = "x".repeat(201);
    let cases = [
        ("POST", "/-/locks/l", "no JSON", "body"),
        ("POST", "/-/locks/l", r#"{"holder":"a","hold_ms":100,"more":1}"#, "more"),
        ("POST", "/-/locks/l", r#"{"holder":"a"}"#, "hold_ms"),
        ("POST", "/-/locks/l", r#"{"holder":"a","hold_ms":0}"#, "hold_ms"),
        ("POST", "/-/locks/l", r#"{"holder":"a","hold_ms":172800000}"#, "renewing"),
        ("POST", "/-/locks/l", r#"{"holder":"a b","hold_ms":100}"#, "holder"),
        ("POST", "/-/locks/l%20m", r#"{"holder":"a","hold_ms":100}"#, "name"),
        ("PUT", "/-/locks/l", r#"{"holder":"a","hold_ms":100}"#, "fence"),
        ("DELETE", "/-/locks/l", r#"{"holder":"a","fence":-1}"#, "body"),
        ("POST", "/-/numbers/n", r#"{"count":5}"#, "count"),
        ("PUT", "/-/cells/g.a", r#"{"value":7}"#, "body"),
        ("PUT", "/-/cells/g.a", r#"{"value":"v","enabled":"1"}"#, "body"),
        // A name without a dot is a group of its own; no cell has been put in it.
        ("GET", "/-/watch/g?after=1", "", "beyond"),
        ("GET", "/-/watch/g.a?after=1", "", "group"),
        ("GET", "/-/watch/g.?after=x", "", "after"),
        ("GET", "/-/watch/g.?after=1&wait_ms=99999999", "", "wait_ms"),
        ("GET", "/-/watch/g.?after=99", "", "beyond"),
    ];
    for (method, path, body, expected_text) in cases {
        let (status, answer) = call_text_until_decided(&cluster, 12, method, path, body);
        let text = answer["error"].as_str().unwrap_or_default();
        assert_eq!(status, 400, "{method} {path} {body}: {answer}");
        assert!(text.contains(expected_text), "{method} {path} {body}: {text}");
    }
    let path = format!("/-/cells/{long_name}");
    let put = json!({"value": "v"});
    assert_eq!(call_node(&cluster, 12, "PUT", &path, &put).map(|(status, _)| status), Some(400));
    let too_long = json!({"value": "x".repeat(5000)});
    assert_eq!(
        call_node(&cluster, 12, "PUT", "/-/cells/g.a", &too_long).map(|(status, _)| status),
        Some(400)
    );
    assert_eq!(
        call_node(&cluster, 12, "GET", "/-/locks/l", &Value::Null).map(|(status, _)| status),
        Some(404)
    );
    let (_, kept) = call_until_decided(&cluster, 13, "GET", "/-/cells/g.a", &Value::Null);
    assert_eq!(kept, json!({"value": "kept", "rev": 1}));
}

#[test]
fn disabled_coordination_answers_404_and_names_the_setting_that_enables_it() {
    let cluster = TestCluster::new();
    let _control_nodes = cluster.bootstrap_control_nodes();
    cluster.put_configuration(11, 0, &system_common::configuration(1, &[]));
    let (status, answer) =
        call_node(&cluster, 11, "POST", "/-/numbers/n", &json!({})).expect("the control node answers");
    assert_eq!(status, 404);
    assert!(
        answer["error"].as_str().is_some_and(|text| text.contains("contracts")),
        "the error does not name the setting: {answer}"
    );
}

/// Tries to acquire lock `l` at a node; returns its fencing token, `None` if the lock was not granted or the node did not answer.
fn acquire(cluster: &TestCluster, host: u8, holder: &str, hold_ms: u64) -> Option<u64> {
    let body = json!({"holder": holder, "hold_ms": hold_ms});
    let (status, answer) = call_node(cluster, host, "POST", "/-/locks/l", &body)?;
    (status == 200).then(|| answer["fence"].as_u64().expect("`fence` is a fencing token"))
}

#[test]
fn resumed_node_grants_no_lock_that_was_acquired_during_its_pause() {
    let cluster = TestCluster::with_coordination();
    let control_nodes = cluster.bootstrap_control_nodes();
    let mut last_fence = 0;
    for (index, paused) in CONTROL_HOSTS.into_iter().enumerate() {
        let others: Vec<u8> = CONTROL_HOSTS.into_iter().filter(|host| *host != paused).collect();
        let mut fence = None;
        wait_until("the first holder acquires the lock", || {
            fence = acquire(&cluster, paused, "first", 400);
            fence.is_some()
        });
        assert!(fence > Some(last_fence), "fencing token {fence:?} was granted after {last_fence}");
        control_nodes[index].signal("STOP");
        wait_until("the second holder acquires the lock after the first one's hold time", || {
            fence = acquire(&cluster, others[0], "second", 60_000);
            fence.is_some()
        });
        last_fence = fence.expect("the lock was acquired");
        control_nodes[index].signal("CONT");
        // The resumed node may not have learnt of the second holder yet, but must not grant the lock.
        for holder in ["first", "third"] {
            for _ in 0..5 {
                assert_eq!(
                    acquire(&cluster, paused, holder, 400),
                    None,
                    "holder {holder} acquired the lock at node {paused}"
                );
            }
        }
        let release = json!({"holder": "second", "fence": last_fence});
        let (status, _) = call_until_decided(&cluster, others[1], "DELETE", "/-/locks/l", &release);
        assert_eq!(status, 200);
    }
}

/// Guards against a put that is executed twice: in a simulation one put appeared under two revisions, 8 and 23. Its caller had sent it to
/// a node that was paused for 12 s, disconnected after 1 s and repeated the put at another node; the first node executed it on resuming,
/// after the end of the history that identifies repeated puts. Cause: the simulation did not close the caller's connection. A real
/// process sees the close together with the request and must discard the put.
#[test]
fn put_of_a_disconnected_caller_is_not_executed_by_a_resumed_node() {
    let cluster = TestCluster::with_coordination();
    let control_nodes = cluster.bootstrap_control_nodes();
    let original = json!({"value": "kept"});
    for (index, paused) in CONTROL_HOSTS.into_iter().enumerate() {
        let (status, before) = call_until_decided(&cluster, paused, "PUT", "/-/cells/g.a", &original);
        assert_eq!(status, 200, "put at node {paused}: {before}");
        control_nodes[index].signal("STOP");
        let mut caller = std::net::TcpStream::connect(cluster.address(paused, CONTROL_PORT))
            .expect("the kernel accepts the connection of a paused process");
        let body = json!({"value": format!("late {paused}")}).to_string();
        let length = body.len();
        let request =
            format!("PUT /-/cells/g.a HTTP/1.1\r\nHost: control\r\nContent-Length: {length}\r\n\r\n{body}");
        std::io::Write::write_all(&mut caller, request.as_bytes())
            .expect("the request fits into the socket buffers");
        drop(caller);
        control_nodes[index].signal("CONT");
        // Once the node has answered a later call, it has handled all earlier ones.
        let (status, _) = call_until_decided(&cluster, paused, "POST", "/-/numbers/n", &json!({}));
        assert_eq!(status, 200);
        let (_, after) = call_until_decided(&cluster, paused, "GET", "/-/cells/g.a", &Value::Null);
        assert_eq!(
            (&after["value"], &after["rev"]),
            (&json!("kept"), &before["rev"]),
            "cell at node {paused}: {after}"
        );
    }
}

#[test]
fn watch_misses_no_event_during_a_rolling_restart() {
    let cluster = TestCluster::with_coordination();
    let mut control_nodes = cluster.bootstrap_control_nodes();
    let (status, _) = call_until_decided(&cluster, 11, "PUT", "/-/cells/g.first", &json!({"value": "first"}));
    assert_eq!(status, 200);
    let writes_finished = std::sync::atomic::AtomicBool::new(false);
    let (last_put, seen_revisions) = std::thread::scope(|scope| {
        let watcher = scope.spawn(|| {
            let (mut after, mut seen_revisions) = (1, Vec::new());
            for host in CONTROL_HOSTS.into_iter().cycle() {
                let path = format!("/-/watch/g.?after={after}&wait_ms=500");
                let answer = call_node(&cluster, host, "GET", &path, &Value::Null);
                let Some((200, answer)) = answer else { continue };
                seen_revisions.extend(
                    answer["events"]
                        .as_array()
                        .expect("`events` is an array")
                        .iter()
                        .map(|event| event["rev"].clone()),
                );
                let had_finished = writes_finished.load(std::sync::atomic::Ordering::SeqCst);
                if had_finished && answer["rev"] == json!(after) {
                    break;
                }
                after = answer["rev"].as_u64().expect("`rev` is a revision");
            }
            seen_revisions
        });
        let mut last_put = 0;
        for (index, host) in CONTROL_HOSTS.into_iter().enumerate() {
            for number in 0..10 {
                let put = json!({"value": format!("{host}-{number}")});
                let (status, answer) =
                    call_until_decided(&cluster, CONTROL_HOSTS[(index + 1) % 3], "PUT", "/-/cells/g.a", &put);
                assert!(status == 200 || status == 504, "put {host}-{number}: status {status}, {answer}");
                last_put = answer["rev"].as_u64().unwrap_or(last_put);
            }
            control_nodes[index].signal("TERM");
            assert!(control_nodes[index].wait_for_exit().success());
            control_nodes[index] = cluster.start_control_node(host, &CONTROL_HOSTS, false);
        }
        writes_finished.store(true, std::sync::atomic::Ordering::SeqCst);
        (last_put, watcher.join().expect("the watcher thread ends without a panic"))
    });
    let expected: Vec<Value> = (2..=last_put).map(|revision| json!(revision)).collect();
    assert_eq!(seen_revisions, expected);
}

#[test]
fn metrics_count_calls_by_status() {
    let cluster = TestCluster::with_coordination();
    let _control_nodes = cluster.bootstrap_control_nodes();
    let (status, _) = call_until_decided(&cluster, 11, "POST", "/-/numbers/n", &json!({}));
    assert_eq!(status, 200);
    let request = b"GET /-/metrics HTTP/1.1\r\nHost: control\r\n\r\n";
    let metrics = system_common::calls::send_request(cluster.address(11, CONTROL_PORT), request);
    let text = String::from_utf8(metrics.body).expect("metrics are UTF-8");
    let line = r#"ivyhatch_control_calls_total{kind="numbers",method="post",status="200"} 1"#;
    assert!(text.lines().any(|metric| metric == line), "metrics without {line}:\n{text}");
}
