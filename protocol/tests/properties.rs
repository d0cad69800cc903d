//! Properties of all decoders on arbitrary and corrupted input: the result is a typed error or a value that
//! round-trips; decoding never panics, and its memory is bounded by the length of the input.
//!
//! A longer run: `PROPTEST_CASES=100000 cargo test --release -p ivyhatch-protocol --test properties`.

use std::fmt::Debug;

use googletest::prelude::*;
use ivyhatch_protocol::configuration::{Change, Document, Item};
use ivyhatch_protocol::frame::{Decoder, FrameError, MAX_MESSAGE_BYTES, PROTOCOL_VERSION, encode};
use ivyhatch_protocol::hash::checksum;
use ivyhatch_protocol::ids::{Ballot, NodeId, PartitionId};
use ivyhatch_protocol::peer::PeerMessage;
use ivyhatch_protocol::settings::{Settings, SettingsError};
use ivyhatch_protocol::watch::{
    EvacuationPosition, EvacuationUpdate, Position, Router, RouterState, Server, ServerListPosition,
    ServerListUpdate, WatchRequest, WatchResponse, ZoneEvacuation,
};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use speedy::{LittleEndian, Readable, Writable};

const FRAME_HEADER: usize = 12;

/// A frame with a valid header and this body.
fn frame_around(body: &[u8]) -> Vec<u8> {
    let mut bytes = 0x6976_u16.to_le_bytes().to_vec();
    bytes.extend_from_slice(&PROTOCOL_VERSION.to_le_bytes());
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&checksum(body).to_le_bytes());
    bytes.extend_from_slice(body);
    bytes
}

fn decoded<M: for<'a> Readable<'a, LittleEndian>>(bytes: &[u8]) -> Result<Option<M>, FrameError> {
    let mut decoder = Decoder::default();
    decoder.feed(bytes);
    decoder.next_message()
}

/// Checks that a body is rejected or round-trips.
fn check_body<M>(body: &[u8]) -> std::result::Result<(), TestCaseError>
where
    M: for<'a> Readable<'a, LittleEndian> + Writable<LittleEndian> + PartialEq + Debug,
{
    match decoded::<M>(&frame_around(body)) {
        Ok(Some(message)) => {
            let decoded_again = decoded::<M>(&encode(&message));
            prop_assert_eq!(decoded_again, Ok(Some(message)));
        }
        Ok(None) => prop_assert!(false, "a complete frame gave neither a message nor an error"),
        Err(FrameError::Undecodable(_)) => {}
        Err(error) => prop_assert!(false, "{error}"),
    }
    Ok(())
}

fn check_all_messages(body: &[u8]) -> std::result::Result<(), TestCaseError> {
    check_body::<PeerMessage>(body)?;
    check_body::<WatchRequest>(body)?;
    check_body::<WatchResponse>(body)?;
    check_body::<Document>(body)?;
    check_body::<Change>(body)
}

/// Sample bodies: encoded messages without their frame headers.
fn sample_bodies() -> Vec<Vec<u8>> {
    let ballot = Ballot { counter: 3, node: NodeId(0x7f00_0001), incarnation: 99 };
    let router = Router {
        node: NodeId(7),
        client_address: "10.0.0.7:8161".to_owned(),
        zone: "za".to_owned(),
        region: "ra".to_owned(),
        state: RouterState::Ready,
    };
    let server = Server {
        id: "s-1".to_owned(),
        service: "lm".to_owned(),
        address: "10.0.0.9:80".to_owned(),
        zone: "za".to_owned(),
        slots: 16,
        draining: false,
        warm_up_remaining_ms: 100,
        lifetime_remaining_ms: Some(5),
    };
    let servers = ServerListUpdate {
        ballot,
        from: Some(1),
        to: 2,
        upsert: vec![server],
        removed: vec!["s-0".to_owned()],
    };
    let document = Document::parse(CONFIGURATION.as_bytes()).expect("a valid configuration");
    let change = Document::default().diff(&document);
    let position = Position {
        configuration: 4,
        evacuations: vec![
            EvacuationPosition { partition: PartitionId(2), sequence: 5 },
            EvacuationPosition { partition: PartitionId(3), sequence: 6 },
        ],
        server_list: ServerListPosition { ballot, number: 7 },
    };
    let evacuations = EvacuationUpdate {
        partition: PartitionId(1),
        sequence: 2,
        zones: vec![ZoneEvacuation { zone: "za".to_owned(), active: true, change_count: 3 }],
    };
    let frames = [
        encode(&WatchRequest::Subscribe {
            router: router.clone(),
            primary: true,
            position: position.clone(),
        }),
        encode(&WatchRequest::Fetch { position }),
        encode(&WatchResponse::Snapshot { sequence: 4, document: document.clone().into() }),
        encode(&WatchResponse::Change { from: 3, to: 4, change: change.clone().into() }),
        encode(&WatchResponse::Evacuations(evacuations)),
        encode(&WatchResponse::ServerList(servers.clone())),
        encode(&PeerMessage::RouterSessions(vec![router])),
        encode(&PeerMessage::ServerList(servers)),
        encode(&document),
        encode(&change),
    ];
    frames.iter().map(|frame| frame[FRAME_HEADER..].to_vec()).collect()
}

