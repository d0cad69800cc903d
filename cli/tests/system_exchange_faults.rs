//! A router between clients and servers while one exchange after another fails at each of its bytes. Whatever happens, a request that
//! is not idempotent reaches a server once at most, its client gets its own response or none, and a status that proves that it was
//! not executed is sent only where it was not.

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

/// Servers, and clients that ask at the same time.
const SERVERS: usize = 12;
const SILENT_SERVERS: usize = 72;
const CLIENTS: usize = 24;
/// What clients wait for an answer that comes, and for one that does not.
const LONG_MS: u64 = 6000;
const SHORT_MS: u64 = 400;
/// Requests that come in one go.
const PIPELINED: usize = 3;
/// Stands for the status where the client left, or its connection ended, before an answer.
const NO_ANSWER: u16 = 0;
/// Statuses by which clients know that a request was not executed and never will be.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

const AT_REQUEST: [(MessageKind, Fault); 3] = [
    (MessageKind::Request, Fault::Close),
    (MessageKind::Request, Fault::Reset),
    (MessageKind::Request, Fault::Delay),
];
const AT_ANSWER: [(MessageKind, Fault); 6] = [
    (MessageKind::Response, Fault::Close),
    (MessageKind::Response, Fault::Reset),
    (MessageKind::Response, Fault::Delay),
    (MessageKind::Response, Fault::SplitDuplicate),
    (MessageKind::Response, Fault::LateDuplicate),
    (MessageKind::Response, Fault::Restart),
];
const MUTE: [(MessageKind, Fault); 2] =
    [(MessageKind::Request, Fault::Stall), (MessageKind::Response, Fault::Stall)];

/// What a client got.
#[derive(Clone, Debug)]
struct Got {
    status: u16,
    stamps: Vec<String>,
    body: std::result::Result<Vec<u8>, TruncatedBody>,
}

impl Got {
    fn none() -> Self {
        Self { status: NO_ANSWER, stamps: Vec::new(), body: Err(TruncatedBody(Vec::new())) }
    }
}

/// A system whose servers go wrong.
struct Trial {
    cluster: TestCluster,
    servers: FaultyServers,
    route: &'static str,
    next: AtomicUsize,
    got: Mutex<HashMap<String, Got>>,
    _served: RunningSystem,
}

fn reply(status: u16, id: &str, headers: &str, body: &str) -> ScriptedResponse {
    let head = format!("HTTP/1.1 {status} X\r\nIvyhatch-Attempt-Id: {id}\r\n{headers}\r\n");
    ScriptedResponse { bytes: [head.as_bytes(), body.as_bytes()].concat(), is_rejection: status == 503 }
}

fn with_length(id: &str) -> ScriptedResponse {
    let headers = format!("Ivyhatch-Server-Stamp: {id}\r\nContent-Length: {}\r\n", id.len());
    reply(200, id, &headers, id)
}

fn in_chunks(id: &str) -> ScriptedResponse {
    let headers = format!("Ivyhatch-Server-Stamp: {id}\r\nTransfer-Encoding: chunked\r\n");
    let (first, second) = id.split_at(3);
    reply(200, id, &headers, &format!("3\r\n{first}\r\n5\r\n{second}\r\n0\r\n\r\n"))
}

/// The events of a stream.
fn events(id: &str) -> [String; 2] {
    [1, 2].map(|number| format!("id: {number}\ndata: {id}\n\n"))
}

fn stream(id: &str) -> ScriptedResponse {
    let headers = format!(
        "Ivyhatch-Server-Stamp: {id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
    );
    let pieces = events(id).map(|event| format!("{:x}\r\n{event}\r\n", event.len())).concat();
    reply(200, id, &headers, &format!("{pieces}0\r\n\r\n"))
}

/// Every other request is rejected; both kinds of responses have the same length.
fn rejection_or_response(id: &str) -> ScriptedResponse {
    let length = id.len();
    if id.ends_with(['0', '2', '4', '6', '8']) {
        return reply(
            503,
            id,
            &format!("Ivyhatch-Not-Executed: {id}\r\nContent-Length: {length}\r\n"),
            "is full!",
        );
    }
    with_length(id)
}

