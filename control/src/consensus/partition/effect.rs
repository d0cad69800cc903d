//! What a partition wants done by its caller.

use ivyhatch_protocol::ids::{Ballot, NodeId};
use ivyhatch_protocol::peer::ConsensusMessage;
use ivyhatch_protocol::registers::{StateUpdate, Version};

/// How committed contents became known, for the disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitRecord {
    /// This version, which the disk holds as accepted, is committed.
    Accepted(Version),
    /// Another replica has sent the contents.
    Learned(StateUpdate),
}

/// What a partition wants done. The caller carries effects out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a message to a node, which may be this one.
    Send(NodeId, ConsensusMessage),
    /// Send a message to several other nodes.
    Broadcast(Vec<NodeId>, ConsensusMessage),
    /// Store the promise, and send the message once it is durable.
    Promise(Ballot, NodeId, ConsensusMessage),
    /// Store the accepted update, and send the message once it is durable.
    Accept(StateUpdate, NodeId, ConsensusMessage),
    /// Send the message once all that was stored before is durable.
    SendWhenDurable(NodeId, ConsensusMessage),
    /// More is committed. The caller stores the record and publishes the committed contents.
    Committed(CommitRecord),
    /// A digest shows that the contents here are not those of another replica, which is asked for them whole.
    Diverged,
    /// A quorum has confirmed that this leader's ballot was still the highest after [`super::PartitionReplica::confirm`] with this number.
    QuorumConfirmed(u64),
    /// This replica no longer contends or leads. Whether proposals in flight will be committed is unknown.
    SteppedDown,
}