/// A corruption of bytes.
#[derive(Clone, Debug)]
enum Corruption {
    Truncate(Index),
    Byte(Index, u8),
    /// Overwrites four bytes, which may be the length of a vector or string.
    Word(Index, u32),
    Insert(Index, Vec<u8>),
    Duplicate(Index, Index),
}

impl Corruption {
    fn apply(&self, bytes: &mut Vec<u8>) {
        if bytes.is_empty() {
            return;
        }
        match self {
            Self::Truncate(at) => bytes.truncate(at.index(bytes.len())),
            Self::Byte(at, byte) => {
                let at = at.index(bytes.len());
                bytes[at] = *byte;
            }
            Self::Word(at, word) => {
                let at = at.index(bytes.len());
                let end = bytes.len().min(at + 4);
                bytes[at..end].copy_from_slice(&word.to_le_bytes()[..end - at]);
            }
            Self::Insert(at, more) => {
                let at = at.index(bytes.len());
                bytes.splice(at..at, more.iter().copied());
            }
            Self::Duplicate(one, two) => {
                let (one, two) = (one.index(bytes.len()), two.index(bytes.len()));
                let copied = bytes[one.min(two)..one.max(two)].to_vec();
                bytes.splice(one..one, copied);
            }
        }
    }
}

fn any_corruption() -> impl Strategy<Value = Corruption> {
    let index = any::<Index>;
    let word = prop_oneof![
        0..64_u32,
        Just(u32::MAX),
        Just(u32::MAX / 2),
        Just(MAX_MESSAGE_BYTES as u32),
        any::<u32>()
    ];
    prop_oneof![
        index().prop_map(Corruption::Truncate),
        (index(), any::<u8>()).prop_map(|(at, byte)| Corruption::Byte(at, byte)),
        (index(), word).prop_map(|(at, word)| Corruption::Word(at, word)),
        (index(), vec(any::<u8>(), 1..12)).prop_map(|(at, more)| Corruption::Insert(at, more)),
        (index(), index()).prop_map(|(one, two)| Corruption::Duplicate(one, two)),
    ]
}

/// Arbitrary bytes, many of which are small like enum tags and lengths.
fn any_body() -> impl Strategy<Value = Vec<u8>> {
    let byte = prop_oneof![3 => Just(0_u8), 3 => 0..12_u8, 1 => any::<u8>()];
    vec(byte, 0..200)
}

fn corrupted(mut bytes: Vec<u8>, corruptions: &[Corruption]) -> Vec<u8> {
    corruptions.iter().for_each(|corruption| corruption.apply(&mut bytes));
    bytes
}

/// Decodes a stream in chunks until its end or the first error. Returns the number of decoded messages.
fn decode_all<M: for<'a> Readable<'a, LittleEndian>>(bytes: &[u8], chunk_size: usize) -> usize {
    let (mut decoder, mut count) = (Decoder::default(), 0);
    for chunk in bytes.chunks(chunk_size) {
        decoder.feed(chunk);
        loop {
            match decoder.next_message::<M>() {
                Ok(Some(_)) => count += 1,
                Ok(None) => break,
                Err(_) => return count,
            }
        }
    }
    count
}

proptest! {
    #[test]
    fn arbitrary_body_is_rejected_or_round_trips(body in any_body()) {
        check_all_messages(&body)?;
    }

    #[test]
    fn corrupted_body_is_rejected_or_round_trips(body_index in any::<Index>(), corruptions in vec(any_corruption(), 0..4)) {
        let bodies = sample_bodies();
        check_all_messages(&corrupted(bodies[body_index.index(bodies.len())].clone(), &corruptions))?;
    }

    #[test]
    fn arbitrary_stream_gives_messages_or_a_typed_error(
        stream in vec(any::<u8>(), 0..400),
        has_magic in any::<bool>(),
        chunk_size in 1..50_usize,
    ) {
        let stream = if has_magic { [&0x6976_u16.to_le_bytes()[..], &stream].concat() } else { stream };
        decode_all::<PeerMessage>(&stream, chunk_size);
        decode_all::<WatchRequest>(&stream, chunk_size);
        decode_all::<WatchResponse>(&stream, chunk_size);
    }

    #[test]
    fn corrupted_stream_gives_no_more_messages_than_were_sent(
        body_index in any::<Index>(),
        corruptions in vec(any_corruption(), 1..4),
        chunk_size in 1..50_usize,
    ) {
        let bodies = sample_bodies();
        let frame = frame_around(&bodies[body_index.index(bodies.len())]);
        let longest = corrupted([frame.clone(), frame.clone(), frame].concat(), &corruptions);
        let count = decode_all::<PeerMessage>(&longest, chunk_size).max(decode_all::<WatchResponse>(&longest, chunk_size));
        // Each duplication can at most double the number of messages.
        prop_assert!(count <= 3 << corruptions.len(), "{count} messages");
    }
}

