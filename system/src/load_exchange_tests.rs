//! Tests of the load exchange on loopback sockets: a control node answers each router with the loads of the other routers.

use std::net::Ipv4Addr;
use std::time::Duration;

use googletest::prelude::*;
use ivyhatch_control::load_exchange::{LoadTopology, PeerLocation, RegionIndex};
use ivyhatch_protocol::load_exchange::{LoadDatagram, ServerLoad};
use ivyhatch_protocol::settings::Settings;
use tokio::net::UdpSocket;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

use super::{LoadSocket, run_control};
use crate::clock::Clock;

const CONTROL: Ipv4Addr = Ipv4Addr::new(127, 44, 0, 1);
const FIRST_PORT: u16 = 46_720;

fn settings(last_port: u16) -> Settings {
    let text = format!(
        r#"{{"node_name":"n","ip":"{CONTROL}","zone":"z","region":"r","zones":{{"z":"r"}},"listen":{{}},
            "inner_ports":[{FIRST_PORT},{last_port}],"cloud_api":{{"address":"127.0.0.1:1"}}}}"#
    );
    Settings::from_text(&text, "node.json").expect("settings")
}

/// A topology with one region, no peers and no known servers.
struct OneRegion;

impl LoadTopology for OneRegion {
    fn own_region(&self) -> RegionIndex {
        RegionIndex(0)
    }

    fn peers(&self) -> Vec<PeerLocation> {
        Vec::new()
    }

    fn server_region(&self, _server: u32) -> Option<RegionIndex> {
        None
    }
}

/// Binds a router's socket at an address of its own, with `last` as the last byte.
async fn router(last: u8) -> UdpSocket {
    UdpSocket::bind((Ipv4Addr::new(127, 44, 1, last), 0)).await.expect("a socket")
}

/// Sends a report with these loads, and returns the control node's first answer.
async fn report(router: &UdpSocket, loads: Vec<ServerLoad>) -> Option<LoadDatagram> {
    let datagram = LoadDatagram::Report(loads).encode();
    router.send_to(&datagram, (CONTROL, FIRST_PORT + 2)).await.expect("send a report");
    receive(router).await
}

/// Receives the next datagram to a router.
async fn receive(router: &UdpSocket) -> Option<LoadDatagram> {
    let mut buffer = [0; 2048];
    let length = timeout(Duration::from_secs(10), router.recv(&mut buffer)).await.expect("an answer").ok()?;
    LoadDatagram::decode(&buffer[..length])
}

#[gtest]
#[tokio::test]
async fn router_is_answered_with_the_loads_of_the_other_routers() {
    let exchange = async {
        let socket = LoadSocket::bind_control(&settings(FIRST_PORT + 3)).await.expect("a socket");
        spawn_local(run_control(socket, Clock::start(), OneRegion));
        let (one, other) = (router(1).await, router(2).await);
        let load = ServerLoad::new(7, 6400, 2);
        expect_that!(report(&one, vec![load]).await, some(eq(&LoadDatagram::RemoteSummary(vec![]))));
        expect_that!(receive(&one).await, some(eq(&LoadDatagram::Summary(vec![]))));
        expect_that!(report(&other, vec![]).await, some(eq(&LoadDatagram::RemoteSummary(vec![]))));
        expect_that!(receive(&other).await, some(eq(&LoadDatagram::Summary(vec![load]))));
        one.send_to(b"no datagram of this format", (CONTROL, FIRST_PORT + 2)).await.expect("send");
        expect_that!(report(&one, vec![]).await, some(eq(&LoadDatagram::Summary(vec![]))));
    };
    LocalSet::new().run_until(exchange).await;
}

#[gtest]
#[tokio::test]
async fn role_runs_without_the_load_exchange_if_the_peer_ports_lack_its_port() {
    expect_that!(LoadSocket::bind_control(&settings(FIRST_PORT + 1)).await.is_none(), eq(true));
    expect_that!(LoadSocket::bind_router(&settings(FIRST_PORT + 2)).await.is_none(), eq(true));
}
