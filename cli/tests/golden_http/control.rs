//! Answers of the control role: to operators, and of the directory.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::golden::assert_golden;
use super::system_common::calls::{Client, call, route};
use super::system_common::transcript::{Transcript, operator_request};
use super::system_common::{
    CONTROL_HOSTS, CONTROL_PORT, DIRECTORY_PORT, FRONT_PORT, Process, TestCluster, configuration, wait_until,
};

const CONFIG: &str = "/-/config";

/// A control node that is a group by itself, and where its operators call.
fn single_control(cluster: &TestCluster) -> (Process, SocketAddr) {
    let control = cluster.start_control_node(CONTROL_HOSTS[0], &CONTROL_HOSTS[..1], true);
    let at = cluster.address(CONTROL_HOSTS[0], CONTROL_PORT);
    wait_until("the control node leads", || {
        call(at, "GET", "/-/status", None, "").is_some_and(|(_, status)| is_settled(&status, 1))
    });
    (control, at)
}

/// Whether a status shows a group of so many voters, and a leader of each partition.
fn is_settled(status: &Value, voters: usize) -> bool {
    let replicas = status["replicas"].as_array().map(Vec::as_slice).unwrap_or_default();
    let partitions = status["partitions"].as_array().map(Vec::as_slice).unwrap_or_default();
    status["has_quorum"] == json!(true)
        && replicas.iter().filter(|replica| replica["status"] == "voter").count() == voters
        && replicas.iter().all(|replica| replica["changes_behind"] == json!(0))
        && !partitions.is_empty()
        && partitions.iter().all(|partition| !partition["leader"].is_null())
}

fn if_match(base: &str) -> String {
    format!("If-Match: {base}\r\n")
}

/// A configuration with each kind of field: named items, other fields, and fields that this version does not know.
fn full_configuration() -> Value {
    let split =
        json!({"service": null, "split": [{"service": "s", "weight": 3}, {"service": "t", "weight": 1.5}]});
    let mut all = configuration(5, &[("a", json!({})), ("b", json!({"route_kind": "unsafe"})), ("c", split)]);
    let model =
        json!({"name": "t", "engine": {"slots": 4, "cache_tokens": 1000}, "cold_s": 2.5, "cold_per_s": 7});
    all["services"].as_array_mut().expect("a list").push(model);
    all["limits"] = json!({"max_header_bytes": 8000, "max_body_bytes": 100000, "header_timeout_ms": 2000,
        "idle_timeout_ms": 9000});
    all["unknown_section"] = json!([{"name": "u", "x": [1, {"y": null}]}]);
    all["unknown_field"] = json!({"z": "\u{e9}\"\\"});
    all
}

#[test]
fn config_answers_before_and_after_the_first_configuration() {
    let cluster = TestCluster::new();
    let (_control, at) = single_control(&cluster);
    let mut transcript = Transcript::for_cluster(&cluster);
    let mut send = |title: &str, method: &str, headers: &str, body: &str| {
        transcript.send_request(title, at, &operator_request(method, CONFIG, headers, body));
    };
    let first = full_configuration().to_string();
    send("GET before the first configuration", "GET", "", "");
    send("PUT without If-Match", "PUT", "", &first);
    send("PUT with an If-Match that is no number", "PUT", &if_match("x"), &first);
    send(
        "PUT on a revision that is not current, before the first configuration",
        "PUT",
        &if_match("4"),
        &first,
    );
    send("PUT of the first configuration", "PUT", &if_match("0"), &first);
    send("GET of the first configuration", "GET", "", "");
    send("PUT of the same configuration again", "PUT", &if_match("0"), &first);
    let next = configuration(9, &[("a", json!({"timeout_ms": 10}))]).to_string();
    send("PUT on a revision that is not current", "PUT", &if_match("0"), &next);
    send("PUT with If-Match in quotes", "PUT", &if_match("\"5\""), &next);
    send("GET of the next configuration", "GET", "", "");
    send("PUT of a configuration that was replaced", "PUT", &if_match("9"), &first);
    let change =
        json!({"revision": 12, "upsert": {"routes": [route("b", &json!({}))]}, "remove": {"routes": ["a"]},
        "limits": {"max_body_bytes": 5}})
        .to_string();
    send("PATCH without If-Match", "PATCH", "", &change);
    send("PATCH on a revision that is not current", "PATCH", &if_match("5"), &change);
    send("PATCH of named items and a field", "PATCH", &if_match("9"), &change);
    send("PATCH of the same change again", "PATCH", &if_match("9"), &change);
    send("GET of the changed configuration", "GET", "", "");
    assert_golden("control/config.txt", transcript.text());
}

