//! The membership: its rules, this node's replica in it, and how it changes.

pub mod cluster_view;
pub mod drain;
pub mod local_replica;
pub mod reconfiguration;
pub mod rules;
pub mod sender;
pub mod state_transfer;
