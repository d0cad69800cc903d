//! HTTP responses of the router role: readiness, rejections, and the responses for each kind of server response.

use std::sync::Arc;

use serde_json::{Value, json};

use super::golden::assert_golden;
use super::system_common::calls::{Client, Response, call, get_request, request, route, send_request};
use super::system_common::server::{
    Gate, ReceivedRequest, STAMP_HEADER, Step, complete_response, complete_stream, id_header, ok_response,
    overloaded_response,
};
use super::system_common::transcript::{Transcript, operator_request};
use super::system_common::{
    CONTROL_HOSTS, FRONT_PORT, READINESS_PORT, ROUTER_HOST, TestCluster, configuration, wait_until,
};

/// A configuration with two routes to one service. Requests of the route `safe` may be executed more than once, those of the route
/// `unsafe` at most once.
fn safe_and_unsafe_routes() -> Value {
    configuration(1, &[("safe", json!({})), ("unsafe", json!({"route_kind": "unsafe"}))])
}

/// A GET request to a router; `headers` consists of complete header lines, each ending in CRLF, and may be followed by a body.
fn router_request(path: &str, headers: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: h.example\r\n{headers}\r\n").into_bytes()
}

#[test]
fn router_reports_whether_it_is_ready() {
    let cluster = TestCluster::new();
    let mut router = cluster.start_router(ROUTER_HOST, &CONTROL_HOSTS[..1]);
    let (front_address, readiness_address) =
        (cluster.address(ROUTER_HOST, FRONT_PORT), cluster.address(ROUTER_HOST, READINESS_PORT));
    let readiness_request = operator_request("GET", "/-/readyz", "", "");
    wait_until("the router answers GET /-/readyz", || {
        call(readiness_address, "GET", "/-/readyz", None, "").is_some()
    });
    let mut transcript = Transcript::for_cluster(&cluster);
    transcript.send_request(
        "GET of the readiness without a configuration",
        readiness_address,
        &readiness_request,
    );
    transcript.send_request("request without a configuration", front_address, &get_request("r1", "/safe/x"));
    let server = cluster.start_server(("i-1", "s", "za"), |received| ok_response(received, b"here"));
    cluster.platform.set_instances(vec![server.instance_entry()]);
    let _control = cluster.start_control_node(CONTROL_HOSTS[0], &CONTROL_HOSTS[..1], true);
    cluster.put_configuration(CONTROL_HOSTS[0], 0, &safe_and_unsafe_routes());
    cluster.wait_until_ready(ROUTER_HOST);
    transcript.send_request(
        "GET of the readiness of a router that serves",
        readiness_address,
        &readiness_request,
    );
    transcript.send_request(
        "GET of an unknown path",
        readiness_address,
        &operator_request("GET", "/", "", ""),
    );
    transcript.send_request(
        "POST to the readiness",
        readiness_address,
        &operator_request("POST", "/-/readyz", "", ""),
    );
    transcript.send_request("request to a router that serves", front_address, &get_request("r2", "/safe/x"));
    router.signal("TERM");
    wait_until("the router reports that it is not ready", || !cluster.is_ready(ROUTER_HOST));
    transcript.send_request(
        "GET of the readiness of a router that ends",
        readiness_address,
        &readiness_request,
    );
    transcript.send_request("request to a router that ends", front_address, &get_request("r3", "/safe/x"));
    router.kill();
    assert_golden("router/readiness.txt", transcript.text());
}

