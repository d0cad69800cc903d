//! The effects that a partition's replica asks its caller to carry out.

use ivyhatch_protocol::ids::{Ballot, NodeId};
use ivyhatch_protocol::peer::ConsensusMessage;
use ivyhatch_protocol::registers::{StateUpdate, Version};

/// How a commit became known, for the record on disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitRecord {
    /// This version, which the disk already holds as accepted, is committed.
    Accepted(Version),
    /// Another replica has sent these committed contents.
    Learned(StateUpdate),
}

/// What a partition's replica asks its caller to do. The caller carries effects out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a message to a node, possibly to this one.
    Send(NodeId, ConsensusMessage),
    /// Send a message to several other nodes.
    Broadcast(Vec<NodeId>, ConsensusMessage),
    /// Store the promise, and send the message once the promise is durable.
    Promise(Ballot, NodeId, ConsensusMessage),
    /// Store the accepted update, and send the message once the update is durable.
    Accept(StateUpdate, NodeId, ConsensusMessage),
    /// Send the message once all records of earlier effects are durable.
    SendWhenDurable(NodeId, ConsensusMessage),
    /// A newer version is committed. The caller stores the record and publishes the committed contents.
    Committed(CommitRecord),
    /// Log that the contents here differ from those of another replica, as their digests show. The complete contents are requested from
    /// that replica.
    Diverged,
    /// A quorum has confirmed that this leader's ballot was still the highest after the call of
    /// [`super::PartitionReplica::confirm`] with this number.
    QuorumConfirmed(u64),
    /// This replica is no longer candidate or leader. Whether its proposals in flight will be committed is unknown.
    SteppedDown,
}
