//! Injects a fault at every byte of the exchanges between a router and its clients and servers. Under each fault, a request that is not
//! idempotent is executed at most once, its client gets its own response or none, and a status that states that the request was not
//! executed is sent only if no server executed it.

mod system_common;

use std::collections::{BTreeMap, HashMap};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::json;
use system_common::calls::{Client, TruncatedBody};
use system_common::faults::{
    ExchangeLengths, Fault, FaultyServers, MessageKind, PlannedFault, RequestRecord, ResponseFn,
    ScriptedResponse,
};
use system_common::{
    CONTROL_HOSTS, FRONT_PORT, ROUTER_HOST, RunningSystem, TestCluster, WAIT_TIMEOUT, configuration,
    wait_until,
};

/// Number of servers if all of them respond.
const SERVERS: usize = 12;
/// Number of servers if some stop responding: the router avoids those for a while, so more are needed.
const SILENT_SERVERS: usize = 72;
/// Number of concurrent clients.
const CLIENTS: usize = 24;
/// Deadline of requests that are expected to get a response, in milliseconds.
const DEADLINE_MS: u64 = 6000;
/// Deadline of requests whose server stops responding, in milliseconds.
const SILENCE_DEADLINE_MS: u64 = 400;
/// Number of requests that a client sends without waiting for responses.
const PIPELINED_REQUESTS: usize = 3;
/// Recorded instead of a status if the client disconnected, or its connection ended, before a response.
const NO_RESPONSE: u16 = 0;
/// Statuses that guarantee to clients that the request was not executed and never will be.
const NOT_EXECUTED_STATUSES: [u16; 4] = [408, 421, 429, 503];

const REQUEST_FAULTS: [(MessageKind, Fault); 3] = [
    (MessageKind::Request, Fault::Close),
    (MessageKind::Request, Fault::Reset),
    (MessageKind::Request, Fault::Delay),
];
const RESPONSE_FAULTS: [(MessageKind, Fault); 6] = [
    (MessageKind::Response, Fault::Close),
    (MessageKind::Response, Fault::Reset),
    (MessageKind::Response, Fault::Delay),
    (MessageKind::Response, Fault::SplitDuplicate),
    (MessageKind::Response, Fault::LateDuplicate),
    (MessageKind::Response, Fault::Restart),
];
const SILENCE_FAULTS: [(MessageKind, Fault); 2] =
    [(MessageKind::Request, Fault::Stall), (MessageKind::Response, Fault::Stall)];

/// Response to one request as its client received it.
#[derive(Clone, Debug)]
struct Outcome {
    status: u16,
    stamps: Vec<String>,
    body: std::result::Result<Vec<u8>, TruncatedBody>,
}

impl Outcome {
    fn no_response() -> Self {
        Self { status: NO_RESPONSE, stamps: Vec::new(), body: Err(TruncatedBody(Vec::new())) }
    }
}

/// A cluster with fault-injecting servers, and the outcome of each request sent to it.
struct Fixture {
    cluster: TestCluster,
    servers: FaultyServers,
    route: &'static str,
    next_id: AtomicUsize,
    outcomes: Mutex<HashMap<String, Outcome>>,
    _system: RunningSystem,
}

/// Response of a server; a 503 states that the request was not executed.
fn scripted_response(status: u16, id: &str, headers: &str, body: &str) -> ScriptedResponse {
    let head = format!("HTTP/1.1 {status} X\r\nIvyhatch-Attempt-Id: {id}\r\n{headers}\r\n");
    ScriptedResponse { bytes: [head.as_bytes(), body.as_bytes()].concat(), is_rejection: status == 503 }
}

fn response_with_length(id: &str) -> ScriptedResponse {
    let headers = format!("Ivyhatch-Server-Stamp: {id}\r\nContent-Length: {}\r\n", id.len());
    scripted_response(200, id, &headers, id)
}

fn chunked_response(id: &str) -> ScriptedResponse {
    let headers = format!("Ivyhatch-Server-Stamp: {id}\r\nTransfer-Encoding: chunked\r\n");
    let (first, second) = id.split_at(3);
    scripted_response(200, id, &headers, &format!("3\r\n{first}\r\n5\r\n{second}\r\n0\r\n\r\n"))
}

/// Events of a stream response.
fn events(id: &str) -> [String; 2] {
    [1, 2].map(|number| format!("id: {number}\ndata: {id}\n\n"))
}