impl Trial {
    fn new(route: &'static str, answers: ResponseFn, servers_count: usize) -> Self {
        let cluster = TestCluster::new();
        let servers = FaultyServers::new(answers);
        cluster.platform.set_instances(servers.start(cluster.ip(31), servers_count));
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
        let served = RunningSystem { control, router };
        Self { cluster, servers, route, next: AtomicUsize::new(0), got: Mutex::default(), _served: served }
    }

    /// A request with a new id; all those of one wait are of one length.
    fn request(&self, wait_ms: u64) -> (String, String) {
        let id = format!("c{:07}", self.next.fetch_add(1, Ordering::SeqCst));
        let text = format!(
            "POST /{}/{id} HTTP/1.1\r\nHost: h.example\r\nIvyhatch-Attempt-Id: {id}\r\n\
             Ivyhatch-Deadline-Ms: {wait_ms}\r\nContent-Length: 8\r\n\r\n{id}",
            self.route
        );
        (id, text)
    }

    fn connect(&self) -> Client {
        Client::connect(self.cluster.address(ROUTER_HOST, FRONT_PORT))
    }

    fn record(&self, id: String, got: Got) {
        self.got.lock().unwrap().insert(id, got);
    }

    /// Reads the answer to a request. Whether another may follow on the connection.
    fn take(&self, id: String, client: &mut Client) -> bool {
        let Some(head) = client.try_read_head() else {
            self.record(id, Got::none());
            return false;
        };
        let body = client.read_body(&head);
        let stays = body.is_ok() && head.header("connection") != Some("close");
        let named =
            head.headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("ivyhatch-server-stamp"));
        let stamps = named.map(|(_, value)| value.clone()).collect();
        self.record(id, Got { status: head.status, stamps, body });
        stays
    }

    /// Asks once.
    fn ask(&self, client: &mut Option<Client>, wait_ms: u64) {
        let (id, text) = self.request(wait_ms);
        let mut own = client.take().unwrap_or_else(|| self.connect());
        own.write(text.as_bytes());
        *client = self.take(id, &mut own).then_some(own);
    }

    /// Records an exchange that nothing disturbs.
    fn record_exchange(&self, wait_ms: u64) -> ExchangeLengths {
        wait_until("an exchange is recorded", || {
            self.ask(&mut None, wait_ms);
            self.servers.last_exchange().is_some()
        });
        self.servers.last_exchange().expect("an exchange was recorded")
    }

    /// Has every byte of an exchange go wrong in each of these ways, on fresh and on kept connections.
    fn play(&self, faults: &[(MessageKind, Fault)], wait_ms: u64) -> usize {
        self.record_exchange(wait_ms);
        let plans = self.servers.plan_faults(faults);
        let end = Instant::now() + 3 * WAIT_TIMEOUT;
        side_by_side(|| {
            let mut client = None;
            while self.servers.request_log().remaining_faults() > 0 {
                assert_that!(Instant::now(), lt(end), "plans are left");
                self.ask(&mut client, wait_ms);
            }
        });
        plans
    }

    /// What holds of every request, whatever went wrong.
    fn verify(&self) {
        let answer_length = self.servers.last_exchange().map_or(0, |recorded| recorded.response);
        let (request_log, got) = (self.servers.request_log(), self.got.lock().unwrap());
        let none = RequestRecord::default();
        for (id, answer) in got.iter() {
            let seen = request_log.requests.get(id).unwrap_or(&none);
            let context = format!("{id}: {answer:?}, {seen:?}");
            assert_that!(seen.executions, le(1), "ran twice: {context}");
            // Only a rejection may be followed by another attempt.
            assert_that!(seen.arrivals, le(seen.rejections + 1), "was sent twice: {context}");
            match answer.status {
                200 => self.verify_success(id, answer, seen),
                status if PROMISES.contains(&status) => {
                    assert_that!(
                        (seen.executions, seen.arrivals),
                        eq((0, seen.rejections)),
                        "promised wrongly: {context}"
                    );
                }
                status => assert_that!(status, any!(eq(502), eq(504), eq(NO_ANSWER)), "{context}"),
            }
            let answered = seen.faults.iter().filter(|_| answer.status != NO_ANSWER);
            for plan in answered {
                let at_end = plan.message == MessageKind::Response && plan.offset == answer_length;
                verify_plan(*plan, at_end, answer, seen, &context);
            }
        }
        let answered = got.values().filter(|answer| !PROMISES.contains(&answer.status)).count();
        // Also those of which too little arrived to know them by.
        assert_that!(request_log.started_requests, le(answered + request_log.rejections));
        assert_that!(request_log.requests_after_surplus, is_empty(), "used behind surplus bytes");
    }

    fn verify_success(&self, id: &str, answer: &Got, seen: &RequestRecord) {
        let whole = if self.route == "stream" { events(id).concat() } else { id.to_owned() };
        assert_that!(seen.executions, eq(1), "{id}: {answer:?}, {seen:?}");
        assert_that!(answer.stamps, elements_are![eq(id)], "{id}: {seen:?}");
        match &answer.body {
            Ok(body) => assert_that!(*body, eq(whole.as_bytes()), "{id}: {seen:?}"),
            Err(TruncatedBody(part)) => {
                assert!(self.route == "stream" && whole.as_bytes().starts_with(part), "{id}: {answer:?}");
            }
        }
    }

    /// How many requests came to each status.
    fn counts(&self) -> BTreeMap<u16, usize> {
        let mut counts = BTreeMap::new();
        for answer in self.got.lock().unwrap().values() {
            *counts.entry(answer.status).or_default() += 1;
        }
        counts
    }
}

