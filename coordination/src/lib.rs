#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! Locks, numbers and cells of applications, as the leader of a partition decides on them. Decides only: no sockets, no clock, no
//! consensus.
//!
//! # Inputs and outputs
//!
//! [`CoordinationState::decide`] takes the time of a steady clock, the number of the partition's next change and a
//! [`Call`](ivyhatch_protocol::coordination::Call), and returns a [`Decision`]: an outcome that changes nothing, or the registers to write
//! and the outcome after that. The state is the leader's own, with all that it has proposed; the embedder (`ivyhatch-control`) has to
//!
//! - build it with [`CoordinationState::from_registers`] from registers that contain all that was committed, under a ballot that a quorum
//!   has promised;
//! - propose the changes under the number that it gave, in order, and drop the state where one can't be proposed, or the node no longer
//!   leads;
//! - give out no outcome before all changes that it was decided on are committed, and, where it changes nothing, a quorum has confirmed
//!   the leader's ballot since the call came.
//!
//! # Registers
//!
//! A name is a register (or a few) of its partition, and the number of the change that writes it rises for all time, through other
//! leaders, lost disks and replaced members. That number is the fencing token of a lock and the value of a number, so neither has to be
//! kept for a name that is not in use.
//!
//! - [`lock`]: locks and elections;
//! - [`cell`]: cells, with the revisions of their groups;
//! - [`history`]: the puts that watches are answered from;
//! - [`limits`]: bounds of what is stored;
//! - [`state`]: all of these, and the dispatch of calls.

pub mod cell;
pub mod history;
pub mod limits;
pub mod lock;
pub mod state;

pub use state::{CoordinationState, Decision, Publication};
