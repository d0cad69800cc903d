//! Event streams through a router: each event is forwarded as it arrives, an interrupted stream is resumed at another server if its
//! route allows it, and an incomplete stream always ends without its last chunk, so that the client can detect the truncation.

mod system_common;

use std::sync::Arc;
use std::sync::mpsc::channel;
use std::time::Duration;

use serde_json::{Value, json};
use system_common::calls::{Client, ResponseHead, TruncatedBody, request};
use system_common::server::{
    Gate, ReceivedRequest, STAMP_HEADER, Server, Step, chunk, complete_response, complete_stream, id_header,
    last_chunk, ok_response, overloaded_response, sse_event, stream_head,
};
use system_common::{FRONT_PORT, ROUTER_HOST, RunningSystem, TestCluster, configuration};

/// Configuration with three streaming routes: `again` is resumable with 3 attempts, `once` is not resumable, and `twice` is resumable
/// with 2 attempts.
fn streaming_routes() -> Value {
    let streaming = |resumable, max_attempts| json!({"route_kind": "streaming", "resumable": resumable, "max_tries": max_attempts});
    configuration(
        1,
        &[("again", streaming(true, 3)), ("once", streaming(false, 3)), ("twice", streaming(true, 2))],
    )
}

fn stream_request(id: &str, route: &str, headers: &str) -> Vec<u8> {
    request(id, "POST", &format!("/{route}/x"), headers, b"prompt")
}

/// Text of the events with these ids, as the client receives it without its chunk framing.
fn events(numbers: std::ops::RangeInclusive<u64>) -> Vec<u8> {
    numbers.map(sse_event).collect::<String>().into_bytes()
}

/// Response head and some events of a stream, without its last chunk.
fn unfinished_stream(received: &ReceivedRequest, numbers: std::ops::RangeInclusive<u64>) -> Vec<Step> {
    std::iter::once(stream_head(received)).chain(numbers.map(|number| chunk(&sse_event(number)))).collect()
}

/// `steps`, followed by `more`.
fn append_steps(mut steps: Vec<Step>, more: impl IntoIterator<Item = Step>) -> Vec<Step> {
    steps.extend(more);
    steps
}

/// A router and two scripted servers with [`streaming_routes`].
struct Fixture {
    _system: RunningSystem,
    cluster: TestCluster,
    servers: [Server; 2],
}

impl Fixture {
    /// Starts two servers; `script` gets the number of earlier requests to either of them.
    fn new(script: impl Fn(usize, &ReceivedRequest) -> Vec<Step> + Send + Sync + 'static) -> Self {
        let cluster = TestCluster::new();
        let servers = cluster.start_server_pair(script);
        let system = cluster.start_system(&[&servers[0], &servers[1]], &streaming_routes());
        Self { _system: system, cluster, servers }
    }

    fn connect(&self) -> Client {
        Client::connect(self.cluster.address(ROUTER_HOST, FRONT_PORT))
    }

    /// Sends one request and reads its response to the end of the body or of the connection.
    fn send_request(&self, route: &str, headers: &str) -> (ResponseHead, Result<Vec<u8>, TruncatedBody>) {
        let mut client = self.connect();
        client.write(&stream_request("r1", route, headers));
        let head = client.read_head();
        let body = client.read_body(&head);
        (head, body)
    }
}

/// Waits until this many requests have reached the servers; returns the `Last-Event-ID` of each, sorted.
fn last_event_ids(servers: &[Server; 2], requests: usize) -> Vec<Option<String>> {
    let mut ids = Vec::new();
    system_common::wait_until("the requests reach the servers", || {
        ids.extend(
            servers
                .iter()
                .flat_map(Server::take_requests)
                .map(|received| received.message.value("last-event-id").map(str::to_owned)),
        );
        ids.len() >= requests
    });
    ids.sort();
    ids
}

