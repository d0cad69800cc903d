//! Streams through a router: forwarded event by event, resumed at another server where their route allows that, and never made to
//! look complete where they are not.

mod system_common;

use std::sync::Arc;

use serde_json::{Value, json};
use system_common::calls::{Broken, Client, Head, request};
use system_common::server::{
    Asked, Gate, STAMP, Server, Step, chunk, event, id, last_chunk, ok, sheds, stream, stream_head, whole,
};
use system_common::{FRONT, ROUTER, Served, Site, configuration};

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
    numbers.map(event).collect::<String>().into_bytes()
}

/// The head of a stream, some of its events, and no more.
fn part(asked: &Asked, numbers: std::ops::RangeInclusive<u64>) -> Vec<Step> {
    std::iter::once(stream_head(asked)).chain(numbers.map(|number| chunk(&event(number)))).collect()
}

fn then(mut steps: Vec<Step>, more: impl IntoIterator<Item = Step>) -> Vec<Step> {
    steps.extend(more);
    steps
}

struct Scene {
    _served: Served,
    site: Site,
    servers: [Server; 2],
}

impl Scene {
    /// Two servers; what they do goes by how many requests came before to either.
    fn new(does: impl Fn(usize, &Asked) -> Vec<Step> + Send + Sync + 'static) -> Self {
        let site = Site::new();
        let servers = site.pair(does);
        let served = site.serving(&[&servers[0], &servers[1]], &usual());
        Self { _served: served, site, servers }
    }

    fn client(&self) -> Client {
        Client::to(self.site.at(ROUTER, FRONT))
    }

    /// Asks once and reads all that comes.
    fn ask(&self, route: &str, headers: &str) -> (Head, Result<Vec<u8>, Broken>) {
        let mut client = self.client();
        client.write(&asks("r1", route, headers));
        let head = client.head();
        let body = client.try_body(&head);
        (head, body)
    }
}

