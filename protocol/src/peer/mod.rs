//! Messages between control nodes.
//!
//! Every control node has a connection to every other one. Messages may be lost, delayed and reordered. A receiver
//! discards messages that are older than its own state: by ballot and sequence within a partition, by generation
//! across memberships, by incarnation and sequence for heartbeats, by [`crate::watch::ServerListPosition`] for the
//! server list.
//!
//! - [`PeerMessage`]: all messages
//! - `membership`: the voters
//! - `consensus`: Paxos messages of one partition
//! - `admin`: forwarded requests of operators
//! - `heartbeat`: failure detection and anti-entropy
//! - `routers`: reports of routers

mod admin;
mod consensus;
mod heartbeat;
mod membership;
mod routers;

use speedy::{Readable, Writable};

pub use self::admin::{AdminRequest, AdminResponse};
pub use self::consensus::{AcceptedValue, ConsensusMessage, LegacyAcceptorState, TransferredState};
pub use self::heartbeat::Heartbeat;
pub use self::membership::{Membership, ReplicaStatus, Voter, majority};
pub use self::routers::{RouterChanges, routers_digest};
use crate::coordination::{Call, CallOutcome};
use crate::ids::PartitionId;
use crate::watch::{Router, ServerListChange, ServerListPosition, ServerListUpdate};

/// A message from one control node to another.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum PeerMessage {
    /// Sent periodically to all control nodes.
    Heartbeat(Heartbeat),
    /// A membership that was chosen. Sent to all nodes when it is chosen, and to a node whose heartbeat shows
    /// an older generation. The receiver adopts the membership if its generation is higher than that of the
    /// receiver's membership.
    Membership(Membership),
    /// From a voter whose state transfer is not complete, to the voters of the previous generation whose release
    /// does not support registers.
    StateTransferRequest {
        /// The incarnation of the requesting process. It is returned in the answer, so that an answer to an
        /// earlier process, whose merged state may be lost, is ignored.
        incarnation: u64,
        /// The generation that the requester joins.
        generation: u64,
    },
    /// The sender's whole acceptor state, in answer to [`PeerMessage::StateTransferRequest`]. The state is durable
    /// at the sender, which no longer accepts or promises anything under an older generation. The requester votes
    /// after it has merged the states of a quorum of the previous generation.
    StateTransfer {
        /// The incarnation in the request.
        incarnation: u64,
        /// The sender's generation.
        generation: u64,
        /// The id of the sender's disk: the answer counts for the replica, not for the node.
        disk: u64,
        /// The sender's acceptor state of each partition.
        partitions: Vec<(PartitionId, LegacyAcceptorState)>,
    },
    /// A message of the consensus instance of one partition.
    Consensus {
        /// The sender's generation. `Commit`, `Fetch` and `Committed` are valid under any generation. A receiver
        /// of another generation discards all other messages, and sends its membership if the sender's generation
        /// is lower than its own.
        generation: u64,
        /// The partition.
        partition: PartitionId,
        /// The message.
        message: ConsensusMessage,
    },
    /// An operator's request, from the node that received it to the leader of its partition. The sender retries
    /// until the request is answered or times out; the leader applies it once.
    ForwardRequest {
        /// Random id of the request, unique among the requests of all processes. Returned in the response.
        request_id: u64,
        /// The sequence of the last heartbeat that the sender has received from the leader. The leader
        /// discards a request with too old a heartbeat, because its sender may have timed out long ago.
        last_heartbeat: u64,
        /// The request.
        request: AdminRequest,
    },
    /// The leader's response to a forwarded request.
    ForwardResponse {
        /// The id of the request.
        request_id: u64,
        /// The response.
        response: AdminResponse,
    },
    /// All routers that have a watch session with the sender. Replaces the sender's earlier reports.
    RouterSessions(Vec<Router>),
    /// A change of the server list, or the whole list. Sent by the node that reads the list from the
    /// platform, and in answer to [`PeerMessage::ServerListRequest`].
    ServerList(ServerListUpdate),
    /// Requests the whole server list. Sent to a node whose heartbeat shows a newer position, and after an
    /// update that does not apply to the sender's position.
    ServerListRequest,
    /// [`PeerMessage::StateTransferRequest`] to a node that supports registers.
    RegisterTransferRequest {
        /// The incarnation of the requesting process; see [`PeerMessage::StateTransferRequest`].
        incarnation: u64,
        /// The generation that the requester joins.
        generation: u64,
        /// The number of the last change that the requester knows to be committed, of each partition in the
        /// order of [`PartitionId::all`].
        committed: Vec<u64>,
    },
    /// [`PeerMessage::StateTransfer`], in answer to [`PeerMessage::RegisterTransferRequest`].
    RegisterTransfer {
        /// The incarnation in the request.
        incarnation: u64,
        /// The sender's generation.
        generation: u64,
        /// The id of the sender's disk: the answer counts for the replica, not for the node.
        disk: u64,
        /// The sender's acceptor state of each partition.
        partitions: Vec<(PartitionId, TransferredState)>,
    },
    /// [`PeerMessage::ServerList`] to a node that supports registers.
    ServerListChange(ServerListChange),
    /// Requests the changes of the server list since a position; see [`PeerMessage::ServerListRequest`].
    ServerListFetch(ServerListPosition),
    /// The changes of the routers that have a watch session with the sender, since its last report to all nodes that
    /// support registers.
    RouterChanges(RouterChanges),
    /// Requests [`PeerMessage::RouterSessions`], because the digest of [`PeerMessage::RouterChanges`] shows that a
    /// change was missed.
    RouterSessionsRequest,
    /// An application's call, from the node that received it to the leader of its partition. This message and
    /// [`PeerMessage::ForwardCallOutcome`] are sent only to nodes that support coordination. The sender retries until
    /// the call is answered or times out.
    ForwardCall {
        /// Random id of the call, unique among the requests of all processes. Returned with the outcome.
        request_id: u64,
        /// The sequence of the last heartbeat from the leader; see [`PeerMessage::ForwardRequest`].
        last_heartbeat: u64,
        /// The call.
        call: Call,
    },
    /// The leader's outcome of a forwarded call.
    ForwardCallOutcome {
        /// The id of the call.
        request_id: u64,
        /// The outcome.
        outcome: CallOutcome,
    },
}
