//! Streams through a router: forwarded event by event, resumed at another server where their route allows that, and never made to
//! look complete where they are not.

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

/// One route whose streams may be resumed, and one whose streams may not.
fn usual() -> Value {
    let streaming =
        |resumable, tries| json!({"route_kind": "streaming", "resumable": resumable, "max_tries": tries});
    configuration(
        1,
        &[("again", streaming(true, 3)), ("once", streaming(false, 3)), ("twice", streaming(true, 2))],
    )
}

fn asks(id: &str, route: &str, headers: &str) -> Vec<u8> {
    request(id, "POST", &format!("/{route}/x"), headers, b"prompt")
}

fn events(numbers: std::ops::RangeInclusive<u64>) -> Vec<u8> {
    numbers.map(sse_event).collect::<String>().into_bytes()
}

/// The head of a stream, some of its events, and no more.
fn part(received: &ReceivedRequest, numbers: std::ops::RangeInclusive<u64>) -> Vec<Step> {
    std::iter::once(stream_head(received)).chain(numbers.map(|number| chunk(&sse_event(number)))).collect()
}

fn then(mut steps: Vec<Step>, more: impl IntoIterator<Item = Step>) -> Vec<Step> {
    steps.extend(more);
    steps
}

struct Scene {
    _served: RunningSystem,
    cluster: TestCluster,
    servers: [Server; 2],
}

impl Scene {
    /// Two servers; what they do goes by how many requests came before to either.
    fn new(script: impl Fn(usize, &ReceivedRequest) -> Vec<Step> + Send + Sync + 'static) -> Self {
        let cluster = TestCluster::new();
        let servers = cluster.start_server_pair(script);
        let served = cluster.start_system(&[&servers[0], &servers[1]], &usual());
        Self { _served: served, cluster, servers }
    }

    fn client(&self) -> Client {
        Client::connect(self.cluster.address(ROUTER_HOST, FRONT_PORT))
    }

    /// Asks once and reads all that comes.
    fn ask(&self, route: &str, headers: &str) -> (ResponseHead, Result<Vec<u8>, TruncatedBody>) {
        let mut client = self.client();
        client.write(&asks("r1", route, headers));
        let head = client.read_head();
        let body = client.read_body(&head);
        (head, body)
    }
}

/// The `Last-Event-ID` of each request that reached the servers.
fn last_event_ids(servers: &[Server; 2], requests: usize) -> Vec<Option<String>> {
    let mut last = Vec::new();
    system_common::wait_until("the requests came", || {
        last.extend(
            servers
                .iter()
                .flat_map(Server::take_requests)
                .map(|received| received.message.value("last-event-id").map(str::to_owned)),
        );
        last.len() >= requests
    });
    last.sort();
    last
}

#[test]
fn stream_is_forwarded_event_by_event() {
    let gates: Vec<Arc<Gate>> = (0..4).map(|_| Arc::default()).collect();
    let held = gates.clone();
    let scene = Scene::new(move |_, received| {
        let mut steps = vec![stream_head(received)];
        for (gate, number) in held.iter().zip(1..) {
            steps.extend([chunk(&sse_event(number)), Step::Wait(gate.clone())]);
        }
        then(steps, [last_chunk()])
    });
    let mut client = scene.client();
    client.write(&asks("r1", "once", ""));
    let head = client.read_head();
    assert_eq!((head.status, head.header("content-type")), (200, Some("text/event-stream")));
    assert_eq!(
        (head.header("ivyhatch-attempt-id"), head.header("ivyhatch-server-stamp")),
        (Some("r1"), Some("st.1"))
    );
    for (gate, number) in gates.iter().zip(1..) {
        assert_eq!(client.read_chunk(), Some(sse_event(number).into_bytes()), "before the next one is made");
        gate.open();
    }
    assert_eq!(client.read_chunk(), Some(Vec::new()));
}

#[test]
fn stream_in_chunks_of_any_size_is_forwarded_completely() {
    const SIZES: [usize; 4] = [1, 3, 17, 1000];
    let scene = Scene::new(|turn, received| {
        let text = String::from_utf8(events(1..=20)).expect("text");
        let pieces = text.as_bytes().chunks(SIZES[turn / 2]);
        let pieces = pieces.map(|piece| chunk(std::str::from_utf8(piece).expect("text")));
        std::iter::once(stream_head(received)).chain(pieces).chain([last_chunk()]).collect()
    });
    for size in SIZES {
        for route in ["again", "once"] {
            assert_eq!(scene.ask(route, "").1, Ok(events(1..=20)), "{size}");
        }
    }
}