fn stream_response(id: &str) -> ScriptedResponse {
    let headers = format!(
        "Ivyhatch-Server-Stamp: {id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
    );
    let pieces = events(id).map(|event| format!("{:x}\r\n{event}\r\n", event.len())).concat();
    scripted_response(200, id, &headers, &format!("{pieces}0\r\n\r\n"))
}

/// Rejects requests whose id is even and accepts the others; rejections and responses have the same length.
fn rejection_or_response(id: &str) -> ScriptedResponse {
    let length = id.len();
    if id.ends_with(['0', '2', '4', '6', '8']) {
        return scripted_response(
            503,
            id,
            &format!("Ivyhatch-Not-Executed: {id}\r\nContent-Length: {length}\r\n"),
            "is full!",
        );
    }
    response_with_length(id)
}

impl Fixture {
    fn new(route: &'static str, respond: ResponseFn, server_count: usize) -> Self {
        let cluster = TestCluster::new();
        let servers = FaultyServers::new(respond);
        cluster.platform.set_instances(servers.start(cluster.ip(31), server_count));
        let routes = [
            ("unsafe", json!({"route_kind": "unsafe"})),
            ("stream", json!({"route_kind": "streaming", "resumable": false})),
        ];
        let mut configuration = configuration(1, &routes);
        configuration["services"][0]["max_conns"] = json!(10_000);
        let control = cluster.start_control_node(CONTROL_HOSTS[0], &CONTROL_HOSTS[..1], true);
        let router = cluster.start_router(ROUTER_HOST, &CONTROL_HOSTS[..1]);
        cluster.put_configuration(CONTROL_HOSTS[0], 0, &configuration);
        cluster.wait_until_ready(ROUTER_HOST);
        let system = RunningSystem { control, router };
        Self {
            cluster,
            servers,
            route,
            next_id: AtomicUsize::new(0),
            outcomes: Mutex::default(),
            _system: system,
        }
    }

    /// Id and text of a new request; all requests with the same deadline have the same length.
    fn request(&self, deadline_ms: u64) -> (String, String) {
        let id = format!("c{:07}", self.next_id.fetch_add(1, Ordering::SeqCst));
        let text = format!(
            "POST /{}/{id} HTTP/1.1\r\nHost: h.example\r\nIvyhatch-Attempt-Id: {id}\r\n\
             Ivyhatch-Deadline-Ms: {deadline_ms}\r\nContent-Length: 8\r\n\r\n{id}",
            self.route
        );
        (id, text)
    }

    fn connect(&self) -> Client {
        Client::connect(self.cluster.address(ROUTER_HOST, FRONT_PORT))
    }

    fn record(&self, id: String, outcome: Outcome) {
        self.outcomes.lock().unwrap().insert(id, outcome);
    }

