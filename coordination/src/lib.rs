#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! Locks, numbers and cells for applications: the decisions of a partition's leader on calls. The crate is a pure state machine, without
//! sockets, clock or consensus.
//!
//! # Inputs and outputs
//!
//! [`CoordinationState::decide`] takes the time of a monotonic clock, the sequence number of the partition's next change and a
//! [`Call`](ivyhatch_protocol::coordination::Call), and returns a [`Decision`]: an outcome without a change, or the registers to write
//! and the outcome once they are committed. The state belongs to the leader and includes all changes that it has proposed. The embedder
//! (`ivyhatch-control`) has to
//!
//! - build the state with [`CoordinationState::from_registers`] from registers that contain all committed changes, under a ballot that a
//!   quorum has promised;
//! - propose the changes in order, each with the sequence number that it passed to `decide`, and drop the state if a change cannot be
//!   proposed or the node is no longer the leader;
//! - return an outcome to the caller only after all changes that the decision was based on are committed, and, for an outcome without a
//!   change, only after a quorum has confirmed the leader's ballot since the call was received.
//!
//! # Registers
//!
//! A name is stored in one or a few registers of its partition. The sequence number of the partition's changes always increases, also
//! across leader changes, disk losses and replaced members. It serves as the fencing token of a lock and as the value of a number, so
//! nothing has to be stored for a name that is not in use.
//!
//! - [`lock`]: locks and elections;
//! - [`cell`]: cells, with the revisions of their groups;
//! - [`history`]: recent puts, for watches and for retried puts;
//! - [`limits`]: bounds of stored data, names and values;
//! - [`state`]: the state of a partition, and the dispatch of calls.

pub mod cell;
pub mod history;
pub mod limits;
pub mod lock;
pub mod state;

pub use state::{CoordinationState, Decision, Publication};
