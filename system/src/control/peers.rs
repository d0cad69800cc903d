//! Messages between control nodes. Each pair of nodes has two connections, one for each direction: a node sends on the connection that
//! it has opened, and receives on the one that it has accepted. The sender is identified by its IP address.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use ivyhatch_control::Input;
use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::peer::PeerMessage;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::ReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use super::host::Host;
use crate::outgoing::SessionHandler;
use crate::transport::reader::{ConnectionError, read_messages};
use crate::transport::socket::accept_each;

/// A connection is closed if nothing is received on it for this long, as messages that arrive after such a pause may be stale.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_millis(1300);

impl SessionHandler for Host {
    fn connected(self: &Rc<Self>, node: NodeId, _connect_duration: Nanos) {
        self.handle_input(Input::Connected(node));
    }

    /// The peer sends nothing on this connection. A read that returns, whether with bytes, end of file or an error, ends the connection.
    async fn read(self: &Rc<Self>, _node: NodeId, stream: &mut ReadHalf<'_>) -> Result<(), ConnectionError> {
        let mut ignored = [0; 64];
        stream.read(&mut ignored).await.map(drop).map_err(ConnectionError::from)
    }

    fn disconnected(self: &Rc<Self>, _node: NodeId) {}
}

/// Accepts connections of other control nodes; never returns.
pub async fn serve_peers(host: Rc<Host>, listener: TcpListener) {
    accept_each(listener, |stream, remote| {
        if let IpAddr::V4(address) = remote.ip() {
            spawn_local(receive(host.clone(), stream, NodeId::from(address)));
        }
    })
    .await;
}

/// Receives the messages of a node until its connection ends, and feeds them to the state machine.
async fn receive(host: Rc<Host>, mut stream: TcpStream, node: NodeId) {
    let handle = |message: PeerMessage| host.handle_input(Input::Peer(node, message));
    if let Err(error @ ConnectionError::Frame(_)) =
        read_messages(&mut stream, PEER_IDLE_TIMEOUT, handle).await
    {
        log::warn!("event=peer_protocol_error from={node} error={:?}", error.to_string());
    }
}
