//! HTTP responses of the control role: those of its operator API and those of its directory.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::golden::assert_golden;
use super::system_common::calls::{Client, call, route};
use super::system_common::transcript::{Transcript, operator_request};
use super::system_common::{
    CONTROL_HOSTS, CONTROL_PORT, DIRECTORY_PORT, FRONT_PORT, Process, TestCluster, configuration, wait_until,
};

/// Path of the configuration in the operator API.
const CONFIG: &str = "/-/config";

/// Starts a control node that is the only member of its group; returns its process and the address of its operator API.
fn start_single_control_node(cluster: &TestCluster) -> (Process, SocketAddr) {
    let control = cluster.start_control_node(CONTROL_HOSTS[0], &CONTROL_HOSTS[..1], true);
    let address = cluster.address(CONTROL_HOSTS[0], CONTROL_PORT);
    wait_until("the single control node is voter and leader of each partition", || {
        call(address, "GET", "/-/status", None, "").is_some_and(|(_, status)| is_settled(&status, 1))
    });
    (control, address)
}

/// Whether a status shows a quorum, exactly this number of voters, no replica that lags behind, and a leader of each partition.
fn is_settled(status: &Value, voters: usize) -> bool {
    let replicas = status["replicas"].as_array().map(Vec::as_slice).unwrap_or_default();
    let partitions = status["partitions"].as_array().map(Vec::as_slice).unwrap_or_default();
    status["has_quorum"] == json!(true)
        && replicas.iter().filter(|replica| replica["status"] == "voter").count() == voters
        && replicas.iter().all(|replica| replica["changes_behind"] == json!(0))
        && !partitions.is_empty()
        && partitions.iter().all(|partition| !partition["leader"].is_null())
}

/// The `If-Match` header line for a change that is based on the revision `base`.
fn if_match(base: &str) -> String {
    format!("If-Match: {base}\r\n")
}

/// A configuration with revision 5 and each kind of field: lists of named items, other sections, and sections that this version of the
/// software does not define.
fn full_configuration() -> Value {
    let split_fields =
        json!({"service": null, "split": [{"service": "s", "weight": 3}, {"service": "t", "weight": 1.5}]});
    let mut config =
        configuration(5, &[("a", json!({})), ("b", json!({"route_kind": "unsafe"})), ("c", split_fields)]);
    let engine_service =
        json!({"name": "t", "engine": {"slots": 4, "cache_tokens": 1000}, "cold_s": 2.5, "cold_per_s": 7});
    config["services"].as_array_mut().expect("the services are a list").push(engine_service);
    config["limits"] = json!({"max_header_bytes": 8000, "max_body_bytes": 100000, "header_timeout_ms": 2000,
        "idle_timeout_ms": 9000});
    config["unknown_section"] = json!([{"name": "u", "x": [1, {"y": null}]}]);
    config["unknown_field"] = json!({"z": "\u{e9}\"\\"});
    config
}

