//! Applications' calls: the calls that came to this node, and the calls queued at this node as the leader of their partition.

pub mod call_queue;
pub mod pending_calls;
