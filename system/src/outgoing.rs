//! Outgoing connections to control nodes: one task for each node keeps a connection open, and reconnects when it ends.
//!
//! Both roles use it: the control role for its messages to other control nodes, the router for its watch sessions. The role's state
//! machine decides to which nodes connections are kept ([`OutgoingConnections::connect_to`]) and what is sent; its host handles what
//! happens on them ([`SessionHandler`]). A node that is no longer wanted has its task aborted, which drops its connection and its
//! send queue; its host is not notified then.

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

/// Pause before a connection that has ended, or could not be opened, is opened again.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(100);

/// What a role does when connections open, deliver bytes, and end. Each method is called by the node's own task.
pub trait SessionHandler: 'static {
    /// A connection is open, after `connect_duration`. What is sent from now on is queued on it.
    fn connected(self: &Rc<Self>, node: NodeId, connect_duration: Nanos);

    /// Reads what the node sends, until the connection ends. Cancelled when writing fails first.
    fn read(
        self: &Rc<Self>,
        node: NodeId,
        stream: &mut ReadHalf<'_>,
    ) -> impl Future<Output = Result<(), ConnectionError>>;

    /// The connection has ended, or could not be opened.
    fn disconnected(self: &Rc<Self>, node: NodeId);
}

/// The connections of one role, and the tasks that keep them.
pub struct OutgoingConnections {
    clock: Clock,
    local: Ipv4Addr,
    port: u16,
    writers: RefCell<BTreeMap<NodeId, Writer>>,
    /// Nothing is sent as bulk here.
    pacer: Rc<BulkPacer>,
    tasks: RefCell<BTreeMap<NodeId, JoinHandle<()>>>,
}

impl OutgoingConnections {
    /// None yet. They will go from this machine's own address to this port of the nodes.
    pub fn new(clock: Clock, local: Ipv4Addr, port: u16) -> Self {
        let pacer = Rc::new(BulkPacer::new(None));
        Self { clock, local, port, writers: RefCell::default(), pacer, tasks: RefCell::default() }
    }

    /// Queues a message on the connection to a node; drops it where there is none.
    pub fn send<M: Writable<LittleEndian>>(&self, node: NodeId, message: &M) {
        self.send_to_all(&[node], message);
    }

    /// Queues a message, encoded once, on the connections to these nodes; drops it where there is none.
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

    /// Keeps connections to these nodes and to no others.
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
