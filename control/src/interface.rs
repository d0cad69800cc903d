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

/// Identifies an operator's request or an application's call. Assigned by the embedder, which uses no number twice in a process.
pub type RequestId = u64;
/// Identifies a watch session, that is, one connection of a router. Assigned by the embedder, which uses no number twice in a process.
pub type SessionId = u64;
/// Identifies a write to the disk. Numbers increase in the order in which writes have to become durable.
pub type WriteToken = u64;

/// The configuration of a control node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The node's ID: the address of its machine.
    pub node: NodeId,
    /// The zone of its machine.
    pub zone: String,
    /// A random number that no earlier process of the same node had.
    pub incarnation: u64,
    /// Whether the node has a disk. A node without one can't be a voter.
    pub has_disk: bool,
    /// Whether this is the very first start of the whole system.
    pub first_start: bool,
    /// The control nodes in the settings, which are contacted first.
    pub seeds: Vec<NodeId>,
    /// All zones of the deployment.
    pub zones: BTreeSet<String>,
    /// Interval between two reads of the platform's list of servers.
    pub server_list_interval: Nanos,
    /// The longest time for which a draining node waits for a successor.
    pub drain_timeout: Nanos,
    /// Whether the node holds the partitions of applications' locks, numbers and cells.
    pub has_coordination: bool,
    /// How long puts of cells stay in the history for watches: within this time after a watch was answered with a revision, the watch can
    /// be resumed from that revision.
    pub cell_history: Nanos,
}

/// An event that a control node handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed. Expected about every 100 ms, as all retries and timeouts depend on ticks.
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
    /// The complete list of servers, read from the platform for this [`Output::ReadServerList`].
    ServerList(ReadId, Vec<Server>),
    /// The platform's list of servers could not be read for this [`Output::ReadServerList`].
    ServerListFailed(ReadId),
    /// The seeds in the settings have changed to these.
    Seeds(Vec<NodeId>),
    /// Graceful shutdown begins; [`Output::Drained`] ends it.
    Drain,
}

/// An action that a control node requests. The embedder carries outputs out in order.
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
    /// Respond to an application's call with its outcome.
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
