#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! Deterministic simulation of the control plane: the real state machines of control nodes and watch clients in virtual time, with
//! links that lose, delay, duplicate and reorder messages, network partitions, suspended processes, disks with the semantics of a
//! power loss, and operators that race. No sockets and no clock: a [`Plan`] goes in, an [`Outcome`] comes out, and equal plans have
//! equal outcomes.
//!
//! Reading order: [`plan`] describes a run, [`disk`] models a disk and [`workload`] the operators' requests, [`run`] plays the plan,
//! [`oracle`] checks the invariants from outside, [`injected_bugs`] names the bugs that a hunt has to find, [`randomized_search`] looks for plans
//! that violate an invariant and reduces them, and [`search`] explores all interleavings of one partition.

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
