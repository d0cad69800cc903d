//! Outgoing connections to control nodes: one task for each node keeps a connection open, and reconnects when the connection ends.
//!
//! Used by the control role for its messages to other control nodes, and by the router role for its watch sessions. The role's state
//! machine decides to which nodes connections are kept ([`OutgoingConnections::connect_to`]) and what is sent; the role's host handles
//! the events of the connections ([`SessionHandler`]). If a connection to a node is no longer needed, the node's task is aborted, which
//! drops the connection and its send queue; the host is not notified in this case.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::frame;
use ivyhatch_protocol::ids::NodeId;
use speedy::{LittleEndian, Writable};
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

use crate::clock::Clock;
use crate::transport::reader::ConnectionError;
use crate::transport::socket;
use crate::transport::writer::{BulkPacer, Writer};

/// Pause before reconnecting after a connection has ended or could not be opened.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(100);

/// Handles the events of a role's outgoing connections. Each method is called by the task of the node concerned.
pub trait SessionHandler: 'static {
    /// Called when a connection has been opened, which took `connect_duration` nanoseconds. Messages sent from now on are queued on it.
    fn connected(self: &Rc<Self>, node: NodeId, connect_duration: Nanos);

    /// Reads the node's messages until the connection ends. The future is dropped if a write to the connection fails first.
    fn read(
        self: &Rc<Self>,
        node: NodeId,
        stream: &mut ReadHalf<'_>,
    ) -> impl Future<Output = Result<(), ConnectionError>>;

    /// Called when the connection has ended or could not be opened.
    fn disconnected(self: &Rc<Self>, node: NodeId);
}

/// The outgoing connections of one role, and the tasks that keep them open.
pub struct OutgoingConnections {
    clock: Clock,
    local: Ipv4Addr,
    port: u16,
    writers: RefCell<BTreeMap<NodeId, Writer>>,
    /// Required by [`Writer`]; unlimited, as no bulk messages are sent on these connections.
    pacer: Rc<BulkPacer>,
    tasks: RefCell<BTreeMap<NodeId, JoinHandle<()>>>,
}

impl OutgoingConnections {
    /// Creates an empty set of connections, which will be opened from this machine's address `local` to port `port` of the nodes.
    pub fn new(clock: Clock, local: Ipv4Addr, port: u16) -> Self {
        let pacer = Rc::new(BulkPacer::new(None));
        Self { clock, local, port, writers: RefCell::default(), pacer, tasks: RefCell::default() }
    }

    /// Queues a message on the connection to a node. The message is dropped if there is no connection.
    pub fn send<M: Writable<LittleEndian>>(&self, node: NodeId, message: &M) {
        self.send_to_all(&[node], message);
    }

    /// Encodes a message once and queues it on the connections to these nodes. Nodes without a connection don't get the message.
    pub fn send_to_all<M: Writable<LittleEndian>>(&self, nodes: &[NodeId], message: &M) {
        let mut writers = self.writers.borrow_mut();
        let mut frame = None;
        for node in nodes {
            let Some(writer) = writers.get(node) else { continue };
            let frame = frame.get_or_insert_with(|| Rc::new(frame::encode(message)));
            if !writer.send_frame(frame.clone()) {
                writers.remove(node);
            }
        }
    }

    /// Keeps connections to exactly these nodes: opens missing connections, and closes those to other nodes.
    pub fn connect_to<H: SessionHandler>(self: &Rc<Self>, nodes: &[NodeId], handler: &Rc<H>) {
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|node, task| {
            let is_wanted = nodes.contains(node);
            if !is_wanted {
                task.abort();
                self.writers.borrow_mut().remove(node);
            }
            is_wanted
        });
        for node in nodes {
            tasks
                .entry(*node)
                .or_insert_with(|| spawn_local(self.clone().keep_connected(*node, handler.clone())));
        }
    }

    async fn keep_connected<H: SessionHandler>(self: Rc<Self>, node: NodeId, handler: Rc<H>) {
        let address = SocketAddrV4::new(node.ip(), self.port);
        let mut failed_attempts = 0;
        loop {
            let started_at = self.clock.now();
            match socket::connect(self.local, address, failed_attempts).await {
                Ok(stream) => {
                    failed_attempts = 0;
                    self.run_session(node, &handler, stream, started_at).await;
                }
                Err(_) => failed_attempts += 1,
            }
            handler.disconnected(node);
            sleep(RECONNECT_INTERVAL).await;
        }
    }

    async fn run_session<H: SessionHandler>(
        &self,
        node: NodeId,
        handler: &Rc<H>,
        mut stream: TcpStream,
        started_at: Nanos,
    ) {
        let (writer, mut queue) = Writer::new(self.pacer.clone());
        self.writers.borrow_mut().insert(node, writer);
        handler.connected(node, self.clock.now() - started_at);
        let (mut reading, mut writing) = stream.split();
        let ended = tokio::select! {
            ended = handler.read(node, &mut reading) => ended,
            ended = queue.write_to(&mut writing) => ended.map_err(ConnectionError::from),
        };
        if let Err(error @ ConnectionError::Frame(_)) = ended {
            log::warn!("event=control_node_protocol_error from={node} error={:?}", error.to_string());
        }
        self.writers.borrow_mut().remove(&node);
    }
}