#[test]
fn patch_builds_on_revision_0_before_the_first_configuration() {
    let cluster = TestCluster::new();
    let (_control, at) = single_control(&cluster);
    let mut transcript = Transcript::for_cluster(&cluster);
    let change = json!({"revision": 1, "upsert": {"services": [{"name": "s"}]}}).to_string();
    transcript.send_request(
        "PATCH on revision 0",
        at,
        &operator_request("PATCH", CONFIG, &if_match("0"), &change),
    );
    transcript.send_request("GET of the configuration", at, &operator_request("GET", CONFIG, "", ""));
    assert_golden("control/config_patched_first.txt", transcript.text());
}

/// A configuration that could follow revision 5.
fn sound_configuration() -> String {
    configuration(7, &[("a", json!({})), ("b", json!({}))]).to_string()
}

/// Configurations that can't follow revision 5, and what is wrong with each.
fn wrong_configurations() -> Vec<(&'static str, String)> {
    let sound = sound_configuration();
    let with = |change: &dyn Fn(&mut Value)| {
        let mut changed: Value = serde_json::from_str(&sound).expect("JSON");
        change(&mut changed);
        changed.to_string()
    };
    let without =
        |field: &str| with(&|all| drop(all["routes"][0].as_object_mut().map(|route| route.remove(field))));
    vec![
        ("cut short", sound[..sound.len() - 9].to_owned()),
        ("that is a list", "[]".to_owned()),
        ("that is empty", String::new()),
        ("without a revision", with(&|all| drop(all.as_object_mut().map(|all| all.remove("revision"))))),
        ("with a revision that is no whole number", with(&|all| all["revision"] = json!(7.5))),
        ("with the current revision", with(&|all| all["revision"] = json!(5))),
        ("with two routes of one name", with(&|all| all["routes"][0]["name"] = json!("b"))),
        ("with a route without a timeout", without("timeout_ms")),
        ("with a route without a service", without("service")),
        ("with a timeout that is text", with(&|all| all["routes"][0]["timeout_ms"] = json!("8"))),
        ("with an unknown kind of route", with(&|all| all["routes"][0]["route_kind"] = json!("x"))),
        (
            "with a field of the wrong kind in limits",
            with(&|all| all["limits"] = json!({"max_body_bytes": []})),
        ),
        ("with an unknown service", with(&|all| all["routes"][0]["service"] = json!("z"))),
        ("with two routes at one place", with(&|all| all["routes"][0]["path_prefix"] = json!("/b/"))),
        (
            "with weights that sum to 0",
            with(&|all| all["routes"][0]["split"] = json!([{"service": "s", "weight": 0}])),
        ),
        ("with a timeout of 0", with(&|all| all["routes"][0]["timeout_ms"] = json!(0))),
        (
            "that is nested too deeply",
            sound.replacen('{', &format!("{{\"deep\":{}{},", "[".repeat(130), "]".repeat(130)), 1),
        ),
    ]
}

