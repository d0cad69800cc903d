//! What a control node's disk holds: its records, and the state that they make up.

pub mod durable_state;
pub mod record;
