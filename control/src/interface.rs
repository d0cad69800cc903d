//! What goes into the control plane of a node and what comes out of it.

use std::collections::BTreeSet;

use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::peer::{AdminRequest, AdminResponse, PeerMessage};
use ivyhatch_protocol::watch::{Server, WatchRequest, WatchResponse};

use crate::Record;
use crate::server_list::ReadId;

/// An operator's request, as the embedder numbers them.
pub type RequestId = u64;
/// A session of a follower, as the embedder numbers them.
pub type SessionId = u64;
/// A write, numbered in the order in which writes have to reach the disk.
pub type Token = u64;

/// Who a control node is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its machine.
    pub node: NodeId,
    /// The zone of its machine.
    pub zone: String,
    /// Drawn by chance at each start of the process.
    pub incarnation: u64,
    /// Whether it has a disk: it can be a voter only with one.
    pub has_disk: bool,
    /// The very first start of the whole system.
    pub first_start: bool,
    /// Control nodes that the settings name.
    pub seeds: Vec<NodeId>,
    /// The zones that there are.
    pub zones: BTreeSet<String>,
    /// Pause between two readings of the platform's list.
    pub list_every: Nanos,
    /// Once told to end, the process waits no longer than this for its successor.
    pub grace: Nanos,
}

/// What a control node hears.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed. Comes every 100 ms or so.
    Tick,
    /// The link to another control node is open.
    Connected(NodeId),
    /// Another control node has sent a message.
    Peer(NodeId, PeerMessage),
    /// A write, and all before it, is on the disk.
    Stored(Token),
    /// An operator's request.
    Admin(RequestId, AdminRequest),
    /// The operator has given a request up: it is not begun any more.
    AdminCancelled(RequestId),
    /// A follower has sent a message on its session.
    Follower(SessionId, WatchRequest),
    /// A session has ended.
    Closed(SessionId),
    /// The platform has handed out the whole list of servers.
    ServerList(ReadId, Vec<Server>),
    /// The platform could not be asked.
    ServerListFailed(ReadId),
    /// The settings name these seeds now.
    Seeds(Vec<NodeId>),
    /// The process has been told to end.
    Leave,
}

/// What a control node wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to another control node.
    Send(NodeId, PeerMessage),
    /// Keep links open to these, and to no others.
    Links(Vec<NodeId>),
    /// Store these records, behind all earlier ones.
    Store(Token, Vec<Record>),
    /// Answer the operator.
    Respond(RequestId, AdminResponse),
    /// Send a message to a follower.
    Follower(SessionId, WatchResponse),
    /// Close a session.
    Close(SessionId),
    /// Ask the platform for the whole list of servers. Whatever reading is still under way is given up.
    ReadServerList(ReadId),
    /// Nobody needs this process any longer: it may end now.
    Left,
    /// A line for the log: the event's name, and its key=value pairs.
    Log(&'static str, String),
}