    /// Reads and records the response to a request; returns whether the connection can carry another request.
    fn read_response(&self, id: String, client: &mut Client) -> bool {
        let Some(head) = client.try_read_head() else {
            self.record(id, Outcome::no_response());
            return false;
        };
        let body = client.read_body(&head);
        let is_reusable = body.is_ok() && head.header("connection") != Some("close");
        let stamp_headers =
            head.headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("ivyhatch-server-stamp"));
        let stamps = stamp_headers.map(|(_, value)| value.clone()).collect();
        self.record(id, Outcome { status: head.status, stamps, body });
        is_reusable
    }

    /// Sends one request, on `client` if there is one, and leaves in it the connection if it can be reused.
    fn send_request(&self, client: &mut Option<Client>, deadline_ms: u64) {
        let (id, text) = self.request(deadline_ms);
        let mut connection = client.take().unwrap_or_else(|| self.connect());
        connection.write(text.as_bytes());
        *client = self.read_response(id, &mut connection).then_some(connection);
    }

    /// Has the servers record an exchange without faults; returns the lengths of its messages.
    fn record_exchange(&self, deadline_ms: u64) -> ExchangeLengths {
        wait_until("the servers record an exchange", || {
            self.send_request(&mut None, deadline_ms);
            self.servers.last_exchange().is_some()
        });
        self.servers.last_exchange().expect("an exchange was recorded")
    }

    /// Injects each of these faults at every byte of an exchange, on new and on reused connections; returns the number of faults.
    fn inject_faults(&self, faults: &[(MessageKind, Fault)], deadline_ms: u64) -> usize {
        self.record_exchange(deadline_ms);
        let fault_count = self.servers.plan_faults(faults);
        let end = Instant::now() + 3 * WAIT_TIMEOUT;
        run_concurrently(|| {
            let mut client = None;
            while self.servers.request_log().remaining_faults() > 0 {
                assert_that!(Instant::now(), lt(end), "not all faults were injected in time");
                self.send_request(&mut client, deadline_ms);
            }
        });
        fault_count
    }

    /// Asserts what must hold for each request under any fault.
    fn verify(&self) {
        let response_length = self.servers.last_exchange().map_or(0, |lengths| lengths.response);
        let (request_log, outcomes) = (self.servers.request_log(), self.outcomes.lock().unwrap());
        let not_received = RequestRecord::default();
        for (id, outcome) in outcomes.iter() {
            let request_record = request_log.requests.get(id).unwrap_or(&not_received);
            let context = format!("request {id}: {outcome:?}, {request_record:?}");
            assert_that!(request_record.executions, le(1), "executed more than once: {context}");
            // Only a rejection may be followed by another attempt.
            assert_that!(
                request_record.arrivals,
                le(request_record.rejections + 1),
                "sent to a server again without a rejection: {context}"
            );
            match outcome.status {
                200 => self.verify_success(id, outcome, request_record),
                status if NOT_EXECUTED_STATUSES.contains(&status) => {
                    assert_that!(
                        (request_record.executions, request_record.arrivals),
                        eq((0, request_record.rejections)),
                        "status {status} states that the request was not executed: {context}"
                    );
                }
                status => assert_that!(status, any!(eq(502), eq(504), eq(NO_RESPONSE)), "{context}"),
            }
            let answered = request_record.faults.iter().filter(|_| outcome.status != NO_RESPONSE);
            for planned in answered {
                let after_last_byte =
                    planned.message == MessageKind::Response && planned.offset == response_length;
                verify_planned_fault(*planned, after_last_byte, outcome, request_record, &context);
            }
        }
        let answered =
            outcomes.values().filter(|outcome| !NOT_EXECUTED_STATUSES.contains(&outcome.status)).count();
        // Includes requests of which too few bytes arrived to identify them.
        assert_that!(request_log.started_requests, le(answered + request_log.rejections));
        assert_that!(
            request_log.requests_after_surplus,
            is_empty(),
            "requests sent on connections that had delivered surplus bytes"
        );
    }

    /// Waits until the servers' log shows of each request with status 502 that the request was sent on a connection that its server had
    /// closed. The router can't know whether such a request was executed; nothing else in a test without broken responses leads to 502.
    fn wait_until_bad_gateways_arrived_after_close(&self) {
        let outcomes = self.outcomes.lock().unwrap();
        for (id, outcome) in outcomes.iter().filter(|(_, outcome)| outcome.status == 502) {
            let description = format!("request {id} arrives on a closed connection: {outcome:?}");
            wait_until(&description, || self.servers.request_log().requests_after_close.contains(id));
        }
    }

    fn verify_success(&self, id: &str, outcome: &Outcome, request_record: &RequestRecord) {
        let expected_body = if self.route == "stream" { events(id).concat() } else { id.to_owned() };
        assert_that!(
            request_record.executions,
            eq(1),
            "executions of request {id}: {outcome:?}, {request_record:?}"
        );
        assert_that!(
            outcome.stamps,
            elements_are![eq(id)],
            "server stamps of request {id}: {request_record:?}"
        );
        match &outcome.body {
            Ok(body) => {
                assert_that!(*body, eq(expected_body.as_bytes()), "body of request {id}: {request_record:?}")
            }
            Err(TruncatedBody(part)) => {
                assert!(
                    self.route == "stream" && expected_body.as_bytes().starts_with(part),
                    "truncated body of request {id}: {outcome:?}"
                );
            }
        }
    }

    /// Number of requests by status.
    fn count_by_status(&self) -> BTreeMap<u16, usize> {
        let mut counts = BTreeMap::new();
        for outcome in self.outcomes.lock().unwrap().values() {
            *counts.entry(outcome.status).or_default() += 1;
        }
        counts
    }
}

