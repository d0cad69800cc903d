//! The inputs and outputs of a control node, and how it is configured.

use std::collections::BTreeSet;

use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::coordination::{Call, CallOutcome};
use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::peer::{AdminRequest, AdminResponse, PeerMessage};
use ivyhatch_protocol::watch::{Server, WatchRequest, WatchResponse};

use crate::log_event::LogEvent;
use crate::server_list::reader::ReadId;
use crate::storage::record::Record;

/// An operator's request, or an application's call. The embedder numbers them, and uses no number twice in a process.
pub type RequestId = u64;
/// A watch session, that is, one connection of a router. The embedder numbers them, and uses no number twice in a process.
pub type SessionId = u64;
/// A write to the disk, numbered in the order in which writes have to become durable.
pub type WriteToken = u64;

/// The configuration of a control node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The node: the address of its machine.
    pub node: NodeId,
    /// The zone of its machine.
    pub zone: String,
    /// A random number that no earlier process of the same node had.
    pub incarnation: u64,
    /// Whether the node has a disk. It can be a voter only with one.
    pub has_disk: bool,
    /// Whether this is the very first start of the whole system.
    pub first_start: bool,
    /// Control nodes that the settings name: the first that are contacted.
    pub seeds: Vec<NodeId>,
    /// All zones of the deployment.
    pub zones: BTreeSet<String>,
    /// Interval between two reads of the platform's list of servers.
    pub server_list_interval: Nanos,
    /// A draining node waits no longer than this for a successor.
    pub drain_timeout: Nanos,
    /// Whether the node has the partitions of applications' locks, numbers and cells.
    pub has_coordination: bool,
    /// For how long a watch may go on from a revision of cells that it was given.
    pub cell_history: Nanos,
}

/// What happens to a control node.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed. Expected about every 100 ms.
    Tick,
    /// A connection to another control node is open.
    Connected(NodeId),
    /// A message from another control node.
    Peer(NodeId, PeerMessage),
    /// The write with this token, and all before it, are durable.
    Stored(WriteToken),
    /// A request from an operator.
    Admin(RequestId, AdminRequest),
    /// The operator no longer waits for the response: the request is dropped unless it has been proposed already.
    AdminCancelled(RequestId),
    /// A call from an application.
    Call(RequestId, Call),
    /// The application no longer waits for the outcome: the call is dropped unless it has been proposed already.
    CallCancelled(RequestId),
    /// A message on a watch session; the first one opens the session.
    Watch(SessionId, WatchRequest),
    /// A watch session has ended.
    SessionClosed(SessionId),
    /// The platform's list of servers, complete.
    ServerList(ReadId, Vec<Server>),
    /// The platform's list could not be read.
    ServerListFailed(ReadId),
    /// The settings name other seeds now.
    Seeds(Vec<NodeId>),
    /// Graceful shutdown begins; [`Output::Drained`] ends it.
    Drain,
}

/// What a control node wants done. The embedder carries outputs out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to another control node. Messages may be lost; those on one connection must stay in order.
    Send(NodeId, PeerMessage),
    /// Send a message to several other control nodes, encoded once; see [`Output::Send`].
    SendToAll(Vec<NodeId>, PeerMessage),
    /// Keep connections open to these control nodes, and to no others.
    ConnectTo(Vec<NodeId>),
    /// Append these records to the disk, after all earlier ones, and report [`Input::Stored`] once they are durable.
    Store(WriteToken, Vec<Record>),
    /// Respond to an operator.
    Respond(RequestId, AdminResponse),
    /// Respond to an application's call with what became of it.
    EndCall(RequestId, CallOutcome),
    /// Send a message on a watch session.
    Watch(SessionId, WatchResponse),
    /// Close a watch session.
    CloseSession(SessionId),
    /// Read the platform's list of servers, and report [`Input::ServerList`] or [`Input::ServerListFailed`]. A read in flight is
    /// cancelled.
    ReadServerList(ReadId),
    /// The state of this replica is no longer needed: the process may exit.
    Drained,
    /// Write a line to the log.
    Log(LogEvent),
}
