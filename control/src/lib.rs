#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! The control plane as one control node runs it: decides, and does no I/O. Messages, ends of writes and the time go in, messages,
//! writes and responses come out; the time is the steady clock's, told by whoever embeds it.
//!
//! Reading order: [`partition`] agrees on one partition among the voters, [`membership`] tells who votes and how a replica takes
//! another's seat, [`partition_state`] says what a request does to a partition, [`server_list_reader`] when to read the
//! platform's list, [`router_registry`] keeps the routers' sessions, [`change_feed`] what
//! followers are sent, [`interface`] what goes in and comes out, and [`ControlPlane`] holds all of it together, one module for each
//! concern.

mod admin;
pub mod change_feed;
mod control_plane;
pub mod durable_state;
mod heartbeats;
pub mod interface;
mod leadership;
pub mod log_event;
pub mod membership;
pub mod partition;
pub mod partition_state;
mod reconfiguration;
pub mod report;
pub mod router_registry;
mod server_list_duty;
pub mod server_list_reader;
pub mod state_transfer;
mod watch;

pub use control_plane::ControlPlane;
pub use interface::{Input, NodeConfig, Output, RequestId, SessionId, WriteToken};
pub use log_event::{FormatReason, LogEvent, ServerListSource};

use ivyhatch_protocol::ids::{Ballot, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{AcceptedValue, Membership};
use speedy::{Readable, Writable};

/// What a control node writes to its disk. All of it together, in order, is what it has promised.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Record {
    /// The disk begins as this replica's; whatever came before does not count.
    Formatted {
        /// The replica.
        replica: ReplicaId,
        /// Whether this was on the first start of the whole system.
        first_start: bool,
    },
    /// The newest membership. Nothing is promised or accepted under an older one from here on.
    Membership(Membership),
    /// The replica holds the state with which it may vote, as the voter that joined in this generation.
    Joined(u64),
    /// Lower ballots of the partition are rejected.
    Promised(PartitionId, Ballot),
    /// The value that was accepted for the partition; lower ballots are rejected.
    Accepted(PartitionId, AcceptedValue),
    /// What was accepted under this ballot, as the change of this number, is committed: it may be handed out to followers without
    /// asking anybody.
    Committed(PartitionId, Ballot, u64),
}