/// Asserts whether the client got a complete response, as the planned fault requires. `after_last_byte`: the fault followed the complete
/// response.
fn verify_planned_fault(
    planned: PlannedFault,
    after_last_byte: bool,
    outcome: &Outcome,
    request_record: &RequestRecord,
    context: &str,
) {
    let is_complete = outcome.status == 200 && outcome.body.is_ok();
    match planned.fault {
        // The reset may discard the last bytes before the router reads them.
        Fault::Reset if after_last_byte => {}
        Fault::Close | Fault::Reset | Fault::Stall if !after_last_byte => {
            assert!(!is_complete, "complete response despite {planned:?}: {context}")
        }
        // The restarted response may parse as a valid one after part of a status line; `verify` checks it like any other.
        Fault::Restart if planned.offset > 0 => {}
        _ if request_record.rejections > 0
            || request_record.executions == 0
            || request_record.after_duplicate => {}
        _ => assert!(is_complete, "no complete response after {planned:?}: {context}"),
    }
}

/// Runs `script` concurrently in [`CLIENTS`] threads and waits for all of them.
fn run_concurrently(script: impl Fn() + Sync) {
    thread::scope(|scope| {
        (0..CLIENTS).for_each(|_| drop(scope.spawn(&script)));
    });
}

/// Runs a complete fault test: injects `faults` at every byte of exchanges on `route` and verifies the outcome of each request.
fn run_faults(route: &'static str, respond: ResponseFn, faults: &[(MessageKind, Fault)], deadline_ms: u64) {
    let has_unresponsive_servers = faults.iter().any(|(_, fault)| *fault == Fault::Stall);
    let fixture =
        Fixture::new(route, respond, if has_unresponsive_servers { SILENT_SERVERS } else { SERVERS });
    let started = Instant::now();
    let fault_count = fixture.inject_faults(faults, deadline_ms);
    println!(
        "{fault_count} faults in {:?}; requests by status: {:?}",
        started.elapsed(),
        fixture.count_by_status()
    );
    fixture.verify();
}

#[test]
fn response_with_content_length_reaches_its_own_client_once() {
    run_faults(
        "unsafe",
        response_with_length,
        &[&REQUEST_FAULTS[..], &RESPONSE_FAULTS[..]].concat(),
        DEADLINE_MS,
    );
}

#[test]
fn chunked_response_reaches_its_own_client_once() {
    run_faults("unsafe", chunked_response, &RESPONSE_FAULTS, DEADLINE_MS);
}

#[test]
fn non_resumable_stream_reaches_its_own_client_once() {
    run_faults("stream", stream_response, &RESPONSE_FAULTS, DEADLINE_MS);
}

#[test]
fn rejection_is_forwarded_only_where_nothing_was_executed() {
    run_faults("unsafe", rejection_or_response, &RESPONSE_FAULTS, DEADLINE_MS);
}

#[test]
fn request_to_an_unresponsive_server_is_never_reported_as_not_executed() {
    run_faults("unsafe", response_with_length, &SILENCE_FAULTS, SILENCE_DEADLINE_MS);
}

#[test]
fn stalled_stream_is_never_forwarded_as_complete() {
    run_faults("stream", stream_response, &SILENCE_FAULTS[1..], SILENCE_DEADLINE_MS);
}

/// Pipelined requests get their own responses in order, wherever the network splits their bytes.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let fixture = Fixture::new("unsafe", response_with_length, SERVERS);
    let request_length = fixture.record_exchange(DEADLINE_MS).request;
    fixture.servers.plan_faults(&RESPONSE_FAULTS);
    let (next_split, total_length) = (AtomicUsize::new(0), PIPELINED_REQUESTS * request_length);
    run_concurrently(|| {
        while fixture.servers.request_log().remaining_faults() > 0
            || next_split.load(Ordering::SeqCst) <= total_length
        {
            let requests = [(); PIPELINED_REQUESTS].map(|()| fixture.request(DEADLINE_MS));
            let text = requests.each_ref().map(|(_, text)| text.as_str()).concat();
            let split = next_split.fetch_add(1, Ordering::SeqCst) % text.len();
            let mut client = fixture.connect();
            client.write(&text.as_bytes()[..split]);
            thread::sleep(Duration::from_millis(1));
            client.write(&text.as_bytes()[split..]);
            let mut is_reusable = true;
            for (id, _) in requests {
                assert_that!(
                    is_reusable,
                    eq(true),
                    "the connection ended before the response to request {id}"
                );
                is_reusable = fixture.read_response(id, &mut client);
            }
        }
    });
    println!(
        "{} pipelines; requests by status: {:?}",
        next_split.load(Ordering::SeqCst),
        fixture.count_by_status()
    );
    fixture.verify();
}

