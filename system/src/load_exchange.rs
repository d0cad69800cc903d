//! The UDP sockets by which routers share the load that they have placed on model servers; see [`ivyhatch_protocol::load_exchange`].
//!
//! A router sends a report ten times a second to the nearest control node with an open session; the control node answers immediately.
//! Each process receives datagrams only on its own port, and ignores datagrams that it can't decode.

use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4};

use ivyhatch_control::load_exchange::{LoadExchange, LoadTopology};
use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::load_exchange::{LoadDatagram, ServerLoad};
use ivyhatch_protocol::settings::Settings;
use tokio::net::UdpSocket;

use crate::clock::Clock;
use crate::ticker;

/// The port of control nodes is the first of the peer ports plus this offset.
const CONTROL_PORT_OFFSET: u16 = 2;
/// The port of routers is the first of the peer ports plus this offset.
const ROUTER_PORT_OFFSET: u16 = 3;
/// The longest datagram that is received; longer ones are truncated.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// A bound socket, and the port on which control nodes receive.
pub struct LoadSocket {
    socket: UdpSocket,
    control_port: u16,
}

impl LoadSocket {
    /// Binds the socket of a control node. If the address can't be bound, logs a warning and returns `None`: the role runs without the
    /// load exchange.
    pub async fn bind_control(settings: &Settings) -> Option<Self> {
        Self::bind(settings, CONTROL_PORT_OFFSET).await
    }

    /// Binds the socket of a router. If the address can't be bound, logs a warning and returns `None`: the role runs without the load
    /// exchange.
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

    /// Sends a datagram if this is possible without waiting. A datagram that is not sent is lost; the next one replaces
    /// its content.
    fn send(&self, datagram: &[u8], to: SocketAddrV4) {
        let _ = self.socket.try_send_to(datagram, to.into());
    }

    fn control_address(&self, node: NodeId) -> SocketAddrV4 {
        SocketAddrV4::new(node.ip(), self.control_port)
    }

    /// Waits for the next datagram that can be decoded, and returns it with its sender.
    async fn receive(&self) -> (LoadDatagram, SocketAddrV4) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            // An error only reports that a datagram sent earlier was not delivered.
            let Ok((length, SocketAddr::V4(from))) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            if let Some(datagram) = LoadDatagram::decode(&buffer[..length]) {
                return (datagram, from);
            }
        }
    }
}

/// Runs the router's side of the load exchange; never returns. Each report has the loads that `local_loads` returns, and is sent to the
/// node that `nearest_control_node` returns. Each summary of the loads in the control node's region is passed to `on_summary`, together
/// with the last received loads in other regions; both are the loads of all other routers.
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

/// Runs the control node's side of the load exchange; never returns.
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
