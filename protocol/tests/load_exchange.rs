//! Datagrams of the load exchange: round trips, stable bytes, and rejection of other bytes.

use googletest::prelude::*;
use ivyhatch_protocol::load_exchange::{LoadDatagram, MAX_SERVERS, ServerLoad, server_key};

/// The maximum payload of a UDP datagram that is not fragmented on Ethernet.
const MAX_PAYLOAD_BYTES: usize = 1472;

fn loads(count: u32) -> Vec<ServerLoad> {
    (0..count).map(|server| ServerLoad::new(server, u64::from(server) * 64, 1)).collect()
}

#[gtest]
fn datagrams_are_decoded_as_they_were_encoded() {
    for datagram in [
        LoadDatagram::Report(loads(3)),
        LoadDatagram::Summary(Vec::new()),
        LoadDatagram::Exchange(loads(60)),
        LoadDatagram::RemoteSummary(loads(2)),
        LoadDatagram::RemoteExchange(loads(5)),
    ] {
        expect_that!(LoadDatagram::decode(&datagram.clone().encode()), some(eq(&datagram)));
    }
}

#[gtest]
fn bytes_of_a_datagram_stay_as_they_are() {
    let datagram =
        LoadDatagram::Report(vec![ServerLoad { server: 0x0102_0304, queued_units: 5, in_flight: 6 }]);
    let expected = [1, 0, 0, 0, 0, 1, 0, 0, 0, 4, 3, 2, 1, 5, 0, 6, 0];
    expect_that!(datagram.encode(), eq(expected.as_slice()));
    expect_that!(
        server_key(ivyhatch_protocol::hash::fnv1a_hash(b"i-7f3a91c2")),
        eq((ivyhatch_protocol::hash::fnv1a_hash(b"i-7f3a91c2") >> 32) as u32)
    );
}

#[gtest]
fn bytes_of_another_format_and_truncated_ones_are_ignored() {
    let bytes = LoadDatagram::Report(loads(3)).encode();
    expect_that!(LoadDatagram::decode(&[]), none());
    expect_that!(LoadDatagram::decode(&[&[2], &bytes[1..]].concat()), none());
    for length in 0..bytes.len() {
        expect_that!(LoadDatagram::decode(&bytes[..length]), none(), "cut at {length}");
    }
}

#[gtest]
fn servers_with_most_queued_remain_in_a_datagram_that_would_be_too_long() {
    let bytes = LoadDatagram::Summary(loads(1000)).encode();
    expect_that!(bytes.len(), le(MAX_PAYLOAD_BYTES));
    let Some(LoadDatagram::Summary(kept)) = LoadDatagram::decode(&bytes) else { panic!("a summary") };
    expect_that!(kept, len(eq(MAX_SERVERS)));
    expect_that!(kept.iter().all(|load| load.server >= 1000 - MAX_SERVERS as u32), eq(true));
}

#[gtest]
fn load_is_rounded_up_to_units_and_bounded() {
    expect_that!(ServerLoad::new(1, 1, 0).queued_tokens(), eq(64));
    expect_that!(ServerLoad::new(1, 0, 0).queued_tokens(), eq(0));
    let most = ServerLoad::new(1, u64::MAX, u32::MAX);
    expect_that!((most.queued_units, most.in_flight), eq((u16::MAX, u16::MAX)));
}
