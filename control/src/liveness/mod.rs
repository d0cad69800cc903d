//! Liveness: heartbeats, reachability of the other nodes, and contact with a quorum.

pub mod failure_detector;
pub mod heartbeat_schedule;
pub mod quorum_contact;