#[test]
fn resumable_stream_continues_at_another_server_in_the_same_response() {
    for ends in [Step::Close, Step::Reset] {
        let scene = Scene::new(move |turn, received| match turn {
            // It breaks off inside its fourth event.
            0 => then(part(received, 1..=3), [chunk("id: 4\ndata: wo"), ends.clone()]),
            _ => complete_stream(received, 4..=6),
        });
        let (head, body) = scene.ask("again", "");
        assert_eq!((head.status, head.header("ivyhatch-server-stamp")), (200, Some("st.1")));
        assert_eq!(body, Ok(events(1..=6)));
        assert_eq!(last_event_ids(&scene.servers, 2), [None, Some("3".to_owned())]);
    }
}

#[test]
fn each_attempt_carries_the_request_id_and_its_servers_instance() {
    let scene = Scene::new(|turn, received| {
        if turn == 0 { then(part(received, 1..=3), [Step::Close]) } else { complete_stream(received, 4..=6) }
    });
    assert_eq!(scene.ask("again", "").1, Ok(events(1..=6)));
    for server in &scene.servers {
        let received = server.next_request();
        assert_eq!(
            (received.id(), received.message.value("ivyhatch-expect-instance")),
            ("r1", Some(server.id.as_str()))
        );
        assert_eq!(received.message.body, b"prompt");
    }
}

#[test]
fn stream_broken_before_its_first_event_is_restarted() {
    for first in [vec![], vec![chunk("id: 1\n")]] {
        let scene = Scene::new(move |turn, received| match turn {
            0 => then(vec![stream_head(received)], first.iter().cloned().chain([Step::Close])),
            _ => complete_stream(received, 1..=3),
        });
        assert_eq!(scene.ask("again", "").1, Ok(events(1..=3)));
        assert_eq!(last_event_ids(&scene.servers, 2), [None, None]);
    }
}

#[test]
fn resumption_skips_servers_that_shed_or_send_malformed_responses() {
    type BackendReply = fn(&ReceivedRequest) -> Vec<Step>;
    let between: [BackendReply; 4] = [
        |_| overloaded_response(),
        |received| vec![Step::Write(complete_response(421, &id_header(received.id()), b""))],
        |_| vec![Step::Close],
        |_| vec![Step::Write(b"garbage\r\n\r\n".to_vec()), Step::Close],
    ];
    for (number, script) in between.into_iter().enumerate() {
        let scene = Scene::new(move |turn, received| match turn {
            0 => then(part(received, 1..=3), [Step::Close]),
            1 => script(received),
            _ => complete_stream(received, 4..=6),
        });
        let (_, body) = scene.ask("again", "");
        // There may be no further server to go to; then it has to show.
        assert!(body == Ok(events(1..=6)) || body == Err(TruncatedBody(events(1..=3))), "{number}: {body:?}");
    }
}

#[test]
fn non_resumable_stream_breaks_visibly() {
    for ends in [Step::Close, Step::Reset] {
        let scene =
            Scene::new(move |_, received| then(part(received, 1..=3), [chunk("id: 4\n"), ends.clone()]));
        let (head, body) = scene.ask("once", "");
        assert_eq!((head.status, body), (200, Err(TruncatedBody(events(1..=3)))));
        assert_eq!(last_event_ids(&scene.servers, 1).len(), 1, "it runs once");
    }
}

#[test]
fn non_resumable_stream_broken_before_its_first_event_fails() {
    let scene = Scene::new(|_, received| vec![stream_head(received), Step::Close]);
    let (head, _) = scene.ask("once", "");
    assert_eq!(head.status, 502);
    assert_eq!(last_event_ids(&scene.servers, 1).len(), 1);
}

#[test]
fn stream_with_an_incomplete_last_event_does_not_look_complete() {
    let scene =
        Scene::new(|_, received| then(part(received, 1..=3), [chunk("id: 4\ndata: wo\n"), last_chunk()]));
    assert_eq!(scene.ask("once", "").1, Err(TruncatedBody(events(1..=3))));
}

#[test]
fn stream_with_ids_that_do_not_increase_is_not_forwarded() {
    let scene = Scene::new(|_, received| {
        then(part(received, 1..=3), [chunk(&sse_event(3)), chunk(&sse_event(4)), last_chunk()])
    });
    assert_eq!(scene.ask("once", "").1, Err(TruncatedBody(events(1..=3))));
}

#[test]
fn stream_that_restarts_from_its_first_event_is_not_appended() {
    let scene = Scene::new(|turn, received| {
        if turn == 0 { then(part(received, 1..=3), [Step::Close]) } else { complete_stream(received, 1..=6) }
    });
    let (_, body) = scene.ask("twice", "");
    assert_eq!(body, Err(TruncatedBody(events(1..=3))));
}