#[test]
fn router_rejects_malformed_and_unroutable_requests() {
    let cluster = TestCluster::new();
    let server = cluster.start_server(("i-1", "s", "za"), |received| ok_response(received, b"here"));
    let mut config = safe_and_unsafe_routes();
    config["limits"] = json!({"max_body_bytes": 1000});
    let _served = cluster.start_system(&[&server], &config);
    let front_address = cluster.address(ROUTER_HOST, FRONT_PORT);
    let id_header = "Ivyhatch-Attempt-Id: r1\r\n";
    let mut transcript = Transcript::for_cluster(&cluster);
    let large_body = "x".repeat(1001);
    for (title, request) in [
        ("path without a route", router_request("/nowhere/x", id_header)),
        (
            "host without a route",
            b"GET /safe/x HTTP/1.1\r\nHost: other\r\nIvyhatch-Attempt-Id: r1\r\n\r\n".to_vec(),
        ),
        ("no host", b"GET /safe/x HTTP/1.1\r\nIvyhatch-Attempt-Id: r1\r\n\r\n".to_vec()),
        ("no id", router_request("/safe/x", "")),
        ("two ids", router_request("/safe/x", &format!("{id_header}{id_header}"))),
        (
            "a deadline that is no number",
            router_request("/safe/x", &format!("{id_header}Ivyhatch-Deadline-Ms: soon\r\n")),
        ),
        (
            "a negative deadline",
            router_request("/safe/x", &format!("{id_header}Ivyhatch-Deadline-Ms: -1\r\n")),
        ),
        (
            "two lengths",
            router_request("/unsafe/x", &format!("{id_header}Content-Length: 1\r\nContent-Length: 1\r\n")),
        ),
        (
            "a body that is too large",
            router_request("/unsafe/x", &format!("{id_header}Content-Length: 1001\r\n")),
        ),
        (
            "a body in chunks that is too large",
            router_request(
                "/unsafe/x",
                &format!("{id_header}Transfer-Encoding: chunked\r\n\r\n3e9\r\n{large_body}\r\n0\r\n"),
            ),
        ),
        (
            "a body that does not arrive",
            router_request("/unsafe/x", &format!("{id_header}Content-Length: 10\r\n")),
        ),
        (
            "a head that is too long",
            router_request("/safe/x", &format!("{id_header}X: {}\r\n", "x".repeat(200_000))),
        ),
        ("what is no HTTP", b"\x00\x01\x02\r\n\r\n".to_vec()),
    ] {
        transcript.send_request(title, front_address, &request);
    }
    assert_eq!(server.take_request_count(), 0, "number of rejected requests that were sent to the server");
    assert_golden("router/rejections.txt", transcript.text());
}

#[test]
fn router_rejects_the_id_of_an_open_request() {
    let cluster = TestCluster::new();
    let gate = Arc::new(Gate::default());
    let server_gate = gate.clone();
    let server = cluster.start_server(("i-1", "s", "za"), move |received| {
        [vec![Step::Wait(server_gate.clone())], ok_response(received, b"here")].concat()
    });
    let _served = cluster.start_system(&[&server], &safe_and_unsafe_routes());
    let front_address = cluster.address(ROUTER_HOST, FRONT_PORT);
    let mut first_client = Client::connect(front_address);
    first_client.write(&get_request("r1", "/safe/x"));
    server.next_request();
    let mut transcript = Transcript::for_cluster(&cluster);
    transcript.send_request(
        "request with the id of an open request",
        front_address,
        &get_request("r1", "/safe/x"),
    );
    gate.open();
    let head = first_client.read_head();
    let body = first_client.read_body(&head).expect("the response to the first request is complete");
    transcript.add_response("the open request", &Response { head, body });
    assert_golden("router/id_in_use.txt", transcript.text());
}

#[test]
fn router_without_a_server_responds_503_with_retry_after() {
    let cluster = TestCluster::new();
    let _served = cluster.start_system(&[], &safe_and_unsafe_routes());
    let front_address = cluster.address(ROUTER_HOST, FRONT_PORT);
    let mut transcript = Transcript::for_cluster(&cluster);
    transcript.send_request("safe request", front_address, &get_request("r1", "/safe/x"));
    transcript.send_request(
        "unsafe request",
        front_address,
        &request("r2", "POST", "/unsafe/x", "", b"body"),
    );
    transcript.send_request(
        "request without time left",
        front_address,
        &router_request("/safe/x", "Ivyhatch-Attempt-Id: r3\r\nIvyhatch-Deadline-Ms: 0\r\n"),
    );
    assert_golden("router/no_server.txt", transcript.text());
}