#[test]
fn stream_is_forwarded_event_by_event() {
    let event_gates: Vec<Arc<Gate>> = (0..4).map(|_| Arc::default()).collect();
    let server_gates = event_gates.clone();
    let fixture = Fixture::new(move |_, received| {
        let mut steps = vec![stream_head(received)];
        for (gate, number) in server_gates.iter().zip(1..) {
            steps.extend([chunk(&sse_event(number)), Step::Wait(gate.clone())]);
        }
        append_steps(steps, [last_chunk()])
    });
    let mut client = fixture.connect();
    client.write(&stream_request("r1", "once", ""));
    let head = client.read_head();
    assert_eq!((head.status, head.header("content-type")), (200, Some("text/event-stream")));
    assert_eq!(
        (head.header("ivyhatch-attempt-id"), head.header("ivyhatch-server-stamp")),
        (Some("r1"), Some("st.1"))
    );
    for (gate, number) in event_gates.iter().zip(1..) {
        assert_eq!(
            client.read_chunk(),
            Some(sse_event(number).into_bytes()),
            "event {number} was not forwarded before the server sent the next one"
        );
        gate.open();
    }
    assert_eq!(client.read_chunk(), Some(Vec::new()));
}

#[test]
fn stream_in_chunks_of_any_size_is_forwarded_completely() {
    const SIZES: [usize; 4] = [1, 3, 17, 1000];
    let fixture = Fixture::new(|earlier_requests, received| {
        let text = String::from_utf8(events(1..=20)).expect("events are UTF-8");
        let pieces = text.as_bytes().chunks(SIZES[earlier_requests / 2]);
        let pieces = pieces.map(|piece| chunk(std::str::from_utf8(piece).expect("events are UTF-8")));
        std::iter::once(stream_head(received)).chain(pieces).chain([last_chunk()]).collect()
    });
    for size in SIZES {
        for route in ["again", "once"] {
            assert_eq!(
                fixture.send_request(route, "").1,
                Ok(events(1..=20)),
                "chunk size {size}, route {route}"
            );
        }
    }
}

#[test]
fn resumable_stream_continues_from_another_server_in_the_same_response() {
    for termination in [Step::Close, Step::Reset] {
        let fixture = Fixture::new(move |earlier_requests, received| match earlier_requests {
            // The stream is interrupted within its fourth event.
            0 => append_steps(
                unfinished_stream(received, 1..=3),
                [chunk("id: 4\ndata: wo"), termination.clone()],
            ),
            _ => complete_stream(received, 4..=6),
        });
        let (head, body) = fixture.send_request("again", "");
        assert_eq!((head.status, head.header("ivyhatch-server-stamp")), (200, Some("st.1")));
        assert_eq!(body, Ok(events(1..=6)));
        assert_eq!(last_event_ids(&fixture.servers, 2), [None, Some("3".to_owned())]);
    }
}

#[test]
fn each_attempt_carries_the_request_id_and_its_servers_instance() {
    let fixture = Fixture::new(|earlier_requests, received| {
        if earlier_requests == 0 {
            append_steps(unfinished_stream(received, 1..=3), [Step::Close])
        } else {
            complete_stream(received, 4..=6)
        }
    });
    assert_eq!(fixture.send_request("again", "").1, Ok(events(1..=6)));
    for server in &fixture.servers {
        let received = server.next_request();
        assert_eq!(
            (received.id(), received.message.value("ivyhatch-expect-instance")),
            ("r1", Some(server.id.as_str()))
        );
        assert_eq!(received.message.body, b"prompt");
    }
}

#[test]
fn stream_interrupted_before_its_first_event_is_restarted() {
    for partial_event in [vec![], vec![chunk("id: 1\n")]] {
        let fixture = Fixture::new(move |earlier_requests, received| match earlier_requests {
            0 => {
                append_steps(vec![stream_head(received)], partial_event.iter().cloned().chain([Step::Close]))
            }
            _ => complete_stream(received, 1..=3),
        });
        assert_eq!(fixture.send_request("again", "").1, Ok(events(1..=3)));
        assert_eq!(last_event_ids(&fixture.servers, 2), [None, None]);
    }
}