#[test]
fn config_responses_before_and_after_the_first_configuration() {
    let cluster = TestCluster::new();
    let (_control, address) = start_single_control_node(&cluster);
    let mut transcript = Transcript::for_cluster(&cluster);
    let mut send = |title: &str, method: &str, headers: &str, body: &str| {
        transcript.send_request(title, address, &operator_request(method, CONFIG, headers, body));
    };
    let first_configuration = full_configuration().to_string();
    send("GET before the first configuration", "GET", "", "");
    send("PUT without If-Match", "PUT", "", &first_configuration);
    send("PUT with an If-Match that is no number", "PUT", &if_match("x"), &first_configuration);
    send(
        "PUT on a revision that is not current, before the first configuration",
        "PUT",
        &if_match("4"),
        &first_configuration,
    );
    send("PUT of the first configuration", "PUT", &if_match("0"), &first_configuration);
    send("GET of the first configuration", "GET", "", "");
    send("PUT of the same configuration again", "PUT", &if_match("0"), &first_configuration);
    let next_configuration = configuration(9, &[("a", json!({"timeout_ms": 10}))]).to_string();
    send("PUT on a revision that is not current", "PUT", &if_match("0"), &next_configuration);
    send("PUT with If-Match in quotes", "PUT", &if_match("\"5\""), &next_configuration);
    send("GET of the next configuration", "GET", "", "");
    send("PUT of a configuration that was replaced", "PUT", &if_match("9"), &first_configuration);
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
fn patch_on_revision_0_creates_the_first_configuration() {
    let cluster = TestCluster::new();
    let (_control, address) = start_single_control_node(&cluster);
    let mut transcript = Transcript::for_cluster(&cluster);
    let change = json!({"revision": 1, "upsert": {"services": [{"name": "s"}]}}).to_string();
    transcript.send_request(
        "PATCH on revision 0",
        address,
        &operator_request("PATCH", CONFIG, &if_match("0"), &change),
    );
    transcript.send_request("GET of the configuration", address, &operator_request("GET", CONFIG, "", ""));
    assert_golden("control/config_patched_first.txt", transcript.text());
}

/// A valid configuration with revision 7, which can replace a configuration with revision 5.
fn valid_configuration() -> String {
    configuration(7, &[("a", json!({})), ("b", json!({}))]).to_string()
}

/// Configurations that are rejected as a replacement of revision 5. The first element completes the title "PUT of a configuration ...".
fn invalid_configurations() -> Vec<(&'static str, String)> {
    let valid = valid_configuration();
    let modified = |change: &dyn Fn(&mut Value)| {
        let mut changed: Value = serde_json::from_str(&valid).expect("the valid configuration is JSON");
        change(&mut changed);
        changed.to_string()
    };
    let without_field = |field: &str| {
        modified(&|config| drop(config["routes"][0].as_object_mut().map(|route| route.remove(field))))
    };
    vec![
        ("cut short", valid[..valid.len() - 9].to_owned()),
        ("that is a list", "[]".to_owned()),
        ("that is empty", String::new()),
        (
            "without a revision",
            modified(&|config| drop(config.as_object_mut().map(|config| config.remove("revision")))),
        ),
        ("with a revision that is no whole number", modified(&|config| config["revision"] = json!(7.5))),
        ("with the current revision", modified(&|config| config["revision"] = json!(5))),
        ("with two routes of one name", modified(&|config| config["routes"][0]["name"] = json!("b"))),
        ("with a route without a timeout", without_field("timeout_ms")),
        ("with a route without a service", without_field("service")),
        ("with a timeout that is text", modified(&|config| config["routes"][0]["timeout_ms"] = json!("8"))),
        ("with an unknown kind of route", modified(&|config| config["routes"][0]["route_kind"] = json!("x"))),
        (
            "with a field of the wrong kind in limits",
            modified(&|config| config["limits"] = json!({"max_body_bytes": []})),
        ),
        ("with an unknown service", modified(&|config| config["routes"][0]["service"] = json!("z"))),
        (
            "with two routes at one place",
            modified(&|config| config["routes"][0]["path_prefix"] = json!("/b/")),
        ),
        (
            "with weights that sum to 0",
            modified(&|config| config["routes"][0]["split"] = json!([{"service": "s", "weight": 0}])),
        ),
        ("with a timeout of 0", modified(&|config| config["routes"][0]["timeout_ms"] = json!(0))),
        (
            "that is nested too deeply",
            valid.replacen('{', &format!("{{\"deep\":{}{},", "[".repeat(130), "]".repeat(130)), 1),
        ),
    ]
}

/// Changes that are rejected on top of revision 5. The first element completes the title "PATCH of a change ...".
fn invalid_changes() -> [(&'static str, Value); 5] {
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
fn config_rejections_state_the_reason() {
    let cluster = TestCluster::new();
    let (_control, address) = start_single_control_node(&cluster);
    let current = configuration(5, &[("a", json!({})), ("b", json!({}))]);
    cluster.put_configuration(CONTROL_HOSTS[0], 0, &current);
    let mut transcript = Transcript::for_cluster(&cluster);
    let mut send = |title: &str, request: &[u8]| transcript.send_request(title, address, request);
    let put = |body: &str| operator_request("PUT", CONFIG, &if_match("5"), body);
    for (defect, body) in invalid_configurations() {
        send(&format!("PUT of a configuration {defect}"), &put(&body));
    }
    for (defect, body) in invalid_changes() {
        let request = operator_request("PATCH", CONFIG, &if_match("5"), &body.to_string());
        send(&format!("PATCH of a change {defect}"), &request);
    }
    send("PUT of a body of over 16 MiB", &put(&"x".repeat((16 << 20) + 1)));
    let mut incomplete_request = put(&valid_configuration());
    incomplete_request.truncate(incomplete_request.len() - 5);
    send("PUT of a body that does not arrive", &incomplete_request);
    send("GET after all rejections", &operator_request("GET", CONFIG, "", ""));
    assert_golden("control/config_rejections.txt", transcript.text());
}

#[test]
fn responses_to_evacuation_and_unsupported_requests() {
    let cluster = TestCluster::new();
    let (_control, address) = start_single_control_node(&cluster);
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
        transcript.send_request(title, address, &operator_request(method, path, "", ""));
    }
    transcript.send_request("what is no HTTP", address, b"\x00\x01\x02\r\n\r\n");
    assert_golden("control/evacuations_and_unknown_calls.txt", transcript.text());
}

#[test]
fn control_node_without_a_quorum_is_unavailable() {
    let cluster = TestCluster::new();
    let _control = cluster.start_control_node(CONTROL_HOSTS[0], &CONTROL_HOSTS, true);
    let address = cluster.address(CONTROL_HOSTS[0], CONTROL_PORT);
    wait_until("the control node answers GET /-/status", || {
        call(address, "GET", "/-/status", None, "").is_some()
    });
    let mut transcript = Transcript::for_cluster(&cluster);
    let first_configuration = full_configuration().to_string();
    transcript.send_request("GET of the configuration", address, &operator_request("GET", CONFIG, "", ""));
    transcript.send_request(
        "PUT of the configuration",
        address,
        &operator_request("PUT", CONFIG, &if_match("0"), &first_configuration),
    );
    transcript.send_request(
        "POST of an evacuation",
        address,
        &operator_request("POST", "/-/evacuations/za", "", ""),
    );
    transcript.send_request("GET of the status", address, &operator_request("GET", "/-/status", "", ""));
    assert_golden("control/no_quorum.txt", transcript.text());
}

/// Masks the names of the replicas in a status, as they contain a random part.
fn mask_replicas(transcript: &mut Transcript, status: &Value) {
    for replica in status["replicas"].as_array().expect("the status has a list of replicas") {
        let name = replica["replica"].as_str().expect("a replica has a name");
        let (node, _) = name.split_once('/').expect("a replica's name consists of a node and its disk");
        let host = node.rsplit('.').next().expect("a node is named by its IP address");
        transcript.add_placeholder(name, &format!("<replica of {host}>"));
    }
}

/// Masks the leader of each partition, as the first node to request the leadership becomes leader.
fn mask_leaders(transcript: &mut Transcript, cluster: &TestCluster) {
    for host in CONTROL_HOSTS {
        transcript.add_placeholder(&format!(r#""leader":"{}""#, cluster.ip(host)), r#""leader":"<leader>""#);
    }
}

/// Requests the status until it meets a condition, and adds that response to the transcript.
fn ask_status(
    transcript: &mut Transcript,
    title: &str,
    address: SocketAddr,
    mut is_expected: impl FnMut(&Value) -> bool,
) {
    let mut latest = None;
    wait_until(title, || {
        let response = Client::connect(address).send_request(&operator_request("GET", "/-/status", "", ""));
        let status = serde_json::from_slice(&response.body).expect("the status is JSON");
        let is_met = is_expected(&status);
        latest = Some((response, status));
        is_met
    });
    let (response, status) = latest.expect("the control node sent a status");
    mask_replicas(transcript, &status);
    transcript.add_response(title, &response);
}

#[test]
fn status_shows_replicas_and_partitions() {
    let cluster = TestCluster::new();
    let (_control, address) = start_single_control_node(&cluster);
    cluster.put_configuration(CONTROL_HOSTS[0], 0, &full_configuration());
    let mut transcript = Transcript::for_cluster(&cluster);
    ask_status(&mut transcript, "GET of the status of a group of one", address, |status| {
        is_settled(status, 1)
    });
    assert_golden("control/status_of_one.txt", transcript.text());
}

#[test]
fn status_shows_a_lost_replica_as_unreachable() {
    let cluster = TestCluster::new();
    let mut core = cluster.bootstrap_control_nodes();
    cluster.put_configuration(CONTROL_HOSTS[0], 0, &full_configuration());
    let mut transcript = Transcript::for_cluster(&cluster);
    mask_leaders(&mut transcript, &cluster);
    let address = cluster.address(CONTROL_HOSTS[0], CONTROL_PORT);
    ask_status(&mut transcript, "GET of the status of a group of three", address, |status| {
        is_settled(status, 3)
    });
    core[2].kill();
    ask_status(&mut transcript, "GET of the status after the loss of one", address, |status| {
        is_settled(status, 2) && status["replicas"][2]["status"] == "unreachable"
    });
    assert_golden("control/status_of_three.txt", transcript.text());
}

#[test]
fn status_shows_a_learner_replica() {
    let cluster = TestCluster::new();
    let _core = cluster.bootstrap_control_nodes();
    cluster.put_configuration(CONTROL_HOSTS[0], 0, &full_configuration());
    let mut transcript = Transcript::for_cluster(&cluster);
    mask_leaders(&mut transcript, &cluster);
    let address = cluster.address(CONTROL_HOSTS[0], CONTROL_PORT);
    wait_until("the group has three voters and a leader of each partition", || {
        call(address, "GET", "/-/status", None, "").is_some_and(|(_, status)| is_settled(&status, 3))
    });
    let _fourth = cluster.start_control_node(16, &CONTROL_HOSTS, false);
    ask_status(&mut transcript, "GET of the status with a fourth control node", address, |status| {
        is_settled(status, 3) && status["replicas"][3]["status"] == "learner"
    });
    assert_golden("control/status_of_four.txt", transcript.text());
}

#[test]
fn directory_resolves_regions_and_zones_to_routers() {
    let cluster = TestCluster::new();
    let (_control, _) = start_single_control_node(&cluster);
    let address = cluster.address(CONTROL_HOSTS[0], DIRECTORY_PORT);
    let mut transcript = Transcript::for_cluster(&cluster);
    let resolve = |query: &str| operator_request("GET", &format!("/-/resolve{query}"), "", "");
    transcript.send_request("GET without a router", address, &resolve("?name=h.example&region=ra&zone=za"));
    let _routers = [21, 22].map(|host| cluster.start_router(host, &CONTROL_HOSTS[..1]));
    cluster.put_configuration(CONTROL_HOSTS[0], 0, &full_configuration());
    for (region, host) in [("ra", 21), ("rb", 22)] {
        let expected_addresses = json!([cluster.address(host, FRONT_PORT).to_string()]);
        let is_resolved = || {
            cluster
                .resolve_routers(CONTROL_HOSTS[0], region)
                .is_some_and(|response| response["addresses"] == expected_addresses)
        };
        wait_until("the directory resolves the region to its router", is_resolved);
    }
    for (title, query) in [
        ("GET for a region", "?name=h.example&region=ra&zone=za"),
        ("GET for another region", "?name=h.example&region=rb&zone=zb"),
        ("GET for a zone", "?name=h.example&zone=zb"),
        ("GET for an encoded region", "?name=h.example&region=%72a"),
    ] {
        transcript.send_request(title, address, &resolve(query));
    }
    transcript.send_request("GET of an unknown path", address, &operator_request("GET", "/", "", ""));
    transcript.send_request("POST", address, &operator_request("POST", "/-/resolve?region=ra", "", ""));
    assert_golden("control/directory.txt", transcript.text());
}
