//! Golden tests of the wire format: each message between processes is encoded to, and decoded from, the bytes in
//! `golden/`, as single frames and as fragments. They guard against unintended changes of the format.
//!
//! `UPDATE_GOLDEN=1 cargo test -p ivyhatch-protocol --test golden` adds a new message; existing lines must not change.

mod golden_files;

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::net::Ipv4Addr;

use golden_files::{GoldenLine, compare};
use googletest::prelude::*;
use ivyhatch_protocol::configuration::{Change, Document, Item};
use ivyhatch_protocol::coordination::{Call, CallOutcome, CellEvent, NotStarted, Refusal, Reply};
use ivyhatch_protocol::frame::{Decoder, encode, encode_fragments};
use ivyhatch_protocol::hash::hash_mix;
use ivyhatch_protocol::ids::{Ballot, NodeId, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{
    AcceptedValue, AdminRequest, AdminResponse, ConsensusMessage, Heartbeat, LegacyAcceptorState, Membership,
    PeerMessage, ReplicaStatus, RouterChanges, TransferredState, Voter,
};
use ivyhatch_protocol::registers::{RegisterKey, RegisterWrite, StateUpdate, UpdateBase, Version};
use ivyhatch_protocol::watch::{
    ControlNode, EvacuationPosition, EvacuationUpdate, Position, Router, RouterState, Server,
    ServerListChange, ServerListPosition, ServerListUpdate, Shared, WatchRequest, WatchResponse,
    ZoneEvacuation,
};
use speedy::{LittleEndian, Readable, Writable};

fn node(last: u8) -> NodeId {
    NodeId::from(Ipv4Addr::new(10, 20, 30, last))
}

fn ballot(counter: u64) -> Ballot {
    Ballot { counter, node: node(7), incarnation: 0x0102_0304_0506_0708 }
}

fn replica(last: u8) -> ReplicaId {
    ReplicaId { node: node(last), disk: 0x1112_1314_1516_1700 + u64::from(last) }
}

fn voter(last: u8, zone: &str, joined: u64) -> Voter {
    Voter { replica: replica(last), zone: zone.to_owned(), joined_generation: joined }
}

fn membership() -> Membership {
    Membership {
        generation: 4,
        voters: vec![voter(1, "north-a", 1), voter(2, "north-b", 4), voter(3, "south-a", 1)],
        previous: vec![voter(1, "north-a", 1), voter(3, "south-a", 1), voter(9, "north-b", 2)],
    }
}

fn accepted_value() -> AcceptedValue {
    AcceptedValue { ballot: ballot(5), sequence: 300, value: b"value \x00\xff".to_vec() }
}

fn router(state: RouterState) -> Router {
    Router {
        node: node(40),
        client_address: "10.20.30.40:8443".to_owned(),
        zone: "north-a".to_owned(),
        region: "north".to_owned(),
        state,
    }
}

fn server() -> Server {
    Server {
        id: "chat-17#3".to_owned(),
        service: "chat".to_owned(),
        address: "10.20.31.17:9000".to_owned(),
        zone: "north-b".to_owned(),
        slots: 12,
        draining: true,
        warm_up_remaining_ms: 2500,
        lifetime_remaining_ms: Some(90_000),
    }
}

fn whole_server_list() -> ServerListUpdate {
    let lasting = Server {
        id: "chat-18#1".to_owned(),
        draining: false,
        warm_up_remaining_ms: 0,
        lifetime_remaining_ms: None,
        ..server()
    };
    ServerListUpdate {
        ballot: ballot(6),
        from: None,
        to: 21,
        upsert: vec![server(), lasting],
        removed: Vec::new(),
    }
}

fn server_list_change() -> ServerListUpdate {
    ServerListUpdate {
        ballot: ballot(6),
        from: Some(21),
        to: 23,
        upsert: vec![server()],
        removed: vec!["chat-2#1".to_owned(), "chat-9#4".to_owned()],
    }
}

fn position() -> Position {
    Position {
        configuration: 12,
        evacuations: vec![
            EvacuationPosition { partition: PartitionId(1), sequence: 3 },
            EvacuationPosition { partition: PartitionId(8), sequence: 40 },
        ],
        server_list: ServerListPosition { ballot: ballot(6), number: 21 },
    }
}

fn item(name: &str, json: &str) -> Item {
    Item { name: name.to_owned(), json: json.to_owned() }
}

fn document() -> Document {
    let routes = vec![
        item("chat", r#"{"name":"chat","host":"chat.example","path_prefix":"/v1/"}"#),
        item("embed", r#"{"name":"embed","host":"chat.example","path_prefix":"/embed/"}"#),
    ];
    Document {
        revision: 31,
        sections: BTreeMap::from([("routes".to_owned(), routes), ("tenants".to_owned(), Vec::new())]),
        other_fields: BTreeMap::from([("limits".to_owned(), r#"{"max_body_bytes":9000}"#.to_owned())]),
    }
}

fn change() -> Change {
    Change {
        revision: 32,
        upsert: BTreeMap::from([("services".to_owned(), vec![item("chat", r#"{"name":"chat"}"#)])]),
        remove: BTreeMap::from([("routes".to_owned(), vec!["embed".to_owned(), "old".to_owned()])]),
        other_fields: BTreeMap::from([
            ("limits".to_owned(), None),
            ("owner".to_owned(), Some(r#""platform""#.to_owned())),
        ]),
    }
}

fn heartbeat(status: ReplicaStatus) -> Heartbeat {
    Heartbeat {
        incarnation: 0x2122_2324_2526_2728,
        sequence: 77,
        disk: Some(replica(1).disk),
        zone: "north-a".to_owned(),
        status,
        generation: 4,
        draining: true,
        reachable: vec![node(2), node(3)],
        has_quorum: true,
        can_read_server_list: true,
        committed: vec![12, 0, 3, 0, 0, 0, 0, 0, 40],
        server_list: ServerListPosition { ballot: ballot(6), number: 21 },
    }
}

fn consensus(message: ConsensusMessage) -> PeerMessage {
    PeerMessage::Consensus { generation: 4, partition: PartitionId(3), message }
}

fn forward_request(request: AdminRequest) -> PeerMessage {
    PeerMessage::ForwardRequest { request_id: 900, last_heartbeat: 76, request }
}

fn forward_response(response: AdminResponse) -> PeerMessage {
    PeerMessage::ForwardResponse { request_id: 900, response }
}

fn state_transfer() -> PeerMessage {
    let accepted = LegacyAcceptorState { promised: ballot(8), accepted: Some(accepted_value()) };
    let only_promised = LegacyAcceptorState { promised: ballot(9), accepted: None };
    PeerMessage::StateTransfer {
        incarnation: 0x2122_2324_2526_2728,
        generation: 4,
        disk: replica(3).disk,
        partitions: vec![(PartitionId::CONFIGURATION, accepted), (PartitionId(5), only_promised)],
    }
}

fn legacy_consensus_messages() -> Vec<(&'static str, ConsensusMessage)> {
    vec![
        ("prepare", ConsensusMessage::LegacyPrepare { ballot: ballot(5) }),
        ("promise_without_value", ConsensusMessage::LegacyPromise { ballot: ballot(5), accepted: None }),
        (
            "promise_with_value",
            ConsensusMessage::LegacyPromise { ballot: ballot(6), accepted: Some(accepted_value()) },
        ),
        ("accept", ConsensusMessage::LegacyAccept(accepted_value())),
        ("accepted", ConsensusMessage::Accepted { ballot: ballot(5), sequence: 300 }),
        ("reject", ConsensusMessage::Reject { promised: ballot(9) }),
        ("commit", ConsensusMessage::Commit { ballot: ballot(5), sequence: 300 }),
        ("fetch", ConsensusMessage::LegacyFetch { after: 299 }),
        ("committed", ConsensusMessage::LegacyCommitted(accepted_value())),
        ("confirm", ConsensusMessage::Confirm { ballot: ballot(5), request_id: 18 }),
        ("confirmed", ConsensusMessage::Confirmed { ballot: ballot(5), request_id: 18 }),
    ]
}

/// A write of each kind of register of the control state.
fn register_writes() -> Vec<RegisterWrite> {
    let item = RegisterKey::Item { section: "routes".to_owned(), name: "chat".to_owned() };
    let keys = [
        RegisterKey::Revision,
        RegisterKey::Section("routes".to_owned()),
        item,
        RegisterKey::Field("owner".to_owned()),
        RegisterKey::AppliedRequest(17),
        RegisterKey::Zone("north-a".to_owned()),
        RegisterKey::Membership,
        RegisterKey::Undecodable,
    ];
    let write = |(sequence, key): (u64, RegisterKey)| {
        let value = (sequence != 303).then(|| Shared::from(vec![sequence as u8, 0xff]));
        RegisterWrite { key, sequence, value }
    };
    (300..).zip(keys).map(write).collect()
}

fn state_update(base: UpdateBase) -> StateUpdate {
    let version = Version { ballot: ballot(5), sequence: 307 };
    StateUpdate { version, base, writes: register_writes(), digest: 0x4142_4344_4546_4748 }
}

fn register_messages() -> Vec<(&'static str, ConsensusMessage)> {
    let (change, whole) = (state_update(UpdateBase::Since(299)), state_update(UpdateBase::Empty));
    let accepted = Version { ballot: ballot(4), sequence: 301 };
    let promise = |accepted| ConsensusMessage::Promise { ballot: ballot(6), accepted, committed: 300 };
    let behind = |committed| ConsensusMessage::Behind { ballot: ballot(5), sequence: 307, committed };
    vec![
        ("prepare", ConsensusMessage::Prepare { ballot: ballot(6), committed: Some(299), accepted }),
        ("prepare_whole", ConsensusMessage::Prepare { ballot: ballot(6), committed: None, accepted }),
        ("promise_without_update", promise(None)),
        ("promise_with_update", promise(Some(change.clone()))),
        ("accept_change", ConsensusMessage::Accept(change.clone())),
        ("accept_whole", ConsensusMessage::Accept(whole)),
        ("behind", behind(Some(299))),
        ("behind_whole", behind(None)),
        ("fetch", ConsensusMessage::Fetch { committed: Some(299) }),
        ("committed", ConsensusMessage::Committed(change)),
    ]
}

/// A write of each kind of register of applications.
fn coordination_registers() -> Vec<(&'static str, ConsensusMessage)> {
    let keys = [
        RegisterKey::Lock("lobby".to_owned()),
        RegisterKey::Cell("grid.7".to_owned()),
        RegisterKey::CellEvent(513),
    ];
    let write = |(sequence, key)| RegisterWrite { key, sequence, value: Some(vec![7, 8].into()) };
    let writes = (400..).zip(keys).map(write).collect();
    let version = Version { ballot: ballot(5), sequence: 402 };
    let update = StateUpdate { version, base: UpdateBase::Since(399), writes, digest: 0x5152_5354_5556_5758 };
    vec![("accept", ConsensusMessage::Accept(update))]
}

fn forwarded_call(call: Call) -> PeerMessage {
    PeerMessage::ForwardCall { request_id: 0x6162_6364_6566_6768, last_heartbeat: 77, call }
}

fn calls() -> Vec<(&'static str, Call)> {
    let (name, holder) = ("lobby".to_owned(), "server.3".to_owned());
    let (cell, value) = ("grid.7".to_owned(), "v".to_owned());
    let put =
        |expected_revision| Call::PutCell { name: cell.clone(), value: value.clone(), expected_revision };
    vec![
        ("acquire_lock", Call::AcquireLock { name: name.clone(), holder: holder.clone(), hold_ms: 3000 }),
        (
            "renew_lock",
            Call::RenewLock { name: name.clone(), holder: holder.clone(), fence: 41, hold_ms: 3000 },
        ),
        ("release_lock", Call::ReleaseLock { name: name.clone(), holder, fence: 41 }),
        ("next_number", Call::NextNumber { name }),
        ("put_cell", put(None)),
        ("put_cell_expecting", put(Some(907))),
        ("read_cell", Call::ReadCell { name: cell.clone() }),
        ("watch_group", Call::WatchGroup { group: "grid.".to_owned(), after: 930, wait_ms: 2000 }),
    ]
}

fn forwarded_call_outcome(outcome: CallOutcome) -> PeerMessage {
    PeerMessage::ForwardCallOutcome { request_id: 0x6162_6364_6566_6768, outcome }
}

fn call_outcomes() -> Vec<(&'static str, CallOutcome)> {
    let event = CellEvent { name: "grid.7".to_owned(), value: "v".to_owned(), revision: 931 };
    let applied = CallOutcome::Applied;
    let refused = CallOutcome::Refused;
    vec![
        ("lock_acquired", applied(Reply::LockAcquired { fence: 41 })),
        ("lock_renewed", applied(Reply::LockRenewed)),
        ("lock_released", applied(Reply::LockReleased)),
        ("number", applied(Reply::Number { value: 5120 })),
        ("cell_put", applied(Reply::CellPut { revision: 931 })),
        ("cell", applied(Reply::Cell { value: "v".to_owned(), revision: 931 })),
        ("events", applied(Reply::Events { events: vec![event], revision: 931 })),
        ("lock_held", refused(Refusal::LockHeld)),
        ("lock_lost", refused(Refusal::LockLost)),
        ("revision_conflict", refused(Refusal::RevisionConflict { revision: 922 })),
        ("no_such_cell", refused(Refusal::NoSuchCell)),
        ("history_expired", refused(Refusal::HistoryExpired { revision: 931 })),
        ("revision_ahead", refused(Refusal::RevisionAhead { revision: 931 })),
        ("overloaded", CallOutcome::NotStarted(NotStarted::Overloaded)),
        ("no_quorum", CallOutcome::NotStarted(NotStarted::NoQuorum)),
        ("not_leader", CallOutcome::NotStarted(NotStarted::NotLeader)),
        ("unknown", CallOutcome::Unknown),
    ]
}

fn register_transfer() -> PeerMessage {
    let accepted =
        TransferredState { promised: ballot(8), accepted: Some(state_update(UpdateBase::Since(299))) };
    let only_promised = TransferredState { promised: ballot(9), accepted: None };
    PeerMessage::RegisterTransfer {
        incarnation: 0x2122_2324_2526_2728,
        generation: 4,
        disk: replica(3).disk,
        partitions: vec![(PartitionId::CONFIGURATION, accepted), (PartitionId(5), only_promised)],
    }
}

fn list_of_next_reader() -> ServerListChange {
    let base = Some(ServerListPosition { ballot: ballot(5), number: 40 });
    let position = ServerListPosition { ballot: ballot(6), number: 1 };
    ServerListChange { base, position, upsert: vec![server()], removed: vec!["chat-2#1".to_owned()] }
}

fn router_changes() -> RouterChanges {
    RouterChanges { upsert: vec![router(RouterState::Ready)], removed: vec![node(41)], digest: 0x5152_5354 }
}

fn register_transfer_request() -> PeerMessage {
    let (incarnation, generation) = (0x3132_3334_3536_3738, 4);
    PeerMessage::RegisterTransferRequest { incarnation, generation, committed: vec![299, 0, 7] }
}

fn admin_requests() -> Vec<(&'static str, AdminRequest)> {
    let evacuate =
        |active: bool| AdminRequest::Evacuate { zone: "south-a".to_owned(), active, change_count: 2 };
    vec![
        ("put", AdminRequest::Put { base: 30, body: br#"{"revision":31}"#.to_vec() }),
        ("patch", AdminRequest::Patch { base: 31, body: br#"{"revision":32,"remove":{}}"#.to_vec() }),
        ("read", AdminRequest::Read),
        ("evacuate_on", evacuate(true)),
        ("evacuate_off", evacuate(false)),
    ]
}

fn admin_responses() -> Vec<(&'static str, AdminResponse)> {
    vec![
        ("applied", AdminResponse::Applied { revision: 31 }),
        ("document", AdminResponse::Document(r#"{"revision":31}"#.to_owned())),
        ("not_configured", AdminResponse::NotConfigured),
        ("conflict", AdminResponse::Conflict { revision: 33 }),
        ("invalid", AdminResponse::Invalid("a field is wrong".to_owned())),
        ("unavailable", AdminResponse::Unavailable("send it again".to_owned())),
    ]
}

fn heartbeats() -> Vec<(&'static str, Heartbeat)> {
    let with_coordination = Heartbeat::encode_committed(true, |partition| u64::from(partition.0) + 40);
    vec![
        ("default", Heartbeat::default()),
        ("uninitialized", heartbeat(ReplicaStatus::Uninitialized)),
        ("learner", heartbeat(ReplicaStatus::Learner)),
        ("voter", heartbeat(ReplicaStatus::Voter)),
        ("removed", heartbeat(ReplicaStatus::Removed)),
        ("only_leaving", Heartbeat { draining: true, ..Heartbeat::default() }),
        ("only_has_quorum", Heartbeat { has_quorum: true, ..Heartbeat::default() }),
        ("only_reads_list", Heartbeat { can_read_server_list: true, ..Heartbeat::default() }),
        ("with_coordination", Heartbeat { committed: with_coordination, ..Heartbeat::default() }),
    ]
}

/// Messages with names that begin with a prefix.
fn prefixed<T, M>(
    prefix: &str,
    values: Vec<(&'static str, T)>,
    message: impl Fn(T) -> M,
) -> Vec<(String, M)> {
    values.into_iter().map(|(name, value)| (format!("{prefix}/{name}"), message(value))).collect()
}

fn peer_messages() -> Vec<(String, PeerMessage)> {
    let transfer_request =
        PeerMessage::StateTransferRequest { incarnation: 0x3132_3334_3536_3738, generation: 4 };
    let routers =
        vec![router(RouterState::Starting), router(RouterState::Ready), router(RouterState::Draining)];
    let single = |name: &str, message: PeerMessage| vec![(name.to_owned(), message)];
    [
        prefixed("heartbeat", heartbeats(), PeerMessage::Heartbeat),
        single("membership/empty", PeerMessage::Membership(Membership::default())),
        single("membership/full", PeerMessage::Membership(membership())),
        single("state_transfer_request", transfer_request),
        single("state_transfer", state_transfer()),
        prefixed("consensus", legacy_consensus_messages(), consensus),
        prefixed("forward_request", admin_requests(), forward_request),
        prefixed("forward_response", admin_responses(), forward_response),
        single("router_sessions", PeerMessage::RouterSessions(routers)),
        single("server_list/whole", PeerMessage::ServerList(whole_server_list())),
        single("server_list/change", PeerMessage::ServerList(server_list_change())),
        single("server_list_request", PeerMessage::ServerListRequest),
        prefixed("registers", register_messages(), consensus),
        single("register_transfer_request", register_transfer_request()),
        single("register_transfer", register_transfer()),
        single("server_list_change/whole", PeerMessage::ServerListChange(whole_server_list().into())),
        single("server_list_change/next_reader", PeerMessage::ServerListChange(list_of_next_reader())),
        single("server_list_fetch", PeerMessage::ServerListFetch(position().server_list)),
        single("router_changes", PeerMessage::RouterChanges(router_changes())),
        single("router_sessions_request", PeerMessage::RouterSessionsRequest),
        prefixed("coordination_registers", coordination_registers(), consensus),
        prefixed("forward_call", calls(), forwarded_call),
        prefixed("forward_call_outcome", call_outcomes(), forwarded_call_outcome),
    ]
    .into_iter()
    .flatten()
    .collect()
}

fn watch_requests() -> Vec<(String, WatchRequest)> {
    let subscribe = |state: RouterState, primary: bool, position: Position| WatchRequest::Subscribe {
        router: router(state),
        primary,
        position,
    };
    let messages = vec![
        ("subscribe/new", subscribe(RouterState::Starting, false, Position::default())),
        ("subscribe/primary", subscribe(RouterState::Ready, true, position())),
        ("heartbeat/starting", WatchRequest::Heartbeat { state: RouterState::Starting }),
        ("heartbeat/ready", WatchRequest::Heartbeat { state: RouterState::Ready }),
        ("heartbeat/leaving", WatchRequest::Heartbeat { state: RouterState::Draining }),
        ("fetch/new", WatchRequest::Fetch { position: Position::default() }),
        ("fetch/behind", WatchRequest::Fetch { position: position() }),
    ];
    messages.into_iter().map(|(name, message)| (name.to_owned(), message)).collect()
}

fn watch_responses() -> Vec<(String, WatchResponse)> {
    let progress = WatchResponse::Progress {
        position: position(),
        has_quorum: true,
        router_count: 9,
        router_index: 4,
        control_nodes: vec![node(1), node(2), node(3)],
    };
    let empty_progress = WatchResponse::Progress {
        position: Position::default(),
        has_quorum: false,
        router_count: 0,
        router_index: 0,
        control_nodes: Vec::new(),
    };
    let evacuations = EvacuationUpdate {
        partition: PartitionId(4),
        sequence: 40,
        zones: vec![
            ZoneEvacuation { zone: "north-a".to_owned(), active: false, change_count: 2 },
            ZoneEvacuation { zone: "south-a".to_owned(), active: true, change_count: 3 },
        ],
    };
    let control_node = ControlNode { node: node(3), zone: "south-a".to_owned() };
    let messages = vec![
        ("progress/empty", empty_progress),
        ("progress/full", progress),
        ("snapshot/empty", WatchResponse::Snapshot { sequence: 0, document: Shared::default() }),
        ("snapshot/full", WatchResponse::Snapshot { sequence: 12, document: document().into() }),
        ("change", WatchResponse::Change { from: 12, to: 13, change: change().into() }),
        ("evacuations", WatchResponse::Evacuations(evacuations)),
        ("server_list/whole", WatchResponse::ServerList(whole_server_list())),
        ("server_list/change", WatchResponse::ServerList(server_list_change())),
        ("alive", WatchResponse::Alive),
        ("control_nodes", WatchResponse::ControlNodes(vec![control_node])),
        ("server_list_change", WatchResponse::ServerListChange(list_of_next_reader().into())),
    ];
    messages.into_iter().map(|(name, message)| (name.to_owned(), message)).collect()
}

/// Text of `length` characters with hardly any repetition.
fn varied_text(length: u64) -> String {
    (0..length)
        .map(|at| char::from(b'#' + (hash_mix(at) % 90) as u8).to_string().replace('\\', "!"))
        .collect()
}

fn document_of(items: Vec<Item>) -> WatchResponse {
    let document = Document {
        revision: 31,
        sections: BTreeMap::from([("routes".to_owned(), items)]),
        other_fields: BTreeMap::new(),
    };
    WatchResponse::Snapshot { sequence: 12, document: document.into() }
}

/// A message of more than 2 KiB, with items that resemble each other.
fn repetitive_message() -> WatchResponse {
    let route = |number: u64| {
        let name = format!("route-{number}");
        let json =
            format!("{{\"name\":\"{name}\",\"host\":\"chat.example\",\"path_prefix\":\"/{number}/\"}}");
        item(&name, &json)
    };
    document_of((0..40).map(route).collect())
}

/// A message of more than 16 KiB that compression would lengthen.
fn varied_message() -> WatchResponse {
    document_of(vec![item("varied", &varied_text(18_000))])
}

/// A message of more than 16 KiB even after compression.
fn half_repetitive_message() -> WatchResponse {
    let text = varied_text(18_000);
    document_of(vec![item("first", &text), item("second", &text)])
}

fn decode_all<M: for<'a> Readable<'a, LittleEndian>>(bytes: &[u8]) -> Vec<M> {
    let mut decoder = Decoder::default();
    decoder.feed(bytes);
    std::iter::from_fn(|| decoder.next_message().expect("frames are valid")).collect()
}

/// Checks that each message is encoded to its frame in the golden file, and that this frame is decoded to the message.
fn check_messages<M>(file: &str, messages: &[(String, M)])
where
    M: for<'a> Readable<'a, LittleEndian> + Writable<LittleEndian> + PartialEq + Debug,
{
    let lines: Vec<GoldenLine> =
        messages.iter().map(|(name, message)| GoldenLine::new(name, encode(message))).collect();
    let golden = compare(file, &lines);
    for ((name, message), golden_line) in messages.iter().zip(&golden) {
        let decoded: Vec<M> = decode_all(&golden_line.bytes);
        assert!(
            decoded.iter().eq([message]),
            "{file}: {name}: the golden frame is decoded to another message"
        );
    }
}

/// Like [`check_messages`], for values that are sent only within other messages.
fn check_values<V>(file: &str, values: &[(&str, V)])
where
    V: for<'a> Readable<'a, LittleEndian> + Writable<LittleEndian> + PartialEq + Debug,
{
    let bytes = |value: &V| value.write_to_vec().expect("writing to memory");
    let lines: Vec<GoldenLine> =
        values.iter().map(|(name, value)| GoldenLine::new(name, bytes(value))).collect();
    let golden = compare(file, &lines);
    for ((name, value), golden_line) in values.iter().zip(&golden) {
        let decoded = V::read_from_buffer(&golden_line.bytes).expect("golden value can be decoded");
        assert!(decoded == *value, "{file}: {name}: the golden bytes are decoded to another value");
    }
}

/// Checks that a message is encoded to the fragments in the golden file, one per line, and that these fragments are
/// decoded to the message. Returns the lines of the file.
fn check_fragments(file: &str, message: &WatchResponse) -> Vec<GoldenLine> {
    let fragments = encode_fragments(message);
    let line = |(index, bytes)| GoldenLine::new(&format!("fragment_{index}"), bytes);
    let lines: Vec<GoldenLine> = fragments.into_iter().enumerate().map(line).collect();
    let golden = compare(file, &lines);
    let stream: Vec<u8> = golden.iter().flat_map(|line| line.bytes.clone()).collect();
    let decoded: Vec<WatchResponse> = decode_all(&stream);
    assert!(decoded == [message.clone()], "{file}: the golden fragments are decoded to another message");
    golden
}

/// The flags in the length field of a frame.
fn flags(frame: &[u8]) -> u8 {
    frame[7] & 0xe0
}

#[gtest]
fn messages_between_control_nodes_have_the_golden_bytes() {
    check_messages("peer.txt", &peer_messages());
}

#[gtest]
fn messages_from_routers_have_the_golden_bytes() {
    check_messages("watch_request.txt", &watch_requests());
}

#[gtest]
fn messages_to_routers_have_the_golden_bytes() {
    check_messages("watch_response.txt", &watch_responses());
}

#[gtest]
fn admin_requests_have_the_golden_bytes() {
    check_values("admin_request.txt", &admin_requests());
}

#[gtest]
fn admin_responses_have_the_golden_bytes() {
    check_values("admin_response.txt", &admin_responses());
}

#[gtest]
fn compressed_frame_has_the_golden_bytes() {
    let message = repetitive_message();
    let golden = check_fragments("compressed.txt", &message);
    expect_that!(golden.len(), eq(1));
    expect_that!(flags(&golden[0].bytes), eq(0x20), "compressed");
    expect_that!(encode(&message), eq(&golden[0].bytes));
}

#[gtest]
fn fragments_of_an_incompressible_message_have_the_golden_bytes() {
    let golden = check_fragments("fragmented.txt", &varied_message());
    expect_that!(golden.len(), eq(2));
    expect_that!(flags(&golden[0].bytes), eq(0x80), "a fragment");
    expect_that!(flags(&golden[1].bytes), eq(0xc0), "the last fragment");
}

#[gtest]
fn fragments_of_a_compressed_message_have_the_golden_bytes() {
    let golden = check_fragments("compressed_fragmented.txt", &half_repetitive_message());
    expect_that!(golden.len(), eq(2));
    expect_that!(flags(&golden[0].bytes), eq(0xa0), "a compressed fragment");
    expect_that!(flags(&golden[1].bytes), eq(0xe0), "the last compressed fragment");
}
