//! Applications' calls: those that came to this node, and those before it as the leader of their partition.

pub mod call_queue;
pub mod pending_calls;
