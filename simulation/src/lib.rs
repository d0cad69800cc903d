#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! Deterministic simulation of the control plane. Runs the real state machines of control nodes and watch clients in virtual time,
//! with links that lose, delay, duplicate and reorder messages, network partitions, suspended processes, disks that lose unsynced
//! writes on a power loss, and operators that send conflicting requests. The simulation uses no sockets and no clock: [`play`] takes
//! a [`Plan`] and returns an [`Outcome`], and equal plans have equal outcomes.
//!
//! Reading order: [`plan`] describes a run, [`disk`] models a disk and [`workload`] the operators' requests, [`run`] plays the plan,
//! [`oracle`] checks the invariants as an external observer, [`injected_bugs`] lists the bugs that the randomized search must find,
//! [`randomized_search`] plays random plans and shrinks those that violate an invariant, and [`search`] exhaustively explores the
//! interleavings of one partition.

pub mod disk;
pub mod injected_bugs;
pub mod oracle;
pub mod plan;
pub mod random;
pub mod randomized_search;
pub mod run;
pub mod search;
pub mod workload;

pub use injected_bugs::InjectedBug;
pub use oracle::{Invariant, Violation};
pub use plan::Plan;
pub use run::{Outcome, play};