/// What another server answers instead of the rest of a stream; the client must see that the stream is not whole.
fn assert_never_complete(script: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static) {
    let scene =
        Scene::new(
            move |turn, received| {
                if turn == 0 { then(part(received, 1..=3), [Step::Close]) } else { script(received) }
            },
        );
    let (head, body) = scene.ask("twice", "");
    assert_eq!((head.status, body), (200, Err(TruncatedBody(events(1..=3)))));
}

#[test]
fn stream_whose_rest_is_rejected_does_not_look_complete() {
    assert_never_complete(|received| {
        vec![Step::Write(complete_response(
            404,
            &format!("{}{STAMP_HEADER}", id_header(received.id())),
            b"what?",
        ))]
    });
}

#[test]
fn stream_whose_rest_is_a_complete_response_does_not_look_complete() {
    assert_never_complete(|received| ok_response(received, b"all at once"));
}

#[test]
fn stream_whose_rest_fails_does_not_look_complete() {
    assert_never_complete(|received| {
        vec![Step::Write(complete_response(
            500,
            &format!("{}{STAMP_HEADER}", id_header(received.id())),
            b"failed",
        ))]
    });
}

#[test]
fn stream_whose_rest_has_another_id_does_not_look_complete() {
    assert_never_complete(|received| {
        let other = ReceivedRequest {
            message: system_common::server::with_request_id(&received.message, "other"),
            earlier_requests: 0,
            earlier_on_connection: 0,
        };
        complete_stream(&other, 4..=6)
    });
}

#[test]
fn stream_whose_rest_has_no_stamp_does_not_look_complete() {
    assert_never_complete(|received| {
        let head =
            format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n{}\r\n", id_header(received.id()));
        vec![Step::Write(head.into_bytes()), chunk(&sse_event(4)), last_chunk()]
    });
}

#[test]
fn stream_gets_no_more_attempts_than_its_route_allows() {
    let scene = Scene::new(|turn, received| {
        let from = 1 + 2 * turn as u64;
        then(part(received, from..=from + 1), [Step::Close])
    });
    assert_eq!(scene.ask("twice", "").1, Err(TruncatedBody(events(1..=4))));
    assert_eq!(last_event_ids(&scene.servers, 2).len(), 2);
}

#[test]
fn client_that_resumes_gets_the_events_after_its_last() {
    let scene = Scene::new(|_, received| complete_stream(received, 8..=9));
    for route in ["again", "once"] {
        assert_eq!(scene.ask(route, "Last-Event-Id: 7\r\n").1, Ok(events(8..=9)), "{route}");
    }
    assert_eq!(last_event_ids(&scene.servers, 2), [Some("7".to_owned()), Some("7".to_owned())]);
}

#[test]
fn complete_response_on_a_streaming_route_is_forwarded() {
    let scene = Scene::new(|_, received| {
        vec![Step::Write(complete_response(
            400,
            &format!("{}{STAMP_HEADER}", id_header(received.id())),
            b"too long a prompt",
        ))]
    });
    for route in ["again", "once"] {
        let (head, body) = scene.ask(route, "");
        assert_eq!((head.status, body), (400, Ok(b"too long a prompt".to_vec())));
    }
}

#[test]
fn disconnected_client_ends_its_stream_at_the_server() {
    let gate = Arc::new(Gate::default());
    let held = gate.clone();
    let scene = Scene::new(move |turn, received| match turn {
        // Once the client has left there is nobody to write to.
        0 => then(part(received, 1..=1), [Step::Wait(held.clone())]),
        _ => complete_stream(received, 1..=2),
    });
    let mut client = scene.client();
    client.write(&asks("r1", "again", ""));
    client.read_head();
    assert_eq!(client.read_chunk(), Some(sse_event(1).into_bytes()));
    drop(client);
    gate.open();
    let mut next = scene.client();
    next.write(&asks("r2", "again", ""));
    let head = next.read_head();
    assert_eq!(next.read_body(&head), Ok(events(1..=2)));
    assert_eq!(
        last_event_ids(&scene.servers, 2),
        [None, None],
        "nothing is resumed for a disconnected client"
    );
}

/// Whether it has begun to answer or not: nobody waits for the rest.
#[test]
fn server_is_left_within_half_a_second_of_its_client() {
    let (sender, closed) = channel();
    let scene = Scene::new(move |turn, received| match turn {
        0 => vec![Step::AwaitClose(sender.clone())],
        _ => then(part(received, 1..=1), [Step::AwaitClose(sender.clone())]),
    });
    for (id, has_begun) in [("r1", false), ("r2", true)] {
        let mut client = scene.client();
        client.write(&asks(id, "again", ""));
        last_event_ids(&scene.servers, 1);
        if has_begun {
            client.read_head();
            assert_eq!(client.read_chunk(), Some(sse_event(1).into_bytes()));
        }
        drop(client);
        assert_eq!(closed.recv_timeout(Duration::from_millis(500)), Ok(()), "{id}");
    }
}