/// How a client ends its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disconnect {
    Close,
    Reset,
    /// Shuts down its sending side and waits for the response.
    HalfClose,
}

/// Clients disconnect at each byte of a request; an earlier request on the same connection still gets its response.
#[test]
fn incomplete_request_reaches_no_server() {
    let fixture = Fixture::new("unsafe", response_with_length, SERVERS);
    fixture.record_exchange(DEADLINE_MS);
    let request_length = fixture.request(DEADLINE_MS).1.len();
    fixture.servers.plan_faults(&[(MessageKind::Response, Fault::Delay)]);
    let next_case = AtomicUsize::new(0);
    let disconnects = [Disconnect::Close, Disconnect::Reset, Disconnect::HalfClose];
    let complete = Mutex::new(Vec::new());
    run_concurrently(|| {
        loop {
            let number = next_case.fetch_add(1, Ordering::SeqCst);
            // Every other case sends a complete request first, together with the incomplete one.
            let (is_pipelined, case) = (number % 2 == 1, number / 2);
            let (disconnect, sent_bytes) = (disconnects[case % disconnects.len()], case / disconnects.len());
            if sent_bytes > request_length {
                return;
            }
            let (first, (id, text)) = (fixture.request(DEADLINE_MS), fixture.request(DEADLINE_MS));
            let mut client = fixture.connect();
            let preceding = if is_pipelined { first.1.as_str() } else { "" };
            client.write(&[preceding.as_bytes(), &text.as_bytes()[..sent_bytes]].concat());
            if is_pipelined {
                fixture.read_response(first.0, &mut client);
            }
            if sent_bytes == request_length {
                complete.lock().unwrap().push(id.clone());
            }
            match disconnect {
                Disconnect::Close => fixture.record(id, Outcome::no_response()),
                Disconnect::Reset => {
                    client.reset();
                    fixture.record(id, Outcome::no_response());
                }
                Disconnect::HalfClose => {
                    client.half_close();
                    // The router may respond that the request is incomplete.
                    fixture.read_response(id, &mut client);
                }
            }
            // The next request gets its own response, also if the router reuses a server connection.
            fixture.send_request(&mut None, DEADLINE_MS);
        }
    });
    println!(
        "requests cut off at {} bytes each; requests by status: {:?}",
        request_length + 1,
        fixture.count_by_status()
    );
    fixture.verify();
    fixture.wait_until_bad_gateways_arrived_after_close();
    let (request_log, complete) = (fixture.servers.request_log(), complete.lock().unwrap());
    let outcomes = fixture.outcomes.lock().unwrap();
    for (id, outcome) in outcomes.iter() {
        assert_that!(outcome.status, any!(eq(200), eq(408), eq(502), eq(NO_RESPONSE)), "{id}: {outcome:?}");
        if outcome.status != 200 && !complete.contains(id) {
            assert_that!(
                request_log.requests.contains_key(id),
                eq(false),
                "incomplete request {id} reached a server: {outcome:?}"
            );
        }
    }
}

/// Clients disconnect at each byte of their response.
#[test]
fn client_that_abandons_its_response_does_not_affect_others() {
    let fixture = Fixture::new("stream", stream_response, SERVERS);
    fixture.record_exchange(DEADLINE_MS);
    let response_length = fixture.servers.last_exchange().map_or(0, |lengths| lengths.response);
    fixture
        .servers
        .plan_faults(&[(MessageKind::Response, Fault::Delay), (MessageKind::Response, Fault::LateDuplicate)]);
    let next_case = AtomicUsize::new(0);
    run_concurrently(|| {
        loop {
            let read_bytes = next_case.fetch_add(1, Ordering::SeqCst);
            if read_bytes > response_length {
                return;
            }
            let (id, text) = fixture.request(DEADLINE_MS);
            let mut client = fixture.connect();
            // The router closes the connection after the response, so that `skip_bytes` ends if the response is shorter.
            client.write(text.replacen("\r\n", "\r\nConnection: close\r\n", 1).as_bytes());
            client.skip_bytes(read_bytes);
            if read_bytes.is_multiple_of(2) {
                client.reset()
            } else {
                drop(client)
            }
            fixture.record(id, Outcome::no_response());
            fixture.send_request(&mut None, DEADLINE_MS);
        }
    });
    println!("requests by status: {:?}", fixture.count_by_status());
    fixture.verify();
}