/// The `Last-Event-ID` of each request that reached the servers.
fn last_event_ids(servers: &[Server; 2], requests: usize) -> Vec<Option<String>> {
    let mut last = Vec::new();
    system_common::until("the requests came", || {
        last.extend(
            servers
                .iter()
                .flat_map(Server::all)
                .map(|asked| asked.message.value("last-event-id").map(str::to_owned)),
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
    let scene = Scene::new(move |_, asked| {
        let mut steps = vec![stream_head(asked)];
        for (gate, number) in held.iter().zip(1..) {
            steps.extend([chunk(&event(number)), Step::Waits(gate.clone())]);
        }
        then(steps, [last_chunk()])
    });
    let mut client = scene.client();
    client.write(&asks("r1", "once", ""));
    let head = client.head();
    assert_eq!((head.status, head.value("content-type")), (200, Some("text/event-stream")));
    assert_eq!(
        (head.value("ivyhatch-attempt-id"), head.value("ivyhatch-server-stamp")),
        (Some("r1"), Some("st.1"))
    );
    for (gate, number) in gates.iter().zip(1..) {
        assert_eq!(client.chunk(), Some(event(number).into_bytes()), "before the next one is made");
        gate.open();
    }
    assert_eq!(client.chunk(), Some(Vec::new()));
}

#[test]
fn stream_in_chunks_of_any_size_is_forwarded_completely() {
    const SIZES: [usize; 4] = [1, 3, 17, 1000];
    let scene = Scene::new(|turn, asked| {
        let text = String::from_utf8(events(1..=20)).expect("text");
        let pieces = text.as_bytes().chunks(SIZES[turn / 2]);
        let pieces = pieces.map(|piece| chunk(std::str::from_utf8(piece).expect("text")));
        std::iter::once(stream_head(asked)).chain(pieces).chain([last_chunk()]).collect()
    });
    for size in SIZES {
        for route in ["again", "once"] {
            assert_eq!(scene.ask(route, "").1, Ok(events(1..=20)), "{size}");
        }
    }
}

#[test]
fn resumable_stream_continues_at_another_server_in_the_same_response() {
    for ends in [Step::Closes, Step::Resets] {
        let scene = Scene::new(move |turn, asked| match turn {
            // It breaks off inside its fourth event.
            0 => then(part(asked, 1..=3), [chunk("id: 4\ndata: wo"), ends.clone()]),
            _ => stream(asked, 4..=6),
        });
        let (head, body) = scene.ask("again", "");
        assert_eq!((head.status, head.value("ivyhatch-server-stamp")), (200, Some("st.1")));
        assert_eq!(body, Ok(events(1..=6)));
        assert_eq!(last_event_ids(&scene.servers, 2), [None, Some("3".to_owned())]);
    }
}

#[test]
fn each_attempt_carries_the_request_id_and_its_servers_instance() {
    let scene =
        Scene::new(
            |turn, asked| {
                if turn == 0 { then(part(asked, 1..=3), [Step::Closes]) } else { stream(asked, 4..=6) }
            },
        );
    assert_eq!(scene.ask("again", "").1, Ok(events(1..=6)));
    for server in &scene.servers {
        let asked = server.next();
        assert_eq!(
            (asked.id(), asked.message.value("ivyhatch-expect-instance")),
            ("r1", Some(server.id.as_str()))
        );
        assert_eq!(asked.message.body, b"prompt");
    }
}

#[test]
fn stream_broken_before_its_first_event_is_restarted() {
    for first in [vec![], vec![chunk("id: 1\n")]] {
        let scene = Scene::new(move |turn, asked| match turn {
            0 => then(vec![stream_head(asked)], first.iter().cloned().chain([Step::Closes])),
            _ => stream(asked, 1..=3),
        });
        assert_eq!(scene.ask("again", "").1, Ok(events(1..=3)));
        assert_eq!(last_event_ids(&scene.servers, 2), [None, None]);
    }
}

#[test]
fn resumption_skips_servers_that_shed_or_send_malformed_responses() {
    type BackendReply = fn(&Asked) -> Vec<Step>;
    let between: [BackendReply; 4] = [
        |_| sheds(),
        |asked| vec![Step::Writes(whole(421, &id(asked.id()), b""))],
        |_| vec![Step::Closes],
        |_| vec![Step::Writes(b"garbage\r\n\r\n".to_vec()), Step::Closes],
    ];
    for (number, does) in between.into_iter().enumerate() {
        let scene = Scene::new(move |turn, asked| match turn {
            0 => then(part(asked, 1..=3), [Step::Closes]),
            1 => does(asked),
            _ => stream(asked, 4..=6),
        });
        let (_, body) = scene.ask("again", "");
        // There may be no further server to go to; then it has to show.
        assert!(body == Ok(events(1..=6)) || body == Err(Broken(events(1..=3))), "{number}: {body:?}");
    }
}

#[test]
fn non_resumable_stream_breaks_visibly() {
    for ends in [Step::Closes, Step::Resets] {
        let scene = Scene::new(move |_, asked| then(part(asked, 1..=3), [chunk("id: 4\n"), ends.clone()]));
        let (head, body) = scene.ask("once", "");
        assert_eq!((head.status, body), (200, Err(Broken(events(1..=3)))));
        assert_eq!(last_event_ids(&scene.servers, 1).len(), 1, "it runs once");
    }
}

#[test]
fn non_resumable_stream_broken_before_its_first_event_fails() {
    let scene = Scene::new(|_, asked| vec![stream_head(asked), Step::Closes]);
    let (head, _) = scene.ask("once", "");
    assert_eq!(head.status, 502);
    assert_eq!(last_event_ids(&scene.servers, 1).len(), 1);
}

#[test]
fn stream_with_an_incomplete_last_event_does_not_look_complete() {
    let scene = Scene::new(|_, asked| then(part(asked, 1..=3), [chunk("id: 4\ndata: wo\n"), last_chunk()]));
    assert_eq!(scene.ask("once", "").1, Err(Broken(events(1..=3))));
}

#[test]
fn stream_with_ids_that_do_not_increase_is_not_forwarded() {
    let scene =
        Scene::new(|_, asked| then(part(asked, 1..=3), [chunk(&event(3)), chunk(&event(4)), last_chunk()]));
    assert_eq!(scene.ask("once", "").1, Err(Broken(events(1..=3))));
}

#[test]
fn stream_that_restarts_from_its_first_event_is_not_appended() {
    let scene =
        Scene::new(
            |turn, asked| {
                if turn == 0 { then(part(asked, 1..=3), [Step::Closes]) } else { stream(asked, 1..=6) }
            },
        );
    let (_, body) = scene.ask("twice", "");
    assert_eq!(body, Err(Broken(events(1..=3))));
}

/// What another server answers instead of the rest of a stream; the client must see that the stream is not whole.
fn assert_never_complete(does: impl Fn(&Asked) -> Vec<Step> + Send + Sync + 'static) {
    let scene = Scene::new(
        move |turn, asked| if turn == 0 { then(part(asked, 1..=3), [Step::Closes]) } else { does(asked) },
    );
    let (head, body) = scene.ask("twice", "");
    assert_eq!((head.status, body), (200, Err(Broken(events(1..=3)))));
}

#[test]
fn stream_whose_rest_is_rejected_does_not_look_complete() {
    assert_never_complete(|asked| {
        vec![Step::Writes(whole(404, &format!("{}{STAMP}", id(asked.id())), b"what?"))]
    });
}

#[test]
fn stream_whose_rest_is_a_complete_response_does_not_look_complete() {
    assert_never_complete(|asked| ok(asked, b"all at once"));
}

#[test]
fn stream_whose_rest_fails_does_not_look_complete() {
    assert_never_complete(|asked| {
        vec![Step::Writes(whole(500, &format!("{}{STAMP}", id(asked.id())), b"failed"))]
    });
}

#[test]
fn stream_whose_rest_has_another_id_does_not_look_complete() {
    assert_never_complete(|asked| {
        let other = Asked {
            message: system_common::server::renamed(&asked.message, "other"),
            number: 0,
            on_connection: 0,
        };
        stream(&other, 4..=6)
    });
}

#[test]
fn stream_whose_rest_has_no_stamp_does_not_look_complete() {
    assert_never_complete(|asked| {
        let head = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n{}\r\n", id(asked.id()));
        vec![Step::Writes(head.into_bytes()), chunk(&event(4)), last_chunk()]
    });
}

#[test]
fn stream_gets_no_more_attempts_than_its_route_allows() {
    let scene = Scene::new(|turn, asked| {
        let from = 1 + 2 * turn as u64;
        then(part(asked, from..=from + 1), [Step::Closes])
    });
    assert_eq!(scene.ask("twice", "").1, Err(Broken(events(1..=4))));
    assert_eq!(last_event_ids(&scene.servers, 2).len(), 2);
}

#[test]
fn client_that_resumes_gets_the_events_after_its_last() {
    let scene = Scene::new(|_, asked| stream(asked, 8..=9));
    for route in ["again", "once"] {
        assert_eq!(scene.ask(route, "Last-Event-Id: 7\r\n").1, Ok(events(8..=9)), "{route}");
    }
    assert_eq!(last_event_ids(&scene.servers, 2), [Some("7".to_owned()), Some("7".to_owned())]);
}

#[test]
fn complete_response_on_a_streaming_route_is_forwarded() {
    let scene = Scene::new(|_, asked| {
        vec![Step::Writes(whole(400, &format!("{}{STAMP}", id(asked.id())), b"too long a prompt"))]
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
    let scene = Scene::new(move |turn, asked| match turn {
        // Once the client has left there is nobody to write to.
        0 => then(part(asked, 1..=1), [Step::Waits(held.clone())]),
        _ => stream(asked, 1..=2),
    });
    let mut client = scene.client();
    client.write(&asks("r1", "again", ""));
    client.head();
    assert_eq!(client.chunk(), Some(event(1).into_bytes()));
    drop(client);
    gate.open();
    let mut next = scene.client();
    next.write(&asks("r2", "again", ""));
    let head = next.head();
    assert_eq!(next.try_body(&head), Ok(events(1..=2)));
    assert_eq!(
        last_event_ids(&scene.servers, 2),
        [None, None],
        "nothing is resumed for a disconnected client"
    );
}