#[test]
fn resumption_skips_servers_that_shed_or_send_malformed_responses() {
    type ServerScript = fn(&ReceivedRequest) -> Vec<Step>;
    let failing_scripts: [ServerScript; 4] = [
        |_| overloaded_response(),
        |received| vec![Step::Write(complete_response(421, &id_header(received.id()), b""))],
        |_| vec![Step::Close],
        |_| vec![Step::Write(b"garbage\r\n\r\n".to_vec()), Step::Close],
    ];
    for (number, script) in failing_scripts.into_iter().enumerate() {
        let fixture = Fixture::new(move |earlier_requests, received| match earlier_requests {
            0 => append_steps(unfinished_stream(received, 1..=3), [Step::Close]),
            1 => script(received),
            _ => complete_stream(received, 4..=6),
        });
        let (_, body) = fixture.send_request("again", "");
        // The router may have no server left to retry; the stream must be truncated then.
        assert!(
            body == Ok(events(1..=6)) || body == Err(TruncatedBody(events(1..=3))),
            "failing script {number}: {body:?}"
        );
    }
}

#[test]
fn interrupted_non_resumable_stream_is_truncated() {
    for termination in [Step::Close, Step::Reset] {
        let fixture = Fixture::new(move |_, received| {
            append_steps(unfinished_stream(received, 1..=3), [chunk("id: 4\n"), termination.clone()])
        });
        let (head, body) = fixture.send_request("once", "");
        assert_eq!((head.status, body), (200, Err(TruncatedBody(events(1..=3)))));
        assert_eq!(
            last_event_ids(&fixture.servers, 1).len(),
            1,
            "a stream that is not resumable was retried"
        );
    }
}

#[test]
fn non_resumable_stream_interrupted_before_its_first_event_fails() {
    let fixture = Fixture::new(|_, received| vec![stream_head(received), Step::Close]);
    let (head, _) = fixture.send_request("once", "");
    assert_eq!(head.status, 502);
    assert_eq!(last_event_ids(&fixture.servers, 1).len(), 1);
}

#[test]
fn stream_with_an_incomplete_last_event_is_truncated() {
    let fixture = Fixture::new(|_, received| {
        append_steps(unfinished_stream(received, 1..=3), [chunk("id: 4\ndata: wo\n"), last_chunk()])
    });
    assert_eq!(fixture.send_request("once", "").1, Err(TruncatedBody(events(1..=3))));
}

#[test]
fn stream_is_truncated_at_an_event_id_that_does_not_increase() {
    let fixture = Fixture::new(|_, received| {
        append_steps(
            unfinished_stream(received, 1..=3),
            [chunk(&sse_event(3)), chunk(&sse_event(4)), last_chunk()],
        )
    });
    assert_eq!(fixture.send_request("once", "").1, Err(TruncatedBody(events(1..=3))));
}

#[test]
fn continuation_from_the_first_event_is_not_appended() {
    let fixture = Fixture::new(|earlier_requests, received| {
        if earlier_requests == 0 {
            append_steps(unfinished_stream(received, 1..=3), [Step::Close])
        } else {
            complete_stream(received, 1..=6)
        }
    });
    let (_, body) = fixture.send_request("twice", "");
    assert_eq!(body, Err(TruncatedBody(events(1..=3))));
}

/// Interrupts a stream after three events and has the other server answer its resumption by `script`; asserts that the client gets the
/// three events and a truncated body.
fn assert_truncated_when_continued_by(
    script: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
) {
    let fixture = Fixture::new(move |earlier_requests, received| {
        if earlier_requests == 0 {
            append_steps(unfinished_stream(received, 1..=3), [Step::Close])
        } else {
            script(received)
        }
    });
    let (head, body) = fixture.send_request("twice", "");
    assert_eq!((head.status, body), (200, Err(TruncatedBody(events(1..=3)))));
}

#[test]
fn stream_whose_continuation_is_rejected_is_truncated() {
    assert_truncated_when_continued_by(|received| {
        vec![Step::Write(complete_response(
            404,
            &format!("{}{STAMP_HEADER}", id_header(received.id())),
            b"what?",
        ))]
    });
}

#[test]
fn stream_continued_by_a_complete_response_is_truncated() {
    assert_truncated_when_continued_by(|received| ok_response(received, b"all at once"));
}

#[test]
fn stream_whose_continuation_fails_is_truncated() {
    assert_truncated_when_continued_by(|received| {
        vec![Step::Write(complete_response(
            500,
            &format!("{}{STAMP_HEADER}", id_header(received.id())),
            b"failed",
        ))]
    });
}

