#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! The control plane of one control node, as a state machine without I/O.
//!
//! # Inputs and outputs
//!
//! [`ControlPlane::handle`] takes the time of a monotonic clock and one [`Input`] (a message, a durable write, a request, a tick), and
//! appends [`Output`]s (messages, writes, responses). The crate opens no socket and no file, and reads no clock. The embedder (`system`
//! on real machines, `simulation` in virtual time) has to:
//!
//! - carry outputs out in order, and keep the order of messages on one connection; messages may be lost;
//! - append the records of each [`Output::Store`] to the disk in order, and give [`Input::Stored`] only once that write and all earlier
//!   ones are durable: messages that depend on stored promises are held back until then;
//! - start a process with the [`DurableState`](storage::durable_state::DurableState) of all durable records, and a new random
//!   [`NodeConfig::incarnation`];
//! - give [`Input::Tick`] about every 100 ms: all retries and timeouts depend on it;
//! - never use a [`RequestId`] or [`SessionId`] twice in a process.
//!
//! # Algorithm
//!
//! The control state is split into partitions ([`PartitionId`](ivyhatch_protocol::ids::PartitionId)). Each is one replicated value, agreed
//! on by single-decree Paxos that is run again for each change, without a log (Lamport, "Paxos Made Simple", section 2; Rystsov,
//! "CASPaxos", sections 2.1 and 2.2). The value is a map of registers, so that a change is sent and stored as the changed registers only
//! ([`ivyhatch_protocol::registers`]). A leader that has prepared its ballot on a quorum skips the prepare phase for all further changes,
//! as in Multi-Paxos ("Paxos Made Simple", section 3). A read is confirmed by a quorum under the leader's ballot before it is answered, as
//! in Raft's read index (Ongaro's thesis, section 6.4). Only the first active voter in a fixed order starts an election
//! ([`consensus::elections`]), so that competing ballots are rare.
//!
//! The membership changes by one voter at a time (Ongaro's thesis, section 4.1). Each change is decided by a quorum of the previous
//! generation, and a new voter collects the state of such a quorum before it votes ([`membership::state_transfer`]).
//! `docs/design/control-safety.md` has the safety argument.
//!
//! # Reading order
//!
//! - [`consensus`]: the consensus on one partition ([`consensus::partition`]), how a request changes its state, and elections;
//! - [`membership`]: the membership's rules, this node's replica, and how a voter is replaced;
//! - [`liveness`]: heartbeats and the failure detector;
//! - [`requests`]: operators' requests, forwarded to the leader and queued there; [`calls`]: the same for applications' calls, on
//!   which `ivyhatch-coordination` decides;
//! - [`watch`]: the data sent to routers, their watch sessions, and the registry of routers;
//! - [`server_list`]: the platform's list of servers and the role of its reader;
//! - [`load_aggregator`]: the load from all routers, summed for each server; [`load_exchange`]: the loads sent to routers and to other
//!   control nodes;
//! - [`storage`]: records and the state that results from them; [`outbox`]: outputs; [`interface`]: inputs and outputs;
//! - [`ControlPlane`]: owns the state of all these modules, and dispatches inputs to them.

pub mod calls;
pub mod consensus;
mod control_plane;
pub mod interface;
pub mod liveness;
pub mod load_aggregator;
pub mod load_exchange;
pub mod log_event;
pub mod membership;
pub mod outbox;
pub mod report;
pub mod requests;
pub mod server_list;
pub mod storage;
pub mod watch;

pub use control_plane::ControlPlane;
pub use interface::{Input, NodeConfig, Output, RequestId, SessionId, WriteToken};
pub use log_event::{FormatReason, LogEvent, ServerListSource};
pub use storage::record::Record;