const CONFIGURATION: &str = r#"{"revision":7,"routes":[
    {"name":"a","host":"h.example","path_prefix":"/a/","route_kind":"streaming","timeout_ms":12000.0,"target_ms":800,
     "priority":0,"split":[{"service":"s","weight":90}],"max_tries":2,"home_regions":["ra"],"unknown":{"kept":[1,"\u00e9"]}}],
  "services":[{"name":"s","health_path":"/healthz","max_conns":640,"cold_s":3.0,"engine":{"slots":4,"cache_tokens":9}}],
  "empty":[],"limits":{"max_header_bytes":16384}}"#;

const CHANGE: &str = r#"{"revision":9,"upsert":{"routes":[{"name":"c","host":"h","path_prefix":"/c/","route_kind":"safe",
    "timeout_ms":1,"service":"s"}],"tenants":[{"name":"x"}]},"remove":{"routes":["a","none"]},"limits":{"idle_timeout_ms":1}}"#;

const SETTINGS: &str = r#"{"node_name":"n","role":"r","ip":"10.1.0.13","zone":"za","region":"ra","zones":{"za":"ra"},
    "listen":{"front":"10.1.0.13:8161","control":"10.1.0.13:8166"},"inner_ports":[7720,7735],"seeds":["10.1.0.13:8166"],
    "first_start":true,"limits":{"cpu_share":0.45,"memory_mb":260,"max_fds":4100,"disk_mb":64},"data_dir":"/data/x",
    "tolerate":{"machines":1},"bounds":{"drain_ms":3000,"grace_s":8,"budget_ratio":0.2},
    "cloud_api":{"address":"10.200.0.79:8169","rate_per_s":40.0,"lag_ms":800}}"#;

/// Tokens of JSON and field names of the configuration, in any order.
fn any_json() -> impl Strategy<Value = Vec<u8>> {
    let token = prop_oneof![
        prop::sample::select(vec![
            "{",
            "}",
            "[",
            "]",
            ",",
            ":",
            "\"",
            "\\",
            "null",
            "true",
            "-1",
            "1e999",
            "18446744073709551616",
            "\"name\"",
            "\"revision\"",
            "\"routes\"",
            "\"upsert\"",
            "\"remove\"",
            "\"services\"",
            "7",
            "\"\\ud800\"",
        ])
        .prop_map(|token| token.as_bytes().to_vec()),
        vec(any::<u8>(), 1..3),
    ];
    vec(token, 0..40).prop_map(|tokens| tokens.concat())
}

fn check_configuration(body: &[u8]) -> std::result::Result<(), TestCaseError> {
    if let Ok(document) = Document::parse(body) {
        prop_assert_eq!(Document::parse(document.to_json().as_bytes()), Ok(document.clone()));
        // The document may be invalid; validation must not panic.
        let _ = document.validate(0);
        let before = Document::parse(CONFIGURATION.as_bytes()).expect("configuration is valid");
        let mut changed = before.with_change(&before.diff(&document));
        changed.sections.retain(|name, items| !items.is_empty() || document.sections.contains_key(name));
        prop_assert_eq!(names(&changed), names(&document));
        prop_assert_eq!(changed.other_fields, document.other_fields);
    }
    if let Ok(change) = Change::parse(body) {
        let changed =
            Document::parse(CONFIGURATION.as_bytes()).expect("configuration is valid").with_change(&change);
        prop_assert_eq!(changed.revision, change.revision);
        let _ = changed.validate(0);
    }
    Ok(())
}

/// Names and JSON of the items by section, sorted, because a change keeps the order of existing items.
fn names(document: &Document) -> Vec<(String, Vec<(String, String)>)> {
    let by_name = |items: &Vec<Item>| {
        let mut pairs: Vec<_> = items.iter().map(|item| (item.name.clone(), item.json.clone())).collect();
        pairs.sort();
        pairs
    };
    document.sections.iter().map(|(section, items)| (section.clone(), by_name(items))).collect()
}

