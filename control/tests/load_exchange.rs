//! The loads that a control node sends to routers and to other control nodes.

use googletest::prelude::*;
use ivyhatch_control::load_exchange::{LoadExchange, LoadTopology, PeerLocation, RegionIndex};
use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::load_exchange::{LoadDatagram, ServerLoad};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

const START: Nanos = 10 * SECOND;
const OWN_REGION: RegionIndex = RegionIndex(0);
const OTHER_REGION: RegionIndex = RegionIndex(1);
/// A control node of the own region, one of another region, and one whose region is not known yet.
const OWN_REGION_PEER: NodeId = NodeId(2);
const OTHER_REGION_PEER: NodeId = NodeId(3);
const UNKNOWN_REGION_PEER: NodeId = NodeId(4);
const ROUTER: NodeId = NodeId(50);
const OTHER_ROUTER: NodeId = NodeId(51);
/// Servers up to this one are in the own region, the others in the other region.
const LAST_OWN_REGION_SERVER: u32 = 9;

struct Topology;

impl LoadTopology for Topology {
    fn own_region(&self) -> RegionIndex {
        OWN_REGION
    }

    fn peers(&self) -> Vec<PeerLocation> {
        let location = |(node, region)| PeerLocation { node, region };
        [
            (OWN_REGION_PEER, Some(OWN_REGION)),
            (OTHER_REGION_PEER, Some(OTHER_REGION)),
            (UNKNOWN_REGION_PEER, None),
        ]
        .map(location)
        .to_vec()
    }

    fn server_region(&self, server: u32) -> Option<RegionIndex> {
        Some(if server <= LAST_OWN_REGION_SERVER { OWN_REGION } else { OTHER_REGION })
    }
}

fn load(server: u32) -> ServerLoad {
    ServerLoad::new(server, 640, 1)
}

fn sent_to(exchange: &mut LoadExchange<Topology>, now: Nanos, node: NodeId) -> Vec<LoadDatagram> {
    let datagrams = exchange.exchanges(now).into_iter();
    datagrams.filter(|(to, _)| *to == node).map(|(_, datagram)| datagram).collect()
}

#[gtest]
fn peers_of_the_own_region_get_all_loads_and_other_peers_those_of_their_servers() {
    let mut exchange = LoadExchange::new(Topology);
    exchange.receive(START, ROUTER, LoadDatagram::Report(vec![load(1), load(20)]));
    let all = LoadDatagram::Exchange(vec![load(1), load(20)]);
    for node in [OWN_REGION_PEER, UNKNOWN_REGION_PEER] {
        let sent = sent_to(&mut exchange, START, node);
        let [LoadDatagram::Exchange(loads)] = &sent[..] else {
            panic!("expected one exchange, got {sent:?}")
        };
        expect_that!(loads, unordered_elements_are![eq(&load(1)), eq(&load(20))], "{all:?}");
    }
    let later = START + SECOND;
    exchange.receive(later, ROUTER, LoadDatagram::Report(vec![load(1), load(20)]));
    let expected = [LoadDatagram::Exchange(vec![load(20)]), LoadDatagram::RemoteExchange(vec![load(1)])];
    expect_that!(sent_to(&mut exchange, later, OTHER_REGION_PEER), eq(&expected.to_vec()));
    // The load at the peer's servers is sent each time; the load at servers of the own region only once a second.
    let sent = sent_to(&mut exchange, later + 100 * MILLISECOND, OTHER_REGION_PEER);
    expect_that!(sent, elements_are![eq(&LoadDatagram::Exchange(vec![load(20)]))]);
}

#[gtest]
fn peer_of_another_region_gets_one_empty_exchange_after_its_servers_had_load() {
    let mut exchange = LoadExchange::new(Topology);
    exchange.exchanges(START - 200 * MILLISECOND);
    exchange.receive(START, ROUTER, LoadDatagram::Report(vec![load(20)]));
    expect_that!(sent_to(&mut exchange, START, OTHER_REGION_PEER), len(eq(1)));
    exchange.receive(START, ROUTER, LoadDatagram::Report(Vec::new()));
    let sent = sent_to(&mut exchange, START + 100 * MILLISECOND, OTHER_REGION_PEER);
    expect_that!(sent, elements_are![eq(&LoadDatagram::Exchange(Vec::new()))]);
    expect_that!(sent_to(&mut exchange, START + 200 * MILLISECOND, OTHER_REGION_PEER), is_empty());
}

#[gtest]
fn router_is_answered_with_local_servers_at_once_and_with_remote_ones_each_second() {
    let mut exchange = LoadExchange::new(Topology);
    exchange.receive(START, OTHER_ROUTER, LoadDatagram::Report(vec![load(1), load(20)]));
    exchange.receive(START, OTHER_REGION_PEER, LoadDatagram::RemoteExchange(vec![load(21)]));
    let report = || LoadDatagram::Report(Vec::new());
    let answers = exchange.receive(START, ROUTER, report());
    let [LoadDatagram::RemoteSummary(remote), LoadDatagram::Summary(local)] = &answers[..] else {
        panic!("expected a remote summary and a summary, got {answers:?}");
    };
    expect_that!(local, elements_are![eq(&load(1))]);
    expect_that!(remote, unordered_elements_are![eq(&load(20)), eq(&load(21))]);
    let answers = exchange.receive(START + 100 * MILLISECOND, ROUTER, report());
    expect_that!(answers, elements_are![eq(&LoadDatagram::Summary(vec![load(1)]))]);
    let answers = exchange.receive(START + SECOND, ROUTER, report());
    expect_that!(answers.first(), some(eq(&LoadDatagram::RemoteSummary(vec![load(21)]))));
}

#[gtest]
fn report_of_a_remote_region_counts_for_two_and_a_half_seconds() {
    let mut exchange = LoadExchange::new(Topology);
    exchange.receive(START, OTHER_REGION_PEER, LoadDatagram::RemoteExchange(vec![load(21)]));
    let report = || LoadDatagram::Report(Vec::new());
    let answers = exchange.receive(START + 2400 * MILLISECOND, ROUTER, report());
    expect_that!(answers.first(), some(eq(&LoadDatagram::RemoteSummary(vec![load(21)]))));
    let answers = exchange.receive(START + 3500 * MILLISECOND, ROUTER, report());
    expect_that!(answers.first(), some(eq(&LoadDatagram::RemoteSummary(Vec::new()))));
}