/// Compares the responses of a router to one request per route with a golden file, where both servers follow this script. Each of the
/// two requests has a cluster of its own, so that neither is affected by open connections or ejected servers of the other one.
fn assert_responses_with_faulty_servers(
    name: &str,
    headers: &str,
    script: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
) {
    let script = Arc::new(script);
    let send_once = |method: &str, path: &str| {
        let cluster = TestCluster::new();
        let script = script.clone();
        let servers = cluster.start_server_pair(move |_, received| script(received));
        let _served = cluster.start_system(&[&servers[0], &servers[1]], &safe_and_unsafe_routes());
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: h.example\r\nIvyhatch-Attempt-Id: r1\r\n{headers}\r\n"
        );
        send_request(cluster.address(ROUTER_HOST, FRONT_PORT), request.as_bytes())
    };
    let mut transcript = Transcript::default();
    std::thread::scope(|scope| {
        let safe_thread = scope.spawn(|| send_once("GET", "/safe/x"));
        let unsafe_thread = scope.spawn(|| send_once("POST", "/unsafe/x"));
        transcript.add_response(
            "request that may run more than once",
            &safe_thread.join().expect("the safe request got a response"),
        );
        transcript.add_response(
            "request that may run once",
            &unsafe_thread.join().expect("the unsafe request got a response"),
        );
    });
    assert_golden(&format!("router/{name}.txt"), transcript.text());
}

#[test]
fn router_responds_503_when_all_servers_shed_the_request() {
    assert_responses_with_faulty_servers("servers_shed", "", |_| overloaded_response());
}

#[test]
fn router_responds_when_servers_close_the_connection() {
    assert_responses_with_faulty_servers("servers_close", "", |_| vec![Step::Close]);
}

#[test]
fn router_forwards_server_errors() {
    assert_responses_with_faulty_servers("servers_fail", "", |received| {
        vec![Step::Write(complete_response(
            500,
            &format!("{}{STAMP_HEADER}X-Own: 1\r\n", id_header(received.id())),
            b"failed",
        ))]
    });
}

#[test]
fn router_forwards_429_only_for_repeatable_requests() {
    assert_responses_with_faulty_servers("servers_answer_429", "", |received| {
        vec![Step::Write(complete_response(
            429,
            &format!("{}{STAMP_HEADER}", id_header(received.id())),
            b"failed",
        ))]
    });
}

#[test]
fn router_does_not_forward_a_success_without_a_server_stamp() {
    assert_responses_with_faulty_servers("servers_without_a_stamp", "", |received| {
        vec![Step::Write(complete_response(200, &id_header(received.id()), b"no stamp"))]
    });
}

#[test]
fn router_responds_when_servers_miss_the_deadline() {
    let gate = Arc::new(Gate::default());
    let server_gate = gate.clone();
    assert_responses_with_faulty_servers("servers_are_late", "Ivyhatch-Deadline-Ms: 700\r\n", move |_| {
        vec![Step::Wait(server_gate.clone())]
    });
    gate.open();
}

#[test]
fn router_forwards_responses_and_streams() {
    let cluster = TestCluster::new();
    let server = cluster.start_server(("i-1", "s", "za"), |received| match received.id() {
        "events" => complete_stream(received, 1..=3),
        _ => {
            let headers = "Content-Type: text/plain\r\nX-Own: 1\r\nIvyhatch-Server-Load: 1, 0, 8\r\n\
                Keep-Alive: timeout=5\r\nConnection: X-Hop\r\nX-Hop: 1\r\n";
            vec![Step::Write(complete_response(
                201,
                &format!("{headers}{}{STAMP_HEADER}", id_header(received.id())),
                b"here",
            ))]
        }
    });
    let mut config = safe_and_unsafe_routes();
    let streaming_route = route("events", &json!({"route_kind": "streaming", "resumable": true}));
    config["routes"].as_array_mut().expect("the routes are a list").push(streaming_route);
    let _served = cluster.start_system(&[&server], &config);
    let front_address = cluster.address(ROUTER_HOST, FRONT_PORT);
    let mut transcript = Transcript::for_cluster(&cluster);
    transcript.add_response("an answer", &send_request(front_address, &get_request("r1", "/safe/x")));
    transcript.add_response(
        "a stream",
        &send_request(front_address, &request("events", "POST", "/events/x", "", b"prompt")),
    );
    assert_golden("router/forwarded.txt", transcript.text());
}