/// Changes that can't be made to revision 5, and what is wrong with each.
fn wrong_changes() -> [(&'static str, Value); 5] {
    [
        ("that does not raise the revision", json!({"revision": 5})),
        ("whose upsert is no list", json!({"revision": 8, "upsert": {"routes": {}}})),
        (
            "whose upsert has two items of one name",
            json!({"revision": 8, "upsert": {"routes": [{"name": "x"}, {"name": "x"}]}}),
        ),
        ("whose remove is a number", json!({"revision": 8, "remove": 7})),
        ("that removes a service in use", json!({"revision": 8, "remove": {"services": ["s"]}})),
    ]
}

#[test]
fn config_rejections_name_what_is_wrong() {
    let cluster = TestCluster::new();
    let (_control, at) = single_control(&cluster);
    let current = configuration(5, &[("a", json!({})), ("b", json!({}))]);
    cluster.put_configuration(CONTROL_HOSTS[0], 0, &current);
    let mut transcript = Transcript::for_cluster(&cluster);
    let mut send = |title: &str, request: &[u8]| transcript.send_request(title, at, request);
    let put = |body: &str| operator_request("PUT", CONFIG, &if_match("5"), body);
    for (what, body) in wrong_configurations() {
        send(&format!("PUT of a configuration {what}"), &put(&body));
    }
    for (what, body) in wrong_changes() {
        let request = operator_request("PATCH", CONFIG, &if_match("5"), &body.to_string());
        send(&format!("PATCH of a change {what}"), &request);
    }
    send("PUT of a body of over 16 MiB", &put(&"x".repeat((16 << 20) + 1)));
    let mut incomplete = put(&sound_configuration());
    incomplete.truncate(incomplete.len() - 5);
    send("PUT of a body that does not arrive", &incomplete);
    send("GET after all rejections", &operator_request("GET", CONFIG, "", ""));
    assert_golden("control/config_rejections.txt", transcript.text());
}

#[test]
fn evacuations_and_unknown_calls_are_answered() {
    let cluster = TestCluster::new();
    let (_control, at) = single_control(&cluster);
    let mut transcript = Transcript::for_cluster(&cluster);
    for (title, method, path) in [
        ("POST of an evacuation", "POST", "/-/evacuations/za"),
        ("POST of the same evacuation again", "POST", "/-/evacuations/za"),
        ("DELETE of an evacuation", "DELETE", "/-/evacuations/za"),
        ("DELETE of an evacuation that is not there", "DELETE", "/-/evacuations/zb"),
        ("POST of an evacuation of an unknown zone", "POST", "/-/evacuations/nowhere"),
        ("DELETE of an evacuation of an unknown zone", "DELETE", "/-/evacuations/nowhere"),
        ("GET of an evacuation", "GET", "/-/evacuations/za"),
        ("GET of an unknown path", "GET", "/"),
        ("GET of a path below the configuration", "GET", "/-/config/x"),
        ("POST to the configuration", "POST", CONFIG),
        ("DELETE of the configuration", "DELETE", CONFIG),
        ("PUT to the status", "PUT", "/-/status"),
    ] {
        transcript.send_request(title, at, &operator_request(method, path, "", ""));
    }
    transcript.send_request("what is no HTTP", at, b"\x00\x01\x02\r\n\r\n");
    assert_golden("control/evacuations_and_unknown_calls.txt", transcript.text());
}

#[test]
fn control_node_without_a_quorum_is_unavailable() {
    let cluster = TestCluster::new();
    let _control = cluster.start_control_node(CONTROL_HOSTS[0], &CONTROL_HOSTS, true);
    let at = cluster.address(CONTROL_HOSTS[0], CONTROL_PORT);
    wait_until("it listens", || call(at, "GET", "/-/status", None, "").is_some());
    let mut transcript = Transcript::for_cluster(&cluster);
    let first = full_configuration().to_string();
    transcript.send_request("GET of the configuration", at, &operator_request("GET", CONFIG, "", ""));
    transcript.send_request(
        "PUT of the configuration",
        at,
        &operator_request("PUT", CONFIG, &if_match("0"), &first),
    );
    transcript.send_request(
        "POST of an evacuation",
        at,
        &operator_request("POST", "/-/evacuations/za", "", ""),
    );
    transcript.send_request("GET of the status", at, &operator_request("GET", "/-/status", "", ""));
    assert_golden("control/no_quorum.txt", transcript.text());
}

/// Masks the names of replicas, which are random.
fn mask_replicas(transcript: &mut Transcript, status: &Value) {
    for replica in status["replicas"].as_array().expect("replicas") {
        let name = replica["replica"].as_str().expect("a name");
        let (node, _) = name.split_once('/').expect("a node and its disk");
        let host = node.rsplit('.').next().expect("a host");
        transcript.add_placeholder(name, &format!("<replica of {host}>"));
    }
}

/// Masks which node leads a partition: the first one to ask for it.
fn mask_leaders(transcript: &mut Transcript, cluster: &TestCluster) {
    for host in CONTROL_HOSTS {
        transcript.add_placeholder(&format!(r#""leader":"{}""#, cluster.ip(host)), r#""leader":"<leader>""#);
    }
}

/// Waits for a status that meets a condition, and adds it to the transcript.
fn ask_status(
    transcript: &mut Transcript,
    title: &str,
    at: SocketAddr,
    mut is_expected: impl FnMut(&Value) -> bool,
) {
    let mut last = None;
    wait_until(title, || {
        let answer = Client::connect(at).send_request(&operator_request("GET", "/-/status", "", ""));
        let status = serde_json::from_slice(&answer.body).expect("JSON");
        let is_found = is_expected(&status);
        last = Some((answer, status));
        is_found
    });
    let (answer, status) = last.expect("an answer");
    mask_replicas(transcript, &status);
    transcript.add_response(title, &answer);
}

#[test]
fn status_shows_replicas_and_partitions() {
    let cluster = TestCluster::new();
    let (_control, at) = single_control(&cluster);
    cluster.put_configuration(CONTROL_HOSTS[0], 0, &full_configuration());
    let mut transcript = Transcript::for_cluster(&cluster);
    ask_status(&mut transcript, "GET of the status of a group of one", at, |status| is_settled(status, 1));
    assert_golden("control/status_of_one.txt", transcript.text());
}

#[test]
fn status_shows_a_lost_replica_as_unreachable() {
    let cluster = TestCluster::new();
    let mut core = cluster.bootstrap_control_nodes();
    cluster.put_configuration(CONTROL_HOSTS[0], 0, &full_configuration());
    let mut transcript = Transcript::for_cluster(&cluster);
    mask_leaders(&mut transcript, &cluster);
    let at = cluster.address(CONTROL_HOSTS[0], CONTROL_PORT);
    ask_status(&mut transcript, "GET of the status of a group of three", at, |status| is_settled(status, 3));
    core[2].kill();
    ask_status(&mut transcript, "GET of the status after the loss of one", at, |status| {
        is_settled(status, 2) && status["replicas"][2]["status"] == "unreachable"
    });
    assert_golden("control/status_of_three.txt", transcript.text());
}

#[test]
fn status_shows_a_replica_without_a_seat() {
    let cluster = TestCluster::new();
    let _core = cluster.bootstrap_control_nodes();
    cluster.put_configuration(CONTROL_HOSTS[0], 0, &full_configuration());
    let mut transcript = Transcript::for_cluster(&cluster);
    mask_leaders(&mut transcript, &cluster);
    let at = cluster.address(CONTROL_HOSTS[0], CONTROL_PORT);
    wait_until("three vote", || {
        call(at, "GET", "/-/status", None, "").is_some_and(|(_, status)| is_settled(&status, 3))
    });
    let _fourth = cluster.start_control_node(16, &CONTROL_HOSTS, false);
    ask_status(&mut transcript, "GET of the status with a fourth control node", at, |status| {
        is_settled(status, 3) && status["replicas"][3]["status"] == "learner"
    });
    assert_golden("control/status_of_four.txt", transcript.text());
}

#[test]
fn directory_names_routers() {
    let cluster = TestCluster::new();
    let (_control, _) = single_control(&cluster);
    let at = cluster.address(CONTROL_HOSTS[0], DIRECTORY_PORT);
    let mut transcript = Transcript::for_cluster(&cluster);
    let resolve = |query: &str| operator_request("GET", &format!("/-/resolve{query}"), "", "");
    transcript.send_request("GET without a router", at, &resolve("?name=h.example&region=ra&zone=za"));
    let _routers = [21, 22].map(|host| cluster.start_router(host, &CONTROL_HOSTS[..1]));
    cluster.put_configuration(CONTROL_HOSTS[0], 0, &full_configuration());
    for (region, host) in [("ra", 21), ("rb", 22)] {
        let front = json!([cluster.address(host, FRONT_PORT).to_string()]);
        let knows = || {
            cluster
                .resolve_routers(CONTROL_HOSTS[0], region)
                .is_some_and(|answer| answer["addresses"] == front)
        };
        wait_until("the directory knows the router", knows);
    }
    for (title, query) in [
        ("GET for a region", "?name=h.example&region=ra&zone=za"),
        ("GET for another region", "?name=h.example&region=rb&zone=zb"),
        ("GET for a zone", "?name=h.example&zone=zb"),
        ("GET for an encoded region", "?name=h.example&region=%72a"),
    ] {
        transcript.send_request(title, at, &resolve(query));
    }
    transcript.send_request("GET of an unknown path", at, &operator_request("GET", "/", "", ""));
    transcript.send_request("POST", at, &operator_request("POST", "/-/resolve?region=ra", "", ""));
    assert_golden("control/directory.txt", transcript.text());
}