/// What an exchange that went wrong in this way has to come to.
fn verify_plan(plan: PlannedFault, at_end: bool, answer: &Got, seen: &RequestRecord, context: &str) {
    let whole = answer.status == 200 && answer.body.is_ok();
    match plan.fault {
        // The reset may overtake the last bytes.
        Fault::Reset if at_end => {}
        Fault::Close | Fault::Reset | Fault::Stall if !at_end => assert!(!whole, "{plan:?} {context}"),
        // Behind a part of the status line the rest may still be a whole answer, which is looked at as any other.
        Fault::Restart if plan.offset > 0 => {}
        _ if seen.rejections > 0 || seen.executions == 0 || seen.after_duplicate => {}
        _ => assert!(whole, "{plan:?} {context}"),
    }
}

/// BackendReply this in as many threads as there are clients.
fn side_by_side(script: impl Fn() + Sync) {
    thread::scope(|scope| {
        (0..CLIENTS).for_each(|_| drop(scope.spawn(&script)));
    });
}

/// The whole of a trial; returns how it went.
fn trial(route: &'static str, answers: ResponseFn, faults: &[(MessageKind, Fault)], wait_ms: u64) {
    // Silent servers are avoided for a while, so there have to be more.
    let silent = faults.iter().any(|(_, fault)| *fault == Fault::Stall);
    let trial = Trial::new(route, answers, if silent { SILENT_SERVERS } else { SERVERS });
    let began = Instant::now();
    let plans = trial.play(faults, wait_ms);
    println!("{plans} faults in {:?}; answers by status: {:?}", began.elapsed(), trial.counts());
    trial.verify();
}

#[test]
fn response_of_known_length_reaches_its_own_client_once() {
    trial("unsafe", with_length, &[&AT_REQUEST[..], &AT_ANSWER[..]].concat(), LONG_MS);
}

#[test]
fn chunked_response_reaches_its_own_client_once() {
    trial("unsafe", in_chunks, &AT_ANSWER, LONG_MS);
}

#[test]
fn non_resumable_stream_reaches_its_own_client_once() {
    trial("stream", stream, &AT_ANSWER, LONG_MS);
}

#[test]
fn rejection_is_forwarded_only_where_nothing_was_executed() {
    trial("unsafe", rejection_or_response, &AT_ANSWER, LONG_MS);
}

#[test]
fn silent_server_is_never_reported_as_not_executed() {
    trial("unsafe", with_length, &MUTE, SHORT_MS);
}

#[test]
fn silent_stream_never_looks_complete() {
    trial("stream", stream, &MUTE[1..], SHORT_MS);
}