#[test]
fn stream_whose_continuation_has_another_id_is_truncated() {
    assert_truncated_when_continued_by(|received| {
        let other = ReceivedRequest {
            message: system_common::server::with_request_id(&received.message, "other"),
            earlier_requests: 0,
            earlier_on_connection: 0,
        };
        complete_stream(&other, 4..=6)
    });
}

#[test]
fn stream_whose_continuation_has_no_stamp_is_truncated() {
    assert_truncated_when_continued_by(|received| {
        let head =
            format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n{}\r\n", id_header(received.id()));
        vec![Step::Write(head.into_bytes()), chunk(&sse_event(4)), last_chunk()]
    });
}

#[test]
fn stream_gets_no_more_attempts_than_its_route_allows() {
    let fixture = Fixture::new(|earlier_requests, received| {
        let first_event = 1 + 2 * earlier_requests as u64;
        append_steps(unfinished_stream(received, first_event..=first_event + 1), [Step::Close])
    });
    assert_eq!(fixture.send_request("twice", "").1, Err(TruncatedBody(events(1..=4))));
    assert_eq!(last_event_ids(&fixture.servers, 2).len(), 2);
}

#[test]
fn resuming_client_gets_the_events_after_its_last_event_id() {
    let fixture = Fixture::new(|_, received| complete_stream(received, 8..=9));
    for route in ["again", "once"] {
        assert_eq!(fixture.send_request(route, "Last-Event-Id: 7\r\n").1, Ok(events(8..=9)), "route {route}");
    }
    assert_eq!(last_event_ids(&fixture.servers, 2), [Some("7".to_owned()), Some("7".to_owned())]);
}

#[test]
fn complete_response_on_a_streaming_route_is_forwarded() {
    let fixture = Fixture::new(|_, received| {
        vec![Step::Write(complete_response(
            400,
            &format!("{}{STAMP_HEADER}", id_header(received.id())),
            b"too long a prompt",
        ))]
    });
    for route in ["again", "once"] {
        let (head, body) = fixture.send_request(route, "");
        assert_eq!((head.status, body), (400, Ok(b"too long a prompt".to_vec())));
    }
}

#[test]
fn stream_of_a_disconnected_client_is_not_resumed() {
    let gate = Arc::new(Gate::default());
    let server_gate = gate.clone();
    let fixture = Fixture::new(move |earlier_requests, received| match earlier_requests {
        // The server waits until the client has disconnected, and writes nothing more.
        0 => append_steps(unfinished_stream(received, 1..=1), [Step::Wait(server_gate.clone())]),
        _ => complete_stream(received, 1..=2),
    });
    let mut client = fixture.connect();
    client.write(&stream_request("r1", "again", ""));
    client.read_head();
    assert_eq!(client.read_chunk(), Some(sse_event(1).into_bytes()));
    drop(client);
    gate.open();
    let mut next_client = fixture.connect();
    next_client.write(&stream_request("r2", "again", ""));
    let head = next_client.read_head();
    assert_eq!(next_client.read_body(&head), Ok(events(1..=2)));
    assert_eq!(
        last_event_ids(&fixture.servers, 2),
        [None, None],
        "the stream of a disconnected client was resumed"
    );
}

/// The router closes its connection to the server whether the response has started or not, so that the server can stop its work.
#[test]
fn server_connection_closes_within_500_ms_of_a_client_disconnect() {
    let (sender, closed) = channel();
    let fixture = Fixture::new(move |earlier_requests, received| match earlier_requests {
        0 => vec![Step::AwaitClose(sender.clone())],
        _ => append_steps(unfinished_stream(received, 1..=1), [Step::AwaitClose(sender.clone())]),
    });
    for (id, response_started) in [("r1", false), ("r2", true)] {
        let mut client = fixture.connect();
        client.write(&stream_request(id, "again", ""));
        last_event_ids(&fixture.servers, 1);
        if response_started {
            client.read_head();
            assert_eq!(client.read_chunk(), Some(sse_event(1).into_bytes()));
        }
        drop(client);
        assert_eq!(
            closed.recv_timeout(Duration::from_millis(500)),
            Ok(()),
            "the server connection of request {id} was not closed"
        );
    }
}
