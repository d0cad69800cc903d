//! Answers of the router role: its readiness, its own rejections, and what it makes of servers' answers.

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

/// Two routes to one service: requests of the first may run more than once, those of the second may not.
fn routes() -> Value {
    configuration(1, &[("safe", json!({})), ("unsafe", json!({"route_kind": "unsafe"}))])
}

/// A request to a router, without a body; `headers` are whole lines.
fn router_request(path: &str, headers: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: h.example\r\n{headers}\r\n").into_bytes()
}

#[test]
fn router_says_whether_it_is_ready() {
    let cluster = TestCluster::new();
    let mut router = cluster.start_router(ROUTER_HOST, &CONTROL_HOSTS[..1]);
    let (front, readiness) =
        (cluster.address(ROUTER_HOST, FRONT_PORT), cluster.address(ROUTER_HOST, READINESS_PORT));
    let ready = operator_request("GET", "/-/readyz", "", "");
    wait_until("it listens", || call(readiness, "GET", "/-/readyz", None, "").is_some());
    let mut transcript = Transcript::for_cluster(&cluster);
    transcript.send_request("GET of the readiness without a configuration", readiness, &ready);
    transcript.send_request("request without a configuration", front, &get_request("r1", "/safe/x"));
    let server = cluster.start_server(("i-1", "s", "za"), |received| ok_response(received, b"here"));
    cluster.platform.set_instances(vec![server.instance_entry()]);
    let _control = cluster.start_control_node(CONTROL_HOSTS[0], &CONTROL_HOSTS[..1], true);
    cluster.put_configuration(CONTROL_HOSTS[0], 0, &routes());
    cluster.wait_until_ready(ROUTER_HOST);
    transcript.send_request("GET of the readiness of a router that serves", readiness, &ready);
    transcript.send_request("GET of an unknown path", readiness, &operator_request("GET", "/", "", ""));
    transcript.send_request(
        "POST to the readiness",
        readiness,
        &operator_request("POST", "/-/readyz", "", ""),
    );
    transcript.send_request("request to a router that serves", front, &get_request("r2", "/safe/x"));
    router.signal("TERM");
    wait_until("it is no longer ready", || !cluster.is_ready(ROUTER_HOST));
    transcript.send_request("GET of the readiness of a router that ends", readiness, &ready);
    transcript.send_request("request to a router that ends", front, &get_request("r3", "/safe/x"));
    router.kill();
    assert_golden("router/readiness.txt", transcript.text());
}

#[test]
fn router_rejects_requests_that_it_cannot_route() {
    let cluster = TestCluster::new();
    let server = cluster.start_server(("i-1", "s", "za"), |received| ok_response(received, b"here"));
    let mut all = routes();
    all["limits"] = json!({"max_body_bytes": 1000});
    let _served = cluster.start_system(&[&server], &all);
    let front = cluster.address(ROUTER_HOST, FRONT_PORT);
    let id = "Ivyhatch-Attempt-Id: r1\r\n";
    let mut transcript = Transcript::for_cluster(&cluster);
    let too_large = "x".repeat(1001);
    for (title, request) in [
        ("path without a route", router_request("/nowhere/x", id)),
        (
            "host without a route",
            b"GET /safe/x HTTP/1.1\r\nHost: other\r\nIvyhatch-Attempt-Id: r1\r\n\r\n".to_vec(),
        ),
        ("no host", b"GET /safe/x HTTP/1.1\r\nIvyhatch-Attempt-Id: r1\r\n\r\n".to_vec()),
        ("no id", router_request("/safe/x", "")),
        ("two ids", router_request("/safe/x", &format!("{id}{id}"))),
        (
            "a deadline that is no number",
            router_request("/safe/x", &format!("{id}Ivyhatch-Deadline-Ms: soon\r\n")),
        ),
        ("a negative deadline", router_request("/safe/x", &format!("{id}Ivyhatch-Deadline-Ms: -1\r\n"))),
        (
            "two lengths",
            router_request("/unsafe/x", &format!("{id}Content-Length: 1\r\nContent-Length: 1\r\n")),
        ),
        ("a body that is too large", router_request("/unsafe/x", &format!("{id}Content-Length: 1001\r\n"))),
        (
            "a body in chunks that is too large",
            router_request(
                "/unsafe/x",
                &format!("{id}Transfer-Encoding: chunked\r\n\r\n3e9\r\n{too_large}\r\n0\r\n"),
            ),
        ),
        ("a body that does not arrive", router_request("/unsafe/x", &format!("{id}Content-Length: 10\r\n"))),
        (
            "a head that is too long",
            router_request("/safe/x", &format!("{id}X: {}\r\n", "x".repeat(200_000))),
        ),
        ("what is no HTTP", b"\x00\x01\x02\r\n\r\n".to_vec()),
    ] {
        transcript.send_request(title, front, &request);
    }
    assert_eq!(server.take_request_count(), 0, "no request has reached the server");
    assert_golden("router/rejections.txt", transcript.text());
}