/// Of requests that come in one go, each is answered in its turn with its own answer, wherever the network cuts them up.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let trial = Trial::new("unsafe", with_length, SERVERS);
    let length = trial.record_exchange(LONG_MS).request;
    trial.servers.plan_faults(&AT_ANSWER);
    let (next, whole) = (AtomicUsize::new(0), PIPELINED * length);
    side_by_side(|| {
        while trial.servers.request_log().remaining_faults() > 0 || next.load(Ordering::SeqCst) <= whole {
            let requests = [(); PIPELINED].map(|()| trial.request(LONG_MS));
            let text = requests.each_ref().map(|(_, text)| text.as_str()).concat();
            let at = next.fetch_add(1, Ordering::SeqCst) % text.len();
            let mut client = trial.connect();
            client.write(&text.as_bytes()[..at]);
            thread::sleep(Duration::from_millis(1));
            client.write(&text.as_bytes()[at..]);
            let mut more = true;
            for (id, _) in requests {
                assert_that!(more, eq(true), "the connection ended before {id}");
                more = trial.take(id, &mut client);
            }
        }
    });
    println!("{} pipelines; answers by status: {:?}", next.load(Ordering::SeqCst), trial.counts());
    trial.verify();
}

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Leaves {
    Closing,
    Resetting,
    /// It says that it writes no more, and waits.
    Halfway,
}

/// Requests whose clients leave at any byte; a request before them on the connection is answered.
#[test]
fn incomplete_request_reaches_no_server() {
    let trial = Trial::new("unsafe", with_length, SERVERS);
    trial.record_exchange(LONG_MS);
    let length = trial.request(LONG_MS).1.len();
    trial.servers.plan_faults(&[(MessageKind::Response, Fault::Delay)]);
    let next = AtomicUsize::new(0);
    let ways = [Leaves::Closing, Leaves::Resetting, Leaves::Halfway];
    let whole = Mutex::new(Vec::new());
    side_by_side(|| {
        loop {
            let number = next.fetch_add(1, Ordering::SeqCst);
            // Behind another request in the same go, or not.
            let (behind, rest) = (number % 2 == 1, number / 2);
            let (way, at) = (ways[rest % ways.len()], rest / ways.len());
            if at > length {
                return;
            }
            let (first, (id, text)) = (trial.request(LONG_MS), trial.request(LONG_MS));
            let mut client = trial.connect();
            let before = if behind { first.1.as_str() } else { "" };
            client.write(&[before.as_bytes(), &text.as_bytes()[..at]].concat());
            if behind {
                trial.take(first.0, &mut client);
            }
            if at == length {
                whole.lock().unwrap().push(id.clone());
            }
            match way {
                Leaves::Closing => trial.record(id, Got::none()),
                Leaves::Resetting => {
                    client.reset();
                    trial.record(id, Got::none());
                }
                Leaves::Halfway => {
                    client.half_close();
                    // It may get the answer that its request was incomplete.
                    trial.take(id, &mut client);
                }
            }
            // The next one has its own answer, also where the router uses a connection again.
            trial.ask(&mut None, LONG_MS);
        }
    });
    println!("requests cut off at {} bytes each; answers by status: {:?}", length + 1, trial.counts());
    trial.verify();
    let (request_log, whole) = (trial.servers.request_log(), whole.lock().unwrap());
    let got = trial.got.lock().unwrap();
    for (id, answer) in got.iter() {
        assert_that!(answer.status, any!(eq(200), eq(408), eq(NO_ANSWER)), "{id}: {answer:?}");
        if answer.status != 200 && !whole.contains(id) {
            assert_that!(
                request_log.requests.contains_key(id),
                eq(false),
                "{id}: {answer:?} reached a server"
            );
        }
    }
}

/// Clients that leave at any byte of their answer.
#[test]
fn client_that_abandons_its_response_disturbs_no_other() {
    let trial = Trial::new("stream", stream, SERVERS);
    trial.record_exchange(LONG_MS);
    let length = trial.servers.last_exchange().map_or(0, |recorded| recorded.response);
    trial
        .servers
        .plan_faults(&[(MessageKind::Response, Fault::Delay), (MessageKind::Response, Fault::LateDuplicate)]);
    let next = AtomicUsize::new(0);
    side_by_side(|| {
        loop {
            let at = next.fetch_add(1, Ordering::SeqCst);
            if at > length {
                return;
            }
            let (id, text) = trial.request(LONG_MS);
            let mut client = trial.connect();
            // An answer that is shorter than that ends with its connection.
            client.write(text.replacen("\r\n", "\r\nConnection: close\r\n", 1).as_bytes());
            client.skip_bytes(at);
            if at.is_multiple_of(2) {
                client.reset()
            } else {
                drop(client)
            }
            trial.record(id, Got::none());
            trial.ask(&mut None, LONG_MS);
        }
    });
    println!("answers by status: {:?}", trial.counts());
    trial.verify();
}