proptest! {
    #[test]
    fn arbitrary_text_is_rejected_or_a_configuration_that_round_trips(text in any_json()) {
        check_configuration(&text)?;
    }

    #[test]
    fn corrupted_configuration_or_change_is_rejected_or_round_trips(
        is_change in any::<bool>(),
        corruptions in vec(any_corruption(), 0..4),
    ) {
        let text = if is_change { CHANGE } else { CONFIGURATION };
        check_configuration(&corrupted(text.as_bytes().to_vec(), &corruptions))?;
    }

    #[test]
    fn arbitrary_settings_are_read_or_rejected_as_malformed(text in any_json(), corruptions in vec(any_corruption(), 0..3)) {
        for bytes in [text, corrupted(SETTINGS.as_bytes().to_vec(), &corruptions)] {
            let read = Settings::from_text(&String::from_utf8_lossy(&bytes), "node.json");
            if let Err(error) = read {
                prop_assert!(matches!(error, SettingsError::Malformed { .. }), "{error}");
            }
        }
    }
}

#[gtest]
fn samples_are_valid_messages_and_files() {
    for body in sample_bodies() {
        let frame = frame_around(&body);
        let is_known = matches!(decoded::<PeerMessage>(&frame), Ok(Some(_)))
            || matches!(decoded::<WatchRequest>(&frame), Ok(Some(_)))
            || matches!(decoded::<WatchResponse>(&frame), Ok(Some(_)))
            || matches!(decoded::<Document>(&frame), Ok(Some(_)))
            || matches!(decoded::<Change>(&frame), Ok(Some(_)));
        expect_true!(is_known);
    }
    expect_that!(
        Document::parse(CONFIGURATION.as_bytes()).expect("configuration is valid").validate(0),
        ok(anything())
    );
    expect_that!(Change::parse(CHANGE.as_bytes()), ok(anything()));
    expect_that!(Settings::from_text(SETTINGS, "node.json"), ok(anything()));
}

#[gtest]
fn message_with_trailing_bytes_is_rejected() {
    let want = WatchRequest::Fetch { position: Position::default() };
    let mut body = encode(&want)[FRAME_HEADER..].to_vec();
    expect_that!(decoded::<WatchRequest>(&frame_around(&body)), ok(some(eq(&want))));
    body.push(0);
    expect_that!(
        decoded::<WatchRequest>(&frame_around(&body)),
        err(matches_pattern!(FrameError::Undecodable(_)))
    );
}

#[gtest]
fn deeply_nested_and_unterminated_json_is_rejected() {
    const DEPTH: usize = 200_000;
    for (open, close) in [("[", "]"), (r#"{"a":"#, "}")] {
        let nested = format!("{}1{}", open.repeat(DEPTH), close.repeat(DEPTH));
        for (before, after) in
            [("", ""), (r#"{"revision":1,"x":"#, "}"), (r#"{"revision":1,"routes":[{"name":"a","x":"#, "}]}")]
        {
            let text = format!("{before}{nested}{after}");
            if let Ok(document) = Document::parse(text.as_bytes()) {
                expect_that!(
                    document.validate(0),
                    err(anything()),
                    "a document nested this deep was accepted"
                );
            }
            if let Ok(change) = Change::parse(text.as_bytes()) {
                expect_that!(Document::default().with_change(&change).validate(0), err(anything()));
            }
            expect_that!(Settings::from_text(&text, "node.json"), err(anything()));
            expect_that!(
                Document::parse(format!("{before}{}", open.repeat(DEPTH)).as_bytes()),
                err(anything())
            );
        }
    }
}

/// The peak virtual memory of this process, in bytes.
fn peak_memory() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("/proc/self/status can be read");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmPeak:"))
        .expect("/proc/self/status has a line VmPeak");
    let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().expect("VmPeak is a number of kB");
    kilobytes << 10
}

#[gtest]
fn false_length_allocates_no_memory() {
    // Above the allocations of concurrent tests, and below the two largest of the false lengths.
    const ALLOWANCE: u64 = 1 << 30;
    let before = peak_memory();
    for body in sample_bodies() {
        for at in 0..body.len() {
            for length in [u32::MAX, u32::MAX / 2, 0x1000_0000, MAX_MESSAGE_BYTES as u32] {
                let mut corrupted = body.clone();
                let end = corrupted.len().min(at + 4);
                corrupted[at..end].copy_from_slice(&length.to_le_bytes()[..end - at]);
                check_all_messages(&corrupted).expect("the body is rejected or round-trips");
                // With a false length in the header, the decoder waits for the rest of the body or rejects the length.
                let mut frame = frame_around(&corrupted);
                frame[4..8].copy_from_slice(&length.to_le_bytes());
                let read = decoded::<PeerMessage>(&frame);
                expect_that!(matches!(read, Ok(None) | Err(FrameError::MessageTooLong { .. })), is_true());
            }
        }
    }
    expect_that!(peak_memory() - before, lt(ALLOWANCE));
}