#[test]
fn router_rejects_an_id_that_an_open_request_has() {
    let cluster = TestCluster::new();
    let gate = Arc::new(Gate::default());
    let held = gate.clone();
    let server = cluster.start_server(("i-1", "s", "za"), move |received| {
        [vec![Step::Wait(held.clone())], ok_response(received, b"here")].concat()
    });
    let _served = cluster.start_system(&[&server], &routes());
    let front = cluster.address(ROUTER_HOST, FRONT_PORT);
    let mut first = Client::connect(front);
    first.write(&get_request("r1", "/safe/x"));
    server.next_request();
    let mut transcript = Transcript::for_cluster(&cluster);
    transcript.send_request("request with the id of an open request", front, &get_request("r1", "/safe/x"));
    gate.open();
    let head = first.read_head();
    let body = first.read_body(&head).expect("a whole answer");
    transcript.add_response("the open request", &Response { head, body });
    assert_golden("router/id_in_use.txt", transcript.text());
}

#[test]
fn router_without_a_server_asks_clients_to_retry_later() {
    let cluster = TestCluster::new();
    let _served = cluster.start_system(&[], &routes());
    let front = cluster.address(ROUTER_HOST, FRONT_PORT);
    let mut transcript = Transcript::for_cluster(&cluster);
    transcript.send_request("safe request", front, &get_request("r1", "/safe/x"));
    transcript.send_request("unsafe request", front, &request("r2", "POST", "/unsafe/x", "", b"body"));
    transcript.send_request(
        "request without time left",
        front,
        &router_request("/safe/x", "Ivyhatch-Attempt-Id: r3\r\nIvyhatch-Deadline-Ms: 0\r\n"),
    );
    assert_golden("router/no_server.txt", transcript.text());
}

/// Compares what a router answers once on each route, with servers that do this with each request. Each route's request has a
/// system of its own, so that neither finds what the other has left: kept connections, or servers that are ejected.
fn assert_failure(
    name: &str,
    headers: &str,
    does: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
) {
    let does = Arc::new(does);
    let ask_once = |method: &str, path: &str| {
        let cluster = TestCluster::new();
        let does = does.clone();
        let servers = cluster.start_server_pair(move |_, received| does(received));
        let _served = cluster.start_system(&[&servers[0], &servers[1]], &routes());
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: h.example\r\nIvyhatch-Attempt-Id: r1\r\n{headers}\r\n"
        );
        send_request(cluster.address(ROUTER_HOST, FRONT_PORT), request.as_bytes())
    };
    let mut transcript = Transcript::default();
    std::thread::scope(|scope| {
        let safe = scope.spawn(|| ask_once("GET", "/safe/x"));
        let once = scope.spawn(|| ask_once("POST", "/unsafe/x"));
        transcript.add_response("request that may run more than once", &safe.join().expect("an answer"));
        transcript.add_response("request that may run once", &once.join().expect("an answer"));
    });
    assert_golden(&format!("router/{name}.txt"), transcript.text());
}

#[test]
fn router_refuses_what_all_servers_shed() {
    assert_failure("servers_shed", "", |_| overloaded_response());
}

#[test]
fn router_answers_for_servers_that_close_the_connection() {
    assert_failure("servers_close", "", |_| vec![Step::Close]);
}

#[test]
fn router_forwards_failures_of_servers() {
    assert_failure("servers_fail", "", |received| {
        vec![Step::Write(complete_response(
            500,
            &format!("{}{STAMP_HEADER}X-Own: 1\r\n", id_header(received.id())),
            b"failed",
        ))]
    });
}

#[test]
fn router_forwards_429_only_where_the_request_may_run_again() {
    assert_failure("servers_answer_429", "", |received| {
        vec![Step::Write(complete_response(
            429,
            &format!("{}{STAMP_HEADER}", id_header(received.id())),
            b"failed",
        ))]
    });
}

#[test]
fn router_does_not_forward_a_success_without_a_stamp() {
    assert_failure("servers_without_a_stamp", "", |received| {
        vec![Step::Write(complete_response(200, &id_header(received.id()), b"no stamp"))]
    });
}

#[test]
fn router_answers_for_servers_that_do_not_answer_in_time() {
    let gate = Arc::new(Gate::default());
    let held = gate.clone();
    assert_failure("servers_are_late", "Ivyhatch-Deadline-Ms: 700\r\n", move |_| {
        vec![Step::Wait(held.clone())]
    });
    gate.open();
}

#[test]
fn router_forwards_answers_and_streams() {
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
    let mut all = routes();
    let streaming = route("events", &json!({"route_kind": "streaming", "resumable": true}));
    all["routes"].as_array_mut().expect("routes").push(streaming);
    let _served = cluster.start_system(&[&server], &all);
    let front = cluster.address(ROUTER_HOST, FRONT_PORT);
    let mut transcript = Transcript::for_cluster(&cluster);
    transcript.add_response("an answer", &send_request(front, &get_request("r1", "/safe/x")));
    transcript.add_response(
        "a stream",
        &send_request(front, &request("events", "POST", "/events/x", "", b"prompt")),
    );
    assert_golden("router/forwarded.txt", transcript.text());
}
