//! The membership: its rules, this node's replica in the membership, and the replacement of voters.

pub mod cluster_view;
pub mod drain;
pub mod local_replica;
pub mod reconfiguration;
pub mod rules;
pub mod sender;
pub mod state_transfer;
