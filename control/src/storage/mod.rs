//! What a control node's disk holds: records, and the state that results from them.

pub mod durable_state;
pub mod record;
