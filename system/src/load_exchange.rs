//! The sockets by which routers share the load that they have put on model servers; see [`ivyhatch_protocol::load_exchange`].
//!
//! A router reports ten times a second to the nearest control node that it has a session with, and is answered at once. Each node reads
//! datagrams only from its own port, and ignores those that it can't read.

use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4};

use ivyhatch_control::load_exchange::{LoadExchange, LoadTopology};
use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::load_exchange::{LoadDatagram, ServerLoad};
use ivyhatch_protocol::settings::Settings;
use tokio::net::UdpSocket;

use crate::clock::Clock;
use crate::ticker;

/// Ports of the two roles, behind the first of the ports between nodes.
const CONTROL_PORT_OFFSET: u16 = 2;
const ROUTER_PORT_OFFSET: u16 = 3;
/// The longest datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// A bound socket, and the port at which control nodes have theirs.
pub struct LoadSocket {
    socket: UdpSocket,
    control_port: u16,
}

impl LoadSocket {
    /// The socket of a control node. None where the address can't be bound: the role goes on without.
    pub async fn bind_control(settings: &Settings) -> Option<Self> {
        Self::bind(settings, CONTROL_PORT_OFFSET).await
    }

    /// The socket of a router. None where the address can't be bound: the role goes on without.
    pub async fn bind_router(settings: &Settings) -> Option<Self> {
        Self::bind(settings, ROUTER_PORT_OFFSET).await
    }

    async fn bind(settings: &Settings, port_offset: u16) -> Option<Self> {
        let (first_port, last_port) = settings.peer_ports;
        let port = first_port.saturating_add(port_offset);
        let address = SocketAddrV4::new(settings.ip, port);
        if port > last_port {
            log::warn!("event=load_exchange_off remedy=give_inner_ports_at_least_four_ports");
            return None;
        }
        match UdpSocket::bind(address).await {
            Ok(socket) => Some(Self { socket, control_port: first_port + CONTROL_PORT_OFFSET }),
            Err(error) => {
                log::warn!(
                    "event=load_exchange_off address={address} error={:?} remedy=see_who_has_this_port",
                    error.to_string()
                );
                None
            }
        }
    }

    /// Sends a datagram if that is possible at once: the next one replaces it.
    fn send(&self, datagram: &[u8], to: SocketAddrV4) {
        let _ = self.socket.try_send_to(datagram, to.into());
    }

    fn control_address(&self, node: NodeId) -> SocketAddrV4 {
        SocketAddrV4::new(node.ip(), self.control_port)
    }

    /// The next datagram that can be read, with its sender.
    async fn receive(&self) -> (LoadDatagram, SocketAddrV4) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            // An error reports that an earlier datagram was not delivered.
            let Ok((length, SocketAddr::V4(from))) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            if let Some(datagram) = LoadDatagram::decode(&buffer[..length]) {
                return (datagram, from);
            }
        }
    }
}

/// Runs a router's part; never returns. `nearest_control_node` is who is reported to, `local_loads` what; `on_summary` takes what the
/// other routers have.
pub async fn run_router(
    socket: LoadSocket,
    nearest_control_node: impl Fn() -> Option<NodeId>,
    local_loads: impl Fn() -> Vec<ServerLoad>,
    on_summary: impl Fn(Vec<ServerLoad>),
) {
    let report = ticker::run_ticks(|| {
        if let Some(node) = nearest_control_node() {
            socket.send(&LoadDatagram::Report(local_loads()).encode(), socket.control_address(node));
        }
    });
    let receive = async {
        let mut remote_loads = Vec::new();
        loop {
            match socket.receive().await {
                (LoadDatagram::Summary(mut loads), _) => {
                    loads.extend_from_slice(&remote_loads);
                    on_summary(loads);
                }
                (LoadDatagram::RemoteSummary(loads), _) => remote_loads = loads,
                _ => {}
            }
        }
    };
    tokio::join!(report, receive);
}

/// Runs a control node's part; never returns.
pub async fn run_control(socket: LoadSocket, clock: Clock, topology: impl LoadTopology) {
    let exchange = RefCell::new(LoadExchange::new(topology));
    let send = ticker::run_ticks(|| {
        for (node, datagram) in exchange.borrow_mut().exchanges(clock.now()) {
            socket.send(&datagram.encode(), socket.control_address(node));
        }
    });
    let receive = async {
        loop {
            let (datagram, from) = socket.receive().await;
            let answers = exchange.borrow_mut().receive(clock.now(), NodeId::from(*from.ip()), datagram);
            for answer in answers {
                socket.send(&answer.encode(), from);
            }
        }
    };
    tokio::join!(send, receive);
}

#[cfg(test)]
#[path = "load_exchange_tests.rs"]
mod tests;
